//! Workers in slow start whose dispatchers have no other workers: the work that all dispatchers together send to one of
//! them in an overload window stays within what the rules permit, N, plus random variation, and uses a fair part of N.

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
const WINDOW_MS: f64 = 3_000.0;
const START_MS: f64 = 1e6;

/// The load, and what makes the bound hard to keep.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LoadCase {
    /// All dispatchers receive the list at the workers' start and have the same load.
    EqualLoad,
    /// One dispatcher has four fifths of the load.
    OneDispatcherBusiest,
    /// One dispatcher in six restarts after five seconds, and again after ten, and has only the list to begin with.
    DispatcherRestarts,
    /// One job in ten has five times the work of the others.
    HeavyJobs,
    /// The load doubles after eight seconds.
    LoadDoubles,
}

enum ScheduledEvent {
    JobArrives,
    AttemptEnds { id: u64, attempt: usize, worker: usize },
    Timer(u64),
    DispatcherStarts,
}

struct Simulation {
    dispatchers: Vec<Dispatcher>,
    /// Time, number and dispatcher of each scheduled event.
    queue: BinaryHeap<Reverse<(i64, u64, usize)>>,
    /// The scheduled events by their numbers.
    events: std::collections::HashMap<u64, ScheduledEvent>,
    next_event: u64,
    /// For each worker, the sends to it: the time in ms since the start, and the work in ordinary jobs.
    sends: Vec<Vec<(f64, f64)>>,
    /// The number of pending attempts on each worker.
    running: Vec<f64>,
    /// The work of each request, in ordinary jobs.
    job_work: std::collections::HashMap<u64, f64>,
    attempts: std::collections::HashMap<u64, usize>,
}

impl Simulation {
    fn schedule(&mut self, at: Time, dispatcher: usize, event: ScheduledEvent) {
        self.next_event += 1;
        self.queue.push(Reverse((at.0, self.next_event, dispatcher)));
        self.events.insert(self.next_event, event);
    }

    fn handle(&mut self, now: Time, dispatcher: usize, event: Event) {
        let mut actions = Vec::new();
        self.dispatchers[dispatcher].handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, worker, .. } => {
                    let worker: usize = worker[1..].parse().expect("worker name ends in a number");
                    let work = self.job_work[&request.0];
                    self.sends[worker].push((now.ms() - START_MS, work));
                    self.running[worker] += 1.0;
                    let attempt = self.attempts.entry(request.0).or_insert(0);
                    *attempt += 1;
                    let (id, attempt) = (request.0, *attempt - 1);
                    // The capacity of a worker in slow start grows linearly from 0.14 to 1.
                    let fraction = (0.14 + 0.86 * (now.ms() - START_MS) / RAMP_MS).min(1.0);
                    let run_time = Span::from_ms(RUN_MS * work / fraction);
                    self.schedule(
                        now + run_time,
                        dispatcher,
                        ScheduledEvent::AttemptEnds { id, attempt, worker },
                    );
                }
                Action::SetTimer { at, token } => self.schedule(at, dispatcher, ScheduledEvent::Timer(token)),
                _ => {}
            }
        }
    }
}

fn simulation_settings(count: usize) -> Settings {
    let mut settings = settings(&[Effect::Safe]);
    (settings.dispatchers, settings.reporting) = (count, Reporting::Answers);
    (settings.limits.second_copies, settings.limits.probes, settings.limits.max_attempts) = (false, false, 1);
    (settings.rules.ramp, settings.rules.overload_window) =
        (Span::from_ms(RAMP_MS), Span::from_ms(WINDOW_MS));
    settings
}

fn new_dispatcher(count: usize, index: usize, seed: u64) -> Dispatcher {
    Dispatcher::new(Settings { dispatcher_index: index, ..simulation_settings(count) }, seed)
        .expect("valid settings")
}

/// A list in which all workers have just started.
fn slow_start_list() -> Event {
    let started = Some(Time::from_ms(START_MS));
    list_event(ListScope::Complete, (0..WORKERS).map(|index| Listing { started, ..listing(index) }).collect())
}

/// Returns the most work sent to a worker in any overload window, as a fraction of N + 2 * sqrt(N) + 2, and the work
/// sent during the whole ramp as a fraction of what the rules permit. N is the work in mean jobs that the rules permit
/// in that window.
fn simulate(case: LoadCase, count: usize, seed: u64) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut simulation = Simulation {
        dispatchers: (0..count)
            .map(|index| new_dispatcher(count, index, seed * 1000 + index as u64))
            .collect(),
        queue: BinaryHeap::new(),
        events: Default::default(),
        next_event: 0,
        sends: vec![Vec::new(); WORKERS],
        running: vec![0.0; WORKERS],
        job_work: Default::default(),
        attempts: Default::default(),
    };
    let start = Time::from_ms(START_MS);
    for dispatcher in 0..count {
        simulation.handle(start, dispatcher, slow_start_list());
        simulation.schedule(start, dispatcher, ScheduledEvent::JobArrives);
        if case == LoadCase::DispatcherRestarts && dispatcher % 6 == 0 {
            simulation.schedule(start + Span::from_ms(5_000.0), dispatcher, ScheduledEvent::DispatcherStarts);
            simulation.schedule(
                start + Span::from_ms(10_000.0),
                dispatcher,
                ScheduledEvent::DispatcherStarts,
            );
        }
    }
    // Twice what all workers can complete at their full capacity.
    let rate = 2.0 * WORKERS as f64 * SLOTS / RUN_MS;
    let mut id = 0;
    while let Some(Reverse((at, number, dispatcher))) = simulation.queue.pop() {
        let (now, event) = (Time(at), simulation.events.remove(&number).expect("scheduled event"));
        let ms = now.ms() - START_MS;
        if ms > RAMP_MS {
            break;
        }
        match event {
            ScheduledEvent::JobArrives => {
                id += 1;
                let heavy = case == LoadCase::HeavyJobs && rng.random_bool(0.1);
                simulation.job_work.insert(id, if heavy { 5.0 } else { 1.0 });
                let fraction = match case {
                    LoadCase::OneDispatcherBusiest if dispatcher == 0 => 0.8,
                    LoadCase::OneDispatcherBusiest => 0.2 / (count - 1) as f64,
                    _ => 1.0 / count as f64,
                };
                let load_factor = if case == LoadCase::LoadDoubles && ms < 8_000.0 { 0.5 } else { 1.0 };
                let mean_pause_ms = 1.0 / (rate * fraction * load_factor);
                let pause = -mean_pause_ms * (1.0 - rng.random::<f64>()).ln();
                simulation.schedule(now + Span::from_ms(pause), dispatcher, ScheduledEvent::JobArrives);
                simulation.handle(
                    now,
                    dispatcher,
                    request_event(id, 0, Some(&format!("k{}", id % 40)), now + Span::from_ms(3_000.0)),
                );
            }
            ScheduledEvent::AttemptEnds { id, attempt, worker } => {
                simulation.running[worker] -= 1.0;
                let load = common::free_slots_report((SLOTS - simulation.running[worker]).max(0.0));
                simulation.handle(
                    now,
                    dispatcher,
                    common::outcome_event(id, attempt, Outcome::Served, true, load),
                );
            }
            ScheduledEvent::Timer(token) => simulation.handle(now, dispatcher, Event::Timer(token)),
            ScheduledEvent::DispatcherStarts => {
                simulation.dispatchers[dispatcher] = new_dispatcher(count, dispatcher, seed + at as u64);
                simulation.handle(now, dispatcher, slow_start_list());
            }
        }
    }
    let mean_work = if case == LoadCase::HeavyJobs { 1.4 } else { 1.0 };
    let allowed = |ms: f64| {
        let fraction = 0.14 + 0.86 * (ms / RAMP_MS).min(1.0);
        3.0 * SLOTS * fraction * WINDOW_MS / RUN_MS / mean_work
    };
    let (mut max_ratio, mut used, mut permitted) = (0.0f64, 0.0, 0.0);
    for sends in &simulation.sends {
        for (at, _) in sends {
            // The bound is that of the capacity at the beginning of the window that ends here.
            let within = sends.iter().filter(|(other, _)| *other <= *at && *at - *other < WINDOW_MS);
            let sum: f64 = within.map(|(_, work)| work / mean_work).sum();
            let n = allowed((at - WINDOW_MS).max(0.0));
            max_ratio = max_ratio.max(sum / (n + 2.0 * n.sqrt() + 2.0));
        }
        used += sends.iter().map(|(_, work)| work / mean_work).sum::<f64>();
        permitted +=
            (0..20).map(|second| allowed(f64::from(second) * 1000.0) / WINDOW_MS * 1000.0).sum::<f64>();
    }
    (max_ratio, used / permitted)
}

#[test]
fn dispatchers_together_keep_and_use_the_slow_start_budget() {
    let cases = [
        LoadCase::EqualLoad,
        LoadCase::OneDispatcherBusiest,
        LoadCase::DispatcherRestarts,
        LoadCase::HeavyJobs,
        LoadCase::LoadDoubles,
    ];
    let runs = [8, 20, 30, 300].into_iter().flat_map(|count| cases.map(|case| (case, count)));
    let results: Vec<_> = std::thread::scope(|scope| {
        let threads: Vec<_> =
            runs.map(|(case, count)| (case, count, scope.spawn(move || simulate(case, count, 11)))).collect();
        threads
            .into_iter()
            .map(|(case, count, thread)| (case, count, thread.join().expect("simulation completes")))
            .collect()
    });
    for (case, count, (max_ratio, used)) in &results {
        println!(
            "{count:>3} dispatchers, {case:?}: at most {max_ratio:.2} of the bound, {used:.2} of N used"
        );
    }
    for (case, count, (max_ratio, used)) in results {
        assert!(max_ratio <= 1.0, "{count} dispatchers, {case:?}: {max_ratio:.2} of N + 2 * sqrt(N) + 2");
        let least = if case == LoadCase::OneDispatcherBusiest { 0.01 } else { 0.1 };
        assert!(used >= least, "{count} dispatchers, {case:?}: {used:.2} of N used");
    }
}
