//! The interface of the library: settings, events and actions.
//!
//! A host feeds [`Event`]s to a [`crate::Dispatcher`] and carries out the [`Action`]s it pushes.

use std::fmt;
use std::ops::{Add, Sub};
use std::sync::Arc;

use thiserror::Error;

/// A moment on the host's clock, in microseconds; the clock's start means nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub i64);

/// A length of time, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(pub i64);

impl Span {
    /// A span of `ms` milliseconds.
    pub fn from_ms(ms: f64) -> Self {
        Span((ms * 1000.0).round() as i64)
    }
    /// The span in milliseconds.
    pub fn ms(self) -> f64 {
        self.0 as f64 / 1000.0
    }
    /// The span in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl Time {
    /// The moment `ms` milliseconds after the clock's start.
    pub fn from_ms(ms: f64) -> Self {
        Time((ms * 1000.0).round() as i64)
    }
    /// Milliseconds since the clock's start.
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

/// A name: of a worker, zone, kind, class or tenant. Compared, hashed, never interpreted.
pub type Name = Arc<str>;

/// Identifies a request; never repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The place of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassId(pub usize);

/// The place of a tenant in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantId(pub usize);

/// The place of a machine kind in [`Settings::kinds`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub usize);

/// Which workers discard repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Every worker.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

/// How far a request may be repeated once it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeats do no harm.
    Safe,
    /// Repeats are discarded inside `group` for `window` after the first attempt's send.
    Keyed {
        /// The workers that discard repeats.
        group: Group,
        /// How long they remember.
        window: Span,
    },
    /// Must never run twice.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name; no decision depends on it.
    pub name: Name,
    /// An answer inside this time, plus `stretch` times the job's own work, has its full worth.
    pub aim: Span,
    /// How much the aim grows with the job's own work.
    pub stretch: f64,
    /// The part of the worth left after the aim.
    pub late_worth: f64,
    /// What a request is worth.
    pub worth: f64,
    /// How far it may be repeated.
    pub effect: Effect,
    /// The kind of machine it needs, if only one will do.
    pub kind: Option<KindId>,
}

/// A tenant and its part of the service.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its name; no decision depends on it.
    pub name: Name,
    /// Requests a second, over all dispatchers, that count as within its share.
    pub allowance_per_s: f64,
}

/// What worth is counted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorthBy {
    /// Each request, whatever its size.
    Request,
    /// Each unit of a request's work.
    Work,
}

/// How the list of workers reaches a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes arrive unasked.
    Automatic,
    /// Only after [`Action::Subscribe`] or [`Action::FetchList`].
    Subscribe,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reporting {
    /// In outcomes and probe results.
    Answers,
    /// In probe results alone.
    Probe,
    /// Nowhere.
    None,
}

/// What the host lets a dispatcher do.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// [`Action::Cancel`] is permitted.
    pub cancel: bool,
    /// [`Action::Probe`] is permitted.
    pub probes: bool,
    /// Two attempts of one request may be out together.
    pub second_copies: bool,
    /// Clients hear the advice of [`Action::Refuse`].
    pub retry_after: bool,
    /// The longest advice a client follows.
    pub max_retry_after: Span,
    /// The most attempts for one request.
    pub max_attempts: usize,
}

/// The figures of the four rules.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// How long past the deadline a final answer still counts.
    pub answer_slack: Span,
    /// Under [`Discovery::Subscribe`]: how long a dispatcher may go without asking.
    pub ask_every: Span,
    /// How long sends to a draining or gone worker may continue.
    pub drain_grace: Span,
    /// A worker begins at no less than this part of its capacity,
    pub initial_capacity: f64,
    /// and is warm no later than this.
    pub ramp: Span,
    /// A cold worker falls when sent more than this multiple of its present capacity
    pub overload_multiple: f64,
    /// within a span of this length.
    pub overload_window: Span,
}

/// Everything a dispatcher is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This dispatcher's number, from 0.
    pub dispatcher_index: usize,
    /// How many dispatchers send to these workers.
    pub dispatchers: usize,
    /// The zone of this dispatcher.
    pub zone: Name,
    /// All zones.
    pub zones: Vec<Name>,
    /// All kinds of machine.
    pub kinds: Vec<Name>,
    /// All classes.
    pub classes: Vec<Class>,
    /// All tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The worth of a request past its tenant's share, as a part of its class's.
    pub over_share_worth: f64,
    /// What a class's worth is counted for.
    pub worth_by: WorthBy,
    /// How the list arrives.
    pub discovery: Discovery,
    /// Where load reports come from.
    pub reporting: Reporting,
    /// Workers tell when a job starts.
    pub reports_start: bool,
    /// How often they tell how far a job is that runs; 0: never.
    pub progress_interval: Span,
    /// What an attempt across zones costs, as a part of a request's worth.
    pub cross_zone_price: f64,
    /// What log workers' work without an answer costs, as a part of the worth of the work that it takes the place of.
    pub waste_price: f64,
    /// The shortest gap between two calls of `handle`.
    pub quantum: Span,
    /// What the host permits.
    pub limits: Limits,
    /// The figures of the rules.
    pub rules: Rules,
}

/// A setting that makes no sense.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("setting {setting}: {found}, expected {expected}")]
pub struct SettingsError {
    /// Which setting.
    pub setting: &'static str,
    /// What it holds.
    pub found: String,
    /// What it should hold.
    pub expected: &'static str,
}

impl Settings {
    /// Turns down values no dispatcher could work with, naming the first.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let need = |ok: bool, setting, found: String, expected| match ok {
            true => Ok(()),
            false => Err(SettingsError { setting, found, expected }),
        };
        let share = |v: f64| (0.0..=1.0).contains(&v);
        let positive = |v: f64| v.is_finite() && v > 0.0;
        need(self.dispatchers > 0, "balancers", self.dispatchers.to_string(), "at least 1")?;
        need(
            self.dispatcher_index < self.dispatchers,
            "me",
            self.dispatcher_index.to_string(),
            "a number below balancers",
        )?;
        need(!self.classes.is_empty(), "classes", "none".into(), "at least one class")?;
        for class in &self.classes {
            need(class.aim.0 > 0, "classes.aim", class.aim.ms().to_string(), "more than 0 ms")?;
            need(
                class.stretch.is_finite() && class.stretch >= 0.0,
                "classes.stretch",
                class.stretch.to_string(),
                "0 or more",
            )?;
            need(share(class.late_worth), "classes.late_worth", class.late_worth.to_string(), "0 to 1")?;
            need(
                class.worth.is_finite() && class.worth >= 0.0,
                "classes.worth",
                class.worth.to_string(),
                "0 or more",
            )?;
            if let Some(kind) = class.kind {
                need(kind.0 < self.kinds.len(), "classes.kind", kind.0.to_string(), "a place in kinds")?;
            }
            if let Effect::Keyed { window, .. } = class.effect {
                need(window.0 >= 0, "classes.window", window.ms().to_string(), "0 ms or more")?;
            }
        }
        for tenant in &self.tenants {
            let rate = tenant.allowance_per_s;
            need(rate.is_finite() && rate >= 0.0, "tenants.allowance_per_s", rate.to_string(), "0 or more")?;
        }
        need(share(self.over_share_worth), "over_share_worth", self.over_share_worth.to_string(), "0 to 1")?;
        need(self.quantum.0 > 0, "quantum", self.quantum.ms().to_string(), "more than 0 ms")?;
        let limits = &self.limits;
        need(limits.max_attempts > 0, "limits.max_attempts", limits.max_attempts.to_string(), "at least 1")?;
        need(
            limits.max_retry_after.0 >= 0,
            "limits.max_retry_after",
            limits.max_retry_after.ms().to_string(),
            "0 ms or more",
        )?;
        let rules = &self.rules;
        need(share(rules.initial_capacity), "rules.cold_from", rules.initial_capacity.to_string(), "0 to 1")?;
        need(
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
            need(span.0 >= 0, name, span.ms().to_string(), "0 ms or more")?;
        }
        let asks = self.discovery == Discovery::Subscribe;
        need(
            !asks || rules.ask_every.0 > 0,
            "rules.ask_every",
            rules.ask_every.ms().to_string(),
            "more than 0 ms",
        )
    }
}

/// Whether a listed worker may be sent new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Takes work.
    InService,
    /// Completes its work; takes nothing new.
    Draining,
    /// Taken away.
    Gone,
}

/// A worker as the list describes it.
#[derive(Clone, Debug)]
pub struct Listing {
    /// The worker.
    pub worker: Name,
    /// Its kind of machine.
    pub kind: Name,
    /// Its zone.
    pub zone: Name,
    /// Its cell, where there are any.
    pub cell: Option<u64>,
    /// When it last started; absent means long ago.
    pub started: Option<Time>,
    /// Its size against other workers.
    pub weight: f64,
    /// Whether it takes work.
    pub readiness: Readiness,
}

/// A worker that operators have taken out by hand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ban {
    /// The worker; it need not be listed.
    pub worker: Name,
    /// Since when.
    pub since: Time,
}

/// How many workers there are for a dispatcher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerCounts {
    /// Those in the list: in service, or draining.
    pub known: usize,
    /// Those of them that get nothing now: draining, taken out by hand, or shunned after failures.
    pub skipped: usize,
}

/// What a list update holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Only what changed.
    Changes,
    /// Everything.
    Complete,
    /// Everything, as this dispatcher's predecessor last held it.
    Remembered,
    /// A call failed or the subscription broke; nothing changed.
    Failed,
    /// Something was told that cannot be read, so nobody knows what changed.
    Unusable,
    /// The subscription was given up, since nothing came on it; nothing changed.
    Silent {
        /// When the last word came.
        since: Time,
    },
    /// The list comes from elsewhere from now on, where the host asks by itself; nothing changed.
    SourceChanged,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are any.
    pub tenant: Option<TenantId>,
    /// The program or data set it needs.
    pub key: Option<Name>,
    /// What a keyed request has in common with its client's other tries: a hash of its idempotency key.
    pub idempotency_hash: Option<u64>,
    /// Its work as time on a standard core, where a usable hint came along.
    pub work: Option<Span>,
    /// Slots it takes.
    pub slots: f64,
    /// Memory units it takes.
    pub memory: f64,
    /// When the client gives up.
    pub deadline: Time,
}

/// A worker's own, late and noisy account of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests it holds.
    pub inflight: Option<f64>,
    /// Requests waiting.
    pub queue: Option<f64>,
    /// The part of its cores in use.
    pub util: Option<f64>,
    /// Errors a second.
    pub errors_per_s: Option<f64>,
    /// Requests served a second.
    pub served_per_s: Option<f64>,
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Free memory units.
    pub free_memory: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// The worker answered with an error.
    Error,
    /// Turned away unseen.
    TurnedAway,
    /// No answer in time.
    NoAnswer,
    /// No connection was made.
    NoConnection,
    /// The connection broke.
    ConnectionLost,
    /// Called off.
    Cancelled,
    /// Never sent.
    NotSent,
    /// A connection kept from earlier broke before any answer: it may have run, and the worker may be well.
    StaleConnection,
    /// The worker cannot use the request: that is the client's doing, and no other worker can.
    Unusable,
}

impl Outcome {
    /// Only these three prove that nothing ran.
    pub fn proves_no_run(self) -> bool {
        matches!(self, Outcome::TurnedAway | Outcome::NoConnection | Outcome::NotSent)
    }
}

/// News of an attempt that is still out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptUpdate {
    /// The job has started.
    Started,
    /// This part of it is done.
    Progress(f64),
    /// A note of another family.
    Other,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// Which attempt, from 0.
    pub attempt: usize,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it was out.
    pub latency: Span,
    /// The request has ended, now or earlier.
    pub closed: bool,
    /// The worker's load, if it came along.
    pub load: Option<LoadReport>,
}

/// What a host tells a dispatcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the list.
    List {
        /// What the entries are.
        scope: ListScope,
        /// The entries.
        entries: Arc<[Listing]>,
    },
    /// All that operators have taken out by hand; whoever was among them and is no more is back.
    Bans(Arc<[Ban]>),
    /// A request arrived; exactly one final answer is now owed.
    Request(Request),
    /// A streamed answer started; the request has no deadline any more.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// Which attempt, from 0.
        attempt: usize,
    },
    /// News of an attempt.
    AttemptUpdate {
        /// The request.
        request: RequestId,
        /// Which attempt.
        attempt: usize,
        /// The news.
        update: AttemptUpdate,
    },
    /// An attempt ended.
    Outcome(AttemptEnd),
    /// The client left; nothing is owed any more.
    ClientGone(RequestId),
    /// A timer is due.
    Timer(u64),
    /// A probe ended.
    Probed {
        /// The worker.
        worker: Name,
        /// How.
        outcome: Outcome,
        /// How long it took.
        latency: Span,
        /// The worker's load, if it came along.
        load: Option<LoadReport>,
    },
    /// A message of another dispatcher.
    Peer {
        /// Its number.
        from: u64,
        /// What it says.
        content: Vec<u8>,
    },
}

/// What a dispatcher wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a worker; attempts count from 0.
    Send {
        /// The request.
        request: RequestId,
        /// The worker.
        worker: Name,
        /// Time-out of this attempt; none means until the client gives up.
        timeout: Option<Span>,
        /// When it must have gone out, or not at all: what allowed it holds no longer.
        by: Time,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Which attempt.
        attempt: usize,
    },
    /// Final answer: it did not run and a new try does no harm.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should keep away.
        retry_after: Option<Span>,
        /// Why.
        reason: EndReason,
    },
    /// Final answer: failed, whether or not it ran.
    Fail {
        /// The request.
        request: RequestId,
        /// Why.
        reason: EndReason,
    },
    /// Ask for changes of the list.
    Subscribe,
    /// Ask for the complete list once.
    FetchList,
    /// Ask for [`Event::Timer`].
    SetTimer {
        /// When.
        at: Time,
        /// Returned with the event.
        token: u64,
    },
    /// Probe a worker.
    Probe(Name),
    /// Close idle connections to a worker.
    CloseIdle(Name),
    /// Send bytes to one other dispatcher, or to all.
    SendToPeer {
        /// Its number; none means all.
        peer: Option<u64>,
        /// The bytes, 256 at most.
        content: Vec<u8>,
    },
    /// A line for the operator.
    Log(String),
}

/// Why a request ends with an answer that is not a worker's; for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// Its deadline is reached.
    DeadlineReached,
    /// Whichever worker took it now would start it too late.
    TooLateToStart,
    /// It may have run, and no worker may run it again.
    NoRepeatAllowed,
    /// Every attempt that the settings allow was made.
    AttemptsExhausted,
    /// The worker chosen for it would most likely start it too late.
    LikelyLate,
    /// Its tenant is beyond its share.
    TenantOverShare,
    /// Every worker was taken out of service by an operator.
    AllBanned,
}

impl EndReason {
    /// Every reason, in the order of [`EndReason::index`].
    pub const ALL: [EndReason; 7] = [
        EndReason::DeadlineReached,
        EndReason::TooLateToStart,
        EndReason::NoRepeatAllowed,
        EndReason::AttemptsExhausted,
        EndReason::LikelyLate,
        EndReason::TenantOverShare,
        EndReason::AllBanned,
    ];

    /// Its place in [`EndReason::ALL`].
    pub fn index(self) -> usize {
        self as usize
    }

    /// Its name in logs and metrics.
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
