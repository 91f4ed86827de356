//! Placement: which worker a job is offered to, by the paper's greedy table (Algorithms 1 and 2).

use rand::Rng;

use crate::admission::MAX_LATE_PROBABILITY;
use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::health::{ERROR_DECAY, QUEUED_AFTER, STALE_AFTER};
use crate::partitions::{first_for_key, Candidate};
use crate::requests::Job;
use crate::retry::HEDGE_MAX_LATE_PROBABILITY;
use crate::worker::{DecayingSum, KeyHash, State, TableEntry, Worker, WorkerId};

/// Slots of a worker until they are learned: the paper's `t_full`.
pub(crate) const DEFAULT_SLOTS: f64 = 8.0;
/// `t_full`, as a part of the slots.
const T_FULL: f64 = 1.0;
/// Slots: the load of others is a mean, so a part of one beyond the last may still be free.
const ROUNDING: f64 = 0.5;
/// `t_busy`, as a part of the slots: the paper's 5 of 8.
const T_BUSY: f64 = 0.625;
/// `t_m`, as a part of the slots: the paper's 3 of 8.
const T_MAJOR: f64 = 0.375;
/// Counts per key and kind fade over this: one dispatcher of many seldom has a key running.
pub(crate) const KEY_DECAY: Span = Span(10_000_000);
/// Workers kept per key in its order; the scan walks these, not the fleet.
const ORDER_LEN: usize = 24;
/// Available workers that the scan compares.
const SCAN_SAMPLE: usize = 3;
/// The pressure at which the scan is at its narrowest.
const FULL_PRESSURE: f64 = 0.3;
/// The narrowest scan covers workers with this many slots beyond those assigned; the same with all Full.
const MIN_SCAN_SLOTS: f64 = 7.0;
/// What it costs to keep a key in one zone more, in fetches and balance, as a part of a job's worth.
const KEY_COPY_COST: f64 = 0.02;
/// Loads this close count as equal and the order decides, so that tables agree.
const LOAD_STEP: f64 = 0.2;
/// Reports fade over this, or a worker judged full would never be tried again.
const REPORT_DECAY: Span = Span(10_000_000);
/// Reserved parts move in so many steps: each change sorts the keys' orders anew.
const RESERVE_STEPS: f64 = 5.0;
/// The part of a reserved kind that jobs with a choice keep.
const MIN_UNRESERVED: f64 = 0.02;
/// Age of news after which a worker that is looked at is probed.
const PROBE_AFTER: Span = Span(700_000);
/// Probes for a job, at most.
const MAX_PROBES_PER_JOB: usize = 2;
/// Beyond so many dispatchers these share such probes: a worker answers few at a time, and each has its price.
pub(crate) const MAX_PROBING_DISPATCHERS: usize = 4;
/// A new job waits for the answers to probes for this long at most.
const MAX_PROBE_WAIT: Span = Span(80_000);
/// A worker that fails more than this part of its jobs gets none that must not run twice.
const MAX_ERROR_RATIO: f64 = 0.2;

impl Dispatcher {
    /// Picks a worker by the paper's two algorithms.
    pub(crate) fn choose_worker(&mut self, job: &Job, out: &mut Vec<Action>) -> Option<WorkerId> {
        let kind = self.settings.classes[job.class.0].kind;
        // A job without a key has a table entry of its own, for this one look.
        let key = job.key.unwrap_or_else(|| self.rng.random());
        let roams = job.key.is_some() && self.spans_zones();
        let (mut t, part) = self.take_entry(key, kind, roams);
        let home =
            if self.is_shared_fleet() { self.primary_count(&t, job).min(t.same_zone.len()) } else { 1 };
        let drawn = if self.is_shared_fleet() { self.rng.random::<u32>() as usize } else { 0 };
        let risky = |w: &Worker| w.error_ratio(self.now, ERROR_DECAY) > MAX_ERROR_RATIO;
        let once = self.settings.classes[job.class.0].effect == Effect::Unsafe;
        let careful = once && !self.fleet.in_service.iter().filter_map(|id| self.fleet.get(*id)).all(risky);
        let healthy = |w: &Worker| self.now >= w.ejected_until && w.fits(job) && !(careful && risky(w));
        let fits = |id: &WorkerId| {
            !job.tried(*id) && self.fleet.get(*id).is_some_and(healthy) && self.may_send(job, *id)
        };
        // The key's demand over all dispatchers counts: a sliver alone would never fill a worker.
        let takes = |id: &WorkerId| self.fleet.get(*id).is_some_and(|w| self.is_available(w, job, part));
        let mut best = self.least_loaded(t.workers.iter().copied().filter(|id| fits(id) && takes(id)));
        if best.is_none() {
            // Busy and the key not major there: it leaves the table.
            let state = |id: &WorkerId| self.fleet.get(*id).map(|w| self.worker_state(w, job.slots, 0.0));
            t.workers.retain(|id| takes(id) || state(id) != Some(State::Busy));
            let takes = |id: &WorkerId| self.fleet.get(*id).is_some_and(|w| self.is_available(w, job, 0.0));
            let scan = |t: &TableEntry, of: &[WorkerId]| {
                let new = of.iter().copied().filter(|id| !t.workers.contains(id) && fits(id) && takes(id));
                self.least_loaded(new.take(SCAN_SAMPLE))
            };
            let near =
                (t.workers.len() + self.scan_width(&t.same_zone, self.pressure)).min(t.same_zone.len());
            let mut of = t.same_zone[..near].to_vec();
            of[..home.min(near)].rotate_left((drawn % home.max(1)).min(near));
            best = scan(&t, &of);
            if best.is_none() {
                self.update_cross_zone_order(&mut t, key, kind, roams);
                let far = self.scan_width(&t.cross_zone, FULL_PRESSURE);
                best = scan(&t, &t.cross_zone[..far]);
            }
            t.workers.extend(best);
        }
        // All seem Full: the shortest queue of T[key] and as many next in its order, so that overload does
        // not scatter keys over workers that must fetch them first. A tenant's overflow waits in no queue.
        if best.is_none() && !job.over_share {
            let (near, far) =
                (self.scan_width(&t.same_zone, FULL_PRESSURE), self.scan_width(&t.cross_zone, FULL_PRESSURE));
            let next = t.same_zone.iter().filter(|id| !t.workers.contains(id)).take(t.workers.len() + near);
            best = self.least_loaded(t.workers.iter().chain(next).copied().filter(fits));
            best = best.or_else(|| self.least_loaded(t.cross_zone.iter().copied().filter(fits).take(far)));
        }
        // Where it would start too late, a worker beyond the key's own that would not is worth a fetch.
        let late = |id: WorkerId| self.fleet.get(id).map_or(1.0, |w| self.late_probability(w, job));
        let full = best.is_none_or(|id| late(id) > MAX_LATE_PROBABILITY);
        if full {
            self.update_cross_zone_order(&mut t, key, kind, roams);
        }
        if full && !job.over_share {
            let all = t.same_zone.iter().chain(&t.cross_zone).copied().filter(fits).map(|id| (late(id), id));
            let mut other: Vec<_> = all.filter(|o| o.0 <= HEDGE_MAX_LATE_PROBABILITY).collect();
            other.sort_by(|a, b| a.0.total_cmp(&b.0));
            // The emptiest that all know of is the fullest a report later.
            let at = if self.is_shared_fleet() { drawn % other.len().max(1) } else { 0 };
            best = other.get(at).map(|o| o.1).or(best);
        }
        // A repeat is bound to its group, which the key's order may not hold.
        if best.is_none() && job.may_have_run() {
            best = self.least_loaded(self.fleet.in_service.iter().copied().filter(fits));
        }
        if self.probes_for_load() {
            // Of other zones there is no news until it is asked for.
            let far = t.cross_zone.iter().take(if full { SCAN_SAMPLE } else { 0 });
            let first = best.iter().take(if self.is_shared_fleet() { 1 } else { 0 });
            let looked_at =
                first.chain(far).chain(&best).chain(&t.workers).chain(&t.same_zone).take(SCAN_SAMPLE + 1);
            let stale = self.fleet.start_probes(looked_at, self.now - PROBE_AFTER, MAX_PROBES_PER_JOB);
            out.extend(stale.into_iter().map(Action::Probe));
        }
        if job.key.is_some() {
            self.table.insert(key, t);
        }
        best
    }

    /// Takes T[key] out, cut to what its demand fills to Busy, with the slots the key runs on each worker.
    fn take_entry(&mut self, key: KeyHash, kind: Option<KindId>, all: bool) -> (TableEntry, f64) {
        let mut t = self.table.remove(&key).unwrap_or_default();
        let version = (self.fleet.order_version(key, kind), self.reserved_version);
        if t.same_zone_version != version {
            t.same_zone = self.rendezvous_order(key, kind, (!all).then_some(true));
            t.same_zone_version = version;
        }
        if t.workers.iter().any(|id| !t.same_zone.contains(id)) {
            self.update_cross_zone_order(&mut t, key, kind, all);
        }
        let demand = t.demand.add(self.now, KEY_DECAY, 0.0) * self.fleet_rate_factor();
        let mut room = demand;
        let by_order = t.same_zone.iter().chain(&t.cross_zone).copied().filter(|id| t.workers.contains(id));
        let needed = by_order.enumerate().take_while(|(at, id)| {
            let before = room;
            room -= self.fleet.get(*id).map_or(0.0, |w| T_BUSY * self.usable_slots(w));
            *at == 0 || before > 0.0
        });
        t.workers = needed.map(|n| n.1).collect();
        let part = demand / t.workers.len().max(1) as f64;
        (t, part)
    }

    /// Brings T[key]'s order of other zones up to date.
    fn update_cross_zone_order(&self, t: &mut TableEntry, key: KeyHash, kind: Option<KindId>, all: bool) {
        let version = (self.fleet.order_version(key, kind), self.reserved_version);
        if t.cross_zone_version != version {
            t.cross_zone = if all { Vec::new() } else { self.rendezvous_order(key, kind, Some(false)) };
            t.cross_zone_version = version;
        }
    }

    /// Weighted rendezvous order of key and worker name: every dispatcher finds the same one without talk.
    fn rendezvous_order(&self, key: KeyHash, kind: Option<KindId>, near: Option<bool>) -> Vec<WorkerId> {
        let weight = |candidate: &Candidate| {
            let left = candidate.kind.filter(|_| kind.is_none()).map_or(1.0, |k| 1.0 - self.reserved[k.0]);
            (candidate.weight * left.max(MIN_UNRESERVED)).max(1e-3)
        };
        first_for_key(key, self.fleet.candidates(key, kind, near), weight, ORDER_LEN)
    }

    /// Among how many of a key's first workers a scan begins: twice what is filled if all see the key as often as this.
    fn primary_count(&self, t: &TableEntry, job: &Job) -> usize {
        let asked =
            self.dispatchers_per_key() * self.run_times[job.class.0].secs() * job.slots / KEY_DECAY.secs();
        let first = t
            .same_zone
            .first()
            .and_then(|id| self.fleet.get(*id))
            .map_or(DEFAULT_SLOTS, |w| self.usable_slots(w));
        1 + (2.0 * asked / (T_BUSY * first).max(1.0)) as usize
    }

    /// How far beyond T[key] the scan goes: each step is likely a fetch, and scattered keys swamp the shared store.
    fn scan_width(&self, order: &[WorkerId], pressure: f64) -> usize {
        let slots = order.first().and_then(|id| self.fleet.get(*id)).map_or(1.0, |w| self.usable_slots(w));
        let least = (MIN_SCAN_SLOTS / slots.max(1.0)).round().max(1.0) as usize;
        ((ORDER_LEN as f64 * (1.0 - pressure / FULL_PRESSURE)) as usize).max(least).min(order.len())
    }

    fn least_loaded(&self, workers: impl Iterator<Item = WorkerId>) -> Option<WorkerId> {
        let load = |w: &Worker| (self.occupied_slots(w) / self.usable_slots(w) / LOAD_STEP).floor();
        let loads = workers.filter_map(|id| Some((id, load(self.fleet.get(id)?))));
        loads.min_by(|a, b| a.1.total_cmp(&b.1)).map(|best| best.0)
    }

    /// The paper's `available`; a Busy worker takes only its major keys.
    fn is_available(&self, w: &Worker, job: &Job, part: f64) -> bool {
        let most = (T_MAJOR * self.usable_slots(w)).max(1.0) as usize;
        match self.worker_state(w, job.slots, part) {
            State::Full => false,
            State::Busy => job.key.and_then(|key| w.key_rank(key)).is_some_and(|rank| rank < most),
            State::Free => true,
        }
    }

    /// The state of a worker towards a key of which each of its workers runs `part` slots.
    fn worker_state(&self, w: &Worker, slots: f64, part: f64) -> State {
        let (capacity, occupied) = (self.usable_slots(w), self.occupied_slots(w).max(part));
        let queued = self.settings.reports_start && w.has_unstarted_job(self.now, QUEUED_AFTER);
        let full = occupied + slots > (T_FULL * capacity).max(slots) + ROUNDING;
        match occupied >= T_BUSY * capacity {
            _ if queued || full || self.now < w.full_until => State::Full,
            true => State::Busy,
            false => State::Free,
        }
    }

    /// Slots in use: own ones, and the mean of what reports say of others; the newest is older than a job is long.
    pub(crate) fn occupied_slots(&self, w: &Worker) -> f64 {
        let age = w.other_slots_at.map_or(0.0, |at| (self.now - at).secs());
        w.own_slots
            + w.other_slots.map_or(self.mean_fill * self.usable_slots(w), |o| {
                o.max(0.0) * (-age / REPORT_DECAY.secs()).exp()
            })
    }

    pub(crate) fn usable_slots(&self, w: &Worker) -> f64 {
        w.learned_slots.unwrap_or(DEFAULT_SLOTS) * w.capacity_fraction(&self.settings.rules, self.now)
    }

    /// Whether so many share the fleet that each sees but a sliver of a worker's jobs, and hears of it seldom.
    pub(crate) fn is_shared_fleet(&self) -> bool {
        self.settings.dispatchers > MAX_PROBING_DISPATCHERS
    }

    /// Whether workers are asked for their load; answers bring a sliver of a large fleet too little of it.
    pub(crate) fn probes_for_load(&self) -> bool {
        let of = self.settings.reporting;
        self.settings.limits.probes
            && (of == Reporting::Probe || of == Reporting::Answers && self.is_shared_fleet())
    }

    /// Whether a job waits for a probe of the worker chosen, until `since` is `MAX_PROBE_WAIT` ago: all would take the same one.
    pub(crate) fn awaits_probe(&self, to: WorkerId, since: Time) -> bool {
        let old = |w: &Worker| w.probe_pending && w.reported_at.is_none_or(|at| self.now - at > STALE_AFTER);
        self.probes_for_load()
            && self.is_shared_fleet()
            && self.now - since < MAX_PROBE_WAIT
            && self.fleet.get(to).is_some_and(old)
    }

    /// Dispatchers that send a key to the same workers: all, or those of a zone at the mean.
    fn dispatchers_per_key(&self) -> f64 {
        let zones = if self.spans_zones() { 1 } else { self.settings.zones.len().max(1) };
        (self.settings.dispatchers as f64 / zones as f64).max(1.0)
    }

    /// Whether a key has its workers in all zones: crossings cost less than a set of workers in each.
    fn spans_zones(&self) -> bool {
        self.settings.cross_zone_price <= KEY_COPY_COST * (self.settings.zones.len() as f64 - 1.0)
    }

    /// Turns what this dispatcher counted over KEY_DECAY into the rate of all that share it.
    fn fleet_rate_factor(&self) -> f64 {
        let known = self.started_at.map_or(0.0, |at| (self.now - at).secs()) / KEY_DECAY.secs();
        self.dispatchers_per_key() / KEY_DECAY.secs() / (1.0 - (-known.max(0.1)).exp())
    }

    /// Jobs that may run anywhere leave to jobs that need one kind the part of it that those fill.
    pub(crate) fn update_reserved(&mut self) {
        let mut capacity = vec![0.0; self.reserved.len()];
        for w in self.fleet.in_service.iter().filter_map(|id| self.fleet.get(*id)).filter(|w| w.same_zone) {
            w.kind.into_iter().for_each(|k| capacity[k.0] += T_BUSY * self.usable_slots(w));
        }
        let (now, scale) = (self.now, self.fleet_rate_factor());
        let mut part = |(asked, capacity): (&mut DecayingSum, f64)| {
            let used = asked.add(now, KEY_DECAY, 0.0) * scale / f64::max(capacity, 1e-3);
            (used.min(1.0) * RESERVE_STEPS).round() / RESERVE_STEPS
        };
        let reserved: Vec<f64> = self.kind_demand.iter_mut().zip(capacity).map(&mut part).collect();
        if reserved != self.reserved {
            self.reserved = reserved;
            self.reserved_version += 1;
        }
    }
}
