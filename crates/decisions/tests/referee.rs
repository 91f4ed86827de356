//! Checks the four rules of [`Rules`] over seeded random event sequences, action by action.

mod common;

use std::collections::BTreeMap;

use common::*;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use rookspoke_decisions::*;

#[derive(Clone)]
struct Attempt {
    worker: usize,
    sent: Time,
    pending: bool,
    may_have_run: bool,
}

struct RequestRecord {
    class: usize,
    deadline: Time,
    answered: bool,
    attempts: Vec<Attempt>,
}

struct RuleChecker {
    settings: Settings,
    now: Time,
    rng: SmallRng,
    listed: BTreeMap<usize, Listing>,
    /// When each worker that is not in service left service.
    draining_since: BTreeMap<usize, Time>,
    requests: BTreeMap<u64, RequestRecord>,
    timers: Vec<Time>,
    slow_start_sends: BTreeMap<usize, Vec<Time>>,
    /// How often each kind of action or event occurred.
    counts: BTreeMap<&'static str, u32>,
}

fn worker_index(worker: &str) -> usize {
    worker[1..].parse().expect("a worker of this test")
}

impl RuleChecker {
    fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    fn check_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { request, worker, .. } => self.check_send(request.0, worker_index(&worker)),
                Action::Cancel { request, attempt } => {
                    assert!(self.settings.limits.cancel, "Cancel though cancellation is not permitted");
                    assert!(
                        attempt < self.requests[&request.0].attempts.len(),
                        "Cancel of an attempt that was not sent"
                    );
                }
                Action::Refuse { request, .. } => {
                    let record = self.requests.get_mut(&request.0).expect("a known request");
                    assert!(!record.answered, "rule 1: answered twice");
                    // The client may retry up to `max_retry_after` later, with the same key.
                    let retry_at = self.now + self.settings.limits.max_retry_after;
                    let repeatable = |attempt: &Attempt| match self.settings.classes[record.class].effect {
                        Effect::Safe => true,
                        Effect::Keyed { group, window } => {
                            group == Group::All && retry_at - attempt.sent <= window
                        }
                        Effect::Unsafe => false,
                    };
                    let mut ran =
                        record.attempts.iter().filter(|attempt| attempt.pending || attempt.may_have_run);
                    assert!(
                        ran.all(repeatable),
                        "rule 2: refused though it may have run and a repeat is not safe"
                    );
                    record.answered = true;
                    self.count("refused");
                }
                Action::Fail { request, .. } => {
                    let record = self.requests.get_mut(&request.0).expect("a known request");
                    assert!(!record.answered, "rule 1: answered twice");
                    record.answered = true;
                    self.count("failed");
                }
                Action::SetTimer { at, .. } => self.timers.push(at),
                Action::Probe(worker) => {
                    assert!(
                        self.listed.contains_key(&worker_index(&worker)),
                        "probe of a worker that was never listed"
                    );
                }
                _ => {}
            }
        }
    }

    fn check_send(&mut self, id: u64, worker: usize) {
        let record = self.requests.get_mut(&id).expect("a known request");
        assert!(
            !record.answered && self.now < record.deadline,
            "rule 1: sent after the answer or the deadline"
        );
        assert!(record.attempts.len() < self.settings.limits.max_attempts, "rule 1: too many attempts");
        let pending = record.attempts.iter().any(|attempt| attempt.pending);
        assert!(!pending || self.settings.limits.second_copies, "rule 2: two attempts pending");
        let listed = self.listed.get(&worker).expect("a listed worker");
        for attempt in record.attempts.iter().filter(|attempt| attempt.pending || attempt.may_have_run) {
            match self.settings.classes[record.class].effect {
                Effect::Safe => {}
                Effect::Unsafe => panic!("rule 2: an unsafe request sent again"),
                Effect::Keyed { group, window } => {
                    let first = &self.listed[&attempt.worker];
                    let same = match group {
                        Group::All => true,
                        Group::Zone => first.zone == listed.zone,
                        Group::Cell => first.cell == listed.cell,
                    };
                    assert!(same, "rule 2: a keyed request was repeated outside its group");
                    assert!(
                        self.now - attempt.sent <= window,
                        "rule 2: a keyed request was repeated after its window"
                    );
                }
            }
        }
        if let Some(since) = self.draining_since.get(&worker) {
            assert!(
                self.now - *since <= self.settings.rules.drain_grace,
                "rule 3: sent to a draining worker"
            );
        }
        record.attempts.push(Attempt { worker, sent: self.now, pending: true, may_have_run: false });
        let repeat = record.attempts.len() > 1;
        self.count(if repeat { "sent again" } else { "sent" });
        self.check_slow_start(worker);
    }

    /// Checks rule 4. Every job takes 400 ms, as all outcomes of these tests do, which is therefore the mean.
    fn check_slow_start(&mut self, worker: usize) {
        let rules = self.settings.rules;
        let Some(started) = self.listed[&worker].started.filter(|at| self.now - *at < rules.ramp) else {
            return;
        };
        let ramp_fraction = (self.now - started).secs() / rules.ramp.secs();
        let now = self.now;
        let sends = self.slow_start_sends.entry(worker).or_default();
        sends.retain(|at| now - *at < rules.overload_window && *at >= started);
        sends.push(now);
        let work = sends.len() as f64 * 0.4;
        let budget = rules.overload_multiple
            * (rules.initial_capacity + (1.0 - rules.initial_capacity) * ramp_fraction)
            * 8.0;
        assert!(
            work <= (budget * rules.overload_window.secs()).max(0.4),
            "rule 4: {work} s of work with a budget of {budget} s per second"
        );
        self.count("sent in slow start");
    }

    fn check_deadlines(&self) {
        for (id, record) in &self.requests {
            let limit = record.deadline + self.settings.rules.answer_slack;
            assert!(record.answered || self.now <= limit, "rule 1: request {id} has no answer");
        }
    }

    /// Changes the state of a random worker, whose start may lie up to 3 s back, and returns the list event.
    fn change_list(&mut self) -> Event {
        let worker = self.rng.random_range(0..12);
        let mut entry = self.listed.get(&worker).cloned().unwrap_or_else(|| listing(worker));
        match self.rng.random_range(0..4) {
            0 => entry.readiness = Readiness::Draining,
            1 => entry.readiness = Readiness::Gone,
            _ => {
                entry.readiness = Readiness::InService;
                entry.started = Some(self.now - Span::from_ms(self.rng.random_range(0.0..3000.0)));
            }
        }
        self.listed.insert(worker, entry.clone());
        match entry.readiness {
            Readiness::InService => drop(self.draining_since.remove(&worker)),
            _ => drop(self.draining_since.entry(worker).or_insert(self.now)),
        }
        self.count("list changes");
        list_event(ListScope::Changes, vec![entry])
    }

    fn outcome(&mut self) -> Option<Event> {
        let pending: Vec<(u64, usize)> = self
            .requests
            .iter()
            .flat_map(|(id, record)| {
                (0..record.attempts.len())
                    .filter(|attempt| record.attempts[*attempt].pending)
                    .map(|attempt| (*id, attempt))
            })
            .collect();
        let (id, attempt) = *pending.get(self.rng.random_range(0..pending.len().max(1)))?;
        let outcome = match self.rng.random_range(0..12) {
            0..=4 => Outcome::Served,
            5 => Outcome::Error,
            6 | 7 => Outcome::TurnedAway,
            8 => Outcome::NoAnswer,
            9 => Outcome::NoConnection,
            10 => Outcome::ConnectionLost,
            _ => Outcome::Cancelled,
        };
        let record = self.requests.get_mut(&id)?;
        let ended = &mut record.attempts[attempt];
        (ended.pending, ended.may_have_run) = (false, !outcome.proves_no_run());
        record.answered |= outcome == Outcome::Served;
        let closed = record.answered;
        let load = if self.rng.random_bool(0.5) {
            free_slots_report(self.rng.random_range(0..=8) as f64)
        } else {
            None
        };
        Some(outcome_event(id, attempt, outcome, closed, load))
    }
}

fn run_random_events(seed: u64, settings: Settings) -> BTreeMap<&'static str, u32> {
    let mut dispatcher = Dispatcher::new(settings.clone(), seed).expect("valid settings");
    let listed: BTreeMap<usize, Listing> = (0..12).map(|index| (index, listing(index))).collect();
    let mut checker = RuleChecker {
        settings,
        now: Time::from_ms(500.0),
        rng: SmallRng::seed_from_u64(seed),
        listed,
        draining_since: BTreeMap::new(),
        requests: BTreeMap::new(),
        timers: Vec::new(),
        slow_start_sends: BTreeMap::new(),
        counts: BTreeMap::new(),
    };
    let mut actions = Vec::new();
    dispatcher.handle(
        checker.now,
        list_event(ListScope::Remembered, checker.listed.values().cloned().collect()),
        &mut actions,
    );
    checker.check_actions(std::mem::take(&mut actions));
    for step in 0..4000u64 {
        checker.now = checker.now + Span::from_ms(4.0);
        let due = checker.timers.iter().filter(|at| **at <= checker.now).count();
        checker.timers.retain(|at| *at > checker.now);
        for _ in 0..due {
            dispatcher.handle(checker.now, Event::Timer(0), &mut actions);
            checker.check_actions(std::mem::take(&mut actions));
        }
        checker.check_deadlines();
        let event = match checker.rng.random_range(0..20) {
            0..=7 => {
                let class = checker.rng.random_range(0..checker.settings.classes.len());
                let deadline = checker.now + Span::from_ms(checker.rng.random_range(2.0..3000.0));
                checker
                    .requests
                    .insert(step, RequestRecord { class, deadline, answered: false, attempts: Vec::new() });
                let key = format!("k{}", checker.rng.random_range(0..6));
                Some(request_event(
                    step,
                    class,
                    checker.rng.random_bool(0.9).then_some(key.as_str()),
                    deadline,
                ))
            }
            8..=15 => checker.outcome(),
            16 => Some(checker.change_list()),
            17 => {
                let complete: Vec<Listing> = checker
                    .listed
                    .values()
                    .filter(|entry| entry.readiness != Readiness::Gone)
                    .cloned()
                    .collect();
                Some(list_event(ListScope::Complete, complete))
            }
            18 => Some(list_event(ListScope::Failed, Vec::new())),
            _ => {
                let id = checker.rng.random_range(0..step.max(1));
                checker.requests.get(&id).filter(|record| !record.attempts.is_empty()).map(|record| {
                    Event::AttemptUpdate {
                        request: RequestId(id),
                        attempt: record.attempts.len() - 1,
                        update: AttemptUpdate::Started,
                    }
                })
            }
        };
        if let Some(event) = event {
            dispatcher.handle(checker.now, event, &mut actions);
            checker.check_actions(std::mem::take(&mut actions));
        }
    }
    checker.counts
}

#[test]
fn the_rules_hold_over_random_events() {
    let window = Span::from_ms(900.0);
    let keyed = |group| Effect::Keyed { group, window };
    let effects = [Effect::Safe, Effect::Unsafe, keyed(Group::All), keyed(Group::Zone), keyed(Group::Cell)];
    let mut totals: BTreeMap<&'static str, u32> = BTreeMap::new();
    for seed in 0..24 {
        let mut settings = settings(&effects);
        settings.limits.second_copies = seed % 2 == 0;
        settings.limits.cancel = seed % 3 != 0;
        settings.limits.max_retry_after = Span::from_ms(if seed % 2 == 0 { 100.0 } else { 2000.0 });
        settings.discovery = if seed % 4 < 2 { Discovery::Automatic } else { Discovery::Subscribe };
        settings.reporting = if seed % 5 == 0 { Reporting::Probe } else { Reporting::Answers };
        for (what, count) in run_random_events(seed, settings) {
            *totals.entry(what).or_default() += count;
        }
    }
    for what in ["sent", "sent again", "sent in slow start", "refused", "failed", "list changes"] {
        assert!(totals.get(what).is_some_and(|count| *count > 50), "{what} occurs too rarely: {totals:?}");
    }
}

#[test]
fn all_dispatchers_together_stay_within_the_budget_of_a_worker_in_slow_start() {
    for dispatchers in [1, 7, 40, 150] {
        let start = Time::from_ms(10_000.0);
        let mut hosts: Vec<Host> = (0..dispatchers)
            .map(|index| {
                let mut settings = settings(&[Effect::Safe]);
                (settings.dispatcher_index, settings.dispatchers) = (index, dispatchers);
                let mut host = Host::new(settings, 0);
                host.now_ms = start.ms();
                host.handle(list_event(
                    ListScope::Complete,
                    vec![Listing { started: Some(start), ..listing(0) }],
                ));
                host
            })
            .collect();
        let (mut sends, mut id) = (Vec::new(), 0);
        for step in 0..1000 {
            let ms = start.ms() + step as f64 * 20.0;
            for host in &mut hosts {
                host.now_ms = ms;
                id += 1;
                if sent_to(&host.submit(id, 0, None)).is_some() {
                    sends.push(ms);
                    host.handle(outcome_event(id, 0, Outcome::Served, true, None));
                }
            }
        }
        assert!(
            sends.len() > 20,
            "{dispatchers} dispatchers: a worker in slow start gets only {} jobs",
            sends.len()
        );
        for (index, from) in sends.iter().enumerate() {
            let work = sends[index..].iter().take_while(|ms| **ms < from + 1000.0).count() as f64 * 0.4;
            let fraction = 0.14 + 0.86 * (from - start.ms()) / 20_000.0;
            assert!(
                work <= 3.0 * fraction * 8.0,
                "{dispatchers} dispatchers: {work} s of work in a second at {fraction} of the capacity"
            );
        }
    }
}
