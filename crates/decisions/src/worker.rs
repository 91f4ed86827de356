//! What is known of one worker: plain figures, no thresholds, no choosing.

use xxhash_rust::xxh3::xxh3_64;

use crate::api::*;
use crate::partitions::Candidate;
use crate::requests::{DedupGroup, Job};

/// A worker's number at one dispatcher; never reused.
pub type WorkerId = u32;
/// A stable hash of a key and the kind of machine it needs.
pub type KeyHash = u64;

/// A sum whose parts fade with their age.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingSum {
    value: f64,
    pub at: Time,
}

impl DecayingSum {
    /// Adds `more` to what is left of the sum at `now`, and returns it.
    pub fn add(&mut self, now: Time, over: Span, more: f64) -> f64 {
        self.value = self.level(now, over) + more;
        self.at = now;
        self.value
    }
    /// What is left of the sum at `now`.
    pub fn level(&self, now: Time, over: Span) -> f64 {
        self.value * (-(now - self.at).secs() / over.secs()).exp()
    }
}

/// A bucket that fills at a steady rate; full at first.
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenBucket {
    tokens: Option<f64>,
    at: Time,
}

impl TokenBucket {
    /// What it holds now.
    pub fn level(&mut self, now: Time, rate: f64, depth: f64) -> f64 {
        let tokens = self.tokens.map_or(depth, |tokens| (tokens + rate * (now - self.at).secs()).min(depth));
        (self.tokens, self.at) = (Some(tokens), now);
        tokens
    }
    pub fn add(&mut self, more: f64) {
        self.tokens = self.tokens.map(|tokens| tokens + more);
    }
}

/// Of a key's candidates, near ones and others, and of the reserved parts: what an order was made from.
pub type OrderVersion = ((u64, u64), u64);

/// The paper's T[key], and what decides its size.
#[derive(Default)]
pub struct TableEntry {
    pub workers: Vec<WorkerId>,
    /// The first eligible workers of the own zone in the key's stable order, as of `same_zone_version`.
    pub same_zone: Vec<WorkerId>,
    pub same_zone_version: OrderVersion,
    /// Those of other zones, as of `cross_zone_version`: most jobs never need them.
    pub cross_zone: Vec<WorkerId>,
    pub cross_zone_version: OrderVersion,
    /// Slot-seconds served to this dispatcher: what clients repeat after refusals must not count.
    pub demand: DecayingSum,
}

/// The paper's three states of a worker.
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
    pub weight: f64,
    pub started: Option<Time>,
    /// The start that the list tells of.
    pub listed_start: Option<Time>,
    /// What the own list says.
    pub readiness: Readiness,
    /// In service by the own list, and not taken out by hand.
    pub in_service: bool,
    /// Slots learned from reports.
    pub learned_slots: Option<f64>,
    /// Own slots in use and jobs out, now.
    pub own_slots: f64,
    pub own_jobs: u32,
    /// Own slots in use, smoothed over time up to `own_slots_at`.
    own_slots_smoothed: f64,
    own_slots_at: Time,
    /// Slots in use by others, averaged over reports and own waits; none before the first.
    pub other_slots: Option<f64>,
    /// When these were last judged.
    pub other_slots_at: Option<Time>,
    /// When own attempts were sent that have not started yet.
    pub unstarted: Vec<Time>,
    pub reported_at: Option<Time>,
    pub free_memory: Option<f64>,
    /// Recent own jobs per key, fading.
    keys: Vec<(KeyHash, DecayingSum)>,
    pub full_until: Time,
    pub consecutive_failures: u32,
    /// Jobs that ended in its own error, and that it served, fading: own ones, and what its reports tell.
    errors: DecayingSum,
    served: DecayingSum,
    pub ejected_until: Time,
    pub probe_pending: bool,
    /// The last of this dispatcher's turns that was spent while the worker was cold.
    pub last_turn: i64,
}

impl Worker {
    /// One that the list names for the first time.
    pub fn new(entry: &Listing, s: &Settings, now: Time) -> Self {
        Worker {
            name: entry.worker.clone(),
            name_hash: xxh3_64(entry.worker.as_bytes()),
            kind: s.kinds.iter().position(|k| *k == entry.kind).map(KindId),
            same_zone: entry.zone == s.zone,
            zone: entry.zone.clone(),
            cell: entry.cell,
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
            probe_pending: false,
            last_turn: i64::MIN,
        }
    }
    /// Where its fleet files it: for jobs that run anywhere, and for those that need its kind.
    pub fn partitions(&self) -> [(bool, Option<KindId>); 2] {
        [(self.same_zone, None), (self.same_zone, Some(self.kind.unwrap_or(KindId(usize::MAX))))]
    }
    /// Its process restarted: what was learned of the earlier one is void.
    pub fn restart(&mut self, started: Option<Time>, now: Time) {
        (self.started, self.last_turn, self.consecutive_failures) = (started, i64::MIN, 0);
        (self.reported_at, self.full_until, self.ejected_until) = (None, now, now);
        (self.other_slots, self.other_slots_at) = (None, None);
        (self.errors, self.served) = (DecayingSum::default(), DecayingSum::default());
        self.keys.clear();
    }
    /// Who shares what it remembers of a keyed request.
    pub fn dedup_group(&self, id: WorkerId, effect: Effect) -> DedupGroup {
        match effect {
            Effect::Keyed { group: Group::Zone, .. } => DedupGroup::Zone(self.zone.clone()),
            Effect::Keyed { group: Group::Cell, .. } => {
                self.cell.map_or(DedupGroup::Single(id), DedupGroup::Cell)
            }
            _ => DedupGroup::All,
        }
    }
    /// The least part of its capacity that it has by now.
    pub fn capacity_fraction(&self, rules: &Rules, now: Time) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let part = (now - started).secs() / rules.ramp.secs().max(1e-6);
        (rules.initial_capacity + (1.0 - rules.initial_capacity) * part.max(0.0)).min(1.0)
    }
    /// What the orders of keys need to know of it.
    pub(crate) fn candidate(&self, id: WorkerId) -> Candidate {
        Candidate { id, hash: self.name_hash, weight: self.weight, kind: self.kind }
    }
    /// Own slots in use, smoothed up to `now`.
    pub fn smoothed_own_slots(&mut self, now: Time, over: Span) -> f64 {
        let part = (-(now - self.own_slots_at).secs() / over.secs()).exp();
        self.own_slots_smoothed = self.own_slots + (self.own_slots_smoothed - self.own_slots) * part;
        self.own_slots_at = now;
        self.own_slots_smoothed
    }
    /// Moves the count of others' slots towards `seen`; the first time it is taken as it is.
    pub fn blend_other_slots(&mut self, seen: f64, gain: f64, now: Time) {
        let old = self.other_slots.unwrap_or(seen);
        self.other_slots = Some(old + (seen - old) * gain);
        self.other_slots_at = Some(now);
    }
    /// Learns its slots from a report; returns the slots in use, with the queue. Behind a report
    /// of no free slots that tells of no queue, one of `hidden` parts of the slots is taken for likely.
    pub fn learn_from_report(&mut self, load: LoadReport, hidden: f64, unknown: f64) -> Option<f64> {
        if let Some(free) = load.free_slots {
            let held = load.inflight.filter(|_| free >= 1.0).unwrap_or(0.0);
            self.learned_slots = Some(self.learned_slots.unwrap_or(1.0).max((free + held).round()));
        }
        let all = self.learned_slots.unwrap_or(unknown);
        let running = load.free_slots.map(|f| (all - f).max(0.0)).or(load.util.map(|u| u * all));
        let hides = load.free_slots.is_some_and(|f| f < 0.5);
        let queue = load.queue.unwrap_or(if hides { hidden * all } else { 0.0 });
        self.free_memory = load.free_memory;
        load.inflight.or(running.map(|r| r + queue)).or(load.queue)
    }
    /// Counts jobs that ended there in its own error, and that it served.
    pub fn count_outcomes(&mut self, now: Time, over: Span, errors: f64, served: f64) {
        self.errors.add(now, over, errors);
        self.served.add(now, over, served);
    }
    /// Its recent errors.
    pub fn error_count(&self, now: Time, over: Span) -> f64 {
        self.errors.level(now, over)
    }
    /// The part that these are of its recent jobs, if it served one more.
    pub fn error_ratio(&self, now: Time, over: Span) -> f64 {
        let errors = self.error_count(now, over);
        errors / (errors + self.served.level(now, over) + 1.0)
    }
    pub fn has_unstarted_job(&self, now: Time, least: Span) -> bool {
        self.unstarted.first().is_some_and(|at| now - *at > least)
    }
    /// Whether a job of this size can run here at all.
    pub fn fits(&self, job: &Job) -> bool {
        let small = self.learned_slots.is_some_and(|slots| slots < job.slots);
        !small && self.free_memory.is_none_or(|free| free >= job.memory)
    }
    /// An own job went out.
    pub fn on_sent(&mut self, now: Time, slots: f64, over: Span) {
        self.smoothed_own_slots(now, over);
        self.own_slots += slots;
        self.own_jobs += 1;
        self.unstarted.push(now);
    }
    /// It came back.
    pub fn on_ended(&mut self, now: Time, sent: Time, slots: f64, over: Span) {
        self.smoothed_own_slots(now, over);
        self.own_slots = (self.own_slots - slots).max(0.0);
        self.own_jobs = self.own_jobs.saturating_sub(1);
        self.on_started(sent);
    }
    /// The own job sent at `sent` waits no more.
    pub fn on_started(&mut self, sent: Time) {
        if let Some(at) = self.unstarted.iter().position(|at| *at == sent) {
            self.unstarted.remove(at);
        }
    }
    /// Counts `more` jobs of `key` and drops keys whose count has faded below `least`.
    pub fn count_key(&mut self, key: KeyHash, more: f64, now: Time, over: Span, least: f64) {
        if !self.keys.iter().any(|(k, _)| *k == key) {
            self.keys.push((key, DecayingSum { value: 0.0, at: now }));
        }
        for (k, count) in &mut self.keys {
            count.add(now, over, if *k == key { more } else { 0.0 });
        }
        self.keys.retain(|(_, count)| count.value >= least);
    }
    /// How many keys run here more often than `key`; `None` when it is not among them.
    pub fn key_rank(&self, key: KeyHash) -> Option<usize> {
        let own = self.keys.iter().find(|(k, _)| *k == key)?.1.value;
        Some(self.keys.iter().filter(|(k, c)| c.value > own || (c.value == own && *k < key)).count())
    }
}

/// The chance to wait longer than `runs` mean runs in a queue before `slots` servers that are used to
/// the part `used`, by Sakasegawa's estimate.
pub fn wait_probability(slots: f64, used: f64, runs: f64) -> f64 {
    if runs <= 0.0 {
        return 1.0;
    }
    used.powf((2.0 * (slots + 1.0)).sqrt() - 1.0) * (-(1.0 - used) * slots * runs).exp()
}
