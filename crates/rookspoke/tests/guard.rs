//! Clients that are silent, many, or say what makes no sense, beside one that behaves.

mod common;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{mpsc, Mutex};

use common::world::*;
use serde_json::json;

/// A daemon with so few descriptors that it has places for 32 clients.
fn small(discovery: &Discovery) -> Daemon {
    let mut config = platform_config(discovery.address);
    config["limits"]["sockets"] = json!(64);
    let daemon = Daemon::start(&config, None);
    daemon.wait_ready();
    daemon
}

/// A log worker that serves its first job only when told to.
fn slow() -> (Worker, mpsc::Sender<()>) {
    let (go, wait) = mpsc::channel::<()>();
    let wait = Mutex::new(Some(wait));
    let worker = Worker::start("w-1", move |request, to| {
        if let Some(wait) = wait.lock().expect("the first").take() {
            let _ = wait.recv();
        }
        serve(request, to, "fine");
        true
    });
    (worker, go)
}

fn raw(to: SocketAddr, text: &str) -> Option<u16> {
    let mut stream = BufReader::new(send(to, text.as_bytes()));
    let status = read_message(&mut stream).map(|answer| answer.status);
    assert!(is_closed(stream.get_mut()), "still open after {text:?}");
    status
}

/// Silent connections once took every place for a minute, and whoever came then was closed unheard.
#[test]
fn silent_crowds_make_way_and_nobody_who_is_owed_an_answer_does() {
    let (worker, go) = slow();
    let daemon = small(&Discovery::listing(&[&worker]));
    let http = daemon.address("http");
    let mut owed = BufReader::new(send(http, &job_request("qso-confirm", "0000000000000001", 20_000, "")));
    wait_for("the job", || (worker.count() == 1).then_some(()));
    let silent: Vec<TcpStream> = (0..100).map(|_| send(http, b"")).collect();
    assert_eq!(get(http, "/health/ready").status, 200);
    // Those that asked once and stay go next.
    let ready = b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n";
    let mut idle: Vec<_> = (0..100).map(|_| BufReader::new(send(http, ready))).collect();
    assert!(idle.iter_mut().all(|client| read_message(client).is_some_and(|answer| answer.status == 200)));
    go.send(()).expect("the log worker waits");
    assert_eq!(read_message(&mut owed).expect("an answer").status, 200);
    assert_eq!(exchange(http, &job_request("log-lookup", "0000000000000002", 5000, "")).status, 200);
    drop(silent);
}

/// A client that says nothing, or stops in a head, was kept for a minute.
#[test]
fn whoever_never_ends_a_first_request_is_closed() {
    let worker = Worker::serving("w-1");
    let daemon = Daemon::start_ready(&Discovery::listing(&[&worker]));
    let http = daemon.address("http");
    let mut kept = BufReader::new(send(http, &job_request("log-lookup", "0000000000000001", 5000, "")));
    assert_eq!(read_message(&mut kept).expect("an answer").status, 200);
    let whole = String::from_utf8(job_request("log-lookup", "0000000000000002", 5000, "body")).expect("text");
    for part in ["", &whole[..20], &whole[..whole.len() - 2]] {
        assert!(is_closed(&mut send(http, part.as_bytes())), "{part:?}");
    }
    // One that asked before may think about its next request for longer.
    kept.get_mut().write_all(&job_request("log-lookup", "0000000000000003", 5000, "")).expect("sent");
    assert_eq!(read_message(&mut kept).expect("an answer").status, 200);
    daemon.wait_counters("http", &["taken=2", "closed=3"]);
}

/// Two lengths hide a second request in the first one's body, or cut the first one short.
#[test]
fn a_request_with_two_lengths_is_an_error_and_a_close() {
    let worker = Worker::serving("w-1");
    let daemon = Daemon::start_ready(&Discovery::listing(&[&worker]));
    let http = daemon.address("http");
    let head = "POST /log-lookup/a HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 0000000000000001\r\n\
                X-Service-Class: log-lookup\r\nX-Time-Left-Ms: 5000\r\n";
    let chunked = "Transfer-Encoding: chunked\r\n";
    let cases = [
        format!("{head}Content-Length: 5\r\n{chunked}\r\n0\r\n\r\n"),
        format!("{head}{chunked}Content-Length: 5\r\n\r\n0\r\n\r\n"),
        format!("{head}Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello"),
        format!("{head}Content-Length: 5\r\nContent-Length: 2\r\n\r\nhello"),
        format!("{head}Content-Length: 5, 5\r\n\r\nhello"),
        format!("{head}Content-Length: -5\r\n\r\nhello"),
        format!("{head}Content-Length: 99999999999999999999\r\n\r\nhello"),
        format!("{head}Content-Length: 2\r\n\r\nhello"),
        format!("{head}Content-Length: 60000000\r\n\r\nhello"),
        format!("{head}Transfer-Encoding: gzip\r\n\r\nhello"),
        format!("{head}{chunked}\r\nxyz\r\nhello"),
        format!("{head}X-Long: {}\r\n\r\n", "x".repeat(20_000)),
        "\u{1}\u{2}\u{3}\r\n\r\n".into(),
    ];
    let statuses: Vec<_> = cases.iter().map(|text| raw(http, text)).collect();
    let bad = Some(400);
    assert_eq!(statuses[..8], [bad; 8]);
    assert_eq!(statuses[8..], [Some(413), bad, bad, Some(431), bad]);
    daemon.wait_counters("http", &["taken=0", "malformed=13"]);
    let chunks = format!("{head}{chunked}\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\n\r\n");
    assert_eq!(exchange(http, chunks.as_bytes()).status, 200, "chunks alone are as good as a length");
    assert_eq!(worker.requests.lock().expect("requests")[0].text(), "hello");
}

/// Log workers cannot tell two requests of one id apart: the second once made them turn on both.
#[test]
fn a_request_is_judged_by_its_head_before_it_is_taken() {
    let (worker, go) = slow();
    let daemon = Daemon::start_ready(&Discovery::listing(&[&worker]));
    let http = daemon.address("http");
    let mut first = BufReader::new(send(http, &job_request("qso-confirm", "0000000000000001", 20_000, "")));
    wait_for("the job", || (worker.count() == 1).then_some(()));
    assert_eq!(exchange(http, &job_request("log-lookup", "0000000000000001", 5000, "")).status, 409);
    let good = String::from_utf8(job_request("log-lookup", "0000000000000002", 5000, "")).expect("text");
    let with = |header: &str| good.replace("Host:", &format!("{header}\r\nHost:"));
    let cases = [
        good.replace("Class: log-lookup", "Class: qso-confirm"),
        good.replace("X-Service-Class", "X-Other"),
        with("X-Service-Class: log-lookup"),
        with("X-Correlation-Id: 0000000000000003"),
        with("X-Time-Left-Ms: 5000"),
        good.replace("5000", "+5000"),
        good.replace("5000", "0"),
        good.replace("5000", "99999999999"),
        good.replace("0000000000000002", &"0".repeat(1000)),
        good.replace("0000000000000002", "a b"),
        with("X-Facts: slots=1000000"),
        with("X-Facts: slots=1,slots=2"),
        with("X-Facts: slots=many"),
    ];
    for text in &cases {
        assert_eq!(exchange(http, text.as_bytes()).status, 400, "{text}");
    }
    go.send(()).expect("the log worker waits");
    assert_eq!(read_message(&mut first).expect("an answer").status, 200);
    assert_eq!(
        exchange(http, &job_request("log-lookup", "0000000000000001", 5000, "")).status,
        200,
        "it is free again"
    );
    assert_eq!(exchange(http, with("X-Facts: slots=2,other=x").as_bytes()).status, 200);
    daemon.wait_counters("http", &["taken=3", "malformed=14", "served=3"]);
}

/// What one log worker cannot use, none can: asking them all shut every one of them out for half a second.
#[test]
fn a_request_that_a_log_worker_cannot_use_goes_to_no_other() {
    let unusable: &Behaviour =
        &|_, to| to.write_all(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n").is_ok();
    let (one, two) = (Worker::start("w-1", unusable), Worker::start("w-2", unusable));
    let daemon = Daemon::start_ready(&Discovery::listing(&[&one, &two]));
    assert_eq!(
        exchange(daemon.address("http"), &job_request("log-lookup", "0000000000000001", 5000, "")).status,
        500
    );
    assert_eq!(one.count() + two.count(), 1);
    daemon.wait_counters("http", &["taken=1", "failed=1", "unusable=1", "attempts_failed=1"]);
}

/// The process stands still while all who rest ask again and a crowd comes for their places: when it goes on, the requests
/// are on its sockets, read by nobody, and whoever sent one stays.
#[test]
fn nobody_makes_room_whose_request_is_there_unread() {
    let worker = Worker::serving("w-1");
    let daemon = small(&Discovery::listing(&[&worker]));
    let http = daemon.address("http");
    let ready = b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n";
    let mut rest: Vec<_> = (0..32).map(|_| BufReader::new(send(http, ready))).collect();
    assert!(rest.iter_mut().all(|client| read_message(client).is_some()));
    daemon.signal("STOP");
    let crowd: Vec<TcpStream> = (0..64).map(|_| send(http, b"")).collect();
    for (id, client) in rest.iter_mut().enumerate() {
        let job = job_request("log-lookup", &format!("{:016x}", id + 1), 9_000, "");
        client.get_mut().write_all(&job).expect("sent");
    }
    daemon.signal("CONT");
    // More come at once than the daemon takes: the rest hear so.
    let statuses: Vec<u16> =
        rest.iter_mut().filter_map(|client| Some(read_message(client)?.status)).collect();
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert_eq!((statuses.len(), worker.count()), (32, served), "{statuses:?}");
    assert!(served >= 25 && statuses.iter().all(|status| [200, 503].contains(status)), "{statuses:?}");
    drop(crowd);
}
