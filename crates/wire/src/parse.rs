//! Parses the input lines of the simulator's protocol: a message name and its fields, separated by tabs.

use std::str::Split;

use base64::prelude::{Engine, BASE64_STANDARD};

use super::{Vocabulary, WireError};
use rookspoke_decisions::{
    AttemptEnd, AttemptUpdate, ClassId, Event, ListScope, Listing, LoadReport, Name, Outcome, Readiness,
    Request, RequestId, Span, TenantId, Time,
};

/// An input line. Values that depend on an instance's settings are parsed with its [`Vocabulary`].
#[derive(Debug)]
pub enum Line<'a> {
    /// Start of a batch of events, and the current time.
    Batch(Time),
    /// End of the batch; the reply is due.
    Flush,
    /// Selects the instance that the following lines are for.
    SelectInstance(u64),
    /// Starts the selected instance, with a seed and its settings as `key=value` pairs.
    Start(u64, Split<'a, char>),
    /// The selected instance was killed.
    Killed,
    /// Start of a list of log workers: the number of its buffer, and the count of entry lines that follow.
    List(usize, usize),
    /// A list update for the selected instance: its scope, and the number of the buffer with its entries.
    ListUpdate(ListScope, usize),
    /// Any other event for the selected instance.
    Event(Event),
}

/// The remaining fields of a line.
struct Fields<'a>(Split<'a, char>);

impl<'a> Fields<'a> {
    /// The next field. `-` stands for an absent value.
    fn optional(&mut self) -> Option<&'a str> {
        self.0.next().filter(|value| *value != "-")
    }
    fn text(&mut self, field: &str) -> Result<&'a str, WireError> {
        self.optional().ok_or_else(|| WireError::new(field, "missing"))
    }
    fn optional_number(&mut self, field: &str) -> Result<Option<f64>, WireError> {
        let parse = |value: &str| value.parse().ok().filter(|number: &f64| number.is_finite());
        self.optional().map(|value| parse(value).ok_or_else(|| invalid(field, value))).transpose()
    }
    fn number(&mut self, field: &str) -> Result<f64, WireError> {
        self.optional_number(field)?.ok_or_else(|| WireError::new(field, "missing"))
    }
    fn integer<T: std::str::FromStr>(&mut self, field: &str) -> Result<T, WireError> {
        let value = self.text(field)?;
        value.parse().map_err(|_| invalid(field, value))
    }
    /// A request id: exactly 16 lower-case hexadecimal digits.
    fn request_id(&mut self, field: &str) -> Result<RequestId, WireError> {
        let value = self.text(field)?;
        let is_hex = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        let well_formed = value.len() == 16 && value.bytes().all(is_hex);
        let id = u64::from_str_radix(value, 16).ok().filter(|_| well_formed);
        id.map(RequestId).ok_or_else(|| invalid(field, value))
    }
}

fn invalid(field: &str, found: &str) -> WireError {
    WireError::new(field, format!("{found:?}"))
}

/// The index of a name in a list of the settings.
fn index_of(names: &[Name], field: &str, name: &str) -> Result<usize, WireError> {
    names.iter().position(|known| known.as_ref() == name).ok_or_else(|| invalid(field, name))
}

fn parse_outcome(fields: &mut Fields) -> Result<Outcome, WireError> {
    Ok(match fields.text("outcome")? {
        "served" => Outcome::Served,
        "server_error" => Outcome::Error,
        "turned_away" => Outcome::TurnedAway,
        "no_answer" => Outcome::NoAnswer,
        "no_connection" => Outcome::NoConnection,
        "connection_lost" => Outcome::ConnectionLost,
        "called_off" => Outcome::Cancelled,
        "not_sent" => Outcome::NotSent,
        other => return Err(invalid("outcome", other)),
    })
}

/// Parses a load report: numbers separated by commas, in the order of the report columns of the settings.
/// Columns without a value are skipped.
fn parse_load(fields: &mut Fields, vocabulary: &Vocabulary) -> Result<Option<LoadReport>, WireError> {
    let Some(row) = fields.optional() else { return Ok(None) };
    let mut report = LoadReport::default();
    for (column, text) in vocabulary.report_fields.iter().zip(row.split(',')) {
        if text == "-" || text.is_empty() {
            continue;
        }
        let value = text.parse().ok().filter(|number: &f64| number.is_finite());
        column.store(&mut report, value.ok_or_else(|| invalid("telemetry", row))?);
    }
    Ok(Some(report))
}

fn parse_request(fields: &mut Fields, vocabulary: &Vocabulary) -> Result<Request, WireError> {
    let id = fields.request_id("ticket")?;
    let class = ClassId(index_of(&vocabulary.classes, "qos", fields.text("qos")?)?);
    let hint = fields.optional_number("size_hint_ms")?;
    let tenant = match fields.optional() {
        None | Some("0") => None,
        Some(_) if vocabulary.tenants.is_empty() => None,
        Some(name) => Some(TenantId(index_of(&vocabulary.tenants, "billing", name)?)),
    };
    let slots = fields.optional_number("cores_needed")?.unwrap_or(1.0);
    let flags: u32 =
        fields.optional().map_or(Ok(0), |text| text.parse().map_err(|_| invalid("flags", text)))?;
    let deadline = Time::from_ms(fields.number("not_after_ms")?);
    let memory = fields.optional_number("ram_units")?.unwrap_or(0.0);
    let key = fields.optional().filter(|key| !key.is_empty()).map(Name::from);
    // The hint counts only if bit 0 of the flags is set.
    let work = hint.filter(|_| flags & 1 != 0).map(Span::from_ms);
    Ok(Request {
        id,
        class,
        tenant,
        key,
        queue: None,
        idempotency_hash: None,
        work,
        slots: slots.max(0.0),
        memory: memory.max(0.0),
        deadline,
    })
}

/// Parses a line. `vocabulary` is that of the selected instance; without it, an event is an error.
pub fn parse_line<'a>(line: &'a str, vocabulary: Option<&Vocabulary>) -> Result<Line<'a>, WireError> {
    let mut fields = Fields(line.split('\t'));
    let message = fields.0.next().unwrap_or_default();
    let selected_vocabulary = || {
        vocabulary
            .ok_or_else(|| WireError::new("at", format!("{message} for an instance that is not running")))
    };
    let event = match message {
        "batch" => return Ok(Line::Batch(Time::from_ms(fields.number("clock_ms")?))),
        "flush" => return Ok(Line::Flush),
        "at" => return Ok(Line::SelectInstance(fields.integer("who")?)),
        "born" => return Ok(Line::Start(fields.integer("rng_seed")?, fields.0)),
        "exit" => selected_vocabulary().map(|_| Line::Killed)?,
        "sheet" => return Ok(Line::List(fields.integer("buffer")?, fields.integer("lines")?)),
        "directory_update" => {
            selected_vocabulary()?;
            let scope = match fields.text("scope")? {
                "diff" => ListScope::Changes,
                "snapshot" => ListScope::Complete,
                "disk" => ListScope::Remembered,
                "error" => ListScope::Failed,
                other => return Err(invalid("scope", other)),
            };
            let _version = fields.optional_number("epoch")?;
            let buffer = match scope {
                ListScope::Failed => 0,
                _ => fields.integer("buffer")?,
            };
            return Ok(Line::ListUpdate(scope, buffer));
        }
        "job_in" => Line::Event(Event::Request(parse_request(&mut fields, selected_vocabulary()?)?)),
        "ack_first" => {
            selected_vocabulary()?;
            Line::Event(Event::StreamStarted {
                request: fields.request_id("ticket")?,
                attempt: fields.integer("n")?,
            })
        }
        "heartbeat" => {
            selected_vocabulary()?;
            let (request, attempt) = (fields.request_id("ticket")?, fields.integer("n")?);
            fields.text("worker")?;
            let update = match fields.integer("what")? {
                1 => AttemptUpdate::Started,
                2 => AttemptUpdate::Progress(fields.optional_number("level")?.unwrap_or(0.0)),
                _ => AttemptUpdate::Other,
            };
            Line::Event(Event::AttemptUpdate { request, attempt, update })
        }
        "report_back" => {
            let vocabulary = selected_vocabulary()?;
            let (request, attempt) = (fields.request_id("ticket")?, fields.integer("n")?);
            fields.text("worker")?;
            let outcome = parse_outcome(&mut fields)?;
            let latency = Span::from_ms(fields.optional_number("time_taken_ms")?.unwrap_or(0.0));
            let closed = match fields.text("terminal")? {
                "1" => true,
                "0" => false,
                other => return Err(invalid("terminal", other)),
            };
            fields.optional();
            let load = parse_load(&mut fields, vocabulary)?;
            Line::Event(Event::Outcome(AttemptEnd { request, attempt, outcome, latency, closed, load }))
        }
        "lapsed" => {
            selected_vocabulary()?;
            Line::Event(Event::ClientGone(fields.request_id("ticket")?))
        }
        "ring" => {
            selected_vocabulary()?;
            Line::Event(Event::Timer(fields.integer("nonce")?))
        }
        "check_result" => {
            let vocabulary = selected_vocabulary()?;
            let worker = fields.text("worker")?.into();
            let outcome = parse_outcome(&mut fields)?;
            let latency = Span::from_ms(fields.optional_number("time_taken_ms")?.unwrap_or(0.0));
            Line::Event(Event::Probed {
                worker,
                outcome,
                latency,
                load: parse_load(&mut fields, vocabulary)?,
            })
        }
        "neighbour_says" => {
            selected_vocabulary()?;
            let from = fields.integer("sender")?;
            let text = fields.optional().unwrap_or_default();
            let content = BASE64_STANDARD.decode(text).map_err(|_| invalid("content", text))?;
            Line::Event(Event::Peer { from, content })
        }
        other => return Err(WireError::new("message", format!("{other:?} is not a known message"))),
    };
    Ok(event)
}

/// Parses a line with an entry of a list of log workers.
pub fn parse_listing(line: &str) -> Result<Listing, WireError> {
    let mut fields = Fields(line.split('\t'));
    match fields.0.next() {
        Some("item") => {}
        other => return Err(invalid("item", other.unwrap_or_default())),
    }
    let kind = fields.optional().unwrap_or_default().into();
    let zone = fields.optional().unwrap_or_default().into();
    let started = fields.optional_number("since_ms")?.filter(|ms| *ms != 0.0).map(Time::from_ms);
    let weight = fields.optional_number("capacity_hint")?.unwrap_or(1.0);
    let worker = fields.text("worker")?.into();
    let readiness = match fields.text("readiness")? {
        "in_service" => Readiness::InService,
        "terminating" => Readiness::Draining,
        "terminated" => Readiness::Gone,
        other => return Err(invalid("readiness", other)),
    };
    let cell = fields.optional().map(|text| text.parse().map_err(|_| invalid("block", text))).transpose()?;
    Ok(Listing { worker, kind, zone, cell, queues: None, started, weight, readiness })
}
