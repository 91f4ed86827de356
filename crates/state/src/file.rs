//! One file: a first line `KIND VERSION CHECKSUM`, then its text.

use std::fmt;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use xxhash_rust::xxh3::xxh3_64;

/// The most that a file may hold.
const MAX_FILE: u64 = 8 * 1024 * 1024;
const VERSION: &str = "1";

/// What is wrong with a file, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileError {
    path: PathBuf,
    what: String,
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path.display(), self.what)
    }
}

impl std::error::Error for FileError {}

impl FileError {
    pub(super) fn other(&self, what: &str) -> Self {
        FileError { path: self.path.clone(), what: format!("its twin {what}") }
    }
}

/// Reads a file; none if there is none.
pub fn read<T>(
    path: &Path,
    kind: &str,
    parse: impl FnOnce(&str) -> Result<T, String>,
) -> Result<Option<T>, FileError> {
    let bad = |what: String| FileError { path: path.to_owned(), what };
    let mut text = String::new();
    match File::open(path) {
        Ok(file) => {
            file.take(MAX_FILE).read_to_string(&mut text).map_err(|error| bad(error.to_string()))?;
        }
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(bad(error.to_string())),
    }
    open(&text, kind).and_then(parse).map(Some).map_err(bad)
}

fn open<'a>(text: &'a str, kind: &str) -> Result<&'a str, String> {
    let (head, text) = text.split_once('\n').ok_or("found no whole first line, it is cut off")?;
    let [found, version, sum] = head.split(' ').collect::<Vec<_>>()[..] else {
        return Err(format!("found {head:?}, expected `{kind} VERSION CHECKSUM`"));
    };
    if (found, version) != (kind, VERSION) {
        return Err(format!("found {found} of version {version}, expected {kind} of version {VERSION}"));
    }
    match u64::from_str_radix(sum, 16) == Ok(xxh3_64(text.as_bytes())) {
        true => Ok(text),
        false => Err("its checksum is another than its content's: it is cut off or damaged".into()),
    }
}

/// Locks a file that is there for nothing else; none if another process has. A lock goes with its process, however
/// that ends.
pub fn lock(path: &Path) -> io::Result<Option<File>> {
    let file = OpenOptions::new().write(true).create(true).truncate(false).open(path)?;
    match file.try_lock() {
        Ok(()) => Ok(Some(file)),
        Err(TryLockError::WouldBlock) => Ok(None),
        Err(TryLockError::Error(error)) => Err(error),
    }
}

/// Where a file is written before it is put in place; two processes may be at it at once.
pub fn draft(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(format!(".{}", std::process::id()));
    name.into()
}

/// Writes the draft of a file, down to the disk.
pub fn write(path: &Path, kind: &str, text: &str) -> io::Result<()> {
    let mut file = File::create(draft(path))?;
    write!(file, "{kind} {VERSION} {:016x}\n{text}", xxh3_64(text.as_bytes()))?;
    file.sync_all()
}

/// Has the disk hold which files a folder has.
pub fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

/// Puts a draft in place: whoever reads finds the former file or this one, whole.
pub fn put_in_place(path: &Path) -> io::Result<()> {
    fs::rename(draft(path), path)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_file_cut_anywhere_or_with_any_byte_changed_is_an_error() {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("file");
        write(&path, "kind", "some text\nin lines\n").expect("written");
        put_in_place(&path).expect("in place");
        let read = || read(&path, "kind", |text| Ok(text.to_owned()));
        assert_eq!(read(), Ok(Some("some text\nin lines\n".into())));
        let whole = fs::read(&path).expect("read");
        for at in 0..whole.len() {
            fs::write(&path, &whole[..at]).expect("cut");
            assert!(read().is_err(), "cut after {at} bytes");
            let mut changed = whole.clone();
            changed[at] ^= 1;
            fs::write(&path, &changed).expect("changed");
            assert!(read().is_err(), "byte {at} changed");
        }
    }

    #[test]
    fn another_version_is_named() {
        let error = open("rookspoke-bans 7 0\n", "rookspoke-bans").expect_err("of another time");
        assert_eq!(error, "found rookspoke-bans of version 7, expected rookspoke-bans of version 1");
    }
}
