//! A listening socket inherited from the parent process, which passes it to one process after another.

use std::io;
use std::net::TcpListener;

use rustix::process::{getpid, pidfd_getfd, pidfd_open, PidfdFlags, PidfdGetfdFlags};
use socket2::{Socket, Type};
use thiserror::Error;

/// Why an inherited descriptor cannot be used as a listener.
#[derive(Debug, Error)]
pub enum InheritError {
    /// No open descriptor has this number.
    #[error("found descriptor {0}, expected an open one: {1}")]
    Closed(i32, io::Error),
    /// The descriptor is not a listening TCP socket.
    #[error("found descriptor {0}, which is not a listening stream socket, expected one")]
    NotListening(i32),
    /// A system call failed.
    #[error("descriptor {0}: {1}")]
    Io(i32, io::Error),
}

/// A listener on a duplicate of an inherited descriptor. Taking ownership of a plain descriptor number needs `unsafe`;
/// `pidfd_getfd` instead returns an owned duplicate of a descriptor of a given process, here of this one.
pub fn listener(fd: i32) -> Result<TcpListener, InheritError> {
    let io = |error: rustix::io::Errno| InheritError::Io(fd, error.into());
    let own_process = pidfd_open(getpid(), PidfdFlags::empty()).map_err(io)?;
    let duplicate = pidfd_getfd(&own_process, fd, PidfdGetfdFlags::empty());
    let socket = Socket::from(duplicate.map_err(|error| InheritError::Closed(fd, error.into()))?);
    let is_listening =
        socket.r#type().is_ok_and(|kind| kind == Type::STREAM) && socket.is_listener().unwrap_or(false);
    if !is_listening || socket.local_addr().is_ok_and(|address| address.as_socket().is_none()) {
        return Err(InheritError::NotListening(fd));
    }
    socket.set_nonblocking(true).map_err(|error| InheritError::Io(fd, error))?;
    Ok(socket.into())
}
