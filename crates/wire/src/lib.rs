//! The line protocol of the drill: parsing, settings pairs, encoding. Decides nothing.

mod encode;
mod parse;
mod settings;

pub use encode::{encode_action, encode_fault, encode_instance};
pub use parse::{parse_line, parse_listing, Line};
pub use settings::{parse_settings, ReportField, Vocabulary};

use thiserror::Error;

/// What is wrong with the input; the reader adds the line number.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{field}: {found}")]
pub struct WireError {
    /// The field.
    pub field: String,
    /// What was found there.
    pub found: String,
}

impl WireError {
    /// An error at `field`.
    pub fn new(field: impl Into<String>, found: impl Into<String>) -> Self {
        WireError { field: field.into(), found: found.into() }
    }
}
