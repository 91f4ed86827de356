//! Attempts: the gate of all sends, hedging, and what is called off or sent again.

use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::health::{MIN_KEY_COUNT, OWN_SLOTS_DECAY};
use crate::placement::KEY_DECAY;
use crate::requests::{Attempt, AttemptState, Job};
use crate::worker::WorkerId;

/// A worker that says nothing on a job for this many times its usual pause is given up there.
const SILENT_INTERVALS: i64 = 2;
/// A job that has not started after this part of its aim is offered to another worker.
const HEDGE_AFTER_FRACTION: f64 = 0.25;
/// It is offered only where its start is less likely late than this.
pub(crate) const HEDGE_MAX_LATE_PROBABILITY: f64 = 0.3;
/// Weight of the price of wasted work: what was called off in a queue may run all the same, and keeps others out.
const WASTE_FACTOR: f64 = 2.0;
/// What is sent reaches its worker within this.
pub(crate) const MAX_TRANSIT: Span = Span(20_000);

impl Dispatcher {
    /// A job that waits in a queue is offered to another worker as a second copy, where that is allowed; the copy that
    /// starts calls off the other. Elsewhere it is called off first: the work that this may waste has its price.
    pub(crate) fn hedge(&mut self, id: RequestId, last: Time, out: &mut Vec<Action>) {
        let Some(job) = self.requests.get(id) else { return };
        let (class, limits) = (&self.settings.classes[job.class.0], &self.settings.limits);
        let waits = job
            .attempts
            .iter()
            .all(|a| a.state != AttemptState::Pending || (a.started.is_none() && !a.cancelled));
        let (copies, offers) = (limits.second_copies, limits.cancel && self.settings.reports_start);
        let spent = job.attempts.len() >= limits.max_attempts || self.now >= self.latest_start(job);
        let offer = job.attempts.last().map_or(last, |a| a.sent)
            + Span((class.aim.0 as f64 * HEDGE_AFTER_FRACTION) as i64);
        let may = waits && offers && !spent && class.effect != Effect::Unsafe;
        // A worker that runs it and says nothing: what must not run twice fails at once, the rest goes elsewhere.
        let silent = job
            .silent_at(Span(self.settings.progress_interval.0 * SILENT_INTERVALS))
            .filter(|_| limits.cancel);
        let (mut job, next) = (job.clone(), if may && self.now < offer { offer.min(last) } else { last });
        self.requests.schedule(id, Some(silent.filter(|at| *at > self.now).map_or(next, |at| at.min(next))));
        if silent.is_some_and(|at| at <= self.now) {
            self.cancel_attempts(id, true, out);
        }
        if may && self.now >= offer {
            if !copies {
                job.assume_cancelled();
            }
            let to = self.choose_worker(&job, out);
            let late = |id: WorkerId| self.fleet.get(id).map_or(1.0, |w| self.late_probability(w, &job));
            // News of free slots was wrong there: that it waits says more than they do.
            let here = job.attempts.last().map_or(1.0, |a| late(a.worker)).max(HEDGE_MAX_LATE_PROBABILITY);
            match to.filter(|to| late(*to) <= HEDGE_MAX_LATE_PROBABILITY) {
                Some(to) if copies => self.send(id, to, out),
                Some(to) if here - late(to) > WASTE_FACTOR * self.settings.waste_price => {
                    self.cancel_attempts(id, false, out)
                }
                _ => {}
            }
        }
    }

    pub(crate) fn cancel_attempts(&mut self, id: RequestId, started_too: bool, out: &mut Vec<Action>) {
        if self.settings.limits.cancel {
            let which = self.requests.mark_cancelled(id, started_too);
            out.extend(which.into_iter().map(|attempt| Action::Cancel { request: id, attempt }));
        }
    }

    /// The gate of all sends: proves the four rules.
    pub(crate) fn may_send(&self, job: &Job, to: WorkerId) -> bool {
        let Some(w) = self.fleet.get(to) else { return false };
        let class = &self.settings.classes[job.class.0];
        // Rule 1: nothing after the end or the deadline, nor more attempts than allowed.
        let counted = job.attempts.len() < self.settings.limits.max_attempts;
        let open =
            counted && !job.ended && !job.streaming && self.now + self.settings.quantum < self.send_by(job);
        let alone = job.pending_attempts() == 0 || self.settings.limits.second_copies;
        // Rule 3: only workers that this dispatcher's list has in service, and a list that is not too old.
        let kind = class.kind.is_none() || class.kind == w.kind;
        open && alone && self.may_repeat(job, to) && w.in_service && kind && self.slow_start_turn(w).is_some()
    }

    /// Rule 2: what may have run is repeated only as its class allows.
    pub(crate) fn may_repeat(&self, job: &Job, to: WorkerId) -> bool {
        let (effect, w) = (self.settings.classes[job.class.0].effect, self.fleet.get(to));
        let mut ran = job.possible_runs();
        match effect {
            Effect::Safe => true,
            Effect::Unsafe => ran.next().is_none(),
            Effect::Keyed { .. } => {
                ran.all(|(peers, _)| w.is_some_and(|w| *peers == w.dedup_group(to, effect)))
            }
        }
    }

    /// Until when a job may be sent: while its client waits, its list holds, and a repeat of it is dropped.
    fn send_by(&self, job: &Job) -> Time {
        let repeat = job.repeat_deadline(self.settings.classes[job.class.0].effect, MAX_TRANSIT);
        self.list_age.valid_until().into_iter().chain(repeat).fold(job.deadline, Time::min)
    }

    /// The only place that sends.
    pub(crate) fn send(&mut self, id: RequestId, to: WorkerId, out: &mut Vec<Action>) {
        let Some(job) = self.requests.get(id).filter(|job| self.may_send(job, to)) else { return };
        let Some(w) = self.fleet.get(to) else { return };
        let peers = w.dedup_group(to, self.settings.classes[job.class.0].effect);
        let (turn, now, by) = (self.slow_start_turn(w).unwrap_or(i64::MIN), self.now, self.send_by(job));
        let (Some(w), Some(job)) = (self.fleet.get_mut(to), self.requests.get_mut(id)) else { return };
        w.on_sent(now, job.slots, OWN_SLOTS_DECAY);
        if let Some(key) = job.key {
            w.count_key(key, 1.0, now, KEY_DECAY, MIN_KEY_COUNT);
        }
        w.last_turn = w.last_turn.max(turn);
        if let (Some(t), true) = (job.tenant, job.attempts.is_empty()) {
            self.tenant_buckets[t.0].put(-1.0);
        }
        job.attempts.push(Attempt::new(to, now, peers));
        let (timeout, last) = (Some(job.deadline - now), job.deadline - self.settings.quantum);
        out.push(Action::Send { request: id, worker: w.name.clone(), timeout, by });
        self.hedge(id, last, out);
    }
}
