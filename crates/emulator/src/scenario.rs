//! Scenarios: fleet sizes, the behaviour of each component, classes of jobs, and incidents.

use std::collections::BTreeMap;

use rookspoke_conf::{Kind, Problem, Word};
use rookspoke_decisions::{Effect, Span};
use serde_json::Value;

/// A parameter of a scenario or of a class of jobs, as scripts and `--set` name it.
#[derive(Clone, Copy, Debug)]
pub struct Param {
    /// The name in scripts; scenarios store the value under it.
    pub name: &'static str,
    /// The values that it accepts.
    pub kind: Kind,
    /// The value where a script sets none, in the notation of scripts.
    pub default: &'static str,
    /// Its meaning, printed by `rookspoke-lab words`.
    pub doc: &'static str,
}

const fn param(name: &'static str, kind: Kind, default: &'static str, doc: &'static str) -> Param {
    Param { name, kind, default, doc }
}

const fn count(least: u64, most: u64) -> Kind {
    Kind::Count { min: least, max: most }
}
const fn number(least: f64, most: f64) -> Kind {
    Kind::Number { min: least, max: most }
}
const TIME: Kind = Kind::Time { min: 0.0, max: 86_400_000.0 };
const LEAST_TIME: Kind = Kind::Time { min: 0.1, max: 86_400_000.0 };
const FRACTION: Kind = number(0.0, 1.0);
const SWITCH: Kind = Kind::Switch;

/// Accepted values of an incident's start and duration.
pub(crate) const INCIDENT_TIME: Kind = TIME;
/// Accepted values of the fraction of the fleet that an incident affects.
pub(crate) const INCIDENT_PART: Kind = FRACTION;
/// Accepted values of an incident's size.
pub(crate) const INCIDENT_SIZE: Kind = number(0.0, 1e6);

/// The parameters of a scenario.
pub const PARAMS: &[Param] = &[
    param("length", LEAST_TIME, "45s", "How long clients send jobs."),
    param("tick", LEAST_TIME, "4ms", "Shortest time between two decisions of a dispatcher."),
    param("dispatchers", count(1, 10_000), "3", "Dispatchers, assigned to the zones in turn."),
    param("workers", count(1, 100_000), "12", "Log workers, assigned to the zones in turn."),
    param("zones", count(1, 100), "2", "Availability zones of the fleet."),
    param("worker.cores", number(0.1, 1024.0), "4", "Cores of a log worker."),
    param("worker.slots", count(1, 4096), "5", "Concurrent work of a log worker, in slots."),
    param(
        "worker.queue",
        count(0, 1_000_000),
        "50",
        "Longest queue of a log worker; it turns further jobs away.",
    ),
    param(
        "worker.order",
        Kind::Choice(&[("fifo", "0"), ("backfill", "1"), ("priority", "2")]),
        "fifo",
        "Which queued job starts: the first, once it fits; the first that fits; the worthiest that fits.",
    ),
    param("worker.speed-spread", number(0.0, 2.0), "0.1", "Spread of speeds: standard deviation over mean."),
    param(
        "worker.crowding",
        number(0.0, 1.0),
        "0",
        "Speed lost for each slot in use beyond the cores, as a fraction.",
    ),
    param("worker.cold-from", FRACTION, "0.2", "Fraction of its full speed at which a log worker starts."),
    param("worker.cold-for", TIME, "18s", "How long a log worker takes to reach full speed."),
    param("worker.cancels-running", SWITCH, "off", "A cancel stops running jobs too, not only queued ones."),
    param("worker.hands-back", SWITCH, "on", "A draining log worker hands back jobs that have not started."),
    param(
        "worker.archives",
        count(1, 1_000_000),
        "8",
        "Archives that a log worker caches; the least recently used is evicted.",
    ),
    param("store.fetch", TIME, "300ms", "Time to fetch an archive while the store is otherwise idle."),
    param(
        "store.together",
        number(0.1, 1e6),
        "6",
        "Fetches that the store serves at full speed; more share its bandwidth.",
    ),
    param("net.same", TIME, "200us", "One-way delay within a zone."),
    param("net.cross", TIME, "1ms", "One-way delay between zones."),
    param("net.client", TIME, "600us", "One-way delay between clients and dispatchers."),
    param("net.jitter", FRACTION, "0.2", "Largest random addition to a delay, as a fraction of it."),
    param("report.every", LEAST_TIME, "800ms", "How often a log worker samples its load."),
    param("report.late", TIME, "250ms", "Additional age of a load report."),
    param("report.noise", FRACTION, "0.05", "Relative error of the reported load."),
    param("probe.work", TIME, "400us", "Work that a probe costs the log worker."),
    param("connection.opening", TIME, "1500us", "Work that a new connection costs the log worker."),
    param("connection.turns", count(0, 10), "1", "Network round trips to open a connection."),
    param("connection.idle", TIME, "15s", "How long an idle connection stays open."),
    param("connection.most", count(1, 1_000_000), "2800", "Connections that a log worker accepts."),
    param("connection.timeout", LEAST_TIME, "250ms", "Timeout of opening a connection."),
    param("discovery.notices", TIME, "2500ms", "Delay until discovery knows of a start, an end or a drain."),
    param(
        "discovery.notices-silence",
        TIME,
        "8s",
        "Delay until discovery knows of an unresponsive log worker.",
    ),
    param("discovery.spread", TIME, "60ms", "How far apart dispatchers receive the same list update."),
    param("discovery.calls", number(0.01, 1e6), "5", "Calls per second that discovery serves."),
    param("discovery.timeout", LEAST_TIME, "2s", "Timeout of a discovery call."),
    param(
        "clients.load",
        number(0.0, 10.0),
        "0.6",
        "Offered load, as a fraction of the fleet's capacity at full speed.",
    ),
    param("clients.swing", FRACTION, "0.3", "Amplitude of the load's swing, as a fraction of the load."),
    param("clients.swing-every", LEAST_TIME, "20s", "Period of the load's swing."),
    param("clients.retries", count(0, 20), "1", "Retries of a client, where a repeat is safe."),
    param("clients.back-off", TIME, "200ms", "How long a client waits before a retry."),
    param("clients.heeds-advice", SWITCH, "on", "Clients wait for the retry time that a refusal names."),
    param("clients.keys", count(1, 10_000_000), "60", "Distinct keys of jobs."),
    param("clients.skew", number(0.0, 3.0), "0.9", "Skew of keys (Zipf exponent); 0 is uniform."),
    param("limits.attempts", count(1, 100), "6", "Most call attempts for a request."),
    param("limits.second-copies", SWITCH, "on", "Dispatchers may hedge with a second copy."),
    param("limits.probes", SWITCH, "on", "Dispatchers may probe log workers."),
    param("limits.advice", SWITCH, "on", "Refusals may name a time to retry after."),
    param("rules.answer-slack", TIME, "16ms", "How long after the deadline a final answer counts."),
    param("rules.ask-every", LEAST_TIME, "10s", "Longest time between a dispatcher's requests for the list."),
    param("rules.drain-grace", TIME, "500ms", "Time to stop sending to a draining log worker."),
    param("rules.cold-from", FRACTION, "0.13", "Starting capacity that dispatchers assume, as a fraction."),
    param("rules.cold-for", TIME, "23s", "Length of the slow start that dispatchers assume."),
    param(
        "rules.fall-multiple",
        number(0.01, 1000.0),
        "3",
        "Multiple of its capacity beyond which work overloads a log worker in slow start.",
    ),
    param("rules.fall-span", LEAST_TIME, "3s", "Window over which that work is counted."),
    param("goal.whole", FRACTION, "0.35", "Weight of the whole run in the service score."),
    param("goal.window", FRACTION, "0.45", "Weight of the worst window in the service score."),
    param("goal.class", FRACTION, "0.2", "Weight of the worst class in the service score."),
    param("goal.window-length", LEAST_TIME, "10s", "Length of a window of the service score."),
];

/// The parameters of a class of jobs.
pub const CLASS_PARAMS: &[Param] = &[
    param("effect", Kind::Choice(&[("safe", "0"), ("once", "1")]), "safe", "Whether a job may run twice."),
    param("share", number(0.0, 1e6), "1", "Share of jobs, relative to the other classes."),
    param("work", LEAST_TIME, "900ms", "Mean running time at speed 1, without contention for cores."),
    param(
        "spread",
        number(0.0, 10.0),
        "0.5",
        "Spread of running times (log-normal; standard deviation over mean).",
    ),
    param("slots", count(1, 1024), "1", "Most slots that a job takes; sizes are the powers of two up to it."),
    param("aim", TIME, "500ms", "Fixed part of the latency goal."),
    param(
        "stretch",
        number(0.0, 1000.0),
        "2.5",
        "Variable part of the latency goal, as a multiple of the running time.",
    ),
    param("deadline", LEAST_TIME, "10s", "When the client gives up."),
    param("worth", number(0.0, 1e6), "1", "Value of an answer within the latency goal."),
];

/// A class of jobs that clients send.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The name that reports and `--set` use.
    pub name: String,
    /// Values by parameter name: times in milliseconds, switches 0 or 1, choices by their number.
    pub values: BTreeMap<&'static str, f64>,
}

/// The kinds of incident.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncidentKind {
    /// Log workers die and their connections are reset. They restart in slow start.
    Crash,
    /// Machines stop responding without refusing or resetting anything. They restart in slow start.
    Silent,
    /// Log workers run `size` times slower.
    Slow,
    /// Another program takes the fraction `size` of the machine, one second out of two.
    Neighbour,
    /// Load reports are `size` seconds older.
    ReportsLate,
    /// A fraction of the jobs costs `size` times the work.
    Costly,
    /// Connections in use are reset, each with probability `size` per second.
    Resets,
    /// Dispatchers and log workers of different zones cannot reach each other.
    ZoneCut,
    /// Discovery is down: calls fail and watches end.
    DiscoveryGone,
    /// Rolling restart: log workers drain and restart one after another over the incident's length.
    Rolling,
    /// Log workers are suspended.
    Pause,
    /// Dispatchers are suspended; input that arrives meanwhile is processed afterwards.
    HostPause,
    /// Discovery accepts calls but does not answer; its watches stay open.
    DiscoverySilent,
    /// Discovery keeps serving the list as it was when the incident began.
    DiscoveryOld,
    /// Dispatchers are suspended and resumed in turns: `size` is the fraction of time for which they run.
    Slowed,
    /// Dispatchers are killed, and start again after the incident's length.
    Kill,
    /// Rolling restart of dispatchers: they terminate and start again one after another over the length.
    Restart,
}

/// Every kind of incident by its name in scripts.
pub const INCIDENT_KINDS: &[(&str, IncidentKind)] = &[
    ("crash", IncidentKind::Crash),
    ("silent", IncidentKind::Silent),
    ("slow", IncidentKind::Slow),
    ("neighbour", IncidentKind::Neighbour),
    ("reports-late", IncidentKind::ReportsLate),
    ("costly", IncidentKind::Costly),
    ("resets", IncidentKind::Resets),
    ("zone-cut", IncidentKind::ZoneCut),
    ("discovery-gone", IncidentKind::DiscoveryGone),
    ("rolling", IncidentKind::Rolling),
    ("pause", IncidentKind::Pause),
    ("stall", IncidentKind::HostPause),
    ("host-pause", IncidentKind::HostPause),
    ("discovery-silent", IncidentKind::DiscoverySilent),
    ("discovery-old", IncidentKind::DiscoveryOld),
    ("slowed", IncidentKind::Slowed),
    ("kill", IncidentKind::Kill),
    ("restart", IncidentKind::Restart),
];

/// The environment that runs a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Environment {
    /// The emulator, in simulated time.
    Emulator,
    /// Real dispatcher processes, connected over links whose faults can be controlled.
    Processes,
}

impl Environment {
    /// Whether this environment can produce incidents of this kind.
    pub fn supports_incident(self, kind: IncidentKind) -> bool {
        self == Environment::Processes || !kind.needs_processes()
    }

    /// Whether this parameter has an effect in this environment. Real processes use the operating system's network,
    /// so that delays and round trips of the network model do not apply.
    pub fn supports_parameter(self, parameter: &str) -> bool {
        self == Environment::Emulator || !parameter.starts_with("net.") && parameter != "connection.turns"
    }
}

impl IncidentKind {
    /// Whether only real processes can produce it, because the emulator does not model what it affects.
    pub fn needs_processes(self) -> bool {
        use IncidentKind::{DiscoveryOld, DiscoverySilent, Kill, Restart, Slowed};
        matches!(self, DiscoverySilent | DiscoveryOld | Slowed | Kill | Restart)
    }
}

/// An end of a route on which a script can inject link faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// All clients.
    Clients,
    /// The discovery service.
    Discovery,
    /// The dispatchers of one zone, or all.
    Dispatchers(Option<usize>),
    /// One dispatcher, by its number.
    Dispatcher(usize),
    /// The log workers of one zone, or all.
    Workers(Option<usize>),
    /// One log worker, by its number.
    Worker(usize),
}

/// Faults of one direction of a link. The default is none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Delay of everything that is sent.
    pub delay: Span,
    /// Largest additional delay, drawn for each piece.
    pub jitter: Span,
    /// Nothing is delivered; connections stay open.
    pub cut: bool,
    /// New connections are refused.
    pub refuse: bool,
    /// Bandwidth in bytes per second; 0 is unlimited.
    pub rate: f64,
    /// A connection is reset after this many bytes; 0 is never.
    pub reset_at: f64,
    /// Fraction of datagrams that are lost.
    pub loss: f64,
    /// Fraction of datagrams that are delivered twice.
    pub duplicate: f64,
    /// Fraction of datagrams that are delivered after later ones.
    pub reorder: f64,
}

/// An incident of kind `link`: faults on a route for a time, in one direction or in both.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkIncident {
    /// When it begins, counted from the start of the run.
    pub at: Span,
    /// How long it lasts.
    pub length: Span,
    /// The side that opens connections.
    pub from: Endpoint,
    /// The side that accepts them.
    pub to: Endpoint,
    /// Fraction of the accepting side that is affected, drawn by the seed.
    pub part: f64,
    /// Faults from the opening to the accepting side.
    pub forward: Faults,
    /// Faults of the opposite direction.
    pub backward: Faults,
}

/// A failure that a scenario schedules.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Incident {
    /// What fails.
    pub kind: IncidentKind,
    /// When it begins, counted from the start of the run.
    pub at: Span,
    /// How long it lasts.
    pub length: Span,
    /// Fraction of the log workers, of the dispatchers, or of the jobs that it affects.
    pub part: f64,
    /// Severity; its unit depends on the kind.
    pub size: f64,
}

/// A run to simulate or to rehearse.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Values by parameter name: times in milliseconds, switches 0 or 1, choices by their number.
    pub values: BTreeMap<&'static str, f64>,
    /// Classes of jobs, at least one.
    pub classes: Vec<Class>,
    /// Incidents, in the order of the script.
    pub incidents: Vec<Incident>,
    /// Incidents of kind `link`, in the order of the script.
    pub link_incidents: Vec<LinkIncident>,
}

impl Default for Scenario {
    /// Twelve log workers, three dispatchers, two classes, and no incidents.
    fn default() -> Self {
        let lookup = Class { name: "log-lookup".into(), values: defaults(CLASS_PARAMS) };
        let mut confirm = Class { name: "qso-confirm".into(), values: defaults(CLASS_PARAMS) };
        let own = [
            ("effect", 1.0),
            ("share", 0.8),
            ("work", 1700.0),
            ("slots", 4.0),
            ("aim", 1500.0),
            ("stretch", 2.0),
            ("deadline", 20_000.0),
            ("worth", 3.0),
        ];
        confirm.values.extend(own);
        let mut lookup = lookup;
        lookup.values.insert("worth", 2.0);
        Scenario {
            values: defaults(PARAMS),
            classes: vec![lookup, confirm],
            incidents: Vec::new(),
            link_incidents: Vec::new(),
        }
    }
}

/// A value as a number: times in milliseconds, switches 0 or 1, choices by their number.
pub fn to_number(value: &Value) -> f64 {
    match value {
        Value::Bool(on) => f64::from(u8::from(*on)),
        Value::String(text) => text.parse().unwrap_or(0.0),
        value => value.as_f64().unwrap_or(0.0),
    }
}

/// The default values of a table of parameters, by name.
pub fn defaults(table: &'static [Param]) -> BTreeMap<&'static str, f64> {
    let read = |param: &'static Param| Some((param.name, to_number(&param.read(param.default).ok()?)));
    table.iter().filter_map(read).collect()
}

impl Param {
    /// Parses a value.
    ///
    /// # Errors
    /// The text is not an accepted value; the problem says what was found and what is expected.
    pub fn read(&self, text: &str) -> Result<Value, Problem> {
        self.kind.parse(&Word::synthetic(self.name), &[Word::synthetic(text)])
    }
}

/// Looks a parameter up by its name.
pub fn find_param(table: &'static [Param], name: &str) -> Option<&'static Param> {
    table.iter().find(|param| param.name == name)
}

impl Scenario {
    /// A parameter's value. An unknown name is a bug in the caller, for which release builds return 0.
    pub fn get(&self, name: &str) -> f64 {
        debug_assert!(self.values.contains_key(name), "{name}");
        self.values.get(name).copied().unwrap_or(0.0)
    }

    /// A parameter that is a time.
    pub fn span(&self, name: &str) -> Span {
        Span::from_ms(self.get(name))
    }

    /// A parameter that is a count.
    pub fn count(&self, name: &str) -> usize {
        self.get(name) as usize
    }

    /// A parameter that is on or off.
    pub fn is_on(&self, name: &str) -> bool {
        self.get(name) != 0.0
    }

    /// Work that the fleet does per second at full speed, in core-seconds.
    pub fn capacity(&self) -> f64 {
        let busy_cores = self.get("worker.cores").min(self.get("worker.slots"));
        self.get("workers") * busy_cores
    }

    /// Mean work of a job over all classes, in core-seconds.
    pub fn mean_work(&self) -> f64 {
        let total_share: f64 = self.classes.iter().map(|class| class.get("share")).sum();
        let work = |class: &Class| class.get("share") * class.get("work") / 1000.0 * class.mean_slots();
        self.classes.iter().map(work).sum::<f64>() / total_share.max(1e-9)
    }
}

impl Class {
    /// A parameter's value. As with [`Scenario::get`], an unknown name is a bug in the caller.
    pub fn get(&self, name: &str) -> f64 {
        debug_assert!(self.values.contains_key(name), "{name}");
        self.values.get(name).copied().unwrap_or(0.0)
    }

    /// Whether its jobs may run twice.
    pub fn effect(&self) -> Effect {
        if self.get("effect") == 0.0 {
            Effect::Safe
        } else {
            Effect::Unsafe
        }
    }

    /// Sizes of its jobs in slots, and their probabilities: powers of two, each half as frequent as the one before.
    pub fn slot_sizes(&self) -> Vec<(f64, f64)> {
        let largest = self.get("slots").max(1.0);
        let sizes: Vec<f64> =
            (0..11).map(|n| f64::from(1 << n)).take_while(|size| *size <= largest).collect();
        let total: f64 = sizes.iter().map(|size| 1.0 / size).sum();
        sizes.into_iter().map(|size| (size, 1.0 / size / total)).collect()
    }

    fn mean_slots(&self) -> f64 {
        self.slot_sizes().iter().map(|(size, share)| size * share).sum()
    }
}
