//! Lists drawn from seeds: fleets of 1 to 3,200 log workers, in every form in which discovery may write, judged by the rule
//! on drains from the log workers' own records.
//!
//! `ROOKSPOKE_SOAK_SEEDS=FROM..TO cargo test -p rookspoke --test drawn_lists -- --nocapture` plays other seeds.

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

/// The seeds that every run plays.
const SEEDS: Range<u64> = 1..7;
/// Plays side by side.
const TOGETHER: usize = 3;
/// What a dispatcher may go on sending after it was told of a drain, and what the rules on sockets add.
const DRAIN_GRACE: Duration = Duration::from_millis(550);
/// Later than this, a thread of the play itself was held up: nothing it saw can be judged.
const HELD_UP: Duration = Duration::from_millis(100);
/// Plays of one seed that may prove nothing.
const VOID_PLAYS: usize = 4;
/// Log workers that are processes' stand-ins; all others are entries that drain.
const SERVING: usize = 5;
const CHANGES: usize = 6;
const BETWEEN_CHANGES: Duration = Duration::from_millis(900);
const MOST_ENTRIES: f64 = 3_200.0;

/// How an object is written.
#[derive(Clone, Copy, Debug)]
enum Form {
    OneLine,
    Indented,
    /// Each entry on a line that ends as the object does.
    EntryToALine,
}

impl Form {
    fn write(self, object: &Value) -> String {
        match self {
            Form::OneLine => object.to_string() + "\n",
            Form::Indented => serde_json::to_string_pretty(object).expect("JSON") + "\n",
            Form::EntryToALine => {
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
    /// Which of the stand-ins take work from then on.
    active: [bool; SERVING],
    /// Entries beside theirs.
    others: usize,
    form: Form,
    /// Bytes of a piece, and the pause after it.
    piece: usize,
    pause: Duration,
    /// It is told as the whole list.
    whole: bool,
    /// One entry beside theirs makes no sense.
    has_unreadable: bool,
    /// The watch ends right after it.
    ends_watch: bool,
    /// It is told as two versions in one write.
    in_two: bool,
}

/// All that a seed says.
#[derive(Clone, Debug)]
struct Drawn {
    seed: u64,
    fleet: usize,
    changes: Vec<Change>,
}

impl Drawn {
    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let fleet = MOST_ENTRIES.powf(rng.random_range(0.0..=1.0)) as usize;
        let changes = (0..CHANGES).map(|_| Change::new(&mut rng, fleet)).collect();
        Drawn { seed, fleet, changes }
    }
}

impl Change {
    fn new(rng: &mut SmallRng, fleet: usize) -> Self {
        let mut active = [(); SERVING].map(|()| rng.random_bool(0.5));
        active[rng.random_range(0..SERVING)] = true;
        let others = if rng.random_bool(0.5) { fleet } else { rng.random_range(0..=fleet) };
        let form = [Form::OneLine, Form::OneLine, Form::Indented, Form::EntryToALine][rng.random_range(0..4)];
        // In pieces it takes 0.2 s at most, small or large.
        let (piece, pause) = match rng.random_range(0..3) {
            0 => (usize::MAX, Duration::ZERO),
            1 => (1 + others * 400 / 100, Duration::from_millis(2)),
            _ => (16 * 1024 + rng.random_range(0..3), Duration::from_millis(1)),
        };
        Change {
            active,
            others,
            form,
            piece,
            pause,
            whole: rng.random_bool(0.2),
            has_unreadable: rng.random_bool(0.3),
            ends_watch: rng.random_bool(0.2),
            in_two: rng.random_bool(0.2),
        }
    }

    /// The entries that this change tells, those of the stand-ins last.
    fn entries(&self, workers: &[Recorder]) -> Vec<Value> {
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

    fn text(&self, version: usize, workers: &[Recorder]) -> String {
        let entries = self.entries(workers);
        let object = |version: usize, all: bool, entries: &[Value]| {
            self.form.write(&json!({"rev": version, "all": all, "targets": entries}))
        };
        if self.whole || !self.in_two {
            return object(2 * version, self.whole, &entries);
        }
        let (first, second) = entries.split_at(entries.len() / 2);
        object(2 * version - 1, false, first) + &object(2 * version, false, second)
    }
}

/// A log worker that notes when requests come.
struct Recorder(Worker, Arc<Mutex<Vec<Instant>>>);

impl Recorder {
    fn start(name: &str) -> Self {
        let times: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let noted = times.clone();
        let worker = Worker::start(name, move |request, to| {
            noted.lock().expect("times").push(Instant::now());
            serve(request, to, "fine");
            true
        });
        Recorder(worker, times)
    }
}

/// Discovery: every watch is told what is announced, in pieces; one that begins is told the whole list.
struct Announcer {
    address: SocketAddr,
    state: Arc<Mutex<Announced>>,
}

#[derive(Default)]
struct Announced {
    watches: Vec<TcpStream>,
    whole: String,
}

fn write_pieces(to: &mut TcpStream, text: &str, piece: usize, pause: Duration) -> bool {
    text.as_bytes().chunks(piece.min(text.len().max(1))).all(|part| {
        thread::sleep(pause);
        let chunk = [format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat();
        to.write_all(&chunk).is_ok()
    })
}

impl Announcer {
    fn start(whole: String) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(Mutex::new(Announced { watches: Vec::new(), whole }));
        let shared = state.clone();
        thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                let _ = read_message(&mut BufReader::new(stream.try_clone().expect("a clone")));
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                let mut state = shared.lock().expect("the state");
                if write_pieces(&mut stream, &state.whole, usize::MAX, Duration::ZERO) {
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
        Announcer { address, state }
    }

    /// Writes a change to all watches; it is told once this has ended.
    fn announce(&self, change: &Change, version: usize, workers: &[Recorder]) {
        let mut entries = change.entries(workers);
        entries.retain(|entry| entry["endpoint"].is_string());
        let mut state = self.state.lock().expect("the state");
        state.whole = change.form.write(&json!({"rev": 2 * version, "all": true, "targets": entries}));
        let text = change.text(version, workers);
        state.watches.retain_mut(|watch| write_pieces(watch, &text, change.piece, change.pause));
        if change.ends_watch {
            state.watches.clear();
        }
    }
}

/// What came of a play.
#[derive(Debug)]
struct Played {
    /// Jobs sent to a log worker so long after it was told to drain.
    late: Vec<(usize, Duration)>,
    jobs: usize,
    answered: usize,
    /// The log lines of answers that the dispatcher could not use.
    unusable: Vec<String>,
    held_up: Duration,
}

impl fmt::Display for Played {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} of {} jobs answered, {} late sends", self.answered, self.jobs, self.late.len())
    }
}

/// Sends a job every few milliseconds until `until`; how many were sent, and served.
fn load(client: usize, http: SocketAddr, until: Instant) -> (usize, usize) {
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

/// The longest that a thread which sleeps for a moment was held up, until `until`.
fn longest_delay(until: Instant) -> Duration {
    let (tick, mut longest) = (Duration::from_millis(5), Duration::ZERO);
    while Instant::now() < until {
        let before = Instant::now();
        thread::sleep(tick);
        longest = longest.max(before.elapsed().saturating_sub(tick));
    }
    longest
}

fn play_once(drawn: &Drawn) -> Played {
    let workers: Vec<Recorder> = (0..SERVING).map(|n| Recorder::start(&format!("w-{n}"))).collect();
    let first: Vec<Value> = workers.iter().map(|worker| worker.0.entry("active")).collect();
    let discovery = Announcer::start(json!({"rev": 1, "all": true, "targets": first}).to_string() + "\n");
    let daemon = Daemon::start(&platform_config(discovery.address), None);
    daemon.wait_ready();
    let http = daemon.address("http");
    let until = Instant::now() + BETWEEN_CHANGES * (CHANGES as u32 + 1);
    let loads = [1, 2].map(|client| thread::spawn(move || load(client, http, until)));
    let delay = thread::spawn(move || longest_delay(until));
    // When each log worker began to drain, if it does.
    let mut drains: [Option<Instant>; SERVING] = [None; SERVING];
    let mut spans: Vec<(usize, Instant, Instant)> = Vec::new();
    for (version, change) in (1..).zip(&drawn.changes) {
        thread::sleep(BETWEEN_CHANGES);
        let begun = Instant::now();
        discovery.announce(change, version, &workers);
        let told = Instant::now();
        for (worker, active) in change.active.iter().enumerate() {
            match (active, drains[worker]) {
                (true, Some(since)) => {
                    spans.push((worker, since, begun));
                    drains[worker] = None;
                }
                (false, None) => drains[worker] = Some(told),
                _ => {}
            }
        }
    }
    let sent = loads.map(|load| load.join().expect("a load"));
    let end = Instant::now();
    spans.extend((0..SERVING).filter_map(|worker| Some((worker, drains[worker]?, end))));
    let mut late = Vec::new();
    for (worker, since, until) in spans {
        let times = workers[worker].1.lock().expect("times");
        let after = times.iter().filter(|at| **at > since + DRAIN_GRACE && **at < until);
        late.extend(after.map(|at| (worker, *at - since)));
    }
    Played {
        late,
        jobs: sent.iter().map(|sent| sent.0).sum(),
        answered: sent.iter().map(|sent| sent.1).sum(),
        unusable: daemon.log().into_iter().filter(|line| line.contains("cannot be used")).collect(),
        held_up: delay.join().expect("a clock"),
    }
}

/// Plays until a play can be judged.
fn play(drawn: &Drawn) -> Played {
    for _ in 0..VOID_PLAYS {
        let played = play_once(drawn);
        if played.held_up < HELD_UP {
            return played;
        }
        eprintln!("seed {}: void, held up for {:?}", drawn.seed, played.held_up);
    }
    panic!("seed {}: {VOID_PLAYS} plays were void", drawn.seed);
}

#[test]
fn drains_hold_in_lists_drawn_from_seeds() {
    let seeds: Vec<u64> = soak::seeds_from_env().unwrap_or(SEEDS).collect();
    let mut broken = Vec::new();
    for seeds in seeds.chunks(TOGETHER) {
        thread::scope(|scope| {
            let plays = seeds.iter().map(|seed| (Drawn::new(*seed), scope));
            let plays: Vec<_> = plays
                .map(|(drawn, scope)| {
                    let of_thread = drawn.clone();
                    (drawn, scope.spawn(move || play(&of_thread)))
                })
                .collect();
            for (drawn, played) in plays {
                let played = played.join().unwrap_or_else(|_| panic!("seed {}", drawn.seed));
                println!("seed {}: {} log workers beside, {played}", drawn.seed, drawn.fleet);
                if !played.late.is_empty() || !played.unusable.is_empty() || played.answered < played.jobs {
                    println!("{drawn:#?}\n{played:?}");
                    broken.push(drawn.seed);
                }
            }
        });
    }
    assert!(broken.is_empty(), "rules were broken at the seeds {broken:?}");
}
