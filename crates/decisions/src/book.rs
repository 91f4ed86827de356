//! Plain bookkeeping: workers, jobs, attempts and own slots in use. No thresholds, no choosing.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rustc_hash::{FxHashMap, FxHashSet};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::api::{
    Ban, Census, ClassId, Effect, Group, KindId, ListScope, Listing, LoadReport, Name, Note, Readiness,
    Request, RequestId, Rules, Settings, Span, TenantId, Time,
};

/// A worker's number at one dispatcher; never reused.
pub type Wid = u32;
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

/// The workers that share what they remember of a keyed request.
#[derive(Clone, Debug, PartialEq)]
pub enum Peers {
    All,
    Zone(Name),
    Cell(u64),
    /// No group is known: the worker alone.
    Alone(Wid),
}

/// What is known of one attempt's end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    Out,
    NeverRan,
    MayHaveRun,
}

#[derive(Clone, Debug)]
pub struct Attempt {
    pub worker: Wid,
    pub sent: Time,
    pub peers: Peers,
    pub fate: Fate,
    pub started: Option<Time>,
    /// When the worker last told how far it is, from the start on.
    heard: Option<Time>,
    pub called_off: bool,
}

impl Attempt {
    pub fn new(worker: Wid, sent: Time, peers: Peers) -> Self {
        Attempt { worker, sent, peers, fate: Fate::Out, started: None, heard: None, called_off: false }
    }
}

/// One request from its arrival until its last attempt is back.
#[derive(Clone, Debug)]
pub struct Job {
    pub id: RequestId,
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    pub key: Option<KeyHash>,
    tag: Option<u64>,
    /// An earlier try of its client that may have run: who drops its repeat, and when it was sent first.
    before: Option<(Peers, Time)>,
    pub work: Option<Span>,
    pub slots: f64,
    pub memory: f64,
    pub arrived: Time,
    pub deadline: Time,
    pub over_share: bool,
    pub streaming: bool,
    pub ended: bool,
    pub attempts: Vec<Attempt>,
    /// When this job is looked at again, as filed in [`Book::due`].
    due: Option<Time>,
}

impl Job {
    pub fn new(r: Request, key: Option<KeyHash>, over_share: bool, now: Time) -> Self {
        Job {
            id: r.id,
            class: r.class,
            tenant: r.tenant,
            key,
            tag: r.tag,
            before: None,
            work: r.work,
            slots: r.slots,
            memory: r.memory,
            arrived: now,
            deadline: r.deadline,
            over_share,
            streaming: false,
            ended: false,
            attempts: Vec::new(),
            due: None,
        }
    }
    pub fn outstanding(&self) -> usize {
        self.attempts.iter().filter(|a| a.fate == Fate::Out).count()
    }
    /// What may have run, earlier tries of its client included: who drops its repeat, and when it was sent.
    pub fn ran(&self) -> impl Iterator<Item = (&Peers, Time)> {
        let attempts = self.attempts.iter().filter(|a| a.fate != Fate::NeverRan);
        let before = self.before.iter().map(|(peers, sent)| (peers, *sent));
        before.chain(attempts.map(|a| (&a.peers, a.sent)))
    }
    pub fn may_have_run(&self) -> bool {
        self.ran().next().is_some()
    }
    /// Until when a repeat that takes so long to arrive is dropped, where workers drop repeats for a time; none if
    /// nothing may have run.
    pub fn repeat_by(&self, effect: Effect, reach: Span) -> Option<Time> {
        let Effect::Keyed { window, .. } = effect else { return None };
        self.ran().map(|(_, sent)| sent + (window - reach)).min()
    }
    /// As it will be once all that is out is called off.
    pub fn gives_up(&mut self) {
        self.attempts.iter_mut().filter(|a| a.fate == Fate::Out).for_each(|a| a.fate = Fate::MayHaveRun);
    }
    /// When a worker that runs it will have been silent for `patience`, if that is more than nothing.
    pub fn silent_at(&self, patience: Span) -> Option<Time> {
        let out = self.attempts.iter().filter(|a| a.fate == Fate::Out && !a.called_off && patience.0 > 0);
        out.filter_map(|a| Some(a.heard? + patience)).min()
    }
    pub fn tried(&self, worker: Wid) -> bool {
        self.attempts.iter().any(|a| a.worker == worker)
    }
}

/// The paper's T[key], and what decides its size.
#[derive(Default)]
pub struct Assigned {
    pub workers: Vec<Wid>,
    /// The first eligible workers in the key's stable order, near ones and others, as of `version`.
    pub near: Vec<Wid>,
    pub far: Vec<Wid>,
    pub version: ((u64, u64), u64),
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
    listed_start: Option<Time>,
    /// What the own list says.
    readiness: Readiness,
    /// In service by the own list, and not taken out by hand.
    pub ready: bool,
    /// Slots learned from reports.
    pub learned_slots: Option<f64>,
    /// Own slots in use and jobs out, now.
    pub own: f64,
    jobs: u32,
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
    pub shunned_until: Time,
    pub probe_out: bool,
    /// The last of this dispatcher's turns that was spent while the worker was cold.
    pub turn_spent: i64,
}

impl Worker {
    fn new(entry: &Listing, s: &Settings, now: Time) -> Self {
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
            shunned_until: now,
            probe_out: false,
            turn_spent: i64::MIN,
        }
    }
    /// Where its fleet files it: for jobs that run anywhere, and for those that need its kind.
    fn parts(&self) -> [(bool, Option<KindId>); 2] {
        [(self.local, None), (self.local, Some(self.kind.unwrap_or(KindId(usize::MAX))))]
    }
    /// Its process restarted: what was learned of the earlier one is void.
    fn restart(&mut self, started: Option<Time>, now: Time) {
        (self.started, self.turn_spent, self.fails) = (started, i64::MIN, 0);
        (self.reported, self.full_until, self.shunned_until) = (None, now, now);
        (self.others, self.others_at) = (None, None);
        (self.errors, self.served) = (Faded::default(), Faded::default());
        self.keys.clear();
    }
    /// Who shares what it remembers of a keyed request.
    pub fn peers(&self, id: Wid, effect: Effect) -> Peers {
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
        (rules.cold_from + (1.0 - rules.cold_from) * part.max(0.0)).min(1.0)
    }
    /// A draw from the exponential distribution that depends on the key and the worker's name alone.
    pub fn draw(&self, key: KeyHash) -> f64 {
        let mixed = xxh3_64_with_seed(&self.hash.to_le_bytes(), key) >> 11;
        -((mixed as f64 + 0.5) / (1u64 << 53) as f64).ln()
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

/// Workers of a part, at the mean of a fleet that has more than `LOOKED` parts.
const PART: usize = 64;
/// Parts that a key looks into. A fleet of no more parts than this is looked through whole.
const LOOKED: usize = 4;

/// Workers in service, split into parts by their names' hashes: the order of a key in a large fleet is taken from
/// the few parts that the key's own hash names, so that it costs no more than in a small one. The number of parts is
/// a power of two; when it doubles, each part splits, and half of what a key had looked at stays.
#[derive(Default)]
struct Parts {
    parts: Vec<Part>,
    count: usize,
    /// Grows with each change of the number of parts.
    splits: u64,
}

#[derive(Clone, Default)]
struct Part {
    workers: Vec<(u64, Wid)>,
    /// Counts the changes.
    version: u64,
}

impl Parts {
    fn place(&self, hash: u64) -> usize {
        let bits = self.parts.len().trailing_zeros();
        hash.checked_shr(u64::BITS - bits).unwrap_or(0) as usize
    }
    fn fit(&mut self) {
        let wanted = (self.count / PART).max(1).next_power_of_two();
        let now = self.parts.len();
        // A fleet that grows and shrinks around a bound does not split and join each time.
        if now > 0 && wanted <= now && wanted * 4 > now {
            return;
        }
        let all: Vec<(u64, Wid)> = self.parts.drain(..).flat_map(|part| part.workers).collect();
        self.parts = vec![Part::default(); wanted];
        self.splits += 1;
        for (hash, id) in all {
            let place = self.place(hash);
            self.parts[place].workers.push((hash, id));
        }
    }
    fn insert(&mut self, hash: u64, id: Wid) {
        self.count += 1;
        self.fit();
        let place = self.place(hash);
        self.parts[place].workers.push((hash, id));
        self.parts[place].version += 1;
    }
    fn remove(&mut self, hash: u64, id: Wid) {
        let place = self.place(hash);
        let part = &mut self.parts[place];
        part.workers.retain(|(_, other)| *other != id);
        part.version += 1;
        self.count -= 1;
        self.fit();
    }
    fn touch(&mut self, hash: u64) {
        let place = self.place(hash);
        self.parts[place].version += 1;
    }
    /// The parts that a key looks into: all, or `LOOKED` different ones.
    fn of(&self, key: KeyHash) -> impl Iterator<Item = &Part> {
        let all = self.parts.len() <= LOOKED;
        let mut drawn = [usize::MAX; LOOKED];
        for at in 0..if all { 0 } else { LOOKED } {
            let draws = (0u64..).map(|n| self.place(xxh3_64_with_seed(&n.to_le_bytes(), key)));
            drawn[at] = draws.into_iter().find(|place| !drawn.contains(place)).unwrap_or(0);
        }
        let whole = self.parts.iter().take(if all { LOOKED } else { 0 });
        whole.chain(drawn.into_iter().filter_map(|place| self.parts.get(place)))
    }
    /// A number that is another one after each change of what a key looks at.
    fn version(&self, key: KeyHash) -> u64 {
        // Versions of parts begin anew with a split.
        self.of(key).map(|part| part.version).sum::<u64>() + (self.splits << 40)
    }
}

/// Workers by name and number, and those in service in the order of their names.
#[derive(Default)]
pub struct Fleet {
    by_name: BTreeMap<Name, Wid>,
    by_id: FxHashMap<Wid, Worker>,
    next: Wid,
    /// What operators have taken out by hand, and since when.
    banned: BTreeMap<Name, Time>,
    pub ready: Vec<Wid>,
    /// Those of the own zone and the others; for any job, and for the jobs that need one kind.
    parts: BTreeMap<(bool, Option<KindId>), Parts>,
}

impl Fleet {
    pub fn find(&self, name: &str) -> Option<Wid> {
        self.by_name.get(name).copied()
    }
    pub fn get(&self, id: Wid) -> Option<&Worker> {
        self.by_id.get(&id)
    }
    pub fn get_mut(&mut self, id: Wid) -> Option<&mut Worker> {
        self.by_id.get_mut(&id)
    }
    /// Takes a list or its changes; a worker absent from a complete list has been removed.
    pub fn apply(&mut self, scope: ListScope, entries: &[Listing], s: &Settings, now: Time) {
        if scope != ListScope::Changes {
            let named: FxHashSet<&str> = entries.iter().map(|entry| entry.worker.as_ref()).collect();
            let left = self.by_name.iter().filter(|(name, _)| !named.contains(name.as_ref()));
            let left: Vec<Wid> = left.map(|(_, id)| *id).collect();
            left.into_iter().for_each(|id| self.set_readiness(id, Readiness::Gone));
        }
        for entry in entries {
            let id = match self.find(&entry.worker) {
                Some(id) => id,
                None if entry.readiness == Readiness::Gone => continue,
                None => {
                    self.next += 1;
                    self.by_name.insert(entry.worker.clone(), self.next);
                    self.by_id.insert(self.next, Worker::new(entry, s, now));
                    self.next
                }
            };
            let Some(w) = self.by_id.get_mut(&id) else { continue };
            if entry.readiness == Readiness::InService && w.listed_start != entry.started {
                w.listed_start = entry.started;
                w.restart(entry.started, now);
            }
            w.cell = entry.cell.or(w.cell);
            let (weighs, hash, keys) = (w.weight != entry.weight, w.hash, w.parts());
            w.weight = entry.weight;
            if weighs && w.ready {
                for key in keys {
                    self.parts.entry(key).or_default().touch(hash);
                }
            }
            self.set_readiness(id, entry.readiness);
        }
    }
    /// Takes what operators have taken out by hand, whether it is listed or not. What comes back was restarted
    /// meanwhile, so it is as cold as one can be, unless the list told of that start since.
    pub fn ban(&mut self, bans: &[Ban], now: Time) {
        let new = bans.iter().map(|ban| (ban.worker.clone(), ban.since)).collect();
        let old = std::mem::replace(&mut self.banned, new);
        let back = old.iter().filter(|(name, _)| !self.banned.contains_key(*name));
        for (id, since) in
            back.filter_map(|(name, since)| Some((self.find(name)?, *since))).collect::<Vec<_>>()
        {
            if let Some(w) = self.by_id.get_mut(&id).filter(|w| w.listed_start.is_none_or(|at| at < since)) {
                w.restart(Some(now), now);
            }
            self.refresh(id);
        }
        for id in bans.iter().filter_map(|ban| self.find(&ban.worker)).collect::<Vec<_>>() {
            self.refresh(id);
        }
    }
    /// Whether a worker is listed, or taken out by hand.
    pub fn knows(&self, name: &str) -> bool {
        let listed =
            self.find(name).and_then(|id| self.get(id)).is_some_and(|w| w.readiness != Readiness::Gone);
        listed || self.banned.contains_key(name)
    }
    /// Whether operators, and nothing else, leave no worker in service.
    pub fn all_banned(&self) -> bool {
        let in_service = || self.by_id.values().any(|w| w.readiness == Readiness::InService);
        self.ready.is_empty() && !self.banned.is_empty() && in_service()
    }
    pub fn census(&self, now: Time) -> Census {
        let listed = || self.by_id.values().filter(|w| w.readiness != Readiness::Gone);
        let skipped = listed().filter(|w| !w.ready || now < w.shunned_until).count();
        Census { known: listed().count(), skipped }
    }
    fn set_readiness(&mut self, id: Wid, readiness: Readiness) {
        if let Some(w) = self.by_id.get_mut(&id) {
            w.readiness = readiness;
            self.refresh(id);
        }
    }
    /// Moves a worker into or out of what is in service. One that is gone and owes nothing is forgotten.
    fn refresh(&mut self, id: Wid) {
        let Some(w) = self.by_id.get_mut(&id) else { return };
        let ready = w.readiness == Readiness::InService && !self.banned.contains_key(&w.name);
        if std::mem::replace(&mut w.ready, ready) != ready {
            let (hash, keys, name) = (w.hash, w.parts(), w.name.clone());
            let by_id = &self.by_id;
            let place = self.ready.partition_point(|other| by_id.get(other).is_some_and(|o| o.name < name));
            match ready {
                true => self.ready.insert(place, id),
                false => drop(self.ready.remove(place)),
            }
            for key in keys {
                let parts = self.parts.entry(key).or_default();
                match ready {
                    true => parts.insert(hash, id),
                    false => parts.remove(hash, id),
                }
            }
        }
        self.forget_if_idle(id);
    }
    /// Workers in service from which a key takes its order: in a fleet of some hundreds all, else a fixed number
    /// that depends on the key. Of the own zone, of others, or of all.
    pub fn candidates(
        &self,
        key: KeyHash,
        kind: Option<KindId>,
        near: Option<bool>,
    ) -> impl Iterator<Item = Wid> + '_ {
        let zones = [true, false].into_iter().filter(move |zone| near.is_none_or(|near| near == *zone));
        let parts = zones.filter_map(move |zone| self.parts.get(&(zone, kind)));
        let parts = parts.flat_map(move |parts| parts.of(key));
        parts.flat_map(|part| part.workers.iter().map(|(_, id)| *id))
    }
    /// A number that is another one after each change of a key's candidates.
    pub fn version(&self, key: KeyHash, kind: Option<KindId>) -> (u64, u64) {
        let of = |near| self.parts.get(&(near, kind)).map_or(0, |parts| parts.version(key));
        (of(true), of(false))
    }
    /// Marks as probed, and names, the first `most` workers that have not reported since `since`.
    pub fn probe_stale<'a>(
        &mut self,
        of: impl Iterator<Item = &'a Wid>,
        since: Time,
        most: usize,
    ) -> Vec<Name> {
        let mut named = Vec::new();
        for id in of {
            let stale = |w: &&mut Worker| w.ready && !w.probe_out && w.reported.is_none_or(|at| at < since);
            if let Some(w) = self.by_id.get_mut(id).filter(|w| named.len() < most && stale(w)) {
                w.probe_out = true;
                named.push(w.name.clone());
            }
        }
        named
    }
    /// A probe of this worker came back.
    pub fn probed(&mut self, name: &str) -> Option<Wid> {
        let id = self.find(name)?;
        self.by_id.get_mut(&id)?.probe_out = false;
        self.forget_if_idle(id);
        Some(id)
    }
    /// Forgets a worker that is not listed and owes no outcome.
    pub fn forget_if_idle(&mut self, id: Wid) {
        if self.by_id.get(&id).is_some_and(|w| w.readiness == Readiness::Gone && w.jobs == 0 && !w.probe_out)
        {
            if let Some(w) = self.by_id.remove(&id) {
                self.by_name.remove(&w.name);
            }
        }
    }
}

/// The `most` workers of lowest rank, in rank order.
pub fn lowest(mut ranked: Vec<(f64, Wid)>, most: usize) -> Vec<Wid> {
    if ranked.len() > most {
        ranked.select_nth_unstable_by(most, |a, b| a.0.total_cmp(&b.0));
        ranked.truncate(most);
    }
    ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
    ranked.into_iter().map(|r| r.1).collect()
}

/// The chance to wait longer than `runs` mean runs in a queue before `slots` servers that are used to
/// the part `used`, by Sakasegawa's estimate.
pub fn wait_chance(slots: f64, used: f64, runs: f64) -> f64 {
    if runs <= 0.0 {
        return 1.0;
    }
    used.powf((2.0 * (slots + 1.0)).sqrt() - 1.0) * (-(1.0 - used) * slots * runs).exp()
}

/// Requests, and when each is looked at next.
#[derive(Default)]
pub struct Book {
    jobs: FxHashMap<RequestId, Job>,
    due: BTreeSet<(Time, RequestId)>,
    /// What may have run of requests that are over, by their tags, the oldest first.
    ran: FxHashMap<u64, (Peers, Time)>,
    tags: VecDeque<u64>,
}

/// Tags remembered: minutes of a dispatcher's keyed requests.
const REMEMBERED: usize = 4096;

impl Book {
    pub fn get(&self, id: RequestId) -> Option<&Job> {
        self.jobs.get(&id)
    }
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Job> {
        self.jobs.get_mut(&id)
    }
    pub fn open(&mut self, mut job: Job) {
        if let Some(tag) = job.tag {
            let open = || self.jobs.values().filter(|other| other.tag == Some(tag));
            let out = || open().flat_map(Job::ran).map(|(peers, sent)| (peers.clone(), sent));
            job.before = self.ran.get(&tag).cloned().or_else(|| out().min_by_key(|ran| ran.1));
        }
        self.jobs.insert(job.id, job);
    }
    /// Keeps what may have run of a request that is over.
    fn remember(&mut self, job: &Job) {
        let first = job.ran().min_by_key(|ran| ran.1).map(|(peers, sent)| (peers.clone(), sent));
        let (Some(tag), Some(first)) = (job.tag, first) else { return };
        if self.ran.insert(tag, first).is_none() {
            self.tags.push_back(tag);
        }
        if self.tags.len() > REMEMBERED {
            self.tags.pop_front().and_then(|tag| self.ran.remove(&tag));
        }
    }
    /// Files the next look at a job, replacing the earlier one.
    pub fn look_at(&mut self, id: RequestId, at: Option<Time>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if let Some(old) = job.due.take() {
            self.due.remove(&(old, id));
        }
        job.due = at;
        if let Some(at) = at {
            self.due.insert((at, id));
        }
    }
    pub fn next_due(&self) -> Option<Time> {
        self.due.first().map(|d| d.0)
    }
    pub fn pop_due(&mut self, now: Time) -> Option<RequestId> {
        let (at, id) = *self.due.first()?;
        if at > now {
            return None;
        }
        self.look_at(id, None);
        Some(id)
    }
    /// Marks the attempts that are out as called off, or only those not started, and names the newly marked.
    pub fn call_off(&mut self, id: RequestId, started_too: bool) -> Vec<usize> {
        let Some(job) = self.jobs.get_mut(&id).filter(|j| !j.streaming) else { return Vec::new() };
        let marked =
            |a: &&mut Attempt| a.fate == Fate::Out && !a.called_off && (started_too || a.started.is_none());
        let mut which = Vec::new();
        for (at, a) in job.attempts.iter_mut().enumerate() {
            if marked(&a) {
                a.called_off = true;
                which.push(at);
            }
        }
        which
    }
    /// Takes what a worker tells of an attempt; returns the worker and when it was sent to, if it has just started.
    pub fn hears(&mut self, id: RequestId, attempt: usize, note: Note, now: Time) -> Option<(Wid, Time)> {
        let a = self.jobs.get_mut(&id)?.attempts.get_mut(attempt)?;
        let starts = note == Note::Started && a.started.is_none();
        a.started = a.started.or(starts.then_some(now));
        a.heard = a.started.map(|_| now);
        starts.then_some((a.worker, a.sent))
    }
    /// The answer streams: from now on the request has no deadline.
    pub fn stream(&mut self, id: RequestId) {
        if let Some(job) = self.jobs.get_mut(&id).filter(|j| !j.attempts.is_empty()) {
            job.streaming = true;
            self.look_at(id, None);
        }
    }
    /// Drops a job that has ended and has no attempt out.
    pub fn close_if_done(&mut self, id: RequestId) {
        if self.jobs.get(&id).is_some_and(|j| j.ended && j.outstanding() == 0) {
            self.look_at(id, None);
            if let Some(job) = self.jobs.remove(&id) {
                self.remember(&job);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn filled(count: u64) -> Parts {
        let mut parts = Parts::default();
        (0..count).for_each(|n| parts.insert(xxh3_64(&n.to_le_bytes()), n as Wid));
        parts
    }

    fn looked_at(parts: &Parts, key: KeyHash) -> Vec<Wid> {
        let mut all: Vec<Wid> = parts.of(key).flat_map(|p| p.workers.iter().map(|w| w.1)).collect();
        all.sort_unstable();
        all
    }

    #[test]
    fn a_key_looks_at_all_of_a_small_fleet_and_at_a_fixed_number_of_a_large_one() {
        assert_eq!(looked_at(&filled(100), 7), (0..100).collect::<Vec<Wid>>());
        assert_eq!(looked_at(&filled(300), 7).len(), 300);
        for count in [2_000, 12_000] {
            let parts = filled(count);
            let seen: Vec<usize> = (0..50).map(|key| looked_at(&parts, key).len()).collect();
            let (least, most) = (seen.iter().min().expect("some"), seen.iter().max().expect("some"));
            assert!(*least > LOOKED * PART / 2 && *most < LOOKED * PART * 3, "{least} to {most} of {count}");
        }
    }

    #[test]
    fn a_change_elsewhere_leaves_a_keys_version_and_one_in_its_parts_does_not() {
        let mut parts = filled(4_000);
        let (key, other) = (7, 4_001);
        let own = looked_at(&parts, key)[0];
        let before = parts.version(key);
        let far = (0..4_000).find(|n| !looked_at(&parts, key).contains(n)).expect("one");
        parts.remove(xxh3_64(&u64::from(far).to_le_bytes()), far);
        assert_eq!(parts.version(key), before);
        parts.remove(xxh3_64(&u64::from(own).to_le_bytes()), own);
        assert_ne!(parts.version(key), before);
        parts.insert(xxh3_64(&u64::from(own).to_le_bytes()), other);
        assert!(looked_at(&parts, key).contains(&other));
    }

    #[test]
    fn growth_keeps_half_of_what_a_key_looked_at() {
        let (small, large) = (filled(4_000), filled(8_200));
        assert_eq!(large.parts.len(), 2 * small.parts.len());
        let kept = |key| {
            let (before, after) = (looked_at(&small, key), looked_at(&large, key));
            before.iter().filter(|w| after.contains(w)).count() as f64 / before.len() as f64
        };
        let mean = (0..40).map(kept).sum::<f64>() / 40.0;
        assert!((0.4..0.6).contains(&mean), "{mean}");
    }

    proptest::proptest! {
        /// Whatever comes and goes, every worker stands in exactly one part, and versions never come back.
        #[test]
        fn no_worker_is_lost(steps in proptest::collection::vec((0u32..700, proptest::bool::ANY), 1..900)) {
            let mut parts = Parts::default();
            let mut held = std::collections::BTreeSet::new();
            let mut versions = std::collections::BTreeSet::new();
            for (id, comes) in steps {
                let hash = xxh3_64(&id.to_le_bytes());
                match comes {
                    true if held.insert(id) => parts.insert(hash, id),
                    false if held.remove(&id) => parts.remove(hash, id),
                    _ => continue,
                }
                let all: Vec<Wid> = parts.parts.iter().flat_map(|p| p.workers.iter().map(|w| w.1)).collect();
                proptest::prop_assert_eq!(all.len(), held.len());
                proptest::prop_assert!(all.iter().all(|id| held.contains(id)));
                if parts.parts.len() <= LOOKED {
                    proptest::prop_assert!(versions.insert(parts.version(1)));
                }
            }
        }
    }
}
