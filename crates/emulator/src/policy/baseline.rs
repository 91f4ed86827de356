//! Textbook policies. They differ in how a log worker is chosen; what may be sent again and what is refused is the
//! same for all, and keeps the rules. Cold log workers get what their warmth allows, as far as one dispatcher can
//! tell from its own sends.

use std::collections::BTreeMap;

use rand::rngs::SmallRng;
use rand::Rng;
use rookspoke_decisions::{
    Action, AttemptUpdate, Effect, EndReason, Event, ListScope, Name, Outcome, Readiness, Request, RequestId,
    Settings, Span, Time,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Policy, SharedGroundTruth};

/// How a log worker is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Baseline {
    /// Any.
    Random,
    /// In turn.
    RoundRobin,
    /// The one with the fewest own slots out.
    LeastLoaded,
    /// The better of two drawn at random (Mitzenmacher, 2001).
    TwoChoices,
    /// The first in the key's own order (Thaler and Ravishankar, 1998).
    Rendezvous,
    /// The first in the key's own order that is not above 1.25 times the mean load (Mirrokni and others, 2018).
    BoundedLoads,
    /// The less loaded of the key's first two (package-aware scheduling, Abad and others, 2018), and beyond a
    /// threshold the least loaded of all.
    Pasch,
    /// The shortest true wait, a fetch included.
    Top,
}

/// The bound of consistent hashing with bounded loads, as a factor of the mean.
const BOUND: f64 = 1.25;
/// Slots out at one log worker beyond which its keys go elsewhere, in PASch.
const THRESHOLD: f64 = 8.0;
/// A job that nobody may take now is looked at again after this.
const AGAIN: Span = Span(20_000);
/// The part of a cold one's budget that all dispatchers together plan to use.
const COLD_PART: f64 = 0.15;

#[derive(Clone, Debug)]
struct Worker {
    name: Name,
    number: usize,
    hash: u64,
    ready: bool,
    started: Option<Time>,
    /// Own slots out.
    own: f64,
    /// Own sends to it while it is cold: when, and how much work they were taken for.
    cold: Vec<(Time, f64)>,
    /// Not before this: an attempt to it failed.
    shunned: Time,
}

#[derive(Clone, Debug)]
struct Job {
    request: Request,
    attempts: Vec<Attempt>,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    worker: usize,
    out: bool,
    may_have_run: bool,
}

/// A textbook policy.
pub struct BaselinePolicy {
    way: Baseline,
    s: Settings,
    rng: SmallRng,
    truth: SharedGroundTruth,
    workers: Vec<Worker>,
    places: BTreeMap<Name, usize>,
    jobs: BTreeMap<RequestId, Job>,
    waiting: BTreeMap<RequestId, Time>,
    turn: usize,
    subscribed: bool,
    ask_at: Time,
    armed: Option<Time>,
}

impl BaselinePolicy {
    /// One that knows nothing yet.
    pub fn new(way: Baseline, s: Settings, mut rng: SmallRng, truth: SharedGroundTruth) -> Self {
        let first = rng.random_range(0..=s.rules.ask_every.0.max(4) / 4);
        BaselinePolicy {
            way,
            s,
            rng,
            truth,
            workers: Vec::new(),
            places: BTreeMap::new(),
            jobs: BTreeMap::new(),
            waiting: BTreeMap::new(),
            turn: 0,
            subscribed: false,
            ask_at: Time(first),
            armed: None,
        }
    }

    fn on_list(&mut self, now: Time, scope: ListScope, entries: &[rookspoke_decisions::Listing]) {
        if scope == ListScope::Failed {
            self.subscribed = false;
            self.ask_at = now + Span(self.rng.random_range(250_000..=1_000_000));
            return;
        }
        self.subscribed |= scope != ListScope::Remembered;
        if scope != ListScope::Changes {
            self.workers.iter_mut().for_each(|w| w.ready = false);
        }
        for entry in entries {
            let place = *self.places.entry(entry.worker.clone()).or_insert_with(|| {
                let digits = entry.worker.rsplit('-').next().unwrap_or_default();
                self.workers.push(Worker {
                    name: entry.worker.clone(),
                    number: digits.parse().unwrap_or(usize::MAX),
                    hash: xxh3_64_with_seed(entry.worker.as_bytes(), 0),
                    ready: false,
                    started: None,
                    own: 0.0,
                    cold: Vec::new(),
                    shunned: Time(i64::MIN),
                });
                self.workers.len() - 1
            });
            let worker = &mut self.workers[place];
            worker.ready = entry.readiness == Readiness::InService;
            if worker.started != entry.started {
                (worker.started, worker.shunned) = (entry.started, Time(i64::MIN));
                worker.cold.clear();
            }
        }
    }

    fn mean_work(&self, job: &Job) -> f64 {
        // Nobody tells how long a job is; what its class wants hints at it.
        let class = &self.s.classes[job.request.class.0];
        class.aim.secs().max(0.2) * job.request.slots
    }

    /// Whether a cold one may take this job: a part of the budget, shared out evenly over all dispatchers.
    fn bears(&self, worker: &Worker, job: &Job, now: Time) -> bool {
        let rules = &self.s.rules;
        let Some(started) = worker.started else { return true };
        let age = (now - started).secs();
        if age >= rules.ramp.secs() {
            return true;
        }
        let warmth =
            rules.initial_capacity + (1.0 - rules.initial_capacity) * age.max(0.0) / rules.ramp.secs();
        let from = now - rules.overload_window;
        let spent: f64 = worker.cold.iter().filter(|(at, _)| *at > from).map(|(_, work)| work).sum();
        // Capacity is not told; four cores is what most machines have.
        let budget = COLD_PART * rules.overload_multiple * 4.0 * warmth * rules.overload_window.secs();
        spent + self.mean_work(job) <= budget / self.s.dispatchers as f64
    }

    fn choose(&mut self, job: &Job, now: Time) -> Option<usize> {
        let tried = |place: usize| job.attempts.iter().any(|a| a.worker == place);
        let fits: Vec<usize> = (0..self.workers.len())
            .filter(|place| {
                let w = &self.workers[*place];
                w.ready && now >= w.shunned && !tried(*place) && self.bears(w, job, now)
            })
            .collect();
        if fits.is_empty() {
            return None;
        }
        let own = |place: &usize| self.workers[*place].own;
        let least = |of: &[usize]| of.iter().copied().min_by(|a, b| own(a).total_cmp(&own(b)).then(a.cmp(b)));
        let key = job.request.key.as_deref().unwrap_or_default();
        let rank = |place: &usize| xxh3_64_with_seed(key.as_bytes(), self.workers[*place].hash);
        match self.way {
            Baseline::Random => Some(fits[self.rng.random_range(0..fits.len())]),
            Baseline::RoundRobin => {
                self.turn += 1;
                Some(fits[self.turn % fits.len()])
            }
            Baseline::LeastLoaded => {
                // Ties are broken by a draw, or all would go to the first.
                let fewest = fits.iter().map(own).fold(f64::INFINITY, f64::min);
                let equal: Vec<usize> = fits.into_iter().filter(|place| own(place) <= fewest).collect();
                Some(equal[self.rng.random_range(0..equal.len())])
            }
            Baseline::TwoChoices => {
                let two = [(); 2].map(|()| fits[self.rng.random_range(0..fits.len())]);
                least(&two)
            }
            Baseline::Rendezvous => fits.into_iter().min_by_key(rank),
            Baseline::BoundedLoads => {
                let mean = (fits.iter().map(own).sum::<f64>() + job.request.slots) / fits.len() as f64;
                let mut order = fits.clone();
                order.sort_by_key(rank);
                let room = |place: &usize| own(place) + job.request.slots <= (BOUND * mean).ceil();
                order.iter().copied().find(room).or_else(|| least(&fits))
            }
            Baseline::Pasch => {
                let mut order = fits.clone();
                order.sort_by_key(rank);
                order.truncate(2);
                least(&order).filter(|place| own(place) < THRESHOLD).or_else(|| least(&fits))
            }
            Baseline::Top => {
                let truth = self.truth.borrow();
                let key = key.strip_prefix('k').and_then(|key| key.parse::<u64>().ok());
                let wait = |place: &usize| {
                    let number = self.workers[*place].number;
                    let fetch =
                        !key.is_some_and(|key| truth.archives.get(number).is_some_and(|k| k.contains(&key)));
                    let backlog = truth.backlog.get(number).copied().unwrap_or(f64::INFINITY);
                    backlog + if fetch { 0.4 } else { 0.0 }
                };
                let takes = |place: &usize| {
                    let number = self.workers[*place].number;
                    let bears = truth.slow_start_budget.get(number).copied().flatten();
                    truth.accepts_work.get(number).copied().unwrap_or(false)
                        && bears.is_none_or(|left| left > 4.0)
                };
                let fits = fits.into_iter().filter(takes);
                fits.min_by(|a, b| wait(a).total_cmp(&wait(b)).then(a.cmp(b)))
            }
        }
    }

    fn advance(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.attempts.iter().any(|a| a.out) {
            return;
        }
        let ran = job.attempts.iter().any(|a| a.may_have_run);
        let class = &self.s.classes[job.request.class.0];
        let last = job.request.deadline - self.s.quantum;
        let spent = job.attempts.len() >= self.s.limits.max_attempts;
        if now >= last || spent || (ran && class.effect == Effect::Unsafe) {
            let reason = match (now >= last, spent) {
                (true, _) => EndReason::DeadlineReached,
                (_, true) => EndReason::AttemptsExhausted,
                _ => EndReason::NoRepeatAllowed,
            };
            out.push(match ran && class.effect == Effect::Unsafe {
                true => Action::Fail { request: id, reason },
                false => Action::Refuse { request: id, retry_after: None, reason },
            });
            self.jobs.remove(&id);
            self.waiting.remove(&id);
            return;
        }
        let job = job.clone();
        let Some(place) = self.choose(&job, now) else {
            self.waiting.insert(id, last.min(now + AGAIN));
            return;
        };
        let work = self.mean_work(&job);
        let worker = &mut self.workers[place];
        worker.own += job.request.slots;
        if worker.started.is_some_and(|started| now - started < self.s.rules.ramp) {
            let from = now - self.s.rules.overload_window;
            worker.cold.retain(|(at, _)| *at > from);
            worker.cold.push((now, work));
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
            job.attempts.push(Attempt { worker: place, out: true, may_have_run: false });
        }
    }
}

impl Policy for BaselinePolicy {
    fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            // An emulated fleet has no operators.
            Event::Bans(_) => {}
            Event::List { scope, entries } => self.on_list(now, scope, &entries),
            Event::Request(request) => {
                let id = request.id;
                self.jobs.insert(id, Job { request, attempts: Vec::new() });
                self.advance(now, id, out);
            }
            Event::Outcome(end) => {
                let proves = end.outcome.proves_no_run();
                if let Some(job) = self.jobs.get_mut(&end.request) {
                    let slots = job.request.slots;
                    if let Some(attempt) = job.attempts.get_mut(end.attempt).filter(|a| a.out) {
                        (attempt.out, attempt.may_have_run) = (false, !proves);
                        let worker = &mut self.workers[attempt.worker];
                        worker.own -= slots;
                        match end.outcome {
                            Outcome::Served | Outcome::Cancelled | Outcome::NotSent => {}
                            Outcome::TurnedAway => worker.shunned = now + Span(200_000),
                            _ => worker.shunned = now + Span(1_000_000),
                        }
                    }
                    if end.closed && job.attempts.iter().all(|a| !a.out) {
                        self.jobs.remove(&end.request);
                        self.waiting.remove(&end.request);
                    }
                    self.advance(now, end.request, out);
                }
            }
            Event::ClientGone(id) => {
                self.waiting.remove(&id);
                if let Some(job) = self.jobs.remove(&id) {
                    for (attempt, one) in job.attempts.iter().enumerate().filter(|(_, one)| one.out) {
                        self.workers[one.worker].own -= job.request.slots;
                        if self.s.limits.cancel {
                            out.push(Action::Cancel { request: id, attempt });
                        }
                    }
                }
            }
            Event::Timer(_) => self.armed = self.armed.filter(|at| *at > now),
            Event::AttemptUpdate {
                update: AttemptUpdate::Started | AttemptUpdate::Progress(_) | AttemptUpdate::Other,
                ..
            }
            | Event::StreamStarted { .. }
            | Event::Probed { .. }
            | Event::Peer { .. } => {}
        }
        if !self.subscribed && now >= self.ask_at {
            out.push(Action::Subscribe);
            self.ask_at = now + self.s.rules.ask_every;
        }
        let due: Vec<RequestId> =
            self.waiting.iter().filter(|(_, at)| **at <= now).map(|(id, _)| *id).collect();
        for id in due {
            self.waiting.remove(&id);
            self.advance(now, id, out);
        }
        let ask = (!self.subscribed).then_some(self.ask_at);
        let next = self.waiting.values().copied().chain(ask).min().map(|at| at.max(now + self.s.quantum));
        if let Some(at) = next.filter(|at| self.armed.is_none_or(|armed| *at < armed)) {
            self.armed = Some(at);
            out.push(Action::SetTimer { at, token: 0 });
        }
    }
}
