//! Operations: the console, metrics, bans of log workers, and the replacement of the daemon by a new version under load.

mod common;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::world::*;
use serde_json::{json, Value};

/// Upper limit for the time of an answer, whatever the load.
const ANSWER_LIMIT: Duration = Duration::from_secs(1);

/// A dispatcher's host and a discovery that lists these log workers.
fn host_and_discovery(workers: &[&Worker]) -> (DispatcherHost, Discovery) {
    let discovery = Discovery::listing(workers);
    (DispatcherHost::new(platform_config(discovery.address)), discovery)
}

/// A log worker that serves one job for each signal of the test, and all jobs once the sender is dropped.
fn signalled_worker(uid: &str) -> (Worker, mpsc::Sender<()>) {
    let (release, released) = mpsc::channel::<()>();
    let released = Mutex::new(released);
    let worker = Worker::start(uid, move |request, to| {
        let _ = released.lock().expect("the signal").recv();
        serve(request, to, "fine");
        true
    });
    (worker, release)
}

fn job(class: &str, number: u32) -> Vec<u8> {
    job_request(class, &format!("{number:016x}"), 5000, "")
}

#[test]
fn invalid_console_calls_are_rejected() {
    let worker = Worker::serving("w-1");
    let (host, _discovery) = host_and_discovery(&[&worker]);
    let daemon = host.start_ready();
    let status = |method: &str, path: &str| daemon.console_call(method, path).status;
    let raw_status = |text: &str| exchange(daemon.address("console"), text.as_bytes()).status;
    let long = "x".repeat(20_000);
    let statuses = [
        status("GET", "ready"),
        status("PUT", "ready"),
        status("GET", "log-workers/w-1/offline"),
        status("PUT", "log-workers/w-9/offline"),
        status("PUT", "log-workers/w-9/online"),
        status("PUT", "log-workers//offline"),
        status("PUT", "log-workers/w%0a1/offline"),
        status("PUT", "log-workers/w-1/elsewhere"),
        status("GET", "nothing"),
        raw_status("GET /control/counters HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n"),
        raw_status(&format!("GET /{long} HTTP/1.1\r\n\r\n")),
        raw_status("\u{1}\u{2}\r\n\r\n"),
    ];
    assert_eq!(statuses, [200, 405, 405, 404, 404, 400, 400, 404, 404, 413, 431, 400]);
    assert_eq!(status("PUT", "log-workers/w-1/offline"), 200, "the console still answers");
}

/// Connections to the console that send nothing, or half a request, delay neither operators nor clients, and many
/// simultaneous jobs delay no operator.
#[test]
fn incomplete_console_calls_and_many_jobs_delay_no_answer() {
    let worker = Worker::start("w-1", |request, to| {
        thread::sleep(Duration::from_millis(50));
        serve(request, to, "fine");
        true
    });
    let (host, _discovery) = host_and_discovery(&[&worker]);
    let daemon = host.start_ready();
    let (console, clients) = (daemon.address("console"), host.client_address());
    let incomplete = "PUT /control/log-workers/w-1/offline HTTP/1.1\r\nContent-Length: 5\r\n\r\nab";
    let stalled: Vec<TcpStream> = ["", "GET /control/re", incomplete]
        .iter()
        .cycle()
        .take(90)
        .map(|t| send(console, t.as_bytes()))
        .collect();
    let crowd: Vec<TcpStream> = (0..300).map(|n| send(clients, &job("log-lookup", n))).collect();
    for _ in 0..20 {
        let start = Instant::now();
        assert_eq!(daemon.console_call("GET", "ready").status, 200);
        assert!(start.elapsed() < ANSWER_LIMIT, "{:?}", start.elapsed());
    }
    assert_eq!(daemon.metric("skipped_log_workers"), 0, "an incomplete call has no effect");
    // Behind so many jobs, this one may also be refused, but it is answered.
    assert!([200, 503].contains(&exchange(clients, &job("log-lookup", 999)).status));
    drop((stalled, crowd));
}

/// Each metric equals what clients and log workers counted themselves, with refusals, failures, retries, hedged
/// attempts and clients that left.
#[test]
fn metrics_equal_what_clients_and_log_workers_counted() {
    let turn = AtomicU32::new(0);
    let worker = |uid: &str| {
        let turn = AtomicU32::new(turn.fetch_add(1, Ordering::SeqCst));
        Worker::start(uid, move |request, to| {
            let unprocessed =
                "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
            match turn.fetch_add(1, Ordering::SeqCst) % 6 {
                0 => return to.write_all(unprocessed.as_bytes()).is_ok(),
                1 => send_objects(to, &[state_report(request, "failed")], true),
                _ => serve(request, to, "fine"),
            }
            true
        })
    };
    let workers = [worker("w-1"), worker("w-2"), worker("w-3")];
    let (host, _discovery) = host_and_discovery(&workers.iter().collect::<Vec<_>>());
    let daemon = host.start_ready();
    let mut statuses = Vec::new();
    for number in 0..40 {
        let class = if number % 2 == 0 { "log-lookup" } else { "qso-confirm" };
        statuses.push((class, exchange(host.client_address(), &job(class, number)).status));
    }
    let counted = |class: &str, status: &[u16]| {
        statuses.iter().filter(|s| s.0 == class && status.contains(&s.1)).count() as u64
    };
    let attempts = workers.iter().map(Worker::count).sum::<usize>() as u64;
    for class in ["log-lookup", "qso-confirm"] {
        let metrics =
            ["passed", "dropped", "bad_gateway"].map(|name| daemon.metric(&format!("{name}.{class}")));
        assert_eq!(
            metrics,
            [counted(class, &[200]), counted(class, &[503]), counted(class, &[500])],
            "{class}"
        );
        assert!(metrics[0] > 0);
    }
    assert!(counted("qso-confirm", &[500]) > 0 && attempts > 40, "{attempts} attempts");
    wait_for("the metrics", || {
        let names = ["upstream_tries", "in_progress", "known_log_workers"];
        (names.map(|name| daemon.metric(name)) == [attempts, 0, 3]).then_some(())
    });
    // The log worker does not answer yet: one job stays in progress, and the client of the other leaves.
    let (slow, release) = signalled_worker("w-4");
    let (host, _discovery) = host_and_discovery(&[&slow]);
    let daemon = host.start_ready();
    let (stays, leaves) = (
        send(host.client_address(), &job("log-lookup", 1)),
        send(host.client_address(), &job("log-lookup", 2)),
    );
    wait_for("two in progress", || (daemon.metric("in_progress") == 2).then_some(()));
    drop(leaves);
    wait_for("one in progress", || (daemon.metric("in_progress") == 1).then_some(()));
    drop(release);
    assert_eq!(read_message(&mut BufReader::new(stays)).expect("an answer").status, 200);
    let abandoned = daemon.metric("dropped.log-lookup") + daemon.metric("bad_gateway.log-lookup");
    assert_eq!((daemon.metric("passed.log-lookup"), abandoned), (1, 0));
}

/// Sends jobs with different keys and returns how many of them each log worker got.
fn jobs_per_worker(host: &DispatcherHost, workers: &[&Worker], jobs: u32) -> Vec<usize> {
    static NEXT: AtomicU32 = AtomicU32::new(0x1000);
    let before: Vec<usize> = workers.iter().map(|w| w.count()).collect();
    for _ in 0..jobs {
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let text = String::from_utf8(job("log-lookup", number)).expect("text");
        let text = text.replace("station-1", &format!("station-{number}"));
        exchange(host.client_address(), text.as_bytes());
    }
    workers.iter().zip(before).map(|(w, before)| w.count() - before).collect()
}

/// A ban holds until an operator lifts it, whatever the list says: through SIGHUP, a restart of the log worker, a list
/// without it, and a SIGKILL of the dispatcher.
#[test]
fn a_ban_holds_until_it_is_lifted() {
    let (one, two) = (Worker::serving("w-1"), Worker::serving("w-2"));
    let (host, discovery) = host_and_discovery(&[&one, &two]);
    let daemon = host.start_ready();
    let all = [&one, &two];
    assert!(jobs_per_worker(&host, &all, 30).iter().all(|got| *got > 0));
    // Banned twice: lifting the ban once must be enough.
    for _ in 0..2 {
        assert_eq!(daemon.console_call("PUT", "log-workers/w-1/offline").status, 200);
    }
    assert_eq!(jobs_per_worker(&host, &all, 20), [0, 20]);
    wait_for("the log worker to be skipped", || (daemon.metric("skipped_log_workers") == 1).then_some(()));
    daemon.signal("HUP");
    daemon.wait_log("SIGHUP received: settings in effect now: ");
    assert_eq!(jobs_per_worker(&host, &all, 10), [0, 10]);
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a time");
    let mut restarted = one.entry("active");
    restarted["boot_ms"] = json!(now.as_millis() as u64);
    for entry in [one.entry("left"), restarted.clone()] {
        discovery.send_change(entry);
        thread::sleep(Duration::from_millis(50));
        assert_eq!(jobs_per_worker(&host, &all, 10), [0, 10]);
    }
    discovery.set_list(vec![restarted, two.entry("active")]);
    daemon.signal("KILL");
    let daemon = host.start_ready();
    assert_eq!(jobs_per_worker(&host, &all, 10), [0, 10]);
    // With no log worker left, jobs are refused at once.
    assert_eq!(daemon.console_call("PUT", "log-workers/w-2/offline").status, 200);
    let start = Instant::now();
    assert_eq!(exchange(host.client_address(), &job("qso-confirm", 1)).status, 503);
    assert!(start.elapsed() < ANSWER_LIMIT);
    assert_eq!(daemon.console_call("PUT", "log-workers/w-2/online").status, 200);
    assert_eq!(daemon.console_call("PUT", "log-workers/w-1/online").status, 200);
    wait_for("w-1 to get jobs again", || (jobs_per_worker(&host, &all, 5)[0] > 0).then_some(()));
}

/// The ban of a log worker that has left the list can still be lifted; after that the log worker is unknown.
#[test]
fn the_ban_of_a_log_worker_that_left_can_be_lifted() {
    let (one, two) = (Worker::serving("w-1"), Worker::serving("w-2"));
    let (host, discovery) = host_and_discovery(&[&one, &two]);
    let daemon = host.start_ready();
    let call = |to: &str| daemon.console_call("PUT", &format!("log-workers/w-1/{to}")).status;
    assert_eq!(call("offline"), 200);
    discovery.send_change(one.entry("left"));
    wait_for("w-1 to leave the list", || (daemon.metric("known_log_workers") == 1).then_some(()));
    assert_eq!([call("offline"), call("online"), call("online")], [200, 200, 404]);
}

/// A ban stops an attempt that is still connecting: the connection is established and nothing is written to it.
#[test]
fn a_ban_stops_an_attempt_that_is_still_connecting() {
    // The backlog is full: a connection to this listener is established only once one has been accepted.
    let full_listener =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    full_listener
        .bind(&"127.0.0.1:0".parse::<std::net::SocketAddr>().expect("an address").into())
        .expect("bound");
    full_listener.listen(0).expect("listens");
    let address = full_listener.local_addr().expect("an address").as_socket().expect("an address");
    let filler = TcpStream::connect(address).expect("the only one that fits");
    let discovery = Discovery::start(vec![list_entry("w-1", address, "active")]);
    let mut settings = platform_config(discovery.address);
    settings["settings"]["limits"]["connect_timeout_ms"] = json!(10_000.0);
    let host = DispatcherHost::new(settings);
    let daemon = host.start_ready();
    let client = send(host.client_address(), &job_request("qso-confirm", "00000000000000aa", 20_000, ""));
    wait_for("the attempt", || (daemon.metric("in_progress") == 1).then_some(()));
    assert_eq!(daemon.console_call("PUT", "log-workers/w-1/offline").status, 200);
    // Accepting the first connection lets the daemon's connection be established.
    let listener: std::net::TcpListener = full_listener.into();
    drop(listener.accept().expect("the filler"));
    drop(filler);
    let answer = read_message(&mut BufReader::new(client)).expect("an answer");
    assert_eq!((answer.status, daemon.metric("upstream_tries")), (503, 0));
}

/// If the state directory cannot be written, a ban would not survive a restart: it is refused and has no effect.
#[test]
fn a_ban_that_cannot_be_stored_is_refused() {
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

/// Starts 6 clients that send jobs over persistent connections, as the platform's clients do. Each returns how many
/// were served, and how many were lost: refused, failed or left without an answer.
fn start_clients(host: &DispatcherHost, stop: &Arc<AtomicBool>) -> Vec<thread::JoinHandle<(u32, u32)>> {
    let client = |number: u32| {
        let (to, stop) = (host.client_address(), stop.clone());
        thread::spawn(move || {
            let (mut served, mut lost, mut open) = (0, 0, None::<BufReader<TcpStream>>);
            while !stop.load(Ordering::SeqCst) {
                let text = job("log-lookup", 0x100_0000 * (number + 1) + served + lost);
                let new_connection = open.is_none();
                let mut stream = open.take().unwrap_or_else(|| BufReader::new(send(to, b"")));
                let sent = stream.get_mut().write_all(&text).is_ok();
                match sent.then(|| read_message(&mut stream)).flatten() {
                    Some(answer) => {
                        (served, lost) = (
                            served + u32::from(answer.status == 200),
                            lost + u32::from(answer.status != 200),
                        );
                        open = Some(stream).filter(|_| answer.header("connection") != Some("close"));
                    }
                    // Closed between two requests: the next job uses a new connection, as with the platform's clients.
                    None if !new_connection => {}
                    None => lost += 1,
                }
                thread::sleep(Duration::from_millis(3));
            }
            (served, lost)
        })
    };
    (0..6).map(client).collect()
}

/// New versions take over one after another under load: no job is lost, refused or left unread. While two processes run,
/// a ban holds in both, whichever of them got the call, and each former process exits on SIGTERM.
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
    let (host, _discovery) = host_and_discovery(&[&one, &two, &three]);
    let stop = Arc::new(AtomicBool::new(false));
    let mut old = host.start_ready();
    let clients = start_clients(&host, &stop);
    for round in 0..4 {
        // The old process gets the call before the new one starts, or either of them while both run.
        let call =
            |to: &Daemon, change: &str| to.console_call("PUT", &format!("log-workers/w-1/{change}")).status;
        if round == 0 {
            assert_eq!(call(&old, "offline"), 200);
        }
        let new = host.start_ready();
        match round {
            1 => assert_eq!(call(&old, "online"), 200),
            2 => assert_eq!(call(&new, "offline"), 200),
            _ => {}
        }
        let banned_count = u64::from(round != 1);
        for daemon in [&old, &new] {
            wait_for("the same bans in both processes", || {
                (daemon.metric("skipped_log_workers") == banned_count).then_some(())
            });
        }
        old.signal("TERM");
        assert!(old.wait_exit().success());
        assert_eq!(new.console_call("GET", "ready").status, 200);
        old = new;
    }
    stop.store(true, Ordering::SeqCst);
    let totals: Vec<(u32, u32)> = clients.into_iter().map(|c| c.join().expect("a client")).collect();
    let (served, lost) = totals.iter().fold((0, 0), |sum, t| (sum.0 + t.0, sum.1 + t.1));
    assert!(served > 100 && lost == 0, "{served} served, {lost} lost");
}

/// While two processes run, they share the descriptor limit of one, however many clients connect, and clients of both
/// are served.
#[test]
fn two_versions_together_stay_within_the_descriptor_limit_of_one() {
    let worker = Worker::serving("w-1");
    let discovery = Discovery::listing(&[&worker]);
    let mut settings = platform_config(discovery.address);
    settings["limits"]["sockets"] = json!(160);
    let host = DispatcherHost::new(settings);
    let old = host.start_ready();
    let connect_many = || (0..150).map(|_| send(host.client_address(), b"")).collect::<Vec<_>>();
    let before = connect_many();
    wait_for("the connections", || (old.open_descriptors() > 80).then_some(()));
    let new = host.start_ready();
    old.wait_log("another process of this dispatcher is running");
    let after = connect_many();
    let totals = (0..40).map(|_| {
        thread::sleep(Duration::from_millis(20));
        old.open_descriptors() + new.open_descriptors()
    });
    // The first samples are skipped: the old process may not have noticed the new one yet.
    let most = totals.skip(10).max().expect("a count");
    assert!(most <= 160, "{most} open descriptors");
    assert_eq!(exchange(host.client_address(), &job("log-lookup", 1)).status, 200);
    drop((before, after, old));
    new.wait_log("no other process of this dispatcher is running");
}

/// Clients whose connections the old process accepted are answered by it, even after it got SIGTERM.
#[test]
fn the_old_process_answers_the_connections_that_it_accepted() {
    let (worker, release) = signalled_worker("w-1");
    let (host, _discovery) = host_and_discovery(&[&worker]);
    let mut old = host.start_ready();
    let pending = send(host.client_address(), &job("qso-confirm", 1));
    let silent = send(host.client_address(), b"");
    wait_for("the job", || (worker.count() == 1).then_some(()));
    let new = host.start_ready();
    old.signal("TERM");
    wait_for("the old process to report that it is not ready", || {
        (old.console_call("GET", "ready").status == 503).then_some(())
    });
    // The old process accepted this connection, whose first request comes only now. Such connections were once closed
    // without reading the request.
    thread::sleep(Duration::from_millis(200));
    let mut silent = silent;
    silent.write_all(&job("log-lookup", 2)).expect("sent");
    release.send(()).expect("waits");
    release.send(()).expect("waits");
    for stream in [pending, silent] {
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
fn an_invalid_descriptor_or_console_address_is_a_start_error() {
    fails_to_start(
        &[("PROXY_ACCEPT_FD", "99")],
        |_| {},
        "accept-fd: found descriptor 99, expected an open one",
    );
    fails_to_start(&[("PROXY_ACCEPT_FD", "seven")], |_| {}, "expected a whole number");
    let used = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = used.local_addr().expect("an address").to_string();
    fails_to_start(&[("PROXY_CONSOLE", &address)], |_| {}, "console: Address already in use");
    let same = |settings: &mut Value| settings["listen"] = address.clone().into();
    fails_to_start(&[("PROXY_CONSOLE", &address)], same, "the address of `listen`");
}

/// The platform requires that `run` is a single process, which is dynamically linked against the C library and starts no
/// other process.
#[test]
fn the_daemon_is_one_dynamically_linked_process() {
    let worker = Worker::serving("w-1");
    let (host, _discovery) = host_and_discovery(&[&worker]);
    let daemon = host.start_ready();
    assert_eq!(exchange(host.client_address(), &job("log-lookup", 1)).status, 200);
    let proc_file =
        |name: &str| std::fs::read_to_string(format!("/proc/{}/{name}", daemon.pid())).expect(name);
    assert!(proc_file("maps").contains("/libc.so"), "not dynamically linked against the C library");
    let tasks = std::fs::read_dir(format!("/proc/{}/task", daemon.pid())).expect("its threads");
    for task in tasks.map(|task| task.expect("a thread").path()) {
        // Needs a kernel that lists children in /proc; where it does not, the test fails here.
        let children = std::fs::read_to_string(task.join("children")).expect("a list of children");
        assert_eq!(children.trim(), "", "the daemon has a child process");
    }
    assert!(
        proc_file("cmdline").starts_with(env!("CARGO_BIN_EXE_rookspoke")),
        "the process is not the program itself but a shell around it"
    );
}

/// Measures what console calls cost concurrent jobs: ten scrapes a second, and each second two connections that send
/// nothing and two with half a request. Prints the times of jobs, in microseconds, alternately with and without them.
#[test]
#[ignore = "a measurement: cargo test --release -p rookspoke --test operators -- --ignored --nocapture cost"]
fn cost_of_console_calls() {
    let worker = Worker::serving("w-1");
    let (host, _discovery) = host_and_discovery(&[&worker]);
    let daemon = host.start_ready();
    let (console, clients) = (daemon.address("console"), host.client_address());
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
        let stopped = stop.clone();
        let callers = thread::spawn(move || {
            let mut stalled = std::collections::VecDeque::new();
            for turn in 0..10_000 {
                if stopped.load(Ordering::SeqCst) {
                    return turn;
                }
                assert_eq!(get(console, "/control/counters").status, 200);
                if turn % 10 == 0 {
                    stalled
                        .extend(["", "", "GET /control/re", "PUT /con"].map(|t| send(console, t.as_bytes())));
                }
                stalled.drain(..stalled.len().saturating_sub(16));
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
