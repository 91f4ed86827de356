//! Nothing that a rig starts outlives it, however it ends: not on a panic, not on Ctrl-C, not when it is killed.
//!
//! A shell of its own process group, the guardian, reads from a pipe which processes live. The pipe closes with the
//! rig, whatever happened to that; the guardian then kills what is left and removes the rig's folder. Each process
//! waits, before it becomes the program, until the guardian has been told of it.

use std::ffi::OsStr;
use std::io::{self, Write};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};

use rustix::process::{kill_process, Pid, Signal};
use tokio::io::AsyncWriteExt;

const GUARDIAN: &str = "trap '' INT TERM HUP
alive=' '
while read -r sign pid; do
    case $sign in
    +) alive=\"$alive$pid \" ;;
    -) alive=\"${alive%% $pid *} ${alive#* $pid }\" ;;
    esac
done
for pid in $alive; do kill -KILL \"$pid\" 2>/dev/null; done
rm -rf -- \"$0\"";

/// Waits for a word, then becomes the program. Without the word it ends.
const STUB: &str = "read -r go || exit 1; exec \"$0\" \"$@\" </dev/null";

/// Looks after the processes and the folder of a rig.
#[derive(Debug)]
pub struct Supervisor {
    folder: PathBuf,
    guardian: Mutex<Child>,
    pipe: Mutex<Option<ChildStdin>>,
}

impl Supervisor {
    /// A supervisor with a new folder.
    ///
    /// # Errors
    /// There is no place for the folder, or no shell.
    pub fn start() -> io::Result<Arc<Self>> {
        let folder = tempfile::Builder::new().prefix("rookspoke-rig-").tempdir()?.keep();
        let mut command = Command::new("sh");
        command.arg("-c").arg(GUARDIAN).arg(&folder).process_group(0);
        command.stdin(Stdio::piped()).stdout(Stdio::null()).stderr(Stdio::null());
        let mut guardian = command.spawn()?;
        let pipe = guardian.stdin.take();
        Ok(Arc::new(Supervisor { folder, guardian: Mutex::new(guardian), pipe: Mutex::new(pipe) }))
    }

    /// The folder, which goes with the supervisor.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    fn tell(&self, sign: char, pid: i32) -> io::Result<()> {
        let mut pipe = self.pipe.lock().unwrap_or_else(PoisonError::into_inner);
        let pipe = pipe.as_mut().ok_or_else(|| io::Error::other("the guardian is gone"))?;
        writeln!(pipe, "{sign} {pid}")
    }

    /// Starts a program in a folder, with these variables in its environment; its standard error is piped.
    ///
    /// # Errors
    /// It cannot be started.
    pub async fn spawn(
        self: &Arc<Self>,
        program: &Path,
        arguments: &[&OsStr],
        folder: &Path,
        variables: &[(&str, &OsStr)],
    ) -> io::Result<SupervisedProcess> {
        let mut command = tokio::process::Command::new("sh");
        command.arg("-c").arg(STUB).arg(program).args(arguments).current_dir(folder).process_group(0);
        command.envs(variables.iter().copied()).stdin(Stdio::piped());
        command.stdout(Stdio::null()).stderr(Stdio::piped()).kill_on_drop(true);
        let child = command.spawn()?;
        let raw = child.id().and_then(|id| i32::try_from(id).ok());
        let pid = raw.and_then(Pid::from_raw).ok_or_else(|| io::Error::other("it has ended already"))?;
        self.tell('+', pid.as_raw_nonzero().get())?;
        let process = SupervisedProcess { child, pid, supervisor: self.clone() };
        process.go().await
    }
}

impl Drop for Supervisor {
    fn drop(&mut self) {
        // The pipe ends, and so does the guardian once all is cleared away.
        self.pipe.lock().unwrap_or_else(PoisonError::into_inner).take();
        let _ = self.guardian.lock().unwrap_or_else(PoisonError::into_inner).wait();
    }
}

/// A process that its supervisor knows.
#[derive(Debug)]
pub struct SupervisedProcess {
    /// The process itself.
    pub child: tokio::process::Child,
    pid: Pid,
    supervisor: Arc<Supervisor>,
}

impl SupervisedProcess {
    async fn go(mut self) -> io::Result<Self> {
        if let Some(mut stdin) = self.child.stdin.take() {
            stdin.write_all(b"go\n").await?;
        }
        Ok(self)
    }

    /// Its process id.
    pub fn pid(&self) -> i32 {
        self.pid.as_raw_nonzero().get()
    }

    /// Sends it a signal.
    ///
    /// # Errors
    /// It is gone.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        Ok(kill_process(self.pid, signal)?)
    }

    /// Waits until it has ended.
    ///
    /// # Errors
    /// The system cannot say.
    pub async fn wait(&mut self) -> io::Result<std::process::ExitStatus> {
        self.child.wait().await
    }
}

impl Drop for SupervisedProcess {
    fn drop(&mut self) {
        // Its number is its own until it is waited for, so nobody else is meant by it.
        if self.child.id().is_some() {
            let _ = kill_process(self.pid, Signal::KILL);
        }
        let _ = self.supervisor.tell('-', self.pid());
    }
}
