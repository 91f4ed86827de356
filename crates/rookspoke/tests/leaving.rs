//! A client that has closed its connection has gone: no call attempt for it begins over 0.1 s later, whatever its job was
//! waiting for. Attempts are counted in the log workers' own books.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use common::world::*;
use serde_json::json;

/// How a client goes.
#[derive(Clone, Copy, Debug)]
enum Leaves {
    /// It closes.
    Fin,
    /// It resets the connection.
    Rst,
    /// It closes after bytes that nobody has read yet: a whole further request.
    Pipelined,
    /// The same with half of one.
    CutShort,
    /// It sends all that it can, and closes.
    Flood,
}

const ALL: [Leaves; 5] = [Leaves::Fin, Leaves::Rst, Leaves::Pipelined, Leaves::CutShort, Leaves::Flood];
/// From then on nothing may begin.
const GONE: Duration = Duration::from_millis(100);

impl Leaves {
    /// The further bytes come well before the end: what has read them stands there when that comes.
    fn sends(self, client: &mut TcpStream, id: &str) {
        let further = job_request("log-lookup", &format!("f{}", &id[1..]), 9_000, "four");
        let bytes = match self {
            Leaves::Fin | Leaves::Rst => Vec::new(),
            Leaves::Pipelined => further,
            Leaves::CutShort => further[..further.len() - 2].to_vec(),
            Leaves::Flood => further.repeat(300),
        };
        client.write_all(&bytes).expect("sent");
    }

    fn goes(self, client: TcpStream) {
        if let Leaves::Rst = self {
            socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO)).expect("a linger");
        }
        drop(client);
    }
}

/// Clients of a class, one of each kind in turn.
fn clients(daemon: &Daemon, class: &str, count: usize) -> Vec<(Leaves, TcpStream)> {
    let one = |number: usize| {
        let (how, id) = (ALL[number % ALL.len()], format!("{:016x}", 0xa000 + number));
        let mut client = send(daemon.address("http"), &job_request(class, &id, 20_000, ""));
        how.sends(&mut client, &id);
        (how, client)
    };
    (0..count).map(one).collect()
}

/// Three hundred wait for a list, and all leave in one burst.
#[test]
fn nobody_of_a_crowd_that_left_while_it_waited_is_sent() {
    let worker = Worker::serving("w-1");
    let discovery = Discovery::start(Vec::new());
    let daemon = Daemon::start_ready(&discovery);
    let crowd = clients(&daemon, "log-lookup", 300);
    let stays = send(daemon.address("http"), &job_request("log-lookup", "0000000000000001", 9_000, ""));
    wait_for("all of them", || daemon.counters("http").contains(" taken=301 ").then_some(()));
    crowd.into_iter().for_each(|(how, client)| how.goes(client));
    std::thread::sleep(GONE);
    discovery.send_change(worker.entry("active"));
    let answer = read_message(&mut std::io::BufReader::new(stays)).expect("an answer");
    assert_eq!(answer.status, 200);
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(worker.count(), 1, "sent for somebody who had left");
    daemon.wait_counters("http", &["taken=301", "client_gone=300", "sent=1"]);
}

/// The first log worker hands its jobs back once their clients have left, and the second one stands idle.
#[test]
fn no_further_attempt_begins_for_a_client_that_left_during_the_first() {
    let (left, holds) = (Arc::new(AtomicBool::new(false)), Duration::from_millis(20));
    let away = left.clone();
    let first = Worker::start("w-1", move |request, to| {
        // A job that is called off hears nothing any more.
        while !away.load(Ordering::SeqCst) {
            std::thread::sleep(holds);
        }
        send_objects(to, &[state_report(request, "returned")], true);
        false
    });
    let second = Worker::serving("w-2");
    let discovery = Discovery::start(vec![first.entry("active")]);
    // Calling off is not allowed: the attempt goes on to its end.
    let mut config = platform_config(discovery.address);
    config["settings"]["limits"]["cancel"] = false.into();
    config["settings"]["specifics"]["report_x0"] = json!("free_slots");
    let daemon = Daemon::start(&config, None);
    daemon.wait_ready();
    let crowd = clients(&daemon, "log-lookup", 5);
    wait_for("the attempts", || (first.count() == 5).then_some(()));
    discovery.send_change(second.entry("active"));
    daemon.wait_counters("http", &["lists=2"]);
    crowd.into_iter().for_each(|(how, client)| how.goes(client));
    std::thread::sleep(GONE);
    left.store(true, Ordering::SeqCst);
    daemon.wait_counters("http", &["taken=5", "client_gone=5", "attempts_failed=5", "sent=5"]);
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!((first.count(), second.count()), (5, 0), "sent again for somebody who had left");
}

/// The connection to the log worker comes up after its client has left: the decision to send was made long before.
#[test]
fn nothing_is_written_to_a_connection_that_comes_up_after_the_client_left() {
    for cancel in [true, false] {
        let worker = LateWorker::start("w-1");
        let daemon = Daemon::start(&worker.config(cancel), None);
        daemon.wait_ready();
        for class in ["log-lookup", "qso-confirm"] {
            clients(&daemon, class, 5).into_iter().for_each(|(how, client)| {
                std::thread::sleep(Duration::from_millis(20));
                how.goes(client);
            });
        }
        daemon.wait_counters("http", &["taken=10", "client_gone=10", "sent=10"]);
        std::thread::sleep(GONE);
        worker.open();
        // Nothing that may have run is forgotten: each attempt ends, as called off or as never sent.
        let ends = if cancel { ["cancelled=10", "written=0"] } else { ["not_sent=10", "written=0"] };
        daemon.wait_counters("http", &ends);
        assert_eq!(worker.count(), 0, "written for somebody who had left; calling off allowed: {cancel}");
    }
}

/// A confirmation whose client leaves is called off and accounted for; what it held of the log worker is free again.
#[test]
fn a_confirmation_stays_accounted_for_when_its_client_leaves() {
    let worker = Worker::start("w-1", |request, to| {
        let waits = request.start_line.contains("qso-confirm");
        send_objects(to, &[state_report(request, if waits { "started" } else { "done" })], !waits);
        !waits || !is_closed(to)
    });
    let daemon = Daemon::start_ready(&Discovery::listing(&[&worker]));
    let crowd = clients(&daemon, "qso-confirm", 5);
    wait_for("the attempts", || (worker.count() == 5).then_some(()));
    crowd.into_iter().for_each(|(how, client)| how.goes(client));
    let ends = ["taken=5", "client_gone=5", "cancelled=5", "written=5", "sent=5", "served=0", "failed=0"];
    daemon.wait_counters("http", &ends);
    let next = exchange(daemon.address("http"), &job_request("log-lookup", "0000000000000001", 5_000, ""));
    assert_eq!((next.status, worker.count()), (200, 6));
}
