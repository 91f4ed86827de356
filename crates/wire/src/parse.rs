//! Input lines.

use std::str::Split;

use base64::prelude::{Engine, BASE64_STANDARD};

use super::{Vocabulary, WireError};
use rookspoke_decisions::{
    AttemptEnd, AttemptUpdate, ClassId, Event, ListScope, Listing, LoadReport, Name, Outcome, Readiness,
    Request, RequestId, Span, TenantId, Time,
};

/// One input line; values that depend on an instance's settings are read with its [`Vocabulary`].
#[derive(Debug)]
pub enum Line<'a> {
    /// A batch begins at this time.
    Batch(Time),
    /// The batch is complete.
    Flush,
    /// The next events are this instance's.
    At(u64),
    /// An instance starts: its seed and its settings pairs.
    Born(u64, Split<'a, char>),
    /// An instance was killed.
    Exit,
    /// A numbered list begins; this many entries follow.
    Sheet(usize, usize),
    /// News of the list for this instance: scope and list number.
    Directory(ListScope, usize),
    /// Any other event.
    Event(Event),
}

struct Fields<'a>(Split<'a, char>);

impl<'a> Fields<'a> {
    fn opt(&mut self) -> Option<&'a str> {
        self.0.next().filter(|v| *v != "-")
    }
    fn text(&mut self, field: &str) -> Result<&'a str, WireError> {
        self.opt().ok_or_else(|| WireError::new(field, "missing"))
    }
    fn opt_num(&mut self, field: &str) -> Result<Option<f64>, WireError> {
        let number = |v: &str| v.parse().ok().filter(|n: &f64| n.is_finite());
        self.opt().map(|v| number(v).ok_or_else(|| unread(field, v))).transpose()
    }
    fn num(&mut self, field: &str) -> Result<f64, WireError> {
        self.opt_num(field)?.ok_or_else(|| WireError::new(field, "missing"))
    }
    fn int<T: std::str::FromStr>(&mut self, field: &str) -> Result<T, WireError> {
        let v = self.text(field)?;
        v.parse().map_err(|_| unread(field, v))
    }
    fn id(&mut self, field: &str) -> Result<RequestId, WireError> {
        let v = self.text(field)?;
        let plain = v.len() == 16 && v.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        let id = u64::from_str_radix(v, 16).ok().filter(|_| plain);
        id.map(RequestId).ok_or_else(|| unread(field, v))
    }
}

fn unread(field: &str, found: &str) -> WireError {
    WireError::new(field, format!("{found:?}"))
}

fn place(names: &[Name], field: &str, name: &str) -> Result<usize, WireError> {
    names.iter().position(|n| n.as_ref() == name).ok_or_else(|| unread(field, name))
}

fn outcome(f: &mut Fields) -> Result<Outcome, WireError> {
    Ok(match f.text("outcome")? {
        "served" => Outcome::Served,
        "server_error" => Outcome::Error,
        "turned_away" => Outcome::TurnedAway,
        "no_answer" => Outcome::NoAnswer,
        "no_connection" => Outcome::NoConnection,
        "connection_lost" => Outcome::ConnectionLost,
        "called_off" => Outcome::Cancelled,
        "not_sent" => Outcome::NotSent,
        v => return Err(unread("outcome", v)),
    })
}

fn load(f: &mut Fields, words: &Vocabulary) -> Result<Option<LoadReport>, WireError> {
    let Some(row) = f.opt() else { return Ok(None) };
    let mut report = LoadReport::default();
    for (column, v) in words.report.iter().zip(row.split(',')) {
        if v == "-" || v.is_empty() {
            continue;
        }
        let value = v.parse().ok().filter(|n: &f64| n.is_finite());
        column.put(&mut report, value.ok_or_else(|| unread("telemetry", row))?);
    }
    Ok(Some(report))
}

fn request(f: &mut Fields, words: &Vocabulary) -> Result<Request, WireError> {
    let id = f.id("ticket")?;
    let class = ClassId(place(&words.classes, "qos", f.text("qos")?)?);
    let hint = f.opt_num("size_hint_ms")?;
    let tenant = match f.opt() {
        None | Some("0") => None,
        Some(_) if words.tenants.is_empty() => None,
        Some(v) => Some(TenantId(place(&words.tenants, "billing", v)?)),
    };
    let slots = f.opt_num("cores_needed")?.unwrap_or(1.0);
    let flags: u32 = f.opt().map_or(Ok(0), |v| v.parse().map_err(|_| unread("flags", v)))?;
    let deadline = Time::from_ms(f.num("not_after_ms")?);
    let memory = f.opt_num("ram_units")?.unwrap_or(0.0);
    let key = f.opt().filter(|k| !k.is_empty()).map(Name::from);
    let work = hint.filter(|_| flags & 1 != 0).map(Span::from_ms);
    Ok(Request {
        id,
        class,
        tenant,
        key,
        idempotency_hash: None,
        work,
        slots: slots.max(0.0),
        memory: memory.max(0.0),
        deadline,
    })
}

/// Reads one line. `words` are those of the instance last named by `at`; without one, an event that
/// belongs to an instance is an error.
pub fn parse_line<'a>(line: &'a str, words: Option<&Vocabulary>) -> Result<Line<'a>, WireError> {
    let mut f = Fields(line.split('\t'));
    let message = f.0.next().unwrap_or_default();
    let known = || words.ok_or_else(|| WireError::new("at", format!("{message} for an instance not born")));
    let event = match message {
        "batch" => return Ok(Line::Batch(Time::from_ms(f.num("clock_ms")?))),
        "flush" => return Ok(Line::Flush),
        "at" => return Ok(Line::At(f.int("who")?)),
        "born" => return Ok(Line::Born(f.int("rng_seed")?, f.0)),
        "exit" => known().map(|_| Line::Exit)?,
        "sheet" => return Ok(Line::Sheet(f.int("buffer")?, f.int("lines")?)),
        "directory_update" => {
            known()?;
            let scope = match f.text("scope")? {
                "diff" => ListScope::Changes,
                "snapshot" => ListScope::Complete,
                "disk" => ListScope::Remembered,
                "error" => ListScope::Failed,
                v => return Err(unread("scope", v)),
            };
            let _version = f.opt_num("epoch")?;
            let buffer = match scope {
                ListScope::Failed => 0,
                _ => f.int("buffer")?,
            };
            return Ok(Line::Directory(scope, buffer));
        }
        "job_in" => Line::Event(Event::Request(request(&mut f, known()?)?)),
        "ack_first" => {
            known()?;
            Line::Event(Event::StreamStarted { request: f.id("ticket")?, attempt: f.int("n")? })
        }
        "heartbeat" => {
            known()?;
            let (request, attempt) = (f.id("ticket")?, f.int("n")?);
            f.text("worker")?;
            let update = match f.int("what")? {
                1 => AttemptUpdate::Started,
                2 => AttemptUpdate::Progress(f.opt_num("level")?.unwrap_or(0.0)),
                _ => AttemptUpdate::Other,
            };
            Line::Event(Event::AttemptUpdate { request, attempt, update })
        }
        "report_back" => {
            let words = known()?;
            let (request, attempt) = (f.id("ticket")?, f.int("n")?);
            f.text("worker")?;
            let outcome = outcome(&mut f)?;
            let latency = Span::from_ms(f.opt_num("time_taken_ms")?.unwrap_or(0.0));
            let closed = match f.text("terminal")? {
                "1" => true,
                "0" => false,
                v => return Err(unread("terminal", v)),
            };
            f.opt();
            let load = load(&mut f, words)?;
            Line::Event(Event::Outcome(AttemptEnd { request, attempt, outcome, latency, closed, load }))
        }
        "lapsed" => {
            known()?;
            Line::Event(Event::ClientGone(f.id("ticket")?))
        }
        "ring" => {
            known()?;
            Line::Event(Event::Timer(f.int("nonce")?))
        }
        "check_result" => {
            let words = known()?;
            let worker = f.text("worker")?.into();
            let outcome = outcome(&mut f)?;
            let latency = Span::from_ms(f.opt_num("time_taken_ms")?.unwrap_or(0.0));
            Line::Event(Event::Probed { worker, outcome, latency, load: load(&mut f, words)? })
        }
        "neighbour_says" => {
            known()?;
            let from = f.int("sender")?;
            let text = f.opt().unwrap_or_default();
            let content = BASE64_STANDARD.decode(text).map_err(|_| unread("content", text))?;
            Line::Event(Event::Peer { from, content })
        }
        other => return Err(WireError::new("message", format!("{other:?} is not known"))),
    };
    Ok(event)
}

/// Reads one entry of a numbered list.
pub fn parse_listing(line: &str) -> Result<Listing, WireError> {
    let mut f = Fields(line.split('\t'));
    match f.0.next() {
        Some("item") => {}
        other => return Err(unread("item", other.unwrap_or_default())),
    }
    let kind = f.opt().unwrap_or_default().into();
    let zone = f.opt().unwrap_or_default().into();
    let started = f.opt_num("since_ms")?.filter(|ms| *ms != 0.0).map(Time::from_ms);
    let weight = f.opt_num("capacity_hint")?.unwrap_or(1.0);
    let worker = f.text("worker")?.into();
    let readiness = match f.text("readiness")? {
        "in_service" => Readiness::InService,
        "terminating" => Readiness::Draining,
        "terminated" => Readiness::Gone,
        v => return Err(unread("readiness", v)),
    };
    let cell = f.opt().map(|v| v.parse().map_err(|_| unread("block", v))).transpose()?;
    Ok(Listing { worker, kind, zone, cell, started, weight, readiness })
}
