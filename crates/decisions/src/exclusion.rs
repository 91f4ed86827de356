//! Exclusion: how long the end of an attempt keeps its job from being offered to the same worker again. Workers that the
//! job has not tried come first in any case.

use crate::api::{Outcome, Span, Time};
use crate::worker::WorkerId;

/// After an end that says nothing about the worker.
const SHORT_EXCLUSION: Span = Span(50_000);
/// After an end that shows that the worker had no room: about the length of a job.
const FULL_EXCLUSION: Span = Span(200_000);
/// After an end that may be the worker's fault.
const FAILURE_EXCLUSION: Span = Span(500_000);
/// Upper bound on the number of doublings.
const MAX_EXCLUSION_DOUBLINGS: u32 = 3;

/// Whether and when a worker may get a job again, after an attempt there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Exclusion {
    /// It may not: the attempt has settled the job.
    Permanent,
    /// It may after this time, doubled with each earlier attempt of the job there.
    Temporary(Span),
}

impl Exclusion {
    /// The exclusion that the end of an attempt brings about. Whether the job's class permits a repeat is a question of
    /// its own; see `retry`.
    pub fn after(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Served | Outcome::Unusable => Exclusion::Permanent,
            Outcome::NotSent | Outcome::StaleConnection => Exclusion::Temporary(SHORT_EXCLUSION),
            Outcome::TurnedAway | Outcome::Cancelled => Exclusion::Temporary(FULL_EXCLUSION),
            Outcome::Error | Outcome::NoAnswer | Outcome::NoConnection | Outcome::ConnectionLost => {
                Exclusion::Temporary(FAILURE_EXCLUSION)
            }
        }
    }

    /// Its length after so many earlier attempts of the job at the worker. None if it does not end.
    fn duration(self, earlier_attempts: u32) -> Option<Span> {
        match self {
            Exclusion::Permanent => None,
            Exclusion::Temporary(first) => {
                Some(Span(first.0 << earlier_attempts.min(MAX_EXCLUSION_DOUBLINGS)))
            }
        }
    }
}

/// A worker that a job was sent to.
#[derive(Clone, Debug)]
pub struct TriedWorker {
    pub worker: WorkerId,
    /// Number of attempts there.
    pub attempts: u32,
    /// When it may get the job again. None during an attempt there, and if it may not.
    pub eligible_at: Option<Time>,
}

/// The workers that a job was sent to.
#[derive(Clone, Debug, Default)]
pub struct TriedWorkers(Vec<TriedWorker>);

impl TriedWorkers {
    /// Records that an attempt was sent to `worker`.
    pub fn on_sent(&mut self, worker: WorkerId) {
        match self.0.iter_mut().find(|tried| tried.worker == worker) {
            Some(tried) => (tried.attempts, tried.eligible_at) = (tried.attempts + 1, None),
            None => self.0.push(TriedWorker { worker, attempts: 1, eligible_at: None }),
        }
    }

    /// Records the end of the attempt at `worker`.
    pub fn on_ended(&mut self, worker: WorkerId, outcome: Outcome, now: Time) {
        if let Some(tried) = self.0.iter_mut().find(|tried| tried.worker == worker) {
            let duration = Exclusion::after(outcome).duration(tried.attempts - 1);
            tried.eligible_at = duration.map(|duration| now + duration);
        }
    }

    pub fn contains(&self, worker: WorkerId) -> bool {
        self.0.iter().any(|tried| tried.worker == worker)
    }

    /// Whether `worker` may get the job, now or later.
    pub fn may_get(&self, worker: WorkerId) -> bool {
        let tried = self.0.iter().find(|tried| tried.worker == worker);
        tried.is_none_or(|tried| tried.eligible_at.is_some())
    }

    /// The workers that may get the job again now.
    pub fn eligible(&self, now: Time) -> impl Iterator<Item = &TriedWorker> {
        self.0.iter().filter(move |tried| tried.eligible_at.is_some_and(|at| at <= now))
    }
}
