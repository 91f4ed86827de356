//! The control socket: a Unix socket on which a running daemon says how it is. It says so to whoever connects,
//! as one JSON object, and closes.

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

/// Whoever asks has this long to read the answer.
const PATIENCE: Duration = Duration::from_secs(1);
/// The most that an answer holds, in bytes.
const MAX_ANSWER: u64 = 1024 * 1024;

/// Why there is no control socket.
#[derive(Debug, Error)]
pub enum ControlError {
    /// Another daemon has it.
    #[error("{0}: another daemon is live there, expected a path of this daemon's own")]
    Taken(PathBuf),
    /// Something else is in its place; it is left alone.
    #[error("{0}: found something that is no socket, expected a free path or a socket")]
    NoSocket(PathBuf),
    /// The system says so.
    #[error("{0}: {1}")]
    Io(PathBuf, io::Error),
}

/// How a daemon is.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Status {
    /// Its name.
    pub name: String,
    /// The version of the program.
    pub version: String,
    /// Its process.
    pub pid: u32,
    /// Seconds since its start.
    pub uptime_s: u64,
    /// Whether it has a list of log workers.
    pub ready: bool,
    /// Whether it has been told to end.
    pub ending: bool,
    /// Whether it is the master of its pair; none where it is in none.
    pub master: Option<bool>,
    /// Log lines dropped, since nobody read them.
    pub log_dropped: u64,
    /// Log lines left out, since they repeated too often.
    pub log_left_out: u64,
    /// Totals of each front and of VRRP.
    pub counters: Vec<(String, Vec<(String, u64)>)>,
}

/// A control socket of this process; its file goes with it.
#[derive(Debug)]
pub struct Control {
    listener: UnixListener,
    path: PathBuf,
    /// Held for as long as the socket is: whoever holds it may replace what it finds.
    _lock: File,
}

impl Control {
    /// Opens it. What a dead daemon left is replaced; a live one's is not touched.
    ///
    /// # Errors
    /// As [`ControlError`] says.
    pub fn open(path: &Path) -> Result<Self, ControlError> {
        let io = |error| ControlError::Io(path.to_path_buf(), error);
        // A lock goes with its process, a socket's file does not. The lock's file stays: were it removed, two
        // daemons could each hold one of the same name.
        let mut lock_path = path.as_os_str().to_owned();
        lock_path.push(".lock");
        let lock = OpenOptions::new().write(true).create(true).truncate(false).mode(0o600).open(lock_path);
        let lock = lock.map_err(io)?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(ControlError::Taken(path.to_path_buf())),
            Err(TryLockError::Error(error)) => return Err(io(error)),
        }
        match std::fs::symlink_metadata(path) {
            Ok(meta) if meta.file_type().is_socket() => {
                // Of a program that knows no lock, perhaps.
                if UnixStream::connect(path).is_ok() {
                    return Err(ControlError::Taken(path.to_path_buf()));
                }
                std::fs::remove_file(path).map_err(io)?;
            }
            Ok(_) => return Err(ControlError::NoSocket(path.to_path_buf())),
            Err(error) if error.kind() == ErrorKind::NotFound => {}
            Err(error) => return Err(io(error)),
        }
        let listener = UnixListener::bind(path).map_err(io)?;
        std::fs::set_permissions(path, Permissions::from_mode(0o600)).map_err(io)?;
        Ok(Control { listener, path: path.to_path_buf(), _lock: lock })
    }

    /// Answers one after another, until `stop` ends.
    pub async fn serve(self, status: impl Fn() -> Status, stop: impl Future<Output = ()>) {
        let answers = async {
            loop {
                match self.listener.accept().await {
                    Ok((mut stream, _)) => {
                        let text = serde_json::to_vec(&status()).unwrap_or_default();
                        // One who does not read is left after a while, and holds up only those who ask.
                        let _ = timeout(PATIENCE, async {
                            stream.write_all(&text).await?;
                            stream.shutdown().await
                        })
                        .await;
                    }
                    Err(error) => {
                        tracing::warn!("control: {error}");
                        tokio::time::sleep(PATIENCE).await;
                    }
                }
            }
        };
        tokio::select! {
            () = answers => {}
            () = stop => {}
        }
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Why a daemon could not be asked.
#[derive(Debug, Error)]
pub enum AskError {
    /// Nobody listens.
    #[error("{0}: no daemon listens there: {1}")]
    Nobody(PathBuf, io::Error),
    /// It went away in the middle, or says something else.
    #[error("{0}: the daemon ended while it was asked, or is none: {1}")]
    Broken(PathBuf, String),
}

/// Asks the daemon behind a control socket. Next to the status, the answer as it came.
///
/// # Errors
/// As [`AskError`] says.
pub fn request_status(path: &Path) -> Result<(Status, String), AskError> {
    let stream = UnixStream::connect(path).map_err(|error| AskError::Nobody(path.to_path_buf(), error))?;
    let broken = |why: &dyn std::fmt::Display| AskError::Broken(path.to_path_buf(), why.to_string());
    // A daemon that is busy ending may be slow.
    stream.set_read_timeout(Some(5 * PATIENCE)).map_err(|e| broken(&e))?;
    let mut text = String::new();
    stream.take(MAX_ANSWER).read_to_string(&mut text).map_err(|e| broken(&e))?;
    let status = serde_json::from_str(&text).map_err(|e| broken(&e))?;
    Ok((status, text))
}

impl Status {
    /// A table for people.
    pub fn table(&self) -> String {
        let yes = |yes: bool| if yes { "yes" } else { "no" };
        let mut rows = vec![
            ("name", self.name.clone()),
            ("version", self.version.clone()),
            ("pid", self.pid.to_string()),
            ("uptime", format!("{}s", self.uptime_s)),
            ("ready", yes(self.ready).into()),
            ("ending", yes(self.ending).into()),
        ];
        rows.extend(self.master.map(|master| ("master", yes(master).into())));
        rows.push(("log lines dropped", self.log_dropped.to_string()));
        rows.push(("log lines left out", self.log_left_out.to_string()));
        let mut text: String = rows.iter().map(|(name, value)| format!("{name:<20}{value}\n")).collect();
        for (front, totals) in &self.counters {
            text.push_str(&format!("\n{front}\n"));
            totals.iter().for_each(|(name, value)| text.push_str(&format!("  {name:<18}{value}\n")));
        }
        text
    }
}
