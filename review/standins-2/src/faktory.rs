//! Producers and consumers of the Faktory work protocol, by its public specification.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::world::{note, Failure};

/// A connection of a producer or a consumer.
pub struct Peer {
    name: String,
    stream: BufReader<TcpStream>,
}

impl Peer {
    /// Connects and says HELLO; `wid` is the name of a consumer.
    pub fn connect(to: SocketAddr, name: &str, wid: Option<&str>) -> Result<Self, Failure> {
        let stream =
            TcpStream::connect_timeout(&to, Duration::from_secs(2)).map_err(|e| format!("{name}: {e}"))?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).map_err(|e| e.to_string())?;
        let _ = stream.set_nodelay(true);
        let mut peer = Peer { name: name.into(), stream: BufReader::new(stream) };
        let hello = match wid {
            Some(wid) => format!("{{\"hostname\":\"h\",\"wid\":\"{wid}\",\"pid\":1,\"labels\":[],\"v\":2}}"),
            None => "{\"hostname\":\"h\",\"v\":2}".into(),
        };
        match (peer.reply()?, peer.call(&format!("HELLO {hello}"))?) {
            (hi, ok) if hi.starts_with("+HI") && ok == "+OK" => {
                // A PUSH may be answered late.
                let timeout = Some(Duration::from_secs(40));
                peer.stream.get_ref().set_read_timeout(timeout).map_err(|e| e.to_string())?;
                Ok(peer)
            }
            (hi, ok) => Err(format!("{name}: {hi}, {ok}")),
        }
    }

    pub fn send(&mut self, command: &str) -> Result<(), Failure> {
        note(format!("{}: {command}", self.name));
        self.stream
            .get_mut()
            .write_all(format!("{command}\r\n").as_bytes())
            .map_err(|e| format!("{}: {e}", self.name))
    }

    /// The next reply: a line as it came, the text of a bulk string, or `nil`.
    pub fn reply(&mut self) -> Result<String, Failure> {
        let mut line = String::new();
        let read = self.stream.read_line(&mut line).map_err(|e| format!("{}: {e}", self.name))?;
        if read == 0 {
            return Err(format!("{}: the connection was closed", self.name));
        }
        let line = line.trim_end().to_owned();
        let text = match line.strip_prefix('$') {
            None => line,
            Some("-1") => "nil".into(),
            Some(length) => {
                let mut bytes = vec![0; length.parse::<usize>().map_err(|e| e.to_string())? + 2];
                self.stream.read_exact(&mut bytes).map_err(|e| format!("{}: {e}", self.name))?;
                String::from_utf8_lossy(&bytes).trim_end().to_owned()
            }
        };
        note(format!("{} hears: {text}", self.name));
        Ok(text)
    }

    pub fn call(&mut self, command: &str) -> Result<String, Failure> {
        self.send(command)?;
        self.reply()
    }

    /// Asks for a job until there is one, or until the server has had none for `within`; the job's id.
    pub fn fetch(&mut self, queue: &str, within: Duration) -> Result<Option<String>, Failure> {
        let give_up = std::time::Instant::now() + within;
        loop {
            let reply = self.call(&format!("FETCH {queue}"))?;
            if let Some(jid) = jid_of(&reply) {
                return Ok(Some(jid));
            }
            if std::time::Instant::now() >= give_up {
                return Ok(None);
            }
        }
    }

    pub fn ack(&mut self, jid: &str) -> Result<String, Failure> {
        self.call(&format!("ACK {{\"jid\":\"{jid}\"}}"))
    }
}

/// The id in the text of a job.
pub fn jid_of(text: &str) -> Option<String> {
    let rest = text.split("\"jid\":\"").nth(1)?;
    Some(rest.split('"').next()?.to_owned())
}

/// The text of a job.
pub fn job(jid: &str, class: &str, queue: &str) -> String {
    format!("{{\"jid\":\"{jid}\",\"jobtype\":\"{class}\",\"args\":[1],\"queue\":\"{queue}\"}}")
}
