//! What operators do day by day: the second address, the figures, log workers out by hand, a new version under load.

mod common;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::world::*;
use serde_json::{json, Value};

/// What an answer must not take, whatever goes on.
const DUE: Duration = Duration::from_secs(1);

fn place(workers: &[&Worker]) -> (DispatcherHost, Discovery) {
    let discovery = Discovery::listing(workers);
    (DispatcherHost::new(platform_config(discovery.address)), discovery)
}

/// A log worker that serves each job when told to, and all once nobody can tell it any more.
fn held(uid: &str) -> (Worker, mpsc::Sender<()>) {
    let (go, wait) = mpsc::channel::<()>();
    let wait = Mutex::new(wait);
    let worker = Worker::start(uid, move |request, to| {
        let _ = wait.lock().expect("its turn").recv();
        serve(request, to, "fine");
        true
    });
    (worker, go)
}

fn job(class: &str, number: u32) -> Vec<u8> {
    job_request(class, &format!("{number:016x}"), 5000, "")
}

#[test]
fn calls_that_make_no_sense_are_answered_no() {
    let worker = Worker::serving("w-1");
    let (place, _discovery) = place(&[&worker]);
    let daemon = place.start_ready();
    let status = |method: &str, path: &str| daemon.console_call(method, path).status;
    let text = |text: &str| exchange(daemon.address("console"), text.as_bytes()).status;
    let long = "x".repeat(20_000);
    let got = [
        status("GET", "ready"),
        status("PUT", "ready"),
        status("GET", "log-workers/w-1/offline"),
        status("PUT", "log-workers/w-9/offline"),
        status("PUT", "log-workers/w-9/online"),
        status("PUT", "log-workers//offline"),
        status("PUT", "log-workers/w%0a1/offline"),
        status("PUT", "log-workers/w-1/elsewhere"),
        status("GET", "nothing"),
        text("GET /control/counters HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n"),
        text(&format!("GET /{long} HTTP/1.1\r\n\r\n")),
        text("\u{1}\u{2}\r\n\r\n"),
    ];
    assert_eq!(got, [200, 405, 405, 404, 404, 400, 400, 404, 404, 413, 431, 400]);
    assert_eq!(status("PUT", "log-workers/w-1/offline"), 200, "it goes on");
}

/// Callers who say nothing, or half a call, hold up nobody, neither operators nor clients; and a crowd of clients
/// holds up no operator.
#[test]
fn slow_callers_and_a_crowd_of_jobs_delay_no_answer() {
    let worker = Worker::start("w-1", |request, to| {
        thread::sleep(Duration::from_millis(50));
        serve(request, to, "fine");
        true
    });
    let (place, _discovery) = place(&[&worker]);
    let daemon = place.start_ready();
    let (console, clients) = (daemon.address("console"), place.client_address());
    let half = "PUT /control/log-workers/w-1/offline HTTP/1.1\r\nContent-Length: 5\r\n\r\nab";
    let slow: Vec<TcpStream> =
        ["", "GET /control/re", half].iter().cycle().take(90).map(|t| send(console, t.as_bytes())).collect();
    let crowd: Vec<TcpStream> = (0..300).map(|n| send(clients, &job("log-lookup", n))).collect();
    for _ in 0..20 {
        let start = Instant::now();
        assert_eq!(daemon.console_call("GET", "ready").status, 200);
        assert!(start.elapsed() < DUE, "{:?}", start.elapsed());
    }
    assert_eq!(daemon.metric("skipped_log_workers"), 0, "half a call does nothing");
    // Behind such a crowd it may be refused, too: answered it is.
    assert!([200, 503].contains(&exchange(clients, &job("log-lookup", 999)).status));
    drop((slow, crowd));
}

/// Every figure is what clients and log workers counted themselves, through refusals, failures, retries, second
/// copies and clients that left.
#[test]
fn figures_are_what_peers_counted() {
    let turn = AtomicU32::new(0);
    let worker = |uid: &str| {
        let turn = AtomicU32::new(turn.fetch_add(1, Ordering::SeqCst));
        Worker::start(uid, move |request, to| {
            let away = "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
            match turn.fetch_add(1, Ordering::SeqCst) % 6 {
                0 => return to.write_all(away.as_bytes()).is_ok(),
                1 => send_objects(to, &[state_report(request, "failed")], true),
                _ => serve(request, to, "fine"),
            }
            true
        })
    };
    let workers = [worker("w-1"), worker("w-2"), worker("w-3")];
    let (place, _discovery) = place(&workers.iter().collect::<Vec<_>>());
    let daemon = place.start_ready();
    let mut statuses = Vec::new();
    for number in 0..40 {
        let class = if number % 2 == 0 { "log-lookup" } else { "qso-confirm" };
        statuses.push((class, exchange(place.client_address(), &job(class, number)).status));
    }
    let counted = |class: &str, status: &[u16]| {
        statuses.iter().filter(|s| s.0 == class && status.contains(&s.1)).count() as u64
    };
    let tries = workers.iter().map(Worker::count).sum::<usize>() as u64;
    for class in ["log-lookup", "qso-confirm"] {
        let figures =
            ["passed", "dropped", "bad_gateway"].map(|name| daemon.metric(&format!("{name}.{class}")));
        assert_eq!(
            figures,
            [counted(class, &[200]), counted(class, &[503]), counted(class, &[500])],
            "{class}"
        );
        assert!(figures[0] > 0);
    }
    assert!(counted("qso-confirm", &[500]) > 0 && tries > 40, "{tries} tries");
    wait_for("the figures", || {
        let names = ["upstream_tries", "in_progress", "known_log_workers"];
        (names.map(|name| daemon.metric(name)) == [tries, 0, 3]).then_some(())
    });
    // A log worker that answers nothing yet: a job in progress, and one whose client leaves.
    let (slow, go) = held("w-4");
    let (place, _discovery) = self::place(&[&slow]);
    let daemon = place.start_ready();
    let (stays, leaves) = (
        send(place.client_address(), &job("log-lookup", 1)),
        send(place.client_address(), &job("log-lookup", 2)),
    );
    wait_for("two in progress", || (daemon.metric("in_progress") == 2).then_some(()));
    drop(leaves);
    wait_for("one in progress", || (daemon.metric("in_progress") == 1).then_some(()));
    drop(go);
    assert_eq!(read_message(&mut BufReader::new(stays)).expect("an answer").status, 200);
    let abandoned = daemon.metric("dropped.log-lookup") + daemon.metric("bad_gateway.log-lookup");
    assert_eq!((daemon.metric("passed.log-lookup"), abandoned), (1, 0));
}

/// Sends jobs of many keys and returns how many of them each log worker got.
fn spread(place: &DispatcherHost, workers: &[&Worker], jobs: u32) -> Vec<usize> {
    static NEXT: AtomicU32 = AtomicU32::new(0x1000);
    let before: Vec<usize> = workers.iter().map(|w| w.count()).collect();
    for _ in 0..jobs {
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let text = String::from_utf8(job("log-lookup", number)).expect("text");
        let text = text.replace("station-1", &format!("station-{number}"));
        exchange(place.client_address(), text.as_bytes());
    }
    workers.iter().zip(before).map(|(w, before)| w.count() - before).collect()
}

/// A ban holds until it is called back, whatever the list says, over SIGHUP, a new process of the log worker, a
/// list without it, and a SIGKILL of the dispatcher.
#[test]
fn a_log_worker_out_by_hand_stays_out_until_it_is_called_back() {
    let (one, two) = (Worker::serving("w-1"), Worker::serving("w-2"));
    let (place, discovery) = place(&[&one, &two]);
    let daemon = place.start_ready();
    let all = [&one, &two];
    assert!(spread(&place, &all, 30).iter().all(|got| *got > 0));
    // Twice: one call back is enough for both.
    for _ in 0..2 {
        assert_eq!(daemon.console_call("PUT", "log-workers/w-1/offline").status, 200);
    }
    assert_eq!(spread(&place, &all, 20), [0, 20]);
    wait_for("skipped", || (daemon.metric("skipped_log_workers") == 1).then_some(()));
    daemon.signal("HUP");
    daemon.wait_log("SIGHUP received: settings in effect now: ");
    assert_eq!(spread(&place, &all, 10), [0, 10]);
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a time");
    let mut restarted = one.entry("active");
    restarted["boot_ms"] = json!(now.as_millis() as u64);
    for entry in [one.entry("left"), restarted.clone()] {
        discovery.send_change(entry);
        thread::sleep(Duration::from_millis(50));
        assert_eq!(spread(&place, &all, 10), [0, 10]);
    }
    discovery.set_list(vec![restarted, two.entry("active")]);
    daemon.signal("KILL");
    let daemon = place.start_ready();
    assert_eq!(spread(&place, &all, 10), [0, 10]);
    // Nobody else is left: that is said at once.
    assert_eq!(daemon.console_call("PUT", "log-workers/w-2/offline").status, 200);
    let start = Instant::now();
    assert_eq!(exchange(place.client_address(), &job("qso-confirm", 1)).status, 503);
    assert!(start.elapsed() < DUE);
    assert_eq!(daemon.console_call("PUT", "log-workers/w-2/online").status, 200);
    assert_eq!(daemon.console_call("PUT", "log-workers/w-1/online").status, 200);
    wait_for("w-1 is used again", || (spread(&place, &all, 5)[0] > 0).then_some(()));
}

/// One that has left the list can still be called back; then nobody knows it.
#[test]
fn a_log_worker_that_left_can_be_called_back() {
    let (one, two) = (Worker::serving("w-1"), Worker::serving("w-2"));
    let (place, discovery) = place(&[&one, &two]);
    let daemon = place.start_ready();
    let call = |to: &str| daemon.console_call("PUT", &format!("log-workers/w-1/{to}")).status;
    assert_eq!(call("offline"), 200);
    discovery.send_change(one.entry("left"));
    wait_for("it is gone", || (daemon.metric("known_log_workers") == 1).then_some(()));
    assert_eq!([call("offline"), call("online"), call("online")], [200, 200, 404]);
}

/// A ban that comes while an attempt is dialling stops it: the connection comes up and nothing is written.
#[test]
fn a_ban_stops_an_attempt_that_has_not_been_written() {
    // A full backlog: a connection to it comes up only once there is room.
    let stuck = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    stuck.bind(&"127.0.0.1:0".parse::<std::net::SocketAddr>().expect("an address").into()).expect("bound");
    stuck.listen(0).expect("listens");
    let at = stuck.local_addr().expect("an address").as_socket().expect("an address");
    let filler = TcpStream::connect(at).expect("the only one that fits");
    let discovery = Discovery::start(vec![list_entry("w-1", at, "active")]);
    let mut settings = platform_config(discovery.address);
    settings["settings"]["limits"]["connect_timeout_ms"] = json!(10_000.0);
    let place = DispatcherHost::new(settings);
    let daemon = place.start_ready();
    let waits = send(place.client_address(), &job_request("qso-confirm", "00000000000000aa", 20_000, ""));
    wait_for("the attempt", || (daemon.metric("in_progress") == 1).then_some(()));
    assert_eq!(daemon.console_call("PUT", "log-workers/w-1/offline").status, 200);
    // It comes up now.
    let listener: std::net::TcpListener = stuck.into();
    drop(listener.accept().expect("the filler"));
    drop(filler);
    let answer = read_message(&mut BufReader::new(waits)).expect("an answer");
    assert_eq!((answer.status, daemon.metric("upstream_tries")), (503, 0));
}

/// The state folder cannot be written: the answer is no, and nothing has changed.
#[test]
fn a_ban_that_would_not_survive_is_refused() {
    let worker = Worker::serving("w-1");
    let discovery = Discovery::listing(&[&worker]);
    let mut settings = platform_config(discovery.address);
    settings["console"] = "127.0.0.1:0".into();
    let daemon = Daemon::start_with_env(&settings, &[("TMPDIR", "/nonexistent".into())]);
    daemon.wait_ready();
    let answer = daemon.console_call("PUT", "log-workers/w-1/offline");
    assert_eq!(answer.status, 503, "{}", answer.text());
    assert_eq!(exchange(daemon.address("http"), &job("log-lookup", 1)).status, 200);
}

/// Keeps asking over kept connections, as the platform's clients do, and counts what ends without an answer.
fn load(place: &DispatcherHost, stop: &Arc<AtomicBool>) -> Vec<thread::JoinHandle<(u32, u32)>> {
    let client = |number: u32| {
        let (to, stop) = (place.client_address(), stop.clone());
        thread::spawn(move || {
            let (mut done, mut lost, mut kept) = (0, 0, None::<BufReader<TcpStream>>);
            while !stop.load(Ordering::SeqCst) {
                let text = job("log-lookup", 0x100_0000 * (number + 1) + done + lost);
                let fresh = kept.is_none();
                let mut stream = kept.take().unwrap_or_else(|| BufReader::new(send(to, b"")));
                let sent = stream.get_mut().write_all(&text).is_ok();
                match sent.then(|| read_message(&mut stream)).flatten() {
                    Some(answer) => {
                        (done, lost) =
                            (done + u32::from(answer.status == 200), lost + u32::from(answer.status != 200));
                        kept = Some(stream).filter(|_| answer.header("connection") != Some("close"));
                    }
                    // Closed between two requests: asked again on a new connection, as the platform has it.
                    None if !fresh => {}
                    None => lost += 1,
                }
                thread::sleep(Duration::from_millis(3));
            }
            (done, lost)
        })
    };
    (0..6).map(client).collect()
}

/// One version after another takes over under load: no job is lost, turned away or left unread, bans hold in both
/// processes whichever was told, and each former process ends by itself.
#[test]
fn a_new_version_takes_over_without_losing_a_job() {
    let worker = |uid: &str| {
        Worker::start(uid, |request, to| {
            thread::sleep(Duration::from_millis(20));
            serve(request, to, "fine");
            true
        })
    };
    let (one, two, three) = (worker("w-1"), worker("w-2"), worker("w-3"));
    let (place, _discovery) = place(&[&one, &two, &three]);
    let stop = Arc::new(AtomicBool::new(false));
    let mut old = place.start_ready();
    let clients = load(&place, &stop);
    for round in 0..4 {
        // Told the old one before the new one starts, or either while both live.
        let call =
            |to: &Daemon, change: &str| to.console_call("PUT", &format!("log-workers/w-1/{change}")).status;
        if round == 0 {
            assert_eq!(call(&old, "offline"), 200);
        }
        let new = place.start_ready();
        match round {
            1 => assert_eq!(call(&old, "online"), 200),
            2 => assert_eq!(call(&new, "offline"), 200),
            _ => {}
        }
        let out = u64::from(round != 1);
        for daemon in [&old, &new] {
            wait_for("the same in both", || (daemon.metric("skipped_log_workers") == out).then_some(()));
        }
        old.signal("TERM");
        assert!(old.wait_exit().success());
        assert_eq!(new.console_call("GET", "ready").status, 200);
        old = new;
    }
    stop.store(true, Ordering::SeqCst);
    let totals: Vec<(u32, u32)> = clients.into_iter().map(|c| c.join().expect("a client")).collect();
    let (done, lost) = totals.iter().fold((0, 0), |sum, t| (sum.0 + t.0, sum.1 + t.1));
    assert!(done > 100 && lost == 0, "{done} done, {lost} lost");
}

/// Two processes live on the descriptors of one, whatever crowd there is; clients of both are served meanwhile.
#[test]
fn two_versions_keep_to_the_descriptors_of_one() {
    let worker = Worker::serving("w-1");
    let discovery = Discovery::listing(&[&worker]);
    let mut settings = platform_config(discovery.address);
    settings["limits"]["sockets"] = json!(160);
    let place = DispatcherHost::new(settings);
    let old = place.start_ready();
    let crowd = || (0..150).map(|_| send(place.client_address(), b"")).collect::<Vec<_>>();
    let before = crowd();
    wait_for("a full room", || (old.open_descriptors() > 80).then_some(()));
    let new = place.start_ready();
    old.wait_log("another process of this dispatcher is running");
    let after = crowd();
    let most = (0..40).map(|_| {
        thread::sleep(Duration::from_millis(20));
        old.open_descriptors() + new.open_descriptors()
    });
    // The moment before the old one has looked is not counted.
    let most = most.skip(10).max().expect("a count");
    assert!(most <= 160, "{most} descriptors");
    assert_eq!(exchange(place.client_address(), &job("log-lookup", 1)).status, 200);
    drop((before, after, old));
    new.wait_log("no other process of this dispatcher is running");
}

/// What was asked of the old process is answered by it, though it has been told to end.
#[test]
fn what_the_old_process_took_it_answers() {
    let (worker, go) = held("w-1");
    let (place, _discovery) = place(&[&worker]);
    let mut old = place.start_ready();
    let taken = send(place.client_address(), &job("qso-confirm", 1));
    let silent = send(place.client_address(), b"");
    wait_for("the job", || (worker.count() == 1).then_some(()));
    let new = place.start_ready();
    old.signal("TERM");
    wait_for("it says so", || (old.console_call("GET", "ready").status == 503).then_some(()));
    // A connection that the old one accepted, and that asks only now: it was once closed unheard.
    thread::sleep(Duration::from_millis(200));
    let mut silent = silent;
    silent.write_all(&job("log-lookup", 2)).expect("sent");
    go.send(()).expect("waits");
    go.send(()).expect("waits");
    for stream in [taken, silent] {
        assert_eq!(read_message(&mut BufReader::new(stream)).expect("an answer").status, 200);
    }
    assert!(old.wait_exit().success());
    assert_eq!(new.console_call("GET", "ready").status, 200);
}

fn fails_to_start(variables: &[(&str, &str)], change: impl Fn(&mut Value), expected: &str) {
    let discovery = Discovery::start(Vec::new());
    let mut settings = platform_config(discovery.address);
    change(&mut settings);
    let variables: Vec<(&str, String)> =
        variables.iter().map(|(name, value)| (*name, (*value).to_owned())).collect();
    let mut daemon = Daemon::start_with_env(&settings, &variables);
    assert!(!daemon.wait_exit().success());
    daemon.wait_log(expected);
}

#[test]
fn a_bad_descriptor_or_console_is_a_clear_error_at_the_start() {
    fails_to_start(
        &[("PROXY_ACCEPT_FD", "99")],
        |_| {},
        "accept-fd: found descriptor 99, expected an open one",
    );
    // Standard error is a pipe here.
    fails_to_start(&[("PROXY_ACCEPT_FD", "seven")], |_| {}, "expected a whole number");
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = taken.local_addr().expect("an address").to_string();
    fails_to_start(&[("PROXY_CONSOLE", &address)], |_| {}, "console: Address already in use");
    let same = |settings: &mut Value| settings["listen"] = address.clone().into();
    fails_to_start(&[("PROXY_CONSOLE", &address)], same, "the address of `listen`");
}

/// What the standing trial wants of `run`: one process, linked against the C library at its start, and no other beside.
#[test]
fn the_program_is_one_dynamically_linked_process() {
    let worker = Worker::serving("w-1");
    let (place, _discovery) = place(&[&worker]);
    let daemon = place.start_ready();
    assert_eq!(exchange(place.client_address(), &job("log-lookup", 1)).status, 200);
    let of = |name: &str| std::fs::read_to_string(format!("/proc/{}/{name}", daemon.pid())).expect(name);
    assert!(of("maps").contains("/libc.so"), "linked at its start against the C library");
    let tasks = std::fs::read_dir(format!("/proc/{}/task", daemon.pid())).expect("its threads");
    for task in tasks.map(|task| task.expect("a thread").path()) {
        // A system that keeps no such list cannot tell; this one does.
        let children = std::fs::read_to_string(task.join("children")).expect("a list of children");
        assert_eq!(children.trim(), "", "a process beside it");
    }
    assert!(of("cmdline").starts_with(env!("CARGO_BIN_EXE_rookspoke")), "exec, and no shell around it");
}

/// What callers cost the jobs beside them: ten scrapes a second, and each second two callers that say nothing and two
/// with half a call. Prints the times of jobs, in microseconds, with and without them, in turns.
#[test]
#[ignore = "a measurement: cargo test --release -p rookspoke --test operators -- --ignored --nocapture cost"]
fn cost_of_console_calls() {
    let worker = Worker::serving("w-1");
    let (place, _discovery) = place(&[&worker]);
    let daemon = place.start_ready();
    let (console, clients) = (daemon.address("console"), place.client_address());
    let round = |round: u32| {
        let mut times: Vec<u128> = (0..1000)
            .map(|n| {
                let start = Instant::now();
                assert_eq!(exchange(clients, &job("log-lookup", round * 1000 + n + 1)).status, 200);
                thread::sleep(Duration::from_millis(1));
                start.elapsed().as_micros()
            })
            .collect();
        times.sort_unstable();
        (times[500], times[990])
    };
    for at in 0..5 {
        let alone = round(2 * at);
        let stop = Arc::new(AtomicBool::new(false));
        let seen = stop.clone();
        let callers = thread::spawn(move || {
            let mut slow = std::collections::VecDeque::new();
            for turn in 0..10_000 {
                if seen.load(Ordering::SeqCst) {
                    return turn;
                }
                assert_eq!(get(console, "/control/counters").status, 200);
                if turn % 10 == 0 {
                    slow.extend(["", "", "GET /control/re", "PUT /con"].map(|t| send(console, t.as_bytes())));
                }
                slow.drain(..slow.len().saturating_sub(16));
                thread::sleep(Duration::from_millis(100));
            }
            10_000
        });
        let beside = round(2 * at + 1);
        stop.store(true, Ordering::SeqCst);
        let scrapes = callers.join().expect("callers");
        println!("median, 99th percentile: alone {alone:?}, beside {scrapes} scrapes {beside:?}");
    }
}
