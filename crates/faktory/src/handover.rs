//! Consumers that a former master keeps. Jobs that it accepted as the master are handed out again by itself alone, so
//! some of the consumers that ask it have to stay while one of these jobs may come back.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Consumers that are kept for each job that may come back. One of them may leave, too.
const CONSUMERS_PER_JOB: usize = 2;

/// The FETCHes that wait at a former master. Clones share the count.
#[derive(Clone, Default)]
pub struct KeptFetches(Arc<AtomicUsize>);

/// A FETCH that waits at a former master, until it is dropped.
pub struct KeptFetch(KeptFetches);

impl KeptFetches {
    /// Keeps one more FETCH, unless there are enough of them for this number of jobs.
    pub fn keep(&self, owed_jobs: usize) -> Option<KeptFetch> {
        let limit = owed_jobs * CONSUMERS_PER_JOB;
        let more = |count: usize| (count < limit).then_some(count + 1);
        self.0.fetch_update(Ordering::AcqRel, Ordering::Acquire, more).ok()?;
        Some(KeptFetch(self.clone()))
    }
}

impl Drop for KeptFetch {
    fn drop(&mut self) {
        self.0 .0.fetch_sub(1, Ordering::AcqRel);
    }
}

#[cfg(test)]
mod tests;
