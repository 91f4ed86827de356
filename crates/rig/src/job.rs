//! Job numbers, which are unique within a run and name the dispatcher that the job was sent to.

use std::fmt;

/// A job's number: the dispatcher in the upper bits, a counter in the lower ones. On the wire it is written as 16
/// hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct JobId(pub u64);

const COUNT_BITS: u32 = 40;

impl JobId {
    /// The number of the `count`-th job that is sent to this dispatcher.
    pub fn new(dispatcher: usize, count: u64) -> Self {
        JobId((dispatcher as u64) << COUNT_BITS | count & ((1 << COUNT_BITS) - 1))
    }

    /// The dispatcher that the job was sent to.
    pub fn dispatcher(self) -> usize {
        (self.0 >> COUNT_BITS) as usize
    }

    /// Parses the form on the wire.
    pub fn parse(text: &str) -> Option<Self> {
        (text.len() == 16).then(|| u64::from_str_radix(text, 16).ok().map(JobId)).flatten()
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
