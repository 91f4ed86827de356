//! The frames of the Faktory work protocol: commands are lines, replies are in the form of RESP.

use std::io;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use serde::de::{DeserializeOwned, IgnoredAny};
use serde::Deserialize;
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder, LinesCodec, LinesCodecError};

/// The longest command, its end included.
pub const MAX_FRAME: usize = 64 * 1024;
/// The version of the protocol that is spoken here.
pub const VERSION: u32 = 2;
/// The shortest and the longest id of a job.
const JID: std::ops::RangeInclusive<usize> = 8..=256;
/// How long a consumer may hold a job that says nothing else, as the specification has it.
const RESERVE_FOR: u64 = 1800;

/// What a client says.
#[derive(Debug)]
pub enum Command {
    /// Who it is; the first command of all.
    Hello(Hello),
    /// Hands in a job.
    Push(Box<Job>),
    /// Asks for a job of one of these queues, the first the most urgent.
    Fetch(Vec<String>),
    /// Reports a job done.
    Ack(String),
    /// Reports a job failed.
    Fail(String),
    /// Shows that a consumer lives.
    Beat(Beat),
    /// Asks for figures.
    Info,
    /// Says farewell.
    End,
}

/// Who a client is.
#[derive(Debug, Deserialize)]
pub struct Hello {
    /// The version it speaks.
    pub v: u32,
    /// Its name, if it is a consumer.
    pub wid: Option<String>,
}

/// A consumer's sign of life.
#[derive(Debug, Deserialize)]
pub struct Beat {
    /// Its name.
    pub wid: String,
    /// `quiet` or `terminate`, when it wants nothing new.
    pub current_state: Option<String>,
}

/// A job: the fields that matter here, and the bytes that came.
#[derive(Debug)]
pub struct Job {
    /// Its id.
    pub jid: String,
    /// Its type, which names its class.
    pub jobtype: String,
    /// The queue it belongs to.
    pub queue: String,
    /// How long a consumer may hold it.
    pub reserve_for: Duration,
    /// What only this dispatcher reads of it.
    pub custom: Custom,
    /// The whole job, as it came.
    pub raw: Bytes,
}

/// What a job's `custom` hash may say to this dispatcher; the rest is the consumers' business.
#[derive(Debug, Default, Deserialize)]
pub struct Custom {
    /// What the job is about: jobs of one key go together.
    pub key: Option<String>,
    /// Slots it takes.
    pub slots: Option<f64>,
    /// How long it is worth doing; otherwise its class says.
    pub time_left_ms: Option<u64>,
}

#[derive(Deserialize)]
struct JobFields {
    jid: String,
    jobtype: String,
    #[allow(dead_code)]
    args: Vec<IgnoredAny>,
    queue: Option<String>,
    reserve_for: Option<u64>,
    at: Option<String>,
    custom: Option<Custom>,
}

#[derive(Deserialize)]
struct Jid {
    jid: String,
}

/// A command that cannot be carried out; the connection goes on.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum BadCommand {
    /// Longer than is taken; what is left of it is passed over.
    #[error("a command is longer than {MAX_FRAME} bytes")]
    TooLong,
    /// Not a command of the protocol, or one that is not offered here.
    #[error("{0:?} is not supported")]
    Unsupported(String),
    /// What follows the verb makes no sense.
    #[error("malformed {verb}: {why}")]
    Malformed {
        /// The verb.
        verb: &'static str,
        /// What is wrong.
        why: String,
    },
}

fn json<T: DeserializeOwned>(verb: &'static str, text: &str) -> Result<T, BadCommand> {
    serde_json::from_str(text).map_err(|e| BadCommand::Malformed { verb, why: e.to_string() })
}

impl Command {
    /// Reads a command from its line.
    pub fn read(line: &str) -> Result<Self, BadCommand> {
        let (verb, rest) = line.split_once(' ').unwrap_or((line, ""));
        let rest = rest.trim();
        Ok(match verb {
            "HELLO" => Command::Hello(json("HELLO", rest)?),
            "PUSH" => Command::Push(Box::new(Job::read(rest)?)),
            "FETCH" => {
                let queues: Vec<String> = rest.split_ascii_whitespace().map(str::to_owned).collect();
                Command::Fetch(if queues.is_empty() { vec!["default".into()] } else { queues })
            }
            "ACK" => Command::Ack(json::<Jid>("ACK", rest)?.jid),
            "FAIL" => Command::Fail(json::<Jid>("FAIL", rest)?.jid),
            "BEAT" => Command::Beat(json("BEAT", rest)?),
            "INFO" => Command::Info,
            "END" => Command::End,
            other => {
                let shown = other.chars().take(32).collect();
                return Err(BadCommand::Unsupported(shown));
            }
        })
    }
}

impl Job {
    fn read(text: &str) -> Result<Self, BadCommand> {
        let bad = |why: &str| BadCommand::Malformed { verb: "PUSH", why: why.into() };
        let fields: JobFields = json("PUSH", text)?;
        if !JID.contains(&fields.jid.len()) {
            return Err(bad("jid: 8 to 256 characters"));
        }
        if fields.at.is_some_and(|at| !at.is_empty()) {
            // Jobs here live in memory alone and for seconds: none can be kept for later.
            return Err(bad("at: scheduled jobs are not taken"));
        }
        let custom = fields.custom.unwrap_or_default();
        if custom.slots.is_some_and(|slots| !slots.is_finite() || slots < 0.0) {
            return Err(bad("custom.slots: 0 or more"));
        }
        Ok(Job {
            jid: fields.jid,
            jobtype: fields.jobtype,
            queue: fields.queue.unwrap_or_else(|| "default".into()),
            reserve_for: Duration::from_secs(fields.reserve_for.unwrap_or(RESERVE_FOR)),
            custom,
            raw: Bytes::copy_from_slice(text.as_bytes()),
        })
    }
}

/// What the server says.
#[derive(Debug, PartialEq, Eq)]
pub enum Reply {
    /// A short text.
    Simple(String),
    /// A refusal or an error.
    Error(String),
    /// Bytes of any kind.
    Bulk(Bytes),
    /// Nothing.
    Nil,
}

impl Reply {
    /// The usual reply.
    pub fn ok() -> Self {
        Reply::Simple("OK".into())
    }
}

/// Cuts what comes into commands and words the replies.
pub struct Codec(LinesCodec);

impl Default for Codec {
    fn default() -> Self {
        Codec(LinesCodec::new_with_max_length(MAX_FRAME))
    }
}

impl Decoder for Codec {
    type Item = Result<Command, BadCommand>;
    type Error = io::Error;

    fn decode(&mut self, bytes: &mut BytesMut) -> io::Result<Option<Self::Item>> {
        match self.0.decode(bytes) {
            Ok(line) => Ok(line.map(|line| Command::read(&line))),
            Err(LinesCodecError::MaxLineLengthExceeded) => Ok(Some(Err(BadCommand::TooLong))),
            Err(LinesCodecError::Io(error)) => Err(error),
        }
    }

    fn decode_eof(&mut self, bytes: &mut BytesMut) -> io::Result<Option<Self::Item>> {
        // A line that the end cuts off is no command.
        self.decode(bytes)
    }
}

impl Encoder<Reply> for Codec {
    type Error = io::Error;

    fn encode(&mut self, reply: Reply, out: &mut BytesMut) -> io::Result<()> {
        let one_line = |text: &str| text.replace(['\r', '\n'], " ");
        match reply {
            Reply::Simple(text) => out.put_slice(format!("+{}\r\n", one_line(&text)).as_bytes()),
            Reply::Error(text) => out.put_slice(format!("-ERR {}\r\n", one_line(&text)).as_bytes()),
            Reply::Bulk(bytes) => {
                out.put_slice(format!("${}\r\n", bytes.len()).as_bytes());
                out.put_slice(&bytes);
                out.put_slice(b"\r\n");
            }
            Reply::Nil => out.put_slice(b"$-1\r\n"),
        }
        Ok(())
    }
}
