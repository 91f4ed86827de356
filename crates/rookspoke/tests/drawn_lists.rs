//! Randomized lists for fleets of 1 to 3,200 log workers, in every layout in which discovery may write them. The log
//! workers' own records show whether a job was sent to one after its drain.
//!
//! `ROOKSPOKE_SOAK_SEEDS=FROM..TO cargo test -p rookspoke --test drawn_lists -- --nocapture` runs other seeds.

mod common;

use std::fmt;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::ops::Range;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::soak;
use common::world::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};

/// The seeds of the regular test run.
const SEEDS: Range<u64> = 1..7;
/// Runs that execute in parallel.
const PARALLEL_RUNS: usize = 3;
/// How long a dispatcher may go on sending to a draining log worker, including the allowance for sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(550);
/// A run in which a thread of the test itself was delayed by this much is void.
const MAX_TEST_DELAY: Duration = Duration::from_millis(100);
/// Attempts at one seed before the test fails because every run was void.
const MAX_VOID_RUNS: usize = 4;
/// Log workers that serve jobs. All others are only entries of draining log workers.
const SERVING: usize = 5;
const CHANGES: usize = 6;
const BETWEEN_CHANGES: Duration = Duration::from_millis(900);
const MAX_ENTRIES: f64 = 3_200.0;

/// The JSON layout of an object.
#[derive(Clone, Copy, Debug)]
enum Layout {
    OneLine,
    Indented,
    /// One entry per line, so that each line ends with `}` as the whole object does.
    EntryPerLine,
}

impl Layout {
    fn write(self, object: &Value) -> String {
        match self {
            Layout::OneLine => object.to_string() + "\n",
            Layout::Indented => serde_json::to_string_pretty(object).expect("JSON") + "\n",
            Layout::EntryPerLine => {
                let entries = object["targets"].as_array().expect("entries");
                let lines: Vec<String> = entries.iter().map(Value::to_string).collect();
                let (version, all) = (&object["rev"], &object["all"]);
                format!("{{\"rev\":{version},\"all\":{all},\"targets\":[{}\n]}}\n", lines.join("\n,"))
            }
        }
    }
}

/// One change of the list.
#[derive(Clone, Debug)]
struct Change {
    /// Which of the serving log workers accept jobs from then on.
    active: [bool; SERVING],
    /// Number of entries of other log workers.
    others: usize,
    layout: Layout,
    /// The bytes written at a time, and the pause before each write.
    piece: usize,
    pause: Duration,
    /// Whether the change is written as a complete list.
    complete: bool,
    /// Whether one entry of the others is unreadable.
    has_unreadable: bool,
    /// Whether the watch ends right after the change.
    ends_watch: bool,
    /// Whether the change is split into two versions in one write.
    is_split: bool,
}

/// A scenario generated from a seed.
#[derive(Clone, Debug)]
struct RandomScenario {
    seed: u64,
    fleet: usize,
    changes: Vec<Change>,
}

impl RandomScenario {
    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let fleet = MAX_ENTRIES.powf(rng.random_range(0.0..=1.0)) as usize;
        let changes = (0..CHANGES).map(|_| Change::new(&mut rng, fleet)).collect();
        RandomScenario { seed, fleet, changes }
    }
}

impl Change {
    fn new(rng: &mut SmallRng, fleet: usize) -> Self {
        let mut active = [(); SERVING].map(|()| rng.random_bool(0.5));
        active[rng.random_range(0..SERVING)] = true;
        let others = if rng.random_bool(0.5) { fleet } else { rng.random_range(0..=fleet) };
        let layout = [Layout::OneLine, Layout::OneLine, Layout::Indented, Layout::EntryPerLine]
            [rng.random_range(0..4)];
        // In pieces, a change takes at most 0.2 s to write, whatever its size.
        let (piece, pause) = match rng.random_range(0..3) {
            0 => (usize::MAX, Duration::ZERO),
            1 => (1 + others * 400 / 100, Duration::from_millis(2)),
            _ => (16 * 1024 + rng.random_range(0..3), Duration::from_millis(1)),
        };
        Change {
            active,
            others,
            layout,
            piece,
            pause,
            complete: rng.random_bool(0.2),
            has_unreadable: rng.random_bool(0.3),
            ends_watch: rng.random_bool(0.2),
            is_split: rng.random_bool(0.2),
        }
    }

    /// The entries of this change, those of the serving log workers last.
    fn entries(&self, workers: &[RecordingWorker]) -> Vec<Value> {
        let nowhere: SocketAddr = (Ipv4Addr::LOCALHOST, 9).into();
        let mut entries: Vec<Value> =
            (0..self.others).map(|n| list_entry(&format!("other-{n:05}"), nowhere, "leaving")).collect();
        if self.has_unreadable {
            entries.push(json!({"uid": "other-x", "state": 7}));
        }
        let states = self.active.iter().map(|active| if *active { "active" } else { "leaving" });
        entries.extend(workers.iter().zip(states).map(|(worker, state)| worker.0.entry(state)));
        entries
    }

    fn text(&self, version: usize, workers: &[RecordingWorker]) -> String {
        let entries = self.entries(workers);
        let object = |version: usize, all: bool, entries: &[Value]| {
            self.layout.write(&json!({"rev": version, "all": all, "targets": entries}))
        };
        if self.complete || !self.is_split {
            return object(2 * version, self.complete, &entries);
        }
        let (first, second) = entries.split_at(entries.len() / 2);
        object(2 * version - 1, false, first) + &object(2 * version, false, second)
    }
}

/// A log worker that records when requests arrive.
struct RecordingWorker(Worker, Arc<Mutex<Vec<Instant>>>);

impl RecordingWorker {
    fn start(name: &str) -> Self {
        let times: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let recorded = times.clone();
        let worker = Worker::start(name, move |request, to| {
            recorded.lock().expect("times").push(Instant::now());
            serve(request, to, "fine");
            true
        });
        RecordingWorker(worker, times)
    }
}

/// A discovery that writes each change to all watches in pieces, and the complete list to each new watch.
struct ListServer {
    address: SocketAddr,
    state: Arc<Mutex<ListState>>,
}

#[derive(Default)]
struct ListState {
    watches: Vec<TcpStream>,
    complete_list: String,
}

fn write_pieces(to: &mut TcpStream, text: &str, piece: usize, pause: Duration) -> bool {
    text.as_bytes().chunks(piece.min(text.len().max(1))).all(|part| {
        thread::sleep(pause);
        let chunk = [format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat();
        to.write_all(&chunk).is_ok()
    })
}

impl ListServer {
    fn start(complete_list: String) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(Mutex::new(ListState { watches: Vec::new(), complete_list }));
        let shared = state.clone();
        thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                let _ = read_message(&mut BufReader::new(stream.try_clone().expect("a clone")));
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                let mut state = shared.lock().expect("the state");
                if write_pieces(&mut stream, &state.complete_list, usize::MAX, Duration::ZERO) {
                    state.watches.push(stream);
                }
            }
        });
        let shared = Arc::downgrade(&state);
        thread::spawn(move || {
            while let Some(state) = shared.upgrade() {
                let mut state = state.lock().expect("the state");
                state.watches.retain_mut(|watch| write_pieces(watch, "\n", usize::MAX, Duration::ZERO));
                drop(state);
                thread::sleep(Duration::from_millis(500));
            }
        });
        ListServer { address, state }
    }

    /// Writes a change to all watches, and returns once all of it is written.
    fn announce(&self, change: &Change, version: usize, workers: &[RecordingWorker]) {
        let mut entries = change.entries(workers);
        entries.retain(|entry| entry["endpoint"].is_string());
        let mut state = self.state.lock().expect("the state");
        state.complete_list =
            change.layout.write(&json!({"rev": 2 * version, "all": true, "targets": entries}));
        let text = change.text(version, workers);
        state.watches.retain_mut(|watch| write_pieces(watch, &text, change.piece, change.pause));
        if change.ends_watch {
            state.watches.clear();
        }
    }
}

/// The results of one run.
#[derive(Debug)]
struct RunResult {
    /// Jobs sent to a draining log worker too late: its number, and the time since the drain was announced.
    late_sends: Vec<(usize, Duration)>,
    jobs: usize,
    answered: usize,
    /// The log lines about discovery responses that the dispatcher could not use.
    unusable: Vec<String>,
    longest_delay: Duration,
}

impl fmt::Display for RunResult {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} of {} jobs answered, {} late sends", self.answered, self.jobs, self.late_sends.len())
    }
}

/// Sends a job every few milliseconds until `until`, and returns how many were sent and served.
fn send_jobs(client: usize, http: SocketAddr, until: Instant) -> (usize, usize) {
    let (mut jobs, mut served) = (0, 0);
    while Instant::now() < until {
        let id = format!("{client:04x}{jobs:012x}");
        let request = String::from_utf8(job_request("log-lookup", &id, 9_000, "")).expect("text");
        let request = request.replace("station-1", &format!("station-{}", jobs % 40));
        jobs += 1;
        served += usize::from(exchange(http, request.as_bytes()).status == 200);
        thread::sleep(Duration::from_millis(5));
    }
    (jobs, served)
}

/// Measures until `until` by how much a thread that sleeps 5 ms at a time is delayed, and returns the longest delay.
fn longest_delay(until: Instant) -> Duration {
    let (tick, mut longest) = (Duration::from_millis(5), Duration::ZERO);
    while Instant::now() < until {
        let before = Instant::now();
        thread::sleep(tick);
        longest = longest.max(before.elapsed().saturating_sub(tick));
    }
    longest
}

fn run_once(scenario: &RandomScenario) -> RunResult {
    let workers: Vec<RecordingWorker> =
        (0..SERVING).map(|n| RecordingWorker::start(&format!("w-{n}"))).collect();
    let first: Vec<Value> = workers.iter().map(|worker| worker.0.entry("active")).collect();
    let discovery = ListServer::start(json!({"rev": 1, "all": true, "targets": first}).to_string() + "\n");
    let daemon = Daemon::start(&platform_config(discovery.address), None);
    daemon.wait_ready();
    let http = daemon.address("http");
    let until = Instant::now() + BETWEEN_CHANGES * (CHANGES as u32 + 1);
    let clients = [1, 2].map(|client| thread::spawn(move || send_jobs(client, http, until)));
    let delay = thread::spawn(move || longest_delay(until));
    // When the drain of each draining log worker was announced.
    let mut drains: [Option<Instant>; SERVING] = [None; SERVING];
    let mut drain_spans: Vec<(usize, Instant, Instant)> = Vec::new();
    for (version, change) in (1..).zip(&scenario.changes) {
        thread::sleep(BETWEEN_CHANGES);
        let announcement_start = Instant::now();
        discovery.announce(change, version, &workers);
        let announced = Instant::now();
        for (worker, active) in change.active.iter().enumerate() {
            match (active, drains[worker]) {
                (true, Some(since)) => {
                    drain_spans.push((worker, since, announcement_start));
                    drains[worker] = None;
                }
                (false, None) => drains[worker] = Some(announced),
                _ => {}
            }
        }
    }
    let sent = clients.map(|client| client.join().expect("a client"));
    let end = Instant::now();
    drain_spans.extend((0..SERVING).filter_map(|worker| Some((worker, drains[worker]?, end))));
    let mut late_sends = Vec::new();
    for (worker, since, until) in drain_spans {
        let times = workers[worker].1.lock().expect("times");
        let after = times.iter().filter(|at| **at > since + DRAIN_GRACE && **at < until);
        late_sends.extend(after.map(|at| (worker, *at - since)));
    }
    RunResult {
        late_sends,
        jobs: sent.iter().map(|sent| sent.0).sum(),
        answered: sent.iter().map(|sent| sent.1).sum(),
        unusable: daemon.log().into_iter().filter(|line| line.contains("cannot be used")).collect(),
        longest_delay: delay.join().expect("the delay"),
    }
}

/// Repeats the run until one is not void.
fn run_until_valid(scenario: &RandomScenario) -> RunResult {
    for _ in 0..MAX_VOID_RUNS {
        let result = run_once(scenario);
        if result.longest_delay < MAX_TEST_DELAY {
            return result;
        }
        eprintln!("seed {}: void, delayed by {:?}", scenario.seed, result.longest_delay);
    }
    panic!("seed {}: {MAX_VOID_RUNS} runs were void", scenario.seed);
}

#[test]
fn no_job_goes_to_a_draining_log_worker_with_randomized_lists() {
    let seeds: Vec<u64> = soak::seeds_from_env().unwrap_or(SEEDS).collect();
    let mut failed = Vec::new();
    for seeds in seeds.chunks(PARALLEL_RUNS) {
        thread::scope(|scope| {
            let runs = seeds.iter().map(|seed| (RandomScenario::new(*seed), scope));
            let runs: Vec<_> = runs
                .map(|(scenario, scope)| {
                    let for_thread = scenario.clone();
                    (scenario, scope.spawn(move || run_until_valid(&for_thread)))
                })
                .collect();
            for (scenario, run) in runs {
                let result = run.join().unwrap_or_else(|_| panic!("seed {}", scenario.seed));
                println!("seed {}: {} other log workers, {result}", scenario.seed, scenario.fleet);
                if !result.late_sends.is_empty()
                    || !result.unusable.is_empty()
                    || result.answered < result.jobs
                {
                    println!("{scenario:#?}\n{result:?}");
                    failed.push(scenario.seed);
                }
            }
        });
    }
    assert!(failed.is_empty(), "failed with the seeds {failed:?}");
}
