//! The control socket: a Unix socket on which a running daemon reports its status. Each connection receives one JSON
//! object and is then closed.

use std::fs::{File, OpenOptions, Permissions, TryLockError};
use std::future::Future;
use std::io::{self, ErrorKind, Read};
use std::os::unix::fs::{FileTypeExt, OpenOptionsExt, PermissionsExt};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::io::AsyncWriteExt;
use tokio::net::UnixListener;
use tokio::time::timeout;

/// Time limit for a caller to read the status; also the pause after a failed accept.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a status reply in bytes.
const MAX_STATUS_BYTES: u64 = 1024 * 1024;

/// Why the control socket could not be opened.
#[derive(Debug, Error)]
pub enum ControlError {
    /// A running daemon uses this path.
    #[error("{0}: the control socket is in use by another daemon, expected a path of this daemon's own")]
    InUse(PathBuf),
    /// The path exists and is not a socket; it is left untouched.
    #[error("{0}: found a file that is not a socket, expected an unused path or a socket")]
    NotASocket(PathBuf),
    /// A system call failed.
    #[error("{0}: {1}")]
    Io(PathBuf, io::Error),
}

/// The status of a daemon.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Status {
    /// The name of the dispatcher.
    pub name: String,
    /// The version of the program.
    pub version: String,
    /// Its process id.
    pub pid: u32,
    /// Seconds since the daemon started.
    pub uptime_s: u64,
    /// Whether it is ready to serve: it accepts jobs, has a list of log workers, and is not shutting down.
    pub ready: bool,
    /// Whether it is shutting down.
    pub ending: bool,
    /// Whether it is the VRRP master; `None` without VRRP.
    pub master: Option<bool>,
    /// Number of log lines dropped because standard error was not read in time.
    pub log_dropped: u64,
    /// Number of log lines suppressed by the rate limit for repeated lines.
    pub log_left_out: u64,
    /// Counters of each front and of VRRP.
    pub counters: Vec<(String, Vec<(String, u64)>)>,
}

/// The control socket of this process; dropping it removes the socket file.
#[derive(Debug)]
pub struct Control {
    listener: UnixListener,
    path: PathBuf,
    /// Held as long as the socket is open; its holder may replace a stale socket file.
    _lock: File,
}

impl Control {
    /// Opens the socket. The stale socket of a daemon that has exited is replaced; that of a running one is not.
    ///
    /// # Errors
    /// See [`ControlError`].
    pub fn open(path: &Path) -> Result<Self, ControlError> {
        let io = |error| ControlError::Io(path.to_path_buf(), error);
        // The system releases a lock when its process ends, but does not remove a socket file. The lock file is never
        // removed: otherwise two daemons could each lock a different file of the same name.
        let mut lock_path = path.as_os_str().to_owned();
        lock_path.push(".lock");
        let lock = OpenOptions::new().write(true).create(true).truncate(false).mode(0o600).open(lock_path);
        let lock = lock.map_err(io)?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(ControlError::InUse(path.to_path_buf())),
            Err(TryLockError::Error(error)) => return Err(io(error)),
        }
        match std::fs::symlink_metadata(path) {
            Ok(meta) if meta.file_type().is_socket() => {
                // It may belong to a program that does not use the lock.
                if UnixStream::connect(path).is_ok() {
                    return Err(ControlError::InUse(path.to_path_buf()));
                }
                std::fs::remove_file(path).map_err(io)?;
            }
            Ok(_) => return Err(ControlError::NotASocket(path.to_path_buf())),
            Err(error) if error.kind() == ErrorKind::NotFound => {}
            Err(error) => return Err(io(error)),
        }
        let listener = UnixListener::bind(path).map_err(io)?;
        std::fs::set_permissions(path, Permissions::from_mode(0o600)).map_err(io)?;
        Ok(Control { listener, path: path.to_path_buf(), _lock: lock })
    }

    /// Sends the status to one connection after another, until `stop` completes.
    pub async fn serve(self, status: impl Fn() -> Status, stop: impl Future<Output = ()>) {
        let accept_loop = async {
            loop {
                match self.listener.accept().await {
                    Ok((mut stream, _)) => {
                        let text = serde_json::to_vec(&status()).unwrap_or_default();
                        // A caller that does not read is dropped after the timeout; meanwhile it delays other callers
                        // of this socket only.
                        let _ = timeout(WRITE_TIMEOUT, async {
                            stream.write_all(&text).await?;
                            stream.shutdown().await
                        })
                        .await;
                    }
                    Err(error) => {
                        tracing::warn!("control socket: accept failed: {error}");
                        tokio::time::sleep(WRITE_TIMEOUT).await;
                    }
                }
            }
        };
        tokio::select! {
            () = accept_loop => {}
            () = stop => {}
        }
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Why the status of a daemon could not be read.
#[derive(Debug, Error)]
pub enum StatusError {
    /// The connection was refused or the socket does not exist.
    #[error("{0}: no daemon is listening on this socket: {1}")]
    NotListening(PathBuf, io::Error),
    /// The connection broke, or the reply is not a status.
    #[error(
        "{0}: expected a status reply; the daemon may have exited, or another program owns the socket: {1}"
    )]
    InvalidReply(PathBuf, String),
}

/// Reads the status of the daemon behind a control socket; returns it with the JSON text as received.
///
/// # Errors
/// See [`StatusError`].
pub fn request_status(path: &Path) -> Result<(Status, String), StatusError> {
    let stream =
        UnixStream::connect(path).map_err(|error| StatusError::NotListening(path.to_path_buf(), error))?;
    let invalid =
        |why: &dyn std::fmt::Display| StatusError::InvalidReply(path.to_path_buf(), why.to_string());
    // A daemon that is shutting down may reply slowly.
    stream.set_read_timeout(Some(5 * WRITE_TIMEOUT)).map_err(|e| invalid(&e))?;
    let mut text = String::new();
    stream.take(MAX_STATUS_BYTES).read_to_string(&mut text).map_err(|e| invalid(&e))?;
    let status = serde_json::from_str(&text).map_err(|e| invalid(&e))?;
    Ok((status, text))
}

impl Status {
    /// Formats the status as a human-readable table.
    pub fn table(&self) -> String {
        let yes_no = |value: bool| if value { "yes" } else { "no" };
        let mut rows = vec![
            ("name", self.name.clone()),
            ("version", self.version.clone()),
            ("pid", self.pid.to_string()),
            ("uptime", format!("{}s", self.uptime_s)),
            ("ready", yes_no(self.ready).into()),
            ("ending", yes_no(self.ending).into()),
        ];
        rows.extend(self.master.map(|master| ("master", yes_no(master).into())));
        rows.push(("log lines dropped", self.log_dropped.to_string()));
        rows.push(("log lines suppressed", self.log_left_out.to_string()));
        let mut text: String = rows.iter().map(|(name, value)| format!("{name:<20}{value}\n")).collect();
        for (front, totals) in &self.counters {
            text.push_str(&format!("\n{front}\n"));
            totals.iter().for_each(|(name, value)| text.push_str(&format!("  {name:<18}{value}\n")));
        }
        text
    }
}
