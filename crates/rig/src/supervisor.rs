//! Supervision of child processes: none of them, and no temporary folder, outlives the rig, whether it exits, panics, is
//! interrupted by Ctrl-C or is killed.
//!
//! A watchdog, a shell in a process group of its own, reads from a pipe which processes run. The pipe closes when the
//! rig's process ends for any reason; the watchdog then kills the remaining processes and removes the rig's folder. Each
//! process waits to execute its program until the watchdog has been notified of its id.

use std::ffi::OsStr;
use std::io::{self, Write};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};

use rustix::process::{kill_process, Pid, Signal};
use tokio::io::AsyncWriteExt;

/// The watchdog: reads `+ PID` and `- PID` lines, and cleans up at the end of its input. Its `$0` is the folder.
const WATCHDOG_SCRIPT: &str = "trap '' INT TERM HUP
alive=' '
while read -r sign pid; do
    case $sign in
    +) alive=\"$alive$pid \" ;;
    -) alive=\"${alive%% $pid *} ${alive#* $pid }\" ;;
    esac
done
for pid in $alive; do kill -KILL \"$pid\" 2>/dev/null; done
rm -rf -- \"$0\"";

/// Waits for a line on standard input, then executes the program in its place. Exits if the input ends first.
const START_GATE_SCRIPT: &str = "read -r go || exit 1; exec \"$0\" \"$@\" </dev/null";

/// Owns the temporary folder of a rig and starts its processes. Both are cleaned up when it is dropped.
#[derive(Debug)]
pub struct Supervisor {
    folder: PathBuf,
    watchdog: Mutex<Child>,
    pipe: Mutex<Option<ChildStdin>>,
}

impl Supervisor {
    /// Creates a temporary folder and starts the watchdog.
    ///
    /// # Errors
    /// The folder cannot be created, or the shell cannot be started.
    pub fn start() -> io::Result<Arc<Self>> {
        let folder = tempfile::Builder::new().prefix("rookspoke-rig-").tempdir()?.keep();
        let mut command = Command::new("sh");
        command.arg("-c").arg(WATCHDOG_SCRIPT).arg(&folder).process_group(0);
        command.stdin(Stdio::piped()).stdout(Stdio::null()).stderr(Stdio::null());
        let mut watchdog = command.spawn()?;
        let pipe = watchdog.stdin.take();
        Ok(Arc::new(Supervisor { folder, watchdog: Mutex::new(watchdog), pipe: Mutex::new(pipe) }))
    }

    /// The temporary folder, which is removed with the supervisor.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    fn notify_watchdog(&self, sign: char, pid: i32) -> io::Result<()> {
        let mut pipe = self.pipe.lock().unwrap_or_else(PoisonError::into_inner);
        let pipe =
            pipe.as_mut().ok_or_else(|| io::Error::other("the connection to the watchdog is closed"))?;
        writeln!(pipe, "{sign} {pid}")
    }

    /// Starts a program in the given folder with additional environment variables. Its standard error is piped.
    ///
    /// # Errors
    /// The process cannot be started, or the watchdog cannot be notified.
    pub async fn spawn(
        self: &Arc<Self>,
        program: &Path,
        arguments: &[&OsStr],
        folder: &Path,
        variables: &[(&str, &OsStr)],
    ) -> io::Result<SupervisedProcess> {
        let mut command = tokio::process::Command::new("sh");
        command
            .arg("-c")
            .arg(START_GATE_SCRIPT)
            .arg(program)
            .args(arguments)
            .current_dir(folder)
            .process_group(0);
        command.envs(variables.iter().copied()).stdin(Stdio::piped());
        command.stdout(Stdio::null()).stderr(Stdio::piped()).kill_on_drop(true);
        let child = command.spawn()?;
        let raw_pid = child.id().and_then(|id| i32::try_from(id).ok());
        let pid = raw_pid
            .and_then(Pid::from_raw)
            .ok_or_else(|| io::Error::other("the process ended before its id was read"))?;
        self.notify_watchdog('+', pid.as_raw_nonzero().get())?;
        let process = SupervisedProcess { child, pid, supervisor: self.clone() };
        process.execute().await
    }
}

impl Drop for Supervisor {
    fn drop(&mut self) {
        // Closing the pipe makes the watchdog clean up and exit.
        self.pipe.lock().unwrap_or_else(PoisonError::into_inner).take();
        let _ = self.watchdog.lock().unwrap_or_else(PoisonError::into_inner).wait();
    }
}

/// A child process that is known to the watchdog. It is killed when dropped.
#[derive(Debug)]
pub struct SupervisedProcess {
    /// Handle of the process, for its output.
    pub child: tokio::process::Child,
    pid: Pid,
    supervisor: Arc<Supervisor>,
}

impl SupervisedProcess {
    async fn execute(mut self) -> io::Result<Self> {
        if let Some(mut stdin) = self.child.stdin.take() {
            stdin.write_all(b"go\n").await?;
        }
        Ok(self)
    }

    /// The process id.
    pub fn pid(&self) -> i32 {
        self.pid.as_raw_nonzero().get()
    }

    /// Sends the process a signal.
    ///
    /// # Errors
    /// The process no longer exists.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        Ok(kill_process(self.pid, signal)?)
    }

    /// Waits until the process has exited.
    ///
    /// # Errors
    /// The system call that waits for it fails.
    pub async fn wait(&mut self) -> io::Result<std::process::ExitStatus> {
        self.child.wait().await
    }
}

impl Drop for SupervisedProcess {
    fn drop(&mut self) {
        // An id is not reused before its process has been waited for, so the signal cannot hit another process.
        if self.child.id().is_some() {
            let _ = kill_process(self.pid, Signal::KILL);
        }
        let _ = self.supervisor.notify_watchdog('-', self.pid());
    }
}
