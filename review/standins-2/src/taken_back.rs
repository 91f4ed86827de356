//! A pair by VRRP: the master is restarted as planned and takes over again, and a consumer of the other daemon
//! disconnects between FETCH and ACK.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::faktory::{jid_of, job, Peer};
use crate::http::Discovery;
use crate::world::{config, note, trouble, Dispatcher, Failure};

/// Lookups that the leaving consumer holds, one on each of its connections.
const HELD: usize = 3;
/// The class's give-up time.
const LOOKUP_TIME: Duration = Duration::from_secs(10);

/// One daemon of the pair.
struct Side {
    name: &'static str,
    front: SocketAddr,
    own_file: String,
}

impl Side {
    fn start(&self, discovery: SocketAddr) -> Result<Dispatcher, Failure> {
        let dispatcher =
            Dispatcher::start(self.name, &config(0, 1, discovery, "null"), Some(&self.own_file))?;
        dispatcher.address("faktory")?;
        Ok(dispatcher)
    }

    /// Waits until this daemon hands out jobs, that is, until it is the master.
    fn wait_master(&self, what: &str) -> Result<(), Failure> {
        let give_up = Instant::now() + Duration::from_secs(15);
        let mut peer = Peer::connect(self.front, what, None)?;
        while Instant::now() < give_up {
            // A PUSH for a queue without consumers is refused by the master for another reason than by the backup.
            let reply = peer.call(&format!("PUSH {}", job("probe-00000001", "log-lookup", "nobody")))?;
            if reply.starts_with("-ERR") && !reply.contains("backup") {
                note(format!("{} is the master", self.name));
                return Ok(());
            }
            thread::sleep(Duration::from_millis(200));
        }
        Err(format!("{} did not become the master", self.name))
    }
}

/// What is to happen: both by default, neither with TROUBLE=0, and one of the two with ONLY=restart or ONLY=disconnect.
fn happens(part: &str) -> bool {
    trouble() && std::env::var("ONLY").map_or(true, |only| only.is_empty() || only == part)
}

/// A consumer that asks the daemon at `front` for jobs, and the other one when it is told that this one is the backup.
fn consume(fronts: [SocketAddr; 2], done: Arc<Mutex<Vec<String>>>, until: Instant) -> Result<(), Failure> {
    let mut at = 1;
    while Instant::now() < until {
        let wid = format!("c-2-{}", until.saturating_duration_since(Instant::now()).as_millis());
        let mut consumer = Peer::connect(fronts[at], "consumer c-2", Some(&wid))?;
        while Instant::now() < until {
            let reply = consumer.call("FETCH default")?;
            if let Some(jid) = jid_of(&reply) {
                done.lock().unwrap().push(jid.clone());
                consumer.ack(&jid)?;
            } else if reply.starts_with("-ERR") {
                at = 1 - at;
                break;
            }
        }
    }
    Ok(())
}

pub fn run() -> Result<bool, Failure> {
    let free = || {
        TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).and_then(|l| l.local_addr()).map_err(|e| e.to_string())
    };
    let free_udp =
        || UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).and_then(|s| s.local_addr()).map_err(|e| e.to_string());
    let (fronts, links) = ([free()?, free()?], [free_udp()?, free_udp()?]);
    let side = |at: usize, name, priority: u8| {
        Side {
        name,
        front: fronts[at],
        own_file: format!(
            "faktory {{\n    listen {}\n}}\nvrrp {{\n    listen {}\n    peers {}\n    router 1\n    priority {priority}\n    \
             addresses 127.0.0.100\n}}\n",
            fronts[at],
            links[at],
            links[1 - at]
        ),
    }
    };
    let (a, b) = (side(0, "a", 200), side(1, "b", 100));
    let discovery = Discovery::start(Vec::new());
    let mut first = a.start(discovery.address)?;
    let mut second = b.start(discovery.address)?;
    a.wait_master("producer")?;
    // The restart begins: `a` ends in order, and `b` takes over.
    first.terminate()?;
    b.wait_master("producer")?;
    let pool: Vec<Peer> =
        (0..HELD).map(|_| Peer::connect(b.front, "consumer c-1", Some("c-1"))).collect::<Result<_, _>>()?;
    let holding: Vec<_> = pool
        .into_iter()
        .map(|mut peer| {
            thread::spawn(move || -> Result<(Peer, String), Failure> {
                let jid = peer.fetch("default", Duration::from_secs(10))?.ok_or("c-1 got too few jobs")?;
                Ok((peer, jid))
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(200));
    let (mut producer, mut pushed) = (Peer::connect(b.front, "producer", None)?, Instant::now());
    let back = if happens("restart") { Some(a.start(discovery.address)?) } else { None };
    // `a` takes over again some 3 s after its start; until then `b` is the master and accepts jobs.
    thread::sleep(Duration::from_millis(1500));
    let lookups: Vec<String> = (0..HELD).map(|number| format!("lookup-{number:08}")).collect();
    for lookup in &lookups {
        pushed = Instant::now();
        let reply = producer.call(&format!("PUSH {}", job(lookup, "log-lookup", "default")))?;
        if reply != "+OK" {
            return Err(format!("{lookup} was not accepted: {reply}"));
        }
    }
    let mut held = Vec::new();
    for holder in holding {
        held.push(holder.join().map_err(|_| "c-1 failed")??);
    }
    let done: Arc<Mutex<Vec<String>>> = Arc::default();
    let other = thread::spawn({
        let (done, until) = (done.clone(), pushed + LOOKUP_TIME + Duration::from_secs(1));
        move || consume(fronts, done, until)
    });
    if back.is_some() {
        a.wait_master("producer")?;
    } else {
        thread::sleep(Duration::from_secs(2));
    }
    if happens("disconnect") {
        note("consumer c-1 disconnects before its ACKs");
        drop(held);
    } else {
        for (peer, jid) in &mut held {
            done.lock().unwrap().push(jid.clone());
            peer.ack(jid)?;
        }
    }
    let left = LOOKUP_TIME.saturating_sub(pushed.elapsed());
    note(format!("{:.1} s of the lookups' time are left", left.as_secs_f64()));
    other.join().map_err(|_| "c-2 failed")??;
    let running = back.map_or(true, |mut back| back.is_running());
    if !second.is_running() || !running {
        note("verdict: a dispatcher ended");
        return Ok(true);
    }
    let done = done.lock().unwrap();
    let lost: Vec<_> = lookups.iter().filter(|lookup| !done.contains(lookup)).collect();
    for lookup in &lost {
        note(format!(
            "verdict: {lookup} was accepted (+OK) and handed to nobody again, though c-2 asked both daemons"
        ));
    }
    note(format!("verdict: {} of {HELD} accepted lookups were lost", lost.len()));
    Ok(!lost.is_empty())
}
