//! Whether another process of the same dispatcher lives: each holds the lock on one of two files in the folder, which
//! goes with the process however that ends.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};

use super::file::lock;

const NAMES: [&str; 2] = ["rookspoke.tenant.0", "rookspoke.tenant.1"];

/// This process's place in the folder.
#[derive(Debug)]
pub struct Tenancy {
    /// None if two others are there already.
    _own: Option<File>,
    other: PathBuf,
}

impl Tenancy {
    /// Takes a free place.
    ///
    /// # Errors
    /// The files cannot be opened or locked.
    pub fn take(folder: &Path) -> io::Result<Self> {
        for (name, other) in [(0, 1), (1, 0)] {
            if let Some(own) = lock(&folder.join(NAMES[name]))? {
                return Ok(Tenancy { _own: Some(own), other: folder.join(NAMES[other]) });
            }
        }
        Ok(Tenancy { _own: None, other: folder.join(NAMES[0]) })
    }

    /// Whether another process lives.
    ///
    /// # Errors
    /// The other place cannot be looked at.
    pub fn is_shared(&self) -> io::Result<bool> {
        Ok(lock(&self.other)?.is_none())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_of_two_sees_the_other_for_as_long_as_it_lives() {
        let folder = tempfile::tempdir().expect("a folder");
        let first = Tenancy::take(folder.path()).expect("a place");
        assert!(!first.is_shared().expect("a look"));
        let second = Tenancy::take(folder.path()).expect("a place");
        assert!(first.is_shared().expect("a look") && second.is_shared().expect("a look"));
        drop(first);
        assert!(!second.is_shared().expect("a look"));
        let third = Tenancy::take(folder.path()).expect("a place");
        assert!(second.is_shared().expect("a look") && third.is_shared().expect("a look"));
    }
}
