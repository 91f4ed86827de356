//! What the processes of one dispatcher share through a folder: the log workers that are out by hand ([`bans`]), and
//! who lives ([`lease`]). A file begins with its version and a checksum, and is put in place whole by a rename:
//! whoever reads finds the former or the next, or an error that says what is wrong.

pub mod bans;
mod file;
pub mod lease;

pub use file::FileError;
