//! Health and load of workers, by what attempts, probes and reports say.

use crate::admission::PRESSURE_GAIN;
use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::placement::{DEFAULT_SLOTS, KEY_DECAY};
use crate::requests::AttemptState;
use crate::worker::WorkerId;

/// A key counted less often than this at a worker, in jobs, is forgotten there.
pub(crate) const MIN_KEY_COUNT: f64 = 0.05;
/// Weight of a new report in a worker's mean.
const REPORT_GAIN: f64 = 0.3;
/// Weight of any report in the mean fill of all workers.
const FILL_GAIN: f64 = 0.02;
/// About the age of a report, from which own slots are taken off.
pub(crate) const OWN_SLOTS_DECAY: Span = Span(1_000_000);
/// The queue that is likely behind a report of no free slots, as a part of the slots.
const HIDDEN_QUEUE_RATIO: f64 = 0.3;
/// Age of news that says nothing: where many share a fleet, each hears of a worker seldom.
pub(crate) const STALE_AFTER: Span = Span(2_000_000);
/// A job that has not started after this waits in a queue: no slot is free there.
pub(crate) const QUEUED_AFTER: Span = Span(60_000);
/// Weight of a new run time in the mean.
const RUN_GAIN: f64 = 0.05;
/// A worker that turned a job away counts as Full for about a job's length.
const FULL_AFTER_REJECTION: Span = Span(200_000);
/// First pause for a worker whose attempt failed, doubled each time in a row.
const BASE_EJECTION: Span = Span(500_000);
/// How often the pause is doubled at most.
const MAX_EJECTION_DOUBLINGS: u32 = 4;
/// Errors fade over this: one job served is no proof of health.
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
        let Some((worker, sent)) = self.requests.on_update(id, attempt, update, now) else { return };
        self.cancel_attempts(id, false, out);
        self.advance(id, out);
        let runs = ((now - sent).secs() - QUEUED_AFTER.secs()) / self.mean_run_secs();
        let Some(w) = self.fleet.get_mut(worker) else { return };
        w.on_started(sent);
        if runs > 0.0 {
            // The wait of an own job is the freshest news of a queue, but one alone shows none: a machine may be slow.
            w.other_slots.get_or_insert(self.mean_fill * w.learned_slots.unwrap_or(DEFAULT_SLOTS));
            let held = w.learned_slots.unwrap_or(DEFAULT_SLOTS) * (1.0 + runs)
                - w.smoothed_own_slots(now, OWN_SLOTS_DECAY);
            w.blend_other_slots(held, REPORT_GAIN, now);
        }
    }

    pub(crate) fn on_outcome(&mut self, end: AttemptEnd, out: &mut Vec<Action>) {
        let (now, id) = (self.now, end.request);
        let Some(job) = self.requests.get_mut(id) else { return };
        let (class, slots, key) = (job.class, job.slots, job.key);
        let Some(a) = job.attempts.get_mut(end.attempt).filter(|a| a.state == AttemptState::Pending) else {
            return;
        };
        a.state = if end.outcome.proves_no_run() { AttemptState::NeverRan } else { AttemptState::MayHaveRun };
        let (worker, took, sent) = (a.worker, a.started.map_or(end.latency, |at| now - at), a.sent);
        self.on_report(Some(worker), end.load);
        if let Some(w) = self.fleet.get_mut(worker) {
            w.on_ended(now, sent, slots, OWN_SLOTS_DECAY);
            if let (Some(key), true) = (key, end.outcome.proves_no_run()) {
                w.count_key(key, -1.0, now, KEY_DECAY, MIN_KEY_COUNT);
            }
        }
        if end.outcome == Outcome::Served {
            let mean = &mut self.run_times[class.0];
            mean.0 += ((took.0 - mean.0) as f64 * RUN_GAIN) as i64;
            let (cost, seen) = &mut self.run_costs[class.0];
            *seen = seen.saturating_add(1);
            *cost += (took.secs() - *cost) * RUN_GAIN.max(1.0 / (f64::from(*seen) + 1.0));
            if let Some(t) = key.and_then(|key| self.table.get_mut(&key)) {
                t.demand.add(now, KEY_DECAY, took.secs() * slots);
            }
        }
        self.update_health(worker, end.outcome);
        self.fleet.remove_if_idle(worker);
        if end.closed {
            self.close(id, out);
        }
        self.requests.close_if_done(id);
        self.advance(id, out);
    }

    /// Health by outcomes: fast errors and dead connections must not look idle.
    pub(crate) fn update_health(&mut self, worker: WorkerId, outcome: Outcome) {
        let (now, Some(w)) = (self.now, self.fleet.get_mut(worker)) else { return };
        let ends = |of| f64::from(u8::from(outcome == of));
        w.count_outcomes(now, ERROR_DECAY, ends(Outcome::Error), ends(Outcome::Served));
        match outcome {
            Outcome::Served => w.consecutive_failures = 0,
            Outcome::TurnedAway => w.full_until = now + FULL_AFTER_REJECTION,
            Outcome::Cancelled | Outcome::NotSent | Outcome::StaleConnection | Outcome::Unusable => return,
            _ => {
                let again = f64::from(w.consecutive_failures)
                    .max(w.error_count(now, ERROR_DECAY) - 1.0)
                    .round() as u32;
                w.ejected_until = now + Span(BASE_EJECTION.0 << again.min(MAX_EJECTION_DOUBLINGS));
                w.consecutive_failures += 1;
            }
        }
        if let Outcome::Served | Outcome::TurnedAway = outcome {
            self.pressure += (ends(Outcome::TurnedAway) - self.pressure) * PRESSURE_GAIN;
        }
    }

    pub(crate) fn on_report(&mut self, worker: Option<WorkerId>, load: Option<LoadReport>) {
        let (now, shared) = (self.now, self.is_shared_fleet());
        let (Some(w), Some(load)) = (worker.and_then(|id| self.fleet.get_mut(id)), load) else { return };
        let since = w.reported_at.map_or(OWN_SLOTS_DECAY, |at| (now - at).min(OWN_SLOTS_DECAY)).secs();
        let [errors, served] = [load.errors_per_s, load.served_per_s].map(|rate| rate.unwrap_or(0.0) * since);
        w.count_outcomes(now, ERROR_DECAY, errors, served);
        let Some(held) = w.learn_from_report(load, HIDDEN_QUEUE_RATIO, DEFAULT_SLOTS) else { return };
        let others = held - w.smoothed_own_slots(now, OWN_SLOTS_DECAY);
        // What is left of old news is no mean, but a wrong figure.
        let old = shared && w.reported_at.is_none_or(|at| now - at > STALE_AFTER);
        w.blend_other_slots(others, if old { 1.0 } else { REPORT_GAIN }, now);
        w.reported_at = Some(now);
        self.mean_fill += (held / w.learned_slots.unwrap_or(DEFAULT_SLOTS) - self.mean_fill) * FILL_GAIN;
    }
}
