//! A listening socket that whoever started this process has opened, and hands on to one process after another.

use std::io;
use std::net::TcpListener;

use rustix::process::{getpid, pidfd_getfd, pidfd_open, PidfdFlags, PidfdGetfdFlags};
use socket2::{Socket, Type};
use thiserror::Error;

/// Why a descriptor cannot be listened on.
#[derive(Debug, Error)]
pub enum InheritError {
    /// There is none of this number.
    #[error("found descriptor {0}, expected an open one: {1}")]
    Closed(i32, io::Error),
    /// It is something else.
    #[error("found descriptor {0}, which is no listening stream socket, expected one")]
    NotListening(i32),
    /// The system says so.
    #[error("descriptor {0}: {1}")]
    Io(i32, io::Error),
}

/// A listener on an inherited descriptor. It is a duplicate: a number alone can be owned by nobody without `unsafe`,
/// while the system gives out an owned copy of any descriptor of a process that one may look into, the own one first.
pub fn listener(fd: i32) -> Result<TcpListener, InheritError> {
    let io = |error: rustix::io::Errno| InheritError::Io(fd, error.into());
    let own = pidfd_open(getpid(), PidfdFlags::empty()).map_err(io)?;
    let copy = pidfd_getfd(&own, fd, PidfdGetfdFlags::empty());
    let socket = Socket::from(copy.map_err(|error| InheritError::Closed(fd, error.into()))?);
    let listens =
        socket.r#type().is_ok_and(|kind| kind == Type::STREAM) && socket.is_listener().unwrap_or(false);
    if !listens || socket.local_addr().is_ok_and(|at| at.as_socket().is_none()) {
        return Err(InheritError::NotListening(fd));
    }
    socket.set_nonblocking(true).map_err(|error| InheritError::Io(fd, error))?;
    Ok(socket.into())
}
