//! Bad clients stop in the middle of long requests and stay, while the platform holds the dispatcher to its memory limit.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::http::{fresh_id, serve, sleep_until, Client, Discovery, Message, Rng, Worker};
use crate::world::{config, note, now, trouble, Dispatcher, Failure};

const WORKERS: usize = 6;
/// The limits that the configuration states: the least memory and the most descriptors of the pages' ranges.
const MEMORY_MB: u64 = 32;
/// Bad clients, how many waves of them come, and what they send of a body of the largest size.
const BAD_CLIENTS: usize = 330;
const WAVES: [f64; 2] = [4.0, 9.0];
const ANNOUNCED: usize = 65_536;
const SENT: usize = 65_000;
const UNTIL: f64 = 15.0;

/// The memory of a process that belongs to it alone, in kB.
fn own_memory_kb(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let field = |name: &str| -> Option<u64> {
        status.lines().find_map(|line| line.strip_prefix(name))?.split_whitespace().next()?.parse().ok()
    };
    Some(field("RssAnon:")? + field("RssShmem:").unwrap_or(0))
}

/// Sends the first part of a request and waits until the dispatcher ends the connection, for 6 s at most.
fn bad_client(address: SocketAddr) {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(2)) else { return };
    let _ = stream.set_write_timeout(Some(Duration::from_secs(2)));
    let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
    let head = format!(
        "POST /log-lookup/ds-bad HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: {}\r\n\
         X-Service-Class: log-lookup\r\nX-Time-Left-Ms: 10000\r\nContent-Length: {ANNOUNCED}\r\n\r\n",
        fresh_id()
    );
    if stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&vec![b'x'; SENT])).is_ok() {
        let _ = stream.read(&mut [0; 512]);
    }
}

pub fn run() -> Result<bool, Failure> {
    let _ = now();
    let workers: Vec<Worker> = (0..WORKERS)
        .map(|number| {
            let uid = format!("s-{number:08x}");
            let name = uid.clone();
            Worker::start(
                &uid,
                Arc::new(move |request: &Message, to: &mut TcpStream| {
                    note(format!("{name}: runs {} {}", request.class(), request.id()));
                    serve(to, &name, request.id(), Duration::from_millis(600))
                }),
            )
        })
        .collect();
    let entries = workers.iter().map(|w| (w.uid.clone(), w.entry("bp-vaci", "active"))).collect();
    let discovery = Discovery::start(entries);
    let stated = config(0, 1, discovery.address, &discovery.list());
    let stated = stated.replace("\"memory_mb\":192", &format!("\"memory_mb\":{MEMORY_MB}"));
    let dispatcher = Dispatcher::start("n0", &stated, None)?;
    let address = dispatcher.wait_ready()?;
    let (ended, most, pid) =
        (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)), dispatcher.pid());
    // The platform: over its memory, the dispatcher is killed.
    let platform = thread::spawn({
        let (ended, most) = (ended.clone(), most.clone());
        move || {
            while !ended.load(Ordering::Relaxed) {
                let used = own_memory_kb(pid).unwrap_or(0);
                most.fetch_max(used, Ordering::Relaxed);
                if used > MEMORY_MB * 1024 {
                    note(format!("platform: SIGKILL to n0, which uses {used} kB"));
                    let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
                    return Some(used);
                }
                thread::sleep(Duration::from_millis(20));
            }
            None
        }
    });
    let clients: Vec<_> = (0..6u64)
        .map(|number| {
            thread::spawn(move || {
                let (mut client, mut rng) = (Client::new(address), Rng(0x2545_f491 + 31 * number));
                let (mut served, mut unanswered) = (0u32, 0u32);
                while now() < UNTIL {
                    let class = if rng.draw() < 0.56 { "log-lookup" } else { "qso-confirm" };
                    match client.send(class, &format!("ds-{number}"), 10_000).1 {
                        Some(200) => served += 1,
                        Some(_) => {}
                        None => {
                            unanswered += 1;
                            break;
                        }
                    }
                    thread::sleep(Duration::from_secs_f64(rng.between(0.05, 0.3)));
                }
                (served, unanswered)
            })
        })
        .collect();
    for wave in WAVES.into_iter().filter(|_| trouble()) {
        sleep_until(wave);
        note(format!("{BAD_CLIENTS} bad clients send {SENT} of {ANNOUNCED} bytes of a body, and stay"));
        let bad: Vec<_> = (0..BAD_CLIENTS).map(|_| thread::spawn(move || bad_client(address))).collect();
        bad.into_iter().for_each(|client| drop(client.join()));
    }
    sleep_until(UNTIL - 3.0);
    ended.store(true, Ordering::Relaxed);
    let killed = platform.join().map_err(|_| "the platform failed")?;
    if let Some(used) = killed {
        note(format!(
            "verdict: the dispatcher used {used} kB of its {} kB, and was killed",
            MEMORY_MB * 1024
        ));
    }
    let totals: Vec<(u32, u32)> =
        clients.into_iter().map(|client| client.join().unwrap_or_default()).collect();
    let (served, unanswered) = totals.iter().fold((0, 0), |sum, of| (sum.0 + of.0, sum.1 + of.1));
    if served == 0 {
        return Err("no usual client was served".into());
    }
    note(format!(
        "verdict: at most {} kB used; {served} jobs served, {unanswered} without an answer",
        most.load(Ordering::Relaxed)
    ));
    Ok(killed.is_some())
}
