//! Machines of Faktory consumers vanish, their connections stay open and silent, and they come back with new ones.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::faktory::{job, Peer};
use crate::http::{sleep_until, Discovery};
use crate::world::{config, note, now, trouble, Dispatcher, Failure};

const OWN_FILE: &str = "faktory {\n    listen 127.0.0.1:0\n}\n";
const CONSUMERS: usize = 10;
/// Connections of one consumer: one for FETCH, one for BEAT, and the rest of its pool.
const POOL: usize = 20;
/// When two consumers vanish, and after how long they are back.
const VANISH_AT: [f64; 2] = [3.0, 14.0];
const AWAY: f64 = 9.5;
/// From then on the front is judged: more than a minute without a sign of those that vanished.
const JUDGED_FROM: f64 = 85.0;
const JUDGED_UNTIL: f64 = 100.0;

/// A consumer that runs until `gone` is set. Its connections are returned, open.
fn consume(address: SocketAddr, wid: String, gone: Arc<AtomicBool>) -> Result<Vec<Peer>, Failure> {
    let connect = |_| Peer::connect(address, &format!("consumer {wid}"), Some(&wid));
    // A consumer that cannot open its whole pool goes on with the connections that it has.
    let mut pool: Vec<Peer> = (0..POOL).map(connect).map_while(Result::ok).collect();
    note(format!("consumer {wid} has {} connections", pool.len()));
    if pool.len() < 2 {
        return Err(format!("{wid} could not connect"));
    }
    let mut beaten = Instant::now();
    while !gone.load(Ordering::Relaxed) {
        if let Some(jid) = pool[0].fetch("default", Duration::ZERO)? {
            thread::sleep(Duration::from_millis(600));
            pool[0].ack(&jid)?;
        }
        if beaten.elapsed() > Duration::from_secs(10) {
            beaten = Instant::now();
            pool[1].call(&format!("BEAT {{\"wid\":\"{wid}\"}}"))?;
        }
    }
    Ok(pool)
}

/// Connects as a producer; whether the server says HI within a time.
fn greeted(address: SocketAddr, within: Duration) -> bool {
    let Ok(stream) = TcpStream::connect_timeout(&address, within) else { return false };
    let _ = stream.set_read_timeout(Some(within));
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).is_ok_and(|_| line.starts_with("+HI"))
}

pub fn run() -> Result<bool, Failure> {
    let _ = now();
    let discovery = Discovery::start(Vec::new());
    let mut dispatcher = Dispatcher::start("n0", &config(0, 1, discovery.address, "null"), Some(OWN_FILE))?;
    let address = dispatcher.address("faktory")?;
    let start = |wid: String| {
        let gone = Arc::new(AtomicBool::new(false));
        let flag = gone.clone();
        (gone, thread::spawn(move || consume(address, wid, flag)))
    };
    let mut consumers: Vec<_> = (0..CONSUMERS).map(|number| start(format!("c-{number}"))).collect();
    thread::sleep(Duration::from_millis(500));
    let mut producer = Peer::connect(address, "producer", None)?;
    let reply = producer.call(&format!("PUSH {}", job("lookup-00000001", "log-lookup", "default")))?;
    if reply != "+OK" {
        return Err(format!("the first lookup was not accepted: {reply}"));
    }
    drop(producer);
    // The connections of those that vanished: open, and nothing is read or written on them any more.
    let mut silent = Vec::new();
    for (incident, at) in VANISH_AT.into_iter().enumerate() {
        sleep_until(at);
        for (number, slot) in consumers.iter_mut().enumerate().skip(2 * incident).take(2) {
            let (gone, thread) = std::mem::replace(slot, (Arc::default(), thread::spawn(|| Ok(Vec::new()))));
            gone.store(true, Ordering::Relaxed);
            let pool = thread.join().map_err(|_| "a consumer failed")??;
            match trouble() {
                true => silent.extend(pool),
                false => drop(pool),
            }
            note(format!(
                "platform: the machine of consumer c-{number} is {}",
                if trouble() { "gone" } else { "stopped in order" }
            ));
            let (back, wid) = (Arc::new(AtomicBool::new(false)), format!("c-{number}-back"));
            let flag = back.clone();
            let returned = thread::spawn(move || {
                sleep_until(at + AWAY);
                note(format!("platform: consumer {wid} comes back"));
                consume(address, wid, flag)
            });
            *slot = (back, returned);
        }
    }
    sleep_until(JUDGED_FROM);
    let (mut tried, mut heard) = (0, 0);
    while now() < JUDGED_UNTIL {
        tried += 1;
        let greeted = greeted(address, Duration::from_secs(4));
        heard += u32::from(greeted);
        note(format!(
            "producer: a new connection {}",
            if greeted { "is served" } else { "hears nothing for 4 s" }
        ));
        thread::sleep(Duration::from_millis(500));
    }
    if !dispatcher.is_running() {
        note("verdict: the dispatcher ended");
        return Ok(true);
    }
    note(format!(
        "verdict: {heard} of {tried} new connections were served; {} silent ones were held open",
        silent.len()
    ));
    Ok(heard == 0)
}
