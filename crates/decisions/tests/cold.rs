//! Cold workers before many dispatchers that press on nothing else: what all of them send together stays within what the
//! settings allow, N, and the spread of chance, and is no small part of it.

mod common;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use common::{list_event, listing, request_event, settings};
use rand::{rngs::SmallRng, Rng, SeedableRng};
use rookspoke_decisions::*;

const WORKERS: usize = 4;
const SLOTS: f64 = 8.0;
const RUN_MS: f64 = 400.0;
const RAMP_MS: f64 = 20_000.0;
const SPAN_MS: f64 = 3_000.0;
const BEGIN_MS: f64 = 1e6;

/// What makes it hard.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Case {
    /// All hear of the start at once and have the same load.
    Even,
    /// One carries four fifths of the load.
    OneCarriesMost,
    /// One in six is restarted after five seconds, and again after ten, with nothing but the list.
    Restarts,
    /// One job in ten is five times the mean.
    Heavy,
    /// The load doubles after eight seconds.
    Step,
}

enum Due {
    Arrives,
    Ends { id: u64, attempt: usize, worker: usize },
    Timer(u64),
    Starts,
}

struct Play {
    dispatchers: Vec<Dispatcher>,
    queue: BinaryHeap<Reverse<(i64, u64, usize)>>,
    due: std::collections::HashMap<u64, Due>,
    next: u64,
    /// For each worker, what was sent to it: when, and how many mean jobs it is worth.
    sent: Vec<Vec<(f64, f64)>>,
    held: Vec<f64>,
    work: std::collections::HashMap<u64, f64>,
    attempts: std::collections::HashMap<u64, usize>,
}

impl Play {
    fn at(&mut self, at: Time, dispatcher: usize, due: Due) {
        self.next += 1;
        self.queue.push(Reverse((at.0, self.next, dispatcher)));
        self.due.insert(self.next, due);
    }

    fn tell(&mut self, now: Time, of: usize, event: Event) {
        let mut actions = Vec::new();
        self.dispatchers[of].handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, worker, .. } => {
                    let worker: usize = worker[1..].parse().expect("a number");
                    let work = self.work[&request.0];
                    self.sent[worker].push((now.ms() - BEGIN_MS, work));
                    self.held[worker] += 1.0;
                    let attempt = self.attempts.entry(request.0).or_insert(0);
                    *attempt += 1;
                    let (id, attempt) = (request.0, *attempt - 1);
                    // A cold core is slow.
                    let part = (0.14 + 0.86 * (now.ms() - BEGIN_MS) / RAMP_MS).min(1.0);
                    let takes = Span::from_ms(RUN_MS * work / part);
                    self.at(now + takes, of, Due::Ends { id, attempt, worker });
                }
                Action::SetTimer { at, token } => self.at(at, of, Due::Timer(token)),
                _ => {}
            }
        }
    }
}

fn wanted(count: usize) -> Settings {
    let mut s = settings(&[Effect::Safe]);
    (s.dispatchers, s.reporting) = (count, Reporting::Answers);
    (s.limits.second_copies, s.limits.probes, s.limits.max_attempts) = (false, false, 1);
    (s.rules.ramp, s.rules.overload_window) = (Span::from_ms(RAMP_MS), Span::from_ms(SPAN_MS));
    s
}

fn starts(count: usize, me: usize, seed: u64) -> Dispatcher {
    Dispatcher::new(Settings { dispatcher_index: me, ..wanted(count) }, seed).expect("settings")
}

fn entries() -> Event {
    let started = Some(Time::from_ms(BEGIN_MS));
    list_event(ListScope::Complete, (0..WORKERS).map(|at| Listing { started, ..listing(at) }).collect())
}

/// The most of any span, as a part of N + 2 x root of N + 2, and what was sent over the ramp, as a part of N.
fn play(case: Case, count: usize, seed: u64) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut play = Play {
        dispatchers: (0..count).map(|me| starts(count, me, seed * 1000 + me as u64)).collect(),
        queue: BinaryHeap::new(),
        due: Default::default(),
        next: 0,
        sent: vec![Vec::new(); WORKERS],
        held: vec![0.0; WORKERS],
        work: Default::default(),
        attempts: Default::default(),
    };
    let begin = Time::from_ms(BEGIN_MS);
    for of in 0..count {
        play.handle(begin, of, entries());
        play.at(begin, of, Due::Arrives);
        if case == Case::Restarts && of % 6 == 0 {
            play.at(begin + Span::from_ms(5_000.0), of, Due::Starts);
            play.at(begin + Span::from_ms(10_000.0), of, Due::Starts);
        }
    }
    // Twice what all could do if they were warm.
    let rate = 2.0 * WORKERS as f64 * SLOTS / RUN_MS;
    let mut id = 0;
    while let Some(Reverse((at, number, of))) = play.queue.pop() {
        let (now, due) = (Time(at), play.due.remove(&number).expect("filed"));
        let ms = now.ms() - BEGIN_MS;
        if ms > RAMP_MS {
            break;
        }
        match due {
            Due::Arrives => {
                id += 1;
                let heavy = case == Case::Heavy && rng.random_bool(0.1);
                play.work.insert(id, if heavy { 5.0 } else { 1.0 });
                let part = match case {
                    Case::OneCarriesMost if of == 0 => 0.8,
                    Case::OneCarriesMost => 0.2 / (count - 1) as f64,
                    _ => 1.0 / count as f64,
                };
                let stepped = if case == Case::Step && ms < 8_000.0 { 0.5 } else { 1.0 };
                let mean = 1.0 / (rate * part * stepped);
                let pause = -mean * (1.0 - rng.random::<f64>()).ln();
                play.at(now + Span::from_ms(pause), of, Due::Arrives);
                play.handle(
                    now,
                    of,
                    request_event(id, 0, Some(&format!("k{}", id % 40)), now + Span::from_ms(3_000.0)),
                );
            }
            Due::Ends { id, attempt, worker } => {
                play.held[worker] -= 1.0;
                let load = common::free_slots_report((SLOTS - play.held[worker]).max(0.0));
                play.handle(now, of, common::outcome_event(id, attempt, Outcome::Served, true, load));
            }
            Due::Timer(token) => play.handle(now, of, Event::Timer(token)),
            Due::Starts => {
                play.dispatchers[of] = starts(count, of, seed + at as u64);
                play.handle(now, of, entries());
            }
        }
    }
    let mean_work = if case == Case::Heavy { 1.4 } else { 1.0 };
    let allowed = |ms: f64| {
        let part = 0.14 + 0.86 * (ms / RAMP_MS).min(1.0);
        3.0 * SLOTS * part * SPAN_MS / RUN_MS / mean_work
    };
    let (mut most, mut used, mut could) = (0.0f64, 0.0, 0.0);
    for sent in &play.sent {
        for (at, _) in sent {
            // What it can do then: at the end of the span, and for the whole of it what it could do at its begin.
            let within = sent.iter().filter(|(other, _)| *other <= *at && *at - *other < SPAN_MS);
            let sum: f64 = within.map(|(_, work)| work / mean_work).sum();
            let n = allowed((at - SPAN_MS).max(0.0));
            most = most.max(sum / (n + 2.0 * n.sqrt() + 2.0));
        }
        used += sent.iter().map(|(_, work)| work / mean_work).sum::<f64>();
        could += (0..20).map(|second| allowed(f64::from(second) * 1000.0) / SPAN_MS * 1000.0).sum::<f64>();
    }
    (most, used / could)
}

#[test]
fn a_fleet_stays_within_what_a_cold_worker_bears_and_uses_a_good_part_of_it() {
    let cases = [Case::Even, Case::OneCarriesMost, Case::Restarts, Case::Heavy, Case::Step];
    let plays = [8, 20, 30, 300].into_iter().flat_map(|count| cases.map(|case| (case, count)));
    let results: Vec<_> = std::thread::scope(|scope| {
        let all: Vec<_> =
            plays.map(|(case, count)| (case, count, scope.spawn(move || play(case, count, 11)))).collect();
        all.into_iter().map(|(case, count, done)| (case, count, done.join().expect("played"))).collect()
    });
    for (case, count, (most, used)) in &results {
        println!("{count:>3} dispatchers, {case:?}: at most {most:.2} of the bound, {used:.2} of N used");
    }
    for (case, count, (most, used)) in results {
        assert!(most <= 1.0, "{count} dispatchers, {case:?}: {most:.2} of N + 2 x root of N + 2");
        let least = if case == Case::OneCarriesMost { 0.01 } else { 0.1 };
        assert!(used >= least, "{count} dispatchers, {case:?}: {used:.2} of N used");
    }
}
