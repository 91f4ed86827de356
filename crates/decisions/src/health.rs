//! Health and load of workers, derived from the outcomes of attempts, from probes and from load reports.

use crate::admission::PRESSURE_GAIN;
use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::placement::{DEFAULT_SLOTS, KEY_DECAY};
use crate::requests::AttemptState;
use crate::worker::WorkerId;

/// A key whose decayed count of jobs on a worker falls below this is no longer tracked there.
pub(crate) const MIN_KEY_COUNT: f64 = 0.05;
/// Weight of a new report in the moving average of a worker's load.
const REPORT_GAIN: f64 = 0.3;
/// Weight of each report in the moving average of the fill over all workers.
const FILL_GAIN: f64 = 0.02;
/// Time constant for smoothing this dispatcher's own slots before they are subtracted from a report. It matches the
/// typical age of a report.
pub(crate) const OWN_SLOTS_DECAY: Span = Span(1_000_000);
/// The queue assumed behind a report of no free slots that states no queue, as a fraction of the slots.
const HIDDEN_QUEUE_RATIO: f64 = 0.3;
/// A report older than this carries no information. In a shared fleet each dispatcher receives reports of a worker
/// rarely.
pub(crate) const STALE_AFTER: Span = Span(2_000_000);
/// A job that has not started after this time waits in a queue: no slot of its worker is free.
pub(crate) const QUEUED_AFTER: Span = Span(60_000);
/// Weight of a new run time in the moving average of its class.
const RUN_GAIN: f64 = 0.05;
/// A worker that turned a job away counts as Full for about the length of a job.
const FULL_AFTER_REJECTION: Span = Span(200_000);
/// How long a worker is ejected after a failed attempt (outlier ejection). Doubled with each consecutive failure.
const BASE_EJECTION: Span = Span(500_000);
/// Upper bound on the number of doublings.
const MAX_EJECTION_DOUBLINGS: u32 = 4;
/// Time constant with which errors decay. They are not reset by a success, since one served job does not prove
/// health.
pub(crate) const ERROR_DECAY: Span = Span(10_000_000);

impl Dispatcher {
    pub(crate) fn on_update(
        &mut self,
        id: RequestId,
        attempt: usize,
        update: AttemptUpdate,
        out: &mut Vec<Action>,
    ) {
        let now = self.now;
        // A job that has just started: its other attempts that have not started are cancelled.
        let Some((worker_id, sent)) = self.requests.on_update(id, attempt, update, now) else { return };
        self.cancel_attempts(id, false, out);
        self.advance(id, out);
        let waited_runs = ((now - sent).secs() - QUEUED_AFTER.secs()) / self.mean_run_secs();
        let Some(worker) = self.fleet.get_mut(worker_id) else { return };
        worker.on_started(sent);
        if waited_runs > 0.0 {
            // The wait of an own job is the newest information on a worker's queue. It is averaged, because a single
            // long wait does not prove a queue: the machine may be slow.
            worker.other_slots.get_or_insert(self.mean_fill * worker.learned_slots.unwrap_or(DEFAULT_SLOTS));
            let held = worker.learned_slots.unwrap_or(DEFAULT_SLOTS) * (1.0 + waited_runs)
                - worker.smoothed_own_slots(now, OWN_SLOTS_DECAY);
            worker.blend_other_slots(held, REPORT_GAIN, now);
        }
    }

    pub(crate) fn on_outcome(&mut self, end: AttemptEnd, out: &mut Vec<Action>) {
        let (now, id) = (self.now, end.request);
        let Some(job) = self.requests.get_mut(id) else { return };
        let (class, slots, key) = (job.class, job.slots, job.key);
        let attempt = job.attempts.get_mut(end.attempt).filter(|a| a.state == AttemptState::Pending);
        let Some(attempt) = attempt else {
            return;
        };
        attempt.state =
            if end.outcome.proves_no_run() { AttemptState::NeverRan } else { AttemptState::MayHaveRun };
        let (worker_id, run_time, sent) =
            (attempt.worker, attempt.started.map_or(end.latency, |at| now - at), attempt.sent);
        job.tried.on_ended(worker_id, end.outcome, now);
        self.on_report(Some(worker_id), end.load);
        if let Some(worker) = self.fleet.get_mut(worker_id) {
            worker.on_ended(now, sent, slots, OWN_SLOTS_DECAY);
            if let (Some(key), true) = (key, end.outcome.proves_no_run()) {
                worker.count_key(key, -1.0, now, KEY_DECAY, MIN_KEY_COUNT);
            }
        }
        if end.outcome == Outcome::Served {
            let mean = &mut self.run_times[class.0];
            mean.0 += ((run_time.0 - mean.0) as f64 * RUN_GAIN) as i64;
            let (cost, count) = &mut self.run_costs[class.0];
            *count = count.saturating_add(1);
            *cost += (run_time.secs() - *cost) * RUN_GAIN.max(1.0 / (f64::from(*count) + 1.0));
            if let Some(entry) = key.and_then(|key| self.table.get_mut(&key)) {
                entry.demand.add(now, KEY_DECAY, run_time.secs() * slots);
            }
        }
        self.update_health(worker_id, end.outcome, sent);
        self.fleet.remove_if_idle(worker_id);
        if end.closed {
            self.close(id, out);
        }
        self.requests.close_if_done(id);
        self.advance(id, out);
    }

    /// Updates a worker's health by the outcome of an attempt or probe that was sent at `sent`. A worker that fails is
    /// ejected for a while, as otherwise fast errors and dead connections would make it look idle. What was sent before
    /// the ejection began fails by the same incident, and makes it start anew without making it longer.
    pub(crate) fn update_health(&mut self, worker_id: WorkerId, outcome: Outcome, sent: Time) {
        let (now, Some(worker)) = (self.now, self.fleet.get_mut(worker_id)) else { return };
        let matches_outcome = |of| f64::from(u8::from(outcome == of));
        worker.count_outcomes(
            now,
            ERROR_DECAY,
            matches_outcome(Outcome::Error),
            matches_outcome(Outcome::Served),
        );
        match outcome {
            Outcome::Served => worker.consecutive_failures = 0,
            Outcome::TurnedAway => worker.full_until = now + FULL_AFTER_REJECTION,
            Outcome::Cancelled | Outcome::NotSent | Outcome::StaleConnection | Outcome::Unusable => return,
            _ => {
                if worker.ejected_since.is_none_or(|since| sent > since) {
                    worker.consecutive_failures += 1;
                    worker.ejected_since = Some(now);
                }
                let failures = f64::from(worker.consecutive_failures.saturating_sub(1))
                    .max(worker.error_count(now, ERROR_DECAY) - 1.0)
                    .round() as u32;
                worker.ejected_until = now + Span(BASE_EJECTION.0 << failures.min(MAX_EJECTION_DOUBLINGS));
            }
        }
        if let Outcome::Served | Outcome::TurnedAway = outcome {
            self.pressure += (matches_outcome(Outcome::TurnedAway) - self.pressure) * PRESSURE_GAIN;
        }
    }

    pub(crate) fn on_report(&mut self, worker_id: Option<WorkerId>, load: Option<LoadReport>) {
        let (now, shared) = (self.now, self.is_shared_fleet());
        let (Some(worker), Some(load)) = (worker_id.and_then(|id| self.fleet.get_mut(id)), load) else {
            return;
        };
        let covered = worker.reported_at.map_or(OWN_SLOTS_DECAY, |at| (now - at).min(OWN_SLOTS_DECAY)).secs();
        let [errors, served] =
            [load.errors_per_s, load.served_per_s].map(|rate| rate.unwrap_or(0.0) * covered);
        worker.count_outcomes(now, ERROR_DECAY, errors, served);
        let Some(held) = worker.learn_from_report(load, HIDDEN_QUEUE_RATIO, DEFAULT_SLOTS) else { return };
        let other_slots = held - worker.smoothed_own_slots(now, OWN_SLOTS_DECAY);
        // A stale value is replaced, not averaged: what has decayed since then is no longer a mean but a wrong value.
        let stale = shared && worker.reported_at.is_none_or(|at| now - at > STALE_AFTER);
        worker.blend_other_slots(other_slots, if stale { 1.0 } else { REPORT_GAIN }, now);
        worker.reported_at = Some(now);
        self.mean_fill += (held / worker.learned_slots.unwrap_or(DEFAULT_SLOTS) - self.mean_fill) * FILL_GAIN;
    }
}
