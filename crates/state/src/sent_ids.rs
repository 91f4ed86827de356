//! The ids of requests that must not run twice, as the processes of one dispatcher send them: a file to which each of them
//! appends. One line `+ID AGE` says that a request may have run from now on, and `-ID AGE` that it turned out not to have.
//! `ID` is a hash of the request's id, and `AGE` the age of the machine in milliseconds, which no clock change affects.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

use rustix::time::{clock_gettime, ClockId};

const FILE_NAME: &str = "rookspoke.sent";
/// The file before, which is kept until the next one is full.
const PREVIOUS_FILE_NAME: &str = "rookspoke.sent.previous";
/// A file of this size is full, in bytes. Two hold the requests of some minutes.
const FULL_BYTES: u64 = 512 * 1024;
/// Lines older than this are ignored: an id that comes again comes while clients wait.
const MAX_AGE: Duration = Duration::from_secs(120);

/// What a line says of a request, by the hash of its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SentChange {
    /// It may have run.
    MayHaveRun(u64),
    /// Its attempt turned out not to have run.
    NeverRan(u64),
}

/// This process's view of the file.
#[derive(Debug)]
pub struct SentIds {
    path: PathBuf,
    previous: PathBuf,
    file: File,
    /// What was read of `file` so far, in bytes.
    read: u64,
    /// Whether the last line that this process wrote is complete.
    line_complete: bool,
}

impl SentIds {
    /// Opens the file in this directory, and creates it if it does not exist.
    ///
    /// # Errors
    /// The file cannot be opened.
    pub fn open(directory: &Path) -> io::Result<Self> {
        let path = directory.join(FILE_NAME);
        let previous = directory.join(PREVIOUS_FILE_NAME);
        Ok(SentIds { file: open(&path)?, path, previous, read: 0, line_complete: true })
    }

    /// What was recorded before the current file began.
    pub fn read_previous(&self) -> Vec<SentChange> {
        // Best effort: without the file there is nothing to read.
        let bytes = fs::read(&self.previous).unwrap_or_default();
        parse(&bytes, machine_age())
    }

    /// Appends a line for the other processes.
    ///
    /// # Errors
    /// The file cannot be written. What it has of the line is ignored by readers.
    pub fn record(&mut self, change: SentChange) -> io::Result<()> {
        self.follow_replacement()?;
        if self.file.metadata()?.len() > FULL_BYTES {
            fs::rename(&self.path, &self.previous)?;
            self.file = open(&self.path)?;
            self.read = 0;
        }
        let (sign, id) = match change {
            SentChange::MayHaveRun(id) => ('+', id),
            SentChange::NeverRan(id) => ('-', id),
        };
        let start = if self.line_complete { "" } else { "\n" };
        let line = format!("{start}{sign}{id:016x} {}\n", machine_age().as_millis());
        self.line_complete = false;
        self.file.write_all(line.as_bytes())?;
        self.line_complete = true;
        Ok(())
    }

    /// What was recorded since the last call, by this process and others.
    ///
    /// # Errors
    /// The file cannot be read.
    pub fn read_new(&mut self) -> io::Result<Vec<SentChange>> {
        let mut bytes = self.read_rest()?;
        if self.follow_replacement()? {
            bytes.extend(self.read_rest()?);
        }
        Ok(parse(&bytes, machine_age()))
    }

    /// Reads complete lines up to the end of the file.
    fn read_rest(&mut self) -> io::Result<Vec<u8>> {
        self.file.seek(SeekFrom::Start(self.read))?;
        let mut bytes = Vec::new();
        (&self.file).take(2 * FULL_BYTES).read_to_end(&mut bytes)?;
        let complete = bytes.iter().rposition(|byte| *byte == b'\n').map_or(0, |at| at + 1);
        bytes.truncate(complete);
        self.read += complete as u64;
        Ok(bytes)
    }

    /// Opens the file anew if another process has begun a new one; returns whether it has.
    fn follow_replacement(&mut self) -> io::Result<bool> {
        let current = fs::metadata(&self.path).map(|metadata| metadata.ino()).ok();
        if current == Some(self.file.metadata()?.ino()) {
            return Ok(false);
        }
        self.file = open(&self.path)?;
        self.read = 0;
        Ok(true)
    }
}

fn open(path: &Path) -> io::Result<File> {
    OpenOptions::new().read(true).append(true).create(true).open(path)
}

/// The time since the machine has started.
fn machine_age() -> Duration {
    let age = clock_gettime(ClockId::Boottime);
    Duration::new(age.tv_sec.unsigned_abs(), age.tv_nsec.unsigned_abs() as u32)
}

/// Parses lines. Damaged ones are skipped, and so are old ones and those from before the machine's last start.
fn parse(bytes: &[u8], now: Duration) -> Vec<SentChange> {
    let text = String::from_utf8_lossy(bytes);
    let change = |line: &str| {
        let (entry, age) = line.split_once(' ')?;
        let age = Duration::from_millis(age.parse().ok()?);
        let recent = age <= now && now - age <= MAX_AGE;
        let id = |hex: &str| (hex.len() == 16).then(|| u64::from_str_radix(hex, 16).ok()).flatten();
        let change = match entry.split_at_checked(1)? {
            ("+", hex) => SentChange::MayHaveRun(id(hex)?),
            ("-", hex) => SentChange::NeverRan(id(hex)?),
            _ => return None,
        };
        recent.then_some(change)
    };
    text.lines().filter_map(change).collect()
}

#[cfg(test)]
mod tests;
