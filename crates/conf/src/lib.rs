//! Reader of rookspoke's line-based configuration file.
//!
//! A file consists of lines of the form `keyword value ...`. `#` starts a comment, `section name {` and `}`
//! enclose the lines of a section, and `include GLOB` inserts the lines of other files. [`schema`] defines every
//! keyword with its unit, default and range; parsing, validation, output and the reference for operators all use
//! that table. The result is a tree of the same shape as the platform's JSON, so that the same code deserializes
//! both.
//!
//! A configuration with an error is rejected as a whole. All errors are reported together, each with file, line,
//! column, what was found and what was expected.

mod compile;
mod problem;
mod resolved;
pub mod schema;
mod source;
mod syntax;
mod value;

pub use compile::{compile, Input, Override};
pub use problem::{Problem, Problems};
pub use resolved::{Changes, Origin, Resolved, Row};
pub use source::{read_bounded, ReadError, Sources, Span, MAX_FILE_BYTES};
pub use syntax::{parse, Line, Word};
pub use value::Kind;
