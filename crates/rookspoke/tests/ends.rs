//! The instants at which something ends while something is still owed: closes over unread bytes, the shutdown, the window of
//! a keyed class, an answer that goes on after its last word.

mod common;

use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use common::world::*;

/// A client that takes little at a time.
fn narrow(to: std::net::SocketAddr) -> TcpStream {
    let client = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    client.set_recv_buffer_size(1024).expect("a small buffer");
    client.connect(&to.into()).expect("a connection");
    client.into()
}

/// The close after a last answer lies over bytes that nobody has read. The client hears its answer and then the end, and
/// never a reset.
#[test]
fn a_close_over_unread_bytes_resets_no_answer() {
    let worker = Worker::serving_with("w-1", "x".repeat(60_000));
    let daemon = Daemon::start_ready(&Discovery::listing(&[&worker]));
    let http = daemon.address("http");
    let close = |text: Vec<u8>| {
        String::from_utf8(text).expect("text").replace("Host:", "Connection: close\r\nHost:").into_bytes()
    };
    let job = close(job_request("log-lookup", "0000000000000001", 5_000, ""));
    let further = job_request("log-lookup", "0000000000000002", 5_000, "");
    let long = job_request("log-lookup", "0000000000000003", 5_000, &"x".repeat(200_000));
    let cases = [
        ("a request behind the last one", 200, job, further.clone()),
        ("a body that is too long", 413, long[..500].to_vec(), long[500..].to_vec()),
        ("no request at all", 400, b"\x01\x02\r\n\r\n".to_vec(), further.repeat(50)),
    ];
    for (case, status, text, behind) in cases {
        // The most of a long answer is still on the daemon's machine when its connection is shut.
        let mut client = narrow(http);
        client.write_all(&text).expect("sent");
        // The answer is out, and its connection shut, before the rest comes; and all has come before a byte is read.
        std::thread::sleep(Duration::from_millis(60));
        client.write_all(&behind).expect("sent");
        std::thread::sleep(Duration::from_millis(60));
        let mut heard = Vec::new();
        let read = client.read_to_end(&mut heard);
        let heard = String::from_utf8_lossy(&heard).into_owned();
        assert!(heard.starts_with(&format!("HTTP/1.1 {status} ")), "{case}: {heard:?}");
        assert!(read.is_ok(), "{case}: {read:?} after {heard:?}");
        assert_eq!(heard.matches("HTTP/1.1").count(), 1, "{case}: {heard:?}");
        assert!(status != 200 || heard.len() > 60_000, "{case}: {} bytes", heard.len());
    }
    assert_eq!(worker.count(), 1, "what lay behind the last request was sent on");
}

/// A connection that rests, and one that was accepted and has said nothing: requests that come with the shutdown are
/// answered, or never sent on; the process ends in time, though one client takes its answer a byte at a time.
#[test]
fn requests_that_arrive_with_the_shutdown_are_answered_or_not_sent() {
    let worker = Worker::serving_with("w-1", "x".repeat(30_000));
    let mut daemon = Daemon::start_ready(&Discovery::listing(&[&worker]));
    let http = daemon.address("http");
    let mut resting: Vec<_> = (1..=40)
        .map(|id| {
            let mut client =
                BufReader::new(send(http, &job_request("log-lookup", &format!("{id:016x}"), 5_000, "")));
            assert_eq!(read_message(&mut client).expect("an answer").status, 200);
            client
        })
        .collect();
    let mut fresh: Vec<_> = (0..40).map(|_| BufReader::new(send(http, b""))).collect();
    // One that does not read: its answers fill all buffers between.
    let slow = send(http, &job_request("log-lookup", "00000000000000ff", 5_000, ""));
    daemon.signal("TERM");
    let told = Instant::now();
    // The process stands still over the moment at which it would close what rests: when it goes on, the requests are
    // there, and so is the time to close.
    std::thread::sleep(Duration::from_millis(300));
    daemon.signal("STOP");
    let asks = |number: usize, client: &mut BufReader<TcpStream>| {
        client
            .get_mut()
            .write_all(&job_request("log-lookup", &format!("{:016x}", 0x100 + number), 5_000, ""))
            .is_ok()
    };
    let rested = resting.iter_mut().enumerate().all(|(number, client)| asks(number, client));
    std::thread::sleep(Duration::from_millis(500).saturating_sub(told.elapsed() / 2));
    daemon.signal("CONT");
    assert!(
        rested && resting.iter_mut().all(|client| read_message(client).is_some_and(|got| got.status == 200))
    );
    let mut answered = resting.len();
    // One after the other, over what is left of the time in which connections are open.
    for (number, client) in fresh.iter_mut().enumerate() {
        std::thread::sleep(Duration::from_millis(10));
        // After a close that crossed it, a request was not read: its client sends it again elsewhere.
        if let (true, Some(answer)) = (asks(0x100 + number, client), read_message(client)) {
            assert_eq!(answer.status, 200);
            answered += 1;
        }
    }
    let ended = daemon.wait_exit();
    assert!(ended.success() && told.elapsed() < Duration::from_millis(3_700), "{:?}", told.elapsed());
    assert_eq!(worker.count(), 41 + answered, "sent on and not answered");
    drop(slow);
}

/// Two log workers of one rack drop repeats for a second. The first breaks off; a repeat goes to the second while that is
/// sure to be dropped, and not a moment later, though it was decided on in time and its connection comes up late.
#[test]
fn a_keyed_repeat_goes_out_inside_its_window_or_not_at_all() {
    let break_after = |ms: u64| {
        Worker::start("w-1", move |_, _| {
            std::thread::sleep(Duration::from_millis(ms));
            false
        })
    };
    let keyed = |config: &mut serde_json::Value| {
        let class = &mut config["settings"]["classes"][1];
        class["effect"] = "idempotency_key".into();
        class["group"] = "cell".into();
        class["dedup_window_ms"] = 1000.0.into();
        config["settings"]["limits"]["connect_timeout_ms"] = 9_000.0.into();
    };
    // The repeat's own log worker is listed once the first attempt is out.
    let play = |first: &Worker, second: &dyn Fn() -> serde_json::Value, meanwhile: &dyn Fn()| {
        let discovery = Discovery::listing(&[first]);
        let mut config = platform_config(discovery.address);
        keyed(&mut config);
        let daemon = Daemon::start(&config, None);
        daemon.wait_ready();
        let client = send(daemon.address("http"), &job_request("qso-confirm", "0000000000000001", 6_000, ""));
        wait_for("the first attempt", || (first.count() == 1).then_some(()));
        let sent = Instant::now();
        discovery.send_change(second());
        meanwhile();
        let status = read_message(&mut BufReader::new(client)).expect("an answer").status;
        (status, sent.elapsed())
    };
    // Inside, well and just.
    for ms in [200, 900] {
        let (first, second) = (break_after(ms), Worker::serving("w-2"));
        let (status, _) = play(&first, &|| second.entry("active"), &|| ());
        assert_eq!((status, second.count()), (200, 1), "inside, after {ms} ms");
    }
    // Outside, just and well: failed at once, since it may have run.
    for ms in [1_010, 1_500] {
        let (first, second) = (break_after(ms), Worker::serving("w-2"));
        let (status, after) = play(&first, &|| second.entry("active"), &|| ());
        assert_eq!((status, second.count()), (500, 0), "outside, after {ms} ms");
        assert!(after < Duration::from_millis(ms + 500), "{after:?}: held back");
    }
    // Decided on inside, and its connection comes up outside.
    let (first, second) = (break_after(300), LateWorker::start("w-2"));
    let (status, _) = play(&first, &|| second.entry("active"), &|| {
        std::thread::sleep(Duration::from_millis(1_200));
        second.open();
    });
    assert_eq!((status, second.count()), (500, 0), "decided inside, sent outside");
}

/// After the last word: a second answer, a flood, silence. The client has its one answer, and neither memory nor the
/// next job pays for it.
#[test]
fn what_comes_after_an_answers_last_word_harms_nobody() {
    for case in ["a second answer", "a second last word", "a flood", "silence"] {
        let behaviour = move |request: &Message, to: &mut TcpStream| {
            let mut done = state_report(request, "done");
            done["result"] = "fine".into();
            let started = state_report(request, "started");
            let last = format!("{done}\n");
            match case {
                "a second answer" => {
                    send_objects(to, &[started, done], true);
                    std::thread::sleep(Duration::from_millis(5));
                    serve(request, to, "spoilt");
                }
                "a second last word" => send_objects(to, &[started, done.clone(), done], true),
                "a flood" => {
                    send_objects(to, &[started, done], false);
                    let chunk = format!("{:x}\r\n{last}\r\n", last.len()).repeat(1_000);
                    (0..500).all(|_| to.write_all(chunk.as_bytes()).is_ok());
                }
                _ => {
                    send_objects(to, &[started, done], false);
                    let _ = to.read(&mut [0]);
                }
            }
            true
        };
        // What meets the rest of an earlier answer goes to another, and blames nobody.
        let workers: Vec<Worker> = (1..=4).map(|n| Worker::start(&format!("w-{n}"), behaviour)).collect();
        let daemon = Daemon::start_ready(&Discovery::listing(&workers.iter().collect::<Vec<_>>()));
        let http = daemon.address("http");
        for id in 1..=5 {
            let answer = exchange(http, &job_request("log-lookup", &format!("{id:016x}"), 5_000, ""));
            assert_eq!((answer.status, answer.text().as_str()), (200, "fine"), "{case}, job {id}");
        }
        daemon.wait_counters("http", &["served=5", "failed=0", "refused=0"]);
        let status = std::fs::read_to_string(format!("/proc/{}/status", daemon.pid())).expect("its status");
        let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("memory");
        let kib: u64 = memory.trim().trim_end_matches(" kB").trim().parse().expect("a number");
        assert!(kib < 40_000, "{case}: {kib} KiB");
    }
}

/// Every part of an answer may be the last that comes: nobody hears a wrong answer, and what may have run is failed.
#[test]
fn an_answer_that_breaks_off_anywhere_is_no_answer() {
    let whole = {
        let line = |state: &str| {
            format!("{{\"id\":\"ID\",\"from\":\"w\",\"state\":\"{state}\",\"result\":\"fine\"}}\n")
        };
        let chunk = |line: String| format!("{:x}\r\n{line}\r\n", line.len() + 14);
        format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}{}",
            chunk(line("started")),
            chunk(line("done"))
        )
    };
    let cuts: Vec<usize> = (0..whole.len()).step_by(13).collect();
    let text = whole.clone();
    let behaviour = move |request: &Message, to: &mut TcpStream| {
        let cut: usize = request.text().parse().expect("where to stop");
        let all = text.replace("ID", request.header("x-correlation-id").expect("an id"));
        let _ = to.write_all(&all.as_bytes()[..cut]);
        false
    };
    // One for each: after a failure a log worker is left alone for a while.
    let workers: Vec<Worker> =
        (0..cuts.len()).map(|n| Worker::start(&format!("w-{n}"), behaviour.clone())).collect();
    let daemon = Daemon::start_ready(&Discovery::listing(&workers.iter().collect::<Vec<_>>()));
    let http = daemon.address("http");
    let mut served = 0;
    for cut in &cuts {
        let answer =
            exchange(http, &job_request("qso-confirm", &format!("{cut:016x}"), 5_000, &cut.to_string()));
        match answer.status {
            200 => {
                served += 1;
                assert_eq!(answer.text(), "fine", "cut at {cut}");
            }
            status => assert_eq!(status, 500, "cut at {cut}: it may have run"),
        }
    }
    assert!(served <= 3, "{served}: before the last word there is no answer");
    let sent: usize = workers.iter().map(Worker::count).sum();
    assert_eq!(sent, cuts.len(), "sent again");
}

/// A client that takes a byte of its answer a second holds up nobody, and its connection is not for ever.
#[test]
fn a_client_that_takes_a_byte_a_second_holds_up_nobody() {
    let worker = Worker::serving_with("w-1", "x".repeat(60_000));
    let daemon = Daemon::start_ready(&Discovery::listing(&[&worker]));
    let http = daemon.address("http");
    let slow: Vec<TcpStream> = (0..20)
        .map(|id| {
            let mut client = narrow(http);
            client
                .write_all(&job_request("log-lookup", &format!("{:016x}", 0x50 + id), 5_000, ""))
                .expect("sent");
            client
        })
        .collect();
    daemon.wait_counters("http", &["served=20"]);
    let mut byte = [0];
    for (second, mut client) in slow.iter().enumerate() {
        assert_eq!(client.read(&mut byte).expect("a byte"), 1);
        let quick = exchange(http, &job_request("log-lookup", &format!("{:016x}", 0x90 + second), 5_000, ""));
        assert_eq!((quick.status, quick.body.len()), (200, 60_000));
    }
}

/// A second answer comes milliseconds after the first, on a connection that is kept by then: the next job meets it. That is
/// no sign against the log worker, and the next confirmation does not go over a kept connection.
#[test]
fn a_second_answer_that_meets_the_next_job_blames_nobody() {
    let first = std::sync::Mutex::new(true);
    let worker = Worker::start("w-1", move |request, to| {
        serve(request, to, "fine");
        if std::mem::take(&mut *first.lock().expect("the first")) {
            std::thread::sleep(Duration::from_millis(20));
            serve(request, to, "spoilt");
        }
        true
    });
    let other = Worker::serving("w-2");
    let discovery = Discovery::listing(&[&worker]);
    let daemon = Daemon::start_ready(&discovery);
    let http = daemon.address("http");
    let asks =
        |class: &str, id: u32| exchange(http, &job_request(class, &format!("{id:016x}"), 5_000, "")).status;
    assert_eq!((asks("log-lookup", 1), asks("qso-confirm", 2)), (200, 500), "it may have run");
    discovery.send_change(other.entry("active"));
    daemon.wait_counters("http", &["lists=2"]);
    assert_eq!((asks("log-lookup", 3), other.count()), (200, 0), "kept from a log worker that is well");
    let connections = worker.connections.load(Ordering::SeqCst);
    assert_eq!((asks("qso-confirm", 4), worker.connections.load(Ordering::SeqCst)), (200, connections + 1));
}

/// Clients that stop in the middle of a request and stay hear an error, or the end, within 3 s, on a new connection and on
/// one that was used before.
#[test]
fn a_client_that_stops_in_the_middle_of_a_request_is_let_go_within_three_seconds() {
    let worker = Worker::serving("w-1");
    let daemon = Daemon::start_ready(&Discovery::listing(&[&worker]));
    let http = daemon.address("http");
    let request = |id: u32| job_request("log-lookup", &format!("{id:016x}"), 60_000, "0123456789");
    let whole = request(1).len();
    let half = |used: bool, id: u32, length: usize| {
        let mut connection = BufReader::new(send(http, b""));
        if used {
            connection.get_mut().write_all(&request(id)).expect("sent");
            assert_eq!(read_message(&mut connection).expect("an answer").status, 200);
        }
        connection.get_mut().write_all(&request(id + 1)[..length]).expect("sent");
        connection
    };
    let stopped = Instant::now();
    let cases = [(false, 40), (false, whole - 1), (true, 40), (true, whole - 1)];
    let clients: Vec<_> = (0u32..).zip(cases).collect();
    let clients = clients.into_iter().map(|(n, (used, length))| {
        let mut connection = half(used, 10 * n + 1, length);
        std::thread::spawn(move || {
            let mut heard = Vec::new();
            let _ = connection.read_to_end(&mut heard);
            (String::from_utf8_lossy(&heard).into_owned(), stopped.elapsed())
        })
    });
    for (client, case) in clients.collect::<Vec<_>>().into_iter().zip(cases) {
        let (heard, after) = client.join().expect("a client");
        assert!(after < Duration::from_secs(3), "{case:?}: {after:?}");
        assert!(heard.is_empty() || heard.starts_with("HTTP/1.1 4"), "{case:?}: {heard:?}");
    }
    assert_eq!(worker.count(), 2, "half a request was sent on");
}
