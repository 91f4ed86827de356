//! Graceful shutdown with SIGKILL at the earliest moment that the platform allows: 0.7 s plus the longest deadline, of
//! which at most 3 s are counted, after SIGTERM. Until then clients use every connection that stays open.

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

/// The platform counts at most this much of the longest deadline.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Time from the counted deadline to SIGKILL. A request sent within this time after SIGTERM may still be open at
/// SIGKILL.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// New connections are accepted for this long after SIGTERM.
const ACCEPT_WINDOW: Duration = Duration::from_millis(400);
/// Upper bound on the deadline of every other client's requests, whatever the longest deadline is.
const SHORT_CLIENT_DEADLINE: Duration = Duration::from_millis(600);
/// The platform may suspend a process for this long at a time.
const SUSPENSION: Duration = Duration::from_millis(150);
/// The most connections that a flood opens.
const MAX_FLOOD_CONNECTIONS: usize = 6_000;
/// A run whose own signals were sent later than this is void.
const MAX_SIGNAL_DELAY: Duration = Duration::from_millis(60);
/// Attempts at a run before the test fails because the machine is too busy to send signals on time.
const MAX_VOID_RUNS: usize = 8;

/// A request that a client sent, and its result.
#[derive(Debug)]
struct SentRequest {
    id: String,
    /// When its last byte was written.
    sent_at: Instant,
    status: Option<u16>,
    /// When its response was read or its connection ended.
    finished_at: Instant,
}

/// How a client behaves.
#[derive(Clone, Copy, Debug)]
enum Client {
    /// Sends the next request on its connection 10 ms after the response to the previous one.
    Busy,
    /// Connects shortly before the listener closes and sends its first request this long after SIGTERM.
    FirstRequestAt(Duration),
    /// Sends half of a request's body before SIGTERM, and the rest this long after it.
    BodyEndsAt(Duration),
    /// Sends half of a request's head on a used connection before SIGTERM, and the rest this long after it.
    HeadEndsAt(Duration),
}

/// How the log workers of a run behave.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Workers {
    /// Each job takes this fraction of the deadline.
    ServeAfter(f64),
    /// No job is ever answered.
    Hang,
}

/// One shutdown: a daemon, its log workers and clients, a series of signals, and SIGKILL at the earliest moment.
struct Shutdown {
    deadline: Duration,
    workers: Workers,
    clients: Vec<Client>,
    /// Sent one after the other; the time to SIGKILL runs from the first TERM.
    signals: &'static [&'static str],
    /// Whether connections are opened and reset continuously.
    flood: bool,
    /// How many idle connections are held open; 700 are more than the daemon has room for.
    idle_connections: usize,
    /// Whether the process is suspended repeatedly, for as long as the platform may do so.
    suspended: bool,
    /// Schedule of failing system calls, in the syntax of `rookspoke-faults`.
    faults: Option<String>,
}

impl Shutdown {
    fn new(deadline_ms: u64, workers: Workers, clients: Vec<Client>) -> Self {
        let deadline = Duration::from_millis(deadline_ms);
        let (signals, faults): (&[_], _) = (&["TERM"], None);
        Shutdown {
            deadline,
            workers,
            clients,
            signals,
            flood: false,
            idle_connections: 0,
            suspended: false,
            faults,
        }
    }

    fn kill_after(&self) -> Duration {
        self.deadline.min(MAX_COUNTED_DEADLINE) + KILL_MARGIN
    }

    /// Repeats the shutdown until one run was on time, and returns the requests that it lost.
    fn lost_requests(&self) -> Vec<String> {
        (0..MAX_VOID_RUNS).find_map(|_| self.run_once()).expect("the machine is too busy: every run was void")
    }

    /// Returns `None` if the signals of this run were late.
    fn run_once(&self) -> Option<Vec<String>> {
        let service_time = match self.workers {
            Workers::ServeAfter(fraction) => Some(self.deadline.mul_f64(fraction)),
            Workers::Hang => None,
        };
        let workers: Vec<Worker> = (0..6).map(|n| start_worker(&format!("w-{n}"), service_time)).collect();
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
            thread::spawn(move || ClientTask { http, deadline, number, term, sent: Vec::new() }.run(client))
        });
        let clients: Vec<_> = clients.collect();
        let idle: Vec<_> = (0..self.idle_connections).filter_map(|_| TcpStream::connect(http).ok()).collect();
        let flood_active = Arc::new(AtomicBool::new(self.flood));
        thread::sleep(Duration::from_millis(300));
        let flood = {
            let flood_active = flood_active.clone();
            thread::spawn(move || flood(http, &flood_active))
        };
        let start = Instant::now();
        for signal in self.signals {
            if *signal == "TERM" && term.lock().expect("SIGTERM").is_none() {
                *term.lock().expect("SIGTERM") = Some(Instant::now());
            }
            daemon.signal(signal);
        }
        let signalling_time = start.elapsed();
        let term = term.lock().expect("SIGTERM").expect("a SIGTERM among the signals");
        let kill_at = term + self.kill_after();
        while self.suspended && Instant::now() + 2 * SUSPENSION < kill_at {
            daemon.signal("STOP");
            thread::sleep(SUSPENSION);
            daemon.signal("CONT");
            thread::sleep(SUSPENSION / 2);
        }
        thread::sleep(kill_at.saturating_duration_since(Instant::now()));
        let kill = Instant::now();
        daemon.kill();
        drop(idle);
        let late = signalling_time > MAX_SIGNAL_DELAY || kill > kill_at + MAX_SIGNAL_DELAY;
        flood_active.store(false, Ordering::Relaxed);
        flood.join().expect("the flood");
        let sent: Vec<SentRequest> =
            clients.into_iter().flat_map(|client| client.join().expect("a client")).collect();
        if late {
            return None;
        }
        assert!(sent.iter().filter(|sent| sent.sent_at > term).count() > 0, "nothing was sent after SIGTERM");
        let received_ids: BTreeSet<String> = workers.iter().flat_map(Worker::ids).collect();
        let log = daemon.log().join("\n");
        let lost = sent.iter().filter(|sent| {
            let read = log.contains(&format!("id=\"{}\"", sent.id));
            let accepted = received_ids.contains(&sent.id) || read || sent.finished_at >= kill;
            let exempt = sent.sent_at <= term + KILL_MARGIN && sent.finished_at >= kill;
            sent.status.is_none() && accepted && !exempt
        });
        let describe = |sent: &SentRequest| {
            let after = |at: Instant| at.saturating_duration_since(term).as_millis();
            let lines: Vec<&str> = log.lines().filter(|line| line.contains(&sent.id)).collect();
            let log = if lines.is_empty() { "not in the log".into() } else { lines.join("; ") };
            let (sent_at, finished_at) = (after(sent.sent_at), after(sent.finished_at));
            format!("{} sent {sent_at} ms after SIGTERM, finished after {finished_at} ms: {log}", sent.id)
        };
        Some(lost.map(describe).collect())
    }
}

/// Opens and resets connections one after the other until `keep_going` is cleared.
fn flood(to: SocketAddr, keep_going: &AtomicBool) {
    for _ in 0..MAX_FLOOD_CONNECTIONS {
        if !keep_going.load(Ordering::Relaxed) {
            return;
        }
        if let Ok(stream) = TcpStream::connect(to) {
            // A reset leaves no port in TIME_WAIT.
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
        thread::sleep(Duration::from_micros(200));
    }
}

/// A log worker that serves each job after `service_time`, or hangs without one.
fn start_worker(uid: &str, service_time: Option<Duration>) -> Worker {
    Worker::start(uid, move |request, to| {
        let Some(service_time) = service_time else {
            thread::sleep(TEST_TIMEOUT);
            return false;
        };
        thread::sleep(service_time);
        serve(request, to, "fine");
        true
    })
}

/// The thread of one client and the requests that it has sent.
struct ClientTask {
    http: SocketAddr,
    deadline: Duration,
    number: u64,
    term: Arc<Mutex<Option<Instant>>>,
    sent: Vec<SentRequest>,
}

impl ClientTask {
    fn run(mut self, client: Client) -> Vec<SentRequest> {
        match client {
            Client::Busy => {
                let mut connection = connect(self.http);
                while self.send_request(&mut connection) {
                    thread::sleep(Duration::from_millis(10));
                }
            }
            Client::FirstRequestAt(at) => {
                self.sleep_until(ACCEPT_WINDOW - Duration::from_millis(60));
                if let Ok(stream) = TcpStream::connect(self.http) {
                    self.sleep_until(at);
                    self.send_request(&mut BufReader::new(stream));
                }
            }
            Client::BodyEndsAt(at) => self.send_in_halves(&mut connect(self.http), at, true),
            Client::HeadEndsAt(at) => {
                let mut connection = connect(self.http);
                self.send_request(&mut connection);
                self.send_in_halves(&mut connection, at, false);
            }
        }
        self.sent
    }

    /// Sleeps until this long after SIGTERM.
    fn sleep_until(&self, after_sigterm: Duration) {
        let term = wait_for("SIGTERM", || *self.term.lock().expect("SIGTERM"));
        thread::sleep((term + after_sigterm).saturating_duration_since(Instant::now()));
    }

    fn next_request(&self) -> (String, Vec<u8>) {
        static NEXT: AtomicU64 = AtomicU64::new(1);
        let id = format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed));
        let class = if self.number.is_multiple_of(3) { "qso-confirm" } else { "log-lookup" };
        // Some clients send a deadline below the longest one.
        let time_left = if self.number.is_multiple_of(2) {
            self.deadline
        } else {
            self.deadline.min(SHORT_CLIENT_DEADLINE)
        };
        let text = job_request(class, &id, time_left.as_millis() as u32, "0123456789");
        (id, text)
    }

    /// Sends a request and waits for its response; returns false once the connection has ended.
    fn send_request(&mut self, connection: &mut BufReader<TcpStream>) -> bool {
        let (id, text) = self.next_request();
        connection.get_mut().write_all(&text).is_ok() && self.read_response(id, connection)
    }

    fn send_in_halves(&mut self, connection: &mut BufReader<TcpStream>, rest_at: Duration, in_body: bool) {
        let (id, text) = self.next_request();
        let (first, rest) = text.split_at(if in_body { text.len() - 5 } else { text.len() / 2 });
        if connection.get_mut().write_all(first).is_ok() {
            self.sleep_until(rest_at);
            if connection.get_mut().write_all(rest).is_ok() {
                self.read_response(id, connection);
            }
        }
    }

    fn read_response(&mut self, id: String, connection: &mut BufReader<TcpStream>) -> bool {
        let sent_at = Instant::now();
        let status = read_message(connection).map(|response| response.status);
        self.sent.push(SentRequest { id, sent_at, status, finished_at: Instant::now() });
        status.is_some()
    }
}

fn connect(to: SocketAddr) -> BufReader<TcpStream> {
    BufReader::new(send(to, b""))
}

/// Busy clients, and clients whose requests become complete at moments spread over the time to SIGKILL.
fn clients_at_all_moments(kill_after: Duration) -> Vec<Client> {
    let moments = (0..12).map(|step| kill_after.mul_f64(0.4 + 0.05 * f64::from(step)));
    let mut clients = vec![Client::Busy; 10];
    for at in moments {
        clients.extend([Client::FirstRequestAt(at), Client::BodyEndsAt(at), Client::HeadEndsAt(at)]);
    }
    clients
}

/// Runs shutdowns in parallel, each with processes of its own, and fails if one lost a request.
fn run_in_parallel(runs: Vec<(String, Shutdown)>) {
    let running = runs.into_iter().map(|(name, run)| (name, thread::spawn(move || run.lost_requests())));
    let running: Vec<_> = running.collect();
    let lost: Vec<_> =
        running.into_iter().map(|(name, run)| (name, run.join().expect("the run ends"))).collect();
    let lost: Vec<_> = lost.into_iter().filter(|(_, lost)| !lost.is_empty()).collect();
    assert!(lost.is_empty(), "requests were lost: {lost:#?}");
}

/// Staging incident of 2026-12-02: with deadlines of 0.7 and 1.2 s, busy clients and one hanging or slow log worker, a
/// shutdown lost requests.
#[test]
fn shutdown_loses_no_request_when_sigkill_follows_a_short_deadline() {
    let shutdown = |ms, workers| Shutdown::new(ms, workers, vec![Client::Busy; 12]);
    let cases = [200, 700, 1_200].into_iter().flat_map(|ms| {
        [Workers::ServeAfter(0.6), Workers::Hang]
            .map(|workers| (format!("{ms} ms, {workers:?}"), shutdown(ms, workers)))
    });
    run_in_parallel(cases.collect());
}

#[test]
fn shutdown_loses_no_request_when_sigkill_follows_a_long_deadline() {
    let shutdown = |ms, workers| Shutdown::new(ms, workers, vec![Client::Busy; 12]);
    let cases = [3_000, 10_000].into_iter().flat_map(|ms| {
        [Workers::ServeAfter(0.2), Workers::Hang]
            .map(|workers| (format!("{ms} ms, {workers:?}"), shutdown(ms, workers)))
    });
    run_in_parallel(cases.collect());
}

/// Covers first requests on connections that were accepted late, and requests whose last bytes arrive at any moment of
/// the shutdown.
#[test]
fn shutdown_loses_no_request_that_becomes_complete_at_any_moment_of_it() {
    let cases = [200, 700, 1_200, 3_000].into_iter().flat_map(|ms| {
        [Workers::ServeAfter(0.3), Workers::Hang].map(|workers| {
            let mut shutdown = Shutdown::new(ms, workers, Vec::new());
            shutdown.clients = clients_at_all_moments(shutdown.kill_after());
            (format!("{ms} ms, {workers:?}"), shutdown)
        })
    });
    run_in_parallel(cases.collect());
}

/// Guards against repeated signals or a continuous flood of connections delaying or restarting the shutdown.
#[test]
fn shutdown_loses_no_request_under_repeated_signals_or_a_connection_flood() {
    let series: [&'static [&'static str]; 4] = [
        &["HUP", "TERM"],
        &["TERM", "TERM"],
        &["TERM", "HUP", "HUP"],
        &["HUP", "HUP", "TERM", "HUP", "TERM"],
    ];
    let mut cases: Vec<_> = series
        .into_iter()
        .map(|signals| {
            let shutdown = Shutdown::new(700, Workers::ServeAfter(0.6), vec![Client::Busy; 12]);
            (format!("{signals:?}"), Shutdown { signals, ..shutdown })
        })
        .collect();
    let shutdown = Shutdown::new(700, Workers::ServeAfter(0.6), vec![Client::Busy; 12]);
    cases.push(("connection flood".into(), Shutdown { flood: true, ..shutdown }));
    run_in_parallel(cases);
}

/// Idle clients take up all connections, or the process is suspended for 0.15 s repeatedly.
#[test]
fn shutdown_loses_no_request_with_all_connections_taken_or_repeated_suspension() {
    let shutdown = |ms| {
        let mut shutdown = Shutdown::new(ms, Workers::ServeAfter(0.3), Vec::new());
        shutdown.clients = clients_at_all_moments(shutdown.kill_after());
        shutdown
    };
    let cases = [200, 700, 3_000].into_iter().flat_map(|ms| {
        let crowded = Shutdown { idle_connections: 700, ..shutdown(ms) };
        let suspended = Shutdown { suspended: true, ..shutdown(ms) };
        [(format!("{ms} ms, idle connections"), crowded), (format!("{ms} ms, suspended"), suspended)]
    });
    run_in_parallel(cases.collect());
}

/// A connection that is still open at SIGKILL loses a request that arrives at that moment. So idle connections, unused
/// connections and those with an incomplete request must have ended by then, the last kind with an error response.
#[test]
fn no_connection_accepts_a_new_request_at_sigkill() {
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
    let partial = |mut connection: BufReader<TcpStream>, id: u32, length: usize| {
        connection.get_mut().write_all(&request(id)[..length]).expect("sent");
        connection
    };
    let full_length = request(1).len();
    let cases = [
        ("unused", connect(http), ""),
        ("idle", used(1), ""),
        ("half a first head", partial(connect(http), 2, 40), "HTTP/1.1 400 "),
        ("half a head", partial(used(3), 4, 40), "HTTP/1.1 400 "),
        ("half a first body", partial(connect(http), 5, full_length - 5), "HTTP/1.1 408 "),
        ("half a body", partial(used(6), 7, full_length - 5), "HTTP/1.1 408 "),
    ];
    let term = Instant::now();
    daemon.signal("TERM");
    let clients = cases.map(|(case, mut connection, expected)| {
        thread::spawn(move || {
            let mut received = Vec::new();
            let _ = connection.read_to_end(&mut received);
            let received = String::from_utf8_lossy(&received).into_owned();
            (case, received.starts_with(expected), received, Instant::now())
        })
    });
    thread::sleep((term + deadline + KILL_MARGIN).saturating_duration_since(Instant::now()));
    let kill = Instant::now();
    daemon.kill();
    for client in clients {
        let (case, as_expected, received, ended) = client.join().expect("a client");
        assert!(ended < kill, "{case}: still open at SIGKILL, ended {:?} after SIGTERM", ended - term);
        assert!(as_expected, "{case}: {received:?}");
    }
    assert_eq!(worker.count(), 3, "an incomplete request was forwarded");
}

/// The seeds of the regular test run.
const SEEDS: std::ops::Range<u64> = 1..9;
/// Shutdowns that run in parallel.
const PARALLEL_RUNS: usize = 4;

/// Generates a shutdown from a seed.
fn generate(seed: u64) -> Shutdown {
    let mut rng = SmallRng::seed_from_u64(seed);
    let deadline = [200, 350, 700, 1_200, 2_000, 3_000, 5_000][rng.random_range(0..7)];
    let workers = match rng.random_bool(0.3) {
        true => Workers::Hang,
        false => Workers::ServeAfter(rng.random_range(0.05..0.9)),
    };
    let mut shutdown = Shutdown::new(deadline, workers, Vec::new());
    let moment = |rng: &mut SmallRng, kill: Duration| kill.mul_f64(rng.random_range(0.2..1.0));
    let kill = shutdown.kill_after();
    shutdown.clients = (0..rng.random_range(10..60))
        .map(|_| match rng.random_range(0..5) {
            0 | 1 => Client::Busy,
            2 => Client::FirstRequestAt(moment(&mut rng, kill)),
            3 => Client::BodyEndsAt(moment(&mut rng, kill)),
            _ => Client::HeadEndsAt(moment(&mut rng, kill)),
        })
        .collect();
    shutdown.signals = [
        &["TERM"][..],
        &["HUP", "TERM"],
        &["TERM", "TERM"],
        &["TERM", "HUP"],
        &["HUP", "HUP", "TERM", "HUP", "TERM"],
        &["USR1", "TERM", "USR1"],
    ][rng.random_range(0..6)];
    shutdown.flood = rng.random_bool(0.2);
    shutdown.idle_connections = if rng.random_bool(0.2) { rng.random_range(100..700) } else { 0 };
    shutdown.suspended = rng.random_bool(0.25);
    let faults = [
        "receive=EINTR:10 receive=SHORT:10 peek=EINTR:20 send=EINTR:10 send=SHORT:5 wait=EINTR:10",
        "peek=ENOMEM:20 receive=ENOMEM:2 send=ENOBUFS:2",
        "accept=ECONNABORTED:30 accept=EMFILE:10 connect=EADDRNOTAVAIL:5 socket=ENOBUFS:5",
        "connect=ENETUNREACH:10 connect=ETIMEDOUT:5 receive=SHORT:30",
    ];
    shutdown.faults =
        rng.random_bool(0.5).then(|| format!("{seed} {}", faults[rng.random_range(0..faults.len())]));
    shutdown
}

#[test]
fn randomized_shutdowns_lose_no_request() {
    let seeds: Vec<u64> = soak::seeds_from_env().unwrap_or(SEEDS).collect();
    for seeds in seeds.chunks(PARALLEL_RUNS) {
        let started = seeds.iter().map(|seed| {
            let shutdown = generate(*seed);
            let Shutdown { deadline, workers, clients, signals, flood, idle_connections, suspended, faults } = &shutdown;
            let (ms, clients) = (deadline.as_millis(), clients.len());
            let name = format!(
                "seed {seed}: {ms} ms, {workers:?}, {clients} clients, {signals:?}, flood {flood}, idle connections \
                 {idle_connections}, suspended {suspended}, faults {faults:?}"
            );
            println!("{name}");
            (name, shutdown)
        });
        run_in_parallel(started.collect());
    }
}
