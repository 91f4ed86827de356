//! The model: everything that a dispatcher meets, in simulated time.
//!
//! One queue of events, ordered by time and by when they were put in. A run takes a [`Scenario`], a policy and a
//! seed, and gives a [`Report`]; the same three always give the same report.

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

pub use draw::{arrivals, hit, is_costly, make, Arrival};
pub use store::Store;
pub use worker::{Begins, Job, Make, Order, Worker};

use crate::check::{Checker, Figures, Rule, RULES};
use crate::policy::{Baseline, Policy, PolicyKind, SharedGroundTruth};
use crate::report::{coefficient_of_variation, ClassReport, JobResult, Report, Score};
use crate::rng::{stream, Stream};
use crate::scenario::{Incident, IncidentKind, Scenario};
use fleet::{Machine, Seat};

/// How often a cold log worker's speed is taken anew, and the truth brought up to date.
const STEP: Span = Span(100_000);
/// After the last arrival the run goes on for this long, so that all gets its answer.
const TAIL: Span = Span(25_000_000);

#[derive(Clone, Copy, Debug)]
enum What {
    Arrive(usize),
    Taken(usize),
    Batch(usize),
    Reach(usize),
    Ended(usize, Outcome),
    Started(usize),
    WorkerStep(usize, u64),
    StoreStep(u64),
    Report(usize),
    ProbeReach(usize, usize),
    Probed(usize, usize, bool),
    TimedOut(usize),
    GivenUp(usize),
    CancelReach(usize),
    Tick,
    Notice(usize, Seen),
    CallServed(usize, u64),
    News(usize, usize),
    Begin(usize),
    Finish(usize),
    Toggle(usize, bool),
    Drain(usize),
    Restart(usize, bool),
}

/// What discovery sees of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Seen {
    Active(Option<Time>),
    Draining,
    Gone,
}

struct Call {
    class: usize,
    key: u64,
    slots: f64,
    work: f64,
    /// When its client first meant to send it.
    asked: Time,
    zone: usize,
    tries: usize,
    /// Its present try.
    deadline: Time,
    seat: usize,
    id: u64,
    /// The first try's client has an answer, or has given up for good.
    over: bool,
}

struct Attempt {
    call: usize,
    id: u64,
    number: usize,
    seat: usize,
    worker: usize,
    epoch: u64,
    sent: Time,
    /// Its outcome has not reached the dispatcher.
    out: bool,
    /// Its log worker holds it.
    held: bool,
}

/// What one run counted.
#[derive(Debug, Default)]
struct Counts {
    sent: u64,
    probes: u64,
    openings: u64,
    cross: u64,
    turned_away: u64,
    broken: u64,
    retries: u64,
    starts: u64,
    falls: u64,
}

/// One run.
pub struct Day {
    s: Scenario,
    seed: u64,
    now: Time,
    end: Time,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    payload: BTreeMap<u64, What>,
    put: u64,
    seats: Vec<Seat>,
    policies: Vec<Box<dyn Policy>>,
    machines: Vec<Machine>,
    store: Store,
    store_version: u64,
    calls: Vec<Call>,
    by_id: BTreeMap<u64, usize>,
    next_id: u64,
    attempts: Vec<Attempt>,
    /// Attempts of a try that is under way at a dispatcher, by the try's id.
    open: BTreeMap<u64, Vec<usize>>,
    checker: Checker,
    truth: SharedGroundTruth,
    /// Somebody looks at it.
    sees_truth: bool,
    clients: SmallRng,
    network: SmallRng,
    discovery_rng: SmallRng,
    retry_rng: SmallRng,
    /// Discovery's view: what it would say of each log worker.
    view: Vec<Seen>,
    discovery_gone: u32,
    discovery_free: Time,
    cut: u32,
    late_reports: Span,
    resets: f64,
    hit: Vec<Vec<usize>>,
    counts: Counts,
    served: Vec<(usize, Time, bool, f64)>,
    latency: Histogram<u64>,
    refused: u64,
    failed: u64,
    names: Vec<Name>,
    zones: Vec<Name>,
    settings: Arc<Settings>,
}

/// The settings that a scenario's dispatchers are told.
pub fn settings(s: &Scenario, number: usize) -> Settings {
    let zones: Vec<Name> = (0..s.count("zones")).map(zone_name).collect();
    let classes = s.classes.iter().map(|class| rookspoke_decisions::Class {
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
        dispatchers: s.count("dispatchers"),
        zone: zone_name(number % s.count("zones")),
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
        quantum: s.span("tick"),
        limits: Limits {
            cancel: true,
            probes: s.is_on("limits.probes"),
            second_copies: s.is_on("limits.second-copies"),
            retry_after: s.is_on("limits.advice"),
            max_retry_after: Span(2_000_000),
            max_attempts: s.count("limits.attempts"),
        },
        rules: Rules {
            answer_slack: s.span("rules.answer-slack"),
            ask_every: s.span("rules.ask-every"),
            drain_grace: s.span("rules.drain-grace"),
            initial_capacity: s.get("rules.cold-from"),
            ramp: s.span("rules.cold-for"),
            overload_multiple: s.get("rules.fall-multiple"),
            overload_window: s.span("rules.fall-span"),
        },
    }
}

fn zone_name(number: usize) -> Name {
    format!("z{number}").into()
}

/// Plays a scenario.
///
/// # Errors
/// The scenario's settings make no sense to the decisions.
pub fn play(scenario: &Scenario, kind: PolicyKind, seed: u64) -> Result<Report, SettingsError> {
    let mut day = Day::new(scenario, kind, seed)?;
    day.run();
    Ok(day.report(kind, seed))
}

impl Day {
    fn new(s: &Scenario, kind: PolicyKind, seed: u64) -> Result<Self, SettingsError> {
        let (workers, dispatchers, zones) = (s.count("workers"), s.count("dispatchers"), s.count("zones"));
        let truth = SharedGroundTruth::default();
        let mut all: Vec<Box<dyn Policy>> = Vec::new();
        for number in 0..dispatchers {
            let own_seed = stream(seed, Stream::Policy, number as u64).random();
            let rng = stream(seed, Stream::Policy, (number + dispatchers) as u64);
            all.push(kind.build(&settings(s, number), own_seed, rng, &truth)?);
        }
        let machines = (0..workers).map(|number| {
            let rng = stream(seed, Stream::Report, number as u64);
            Machine::new(Worker::new(make(s, seed, number)), number % zones, rng)
        });
        let mut day = Day {
            now: Time(0),
            end: Time(0) + s.span("length"),
            events: BinaryHeap::new(),
            payload: BTreeMap::new(),
            put: 0,
            seats: (0..dispatchers).map(|number| Seat::new(number % zones)).collect(),
            policies: all,
            machines: machines.collect(),
            store: Store::new(s.get("store.together")),
            store_version: 0,
            calls: Vec::new(),
            by_id: BTreeMap::new(),
            next_id: 1,
            attempts: Vec::new(),
            open: BTreeMap::new(),
            checker: Checker::new(Figures {
                answer_slack: s.span("rules.answer-slack"),
                drain_grace: s.span("rules.drain-grace"),
                fall_multiple: s.get("rules.fall-multiple"),
                fall_span: s.span("rules.fall-span"),
                alone: !s.is_on("limits.second-copies"),
            }),
            truth: Rc::clone(&truth),
            sees_truth: kind == PolicyKind::Baseline(Baseline::Top),
            clients: stream(seed, Stream::Clients, 0),
            network: stream(seed, Stream::Network, 0),
            discovery_rng: stream(seed, Stream::Discovery, 0),
            retry_rng: stream(seed, Stream::Retry, 0),
            view: vec![Seen::Active(None); workers],
            discovery_gone: 0,
            discovery_free: Time(0),
            cut: 0,
            late_reports: Span(0),
            resets: 0.0,
            hit: vec![Vec::new(); s.incidents.len()],
            counts: Counts::default(),
            served: Vec::new(),
            // Three digits, from 1 us to an hour.
            latency: Histogram::new_with_bounds(1, 3_600_000_000, 3)
                .unwrap_or_else(|_| unreachable!("bounds that hold")),
            refused: 0,
            failed: 0,
            names: (0..workers).map(|n| Name::from(format!("w-{n:06}"))).collect(),
            zones: (0..zones).map(zone_name).collect(),
            settings: Arc::new(settings(s, 0)),
            s: s.clone(),
            seed,
        };
        day.begin();
        Ok(day)
    }

    fn put(&mut self, at: Time, what: What) {
        self.put += 1;
        self.payload.insert(self.put, what);
        self.events.push(Reverse((at.max(self.now), self.put)));
    }

    fn after(&mut self, span: Span, what: What) {
        self.put(self.now + span, what);
    }

    fn begin(&mut self) {
        let remembered: Arc<[Listing]> = (0..self.machines.len()).map(|w| self.listing(w)).collect();
        for seat in 0..self.seats.len() {
            self.tell(seat, Event::List { scope: ListScope::Remembered, entries: remembered.clone() });
        }
        self.plan_arrivals();
        for worker in 0..self.machines.len() {
            // Not all in the same moment.
            let first = self.machines[worker].rng.random_range(0..=self.s.span("report.every").0);
            self.put(Time(first), What::Report(worker));
        }
        for incident in 0..self.s.incidents.len() {
            self.put(Time(0) + self.s.incidents[incident].at, What::Begin(incident));
        }
        self.put(Time(0), What::Tick);
    }

    /// All arrivals, drawn before anything happens: they do not wait for answers.
    fn plan_arrivals(&mut self) {
        for Arrival { class, key, slots, work, asked, zone } in
            arrivals(&self.s, self.seed, &mut self.clients)
        {
            let call = Call {
                class,
                key,
                slots,
                work,
                asked,
                zone,
                tries: 0,
                deadline: asked,
                seat: 0,
                id: 0,
                over: false,
            };
            self.calls.push(call);
            self.put(asked, What::Arrive(self.calls.len() - 1));
        }
    }

    fn run(&mut self) {
        let last = self.end + TAIL;
        while let Some(Reverse((at, number))) = self.events.pop() {
            if at > last {
                break;
            }
            self.now = at;
            if let Some(what) = self.payload.remove(&number) {
                self.happens(what);
            }
        }
        self.now = last;
        self.checker.overdue(last);
    }

    fn happens(&mut self, what: What) {
        match what {
            What::Arrive(call) => self.arrive(call),
            What::Taken(call) => self.taken(call),
            What::Batch(seat) => self.batch(seat),
            What::Reach(attempt) => self.reach(attempt),
            What::Ended(attempt, outcome) => self.ended(attempt, outcome),
            What::Started(attempt) => {
                let a = &self.attempts[attempt];
                if a.out {
                    let (request, attempt, seat) = (RequestId(a.id), a.number, a.seat);
                    self.tell(
                        seat,
                        Event::AttemptUpdate { request, attempt, update: AttemptUpdate::Started },
                    );
                }
            }
            What::WorkerStep(worker, version) => {
                if self.machines[worker].version == version {
                    self.step(worker);
                }
            }
            What::StoreStep(version) => {
                if self.store_version == version {
                    self.step_store();
                }
            }
            What::Report(worker) => self.take_report(worker),
            What::ProbeReach(seat, worker) => self.probe_reach(seat, worker),
            What::Probed(seat, worker, answered) => self.probed(seat, worker, answered),
            What::TimedOut(attempt) => {
                if self.attempts[attempt].out {
                    self.cancel_at_worker(attempt);
                    self.ended(attempt, Outcome::NoAnswer);
                }
            }
            What::GivenUp(call) => self.given_up(call),
            What::CancelReach(attempt) => self.cancel_reach(attempt),
            What::Tick => self.tick(),
            What::Notice(worker, seen) => self.notice(worker, seen),
            What::CallServed(seat, number) => self.call_served(seat, number),
            What::News(seat, worker) => self.news(seat, worker),
            What::Begin(incident) => self.begin_incident(incident),
            What::Finish(incident) => self.finish_incident(incident),
            What::Toggle(incident, on) => self.toggle(incident, on),
            What::Drain(worker) => self.drain(worker),
            What::Restart(worker, first) => self.restart(worker, first),
        }
    }

    // Network.

    fn delay(&mut self, base: Span) -> Span {
        let jitter: f64 = self.network.random::<f64>() * self.s.get("net.jitter");
        Span((base.0 as f64 * (1.0 + jitter)) as i64)
    }

    fn way(&mut self, seat: usize, worker: usize) -> Span {
        let same = self.seats[seat].zone == self.machines[worker].zone;
        self.delay(self.s.span(if same { "net.same" } else { "net.cross" }))
    }

    fn hears(&self, seat: usize, worker: usize) -> bool {
        self.cut == 0 || self.seats[seat].zone == self.machines[worker].zone
    }

    // Clients.

    fn arrive(&mut self, call: usize) {
        // Dispatchers are dealt out over the zones in turn; a zone without one goes to any.
        let (zone, zones, all) = (self.calls[call].zone, self.zones.len(), self.seats.len());
        let near = (all + zones - 1 - zone) / zones;
        let seat = match near {
            0 => self.clients.random_range(0..all),
            near => zone + zones * self.clients.random_range(0..near),
        };
        let time = Span::from_ms(self.s.classes[self.calls[call].class].get("deadline"));
        let id = self.next_id;
        self.next_id += 1;
        let now = self.now;
        let one = &mut self.calls[call];
        (one.seat, one.id, one.deadline) = (seat, id, now + time);
        one.tries += 1;
        self.by_id.insert(id, call);
        let way = self.delay(self.s.span("net.client"));
        self.after(way, What::Taken(call));
    }

    fn taken(&mut self, call: usize) {
        let one = &self.calls[call];
        let (id, seat, deadline) = (one.id, one.seat, one.deadline);
        let effect = self.s.classes[one.class].effect();
        let request = Request {
            idempotency_hash: None,
            id: RequestId(id),
            class: ClassId(one.class),
            tenant: None,
            key: Some(format!("k{}", one.key).into()),
            work: None,
            slots: one.slots,
            memory: 0.0,
            deadline,
        };
        self.open.insert(id, Vec::new());
        self.checker.taken(id, effect, deadline);
        self.excuse(seat, id);
        self.tell(seat, Event::Request(request));
        self.put(deadline + self.s.span("rules.answer-slack") + Span(1), What::GivenUp(call));
    }

    /// A dispatcher that stands still past a job's deadline cannot answer it: that is no policy's fault.
    fn excuse(&mut self, seat: usize, id: u64) {
        let Some(call) = self.by_id.get(&id).map(|call| &self.calls[*call]) else { return };
        let until = self.seats[seat].paused_until + self.settings.quantum;
        if call.seat == seat && self.seats[seat].paused && call.deadline < until {
            self.checker.left(id);
        }
    }

    /// The client's time is up, and the dispatcher has said nothing.
    fn given_up(&mut self, call: usize) {
        let id = self.calls[call].id;
        // A later try has a number of its own, and its own end.
        if self.calls[call].deadline + self.s.span("rules.answer-slack") >= self.now
            || !self.open.contains_key(&id)
        {
            return;
        }
        if self.by_id.remove(&id).is_some() {
            self.checker.overdue(self.now);
            self.calls[call].over = true;
            self.failed += 1;
            let seat = self.calls[call].seat;
            self.tell(seat, Event::ClientGone(RequestId(id)));
        }
    }

    /// A final answer.
    fn answer(&mut self, id: u64, refused: bool, served: bool, advice: Option<Span>) {
        let Some(call) = self.by_id.remove(&id) else { return };
        self.checker.answered(self.now, id, refused);
        let way = self.delay(self.s.span("net.client"));
        let one = &self.calls[call];
        let class = &self.s.classes[one.class];
        if served {
            let took = self.now + way - one.asked;
            let aim = class.get("aim") / 1000.0 + class.get("stretch") * one.work;
            self.served.push((call, one.asked, took.secs() <= aim, took.secs()));
            self.latency.saturating_record(took.0.max(1) as u64);
            self.calls[call].over = true;
            return;
        }
        if refused {
            self.refused += 1;
        } else {
            self.failed += 1;
        }
        let harmless = refused || class.effect() == Effect::Safe;
        if harmless && one.tries <= self.s.count("clients.retries") && self.now < self.end {
            self.counts.retries += 1;
            let wait = self.s.get("clients.back-off") * (0.5 + self.retry_rng.random::<f64>());
            let advice = advice.filter(|_| self.s.is_on("clients.heeds-advice")).unwrap_or(Span(0));
            let wait = Span::from_ms(wait).max(advice) + way + way;
            self.after(wait, What::Arrive(call));
        } else {
            self.calls[call].over = true;
        }
    }

    // Dispatchers.

    /// Puts an event into a dispatcher's next batch.
    fn tell(&mut self, seat: usize, event: Event) {
        if let Event::List { scope, entries } = &event {
            if *scope != ListScope::Failed {
                self.tell_checker(seat, *scope, entries);
            }
        }
        let one = &mut self.seats[seat];
        one.events.push_back(event);
        let at = self.now.max(one.next_batch);
        self.wake(seat, at);
    }

    fn tell_checker(&mut self, seat: usize, scope: ListScope, entries: &[Listing]) {
        let mut named = BTreeSet::new();
        for entry in entries {
            let Some(worker) = self.place(&entry.worker) else { continue };
            named.insert(worker);
            self.checker.told(self.now, seat, worker, entry.readiness == Readiness::InService);
            if let Some(started) = entry.started {
                self.seats[seat].told_start.insert(worker, started);
            }
        }
        if scope == ListScope::Complete {
            for worker in (0..self.machines.len()).filter(|worker| !named.contains(worker)) {
                self.checker.told(self.now, seat, worker, false);
            }
        }
    }

    fn place(&self, name: &str) -> Option<usize> {
        name.strip_prefix("w-").and_then(|digits| digits.parse().ok())
    }

    fn wake(&mut self, seat: usize, at: Time) {
        let one = &mut self.seats[seat];
        let at = at.max(one.next_batch);
        if one.wakes.insert(at) {
            self.put(at, What::Batch(seat));
        }
    }

    fn batch(&mut self, seat: usize) {
        let now = self.now;
        let one = &mut self.seats[seat];
        one.wakes.remove(&now);
        if one.paused || now < one.next_batch {
            return;
        }
        while let Some(first) = one.timers.first().copied().filter(|timer| timer.0 <= now) {
            one.timers.remove(&first);
            one.events.push_back(Event::Timer(first.1));
        }
        if one.events.is_empty() {
            return;
        }
        one.next_batch = now + self.settings.quantum;
        let events: VecDeque<Event> = std::mem::take(&mut one.events);
        let mut actions = Vec::new();
        for event in events {
            self.policies[seat].handle(now, event, &mut actions);
            for action in std::mem::take(&mut actions) {
                self.act(seat, action);
            }
        }
    }

    fn act(&mut self, seat: usize, action: Action) {
        match action {
            Action::Send { request, worker, timeout, .. } => self.send(seat, request.0, &worker, timeout),
            Action::Cancel { request, attempt } => {
                // One that was never sent has no place among the attempts; its end is on the way.
                let which = self.open.get(&request.0).and_then(|all| all.get(attempt)).copied();
                if let Some(attempt) = which.filter(|at| self.attempts.get(*at).is_some_and(|a| a.out)) {
                    self.cancel_at_worker(attempt);
                    self.ended(attempt, Outcome::Cancelled);
                }
            }
            Action::Refuse { request, retry_after, .. } => self.answer(request.0, true, false, retry_after),
            Action::Fail { request, .. } => self.answer(request.0, false, false, None),
            Action::Subscribe | Action::FetchList => self.call_discovery(seat),
            Action::SetTimer { at, token } => {
                self.seats[seat].timers.insert((at, token));
                self.wake(seat, at.max(self.now + Span(1)));
            }
            Action::Probe(worker) => {
                if let Some(worker) = self.place(&worker).filter(|_| self.s.is_on("limits.probes")) {
                    self.counts.probes += 1;
                    let way = self.way(seat, worker);
                    self.after(way, What::ProbeReach(seat, worker));
                }
            }
            Action::CloseIdle(worker) => {
                if let Some(worker) = self.place(&worker) {
                    let closed = self.seats[seat].idle.remove(&worker).map_or(0, |idle| idle.len());
                    self.machines[worker].connections -= closed;
                }
            }
            Action::SendToPeer { .. } | Action::Log(_) => {}
        }
    }

    fn send(&mut self, seat: usize, id: u64, worker: &str, timeout: Option<Span>) {
        let Some(worker) = self.place(worker).filter(|worker| *worker < self.machines.len()) else { return };
        let Some(call) = self.by_id.get(&id).copied() else {
            // Answered in this very batch, or never taken: nothing is sent.
            let number = self.open.get(&id).map_or(0, Vec::len);
            return self.never_sent(seat, id, number);
        };
        let now = self.now;
        let deadline = self.calls[call].deadline.min(timeout.map_or(Time(i64::MAX), |timeout| now + timeout));
        let number = self.open.get(&id).map_or(0, Vec::len);
        if now >= deadline || number >= self.settings.limits.max_attempts {
            return self.never_sent(seat, id, number);
        }
        self.counts.sent += 1;
        self.checker.sent(now, seat, worker, id);
        if self.seats[seat].zone != self.machines[worker].zone {
            self.counts.cross += 1;
        }
        let epoch = self.machines[worker].epoch;
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            call,
            id,
            number,
            seat,
            worker,
            epoch,
            sent: now,
            out: true,
            held: false,
        });
        self.open.entry(id).or_default().push(attempt);
        self.put(deadline, What::TimedOut(attempt));
        self.connect(attempt);
    }

    fn never_sent(&mut self, seat: usize, id: u64, number: usize) {
        if let Some(all) = self.open.get_mut(&id) {
            // It has a number all the same.
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
        self.tell(seat, Event::Outcome(end));
    }

    /// Takes an idle connection, or opens one.
    fn connect(&mut self, attempt: usize) {
        let Attempt { seat, worker, .. } = self.attempts[attempt];
        let way = self.way(seat, worker);
        let idle = self.s.span("connection.idle");
        let now = self.now;
        let machine = &mut self.machines[worker];
        let kept = self.seats[seat].idle.entry(worker).or_default();
        // The log worker closes them, and that is heard of.
        let before = kept.len();
        kept.retain(|(since, _)| now - *since < idle);
        machine.connections -= before - kept.len();
        if kept.pop().is_some() {
            return self.after(way, What::Reach(attempt));
        }
        if machine.silent || !self.hears(seat, worker) {
            let wait = self.s.span("connection.timeout");
            return self.after(wait, What::Ended(attempt, Outcome::NoConnection));
        }
        let machine = &mut self.machines[worker];
        if !machine.up || machine.connections >= self.s.count("connection.most") {
            return self.after(way + way, What::Ended(attempt, Outcome::NoConnection));
        }
        machine.connections += 1;
        machine.worker.advance(now);
        machine.worker.burden(self.s.get("connection.opening") / 1000.0);
        self.counts.openings += 1;
        self.replan(worker);
        let turns = self.s.count("connection.turns") as i64;
        self.after(Span(way.0 * (1 + 2 * turns)), What::Reach(attempt));
    }

    /// An attempt's last byte reaches its log worker.
    fn reach(&mut self, attempt: usize) {
        let Attempt { call, seat, worker, epoch, out, .. } = self.attempts[attempt];
        let machine = &self.machines[worker];
        if !out || machine.silent || !self.hears(seat, worker) {
            // Called off on the way; or nobody hears it, and its time will run out.
            return;
        }
        if !machine.up || machine.epoch != epoch {
            let way = self.way(seat, worker);
            return self.after(way, What::Ended(attempt, Outcome::ConnectionLost));
        }
        let (slots, work, key, class) = {
            let call = &self.calls[call];
            (call.slots, call.work, call.key, call.class)
        };
        let now = self.now;
        if self.loaded(attempt) {
            return;
        }
        let machine = &mut self.machines[worker];
        machine.worker.advance(now);
        let job = Job { attempt, slots, work, key, worth: self.s.classes[class].get("worth") };
        if machine.draining && self.s.is_on("worker.hands-back") || !machine.worker.take(job) {
            self.counts.turned_away += 1;
            let way = self.way(seat, worker);
            return self.after(way, What::Ended(attempt, Outcome::TurnedAway));
        }
        self.attempts[attempt].held = true;
        self.start(worker);
    }

    /// Counts a job that reaches a cold log worker; true where it falls over. Capacity is the rate of jobs that fills
    /// all cores, so every job counts as a mean one: no dispatcher can know which are long.
    fn loaded(&mut self, attempt: usize) -> bool {
        let work = self.s.mean_work();
        let Attempt { seat, worker, .. } = self.attempts[attempt];
        let machine = &self.machines[worker];
        if !machine.worker.is_cold(self.now) {
            return false;
        }
        let told = self.seats[seat].told_start.get(&worker) == machine.worker.started.as_ref();
        let capacity = machine.worker.nominal(self.now);
        if !self.checker.loads(self.now, worker, work, told, capacity) {
            return false;
        }
        self.counts.falls += 1;
        // It stays down.
        self.stop(worker, false);
        self.after(self.s.span("discovery.notices"), What::Notice(worker, Seen::Gone));
        true
    }

    fn start(&mut self, worker: usize) {
        let now = self.now;
        while let Some((job, begins)) = self.machines[worker].worker.start_next() {
            self.counts.starts += 1;
            if begins == Begins::Fetches {
                self.store.advance(now);
                self.store.begin((worker, job.attempt), self.s.span("store.fetch"));
                self.replan_store();
            }
            let Attempt { seat, .. } = self.attempts[job.attempt];
            if self.hears(seat, worker) {
                let way = self.way(seat, worker);
                self.after(way, What::Started(job.attempt));
            }
        }
        self.replan(worker);
    }

    fn step(&mut self, worker: usize) {
        let now = self.now;
        self.machines[worker].worker.advance(now);
        for job in self.machines[worker].worker.take_done() {
            let attempt = &mut self.attempts[job.attempt];
            attempt.held = false;
            let (seat, out) = (attempt.seat, attempt.out);
            if out && self.hears(seat, worker) {
                let way = self.way(seat, worker);
                self.after(way, What::Ended(job.attempt, Outcome::Served));
            }
        }
        self.start(worker);
    }

    fn replan(&mut self, worker: usize) {
        let now = self.now;
        let machine = &mut self.machines[worker];
        machine.version += 1;
        let version = machine.version;
        let mut next = machine.worker.next_end(now);
        if machine.worker.is_cold(now) && !machine.worker.is_idle() {
            // It speeds up meanwhile.
            let step = now + STEP;
            next = Some(next.map_or(step, |next| next.min(step)));
        }
        if let Some(next) = next {
            self.put(next.max(now + Span(1)), What::WorkerStep(worker, version));
        }
    }

    fn replan_store(&mut self) {
        self.store_version += 1;
        if let Some(next) = self.store.next_end() {
            self.put(next, What::StoreStep(self.store_version));
        }
    }

    fn step_store(&mut self) {
        let now = self.now;
        self.store.advance(now);
        for (worker, attempt) in self.store.take_done() {
            self.machines[worker].worker.advance(now);
            self.machines[worker].worker.fetched(attempt);
            self.replan(worker);
        }
        self.replan_store();
    }

    /// An attempt's outcome reaches its dispatcher.
    fn ended(&mut self, attempt: usize, outcome: Outcome) {
        let now = self.now;
        let a = &mut self.attempts[attempt];
        if !a.out {
            return;
        }
        a.out = false;
        let (id, number, seat, worker, sent, epoch) = (a.id, a.number, a.seat, a.worker, a.sent, a.epoch);
        self.checker.ended(id, number, outcome);
        let machine = &mut self.machines[worker];
        if machine.epoch == epoch && machine.up {
            if let Outcome::Served | Outcome::TurnedAway | Outcome::Error = outcome {
                self.seats[seat].idle.entry(worker).or_default().push((now, epoch));
            } else if outcome != Outcome::NoConnection {
                machine.connections = machine.connections.saturating_sub(1);
            }
        }
        if let Outcome::ConnectionLost | Outcome::NoConnection = outcome {
            self.counts.broken += 1;
        }
        if outcome == Outcome::Served {
            // The first answer goes to the client at once, past the decisions.
            self.answer(id, false, true, None);
        }
        let closed = !self.by_id.contains_key(&id);
        let (request, latency) = (RequestId(id), now - sent);
        let end = AttemptEnd { request, attempt: number, outcome, latency, closed, load: None };
        self.tell(seat, Event::Outcome(end));
    }

    fn cancel_at_worker(&mut self, attempt: usize) {
        let Attempt { seat, worker, held, .. } = self.attempts[attempt];
        if held && self.hears(seat, worker) {
            let way = self.way(seat, worker);
            self.after(way, What::CancelReach(attempt));
        }
    }

    fn cancel_reach(&mut self, attempt: usize) {
        let Attempt { worker, held, epoch, .. } = self.attempts[attempt];
        let machine = &mut self.machines[worker];
        if !held || machine.epoch != epoch {
            return;
        }
        machine.worker.advance(self.now);
        if machine.worker.drop_job(attempt, self.s.is_on("worker.cancels-running")) {
            self.attempts[attempt].held = false;
            self.store.advance(self.now);
            self.store.forget(worker, Some(attempt));
            self.replan_store();
            self.start(worker);
        }
    }

    // Reports and probes.

    fn take_report(&mut self, worker: usize) {
        let now = self.now;
        let (every, noise) = (self.s.span("report.every"), self.s.get("report.noise"));
        let late = self.s.span("report.late") + self.late_reports;
        let machine = &mut self.machines[worker];
        if machine.up && !machine.worker.paused {
            machine.worker.advance(now);
            let mut off = || 1.0 + noise * (2.0 * machine.rng.random::<f64>() - 1.0);
            let free = (machine.worker.free() * off()).max(0.0);
            let util = (machine.worker.util() * off()).clamp(0.0, 1.0);
            let load = LoadReport { free_slots: Some(free), util: Some(util), ..LoadReport::default() };
            machine.reports.push_back((now + late, load));
        }
        if now < self.end + TAIL {
            self.after(every, What::Report(worker));
        }
    }

    fn probe_reach(&mut self, seat: usize, worker: usize) {
        let now = self.now;
        let machine = &mut self.machines[worker];
        let answers = machine.up && !machine.silent && !machine.worker.paused;
        if !answers || !self.hears(seat, worker) {
            return self.after(Span(500_000), What::Probed(seat, worker, false));
        }
        let machine = &mut self.machines[worker];
        machine.worker.advance(now);
        machine.worker.burden(self.s.get("probe.work") / 1000.0);
        self.replan(worker);
        let way = self.way(seat, worker);
        self.after(way, What::Probed(seat, worker, true));
    }

    fn probed(&mut self, seat: usize, worker: usize, answered: bool) {
        let now = self.now;
        let machine = &mut self.machines[worker];
        while machine.reports.len() > 1 && machine.reports[1].0 <= now {
            machine.reports.pop_front();
        }
        let load = machine.reports.front().filter(|(at, _)| answered && *at <= now).map(|(_, load)| *load);
        let outcome = if answered { Outcome::Served } else { Outcome::NoAnswer };
        let worker = self.names[worker].clone();
        self.tell(seat, Event::Probed { worker, outcome, latency: Span(1_000), load });
    }

    // Discovery.

    fn listing(&self, worker: usize) -> Listing {
        let (started, readiness) = match self.view[worker] {
            Seen::Active(started) => (started, Readiness::InService),
            Seen::Draining => (self.machines[worker].worker.started, Readiness::Draining),
            Seen::Gone => (None, Readiness::Gone),
        };
        Listing {
            worker: self.names[worker].clone(),
            kind: "std".into(),
            zone: self.zones[self.machines[worker].zone].clone(),
            cell: Some((worker / 8) as u64),
            started,
            weight: 1.0,
            readiness,
        }
    }

    fn notice(&mut self, worker: usize, seen: Seen) {
        self.view[worker] = seen;
        if self.discovery_gone > 0 {
            // Told to whoever asks once it is back.
            return;
        }
        let spread = self.s.span("discovery.spread").0;
        for seat in 0..self.seats.len() {
            if self.seats[seat].subscribed {
                let way = Span(self.discovery_rng.random_range(0..=spread.max(1)));
                self.after(way, What::News(seat, worker));
            }
        }
    }

    fn news(&mut self, seat: usize, worker: usize) {
        if self.seats[seat].subscribed {
            let entries: Arc<[Listing]> = Arc::new([self.listing(worker)]);
            self.tell(seat, Event::List { scope: ListScope::Changes, entries });
        }
    }

    fn call_discovery(&mut self, seat: usize) {
        self.seats[seat].call += 1;
        let number = self.seats[seat].call;
        let timeout = self.s.span("discovery.timeout");
        let served =
            self.discovery_free.max(self.now) + Span::from_ms(1000.0 / self.s.get("discovery.calls"));
        // Calls wait in turn; one that would wait for too long is not worked on.
        let fails = self.discovery_gone > 0 || served - self.now > timeout;
        if fails {
            let wait = if self.discovery_gone > 0 { Span(1_000) } else { timeout };
            return self.after(wait, What::CallServed(seat, 0));
        }
        self.discovery_free = served;
        self.put(served, What::CallServed(seat, number));
    }

    fn call_served(&mut self, seat: usize, number: u64) {
        if number == 0 || self.discovery_gone > 0 {
            self.seats[seat].subscribed = false;
            return self.tell(seat, Event::List { scope: ListScope::Failed, entries: Arc::new([]) });
        }
        if self.seats[seat].call == number {
            self.seats[seat].subscribed = true;
            let here = (0..self.machines.len()).filter(|worker| self.view[*worker] != Seen::Gone);
            let entries: Arc<[Listing]> = here.map(|worker| self.listing(worker)).collect();
            self.tell(seat, Event::List { scope: ListScope::Complete, entries });
        }
    }

    /// Brings the truth up to date, for the policy that sees it; looks for jobs without an answer.
    fn tick(&mut self) {
        let now = self.now;
        if self.sees_truth {
            self.tell_truth();
        }
        self.checker.overdue(now);
        if self.resets > 0.0 {
            self.reset_some();
        }
        if now < self.end + TAIL {
            self.after(STEP, What::Tick);
        }
    }

    fn tell_truth(&self) {
        let now = self.now;
        let mut truth = self.truth.borrow_mut();
        truth.backlog = self.machines.iter().map(|machine| machine.worker.backlog(now)).collect();
        truth.accepts_work =
            self.machines.iter().map(|m| m.up && !m.silent && !m.draining && !m.worker.paused).collect();
        truth.slow_start_budget = self
            .machines
            .iter()
            .map(|m| m.worker.is_cold(now).then(|| self.s.get("rules.fall-multiple") * m.worker.nominal(now)))
            .collect();
        truth.archives = self.machines.iter().map(|m| m.worker.archives().to_vec()).collect();
    }

    fn reset_some(&mut self) {
        let chance = self.resets * STEP.secs();
        let out: Vec<usize> = self
            .open
            .values()
            .flatten()
            .copied()
            .filter(|a| self.attempts.get(*a).is_some_and(|a| a.out))
            .collect();
        for attempt in out {
            if self.network.random::<f64>() < chance {
                self.cancel_at_worker(attempt);
                self.ended(attempt, Outcome::ConnectionLost);
            }
        }
    }

    // Processes.

    /// The process ends, at once; what it held is lost.
    fn stop(&mut self, worker: usize, silent: bool) {
        let now = self.now;
        let machine = &mut self.machines[worker];
        machine.worker.advance(now);
        let lost = machine.worker.die();
        (machine.up, machine.silent, machine.draining, machine.connections) = (false, silent, false, 0);
        machine.epoch += 1;
        machine.reports.clear();
        self.store.advance(now);
        self.store.forget(worker, None);
        self.replan_store();
        self.replan(worker);
        for job in lost {
            let attempt = &mut self.attempts[job.attempt];
            attempt.held = false;
            let seat = attempt.seat;
            if !silent && self.hears(seat, worker) {
                let way = self.way(seat, worker);
                self.after(way, What::Ended(job.attempt, Outcome::ConnectionLost));
            }
        }
        if !silent {
            // Whoever kept connections hears that they are closed.
            self.seats.iter_mut().for_each(|seat| drop(seat.idle.remove(&worker)));
        }
    }

    fn start_process(&mut self, worker: usize) {
        let now = self.now;
        let machine = &mut self.machines[worker];
        machine.worker.advance(now);
        (machine.up, machine.silent, machine.draining) = (true, false, false);
        machine.worker.started = Some(now);
        machine.epoch += 1;
        self.seats.iter_mut().for_each(|seat| drop(seat.idle.remove(&worker)));
        self.checker.restarts(worker);
        self.after(self.s.span("discovery.notices"), What::Notice(worker, Seen::Active(Some(now))));
    }

    fn drain(&mut self, worker: usize) {
        if !self.machines[worker].up {
            return;
        }
        self.machines[worker].draining = true;
        self.after(self.s.span("discovery.notices"), What::Notice(worker, Seen::Draining));
        if self.s.is_on("worker.hands-back") {
            self.machines[worker].worker.advance(self.now);
            for job in self.machines[worker].worker.hand_back() {
                let attempt = &mut self.attempts[job.attempt];
                attempt.held = false;
                let seat = attempt.seat;
                let way = self.way(seat, worker);
                self.after(way, What::Ended(job.attempt, Outcome::TurnedAway));
            }
        }
    }

    fn restart(&mut self, worker: usize, first: bool) {
        if first {
            if self.machines[worker].up {
                self.stop(worker, false);
                self.after(Span(1_000_000), What::Restart(worker, false));
            }
            return;
        }
        self.start_process(worker);
    }

    // Incidents.

    fn begin_incident(&mut self, number: usize) {
        let incident = self.s.incidents[number];
        let of =
            if incident.kind == IncidentKind::HostPause { self.seats.len() } else { self.machines.len() };
        let all = hit(self.seed, number, incident.part, of);
        self.hit[number] = all.clone();
        let Incident { size, length, .. } = incident;
        match incident.kind {
            IncidentKind::Crash | IncidentKind::Silent => {
                let silent = incident.kind == IncidentKind::Silent;
                let notices = if silent { "discovery.notices-silence" } else { "discovery.notices" };
                for worker in all.into_iter().filter(|worker| self.machines[*worker].up).collect::<Vec<_>>() {
                    self.stop(worker, silent);
                    self.after(self.s.span(notices), What::Notice(worker, Seen::Gone));
                    self.after(length, What::Restart(worker, false));
                }
                return;
            }
            IncidentKind::Rolling => {
                let step = Span(length.0 / all.len().max(1) as i64);
                for (turn, worker) in all.into_iter().enumerate() {
                    let at = Span(step.0 * turn as i64);
                    self.after(at, What::Drain(worker));
                    self.after(at + size_span(size), What::Restart(worker, true));
                }
                return;
            }
            IncidentKind::Slow => self.each(number, |machine| machine.worker.slow *= size.max(1e-3)),
            IncidentKind::Neighbour => self.toggle(number, true),
            // Scripts with these are not read for this stage.
            IncidentKind::DiscoverySilent
            | IncidentKind::DiscoveryOld
            | IncidentKind::Slowed
            | IncidentKind::Kill
            | IncidentKind::Restart => return,
            IncidentKind::Pause => self.each(number, |machine| machine.worker.paused = true),
            IncidentKind::ReportsLate => self.late_reports = self.late_reports + size_span(size),
            IncidentKind::Resets => self.resets += size,
            IncidentKind::ZoneCut => self.cut += 1,
            IncidentKind::Costly => self.make_costly(incident),
            IncidentKind::DiscoveryGone => {
                self.discovery_gone += 1;
                for seat in 0..self.seats.len() {
                    if std::mem::take(&mut self.seats[seat].subscribed) {
                        self.tell(seat, Event::List { scope: ListScope::Failed, entries: Arc::new([]) });
                    }
                }
            }
            IncidentKind::HostPause => {
                for seat in all {
                    self.seats[seat].paused = true;
                    self.seats[seat].paused_until = self.now + length;
                    for id in self.open.keys().copied().collect::<Vec<_>>() {
                        self.excuse(seat, id);
                    }
                }
            }
        }
        self.after(length, What::Finish(number));
    }

    /// Jobs that are yet to come cost more: drawn for each by its place, not by when it comes.
    fn make_costly(&mut self, incident: Incident) {
        for (number, call) in self.calls.iter_mut().enumerate() {
            if is_costly(self.seed, number, call.asked, &incident) {
                call.work *= incident.size;
            }
        }
    }

    fn each(&mut self, number: usize, change: impl Fn(&mut Machine)) {
        for worker in self.hit[number].clone() {
            self.machines[worker].worker.advance(self.now);
            change(&mut self.machines[worker]);
            self.start(worker);
        }
    }

    /// The other program comes and goes by the second.
    fn toggle(&mut self, number: usize, on: bool) {
        let incident = self.s.incidents[number];
        let over = self.now >= Time(0) + incident.at + incident.length;
        let taken = if on && !over { incident.size.clamp(0.0, 0.99) } else { 0.0 };
        self.each(number, |machine| machine.worker.taken = taken);
        if !over {
            self.after(Span(1_000_000), What::Toggle(number, !on));
        }
    }

    fn finish_incident(&mut self, number: usize) {
        let Incident { kind, size, .. } = self.s.incidents[number];
        match kind {
            IncidentKind::Slow => self.each(number, |machine| machine.worker.slow /= size.max(1e-3)),
            IncidentKind::Pause => self.each(number, |machine| machine.worker.paused = false),
            IncidentKind::ReportsLate => self.late_reports = self.late_reports - size_span(size),
            IncidentKind::Resets => self.resets = (self.resets - size).max(0.0),
            IncidentKind::ZoneCut => self.cut -= 1,
            IncidentKind::DiscoveryGone => self.discovery_gone -= 1,
            IncidentKind::HostPause => {
                for seat in self.hit[number].clone() {
                    self.seats[seat].paused = false;
                    self.wake(seat, self.now);
                }
            }
            IncidentKind::Neighbour => self.toggle(number, false),
            IncidentKind::Crash | IncidentKind::Silent | IncidentKind::Rolling | IncidentKind::Costly => {}
            IncidentKind::DiscoverySilent
            | IncidentKind::DiscoveryOld
            | IncidentKind::Slowed
            | IncidentKind::Kill
            | IncidentKind::Restart => {}
        }
    }

    // The figures.

    fn report(&self, kind: PolicyKind, seed: u64) -> Report {
        let mut in_time = vec![false; self.calls.len()];
        for (call, _, timely, _) in &self.served {
            in_time[*call] = *timely;
        }
        let asked = self.calls.iter().zip(in_time);
        let asked: Vec<JobResult> =
            asked.map(|(call, in_time)| JobResult { class: call.class, at: call.asked, in_time }).collect();
        let score = Score::from_jobs(&self.s, &asked);
        let classes = self.s.classes.iter().enumerate().map(|(class, one)| ClassReport {
            name: one.name.clone(),
            jobs: asked.iter().filter(|job| job.class == class).count(),
            late: self.served.iter().filter(|s| self.calls[s.0].class == class && !s.2).count(),
            service: score.classes[class],
        });
        let quantile = |q: f64| self.latency.value_at_quantile(q) as f64 / 1000.0;
        let broken: BTreeMap<String, u64> =
            RULES.iter().map(|rule: &Rule| (rule.name().to_owned(), self.checker.broken(*rule))).collect();
        Report {
            policy: kind.name().into(),
            seed,
            service: score.service,
            whole: score.whole,
            worst_window: score.worst_window,
            worst_class: score.worst_class,
            windows: score.windows,
            classes: classes.collect(),
            jobs: self.calls.len(),
            served: self.served.len(),
            refused: self.refused,
            failed: self.failed,
            retries: self.counts.retries,
            sent: self.counts.sent,
            turned_away: self.counts.turned_away,
            broken_connections: self.counts.broken,
            cross_zone: self.counts.cross,
            openings: self.counts.openings,
            probes: self.counts.probes,
            fetches: self.store.begun,
            starts: self.counts.starts,
            falls: self.counts.falls,
            mean_ms: self.latency.mean() / 1000.0,
            p50_ms: quantile(0.5),
            p99_ms: quantile(0.99),
            spread: coefficient_of_variation(
                &self.machines.iter().map(|m| m.worker.worked).collect::<Vec<_>>(),
            ),
            rules: broken,
            first_broken: self.checker.sentences().to_vec(),
        }
    }
}

fn size_span(seconds: f64) -> Span {
    Span::from_ms(seconds * 1000.0)
}
