//! Case: a log worker's answer "turned away" arrives twice, the second time some milliseconds later.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use review_standins::*;

/// Slots of a log worker, and places in its waiting room.
const SLOTS: usize = 7;
const WAITING_ROOM: usize = 1;
/// One way between the dispatcher and a log worker.
const CROSS_ZONE_MS: (f64, f64) = (5.1, 9.1);
const SAME_ZONE_MS: (f64, f64) = (0.1, 0.29);
/// How long after the first answer the second one is written.
const SECOND_ANSWER_MS: (f64, f64) = (5.0, 10.0);
/// The share of the answers "turned away" that are written twice.
const DOUBLED: f64 = 1.0;
const LENGTH: Duration = Duration::from_secs(100);
const CLIENTS: usize = 700;
const WORKERS: usize = 20;
const ZONES: [&str; 4] = ["tunis-centre", "sfax", "sousse", "gabes"];
const DISPATCHERS: usize = 4;
/// How often a log worker refreshes its load report.
const REPORT_EVERY: Duration = Duration::from_millis(700);

/// What happened to one request.
#[derive(Default)]
struct Fate {
    class: &'static str,
    /// The log workers that started it.
    started: Vec<String>,
    /// Attempts that were received whole.
    received: usize,
    answer: Option<u16>,
}

type Fates = Arc<Mutex<BTreeMap<String, Fate>>>;

#[derive(Default)]
struct Room {
    running: usize,
    /// Tickets of those that wait, in order.
    waiting: Vec<u64>,
    next_ticket: u64,
    /// The free slots as last reported, and when.
    report: Option<(Instant, usize)>,
}

struct Worker {
    name: String,
    room: Mutex<Room>,
    freed: Condvar,
    fates: Fates,
    record: Record,
    trouble: bool,
    doubled: AtomicUsize,
    crossed: AtomicUsize,
    turned_away: AtomicUsize,
}

/// Whether the other side has closed a connection on which nothing may come now.
fn is_closed(reader: &BufReader<TcpStream>) -> bool {
    let stream = reader.get_ref();
    let _ = stream.set_nonblocking(true);
    let closed = !matches!(stream.peek(&mut [0]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
    let _ = stream.set_nonblocking(false);
    closed
}

fn nap(ms: f64) {
    std::thread::sleep(Duration::from_secs_f64(ms / 1e3));
}

impl Worker {
    /// Serves one connection: one request at a time.
    fn serve(self: Arc<Self>, stream: TcpStream, one_way_ms: (f64, f64), mut rng: Rng) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let writer = Arc::new(Mutex::new(stream.try_clone().ok()?));
        let mut reader = BufReader::new(stream);
        let write = |text: &str| writer.lock().unwrap().write_all(text.as_bytes()).ok();
        let chunk = |text: &str| format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
        let second_due = Arc::new(AtomicBool::new(false));
        while let Some(request) = read_message(&mut reader) {
            let crossed = second_due.load(Ordering::Acquire);
            let one_way = rng.range(one_way_ms.0, one_way_ms.1);
            nap(one_way);
            if request.first_line.starts_with("GET /stats") {
                let mut room = self.room.lock().unwrap();
                let now = SLOTS - room.running;
                let fresh = room.report.filter(|(at, _)| at.elapsed() < REPORT_EVERY);
                let (at, free) = fresh.unwrap_or((Instant::now(), now));
                room.report = Some((at, free));
                drop(room);
                let body = format!(r#"{{"x0":{free},"util":{:.2}}}"#, 1.0 - free as f64 / SLOTS as f64);
                nap(one_way);
                write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))?;
                continue;
            }
            let id = request.header("x-correlation-id").unwrap_or("").to_owned();
            let run_ms: f64 = std::str::from_utf8(&request.body).ok()?.trim().parse().ok()?;
            if let Some(fate) = self.fates.lock().unwrap().get_mut(&id) {
                fate.received += 1;
            }
            if crossed {
                self.crossed.fetch_add(1, Ordering::Relaxed);
                self.record.line(&format!("{} got {id} before it wrote its second answer", self.name));
            }
            let ticket = self.enter();
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let Some(ticket) = ticket else {
                self.turned_away.fetch_add(1, Ordering::Relaxed);
                self.record.line(&format!("{} turned away {id}", self.name));
                let answer =
                    "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
                nap(one_way);
                write(answer)?;
                if self.trouble && rng.unit() < DOUBLED {
                    self.doubled.fetch_add(1, Ordering::Relaxed);
                    second_due.store(true, Ordering::Release);
                    let due = second_due.clone();
                    let (writer, later) = (writer.clone(), rng.range(SECOND_ANSWER_MS.0, SECOND_ANSWER_MS.1));
                    let (record, name) = (self.record.clone(), self.name.clone());
                    std::thread::spawn(move || {
                        nap(later);
                        due.store(false, Ordering::Release);
                        if writer.lock().unwrap().write_all(answer.as_bytes()).is_ok() {
                            record.line(&format!("{name} wrote its answer to {id} once more"));
                        }
                    });
                }
                continue;
            };
            // It has taken the job; it does not tell of the start.
            let late_writer = writer.clone();
            let told = std::thread::spawn(move || {
                nap(one_way);
                late_writer.lock().unwrap().write_all(head.as_bytes()).ok()
            });
            if !self.wait_for_slot(ticket, &reader) {
                return None;
            }
            self.record.line(&format!("{} started {id}", self.name));
            if let Some(fate) = self.fates.lock().unwrap().get_mut(&id) {
                fate.started.push(self.name.clone());
            }
            let whole = self.run(run_ms, &reader);
            self.leave();
            if !whole {
                self.record.line(&format!("{} stopped {id}: its connection was closed", self.name));
                return None;
            }
            nap(one_way);
            let last = chunk(&format!(
                r#"{{"id":"{id}","from":"{}","state":"done","result":"of {id}"}}"#,
                self.name
            ));
            let told = told.join().ok()?.and_then(|()| write(&format!("{last}0\r\n\r\n")));
            self.record.line(&format!(
                "{} ran {id} to its end{}",
                self.name,
                if told.is_some() { "" } else { ", connection closed" }
            ));
            told?;
        }
        Some(())
    }

    /// Takes a job in; `None` if the waiting room is full.
    fn enter(&self) -> Option<u64> {
        let mut room = self.room.lock().unwrap();
        let may_start = room.running + room.waiting.len() < SLOTS;
        if !may_start && room.waiting.len() >= WAITING_ROOM {
            return None;
        }
        room.next_ticket += 1;
        let ticket = room.next_ticket;
        room.waiting.push(ticket);
        Some(ticket)
    }

    /// Waits for a slot, in order. What waits is dropped when its connection closes: then it is false.
    fn wait_for_slot(&self, ticket: u64, reader: &BufReader<TcpStream>) -> bool {
        let mut room = self.room.lock().unwrap();
        loop {
            if room.running < SLOTS && room.waiting[0] == ticket {
                room.running += 1;
                room.waiting.remove(0);
                self.freed.notify_all();
                return true;
            }
            if is_closed(reader) {
                room.waiting.retain(|other| *other != ticket);
                self.freed.notify_all();
                return false;
            }
            room = self.freed.wait_timeout(room, ms(5)).unwrap().0;
        }
    }

    /// Runs a job; false if its connection is closed meanwhile, which stops it.
    fn run(&self, run_ms: f64, reader: &BufReader<TcpStream>) -> bool {
        let end = Instant::now() + Duration::from_secs_f64(run_ms / 1e3);
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return true;
            }
            std::thread::sleep(left.min(ms(5)));
            if is_closed(reader) {
                return false;
            }
        }
    }

    fn leave(&self) {
        self.room.lock().unwrap().running -= 1;
        self.freed.notify_all();
    }
}

fn config(number: usize, listen: SocketAddr, discovery: SocketAddr) -> String {
    format!(
        r#"{{"name":"n{number}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":null,"settings":{{
"balancers":{DISPATCHERS},"me":{number},"zone":"{}","localities":["tunis-centre","sfax","sousse","gabes"],"machine_types":["std-7"],
"classes":[
 {{"name":"roster-view","effect":"read_like","gain":1.0,"goal_time_ms":200.0,"deadline_ms":5000.0,"late_worth":0.0,"group":"all","dedup_window_ms":5000.0,"streamed":false}},
 {{"name":"shift-signup","effect":"idempotency_key","gain":5.0,"goal_time_ms":300.0,"deadline_ms":6000.0,"late_worth":0.0,"group":"cell","dedup_window_ms":10000.0,"streamed":false}}],
"discovery":"subscribe","projects":[],"quantum_ms":4.0,
"limits":{{"cancel":true,"probes":true,"second_copies":true,"retry_after":true,"send_cap":3,"max_retry_after_ms":2000.0,"conn_idle_ms":15000.0,"connect_timeout_ms":250.0}},
"reporting":{{"how":"probe","fields":["x0","cpu_share"]}},
"rules":{{"answer_slack_ms":16.0,"ask_every_ms":10000.0,"stop_sending_within_ms":500.0,"cold_from":0.13,"ramp_time_ms":23000.0,"fall_multiple":3.0,"overload_for_ms":3000.0}},
"specifics":{{"tells_start":false,"progress_ms":2000.0,"class_stretch":[2.5,2.0],"report_x0":"free_slots"}}}}}}"#,
        ZONES[number]
    )
}

/// In how many racks a request was started: the log workers of one rack drop a repeat.
fn racks(fate: &Fate) -> usize {
    let rack = |name: &String| name[2..].parse::<usize>().unwrap_or(0) % ZONES.len();
    let mut racks: Vec<usize> = fate.started.iter().map(rack).collect();
    racks.sort();
    racks.dedup();
    racks.len()
}

/// A client: sends one request at a time on a kept connection, and retries nothing.
fn client(to: SocketAddr, number: usize, fates: Fates, record: Record, end: Arc<AtomicBool>, mut rng: Rng) {
    let mut connection: Option<BufReader<TcpStream>> = None;
    let mut count = 0;
    while !end.load(Ordering::Relaxed) {
        std::thread::sleep(rng.pause(1.1));
        count += 1;
        let id = format!("{:08x}{:08x}", number + 1, count);
        let (class, run_ms, time_left) = match rng.unit() < 0.79 {
            true => ("roster-view", rng.range(90.0, 430.0), 5000),
            false => ("shift-signup", rng.range(180.0, 870.0), 6000),
        };
        // A few keys are asked for often.
        let key = (40.0 * rng.unit().powi(3)) as usize;
        let body = format!("{run_ms:.0}");
        let keyed =
            if class == "shift-signup" { format!("Idempotency-Key: key-{id}\r\n") } else { String::new() };
        let request = format!(
            "POST /{class}/ha{key} HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {class}\r\nX-Time-Left-Ms: {time_left}\r\n{keyed}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        fates.lock().unwrap().insert(id.clone(), Fate { class, ..Fate::default() });
        if connection.is_none() {
            connection = TcpStream::connect(to).ok().map(|stream| {
                let _ = stream.set_nodelay(true);
                let _ = stream.set_read_timeout(Some(Duration::from_secs(8)));
                BufReader::new(stream)
            });
        }
        let Some(open) = &mut connection else { continue };
        record.line(&format!("client {number} sent {id} {class}"));
        let sent = open.get_mut().write_all(request.as_bytes()).is_ok();
        let answer = sent.then(|| read_message(open)).flatten();
        let status = answer.as_ref().map(|answer| answer.status);
        record.line(&format!("client {number} got {} for {id}", status.unwrap_or(0)));
        fates.lock().unwrap().get_mut(&id).unwrap().answer = status;
        if answer.is_none_or(|answer| answer.header("connection") == Some("close")) {
            connection = None;
        }
    }
}

fn main() {
    let case = Case::from_env();
    let fates = Fates::default();
    // What discovery tells each dispatcher, which reaches each log worker at an address of its own.
    let mut targets: Vec<Vec<Target>> = vec![Vec::new(); DISPATCHERS];
    let mut workers = Vec::new();
    for (at, zone) in (0..WORKERS).map(|at| ZONES[at % ZONES.len()]).enumerate() {
        let name = format!("s-{at}");
        let worker = Arc::new(Worker {
            name: name.clone(),
            room: Mutex::default(),
            freed: Condvar::new(),
            fates: fates.clone(),
            record: case.record.clone(),
            trouble: case.trouble,
            doubled: AtomicUsize::new(0),
            crossed: AtomicUsize::new(0),
            turned_away: AtomicUsize::new(0),
        });
        workers.push(worker.clone());
        for (number, targets) in targets.iter_mut().enumerate() {
            let listener = listener();
            let endpoint = listener.local_addr().unwrap();
            let (uid, kind, rack) = (name.clone(), "std-7".into(), at % ZONES.len());
            targets.push(Target { uid, endpoint, zone: zone.to_string(), kind, rack });
            let one_way_ms = if ZONES[number] == zone { SAME_ZONE_MS } else { CROSS_ZONE_MS };
            let worker = worker.clone();
            let mut rng = Rng::new(case.seed * 1000 + (at * DISPATCHERS + number) as u64);
            std::thread::spawn(move || {
                for stream in listener.incoming().map_while(Result::ok) {
                    let (worker, rng) = (worker.clone(), Rng::new(rng.next()));
                    std::thread::spawn(move || worker.serve(stream, one_way_ms, rng));
                }
            });
        }
    }
    let mut dispatchers: Vec<Dispatcher> = (0..DISPATCHERS)
        .map(|number| {
            let (listen, discovery) = (free_tcp(), start_discovery(&targets[number]));
            Dispatcher::new(&case, &format!("n{number}"), &config(number, listen, discovery), "", listen)
        })
        .collect();
    dispatchers.iter_mut().for_each(Dispatcher::start);
    dispatchers.iter_mut().for_each(Dispatcher::wait_ready);
    let end = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (fates, record, end) = (fates.clone(), case.record.clone(), end.clone());
            let rng = Rng::new(case.seed * 100_000 + number as u64);
            let listen = dispatchers[number % DISPATCHERS].listen;
            std::thread::spawn(move || client(listen, number, fates, record, end, rng))
        })
        .collect();
    std::thread::sleep(LENGTH);
    end.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    // What still runs at the log workers.
    std::thread::sleep(Duration::from_secs(2));
    for dispatcher in &mut dispatchers {
        if let Some(ended) = dispatcher.ended() {
            quit(&format!("{} ended: {ended}", dispatcher.name));
        }
    }
    let sum = |count: fn(&Worker) -> &AtomicUsize| {
        workers.iter().map(|worker| count(worker).load(Ordering::Relaxed)).sum::<usize>()
    };
    let fates = fates.lock().unwrap();
    let answered = |status: u16| fates.values().filter(|fate| fate.answer == Some(status)).count();
    case.record.say(&format!(
        "seed {}, trouble {}: {} requests, {} served, {} refused, {} failed; {} turned away by log workers, {} of these answers written twice, {} requests came in between",
        case.seed, case.trouble, fates.len(), answered(200), answered(503), answered(500),
        sum(|worker| &worker.turned_away), sum(|worker| &worker.doubled), sum(|worker| &worker.crossed)
    ));
    let confirms = || fates.iter().filter(|(_, fate)| fate.class == "shift-signup");
    let twice: Vec<_> = confirms().filter(|(_, fate)| racks(fate) > 1).collect();
    let refused: Vec<_> = confirms()
        .filter(|(_, fate)| !fate.started.is_empty() && matches!(fate.answer, Some(429 | 503)))
        .collect();
    for (id, fate) in &twice {
        case.record.say(&format!(
            "BROKEN: shift-signup {id} ran {} times, at {}",
            fate.started.len(),
            fate.started.join(" and ")
        ));
    }
    for (id, fate) in &refused {
        case.record.say(&format!(
            "BROKEN: shift-signup {id} ran at {} and was refused ({})",
            fate.started.join(" and "),
            fate.answer.unwrap_or(0)
        ));
    }
    drop(dispatchers);
    if fates.len() < 100 || answered(200) < 50 {
        quit("too little was served for a verdict");
    }
    if !twice.is_empty() || !refused.is_empty() {
        std::process::exit(1);
    }
    case.record.say("held: no shift-signup ran twice, and none that ran was refused");
}
