//! Source texts of a configuration, and locations in them.

use std::fmt;
use std::fs::{self, File};
use std::io::Read;
use std::path::{Path, PathBuf};

use thiserror::Error;

/// Maximum size of a configuration file in bytes. A larger file is something else.
pub const MAX_FILE_BYTES: u64 = 1024 * 1024;

/// Why a file could not be read.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The operating system reported an error.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The path leads to a directory, pipe, socket or device.
    #[error("found {0}, expected a file")]
    NotAFile(&'static str),
    /// The file is larger than allowed.
    #[error("found {found} bytes, expected at most {max}")]
    TooLarge {
        /// Size in bytes. If the file grew while it was read, the number of bytes read, which is above `max`.
        found: u64,
        /// Maximum size in bytes.
        max: u64,
    },
    /// The file is not valid UTF-8.
    #[error("found a byte that is not UTF-8 in line {line}, expected text")]
    NotUtf8 {
        /// Line of the first invalid byte, from 1.
        line: usize,
    },
}

/// Reads a text file of at most `max` bytes. Pipes, sockets, devices and directories are rejected before they
/// are opened, since opening or reading them might block forever.
///
/// # Errors
/// [`ReadError`] says why the file cannot be read.
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
    // The file may have grown since its size was checked.
    File::open(path)?.take(max + 1).read_to_end(&mut bytes)?;
    if bytes.len() as u64 > max {
        return Err(ReadError::TooLarge { found: bytes.len() as u64, max });
    }
    String::from_utf8(bytes).map_err(|error| {
        let valid = &error.as_bytes()[..error.utf8_error().valid_up_to()];
        ReadError::NotUtf8 { line: 1 + valid.iter().filter(|byte| **byte == b'\n').count() }
    })
}

/// A range of bytes in one of the [`Sources`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Span {
    /// Index of the text in its [`Sources`].
    pub file: usize,
    /// Offset of the first byte.
    pub start: usize,
    /// Offset after the last byte.
    pub end: usize,
}

/// A source text and its name in error messages.
#[derive(Clone, Debug)]
pub struct Source {
    /// The path as it was given, or a description of another source, such as a flag.
    pub name: String,
    /// Directory that relative includes in this text refer to.
    pub directory: PathBuf,
    /// Contents of the file.
    pub text: String,
}

/// All source texts of a configuration. A [`Span`] refers to one of them by its index.
#[derive(Clone, Debug, Default)]
pub struct Sources(Vec<Source>);

/// A location for error messages: file, line and column.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// Name of the source text.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

impl Sources {
    /// Reads a file of at most [`MAX_FILE_BYTES`], adds it and returns its index.
    ///
    /// # Errors
    /// As [`read_bounded`].
    pub fn open(&mut self, path: &Path) -> Result<usize, ReadError> {
        let text = read_bounded(path, MAX_FILE_BYTES)?;
        let directory = path.parent().map_or_else(PathBuf::new, Path::to_path_buf);
        Ok(self.add(Source { name: path.display().to_string(), directory, text }))
    }

    /// Adds a text that is not a file, such as a value from the command line or the environment, and returns
    /// its index.
    pub fn add_text(&mut self, name: &str, text: &str) -> usize {
        self.add(Source { name: name.into(), directory: PathBuf::new(), text: text.into() })
    }

    fn add(&mut self, source: Source) -> usize {
        self.0.push(source);
        self.0.len() - 1
    }

    /// The source text with this index.
    pub fn get(&self, file: usize) -> &Source {
        &self.0[file]
    }

    /// Number of source texts.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no source text has been added.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Location of the start of a span.
    pub fn location(&self, span: Span) -> Location {
        let source = self.get(span.file);
        let before = &source.text[..span.start.min(source.text.len())];
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        Location {
            file: source.name.clone(),
            line: 1 + before.matches('\n').count(),
            column: 1 + before[line_start..].chars().count(),
        }
    }
}
