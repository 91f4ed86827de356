//! A consumer disconnects between FETCH and ACK of lookups; most of the other consumers serve another queue.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::faktory::{jid_of, job, Peer};
use crate::http::Discovery;
use crate::world::{config, note, trouble, Dispatcher, Failure};

const OWN_FILE: &str = "faktory {\n    listen 127.0.0.1:0\n}\n";
const ROUNDS: usize = 7;
/// Consumers of the queue `confirmations`; two more serve `lookups`.
const OTHERS: usize = 11;
const LOOKUP_TIME: Duration = Duration::from_secs(10);

pub fn run() -> Result<bool, Failure> {
    let discovery = Discovery::start(Vec::new());
    let mut dispatcher = Dispatcher::start("n0", &config(0, 1, discovery.address, "null"), Some(OWN_FILE))?;
    let address = dispatcher.address("faktory")?;
    let stop = Arc::new(AtomicBool::new(false));
    for number in 0..OTHERS {
        let stop = stop.clone();
        thread::spawn(move || -> Result<(), Failure> {
            let name = format!("consumer o-{number}");
            let mut consumer = Peer::connect(address, &name, Some(&format!("o-{number}")))?;
            while !stop.load(Ordering::Relaxed) {
                consumer.fetch("confirmations", Duration::ZERO)?;
            }
            Ok(())
        });
    }
    let mut lost = 0;
    for round in 0..ROUNDS {
        let lookup = format!("lookup-{round:08}");
        let mut first = Peer::connect(address, "consumer c-1", Some(&format!("c-1-{round}")))?;
        let leaving = thread::spawn(move || -> Result<Peer, Failure> {
            let held = first.fetch("lookups", Duration::from_secs(20))?.ok_or("c-1 got no job")?;
            if !trouble() {
                first.ack(&held)?;
            }
            Ok(first)
        });
        thread::sleep(Duration::from_millis(100));
        let mut producer = Peer::connect(address, "producer", None)?;
        let mut pushed = Instant::now();
        // A refused job may be pushed again.
        let accepted = (0..60).any(|_| {
            pushed = Instant::now();
            let reply = producer.call(&format!("PUSH {}", job(&lookup, "log-lookup", "lookups")));
            reply.is_ok_and(|reply| reply == "+OK")
        });
        if !accepted {
            return Err(format!("{lookup} was not accepted"));
        }
        let first = leaving.join().map_err(|_| "c-1 failed")??;
        let mut second = Peer::connect(address, "consumer c-2", Some(&format!("c-2-{round}")))?;
        second.send("FETCH lookups")?;
        if trouble() {
            thread::sleep(Duration::from_millis(100));
            note("consumer c-1 disconnects before its ACK");
        }
        drop(first);
        let mut done = !trouble();
        while !done && pushed.elapsed() < LOOKUP_TIME {
            match jid_of(&second.reply()?) {
                Some(jid) => {
                    second.ack(&jid)?;
                    done = jid == lookup;
                }
                None => second.send("FETCH lookups")?,
            }
        }
        if !done {
            lost += 1;
            note(format!(
                "verdict: {lookup} was accepted (+OK) and handed to nobody again, though c-2 asked for it"
            ));
        }
        if !dispatcher.is_running() {
            note("verdict: the dispatcher ended");
            return Ok(true);
        }
    }
    stop.store(true, Ordering::Relaxed);
    note(format!("verdict: {lost} of {ROUNDS} accepted lookups were lost"));
    Ok(lost > 0)
}
