//! Graceful shutdown with SIGKILL at the earliest moment that the platform allows: the longest deadline, 3 s at most, and
//! 0.7 s more after SIGTERM. Until then clients use every connection that stays open.

mod common;

use std::collections::BTreeSet;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::soak;
use common::world::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// What the platform counts of the longest deadline, at most.
const LONGEST_COUNTED: Duration = Duration::from_secs(3);
/// Between that and SIGKILL; also the age after SIGTERM up to which a request may be open at SIGKILL.
const ALLOWANCE: Duration = Duration::from_millis(700);
/// New connections come for this long after SIGTERM.
const STILL_CONNECT: Duration = Duration::from_millis(400);
/// What the clients that are in a hurry wait for, whatever the longest deadline is.
const SHORT_WAIT: Duration = Duration::from_millis(600);
/// The platform holds a process up for so long at a time.
const HELD_UP: Duration = Duration::from_millis(150);
/// Connections of a flood, at most.
const FLOOD: usize = 6_000;
/// A play whose own signals were later than this proves nothing.
const LATE: Duration = Duration::from_millis(60);
/// Plays that may prove nothing before the machine is too busy for any.
const VOID_PLAYS: usize = 8;

/// What a client sent, and what became of it.
#[derive(Debug)]
struct Sent {
    id: String,
    /// Its last byte was written.
    at: Instant,
    status: Option<u16>,
    /// Its answer was there, or its connection had ended.
    ended: Instant,
}

/// How a client behaves.
#[derive(Clone, Copy, Debug)]
enum Client {
    /// Sends the next request on its connection as soon as the last is answered.
    Busy,
    /// Connects while that is still possible, and sends its first request this long after SIGTERM.
    FirstRequestAt(Duration),
    /// Sends half of a request's body before SIGTERM, and the rest this long after it.
    BodyEndsAt(Duration),
    /// The same on a connection that was used before, with half of the head.
    HeadEndsAt(Duration),
}

/// How the log workers of a play behave.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Workers {
    /// They take this part of the deadline for each job.
    Take(f64),
    /// They never answer.
    Hang,
}

/// One play: a daemon, its log workers and clients, a series of signals, and SIGKILL at the earliest moment.
struct Play {
    deadline: Duration,
    workers: Workers,
    clients: Vec<Client>,
    /// Sent one after the other; the last TERM before SIGKILL's clock is the first of them.
    signals: &'static [&'static str],
    /// Bare connections are opened and dropped all the time.
    flood: bool,
    /// So many idle connections are held open, more than there are places.
    crowd: usize,
    /// The process is held up over and over, for as long as the platform says.
    held_up: bool,
    /// System calls that fail, as `rookspoke-faults` reads it.
    faults: Option<String>,
}

impl Play {
    fn new(deadline_ms: u64, workers: Workers, clients: Vec<Client>) -> Self {
        let deadline = Duration::from_millis(deadline_ms);
        let (signals, faults): (&[_], _) = (&["TERM"], None);
        Play { deadline, workers, clients, signals, flood: false, crowd: 0, held_up: false, faults }
    }

    fn kill_after(&self) -> Duration {
        self.deadline.min(LONGEST_COUNTED) + ALLOWANCE
    }

    /// Plays until one play was on time, and gives the requests that were lost in it.
    fn lost(&self) -> Vec<String> {
        (0..VOID_PLAYS).find_map(|_| self.once()).expect("the machine is too busy: every play was void")
    }

    /// None, if the signals of this play were late.
    fn once(&self) -> Option<Vec<String>> {
        let takes = match self.workers {
            Workers::Take(part) => Some(self.deadline.mul_f64(part)),
            Workers::Hang => None,
        };
        let workers: Vec<Worker> = (0..6).map(|n| worker(&format!("w-{n}"), takes)).collect();
        let discovery = Discovery::listing(&workers.iter().collect::<Vec<_>>());
        let mut config = platform_config(discovery.address);
        for class in config["settings"]["classes"].as_array_mut().expect("classes") {
            class["deadline_ms"] = (self.deadline.as_millis() as f64).into();
            class["goal_time_ms"] = class["deadline_ms"].clone();
        }
        config["settings"]["specifics"]["class_stretch"] = serde_json::json!([0.0, 0.0]);
        let daemon = match &self.faults {
            Some(schedule) => Daemon::start_with_faults(&config, schedule),
            None => Daemon::start(&config, None),
        };
        daemon.wait_ready();
        let http = daemon.address("http");

        let term = Arc::new(Mutex::new(None));
        let clients = (0..).zip(self.clients.iter().copied()).map(|(number, client)| {
            let (term, deadline) = (term.clone(), self.deadline);
            thread::spawn(move || Run { http, deadline, number, term, sent: Vec::new() }.run(client))
        });
        let clients: Vec<_> = clients.collect();
        let crowd: Vec<_> = (0..self.crowd).filter_map(|_| TcpStream::connect(http).ok()).collect();
        let flooding = Arc::new(AtomicBool::new(self.flood));
        thread::sleep(Duration::from_millis(300));
        let flood = {
            let flooding = flooding.clone();
            thread::spawn(move || flood(http, &flooding))
        };
        let start = Instant::now();
        for signal in self.signals {
            if *signal == "TERM" && term.lock().expect("SIGTERM").is_none() {
                *term.lock().expect("SIGTERM") = Some(Instant::now());
            }
            daemon.signal(signal);
        }
        let told = start.elapsed();
        let term = term.lock().expect("SIGTERM").expect("a SIGTERM among the signals");
        let kill_at = term + self.kill_after();
        while self.held_up && Instant::now() + 2 * HELD_UP < kill_at {
            daemon.signal("STOP");
            thread::sleep(HELD_UP);
            daemon.signal("CONT");
            thread::sleep(HELD_UP / 2);
        }
        thread::sleep(kill_at.saturating_duration_since(Instant::now()));
        let kill = Instant::now();
        daemon.kill();
        drop(crowd);
        let late = told > LATE || kill > kill_at + LATE;
        flooding.store(false, Ordering::Relaxed);
        flood.join().expect("the flood");
        let sent: Vec<Sent> =
            clients.into_iter().flat_map(|client| client.join().expect("a client")).collect();
        if late {
            return None;
        }
        assert!(sent.iter().filter(|sent| sent.at > term).count() > 0, "nothing was sent after SIGTERM");
        let seen: BTreeSet<String> = workers.iter().flat_map(Worker::ids).collect();
        let log = daemon.log().join("\n");
        let lost = sent.iter().filter(|sent| {
            let read = log.contains(&format!("id=\"{}\"", sent.id));
            let taken = seen.contains(&sent.id) || read || sent.ended >= kill;
            let exempt = sent.at <= term + ALLOWANCE && sent.ended >= kill;
            sent.status.is_none() && taken && !exempt
        });
        let tell = |sent: &Sent| {
            let after = |at: Instant| at.saturating_duration_since(term).as_millis();
            let lines: Vec<&str> = log.lines().filter(|line| line.contains(&sent.id)).collect();
            let log = if lines.is_empty() { "not in the log".into() } else { lines.join("; ") };
            let (at, ended) = (after(sent.at), after(sent.ended));
            format!("{} sent {at} ms after SIGTERM, ended after {ended} ms: {log}", sent.id)
        };
        Some(lost.map(tell).collect())
    }
}

/// Opens connections and resets them, one after the other, for as long as it is wanted.
fn flood(to: SocketAddr, wanted: &AtomicBool) {
    for _ in 0..FLOOD {
        if !wanted.load(Ordering::Relaxed) {
            return;
        }
        if let Ok(stream) = TcpStream::connect(to) {
            // No port is left waiting behind it.
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
        thread::sleep(Duration::from_micros(200));
    }
}

/// A log worker that takes this long for each job, or hangs.
fn worker(uid: &str, takes: Option<Duration>) -> Worker {
    Worker::start(uid, move |request, to| {
        let Some(takes) = takes else {
            thread::sleep(TEST_TIMEOUT);
            return false;
        };
        thread::sleep(takes);
        serve(request, to, "fine");
        true
    })
}

/// A client at work.
struct Run {
    http: SocketAddr,
    deadline: Duration,
    number: u64,
    term: Arc<Mutex<Option<Instant>>>,
    sent: Vec<Sent>,
}

impl Run {
    fn run(mut self, client: Client) -> Vec<Sent> {
        match client {
            Client::Busy => {
                let mut connection = connect(self.http);
                while self.whole(&mut connection) {
                    thread::sleep(Duration::from_millis(10));
                }
            }
            Client::FirstRequestAt(at) => {
                self.sleep_until(STILL_CONNECT - Duration::from_millis(60));
                if let Ok(stream) = TcpStream::connect(self.http) {
                    self.sleep_until(at);
                    self.whole(&mut BufReader::new(stream));
                }
            }
            Client::BodyEndsAt(at) => self.in_halves(&mut connect(self.http), at, true),
            Client::HeadEndsAt(at) => {
                let mut connection = connect(self.http);
                self.whole(&mut connection);
                self.in_halves(&mut connection, at, false);
            }
        }
        self.sent
    }

    /// Waits until so long after SIGTERM.
    fn sleep_until(&self, after: Duration) {
        let term = wait_for("SIGTERM", || *self.term.lock().expect("SIGTERM"));
        thread::sleep((term + after).saturating_duration_since(Instant::now()));
    }

    fn request(&self) -> (String, Vec<u8>) {
        static NEXT: AtomicU64 = AtomicU64::new(1);
        let id = format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed));
        let class = if self.number.is_multiple_of(3) { "qso-confirm" } else { "log-lookup" };
        // Some clients wait for less than the longest deadline.
        let waits = if self.number.is_multiple_of(2) { self.deadline } else { self.deadline.min(SHORT_WAIT) };
        let text = job_request(class, &id, waits.as_millis() as u32, "0123456789");
        (id, text)
    }

    /// Sends a request and waits for its answer; false once the connection has ended.
    fn whole(&mut self, connection: &mut BufReader<TcpStream>) -> bool {
        let (id, text) = self.request();
        connection.get_mut().write_all(&text).is_ok() && self.answer(id, connection)
    }

    fn in_halves(&mut self, connection: &mut BufReader<TcpStream>, at: Duration, in_body: bool) {
        let (id, text) = self.request();
        let (first, rest) = text.split_at(if in_body { text.len() - 5 } else { text.len() / 2 });
        if connection.get_mut().write_all(first).is_ok() {
            self.sleep_until(at);
            if connection.get_mut().write_all(rest).is_ok() {
                self.answer(id, connection);
            }
        }
    }

    fn answer(&mut self, id: String, connection: &mut BufReader<TcpStream>) -> bool {
        let at = Instant::now();
        let status = read_message(connection).map(|answer| answer.status);
        self.sent.push(Sent { id, at, status, ended: Instant::now() });
        status.is_some()
    }
}

fn connect(to: SocketAddr) -> BufReader<TcpStream> {
    BufReader::new(send(to, b""))
}

/// Busy clients, and ones that use what is open at any moment up to the kill.
fn every_client(kill_after: Duration) -> Vec<Client> {
    let moments = (0..12).map(|step| kill_after.mul_f64(0.4 + 0.05 * f64::from(step)));
    let mut clients = vec![Client::Busy; 10];
    for at in moments {
        clients.extend([Client::FirstRequestAt(at), Client::BodyEndsAt(at), Client::HeadEndsAt(at)]);
    }
    clients
}

/// Plays side by side; each has processes of its own.
fn plays(plays: Vec<(String, Play)>) {
    let running = plays.into_iter().map(|(name, play)| (name, thread::spawn(move || play.lost())));
    let running: Vec<_> = running.collect();
    let lost: Vec<_> = running.into_iter().map(|(name, play)| (name, play.join().expect("a play"))).collect();
    let lost: Vec<_> = lost.into_iter().filter(|(_, lost)| !lost.is_empty()).collect();
    assert!(lost.is_empty(), "requests were lost: {lost:#?}");
}

/// The staging incident of 2026-12-02: deadlines of 0.7 and 1.2 s, busy clients, one hanging or slow log worker.
#[test]
fn a_shutdown_loses_nothing_when_the_kill_follows_a_short_deadline() {
    let play = |ms, workers| Play::new(ms, workers, vec![Client::Busy; 12]);
    let cases = [200, 700, 1_200].into_iter().flat_map(|ms| {
        [Workers::Take(0.6), Workers::Hang]
            .map(|workers| (format!("{ms} ms, {workers:?}"), play(ms, workers)))
    });
    plays(cases.collect());
}

#[test]
fn a_shutdown_loses_nothing_when_the_kill_follows_a_long_deadline() {
    let play = |ms, workers| Play::new(ms, workers, vec![Client::Busy; 12]);
    let cases = [3_000, 10_000].into_iter().flat_map(|ms| {
        [Workers::Take(0.2), Workers::Hang]
            .map(|workers| (format!("{ms} ms, {workers:?}"), play(ms, workers)))
    });
    plays(cases.collect());
}

/// First requests on connections that were accepted late, and requests whose last bytes come at any moment of the shutdown.
#[test]
fn a_shutdown_loses_no_request_that_becomes_whole_at_any_moment_of_it() {
    let cases = [200, 700, 1_200, 3_000].into_iter().flat_map(|ms| {
        [Workers::Take(0.3), Workers::Hang].map(|workers| {
            let mut play = Play::new(ms, workers, Vec::new());
            play.clients = every_client(play.kill_after());
            (format!("{ms} ms, {workers:?}"), play)
        })
    });
    plays(cases.collect());
}

/// Signals that come in series, and connections that come without end, neither delay nor restart the shutdown.
#[test]
fn a_shutdown_loses_nothing_under_signals_in_series_and_a_flood_of_connections() {
    let series: [&'static [&'static str]; 4] = [
        &["HUP", "TERM"],
        &["TERM", "TERM"],
        &["TERM", "HUP", "HUP"],
        &["HUP", "HUP", "TERM", "HUP", "TERM"],
    ];
    let mut cases: Vec<_> = series
        .into_iter()
        .map(|signals| {
            let play = Play::new(700, Workers::Take(0.6), vec![Client::Busy; 12]);
            (format!("{signals:?}"), Play { signals, ..play })
        })
        .collect();
    let play = Play::new(700, Workers::Take(0.6), vec![Client::Busy; 12]);
    cases.push(("a flood".into(), Play { flood: true, ..play }));
    plays(cases);
}

/// Idle clients fill every place, and the process stands still for 0.15 s again and again.
#[test]
fn a_shutdown_loses_nothing_under_a_crowd_or_while_it_is_held_up() {
    let play = |ms| {
        let mut play = Play::new(ms, Workers::Take(0.3), Vec::new());
        play.clients = every_client(play.kill_after());
        play
    };
    let cases = [200, 700, 3_000].into_iter().flat_map(|ms| {
        let crowded = Play { crowd: 700, ..play(ms) };
        let held_up = Play { held_up: true, ..play(ms) };
        [(format!("{ms} ms, a crowd"), crowded), (format!("{ms} ms, held up"), held_up)]
    });
    plays(cases.collect());
}

/// What is open to a request at the kill can lose one that comes in that moment. So a connection that rests, one that was
/// never used and one whose request stops half-way have ended by then, the last with an answer.
#[test]
fn nothing_is_open_to_a_new_request_at_the_kill() {
    let worker = Worker::serving("w-1");
    let discovery = Discovery::listing(&[&worker]);
    let mut config = platform_config(discovery.address);
    let deadline = Duration::from_millis(700);
    for class in config["settings"]["classes"].as_array_mut().expect("classes") {
        class["deadline_ms"] = (deadline.as_millis() as f64).into();
        class["goal_time_ms"] = class["deadline_ms"].clone();
    }
    let daemon = Daemon::start(&config, None);
    daemon.wait_ready();
    let http = daemon.address("http");
    let request = |id: u32| job_request("log-lookup", &format!("{id:016x}"), 700, "0123456789");
    let used = |id: u32| {
        let mut connection = connect(http);
        connection.get_mut().write_all(&request(id)).expect("sent");
        assert_eq!(read_message(&mut connection).expect("an answer").status, 200);
        connection
    };
    let half = |mut connection: BufReader<TcpStream>, id: u32, length: usize| {
        connection.get_mut().write_all(&request(id)[..length]).expect("sent");
        connection
    };
    let whole = request(1).len();
    let cases = [
        ("unused", connect(http), ""),
        ("resting", used(1), ""),
        ("half a first head", half(connect(http), 2, 40), "HTTP/1.1 400 "),
        ("half a head", half(used(3), 4, 40), "HTTP/1.1 400 "),
        ("half a first body", half(connect(http), 5, whole - 5), "HTTP/1.1 408 "),
        ("half a body", half(used(6), 7, whole - 5), "HTTP/1.1 408 "),
    ];
    let term = Instant::now();
    daemon.signal("TERM");
    let ends = cases.map(|(case, mut connection, answer)| {
        thread::spawn(move || {
            let mut heard = Vec::new();
            let _ = connection.read_to_end(&mut heard);
            let heard = String::from_utf8_lossy(&heard).into_owned();
            (case, heard.starts_with(answer), heard, Instant::now())
        })
    });
    thread::sleep((term + deadline + ALLOWANCE).saturating_duration_since(Instant::now()));
    let kill = Instant::now();
    daemon.kill();
    for end in ends {
        let (case, as_expected, heard, ended) = end.join().expect("a client");
        assert!(ended < kill, "{case}: open at the kill, {:?} after SIGTERM", ended - term);
        assert!(as_expected, "{case}: {heard:?}");
    }
    assert_eq!(worker.count(), 3, "half a request was sent on");
}

/// The seeds that every run plays.
const SEEDS: std::ops::Range<u64> = 1..9;
/// Plays side by side.
const TOGETHER: usize = 4;

/// A shutdown drawn from a seed.
fn drawn(seed: u64) -> Play {
    let mut rng = SmallRng::seed_from_u64(seed);
    let deadline = [200, 350, 700, 1_200, 2_000, 3_000, 5_000][rng.random_range(0..7)];
    let workers = match rng.random_bool(0.3) {
        true => Workers::Hang,
        false => Workers::Take(rng.random_range(0.05..0.9)),
    };
    let mut play = Play::new(deadline, workers, Vec::new());
    let moment = |rng: &mut SmallRng, kill: Duration| kill.mul_f64(rng.random_range(0.2..1.0));
    let kill = play.kill_after();
    play.clients = (0..rng.random_range(10..60))
        .map(|_| match rng.random_range(0..5) {
            0 | 1 => Client::Busy,
            2 => Client::FirstRequestAt(moment(&mut rng, kill)),
            3 => Client::BodyEndsAt(moment(&mut rng, kill)),
            _ => Client::HeadEndsAt(moment(&mut rng, kill)),
        })
        .collect();
    play.signals = [
        &["TERM"][..],
        &["HUP", "TERM"],
        &["TERM", "TERM"],
        &["TERM", "HUP"],
        &["HUP", "HUP", "TERM", "HUP", "TERM"],
        &["USR1", "TERM", "USR1"],
    ][rng.random_range(0..6)];
    play.flood = rng.random_bool(0.2);
    play.crowd = if rng.random_bool(0.2) { rng.random_range(100..700) } else { 0 };
    play.held_up = rng.random_bool(0.25);
    let faults = [
        "receive=EINTR:10 receive=SHORT:10 peek=EINTR:20 send=EINTR:10 send=SHORT:5 wait=EINTR:10",
        "peek=ENOMEM:20 receive=ENOMEM:2 send=ENOBUFS:2",
        "accept=ECONNABORTED:30 accept=EMFILE:10 connect=EADDRNOTAVAIL:5 socket=ENOBUFS:5",
        "connect=ENETUNREACH:10 connect=ETIMEDOUT:5 receive=SHORT:30",
    ];
    play.faults =
        rng.random_bool(0.5).then(|| format!("{seed} {}", faults[rng.random_range(0..faults.len())]));
    play
}

#[test]
fn shutdowns_drawn_from_seeds_lose_nothing() {
    let seeds: Vec<u64> = soak::seeds_from_env().unwrap_or(SEEDS).collect();
    for seeds in seeds.chunks(TOGETHER) {
        let started = seeds.iter().map(|seed| {
            let play = drawn(*seed);
            let Play { deadline, workers, clients, signals, flood, crowd, held_up, faults } = &play;
            let (ms, clients) = (deadline.as_millis(), clients.len());
            let name = format!(
                "seed {seed}: {ms} ms, {workers:?}, {clients} clients, {signals:?}, flood {flood}, crowd {crowd}, held up \
                 {held_up}, faults {faults:?}"
            );
            println!("{name}");
            (name, play)
        });
        plays(started.collect());
    }
}
