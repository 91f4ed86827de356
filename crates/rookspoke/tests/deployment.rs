//! What another deployment says in its settings and headers: tenants with shares, hints of work, racks.

mod common;

use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use common::world::*;
use serde_json::{json, Value};

/// A job with further lines in its head.
fn with(lines: &[u8], class: &str, id: u32) -> Vec<u8> {
    let plain = job_request(class, &format!("{id:016x}"), 5_000, "");
    let head = plain.windows(2).position(|w| w == b"\r\n").expect("a first line") + 2;
    [&plain[..head], lines, &plain[head..]].concat()
}

/// A log worker that takes every job and starts none.
fn holding() -> Worker {
    Worker::start("w-1", |_, _| {
        std::thread::sleep(Duration::from_secs(20));
        false
    })
}

fn daemon(worker: &Worker, change: impl Fn(&mut Value)) -> Daemon {
    let mut config = platform_config(Discovery::listing(&[worker]).address);
    config["settings"]["limits"]["second_copies"] = false.into();
    change(&mut config["settings"]);
    let daemon = Daemon::start(&config, None);
    daemon.wait_ready();
    daemon
}

/// Whether a job is refused at once; it is sent to the log worker otherwise.
fn is_refused(http: SocketAddr, worker: &Worker, request: &[u8]) -> (bool, TcpStream) {
    let before = worker.count();
    let stream = send(http, request);
    stream.set_read_timeout(Some(Duration::from_millis(20))).expect("a time-out");
    let refused = wait_for("a refusal, or the job at its log worker", || {
        let answered = stream.peek(&mut [0; 12]).is_ok_and(|n| n > 0);
        (answered || worker.count() > before).then_some(answered)
    });
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
    if refused {
        let answer =
            read_message(&mut BufReader::new(stream.try_clone().expect("a clone"))).expect("an answer");
        assert_eq!(answer.status, 503);
    }
    (refused, stream)
}

/// Accounts were read by nobody: a tenant that floods took the room of all others.
#[test]
fn a_tenants_flood_is_refused_where_room_is_short_and_the_others_are_sent() {
    let worker = holding();
    let daemon = daemon(&worker, |settings| {
        settings["projects"] = json!([{"name": "small", "allowance_per_s": 0.3},
                                      {"name": "large", "allowance_per_s": 100.0}]);
        settings["over_share_worth"] = 0.1.into();
    });
    let http = daemon.address("http");
    let mut kept = Vec::new();
    let mut asks = |account: &str, id: u32| {
        let (refused, stream) = is_refused(http, &worker, &with(account.as_bytes(), "log-lookup", id));
        kept.push(stream);
        refused
    };
    for id in 0..5 {
        assert!(!asks("X-Account: large\r\n", id));
    }
    // A job that has not started by now waits in a queue: room is short.
    std::thread::sleep(Duration::from_millis(150));
    assert!(!asks("X-Account: small\r\n", 10), "its share");
    let flood = (11..15).filter(|id| asks("X-Account: small\r\n", *id)).count();
    assert_eq!(flood, 4, "beyond it");
    assert!(!asks("X-Account: large\r\n", 20), "another's share");
    // Nothing is known of their shares.
    assert!(!asks("X-Account: nobody\r\n", 21) && !asks("", 22));
    daemon.wait_counters("http", &["refused=4", "malformed=0"]);
}

/// A hint says how long a job runs, and so how late it may start; one that makes no sense says nothing.
#[test]
fn a_hint_of_work_is_heard_and_nonsense_is_not() {
    let worker = holding();
    let daemon = daemon(&worker, |settings| settings["classes"][0]["goal_time_ms"] = 50.0.into());
    let http = daemon.address("http");
    let mut kept = Vec::new();
    let mut asks = |hint: &[u8], id: u32| {
        let (refused, stream) = is_refused(http, &worker, &with(hint, "log-lookup", id));
        kept.push(stream);
        refused
    };
    let taken = (0..40).take_while(|id| !asks(b"", *id)).count();
    assert!(taken < 40, "nothing is refused");
    let nonsense: [&[u8]; 8] = [
        b"X-Weight-Hint: many\r\n",
        b"X-Weight-Hint: -5\r\n",
        b"X-Weight-Hint: NaN\r\n",
        b"X-Weight-Hint: 0\r\n",
        b"X-Weight-Hint: \r\n",
        b"X-Weight-Hint: \xff\xfe\r\n",
        b"X-Weight-Hint: 10000000\r\nX-Weight-Hint: 10000000\r\n",
        b"X-Weight-Hint: 1\r\n",
    ];
    for (at, hint) in nonsense.iter().enumerate() {
        assert!(asks(hint, 100 + at as u32), "{}", String::from_utf8_lossy(hint));
    }
    assert!(!asks(b"X-Weight-Hint: 10000000\r\n", 200), "ten seconds of work may wait for a second");
    assert!(!asks(b"X-Weight-Hint: 1e300\r\n", 201), "bounded");
    daemon.wait_counters("http", &["malformed=0"]);
}

#[test]
fn an_account_that_makes_no_sense_harms_its_request_alone() {
    let worker = Worker::serving("w-1");
    let daemon = daemon(&worker, |settings| {
        settings["projects"] = json!([{"name": "a", "allowance_per_s": 10.0}]);
    });
    let http = daemon.address("http");
    let long = [b"X-Account: ".to_vec(), vec![b'x'; 4_000], b"\r\n".to_vec()].concat();
    let cases: [(&[u8], u16); 6] = [
        (b"X-Account: a\r\n", 200),
        (b"X-Account: nobody\r\n", 200),
        (&long, 200),
        (b"X-Account: \r\n", 400),
        (b"X-Account: a\r\nX-Account: a\r\n", 400),
        (b"X-Account: \xff\r\n", 400),
    ];
    for (id, (lines, status)) in cases.iter().enumerate() {
        let answer = exchange(http, &with(lines, "log-lookup", id as u32));
        assert_eq!(answer.status, *status, "{}", String::from_utf8_lossy(lines));
    }
    daemon.wait_counters("http", &["taken=3", "served=3", "malformed=3"]);
}

/// A log worker's entry, in a rack.
fn in_rack(worker: &Worker, rack: u32, state: &str) -> Value {
    let mut entry = worker.entry(state);
    entry["pod_group"] = rack.into();
    entry
}

/// A daemon whose confirmations may be repeated within a rack for this long.
fn keyed(discovery: &Discovery, window_ms: f64) -> Daemon {
    let mut config = platform_config(discovery.address);
    let class = &mut config["settings"]["classes"][1];
    class["effect"] = "idempotency_key".into();
    class["group"] = "cell".into();
    class["dedup_window_ms"] = window_ms.into();
    let daemon = Daemon::start(&config, None);
    daemon.wait_ready();
    daemon
}

/// The rack of a keyed job goes away while it is out: nobody else drops its repeat, and the answer is not held back.
#[test]
fn a_keyed_job_whose_rack_goes_fails_at_once() {
    let (broke, go) = std::sync::mpsc::channel();
    let go = std::sync::Mutex::new(go);
    let first = Worker::start("w-1", move |_, _| {
        let _ = go.lock().expect("the way").recv();
        false
    });
    let other = Worker::serving("w-3");
    let discovery = Discovery::start(vec![in_rack(&first, 1, "active")]);
    let daemon = keyed(&discovery, 10_000.0);
    let client = send(daemon.address("http"), &job_request("qso-confirm", "0000000000000001", 9_000, ""));
    wait_for("the first attempt", || (first.count() == 1).then_some(()));
    // Another rack is there, and its own drains.
    discovery.send_change(in_rack(&other, 2, "active"));
    discovery.send_change(in_rack(&first, 1, "leaving"));
    daemon.wait_counters("http", &["lists=3"]);
    let ended = Instant::now();
    broke.send(()).expect("it waits");
    assert_eq!(read_message(&mut BufReader::new(client)).expect("an answer").status, 500);
    assert!(ended.elapsed() < Duration::from_secs(1), "{:?}: held back", ended.elapsed());
    assert_eq!(other.count(), 0, "it went to another rack");
}

/// A client comes again with its key and a new id: where its first try may have run, only that rack drops the second.
#[test]
fn a_clients_new_try_keeps_to_the_rack_that_may_have_run_its_first() {
    let first = Worker::start("w-1", |_, _| false);
    let (mate, others) = (Worker::serving("w-2"), ["w-3", "w-4", "w-5", "w-6"].map(Worker::serving));
    let discovery = Discovery::start(vec![in_rack(&first, 1, "active")]);
    let daemon = keyed(&discovery, 3_000.0);
    let http = daemon.address("http");
    let tries = |key: &str, id: u32| {
        let lines = format!("Idempotency-Key: {key}\r\nX-Repeat: 1\r\n");
        let request = String::from_utf8(with(lines.as_bytes(), "qso-confirm", id)).expect("text");
        exchange(http, request.replace("station-1", key).as_bytes()).status
    };
    assert_eq!((tries("a", 1), tries("b", 2)), (500, 500), "they may have run");
    let sent = Instant::now();
    // Rack 1 is one other by now, and there are four of rack 2.
    discovery.send_change(in_rack(&first, 1, "leaving"));
    discovery.send_change(in_rack(&mate, 1, "active"));
    others.iter().for_each(|other| discovery.send_change(in_rack(other, 2, "active")));
    daemon.wait_counters("http", &["lists=7"]);
    let elsewhere = || others.iter().map(Worker::count).sum::<usize>();
    assert_eq!((tries("a", 3), mate.count(), elsewhere()), (200, 1, 0));
    // Another key is bound to nothing.
    (10..30).for_each(|id| assert_eq!(tries(&format!("c{id}"), id), 200));
    assert!(elsewhere() > 0, "all went to rack 1");
    let before = elsewhere() + mate.count();
    // The rack gone, or its window over: failed at once.
    discovery.send_change(in_rack(&mate, 1, "leaving"));
    daemon.wait_counters("http", &["lists=8"]);
    let asked = Instant::now();
    assert_eq!(tries("b", 40), 500);
    assert!(asked.elapsed() < Duration::from_secs(1), "{:?}: held back", asked.elapsed());
    discovery.send_change(in_rack(&mate, 1, "active"));
    daemon.wait_counters("http", &["lists=9"]);
    std::thread::sleep(Duration::from_millis(3_100).saturating_sub(sent.elapsed()));
    assert_eq!(tries("b", 41), 500, "its window is over");
    assert_eq!(elsewhere() + mate.count(), before, "sent on");
    // One that makes no sense harms itself alone.
    let twice = b"Idempotency-Key: a\r\nIdempotency-Key: b\r\n";
    assert_eq!(exchange(http, &with(twice, "qso-confirm", 50)).status, 400);
}
