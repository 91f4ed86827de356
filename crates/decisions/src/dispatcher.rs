//! The dispatcher's state and its events, by the interface of `api.rs`. Each decision has a module of its own.

use std::collections::BTreeMap;

use rand::{rngs::SmallRng, SeedableRng};

use crate::api::*;
use crate::fleet::Fleet;
use crate::list_age::ListAge;
use crate::placement::PROBERS;
use crate::requests::Requests;
use crate::worker::{Assigned, Bucket, Faded, KeyHash};

/// Entries of the assignment table that were not used for this long are dropped: one-off keys pile up.
const TABLE_MEMORY: Span = Span(30_000_000);
/// Probes in a round to workers that never reported, at most.
const FIRST_PROBES: usize = 8;
/// First guess of a job's time in its slots.
const FIRST_RUN: Span = Span(400_000);
/// Between two rounds of housekeeping.
const ROUND: Span = Span(250_000);

/// Decides for one dispatcher; knows only what its own events said.
pub struct Dispatcher {
    pub(crate) settings: Settings,
    pub(crate) rng: SmallRng,
    pub(crate) now: Time,
    /// When the first event came.
    pub(crate) born: Option<Time>,
    pub(crate) fleet: Fleet,
    pub(crate) requests: Requests,
    /// The paper's AssignedTable T.
    pub(crate) table: BTreeMap<KeyHash, Assigned>,
    /// Mean fill of workers over all reports, for those that never reported: those of other zones.
    pub(crate) fill: f64,
    /// The part of recent jobs that were turned away or refused as late.
    pub(crate) pressure: f64,
    /// Mean time in slots of each class's jobs.
    pub(crate) run: Vec<Span>,
    /// The same, learned at once, and of how many: a guess that lasts overfills cold workers.
    pub(crate) costs: Vec<(f64, u32)>,
    /// Slot-seconds asked for by jobs that need a kind, by kind.
    pub(crate) asked: Vec<Faded>,
    /// The part of each kind that other jobs leave to them.
    pub(crate) reserved: Vec<f64>,
    /// Counts the changes of `reserved`.
    pub(crate) reserved_version: u64,
    /// What each tenant may still send within its share.
    pub(crate) tenants: Vec<Bucket>,
    pub(crate) list: ListAge,
    /// When the timer that was asked for ends.
    pub(crate) armed: Option<Time>,
    /// When the next round of housekeeping is due.
    pub(crate) round: Time,
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
            requests: Requests::default(),
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
            settings,
        })
    }

    /// Takes one event and pushes what is to be done.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        if self.born.is_none() {
            (self.born, self.now, self.round) = (Some(now), now, now);
            self.list.start(now, &mut self.rng);
        }
        self.now = self.now.max(now);
        match event {
            Event::List { scope, entries } => self.on_list(scope, &entries),
            Event::Bans(bans) => self.fleet.ban(&bans, self.now),
            Event::Request(request) => self.on_request(request, out),
            Event::StreamStarted { request, .. } => self.requests.stream(request),
            Event::AttemptUpdate { request, attempt, update } => {
                self.on_update(request, attempt, update, out)
            }
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
                let most = FIRST_PROBES * PROBERS / self.settings.dispatchers.max(PROBERS);
                let unknown = self.fleet.probe_stale(ready.iter(), Time(i64::MIN), most);
                out.extend(unknown.into_iter().map(Action::Probe));
            }
        }
        if self.list.is_due(self.now) {
            out.push(Action::Subscribe);
            self.list.on_call(self.now);
        }
        while let Some(id) = self.requests.pop_due(self.now) {
            self.advance(id, out);
        }
        let next =
            self.requests.next_due().into_iter().chain(self.list.next_call()).fold(self.round, Time::min);
        if self.armed.is_none_or(|at| next < at) {
            self.armed = Some(next);
            out.push(Action::SetTimer { at: next, token: 0 });
        }
    }

    fn on_list(&mut self, scope: ListScope, entries: &[Listing]) {
        match scope {
            ListScope::Failed => return self.list.on_failure(self.now, &mut self.rng),
            ListScope::Unusable => return self.list.on_unusable(self.now, &mut self.rng),
            ListScope::Silent { since } => return self.list.on_silence(since, self.now, &mut self.rng),
            ListScope::SourceChanged => return self.list.on_source_change(self.now),
            ListScope::Changes | ListScope::Complete => self.list.on_list(),
            ListScope::Remembered => {}
        }
        self.fleet.apply(scope, entries, &self.settings, self.now);
    }
}
