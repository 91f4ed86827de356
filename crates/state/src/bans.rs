//! Which log workers operators have taken out by hand: a set that several processes share, which an upgrade, a kill
//! at any moment and a damaged file leave readable.
//!
//! The set stands in two files, one put in place after the other. Each has a number that grows with every change; the
//! valid one of the higher number holds. A lock makes one change of what is read, changed and written.

use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::path::PathBuf;

use thiserror::Error;

use super::file::{self, FileError};

/// The most log workers that may be out.
pub const MAX_BANS: usize = 4096;
/// The longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
const KIND: &str = "rookspoke-bans";
/// The two files; the first is put in place first.
const NAMES: [&str; 2] = ["rookspoke.bans", "rookspoke.bans.copy"];
const LOCK: &str = "rookspoke.bans.lock";

/// The log workers that are out, and since when, in microseconds of Unix time.
pub type Bans = BTreeMap<String, i64>;

/// Why the set cannot be read or changed.
#[derive(Debug, Error)]
pub enum BanError {
    /// The system says so.
    #[error("{0}: {1}")]
    Io(PathBuf, io::Error),
    /// The change is in place, and every process sees it; after a power cut it may be gone. The same call again
    /// completes it.
    #[error("the change holds, but the disk may not have it yet; call again: {0}: {1}")]
    NotDurable(PathBuf, io::Error),
    /// Another process is changing it: worth another try in a moment.
    #[error("{0}: another process holds the lock")]
    Busy(PathBuf),
    /// Neither file can be read as a set.
    #[error("{0}; and {1}")]
    Damaged(FileError, FileError),
    /// The set is full.
    #[error("found {MAX_BANS} log workers out by hand already, expected fewer")]
    Full,
    /// No log worker has such a name.
    #[error(
        "found a name of {0} bytes or with a sign that ends a line, expected one of 1 to {MAX_NAME_BYTES} bytes"
    )]
    InvalidName(usize),
}

/// What was read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BanSet {
    /// The set.
    pub bans: Bans,
    /// Grows with each change.
    pub revision: u64,
}

/// The set in its folder.
#[derive(Clone, Debug)]
pub struct BanStore {
    folder: PathBuf,
}

impl BanStore {
    /// The set in this folder, which need not hold one yet.
    pub fn new(folder: impl Into<PathBuf>) -> Self {
        BanStore { folder: folder.into() }
    }

    /// What holds now. One damaged file is worth a word in the log, which comes along; the other still tells.
    ///
    /// # Errors
    /// Neither file can be read, though there is one.
    pub fn read(&self) -> Result<(BanSet, Option<FileError>), BanError> {
        let [first, second] = NAMES.map(|name| file::read(&self.folder.join(name), KIND, parse));
        match (first, second) {
            (Ok(None), Ok(None)) => Ok((BanSet::default(), None)),
            (Ok(first), Ok(second)) => {
                let newer = |held: &BanSet| held.revision;
                Ok((first.into_iter().chain(second).max_by_key(newer).unwrap_or_default(), None))
            }
            (Ok(Some(held)), Err(bad)) | (Err(bad), Ok(Some(held))) => Ok((held, Some(bad))),
            // Without the other, the damaged one held the only set there was.
            (Ok(None), Err(bad)) | (Err(bad), Ok(None)) => {
                Err(BanError::Damaged(bad.clone(), bad.other("is not there")))
            }
            (Err(first), Err(second)) => Err(BanError::Damaged(first, second)),
        }
    }

    /// Takes a log worker out, or puts it back. Done again, it changes nothing: the time stays that of the first.
    /// `last` is what this process held last, for the case that no file can tell any more.
    ///
    /// # Errors
    /// As [`BanError`] says; the set is as it was, except after [`BanError::NotDurable`].
    pub fn set_banned(&self, worker: &str, out: bool, now: i64, last: &BanSet) -> Result<BanSet, BanError> {
        check_name(worker)?;
        let _lock = self.lock()?;
        let mut held = match self.read() {
            Ok((held, _)) => held,
            Err(BanError::Damaged(..)) => last.clone(),
            Err(error) => return Err(error),
        };
        let changes = match out {
            true if held.bans.contains_key(worker) => false,
            true if held.bans.len() >= MAX_BANS => return Err(BanError::Full),
            true => held.bans.insert(worker.to_owned(), now).is_none(),
            false => held.bans.remove(worker).is_some(),
        };
        if changes {
            held.revision += 1;
            // All that takes room first: a rename takes none.
            let paths = NAMES.map(|name| self.folder.join(name));
            for path in &paths {
                file::write(path, KIND, &text(&held)).map_err(|error| BanError::Io(path.clone(), error))?;
            }
            let [first, second] = paths;
            file::put_in_place(&first).map_err(|error| BanError::Io(first, error))?;
            // From here on the change is what is read.
            file::put_in_place(&second).map_err(|error| BanError::NotDurable(second, error))?;
        }
        // Also where nothing changes: what an earlier call put in place may not have come so far.
        file::sync_folder(&self.folder).map_err(|error| BanError::NotDurable(self.folder.clone(), error))?;
        Ok(held)
    }

    /// What a look at the folder tells without reading the files: another value, another set.
    pub fn file_versions(&self) -> FileVersions {
        use std::os::unix::fs::MetadataExt;
        NAMES.map(|name| {
            let meta = std::fs::metadata(self.folder.join(name)).ok()?;
            Some((meta.ino(), meta.mtime(), meta.mtime_nsec(), meta.size()))
        })
    }

    fn lock(&self) -> Result<File, BanError> {
        let path = self.folder.join(LOCK);
        let lock = file::lock(&path).map_err(|error| BanError::Io(path.clone(), error))?;
        lock.ok_or(BanError::Busy(path))
    }
}

fn check_name(name: &str) -> Result<(), BanError> {
    let fits = (1..=MAX_NAME_BYTES).contains(&name.len()) && !name.contains(['\n', '\r']);
    fits.then_some(()).ok_or(BanError::InvalidName(name.len()))
}

/// A line with the number, then a line `SINCE NAME` for each log worker.
fn text(held: &BanSet) -> String {
    let lines = held.bans.iter().map(|(name, since)| format!("{since} {name}\n"));
    std::iter::once(format!("{}\n", held.revision)).chain(lines).collect()
}

fn parse(text: &str) -> Result<BanSet, String> {
    let (number, lines) = text.split_once('\n').ok_or("found no line with its number")?;
    let ban = |line: &str| {
        let (since, name) = line.split_once(' ')?;
        Some((name.to_owned(), since.parse().ok()?))
    };
    let bans: Option<Bans> = lines.lines().map(ban).collect();
    let number = number.parse().map_err(|_| format!("found the number {number:?}"))?;
    Ok(BanSet { bans: bans.ok_or("found a line that is not `SINCE NAME`")?, revision: number })
}

/// Which files lie in the folder.
pub type FileVersions = [Option<(u64, i64, i64, u64)>; 2];

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn store() -> (tempfile::TempDir, BanStore) {
        let folder = tempfile::tempdir().expect("a folder");
        let store = BanStore::new(folder.path());
        (folder, store)
    }

    #[test]
    fn one_damaged_file_loses_no_ban_and_two_leave_what_the_process_held() {
        let (folder, store) = store();
        let last = store.set_banned("s-1", true, 5, &BanSet::default()).expect("out");
        for name in NAMES {
            let path = folder.path().join(name);
            let whole = std::fs::read(&path).expect("a file");
            std::fs::write(&path, &whole[..whole.len() - 1]).expect("cut");
            let (held, damage) = store.read().expect("the other file tells");
            assert_eq!((held, damage.is_some()), (last.clone(), true));
            std::fs::write(&path, whole).expect("as it was");
        }
        NAMES.iter().for_each(|name| std::fs::write(folder.path().join(name), "?").expect("spoilt"));
        assert!(matches!(store.read(), Err(BanError::Damaged(..))));
        let held = store.set_banned("s-2", true, 6, &last).expect("out");
        assert_eq!(held.bans, [("s-1".into(), 5), ("s-2".into(), 6)].into());
        assert_eq!(store.read().expect("whole again").0, held);
    }

    #[test]
    fn a_change_that_cannot_be_written_changes_nothing() {
        let (folder, store) = store();
        let held = store.set_banned("s-1", true, 5, &BanSet::default()).expect("out");
        // A folder in the place of the second file's draft: it cannot be written.
        std::fs::create_dir(file::draft(&folder.path().join(NAMES[1]))).expect("a folder");
        assert!(matches!(store.set_banned("s-1", false, 6, &held), Err(BanError::Io(..))));
        assert_eq!(store.read().expect("as before").0, held);
    }

    #[test]
    fn a_change_that_is_in_place_in_part_holds_and_says_so() {
        let (folder, store) = store();
        let held = store.set_banned("s-1", true, 5, &BanSet::default()).expect("out");
        // A folder that is not empty in the place of the second file: the rename fails.
        let second = folder.path().join(NAMES[1]);
        std::fs::remove_file(&second).expect("gone");
        std::fs::create_dir_all(second.join("full")).expect("a folder");
        assert!(matches!(store.set_banned("s-2", true, 6, &held), Err(BanError::NotDurable(..))));
        let held = store.read().expect("the first file tells").0;
        assert!(held.bans.contains_key("s-2"), "{held:?}");
        // The same call again, once the disk works: the time stays that of the first.
        std::fs::remove_dir_all(&second).expect("gone");
        assert_eq!(store.set_banned("s-2", true, 9, &held).expect("out").bans["s-2"], 6);
    }

    #[test]
    fn a_change_under_way_elsewhere_is_told_apart() {
        let (_folder, store) = store();
        let lock = store.lock().expect("free");
        assert!(matches!(store.set_banned("s-1", true, 5, &BanSet::default()), Err(BanError::Busy(_))));
        drop(lock);
        assert!(store.set_banned("s-1", true, 5, &BanSet::default()).is_ok());
    }

    proptest! {
        /// Two processes that call out and call back in any order hold what a plain set would, after each call.
        #[test]
        fn calls_to_either_process_make_one_set(calls in proptest::collection::vec((0u8..5, any::<bool>(), any::<bool>()), 1..40)) {
            let (folder, store) = store();
            let other = BanStore::new(folder.path());
            let mut model = Bans::new();
            for (now, (id, out, first)) in calls.into_iter().enumerate() {
                let (name, now) = (format!("s-{id}"), now as i64);
                let to = if first { &store } else { &other };
                let stamp = store.file_versions();
                let held = to.set_banned(&name, out, now, &BanSet::default()).expect("changed");
                let before = model.clone();
                match out {
                    true => drop(model.entry(name).or_insert(now)),
                    false => drop(model.remove(&name)),
                }
                prop_assert_eq!(&held.bans, &model);
                prop_assert_eq!(&other.read().expect("read").0, &held);
                prop_assert_eq!(store.file_versions() != stamp, before != model, "a look tells of a change");
            }
        }
    }
}
