//! How long a list stays in effect while discovery is up but its calls fail: six seconds after the last message of the
//! watch, and no longer, in whatever way the calls fail.

mod common;

use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use common::world::*;
use serde_json::json;

/// How each call to discovery fails.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CallFailure {
    /// Nothing listens at the address.
    Refused,
    Status503,
    Reset,
    /// A response head, and then nothing.
    HeadOnly,
    /// Part of an object, and then the end of the response.
    TruncatedObject,
    /// No response at all, so that the dispatcher times out.
    NoResponse,
}

impl CallFailure {
    /// Answers a call, and returns the connection if it has to stay open.
    fn answer(self, mut stream: TcpStream) -> Option<TcpStream> {
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let _ = read_message(&mut BufReader::new(stream.try_clone().expect("a clone")));
        let _ = match self {
            CallFailure::Status503 => {
                stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            }
            CallFailure::Reset => {
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                return None;
            }
            CallFailure::HeadOnly => stream.write_all(head),
            CallFailure::TruncatedObject => {
                let _ = stream.write_all(head);
                let _ = stream.write_all(b"13\r\n{\"rev\":2,\"all\":tru\r\n0\r\n\r\n");
                return None;
            }
            CallFailure::NoResponse | CallFailure::Refused => Ok(()),
        };
        Some(stream)
    }
}

/// Fails every call to discovery in one way until `until`, and returns the listener.
fn fail_calls_until(listener: TcpListener, failure: CallFailure, until: Instant) -> TcpListener {
    let address = listener.local_addr().expect("an address");
    if failure == CallFailure::Refused {
        drop(listener);
        std::thread::sleep(until.saturating_duration_since(Instant::now()));
        return wait_for("the port", || TcpListener::bind(address).ok());
    }
    let mut open = Vec::new();
    listener.set_nonblocking(true).expect("a listener");
    while Instant::now() < until {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).expect("a stream");
                open.extend(failure.answer(stream));
            }
            Err(_) => std::thread::sleep(Duration::from_millis(5)),
        }
    }
    listener.set_nonblocking(false).expect("a listener");
    listener
}

/// Accepts calls until it can write `list` to one, and returns that watch.
fn serve_list(listener: &TcpListener, list: &serde_json::Value) -> TcpStream {
    loop {
        let (mut stream, _) = listener.accept().expect("a call");
        // Skips calls that the dispatcher has given up in the meantime.
        if read_message(&mut BufReader::new(stream.try_clone().expect("a clone"))).is_none() {
            continue;
        }
        let line = format!("{list}\n");
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        if stream.write_all(format!("{head}{:x}\r\n{line}\r\n", line.len()).as_bytes()).is_ok() {
            return stream;
        }
    }
}

/// The watch ends and every further call fails, so the dispatcher misses that its log worker drains. Until 6 s after
/// the end of the watch it may send jobs by the old list, and does. After that a job waits for the next list and is
/// served in time by the log worker named there.
fn check_list_expiry(failure: CallFailure, pushed: bool, poll_interval_ms: f64) {
    let case = format!("{failure:?}, {}, {poll_interval_ms}", if pushed { "pushed" } else { "polled" });
    let (draining, other) = (Worker::serving("w-1"), Worker::serving("w-2"));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut config = platform_config(listener.local_addr().expect("an address"));
    config["settings"]["rules"]["ask_every_ms"] = poll_interval_ms.into();
    config["settings"]["discovery"] = if pushed { "automatic" } else { "subscribe" }.into();
    let daemon = Daemon::start(&config, None);
    let watch = serve_list(&listener, &json!({"rev": 1, "all": true, "targets": [draining.entry("active")]}));
    daemon.wait_ready();
    let http = daemon.address("http");
    let send_job = |id: u32| send(http, &job_request("log-lookup", &format!("{id:016x}"), 9_000, ""));
    let status = |client: TcpStream| read_message(&mut BufReader::new(client)).map(|answer| answer.status);
    assert_eq!(status(send_job(1)), Some(200), "{case}");
    drop(watch);
    let watch_ended = Instant::now();
    let at = move |ms: u64| watch_ended + Duration::from_millis(ms);
    let failing = std::thread::spawn(move || fail_calls_until(listener, failure, at(7_200)));
    // With a poll interval over 6 s the list stays in effect for the whole 6 s, so jobs are still served shortly before
    // that.
    if poll_interval_ms > 6_000.0 {
        std::thread::sleep(at(4_500).saturating_duration_since(Instant::now()));
        assert_eq!(
            (status(send_job(2)), draining.count()),
            (Some(200), 2),
            "{case}: jobs were held back too early"
        );
    }
    std::thread::sleep(at(6_050).saturating_duration_since(Instant::now()));
    let (before, waiting) = (draining.count(), send_job(3));
    let listener = failing.join().expect("a listener");
    assert_eq!(draining.count(), before, "{case}: sent by an expired list");
    let list = json!({"rev": 2, "all": true, "targets": [draining.entry("leaving"), other.entry("active")]});
    let _watch = serve_list(&listener, &list);
    assert_eq!((status(waiting), draining.count() - before, other.count()), (Some(200), 0, 1), "{case}");
}

#[test]
fn no_list_stays_in_effect_for_over_six_seconds_however_calls_fail() {
    use CallFailure::{HeadOnly, NoResponse, Refused, Reset, Status503, TruncatedObject};
    let all = [Refused, Status503, Reset, HeadOnly, TruncatedObject, NoResponse];
    let polled = all.into_iter().map(|failure| (failure, false, 200_000.0));
    let pushed = [(Status503, true, 1_000.0), (Reset, true, 1_000.0)];
    // With a poll interval far below six seconds, a failed call extends the list's life to four intervals at most.
    let short = [(Status503, false, 400.0), (NoResponse, false, 400.0)];
    let runs: Vec<_> = polled
        .chain(pushed)
        .chain(short)
        .map(|(failure, pushed, interval)| {
            std::thread::spawn(move || check_list_expiry(failure, pushed, interval))
        })
        .collect();
    let failed: Vec<_> = runs.into_iter().filter_map(|run| run.join().err()).collect();
    assert!(failed.is_empty(), "{} cases failed", failed.len());
}

/// The process is suspended while its watch is silent and a call attempt waits for a connection. When it resumes, the
/// connection is up and the send is due before the timer that expires the list has fired, so the send itself must check
/// the list's age.
#[test]
fn send_after_a_long_suspension_checks_the_age_of_the_list() {
    let worker = LateWorker::start("w-1");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut config = platform_config(listener.local_addr().expect("an address"));
    config["settings"]["limits"]["connect_timeout_ms"] = 20_000.0.into();
    let daemon = Daemon::start(&config, None);
    let _silent = serve_list(&listener, &json!({"rev": 1, "all": true, "targets": [worker.entry("active")]}));
    let last_message = Instant::now();
    daemon.wait_ready();
    let client = send(daemon.address("http"), &job_request("log-lookup", "0000000000000401", 20_000, ""));
    wait_for("the attempt", || daemon.counters("http").contains(" sent=1 ").then_some(()));
    daemon.signal("STOP");
    worker.open();
    std::thread::sleep(Duration::from_millis(7_500).saturating_sub(last_message.elapsed()));
    daemon.signal("CONT");
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(worker.count(), 0, "sent by a list {:?} old", last_message.elapsed());
    daemon.wait_counters("http", &["sent=1", "not_sent=1", "written=0"]);
    drop(client);
}

/// After SIGHUP names another discovery, the old list stays in effect for 4 s at most, even if every call to the new
/// one fails. If the old watch had ended before, the remainder of its six seconds still applies.
#[test]
fn sighup_to_another_discovery_keeps_the_old_list_for_four_seconds_at_most() {
    let run = |watch_ended_before: bool| {
        let (draining, other) = (Worker::serving("w-1"), Worker::serving("w-2"));
        let listeners = [0, 1].map(|_| TcpListener::bind("127.0.0.1:0").expect("a port"));
        let [old, new] = listeners;
        let mut config = platform_config(old.local_addr().expect("an address"));
        config["settings"]["rules"]["ask_every_ms"] = 200_000.0.into();
        let daemon = Daemon::start(&config, None);
        let watch = serve_list(&old, &json!({"rev": 9, "all": true, "targets": [draining.entry("active")]}));
        daemon.wait_ready();
        let http = daemon.address("http");
        let send_job = |id: u32| send(http, &job_request("log-lookup", &format!("{id:016x}"), 9_000, ""));
        let status =
            |client: TcpStream| read_message(&mut BufReader::new(client)).map(|answer| answer.status);
        let mut watch = Some(watch);
        if watch_ended_before {
            watch = None;
            std::thread::sleep(Duration::from_millis(3_000));
        }
        config["discovery"] = new.local_addr().expect("an address").to_string().into();
        daemon.replace_platform_config(&config.to_string());
        daemon.signal("HUP");
        let reloaded = Instant::now();
        // Three of the six seconds are left if the watch ended before, and all four otherwise.
        let (served_until, expired_at) = if watch_ended_before { (1_500, 3_100) } else { (3_000, 4_100) };
        let at = move |ms: u64| reloaded + Duration::from_millis(ms);
        let failing =
            std::thread::spawn(move || fail_calls_until(new, CallFailure::Status503, at(expired_at + 1_000)));
        std::thread::sleep(at(served_until).saturating_duration_since(Instant::now()));
        assert_eq!(
            (status(send_job(1)), draining.count()),
            (Some(200), 1),
            "jobs were held back too early; watch ended before: {watch_ended_before}"
        );
        std::thread::sleep(at(expired_at).saturating_duration_since(Instant::now()));
        let waiting = send_job(2);
        let new = failing.join().expect("a listener");
        assert_eq!(draining.count(), 1, "sent by an expired list; watch ended before: {watch_ended_before}");
        let list =
            json!({"rev": 1, "all": true, "targets": [draining.entry("leaving"), other.entry("active")]});
        let _watch = serve_list(&new, &list);
        assert_eq!((status(waiting), draining.count(), other.count()), (Some(200), 1, 1));
        drop((old, watch));
    };
    std::thread::scope(|scope| {
        let runs = [false, true].map(|before| scope.spawn(move || run(before)));
        assert!(runs.into_iter().all(|run| run.join().is_ok()));
    });
}
