//! Information on a dispatcher's log workers for operators. No decision depends on it.

use crate::api::WorkerCounts;
use crate::dispatcher::Dispatcher;

impl Dispatcher {
    /// Counts the listed workers, and those of them that are sent nothing now.
    pub fn worker_counts(&self) -> WorkerCounts {
        self.fleet.worker_counts(self.now)
    }

    /// Whether a worker is listed or manually ejected.
    pub fn knows(&self, worker: &str) -> bool {
        self.fleet.knows(worker)
    }
}
