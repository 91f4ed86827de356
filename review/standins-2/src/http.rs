//! HTTP/1.1 as the protocol page has it: reading messages, clients, log workers and discovery.

use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::world::{note, now};

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|h| h.0.eq_ignore_ascii_case(name)).map(|h| h.1.as_str())
    }
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
    pub fn id(&self) -> &str {
        self.header("x-correlation-id").unwrap_or("")
    }
    pub fn class(&self) -> &str {
        self.path().trim_start_matches('/').split('/').next().unwrap_or("")
    }
}

/// Reads a message with a `Content-Length` or in chunks; `None` if the connection ends before its end.
pub fn read_message(from: &mut impl BufRead) -> Option<Message> {
    let mut line = String::new();
    let mut next = |from: &mut dyn BufRead| {
        line.clear();
        (from.read_line(&mut line).ok()? > 0 && line.ends_with('\n')).then(|| line.trim_end().to_owned())
    };
    let mut message = Message { start: next(from)?, ..Message::default() };
    loop {
        let text = next(from)?;
        let Some((name, value)) = text.split_once(':') else { break };
        message.headers.push((name.trim().into(), value.trim().into()));
    }
    if message.header("transfer-encoding").is_some() {
        loop {
            let size = usize::from_str_radix(next(from)?.split(';').next()?.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            from.read_exact(&mut chunk).ok()?;
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return Some(message);
            }
        }
    }
    let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    message.body.resize(length, 0);
    from.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Asks for a path on a new connection; the status of the answer.
pub fn get(to: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(2)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").ok()?;
    read_message(&mut BufReader::new(stream)).map(|answer| answer.status())
}

/// A fresh id of a request.
pub fn fresh_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", 0x9b1f_0000_0000_0000u64 + NEXT.fetch_add(1, Ordering::Relaxed))
}

/// A job as clients send it.
pub fn job(class: &str, key: &str, id: &str, left_ms: u64) -> String {
    let body = format!("{{\"job\":\"{id}\"}}");
    format!(
        "POST /{class}/{key} HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: {id}\r\n\
         X-Service-Class: {class}\r\nX-Time-Left-Ms: {left_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A client's connection, kept between its requests.
pub struct Client {
    to: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(to: SocketAddr) -> Self {
        Client { to, stream: None }
    }

    /// Sends a job and waits for its answer, for as long as the client waits. The status, or `None` without an answer.
    pub fn send(&mut self, class: &str, key: &str, left_ms: u64) -> (String, Option<u16>) {
        let id = fresh_id();
        let text = job(class, key, &id, left_ms);
        let mut status = None;
        // A close of a resting connection may cross the request: it is sent once more on a new connection.
        for _ in 0..2 {
            let resting = self.stream.is_some();
            if self.stream.is_none() {
                self.stream =
                    TcpStream::connect_timeout(&self.to, Duration::from_secs(2)).ok().map(BufReader::new);
            }
            let Some(stream) = &mut self.stream else { break };
            let _ = stream.get_ref().set_read_timeout(Some(Duration::from_millis(left_ms + 1000)));
            let _ = stream.get_ref().set_nodelay(true);
            note(format!("client: sends {class} {id}"));
            let sent = stream.get_mut().write_all(text.as_bytes()).is_ok();
            let answer = if sent { read_message(stream) } else { None };
            match answer {
                Some(answer) => {
                    status = Some(answer.status());
                    if answer.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close")) {
                        self.stream = None;
                    }
                    break;
                }
                None => self.stream = None,
            }
            if !resting {
                break;
            }
        }
        note(format!("client: answer to {class} {id}: {status:?}"));
        (id, status)
    }
}

/// What a log worker does with a job, on the connection on which it came. False closes the connection.
pub type OnJob = dyn Fn(&Message, &mut TcpStream) -> bool + Send + Sync;

/// A log worker.
pub struct Worker {
    pub uid: String,
    pub address: SocketAddr,
}

impl Worker {
    /// Starts a log worker. `on_job` gets the jobs; probes are answered here.
    pub fn start(uid: &str, on_job: Arc<OnJob>) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        let address = listener.local_addr().expect("an address");
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let on_job = on_job.clone();
                thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    let Ok(writer) = stream.try_clone() else { return };
                    let (mut reader, mut writer) = (BufReader::new(stream), writer);
                    while let Some(request) = read_message(&mut reader) {
                        let keep = if request.start.starts_with("GET /stats") {
                            let text = "x0=4,failed_ps=0,served_ps=1,cpu_share=0.3";
                            write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len())
                                .is_ok()
                        } else {
                            on_job(&request, &mut writer)
                        };
                        if !keep {
                            return;
                        }
                    }
                });
            }
        });
        Worker { uid: uid.into(), address }
    }

    /// Its entry in discovery's list.
    pub fn entry(&self, zone: &str, state: &str) -> String {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"{zone}","model":"std4","pod_group":1,"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#,
            self.uid, self.address
        )
    }
}

/// Begins the chunked answer with which a log worker takes a job.
pub fn take(to: &mut TcpStream) -> bool {
    to.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
        .is_ok()
}

/// Writes one object of that answer; `rest` follows its state.
pub fn tell(to: &mut TcpStream, uid: &str, id: &str, state: &str, rest: &str) -> bool {
    let line = format!("{{\"id\":\"{id}\",\"from\":\"{uid}\",\"state\":\"{state}\"{rest}}}\n");
    write!(to, "{:x}\r\n{line}\r\n", line.len()).is_ok()
}

/// Ends that answer.
pub fn end(to: &mut TcpStream) -> bool {
    to.write_all(b"0\r\n\r\n").is_ok()
}

/// Takes a job and runs it for a time, with the messages of the protocol page; the whole answer.
pub fn serve(to: &mut TcpStream, uid: &str, id: &str, running: Duration) -> bool {
    if !(take(to) && tell(to, uid, id, "started", "")) {
        return false;
    }
    let mut left = running;
    while left > Duration::from_secs(2) {
        thread::sleep(Duration::from_secs(2));
        left -= Duration::from_secs(2);
        let share = 1.0 - left.as_secs_f64() / running.as_secs_f64();
        if !tell(to, uid, id, "running", &format!(",\"share\":{share:.2}")) {
            return false;
        }
    }
    thread::sleep(left);
    tell(to, uid, id, "done", &format!(",\"result\":\"{id} by {uid}\"")) && end(to)
}

/// Discovery: the whole list to whoever asks, and watches that stay open. The list does not change.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<Mutex<DiscoveryState>>,
}

#[derive(Default)]
struct DiscoveryState {
    entries: Vec<(String, String)>,
    watches: Vec<TcpStream>,
}

impl Discovery {
    pub fn start(entries: Vec<(String, String)>) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(Mutex::new(DiscoveryState { entries, watches: Vec::new() }));
        let discovery = Discovery { address, state };
        let (accepting, ticking) = (discovery.clone(), discovery.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = accepting.clone();
                thread::spawn(move || discovery.answer(stream));
            }
        });
        thread::spawn(move || loop {
            thread::sleep(Duration::from_secs(2));
            ticking.write("\n");
        });
        discovery
    }

    fn answer(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            let mut state = self.state.lock().unwrap();
            let list = state.whole();
            if request.path().contains("watch=1") {
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                if write!(writer, "{head}{:x}\r\n{list}\r\n", list.len()).is_ok() {
                    state.watches.push(writer);
                }
                return;
            }
            if write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()).is_err() {
                return;
            }
        }
    }

    fn write(&self, line: &str) {
        let chunk = format!("{:x}\r\n{line}\r\n", line.len());
        self.state.lock().unwrap().watches.retain_mut(|watch| watch.write_all(chunk.as_bytes()).is_ok());
    }

    /// The whole list.
    pub fn list(&self) -> String {
        self.state.lock().unwrap().whole().trim_end().to_owned()
    }
}

impl DiscoveryState {
    fn whole(&self) -> String {
        let entries: Vec<&str> = self.entries.iter().map(|(_, entry)| entry.as_str()).collect();
        format!("{{\"rev\":41,\"all\":true,\"targets\":[{}]}}\n", entries.join(","))
    }
}

/// A small generator of random numbers, so that a case does not depend on other programs.
pub struct Rng(pub u64);

impl Rng {
    /// A number from 0 to below 1.
    pub fn draw(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.draw()
    }
}

/// Sleeps until so many seconds after the start of the case.
pub fn sleep_until(at: f64) {
    let left = at - now();
    if left > 0.0 {
        thread::sleep(Duration::from_secs_f64(left));
    }
}
