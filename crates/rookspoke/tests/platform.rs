//! The daemon on the platform's protocol, between stand-in clients, log workers and discovery.

mod common;

use std::io::{BufReader, Read, Write};
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use common::world::*;
use serde_json::json;

#[test]
fn a_job_passes_unchanged_and_its_result_comes_back() {
    let worker = Worker::serving("w-1");
    let daemon = Daemon::start_ready(&Discovery::listing(&[&worker]));
    let answer = exchange(
        daemon.address("http"),
        &job_request("qso-confirm", "00000000000000a1", 5000, "two stations"),
    );
    let seen = worker.requests.lock().expect("requests")[0].clone();
    let mut told: Vec<String> = seen.headers.iter().map(|(name, value)| format!("{name}: {value}")).collect();
    told.retain(|header| !header.starts_with("x-time-left-ms"));
    let left: u32 = seen.header("x-time-left-ms").expect("the time left").parse().expect("whole ms");
    assert!(left <= 5000);
    insta::assert_snapshot!(
        format!("{}\n{}\n{}\n=> {} {}", seen.start_line, told.join("\n"), seen.text(), answer.status, answer.text()),
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

/// Its connection stays open: nothing but the missing words tells that it hangs.
#[test]
fn a_log_worker_that_falls_silent_over_a_job_holds_up_no_client() {
    let quiet = Worker::start("w-quiet", |request, to| {
        send_objects(to, &[state_report(request, "started")], false);
        true
    });
    let sound = Worker::serving("w-sound");
    let discovery = Discovery::start(vec![quiet.entry("active"), sound.entry("leaving")]);
    let mut config = platform_config(discovery.address);
    config["settings"]["specifics"]["progress_ms"] = 300.0.into();
    let daemon = Daemon::start(&config, None);
    let http = daemon.address("http");
    let start = Instant::now();
    let answer = exchange(http, &job_request("qso-confirm", "00000000000000b1", 20_000, ""));
    assert_eq!(answer.status, 500, "it may have run");
    assert!(start.elapsed() < Duration::from_secs(10), "{:?}", start.elapsed());
    let client = send(http, &job_request("log-lookup", "00000000000000b2", 9_000, ""));
    wait_for("the look-up's attempt", || (quiet.count() >= 2).then_some(()));
    discovery.send_change(sound.entry("active"));
    let answer = read_message(&mut BufReader::new(client)).expect("an answer");
    assert_eq!((answer.status, sound.count()), (200, 1), "it may run twice");
}

#[test]
fn results_of_every_form_reach_the_client() {
    let bodies = [r#""a \"quoted\" line\n""#, r#"{"b": [1,  2]}"#, r#""""#, "\"\u{151}\""];
    let next = Mutex::new(bodies.into_iter());
    let worker = Worker::start("w-1", move |request, to| {
        let body = next.lock().expect("bodies").next().expect("one more");
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
    let got: Vec<String> = (0..4)
        .map(|at| exchange(http, &job_request("log-lookup", &format!("{at:016x}"), 5000, "")).text())
        .collect();
    assert_eq!(got, ["a \"quoted\" line\n", r#"{"b": [1,  2]}"#, "", "\u{151}"]);
    // One after another they share a connection: a new one costs the log worker work.
    assert_eq!(worker.connections.load(Ordering::SeqCst), 1);
}

#[test]
fn bad_requests_are_turned_down_and_counted() {
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
    assert_eq!(exchange(http, good.as_bytes()).status, 200, "the daemon goes on");
    daemon.wait_counters("http", &["taken=1", "malformed=5", "served=1"]);
    assert_eq!(worker.count(), 1);
}

/// Rule 2: what may have run and must never run twice is failed, never sent again and never called harmless.
#[test]
fn a_confirmation_that_may_have_run_is_failed_and_not_sent_again() {
    let cases: [(&str, &Behaviour); 4] = [
        ("breaks after its start", &|request, to| {
            send_objects(to, &[state_report(request, "started")], false);
            false
        }),
        ("breaks before any answer", &|_, _| false),
        ("speaks nonsense", &|_, to| {
            send_objects(to, &[json!("nonsense")], true);
            false
        }),
        ("fails", &|request, to| {
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

/// What a log worker turned away never ran: it may go to another.
#[test]
fn a_confirmation_that_never_ran_goes_to_another_worker() {
    let away: &Behaviour = &|_, to| {
        let text = "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
        to.write_all(text.as_bytes()).is_ok()
    };
    // Whichever comes first turns the job away.
    let first = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(true));
    let worker = |uid: &str| {
        let first = first.clone();
        Worker::start(uid, move |request, to| match first.swap(false, Ordering::SeqCst) {
            true => away(request, to),
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

/// An answer is never held back, and says when to come back.
#[test]
fn a_refusal_comes_at_once_with_the_time_to_come_back() {
    let gone = list_entry("w-1", "127.0.0.1:9".parse().expect("an address"), "active");
    let daemon = Daemon::start_ready(&Discovery::start(vec![gone]));
    let answer =
        exchange(daemon.address("http"), &job_request("qso-confirm", "00000000000000e1", 20_000, ""));
    assert_eq!(answer.status, 503);
    let seconds: f64 = answer.header("retry-after").expect("a time").parse().expect("seconds");
    assert!(seconds > 0.0);
}

#[test]
fn a_client_that_leaves_calls_its_job_off() {
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
fn a_job_unanswered_at_its_deadline_fails_in_time() {
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

/// Rule 3, and discovery's whims: nonsense and a broken watch cost a new watch, no more.
#[test]
fn a_draining_worker_gets_nothing_new_and_a_broken_watch_starts_again() {
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

/// The decisions spread their first call over a quarter of `ask_every`; a dispatcher without a list is of no use.
#[test]
fn the_list_is_asked_for_at_the_start() {
    let worker = Worker::serving("w-1");
    let mut config = platform_config(Discovery::listing(&[&worker]).address);
    config["settings"]["rules"]["ask_every_ms"] = json!(1e7);
    Daemon::start(&config, None).wait_ready();
}

/// A machine that vanishes leaves its connections open and silent: what is written to one hangs there, and may
/// not go elsewhere.
#[test]
fn a_kept_connection_to_a_log_worker_unheard_for_long_is_replaced() {
    let worker = Worker::serving("w-1");
    let daemon = Daemon::start_ready(&Discovery::listing(&[&worker]));
    let http = daemon.address("http");
    assert_eq!(exchange(http, &job_request("qso-confirm", "0000000000000001", 5000, "")).status, 200);
    assert_eq!(exchange(http, &job_request("qso-confirm", "0000000000000002", 5000, "")).status, 200);
    std::thread::sleep(std::time::Duration::from_millis(2000));
    assert_eq!(exchange(http, &job_request("qso-confirm", "0000000000000003", 5000, "")).status, 200);
    assert_eq!(worker.connections.load(Ordering::SeqCst), 2);
}

/// A kept connection may be closed on the way: the first confirmation that this costs is the last, and the log
/// worker is not blamed.
#[test]
fn after_a_kept_connection_broke_a_confirmation_goes_over_a_new_one() {
    let count = Mutex::new(0);
    let worker = Worker::start("w-1", move |request, to| {
        let mut count = count.lock().expect("the count");
        *count += 1;
        // The third finds its kept connection broken.
        if *count != 3 {
            serve(request, to, "fine");
        }
        *count != 3
    });
    let daemon = Daemon::start_ready(&Discovery::listing(&[&worker]));
    let http = daemon.address("http");
    let asks =
        |class: &str, id: u32| exchange(http, &job_request(class, &format!("{id:016x}"), 5000, "")).status;
    assert_eq!((asks("log-lookup", 1), asks("qso-confirm", 2), asks("qso-confirm", 3)), (200, 200, 500));
    let connections = || worker.connections.load(Ordering::SeqCst);
    assert_eq!((asks("log-lookup", 4), connections()), (200, 2));
    assert_eq!((asks("qso-confirm", 5), connections()), (200, 3), "not over the kept one");
    assert_eq!((asks("log-lookup", 6), connections()), (200, 3), "over a kept one");
}

/// A client whose connection stays open has nowhere better to go while others keep the process alive anyway.
#[test]
fn told_to_end_it_serves_those_who_are_connected_while_others_wait() {
    let (go, wait) = std::sync::mpsc::channel::<()>();
    let wait = Mutex::new(Some(wait));
    let worker = Worker::start("w-1", move |request, to| {
        if request.start_line.contains("qso-confirm") {
            let _ = wait.lock().expect("the first").take().expect("one").recv();
        }
        serve(request, to, "fine");
        true
    });
    let mut daemon = Daemon::start_ready(&Discovery::listing(&[&worker]));
    let http = daemon.address("http");
    let mut owed = BufReader::new(send(http, &job_request("qso-confirm", "0000000000000001", 20_000, "")));
    wait_for("the job", || (worker.count() == 1).then_some(()));
    let mut kept = BufReader::new(send(http, b""));
    let mut next = 2;
    let mut asks = || {
        next += 1;
        let sent = kept.get_mut().write_all(&job_request("log-lookup", &format!("{next:016x}"), 5000, ""));
        sent.ok().and_then(|()| read_message(&mut kept)).map(|answer| answer.status)
    };
    assert_eq!(asks(), Some(200));
    daemon.signal("TERM");
    wait_for("the end of the listener", || std::net::TcpStream::connect(http).is_err().then_some(()));
    assert_eq!(asks(), Some(200));
    wait_for("the end of the connection", || (asks().is_none()).then_some(()));
    go.send(()).expect("the log worker waits");
    assert_eq!(read_message(&mut owed).expect("an answer").status, 200);
    assert!(daemon.wait_exit().success());
}

#[test]
fn without_discovery_the_known_list_has_to_do() {
    let worker = Worker::serving("w-1");
    let silent = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut config = platform_config(silent.local_addr().expect("an address"));
    config["known"] = json!({"rev": 3, "all": true, "targets": [worker.entry("active")]});
    let daemon = Daemon::start(&config, None);
    daemon.wait_ready();
    assert_eq!(
        exchange(daemon.address("http"), &job_request("log-lookup", "0000000000000111", 5000, "")).status,
        200
    );
}

#[test]
fn told_to_end_it_finishes_what_it_took_and_reports_its_totals() {
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
    wait_for("unready", || (get(http, "/health/ready").status == 503).then_some(()));
    assert_eq!(read_message(&mut client).expect("an answer").status, 200);
    assert!(daemon.wait_exit().success());
    let line = daemon.wait_log("http counters at exit: ");
    insta::assert_snapshot!(line.split_once(": ").expect("a colon").1, @"http counters at exit: served=1 refused=0 failed=0 taken=1 malformed=0 turned_down=0 closed=0 shutdown_connections=1 shutdown_answers=1 overload=0 unusable=0 overdue=0 client_gone=0 sent=1 written=1 not_sent=0 cancelled=0 attempts_failed=0 late_reports=0 probes=0 connections_displaced=0 connections_without_room=0 lists=1 lists_failed=0 lists_unusable=0 list_entries_unreadable=0 deadline_reached=0 too_late_to_start=0 no_repeat_allowed=0 attempts_exhausted=0 likely_late=0 tenant_over_share=0 all_banned=0");
}

#[test]
fn a_bad_configuration_ends_it_with_a_line_that_names_the_field() {
    let discovery = "127.0.0.1:9".parse().expect("an address");
    let said = |change: &dyn Fn(&mut serde_json::Value), faktory: Option<&str>| {
        let mut config = platform_config(discovery);
        change(&mut config);
        let (mut command, _folder) = Daemon::command(&config, faktory);
        let done = command.output().expect("the daemon runs");
        assert!(!done.status.success());
        // The line that is meant, drawn beneath, is the report library's.
        let text = String::from_utf8(done.stderr).expect("text");
        format!("{}\n", text.lines().next().expect("a line"))
    };
    let all = [
        said(&|c| c["listen"] = "nowhere".into(), None),
        said(&|c| c["seed"] = "xyz".into(), None),
        said(&|c| c["settings"]["me"] = 7.into(), None),
        said(
            &|c| drop(c["settings"]["limits"].as_object_mut().expect("limits").remove("conn_idle_ms")),
            None,
        ),
        said(&|c| c["known"] = json!({"rev": "x"}), None),
        said(&|_| (), Some("faktory {\n listen 127.0.0.1:0\n connections 0\n}\n")),
    ];
    insta::assert_snapshot!(all.concat(), @r#"
    rookspoke: listen: "nowhere": invalid socket address syntax
    rookspoke: seed: "xyz"
    rookspoke: settings.me: 7 (expected a number below balancers)
    rookspoke: settings.limits.conn_idle_ms: not a time in ms
    rookspoke: known: invalid type: string "x", expected u64
    rookspoke: deploy/rookspoke.conf:3:14: found `0`, expected a whole number from 1 to 1048576
    "#);
}

/// Peers that write a byte at a time are understood, and one that falls silent in the middle holds up nobody else.
#[test]
fn peers_that_write_in_pieces_or_fall_silent_are_put_up_with() {
    let pieces = |to: &mut std::net::TcpStream, text: &str| {
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
        // One job gets half an answer, and then nothing.
        let silent = request.text() == "silent";
        let text = if silent {
            format!("{head}{:x}\r\n{}", line.len(), &line[..9])
        } else {
            head.to_owned() + &chunks
        };
        pieces(to, &text) && (!silent || to.read(&mut [0]).is_ok_and(|read| read > 0))
    });
    let daemon = Daemon::start_ready(&Discovery::listing(&[&worker]));
    let http = daemon.address("http");
    let silent = send(http, &job_request("qso-confirm", "00000000000000f1", 1500, "silent"));
    let whole = job_request("qso-confirm", "00000000000000f2", 5000, "in pieces");
    let mut client = std::net::TcpStream::connect(http).expect("a connection");
    assert!(pieces(&mut client, std::str::from_utf8(&whole).expect("text")));
    assert_eq!(read_message(&mut BufReader::new(client)).expect("an answer").status, 200);
    let answer = read_message(&mut BufReader::new(silent)).expect("an answer");
    assert_eq!(answer.status, 500, "it may have run");
    daemon.wait_counters("http", &["served=1", "failed=1", "written=2"]);
}

/// A watch that falls silent in the middle of a line is dead, whatever its connection says: the list is asked for anew.
#[test]
fn a_discovery_that_stops_in_a_line_is_asked_again() {
    let worker = Worker::serving("w-1");
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let daemon = Daemon::start(&platform_config(listener.local_addr().expect("an address")), None);
    let list = json!({"rev": 1, "all": true, "targets": [worker.entry("active")]}).to_string();
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let chunk = format!("{:x}\r\n{list}\n\r\n", list.len() + 1);
    let mut watches = Vec::new();
    for part in [chunk.len() / 2, chunk.len()] {
        let mut stream = called(&listener);
        for byte in format!("{head}{}", &chunk[..part]).bytes() {
            stream.write_all(&[byte]).expect("sent");
        }
        // The first stays open, and says nothing more.
        watches.push(stream);
    }
    daemon.wait_ready();
    assert_eq!(
        exchange(daemon.address("http"), &job_request("log-lookup", "00000000000000f3", 5000, "")).status,
        200
    );
    daemon.wait_counters("http", &["lists=1", "lists_failed=1"]);
}

/// Reads a call for a watch.
fn called(listener: &std::net::TcpListener) -> std::net::TcpStream {
    let (stream, _) = listener.accept().expect("a watch");
    let request = read_message(&mut BufReader::new(stream.try_clone().expect("a clone")));
    assert!(request.is_some_and(|request| request.start_line.contains("watch=1")));
    stream
}

/// Reads a call for a watch, and answers with these lines.
fn watched(listener: &std::net::TcpListener, lines: &[&str]) -> std::net::TcpStream {
    let mut stream = called(listener);
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").expect("sent");
    for line in lines {
        stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).expect("sent");
    }
    stream
}

/// Lists may come indented; and an empty line that comes first says that nothing has changed.
#[test]
fn indented_lists_are_read_on_a_watch_and_an_empty_line_confirms_the_version_held() {
    let (one, two) = (Worker::serving("w-1"), Worker::serving("w-2"));
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut config = platform_config(listener.local_addr().expect("an address"));
    config["settings"]["rules"]["ask_every_ms"] = 100.0.into();
    let daemon = Daemon::start(&config, None);
    let pretty = |value: serde_json::Value| serde_json::to_string_pretty(&value).expect("text");
    let list = pretty(json!({"rev": 4, "all": true, "targets": [one.entry("active"), two.entry("active")]}));
    let drain = pretty(json!({"rev": 5, "all": false, "targets": [one.entry("leaving")]}));
    let first = watched(&listener, &["", &list, "", &drain]);
    daemon.wait_counters("http", &["lists=2", "lists_failed=0"]);
    let http = daemon.address("http");
    let ask_one = |id: &str| exchange(http, &job_request("log-lookup", id, 5000, "")).status;
    assert_eq!((ask_one("0000000000000201"), one.count(), two.count()), (200, 0, 1));
    drop(first);
    let _second = watched(&listener, &[""]);
    daemon.wait_counters("http", &["lists=3", "lists_failed=1"]);
    // Longer than the list would be good for without a watch.
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!((ask_one("0000000000000202"), one.count(), two.count()), (200, 0, 2));
}

/// What a silent watch has missed counts as told 6 s after its last word, though nothing brings it: jobs wait from
/// then on, and go where the next list says.
#[test]
fn nothing_goes_by_a_list_that_a_silent_watch_left_too_old() {
    let (one, two) = (Worker::serving("w-1"), Worker::serving("w-2"));
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut config = platform_config(listener.local_addr().expect("an address"));
    config["settings"]["rules"]["ask_every_ms"] = 20_000.0.into();
    let daemon = Daemon::start(&config, None);
    let list = json!({"rev": 1, "all": true, "targets": [one.entry("active")]}).to_string();
    let silent = Instant::now();
    let _first = watched(&listener, &[&list]);
    daemon.wait_ready();
    let http = daemon.address("http");
    // It asks again and again, and heads alone are no answer.
    let mut heads = Vec::new();
    while silent.elapsed() < Duration::from_millis(6100) {
        let left = Duration::from_millis(6200).saturating_sub(silent.elapsed());
        listener.set_nonblocking(true).expect("a listener");
        std::thread::sleep(left.min(Duration::from_millis(20)));
        if let Ok((mut stream, _)) = listener.accept() {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            heads.push(stream);
        }
    }
    listener.set_nonblocking(false).expect("a listener");
    assert!(!heads.is_empty(), "it did not ask again in time");
    let client = send(http, &job_request("log-lookup", "0000000000000211", 9_000, ""));
    std::thread::sleep(Duration::from_millis(600));
    assert_eq!(one.count(), 0, "sent by a list that counts as replaced");
    let list = json!({"rev": 2, "all": true, "targets": [one.entry("leaving"), two.entry("active")]});
    let _last = watched(&listener, &[&list.to_string()]);
    assert_eq!(read_message(&mut BufReader::new(client)).expect("an answer").status, 200);
    assert_eq!((one.count(), two.count()), (0, 1));
}

/// Where lists are pushed, the agent is asked again within moments, however many dispatchers there are; it once never was.
#[test]
fn a_pushed_lists_watch_that_breaks_is_opened_again_at_once() {
    let (one, two) = (Worker::serving("w-1"), Worker::serving("w-2"));
    let discovery = Discovery::listing(&[&one, &two]);
    let mut config = platform_config(discovery.address);
    config["settings"]["discovery"] = "automatic".into();
    config["settings"]["balancers"] = 300.into();
    let daemon = Daemon::start(&config, None);
    daemon.wait_ready();
    let http = daemon.address("http");
    for turn in 2..5 {
        discovery.set_list(vec![one.entry("leaving"), two.entry("active")]);
        let broken = Instant::now();
        discovery.close_watches();
        wait_for("a new watch", || (discovery.watches.load(Ordering::SeqCst) >= turn).then_some(()));
        assert!(broken.elapsed() < Duration::from_secs(5), "{:?}", broken.elapsed());
    }
    daemon.wait_counters("http", &["lists=4", "lists_failed=3"]);
    assert_eq!(exchange(http, &job_request("log-lookup", "0000000000000221", 5000, "")).status, 200);
    assert_eq!((one.count(), two.count()), (0, 1));
}
