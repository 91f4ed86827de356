//! Attempts: the checks that every send has to pass, hedging, and which attempts are cancelled or repeated.

use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::health::{MIN_KEY_COUNT, OWN_SLOTS_DECAY};
use crate::placement::KEY_DECAY;
use crate::requests::{Attempt, AttemptState, Job};
use crate::worker::WorkerId;

/// A worker that sends no update on a running job for this many progress intervals is given up for that job.
const SILENT_INTERVALS: i64 = 2;
/// A job that has not started after this fraction of its aim is offered to another worker.
const HEDGE_AFTER_FRACTION: f64 = 0.25;
/// Lower bound on the time between two looks for another worker.
const MIN_HEDGE_INTERVAL: Span = Span(20_000);
/// A job is only offered to another worker if the probability of a late start there is at most this.
pub(crate) const HEDGE_MAX_LATE_PROBABILITY: f64 = 0.3;
/// Factor on the price of wasted work: a job that is cancelled in a queue may run nevertheless, and keeps others out.
const WASTE_FACTOR: f64 = 2.0;
/// An attempt reaches its worker within this time.
pub(crate) const MAX_TRANSIT: Span = Span(20_000);

impl Dispatcher {
    /// Offers a job that waits in a worker's queue to another worker. Where second copies are permitted, both
    /// attempts stay and the one that starts first cancels the other. Otherwise the first attempt is cancelled before
    /// the next is sent, if the gain exceeds the price of the work that this may waste. Also gives up a worker that
    /// runs the job and has fallen silent, and schedules the next check of the job, by `last` at the latest.
    pub(crate) fn hedge(&mut self, id: RequestId, last: Time, out: &mut Vec<Action>) {
        let Some(job) = self.requests.get(id) else { return };
        let (class, limits) = (&self.settings.classes[job.class.0], &self.settings.limits);
        let waits = job
            .attempts
            .iter()
            .all(|a| a.state != AttemptState::Pending || (a.started.is_none() && !a.cancelled));
        let copies = limits.second_copies;
        let can_hedge = limits.cancel && self.settings.reports_start;
        let spent = !self.has_attempts_left(job) || self.now >= self.latest_start(job);
        let last_sent = job.attempts.last().map_or(last, |a| a.sent);
        let interval = Span((class.aim.0 as f64 * HEDGE_AFTER_FRACTION) as i64);
        let hedge_at = last_sent + interval;
        let may_hedge = waits && can_hedge && !spent && class.effect != Effect::Unsafe;
        // After a worker that runs the job has fallen silent, a job that must not run twice fails at once; any other
        // is sent elsewhere.
        let silence = Span(self.settings.progress_interval.0 * SILENT_INTERVALS);
        let silent_at = job.silent_at(silence).filter(|_| limits.cancel);
        let mut job = job.clone();
        let next_hedge = match self.now < hedge_at {
            true => Some(hedge_at),
            // The refusal of an accepted job would reach nobody, so a worker that gets free later counts, too.
            false => job.accepted.then_some(self.now + interval.max(MIN_HEDGE_INTERVAL)),
        };
        let next = next_hedge.filter(|_| may_hedge).map_or(last, |at| at.min(last));
        let next = silent_at.filter(|at| *at > self.now).map_or(next, |at| at.min(next));
        self.requests.schedule(id, Some(next));
        if silent_at.is_some_and(|at| at <= self.now) {
            self.cancel_attempts(id, true, out);
        }
        if may_hedge && self.now >= hedge_at {
            if !copies {
                job.assume_cancelled();
            }
            let to = self.choose_worker(&job, out);
            let late =
                |id: WorkerId| self.fleet.get(id).map_or(1.0, |worker| self.late_probability(worker, &job));
            // Free slots reported by the current worker do not count: that the job still waits there shows that the
            // report was wrong.
            let late_here =
                job.attempts.last().map_or(1.0, |a| late(a.worker)).max(HEDGE_MAX_LATE_PROBABILITY);
            match to.filter(|to| late(*to) <= HEDGE_MAX_LATE_PROBABILITY) {
                Some(to) if copies => self.send(id, to, out),
                Some(to) if late_here - late(to) > WASTE_FACTOR * self.settings.waste_price => {
                    self.cancel_attempts(id, false, out)
                }
                _ => {}
            }
        }
    }

    /// Whether a job may be sent once more by the number of its attempts. An accepted job is owed one until its deadline.
    fn has_attempts_left(&self, job: &Job) -> bool {
        job.accepted || job.attempts.len() < self.settings.limits.max_attempts
    }

    /// Cancels the pending attempts of a request, where the host permits it. With `started_too` false, only those
    /// that have not started.
    pub(crate) fn cancel_attempts(&mut self, id: RequestId, started_too: bool, out: &mut Vec<Action>) {
        if self.settings.limits.cancel {
            let cancelled = self.requests.mark_cancelled(id, started_too);
            out.extend(cancelled.into_iter().map(|attempt| Action::Cancel { request: id, attempt }));
        }
    }

    /// Whether a job may be sent to a worker now. Every send passes this check, which enforces the four rules.
    pub(crate) fn may_send(&self, job: &Job, to: WorkerId) -> bool {
        let Some(worker) = self.fleet.get(to) else { return false };
        let class = &self.settings.classes[job.class.0];
        // Rule 1: no send after the request's end or deadline, and no more attempts than the settings allow, unless the
        // job is owed an attempt until its deadline.
        let open = self.has_attempts_left(job)
            && !job.ended
            && !job.streaming
            && self.now + self.settings.quantum < self.send_by(job);
        let single = job.pending_attempts() == 0 || self.settings.limits.second_copies;
        // Rule 3: only workers that this dispatcher's list has in service, by a list that is not too old. Rule 2 is
        // checked by `may_repeat`, rule 4 by `slow_start_turn`.
        let kind = class.kind.is_none() || class.kind == worker.kind;
        open && single
            && self.may_repeat(job, to)
            && worker.in_service
            && kind
            && worker.serves_queue_of(job)
            && self.slow_start_turn(worker).is_some()
    }

    /// Rule 2: a job that may have run is repeated only as its class allows.
    pub(crate) fn may_repeat(&self, job: &Job, to: WorkerId) -> bool {
        let (effect, worker) = (self.settings.classes[job.class.0].effect, self.fleet.get(to));
        let mut runs = job.possible_runs();
        match effect {
            Effect::Safe => true,
            Effect::Unsafe => runs.next().is_none(),
            Effect::Keyed { .. } => {
                runs.all(|(group, _)| worker.is_some_and(|worker| *group == worker.dedup_group(to, effect)))
            }
        }
    }

    /// Until when a job may be sent: the earliest of its deadline, the end of the list's validity, and the end of the
    /// time in which workers discard a repeat of it.
    fn send_by(&self, job: &Job) -> Time {
        let repeat = job.repeat_deadline(self.settings.classes[job.class.0].effect, MAX_TRANSIT);
        self.list_age.valid_until().into_iter().chain(repeat).fold(job.deadline, Time::min)
    }

    /// Sends a job if `may_send` allows it. No other function pushes [`Action::Send`].
    pub(crate) fn send(&mut self, id: RequestId, to: WorkerId, out: &mut Vec<Action>) {
        let Some(job) = self.requests.get(id).filter(|job| self.may_send(job, to)) else { return };
        let Some(worker) = self.fleet.get(to) else { return };
        let group = worker.dedup_group(to, self.settings.classes[job.class.0].effect);
        let (turn, now, by) = (self.slow_start_turn(worker).unwrap_or(i64::MIN), self.now, self.send_by(job));
        let (Some(worker), Some(job)) = (self.fleet.get_mut(to), self.requests.get_mut(id)) else { return };
        worker.on_sent(now, job.slots, OWN_SLOTS_DECAY);
        if let Some(key) = job.key {
            worker.count_key(key, 1.0, now, KEY_DECAY, MIN_KEY_COUNT);
        }
        worker.last_turn = worker.last_turn.max(turn);
        if let (Some(tenant), true) = (job.tenant, job.attempts.is_empty()) {
            self.tenant_buckets[tenant.0].add(-1.0);
        }
        job.attempts.push(Attempt::new(to, now, group));
        job.tried.on_sent(to);
        let (timeout, last) = (Some(job.deadline - now), job.deadline - self.settings.quantum);
        out.push(Action::Send { request: id, worker: worker.name.clone(), timeout, by });
        self.hedge(id, last, out);
    }
}
