//! Once a client has closed its connection, no call attempt for it begins more than 0.1 s later, whatever its job was
//! waiting for. Attempts are counted by the stand-in log workers.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use common::world::*;
use serde_json::json;

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    /// Closes the connection.
    Fin,
    /// Resets the connection.
    Rst,
    /// Closes after a complete further request that has not been read yet.
    Pipelined,
    /// Closes after a further request whose last two bytes are missing.
    Truncated,
    /// Sends 300 further requests and closes.
    Flood,
}

const ALL_DISCONNECTS: [Disconnect; 5] =
    [Disconnect::Fin, Disconnect::Rst, Disconnect::Pipelined, Disconnect::Truncated, Disconnect::Flood];
/// No attempt may begin later than this after a client has disconnected.
const NOTICE_TIME: Duration = Duration::from_millis(100);

impl Disconnect {
    /// Sends the further bytes well before the client disconnects, so that the daemon has read them by then.
    fn send_further(self, client: &mut TcpStream, id: &str) {
        let further = job_request("log-lookup", &format!("f{}", &id[1..]), 9_000, "four");
        let bytes = match self {
            Disconnect::Fin | Disconnect::Rst => Vec::new(),
            Disconnect::Pipelined => further,
            Disconnect::Truncated => further[..further.len() - 2].to_vec(),
            Disconnect::Flood => further.repeat(300),
        };
        client.write_all(&bytes).expect("sent");
    }

    fn disconnect(self, client: TcpStream) {
        if let Disconnect::Rst = self {
            socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO)).expect("a linger");
        }
        drop(client);
    }
}

/// Connects clients of a class that disconnect in each of the ways in turn.
fn connect_clients(daemon: &Daemon, class: &str, count: usize) -> Vec<(Disconnect, TcpStream)> {
    let connect = |number: usize| {
        let (how, id) =
            (ALL_DISCONNECTS[number % ALL_DISCONNECTS.len()], format!("{:016x}", 0xa000 + number));
        let mut client = send(daemon.address("http"), &job_request(class, &id, 20_000, ""));
        how.send_further(&mut client, &id);
        (how, client)
    };
    (0..count).map(connect).collect()
}

/// Three hundred jobs wait for a list, and their clients disconnect at once. A list that arrives 0.1 s later must send
/// none.
#[test]
fn no_job_is_sent_whose_client_disconnected_while_it_waited_for_a_list() {
    let worker = Worker::serving("w-1");
    let discovery = Discovery::start(Vec::new());
    let daemon = Daemon::start_ready(&discovery);
    let clients = connect_clients(&daemon, "log-lookup", 300);
    let connected = send(daemon.address("http"), &job_request("log-lookup", "0000000000000001", 9_000, ""));
    wait_for("all jobs to be taken", || daemon.counters("http").contains(" taken=301 ").then_some(()));
    clients.into_iter().for_each(|(how, client)| how.disconnect(client));
    std::thread::sleep(NOTICE_TIME);
    discovery.send_change(worker.entry("active"));
    let answer = read_message(&mut std::io::BufReader::new(connected)).expect("an answer");
    assert_eq!(answer.status, 200);
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(worker.count(), 1, "a job was sent for a disconnected client");
    daemon.wait_counters("http", &["taken=301", "client_gone=300", "sent=1"]);
}

/// The first log worker returns its jobs once their clients have disconnected. The second one is idle, and must get
/// none of them.
#[test]
fn no_further_attempt_begins_for_a_client_that_disconnected_during_the_first() {
    let (disconnected, poll_interval) = (Arc::new(AtomicBool::new(false)), Duration::from_millis(20));
    let clients_gone = disconnected.clone();
    let first = Worker::start("w-1", move |request, to| {
        // A cancelled job would not be answered any more.
        while !clients_gone.load(Ordering::SeqCst) {
            std::thread::sleep(poll_interval);
        }
        send_objects(to, &[state_report(request, "returned")], true);
        false
    });
    let second = Worker::serving("w-2");
    let discovery = Discovery::start(vec![first.entry("active")]);
    // Cancelling is not allowed, so the attempt goes on to its end.
    let mut config = platform_config(discovery.address);
    config["settings"]["limits"]["cancel"] = false.into();
    config["settings"]["specifics"]["report_x0"] = json!("free_slots");
    let daemon = Daemon::start(&config, None);
    daemon.wait_ready();
    let clients = connect_clients(&daemon, "log-lookup", 5);
    wait_for("the attempts", || (first.count() == 5).then_some(()));
    discovery.send_change(second.entry("active"));
    daemon.wait_counters("http", &["lists=2"]);
    clients.into_iter().for_each(|(how, client)| how.disconnect(client));
    std::thread::sleep(NOTICE_TIME);
    disconnected.store(true, Ordering::SeqCst);
    daemon.wait_counters("http", &["taken=5", "client_gone=5", "attempts_failed=5", "sent=5"]);
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!((first.count(), second.count()), (5, 0), "a job was sent again for a disconnected client");
}

/// The decision to send is made while the client is connected, but the connection to the log worker is established only
/// after the client has disconnected.
#[test]
fn nothing_is_written_to_a_connection_established_after_the_client_disconnected() {
    for cancel in [true, false] {
        let worker = LateWorker::start("w-1");
        let daemon = Daemon::start(&worker.config(cancel), None);
        daemon.wait_ready();
        for class in ["log-lookup", "qso-confirm"] {
            connect_clients(&daemon, class, 5).into_iter().for_each(|(how, client)| {
                std::thread::sleep(Duration::from_millis(20));
                how.disconnect(client);
            });
        }
        daemon.wait_counters("http", &["taken=10", "client_gone=10", "sent=10"]);
        std::thread::sleep(NOTICE_TIME);
        worker.open();
        // Every attempt is accounted for, as cancelled or as never sent.
        let expected = if cancel { ["cancelled=10", "written=0"] } else { ["not_sent=10", "written=0"] };
        daemon.wait_counters("http", &expected);
        assert_eq!(
            worker.count(),
            0,
            "a request was written for a disconnected client; cancelling allowed: {cancel}"
        );
    }
}

/// A confirmation whose client disconnects is cancelled and counted, and its capacity at the log worker is released.
#[test]
fn confirmation_is_cancelled_and_counted_when_its_client_disconnects() {
    let worker = Worker::start("w-1", |request, to| {
        let stays_open = request.start_line.contains("qso-confirm");
        send_objects(to, &[state_report(request, if stays_open { "started" } else { "done" })], !stays_open);
        !stays_open || !is_closed(to)
    });
    let daemon = Daemon::start_ready(&Discovery::listing(&[&worker]));
    let clients = connect_clients(&daemon, "qso-confirm", 5);
    wait_for("the attempts", || (worker.count() == 5).then_some(()));
    clients.into_iter().for_each(|(how, client)| how.disconnect(client));
    let expected = ["taken=5", "client_gone=5", "cancelled=5", "written=5", "sent=5", "served=0", "failed=0"];
    daemon.wait_counters("http", &expected);
    let next = exchange(daemon.address("http"), &job_request("log-lookup", "0000000000000001", 5_000, ""));
    assert_eq!((next.status, worker.count()), (200, 6));
}

/// A log worker that runs its first job until the dispatcher closes the connection, and serves any further one.
fn worker_that_runs_its_first_job() -> Worker {
    let ran_before = AtomicBool::new(false);
    Worker::start("w-1", move |request, to| {
        if ran_before.swap(true, Ordering::SeqCst) {
            serve(request, to, "again");
            return true;
        }
        send_objects(to, &[state_report(request, "started")], false);
        !is_closed(to)
    })
}

/// Sends a confirmation to a daemon, and leaves while the log worker runs it.
fn leave_during_confirmation(to: SocketAddr, daemon: &Daemon, worker: &Worker, confirmation: &[u8]) {
    let leaving = send(to, confirmation);
    wait_for("the attempt", || (worker.count() == 1).then_some(()));
    drop(leaving);
    daemon.wait_counters("http", &["client_gone=1", "cancelled=1"]);
}

/// Guards against a second run: the client of a confirmation leaves while a log worker runs it, and its id comes again.
#[test]
fn a_confirmation_does_not_run_again_when_its_id_comes_again_after_its_client_left() {
    let worker = worker_that_runs_its_first_job();
    let daemon = Daemon::start_ready(&Discovery::listing(&[&worker]));
    let confirmation = job_request("qso-confirm", "00000000000000aa", 20_000, "");
    leave_during_confirmation(daemon.address("http"), &daemon, &worker, &confirmation);
    let answer = exchange(daemon.address("http"), &confirmation);
    assert_eq!((worker.count(), answer.status == 200), (1, false), "the confirmation ran again");
}

/// Guards against the same at an upgrade: the id comes again at the new process.
#[test]
fn a_confirmation_does_not_run_again_when_its_id_comes_again_at_the_other_process_of_an_upgrade() {
    let worker = worker_that_runs_its_first_job();
    let host = DispatcherHost::new(platform_config(Discovery::listing(&[&worker]).address));
    let mut old = host.start_ready();
    let confirmation = job_request("qso-confirm", "00000000000000aa", 20_000, "");
    leave_during_confirmation(host.client_address(), &old, &worker, &confirmation);
    let _new = host.start_ready();
    old.signal("TERM");
    old.wait_exit();
    let answer = exchange(host.client_address(), &confirmation);
    assert_eq!((worker.count(), answer.status == 200), (1, false), "the confirmation ran again");
}
