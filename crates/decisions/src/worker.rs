//! What is known of one worker: plain figures, no thresholds, no choosing.

use xxhash_rust::xxh3::xxh3_64;

use crate::api::*;
use crate::partitions::Candidate;
use crate::requests::{Job, Peers};

/// A worker's number at one dispatcher; never reused.
pub type WorkerId = u32;
/// A stable hash of a key and the kind of machine it needs.
pub type KeyHash = u64;

/// A sum whose parts fade with their age.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faded {
    value: f64,
    pub at: Time,
}

impl Faded {
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
pub struct Bucket {
    held: Option<f64>,
    at: Time,
}

impl Bucket {
    /// What it holds now.
    pub fn level(&mut self, now: Time, rate: f64, depth: f64) -> f64 {
        let held = self.held.map_or(depth, |held| (held + rate * (now - self.at).secs()).min(depth));
        (self.held, self.at) = (Some(held), now);
        held
    }
    pub fn put(&mut self, more: f64) {
        self.held = self.held.map(|held| held + more);
    }
}

/// Of a key's candidates, near ones and others, and of the reserved parts: what an order was made from.
pub type OrderVersion = ((u64, u64), u64);

/// The paper's T[key], and what decides its size.
#[derive(Default)]
pub struct Assigned {
    pub workers: Vec<WorkerId>,
    /// The first eligible workers of the own zone in the key's stable order, as of `near_version`.
    pub near: Vec<WorkerId>,
    pub near_version: OrderVersion,
    /// Those of other zones, as of `far_version`: most jobs never need them.
    pub far: Vec<WorkerId>,
    pub far_version: OrderVersion,
    /// Slot-seconds served to this dispatcher: what clients repeat after refusals must not count.
    pub demand: Faded,
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
    pub hash: u64,
    pub kind: Option<KindId>,
    pub zone: Name,
    pub local: bool,
    pub cell: Option<u64>,
    pub weight: f64,
    pub started: Option<Time>,
    /// The start that the list tells of.
    pub listed_start: Option<Time>,
    /// What the own list says.
    pub readiness: Readiness,
    /// In service by the own list, and not taken out by hand.
    pub ready: bool,
    /// Slots learned from reports.
    pub learned_slots: Option<f64>,
    /// Own slots in use and jobs out, now.
    pub own: f64,
    pub jobs: u32,
    /// Own slots in use, smoothed over time up to `own_at`.
    own_smooth: f64,
    own_at: Time,
    /// Slots in use by others, averaged over reports and own waits; none before the first.
    pub others: Option<f64>,
    /// When these were last judged.
    pub others_at: Option<Time>,
    /// When own attempts were sent that have not started yet.
    pub waiting: Vec<Time>,
    pub reported: Option<Time>,
    pub free_memory: Option<f64>,
    /// Recent own jobs per key, fading.
    keys: Vec<(KeyHash, Faded)>,
    pub full_until: Time,
    pub fails: u32,
    /// Jobs that ended in its own error, and that it served, fading: own ones, and what its reports tell.
    errors: Faded,
    served: Faded,
    pub ejected_until: Time,
    pub probe_out: bool,
    /// The last of this dispatcher's turns that was spent while the worker was cold.
    pub turn_spent: i64,
}

impl Worker {
    /// One that the list names for the first time.
    pub fn new(entry: &Listing, s: &Settings, now: Time) -> Self {
        Worker {
            name: entry.worker.clone(),
            hash: xxh3_64(entry.worker.as_bytes()),
            kind: s.kinds.iter().position(|k| *k == entry.kind).map(KindId),
            local: entry.zone == s.zone,
            zone: entry.zone.clone(),
            cell: entry.cell,
            weight: entry.weight,
            started: entry.started,
            listed_start: entry.started,
            readiness: Readiness::Gone,
            ready: false,
            learned_slots: None,
            own: 0.0,
            jobs: 0,
            own_smooth: 0.0,
            own_at: now,
            others: None,
            others_at: None,
            waiting: Vec::new(),
            reported: None,
            free_memory: None,
            keys: Vec::new(),
            full_until: now,
            fails: 0,
            errors: Faded::default(),
            served: Faded::default(),
            ejected_until: now,
            probe_out: false,
            turn_spent: i64::MIN,
        }
    }
    /// Where its fleet files it: for jobs that run anywhere, and for those that need its kind.
    pub fn partitions(&self) -> [(bool, Option<KindId>); 2] {
        [(self.local, None), (self.local, Some(self.kind.unwrap_or(KindId(usize::MAX))))]
    }
    /// Its process restarted: what was learned of the earlier one is void.
    pub fn restart(&mut self, started: Option<Time>, now: Time) {
        (self.started, self.turn_spent, self.fails) = (started, i64::MIN, 0);
        (self.reported, self.full_until, self.ejected_until) = (None, now, now);
        (self.others, self.others_at) = (None, None);
        (self.errors, self.served) = (Faded::default(), Faded::default());
        self.keys.clear();
    }
    /// Who shares what it remembers of a keyed request.
    pub fn peers(&self, id: WorkerId, effect: Effect) -> Peers {
        match effect {
            Effect::Keyed { group: Group::Zone, .. } => Peers::Zone(self.zone.clone()),
            Effect::Keyed { group: Group::Cell, .. } => self.cell.map_or(Peers::Alone(id), Peers::Cell),
            _ => Peers::All,
        }
    }
    /// The least part of its capacity that it has by now.
    pub fn warmth(&self, rules: &Rules, now: Time) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let part = (now - started).secs() / rules.ramp.secs().max(1e-6);
        (rules.initial_capacity + (1.0 - rules.initial_capacity) * part.max(0.0)).min(1.0)
    }
    /// What the orders of keys need to know of it.
    pub(crate) fn candidate(&self, id: WorkerId) -> Candidate {
        Candidate { id, hash: self.hash, weight: self.weight, kind: self.kind }
    }
    /// Own slots in use, smoothed up to `now`.
    pub fn smooth_own(&mut self, now: Time, over: Span) -> f64 {
        let part = (-(now - self.own_at).secs() / over.secs()).exp();
        self.own_smooth = self.own + (self.own_smooth - self.own) * part;
        self.own_at = now;
        self.own_smooth
    }
    /// Moves the count of others' slots towards `seen`; the first time it is taken as it is.
    pub fn blend_others(&mut self, seen: f64, gain: f64, now: Time) {
        let old = self.others.unwrap_or(seen);
        self.others = Some(old + (seen - old) * gain);
        self.others_at = Some(now);
    }
    /// Learns its slots from a report; returns the slots in use, with the queue. Behind a report
    /// of no free slots that tells of no queue, one of `hidden` parts of the slots is taken for likely.
    pub fn learn(&mut self, load: LoadReport, hidden: f64, unknown: f64) -> Option<f64> {
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
    pub fn count_ends(&mut self, now: Time, over: Span, errors: f64, served: f64) {
        self.errors.add(now, over, errors);
        self.served.add(now, over, served);
    }
    /// Its recent errors.
    pub fn errors(&self, now: Time, over: Span) -> f64 {
        self.errors.level(now, over)
    }
    /// The part that these are of its recent jobs, if it served one more.
    pub fn failing(&self, now: Time, over: Span) -> f64 {
        let errors = self.errors(now, over);
        errors / (errors + self.served.level(now, over) + 1.0)
    }
    pub fn waits(&self, now: Time, least: Span) -> bool {
        self.waiting.first().is_some_and(|at| now - *at > least)
    }
    /// Whether a job of this size can run here at all.
    pub fn holds(&self, job: &Job) -> bool {
        let small = self.learned_slots.is_some_and(|slots| slots < job.slots);
        !small && self.free_memory.is_none_or(|free| free >= job.memory)
    }
    /// An own job went out.
    pub fn take(&mut self, now: Time, slots: f64, over: Span) {
        self.smooth_own(now, over);
        self.own += slots;
        self.jobs += 1;
        self.waiting.push(now);
    }
    /// It came back.
    pub fn give_back(&mut self, now: Time, sent: Time, slots: f64, over: Span) {
        self.smooth_own(now, over);
        self.own = (self.own - slots).max(0.0);
        self.jobs = self.jobs.saturating_sub(1);
        self.starts(sent);
    }
    /// The own job sent at `sent` waits no more.
    pub fn starts(&mut self, sent: Time) {
        if let Some(at) = self.waiting.iter().position(|at| *at == sent) {
            self.waiting.remove(at);
        }
    }
    /// Counts `more` jobs of `key` and drops keys whose count has faded below `least`.
    pub fn count_key(&mut self, key: KeyHash, more: f64, now: Time, over: Span, least: f64) {
        if !self.keys.iter().any(|(k, _)| *k == key) {
            self.keys.push((key, Faded { value: 0.0, at: now }));
        }
        for (k, count) in &mut self.keys {
            count.add(now, over, if *k == key { more } else { 0.0 });
        }
        self.keys.retain(|(_, count)| count.value >= least);
    }
    /// How many keys run here more often than `key`; `None` when it is not among them.
    pub fn rank_of(&self, key: KeyHash) -> Option<usize> {
        let own = self.keys.iter().find(|(k, _)| *k == key)?.1.value;
        Some(self.keys.iter().filter(|(k, c)| c.value > own || (c.value == own && *k < key)).count())
    }
}

/// The chance to wait longer than `runs` mean runs in a queue before `slots` servers that are used to
/// the part `used`, by Sakasegawa's estimate.
pub fn wait_chance(slots: f64, used: f64, runs: f64) -> f64 {
    if runs <= 0.0 {
        return 1.0;
    }
    used.powf((2.0 * (slots + 1.0)).sqrt() - 1.0) * (-(1.0 - used) * slots * runs).exp()
}
