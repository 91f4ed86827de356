//! A consumer disconnects between FETCH and ACK of a lookup, while the other consumer is busy for longer than `claim`.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::faktory::{job, Peer};
use crate::http::Discovery;
use crate::world::{config, note, trouble, Dispatcher, Failure};

const OWN_FILE: &str = "faktory {\n    listen 127.0.0.1:0\n    claim 1s\n    reconnect 1s\n}\n";
const ROUNDS: usize = 3;
/// The class's give-up time.
const LOOKUP_TIME: Duration = Duration::from_secs(10);
/// How long jobs run: within the site's ranges.
const LOOKUP: Duration = Duration::from_millis(1100);
const CONFIRMATION: Duration = Duration::from_millis(2300);

/// The jobs that were reported as done.
type Acked = Arc<Mutex<Vec<String>>>;

/// Fetches, runs and reports jobs until `until`. A consumer that `leaves` disconnects once it has fetched a lookup.
fn consume(mut consumer: Peer, acked: Acked, until: Instant, leaves: bool) -> Result<(), Failure> {
    while Instant::now() < until {
        let Some(jid) = consumer.fetch("default", Duration::ZERO)? else { continue };
        let is_lookup = jid.starts_with("lookup");
        if leaves && is_lookup {
            note("consumer c-1 disconnects before its ACK");
            return Ok(());
        }
        thread::sleep(if is_lookup { LOOKUP } else { CONFIRMATION });
        acked.lock().unwrap().push(jid.clone());
        consumer.ack(&jid)?;
    }
    Ok(())
}

pub fn run() -> Result<bool, Failure> {
    let discovery = Discovery::start(Vec::new());
    let mut dispatcher = Dispatcher::start("n0", &config(0, 1, discovery.address, "null"), Some(OWN_FILE))?;
    let address = dispatcher.address("faktory")?;
    let mut lost = 0;
    for round in 0..ROUNDS {
        let (lookup, confirmation) = (format!("lookup-{round:08}"), format!("confirm-{round:08}"));
        let (acked, until) = (Acked::default(), Instant::now() + LOOKUP_TIME + Duration::from_secs(1));
        let start = |number: usize, leaves: bool| -> Result<_, Failure> {
            let (acked, wid) = (acked.clone(), format!("c-{number}-{round}"));
            let consumer = Peer::connect(address, &format!("consumer c-{number}"), Some(&wid))?;
            Ok(thread::spawn(move || consume(consumer, acked, until, leaves)))
        };
        let push = |jid: &str, class: &str| -> Result<(), Failure> {
            let mut producer = Peer::connect(address, "producer", None)?;
            match producer.call(&format!("PUSH {}", job(jid, class, "default")))? {
                reply if reply == "+OK" => Ok(()),
                reply => Err(format!("{jid} was not accepted: {reply}")),
            }
        };
        let first = start(1, trouble())?;
        thread::sleep(Duration::from_millis(200));
        push(&lookup, "log-lookup")?;
        let second = start(2, false)?;
        thread::sleep(Duration::from_millis(200));
        push(&confirmation, "qso-confirm")?;
        first.join().map_err(|_| "c-1 failed")??;
        second.join().map_err(|_| "c-2 failed")??;
        if !dispatcher.is_running() {
            note("verdict: the dispatcher ended");
            return Ok(true);
        }
        let acked = acked.lock().unwrap();
        if !acked.contains(&confirmation) {
            return Err("the confirmation was not run".into());
        }
        if !acked.contains(&lookup) {
            lost += 1;
            note(format!(
                "verdict: {lookup} was accepted (+OK) and never done, though c-2 asked for jobs for seconds"
            ));
        }
    }
    note(format!("verdict: {lost} of {ROUNDS} accepted lookups were lost"));
    Ok(lost > 0)
}
