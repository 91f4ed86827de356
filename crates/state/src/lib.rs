//! State that the processes of one dispatcher share through a directory: the operator bans ([`bans`]) and the leases that
//! show which processes are running ([`lease`]). A state file begins with a version and a checksum, and is replaced
//! atomically by a rename: a reader finds the old or the new content, or an error that says what is wrong.

pub mod bans;
mod file;
pub mod lease;

pub use file::FileError;
