//! Where something is scarce at the worst time: descriptors, with discovery down and clients that sit on them; discovery
//! itself, with most of a fleet restarted at once.

mod common;

use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::world::*;
use serde_json::json;

/// A daemon that the system gives no more than so many descriptors, whatever its settings say.
fn limited(mut config: serde_json::Value, sockets: usize, allowed: usize) -> Daemon {
    config["limits"]["sockets"] = json!(sockets);
    config["console"] = "127.0.0.1:0".into();
    let (inner, folder) = Daemon::command(&config, None);
    let mut command = Command::new("sh");
    command.args(["-c", &format!("ulimit -n {allowed}; exec \"$0\""), env!("CARGO_BIN_EXE_rookspoke")]);
    command.current_dir(folder.path()).stdin(std::process::Stdio::null());
    command.envs(inner.get_envs().filter_map(|(name, value)| Some((name, value?))));
    Daemon::spawn((command, folder))
}

/// Idle clients come until nothing more goes in, some with a request under way and some with half of one; then discovery
/// returns.
fn crowded(sockets: usize, allowed: usize) {
    let worker = Worker::start("w-1", |request, to| {
        if request.text() == "slow" {
            // A job whose start is not told waits in a queue, as far as a dispatcher can see.
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
    // Refuses every call, and keeps its port: another stand-in that got it would be called for lists.
    let down = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    down.bind(&std::net::SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    let address = down.local_addr().expect("an address").as_socket().expect("an address");
    let mut config = platform_config(address);
    config["known"] = json!({"rev": 1, "all": true, "targets": [worker.entry("active")]});
    config["settings"]["rules"]["ask_every_ms"] = 10_000.0.into();
    let daemon = limited(config, sockets, allowed);
    let start = Instant::now();
    let http = daemon.address("http");
    daemon.wait_ready();
    let mut owed: Vec<_> = (0..2)
        .map(|id| {
            BufReader::new(send(http, &job_request("qso-confirm", &format!("{id:016x}"), 20_000, "slow")))
        })
        .collect();
    wait_for("the jobs", || (worker.count() == 2).then_some(()));
    let ready = b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n";
    let idle: Vec<TcpStream> =
        (0..sockets * 6 / 10).map(|number| send(http, if number % 2 == 0 { ready } else { b"" })).collect();
    // The console, a client with a request and a new connection to a log worker still find room.
    assert_eq!(daemon.console_call("GET", "ready").status, 200);
    let answer = exchange(http, &job_request("log-lookup", "00000000000000a1", 5_000, ""));
    let after = start.elapsed();
    assert_eq!((answer.status, answer.text().as_str()), (200, "fine"), "{sockets}, after {after:?}");
    assert!(daemon.open_descriptors() <= allowed);
    for client in &mut owed {
        assert_eq!(read_message(client).expect("an answer").status, 200, "let go with a request under way");
    }
    // The list that comes now is found, though the crowd still presses.
    let other = Worker::serving("w-2");
    down.listen(16).expect("a listener");
    let listener = TcpListener::from(down);
    let list = json!({"rev": 2, "all": true, "targets": [worker.entry("leaving"), other.entry("active")]});
    let (mut stream, _) = listener.accept().expect("a call for the list");
    assert!(read_message(&mut BufReader::new(stream.try_clone().expect("a clone"))).is_some());
    let text = format!("{list}\n");
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    stream.write_all(format!("{head}{:x}\r\n{text}\r\n", text.len()).as_bytes()).expect("sent");
    daemon.wait_counters("http", &["lists=1"]);
    let answer = exchange(http, &job_request("log-lookup", "00000000000000a2", 5_000, ""));
    let came: Vec<String> =
        other.requests.lock().expect("requests").iter().map(|message| message.start_line.clone()).collect();
    assert_eq!((answer.status, came.len()), (200, 1), "{came:?}");
    drop(idle);
}

#[test]
fn idle_clients_leave_descriptors_for_everybody_else() {
    let plays = [(256, 256), (1_024, 1_024)];
    let plays = plays.map(|(sockets, allowed)| std::thread::spawn(move || crowded(sockets, allowed)));
    assert!(plays.into_iter().all(|play| play.join().is_ok()));
}

/// More clients come at once than any turn accepts, while the process stands still: the system keeps them all, and drops
/// none, whose client would try again after a second or more.
#[test]
fn a_burst_of_connections_waits_for_a_busy_process() {
    let worker = Worker::serving("w-1");
    let daemon = limited(platform_config(Discovery::listing(&[&worker]).address), 1_024, 1_024);
    let http = daemon.address("http");
    daemon.wait_ready();
    daemon.signal("STOP");
    // Nothing here depends on the load: what the system has dropped is not let in until the process goes on.
    let within = Duration::from_secs(3);
    let mut burst: Vec<TcpStream> =
        (0..400).map_while(|_| TcpStream::connect_timeout(&http, within).ok()).collect();
    daemon.signal("CONT");
    assert_eq!(burst.len(), 400, "the next one's first packet was dropped");
    let mut last = burst.pop().expect("a connection");
    last.write_all(&job_request("log-lookup", "00000000000000a1", 5_000, "")).expect("sent");
    assert_eq!(read_message(&mut BufReader::new(last)).expect("an answer").status, 200);
}

fn processor_time(daemon: &Daemon) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", daemon.pid())).expect("its figures");
    let fields: Vec<f64> = stat
        .rsplit_once(')')
        .expect("a name")
        .1
        .split_whitespace()
        .map(|field| field.parse().unwrap_or(0.0))
        .collect();
    (fields[11] + fields[12]) / 100.0
}

/// The system gives fewer descriptors than the settings promise, so accepting fails: the listener neither spins nor ends.
#[test]
fn an_accept_that_fails_neither_spins_nor_ends_the_listener() {
    let worker = Worker::serving("w-1");
    let discovery = Discovery::listing(&[&worker]);
    let daemon = limited(platform_config(discovery.address), 1_024, 48);
    let http = daemon.address("http");
    daemon.wait_ready();
    assert_eq!(exchange(http, &job_request("log-lookup", "00000000000000a1", 5_000, "")).status, 200);
    let crowd: Vec<TcpStream> = (0..100).map(|_| send(http, b"")).collect();
    daemon.wait_log("accept: ");
    let before = processor_time(&daemon);
    std::thread::sleep(Duration::from_millis(1_000));
    let spent = processor_time(&daemon) - before;
    assert!(spent < 0.3, "{spent} s of processor time in one second");
    drop(crowd);
    assert_eq!(exchange(http, &job_request("log-lookup", "00000000000000a2", 5_000, "")).status, 200);
    assert!(daemon.log().iter().filter(|line| line.contains("accept: ")).count() < 400);
}

/// Discovery handles calls one after another, some of them too late: 503 after two seconds of waiting.
fn overbooked(entries: Vec<serde_json::Value>, each: Duration) -> (std::net::SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (address, late) = (listener.local_addr().expect("an address"), Arc::new(AtomicU32::new(0)));
    let (queue, calls) = std::sync::mpsc::channel::<(TcpStream, Instant)>();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let _ = queue.send((stream, Instant::now()));
        }
    });
    let count = late.clone();
    std::thread::spawn(move || {
        let list = format!("{}\n", json!({"rev": 1, "all": true, "targets": entries}));
        let mut open = Vec::new();
        for (mut stream, came) in calls {
            if came.elapsed() > Duration::from_secs(2) {
                count.fetch_add(1, Ordering::SeqCst);
                let _ = stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            std::thread::sleep(each);
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let text = format!("{head}{:x}\r\n{list}\r\n", list.len());
            if stream.write_all(text.as_bytes()).is_ok() {
                open.push(stream);
            }
        }
    });
    (address, late)
}

/// Twenty-eight dispatchers of forty start in one instant, half of them with the list last known and half with none, and
/// discovery can answer ten calls a second: twenty at most within a call's time.
#[test]
fn nine_in_ten_of_a_restarted_fleet_are_ready_within_ten_seconds() {
    let worker = Worker::serving("w-1");
    let (address, late) = overbooked(vec![worker.entry("active")], Duration::from_millis(100));
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
        for (at, daemon) in ready.iter_mut().zip(&daemons).filter(|(at, _)| at.is_none()) {
            *at = (get(daemon.address("http"), "/health/ready").status == 200).then(|| start.elapsed());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let mut times: Vec<Duration> = ready.iter().map(|at| at.unwrap_or(TEST_TIMEOUT)).collect();
    times.sort();
    let (median, ninth, worst) =
        (times[times.len() / 2], times[times.len() * 9 / 10], times[times.len() - 1]);
    println!(
        "ready: median {median:?}, nine in ten {ninth:?}, worst {worst:?}; {} calls too late",
        late.load(Ordering::SeqCst)
    );
    assert!(late.load(Ordering::SeqCst) > 0, "discovery was not overbooked");
    assert!(ninth < Duration::from_secs(10), "{times:?}");
    let known = ready.iter().step_by(2).flatten().max().expect("some");
    assert!(*known < Duration::from_secs(6), "{known:?}: what is known serves at once");
}
