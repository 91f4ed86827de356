//! Settings and headers that only some deployments use: tenants with shares, hints of work, racks.

mod common;

use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use common::world::*;
use serde_json::{json, Value};

/// A job with further header lines.
fn post_with_headers(lines: &[u8], class: &str, id: u32) -> Vec<u8> {
    let plain = job_request(class, &format!("{id:016x}"), 5_000, "");
    let head = plain.windows(2).position(|w| w == b"\r\n").expect("a first line") + 2;
    [&plain[..head], lines, &plain[head..]].concat()
}

/// A log worker that accepts every job and starts none.
fn worker_that_starts_nothing() -> Worker {
    Worker::start("w-1", |_, _| {
        std::thread::sleep(Duration::from_secs(20));
        false
    })
}

fn start_daemon(worker: &Worker, change_settings: impl Fn(&mut Value)) -> Daemon {
    let mut config = platform_config(Discovery::listing(&[worker]).address);
    config["settings"]["limits"]["second_copies"] = false.into();
    change_settings(&mut config["settings"]);
    let daemon = Daemon::start(&config, None);
    daemon.wait_ready();
    daemon
}

/// Sends a job and returns whether it was refused at once rather than sent to the log worker.
fn send_and_check_refusal(http: SocketAddr, worker: &Worker, request: &[u8]) -> (bool, TcpStream) {
    let before = worker.count();
    let stream = send(http, request);
    stream.set_read_timeout(Some(Duration::from_millis(20))).expect("a time-out");
    let refused = wait_for("a refusal, or the job at the log worker", || {
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

/// When the account header was ignored, a tenant that sent too much took the capacity of all others.
#[test]
fn jobs_beyond_a_tenants_share_are_refused_under_load_and_other_tenants_are_served() {
    let worker = worker_that_starts_nothing();
    let daemon = start_daemon(&worker, |settings| {
        settings["projects"] = json!([{"name": "small", "allowance_per_s": 0.3},
                                      {"name": "large", "allowance_per_s": 100.0}]);
        settings["over_share_worth"] = 0.1.into();
    });
    let http = daemon.address("http");
    let mut open = Vec::new();
    let mut refused = |account: &str, id: u32| {
        let (is_refused, stream) =
            send_and_check_refusal(http, &worker, &post_with_headers(account.as_bytes(), "log-lookup", id));
        open.push(stream);
        is_refused
    };
    for id in 0..5 {
        assert!(!refused("X-Account: large\r\n", id));
    }
    // A job that has not started by now waits in a queue, so capacity is short.
    std::thread::sleep(Duration::from_millis(150));
    assert!(!refused("X-Account: small\r\n", 10), "a job within the tenant's share");
    let refused_count = (11..15).filter(|id| refused("X-Account: small\r\n", *id)).count();
    assert_eq!(refused_count, 4, "jobs beyond the tenant's share");
    assert!(!refused("X-Account: large\r\n", 20), "a job within another tenant's share");
    // These accounts have no configured share.
    assert!(!refused("X-Account: nobody\r\n", 21) && !refused("", 22));
    daemon.wait_counters("http", &["refused=4", "malformed=0"]);
}

/// A weight hint says how long a job runs, and so how late it may start. An invalid hint must be ignored.
#[test]
fn valid_weight_hint_is_used_and_an_invalid_one_is_ignored() {
    let worker = worker_that_starts_nothing();
    let daemon = start_daemon(&worker, |settings| settings["classes"][0]["goal_time_ms"] = 50.0.into());
    let http = daemon.address("http");
    let mut open = Vec::new();
    let mut refused = |hint: &[u8], id: u32| {
        let (is_refused, stream) =
            send_and_check_refusal(http, &worker, &post_with_headers(hint, "log-lookup", id));
        open.push(stream);
        is_refused
    };
    let accepted = (0..40).take_while(|id| !refused(b"", *id)).count();
    assert!(accepted < 40, "no job was refused");
    let invalid: [&[u8]; 8] = [
        b"X-Weight-Hint: many\r\n",
        b"X-Weight-Hint: -5\r\n",
        b"X-Weight-Hint: NaN\r\n",
        b"X-Weight-Hint: 0\r\n",
        b"X-Weight-Hint: \r\n",
        b"X-Weight-Hint: \xff\xfe\r\n",
        b"X-Weight-Hint: 10000000\r\nX-Weight-Hint: 10000000\r\n",
        b"X-Weight-Hint: 1\r\n",
    ];
    for (at, hint) in invalid.iter().enumerate() {
        assert!(refused(hint, 100 + at as u32), "{}", String::from_utf8_lossy(hint));
    }
    assert!(!refused(b"X-Weight-Hint: 10000000\r\n", 200), "a job of ten seconds may wait for a second");
    assert!(!refused(b"X-Weight-Hint: 1e300\r\n", 201), "a huge hint is bounded");
    daemon.wait_counters("http", &["malformed=0"]);
}

#[test]
fn invalid_account_header_affects_only_its_own_request() {
    let worker = Worker::serving("w-1");
    let daemon = start_daemon(&worker, |settings| {
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
        let answer = exchange(http, &post_with_headers(lines, "log-lookup", id as u32));
        assert_eq!(answer.status, *status, "{}", String::from_utf8_lossy(lines));
    }
    daemon.wait_counters("http", &["taken=3", "served=3", "malformed=3"]);
}

/// A log worker's list entry, in this rack.
fn entry_in_rack(worker: &Worker, rack: u32, state: &str) -> Value {
    let mut entry = worker.entry(state);
    entry["pod_group"] = rack.into();
    entry
}

/// Starts a daemon whose confirmations may be retried within their rack for this long.
fn start_with_dedup_window(discovery: &Discovery, window_ms: f64) -> Daemon {
    let mut config = platform_config(discovery.address);
    let class = &mut config["settings"]["classes"][1];
    class["effect"] = "idempotency_key".into();
    class["group"] = "cell".into();
    class["dedup_window_ms"] = window_ms.into();
    let daemon = Daemon::start(&config, None);
    daemon.wait_ready();
    daemon
}

/// The rack of a keyed job drains while its attempt is in progress. No other rack deduplicates a retry, so the job must
/// fail at once rather than wait or be retried elsewhere.
#[test]
fn keyed_job_fails_at_once_when_its_rack_drains() {
    let (break_connection, signal) = std::sync::mpsc::channel();
    let signal = std::sync::Mutex::new(signal);
    let first = Worker::start("w-1", move |_, _| {
        let _ = signal.lock().expect("the signal").recv();
        false
    });
    let other = Worker::serving("w-3");
    let discovery = Discovery::start(vec![entry_in_rack(&first, 1, "active")]);
    let daemon = start_with_dedup_window(&discovery, 10_000.0);
    let client = send(daemon.address("http"), &job_request("qso-confirm", "0000000000000001", 9_000, ""));
    wait_for("the first attempt", || (first.count() == 1).then_some(()));
    // Another rack becomes active, and the job's own rack drains.
    discovery.send_change(entry_in_rack(&other, 2, "active"));
    discovery.send_change(entry_in_rack(&first, 1, "leaving"));
    daemon.wait_counters("http", &["lists=3"]);
    let broken = Instant::now();
    break_connection.send(()).expect("the log worker waits");
    assert_eq!(read_message(&mut BufReader::new(client)).expect("an answer").status, 500);
    assert!(broken.elapsed() < Duration::from_secs(1), "{:?}: the failure was delayed", broken.elapsed());
    assert_eq!(other.count(), 0, "the job went to another rack");
}

/// A client retries with the same key and a new id. If its first request may have run, only the rack of that request
/// deduplicates the retry, so it must go there or fail.
#[test]
fn client_retry_goes_to_the_rack_that_may_have_run_the_first_request() {
    let first = Worker::start("w-1", |_, _| false);
    let (same_rack, others) = (Worker::serving("w-2"), ["w-3", "w-4", "w-5", "w-6"].map(Worker::serving));
    let discovery = Discovery::start(vec![entry_in_rack(&first, 1, "active")]);
    let daemon = start_with_dedup_window(&discovery, 3_000.0);
    let http = daemon.address("http");
    let retry = |key: &str, id: u32| {
        let lines = format!("Idempotency-Key: {key}\r\nX-Repeat: 1\r\n");
        let request =
            String::from_utf8(post_with_headers(lines.as_bytes(), "qso-confirm", id)).expect("text");
        exchange(http, request.replace("station-1", key).as_bytes()).status
    };
    assert_eq!((retry("a", 1), retry("b", 2)), (500, 500), "the requests may have run");
    let sent = Instant::now();
    // Rack 1 now consists of one other log worker, and rack 2 of four.
    discovery.send_change(entry_in_rack(&first, 1, "leaving"));
    discovery.send_change(entry_in_rack(&same_rack, 1, "active"));
    others.iter().for_each(|other| discovery.send_change(entry_in_rack(other, 2, "active")));
    daemon.wait_counters("http", &["lists=7"]);
    let other_rack_count = || others.iter().map(Worker::count).sum::<usize>();
    assert_eq!((retry("a", 3), same_rack.count(), other_rack_count()), (200, 1, 0));
    // Other keys are bound to no rack.
    (10..30).for_each(|id| assert_eq!(retry(&format!("c{id}"), id), 200));
    assert!(other_rack_count() > 0, "all requests went to rack 1");
    let before = other_rack_count() + same_rack.count();
    // With the rack drained or the deduplication window over, the retry fails at once.
    discovery.send_change(entry_in_rack(&same_rack, 1, "leaving"));
    daemon.wait_counters("http", &["lists=8"]);
    let sent_again = Instant::now();
    assert_eq!(retry("b", 40), 500);
    assert!(
        sent_again.elapsed() < Duration::from_secs(1),
        "{:?}: the failure was delayed",
        sent_again.elapsed()
    );
    discovery.send_change(entry_in_rack(&same_rack, 1, "active"));
    daemon.wait_counters("http", &["lists=9"]);
    std::thread::sleep(Duration::from_millis(3_100).saturating_sub(sent.elapsed()));
    assert_eq!(retry("b", 41), 500, "the deduplication window is over");
    assert_eq!(other_rack_count() + same_rack.count(), before, "a retry was forwarded");
    // An invalid key header affects only its own request.
    let twice = b"Idempotency-Key: a\r\nIdempotency-Key: b\r\n";
    assert_eq!(exchange(http, &post_with_headers(twice, "qso-confirm", 50)).status, 400);
}
