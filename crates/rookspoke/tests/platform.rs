//! The daemon's HTTP front on the platform's protocol, with stand-in clients, log workers and discovery.

mod common;

use std::io::{BufReader, Read, Write};
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use common::world::*;
use serde_json::json;

#[test]
fn a_job_is_forwarded_unchanged_and_its_result_returned() {
    let worker = Worker::serving("w-1");
    let daemon = Daemon::start_ready(&Discovery::listing(&[&worker]));
    let answer = exchange(
        daemon.address("http"),
        &job_request("qso-confirm", "00000000000000a1", 5000, "two stations"),
    );
    let received = worker.requests.lock().expect("requests")[0].clone();
    let mut headers: Vec<String> =
        received.headers.iter().map(|(name, value)| format!("{name}: {value}")).collect();
    headers.retain(|header| !header.starts_with("x-time-left-ms"));
    let left_ms: u32 = received.header("x-time-left-ms").expect("the time left").parse().expect("whole ms");
    assert!(left_ms <= 5000);
    insta::assert_snapshot!(
        format!("{}\n{}\n{}\n=> {} {}", received.start_line, headers.join("\n"), received.text(), answer.status, answer.text()),
        @r"
    POST /qso-confirm/station-1?x=1 HTTP/1.1
    host: service.internal
    x-correlation-id: 00000000000000a1
    x-service-class: qso-confirm
    content-length: 12
    two stations
    => 200 fine
    "
    );
}

/// The log worker's connection stays open: only the missing progress messages show that it hangs.
#[test]
fn an_attempt_without_progress_messages_ends_before_the_deadline() {
    let hanging = Worker::start("w-quiet", |request, to| {
        send_objects(to, &[state_report(request, "started")], false);
        true
    });
    let healthy = Worker::serving("w-sound");
    let discovery = Discovery::start(vec![hanging.entry("active"), healthy.entry("leaving")]);
    let mut config = platform_config(discovery.address);
    config["settings"]["specifics"]["progress_ms"] = 300.0.into();
    let daemon = Daemon::start(&config, None);
    let http = daemon.address("http");
    let start = Instant::now();
    let answer = exchange(http, &job_request("qso-confirm", "00000000000000b1", 20_000, ""));
    assert_eq!(answer.status, 500, "the job may have run, so it is failed, not refused");
    assert!(start.elapsed() < Duration::from_secs(10), "{:?}", start.elapsed());
    let client = send(http, &job_request("log-lookup", "00000000000000b2", 9_000, ""));
    wait_for("the look-up's attempt", || (hanging.count() >= 2).then_some(()));
    discovery.send_change(healthy.entry("active"));
    let answer = read_message(&mut BufReader::new(client)).expect("an answer");
    assert_eq!((answer.status, healthy.count()), (200, 1), "a look-up is safe to repeat");
}

#[test]
fn results_of_every_json_form_reach_the_client() {
    let bodies = [r#""a \"quoted\" line\n""#, r#"{"b": [1,  2]}"#, r#""""#, "\"\u{151}\""];
    let remaining = Mutex::new(bodies.into_iter());
    let worker = Worker::start("w-1", move |request, to| {
        let body = remaining.lock().expect("bodies").next().expect("one more");
        let id = request.header("x-correlation-id").expect("an id");
        let line = format!("{{\"id\":\"{id}\",\"from\":\"w\",\"state\":\"done\",\"result\":{body}}}\n");
        let text = format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{line}\r\n0\r\n\r\n",
            line.len()
        );
        to.write_all(text.as_bytes()).is_ok()
    });
    let daemon = Daemon::start_ready(&Discovery::listing(&[&worker]));
    let http = daemon.address("http");
    let results: Vec<String> = (0..4)
        .map(|at| exchange(http, &job_request("log-lookup", &format!("{at:016x}"), 5000, "")).text())
        .collect();
    assert_eq!(results, ["a \"quoted\" line\n", r#"{"b": [1,  2]}"#, "", "\u{151}"]);
    // Sequential jobs share a connection, since opening one costs the log worker work.
    assert_eq!(worker.connections.load(Ordering::SeqCst), 1);
}

#[test]
fn malformed_requests_are_rejected_and_counted() {
    let worker = Worker::serving("w-1");
    let daemon = Daemon::start_ready(&Discovery::listing(&[&worker]));
    let http = daemon.address("http");
    let good = String::from_utf8(job_request("log-lookup", "00000000000000b1", 5000, "")).expect("text");
    let long = "x".repeat(64 * 1024 + 1);
    let cases = [
        good.replace("POST", "PUT"),
        good.replace("X-Correlation-Id", "X-Other"),
        good.replace("Time-Left-Ms: 5000", "Time-Left-Ms: soon"),
        good.replace("log-lookup", "no-such-class"),
        String::from_utf8(job_request("log-lookup", "00000000000000b2", 5000, &long)).expect("text"),
    ];
    let statuses: Vec<u16> = cases.iter().map(|text| exchange(http, text.as_bytes()).status).collect();
    assert_eq!(statuses, [405, 400, 400, 400, 413]);
    assert_eq!(exchange(http, good.as_bytes()).status, 200, "the daemon still serves jobs");
    daemon.wait_counters("http", &["taken=1", "malformed=5", "served=1"]);
    assert_eq!(worker.count(), 1);
}

/// Rule 2: a job that may have run and must never run twice is failed. It is neither sent again nor reported as
/// refused, which would tell the client that a retry is harmless.
#[test]
fn a_confirmation_that_may_have_run_is_failed_and_not_retried() {
    let cases: [(&str, &Behaviour); 4] = [
        ("disconnects after it started the job", &|request, to| {
            send_objects(to, &[state_report(request, "started")], false);
            false
        }),
        ("disconnects before any answer", &|_, _| false),
        ("sends an unreadable answer", &|_, to| {
            send_objects(to, &[json!("nonsense")], true);
            false
        }),
        ("reports the job as failed", &|request, to| {
            send_objects(to, &[state_report(request, "failed")], true);
            true
        }),
    ];
    for (case, behaviour) in cases {
        let behave = move |request: &Message, to: &mut std::net::TcpStream| behaviour(request, to);
        let (one, two) = (Worker::start("w-1", behave), Worker::start("w-2", behave));
        let daemon = Daemon::start_ready(&Discovery::listing(&[&one, &two]));
        let answer =
            exchange(daemon.address("http"), &job_request("qso-confirm", "00000000000000c1", 5000, ""));
        assert_eq!((answer.status, one.count() + two.count()), (500, 1), "{case}");
        daemon.wait_counters("http", &["taken=1", "failed=1", "refused=0", "served=0"]);
    }
}

/// A job that a log worker rejected as unprocessed never ran, so another one may get it.
#[test]
fn a_confirmation_rejected_as_unprocessed_goes_to_another_log_worker() {
    let reject: &Behaviour = &|_, to| {
        let text = "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
        to.write_all(text.as_bytes()).is_ok()
    };
    // The log worker that gets the first request rejects it, whichever it is.
    let first = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(true));
    let worker = |uid: &str| {
        let first = first.clone();
        Worker::start(uid, move |request, to| match first.swap(false, Ordering::SeqCst) {
            true => reject(request, to),
            false => {
                serve(request, to, "fine");
                true
            }
        })
    };
    let (one, two) = (worker("w-1"), worker("w-2"));
    let daemon = Daemon::start_ready(&Discovery::listing(&[&one, &two]));
    assert_eq!(
        exchange(daemon.address("http"), &job_request("qso-confirm", "00000000000000d1", 5000, "")).status,
        200
    );
    assert_eq!((one.count(), two.count()), (1, 1));
}

/// Guards against a job that waits until its time is up beside the one log worker there is, which turned it away once.
#[test]
fn a_job_goes_again_to_the_only_log_worker_that_turned_it_away_once() {
    let first = std::sync::atomic::AtomicBool::new(true);
    let worker = Worker::start("w-1", move |request, to| match first.swap(false, Ordering::SeqCst) {
        true => {
            let text = "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
            to.write_all(text.as_bytes()).is_ok()
        }
        false => {
            serve(request, to, "fine");
            true
        }
    });
    let daemon = Daemon::start_ready(&Discovery::listing(&[&worker]));
    let request = job_request("qso-confirm", "00000000000000d2", 20_000, "");
    assert_eq!(exchange(daemon.address("http"), &request).status, 200);
    assert_eq!(worker.count(), 2);
}

/// The only log worker refuses connections: the client is refused without delay and told when to retry.
#[test]
fn a_refusal_has_a_retry_after_header() {
    let unreachable = list_entry("w-1", "127.0.0.1:9".parse().expect("an address"), "active");
    let daemon = Daemon::start_ready(&Discovery::start(vec![unreachable]));
    let answer =
        exchange(daemon.address("http"), &job_request("qso-confirm", "00000000000000e1", 20_000, ""));
    assert_eq!(answer.status, 503);
    let seconds: f64 = answer.header("retry-after").expect("a time").parse().expect("seconds");
    assert!(seconds > 0.0);
}

#[test]
fn a_client_that_disconnects_cancels_its_job() {
    let worker = Worker::start("w-1", |request, to| {
        send_objects(to, &[state_report(request, "started")], false);
        is_closed(to);
        false
    });
    let daemon = Daemon::start_ready(&Discovery::listing(&[&worker]));
    let client = send(daemon.address("http"), &job_request("log-lookup", "00000000000000f1", 9000, ""));
    wait_for("the job", || (worker.count() == 1).then_some(()));
    drop(client);
    daemon.wait_counters("http", &["taken=1", "client_gone=1", "cancelled=1"]);
}

#[test]
fn a_job_without_an_answer_at_its_deadline_is_failed() {
    let worker = Worker::start("w-1", |_, to| {
        is_closed(to);
        false
    });
    let daemon = Daemon::start_ready(&Discovery::listing(&[&worker]));
    assert_eq!(
        exchange(daemon.address("http"), &job_request("qso-confirm", "0000000000000101", 300, "")).status,
        500
    );
    daemon.wait_counters("http", &["taken=1", "failed=1"]);
}

/// Rule 3: a draining log worker gets no new jobs. An unreadable line and a closed watch cost a new watch and nothing
/// else.
#[test]
fn a_draining_log_worker_gets_no_new_jobs_and_a_failed_watch_is_reopened() {
    let (one, two) = (Worker::serving("w-1"), Worker::serving("w-2"));
    let discovery = Discovery::listing(&[&one, &two]);
    let daemon = Daemon::start_ready(&discovery);
    let http = daemon.address("http");
    wait_for("a watch", || (discovery.watches.load(Ordering::SeqCst) == 1).then_some(()));
    discovery.send_line("nonsense");
    wait_for("a second watch", || (discovery.watches.load(Ordering::SeqCst) == 2).then_some(()));
    discovery.close_watches();
    wait_for("a third watch", || (discovery.watches.load(Ordering::SeqCst) == 3).then_some(()));
    discovery.send_change(one.entry("leaving"));
    daemon.wait_counters("http", &["lists=4", "lists_failed=2"]);
    let before = one.count();
    for at in 0..20 {
        assert_eq!(exchange(http, &job_request("log-lookup", &format!("{at:016x}"), 5000, "")).status, 200);
    }
    assert_eq!((one.count(), two.count()), (before, 20));
}

/// The decisions spread a dispatcher's first request for the list over a quarter of `ask_every`. The daemon does not wait
/// for that, since it can serve nothing without a list.
#[test]
fn the_list_is_requested_at_the_start() {
    let worker = Worker::serving("w-1");
    let mut config = platform_config(Discovery::listing(&[&worker]).address);
    config["settings"]["rules"]["ask_every_ms"] = json!(1e7);
    Daemon::start(&config, None).wait_ready();
}

/// A machine that fails without closing its connections leaves them open and silent: a job written to one hangs, and a
/// confirmation may not be sent elsewhere. So a connection is not reused when its log worker has been silent for long.
#[test]
fn a_pooled_connection_to_a_long_silent_log_worker_is_replaced() {
    let worker = Worker::serving("w-1");
    let daemon = Daemon::start_ready(&Discovery::listing(&[&worker]));
    let http = daemon.address("http");
    assert_eq!(exchange(http, &job_request("qso-confirm", "0000000000000001", 5000, "")).status, 200);
    assert_eq!(exchange(http, &job_request("qso-confirm", "0000000000000002", 5000, "")).status, 200);
    std::thread::sleep(std::time::Duration::from_millis(2000));
    assert_eq!(exchange(http, &job_request("qso-confirm", "0000000000000003", 5000, "")).status, 200);
    assert_eq!(worker.connections.load(Ordering::SeqCst), 2);
}

/// A pooled connection may be closed on the network path. Only the first confirmation may fail because of that: later
/// ones go over new connections. The log worker is not ejected for it.
#[test]
fn after_a_pooled_connection_broke_a_confirmation_uses_a_new_one() {
    let count = Mutex::new(0);
    let worker = Worker::start("w-1", move |request, to| {
        let mut count = count.lock().expect("the count");
        *count += 1;
        // The connection closes on the third request, without an answer.
        if *count != 3 {
            serve(request, to, "fine");
        }
        *count != 3
    });
    let daemon = Daemon::start_ready(&Discovery::listing(&[&worker]));
    let http = daemon.address("http");
    let status =
        |class: &str, id: u32| exchange(http, &job_request(class, &format!("{id:016x}"), 5000, "")).status;
    assert_eq!(
        (status("log-lookup", 1), status("qso-confirm", 2), status("qso-confirm", 3)),
        (200, 200, 500)
    );
    let connections = || worker.connections.load(Ordering::SeqCst);
    assert_eq!((status("log-lookup", 4), connections()), (200, 2));
    assert_eq!((status("qso-confirm", 5), connections()), (200, 3), "not over the pooled one");
    assert_eq!((status("log-lookup", 6), connections()), (200, 3), "over a pooled one");
}

/// As long as a pending job keeps the process alive, it also serves clients on open connections: for them, a new
/// connection would be no better.
#[test]
fn during_a_shutdown_connected_clients_are_served_while_a_job_is_pending() {
    let (release, released) = std::sync::mpsc::channel::<()>();
    let released = Mutex::new(Some(released));
    let worker = Worker::start("w-1", move |request, to| {
        if request.start_line.contains("qso-confirm") {
            let _ = released.lock().expect("the first").take().expect("one").recv();
        }
        serve(request, to, "fine");
        true
    });
    let mut daemon = Daemon::start_ready(&Discovery::listing(&[&worker]));
    let http = daemon.address("http");
    let mut pending = BufReader::new(send(http, &job_request("qso-confirm", "0000000000000001", 20_000, "")));
    wait_for("the job", || (worker.count() == 1).then_some(()));
    let mut open = BufReader::new(send(http, b""));
    let mut last_id = 2;
    let mut status = || {
        last_id += 1;
        let sent = open.get_mut().write_all(&job_request("log-lookup", &format!("{last_id:016x}"), 5000, ""));
        sent.ok().and_then(|()| read_message(&mut open)).map(|answer| answer.status)
    };
    assert_eq!(status(), Some(200));
    daemon.signal("TERM");
    wait_for("the end of the listener", || std::net::TcpStream::connect(http).is_err().then_some(()));
    assert_eq!(status(), Some(200));
    wait_for("the end of the connection", || (status().is_none()).then_some(()));
    release.send(()).expect("the log worker waits");
    assert_eq!(read_message(&mut pending).expect("an answer").status, 200);
    assert!(daemon.wait_exit().success());
}

#[test]
fn without_discovery_the_configured_list_is_used() {
    let worker = Worker::serving("w-1");
    let silent_discovery = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut config = platform_config(silent_discovery.local_addr().expect("an address"));
    config["known"] = json!({"rev": 3, "all": true, "targets": [worker.entry("active")]});
    let daemon = Daemon::start(&config, None);
    daemon.wait_ready();
    assert_eq!(
        exchange(daemon.address("http"), &job_request("log-lookup", "0000000000000111", 5000, "")).status,
        200
    );
}

#[test]
fn on_sigterm_accepted_jobs_are_finished_and_the_totals_logged() {
    let worker = Worker::start("w-1", |request, to| {
        std::thread::sleep(std::time::Duration::from_millis(1500));
        serve(request, to, "fine");
        true
    });
    let mut daemon = Daemon::start_ready(&Discovery::listing(&[&worker]));
    let http = daemon.address("http");
    let mut client = BufReader::new(send(http, &job_request("qso-confirm", "0000000000000121", 9000, "")));
    wait_for("the job", || (worker.count() == 1).then_some(()));
    daemon.signal("TERM");
    wait_for("the health check to fail", || (get(http, "/health/ready").status == 503).then_some(()));
    assert_eq!(read_message(&mut client).expect("an answer").status, 200);
    assert!(daemon.wait_exit().success());
    let line = daemon.wait_log("http counters at exit: ");
    insta::assert_snapshot!(line.split_once(": ").expect("a colon").1, @"http counters at exit: served=1 refused=0 failed=0 taken=1 malformed=0 turned_down=0 closed=0 shutdown_connections=1 shutdown_answers=1 overload=0 out_of_memory=0 unusable=0 overdue=0 client_gone=0 sent=1 written=1 not_sent=0 cancelled=0 attempts_failed=0 late_reports=0 probes=0 connections_displaced=0 connections_without_room=0 lists=1 lists_failed=0 lists_unusable=0 list_entries_unreadable=0 deadline_reached=0 too_late_to_start=0 no_repeat_allowed=0 attempts_exhausted=0 likely_late=0 tenant_over_share=0 all_banned=0");
}

#[test]
fn an_invalid_configuration_ends_the_daemon_with_an_error_that_names_the_field() {
    let discovery = "127.0.0.1:9".parse().expect("an address");
    let error_line = |change: &dyn Fn(&mut serde_json::Value), faktory: Option<&str>| {
        let mut config = platform_config(discovery);
        change(&mut config);
        let (mut command, _folder) = Daemon::command(&config, faktory);
        let output = command.output().expect("the daemon runs");
        assert!(!output.status.success());
        // Only the first line: the excerpt of the file below it is drawn by the library for error reports.
        let text = String::from_utf8(output.stderr).expect("text");
        format!("{}\n", text.lines().next().expect("a line"))
    };
    let errors = [
        error_line(&|c| c["listen"] = "nowhere".into(), None),
        error_line(&|c| c["seed"] = "xyz".into(), None),
        error_line(&|c| c["settings"]["me"] = 7.into(), None),
        error_line(
            &|c| drop(c["settings"]["limits"].as_object_mut().expect("limits").remove("conn_idle_ms")),
            None,
        ),
        error_line(&|c| c["known"] = json!({"rev": "x"}), None),
        error_line(&|_| (), Some("faktory {\n listen 127.0.0.1:0\n connections 0\n}\n")),
    ];
    insta::assert_snapshot!(errors.concat(), @r#"
    rookspoke: listen: "nowhere": invalid socket address syntax
    rookspoke: seed: "xyz"
    rookspoke: settings.me: 7 (expected a number below balancers)
    rookspoke: settings.limits.conn_idle_ms: not a time in ms
    rookspoke: known: invalid type: string "x", expected u64
    rookspoke: deploy/rookspoke.conf:3:14: found `0`, expected a whole number from 1 to 1048576
    "#);
}

/// Messages that arrive byte by byte are read correctly, and a log worker that stops in the middle of an answer delays
/// no other job.
#[test]
fn messages_in_single_bytes_are_read_and_an_incomplete_answer_delays_no_other_job() {
    let write_bytewise = |to: &mut std::net::TcpStream, text: &str| {
        text.bytes().all(|byte| {
            std::thread::sleep(std::time::Duration::from_micros(300));
            to.write_all(&[byte]).is_ok()
        })
    };
    let worker = Worker::start("w-1", move |request, to| {
        let line = format!("{}\n", state_report(request, "started"));
        let mut done = state_report(request, "done");
        done["result"] = "fine".into();
        let last = format!("{done}\n");
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let chunks = format!("{:x}\r\n{line}\r\n{:x}\r\n{last}\r\n0\r\n\r\n", line.len(), last.len());
        // One job gets half an answer and then nothing, while the connection stays open.
        let silent = request.text() == "silent";
        let text = if silent {
            format!("{head}{:x}\r\n{}", line.len(), &line[..9])
        } else {
            head.to_owned() + &chunks
        };
        write_bytewise(to, &text) && (!silent || to.read(&mut [0]).is_ok_and(|read| read > 0))
    });
    let daemon = Daemon::start_ready(&Discovery::listing(&[&worker]));
    let http = daemon.address("http");
    let silent = send(http, &job_request("qso-confirm", "00000000000000f1", 1500, "silent"));
    let whole = job_request("qso-confirm", "00000000000000f2", 5000, "in pieces");
    let mut client = std::net::TcpStream::connect(http).expect("a connection");
    assert!(write_bytewise(&mut client, std::str::from_utf8(&whole).expect("text")));
    assert_eq!(read_message(&mut BufReader::new(client)).expect("an answer").status, 200);
    let answer = read_message(&mut BufReader::new(silent)).expect("an answer");
    assert_eq!(answer.status, 500, "the job may have run, so it is failed, not refused");
    daemon.wait_counters("http", &["served=1", "failed=1", "written=2"]);
}

/// A watch that stops in the middle of a line has failed, even though its connection stays open: the list is requested
/// again.
#[test]
fn a_watch_that_stops_within_a_line_is_reopened() {
    let worker = Worker::serving("w-1");
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let daemon = Daemon::start(&platform_config(listener.local_addr().expect("an address")), None);
    let list = json!({"rev": 1, "all": true, "targets": [worker.entry("active")]}).to_string();
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let chunk = format!("{:x}\r\n{list}\n\r\n", list.len() + 1);
    let mut watches = Vec::new();
    for part in [chunk.len() / 2, chunk.len()] {
        let mut stream = accept_watch(&listener);
        for byte in format!("{head}{}", &chunk[..part]).bytes() {
            stream.write_all(&[byte]).expect("sent");
        }
        // The first watch stays open and sends nothing more.
        watches.push(stream);
    }
    daemon.wait_ready();
    assert_eq!(
        exchange(daemon.address("http"), &job_request("log-lookup", "00000000000000f3", 5000, "")).status,
        200
    );
    daemon.wait_counters("http", &["lists=1", "lists_failed=1"]);
}

/// Accepts a connection and reads the request for a watch.
fn accept_watch(listener: &std::net::TcpListener) -> std::net::TcpStream {
    let (stream, _) = listener.accept().expect("a watch");
    let request = read_message(&mut BufReader::new(stream.try_clone().expect("a clone")));
    assert!(request.is_some_and(|request| request.start_line.contains("watch=1")));
    stream
}

/// Accepts a watch and answers it with these lines.
fn serve_watch(listener: &std::net::TcpListener, lines: &[&str]) -> std::net::TcpStream {
    let mut stream = accept_watch(listener);
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").expect("sent");
    for line in lines {
        stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).expect("sent");
    }
    stream
}

/// Lists may be indented. An empty first line of a watch says that the list has not changed.
#[test]
fn indented_lists_are_read_and_an_empty_first_line_confirms_the_current_version() {
    let (one, two) = (Worker::serving("w-1"), Worker::serving("w-2"));
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut config = platform_config(listener.local_addr().expect("an address"));
    config["settings"]["rules"]["ask_every_ms"] = 100.0.into();
    let daemon = Daemon::start(&config, None);
    let pretty = |value: serde_json::Value| serde_json::to_string_pretty(&value).expect("text");
    let list = pretty(json!({"rev": 4, "all": true, "targets": [one.entry("active"), two.entry("active")]}));
    let drain = pretty(json!({"rev": 5, "all": false, "targets": [one.entry("leaving")]}));
    let first = serve_watch(&listener, &["", &list, "", &drain]);
    daemon.wait_counters("http", &["lists=2", "lists_failed=0"]);
    let http = daemon.address("http");
    let status = |id: &str| exchange(http, &job_request("log-lookup", id, 5000, "")).status;
    assert_eq!((status("0000000000000201"), one.count(), two.count()), (200, 0, 1));
    drop(first);
    let _second = serve_watch(&listener, &[""]);
    daemon.wait_counters("http", &["lists=3", "lists_failed=1"]);
    // Longer than a list stays valid without a watch.
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!((status("0000000000000202"), one.count(), two.count()), (200, 0, 2));
}

/// 6 s after the last message of a silent watch, changes that it may have missed count as in effect. From then on jobs
/// wait, and are placed by the next list.
#[test]
fn no_job_is_placed_by_a_list_that_a_silent_watch_left_outdated() {
    let (one, two) = (Worker::serving("w-1"), Worker::serving("w-2"));
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut config = platform_config(listener.local_addr().expect("an address"));
    config["settings"]["rules"]["ask_every_ms"] = 20_000.0.into();
    let daemon = Daemon::start(&config, None);
    let list = json!({"rev": 1, "all": true, "targets": [one.entry("active")]}).to_string();
    let silent_since = Instant::now();
    let _first = serve_watch(&listener, &[&list]);
    daemon.wait_ready();
    let http = daemon.address("http");
    // The daemon keeps requesting the list; a response head without a line is no answer.
    let mut open_watches = Vec::new();
    while silent_since.elapsed() < Duration::from_millis(6100) {
        let remaining = Duration::from_millis(6200).saturating_sub(silent_since.elapsed());
        listener.set_nonblocking(true).expect("a listener");
        std::thread::sleep(remaining.min(Duration::from_millis(20)));
        if let Ok((mut stream, _)) = listener.accept() {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            open_watches.push(stream);
        }
    }
    listener.set_nonblocking(false).expect("a listener");
    assert!(!open_watches.is_empty(), "the list was not requested again in time");
    let client = send(http, &job_request("log-lookup", "0000000000000211", 9_000, ""));
    std::thread::sleep(Duration::from_millis(600));
    assert_eq!(one.count(), 0, "placed by an outdated list");
    let list = json!({"rev": 2, "all": true, "targets": [one.entry("leaving"), two.entry("active")]});
    let _last = serve_watch(&listener, &[&list.to_string()]);
    assert_eq!(read_message(&mut BufReader::new(client)).expect("an answer").status, 200);
    assert_eq!((one.count(), two.count()), (0, 1));
}

/// With `discovery` set to `automatic`, an agent pushes the lists, so a closed watch is reopened without the
/// delay that spreads the requests of many dispatchers. A fault once kept it from being reopened at all.
#[test]
fn a_closed_watch_of_a_pushed_list_is_reopened_within_5_s() {
    let (one, two) = (Worker::serving("w-1"), Worker::serving("w-2"));
    let discovery = Discovery::listing(&[&one, &two]);
    let mut config = platform_config(discovery.address);
    config["settings"]["discovery"] = "automatic".into();
    config["settings"]["balancers"] = 300.into();
    let daemon = Daemon::start(&config, None);
    daemon.wait_ready();
    let http = daemon.address("http");
    for watch_count in 2..5 {
        discovery.set_list(vec![one.entry("leaving"), two.entry("active")]);
        let closed_at = Instant::now();
        discovery.close_watches();
        wait_for("a new watch", || (discovery.watches.load(Ordering::SeqCst) >= watch_count).then_some(()));
        assert!(closed_at.elapsed() < Duration::from_secs(5), "{:?}", closed_at.elapsed());
    }
    daemon.wait_counters("http", &["lists=4", "lists_failed=3"]);
    assert_eq!(exchange(http, &job_request("log-lookup", "0000000000000221", 5000, "")).status, 200);
    assert_eq!((one.count(), two.count()), (0, 1));
}
