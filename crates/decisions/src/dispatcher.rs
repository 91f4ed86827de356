//! The dispatcher's state and its events, by the interface of `api.rs`. Each decision has a module of its own.

use std::collections::BTreeMap;

use rand::{rngs::SmallRng, SeedableRng};

use crate::api::*;
use crate::fleet::Fleet;
use crate::list_age::ListAge;
use crate::placement::MAX_PROBING_DISPATCHERS;
use crate::requests::Requests;
use crate::worker::{DecayingSum, KeyHash, TableEntry, TokenBucket};

/// Entries of the assignment table that were not used for this long are dropped: one-off keys pile up.
const TABLE_ENTRY_TTL: Span = Span(30_000_000);
/// Probes in a round to workers that never reported, at most.
const MAX_FIRST_PROBES: usize = 8;
/// First guess of a job's time in its slots.
const INITIAL_RUN_TIME: Span = Span(400_000);
/// Between two rounds of housekeeping.
const HOUSEKEEPING_INTERVAL: Span = Span(250_000);

/// Decides for one dispatcher; knows only what its own events said.
pub struct Dispatcher {
    pub(crate) settings: Settings,
    pub(crate) rng: SmallRng,
    pub(crate) now: Time,
    /// When the first event came.
    pub(crate) started_at: Option<Time>,
    pub(crate) fleet: Fleet,
    pub(crate) requests: Requests,
    /// The paper's AssignedTable T.
    pub(crate) table: BTreeMap<KeyHash, TableEntry>,
    /// Mean fill of workers over all reports, for those that never reported: those of other zones.
    pub(crate) mean_fill: f64,
    /// The part of recent jobs that were turned away or refused as late.
    pub(crate) pressure: f64,
    /// Mean time in slots of each class's jobs.
    pub(crate) run_times: Vec<Span>,
    /// The same, learned at once, and of how many: a guess that lasts overfills cold workers.
    pub(crate) run_costs: Vec<(f64, u32)>,
    /// Slot-seconds asked for by jobs that need a kind, by kind.
    pub(crate) kind_demand: Vec<DecayingSum>,
    /// The part of each kind that other jobs leave to them.
    pub(crate) reserved: Vec<f64>,
    /// Counts the changes of `reserved`.
    pub(crate) reserved_version: u64,
    /// What each tenant may still send within its share.
    pub(crate) tenant_buckets: Vec<TokenBucket>,
    pub(crate) list_age: ListAge,
    /// When the timer that was asked for ends.
    pub(crate) timer_at: Option<Time>,
    /// When the next round of housekeeping is due.
    pub(crate) next_housekeeping: Time,
}

impl Dispatcher {
    /// A dispatcher that knows nothing but its settings.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Dispatcher {
            rng: SmallRng::seed_from_u64(seed),
            now: Time::default(),
            started_at: None,
            fleet: Fleet::default(),
            requests: Requests::default(),
            table: BTreeMap::new(),
            mean_fill: 0.0,
            pressure: 0.0,
            run_times: vec![INITIAL_RUN_TIME; settings.classes.len()],
            run_costs: vec![(INITIAL_RUN_TIME.secs(), 0); settings.classes.len()],
            kind_demand: vec![DecayingSum::default(); settings.kinds.len()],
            reserved: vec![0.0; settings.kinds.len()],
            reserved_version: 1,
            tenant_buckets: vec![TokenBucket::default(); settings.tenants.len()],
            list_age: ListAge::new(&settings),
            timer_at: None,
            next_housekeeping: Time::default(),
            settings,
        })
    }

    /// Takes one event and pushes what is to be done.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        if self.started_at.is_none() {
            (self.started_at, self.now, self.next_housekeeping) = (Some(now), now, now);
            self.list_age.start(now, &mut self.rng);
        }
        self.now = self.now.max(now);
        match event {
            Event::List { scope, entries } => self.on_list(scope, &entries),
            Event::Bans(bans) => self.fleet.apply_bans(&bans, self.now),
            Event::Request(request) => self.on_request(request, out),
            Event::StreamStarted { request, .. } => self.requests.on_stream_started(request),
            Event::AttemptUpdate { request, attempt, update } => {
                self.on_update(request, attempt, update, out)
            }
            Event::Outcome(end) => self.on_outcome(end, out),
            Event::ClientGone(id) => self.close(id, out),
            Event::Timer(_) => self.timer_at = self.timer_at.filter(|at| *at > self.now),
            Event::Probed { worker, outcome, load, .. } => {
                let id = self.fleet.on_probed(&worker);
                self.on_report(id, load);
                // Nobody there: better learned so than by a job. Too many probes at a time say nothing.
                if let (Some(id), Outcome::NoConnection) = (id, outcome) {
                    self.update_health(id, outcome);
                }
            }
            Event::Peer { .. } => {}
        }
        if self.now >= self.next_housekeeping {
            self.next_housekeeping = self.now + HOUSEKEEPING_INTERVAL;
            self.table.retain(|_, t| t.demand.at >= now - TABLE_ENTRY_TTL);
            self.update_reserved();
            // A worker's slots show in the report of an idle one; under load they are taken for fewer.
            if self.probes_for_load() {
                let ready = self.fleet.in_service.clone();
                let most = MAX_FIRST_PROBES * MAX_PROBING_DISPATCHERS
                    / self.settings.dispatchers.max(MAX_PROBING_DISPATCHERS);
                let unknown = self.fleet.start_probes(ready.iter(), Time(i64::MIN), most);
                out.extend(unknown.into_iter().map(Action::Probe));
            }
        }
        if self.list_age.is_due(self.now) {
            out.push(Action::Subscribe);
            self.list_age.on_call(self.now);
        }
        while let Some(id) = self.requests.pop_due(self.now) {
            self.advance(id, out);
        }
        let next = self
            .requests
            .next_due()
            .into_iter()
            .chain(self.list_age.next_call())
            .fold(self.next_housekeeping, Time::min);
        if self.timer_at.is_none_or(|at| next < at) {
            self.timer_at = Some(next);
            out.push(Action::SetTimer { at: next, token: 0 });
        }
    }

    fn on_list(&mut self, scope: ListScope, entries: &[Listing]) {
        match scope {
            ListScope::Failed => return self.list_age.on_failure(self.now, &mut self.rng),
            ListScope::Unusable => return self.list_age.on_unusable(self.now, &mut self.rng),
            ListScope::Silent { since } => return self.list_age.on_silence(since, self.now, &mut self.rng),
            ListScope::SourceChanged => return self.list_age.on_source_change(self.now),
            ListScope::Changes | ListScope::Complete => self.list_age.on_list(),
            ListScope::Remembered => {}
        }
        self.fleet.apply_list(scope, entries, &self.settings, self.now);
    }
}
