//! A stand-in Faktory producer and consumer, after the protocol's public specification.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

use serde_json::{json, Value};

use super::world::{config, send, Daemon};

/// The file that turns the front on.
pub const ON: &str = "faktory {\n listen 127.0.0.1:0\n reconnect 100ms\n}\n";

/// A daemon with the Faktory front on, and without any log worker.
pub fn daemon(file: &str) -> Daemon {
    let nowhere = "127.0.0.1:9".parse().expect("an address");
    Daemon::start(&config(nowhere), Some(file))
}

/// A job of this class.
pub fn job(jid: &str, jobtype: &str) -> Value {
    json!({"jid": jid, "jobtype": jobtype, "args": [1, "two"], "queue": "default"})
}

/// One connection.
pub struct Peer {
    from: BufReader<TcpStream>,
}

impl Peer {
    /// Connects without a word.
    pub fn silent(to: SocketAddr) -> Self {
        Peer { from: BufReader::new(send(to, b"")) }
    }

    pub fn producer(to: SocketAddr) -> Self {
        Self::hello(to, json!({"v": 2}))
    }

    pub fn consumer(to: SocketAddr, wid: &str) -> Self {
        Self::hello(to, json!({"v": 2, "wid": wid, "hostname": "h", "pid": 1, "labels": []}))
    }

    fn hello(to: SocketAddr, hello: Value) -> Self {
        let mut peer = Self::silent(to);
        assert_eq!(peer.reply(), "+HI {\"v\":2}");
        assert_eq!(peer.say(&format!("HELLO {hello}")), "+OK");
        peer
    }

    /// Says a command without waiting.
    pub fn tell(&mut self, command: &str) {
        let sent = self.from.get_mut().write_all(format!("{command}\r\n").as_bytes());
        sent.expect("the command is sent");
    }

    /// Says this much more, as it stands, and leaves without reading.
    pub fn part(mut self, last: &str) {
        self.from.get_mut().write_all(last.as_bytes()).expect("sent");
    }

    /// The next reply: a line as it is, bulk bytes as text, and `nil`.
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

    pub fn say(&mut self, command: &str) -> String {
        self.tell(command);
        self.reply()
    }

    pub fn push(&mut self, job: &Value) -> String {
        self.say(&format!("PUSH {job}"))
    }

    /// What a FETCH under way brings, or the next one that brings anything.
    pub fn fetched(&mut self) -> Value {
        let mut reply = self.reply();
        while reply == "nil" {
            reply = self.say("FETCH default");
        }
        serde_json::from_str(&reply).expect("a job")
    }

    pub fn ack(&mut self, jid: &str) -> String {
        self.say(&format!("ACK {}", json!({"jid": jid})))
    }

    pub fn fail(&mut self, jid: &str) -> String {
        self.say(&format!("FAIL {}", json!({"jid": jid, "errtype": "E", "message": "m", "backtrace": []})))
    }

    pub fn beat(&mut self, wid: &str, state: &str) -> String {
        self.say(&format!("BEAT {}", json!({"wid": wid, "current_state": state})))
    }

    /// The figures of INFO.
    pub fn info(&mut self) -> Value {
        let info: Value = serde_json::from_str(&self.say("INFO")).expect("figures");
        info["faktory"].clone()
    }
}
