//! Whether another process of the same dispatcher lives: each holds the lock on one of two files in the folder, which
//! goes with the process however that ends.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};

use super::file::lock;

const NAMES: [&str; 2] = ["rookspoke.tenant.0", "rookspoke.tenant.1"];

/// This process's place in the folder.
#[derive(Debug)]
pub struct ProcessLease {
    places: [PathBuf; 2],
    /// Which is this process's own; none as long as others hold both, if only for a look.
    own: Option<(usize, File)>,
}

impl ProcessLease {
    /// Takes a free place.
    ///
    /// # Errors
    /// The files cannot be opened or locked.
    pub fn acquire(folder: &Path) -> io::Result<Self> {
        let mut tenancy = ProcessLease { places: NAMES.map(|name| folder.join(name)), own: None };
        tenancy.settle()?;
        Ok(tenancy)
    }

    /// Another process that looks holds the free place for a moment, so one that found none tries again later.
    fn settle(&mut self) -> io::Result<()> {
        for at in 0..self.places.len() {
            if self.own.is_none() {
                self.own = lock(&self.places[at])?.map(|file| (at, file));
            }
        }
        Ok(())
    }

    /// Whether another process lives.
    ///
    /// # Errors
    /// The other place cannot be looked at.
    pub fn is_peer_running(&mut self) -> io::Result<bool> {
        self.settle()?;
        match &self.own {
            Some((at, _)) => Ok(lock(&self.places[1 - at])?.is_none()),
            None => Ok(true),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_of_two_sees_the_other_for_as_long_as_it_lives() {
        let folder = tempfile::tempdir().expect("a folder");
        let mut first = ProcessLease::acquire(folder.path()).expect("a place");
        assert!(!first.is_peer_running().expect("a look"));
        let mut second = ProcessLease::acquire(folder.path()).expect("a place");
        assert!(first.is_peer_running().expect("a look") && second.is_peer_running().expect("a look"));
        drop(first);
        assert!(!second.is_peer_running().expect("a look"));
        let mut third = ProcessLease::acquire(folder.path()).expect("a place");
        assert!(second.is_peer_running().expect("a look") && third.is_peer_running().expect("a look"));
    }

    /// A look holds the free place for a moment: one that starts in it takes its place later, and is seen then.
    #[test]
    fn one_that_starts_while_another_looks_is_seen_soon() {
        let folder = tempfile::tempdir().expect("a folder");
        let mut first = ProcessLease::acquire(folder.path()).expect("a place");
        let look = lock(&folder.path().join(NAMES[1])).expect("a lock").expect("free");
        let mut second = ProcessLease::acquire(folder.path()).expect("none, for now");
        assert!(second.is_peer_running().expect("a look"), "both are held");
        drop(look);
        assert!(second.is_peer_running().expect("a look") && first.is_peer_running().expect("a look"));
        drop(second);
        assert!(!first.is_peer_running().expect("a look"));
    }
}
