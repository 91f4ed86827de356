//! Placement: which worker a job is offered to.
//!
//! Implements the two algorithms of "A Greedy Load Balancing Algorithm on Serverless Platforms Maximizing Locality",
//! called the paper below. Its AssignedTable T holds, for each key, the workers that serve the key; `t_full`,
//! `t_busy` and `t_m` are its thresholds.

use rand::Rng;

use crate::admission::MAX_LATE_PROBABILITY;
use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::health::{ERROR_DECAY, QUEUED_AFTER, STALE_AFTER};
use crate::partitions::{first_for_key, Candidate};
use crate::requests::Job;
use crate::retry::HEDGE_MAX_LATE_PROBABILITY;
use crate::worker::{DecayingSum, KeyHash, State, TableEntry, Worker, WorkerId};

/// Slots assumed for a worker until reports show its real number: the paper's `t_full`.
pub(crate) const DEFAULT_SLOTS: f64 = 8.0;
/// `t_full` as a fraction of the worker's slots.
const T_FULL: f64 = 1.0;
/// Tolerance, in slots, before a worker counts as Full: the load of other dispatchers is a mean, so a fraction of a
/// slot beyond the last one may still be free.
const SLOT_ROUNDING: f64 = 0.5;
/// `t_busy` as a fraction of the worker's slots: the paper's 5 of 8.
const T_BUSY: f64 = 0.625;
/// `t_m`, the number of major keys of a worker, as a fraction of its slots: the paper's 3 of 8.
const T_MAJOR: f64 = 0.375;
/// Time constant of the decaying counts per key and per machine kind. One dispatcher of many seldom has a given key
/// running, so a count of the running jobs alone would mostly be zero.
pub(crate) const KEY_DECAY: Span = Span(10_000_000);
/// Length of the stored worker order of a key. Scans walk this list, not the whole fleet.
const ORDER_LEN: usize = 24;
/// Number of available workers that a scan compares.
const SCAN_SAMPLE: usize = 3;
/// Pressure (see [`Dispatcher::pressure`]) at which scans are narrowest.
const FULL_PRESSURE: f64 = 0.3;
/// The narrowest scan covers workers with this many slots in total beyond those already assigned to the key. The
/// same holds when all workers are Full.
const MIN_SCAN_SLOTS: f64 = 7.0;
/// Cost of keeping a key's data in one more zone (fetches and balance), as a fraction of a job's worth.
const KEY_COPY_COST: f64 = 0.02;
/// Loads are compared in steps of this size. Workers in the same step count as equally loaded and the key's order
/// decides, so that the tables of different dispatchers agree.
const LOAD_STEP: f64 = 0.2;
/// Time constant with which the reported load of other dispatchers decays. Without it, a worker considered full
/// would never be tried again.
const REPORT_DECAY: Span = Span(10_000_000);
/// Reserved fractions change in this many steps, because each change sorts the orders of all keys again.
const RESERVE_STEPS: f64 = 5.0;
/// The smallest fraction of a reserved machine kind that jobs without a required kind keep.
const MIN_UNRESERVED: f64 = 0.02;
/// A worker that placement looks at is probed when its last report is older than this.
const PROBE_AFTER: Span = Span(700_000);
/// Upper bound on the probes sent for one job.
const MAX_PROBES_PER_JOB: usize = 2;
/// With more dispatchers than this the probes are divided among them: a worker answers few at a time, and each
/// probe has its price.
pub(crate) const MAX_PROBING_DISPATCHERS: usize = 4;
/// Upper bound on the time a job waits for the answers to probes.
const MAX_PROBE_WAIT: Span = Span(80_000);
/// A worker whose error ratio exceeds this gets no jobs that must not run twice.
const MAX_ERROR_RATIO: f64 = 0.2;

impl Dispatcher {
    /// Picks a worker for `job` by the paper's two algorithms and updates the key's table entry. Pushes probes of
    /// workers whose reports are old.
    pub(crate) fn choose_worker(&mut self, job: &Job, out: &mut Vec<Action>) -> Option<WorkerId> {
        let kind = self.settings.classes[job.class.0].kind;
        // A job without a key gets a random one, whose table entry is discarded after this call.
        let key = job.key.unwrap_or_else(|| self.rng.random());
        let all_zones = job.key.is_some() && self.spans_zones();
        let (mut entry, slots_per_worker) = self.take_entry(key, kind, all_zones);
        let shared = self.is_shared_fleet();
        let primaries = if shared { self.primary_count(&entry, job).min(entry.same_zone.len()) } else { 1 };
        let offset = if shared { self.rng.random::<u32>() as usize } else { 0 };
        let risky = |worker: &Worker| worker.error_ratio(self.now, ERROR_DECAY) > MAX_ERROR_RATIO;
        let once = self.settings.classes[job.class.0].effect == Effect::Unsafe;
        let avoid_risky =
            once && !self.fleet.in_service.iter().filter_map(|id| self.fleet.get(*id)).all(risky);
        let healthy = |worker: &Worker| {
            self.now >= worker.ejected_until && worker.fits(job) && !(avoid_risky && risky(worker))
        };
        let eligible = |id: &WorkerId| {
            !job.tried.contains(*id) && self.fleet.get(*id).is_some_and(healthy) && self.may_send(job, *id)
        };
        // Judged by the key's demand over all dispatchers: the small fraction of one dispatcher would never fill a
        // worker.
        let available = |id: &WorkerId| {
            self.fleet.get(*id).is_some_and(|worker| self.is_available(worker, job, slots_per_worker))
        };
        let assigned = entry.workers.iter().copied();
        let mut best = self.least_loaded(assigned.filter(|id| eligible(id) && available(id)));
        if best.is_none() {
            // A worker that is Busy and where the key is not a major one leaves the entry.
            let state =
                |id: &WorkerId| self.fleet.get(*id).map(|worker| self.worker_state(worker, job.slots, 0.0));
            entry.workers.retain(|id| available(id) || state(id) != Some(State::Busy));
            let available =
                |id: &WorkerId| self.fleet.get(*id).is_some_and(|worker| self.is_available(worker, job, 0.0));
            let scan = |entry: &TableEntry, order: &[WorkerId]| {
                let unassigned = order.iter().copied().filter(|id| !entry.workers.contains(id));
                let candidates = unassigned.filter(|id| eligible(id) && available(id));
                self.least_loaded(candidates.take(SCAN_SAMPLE))
            };
            let width = entry.workers.len() + self.scan_width(&entry.same_zone, self.pressure);
            let width = width.min(entry.same_zone.len());
            let mut order = entry.same_zone[..width].to_vec();
            // Dispatchers of a shared fleet start at different ones of the key's primary workers.
            order[..primaries.min(width)].rotate_left((offset % primaries.max(1)).min(width));
            best = scan(&entry, &order);
            if best.is_none() {
                self.update_cross_zone_order(&mut entry, key, kind, all_zones);
                let width = self.scan_width(&entry.cross_zone, FULL_PRESSURE);
                best = scan(&entry, &entry.cross_zone[..width]);
            }
            entry.workers.extend(best);
        }
        // All of them seem Full: takes the shortest queue among the assigned workers and as many more in the key's
        // order, so that overload does not scatter keys over workers that have to fetch the data first. Requests
        // over their tenant's share are not queued.
        if best.is_none() && !job.over_share {
            let same_zone_width = self.scan_width(&entry.same_zone, FULL_PRESSURE);
            let cross_zone_width = self.scan_width(&entry.cross_zone, FULL_PRESSURE);
            let unassigned = entry.same_zone.iter().filter(|id| !entry.workers.contains(id));
            let next = unassigned.take(entry.workers.len() + same_zone_width);
            best = self.least_loaded(entry.workers.iter().chain(next).copied().filter(eligible));
            best = best.or_else(|| {
                let cross_zone = entry.cross_zone.iter().copied().filter(eligible);
                self.least_loaded(cross_zone.take(cross_zone_width))
            });
        }
        // If the job would start too late there, another worker that starts it in time is worth the fetch.
        let late = |id: WorkerId| self.fleet.get(id).map_or(1.0, |worker| self.late_probability(worker, job));
        let likely_late = best.is_none_or(|id| late(id) > MAX_LATE_PROBABILITY);
        if likely_late {
            self.update_cross_zone_order(&mut entry, key, kind, all_zones);
        }
        if likely_late && !job.over_share {
            let all = entry.same_zone.iter().chain(&entry.cross_zone).copied().filter(eligible);
            let all = all.map(|id| (late(id), id));
            let mut in_time: Vec<_> = all.filter(|other| other.0 <= HEDGE_MAX_LATE_PROBABILITY).collect();
            in_time.sort_by(|a, b| a.0.total_cmp(&b.0));
            // Picks one at random in a shared fleet: if all dispatchers took the emptiest worker, it would be the
            // fullest by the next report.
            let index = if shared { offset % in_time.len().max(1) } else { 0 };
            best = in_time.get(index).map(|other| other.1).or(best);
        }
        // A repeat is restricted to the group that discards duplicates, and a job of a queue to the workers that serve
        // it. These may not occur in the key's order.
        if best.is_none() && (job.may_have_run() || job.queue.is_some()) {
            best = self.least_loaded(self.fleet.in_service.iter().copied().filter(eligible));
        }
        if job.queue.is_some() {
            best = self.choose_idle_worker(job, best, eligible, healthy).or(best);
        }
        best = best.or_else(|| self.choose_tried_worker(job, healthy));
        if self.probes_for_load() {
            // Load of workers in other zones is only known after a probe.
            let cross_zone = entry.cross_zone.iter().take(if likely_late { SCAN_SAMPLE } else { 0 });
            let first = best.iter().take(if shared { 1 } else { 0 });
            let same_zone = entry.workers.iter().chain(&entry.same_zone);
            let considered = first.chain(cross_zone).chain(&best).chain(same_zone).take(SCAN_SAMPLE + 1);
            let stale = self.fleet.start_probes(considered, self.now - PROBE_AFTER, MAX_PROBES_PER_JOB);
            out.extend(stale.into_iter().map(Action::Probe));
        }
        if job.key.is_some() {
            self.insert_table_entry(key, entry);
        }
        best
    }

    /// Picks a worker without own jobs for a job of a queue: `preferred` if it is one, then one that was not tried, then
    /// another. A queue's jobs are handed out by this dispatcher alone, so such a worker is idle.
    fn choose_idle_worker(
        &self,
        job: &Job,
        preferred: Option<WorkerId>,
        untried: impl Fn(&WorkerId) -> bool,
        healthy: impl Fn(&Worker) -> bool,
    ) -> Option<WorkerId> {
        let is_idle = |id: &WorkerId| self.fleet.get(*id).is_some_and(|worker| worker.own_jobs == 0);
        let idle = self.fleet.in_service.iter().copied().filter(|id| is_idle(id) && untried(id));
        let preferred = preferred.filter(&is_idle).or_else(|| self.least_loaded(idle));
        preferred.or_else(|| self.choose_tried_worker(job, |worker| worker.own_jobs == 0 && healthy(worker)))
    }

    /// Picks the worker with the fewest attempts of `job` among those that may get it once more. The longest excluded
    /// one comes first among equals.
    fn choose_tried_worker(&self, job: &Job, healthy: impl Fn(&Worker) -> bool) -> Option<WorkerId> {
        // Requests over their tenant's share are not queued.
        let has_room = |worker: &Worker| !job.over_share || self.is_available(worker, job, 0.0);
        let takes_it = |id: WorkerId| {
            self.fleet.get(id).is_some_and(|worker| healthy(worker) && has_room(worker))
                && self.may_send(job, id)
        };
        let candidates = job.tried.eligible(self.now).filter(|tried| takes_it(tried.worker));
        candidates.min_by_key(|tried| (tried.attempts, tried.eligible_at)).map(|tried| tried.worker)
    }

    /// Removes the key's entry from the table and shortens it to the workers that the key's demand fills up to Busy.
    /// Returns it with the slots that the key uses on each of them.
    fn take_entry(&mut self, key: KeyHash, kind: Option<KindId>, all_zones: bool) -> (TableEntry, f64) {
        let mut entry = self.table.remove(&key).unwrap_or_default();
        let version = (self.fleet.order_version(key, kind), self.reserved_version);
        if entry.same_zone_version != version {
            entry.same_zone = self.rendezvous_order(key, kind, (!all_zones).then_some(true));
            entry.same_zone_version = version;
        }
        if entry.workers.iter().any(|id| !entry.same_zone.contains(id)) {
            self.update_cross_zone_order(&mut entry, key, kind, all_zones);
        }
        let demand = entry.demand.add(self.now, KEY_DECAY, 0.0) * self.fleet_rate_factor();
        let mut remaining = demand;
        let order = entry.same_zone.iter().chain(&entry.cross_zone).copied();
        let by_order = order.filter(|id| entry.workers.contains(id));
        let needed = by_order.enumerate().take_while(|(index, id)| {
            let before = remaining;
            remaining -= self.fleet.get(*id).map_or(0.0, |worker| T_BUSY * self.usable_slots(worker));
            *index == 0 || before > 0.0
        });
        entry.workers = needed.map(|(_, id)| id).collect();
        let slots_per_worker = demand / entry.workers.len().max(1) as f64;
        (entry, slots_per_worker)
    }

    /// Recomputes the key's order of workers in other zones if the fleet or the reserved fractions have changed.
    fn update_cross_zone_order(
        &self,
        entry: &mut TableEntry,
        key: KeyHash,
        kind: Option<KindId>,
        all_zones: bool,
    ) {
        let version = (self.fleet.order_version(key, kind), self.reserved_version);
        if entry.cross_zone_version != version {
            entry.cross_zone =
                if all_zones { Vec::new() } else { self.rendezvous_order(key, kind, Some(false)) };
            entry.cross_zone_version = version;
        }
    }

    /// Weighted rendezvous order of the key over the workers' names: every dispatcher computes the same one without
    /// communication. `same_zone` restricts it to workers of the own zone or of other zones.
    fn rendezvous_order(&self, key: KeyHash, kind: Option<KindId>, same_zone: Option<bool>) -> Vec<WorkerId> {
        let weight = |candidate: &Candidate| {
            let unreserved =
                candidate.kind.filter(|_| kind.is_none()).map_or(1.0, |k| 1.0 - self.reserved[k.0]);
            (candidate.weight * unreserved.max(MIN_UNRESERVED)).max(1e-3)
        };
        first_for_key(key, self.fleet.candidates(key, kind, same_zone), weight, ORDER_LEN)
    }

    /// Number of the key's first workers among which a scan begins: twice as many as the key would fill if every
    /// dispatcher saw it once per `KEY_DECAY`.
    fn primary_count(&self, entry: &TableEntry, job: &Job) -> usize {
        let run_time = self.run_times[job.class.0].secs();
        let slots_needed = self.dispatchers_per_key() * run_time * job.slots / KEY_DECAY.secs();
        let first = entry.same_zone.first().and_then(|id| self.fleet.get(*id));
        let first_slots = first.map_or(DEFAULT_SLOTS, |worker| self.usable_slots(worker));
        1 + (2.0 * slots_needed / (T_BUSY * first_slots).max(1.0)) as usize
    }

    /// Number of workers beyond the assigned ones that a scan covers. It shrinks with the pressure: each further
    /// worker is likely to fetch the key's data, and scattered keys overload the shared store.
    fn scan_width(&self, order: &[WorkerId], pressure: f64) -> usize {
        let slots =
            order.first().and_then(|id| self.fleet.get(*id)).map_or(1.0, |worker| self.usable_slots(worker));
        let least = (MIN_SCAN_SLOTS / slots.max(1.0)).round().max(1.0) as usize;
        ((ORDER_LEN as f64 * (1.0 - pressure / FULL_PRESSURE)) as usize).max(least).min(order.len())
    }

    fn least_loaded(&self, workers: impl Iterator<Item = WorkerId>) -> Option<WorkerId> {
        let load =
            |worker: &Worker| (self.occupied_slots(worker) / self.usable_slots(worker) / LOAD_STEP).floor();
        let loads = workers.filter_map(|id| Some((id, load(self.fleet.get(id)?))));
        loads.min_by(|a, b| a.1.total_cmp(&b.1)).map(|best| best.0)
    }

    /// The paper's `available`: a Free worker takes any key, a Busy one only its major keys, a Full one none.
    fn is_available(&self, worker: &Worker, job: &Job, slots_per_worker: f64) -> bool {
        let major_keys = (T_MAJOR * self.usable_slots(worker)).max(1.0) as usize;
        match self.worker_state(worker, job.slots, slots_per_worker) {
            State::Full => false,
            State::Busy => job.key.and_then(|key| worker.key_rank(key)).is_some_and(|rank| rank < major_keys),
            State::Free => true,
        }
    }

    /// The state of a worker for a job of `slots` slots whose key uses `slots_per_worker` slots on each of its
    /// workers.
    fn worker_state(&self, worker: &Worker, slots: f64, slots_per_worker: f64) -> State {
        let (capacity, occupied) =
            (self.usable_slots(worker), self.occupied_slots(worker).max(slots_per_worker));
        let queued = self.settings.reports_start && worker.has_unstarted_job(self.now, QUEUED_AFTER);
        let full = occupied + slots > (T_FULL * capacity).max(slots) + SLOT_ROUNDING;
        match occupied >= T_BUSY * capacity {
            _ if queued || full || self.now < worker.full_until => State::Full,
            true => State::Busy,
            false => State::Free,
        }
    }

    /// Slots in use: those of this dispatcher's jobs, and the mean of what reports show for other dispatchers. A mean
    /// is used because the newest report is older than a job is long.
    pub(crate) fn occupied_slots(&self, worker: &Worker) -> f64 {
        let age = worker.other_slots_at.map_or(0.0, |at| (self.now - at).secs());
        let decay = |other_slots: f64| other_slots.max(0.0) * (-age / REPORT_DECAY.secs()).exp();
        worker.own_slots + worker.other_slots.map_or(self.mean_fill * self.usable_slots(worker), decay)
    }

    /// Slots of a worker, reduced while it is in slow start.
    pub(crate) fn usable_slots(&self, worker: &Worker) -> f64 {
        worker.learned_slots.unwrap_or(DEFAULT_SLOTS)
            * worker.capacity_fraction(&self.settings.rules, self.now)
    }

    /// Whether the fleet has so many dispatchers that each one sends a worker only a small fraction of its jobs and
    /// rarely receives news of it.
    pub(crate) fn is_shared_fleet(&self) -> bool {
        self.settings.dispatchers > MAX_PROBING_DISPATCHERS
    }

    /// Whether workers are probed for their load: where probes are the only source of reports, and in a shared
    /// fleet, where the answers to a dispatcher's own jobs carry too few of them.
    pub(crate) fn probes_for_load(&self) -> bool {
        let reporting = self.settings.reporting;
        self.settings.limits.probes
            && (reporting == Reporting::Probe || reporting == Reporting::Answers && self.is_shared_fleet())
    }

    /// Whether a job that has waited since `since` still waits, for `MAX_PROBE_WAIT` at most, for a pending probe of
    /// the chosen worker whose last report is stale. Otherwise all dispatchers would send to the same worker.
    pub(crate) fn awaits_probe(&self, to: WorkerId, since: Time) -> bool {
        let stale = |worker: &Worker| {
            worker.probe_pending && worker.reported_at.is_none_or(|at| self.now - at > STALE_AFTER)
        };
        self.probes_for_load()
            && self.is_shared_fleet()
            && self.now - since < MAX_PROBE_WAIT
            && self.fleet.get(to).is_some_and(stale)
    }

    /// Number of dispatchers that send a key to the same workers: all of them, or the mean number per zone.
    fn dispatchers_per_key(&self) -> f64 {
        let zones = if self.spans_zones() { 1 } else { self.settings.zones.len().max(1) };
        (self.settings.dispatchers as f64 / zones as f64).max(1.0)
    }

    /// Whether a key has one set of workers over all zones, because crossing zones costs less than keeping a set of
    /// workers in each zone.
    fn spans_zones(&self) -> bool {
        self.settings.cross_zone_price <= KEY_COPY_COST * (self.settings.zones.len() as f64 - 1.0)
    }

    /// Factor that turns a sum that this dispatcher has counted with `KEY_DECAY` into a rate per second over all
    /// dispatchers that share the key. Corrects for the short history of a dispatcher that has just started.
    fn fleet_rate_factor(&self) -> f64 {
        let history = self.started_at.map_or(0.0, |at| (self.now - at).secs()) / KEY_DECAY.secs();
        self.dispatchers_per_key() / KEY_DECAY.secs() / (1.0 - (-history.max(0.1)).exp())
    }

    /// Updates the fraction of each machine kind that jobs without a required kind leave to the jobs that need it:
    /// the fraction that those jobs fill.
    pub(crate) fn update_reserved(&mut self) {
        let mut capacity = vec![0.0; self.reserved.len()];
        let in_service = self.fleet.in_service.iter().filter_map(|id| self.fleet.get(*id));
        for worker in in_service.filter(|worker| worker.same_zone) {
            worker.kind.into_iter().for_each(|kind| capacity[kind.0] += T_BUSY * self.usable_slots(worker));
        }
        let (now, rate_factor) = (self.now, self.fleet_rate_factor());
        let mut fraction = |(demand, capacity): (&mut DecayingSum, f64)| {
            let used = demand.add(now, KEY_DECAY, 0.0) * rate_factor / f64::max(capacity, 1e-3);
            (used.min(1.0) * RESERVE_STEPS).round() / RESERVE_STEPS
        };
        let reserved: Vec<f64> = self.kind_demand.iter_mut().zip(capacity).map(&mut fraction).collect();
        if reserved != self.reserved {
            self.reserved = reserved;
            self.reserved_version += 1;
        }
    }
}
