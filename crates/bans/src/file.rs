//! One file: `rookspoke-bans VERSION CHECKSUM NUMBER`, then a line `SINCE NAME` for each log worker.

use std::fmt;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use xxhash_rust::xxh3::xxh3_64;

use super::{BanError, Bans, Held};

/// The most log workers that may be out.
pub const MAX_BANS: usize = 4096;
/// The longest name, in bytes.
pub const MAX_NAME: usize = 128;
/// The most that a file may hold.
const MAX_FILE: u64 = 1024 * 1024;
const MAGIC: &str = "rookspoke-bans";
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

pub fn check_name(name: &str) -> Result<(), BanError> {
    let fits = (1..=MAX_NAME).contains(&name.len()) && !name.contains(['\n', '\r']);
    fits.then_some(()).ok_or(BanError::Name(name.len()))
}

/// Reads a file; none if there is none.
pub fn read(path: &Path) -> Result<Option<Held>, FileError> {
    let bad = |what: String| FileError { path: path.to_owned(), what };
    let mut text = String::new();
    match File::open(path) {
        Ok(file) => {
            file.take(MAX_FILE).read_to_string(&mut text).map_err(|error| bad(error.to_string()))?;
        }
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(bad(error.to_string())),
    }
    parse(&text).map(Some).map_err(bad)
}

fn parse(text: &str) -> Result<Held, String> {
    let (head, body) = text.split_once('\n').ok_or("found no whole first line, it is cut off")?;
    let words: Vec<&str> = head.split(' ').collect();
    let [MAGIC, version, sum, number] = words.as_slice() else {
        return Err(format!("found {head:?}, expected `{MAGIC} VERSION CHECKSUM NUMBER`"));
    };
    if *version != VERSION {
        return Err(format!("found version {version}, expected {VERSION}"));
    }
    if u64::from_str_radix(sum, 16) != Ok(checksum(number, body)) {
        return Err("its checksum is another than its content's: it is cut off or damaged".into());
    }
    let number = number.parse().map_err(|_| format!("found the number {number:?}"))?;
    let ban = |line: &str| {
        let (since, name) = line.split_once(' ')?;
        Some((name.to_owned(), since.parse().ok()?))
    };
    let bans: Option<Bans> = body.lines().map(ban).collect();
    Ok(Held { bans: bans.ok_or("found a line that is not `SINCE NAME`")?, number })
}

fn checksum(number: &str, body: &str) -> u64 {
    xxh3_64(format!("{number}\n{body}").as_bytes())
}

/// Where a file is written before it is put in place.
fn draft(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".next");
    name.into()
}

/// Writes the draft of a file.
pub fn write(path: &Path, held: &Held) -> io::Result<()> {
    let number = held.number.to_string();
    let body: String = held.bans.iter().map(|(name, since)| format!("{since} {name}\n")).collect();
    let text = format!("{MAGIC} {VERSION} {:016x} {number}\n{body}", checksum(&number, &body));
    let mut file = File::create(draft(path))?;
    file.write_all(text.as_bytes())?;
    file.sync_all()
}

/// Puts a draft in place: whoever reads finds the former file or this one, whole.
pub fn put_in_place(path: &Path) -> io::Result<()> {
    fs::rename(draft(path), path)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_file_cut_anywhere_or_with_any_byte_changed_is_an_error_and_no_set() {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("bans");
        let bans = [("s-1".to_owned(), 17), ("s-2".to_owned(), -3)].into();
        let held = Held { bans, number: 9 };
        write(&path, &held).expect("written");
        put_in_place(&path).expect("in place");
        assert_eq!(read(&path), Ok(Some(held)));
        let whole = fs::read(&path).expect("read");
        for at in 0..whole.len() {
            fs::write(&path, &whole[..at]).expect("cut");
            assert!(read(&path).is_err(), "cut after {at} bytes");
            let mut changed = whole.clone();
            changed[at] ^= 1;
            fs::write(&path, &changed).expect("changed");
            assert!(read(&path).is_err(), "byte {at} changed");
        }
    }

    #[test]
    fn another_version_is_named() {
        let error = parse("rookspoke-bans 7 0 1\n").expect_err("of another time");
        assert_eq!(error, "found version 7, expected 1");
    }
}
