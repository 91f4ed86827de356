//! Framing of the Faktory work protocol: commands are lines of text, replies are encoded as in RESP.

use std::io;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use rookspoke_memory::{MemoryBudget, Reservation, SMALL_BYTES};
use serde::de::{DeserializeOwned, IgnoredAny};
use serde::Deserialize;
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder, LinesCodec, LinesCodecError};

/// Longest accepted command in bytes, without its line feed.
pub const MAX_COMMAND_LEN: usize = 64 * 1024;
/// Supported version of the protocol.
pub const VERSION: u32 = 2;
/// Accepted lengths of a job id in bytes.
const JID_LEN: std::ops::RangeInclusive<usize> = 8..=256;
/// Seconds for which a consumer may hold a job without `reserve_for`, as the protocol specifies.
const DEFAULT_RESERVE_FOR_S: u64 = 1800;

/// A command of a client.
#[derive(Debug)]
pub enum Command {
    /// Identifies the client; must be the first command.
    Hello(Hello),
    /// Submits a job.
    Push(Box<Job>),
    /// Requests a job from one of these queues, in order of priority.
    Fetch(Vec<String>),
    /// Reports the job with this id as done.
    Ack(String),
    /// Reports the job with this id as failed.
    Fail(String),
    /// Heartbeat of a consumer.
    Beat(Beat),
    /// Requests the statistics of the server.
    Info,
    /// Ends the connection.
    End,
}

/// Identity of a client.
#[derive(Debug, Deserialize)]
pub struct Hello {
    /// Version of the protocol that the client speaks.
    pub v: u32,
    /// Worker id, if the client is a consumer.
    pub wid: Option<String>,
}

/// Heartbeat of a consumer.
#[derive(Debug, Deserialize)]
pub struct Beat {
    /// Worker id of the consumer.
    pub wid: String,
    /// `quiet` or `terminate`, if the consumer accepts no more jobs.
    pub current_state: Option<String>,
}

/// A job: the fields that this server uses, and its text as received.
#[derive(Debug)]
pub struct Job {
    /// Job id.
    pub jid: String,
    /// Type of the job, which is the name of its class.
    pub jobtype: String,
    /// Queue that the job belongs to.
    pub queue: String,
    /// How long a consumer may hold the job before it reports the result.
    pub reserve_for: Duration,
    /// Fields of the `custom` hash for this dispatcher.
    pub custom: Custom,
    /// The whole job, as received.
    pub raw: Bytes,
}

/// The fields of a job's `custom` hash that this dispatcher reads; all others are left to the consumers.
#[derive(Debug, Default, Deserialize)]
pub struct Custom {
    /// Key of the data that the job works on: jobs with the same key are kept together.
    pub key: Option<String>,
    /// Slots that the job occupies.
    pub slots: Option<f64>,
    /// Time until the job's deadline; the default comes from its class.
    pub time_left_ms: Option<u64>,
}

#[derive(Deserialize)]
// Error replies to clients contain this text.
#[serde(expecting = "struct JobFields")]
struct RawJob {
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
// Error replies to clients contain this text.
#[serde(expecting = "struct Jid")]
struct Report {
    jid: String,
}

/// A command that cannot be executed. The connection stays open.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum CommandError {
    /// Longer than [`MAX_COMMAND_LEN`]; the rest of the line is skipped.
    #[error("a command is longer than {MAX_COMMAND_LEN} bytes")]
    TooLong,
    /// Not a command of the protocol, or one that this server does not implement.
    #[error("{0:?} is not supported")]
    Unsupported(String),
    /// The arguments after the verb are invalid.
    #[error("malformed {verb}: {reason}")]
    Malformed {
        /// Verb of the command.
        verb: &'static str,
        /// Description of the error.
        reason: String,
    },
}

fn parse_json<T: DeserializeOwned>(verb: &'static str, text: &str) -> Result<T, CommandError> {
    serde_json::from_str(text).map_err(|e| CommandError::Malformed { verb, reason: e.to_string() })
}

impl Command {
    /// Parses a command line.
    pub fn parse(line: &str) -> Result<Self, CommandError> {
        let (verb, rest) = line.split_once(' ').unwrap_or((line, ""));
        let rest = rest.trim();
        Ok(match verb {
            "HELLO" => Command::Hello(parse_json("HELLO", rest)?),
            "PUSH" => Command::Push(Box::new(Job::parse(rest)?)),
            "FETCH" => {
                let queues: Vec<String> = rest.split_ascii_whitespace().map(str::to_owned).collect();
                Command::Fetch(if queues.is_empty() { vec!["default".into()] } else { queues })
            }
            "ACK" => Command::Ack(parse_json::<Report>("ACK", rest)?.jid),
            "FAIL" => Command::Fail(parse_json::<Report>("FAIL", rest)?.jid),
            "BEAT" => Command::Beat(parse_json("BEAT", rest)?),
            "INFO" => Command::Info,
            "END" => Command::End,
            other => {
                let verb_start = other.chars().take(32).collect();
                return Err(CommandError::Unsupported(verb_start));
            }
        })
    }
}

impl Job {
    fn parse(text: &str) -> Result<Self, CommandError> {
        let malformed = |reason: &str| CommandError::Malformed { verb: "PUSH", reason: reason.into() };
        let fields: RawJob = parse_json("PUSH", text)?;
        if !JID_LEN.contains(&fields.jid.len()) {
            return Err(malformed("jid: 8 to 256 characters"));
        }
        if fields.at.is_some_and(|at| !at.is_empty()) {
            // Jobs are kept in memory only and for seconds, so they cannot be scheduled for later.
            return Err(malformed("at: scheduled jobs are not taken"));
        }
        let custom = fields.custom.unwrap_or_default();
        if custom.slots.is_some_and(|slots| !slots.is_finite() || slots < 0.0) {
            return Err(malformed("custom.slots: 0 or more"));
        }
        Ok(Job {
            jid: fields.jid,
            jobtype: fields.jobtype,
            queue: fields.queue.unwrap_or_else(|| "default".into()),
            reserve_for: Duration::from_secs(fields.reserve_for.unwrap_or(DEFAULT_RESERVE_FOR_S)),
            custom,
            raw: Bytes::copy_from_slice(text.as_bytes()),
        })
    }
}

/// A reply of the server.
#[derive(Debug, PartialEq, Eq)]
pub enum Reply {
    /// Simple string.
    Simple(String),
    /// Error, sent with the prefix `ERR`.
    Error(String),
    /// Bulk string of any bytes.
    Bulk(Bytes),
    /// Null bulk string.
    Nil,
}

impl Reply {
    /// `OK`, the reply to a successful command without a result.
    pub fn ok() -> Self {
        Reply::Simple("OK".into())
    }
}

/// Decodes commands and encodes replies.
pub struct Codec {
    lines: LinesCodec,
    /// Memory of a long command that has been received in part.
    reservation: Reservation,
}

impl Codec {
    /// A codec whose long commands are held within `memory`.
    pub fn new(memory: &MemoryBudget) -> Self {
        Codec { lines: LinesCodec::new_with_max_length(MAX_COMMAND_LEN), reservation: memory.firm() }
    }
}

impl Decoder for Codec {
    type Item = Result<Command, CommandError>;
    type Error = io::Error;

    fn decode(&mut self, bytes: &mut BytesMut) -> io::Result<Option<Self::Item>> {
        match self.lines.decode(bytes) {
            Ok(None) if bytes.len() > SMALL_BYTES => {
                let room = self.reservation.grow(MAX_COMMAND_LEN);
                room.map(|()| None).map_err(|shortage| io::Error::new(io::ErrorKind::OutOfMemory, shortage))
            }
            Ok(line) => {
                self.reservation.shrink(0);
                if bytes.is_empty() {
                    // An idle connection holds no buffer.
                    *bytes = BytesMut::new();
                }
                Ok(line.map(|line| Command::parse(&line)))
            }
            Err(LinesCodecError::MaxLineLengthExceeded) => Ok(Some(Err(CommandError::TooLong))),
            Err(LinesCodecError::Io(error)) => Err(error),
        }
    }

    fn decode_eof(&mut self, bytes: &mut BytesMut) -> io::Result<Option<Self::Item>> {
        // An incomplete line at the end of the stream is not a command.
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
