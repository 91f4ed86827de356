//! Discrete-event simulation of the fleet around the dispatchers: clients, network, log workers, archive store,
//! discovery and incidents.
//!
//! All events are in one queue, ordered by time and, at the same time, by the order in which they were scheduled. A
//! run takes a [`Scenario`], a policy and a seed and produces a [`Report`]; the same three always produce the same
//! report.

mod draw;
mod fleet;
mod store;
mod worker;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::Rng;
use rookspoke_decisions::{
    Action, AttemptEnd, AttemptUpdate, ClassId, Discovery, Effect, Event, Limits, ListScope, Listing,
    LoadReport, Name, Outcome, Readiness, Reporting, Request, RequestId, Rules, Settings, SettingsError,
    Span, Time, WorthBy,
};

pub use draw::{draw_affected, draw_arrivals, draw_worker_spec, is_costly, Arrival};
pub use store::Store;
pub use worker::{Job, QueueOrder, StartPhase, Worker, WorkerSpec};

use crate::check::{InvariantChecker, Rule, RuleLimits, RULES};
use crate::policy::{Baseline, Policy, PolicyKind, SharedGroundTruth};
use crate::report::{coefficient_of_variation, ClassReport, JobResult, Report, Score};
use crate::rng::{stream, Stream};
use crate::scenario::{Incident, IncidentKind, Scenario};
use fleet::{DispatcherHost, Machine};

/// Interval at which the speed of a log worker in slow start is recomputed, overdue requests are looked for and the
/// state for the omniscient policy is refreshed.
const STEP: Span = Span(100_000);
/// Time that the run continues after the last arrival, so that every request gets its answer.
const TAIL: Span = Span(25_000_000);

/// An event of the simulation. Numbers index requests, attempts, dispatchers, log workers or incidents.
#[derive(Clone, Copy, Debug)]
enum SimEvent {
    ClientSend(usize),
    RequestArrives(usize),
    Batch(usize),
    AttemptArrives(usize),
    AttemptEnds(usize, Outcome),
    StartNoticeArrives(usize),
    /// Log worker and the version of its plan.
    WorkerStep(usize, u64),
    /// Version of the store's plan.
    StoreStep(u64),
    TakeReport(usize),
    /// Dispatcher and log worker.
    ProbeArrives(usize, usize),
    /// Dispatcher, log worker and whether it answered.
    ProbeEnds(usize, usize, bool),
    AttemptTimeout(usize),
    ClientTimeout(usize),
    CancelArrives(usize),
    Tick,
    /// Discovery learns the state of a log worker.
    DiscoveryUpdate(usize, ListedState),
    /// Dispatcher and the number of its call, or 0 if the call failed.
    DiscoveryCallEnds(usize, u64),
    /// Dispatcher and the log worker whose entry changed.
    ListChangeArrives(usize, usize),
    IncidentStarts(usize),
    IncidentEnds(usize),
    /// Incident and whether its CPU steal begins or ends.
    ToggleNeighbour(usize, bool),
    Drain(usize),
    /// Log worker and whether its running process is stopped first.
    Restart(usize, bool),
}

/// State of a log worker as discovery lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListedState {
    Active(Option<Time>),
    Draining,
    Gone,
}

/// A request of a client; retries by the client reuse the record.
struct ClientRequest {
    class: usize,
    key: u64,
    slots: f64,
    work: f64,
    /// Time at which the client intended to send the first try.
    intended_at: Time,
    zone: usize,
    tries: usize,
    /// Deadline of the current try; the dispatcher and id below belong to the same try.
    deadline: Time,
    dispatcher: usize,
    id: u64,
    /// The client has its final answer or has given up.
    finished: bool,
}

struct Attempt {
    request_index: usize,
    id: u64,
    number: usize,
    dispatcher: usize,
    worker: usize,
    epoch: u64,
    sent_at: Time,
    /// The dispatcher doesn't know the outcome yet.
    pending: bool,
    /// The log worker has the job queued or running.
    at_worker: bool,
}

/// Counters of a run that go into its report.
#[derive(Debug, Default)]
struct Counts {
    sent: u64,
    probes: u64,
    openings: u64,
    cross_zone: u64,
    turned_away: u64,
    broken_connections: u64,
    retries: u64,
    starts: u64,
    overloads: u64,
}

/// One run of a scenario with a policy and a seed.
pub struct Simulation {
    scenario: Scenario,
    seed: u64,
    now: Time,
    end: Time,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    /// Scheduled events by their number in `events`.
    scheduled: BTreeMap<u64, SimEvent>,
    /// Number of the event scheduled last.
    last_event: u64,
    dispatchers: Vec<DispatcherHost>,
    policies: Vec<Box<dyn Policy>>,
    machines: Vec<Machine>,
    store: Store,
    store_version: u64,
    requests: Vec<ClientRequest>,
    by_id: BTreeMap<u64, usize>,
    next_id: u64,
    attempts: Vec<Attempt>,
    /// Attempts of each try that a dispatcher has received, by the try's id.
    open_requests: BTreeMap<u64, Vec<usize>>,
    checker: InvariantChecker,
    truth: SharedGroundTruth,
    /// The policy reads `truth`, so it has to be kept up to date.
    policy_reads_truth: bool,
    clients: SmallRng,
    network: SmallRng,
    discovery_rng: SmallRng,
    retry_rng: SmallRng,
    /// State of each log worker as discovery would list it now.
    discovery_view: Vec<ListedState>,
    /// Number of discovery outages in progress.
    discovery_outages: u32,
    /// Time at which discovery has served all calls accepted so far.
    discovery_free_at: Time,
    /// Number of zone cuts in progress.
    zone_cuts: u32,
    /// Delay of load reports added by incidents.
    extra_report_delay: Span,
    /// Probability a second that a connection in use is reset.
    reset_rate: f64,
    /// Log workers or dispatchers that each incident affects.
    affected: Vec<Vec<usize>>,
    counts: Counts,
    /// Requests served: the request's index, the intended time, whether it was in time, and its latency in seconds.
    served: Vec<(usize, Time, bool, f64)>,
    latency: Histogram<u64>,
    refused: u64,
    failed: u64,
    worker_names: Vec<Name>,
    zone_names: Vec<Name>,
    settings: Arc<Settings>,
}

/// Settings of the scenario's dispatcher `number`.
pub fn dispatcher_settings(scenario: &Scenario, number: usize) -> Settings {
    let zones: Vec<Name> = (0..scenario.count("zones")).map(zone_name).collect();
    let classes = scenario.classes.iter().map(|class| rookspoke_decisions::Class {
        name: class.name.as_str().into(),
        aim: Span::from_ms(class.get("aim")),
        stretch: class.get("stretch"),
        late_worth: 0.0,
        worth: class.get("worth"),
        effect: class.effect(),
        kind: None,
    });
    Settings {
        dispatcher_index: number,
        dispatchers: scenario.count("dispatchers"),
        zone: zone_name(number % scenario.count("zones")),
        zones,
        kinds: vec!["std".into()],
        classes: classes.collect(),
        tenants: Vec::new(),
        over_share_worth: 1.0,
        worth_by: WorthBy::Request,
        discovery: Discovery::Subscribe,
        reporting: Reporting::Probe,
        reports_start: true,
        progress_interval: Span(0),
        cross_zone_price: 0.03,
        waste_price: 0.02,
        quantum: scenario.span("tick"),
        limits: Limits {
            cancel: true,
            probes: scenario.is_on("limits.probes"),
            second_copies: scenario.is_on("limits.second-copies"),
            retry_after: scenario.is_on("limits.advice"),
            max_retry_after: Span(2_000_000),
            max_attempts: scenario.count("limits.attempts"),
        },
        rules: Rules {
            answer_slack: scenario.span("rules.answer-slack"),
            ask_every: scenario.span("rules.ask-every"),
            drain_grace: scenario.span("rules.drain-grace"),
            initial_capacity: scenario.get("rules.cold-from"),
            ramp: scenario.span("rules.cold-for"),
            overload_multiple: scenario.get("rules.fall-multiple"),
            overload_window: scenario.span("rules.fall-span"),
        },
    }
}

fn zone_name(number: usize) -> Name {
    format!("z{number}").into()
}

/// Runs a scenario and reports its figures.
///
/// # Errors
/// The decision core rejects the dispatchers' settings.
pub fn run_scenario(scenario: &Scenario, kind: PolicyKind, seed: u64) -> Result<Report, SettingsError> {
    let mut simulation = Simulation::new(scenario, kind, seed)?;
    simulation.run();
    Ok(simulation.report(kind, seed))
}

impl Simulation {
    fn new(scenario: &Scenario, kind: PolicyKind, seed: u64) -> Result<Self, SettingsError> {
        let (workers, dispatchers, zones) =
            (scenario.count("workers"), scenario.count("dispatchers"), scenario.count("zones"));
        let truth = SharedGroundTruth::default();
        let mut all: Vec<Box<dyn Policy>> = Vec::new();
        for number in 0..dispatchers {
            let own_seed = stream(seed, Stream::Policy, number as u64).random();
            let rng = stream(seed, Stream::Policy, (number + dispatchers) as u64);
            all.push(kind.build(&dispatcher_settings(scenario, number), own_seed, rng, &truth)?);
        }
        let machines = (0..workers).map(|number| {
            let rng = stream(seed, Stream::Report, number as u64);
            Machine::new(Worker::new(draw_worker_spec(scenario, seed, number)), number % zones, rng)
        });
        let mut simulation = Simulation {
            now: Time(0),
            end: Time(0) + scenario.span("length"),
            events: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            last_event: 0,
            dispatchers: (0..dispatchers).map(|number| DispatcherHost::new(number % zones)).collect(),
            policies: all,
            machines: machines.collect(),
            store: Store::new(scenario.get("store.together")),
            store_version: 0,
            requests: Vec::new(),
            by_id: BTreeMap::new(),
            next_id: 1,
            attempts: Vec::new(),
            open_requests: BTreeMap::new(),
            checker: InvariantChecker::new(RuleLimits {
                answer_slack: scenario.span("rules.answer-slack"),
                drain_grace: scenario.span("rules.drain-grace"),
                overload_multiple: scenario.get("rules.fall-multiple"),
                overload_window: scenario.span("rules.fall-span"),
                forbid_parallel_attempts: !scenario.is_on("limits.second-copies"),
            }),
            truth: Rc::clone(&truth),
            policy_reads_truth: kind == PolicyKind::Baseline(Baseline::Top),
            clients: stream(seed, Stream::Clients, 0),
            network: stream(seed, Stream::Network, 0),
            discovery_rng: stream(seed, Stream::Discovery, 0),
            retry_rng: stream(seed, Stream::Retry, 0),
            discovery_view: vec![ListedState::Active(None); workers],
            discovery_outages: 0,
            discovery_free_at: Time(0),
            zone_cuts: 0,
            extra_report_delay: Span(0),
            reset_rate: 0.0,
            affected: vec![Vec::new(); scenario.incidents.len()],
            counts: Counts::default(),
            served: Vec::new(),
            // Three significant digits, from 1 us to an hour.
            latency: Histogram::new_with_bounds(1, 3_600_000_000, 3)
                .unwrap_or_else(|_| unreachable!("the bounds are constant and valid")),
            refused: 0,
            failed: 0,
            worker_names: (0..workers).map(|n| Name::from(format!("w-{n:06}"))).collect(),
            zone_names: (0..zones).map(zone_name).collect(),
            settings: Arc::new(dispatcher_settings(scenario, 0)),
            scenario: scenario.clone(),
            seed,
        };
        simulation.schedule_initial_events();
        Ok(simulation)
    }

    fn schedule(&mut self, at: Time, event: SimEvent) {
        self.last_event += 1;
        self.scheduled.insert(self.last_event, event);
        self.events.push(Reverse((at.max(self.now), self.last_event)));
    }

    fn schedule_after(&mut self, span: Span, event: SimEvent) {
        self.schedule(self.now + span, event);
    }

    fn schedule_initial_events(&mut self) {
        let remembered: Arc<[Listing]> = (0..self.machines.len()).map(|w| self.listing(w)).collect();
        for dispatcher in 0..self.dispatchers.len() {
            self.deliver(
                dispatcher,
                Event::List { scope: ListScope::Remembered, entries: remembered.clone() },
            );
        }
        self.schedule_arrivals();
        for worker in 0..self.machines.len() {
            // Random phase, so that the log workers don't all report at the same time.
            let first = self.machines[worker].rng.random_range(0..=self.scenario.span("report.every").0);
            self.schedule(Time(first), SimEvent::TakeReport(worker));
        }
        for incident in 0..self.scenario.incidents.len() {
            self.schedule(Time(0) + self.scenario.incidents[incident].at, SimEvent::IncidentStarts(incident));
        }
        self.schedule(Time(0), SimEvent::Tick);
    }

    /// Schedules all arrivals before the run. The load is open-loop: arrivals don't wait for answers.
    fn schedule_arrivals(&mut self) {
        for Arrival { class, key, slots, work, intended_at, zone } in
            draw_arrivals(&self.scenario, self.seed, &mut self.clients)
        {
            let request = ClientRequest {
                class,
                key,
                slots,
                work,
                intended_at,
                zone,
                tries: 0,
                deadline: intended_at,
                dispatcher: 0,
                id: 0,
                finished: false,
            };
            self.requests.push(request);
            self.schedule(intended_at, SimEvent::ClientSend(self.requests.len() - 1));
        }
    }

    fn run(&mut self) {
        let last = self.end + TAIL;
        while let Some(Reverse((at, number))) = self.events.pop() {
            if at > last {
                break;
            }
            self.now = at;
            if let Some(event) = self.scheduled.remove(&number) {
                self.handle_event(event);
            }
        }
        self.now = last;
        self.checker.check_overdue(last);
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::ClientSend(request_index) => self.client_sends(request_index),
            SimEvent::RequestArrives(request_index) => self.request_arrives(request_index),
            SimEvent::Batch(dispatcher) => self.run_batch(dispatcher),
            SimEvent::AttemptArrives(attempt) => self.attempt_arrives(attempt),
            SimEvent::AttemptEnds(attempt, outcome) => self.attempt_ends(attempt, outcome),
            SimEvent::StartNoticeArrives(attempt) => {
                let started = &self.attempts[attempt];
                if started.pending {
                    let (request, attempt, dispatcher) =
                        (RequestId(started.id), started.number, started.dispatcher);
                    self.deliver(
                        dispatcher,
                        Event::AttemptUpdate { request, attempt, update: AttemptUpdate::Started },
                    );
                }
            }
            SimEvent::WorkerStep(worker, version) => {
                if self.machines[worker].plan_version == version {
                    self.step_worker(worker);
                }
            }
            SimEvent::StoreStep(version) => {
                if self.store_version == version {
                    self.step_store();
                }
            }
            SimEvent::TakeReport(worker) => self.take_report(worker),
            SimEvent::ProbeArrives(dispatcher, worker) => self.probe_arrives(dispatcher, worker),
            SimEvent::ProbeEnds(dispatcher, worker, answered) => {
                self.probe_ends(dispatcher, worker, answered)
            }
            SimEvent::AttemptTimeout(attempt) => {
                if self.attempts[attempt].pending {
                    self.send_cancel(attempt);
                    self.attempt_ends(attempt, Outcome::NoAnswer);
                }
            }
            SimEvent::ClientTimeout(request_index) => self.client_timeout(request_index),
            SimEvent::CancelArrives(attempt) => self.cancel_arrives(attempt),
            SimEvent::Tick => self.tick(),
            SimEvent::DiscoveryUpdate(worker, state) => self.discovery_update(worker, state),
            SimEvent::DiscoveryCallEnds(dispatcher, number) => self.discovery_call_ends(dispatcher, number),
            SimEvent::ListChangeArrives(dispatcher, worker) => self.list_change_arrives(dispatcher, worker),
            SimEvent::IncidentStarts(incident) => self.start_incident(incident),
            SimEvent::IncidentEnds(incident) => self.end_incident(incident),
            SimEvent::ToggleNeighbour(incident, on) => self.toggle_neighbour(incident, on),
            SimEvent::Drain(worker) => self.start_drain(worker),
            SimEvent::Restart(worker, stop_first) => self.restart(worker, stop_first),
        }
    }

    // Network.

    /// Lengthens a delay by random jitter.
    fn with_jitter(&mut self, base: Span) -> Span {
        let jitter: f64 = self.network.random::<f64>() * self.scenario.get("net.jitter");
        Span((base.0 as f64 * (1.0 + jitter)) as i64)
    }

    /// Draws the one-way network delay between a dispatcher and a log worker.
    fn one_way_delay(&mut self, dispatcher: usize, worker: usize) -> Span {
        let same = self.dispatchers[dispatcher].zone == self.machines[worker].zone;
        self.with_jitter(self.scenario.span(if same { "net.same" } else { "net.cross" }))
    }

    /// Whether messages pass between a dispatcher and a log worker: during a zone cut only within a zone.
    fn reachable(&self, dispatcher: usize, worker: usize) -> bool {
        self.zone_cuts == 0 || self.dispatchers[dispatcher].zone == self.machines[worker].zone
    }

    // Clients.

    fn client_sends(&mut self, request_index: usize) {
        // Dispatchers are assigned to the zones round-robin. Clients of a zone without a dispatcher use any.
        let (zone, zones, all) =
            (self.requests[request_index].zone, self.zone_names.len(), self.dispatchers.len());
        let local = (all + zones - 1 - zone) / zones;
        let dispatcher = match local {
            0 => self.clients.random_range(0..all),
            local => zone + zones * self.clients.random_range(0..local),
        };
        let timeout =
            Span::from_ms(self.scenario.classes[self.requests[request_index].class].get("deadline"));
        let id = self.next_id;
        self.next_id += 1;
        let now = self.now;
        let request = &mut self.requests[request_index];
        (request.dispatcher, request.id, request.deadline) = (dispatcher, id, now + timeout);
        request.tries += 1;
        self.by_id.insert(id, request_index);
        let delay = self.with_jitter(self.scenario.span("net.client"));
        self.schedule_after(delay, SimEvent::RequestArrives(request_index));
    }

    fn request_arrives(&mut self, request_index: usize) {
        let sent = &self.requests[request_index];
        let (id, dispatcher, deadline) = (sent.id, sent.dispatcher, sent.deadline);
        let effect = self.scenario.classes[sent.class].effect();
        let request = Request {
            queue: None,
            idempotency_hash: None,
            id: RequestId(id),
            class: ClassId(sent.class),
            tenant: None,
            key: Some(format!("k{}", sent.key).into()),
            work: None,
            slots: sent.slots,
            memory: 0.0,
            deadline,
        };
        self.open_requests.insert(id, Vec::new());
        self.checker.job_accepted(id, effect, deadline);
        self.exempt_if_paused(dispatcher, id);
        self.deliver(dispatcher, Event::Request(request));
        self.schedule(
            deadline + self.scenario.span("rules.answer-slack") + Span(1),
            SimEvent::ClientTimeout(request_index),
        );
    }

    /// Exempts a request from the invariants if its dispatcher's host is paused beyond the deadline: no policy can
    /// answer it in time.
    fn exempt_if_paused(&mut self, dispatcher: usize, id: u64) {
        let Some(request) = self.by_id.get(&id).map(|index| &self.requests[*index]) else { return };
        let until = self.dispatchers[dispatcher].paused_until + self.settings.quantum;
        if request.dispatcher == dispatcher && self.dispatchers[dispatcher].paused && request.deadline < until
        {
            self.checker.job_released(id);
        }
    }

    /// Ends a request whose client has received no answer by the deadline and the slack after it.
    fn client_timeout(&mut self, request_index: usize) {
        let id = self.requests[request_index].id;
        // If the client has retried since, the later try has its own id, deadline and timeout event.
        if self.requests[request_index].deadline + self.scenario.span("rules.answer-slack") >= self.now
            || !self.open_requests.contains_key(&id)
        {
            return;
        }
        if self.by_id.remove(&id).is_some() {
            self.checker.check_overdue(self.now);
            self.requests[request_index].finished = true;
            self.failed += 1;
            let dispatcher = self.requests[request_index].dispatcher;
            self.deliver(dispatcher, Event::ClientGone(RequestId(id)));
        }
    }

    /// Delivers the final answer of a try to its client, which may retry after a refusal or a harmless failure.
    fn deliver_answer(&mut self, id: u64, refused: bool, served: bool, advice: Option<Span>) {
        let Some(request_index) = self.by_id.remove(&id) else { return };
        self.checker.job_answered(self.now, id, refused);
        let delay = self.with_jitter(self.scenario.span("net.client"));
        let request = &self.requests[request_index];
        let class = &self.scenario.classes[request.class];
        if served {
            let latency = self.now + delay - request.intended_at;
            let aim = class.get("aim") / 1000.0 + class.get("stretch") * request.work;
            self.served.push((request_index, request.intended_at, latency.secs() <= aim, latency.secs()));
            self.latency.saturating_record(latency.0.max(1) as u64);
            self.requests[request_index].finished = true;
            return;
        }
        if refused {
            self.refused += 1;
        } else {
            self.failed += 1;
        }
        let harmless = refused || class.effect() == Effect::Safe;
        if harmless && request.tries <= self.scenario.count("clients.retries") && self.now < self.end {
            self.counts.retries += 1;
            let wait = self.scenario.get("clients.back-off") * (0.5 + self.retry_rng.random::<f64>());
            let advice = advice.filter(|_| self.scenario.is_on("clients.heeds-advice")).unwrap_or(Span(0));
            let wait = Span::from_ms(wait).max(advice) + delay + delay;
            self.schedule_after(wait, SimEvent::ClientSend(request_index));
        } else {
            self.requests[request_index].finished = true;
        }
    }

    // Dispatchers.

    /// Adds an event to a dispatcher's next batch, and reports lists to the checker.
    fn deliver(&mut self, dispatcher: usize, event: Event) {
        if let Event::List { scope, entries } = &event {
            if *scope != ListScope::Failed {
                self.check_list(dispatcher, *scope, entries);
            }
        }
        let host = &mut self.dispatchers[dispatcher];
        host.events.push_back(event);
        let at = self.now.max(host.next_batch);
        self.plan_batch(dispatcher, at);
    }

    fn check_list(&mut self, dispatcher: usize, scope: ListScope, entries: &[Listing]) {
        let mut listed = BTreeSet::new();
        for entry in entries {
            let Some(worker) = self.worker_number(&entry.worker) else { continue };
            listed.insert(worker);
            self.checker.worker_listed(self.now, dispatcher, worker, entry.readiness == Readiness::InService);
            if let Some(started) = entry.started {
                self.dispatchers[dispatcher].known_starts.insert(worker, started);
            }
        }
        if scope == ListScope::Complete {
            for worker in (0..self.machines.len()).filter(|worker| !listed.contains(worker)) {
                self.checker.worker_listed(self.now, dispatcher, worker, false);
            }
        }
    }

    fn worker_number(&self, name: &str) -> Option<usize> {
        name.strip_prefix("w-").and_then(|digits| digits.parse().ok())
    }

    fn plan_batch(&mut self, dispatcher: usize, at: Time) {
        let host = &mut self.dispatchers[dispatcher];
        let at = at.max(host.next_batch);
        if host.planned_batches.insert(at) {
            self.schedule(at, SimEvent::Batch(dispatcher));
        }
    }

    fn run_batch(&mut self, dispatcher: usize) {
        let now = self.now;
        let host = &mut self.dispatchers[dispatcher];
        host.planned_batches.remove(&now);
        if host.paused || now < host.next_batch {
            return;
        }
        while let Some(first) = host.timers.first().copied().filter(|timer| timer.0 <= now) {
            host.timers.remove(&first);
            host.events.push_back(Event::Timer(first.1));
        }
        if host.events.is_empty() {
            return;
        }
        host.next_batch = now + self.settings.quantum;
        let events: VecDeque<Event> = std::mem::take(&mut host.events);
        let mut actions = Vec::new();
        for event in events {
            self.policies[dispatcher].handle(now, event, &mut actions);
            for action in std::mem::take(&mut actions) {
                self.perform(dispatcher, action);
            }
        }
    }

    fn perform(&mut self, dispatcher: usize, action: Action) {
        match action {
            Action::Send { request, worker, timeout, .. } => {
                self.send_attempt(dispatcher, request.0, &worker, timeout)
            }
            Action::Cancel { request, attempt } => {
                // An attempt that was never sent has no entry in `attempts`; its outcome is already scheduled.
                let index = self.open_requests.get(&request.0).and_then(|all| all.get(attempt)).copied();
                if let Some(attempt) = index.filter(|at| self.attempts.get(*at).is_some_and(|a| a.pending)) {
                    self.send_cancel(attempt);
                    self.attempt_ends(attempt, Outcome::Cancelled);
                }
            }
            Action::Refuse { request, retry_after, .. } => {
                self.deliver_answer(request.0, true, false, retry_after)
            }
            Action::Fail { request, .. } => self.deliver_answer(request.0, false, false, None),
            Action::Subscribe | Action::FetchList => self.call_discovery(dispatcher),
            Action::SetTimer { at, token } => {
                self.dispatchers[dispatcher].timers.insert((at, token));
                self.plan_batch(dispatcher, at.max(self.now + Span(1)));
            }
            Action::Probe(worker) => {
                if let Some(worker) =
                    self.worker_number(&worker).filter(|_| self.scenario.is_on("limits.probes"))
                {
                    self.counts.probes += 1;
                    let delay = self.one_way_delay(dispatcher, worker);
                    self.schedule_after(delay, SimEvent::ProbeArrives(dispatcher, worker));
                }
            }
            Action::CloseIdle(worker) => {
                if let Some(worker) = self.worker_number(&worker) {
                    let closed = self.dispatchers[dispatcher]
                        .idle_connections
                        .remove(&worker)
                        .map_or(0, |idle| idle.len());
                    self.machines[worker].close_connections(closed);
                }
            }
            Action::SendToPeer { .. } | Action::Log(_) => {}
        }
    }

    fn send_attempt(&mut self, dispatcher: usize, id: u64, worker: &str, timeout: Option<Span>) {
        let Some(worker) = self.worker_number(worker).filter(|worker| *worker < self.machines.len()) else {
            return;
        };
        let Some(request_index) = self.by_id.get(&id).copied() else {
            // The request was answered within this batch, or never received: nothing is sent.
            let number = self.open_requests.get(&id).map_or(0, Vec::len);
            return self.reject_send(dispatcher, id, number);
        };
        let now = self.now;
        let deadline = self.requests[request_index]
            .deadline
            .min(timeout.map_or(Time(i64::MAX), |timeout| now + timeout));
        let number = self.open_requests.get(&id).map_or(0, Vec::len);
        if now >= deadline || number >= self.settings.limits.max_attempts {
            return self.reject_send(dispatcher, id, number);
        }
        self.counts.sent += 1;
        self.checker.attempt_sent(now, dispatcher, worker, id);
        if self.dispatchers[dispatcher].zone != self.machines[worker].zone {
            self.counts.cross_zone += 1;
        }
        let epoch = self.machines[worker].epoch;
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            request_index,
            id,
            number,
            dispatcher,
            worker,
            epoch,
            sent_at: now,
            pending: true,
            at_worker: false,
        });
        self.open_requests.entry(id).or_default().push(attempt);
        self.schedule(deadline, SimEvent::AttemptTimeout(attempt));
        self.connect(attempt);
    }

    fn reject_send(&mut self, dispatcher: usize, id: u64, number: usize) {
        if let Some(all) = self.open_requests.get_mut(&id) {
            // The attempt takes up a number, so that later attempts keep theirs.
            all.push(usize::MAX);
        }
        let closed = !self.by_id.contains_key(&id);
        let end = AttemptEnd {
            request: RequestId(id),
            attempt: number,
            outcome: Outcome::NotSent,
            latency: Span(0),
            closed,
            load: None,
        };
        self.deliver(dispatcher, Event::Outcome(end));
    }

    /// Sends an attempt over an idle connection, or over a new host.
    fn connect(&mut self, attempt: usize) {
        let Attempt { dispatcher, worker, .. } = self.attempts[attempt];
        let delay = self.one_way_delay(dispatcher, worker);
        let idle_timeout = self.scenario.span("connection.idle");
        let now = self.now;
        let machine = &mut self.machines[worker];
        let idle = self.dispatchers[dispatcher].idle_connections.entry(worker).or_default();
        // The log worker closes connections after the idle timeout, and the dispatcher notices.
        let before = idle.len();
        idle.retain(|(since, _)| now - *since < idle_timeout);
        machine.close_connections(before - idle.len());
        if idle.pop().is_some() {
            return self.schedule_after(delay, SimEvent::AttemptArrives(attempt));
        }
        if machine.silent || !self.reachable(dispatcher, worker) {
            let wait = self.scenario.span("connection.timeout");
            return self.schedule_after(wait, SimEvent::AttemptEnds(attempt, Outcome::NoConnection));
        }
        let machine = &mut self.machines[worker];
        if !machine.up || machine.connections >= self.scenario.count("connection.most") {
            return self.schedule_after(delay + delay, SimEvent::AttemptEnds(attempt, Outcome::NoConnection));
        }
        machine.connections += 1;
        machine.worker.advance(now);
        machine.worker.add_overhead(self.scenario.get("connection.opening") / 1000.0);
        self.counts.openings += 1;
        self.plan_worker_step(worker);
        let round_trips = self.scenario.count("connection.turns") as i64;
        self.schedule_after(Span(delay.0 * (1 + 2 * round_trips)), SimEvent::AttemptArrives(attempt));
    }

    /// Handles the arrival of an attempt's last byte at its log worker.
    fn attempt_arrives(&mut self, attempt: usize) {
        let Attempt { request_index, dispatcher, worker, epoch, pending, .. } = self.attempts[attempt];
        let machine = &self.machines[worker];
        if !pending || machine.silent || !self.reachable(dispatcher, worker) {
            // Cancelled in transit, or the log worker is unreachable, so that the attempt times out.
            return;
        }
        if !machine.up || machine.epoch != epoch {
            let delay = self.one_way_delay(dispatcher, worker);
            return self.schedule_after(delay, SimEvent::AttemptEnds(attempt, Outcome::ConnectionLost));
        }
        let (slots, work, key, class) = {
            let request = &self.requests[request_index];
            (request.slots, request.work, request.key, request.class)
        };
        let now = self.now;
        if self.overloads_worker(attempt) {
            return;
        }
        let machine = &mut self.machines[worker];
        machine.worker.advance(now);
        let job = Job { attempt, slots, work, key, worth: self.scenario.classes[class].get("worth") };
        if machine.draining && self.scenario.is_on("worker.hands-back") || !machine.worker.enqueue(job) {
            self.counts.turned_away += 1;
            let delay = self.one_way_delay(dispatcher, worker);
            return self.schedule_after(delay, SimEvent::AttemptEnds(attempt, Outcome::TurnedAway));
        }
        self.attempts[attempt].at_worker = true;
        self.start_jobs(worker);
    }

    /// Counts a job that reaches a log worker in slow start. Returns true if it overloads the worker, whose process then
    /// ends. Capacity is the rate of jobs that fills all cores, so every job counts with the mean work: no dispatcher
    /// can know which jobs are long.
    fn overloads_worker(&mut self, attempt: usize) -> bool {
        let work = self.scenario.mean_work();
        let Attempt { dispatcher, worker, .. } = self.attempts[attempt];
        let machine = &self.machines[worker];
        if !machine.worker.in_slow_start(self.now) {
            return false;
        }
        let notified =
            self.dispatchers[dispatcher].known_starts.get(&worker) == machine.worker.started.as_ref();
        let capacity = machine.worker.nominal_capacity(self.now);
        if !self.checker.work_arrived(self.now, worker, work, notified, capacity) {
            return false;
        }
        self.counts.overloads += 1;
        // An overloaded log worker doesn't restart.
        self.stop_process(worker, false);
        self.schedule_after(
            self.scenario.span("discovery.notices"),
            SimEvent::DiscoveryUpdate(worker, ListedState::Gone),
        );
        true
    }

    fn start_jobs(&mut self, worker: usize) {
        let now = self.now;
        while let Some((job, phase)) = self.machines[worker].worker.start_next() {
            self.counts.starts += 1;
            if phase == StartPhase::Fetching {
                self.store.advance(now);
                self.store.start_fetch((worker, job.attempt), self.scenario.span("store.fetch"));
                self.plan_store_step();
            }
            let Attempt { dispatcher, .. } = self.attempts[job.attempt];
            if self.reachable(dispatcher, worker) {
                let delay = self.one_way_delay(dispatcher, worker);
                self.schedule_after(delay, SimEvent::StartNoticeArrives(job.attempt));
            }
        }
        self.plan_worker_step(worker);
    }

    fn step_worker(&mut self, worker: usize) {
        let now = self.now;
        self.machines[worker].worker.advance(now);
        for job in self.machines[worker].worker.take_completed() {
            let attempt = &mut self.attempts[job.attempt];
            attempt.at_worker = false;
            let (dispatcher, pending) = (attempt.dispatcher, attempt.pending);
            if pending && self.reachable(dispatcher, worker) {
                let delay = self.one_way_delay(dispatcher, worker);
                self.schedule_after(delay, SimEvent::AttemptEnds(job.attempt, Outcome::Served));
            }
        }
        self.start_jobs(worker);
    }

    fn plan_worker_step(&mut self, worker: usize) {
        let now = self.now;
        let machine = &mut self.machines[worker];
        machine.plan_version += 1;
        let version = machine.plan_version;
        let mut next = machine.worker.next_completion(now);
        if machine.worker.in_slow_start(now) && !machine.worker.is_idle() {
            // Its speed grows in slow start, so the time of completion has to be recomputed in short steps.
            let step = now + STEP;
            next = Some(next.map_or(step, |next| next.min(step)));
        }
        if let Some(next) = next {
            self.schedule(next.max(now + Span(1)), SimEvent::WorkerStep(worker, version));
        }
    }

    fn plan_store_step(&mut self) {
        self.store_version += 1;
        if let Some(next) = self.store.next_completion() {
            self.schedule(next, SimEvent::StoreStep(self.store_version));
        }
    }

    fn step_store(&mut self) {
        let now = self.now;
        self.store.advance(now);
        for (worker, attempt) in self.store.take_completed() {
            self.machines[worker].worker.advance(now);
            self.machines[worker].worker.archive_fetched(attempt);
            self.plan_worker_step(worker);
        }
        self.plan_store_step();
    }

    /// Delivers an attempt's outcome to its dispatcher.
    fn attempt_ends(&mut self, attempt: usize, outcome: Outcome) {
        let now = self.now;
        let ended = &mut self.attempts[attempt];
        if !ended.pending {
            return;
        }
        ended.pending = false;
        let Attempt { id, number, dispatcher, worker, sent_at, epoch, .. } = *ended;
        self.checker.attempt_ended(id, number, outcome);
        let machine = &mut self.machines[worker];
        if machine.epoch == epoch && machine.up {
            if let Outcome::Served | Outcome::TurnedAway | Outcome::Error = outcome {
                self.dispatchers[dispatcher].idle_connections.entry(worker).or_default().push((now, epoch));
            } else if outcome != Outcome::NoConnection {
                machine.close_connections(1);
            }
        }
        if let Outcome::ConnectionLost | Outcome::NoConnection = outcome {
            self.counts.broken_connections += 1;
        }
        if outcome == Outcome::Served {
            // The first answer goes to the client at once, without passing through the policy.
            self.deliver_answer(id, false, true, None);
        }
        let closed = !self.by_id.contains_key(&id);
        let (request, latency) = (RequestId(id), now - sent_at);
        let end = AttemptEnd { request, attempt: number, outcome, latency, closed, load: None };
        self.deliver(dispatcher, Event::Outcome(end));
    }

    fn send_cancel(&mut self, attempt: usize) {
        let Attempt { dispatcher, worker, at_worker, .. } = self.attempts[attempt];
        if at_worker && self.reachable(dispatcher, worker) {
            let delay = self.one_way_delay(dispatcher, worker);
            self.schedule_after(delay, SimEvent::CancelArrives(attempt));
        }
    }

    fn cancel_arrives(&mut self, attempt: usize) {
        let Attempt { worker, at_worker, epoch, .. } = self.attempts[attempt];
        let machine = &mut self.machines[worker];
        if !at_worker || machine.epoch != epoch {
            return;
        }
        machine.worker.advance(self.now);
        if machine.worker.remove_job(attempt, self.scenario.is_on("worker.cancels-running")) {
            self.attempts[attempt].at_worker = false;
            self.store.advance(self.now);
            self.store.cancel_fetches(worker, Some(attempt));
            self.plan_store_step();
            self.start_jobs(worker);
        }
    }

    // Reports and probes.

    fn take_report(&mut self, worker: usize) {
        let now = self.now;
        let (every, noise) = (self.scenario.span("report.every"), self.scenario.get("report.noise"));
        let delay = self.scenario.span("report.late") + self.extra_report_delay;
        let machine = &mut self.machines[worker];
        if machine.up && !machine.worker.paused {
            machine.worker.advance(now);
            let mut noise_factor = || 1.0 + noise * (2.0 * machine.rng.random::<f64>() - 1.0);
            let free = (machine.worker.free_slots() * noise_factor()).max(0.0);
            let util = (machine.worker.utilization() * noise_factor()).clamp(0.0, 1.0);
            let load = LoadReport { free_slots: Some(free), util: Some(util), ..LoadReport::default() };
            machine.reports.push_back((now + delay, load));
        }
        if now < self.end + TAIL {
            self.schedule_after(every, SimEvent::TakeReport(worker));
        }
    }

    fn probe_arrives(&mut self, dispatcher: usize, worker: usize) {
        let now = self.now;
        let machine = &mut self.machines[worker];
        let answers = machine.up && !machine.silent && !machine.worker.paused;
        if !answers || !self.reachable(dispatcher, worker) {
            return self.schedule_after(Span(500_000), SimEvent::ProbeEnds(dispatcher, worker, false));
        }
        let machine = &mut self.machines[worker];
        machine.worker.advance(now);
        machine.worker.add_overhead(self.scenario.get("probe.work") / 1000.0);
        self.plan_worker_step(worker);
        let delay = self.one_way_delay(dispatcher, worker);
        self.schedule_after(delay, SimEvent::ProbeEnds(dispatcher, worker, true));
    }

    fn probe_ends(&mut self, dispatcher: usize, worker: usize, answered: bool) {
        let now = self.now;
        let machine = &mut self.machines[worker];
        while machine.reports.len() > 1 && machine.reports[1].0 <= now {
            machine.reports.pop_front();
        }
        let load = machine.reports.front().filter(|(at, _)| answered && *at <= now).map(|(_, load)| *load);
        let outcome = if answered { Outcome::Served } else { Outcome::NoAnswer };
        let worker = self.worker_names[worker].clone();
        self.deliver(dispatcher, Event::Probed { worker, outcome, latency: Span(1_000), load });
    }

    // Discovery.

    fn listing(&self, worker: usize) -> Listing {
        let (started, readiness) = match self.discovery_view[worker] {
            ListedState::Active(started) => (started, Readiness::InService),
            ListedState::Draining => (self.machines[worker].worker.started, Readiness::Draining),
            ListedState::Gone => (None, Readiness::Gone),
        };
        Listing {
            worker: self.worker_names[worker].clone(),
            kind: "std".into(),
            zone: self.zone_names[self.machines[worker].zone].clone(),
            cell: Some((worker / 8) as u64),
            queues: None,
            started,
            weight: 1.0,
            readiness,
        }
    }

    fn discovery_update(&mut self, worker: usize, state: ListedState) {
        self.discovery_view[worker] = state;
        if self.discovery_outages > 0 {
            // Dispatchers receive the state with the complete list once discovery answers again.
            return;
        }
        let spread = self.scenario.span("discovery.spread").0;
        for dispatcher in 0..self.dispatchers.len() {
            if self.dispatchers[dispatcher].subscribed {
                let delay = Span(self.discovery_rng.random_range(0..=spread.max(1)));
                self.schedule_after(delay, SimEvent::ListChangeArrives(dispatcher, worker));
            }
        }
    }

    fn list_change_arrives(&mut self, dispatcher: usize, worker: usize) {
        if self.dispatchers[dispatcher].subscribed {
            let entries: Arc<[Listing]> = Arc::new([self.listing(worker)]);
            self.deliver(dispatcher, Event::List { scope: ListScope::Changes, entries });
        }
    }

    fn call_discovery(&mut self, dispatcher: usize) {
        self.dispatchers[dispatcher].discovery_call += 1;
        let number = self.dispatchers[dispatcher].discovery_call;
        let timeout = self.scenario.span("discovery.timeout");
        let served = self.discovery_free_at.max(self.now)
            + Span::from_ms(1000.0 / self.scenario.get("discovery.calls"));
        // Calls are served one after another; one that would exceed the timeout takes no service time.
        let fails = self.discovery_outages > 0 || served - self.now > timeout;
        if fails {
            let wait = if self.discovery_outages > 0 { Span(1_000) } else { timeout };
            return self.schedule_after(wait, SimEvent::DiscoveryCallEnds(dispatcher, 0));
        }
        self.discovery_free_at = served;
        self.schedule(served, SimEvent::DiscoveryCallEnds(dispatcher, number));
    }

    fn discovery_call_ends(&mut self, dispatcher: usize, number: u64) {
        if number == 0 || self.discovery_outages > 0 {
            self.dispatchers[dispatcher].subscribed = false;
            return self.deliver(dispatcher, Event::List { scope: ListScope::Failed, entries: Arc::new([]) });
        }
        if self.dispatchers[dispatcher].discovery_call == number {
            self.dispatchers[dispatcher].subscribed = true;
            let listed =
                (0..self.machines.len()).filter(|worker| self.discovery_view[*worker] != ListedState::Gone);
            let entries: Arc<[Listing]> = listed.map(|worker| self.listing(worker)).collect();
            self.deliver(dispatcher, Event::List { scope: ListScope::Complete, entries });
        }
    }

    /// Periodic work: refreshes the state for the omniscient policy, looks for overdue requests and resets connections.
    fn tick(&mut self) {
        let now = self.now;
        if self.policy_reads_truth {
            self.update_truth();
        }
        self.checker.check_overdue(now);
        if self.reset_rate > 0.0 {
            self.reset_connections();
        }
        if now < self.end + TAIL {
            self.schedule_after(STEP, SimEvent::Tick);
        }
    }

    fn update_truth(&self) {
        let now = self.now;
        let mut truth = self.truth.borrow_mut();
        truth.backlog = self.machines.iter().map(|machine| machine.worker.backlog(now)).collect();
        truth.accepts_work =
            self.machines.iter().map(|m| m.up && !m.silent && !m.draining && !m.worker.paused).collect();
        truth.slow_start_budget = self
            .machines
            .iter()
            .map(|m| {
                m.worker
                    .in_slow_start(now)
                    .then(|| self.scenario.get("rules.fall-multiple") * m.worker.nominal_capacity(now))
            })
            .collect();
        truth.archives = self.machines.iter().map(|m| m.worker.archives().to_vec()).collect();
    }

    fn reset_connections(&mut self) {
        let chance = self.reset_rate * STEP.secs();
        let in_use: Vec<usize> = self
            .open_requests
            .values()
            .flatten()
            .copied()
            .filter(|a| self.attempts.get(*a).is_some_and(|a| a.pending))
            .collect();
        for attempt in in_use {
            if self.network.random::<f64>() < chance {
                self.send_cancel(attempt);
                self.attempt_ends(attempt, Outcome::ConnectionLost);
            }
        }
    }

    // Processes.

    /// Ends a log worker's process at once; its jobs are lost. If `silent` is set, the machine drops all traffic, so
    /// that dispatchers see neither resets nor closed connections.
    fn stop_process(&mut self, worker: usize, silent: bool) {
        let now = self.now;
        let machine = &mut self.machines[worker];
        machine.worker.advance(now);
        let lost = machine.worker.terminate();
        (machine.up, machine.silent, machine.draining, machine.connections) = (false, silent, false, 0);
        machine.epoch += 1;
        machine.reports.clear();
        self.store.advance(now);
        self.store.cancel_fetches(worker, None);
        self.plan_store_step();
        self.plan_worker_step(worker);
        for job in lost {
            let attempt = &mut self.attempts[job.attempt];
            attempt.at_worker = false;
            let dispatcher = attempt.dispatcher;
            if !silent && self.reachable(dispatcher, worker) {
                let delay = self.one_way_delay(dispatcher, worker);
                self.schedule_after(delay, SimEvent::AttemptEnds(job.attempt, Outcome::ConnectionLost));
            }
        }
        if !silent {
            // Dispatchers notice that their idle connections are closed.
            self.dispatchers
                .iter_mut()
                .for_each(|dispatcher| drop(dispatcher.idle_connections.remove(&worker)));
        }
    }

    fn start_process(&mut self, worker: usize) {
        let now = self.now;
        let machine = &mut self.machines[worker];
        machine.worker.advance(now);
        (machine.up, machine.silent, machine.draining) = (true, false, false);
        machine.worker.started = Some(now);
        machine.epoch += 1;
        self.dispatchers.iter_mut().for_each(|dispatcher| drop(dispatcher.idle_connections.remove(&worker)));
        self.checker.worker_restarted(worker);
        self.schedule_after(
            self.scenario.span("discovery.notices"),
            SimEvent::DiscoveryUpdate(worker, ListedState::Active(Some(now))),
        );
    }

    fn start_drain(&mut self, worker: usize) {
        if !self.machines[worker].up {
            return;
        }
        self.machines[worker].draining = true;
        self.schedule_after(
            self.scenario.span("discovery.notices"),
            SimEvent::DiscoveryUpdate(worker, ListedState::Draining),
        );
        if self.scenario.is_on("worker.hands-back") {
            self.machines[worker].worker.advance(self.now);
            for job in self.machines[worker].worker.take_waiting() {
                let attempt = &mut self.attempts[job.attempt];
                attempt.at_worker = false;
                let dispatcher = attempt.dispatcher;
                let delay = self.one_way_delay(dispatcher, worker);
                self.schedule_after(delay, SimEvent::AttemptEnds(job.attempt, Outcome::TurnedAway));
            }
        }
    }

    /// Starts a log worker's process anew. If `stop_first` is set, the running process ends first, and the new one starts
    /// a second later.
    fn restart(&mut self, worker: usize, stop_first: bool) {
        if stop_first {
            if self.machines[worker].up {
                self.stop_process(worker, false);
                self.schedule_after(Span(1_000_000), SimEvent::Restart(worker, false));
            }
            return;
        }
        self.start_process(worker);
    }

    // Incidents.

    fn start_incident(&mut self, number: usize) {
        let incident = self.scenario.incidents[number];
        let total = if incident.kind == IncidentKind::HostPause {
            self.dispatchers.len()
        } else {
            self.machines.len()
        };
        let all = draw_affected(self.seed, number, incident.part, total);
        self.affected[number] = all.clone();
        let Incident { size, length, .. } = incident;
        match incident.kind {
            IncidentKind::Crash | IncidentKind::Silent => {
                let silent = incident.kind == IncidentKind::Silent;
                let notices = if silent { "discovery.notices-silence" } else { "discovery.notices" };
                for worker in all.into_iter().filter(|worker| self.machines[*worker].up).collect::<Vec<_>>() {
                    self.stop_process(worker, silent);
                    self.schedule_after(
                        self.scenario.span(notices),
                        SimEvent::DiscoveryUpdate(worker, ListedState::Gone),
                    );
                    self.schedule_after(length, SimEvent::Restart(worker, false));
                }
                return;
            }
            IncidentKind::Rolling => {
                let interval = Span(length.0 / all.len().max(1) as i64);
                for (turn, worker) in all.into_iter().enumerate() {
                    let delay = Span(interval.0 * turn as i64);
                    self.schedule_after(delay, SimEvent::Drain(worker));
                    self.schedule_after(delay + size_span(size), SimEvent::Restart(worker, true));
                }
                return;
            }
            IncidentKind::Slow => {
                self.change_affected(number, |machine| machine.worker.slowdown *= size.max(1e-3))
            }
            IncidentKind::Neighbour => self.toggle_neighbour(number, true),
            // The script reader rejects these incidents for the emulator.
            IncidentKind::DiscoverySilent
            | IncidentKind::DiscoveryOld
            | IncidentKind::Slowed
            | IncidentKind::Kill
            | IncidentKind::Restart => return,
            IncidentKind::Pause => self.change_affected(number, |machine| machine.worker.paused = true),
            IncidentKind::ReportsLate => self.extra_report_delay = self.extra_report_delay + size_span(size),
            IncidentKind::Resets => self.reset_rate += size,
            IncidentKind::ZoneCut => self.zone_cuts += 1,
            IncidentKind::Costly => self.make_costly(incident),
            IncidentKind::DiscoveryGone => {
                self.discovery_outages += 1;
                for dispatcher in 0..self.dispatchers.len() {
                    if std::mem::take(&mut self.dispatchers[dispatcher].subscribed) {
                        self.deliver(
                            dispatcher,
                            Event::List { scope: ListScope::Failed, entries: Arc::new([]) },
                        );
                    }
                }
            }
            IncidentKind::HostPause => {
                for dispatcher in all {
                    self.dispatchers[dispatcher].paused = true;
                    self.dispatchers[dispatcher].paused_until = self.now + length;
                    for id in self.open_requests.keys().copied().collect::<Vec<_>>() {
                        self.exempt_if_paused(dispatcher, id);
                    }
                }
            }
        }
        self.schedule_after(length, SimEvent::IncidentEnds(number));
    }

    /// Raises the work of the planned requests that the incident affects. The draw goes by a request's number, so that it
    /// doesn't depend on the order of events.
    fn make_costly(&mut self, incident: Incident) {
        for (number, request) in self.requests.iter_mut().enumerate() {
            if is_costly(self.seed, number, request.intended_at, &incident) {
                request.work *= incident.size;
            }
        }
    }

    /// Applies a change to the log workers that an incident affects.
    fn change_affected(&mut self, number: usize, change: impl Fn(&mut Machine)) {
        for worker in self.affected[number].clone() {
            self.machines[worker].worker.advance(self.now);
            change(&mut self.machines[worker]);
            self.start_jobs(worker);
        }
    }

    /// Switches the CPU steal of a noisy neighbour: on for a second, then off for a second.
    fn toggle_neighbour(&mut self, number: usize, on: bool) {
        let incident = self.scenario.incidents[number];
        let finished = self.now >= Time(0) + incident.at + incident.length;
        let cpu_steal = if on && !finished { incident.size.clamp(0.0, 0.99) } else { 0.0 };
        self.change_affected(number, |machine| machine.worker.cpu_steal = cpu_steal);
        if !finished {
            self.schedule_after(Span(1_000_000), SimEvent::ToggleNeighbour(number, !on));
        }
    }

    fn end_incident(&mut self, number: usize) {
        let Incident { kind, size, .. } = self.scenario.incidents[number];
        match kind {
            IncidentKind::Slow => {
                self.change_affected(number, |machine| machine.worker.slowdown /= size.max(1e-3))
            }
            IncidentKind::Pause => self.change_affected(number, |machine| machine.worker.paused = false),
            IncidentKind::ReportsLate => self.extra_report_delay = self.extra_report_delay - size_span(size),
            IncidentKind::Resets => self.reset_rate = (self.reset_rate - size).max(0.0),
            IncidentKind::ZoneCut => self.zone_cuts -= 1,
            IncidentKind::DiscoveryGone => self.discovery_outages -= 1,
            IncidentKind::HostPause => {
                for dispatcher in self.affected[number].clone() {
                    self.dispatchers[dispatcher].paused = false;
                    self.plan_batch(dispatcher, self.now);
                }
            }
            IncidentKind::Neighbour => self.toggle_neighbour(number, false),
            IncidentKind::Crash | IncidentKind::Silent | IncidentKind::Rolling | IncidentKind::Costly => {}
            IncidentKind::DiscoverySilent
            | IncidentKind::DiscoveryOld
            | IncidentKind::Slowed
            | IncidentKind::Kill
            | IncidentKind::Restart => {}
        }
    }

    // Report.

    fn report(&self, kind: PolicyKind, seed: u64) -> Report {
        let mut in_time = vec![false; self.requests.len()];
        for (request, _, timely, _) in &self.served {
            in_time[*request] = *timely;
        }
        let requests = self.requests.iter().zip(in_time);
        let asked: Vec<JobResult> = requests
            .map(|(request, in_time)| JobResult { class: request.class, at: request.intended_at, in_time })
            .collect();
        let score = Score::from_jobs(&self.scenario, &asked);
        let classes = self.scenario.classes.iter().enumerate().map(|(number, class)| ClassReport {
            name: class.name.clone(),
            jobs: asked.iter().filter(|job| job.class == number).count(),
            late: self.served.iter().filter(|s| self.requests[s.0].class == number && !s.2).count(),
            service: score.classes[number],
        });
        let quantile = |q: f64| self.latency.value_at_quantile(q) as f64 / 1000.0;
        let violations: BTreeMap<String, u64> = RULES
            .iter()
            .map(|rule: &Rule| (rule.name().to_owned(), self.checker.violations(*rule)))
            .collect();
        Report {
            policy: kind.name().into(),
            seed,
            service: score.service,
            whole: score.whole,
            worst_window: score.worst_window,
            worst_class: score.worst_class,
            windows: score.windows,
            classes: classes.collect(),
            jobs: self.requests.len(),
            served: self.served.len(),
            refused: self.refused,
            failed: self.failed,
            retries: self.counts.retries,
            sent: self.counts.sent,
            turned_away: self.counts.turned_away,
            broken_connections: self.counts.broken_connections,
            cross_zone: self.counts.cross_zone,
            openings: self.counts.openings,
            probes: self.counts.probes,
            fetches: self.store.fetches_started,
            starts: self.counts.starts,
            falls: self.counts.overloads,
            mean_ms: self.latency.mean() / 1000.0,
            p50_ms: quantile(0.5),
            p99_ms: quantile(0.99),
            spread: coefficient_of_variation(
                &self.machines.iter().map(|m| m.worker.core_seconds).collect::<Vec<_>>(),
            ),
            rules: violations,
            first_broken: self.checker.first_violations().to_vec(),
        }
    }
}

/// An incident's size, given in seconds, as a span.
fn size_span(seconds: f64) -> Span {
    Span::from_ms(seconds * 1000.0)
}
