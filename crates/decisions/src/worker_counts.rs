//! What operators are told of a dispatcher's log workers. Nothing is decided here.

use crate::api::WorkerCounts;
use crate::dispatcher::Dispatcher;

impl Dispatcher {
    /// How many workers there are.
    pub fn worker_counts(&self) -> WorkerCounts {
        self.fleet.worker_counts(self.now)
    }

    /// Whether a worker is listed, or taken out by hand.
    pub fn knows(&self, worker: &str) -> bool {
        self.fleet.knows(worker)
    }
}
