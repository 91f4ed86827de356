//! The state of one worker as one dispatcher knows it. Thresholds and decisions are elsewhere.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use crate::api::*;
use crate::partitions::Candidate;
use crate::requests::{DedupGroup, Job};

/// Identifies a worker within one dispatcher. Ids are never reused.
pub type WorkerId = u32;
/// A stable hash of a key and the machine kind that it requires.
pub type KeyHash = u64;

/// A sum whose terms decay exponentially with their age.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingSum {
    value: f64,
    pub at: Time,
}

impl DecayingSum {
    /// Decays the sum to `now`, adds `amount` and returns the result. `decay` is the time constant.
    pub fn add(&mut self, now: Time, decay: Span, amount: f64) -> f64 {
        self.value = self.level(now, decay) + amount;
        self.at = now;
        self.value
    }
    /// The sum decayed to `now`.
    pub fn level(&self, now: Time, decay: Span) -> f64 {
        self.value * (-(now - self.at).secs() / decay.secs()).exp()
    }
}

/// A token bucket. It is full at first.
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenBucket {
    tokens: Option<f64>,
    at: Time,
}

impl TokenBucket {
    /// Refills the bucket up to `now` and returns the tokens that it holds.
    pub fn level(&mut self, now: Time, rate: f64, depth: f64) -> f64 {
        let tokens = self.tokens.map_or(depth, |tokens| (tokens + rate * (now - self.at).secs()).min(depth));
        (self.tokens, self.at) = (Some(tokens), now);
        tokens
    }
    /// Adds tokens, or takes them if `amount` is negative.
    pub fn add(&mut self, amount: f64) {
        self.tokens = self.tokens.map(|tokens| tokens + amount);
    }
}

/// What a key's order was computed from: the versions of its candidates in the own zone and in other zones, and the
/// version of the reserved fractions.
pub type OrderVersion = ((u64, u64), u64);

/// The paper's T[key], the workers assigned to a key, with the orders that it grows along and the demand that decides
/// its size.
#[derive(Default)]
pub struct TableEntry {
    pub workers: Vec<WorkerId>,
    /// The key's first workers in its rendezvous order, as of `same_zone_version`: those of the own zone, or of all
    /// zones where keys span zones.
    pub same_zone: Vec<WorkerId>,
    pub same_zone_version: OrderVersion,
    /// The same of other zones, as of `cross_zone_version`. Computed on demand, since most jobs never need them.
    pub cross_zone: Vec<WorkerId>,
    pub cross_zone_version: OrderVersion,
    /// Slot-seconds served to this dispatcher. Requests that clients repeat after refusals must not count.
    pub demand: DecayingSum,
}

/// The paper's three states of a worker, by its load.
#[derive(Clone, Copy, PartialEq)]
pub enum State {
    Free,
    Busy,
    Full,
}

#[derive(Clone, Debug)]
pub struct Worker {
    pub name: Name,
    pub name_hash: u64,
    pub kind: Option<KindId>,
    pub zone: Name,
    pub same_zone: bool,
    pub cell: Option<u64>,
    /// The queues that it takes jobs from, or none if it takes any job.
    pub queues: Option<Arc<[Name]>>,
    pub weight: f64,
    pub started: Option<Time>,
    /// The start that the list states. `started` may be later after a manual ejection.
    pub listed_start: Option<Time>,
    /// The state in this dispatcher's list.
    pub readiness: Readiness,
    /// In service by this dispatcher's list and not manually ejected.
    pub in_service: bool,
    /// Slots inferred from reports.
    pub learned_slots: Option<f64>,
    /// Slots in use by this dispatcher's pending attempts.
    pub own_slots: f64,
    /// This dispatcher's pending attempts.
    pub own_jobs: u32,
    /// `own_slots` smoothed over time, as of `own_slots_at`.
    own_slots_smoothed: f64,
    own_slots_at: Time,
    /// Slots in use by other dispatchers: a moving average over reports and over the waits of own jobs. None before
    /// the first of these.
    pub other_slots: Option<f64>,
    /// When `other_slots` was last updated.
    pub other_slots_at: Option<Time>,
    /// Send times of own attempts that have not started yet.
    pub unstarted: Vec<Time>,
    pub reported_at: Option<Time>,
    pub free_memory: Option<f64>,
    /// Decaying counts of own jobs per key.
    keys: Vec<(KeyHash, DecayingSum)>,
    pub full_until: Time,
    pub consecutive_failures: u32,
    /// Decaying counts of jobs that ended in an error of the worker, and of jobs that it served: own jobs, and those
    /// in its reports.
    errors: DecayingSum,
    served: DecayingSum,
    pub ejected_until: Time,
    /// When the last ejection for a new failure began.
    pub ejected_since: Option<Time>,
    pub probe_pending: bool,
    /// The last of this dispatcher's turns that was used during the worker's slow start.
    pub last_turn: i64,
}

impl Worker {
    /// Creates the state of a worker that the list contains for the first time.
    pub fn new(entry: &Listing, settings: &Settings, now: Time) -> Self {
        Worker {
            name: entry.worker.clone(),
            name_hash: xxh3_64(entry.worker.as_bytes()),
            kind: settings.kinds.iter().position(|kind| *kind == entry.kind).map(KindId),
            same_zone: entry.zone == settings.zone,
            zone: entry.zone.clone(),
            cell: entry.cell,
            queues: entry.queues.clone(),
            weight: entry.weight,
            started: entry.started,
            listed_start: entry.started,
            readiness: Readiness::Gone,
            in_service: false,
            learned_slots: None,
            own_slots: 0.0,
            own_jobs: 0,
            own_slots_smoothed: 0.0,
            own_slots_at: now,
            other_slots: None,
            other_slots_at: None,
            unstarted: Vec::new(),
            reported_at: None,
            free_memory: None,
            keys: Vec::new(),
            full_until: now,
            consecutive_failures: 0,
            errors: DecayingSum::default(),
            served: DecayingSum::default(),
            ejected_until: now,
            ejected_since: None,
            probe_pending: false,
            last_turn: i64::MIN,
        }
    }
    /// The partition sets of the fleet that contain it: the one for jobs that run anywhere, and the one for jobs that
    /// require its kind.
    pub fn partitions(&self) -> [(bool, Option<KindId>); 2] {
        [(self.same_zone, None), (self.same_zone, Some(self.kind.unwrap_or(KindId(usize::MAX))))]
    }
    /// Whether it takes jobs from the queue of this job.
    pub fn serves_queue_of(&self, job: &Job) -> bool {
        match (&self.queues, &job.queue) {
            (Some(queues), Some(queue)) => queues.contains(queue),
            _ => true,
        }
    }
    /// Resets what was learned of the previous process after a restart.
    pub fn restart(&mut self, started: Option<Time>, now: Time) {
        (self.started, self.last_turn, self.consecutive_failures) = (started, i64::MIN, 0);
        (self.reported_at, self.full_until) = (None, now);
        (self.ejected_until, self.ejected_since) = (now, None);
        (self.other_slots, self.other_slots_at) = (None, None);
        (self.errors, self.served) = (DecayingSum::default(), DecayingSum::default());
        self.keys.clear();
    }
    /// The workers that recognise a repeat of a request that this worker has received.
    pub fn dedup_group(&self, id: WorkerId, effect: Effect) -> DedupGroup {
        match effect {
            Effect::Keyed { group: Group::Zone, .. } => DedupGroup::Zone(self.zone.clone()),
            Effect::Keyed { group: Group::Cell, .. } => {
                self.cell.map_or(DedupGroup::Single(id), DedupGroup::Cell)
            }
            _ => DedupGroup::All,
        }
    }
    /// The fraction of its capacity that it has at least by now: below 1 during slow start.
    pub fn capacity_fraction(&self, rules: &Rules, now: Time) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let elapsed = (now - started).secs() / rules.ramp.secs().max(1e-6);
        (rules.initial_capacity + (1.0 - rules.initial_capacity) * elapsed.max(0.0)).min(1.0)
    }
    /// The data that the orders of keys are computed from.
    pub(crate) fn candidate(&self, id: WorkerId) -> Candidate {
        Candidate { id, hash: self.name_hash, weight: self.weight, kind: self.kind }
    }
    /// Updates and returns the smoothed value of `own_slots`. `decay` is the time constant.
    pub fn smoothed_own_slots(&mut self, now: Time, decay: Span) -> f64 {
        let weight = (-(now - self.own_slots_at).secs() / decay.secs()).exp();
        self.own_slots_smoothed = self.own_slots + (self.own_slots_smoothed - self.own_slots) * weight;
        self.own_slots_at = now;
        self.own_slots_smoothed
    }
    /// Includes `observed` in the moving average of `other_slots` with the weight `gain`. The first value is taken as
    /// it is.
    pub fn blend_other_slots(&mut self, observed: f64, gain: f64, now: Time) {
        let old = self.other_slots.unwrap_or(observed);
        self.other_slots = Some(old + (observed - old) * gain);
        self.other_slots_at = Some(now);
    }
    /// Infers the worker's slots from a report, and returns the slots in use including the queue. A report of no free
    /// slots that states no queue is taken to hide one of `hidden_queue` times the slots. `default_slots` stands in
    /// until slots are known.
    pub fn learn_from_report(
        &mut self,
        load: LoadReport,
        hidden_queue: f64,
        default_slots: f64,
    ) -> Option<f64> {
        if let Some(free) = load.free_slots {
            let held = load.inflight.filter(|_| free >= 1.0).unwrap_or(0.0);
            self.learned_slots = Some(self.learned_slots.unwrap_or(1.0).max((free + held).round()));
        }
        let slots = self.learned_slots.unwrap_or(default_slots);
        let running = load.free_slots.map(|free| (slots - free).max(0.0));
        let running = running.or(load.util.map(|util| util * slots));
        let no_free_slot = load.free_slots.is_some_and(|free| free < 0.5);
        let queue = load.queue.unwrap_or(if no_free_slot { hidden_queue * slots } else { 0.0 });
        self.free_memory = load.free_memory;
        load.inflight.or(running.map(|running| running + queue)).or(load.queue)
    }
    /// Counts jobs that ended in an error of the worker, and jobs that it served.
    pub fn count_outcomes(&mut self, now: Time, decay: Span, errors: f64, served: f64) {
        self.errors.add(now, decay, errors);
        self.served.add(now, decay, served);
    }
    /// The decayed number of its errors.
    pub fn error_count(&self, now: Time, decay: Span) -> f64 {
        self.errors.level(now, decay)
    }
    /// The decayed ratio of errors to jobs, with one more served job assumed.
    pub fn error_ratio(&self, now: Time, decay: Span) -> f64 {
        let errors = self.error_count(now, decay);
        errors / (errors + self.served.level(now, decay) + 1.0)
    }
    /// Whether an own attempt has waited for its start for longer than `limit`.
    pub fn has_unstarted_job(&self, now: Time, limit: Span) -> bool {
        self.unstarted.first().is_some_and(|at| now - *at > limit)
    }
    /// Whether the worker has the slots and the free memory that a job needs.
    pub fn fits(&self, job: &Job) -> bool {
        let too_small = self.learned_slots.is_some_and(|slots| slots < job.slots);
        !too_small && self.free_memory.is_none_or(|free| free >= job.memory)
    }
    /// Records that an attempt was sent. `decay` is the time constant for smoothing the own slots.
    pub fn on_sent(&mut self, now: Time, slots: f64, decay: Span) {
        self.smoothed_own_slots(now, decay);
        self.own_slots += slots;
        self.own_jobs += 1;
        self.unstarted.push(now);
    }
    /// Records that the attempt sent at `sent` has ended.
    pub fn on_ended(&mut self, now: Time, sent: Time, slots: f64, decay: Span) {
        self.smoothed_own_slots(now, decay);
        self.own_slots = (self.own_slots - slots).max(0.0);
        self.own_jobs = self.own_jobs.saturating_sub(1);
        self.on_started(sent);
    }
    /// Records that the attempt sent at `sent` has started.
    pub fn on_started(&mut self, sent: Time) {
        if let Some(index) = self.unstarted.iter().position(|at| *at == sent) {
            self.unstarted.remove(index);
        }
    }
    /// Adds `amount` to the count of jobs of `key`, and drops keys whose decayed count is below `min_count`.
    pub fn count_key(&mut self, key: KeyHash, amount: f64, now: Time, decay: Span, min_count: f64) {
        if !self.keys.iter().any(|(k, _)| *k == key) {
            self.keys.push((key, DecayingSum { value: 0.0, at: now }));
        }
        for (k, count) in &mut self.keys {
            count.add(now, decay, if *k == key { amount } else { 0.0 });
        }
        self.keys.retain(|(_, count)| count.value >= min_count);
    }
    /// The number of keys that run here more often than `key`, ties decided by the hash. None if `key` is not
    /// tracked.
    pub fn key_rank(&self, key: KeyHash) -> Option<usize> {
        let own = self.keys.iter().find(|(k, _)| *k == key)?.1.value;
        Some(self.keys.iter().filter(|(k, c)| c.value > own || (c.value == own && *k < key)).count())
    }
}

/// The probability of a wait longer than `runs` mean run times in the queue of `slots` servers with the given
/// utilization, by Sakasegawa's approximation.
pub fn wait_probability(slots: f64, utilization: f64, runs: f64) -> f64 {
    if runs <= 0.0 {
        return 1.0;
    }
    utilization.powf((2.0 * (slots + 1.0)).sqrt() - 1.0) * (-(1.0 - utilization) * slots * runs).exp()
}
