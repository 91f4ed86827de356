//! The state of a dispatcher and the handling of its events. Each kind of decision has a module of its own:
//! `admission`, `placement`, `retry`, `slow_start` and `health`.

use std::collections::BTreeMap;

use rand::{rngs::SmallRng, SeedableRng};

use crate::api::*;
use crate::fleet::Fleet;
use crate::list_age::ListAge;
use crate::placement::MAX_PROBING_DISPATCHERS;
use crate::requests::Requests;
use crate::worker::{DecayingSum, KeyHash, TableEntry, TokenBucket};

/// Entries of the assignment table that were not used for this long are dropped; keys that occur once would
/// accumulate otherwise.
const TABLE_ENTRY_TTL: Span = Span(30_000_000);
/// Upper bound on the entries of the assignment table. Beyond it, those that were used least recently are dropped.
pub(crate) const MAX_TABLE_ENTRIES: usize = 8192;
/// Upper bound on the probes per round of housekeeping to workers that have never reported.
const MAX_FIRST_PROBES: usize = 8;
/// Run time assumed for a class until its first jobs have been measured.
const INITIAL_RUN_TIME: Span = Span(400_000);
/// Interval between two rounds of housekeeping.
const HOUSEKEEPING_INTERVAL: Span = Span(250_000);

/// The decisions of one dispatcher, based on nothing but its settings and the events that it was given.
pub struct Dispatcher {
    pub(crate) settings: Settings,
    pub(crate) rng: SmallRng,
    pub(crate) now: Time,
    /// Time of the first event.
    pub(crate) started_at: Option<Time>,
    pub(crate) fleet: Fleet,
    pub(crate) requests: Requests,
    /// The paper's AssignedTable T (see `placement`): for each key the workers that serve it.
    pub(crate) table: BTreeMap<KeyHash, TableEntry>,
    /// Mean fill of workers over all reports. Stands in for the load of workers that have never reported, such as
    /// those of other zones.
    pub(crate) mean_fill: f64,
    /// The fraction of recent jobs that workers turned away or that were refused as likely late.
    pub(crate) pressure: f64,
    /// Mean time that a job of each class occupies its slots.
    pub(crate) run_times: Vec<Span>,
    /// The same mean in seconds, with the number of jobs behind it. It follows the first jobs at once, because an
    /// initial guess that persists would overfill workers in slow start.
    pub(crate) run_costs: Vec<(f64, u32)>,
    /// Slot-seconds requested by jobs that need one machine kind, by kind.
    pub(crate) kind_demand: Vec<DecayingSum>,
    /// The fraction of each kind that jobs without a required kind leave to those jobs.
    pub(crate) reserved: Vec<f64>,
    /// Incremented with each change of `reserved`.
    pub(crate) reserved_version: u64,
    /// The requests that each tenant may still send within its allowance.
    pub(crate) tenant_buckets: Vec<TokenBucket>,
    /// How long the current list of workers may be used.
    pub(crate) list_age: ListAge,
    /// Due time of the last timer that was set, until it fires.
    pub(crate) timer_at: Option<Time>,
    pub(crate) next_housekeeping: Time,
}

impl Dispatcher {
    /// Creates a dispatcher without workers and requests; `seed` determines its random choices. Fails if a setting is
    /// unusable.
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

    /// Handles one event at time `now` and appends the resulting actions to `out`. A time before that of an earlier
    /// event counts as the earlier one's.
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
            Event::Probed { worker, outcome, latency, load } => {
                let id = self.fleet.on_probed(&worker);
                self.on_report(id, load);
                // A failed connection shows that the worker is down, and a probe learns it at no job's cost. Other
                // failed probes show nothing, since a worker rejects probes when too many arrive at a time.
                if let (Some(id), Outcome::NoConnection) = (id, outcome) {
                    self.update_health(id, outcome, self.now - latency);
                }
            }
            Event::Peer { .. } => {}
        }
        if self.now >= self.next_housekeeping {
            self.next_housekeeping = self.now + HOUSEKEEPING_INTERVAL;
            self.table.retain(|_, entry| entry.demand.at >= now - TABLE_ENTRY_TTL);
            self.update_reserved();
            // Probes unknown workers early: the report of an idle worker shows all its slots, while under load fewer
            // slots are inferred.
            if self.probes_for_load() {
                let in_service = self.fleet.in_service.clone();
                let limit = MAX_FIRST_PROBES * MAX_PROBING_DISPATCHERS
                    / self.settings.dispatchers.max(MAX_PROBING_DISPATCHERS);
                let unknown = self.fleet.start_probes(in_service.iter(), Time(i64::MIN), limit);
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

    /// Keeps an entry of the assignment table. If there are too many, the less recently used half is dropped.
    pub(crate) fn insert_table_entry(&mut self, key: KeyHash, entry: TableEntry) {
        self.table.insert(key, entry);
        if self.table.len() > MAX_TABLE_ENTRIES {
            let mut uses: Vec<Time> = self.table.values().map(|entry| entry.demand.at).collect();
            let (_, median, _) = uses.select_nth_unstable(MAX_TABLE_ENTRIES / 2);
            let oldest_kept = *median;
            self.table.retain(|_, entry| entry.demand.at > oldest_kept);
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

#[cfg(test)]
mod tests;
