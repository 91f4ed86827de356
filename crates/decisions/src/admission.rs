//! Admission: whether a request is sent, held back or answered finally, each time that it is due.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::placement::KEY_DECAY;
use crate::requests::Job;
use crate::retry::MAX_TRANSIT;
use crate::worker::{wait_probability, Worker, WorkerId};

/// Weight of one job in the moving average of the pressure.
pub(crate) const PRESSURE_GAIN: f64 = 0.02;
/// A job whose probability of a late start is above this is refused.
pub(crate) const MAX_LATE_PROBABILITY: f64 = 0.7;
/// Exponent of the relative worth in the refusal threshold: jobs that hold many slots for their worth are refused
/// sooner.
const WORTH_EXPONENT: i32 = 2;
/// Upper bound on a worker's utilization in the estimate of a late start.
const MAX_UTILIZATION: f64 = 0.98;
/// A job of unknown length may wait for this fraction of the extra time that its stretch grants.
const UNKNOWN_STRETCH_FRACTION: f64 = 0.5;
/// A job that no worker may take now is checked again after this time.
const RECHECK_INTERVAL: Span = Span(20_000);
/// Seconds of its allowance that a tenant can accumulate.
const TENANT_BURST_S: f64 = 3.0;
/// Clients spread unevenly over dispatchers: one dispatcher may admit this multiple of its even part of a tenant's
/// allowance.
const TENANT_SLACK: f64 = 1.15;

impl Dispatcher {
    pub(crate) fn on_request(&mut self, request: Request, out: &mut Vec<Action>) {
        let over_share = request.tenant.is_some_and(|tenant| {
            let allowance = self.settings.tenants[tenant.0].allowance_per_s;
            let rate = TENANT_SLACK * allowance / self.settings.dispatchers as f64;
            let bucket = &mut self.tenant_buckets[tenant.0];
            bucket.level(self.now, rate, (rate * TENANT_BURST_S).max(1.0)) < 1.0
        });
        let kind = self.settings.classes[request.class.0].kind;
        let key = request.key.as_ref();
        let key = key.map(|k| xxh3_64_with_seed(k.as_bytes(), kind.map_or(0, |k| k.0 as u64 + 1)));
        if let Some(kind) = kind {
            let slot_seconds = self.run_times[request.class.0].secs() * request.slots;
            self.kind_demand[kind.0].add(self.now, KEY_DECAY, slot_seconds);
        }
        let id = request.id;
        self.requests.open(Job::new(request, key, over_share, self.now));
        self.advance(id, out);
    }

    /// Takes the next step for a job: sends it, holds it back for a moment, or gives its final answer.
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
        // An accepted job is owed an attempt until its deadline: nobody would hear of its refusal.
        let refusable = !job.accepted;
        let late = refusable && class.late_worth == 0.0 && self.now >= self.latest_start(job);
        let repeat_deadline = job.repeat_deadline(class.effect, MAX_TRANSIT);
        let repeat_over = repeat_deadline.is_some_and(|at| at <= self.now + self.settings.quantum);
        // A job that may only be repeated on certain workers waits for one only while one is in service that has not
        // failed it, or if it is accepted: otherwise its client tries again itself, with the same key.
        let may_take =
            |id: &WorkerId| job.tried.may_get(*id) && !job.may_have_run_at(*id) && self.may_repeat(job, *id);
        let restricted = class.effect != Effect::Safe && job.may_have_run();
        let may_wait = job.accepted && class.effect != Effect::Unsafe;
        let no_repeat = repeat_over || restricted && !may_wait && !self.fleet.in_service.iter().any(may_take);
        let exhausted = refusable && job.attempts.len() >= self.settings.limits.max_attempts;
        let reason = match (late, no_repeat, exhausted) {
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
        let probability =
            to.and_then(|to| self.fleet.get(to)).map(|worker| self.late_probability(worker, &job));
        match to {
            // A job that would start too late is refused: served late it is worth nothing and delays others.
            Some(_)
                if refusable
                    && late_worth == 0.0
                    && probability.is_some_and(|p| p > MAX_LATE_PROBABILITY * self.relative_worth(&job)) =>
            {
                self.pressure += (1.0 - self.pressure) * PRESSURE_GAIN;
                self.answer(id, EndReason::LikelyLate, out)
            }
            Some(to) if self.awaits_probe(to, job.attempts.last().map_or(job.arrived, |a| a.sent)) => {
                self.requests.schedule(id, Some(last.min(self.now + RECHECK_INTERVAL)));
            }
            Some(to) => self.send(id, to, out),
            None if refusable && job.over_share => self.answer(id, EndReason::TenantOverShare, out),
            None if refusable && self.fleet.all_banned() => self.answer(id, EndReason::AllBanned, out),
            None => self.requests.schedule(id, Some(last.min(self.now + RECHECK_INTERVAL))),
        }
    }

    /// Gives the final answer and closes the request: a refusal only if a new try by the client does no harm, a
    /// failure otherwise. No other function pushes these answers.
    fn answer(&mut self, id: RequestId, reason: EndReason, out: &mut Vec<Action>) {
        let Some(job) = self.requests.get(id).filter(|j| !j.ended && !j.streaming) else { return };
        let effect = self.settings.classes[job.class.0].effect;
        // A client's new try carries the same key. It does no harm if all workers discard repeats, and arrives while
        // they do.
        let deadline = job.repeat_deadline(effect, self.settings.limits.max_retry_after);
        let in_window = deadline.is_some_and(|deadline| self.now < deadline);
        let discarded = in_window && matches!(effect, Effect::Keyed { group: Group::All, .. });
        // Refused requests do not count against the tenant's share, since clients repeat them.
        if let (Some(tenant), true) = (job.tenant, !job.attempts.is_empty() && !job.may_have_run()) {
            self.tenant_buckets[tenant.0].add(1.0);
        }
        out.push(match discarded || effect == Effect::Safe || !job.may_have_run() {
            true => Action::Refuse { request: id, retry_after: None, reason },
            false => Action::Fail { request: id, reason },
        });
        self.close(id, out);
    }

    /// Closes a request and cancels its pending attempts.
    pub(crate) fn close(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(job) = self.requests.get_mut(id) else { return };
        job.ended = true;
        self.cancel_attempts(id, true, out);
        self.requests.schedule(id, None);
        self.requests.close_if_done(id);
    }

    /// The latest start with which a job still meets its aim, or its deadline if it is accepted, as far as this is known
    /// before it has run.
    pub(crate) fn latest_start(&self, job: &Job) -> Time {
        let class = &self.settings.classes[job.class.0];
        let work = job.work.unwrap_or(self.run_times[job.class.0]);
        let stretch = (class.stretch - 1.0).max(0.0);
        let extra = Span((work.0 as f64 * stretch * UNKNOWN_STRETCH_FRACTION) as i64);
        let by_aim = job.arrived + class.aim + extra;
        match job.accepted {
            true => by_aim.max(job.deadline - work),
            false => by_aim,
        }
    }

    /// The probability that a job would start too late on a worker. Jobs that the worker holds beyond its slots run
    /// first.
    pub(crate) fn late_probability(&self, worker: &Worker, job: &Job) -> f64 {
        let (slots, held) = (self.usable_slots(worker).max(1.0), self.occupied_slots(worker));
        // The head of a queue waits until all the slots that it needs are free.
        let extra = (job.slots - 1.0).max(0.0);
        let slack = (self.latest_start(job) - self.now).secs() / self.mean_run_secs().max(1e-3);
        let queued_runs = ((held + extra) / slots - 1.0).max(0.0);
        wait_probability(slots, (held / slots).min(MAX_UTILIZATION), slack - queued_runs)
    }

    /// A job's worth per slot-second relative to the most valuable class, raised to `WORTH_EXPONENT`. 1 where worth
    /// is not counted by requests.
    fn relative_worth(&self, job: &Job) -> f64 {
        let worth =
            |class: usize| (self.settings.classes[class].worth / self.run_costs[class].0.max(1e-3)).max(1e-9);
        let measured = (0..self.run_costs.len()).filter(|class| self.run_costs[*class].1 > 0);
        let most = measured.map(worth).fold(worth(job.class.0), f64::max);
        let exponent = if self.settings.worth_by == WorthBy::Request { WORTH_EXPONENT } else { 0 };
        (worth(job.class.0) / most / job.slots.max(1.0)).powi(exponent)
    }

    /// Mean run time over all classes, in seconds.
    pub(crate) fn mean_run_secs(&self) -> f64 {
        self.run_times.iter().map(|time| time.secs()).sum::<f64>() / self.run_times.len() as f64
    }
}
