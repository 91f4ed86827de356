//! The operator bans: which log workers operators have manually ejected. Several processes share the set, and it stays
//! readable across an upgrade, a kill at any moment and damage to one file.
//!
//! The set is stored in two files, of which one is replaced after the other. Each contains a revision that grows with
//! every change; the valid file with the higher revision counts. A lock makes reading, changing and writing the set
//! one atomic operation.

use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::path::PathBuf;

use thiserror::Error;

use super::file::{self, FileError};

/// Limit on the number of banned log workers.
pub const MAX_BANS: usize = 4096;
/// Limit on the length of a log worker's name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
const KIND: &str = "rookspoke-bans";
/// The two files; the first is replaced first.
const FILE_NAMES: [&str; 2] = ["rookspoke.bans", "rookspoke.bans.copy"];
const LOCK_NAME: &str = "rookspoke.bans.lock";

/// The banned log workers, each with the time of its ban in microseconds since the Unix epoch.
pub type Bans = BTreeMap<String, i64>;

/// Reason for which the set cannot be read or changed.
#[derive(Debug, Error)]
pub enum BanError {
    /// A system call on this path failed.
    #[error("{0}: {1}")]
    Io(PathBuf, io::Error),
    /// The change is in effect for every process, but may be lost in a power failure. Repeating the call completes it.
    #[error("the change holds, but the disk may not have it yet; call again: {0}: {1}")]
    NotDurable(PathBuf, io::Error),
    /// Another process is changing the set; the call can be retried soon.
    #[error("{0}: another process holds the lock")]
    Busy(PathBuf),
    /// Neither file contains a readable set.
    #[error("{0}; and {1}")]
    Damaged(FileError, FileError),
    /// The set has [`MAX_BANS`] entries.
    #[error("found {MAX_BANS} log workers out by hand already, expected fewer")]
    Full,
    /// The log worker's name, of this many bytes, is empty, too long or contains a line break.
    #[error("found a name of {0} bytes, expected 1 to {MAX_NAME_BYTES} bytes without a line break")]
    InvalidName(usize),
}

/// The set of bans at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BanSet {
    /// The banned log workers.
    pub bans: Bans,
    /// Grows with every change.
    pub revision: u64,
}

/// Access to the set stored in a directory.
#[derive(Clone, Debug)]
pub struct BanStore {
    directory: PathBuf,
}

impl BanStore {
    /// Opens the set in this directory, which need not contain one yet.
    pub fn new(directory: impl Into<PathBuf>) -> Self {
        BanStore { directory: directory.into() }
    }

    /// Reads the current set. If one of the files is damaged, its error is returned too, to be logged; the set then comes
    /// from the other file.
    ///
    /// # Errors
    /// At least one file exists, and no set can be read.
    pub fn read(&self) -> Result<(BanSet, Option<FileError>), BanError> {
        let [first, second] = FILE_NAMES.map(|name| file::read(&self.directory.join(name), KIND, parse));
        match (first, second) {
            (Ok(None), Ok(None)) => Ok((BanSet::default(), None)),
            (Ok(first), Ok(second)) => {
                let revision = |set: &BanSet| set.revision;
                Ok((first.into_iter().chain(second).max_by_key(revision).unwrap_or_default(), None))
            }
            (Ok(Some(set)), Err(damage)) | (Err(damage), Ok(Some(set))) => Ok((set, Some(damage))),
            // The other file does not exist, so the damaged one contained the only copy.
            (Ok(None), Err(damage)) | (Err(damage), Ok(None)) => {
                Err(BanError::Damaged(damage.clone(), damage.other_file("does not exist")))
            }
            (Err(first), Err(second)) => Err(BanError::Damaged(first, second)),
        }
    }

    /// Bans a log worker, or lifts its ban. The call is idempotent: repeating a ban keeps the time of the first call.
    /// `last_known` is the set that this process read last; the change starts from it if both files are damaged.
    ///
    /// # Errors
    /// See [`BanError`]; the set is unchanged, except after [`BanError::NotDurable`].
    pub fn set_banned(
        &self,
        worker: &str,
        banned: bool,
        now: i64,
        last_known: &BanSet,
    ) -> Result<BanSet, BanError> {
        check_name(worker)?;
        let _lock = self.lock()?;
        let mut set = match self.read() {
            Ok((set, _)) => set,
            Err(BanError::Damaged(..)) => last_known.clone(),
            Err(error) => return Err(error),
        };
        let changed = match banned {
            true if set.bans.contains_key(worker) => false,
            true if set.bans.len() >= MAX_BANS => return Err(BanError::Full),
            true => set.bans.insert(worker.to_owned(), now).is_none(),
            false => set.bans.remove(worker).is_some(),
        };
        if changed {
            set.revision += 1;
            // Write both drafts first: these need disk space, which may run out, and the renames need none.
            let paths = FILE_NAMES.map(|name| self.directory.join(name));
            for path in &paths {
                file::write_draft(path, KIND, &serialize(&set))
                    .map_err(|error| BanError::Io(path.clone(), error))?;
            }
            let [first, second] = paths;
            file::commit_draft(&first).map_err(|error| BanError::Io(first, error))?;
            // From here on readers see the change.
            file::commit_draft(&second).map_err(|error| BanError::NotDurable(second, error))?;
        }
        // Sync even without a change: the renames of an earlier call may not be on disk yet.
        file::sync_directory(&self.directory)
            .map_err(|error| BanError::NotDurable(self.directory.clone(), error))?;
        Ok(set)
    }

    /// Returns the versions of the files from their metadata, without reading them. The value differs after every
    /// change of the set.
    pub fn file_versions(&self) -> FileVersions {
        use std::os::unix::fs::MetadataExt;
        FILE_NAMES.map(|name| {
            let meta = std::fs::metadata(self.directory.join(name)).ok()?;
            Some((meta.ino(), meta.mtime(), meta.mtime_nsec(), meta.size()))
        })
    }

    /// Takes the lock that serialises changes.
    fn lock(&self) -> Result<File, BanError> {
        let path = self.directory.join(LOCK_NAME);
        let lock = file::lock(&path).map_err(|error| BanError::Io(path.clone(), error))?;
        lock.ok_or(BanError::Busy(path))
    }
}

fn check_name(name: &str) -> Result<(), BanError> {
    let valid = (1..=MAX_NAME_BYTES).contains(&name.len()) && !name.contains(['\n', '\r']);
    valid.then_some(()).ok_or(BanError::InvalidName(name.len()))
}

/// Writes a line with the revision, then a line `SINCE NAME` for each log worker.
fn serialize(set: &BanSet) -> String {
    let lines = set.bans.iter().map(|(name, since)| format!("{since} {name}\n"));
    std::iter::once(format!("{}\n", set.revision)).chain(lines).collect()
}

fn parse(text: &str) -> Result<BanSet, String> {
    let (revision, lines) = text.split_once('\n').ok_or("found no line with the revision")?;
    let parse_ban = |line: &str| {
        let (since, name) = line.split_once(' ')?;
        Some((name.to_owned(), since.parse().ok()?))
    };
    let bans: Option<Bans> = lines.lines().map(parse_ban).collect();
    let revision = revision
        .parse()
        .map_err(|_| format!("found {revision:?} as the revision, expected a whole number"))?;
    Ok(BanSet { bans: bans.ok_or("found a line that is not `SINCE NAME`")?, revision })
}

/// Inode, modification time and size of each of the two files; `None` for one that does not exist.
pub type FileVersions = [Option<(u64, i64, i64, u64)>; 2];

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn store() -> (tempfile::TempDir, BanStore) {
        let directory = tempfile::tempdir().expect("a temporary directory");
        let store = BanStore::new(directory.path());
        (directory, store)
    }

    #[test]
    fn one_damaged_file_loses_no_ban_and_two_fall_back_to_the_last_known_set() {
        let (directory, store) = store();
        let last_known = store.set_banned("s-1", true, 5, &BanSet::default()).expect("banned");
        for name in FILE_NAMES {
            let path = directory.path().join(name);
            let whole = std::fs::read(&path).expect("the file is readable");
            std::fs::write(&path, &whole[..whole.len() - 1]).expect("truncated");
            let (set, damage) = store.read().expect("the other file is valid");
            assert_eq!((set, damage.is_some()), (last_known.clone(), true));
            std::fs::write(&path, whole).expect("restored");
        }
        FILE_NAMES
            .iter()
            .for_each(|name| std::fs::write(directory.path().join(name), "?").expect("overwritten"));
        assert!(matches!(store.read(), Err(BanError::Damaged(..))));
        let set = store.set_banned("s-2", true, 6, &last_known).expect("banned");
        assert_eq!(set.bans, [("s-1".into(), 5), ("s-2".into(), 6)].into());
        assert_eq!(store.read().expect("valid again").0, set);
    }

    #[test]
    fn a_change_that_cannot_be_written_leaves_the_set_unchanged() {
        let (directory, store) = store();
        let set = store.set_banned("s-1", true, 5, &BanSet::default()).expect("banned");
        // A directory at the path of the second file's draft makes the write fail.
        std::fs::create_dir(file::draft_path(&directory.path().join(FILE_NAMES[1]))).expect("created");
        assert!(matches!(store.set_banned("s-1", false, 6, &set), Err(BanError::Io(..))));
        assert_eq!(store.read().expect("unchanged").0, set);
    }

    #[test]
    fn a_change_of_the_first_file_alone_is_in_effect_and_reported_as_not_durable() {
        let (directory, store) = store();
        let set = store.set_banned("s-1", true, 5, &BanSet::default()).expect("banned");
        // A non-empty directory at the path of the second file makes the rename fail.
        let second = directory.path().join(FILE_NAMES[1]);
        std::fs::remove_file(&second).expect("removed");
        std::fs::create_dir_all(second.join("full")).expect("created");
        assert!(matches!(store.set_banned("s-2", true, 6, &set), Err(BanError::NotDurable(..))));
        let set = store.read().expect("the first file is valid").0;
        assert!(set.bans.contains_key("s-2"), "{set:?}");
        // The same call, repeated once the rename works, keeps the time of the first.
        std::fs::remove_dir_all(&second).expect("removed");
        assert_eq!(store.set_banned("s-2", true, 9, &set).expect("banned").bans["s-2"], 6);
    }

    #[test]
    fn a_change_during_that_of_another_process_is_reported_as_busy() {
        let (_directory, store) = store();
        let lock = store.lock().expect("the lock is free");
        assert!(matches!(store.set_banned("s-1", true, 5, &BanSet::default()), Err(BanError::Busy(_))));
        drop(lock);
        assert!(store.set_banned("s-1", true, 5, &BanSet::default()).is_ok());
    }

    proptest! {
        /// Two processes that set and lift bans in any order see, after each call, what a plain map contains.
        #[test]
        fn changes_by_two_processes_make_one_set(
            changes in proptest::collection::vec((0u8..5, any::<bool>(), any::<bool>()), 1..40),
        ) {
            let (directory, store) = store();
            let other = BanStore::new(directory.path());
            let mut model = Bans::new();
            for (now, (id, banned, use_first)) in changes.into_iter().enumerate() {
                let (name, now) = (format!("s-{id}"), now as i64);
                let writer = if use_first { &store } else { &other };
                let versions = store.file_versions();
                let set = writer.set_banned(&name, banned, now, &BanSet::default()).expect("changed");
                let before = model.clone();
                match banned {
                    true => drop(model.entry(name).or_insert(now)),
                    false => drop(model.remove(&name)),
                }
                prop_assert_eq!(&set.bans, &model);
                prop_assert_eq!(&other.read().expect("readable").0, &set);
                prop_assert_eq!(
                    store.file_versions() != versions,
                    before != model,
                    "the file versions differ exactly after a change"
                );
            }
        }
    }
}
