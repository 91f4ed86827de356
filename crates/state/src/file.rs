//! A state file: a first line `KIND VERSION CHECKSUM`, then the text that the checksum covers.

use std::fmt;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use xxhash_rust::xxh3::xxh3_64;

/// Limit on the bytes read from a file.
const MAX_FILE_BYTES: u64 = 8 * 1024 * 1024;
const VERSION: &str = "1";

/// A file that cannot be read, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileError {
    path: PathBuf,
    reason: String,
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path.display(), self.reason)
    }
}

impl std::error::Error for FileError {}

impl FileError {
    /// An error that names this file and tells the state of the other one of its pair.
    pub(super) fn other_file(&self, state: &str) -> Self {
        FileError { path: self.path.clone(), reason: format!("the other copy of this file {state}") }
    }
}

/// Reads and parses a file; `None` if it does not exist.
pub fn read<T>(
    path: &Path,
    kind: &str,
    parse: impl FnOnce(&str) -> Result<T, String>,
) -> Result<Option<T>, FileError> {
    let file_error = |reason: String| FileError { path: path.to_owned(), reason };
    let mut text = String::new();
    match File::open(path) {
        Ok(file) => {
            file.take(MAX_FILE_BYTES)
                .read_to_string(&mut text)
                .map_err(|error| file_error(error.to_string()))?;
        }
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(file_error(error.to_string())),
    }
    check_first_line(&text, kind).and_then(parse).map(Some).map_err(file_error)
}

/// Checks kind, version and checksum, and returns the text after the first line.
fn check_first_line<'a>(text: &'a str, kind: &str) -> Result<&'a str, String> {
    let (first_line, text) =
        text.split_once('\n').ok_or("found no complete first line: the file is truncated")?;
    let [found, version, checksum] = first_line.split(' ').collect::<Vec<_>>()[..] else {
        return Err(format!("found {first_line:?}, expected `{kind} VERSION CHECKSUM`"));
    };
    if (found, version) != (kind, VERSION) {
        return Err(format!("found {found} of version {version}, expected {kind} of version {VERSION}"));
    }
    match u64::from_str_radix(checksum, 16) == Ok(xxh3_64(text.as_bytes())) {
        true => Ok(text),
        false => Err("the checksum does not match the content: the file is truncated or corrupted".into()),
    }
}

/// Locks a file that serves only as a lock; `None` if it is locked already. The kernel releases the lock when the
/// process ends, in whatever way.
pub fn lock(path: &Path) -> io::Result<Option<File>> {
    let file = OpenOptions::new().write(true).create(true).truncate(false).open(path)?;
    match file.try_lock() {
        Ok(()) => Ok(Some(file)),
        Err(TryLockError::WouldBlock) => Ok(None),
        Err(TryLockError::Error(error)) => Err(error),
    }
}

/// The path at which a file is written before it is renamed; it contains the process id, since two processes may write
/// at the same time.
pub fn draft_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(format!(".{}", std::process::id()));
    name.into()
}

/// Writes the draft of a file and syncs it to disk.
pub fn write_draft(path: &Path, kind: &str, text: &str) -> io::Result<()> {
    let mut file = File::create(draft_path(path))?;
    write!(file, "{kind} {VERSION} {:016x}\n{text}", xxh3_64(text.as_bytes()))?;
    file.sync_all()
}

/// Syncs a directory to disk, and with it the renames in it.
pub fn sync_directory(directory: &Path) -> io::Result<()> {
    File::open(directory)?.sync_all()
}

/// Renames a draft to its file. The rename is atomic: readers find either the old or the new content, complete.
pub fn commit_draft(path: &Path) -> io::Result<()> {
    fs::rename(draft_path(path), path)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_truncated_file_and_a_file_with_a_changed_byte_are_errors() {
        let directory = tempfile::tempdir().expect("a temporary directory");
        let path = directory.path().join("file");
        write_draft(&path, "kind", "some text\nin lines\n").expect("written");
        commit_draft(&path).expect("renamed");
        let read = || read(&path, "kind", |text| Ok(text.to_owned()));
        assert_eq!(read(), Ok(Some("some text\nin lines\n".into())));
        let whole = fs::read(&path).expect("read");
        for at in 0..whole.len() {
            fs::write(&path, &whole[..at]).expect("truncated");
            assert!(read().is_err(), "truncated after {at} bytes");
            let mut changed = whole.clone();
            changed[at] ^= 1;
            fs::write(&path, &changed).expect("changed");
            assert!(read().is_err(), "byte {at} changed");
        }
    }

    #[test]
    fn the_error_for_an_unsupported_version_names_both_versions() {
        let error = check_first_line("rookspoke-bans 7 0\n", "rookspoke-bans").expect_err("version 7");
        assert_eq!(error, "found rookspoke-bans of version 7, expected rookspoke-bans of version 1");
    }
}
