//! Admission: what becomes of a request at each look, and the gate of final answers.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::placement::KEY_DECAY;
use crate::requests::Job;
use crate::retry::MAX_TRANSIT;
use crate::worker::{wait_probability, Worker, WorkerId};

/// Weight of one job in the pressure.
pub(crate) const PRESSURE_GAIN: f64 = 0.02;
/// A job more likely late than this is refused.
pub(crate) const MAX_LATE_PROBABILITY: f64 = 0.7;
/// The power by which jobs that hold many slots for their worth are refused sooner.
const WORTH_EXPONENT: i32 = 2;
/// The most use of its slots that the chance of a late start reckons with.
const MAX_UTILIZATION: f64 = 0.98;
/// The part of its own extra time that a job of unknown length may wait.
const UNKNOWN_STRETCH_FRACTION: f64 = 0.5;
/// A job that no worker may take now is looked at again after this.
const RECHECK_INTERVAL: Span = Span(20_000);
/// Seconds of its share that a tenant may save up.
const TENANT_BURST_S: f64 = 3.0;
/// Clients spread unevenly: one dispatcher may carry this much of its part of a tenant's share.
const TENANT_SLACK: f64 = 1.15;

impl Dispatcher {
    pub(crate) fn on_request(&mut self, r: Request, out: &mut Vec<Action>) {
        let over_share = r.tenant.is_some_and(|t| {
            let rate =
                TENANT_SLACK * self.settings.tenants[t.0].allowance_per_s / self.settings.dispatchers as f64;
            self.tenant_buckets[t.0].level(self.now, rate, (rate * TENANT_BURST_S).max(1.0)) < 1.0
        });
        let kind = self.settings.classes[r.class.0].kind;
        let key = r.key.as_ref();
        let key = key.map(|k| xxh3_64_with_seed(k.as_bytes(), kind.map_or(0, |k| k.0 as u64 + 1)));
        if let Some(kind) = kind {
            self.kind_demand[kind.0].add(self.now, KEY_DECAY, self.run_times[r.class.0].secs() * r.slots);
        }
        let id = r.id;
        self.requests.open(Job::new(r, key, over_share, self.now));
        self.advance(id, out);
    }

    /// Takes a job one step further: send it, keep it for a moment, or give its final answer.
    pub(crate) fn advance(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(job) = self.requests.get(id).filter(|j| !j.ended && !j.streaming) else { return };
        let last = job.deadline - self.settings.quantum;
        if self.now >= last {
            return self.answer(id, EndReason::DeadlineReached, out);
        }
        if job.pending_attempts() > 0 {
            return self.hedge(id, last, out);
        }
        let class = &self.settings.classes[job.class.0];
        let late = class.late_worth == 0.0 && self.now >= self.latest_start(job);
        let over = job
            .repeat_deadline(class.effect, MAX_TRANSIT)
            .is_some_and(|at| at <= self.now + self.settings.quantum);
        // Waiting for a worker that may repeat it helps only while there is one.
        let takes = |id: &WorkerId| !job.tried(*id) && self.may_repeat(job, *id);
        let bound = class.effect != Effect::Safe && job.may_have_run();
        let stuck = over || bound && !self.fleet.in_service.iter().any(takes);
        let exhausted = job.attempts.len() >= self.settings.limits.max_attempts;
        let reason = match (late, stuck, exhausted) {
            (true, ..) => Some(EndReason::TooLateToStart),
            (_, true, _) => Some(EndReason::NoRepeatAllowed),
            (.., true) => Some(EndReason::AttemptsExhausted),
            _ => None,
        };
        if let Some(reason) = reason {
            return self.answer(id, reason, out);
        }
        let (job, late_worth) = (job.clone(), class.late_worth);
        let to = self.list_age.is_valid(self.now).then(|| self.choose_worker(&job, out)).flatten();
        let chance = to.and_then(|to| self.fleet.get(to)).map(|w| self.late_probability(w, &job));
        match to {
            // What would start too late is refused: served late it is worth nothing and keeps others late.
            Some(_)
                if late_worth == 0.0
                    && chance.is_some_and(|c| c > MAX_LATE_PROBABILITY * self.relative_worth(&job)) =>
            {
                self.pressure += (1.0 - self.pressure) * PRESSURE_GAIN;
                self.answer(id, EndReason::LikelyLate, out)
            }
            Some(worker)
                if self.awaits_probe(worker, job.attempts.last().map_or(job.arrived, |a| a.sent)) =>
            {
                self.requests.schedule(id, Some(last.min(self.now + RECHECK_INTERVAL)));
            }
            Some(worker) => self.send(id, worker, out),
            None if job.over_share => self.answer(id, EndReason::TenantOverShare, out),
            None if self.fleet.all_banned() => self.answer(id, EndReason::AllBanned, out),
            None => self.requests.schedule(id, Some(last.min(self.now + RECHECK_INTERVAL))),
        }
    }

    /// The gate of final answers: a refusal only where it is true that a new try does no harm.
    fn answer(&mut self, id: RequestId, reason: EndReason, out: &mut Vec<Action>) {
        let Some(job) = self.requests.get(id).filter(|j| !j.ended && !j.streaming) else { return };
        let effect = self.settings.classes[job.class.0].effect;
        // A client's new try has the same key: harmless where all workers drop repeats, and while they do.
        let by =
            job.repeat_deadline(effect, self.settings.limits.max_retry_after).is_some_and(|by| self.now < by);
        let dropped = by && matches!(effect, Effect::Keyed { group: Group::All, .. });
        // Only what is taken counts against a share: clients repeat what was refused.
        if let (Some(t), true) = (job.tenant, !job.attempts.is_empty() && !job.may_have_run()) {
            self.tenant_buckets[t.0].put(1.0);
        }
        out.push(match dropped || effect == Effect::Safe || !job.may_have_run() {
            true => Action::Refuse { request: id, retry_after: None, reason },
            false => Action::Fail { request: id, reason },
        });
        self.close(id, out);
    }

    /// Closes a request and calls off what is still out for it.
    pub(crate) fn close(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(job) = self.requests.get_mut(id) else { return };
        job.ended = true;
        self.cancel_attempts(id, true, out);
        self.requests.schedule(id, None);
        self.requests.close_if_done(id);
    }

    /// When a job must have started to be in time, as far as can be told before it ran.
    pub(crate) fn latest_start(&self, job: &Job) -> Time {
        let class = &self.settings.classes[job.class.0];
        let work = job.work.unwrap_or(self.run_times[job.class.0]).0 as f64;
        job.arrived
            + class.aim
            + Span((work * (class.stretch - 1.0).max(0.0) * UNKNOWN_STRETCH_FRACTION) as i64)
    }

    /// The chance that a job would start there too late; what is held beyond the slots comes first.
    pub(crate) fn late_probability(&self, w: &Worker, job: &Job) -> f64 {
        let (slots, held) = (self.usable_slots(w).max(1.0), self.occupied_slots(w));
        let more = (job.slots - 1.0).max(0.0); // the head of a queue waits until all its slots are free
        let slack = (self.latest_start(job) - self.now).secs() / self.mean_run_secs().max(1e-3);
        wait_probability(
            slots,
            (held / slots).min(MAX_UTILIZATION),
            slack - ((held + more) / slots - 1.0).max(0.0),
        )
    }

    /// A job's worth a slot-second as a part of any class's most, squared, where worth is counted by requests.
    fn relative_worth(&self, job: &Job) -> f64 {
        let worth =
            |class: usize| (self.settings.classes[class].worth / self.run_costs[class].0.max(1e-3)).max(1e-9);
        let seen = (0..self.run_costs.len()).filter(|class| self.run_costs[*class].1 > 0);
        let most = seen.map(worth).fold(worth(job.class.0), f64::max);
        let power = if self.settings.worth_by == WorthBy::Request { WORTH_EXPONENT } else { 0 };
        (worth(job.class.0) / most / job.slots.max(1.0)).powi(power)
    }

    pub(crate) fn mean_run_secs(&self) -> f64 {
        self.run_times.iter().map(|r| r.secs()).sum::<f64>() / self.run_times.len() as f64
    }
}
