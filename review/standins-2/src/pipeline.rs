//! A client sends several requests at once on one connection.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{fresh_id, job, read_message, serve, Discovery, Message, Worker};
use crate::world::{config, note, now, trouble, Dispatcher, Failure};

const WORKERS: usize = 6;
const CLIENTS: usize = 3;
/// Requests that a client sends at once, the time that it waits for each, and how long a job runs.
const AT_ONCE: usize = 6;
const TIME_LEFT_MS: u64 = 10_000;
const RUNNING: Duration = Duration::from_millis(2300);
/// A request that is answered later than this after its time, or never, is lost.
const LOST_AFTER: f64 = 0.55;
/// An attempt may tell its log worker this much more than is left to the client.
const TOLD_SLACK: f64 = 0.15;

/// When each request was sent, and what its log worker was told of the time that is left, and when.
#[derive(Default)]
struct Seen {
    sent: Vec<(String, f64)>,
    told: Vec<(String, f64, f64)>,
}

pub fn run() -> Result<bool, Failure> {
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let workers: Vec<Worker> = (0..WORKERS)
        .map(|number| {
            let uid = format!("s-{number:08x}");
            let (seen, name) = (seen.clone(), uid.clone());
            Worker::start(
                &uid,
                Arc::new(move |request: &Message, to: &mut TcpStream| {
                    let left =
                        request.header("x-time-left-ms").and_then(|v| v.parse::<f64>().ok()).unwrap_or(0.0);
                    note(format!("{name}: runs {}, told that {left} ms are left", request.id()));
                    seen.lock().unwrap().told.push((request.id().into(), now(), left / 1000.0));
                    serve(to, &name, request.id(), RUNNING)
                }),
            )
        })
        .collect();
    let entries = workers.iter().map(|w| (w.uid.clone(), w.entry("bp-vaci", "active"))).collect();
    let discovery = Discovery::start(entries);
    let mut dispatcher = Dispatcher::start("n0", &config(0, 1, discovery.address, &discovery.list()), None)?;
    let address = dispatcher.wait_ready()?;
    thread::sleep(Duration::from_millis(1500));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let seen = seen.clone();
            thread::spawn(move || -> Result<Vec<(String, f64)>, Failure> {
                let connections = if trouble() { 1 } else { AT_ONCE };
                let requests: Vec<String> = (0..AT_ONCE).map(|_| fresh_id()).collect();
                let mut streams = Vec::new();
                for _ in 0..connections {
                    let stream = TcpStream::connect(address).map_err(|e| e.to_string())?;
                    stream.set_read_timeout(Some(Duration::from_secs(25))).map_err(|e| e.to_string())?;
                    streams.push(stream);
                }
                for (number, id) in requests.iter().enumerate() {
                    let text = job("qso-confirm", &format!("ds-{client}-{number}"), id, TIME_LEFT_MS);
                    streams[number % connections].write_all(text.as_bytes()).map_err(|e| e.to_string())?;
                    note(format!("client {client}: sends {id} on connection {}", number % connections));
                    seen.lock().unwrap().sent.push((id.clone(), now()));
                }
                let readers = streams.into_iter().enumerate().map(|(connection, stream)| {
                    let of =
                        requests.iter().skip(connection).step_by(connections).cloned().collect::<Vec<_>>();
                    thread::spawn(move || {
                        let mut stream = BufReader::new(stream);
                        let mut answers = Vec::new();
                        for id in of {
                            let Some(answer) = read_message(&mut stream) else { break };
                            note(format!("client {client}: answer to {id}: {}", answer.status()));
                            answers.push((id, now()));
                        }
                        answers
                    })
                });
                let readers: Vec<_> = readers.collect();
                Ok(readers.into_iter().flat_map(|reader| reader.join().unwrap_or_default()).collect())
            })
        })
        .collect();
    let mut answers = Vec::new();
    for client in clients {
        answers.extend(client.join().map_err(|_| "a client failed")??);
    }
    if !dispatcher.is_running() {
        note("verdict: the dispatcher ended");
        return Ok(true);
    }
    let seen = seen.lock().unwrap();
    let (mut lost, mut overtold) = (0, 0);
    for (id, sent) in &seen.sent {
        let until = sent + TIME_LEFT_MS as f64 / 1000.0;
        match answers.iter().find(|(other, _)| other == id) {
            Some((_, at)) if *at <= until + LOST_AFTER => {}
            Some((_, at)) => {
                lost += 1;
                note(format!("verdict: {id} was answered {:.2} s after its time", at - until));
            }
            None => {
                lost += 1;
                note(format!("verdict: {id} was never answered"));
            }
        }
        for (_, at, left) in seen.told.iter().filter(|told| told.0 == *id) {
            if at + left > until + TOLD_SLACK {
                overtold += 1;
                note(format!(
                    "verdict: the log worker of {id} was told {:.2} s more than was left",
                    at + left - until
                ));
            }
        }
    }
    note(format!(
        "verdict: of {} requests {lost} were lost, {overtold} attempts were told too much",
        seen.sent.len()
    ));
    Ok(lost > 0)
}
