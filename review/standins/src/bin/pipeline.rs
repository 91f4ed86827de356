//! Case: a client has sent several requests at once on one connection when the dispatcher is told to end.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use review_standins::*;

const RUN_MS: u64 = 850;
const REQUESTS: usize = 6;

type Runs = Arc<Mutex<BTreeMap<String, usize>>>;

fn serve_worker(stream: TcpStream, name: String, runs: Runs, record: Record) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    let chunk = |text: &str| format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
    while let Some(request) = read_message(&mut reader) {
        if request.first_line.starts_with("GET /stats") {
            let body = r#"{"x0":4,"cpu_share":0.1}"#;
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            writer.write_all(format!("{head}{body}").as_bytes()).ok()?;
            continue;
        }
        let id = request.header("x-correlation-id").unwrap_or("").to_owned();
        *runs.lock().unwrap().entry(id.clone()).or_default() += 1;
        record.line(&format!("{name} started {id}"));
        let started = chunk(&format!(r#"{{"id":"{id}","from":"{name}","state":"started"}}"#));
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        writer.write_all(format!("{head}{started}").as_bytes()).ok()?;
        std::thread::sleep(ms(RUN_MS));
        let last = chunk(&format!(r#"{{"id":"{id}","from":"{name}","state":"done","result":"of {id}"}}"#));
        record.line(&format!("{name} ran {id}"));
        writer.write_all(format!("{last}0\r\n\r\n").as_bytes()).ok()?;
    }
    Some(())
}

/// Bytes in the receive buffer of the dispatcher's end of this connection that it has not read, from the system's table.
fn unread_by_dispatcher(listen: SocketAddr, client: SocketAddr) -> Option<u64> {
    let hex = |at: SocketAddr| match at {
        SocketAddr::V4(at) => format!("{:08X}:{:04X}", u32::from_le_bytes(at.ip().octets()), at.port()),
        SocketAddr::V6(_) => String::new(),
    };
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let line = table.lines().find(|line| line.contains(&format!("{} {}", hex(listen), hex(client))))?;
    let queues = line.split_whitespace().nth(4)?;
    u64::from_str_radix(queues.split(':').nth(1)?, 16).ok()
}

fn main() {
    let case = Case::from_env();
    let runs = Runs::default();
    let mut targets = Vec::new();
    for at in 0..3 {
        let listener = listener();
        let name = format!("s-{at}");
        let endpoint = listener.local_addr().unwrap();
        targets.push(Target {
            uid: name.clone(),
            endpoint,
            zone: "bp-vaci".into(),
            kind: "std4".into(),
            rack: 1,
        });
        let (runs, record) = (runs.clone(), case.record.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (name, runs, record) = (name.clone(), runs.clone(), record.clone());
                std::thread::spawn(move || serve_worker(stream, name, runs, record));
            }
        });
    }
    let listen = free_tcp();
    let config = site_config("n0", listen, start_discovery(&targets));
    let mut dispatcher = Dispatcher::new(&case, "n0", &config, "", listen);
    dispatcher.start();
    dispatcher.wait_ready();
    std::thread::sleep(Duration::from_secs(1));
    let stream = TcpStream::connect(listen).unwrap_or_else(|e| quit(&e.to_string()));
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(Duration::from_secs(12))).unwrap();
    let own = stream.local_addr().unwrap();
    let mut connection = BufReader::new(stream);
    let mut text = String::new();
    for at in 0..REQUESTS {
        text += &format!(
            "POST /log-lookup/ha5xx HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: request-{at}\r\nX-Service-Class: log-lookup\r\nX-Time-Left-Ms: 10000\r\nContent-Length: 2\r\n\r\n{at}\n"
        );
    }
    connection.get_mut().write_all(text.as_bytes()).unwrap();
    case.record.say(&format!("{REQUESTS} requests are sent at once on one connection"));
    std::thread::sleep(ms(300));
    let unread = unread_by_dispatcher(listen, own);
    case.record.say(&format!("bytes that the dispatcher has not read of it: {unread:?}"));
    if case.trouble {
        dispatcher.signal("TERM");
        case.record.say("the dispatcher is told to end (SIGTERM)");
    }
    let mut answers = Vec::new();
    while answers.len() < REQUESTS {
        let Some(answer) = read_message(&mut connection) else { break };
        case.record.say(&format!(
            "answer {}: {} {}",
            answers.len(),
            answer.status,
            String::from_utf8_lossy(&answer.body)
        ));
        answers.push(answer.status);
    }
    if case.trouble {
        let ended = dispatcher.wait_end(Duration::from_secs(10));
        case.record.say(&format!("the dispatcher has ended: {ended:?}"));
    }
    drop(dispatcher);
    if unread != Some(0) {
        quit("the dispatcher had not read all requests");
    }
    case.record.say(&format!("{} of {REQUESTS} requests were answered", answers.len()));
    if answers.len() < REQUESTS {
        case.record
            .say("BROKEN: the connection ended with no answer to requests that were read before SIGTERM");
        std::process::exit(1);
    }
    case.record.say("held: every request has its answer");
}
