//! A log worker turns a job away twice: its second 503 comes milliseconds late, on a connection that by then carries
//! the next job.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{serve, sleep_until, Client, Discovery, Message, Rng, Worker};
use crate::world::{config, note, now, trouble, Dispatcher, Failure};

const AWAY: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
const WORKERS: usize = 4;
/// Bursts of clients, the time between two of them, and how long a burst finds the queues full.
const BURSTS: usize = 24;
const PERIOD: f64 = 1.2;
const FULL_FOR: f64 = 0.010;
/// How late the second answer is.
const LATE: Duration = Duration::from_millis(15);
/// Every so many answers of a log worker that turns away is given twice.
const TWICE_EVERY: u64 = 2;
const FIRST_BURST: f64 = 2.0;

/// Whether a burst has just found the queues full.
fn queues_full() -> bool {
    let since = now() - FIRST_BURST;
    since >= 0.0 && since % PERIOD < FULL_FOR && since < BURSTS as f64 * PERIOD
}

pub fn run() -> Result<bool, Failure> {
    let _ = now();
    let runs: Arc<Mutex<Vec<(String, String, String)>>> = Arc::default();
    let workers: Vec<Worker> = (0..WORKERS)
        .map(|number| {
            let uid = format!("s-{number:08x}");
            let (runs, name, count) = (runs.clone(), uid.clone(), Mutex::new(0u64));
            let on_job = move |request: &Message, to: &mut std::net::TcpStream| {
                let (id, class) = (request.id().to_owned(), request.class().to_owned());
                if queues_full() {
                    note(format!("{name}: turns away {class} {id}"));
                    if to.write_all(AWAY).is_err() {
                        return false;
                    }
                    let count = { let mut count = count.lock().unwrap(); *count += 1; *count };
                    if trouble() && count % TWICE_EVERY == 0 {
                        thread::sleep(LATE);
                        note(format!("{name}: second answer to {class} {id}"));
                        return to.write_all(AWAY).is_ok();
                    }
                    return true;
                }
                note(format!("{name}: runs {class} {id}"));
                runs.lock().unwrap().push((class, id.clone(), name.clone()));
                serve(to, &name, &id, Duration::from_millis(150))
            };
            Worker::start(&uid, Arc::new(on_job))
        })
        .collect();
    let entries = workers.iter().map(|w| (w.uid.clone(), w.entry("bp-vaci", "active"))).collect();
    let discovery = Discovery::start(entries);
    let mut dispatcher = Dispatcher::start("n0", &config(0, 1, discovery.address, &discovery.list()), None)?;
    let address = dispatcher.wait_ready()?;
    if now() > FIRST_BURST - 0.5 {
        return Err("the dispatcher took too long to be ready".into());
    }
    let clients: Vec<_> = (0..8u64)
        .map(|number| {
            thread::spawn(move || {
                let (mut client, mut rng) = (Client::new(address), Rng(0x9e37_79b9 + 77 * number));
                let (mut answers, key) = (Vec::new(), format!("ds-{number}"));
                client.send("log-lookup", &key, 10_000);
                for burst in 0..BURSTS {
                    // Clients of a burst come one after another, within 20 ms.
                    sleep_until(FIRST_BURST + burst as f64 * PERIOD + 0.0025 * number as f64 + rng.between(0.0, 0.002));
                    let class = if rng.draw() < 0.56 { "log-lookup" } else { "qso-confirm" };
                    answers.push(client.send(class, &key, if class == "log-lookup" { 10_000 } else { 20_000 }));
                }
                answers
            })
        })
        .collect();
    let answers: Vec<_> = clients.into_iter().flat_map(|client| client.join().unwrap_or_default()).collect();
    thread::sleep(Duration::from_millis(500));
    let mut by_id: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for (class, id, worker) in runs.lock().unwrap().iter() {
        if class == "qso-confirm" {
            by_id.entry(id.clone()).or_default().push(worker.clone());
        }
    }
    if !dispatcher.is_running() {
        note("verdict: the dispatcher ended");
        return Ok(true);
    }
    if answers.len() < 8 * BURSTS || by_id.is_empty() {
        return Err("the clients did not get through".into());
    }
    let twice: Vec<_> = by_id.iter().filter(|(_, workers)| workers.len() > 1).collect();
    for (id, workers) in &twice {
        note(format!("verdict: qso-confirm {id} ran {} times: {}", workers.len(), workers.join(", ")));
    }
    note(format!("verdict: {} confirmations ran, {} of them more than once", by_id.len(), twice.len()));
    Ok(!twice.is_empty())
}
