//! Process leases: they tell a process whether another process of the same dispatcher is running. Each process holds the
//! lock on one of two files in the shared directory; the kernel releases it when the process ends, in whatever way.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};

use super::file::lock;

const FILE_NAMES: [&str; 2] = ["rookspoke.tenant.0", "rookspoke.tenant.1"];

/// The lease of this process on one of the two lock files.
#[derive(Debug)]
pub struct ProcessLease {
    paths: [PathBuf; 2],
    /// Index and lock of this process's own file; `None` while others hold both, if only to check them.
    own: Option<(usize, File)>,
}

impl ProcessLease {
    /// Acquires a free lease. If both are held, a later [`ProcessLease::is_peer_running`] tries again.
    ///
    /// # Errors
    /// The files cannot be opened or locked.
    pub fn acquire(directory: &Path) -> io::Result<Self> {
        let mut lease = ProcessLease { paths: FILE_NAMES.map(|name| directory.join(name)), own: None };
        lease.try_acquire()?;
        Ok(lease)
    }

    /// Acquires a lease if this process has none yet. A peer that checks for others holds the free file for a moment,
    /// so both may be held at the start.
    fn try_acquire(&mut self) -> io::Result<()> {
        for at in 0..self.paths.len() {
            if self.own.is_none() {
                self.own = lock(&self.paths[at])?.map(|file| (at, file));
            }
        }
        Ok(())
    }

    /// Whether another process of the dispatcher is running.
    ///
    /// # Errors
    /// A file cannot be opened or locked.
    pub fn is_peer_running(&mut self) -> io::Result<bool> {
        self.try_acquire()?;
        match &self.own {
            Some((at, _)) => Ok(lock(&self.paths[1 - at])?.is_none()),
            None => Ok(true),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_of_two_processes_detects_the_other_while_it_runs() {
        let directory = tempfile::tempdir().expect("a temporary directory");
        let mut first = ProcessLease::acquire(directory.path()).expect("acquired");
        assert!(!first.is_peer_running().expect("checked"));
        let mut second = ProcessLease::acquire(directory.path()).expect("acquired");
        assert!(first.is_peer_running().expect("checked") && second.is_peer_running().expect("checked"));
        drop(first);
        assert!(!second.is_peer_running().expect("checked"));
        let mut third = ProcessLease::acquire(directory.path()).expect("acquired");
        assert!(second.is_peer_running().expect("checked") && third.is_peer_running().expect("checked"));
    }

    /// A check for peers locks the free file for a moment. A process that starts in that moment gets its lease later, and
    /// is detected then.
    #[test]
    fn a_process_that_starts_during_a_check_is_detected_soon() {
        let directory = tempfile::tempdir().expect("a temporary directory");
        let mut first = ProcessLease::acquire(directory.path()).expect("acquired");
        let check = lock(&directory.path().join(FILE_NAMES[1])).expect("no error").expect("the lock is free");
        let mut second = ProcessLease::acquire(directory.path()).expect("no lease yet, and no error");
        assert!(second.is_peer_running().expect("checked"), "both files are locked");
        drop(check);
        assert!(second.is_peer_running().expect("checked") && first.is_peer_running().expect("checked"));
        drop(second);
        assert!(!first.is_peer_running().expect("checked"));
    }
}
