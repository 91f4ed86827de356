//! Protection against clients that are silent, numerous or send malformed requests: well-behaved clients are still served.

mod common;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{mpsc, Mutex};

use common::world::*;
use serde_json::json;

/// Starts a daemon whose limit of descriptors allows 32 client connections.
fn start_with_32_clients(discovery: &Discovery) -> Daemon {
    let mut config = platform_config(discovery.address);
    config["limits"]["sockets"] = json!(64);
    let daemon = Daemon::start(&config, None);
    daemon.wait_ready();
    daemon
}

/// A log worker that serves its first job only when the test signals it.
fn worker_with_held_first_job() -> (Worker, mpsc::Sender<()>) {
    let (release, released) = mpsc::channel::<()>();
    let released = Mutex::new(Some(released));
    let worker = Worker::start("w-1", move |request, to| {
        if let Some(released) = released.lock().expect("the first").take() {
            let _ = released.recv();
        }
        serve(request, to, "fine");
        true
    });
    (worker, release)
}

/// Sends this text on a new connection, reads the status of the response, and checks that the connection is closed.
fn status_and_close(to: SocketAddr, text: &str) -> Option<u16> {
    let mut stream = BufReader::new(send(to, text.as_bytes()));
    let status = read_message(&mut stream).map(|answer| answer.status);
    assert!(is_closed(stream.get_mut()), "the connection is still open after {text:?}");
    status
}

/// Silent connections once occupied the whole capacity for a minute, and new clients were disconnected unread. Now idle
/// connections are closed to admit new ones, but never one with a pending answer.
#[test]
fn idle_connections_are_closed_for_new_clients_and_those_with_a_pending_answer_are_not() {
    let (worker, release) = worker_with_held_first_job();
    let daemon = start_with_32_clients(&Discovery::listing(&[&worker]));
    let http = daemon.address("http");
    let mut pending = BufReader::new(send(http, &job_request("qso-confirm", "0000000000000001", 20_000, "")));
    wait_for("the job", || (worker.count() == 1).then_some(()));
    let silent: Vec<TcpStream> = (0..100).map(|_| send(http, b"")).collect();
    assert_eq!(get(http, "/health/ready").status, 200);
    // Next to be closed are connections that are idle after a first request.
    let ready = b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n";
    let mut idle: Vec<_> = (0..100).map(|_| BufReader::new(send(http, ready))).collect();
    assert!(idle.iter_mut().all(|client| read_message(client).is_some_and(|answer| answer.status == 200)));
    release.send(()).expect("the log worker waits");
    assert_eq!(read_message(&mut pending).expect("an answer").status, 200);
    assert_eq!(exchange(http, &job_request("log-lookup", "0000000000000002", 5000, "")).status, 200);
    drop(silent);
}

/// A client that sends nothing, or stops within the head of its first request, once kept its connection for a minute.
#[test]
fn a_connection_whose_first_request_stays_incomplete_is_closed() {
    let worker = Worker::serving("w-1");
    let daemon = Daemon::start_ready(&Discovery::listing(&[&worker]));
    let http = daemon.address("http");
    let mut kept = BufReader::new(send(http, &job_request("log-lookup", "0000000000000001", 5000, "")));
    assert_eq!(read_message(&mut kept).expect("an answer").status, 200);
    let whole = String::from_utf8(job_request("log-lookup", "0000000000000002", 5000, "body")).expect("text");
    for part in ["", &whole[..20], &whole[..whole.len() - 2]] {
        assert!(is_closed(&mut send(http, part.as_bytes())), "{part:?}");
    }
    // After a first request, the connection may stay idle for longer.
    kept.get_mut().write_all(&job_request("log-lookup", "0000000000000003", 5000, "")).expect("sent");
    assert_eq!(read_message(&mut kept).expect("an answer").status, 200);
    daemon.wait_counters("http", &["taken=2", "closed=3"]);
}

/// Request smuggling: conflicting lengths hide a second request in the body of the first, or cut the first one short.
#[test]
fn a_request_of_ambiguous_or_invalid_length_is_rejected_and_its_connection_closed() {
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
    let statuses: Vec<_> = cases.iter().map(|text| status_and_close(http, text)).collect();
    let bad_request = Some(400);
    assert_eq!(statuses[..8], [bad_request; 8]);
    assert_eq!(statuses[8..], [Some(413), bad_request, bad_request, Some(431), bad_request]);
    daemon.wait_counters("http", &["taken=0", "malformed=13"]);
    let chunks = format!("{head}{chunked}\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\n\r\n");
    assert_eq!(exchange(http, chunks.as_bytes()).status, 200, "a chunked body without a length is valid");
    assert_eq!(worker.requests.lock().expect("requests")[0].text(), "hello");
}

/// The headers of a request are checked before it is admitted. Log workers cannot tell apart two requests of one
/// correlation id: a second one once made them fail both.
#[test]
fn requests_with_invalid_headers_or_an_id_in_progress_are_rejected() {
    let (worker, release) = worker_with_held_first_job();
    let daemon = Daemon::start_ready(&Discovery::listing(&[&worker]));
    let http = daemon.address("http");
    let mut first = BufReader::new(send(http, &job_request("qso-confirm", "0000000000000001", 20_000, "")));
    wait_for("the job", || (worker.count() == 1).then_some(()));
    assert_eq!(exchange(http, &job_request("log-lookup", "0000000000000001", 5000, "")).status, 409);
    let good = String::from_utf8(job_request("log-lookup", "0000000000000002", 5000, "")).expect("text");
    let with_header = |header: &str| good.replace("Host:", &format!("{header}\r\nHost:"));
    let cases = [
        good.replace("Class: log-lookup", "Class: qso-confirm"),
        good.replace("X-Service-Class", "X-Other"),
        with_header("X-Service-Class: log-lookup"),
        with_header("X-Correlation-Id: 0000000000000003"),
        with_header("X-Time-Left-Ms: 5000"),
        good.replace("5000", "+5000"),
        good.replace("5000", "0"),
        good.replace("5000", "99999999999"),
        good.replace("0000000000000002", &"0".repeat(1000)),
        good.replace("0000000000000002", "a b"),
        with_header("X-Facts: slots=1000000"),
        with_header("X-Facts: slots=1,slots=2"),
        with_header("X-Facts: slots=many"),
    ];
    for text in &cases {
        assert_eq!(exchange(http, text.as_bytes()).status, 400, "{text}");
    }
    release.send(()).expect("the log worker waits");
    assert_eq!(read_message(&mut first).expect("an answer").status, 200);
    assert_eq!(
        exchange(http, &job_request("log-lookup", "0000000000000001", 5000, "")).status,
        200,
        "an id can be used again once its request has ended"
    );
    assert_eq!(exchange(http, with_header("X-Facts: slots=2,other=x").as_bytes()).status, 200);
    daemon.wait_counters("http", &["taken=3", "malformed=14", "served=3"]);
}

/// A request that one log worker rejects as unusable is unusable for all: sending it to each of them once ejected all
/// log workers for half a second.
#[test]
fn a_request_rejected_as_unusable_goes_to_no_other_log_worker() {
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

/// While the process is stopped, all idle clients send a new request and 64 new clients connect. When it continues, the
/// requests are unread in its sockets, and none of those connections may be closed to admit a new client.
#[test]
fn an_idle_connection_with_an_unread_request_is_not_closed_for_new_clients() {
    let worker = Worker::serving("w-1");
    let daemon = start_with_32_clients(&Discovery::listing(&[&worker]));
    let http = daemon.address("http");
    let ready = b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n";
    let mut idle: Vec<_> = (0..32).map(|_| BufReader::new(send(http, ready))).collect();
    assert!(idle.iter_mut().all(|client| read_message(client).is_some()));
    daemon.signal("STOP");
    let crowd: Vec<TcpStream> = (0..64).map(|_| send(http, b"")).collect();
    for (id, client) in idle.iter_mut().enumerate() {
        let job = job_request("log-lookup", &format!("{:016x}", id + 1), 9_000, "");
        client.get_mut().write_all(&job).expect("sent");
    }
    daemon.signal("CONT");
    // More requests arrive at once than the daemon admits: the others get a 503.
    let statuses: Vec<u16> =
        idle.iter_mut().filter_map(|client| Some(read_message(client)?.status)).collect();
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert_eq!((statuses.len(), worker.count()), (32, served), "{statuses:?}");
    assert!(served >= 25 && statuses.iter().all(|status| [200, 503].contains(status)), "{statuses:?}");
    drop(crowd);
}
