//! State that the processes of one dispatcher share through a directory: the operator bans ([`bans`]), the leases that show
//! which processes are running ([`lease`]), and the ids of requests that must not run twice ([`sent_ids`]). The file of the
//! bans begins with a version and a checksum, and is replaced
//! atomically by a rename: a reader finds the old or the new content, or an error that says what is wrong.

pub mod bans;
mod file;
pub mod lease;
pub mod sent_ids;

pub use file::FileError;
