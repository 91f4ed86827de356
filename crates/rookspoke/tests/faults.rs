//! System calls that fail as Linux documents: every request has its answer all the same.

mod common;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use common::world::*;

/// A faulty daemon in front of these log workers, once it is ready.
fn over(workers: &[&Worker], schedule: &str) -> Daemon {
    let daemon = Daemon::start_with_faults(&platform_config(Discovery::listing(workers).address), schedule);
    daemon.wait_ready();
    daemon
}

/// How many of a client's requests, on connections that it keeps, had an answer; each has to.
fn ask_in_turn(http: SocketAddr, first_id: u64, requests: u64) -> Vec<u16> {
    let mut connection = BufReader::new(send(http, b""));
    let statuses = (first_id..first_id + requests).map(|id| {
        let class = if id % 3 == 0 { "qso-confirm" } else { "log-lookup" };
        let text = job_request(class, &format!("{id:016x}"), 5_000, &"x".repeat(200));
        connection.get_mut().write_all(&text).expect("sent");
        read_message(&mut connection).unwrap_or_else(|| panic!("request {id:x} has no answer")).status
    });
    statuses.collect()
}

/// Clients side by side; gives the statuses of all their answers.
fn ask_side_by_side(http: SocketAddr) -> Vec<u16> {
    let clients = (1..=8).map(|client| thread::spawn(move || ask_in_turn(http, client * 0x100, 30)));
    let clients: Vec<_> = clients.collect();
    clients.into_iter().flat_map(|client| client.join().expect("every request has an answer")).collect()
}

fn served(statuses: &[u16]) -> usize {
    statuses.iter().filter(|status| **status == 200).count()
}

#[test]
fn interrupted_and_short_calls_on_sockets_lose_no_request() {
    let worker = Worker::serving("w-1");
    let schedule =
        "11 receive=EINTR:10 receive=SHORT:10 peek=EINTR:20 send=EINTR:10 send=SHORT:5 wait=EINTR:20";
    let daemon = over(&[&worker], schedule);
    let statuses = ask_side_by_side(daemon.address("http"));
    for fault in ["receive EINTR", "receive SHORT", "peek EINTR", "send EINTR", "send SHORT", "wait EINTR"] {
        assert!(daemon.injected_faults(fault) > 0, "void: no {fault} was met");
    }
    // Nothing of this is a sign against a log worker: what is sent is served.
    assert_eq!(served(&statuses), statuses.len(), "{statuses:?}");
}

#[test]
fn a_system_short_of_memory_for_a_moment_loses_no_request() {
    let workers: Vec<Worker> = (1..=4).map(|n| Worker::serving(&format!("w-{n}"))).collect();
    let schedule = "12 receive=ENOMEM:5 peek=ENOMEM:30 peek=ENOBUFS:20 send=ENOBUFS:5";
    let daemon = over(&workers.iter().collect::<Vec<_>>(), schedule);
    let statuses = ask_side_by_side(daemon.address("http"));
    for fault in ["receive ENOMEM", "peek ENOMEM", "peek ENOBUFS", "send ENOBUFS"] {
        assert!(daemon.injected_faults(fault) > 0, "void: no {fault} was met");
    }
    assert!(served(&statuses) * 2 > statuses.len(), "{statuses:?}");
}

/// Among the socket calls are those that the listener and the connections to log workers need.
#[test]
fn sockets_and_connections_that_fail_for_a_moment_lose_no_request() {
    let workers: Vec<Worker> = (1..=4).map(|n| Worker::serving(&format!("w-{n}"))).collect();
    let schedule = "13 socket=ENFILE:20 socket=ENOBUFS:20 connect=EADDRNOTAVAIL:10 connect=ENETUNREACH:10 \
                    connect=ETIMEDOUT:5 accept=ECONNABORTED:20 accept=EMFILE:20 accept=EPROTO:10";
    let daemon = over(&workers.iter().collect::<Vec<_>>(), schedule);
    let statuses = ask_side_by_side(daemon.address("http"));
    for fault in ["socket ENFILE", "socket ENOBUFS", "accept ECONNABORTED", "accept EMFILE"] {
        assert!(daemon.injected_faults(fault) > 0, "void: no {fault} was met");
    }
    assert!(served(&statuses) > 0, "{statuses:?}");
}

/// Connections wait in the backlog, each with a request, when the listener closes; accepting them fails at first.
#[test]
fn a_shutdown_accepts_what_waits_though_accepting_fails_for_a_moment() {
    let worker = Worker::serving("w-1");
    let daemon = over(&[&worker], "14 accept=ECONNABORTED:40 accept=ENFILE:10");
    let http = daemon.address("http");
    daemon.signal("TERM");
    daemon.wait_log("shutdown: SIGTERM received");
    daemon.signal("STOP");
    let waiting: Vec<TcpStream> =
        (1..=20).map(|id| send(http, &job_request("log-lookup", &format!("{id:016x}"), 2_000, ""))).collect();
    // Longer than new connections are accepted: the listener closes as soon as the process goes on.
    thread::sleep(Duration::from_millis(700));
    let before = daemon.injected_faults("accept ECONNABORTED") + daemon.injected_faults("accept ENFILE");
    daemon.signal("CONT");
    let answers = waiting.into_iter().map(|client| read_message(&mut BufReader::new(client)));
    let answers: Vec<Option<u16>> = answers.map(|answer| answer.map(|answer| answer.status)).collect();
    assert!(
        daemon.injected_faults("accept ECONNABORTED") + daemon.injected_faults("accept ENFILE") > before,
        "void"
    );
    assert!(answers.iter().all(Option::is_some), "{answers:?}");
}

/// What an operator heard a yes to outlives a kill, though the folder fails half of the time.
#[test]
fn a_ban_that_was_confirmed_outlives_a_kill_while_the_folder_fails() {
    let (banned, other) = (Worker::serving("w-1"), Worker::serving("w-2"));
    let mut config = platform_config(Discovery::listing(&[&banned, &other]).address);
    let folder = TempDir::new();
    config["console"] = "127.0.0.1:0".into();
    config["state"] = folder.path().to_str().expect("a path").into();
    let daemon = Daemon::start_with_faults(&config, "15 sync=EIO:30 sync=ENOSPC:20 rename=EIO:20");
    daemon.wait_ready();
    let statuses = (0..100).map(|_| daemon.console_call("PUT", "log-workers/w-1/offline").status);
    let statuses: Vec<u16> = statuses.collect();
    assert!(daemon.injected_faults("sync EIO") + daemon.injected_faults("sync ENOSPC") > 0, "void");
    assert!(statuses.contains(&200), "{statuses:?}");
    daemon.kill();
    let daemon = Daemon::start(&config, None);
    daemon.wait_ready();
    for id in 1..=10 {
        assert_eq!(
            exchange(daemon.address("http"), &job_request("log-lookup", &format!("{id:016x}"), 5_000, ""))
                .status,
            200
        );
    }
    assert_eq!((banned.count(), other.count()), (0, 10));
}

/// The wall clock goes an hour forward and back ten times a second: requests last as long as they should.
#[test]
fn a_wall_clock_that_is_stepped_changes_no_deadline() {
    let (quick, mute) = (
        Worker::serving("w-1"),
        Worker::start("w-1", |_, _| {
            thread::sleep(TEST_TIMEOUT);
            false
        }),
    );
    for schedule in ["21 clock=3600:50", "22 clock=-3600:50", "23 clock=7:130"] {
        let daemon = over(&[&quick], schedule);
        let statuses = ask_in_turn(daemon.address("http"), 1, 30);
        assert_eq!(served(&statuses), 30, "{schedule}: {statuses:?}");
        let daemon = over(&[&mute], schedule);
        let asked = Instant::now();
        let answer =
            exchange(daemon.address("http"), &job_request("log-lookup", "0000000000000001", 600, ""));
        assert!(answer.status >= 500, "{schedule}: {answer:?}");
        assert!(asked.elapsed() >= Duration::from_millis(500), "{schedule}: {:?}", asked.elapsed());
    }
}

/// The wall clock was set back by an hour before the process started. A log worker that restarts is warm again after its
/// ramp, and not an hour later.
#[test]
fn a_restarted_log_worker_is_used_again_though_the_wall_clock_is_an_hour_behind() {
    let worker = Worker::serving("w-1");
    let discovery = Discovery::listing(&[&worker]);
    let mut config = platform_config(discovery.address);
    config["settings"]["rules"]["ramp_time_ms"] = 1_500.0.into();
    let daemon = Daemon::start_with_faults(&config, "24 clock=-3600:0");
    daemon.wait_ready();
    let mut entry = worker.entry("active");
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis() as u64;
    entry["boot_ms"] = unix.into();
    discovery.send_change(entry);
    daemon.wait_counters("http", &["lists=2"]);
    thread::sleep(Duration::from_millis(1_600));
    let statuses = ask_in_turn(daemon.address("http"), 1, 20);
    assert_eq!(served(&statuses), 20, "{statuses:?}");
}

#[test]
fn a_schedule_that_makes_no_sense_is_named() {
    for (schedule, found) in [
        ("x", "x"),
        ("1 receive=EWHAT:5", "receive=EWHAT:5"),
        ("1 accept=EIO:101", "accept=EIO:101"),
        ("1 clock=x:5", "clock=x:5"),
    ] {
        let (mut command, _folder) =
            Daemon::command(&platform_config("127.0.0.1:9".parse().expect("an address")), None);
        command.env("LD_PRELOAD", faults_library()).env("ROOKSPOKE_FAULTS", schedule);
        let output = command.output().expect("it runs");
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(3), "{said}");
        assert!(said.contains(&format!("found {found:?}, expected `SEED CALL=ERROR:PERCENT ...`")), "{said}");
    }
}
