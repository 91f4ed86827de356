//! Placement: which worker a job is offered to, by the paper's greedy table (Algorithms 1 and 2).

use rand::Rng;

use crate::admission::LATE;
use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::health::{ERROR_MEMORY, QUEUED_AFTER, STALE_AFTER};
use crate::partitions::{first_for_key, Candidate};
use crate::requests::Job;
use crate::retry::HEDGE_MOST_LATE;
use crate::worker::{Assigned, Faded, KeyHash, State, Worker, WorkerId};

/// Slots of a worker until they are learned: the paper's `t_full`.
pub(crate) const PAPER_FULL: f64 = 8.0;
/// `t_full`, as a part of the slots.
const T_FULL: f64 = 1.0;
/// Slots: the load of others is a mean, so a part of one beyond the last may still be free.
const ROUNDING: f64 = 0.5;
/// `t_busy`, as a part of the slots: the paper's 5 of 8.
const T_BUSY: f64 = 0.625;
/// `t_m`, as a part of the slots: the paper's 3 of 8.
const T_MAJOR: f64 = 0.375;
/// Counts per key and kind fade over this: one dispatcher of many seldom has a key running.
pub(crate) const KEY_MEMORY: Span = Span(10_000_000);
/// Workers kept per key in its order; the scan walks these, not the fleet.
const ORDER: usize = 24;
/// Available workers that the scan compares.
const SAMPLE: usize = 3;
/// The pressure at which the scan is at its narrowest.
const HIGH_PRESSURE: f64 = 0.3;
/// The narrowest scan covers workers with this many slots beyond those assigned; the same with all Full.
const JOIN_SLOTS: f64 = 7.0;
/// What it costs to keep a key in one zone more, in fetches and balance, as a part of a job's worth.
const KEY_COPY_COST: f64 = 0.02;
/// Loads this close count as equal and the order decides, so that tables agree.
const TIE: f64 = 0.2;
/// Reports fade over this, or a worker judged full would never be tried again.
const REPORT_MEMORY: Span = Span(10_000_000);
/// Reserved parts move in so many steps: each change sorts the keys' orders anew.
const RESERVE_STEPS: f64 = 5.0;
/// The part of a reserved kind that jobs with a choice keep.
const LEAST_LEFT: f64 = 0.02;
/// Age of news after which a worker that is looked at is probed.
const PROBE_AFTER: Span = Span(700_000);
/// Probes for a job, at most.
const PROBES: usize = 2;
/// Beyond so many dispatchers these share such probes: a worker answers few at a time, and each has its price.
pub(crate) const PROBERS: usize = 4;
/// A new job waits for the answers to probes for this long at most.
const PROBE_WAIT: Span = Span(80_000);
/// A worker that fails more than this part of its jobs gets none that must not run twice.
const RISK: f64 = 0.2;

impl Dispatcher {
    /// Picks a worker by the paper's two algorithms.
    pub(crate) fn choose(&mut self, job: &Job, out: &mut Vec<Action>) -> Option<WorkerId> {
        let kind = self.settings.classes[job.class.0].kind;
        // A job without a key has a table entry of its own, for this one look.
        let key = job.key.unwrap_or_else(|| self.rng.random());
        let roams = job.key.is_some() && self.roams();
        let (mut t, part) = self.entry(key, kind, roams);
        let home = if self.shared() { self.home(&t, job).min(t.near.len()) } else { 1 };
        let drawn = if self.shared() { self.rng.random::<u32>() as usize } else { 0 };
        let risky = |w: &Worker| w.failing(self.now, ERROR_MEMORY) > RISK;
        let once = self.settings.classes[job.class.0].effect == Effect::Unsafe;
        let careful = once && !self.fleet.ready.iter().filter_map(|id| self.fleet.get(*id)).all(risky);
        let healthy = |w: &Worker| self.now >= w.ejected_until && w.holds(job) && !(careful && risky(w));
        let fits = |id: &WorkerId| {
            !job.tried(*id) && self.fleet.get(*id).is_some_and(healthy) && self.may_send(job, *id)
        };
        // The key's demand over all dispatchers counts: a sliver alone would never fill a worker.
        let takes = |id: &WorkerId| self.fleet.get(*id).is_some_and(|w| self.available(w, job, part));
        let mut best = self.least_loaded(t.workers.iter().copied().filter(|id| fits(id) && takes(id)));
        if best.is_none() {
            // Busy and the key not major there: it leaves the table.
            let state = |id: &WorkerId| self.fleet.get(*id).map(|w| self.state(w, job.slots, 0.0));
            t.workers.retain(|id| takes(id) || state(id) != Some(State::Busy));
            let takes = |id: &WorkerId| self.fleet.get(*id).is_some_and(|w| self.available(w, job, 0.0));
            let scan = |t: &Assigned, of: &[WorkerId]| {
                let new = of.iter().copied().filter(|id| !t.workers.contains(id) && fits(id) && takes(id));
                self.least_loaded(new.take(SAMPLE))
            };
            let near = (t.workers.len() + self.width(&t.near, self.pressure)).min(t.near.len());
            let mut of = t.near[..near].to_vec();
            of[..home.min(near)].rotate_left((drawn % home.max(1)).min(near));
            best = scan(&t, &of);
            if best.is_none() {
                self.order_far(&mut t, key, kind, roams);
                let far = self.width(&t.far, HIGH_PRESSURE);
                best = scan(&t, &t.far[..far]);
            }
            t.workers.extend(best);
        }
        // All seem Full: the shortest queue of T[key] and as many next in its order, so that overload does
        // not scatter keys over workers that must fetch them first. A tenant's overflow waits in no queue.
        if best.is_none() && !job.over_share {
            let (near, far) = (self.width(&t.near, HIGH_PRESSURE), self.width(&t.far, HIGH_PRESSURE));
            let next = t.near.iter().filter(|id| !t.workers.contains(id)).take(t.workers.len() + near);
            best = self.least_loaded(t.workers.iter().chain(next).copied().filter(fits));
            best = best.or_else(|| self.least_loaded(t.far.iter().copied().filter(fits).take(far)));
        }
        // Where it would start too late, a worker beyond the key's own that would not is worth a fetch.
        let late = |id: WorkerId| self.fleet.get(id).map_or(1.0, |w| self.late_chance(w, job));
        let full = best.is_none_or(|id| late(id) > LATE);
        if full {
            self.order_far(&mut t, key, kind, roams);
        }
        if full && !job.over_share {
            let all = t.near.iter().chain(&t.far).copied().filter(fits).map(|id| (late(id), id));
            let mut other: Vec<_> = all.filter(|o| o.0 <= HEDGE_MOST_LATE).collect();
            other.sort_by(|a, b| a.0.total_cmp(&b.0));
            // The emptiest that all know of is the fullest a report later.
            let at = if self.shared() { drawn % other.len().max(1) } else { 0 };
            best = other.get(at).map(|o| o.1).or(best);
        }
        // A repeat is bound to its group, which the key's order may not hold.
        if best.is_none() && job.may_have_run() {
            best = self.least_loaded(self.fleet.ready.iter().copied().filter(fits));
        }
        if self.asks() {
            // Of other zones there is no news until it is asked for.
            let far = t.far.iter().take(if full { SAMPLE } else { 0 });
            let first = best.iter().take(if self.shared() { 1 } else { 0 });
            let looked_at = first.chain(far).chain(&best).chain(&t.workers).chain(&t.near).take(SAMPLE + 1);
            let stale = self.fleet.probe_stale(looked_at, self.now - PROBE_AFTER, PROBES);
            out.extend(stale.into_iter().map(Action::Probe));
        }
        if job.key.is_some() {
            self.table.insert(key, t);
        }
        best
    }

    /// Takes T[key] out, cut to what its demand fills to Busy, with the slots the key runs on each worker.
    fn entry(&mut self, key: KeyHash, kind: Option<KindId>, all: bool) -> (Assigned, f64) {
        let mut t = self.table.remove(&key).unwrap_or_default();
        let version = (self.fleet.version(key, kind), self.reserved_version);
        if t.near_version != version {
            t.near = self.order(key, kind, (!all).then_some(true));
            t.near_version = version;
        }
        if t.workers.iter().any(|id| !t.near.contains(id)) {
            self.order_far(&mut t, key, kind, all);
        }
        let demand = t.demand.add(self.now, KEY_MEMORY, 0.0) * self.per_second_of_all();
        let mut room = demand;
        let by_order = t.near.iter().chain(&t.far).copied().filter(|id| t.workers.contains(id));
        let needed = by_order.enumerate().take_while(|(at, id)| {
            let before = room;
            room -= self.fleet.get(*id).map_or(0.0, |w| T_BUSY * self.slots(w));
            *at == 0 || before > 0.0
        });
        t.workers = needed.map(|n| n.1).collect();
        let part = demand / t.workers.len().max(1) as f64;
        (t, part)
    }

    /// Brings T[key]'s order of other zones up to date.
    fn order_far(&self, t: &mut Assigned, key: KeyHash, kind: Option<KindId>, all: bool) {
        let version = (self.fleet.version(key, kind), self.reserved_version);
        if t.far_version != version {
            t.far = if all { Vec::new() } else { self.order(key, kind, Some(false)) };
            t.far_version = version;
        }
    }

    /// Weighted rendezvous order of key and worker name: every dispatcher finds the same one without talk.
    fn order(&self, key: KeyHash, kind: Option<KindId>, near: Option<bool>) -> Vec<WorkerId> {
        let weight = |candidate: &Candidate| {
            let left = candidate.kind.filter(|_| kind.is_none()).map_or(1.0, |k| 1.0 - self.reserved[k.0]);
            (candidate.weight * left.max(LEAST_LEFT)).max(1e-3)
        };
        first_for_key(key, self.fleet.candidates(key, kind, near), weight, ORDER)
    }

    /// Among how many of a key's first workers a scan begins: twice what is filled if all see the key as often as this.
    fn home(&self, t: &Assigned, job: &Job) -> usize {
        let asked = self.sharers() * self.run[job.class.0].secs() * job.slots / KEY_MEMORY.secs();
        let first = t.near.first().and_then(|id| self.fleet.get(*id)).map_or(PAPER_FULL, |w| self.slots(w));
        1 + (2.0 * asked / (T_BUSY * first).max(1.0)) as usize
    }

    /// How far beyond T[key] the scan goes: each step is likely a fetch, and scattered keys swamp the shared store.
    fn width(&self, order: &[WorkerId], pressure: f64) -> usize {
        let slots = order.first().and_then(|id| self.fleet.get(*id)).map_or(1.0, |w| self.slots(w));
        let least = (JOIN_SLOTS / slots.max(1.0)).round().max(1.0) as usize;
        ((ORDER as f64 * (1.0 - pressure / HIGH_PRESSURE)) as usize).max(least).min(order.len())
    }

    fn least_loaded(&self, workers: impl Iterator<Item = WorkerId>) -> Option<WorkerId> {
        let load = |w: &Worker| (self.occupied(w) / self.slots(w) / TIE).floor();
        let loads = workers.filter_map(|id| Some((id, load(self.fleet.get(id)?))));
        loads.min_by(|a, b| a.1.total_cmp(&b.1)).map(|best| best.0)
    }

    /// The paper's `available`; a Busy worker takes only its major keys.
    fn available(&self, w: &Worker, job: &Job, part: f64) -> bool {
        let most = (T_MAJOR * self.slots(w)).max(1.0) as usize;
        match self.state(w, job.slots, part) {
            State::Full => false,
            State::Busy => job.key.and_then(|key| w.rank_of(key)).is_some_and(|rank| rank < most),
            State::Free => true,
        }
    }

    /// The state of a worker towards a key of which each of its workers runs `part` slots.
    fn state(&self, w: &Worker, slots: f64, part: f64) -> State {
        let (capacity, occupied) = (self.slots(w), self.occupied(w).max(part));
        let queued = self.settings.reports_start && w.waits(self.now, QUEUED_AFTER);
        let full = occupied + slots > (T_FULL * capacity).max(slots) + ROUNDING;
        match occupied >= T_BUSY * capacity {
            _ if queued || full || self.now < w.full_until => State::Full,
            true => State::Busy,
            false => State::Free,
        }
    }

    /// Slots in use: own ones, and the mean of what reports say of others; the newest is older than a job is long.
    pub(crate) fn occupied(&self, w: &Worker) -> f64 {
        let age = w.others_at.map_or(0.0, |at| (self.now - at).secs());
        w.own
            + w.others.map_or(self.fill * self.slots(w), |o| o.max(0.0) * (-age / REPORT_MEMORY.secs()).exp())
    }

    pub(crate) fn slots(&self, w: &Worker) -> f64 {
        w.learned_slots.unwrap_or(PAPER_FULL) * w.warmth(&self.settings.rules, self.now)
    }

    /// Whether so many share the fleet that each sees but a sliver of a worker's jobs, and hears of it seldom.
    pub(crate) fn shared(&self) -> bool {
        self.settings.dispatchers > PROBERS
    }

    /// Whether workers are asked for their load; answers bring a sliver of a large fleet too little of it.
    pub(crate) fn asks(&self) -> bool {
        let of = self.settings.reporting;
        self.settings.limits.probes && (of == Reporting::Probe || of == Reporting::Answers && self.shared())
    }

    /// Whether a job waits for a probe of the worker chosen, until `since` is `PROBE_WAIT` ago: all would take the same one.
    pub(crate) fn awaits_probe(&self, to: WorkerId, since: Time) -> bool {
        let old = |w: &Worker| w.probe_out && w.reported.is_none_or(|at| self.now - at > STALE_AFTER);
        self.asks() && self.shared() && self.now - since < PROBE_WAIT && self.fleet.get(to).is_some_and(old)
    }

    /// Dispatchers that send a key to the same workers: all, or those of a zone at the mean.
    fn sharers(&self) -> f64 {
        let zones = if self.roams() { 1 } else { self.settings.zones.len().max(1) };
        (self.settings.dispatchers as f64 / zones as f64).max(1.0)
    }

    /// Whether a key has its workers in all zones: crossings cost less than a set of workers in each.
    fn roams(&self) -> bool {
        self.settings.cross_zone_price <= KEY_COPY_COST * (self.settings.zones.len() as f64 - 1.0)
    }

    /// Turns what this dispatcher counted over KEY_MEMORY into the rate of all that share it.
    fn per_second_of_all(&self) -> f64 {
        let known = self.born.map_or(0.0, |at| (self.now - at).secs()) / KEY_MEMORY.secs();
        self.sharers() / KEY_MEMORY.secs() / (1.0 - (-known.max(0.1)).exp())
    }

    /// Jobs that may run anywhere leave to jobs that need one kind the part of it that those fill.
    pub(crate) fn reserve(&mut self) {
        let mut capacity = vec![0.0; self.reserved.len()];
        for w in self.fleet.ready.iter().filter_map(|id| self.fleet.get(*id)).filter(|w| w.local) {
            w.kind.into_iter().for_each(|k| capacity[k.0] += T_BUSY * self.slots(w));
        }
        let (now, scale) = (self.now, self.per_second_of_all());
        let mut part = |(asked, capacity): (&mut Faded, f64)| {
            let used = asked.add(now, KEY_MEMORY, 0.0) * scale / f64::max(capacity, 1e-3);
            (used.min(1.0) * RESERVE_STEPS).round() / RESERVE_STEPS
        };
        let reserved: Vec<f64> = self.asked.iter_mut().zip(capacity).map(&mut part).collect();
        if reserved != self.reserved {
            self.reserved = reserved;
            self.reserved_version += 1;
        }
    }
}
