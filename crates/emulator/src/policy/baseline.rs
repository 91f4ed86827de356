//! Textbook policies. They differ in how they choose a log worker; repeats and refusals are the same for all, and
//! comply with the rules. Log workers in slow start get what their current capacity allows, as far as one dispatcher
//! can tell from its own sends.

use std::collections::BTreeMap;

use rand::rngs::SmallRng;
use rand::Rng;
use rookspoke_decisions::{
    Action, AttemptUpdate, Effect, EndReason, Event, ListScope, Name, Outcome, Readiness, Request, RequestId,
    Settings, Span, Time,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Policy, SharedGroundTruth};

/// The algorithm that chooses a log worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Baseline {
    /// A random one.
    Random,
    /// Each in turn.
    RoundRobin,
    /// The one with the fewest slots in use by this dispatcher's attempts.
    LeastLoaded,
    /// The less loaded of two drawn at random (power of two choices; Mitzenmacher, 2001).
    TwoChoices,
    /// The first in the key's rank order (rendezvous hashing; Thaler and Ravishankar, 1998).
    Rendezvous,
    /// The first in the key's rank order whose load is at most 1.25 times the mean (consistent hashing with bounded
    /// loads; Mirrokni and others, 2018).
    BoundedLoads,
    /// The less loaded of the first two in the key's rank order, or the least loaded of all if that one is at the
    /// threshold (package-aware scheduling, PASch; Abad and others, 2018).
    Pasch,
    /// The shortest true wait including a fetch, from the [`GroundTruth`](super::GroundTruth): a reference that a
    /// real dispatcher cannot reach.
    Top,
}

/// Load bound of consistent hashing with bounded loads, as a multiple of the mean.
const LOAD_BOUND: f64 = 1.25;
/// Slots in use at a log worker from which PASch sends its keys elsewhere.
const PASCH_THRESHOLD: f64 = 8.0;
/// Interval between placement attempts of a job that no log worker can take now.
const RETRY_INTERVAL: Span = Span(20_000);
/// Fraction of a log worker's slow start budget that all dispatchers together plan to use.
const SLOW_START_FRACTION: f64 = 0.15;

#[derive(Clone, Debug)]
struct Worker {
    name: Name,
    number: usize,
    hash: u64,
    ready: bool,
    started: Option<Time>,
    /// Slots in use by this dispatcher's attempts.
    slots_in_use: f64,
    /// This dispatcher's sends to it during slow start: when, and the estimated work.
    slow_start_sends: Vec<(Time, f64)>,
    /// Excluded until then, after a failed attempt.
    excluded_until: Time,
}

#[derive(Clone, Debug)]
struct Job {
    request: Request,
    attempts: Vec<Attempt>,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    worker: usize,
    in_flight: bool,
    may_have_run: bool,
}

/// A dispatcher that places jobs by a textbook policy.
pub struct BaselinePolicy {
    baseline: Baseline,
    settings: Settings,
    rng: SmallRng,
    truth: SharedGroundTruth,
    workers: Vec<Worker>,
    indices: BTreeMap<Name, usize>,
    jobs: BTreeMap<RequestId, Job>,
    /// Jobs without a log worker, and when to place them next.
    waiting: BTreeMap<RequestId, Time>,
    next_turn: usize,
    subscribed: bool,
    subscribe_at: Time,
    timer_at: Option<Time>,
}

impl BaselinePolicy {
    /// Creates the policy with no log workers; it subscribes to the list at a random time shortly after the start.
    pub fn new(baseline: Baseline, settings: Settings, mut rng: SmallRng, truth: SharedGroundTruth) -> Self {
        let first = rng.random_range(0..=settings.rules.ask_every.0.max(4) / 4);
        BaselinePolicy {
            baseline,
            settings,
            rng,
            truth,
            workers: Vec::new(),
            indices: BTreeMap::new(),
            jobs: BTreeMap::new(),
            waiting: BTreeMap::new(),
            next_turn: 0,
            subscribed: false,
            subscribe_at: Time(first),
            timer_at: None,
        }
    }

    fn on_list(&mut self, now: Time, scope: ListScope, entries: &[rookspoke_decisions::Listing]) {
        if scope == ListScope::Failed {
            self.subscribed = false;
            self.subscribe_at = now + Span(self.rng.random_range(250_000..=1_000_000));
            return;
        }
        self.subscribed |= scope != ListScope::Remembered;
        if scope != ListScope::Changes {
            self.workers.iter_mut().for_each(|worker| worker.ready = false);
        }
        for entry in entries {
            let index = *self.indices.entry(entry.worker.clone()).or_insert_with(|| {
                let digits = entry.worker.rsplit('-').next().unwrap_or_default();
                self.workers.push(Worker {
                    name: entry.worker.clone(),
                    number: digits.parse().unwrap_or(usize::MAX),
                    hash: xxh3_64_with_seed(entry.worker.as_bytes(), 0),
                    ready: false,
                    started: None,
                    slots_in_use: 0.0,
                    slow_start_sends: Vec::new(),
                    excluded_until: Time(i64::MIN),
                });
                self.workers.len() - 1
            });
            let worker = &mut self.workers[index];
            worker.ready = entry.readiness == Readiness::InService;
            if worker.started != entry.started {
                (worker.started, worker.excluded_until) = (entry.started, Time(i64::MIN));
                worker.slow_start_sends.clear();
            }
        }
    }

    fn estimated_work(&self, job: &Job) -> f64 {
        // The work of a job is not known in advance; the latency goal of its class serves as the estimate.
        let class = &self.settings.classes[job.request.class.0];
        class.aim.secs().max(0.2) * job.request.slots
    }

    /// Whether the log worker's slow start leaves room for this job. Each dispatcher uses an equal share of a fraction
    /// of the budget.
    fn within_slow_start_budget(&self, worker: &Worker, job: &Job, now: Time) -> bool {
        let rules = &self.settings.rules;
        let Some(started) = worker.started else { return true };
        let age = (now - started).secs();
        if age >= rules.ramp.secs() {
            return true;
        }
        let capacity =
            rules.initial_capacity + (1.0 - rules.initial_capacity) * age.max(0.0) / rules.ramp.secs();
        let from = now - rules.overload_window;
        let spent: f64 =
            worker.slow_start_sends.iter().filter(|(at, _)| *at > from).map(|(_, work)| work).sum();
        // Capacity is not known to a dispatcher; most machines have four cores.
        let budget =
            SLOW_START_FRACTION * rules.overload_multiple * 4.0 * capacity * rules.overload_window.secs();
        spent + self.estimated_work(job) <= budget / self.settings.dispatchers as f64
    }

    fn choose(&mut self, job: &Job, now: Time) -> Option<usize> {
        let tried = |index: usize| job.attempts.iter().any(|attempt| attempt.worker == index);
        let candidates: Vec<usize> = (0..self.workers.len())
            .filter(|index| {
                let worker = &self.workers[*index];
                worker.ready
                    && now >= worker.excluded_until
                    && !tried(*index)
                    && self.within_slow_start_budget(worker, job, now)
            })
            .collect();
        if candidates.is_empty() {
            return None;
        }
        let slots_in_use = |index: &usize| self.workers[*index].slots_in_use;
        let least_loaded = |candidates: &[usize]| {
            candidates
                .iter()
                .copied()
                .min_by(|a, b| slots_in_use(a).total_cmp(&slots_in_use(b)).then(a.cmp(b)))
        };
        let key = job.request.key.as_deref().unwrap_or_default();
        let rank = |index: &usize| xxh3_64_with_seed(key.as_bytes(), self.workers[*index].hash);
        match self.baseline {
            Baseline::Random => Some(candidates[self.rng.random_range(0..candidates.len())]),
            Baseline::RoundRobin => {
                self.next_turn += 1;
                Some(candidates[self.next_turn % candidates.len()])
            }
            Baseline::LeastLoaded => {
                // Ties are broken at random, or all jobs would go to the first.
                let fewest = candidates.iter().map(slots_in_use).fold(f64::INFINITY, f64::min);
                let equal: Vec<usize> =
                    candidates.into_iter().filter(|index| slots_in_use(index) <= fewest).collect();
                Some(equal[self.rng.random_range(0..equal.len())])
            }
            Baseline::TwoChoices => {
                let two = [(); 2].map(|()| candidates[self.rng.random_range(0..candidates.len())]);
                least_loaded(&two)
            }
            Baseline::Rendezvous => candidates.into_iter().min_by_key(rank),
            Baseline::BoundedLoads => {
                let mean = (candidates.iter().map(slots_in_use).sum::<f64>() + job.request.slots)
                    / candidates.len() as f64;
                let mut order = candidates.clone();
                order.sort_by_key(rank);
                let has_room =
                    |index: &usize| slots_in_use(index) + job.request.slots <= (LOAD_BOUND * mean).ceil();
                order.iter().copied().find(has_room).or_else(|| least_loaded(&candidates))
            }
            Baseline::Pasch => {
                let mut order = candidates.clone();
                order.sort_by_key(rank);
                order.truncate(2);
                least_loaded(&order)
                    .filter(|index| slots_in_use(index) < PASCH_THRESHOLD)
                    .or_else(|| least_loaded(&candidates))
            }
            Baseline::Top => {
                let truth = self.truth.borrow();
                let key = key.strip_prefix('k').and_then(|key| key.parse::<u64>().ok());
                let wait = |index: &usize| {
                    let number = self.workers[*index].number;
                    let fetch =
                        !key.is_some_and(|key| truth.archives.get(number).is_some_and(|k| k.contains(&key)));
                    let backlog = truth.backlog.get(number).copied().unwrap_or(f64::INFINITY);
                    backlog + if fetch { 0.4 } else { 0.0 }
                };
                let accepts = |index: &usize| {
                    let number = self.workers[*index].number;
                    let budget_left = truth.slow_start_budget.get(number).copied().flatten();
                    truth.accepts_work.get(number).copied().unwrap_or(false)
                        && budget_left.is_none_or(|left| left > 4.0)
                };
                let candidates = candidates.into_iter().filter(accepts);
                candidates.min_by(|a, b| wait(a).total_cmp(&wait(b)).then(a.cmp(b)))
            }
        }
    }

    fn advance(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.attempts.iter().any(|attempt| attempt.in_flight) {
            return;
        }
        let may_have_run = job.attempts.iter().any(|attempt| attempt.may_have_run);
        let class = &self.settings.classes[job.request.class.0];
        let last_start = job.request.deadline - self.settings.quantum;
        let exhausted = job.attempts.len() >= self.settings.limits.max_attempts;
        if now >= last_start || exhausted || (may_have_run && class.effect == Effect::Unsafe) {
            let reason = match (now >= last_start, exhausted) {
                (true, _) => EndReason::DeadlineReached,
                (_, true) => EndReason::AttemptsExhausted,
                _ => EndReason::NoRepeatAllowed,
            };
            out.push(match may_have_run && class.effect == Effect::Unsafe {
                true => Action::Fail { request: id, reason },
                false => Action::Refuse { request: id, retry_after: None, reason },
            });
            self.jobs.remove(&id);
            self.waiting.remove(&id);
            return;
        }
        let job = job.clone();
        let Some(index) = self.choose(&job, now) else {
            self.waiting.insert(id, last_start.min(now + RETRY_INTERVAL));
            return;
        };
        let work = self.estimated_work(&job);
        let worker = &mut self.workers[index];
        worker.slots_in_use += job.request.slots;
        if worker.started.is_some_and(|started| now - started < self.settings.rules.ramp) {
            let from = now - self.settings.rules.overload_window;
            worker.slow_start_sends.retain(|(at, _)| *at > from);
            worker.slow_start_sends.push((now, work));
        }
        let timeout = Some(job.request.deadline - now);
        out.push(Action::Send {
            request: id,
            worker: worker.name.clone(),
            timeout,
            by: job.request.deadline,
        });
        self.waiting.remove(&id);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.attempts.push(Attempt { worker: index, in_flight: true, may_have_run: false });
        }
    }
}

impl Policy for BaselinePolicy {
    fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            // An emulated fleet has no operators who could ban log workers.
            Event::Bans(_) => {}
            Event::List { scope, entries } => self.on_list(now, scope, &entries),
            Event::Request(request) => {
                let id = request.id;
                self.jobs.insert(id, Job { request, attempts: Vec::new() });
                self.advance(now, id, out);
            }
            Event::Outcome(end) => {
                let proves_no_run = end.outcome.proves_no_run();
                if let Some(job) = self.jobs.get_mut(&end.request) {
                    let slots = job.request.slots;
                    if let Some(attempt) =
                        job.attempts.get_mut(end.attempt).filter(|attempt| attempt.in_flight)
                    {
                        (attempt.in_flight, attempt.may_have_run) = (false, !proves_no_run);
                        let worker = &mut self.workers[attempt.worker];
                        worker.slots_in_use -= slots;
                        match end.outcome {
                            Outcome::Served | Outcome::Cancelled | Outcome::NotSent => {}
                            Outcome::TurnedAway => worker.excluded_until = now + Span(200_000),
                            _ => worker.excluded_until = now + Span(1_000_000),
                        }
                    }
                    if end.closed && job.attempts.iter().all(|attempt| !attempt.in_flight) {
                        self.jobs.remove(&end.request);
                        self.waiting.remove(&end.request);
                    }
                    self.advance(now, end.request, out);
                }
            }
            Event::ClientGone(id) => {
                self.waiting.remove(&id);
                if let Some(job) = self.jobs.remove(&id) {
                    for (attempt, one) in job.attempts.iter().enumerate().filter(|(_, one)| one.in_flight) {
                        self.workers[one.worker].slots_in_use -= job.request.slots;
                        if self.settings.limits.cancel {
                            out.push(Action::Cancel { request: id, attempt });
                        }
                    }
                }
            }
            Event::Timer(_) => self.timer_at = self.timer_at.filter(|at| *at > now),
            Event::AttemptUpdate {
                update:
                    AttemptUpdate::Started
                    | AttemptUpdate::Accepted
                    | AttemptUpdate::Progress(_)
                    | AttemptUpdate::Other,
                ..
            }
            | Event::StreamStarted { .. }
            | Event::Probed { .. }
            | Event::Peer { .. } => {}
        }
        if !self.subscribed && now >= self.subscribe_at {
            out.push(Action::Subscribe);
            self.subscribe_at = now + self.settings.rules.ask_every;
        }
        let due: Vec<RequestId> =
            self.waiting.iter().filter(|(_, at)| **at <= now).map(|(id, _)| *id).collect();
        for id in due {
            self.waiting.remove(&id);
            self.advance(now, id, out);
        }
        let subscribe = (!self.subscribed).then_some(self.subscribe_at);
        let next = self
            .waiting
            .values()
            .copied()
            .chain(subscribe)
            .min()
            .map(|at| at.max(now + self.settings.quantum));
        if let Some(at) = next.filter(|at| self.timer_at.is_none_or(|timer_at| *at < timer_at)) {
            self.timer_at = Some(at);
            out.push(Action::SetTimer { at, token: 0 });
        }
    }
}
