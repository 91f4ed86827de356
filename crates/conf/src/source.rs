//! The files that a configuration is read from, and places in them.

use std::fmt;
use std::fs::{self, File};
use std::io::Read;
use std::path::{Path, PathBuf};

use thiserror::Error;

/// The most that one file may hold, in bytes: what is larger is no configuration.
pub const MAX_FILE_BYTES: u64 = 1024 * 1024;

/// Why a file could not be read.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The system says so.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// It is something else.
    #[error("found {0}, expected a file")]
    NotAFile(&'static str),
    /// It is too long.
    #[error("found {found} bytes, expected at most {max}")]
    TooLarge {
        /// Its length in bytes, as far as it is known.
        found: u64,
        /// The most that is read, in bytes.
        max: u64,
    },
    /// It is no text.
    #[error("found a byte that is not UTF-8 in line {line}, expected text")]
    NotUtf8 {
        /// The line, from 1.
        line: usize,
    },
}

/// Reads a file of at most `most` bytes. Pipes, devices and folders are turned down before they are opened: an
/// open or a read of them might never return.
///
/// # Errors
/// [`ReadError`] says what stands in the way.
pub fn read_bounded(path: &Path, max: u64) -> Result<String, ReadError> {
    let meta = fs::metadata(path)?;
    if meta.is_dir() {
        return Err(ReadError::NotAFile("a folder"));
    }
    if !meta.is_file() {
        return Err(ReadError::NotAFile("a pipe, socket or device"));
    }
    if meta.len() > max {
        return Err(ReadError::TooLarge { found: meta.len(), max });
    }
    let mut bytes = Vec::new();
    // It may have grown since.
    File::open(path)?.take(max + 1).read_to_end(&mut bytes)?;
    if bytes.len() as u64 > max {
        return Err(ReadError::TooLarge { found: bytes.len() as u64, max });
    }
    String::from_utf8(bytes).map_err(|error| {
        let valid = &error.as_bytes()[..error.utf8_error().valid_up_to()];
        ReadError::NotUtf8 { line: 1 + valid.iter().filter(|byte| **byte == b'\n').count() }
    })
}

/// A part of a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Span {
    /// The number of the text in its [`Sources`].
    pub file: usize,
    /// Its first byte.
    pub start: usize,
    /// The byte after its last.
    pub end: usize,
}

/// One text, and what it is called in errors.
#[derive(Clone, Debug)]
pub struct Source {
    /// The path as it was given, or what else the text came from.
    pub name: String,
    /// Where includes in it start from.
    pub folder: PathBuf,
    /// The text.
    pub text: String,
}

/// All texts of a configuration.
#[derive(Clone, Debug, Default)]
pub struct Sources(Vec<Source>);

/// A place as people count.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// The text's name.
    pub file: String,
    /// From 1.
    pub line: usize,
    /// From 1, in characters.
    pub column: usize,
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

impl Sources {
    /// Adds a file.
    ///
    /// # Errors
    /// As [`read_bounded`].
    pub fn open(&mut self, path: &Path) -> Result<usize, ReadError> {
        let text = read_bounded(path, MAX_FILE_BYTES)?;
        let folder = path.parent().map_or_else(PathBuf::new, Path::to_path_buf);
        Ok(self.add(Source { name: path.display().to_string(), folder, text }))
    }

    /// Adds a text that is no file: a value from the command line or the environment.
    pub fn add_text(&mut self, name: &str, text: &str) -> usize {
        self.add(Source { name: name.into(), folder: PathBuf::new(), text: text.into() })
    }

    fn add(&mut self, source: Source) -> usize {
        self.0.push(source);
        self.0.len() - 1
    }

    /// One of them.
    pub fn get(&self, file: usize) -> &Source {
        &self.0[file]
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Where a part begins.
    pub fn location(&self, span: Span) -> Location {
        let source = self.get(span.file);
        let before = &source.text[..span.start.min(source.text.len())];
        let line_start = before.rfind('\n').map_or(0, |at| at + 1);
        Location {
            file: source.name.clone(),
            line: 1 + before.matches('\n').count(),
            column: 1 + before[line_start..].chars().count(),
        }
    }
}
