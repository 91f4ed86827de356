//! What a dispatcher leaves in a folder for its next process: the log workers that are out by hand ([`bans`]), and
//! what it has learned ([`beliefs`]). Each file begins with its version and a checksum, and is put in place whole by a
//! rename: whoever reads finds the former or the next, or an error that says what is wrong.

pub mod bans;
pub mod beliefs;
mod file;

pub use file::FileError;
