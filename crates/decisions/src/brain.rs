//! Every decision of the dispatcher, by the interface of src/api.rs: the ordinary path is the paper's greedy table,
//! Algorithms 1 and 2.

use std::collections::BTreeMap;

use rand::{rngs::SmallRng, Rng, SeedableRng};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::api::*;
use crate::book::*;
use crate::list_age::ListAge;

const PAPER_FULL: f64 = 8.0; // slots of a worker until they are learned: the paper's t_full
const T_FULL: f64 = 1.0; // t_full, as a part of the slots
const ROUNDING: f64 = 0.5; // slots: others' are a mean, so a part of one beyond the last may still be free
const T_BUSY: f64 = 0.625; // t_busy, as a part of the slots: the paper's 5 of 8
const T_M: f64 = 0.375; // t_m, as a part of the slots: the paper's 3 of 8
const KEY_MEMORY: Span = Span(10_000_000); // counts per key and kind fade: a sliver seldom has a key running
const KEY_LEAST: f64 = 0.05; // jobs: a key counted less often at a worker is forgotten there
const TABLE_MEMORY: Span = Span(30_000_000); // entries of T unused for this long go: one-off keys pile up
const ORDER: usize = 24; // workers kept per key in its order; the scan walks these, not the fleet
const SAMPLE: usize = 3; // available ones that the scan compares
const PRESSURE_GAIN: f64 = 0.02; // weight of one job in the pressure
const HIGH_PRESSURE: f64 = 0.3; // the pressure at which the scan is at its narrowest:
const JOIN_SLOTS: f64 = 7.0; // then workers with this many slots beyond T[key]; the same with all Full
const COPY: f64 = 0.02; // of a job's worth: what it costs to keep a key in one zone more, in fetches and balance
const TIE: f64 = 0.2; // loads this close count as equal and the order decides, so that tables agree
const REPORT_GAIN: f64 = 0.3; // weight of a new report in a worker's mean
const FILL_GAIN: f64 = 0.02; // weight of any report in the mean fill of all workers
const OWN_SMOOTH: Span = Span(1_000_000); // about the age of a report, from which own slots are taken off
const TRUST: Span = Span(10_000_000); // reports fade, or a worker judged full would never be tried again
const HIDDEN_QUEUE: f64 = 0.3; // part of the slots: the queue likely behind a report of no free slots
const RESERVE_STEPS: f64 = 5.0; // reserved parts move in steps: each change sorts the keys' orders anew
const LEAST_LEFT: f64 = 0.02; // the part of a reserved kind that jobs with a choice keep
const PROBE_AFTER: Span = Span(700_000); // age of news after which a worker looked at is probed
const PROBES: usize = 2; // at most, for a job
const FIRST_PROBES: usize = 8; // at most, in a round, to workers that never reported,
const SWEEPERS: usize = 4; // shared by all beyond so many: a worker answers few at a time, and each has its price
const OLD: Span = Span(2_000_000); // age of news that says nothing: where many share a fleet each hears seldom,
const LOOK: Span = Span(80_000); // and a new job waits so long at most for the answers to probes
const WAITS: Span = Span(60_000); // a job not started after this waits in a queue: no slot is free there
const SILENT: i64 = 2; // times the pause between a worker's words on a job, after which it is called off there
const HURRY: f64 = 0.25; // part of its aim after which a job not started is offered to another worker,
const HURRY_LATE: f64 = 0.3; // if its start there is less likely late than this
const WASTE: f64 = 2.0; // times its price: what was called off in a queue may run all the same, and keeps others out
const LATE: f64 = 0.7; // a job more likely late than this is refused
const THRIFT: i32 = 2; // the power by which jobs that hold many slots for their worth are refused sooner
const MOST_USE: f64 = 0.98; // the most use of its slots that the chance of a late start reckons with
const STRETCH_PART: f64 = 0.5; // the part of its own extra time that a job of unknown length may wait
const FIRST_RUN: Span = Span(400_000); // first guess of a job's time in its slots
const RUN_GAIN: f64 = 0.05; // weight of a new run time in the mean
const HOLD: Span = Span(20_000); // a job that no worker may take now is looked at again after this
const FULL_FOR: Span = Span(200_000); // a worker that turned a job away counts as Full: about a job's length
const SHUN: Span = Span(500_000); // first pause for a worker whose attempt failed, doubled each time in a row
const SHUN_DOUBLINGS: u32 = 4; // at most
const ERROR_MEMORY: Span = Span(10_000_000); // errors fade over this: one job served is no proof of health
const RISK: f64 = 0.2; // a worker that fails more than this part is none for jobs that must not run twice
const TENANT_DEPTH_S: f64 = 3.0; // seconds of its share that a tenant may save up
const TENANT_SLACK: f64 = 1.15; // clients spread unevenly: one dispatcher may carry this much of its part
const COLD_PART: f64 = 0.35; // of the cold budget is planned: a span can hold twice that, the rest is margin
const REACH: Span = Span(20_000); // what is sent reaches its worker within this
const ROUND: Span = Span(250_000); // between two rounds of housekeeping

/// Decides for one dispatcher; knows only what its own events said.
pub struct Dispatcher {
    s: Settings,
    rng: SmallRng,
    pub(crate) now: Time,
    born: Option<Time>,
    pub(crate) fleet: Fleet,
    book: Book,
    table: BTreeMap<KeyHash, Assigned>, // The paper's AssignedTable T.
    fill: f64, // mean fill of workers over all reports, for those that never reported: those of other zones
    pressure: f64, // The part of recent jobs that were turned away or refused as late.
    run: Vec<Span>, // Mean time in slots of each class's jobs.
    costs: Vec<(f64, u32)>, // The same, learned at once, and of how many: a guess that lasts overfills cold ones.
    asked: Vec<Faded>,      // Per kind: slot-seconds asked for by jobs that need it,
    reserved: Vec<f64>,     // and the part of it that others leave to them.
    reserved_version: u64,
    tenants: Vec<Bucket>, // What each tenant may still send within its share.
    list: ListAge,
    armed: Option<Time>,
    round: Time,
}

impl Dispatcher {
    /// A dispatcher that knows nothing but its settings.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Dispatcher {
            rng: SmallRng::seed_from_u64(seed),
            now: Time::default(),
            born: None,
            fleet: Fleet::default(),
            book: Book::default(),
            table: BTreeMap::new(),
            fill: 0.0,
            pressure: 0.0,
            run: vec![FIRST_RUN; settings.classes.len()],
            costs: vec![(FIRST_RUN.secs(), 0); settings.classes.len()],
            asked: vec![Faded::default(); settings.kinds.len()],
            reserved: vec![0.0; settings.kinds.len()],
            reserved_version: 1,
            tenants: vec![Bucket::default(); settings.tenants.len()],
            list: ListAge::new(&settings),
            armed: None,
            round: Time::default(),
            s: settings,
        })
    }

    /// Takes one event and pushes what is to be done.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        if self.born.is_none() {
            (self.born, self.now, self.round) = (Some(now), now, now);
            self.list.born(now, &mut self.rng);
        }
        self.now = self.now.max(now);
        match event {
            Event::List { scope, entries } => self.on_list(scope, &entries),
            Event::Bans(bans) => self.fleet.ban(&bans, self.now),
            Event::Request(request) => self.on_request(request, out),
            Event::StreamStarted { request, .. } => self.book.stream(request),
            Event::Note { request, attempt, note } => self.on_note(request, attempt, note, out),
            Event::Outcome(end) => self.on_outcome(end, out),
            Event::ClientGone(id) => self.end(id, out),
            Event::Timer(_) => self.armed = self.armed.filter(|at| *at > self.now),
            Event::Probed { worker, outcome, load, .. } => {
                let id = self.fleet.probed(&worker);
                self.on_report(id, load);
                // Nobody there: better learned so than by a job. Too many probes at a time say nothing.
                if let (Some(id), Outcome::NoConnection) = (id, outcome) {
                    self.judge(id, outcome);
                }
            }
            Event::Peer { .. } => {}
        }
        if self.now >= self.round {
            self.round = self.now + ROUND;
            self.table.retain(|_, t| t.demand.at >= now - TABLE_MEMORY);
            self.reserve();
            // A worker's slots show in the report of an idle one; under load they are taken for fewer.
            if self.asks() {
                let ready = self.fleet.ready.clone();
                let most = FIRST_PROBES * SWEEPERS / self.s.balancers.max(SWEEPERS);
                let unknown = self.fleet.probe_stale(ready.iter(), Time(i64::MIN), most);
                out.extend(unknown.into_iter().map(Action::Probe));
            }
        }
        if self.list.is_due(self.now) {
            out.push(Action::Subscribe);
            self.list.asks(self.now);
        }
        while let Some(id) = self.book.pop_due(self.now) {
            self.advance(id, out);
        }
        let next = self.book.next_due().into_iter().chain(self.list.next()).fold(self.round, Time::min);
        if self.armed.is_none_or(|at| next < at) {
            self.armed = Some(next);
            out.push(Action::SetTimer { at: next, token: 0 });
        }
    }

    fn on_list(&mut self, scope: ListScope, entries: &[Listing]) {
        match scope {
            ListScope::Failed => return self.list.lost(self.now, &mut self.rng),
            ListScope::Silent { since } => return self.list.silent(since, self.now, &mut self.rng),
            ListScope::Moved => return self.list.moved(self.now),
            ListScope::Changes | ListScope::Complete => self.list.heard(),
            ListScope::Remembered => {}
        }
        self.fleet.apply(scope, entries, &self.s, self.now);
    }

    /// Jobs that may run anywhere leave to jobs that need one kind the part of it that those fill.
    fn reserve(&mut self) {
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

    /// Dispatchers that send a key to the same workers: all, or those of a zone at the mean.
    fn sharers(&self) -> f64 {
        let zones = if self.roams() { 1 } else { self.s.zones.len().max(1) };
        (self.s.balancers as f64 / zones as f64).max(1.0)
    }

    /// Whether a key has its workers in all zones: crossings cost less than a set of workers in each.
    fn roams(&self) -> bool {
        self.s.cross_zone_price <= COPY * (self.s.zones.len() as f64 - 1.0)
    }

    /// Turns what this dispatcher counted over KEY_MEMORY into the rate of all that share it.
    fn per_second_of_all(&self) -> f64 {
        let known = self.born.map_or(0.0, |at| (self.now - at).secs()) / KEY_MEMORY.secs();
        self.sharers() / KEY_MEMORY.secs() / (1.0 - (-known.max(0.1)).exp())
    }

    fn on_request(&mut self, r: Request, out: &mut Vec<Action>) {
        let over_share = r.tenant.is_some_and(|t| {
            let rate = TENANT_SLACK * self.s.tenants[t.0].allowance_per_s / self.s.balancers as f64;
            self.tenants[t.0].level(self.now, rate, (rate * TENANT_DEPTH_S).max(1.0)) < 1.0
        });
        let kind = self.s.classes[r.class.0].kind;
        let key = r.key.as_ref();
        let key = key.map(|k| xxh3_64_with_seed(k.as_bytes(), kind.map_or(0, |k| k.0 as u64 + 1)));
        if let Some(kind) = kind {
            self.asked[kind.0].add(self.now, KEY_MEMORY, self.run[r.class.0].secs() * r.slots);
        }
        let id = r.id;
        self.book.open(Job::new(r, key, over_share, self.now));
        self.advance(id, out);
    }

    /// Takes a job one step further: send it, keep it for a moment, or give its final answer.
    fn advance(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(job) = self.book.get(id).filter(|j| !j.ended && !j.streaming) else { return };
        let last = job.deadline - self.s.quantum;
        if self.now >= last {
            return self.conclude(id, EndReason::DeadlineReached, out);
        }
        if job.outstanding() > 0 {
            return self.hurry(id, last, out);
        }
        let class = &self.s.classes[job.class.0];
        let late = class.late_worth == 0.0 && self.now >= self.latest_start(job);
        let over = job.repeat_by(class.effect, REACH).is_some_and(|at| at <= self.now + self.s.quantum);
        // Waiting for a worker that may repeat it helps only while there is one.
        let takes = |id: &Wid| !job.tried(*id) && self.may_repeat(job, *id);
        let bound = class.effect != Effect::Safe && job.may_have_run();
        let stuck = over || bound && !self.fleet.ready.iter().any(takes);
        let exhausted = job.attempts.len() >= self.s.limits.max_attempts;
        let reason = match (late, stuck, exhausted) {
            (true, ..) => Some(EndReason::TooLateToStart),
            (_, true, _) => Some(EndReason::NoRepeatAllowed),
            (.., true) => Some(EndReason::AttemptsExhausted),
            _ => None,
        };
        if let Some(reason) = reason {
            return self.conclude(id, reason, out);
        }
        let (job, late_worth) = (job.clone(), class.late_worth);
        let to = self.list.is_trusted(self.now).then(|| self.choose(&job, out)).flatten();
        let chance = to.and_then(|to| self.fleet.get(to)).map(|w| self.late_chance(w, &job));
        match to {
            // What would start too late is refused: served late it is worth nothing and keeps others late.
            Some(_) if late_worth == 0.0 && chance.is_some_and(|c| c > LATE * self.thrift(&job)) => {
                self.pressure += (1.0 - self.pressure) * PRESSURE_GAIN;
                self.conclude(id, EndReason::LikelyLate, out)
            }
            Some(worker) if self.looks(worker, job.attempts.last().map_or(job.arrived, |a| a.sent)) => {
                self.book.look_at(id, Some(last.min(self.now + HOLD)));
            }
            Some(worker) => self.send(id, worker, out),
            None if job.over_share => self.conclude(id, EndReason::TenantOverShare, out),
            None if self.fleet.all_banned() => self.conclude(id, EndReason::AllBanned, out),
            None => self.book.look_at(id, Some(last.min(self.now + HOLD))),
        }
    }

    /// Whether so many share the fleet that each sees but a sliver of a worker's jobs, and hears of it seldom.
    fn shared(&self) -> bool {
        self.s.balancers > SWEEPERS
    }

    /// Whether workers are asked for their load; answers bring a sliver of a large fleet too little of it.
    fn asks(&self) -> bool {
        let of = self.s.reporting;
        self.s.limits.probes && (of == Reporting::Probe || of == Reporting::Answers && self.shared())
    }

    /// Whether a job waits for a probe of the worker chosen, until `since` is `LOOK` ago: all would take the same one.
    fn looks(&self, to: Wid, since: Time) -> bool {
        let old = |w: &Worker| w.probe_out && w.reported.is_none_or(|at| self.now - at > OLD);
        self.asks() && self.shared() && self.now - since < LOOK && self.fleet.get(to).is_some_and(old)
    }

    /// A job that waits in a queue is offered to another worker as a second copy, where that is allowed; the copy that
    /// starts calls off the other. Elsewhere it is called off first: the work that this may waste has its price.
    fn hurry(&mut self, id: RequestId, last: Time, out: &mut Vec<Action>) {
        let Some(job) = self.book.get(id) else { return };
        let (class, limits) = (&self.s.classes[job.class.0], &self.s.limits);
        let waits =
            job.attempts.iter().all(|a| a.fate != Fate::Out || (a.started.is_none() && !a.called_off));
        let (copies, offers) = (limits.second_copies, limits.cancel && self.s.tells_start);
        let spent = job.attempts.len() >= limits.max_attempts || self.now >= self.latest_start(job);
        let offer = job.attempts.last().map_or(last, |a| a.sent) + Span((class.aim.0 as f64 * HURRY) as i64);
        let may = waits && offers && !spent && class.effect != Effect::Unsafe;
        // A worker that runs it and says nothing: what must not run twice fails at once, the rest goes elsewhere.
        let silent = job.silent_at(Span(self.s.progress.0 * SILENT)).filter(|_| limits.cancel);
        let (mut job, next) = (job.clone(), if may && self.now < offer { offer.min(last) } else { last });
        self.book.look_at(id, Some(silent.filter(|at| *at > self.now).map_or(next, |at| at.min(next))));
        if silent.is_some_and(|at| at <= self.now) {
            self.call_off(id, true, out);
        }
        if may && self.now >= offer {
            if !copies {
                job.gives_up();
            }
            let to = self.choose(&job, out);
            let late = |id: Wid| self.fleet.get(id).map_or(1.0, |w| self.late_chance(w, &job));
            // News of free slots was wrong there: that it waits says more than they do.
            let here = job.attempts.last().map_or(1.0, |a| late(a.worker)).max(HURRY_LATE);
            match to.filter(|to| late(*to) <= HURRY_LATE) {
                Some(to) if copies => self.send(id, to, out),
                Some(to) if here - late(to) > WASTE * self.s.waste_price => self.call_off(id, false, out),
                _ => {}
            }
        }
    }

    fn call_off(&mut self, id: RequestId, started_too: bool, out: &mut Vec<Action>) {
        if self.s.limits.cancel {
            let which = self.book.call_off(id, started_too);
            out.extend(which.into_iter().map(|attempt| Action::Cancel { request: id, attempt }));
        }
    }

    /// When a job must have started to be in time, as far as can be told before it ran.
    fn latest_start(&self, job: &Job) -> Time {
        let class = &self.s.classes[job.class.0];
        let work = job.work.unwrap_or(self.run[job.class.0]).0 as f64;
        job.arrived + class.aim + Span((work * (class.stretch - 1.0).max(0.0) * STRETCH_PART) as i64)
    }

    /// The chance that a job would start there too late; what is held beyond the slots comes first.
    fn late_chance(&self, w: &Worker, job: &Job) -> f64 {
        let (slots, held) = (self.slots(w).max(1.0), self.occupied(w));
        let more = (job.slots - 1.0).max(0.0); // the head of a queue waits until all its slots are free
        let slack = (self.latest_start(job) - self.now).secs() / self.mean_run().max(1e-3);
        wait_chance(slots, (held / slots).min(MOST_USE), slack - ((held + more) / slots - 1.0).max(0.0))
    }

    /// A job's worth a slot-second as a part of any class's most, squared, where worth is counted by requests.
    fn thrift(&self, job: &Job) -> f64 {
        let worth = |class: usize| (self.s.classes[class].worth / self.costs[class].0.max(1e-3)).max(1e-9);
        let seen = (0..self.costs.len()).filter(|class| self.costs[*class].1 > 0);
        let most = seen.map(worth).fold(worth(job.class.0), f64::max);
        let power = if self.s.worth_by == WorthBy::Request { THRIFT } else { 0 };
        (worth(job.class.0) / most / job.slots.max(1.0)).powi(power)
    }

    fn mean_run(&self) -> f64 {
        self.run.iter().map(|r| r.secs()).sum::<f64>() / self.run.len() as f64
    }

    fn slots(&self, w: &Worker) -> f64 {
        w.learned_slots.unwrap_or(PAPER_FULL) * w.warmth(&self.s.rules, self.now)
    }

    /// Slots in use: own ones, and the mean of what reports say of others; the newest is older than a job is long.
    fn occupied(&self, w: &Worker) -> f64 {
        let age = w.others_at.map_or(0.0, |at| (self.now - at).secs());
        w.own + w.others.map_or(self.fill * self.slots(w), |o| o.max(0.0) * (-age / TRUST.secs()).exp())
    }

    /// The state of a worker towards a key of which each of its workers runs `part` slots.
    fn state(&self, w: &Worker, slots: f64, part: f64) -> State {
        let (capacity, occupied) = (self.slots(w), self.occupied(w).max(part));
        let queued = self.s.tells_start && w.waits(self.now, WAITS);
        let full = occupied + slots > (T_FULL * capacity).max(slots) + ROUNDING;
        match occupied >= T_BUSY * capacity {
            _ if queued || full || self.now < w.full_until => State::Full,
            true => State::Busy,
            false => State::Free,
        }
    }

    /// The paper's `available`; a Busy worker takes only its major keys.
    fn available(&self, w: &Worker, job: &Job, part: f64) -> bool {
        let most = (T_M * self.slots(w)).max(1.0) as usize;
        match self.state(w, job.slots, part) {
            State::Full => false,
            State::Busy => job.key.and_then(|key| w.rank_of(key)).is_some_and(|rank| rank < most),
            State::Free => true,
        }
    }

    fn least_loaded(&self, workers: impl Iterator<Item = Wid>) -> Option<Wid> {
        let load = |w: &Worker| (self.occupied(w) / self.slots(w) / TIE).floor();
        let loads = workers.filter_map(|id| Some((id, load(self.fleet.get(id)?))));
        loads.min_by(|a, b| a.1.total_cmp(&b.1)).map(|best| best.0)
    }

    /// Weighted rendezvous order of key and worker name: every dispatcher finds the same one without talk.
    fn order(&self, key: KeyHash, kind: Option<KindId>, near: Option<bool>) -> Vec<Wid> {
        let rank = |id: Wid| {
            let w = self.fleet.get(id)?;
            let left = w.kind.filter(|_| kind.is_none()).map_or(1.0, |k| 1.0 - self.reserved[k.0]);
            Some((w.draw(key) / (w.weight * left.max(LEAST_LEFT)).max(1e-3), id))
        };
        lowest(self.fleet.candidates(key, kind, near).filter_map(rank).collect(), ORDER)
    }

    /// Takes T[key] out, cut to what its demand fills to Busy, with the slots the key runs on each worker.
    fn entry(&mut self, key: KeyHash, kind: Option<KindId>, all: bool) -> (Assigned, f64) {
        let mut t = self.table.remove(&key).unwrap_or_default();
        let version = (self.fleet.version(key, kind), self.reserved_version);
        if t.version != version {
            t.near = self.order(key, kind, (!all).then_some(true));
            t.far = if all { Vec::new() } else { self.order(key, kind, Some(false)) };
            t.version = version;
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

    /// Among how many of a key's first workers a scan begins: twice what is filled if all see the key as often as this.
    fn home(&self, t: &Assigned, job: &Job) -> usize {
        let asked = self.sharers() * self.run[job.class.0].secs() * job.slots / KEY_MEMORY.secs();
        let first = t.near.first().and_then(|id| self.fleet.get(*id)).map_or(PAPER_FULL, |w| self.slots(w));
        1 + (2.0 * asked / (T_BUSY * first).max(1.0)) as usize
    }

    /// How far beyond T[key] the scan goes: each step is likely a fetch, and scattered keys swamp the shared store.
    fn width(&self, order: &[Wid], pressure: f64) -> usize {
        let slots = order.first().and_then(|id| self.fleet.get(*id)).map_or(1.0, |w| self.slots(w));
        let least = (JOIN_SLOTS / slots.max(1.0)).round().max(1.0) as usize;
        ((ORDER as f64 * (1.0 - pressure / HIGH_PRESSURE)) as usize).max(least).min(order.len())
    }

    /// Picks a worker by the paper's two algorithms.
    fn choose(&mut self, job: &Job, out: &mut Vec<Action>) -> Option<Wid> {
        let kind = self.s.classes[job.class.0].kind;
        // A job without a key has a table entry of its own, for this one look.
        let key = job.key.unwrap_or_else(|| self.rng.random());
        let (mut t, part) = self.entry(key, kind, job.key.is_some() && self.roams());
        let home = if self.shared() { self.home(&t, job).min(t.near.len()) } else { 1 };
        let drawn = if self.shared() { self.rng.random::<u32>() as usize } else { 0 };
        let risky = |w: &Worker| w.failing(self.now, ERROR_MEMORY) > RISK;
        let once = self.s.classes[job.class.0].effect == Effect::Unsafe;
        let careful = once && !self.fleet.ready.iter().filter_map(|id| self.fleet.get(*id)).all(risky);
        let healthy = |w: &Worker| self.now >= w.shunned_until && w.holds(job) && !(careful && risky(w));
        let fits =
            |id: &Wid| !job.tried(*id) && self.fleet.get(*id).is_some_and(healthy) && self.may_send(job, *id);
        // The key's demand over all dispatchers counts: a sliver alone would never fill a worker.
        let takes = |id: &Wid| self.fleet.get(*id).is_some_and(|w| self.available(w, job, part));
        let mut best = self.least_loaded(t.workers.iter().copied().filter(|id| fits(id) && takes(id)));
        if best.is_none() {
            // Busy and the key not major there: it leaves the table.
            let state = |id: &Wid| self.fleet.get(*id).map(|w| self.state(w, job.slots, 0.0));
            t.workers.retain(|id| takes(id) || state(id) != Some(State::Busy));
            let takes = |id: &Wid| self.fleet.get(*id).is_some_and(|w| self.available(w, job, 0.0));
            let scan = |of: &[Wid]| {
                let new = of.iter().copied().filter(|id| !t.workers.contains(id) && fits(id) && takes(id));
                self.least_loaded(new.take(SAMPLE))
            };
            let (near, far) = (self.width(&t.near, self.pressure), self.width(&t.far, HIGH_PRESSURE));
            let near = (t.workers.len() + near).min(t.near.len());
            let mut of = t.near[..near].to_vec();
            of[..home.min(near)].rotate_left((drawn % home.max(1)).min(near));
            best = scan(&of).or_else(|| scan(&t.far[..far]));
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
        let late = |id: Wid| self.fleet.get(id).map_or(1.0, |w| self.late_chance(w, job));
        let full = best.is_none_or(|id| late(id) > LATE);
        if full && !job.over_share {
            let all = t.near.iter().chain(&t.far).copied().filter(fits).map(|id| (late(id), id));
            let mut other: Vec<_> = all.filter(|o| o.0 <= HURRY_LATE).collect();
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

    /// The gate of all sends: proves the four rules.
    fn may_send(&self, job: &Job, to: Wid) -> bool {
        let Some(w) = self.fleet.get(to) else { return false };
        let class = &self.s.classes[job.class.0];
        // Rule 1: nothing after the end or the deadline, nor more attempts than allowed.
        let counted = job.attempts.len() < self.s.limits.max_attempts;
        let open = counted && !job.ended && !job.streaming && self.now + self.s.quantum < self.send_by(job);
        let alone = job.outstanding() == 0 || self.s.limits.second_copies;
        // Rule 3: only workers that this dispatcher's list has in service, and a list that is not too old.
        let kind = class.kind.is_none() || class.kind == w.kind;
        open && alone && self.may_repeat(job, to) && w.ready && kind && self.cold_turn(w).is_some()
    }

    /// Rule 2: what may have run is repeated only as its class allows.
    fn may_repeat(&self, job: &Job, to: Wid) -> bool {
        let (effect, w) = (self.s.classes[job.class.0].effect, self.fleet.get(to));
        let mut ran = job.ran();
        match effect {
            Effect::Safe => true,
            Effect::Unsafe => ran.next().is_none(),
            Effect::Keyed { .. } => ran.all(|(peers, _)| w.is_some_and(|w| *peers == w.peers(to, effect))),
        }
    }

    /// Until when a job may be sent: while its client waits, its list holds, and a repeat of it is dropped.
    fn send_by(&self, job: &Job) -> Time {
        let repeat = job.repeat_by(self.s.classes[job.class.0].effect, REACH);
        self.list.holds_until().into_iter().chain(repeat).fold(job.deadline, Time::min)
    }

    /// Rule 4. All dispatchers share one plan for a cold worker: COLD_PART of the budget, dealt out in turns
    /// of one job, in an order shifted per worker. `Some(turn)` when the own turn is open, or it is warm.
    fn cold_turn(&self, w: &Worker) -> Option<i64> {
        let rules = &self.s.rules;
        let Some(started) = w.started.filter(|at| self.now - *at < rules.ramp) else { return Some(i64::MIN) };
        let (age, ramp) = ((self.now - started).secs().max(0.0), rules.ramp.secs());
        let cost = self.costs.iter().map(|c| c.0).fold(1e-3, f64::max);
        let full = COLD_PART * rules.fall_multiple * w.learned_slots.unwrap_or(PAPER_FULL) / cost;
        let jobs = full * (rules.cold_from * age + (1.0 - rules.cold_from) * age * age / (2.0 * ramp));
        let all = self.s.balancers as u64;
        let place = (self.s.me as u64).wrapping_add(w.hash) % all;
        let turns = (jobs - place as f64) / all as f64;
        let into = (turns - turns.floor()) * all as f64 / (full * w.warmth(rules, self.now));
        // Of turns that opened before this process lived, an earlier one of the same number may have had its use.
        let own = self.born.map_or(0.0, |at| (self.now - at).secs()).min(rules.fall_span.secs());
        let open = turns >= 0.0 && into <= own && turns.floor() as i64 > w.turn_spent;
        open.then_some(turns.floor() as i64)
    }

    /// The only place that sends.
    fn send(&mut self, id: RequestId, to: Wid, out: &mut Vec<Action>) {
        let Some(job) = self.book.get(id).filter(|job| self.may_send(job, to)) else { return };
        let Some(w) = self.fleet.get(to) else { return };
        let peers = w.peers(to, self.s.classes[job.class.0].effect);
        let (turn, now, by) = (self.cold_turn(w).unwrap_or(i64::MIN), self.now, self.send_by(job));
        let (Some(w), Some(job)) = (self.fleet.get_mut(to), self.book.get_mut(id)) else { return };
        w.take(now, job.slots, OWN_SMOOTH);
        if let Some(key) = job.key {
            w.count_key(key, 1.0, now, KEY_MEMORY, KEY_LEAST);
        }
        w.turn_spent = w.turn_spent.max(turn);
        if let (Some(t), true) = (job.tenant, job.attempts.is_empty()) {
            self.tenants[t.0].put(-1.0);
        }
        job.attempts.push(Attempt::new(to, now, peers));
        let (timeout, last) = (Some(job.deadline - now), job.deadline - self.s.quantum);
        out.push(Action::Send { request: id, worker: w.name.clone(), timeout, by });
        self.hurry(id, last, out);
    }

    /// The gate of final answers: a refusal only where it is true that a new try does no harm.
    fn conclude(&mut self, id: RequestId, reason: EndReason, out: &mut Vec<Action>) {
        let Some(job) = self.book.get(id).filter(|j| !j.ended && !j.streaming) else { return };
        let effect = self.s.classes[job.class.0].effect;
        // A client's new try has the same key: harmless where all workers drop repeats, and while they do.
        let by = job.repeat_by(effect, self.s.limits.max_retry_after).is_some_and(|by| self.now < by);
        let dropped = by && matches!(effect, Effect::Keyed { group: Group::All, .. });
        // Only what is taken counts against a share: clients repeat what was refused.
        if let (Some(t), true) = (job.tenant, !job.attempts.is_empty() && !job.may_have_run()) {
            self.tenants[t.0].put(1.0);
        }
        out.push(match dropped || effect == Effect::Safe || !job.may_have_run() {
            true => Action::Refuse { request: id, retry_after: None, reason },
            false => Action::Fail { request: id, reason },
        });
        self.end(id, out);
    }

    /// Closes a request and calls off what is still out for it.
    fn end(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(job) = self.book.get_mut(id) else { return };
        job.ended = true;
        self.call_off(id, true, out);
        self.book.look_at(id, None);
        self.book.close_if_done(id);
    }

    fn on_note(&mut self, id: RequestId, attempt: usize, note: Note, out: &mut Vec<Action>) {
        let now = self.now;
        let Some((worker, sent)) = self.book.hears(id, attempt, note, now) else { return };
        self.call_off(id, false, out);
        self.advance(id, out);
        let runs = ((now - sent).secs() - WAITS.secs()) / self.mean_run();
        let Some(w) = self.fleet.get_mut(worker) else { return };
        w.starts(sent);
        if runs > 0.0 {
            // The wait of an own job is the freshest news of a queue, but one alone shows none: a machine may be slow.
            w.others.get_or_insert(self.fill * w.learned_slots.unwrap_or(PAPER_FULL));
            let held = w.learned_slots.unwrap_or(PAPER_FULL) * (1.0 + runs) - w.smooth_own(now, OWN_SMOOTH);
            w.blend_others(held, REPORT_GAIN, now);
        }
    }

    fn on_outcome(&mut self, end: AttemptEnd, out: &mut Vec<Action>) {
        let (now, id) = (self.now, end.request);
        let Some(job) = self.book.get_mut(id) else { return };
        let (class, slots, key) = (job.class, job.slots, job.key);
        let Some(a) = job.attempts.get_mut(end.attempt).filter(|a| a.fate == Fate::Out) else { return };
        a.fate = if end.outcome.proves_no_run() { Fate::NeverRan } else { Fate::MayHaveRun };
        let (worker, took, sent) = (a.worker, a.started.map_or(end.latency, |at| now - at), a.sent);
        self.on_report(Some(worker), end.load);
        if let Some(w) = self.fleet.get_mut(worker) {
            w.give_back(now, sent, slots, OWN_SMOOTH);
            if let (Some(key), true) = (key, end.outcome.proves_no_run()) {
                w.count_key(key, -1.0, now, KEY_MEMORY, KEY_LEAST);
            }
        }
        if end.outcome == Outcome::Served {
            let mean = &mut self.run[class.0];
            mean.0 += ((took.0 - mean.0) as f64 * RUN_GAIN) as i64;
            let (cost, seen) = &mut self.costs[class.0];
            *seen = seen.saturating_add(1);
            *cost += (took.secs() - *cost) * RUN_GAIN.max(1.0 / (f64::from(*seen) + 1.0));
            if let Some(t) = key.and_then(|key| self.table.get_mut(&key)) {
                t.demand.add(now, KEY_MEMORY, took.secs() * slots);
            }
        }
        self.judge(worker, end.outcome);
        self.fleet.forget_if_idle(worker);
        if end.closed {
            self.end(id, out);
        }
        self.book.close_if_done(id);
        self.advance(id, out);
    }

    /// Health by outcomes: fast errors and dead connections must not look idle.
    fn judge(&mut self, worker: Wid, outcome: Outcome) {
        let (now, Some(w)) = (self.now, self.fleet.get_mut(worker)) else { return };
        let ends = |of| f64::from(u8::from(outcome == of));
        w.count_ends(now, ERROR_MEMORY, ends(Outcome::Error), ends(Outcome::Served));
        match outcome {
            Outcome::Served => w.fails = 0,
            Outcome::TurnedAway => w.full_until = now + FULL_FOR,
            Outcome::Cancelled | Outcome::NotSent | Outcome::Severed | Outcome::Unusable => return,
            _ => {
                let again = f64::from(w.fails).max(w.errors(now, ERROR_MEMORY) - 1.0).round() as u32;
                w.shunned_until = now + Span(SHUN.0 << again.min(SHUN_DOUBLINGS));
                w.fails += 1;
            }
        }
        if let Outcome::Served | Outcome::TurnedAway = outcome {
            self.pressure += (ends(Outcome::TurnedAway) - self.pressure) * PRESSURE_GAIN;
        }
    }

    fn on_report(&mut self, worker: Option<Wid>, load: Option<LoadReport>) {
        let (now, shared) = (self.now, self.shared());
        let (Some(w), Some(load)) = (worker.and_then(|id| self.fleet.get_mut(id)), load) else { return };
        let since = w.reported.map_or(OWN_SMOOTH, |at| (now - at).min(OWN_SMOOTH)).secs();
        let [errors, served] = [load.errors_per_s, load.served_per_s].map(|rate| rate.unwrap_or(0.0) * since);
        w.count_ends(now, ERROR_MEMORY, errors, served);
        let Some(held) = w.learn(load, HIDDEN_QUEUE, PAPER_FULL) else { return };
        let others = held - w.smooth_own(now, OWN_SMOOTH);
        // What is left of old news is no mean, but a wrong figure.
        let old = shared && w.reported.is_none_or(|at| now - at > OLD);
        w.blend_others(others, if old { 1.0 } else { REPORT_GAIN }, now);
        w.reported = Some(now);
        self.fill += (held / w.learned_slots.unwrap_or(PAPER_FULL) - self.fill) * FILL_GAIN;
    }
}
