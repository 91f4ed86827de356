//! The line-based configuration of rookspoke.
//!
//! A file is a list of lines `keyword value ...`; `#` starts a comment, `section name {` and `}` enclose lines
//! that belong together, `include GLOB` reads further files in its place. Every keyword stands in one table,
//! [`schema`], with its unit, default and range: reading, checking, showing and the page for operators all go by
//! it. What is read becomes a tree of the same shape as the platform's JSON, so that one reader serves both.
//!
//! Nothing is taken from a file with an error: all its errors are reported together, each with file, line, column,
//! what was found and what was expected.

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
