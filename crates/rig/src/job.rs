//! A job's number on the wire: who was sent it, and which it is.

use std::fmt;

/// A job's number: its dispatcher, and a count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct JobId(pub u64);

const COUNT_BITS: u32 = 40;

impl JobId {
    /// The `count`-th job, sent to this dispatcher.
    pub fn new(dispatcher: usize, count: u64) -> Self {
        JobId((dispatcher as u64) << COUNT_BITS | count & ((1 << COUNT_BITS) - 1))
    }

    /// The dispatcher it was sent to.
    pub fn dispatcher(self) -> usize {
        (self.0 >> COUNT_BITS) as usize
    }

    /// Reads the form on the wire.
    pub fn parse(text: &str) -> Option<Self> {
        (text.len() == 16).then(|| u64::from_str_radix(text, 16).ok().map(JobId)).flatten()
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
