//! The interface of the library: settings, events and actions.
//!
//! A host passes [`Event`]s to a [`crate::Dispatcher`] and carries out the [`Action`]s that it returns.

use std::fmt;
use std::ops::{Add, Sub};
use std::sync::Arc;

use thiserror::Error;

/// A point in time on the host's clock, in microseconds. The clock's origin is arbitrary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub i64);

/// A duration in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(pub i64);

impl Span {
    /// The span of `ms` milliseconds, rounded to microseconds.
    pub fn from_ms(ms: f64) -> Self {
        Span((ms * 1000.0).round() as i64)
    }
    /// Converts to milliseconds.
    pub fn ms(self) -> f64 {
        self.0 as f64 / 1000.0
    }
    /// Converts to seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl Time {
    /// The time `ms` milliseconds after the clock's origin, rounded to microseconds.
    pub fn from_ms(ms: f64) -> Self {
        Time((ms * 1000.0).round() as i64)
    }
    /// Milliseconds since the clock's origin.
    pub fn ms(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl Sub for Span {
    type Output = Span;
    fn sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

impl Sub for Time {
    type Output = Span;
    fn sub(self, other: Time) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

impl Add<Span> for Time {
    type Output = Time;
    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Time {
    type Output = Time;
    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

/// The name of a worker, zone, machine kind, class, tenant or key. Names are compared and hashed, never interpreted.
pub type Name = Arc<str>;

/// Identifies a request. The host never uses an id twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The index of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassId(pub usize);

/// The index of a tenant in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantId(pub usize);

/// The index of a machine kind in [`Settings::kinds`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub usize);

/// The workers among which repeats of a keyed request are recognised and discarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All workers.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell (rack).
    Cell,
}

/// Whether a request may be sent again after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeats do no harm, so there is no restriction.
    Safe,
    /// Workers of the same `group` discard repeats for `window` after the first attempt was sent.
    Keyed {
        /// The workers that recognise each other's requests.
        group: Group,
        /// How long they remember a request.
        window: Span,
    },
    /// The request must never run twice.
    Unsafe,
}

/// A class of requests: the latency goal, the worth and the repetition rules that they share.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name in logs and metrics. No decision depends on it.
    pub name: Name,
    /// Latency goal: an answer within this time plus `stretch` times the job's own work has its full worth.
    pub aim: Span,
    /// How much the latency goal grows with the job's own work.
    pub stretch: f64,
    /// The fraction of the worth that is left after the latency goal.
    pub late_worth: f64,
    /// The value of a request, relative to other classes; see [`Settings::worth_by`].
    pub worth: f64,
    /// Whether its requests may be repeated.
    pub effect: Effect,
    /// The machine kind that its requests require, if any.
    pub kind: Option<KindId>,
}

/// A tenant and its share of the service.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its name in logs and metrics. No decision depends on it.
    pub name: Name,
    /// Requests per second, over all dispatchers, that are within its share.
    pub allowance_per_s: f64,
}

/// The unit that the worth of a class refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorthBy {
    /// A request, whatever its size.
    Request,
    /// A unit of a request's work.
    Work,
}

/// How a dispatcher receives the list of workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes are pushed without a call.
    Automatic,
    /// The list arrives only after [`Action::Subscribe`] or [`Action::FetchList`].
    Subscribe,
}

/// The source of load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reporting {
    /// Outcomes of attempts, and probe results.
    Answers,
    /// Probe results only.
    Probe,
    /// There are no load reports.
    None,
}

/// What the host permits a dispatcher to do.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// [`Action::Cancel`] is permitted.
    pub cancel: bool,
    /// [`Action::Probe`] is permitted.
    pub probes: bool,
    /// Two attempts of one request may be pending at the same time (hedging).
    pub second_copies: bool,
    /// Clients receive the `retry_after` of [`Action::Refuse`].
    pub retry_after: bool,
    /// The longest `retry_after` that clients comply with.
    pub max_retry_after: Span,
    /// The maximum number of attempts for one request.
    pub max_attempts: usize,
}

/// Parameters of the four rules that every dispatcher must keep: no sends after a request's end (1), no forbidden
/// repeats (2), no sends to workers out of service (3), and no overload of workers in slow start (4).
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// How long after the deadline a final answer is still accepted.
    pub answer_slack: Span,
    /// Under [`Discovery::Subscribe`]: the longest time that a dispatcher may use its list without a call.
    pub ask_every: Span,
    /// How long sends to a draining or removed worker may continue after the change has taken effect.
    pub drain_grace: Span,
    /// The fraction of its capacity that a newly started worker has at least. Slow start raises it linearly to 1.
    pub initial_capacity: f64,
    /// The duration of slow start: a worker has its full capacity at the latest after this time.
    pub ramp: Span,
    /// A worker in slow start is overloaded when more than this multiple of its present capacity is sent to it within
    /// `overload_window`.
    pub overload_multiple: f64,
    /// The time window over which `overload_multiple` is measured.
    pub overload_window: Span,
}

/// The settings of a dispatcher, fixed from its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This dispatcher's number, from 0 to `dispatchers - 1`.
    pub dispatcher_index: usize,
    /// The number of dispatchers that send to the same workers.
    pub dispatchers: usize,
    /// The zone of this dispatcher.
    pub zone: Name,
    /// The names of all zones.
    pub zones: Vec<Name>,
    /// The names of all machine kinds.
    pub kinds: Vec<Name>,
    /// The request classes; [`ClassId`] is an index into them.
    pub classes: Vec<Class>,
    /// The tenants, if the host distinguishes any.
    pub tenants: Vec<Tenant>,
    /// The worth of a request beyond its tenant's share, as a fraction of its class's worth.
    pub over_share_worth: f64,
    /// The unit that a class's worth refers to.
    pub worth_by: WorthBy,
    /// How the list of workers arrives.
    pub discovery: Discovery,
    /// The source of load reports.
    pub reporting: Reporting,
    /// Workers report when a job starts.
    pub reports_start: bool,
    /// The interval at which workers report the progress of a running job; 0 if they never do.
    pub progress_interval: Span,
    /// The cost of an attempt across zones, as a fraction of a request's worth.
    pub cross_zone_price: f64,
    /// The cost of work on log workers whose answer is not used, as a fraction of the worth of the work that it
    /// displaces.
    pub waste_price: f64,
    /// The shortest interval between two calls of [`crate::Dispatcher::handle`].
    pub quantum: Span,
    /// What the host permits.
    pub limits: Limits,
    /// Parameters of the rules.
    pub rules: Rules,
}

/// An unusable setting.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("setting {setting}: {found}, expected {expected}")]
pub struct SettingsError {
    /// The path of the setting.
    pub setting: &'static str,
    /// The value found there.
    pub found: String,
    /// The values that are accepted.
    pub expected: &'static str,
}

impl Settings {
    /// Checks all settings and reports the first that a dispatcher cannot work with.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let check = |ok: bool, setting, found: String, expected| match ok {
            true => Ok(()),
            false => Err(SettingsError { setting, found, expected }),
        };
        let fraction = |value: f64| (0.0..=1.0).contains(&value);
        let positive = |value: f64| value.is_finite() && value > 0.0;
        check(self.dispatchers > 0, "balancers", self.dispatchers.to_string(), "at least 1")?;
        check(
            self.dispatcher_index < self.dispatchers,
            "me",
            self.dispatcher_index.to_string(),
            "a number below balancers",
        )?;
        check(!self.classes.is_empty(), "classes", "none".into(), "at least one class")?;
        for class in &self.classes {
            check(class.aim.0 > 0, "classes.aim", class.aim.ms().to_string(), "more than 0 ms")?;
            check(
                class.stretch.is_finite() && class.stretch >= 0.0,
                "classes.stretch",
                class.stretch.to_string(),
                "0 or more",
            )?;
            check(fraction(class.late_worth), "classes.late_worth", class.late_worth.to_string(), "0 to 1")?;
            check(
                class.worth.is_finite() && class.worth >= 0.0,
                "classes.worth",
                class.worth.to_string(),
                "0 or more",
            )?;
            if let Some(kind) = class.kind {
                check(kind.0 < self.kinds.len(), "classes.kind", kind.0.to_string(), "a place in kinds")?;
            }
            if let Effect::Keyed { window, .. } = class.effect {
                check(window.0 >= 0, "classes.window", window.ms().to_string(), "0 ms or more")?;
            }
        }
        for tenant in &self.tenants {
            let rate = tenant.allowance_per_s;
            check(rate.is_finite() && rate >= 0.0, "tenants.allowance_per_s", rate.to_string(), "0 or more")?;
        }
        check(
            fraction(self.over_share_worth),
            "over_share_worth",
            self.over_share_worth.to_string(),
            "0 to 1",
        )?;
        check(self.quantum.0 > 0, "quantum", self.quantum.ms().to_string(), "more than 0 ms")?;
        let limits = &self.limits;
        check(limits.max_attempts > 0, "limits.max_attempts", limits.max_attempts.to_string(), "at least 1")?;
        check(
            limits.max_retry_after.0 >= 0,
            "limits.max_retry_after",
            limits.max_retry_after.ms().to_string(),
            "0 ms or more",
        )?;
        let rules = &self.rules;
        check(
            fraction(rules.initial_capacity),
            "rules.cold_from",
            rules.initial_capacity.to_string(),
            "0 to 1",
        )?;
        check(
            positive(rules.overload_multiple),
            "rules.fall_multiple",
            rules.overload_multiple.to_string(),
            "more than 0",
        )?;
        for (name, span) in [
            ("rules.answer_slack", rules.answer_slack),
            ("rules.drain_grace", rules.drain_grace),
            ("rules.ramp", rules.ramp),
            ("rules.fall_span", rules.overload_window),
        ] {
            check(span.0 >= 0, name, span.ms().to_string(), "0 ms or more")?;
        }
        let by_calls = self.discovery == Discovery::Subscribe;
        check(
            !by_calls || rules.ask_every.0 > 0,
            "rules.ask_every",
            rules.ask_every.ms().to_string(),
            "more than 0 ms",
        )
    }
}

/// The state of a worker in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Accepts new jobs.
    InService,
    /// Completes its jobs and accepts no new ones.
    Draining,
    /// Removed from the list.
    Gone,
}

/// A worker's entry in the list.
#[derive(Clone, Debug)]
pub struct Listing {
    /// The worker's name.
    pub worker: Name,
    /// Its machine kind.
    pub kind: Name,
    /// The zone that it runs in.
    pub zone: Name,
    /// Its cell (rack), if the fleet has cells.
    pub cell: Option<u64>,
    /// The queues that it takes jobs from. Absent if it takes any job.
    pub queues: Option<Arc<[Name]>>,
    /// Its last start. Absent if that is so long ago that slow start is over.
    pub started: Option<Time>,
    /// Its size relative to other workers.
    pub weight: f64,
    /// Whether it accepts new jobs.
    pub readiness: Readiness,
}

/// A worker that operators have ejected manually.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ban {
    /// The worker's name. It need not be in the list.
    pub worker: Name,
    /// When it was ejected.
    pub since: Time,
}

/// The number of workers from a dispatcher's point of view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerCounts {
    /// Workers in the list, in service or draining.
    pub known: usize,
    /// Those of them that are sent nothing now: draining, manually ejected, or ejected after failures.
    pub skipped: usize,
}

/// What a list update contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Only the entries that changed.
    Changes,
    /// The complete list.
    Complete,
    /// The complete list as this dispatcher's previous process last held it.
    Remembered,
    /// A call failed or the subscription ended. No entries are given.
    Failed,
    /// An update could not be read, so what it changed is unknown.
    Unusable,
    /// The subscription was closed because no message arrived on it. No entries are given.
    Silent {
        /// When the last message arrived.
        since: Time,
    },
    /// From now on the list comes from another source, which the host calls by itself. No entries are given.
    SourceChanged,
}

/// A client's request as a dispatcher sees it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its unique id.
    pub id: RequestId,
    /// The class that it belongs to.
    pub class: ClassId,
    /// Its tenant, if the host distinguishes tenants.
    pub tenant: Option<TenantId>,
    /// The queue that it waits in, if the host has queues. Only workers that take jobs from it get the request.
    pub queue: Option<Name>,
    /// The program or data set that it needs. Jobs with the same key are placed together.
    pub key: Option<Name>,
    /// Hash of a keyed request's idempotency key, which is the same for all tries of its client.
    pub idempotency_hash: Option<u64>,
    /// Its work as time on a standard core, if the client gave a usable hint.
    pub work: Option<Span>,
    /// Slots that it occupies on a worker.
    pub slots: f64,
    /// Memory units that it occupies.
    pub memory: f64,
    /// When the client stops waiting.
    pub deadline: Time,
}

/// A worker's report of its load, which arrives late and is noisy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that it holds, running or queued.
    pub inflight: Option<f64>,
    /// Requests in its queue.
    pub queue: Option<f64>,
    /// The fraction of its cores in use.
    pub util: Option<f64>,
    /// Errors per second.
    pub errors_per_s: Option<f64>,
    /// Requests served per second.
    pub served_per_s: Option<f64>,
    /// Slots that no job occupies.
    pub free_slots: Option<f64>,
    /// Memory units that no job occupies.
    pub free_memory: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The worker served the request, or answered the probe.
    Served,
    /// The worker answered with an error.
    Error,
    /// The worker rejected the request without starting it.
    TurnedAway,
    /// There was no answer in time.
    NoAnswer,
    /// No connection could be opened.
    NoConnection,
    /// The connection broke before the answer.
    ConnectionLost,
    /// The dispatcher cancelled the attempt.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
    /// A reused connection turned out to be stale and broke before any answer. The request may have run, and the
    /// worker may be healthy.
    StaleConnection,
    /// The request is malformed: the error is the client's and every worker would reject it.
    Unusable,
}

impl Outcome {
    /// Whether the outcome proves that the worker did not run the request. All others leave that open.
    pub fn proves_no_run(self) -> bool {
        matches!(self, Outcome::TurnedAway | Outcome::NoConnection | Outcome::NotSent)
    }
}

/// A worker's message on a pending attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptUpdate {
    /// The job has left the queue and runs.
    Started,
    /// As [`AttemptUpdate::Started`], and the client has been told that its job is accepted. It hears nothing more of
    /// the job, so a refusal before the deadline would lose it.
    Accepted,
    /// This fraction of the job is done.
    Progress(f64),
    /// A message of a kind that dispatchers do not use.
    Other,
}

/// How and when an attempt ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The number of the attempt, from 0.
    pub attempt: usize,
    /// The result of the attempt.
    pub outcome: Outcome,
    /// The time from its send to its end.
    pub latency: Span,
    /// Whether the request itself has ended, by this attempt or earlier.
    pub closed: bool,
    /// The worker's load, if the answer carried a report.
    pub load: Option<LoadReport>,
}

/// An input from the host to a dispatcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// The list of workers was received, has changed, or could not be received.
    List {
        /// What the entries represent.
        scope: ListScope,
        /// Entries of workers; empty for scopes that change nothing.
        entries: Arc<[Listing]>,
    },
    /// All workers that operators have ejected manually. A worker that was in the previous set and is not in this one
    /// returns to service.
    Bans(Arc<[Ban]>),
    /// A request arrived. The dispatcher must give it exactly one final answer.
    Request(Request),
    /// A streamed answer started. The request has no deadline from now on.
    StreamStarted {
        /// The request that is answered.
        request: RequestId,
        /// The number of the attempt, from 0.
        attempt: usize,
    },
    /// A worker sent a message on a pending attempt.
    AttemptUpdate {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The number of the attempt, from 0.
        attempt: usize,
        /// The worker's message.
        update: AttemptUpdate,
    },
    /// An attempt ended.
    Outcome(AttemptEnd),
    /// The client disconnected. No final answer is expected any more.
    ClientGone(RequestId),
    /// A timer of [`Action::SetTimer`] fired; holds its token.
    Timer(u64),
    /// A probe of [`Action::Probe`] ended.
    Probed {
        /// The worker that was probed.
        worker: Name,
        /// The result of the probe.
        outcome: Outcome,
        /// The time from its send to its end.
        latency: Span,
        /// The worker's load, if the answer carried a report.
        load: Option<LoadReport>,
    },
    /// A message from another dispatcher.
    Peer {
        /// The sender's number.
        from: u64,
        /// The bytes of the message.
        content: Vec<u8>,
    },
}

/// What the host has to do for a dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a worker, as its next attempt. Attempts of a request are numbered from 0.
    Send {
        /// The request to send.
        request: RequestId,
        /// The worker to send to.
        worker: Name,
        /// Timeout of the attempt; none means until the client gives up.
        timeout: Option<Span>,
        /// The latest time at which it may be sent, because the conditions that allow it end then. Later it must not
        /// be sent at all.
        by: Time,
    },
    /// Cancel an attempt and stop waiting for it.
    Cancel {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The number of the attempt, from 0.
        attempt: usize,
    },
    /// Final answer: refused. The request did not run, or a new try does no harm.
    Refuse {
        /// The request to answer.
        request: RequestId,
        /// How long the client should wait before it tries again.
        retry_after: Option<Span>,
        /// Why the request ends.
        reason: EndReason,
    },
    /// Final answer: failed. The request may have run.
    Fail {
        /// The request to answer.
        request: RequestId,
        /// Why the request ends.
        reason: EndReason,
    },
    /// Subscribe to the list of workers and its changes.
    Subscribe,
    /// Fetch the complete list once.
    FetchList,
    /// Set a timer that ends with [`Event::Timer`].
    SetTimer {
        /// When it fires.
        at: Time,
        /// A token that the event returns.
        token: u64,
    },
    /// Send a probe to a worker.
    Probe(Name),
    /// Close the idle connections to a worker.
    CloseIdle(Name),
    /// Send a message to one other dispatcher or to all of them.
    SendToPeer {
        /// The recipient's number; none means all dispatchers.
        peer: Option<u64>,
        /// The bytes of the message, at most 256.
        content: Vec<u8>,
    },
    /// Write a line to the operator's log.
    Log(String),
}

/// Why a request ends without a worker's answer. Appears in logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The request's deadline is reached.
    DeadlineReached,
    /// Any worker would start it too late by now.
    TooLateToStart,
    /// It may have run already, and no worker in service may run it again.
    NoRepeatAllowed,
    /// All attempts that the settings allow have been made.
    AttemptsExhausted,
    /// The worker chosen for it would probably start it too late.
    LikelyLate,
    /// Its tenant exceeds its share, and no worker has a free slot for it.
    TenantOverShare,
    /// Operators have ejected every worker that would be in service.
    AllBanned,
}

impl EndReason {
    /// All reasons, in the order of [`EndReason::index`].
    pub const ALL: [EndReason; 7] = [
        EndReason::DeadlineReached,
        EndReason::TooLateToStart,
        EndReason::NoRepeatAllowed,
        EndReason::AttemptsExhausted,
        EndReason::LikelyLate,
        EndReason::TenantOverShare,
        EndReason::AllBanned,
    ];

    /// The position in [`EndReason::ALL`].
    pub fn index(self) -> usize {
        self as usize
    }

    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            EndReason::DeadlineReached => "deadline_reached",
            EndReason::TooLateToStart => "too_late_to_start",
            EndReason::NoRepeatAllowed => "no_repeat_allowed",
            EndReason::AttemptsExhausted => "attempts_exhausted",
            EndReason::LikelyLate => "likely_late",
            EndReason::TenantOverShare => "tenant_over_share",
            EndReason::AllBanned => "all_banned",
        }
    }
}
