//! A referee of the four rules over seeded random event sequences: every action is checked when it is taken.

mod common;

use std::collections::BTreeMap;

use common::*;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use rookspoke_decisions::*;

#[derive(Clone)]
struct Try {
    worker: usize,
    sent: Time,
    out: bool,
    may_have_run: bool,
}

struct Ask {
    class: usize,
    deadline: Time,
    answered: bool,
    tries: Vec<Try>,
}

struct World {
    s: Settings,
    now: Time,
    rng: SmallRng,
    told: BTreeMap<usize, Listing>,
    left: BTreeMap<usize, Time>,
    asks: BTreeMap<u64, Ask>,
    timers: Vec<Time>,
    cold_sends: BTreeMap<usize, Vec<Time>>,
    counts: BTreeMap<&'static str, u32>,
}

fn number(worker: &str) -> usize {
    worker[1..].parse().expect("a worker of this test")
}

impl World {
    fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    fn referee(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { request, worker, .. } => self.referee_send(request.0, number(&worker)),
                Action::Cancel { request, attempt } => {
                    assert!(self.s.limits.cancel, "cancel is not permitted");
                    assert!(attempt < self.asks[&request.0].tries.len(), "no such attempt");
                }
                Action::Refuse { request, .. } => {
                    let ask = self.asks.get_mut(&request.0).expect("a known request");
                    assert!(!ask.answered, "rule 1: answered twice");
                    // A client's new try comes up to `max_retry_after` later, with the same key.
                    let again = self.now + self.s.limits.max_retry_after;
                    let repeatable = |t: &Try| match self.s.classes[ask.class].effect {
                        Effect::Safe => true,
                        Effect::Keyed { group, window } => group == Group::All && again - t.sent <= window,
                        Effect::Unsafe => false,
                    };
                    let mut ran = ask.tries.iter().filter(|t| t.out || t.may_have_run);
                    assert!(ran.all(repeatable), "rule 2: refused though it may have run");
                    ask.answered = true;
                    self.count("refused");
                }
                Action::Fail { request, .. } => {
                    let ask = self.asks.get_mut(&request.0).expect("a known request");
                    assert!(!ask.answered, "rule 1: answered twice");
                    ask.answered = true;
                    self.count("failed");
                }
                Action::SetTimer { at, .. } => self.timers.push(at),
                Action::Probe(worker) => {
                    assert!(self.told.contains_key(&number(&worker)), "probe of a worker never listed");
                }
                _ => {}
            }
        }
    }

    fn referee_send(&mut self, id: u64, worker: usize) {
        let ask = self.asks.get_mut(&id).expect("a known request");
        assert!(!ask.answered && self.now < ask.deadline, "rule 1: sent after the end");
        assert!(ask.tries.len() < self.s.limits.max_attempts, "rule 1: too many attempts");
        let out = ask.tries.iter().any(|t| t.out);
        assert!(!out || self.s.limits.second_copies, "rule 2: two attempts out");
        let told = self.told.get(&worker).expect("a listed worker");
        for t in ask.tries.iter().filter(|t| t.out || t.may_have_run) {
            match self.s.classes[ask.class].effect {
                Effect::Safe => {}
                Effect::Unsafe => panic!("rule 2: an unsafe request sent again"),
                Effect::Keyed { group, window } => {
                    let first = &self.told[&t.worker];
                    let same = match group {
                        Group::All => true,
                        Group::Zone => first.zone == told.zone,
                        Group::Cell => first.cell == told.cell,
                    };
                    assert!(same, "rule 2: a keyed request left its group");
                    assert!(self.now - t.sent <= window, "rule 2: a keyed request outlived its window");
                }
            }
        }
        if let Some(left) = self.left.get(&worker) {
            assert!(self.now - *left <= self.s.rules.drain_grace, "rule 3: sent to a draining worker");
        }
        ask.tries.push(Try { worker, sent: self.now, out: true, may_have_run: false });
        let repeat = ask.tries.len() > 1;
        self.count(if repeat { "sent again" } else { "sent" });
        self.referee_cold(worker);
    }

    /// Rule 4 with every job as long as the module's mean (all outcomes of this test take 400 ms).
    fn referee_cold(&mut self, worker: usize) {
        let rules = self.s.rules;
        let Some(started) = self.told[&worker].started.filter(|at| self.now - *at < rules.ramp) else {
            return;
        };
        let part = (self.now - started).secs() / rules.ramp.secs();
        let now = self.now;
        let sends = self.cold_sends.entry(worker).or_default();
        sends.retain(|at| now - *at < rules.overload_window && *at >= started);
        sends.push(now);
        let work = sends.len() as f64 * 0.4;
        let budget =
            rules.overload_multiple * (rules.initial_capacity + (1.0 - rules.initial_capacity) * part) * 8.0;
        assert!(work <= (budget * rules.overload_window.secs()).max(0.4), "rule 4: {work} over {budget}");
        self.count("sent cold");
    }

    fn answers_in_time(&self) {
        for (id, ask) in &self.asks {
            let limit = ask.deadline + self.s.rules.answer_slack;
            assert!(ask.answered || self.now <= limit, "rule 1: {id} has no answer");
        }
    }

    /// Changes a worker at random and tells of it, late or at once.
    fn change_list(&mut self) -> Event {
        let at = self.rng.random_range(0..12);
        let mut entry = self.told.get(&at).cloned().unwrap_or_else(|| listing(at));
        match self.rng.random_range(0..4) {
            0 => entry.readiness = Readiness::Draining,
            1 => entry.readiness = Readiness::Gone,
            _ => {
                entry.readiness = Readiness::InService;
                entry.started = Some(self.now - Span::from_ms(self.rng.random_range(0.0..3000.0)));
            }
        }
        self.told.insert(at, entry.clone());
        match entry.readiness {
            Readiness::InService => drop(self.left.remove(&at)),
            _ => drop(self.left.entry(at).or_insert(self.now)),
        }
        self.count("list changes");
        list_event(ListScope::Changes, vec![entry])
    }

    fn outcome(&mut self) -> Option<Event> {
        let open: Vec<(u64, usize)> = self
            .asks
            .iter()
            .flat_map(|(id, a)| (0..a.tries.len()).filter(|t| a.tries[*t].out).map(|t| (*id, t)))
            .collect();
        let (id, attempt) = *open.get(self.rng.random_range(0..open.len().max(1)))?;
        let outcome = match self.rng.random_range(0..12) {
            0..=4 => Outcome::Served,
            5 => Outcome::Error,
            6 | 7 => Outcome::TurnedAway,
            8 => Outcome::NoAnswer,
            9 => Outcome::NoConnection,
            10 => Outcome::ConnectionLost,
            _ => Outcome::Cancelled,
        };
        let ask = self.asks.get_mut(&id)?;
        let t = &mut ask.tries[attempt];
        (t.out, t.may_have_run) = (false, !outcome.proves_no_run());
        ask.answered |= outcome == Outcome::Served;
        let closed = ask.answered;
        let load = if self.rng.random_bool(0.5) {
            free_slots_report(self.rng.random_range(0..=8) as f64)
        } else {
            None
        };
        Some(outcome_event(id, attempt, outcome, closed, load))
    }
}

fn play(seed: u64, s: Settings) -> BTreeMap<&'static str, u32> {
    let mut d = Dispatcher::new(s.clone(), seed).expect("settings");
    let told: BTreeMap<usize, Listing> = (0..12).map(|at| (at, listing(at))).collect();
    let mut w = World {
        s,
        now: Time::from_ms(500.0),
        rng: SmallRng::seed_from_u64(seed),
        told,
        left: BTreeMap::new(),
        asks: BTreeMap::new(),
        timers: Vec::new(),
        cold_sends: BTreeMap::new(),
        counts: BTreeMap::new(),
    };
    let mut out = Vec::new();
    d.handle(w.now, list_event(ListScope::Remembered, w.told.values().cloned().collect()), &mut out);
    w.referee(std::mem::take(&mut out));
    for step in 0..4000u64 {
        w.now = w.now + Span::from_ms(4.0);
        let due = w.timers.iter().filter(|at| **at <= w.now).count();
        w.timers.retain(|at| *at > w.now);
        for _ in 0..due {
            d.handle(w.now, Event::Timer(0), &mut out);
            w.referee(std::mem::take(&mut out));
        }
        w.answers_in_time();
        let event = match w.rng.random_range(0..20) {
            0..=7 => {
                let class = w.rng.random_range(0..w.s.classes.len());
                let deadline = w.now + Span::from_ms(w.rng.random_range(2.0..3000.0));
                w.asks.insert(step, Ask { class, deadline, answered: false, tries: Vec::new() });
                let key = format!("k{}", w.rng.random_range(0..6));
                Some(request_event(step, class, w.rng.random_bool(0.9).then_some(key.as_str()), deadline))
            }
            8..=15 => w.outcome(),
            16 => Some(w.change_list()),
            17 => {
                let complete: Vec<Listing> =
                    w.told.values().filter(|l| l.readiness != Readiness::Gone).cloned().collect();
                Some(list_event(ListScope::Complete, complete))
            }
            18 => Some(list_event(ListScope::Failed, Vec::new())),
            _ => {
                let id = w.rng.random_range(0..step.max(1));
                w.asks.get(&id).filter(|a| !a.tries.is_empty()).map(|a| Event::AttemptUpdate {
                    request: RequestId(id),
                    attempt: a.tries.len() - 1,
                    update: AttemptUpdate::Started,
                })
            }
        };
        if let Some(event) = event {
            d.handle(w.now, event, &mut out);
            w.referee(std::mem::take(&mut out));
        }
    }
    w.counts
}

#[test]
fn rules_hold_over_random_days() {
    let window = Span::from_ms(900.0);
    let keyed = |group| Effect::Keyed { group, window };
    let effects = [Effect::Safe, Effect::Unsafe, keyed(Group::All), keyed(Group::Zone), keyed(Group::Cell)];
    let mut seen: BTreeMap<&'static str, u32> = BTreeMap::new();
    for seed in 0..24 {
        let mut s = settings(&effects);
        s.limits.second_copies = seed % 2 == 0;
        s.limits.cancel = seed % 3 != 0;
        s.limits.max_retry_after = Span::from_ms(if seed % 2 == 0 { 100.0 } else { 2000.0 });
        s.discovery = if seed % 4 < 2 { Discovery::Automatic } else { Discovery::Subscribe };
        s.reporting = if seed % 5 == 0 { Reporting::Probe } else { Reporting::Answers };
        for (what, n) in play(seed, s) {
            *seen.entry(what).or_default() += n;
        }
    }
    for what in ["sent", "sent again", "sent cold", "refused", "failed", "list changes"] {
        assert!(seen.get(what).is_some_and(|n| *n > 50), "{what} hardly seen: {seen:?}");
    }
}

#[test]
fn all_dispatchers_together_stay_within_a_cold_workers_budget() {
    for dispatchers in [1, 7, 40, 150] {
        let start = Time::from_ms(10_000.0);
        let mut hosts: Vec<Host> = (0..dispatchers)
            .map(|me| {
                let mut s = settings(&[Effect::Safe]);
                (s.dispatcher_index, s.dispatchers) = (me, dispatchers);
                let mut host = Host::new(s, 0);
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
        assert!(sends.len() > 20, "{dispatchers}: a cold worker gets work: {}", sends.len());
        for (at, from) in sends.iter().enumerate() {
            let work = sends[at..].iter().take_while(|ms| **ms < from + 1000.0).count() as f64 * 0.4;
            let share = 0.14 + 0.86 * (from - start.ms()) / 20_000.0;
            assert!(
                work <= 3.0 * share * 8.0,
                "{dispatchers}: {work} s of work in a second at share {share}"
            );
        }
    }
}
