//! Stand-in Faktory producers and consumers, which follow the protocol's public specification.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

use serde_json::{json, Value};

use super::world::{platform_config, send, wait_for, Daemon};

/// A configuration file that enables the Faktory front.
pub const FRONT_ENABLED: &str = "faktory {\n listen 127.0.0.1:0\n reconnect 100ms\n}\n";

/// [`FRONT_ENABLED`] with further settings of the section `faktory`.
pub fn front_with(settings: &str) -> String {
    FRONT_ENABLED.replace('}', &format!(" {settings}\n}}"))
}

/// Starts a daemon whose Faktory front is enabled by this configuration file, and which reaches no log worker.
pub fn start_daemon(config_file: &str) -> Daemon {
    let unreachable_discovery = "127.0.0.1:9".parse().expect("an address");
    Daemon::start(&platform_config(unreachable_discovery), Some(config_file))
}

/// A job whose type (`jobtype`) names its class.
pub fn job(jid: &str, jobtype: &str) -> Value {
    json!({"jid": jid, "jobtype": jobtype, "args": [1, "two"], "queue": "default"})
}

/// A connection of a producer or consumer.
pub struct Peer {
    from: BufReader<TcpStream>,
}

impl Peer {
    /// Connects and sends nothing.
    pub fn connect(to: SocketAddr) -> Self {
        Peer { from: BufReader::new(send(to, b"")) }
    }

    /// Connects and sends the HELLO of a producer, which has no worker id.
    pub fn producer(to: SocketAddr) -> Self {
        Self::hello(to, json!({"v": 2}))
    }

    /// Connects and sends the HELLO of a consumer with this worker id.
    pub fn consumer(to: SocketAddr, wid: &str) -> Self {
        Self::hello(to, json!({"v": 2, "wid": wid, "hostname": "h", "pid": 1, "labels": []}))
    }

    fn hello(to: SocketAddr, hello: Value) -> Self {
        let mut peer = Self::connect(to);
        assert_eq!(peer.reply(), "+HI {\"v\":2}");
        assert_eq!(peer.call(&format!("HELLO {hello}")), "+OK");
        peer
    }

    /// Sends a command without waiting for its reply.
    pub fn send(&mut self, command: &str) {
        let sent = self.from.get_mut().write_all(format!("{command}\r\n").as_bytes());
        sent.expect("the command is sent");
    }

    /// Sends the beginning of a command, and nothing after it. The daemon may close the connection meanwhile.
    pub fn send_part(&mut self, command: &str) {
        let _ = self.from.get_mut().write_all(command.as_bytes());
    }

    /// Sends these last bytes, unchanged, and closes the connection without reading. The connection is shut down: to drop
    /// it alone leaves it open while a process that another test starts still has a copy of the socket.
    pub fn send_and_close(mut self, bytes: &str) {
        self.from.get_mut().write_all(bytes.as_bytes()).expect("sent");
        self.from.get_ref().shutdown(Shutdown::Both).expect("the connection is shut down");
    }

    /// Reads the next reply: a simple line unchanged, a bulk string as text, or `nil` for a null bulk string.
    pub fn reply(&mut self) -> String {
        let mut line = String::new();
        self.from.read_line(&mut line).expect("a reply");
        let line = line.trim_end();
        let Some(length) = line.strip_prefix('$') else { return line.into() };
        let Ok(length) = length.parse::<usize>() else { return "nil".into() };
        let mut bytes = vec![0; length + 2];
        self.from.read_exact(&mut bytes).expect("bulk bytes");
        String::from_utf8(bytes).expect("text").trim_end().into()
    }

    /// Sends a command and reads its reply.
    pub fn call(&mut self, command: &str) -> String {
        self.send(command);
        self.reply()
    }

    pub fn push(&mut self, job: &Value) -> String {
        self.call(&format!("PUSH {job}"))
    }

    /// Reads the job that answers a pending FETCH; on `nil` it sends FETCH again until a job comes.
    pub fn fetch_pending(&mut self) -> Value {
        let mut reply = self.reply();
        while reply == "nil" {
            reply = self.call("FETCH default");
        }
        serde_json::from_str(&reply).expect("a job")
    }

    /// Reads the reply to a pending FETCH and sends the next one; `None` if the reply is no job.
    pub fn reply_to_fetch(&mut self) -> Option<Value> {
        let reply = self.reply();
        let job = serde_json::from_str(&reply).ok();
        if job.is_none() {
            self.send("FETCH default");
        }
        job
    }

    pub fn ack(&mut self, jid: &str) -> String {
        self.call(&format!("ACK {}", json!({"jid": jid})))
    }

    pub fn fail(&mut self, jid: &str) -> String {
        self.call(&format!("FAIL {}", json!({"jid": jid, "errtype": "E", "message": "m", "backtrace": []})))
    }

    pub fn beat(&mut self, wid: &str, state: &str) -> String {
        self.call(&format!("BEAT {}", json!({"wid": wid, "current_state": state})))
    }

    /// The `faktory` object of the reply to INFO.
    pub fn info(&mut self) -> Value {
        let info: Value = serde_json::from_str(&self.call("INFO")).expect("JSON");
        info["faktory"].clone()
    }
}

/// Pushes a job that this consumer fetches. The consumer must have sent FETCH; should that have ended without a job
/// meanwhile, it is sent again.
pub fn deliver(producer: &mut Peer, consumer: &mut Peer, job: &Value) {
    producer.send(&format!("PUSH {job}"));
    assert_eq!(consumer.fetch_pending(), *job);
    assert_eq!(producer.reply(), "+OK");
}

/// Connects a consumer and sends FETCH; returns once the daemon lists the consumer as waiting for a job.
pub fn fetching_consumer(daemon: &Daemon, wid: &str) -> Peer {
    let to = daemon.address("faktory");
    let mut consumer = Peer::consumer(to, wid);
    consumer.send("FETCH default");
    let mut observer = Peer::producer(to);
    wait_for("the consumer", || observer.info()["listed"].as_array()?.iter().any(|w| w == wid).then_some(()));
    consumer
}
