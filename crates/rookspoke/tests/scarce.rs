//! Scarce resources under load: descriptors, while discovery is down and idle clients hold connections, and discovery
//! itself, when most of a fleet restarts at once.

mod common;

use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::world::*;
use serde_json::json;

/// Starts a daemon under `ulimit -n`, whatever its settings say.
fn start_with_descriptor_limit(mut config: serde_json::Value, sockets: usize, descriptors: usize) -> Daemon {
    config["limits"]["sockets"] = json!(sockets);
    config["console"] = "127.0.0.1:0".into();
    let (inner, folder) = Daemon::command(&config, None);
    let mut command = Command::new("sh");
    command.args(["-c", &format!("ulimit -n {descriptors}; exec \"$0\""), env!("CARGO_BIN_EXE_rookspoke")]);
    command.current_dir(folder.path()).stdin(std::process::Stdio::null());
    command.envs(inner.get_envs().filter_map(|(name, value)| Some((name, value?))));
    Daemon::spawn((command, folder))
}

/// Idle clients, half of which have sent a health check, hold 60% of the sockets while discovery is down; then
/// discovery returns.
fn serves_beside_idle_clients(sockets: usize, descriptors: usize) {
    let worker = Worker::start("w-1", |request, to| {
        if request.text() == "slow" {
            // A dispatcher assumes that a job whose start is not reported is waiting in a queue.
            send_objects(to, &[state_report(request, "started")], false);
            std::thread::sleep(Duration::from_millis(2_500));
            let mut done = state_report(request, "done");
            done["result"] = "slow".into();
            send_more_objects(to, &[done], true);
            return true;
        }
        serve(request, to, "fine");
        true
    });
    // Refuses every call but keeps its port, since another stand-in that got the port would be asked for lists.
    let closed_listener =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    closed_listener.bind(&std::net::SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    let address = closed_listener.local_addr().expect("an address").as_socket().expect("an address");
    let mut config = platform_config(address);
    config["known"] = json!({"rev": 1, "all": true, "targets": [worker.entry("active")]});
    config["settings"]["rules"]["ask_every_ms"] = 10_000.0.into();
    let daemon = start_with_descriptor_limit(config, sockets, descriptors);
    let start = Instant::now();
    let http = daemon.address("http");
    daemon.wait_ready();
    let mut pending: Vec<_> = (0..2)
        .map(|id| {
            BufReader::new(send(http, &job_request("qso-confirm", &format!("{id:016x}"), 20_000, "slow")))
        })
        .collect();
    wait_for("the jobs", || (worker.count() == 2).then_some(()));
    let health_check = b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n";
    let idle: Vec<TcpStream> = (0..sockets * 6 / 10)
        .map(|number| send(http, if number % 2 == 0 { health_check } else { b"" }))
        .collect();
    // The console, a client with a request and a new connection to a log worker still get descriptors.
    assert_eq!(daemon.console_call("GET", "ready").status, 200);
    let answer = exchange(http, &job_request("log-lookup", "00000000000000a1", 5_000, ""));
    let after = start.elapsed();
    assert_eq!((answer.status, answer.text().as_str()), (200, "fine"), "{sockets}, after {after:?}");
    assert!(daemon.open_descriptors() <= descriptors);
    for client in &mut pending {
        assert_eq!(read_message(client).expect("an answer").status, 200, "closed with a request in progress");
    }
    // The new list is read although the idle clients are still connected.
    let other = Worker::serving("w-2");
    closed_listener.listen(16).expect("a listener");
    let listener = TcpListener::from(closed_listener);
    let list = json!({"rev": 2, "all": true, "targets": [worker.entry("leaving"), other.entry("active")]});
    let (mut stream, _) = listener.accept().expect("a call for the list");
    assert!(read_message(&mut BufReader::new(stream.try_clone().expect("a clone"))).is_some());
    let text = format!("{list}\n");
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    stream.write_all(format!("{head}{:x}\r\n{text}\r\n", text.len()).as_bytes()).expect("sent");
    daemon.wait_counters("http", &["lists=1"]);
    let answer = exchange(http, &job_request("log-lookup", "00000000000000a2", 5_000, ""));
    let request_lines: Vec<String> =
        other.requests.lock().expect("requests").iter().map(|message| message.start_line.clone()).collect();
    assert_eq!((answer.status, request_lines.len()), (200, 1), "{request_lines:?}");
    drop(idle);
}

#[test]
fn idle_clients_leave_descriptors_for_requests_console_and_discovery() {
    let limits = [(256, 256), (1_024, 1_024)];
    let runs = limits.map(|(sockets, descriptors)| {
        std::thread::spawn(move || serves_beside_idle_clients(sockets, descriptors))
    });
    assert!(runs.into_iter().all(|run| run.join().is_ok()));
}

/// More clients connect at once than the listener accepts in one turn, while the process is suspended. The system must
/// queue them all, since a client whose packet it drops tries again only after a second or more.
#[test]
fn connection_burst_is_queued_while_the_process_is_suspended() {
    let worker = Worker::serving("w-1");
    let daemon =
        start_with_descriptor_limit(platform_config(Discovery::listing(&[&worker]).address), 1_024, 1_024);
    let http = daemon.address("http");
    daemon.wait_ready();
    daemon.signal("STOP");
    // The result does not depend on the load, since a connection that the system dropped is not accepted until the
    // process resumes.
    let within = Duration::from_secs(3);
    let mut burst: Vec<TcpStream> =
        (0..400).map_while(|_| TcpStream::connect_timeout(&http, within).ok()).collect();
    daemon.signal("CONT");
    assert_eq!(burst.len(), 400, "the SYN of the next connection was dropped");
    let mut last = burst.pop().expect("a connection");
    last.write_all(&job_request("log-lookup", "00000000000000a1", 5_000, "")).expect("sent");
    assert_eq!(read_message(&mut BufReader::new(last)).expect("an answer").status, 200);
}

fn cpu_seconds(daemon: &Daemon) -> f64 {
    let stat =
        std::fs::read_to_string(format!("/proc/{}/stat", daemon.pid())).expect("the process statistics");
    let fields: Vec<f64> = stat
        .rsplit_once(')')
        .expect("a name")
        .1
        .split_whitespace()
        .map(|field| field.parse().unwrap_or(0.0))
        .collect();
    (fields[11] + fields[12]) / 100.0
}

/// The system gives fewer descriptors than the settings promise, so `accept` fails. The listener must neither spin nor
/// stop.
#[test]
fn failing_accept_neither_spins_nor_stops_the_listener() {
    let worker = Worker::serving("w-1");
    let discovery = Discovery::listing(&[&worker]);
    let daemon = start_with_descriptor_limit(platform_config(discovery.address), 1_024, 48);
    let http = daemon.address("http");
    daemon.wait_ready();
    assert_eq!(exchange(http, &job_request("log-lookup", "00000000000000a1", 5_000, "")).status, 200);
    let idle: Vec<TcpStream> = (0..100).map(|_| send(http, b"")).collect();
    daemon.wait_log("accept: ");
    let before = cpu_seconds(&daemon);
    std::thread::sleep(Duration::from_millis(1_000));
    let spent = cpu_seconds(&daemon) - before;
    assert!(spent < 0.3, "{spent} s of CPU time in one second");
    drop(idle);
    assert_eq!(exchange(http, &job_request("log-lookup", "00000000000000a2", 5_000, "")).status, 200);
    assert!(daemon.log().iter().filter(|line| line.contains("accept: ")).count() < 400);
}

/// A discovery that handles calls one after another, `service_time` each, and answers 503 to calls that waited for over
/// two seconds. Returns its address and the number of those calls.
fn overloaded_discovery(
    entries: Vec<serde_json::Value>,
    service_time: Duration,
) -> (std::net::SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (address, late_calls) = (listener.local_addr().expect("an address"), Arc::new(AtomicU32::new(0)));
    let (queue, calls) = std::sync::mpsc::channel::<(TcpStream, Instant)>();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let _ = queue.send((stream, Instant::now()));
        }
    });
    let count = late_calls.clone();
    std::thread::spawn(move || {
        let list = format!("{}\n", json!({"rev": 1, "all": true, "targets": entries}));
        let mut open = Vec::new();
        for (mut stream, received_at) in calls {
            if received_at.elapsed() > Duration::from_secs(2) {
                count.fetch_add(1, Ordering::SeqCst);
                let _ = stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            std::thread::sleep(service_time);
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let text = format!("{head}{:x}\r\n{list}\r\n", list.len());
            if stream.write_all(text.as_bytes()).is_ok() {
                open.push(stream);
            }
        }
    });
    (address, late_calls)
}

/// Twenty-eight dispatchers of forty start at once, half of them with a known list and half with none, and discovery
/// answers ten calls a second, so at most twenty within the two seconds that a call may wait.
#[test]
fn nine_in_ten_restarted_dispatchers_are_ready_within_ten_seconds() {
    let worker = Worker::serving("w-1");
    let (address, late_calls) =
        overloaded_discovery(vec![worker.entry("active")], Duration::from_millis(100));
    let start = Instant::now();
    let daemons: Vec<Daemon> = (0..28)
        .map(|number| {
            let mut config = platform_config(address);
            config["settings"]["balancers"] = 40.into();
            config["settings"]["me"] = number.into();
            config["settings"]["rules"]["ask_every_ms"] = 10_000.0.into();
            config["seed"] = format!("{:016x}", 0x51 + number).into();
            if number % 2 == 0 {
                config["known"] = json!({"rev": 1, "all": true, "targets": [worker.entry("active")]});
            }
            Daemon::start(&config, None)
        })
        .collect();
    let mut ready: Vec<Option<Duration>> = vec![None; daemons.len()];
    while ready.iter().any(Option::is_none) && start.elapsed() < TEST_TIMEOUT {
        for (ready_at, daemon) in ready.iter_mut().zip(&daemons).filter(|(ready_at, _)| ready_at.is_none()) {
            *ready_at = (get(daemon.address("http"), "/health/ready").status == 200).then(|| start.elapsed());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let mut times: Vec<Duration> = ready.iter().map(|at| at.unwrap_or(TEST_TIMEOUT)).collect();
    times.sort();
    let (median, ninth_decile, worst) =
        (times[times.len() / 2], times[times.len() * 9 / 10], times[times.len() - 1]);
    println!(
        "ready: median {median:?}, nine in ten {ninth_decile:?}, worst {worst:?}; {} calls too late",
        late_calls.load(Ordering::SeqCst)
    );
    assert!(late_calls.load(Ordering::SeqCst) > 0, "discovery was not overloaded");
    assert!(ninth_decile < Duration::from_secs(10), "{times:?}");
    let known = ready.iter().step_by(2).flatten().max().expect("some");
    assert!(*known < Duration::from_secs(6), "{known:?}: a known list must serve at once");
}
