//! The simulator's line protocol: parses input lines and settings, and encodes actions as output lines. All
//! decisions are made by `rookspoke-decisions`.

mod encode;
mod parse;
mod settings;

pub use encode::{encode_action, encode_failure, encode_instance};
pub use parse::{parse_line, parse_listing, Line};
pub use settings::{parse_settings, ReportField, Vocabulary};

use thiserror::Error;

/// An error in an input line or in the settings. The caller adds the line number.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{field}: {found}")]
pub struct WireError {
    /// Name of the field with the error.
    pub field: String,
    /// What was found in the field.
    pub found: String,
}

impl WireError {
    /// Creates an error for the field `field`.
    pub fn new(field: impl Into<String>, found: impl Into<String>) -> Self {
        WireError { field: field.into(), found: found.into() }
    }
}
