//! What is played: the sizes, the habits of each part, the classes of jobs, and the incidents.

use std::collections::BTreeMap;

use rookspoke_conf::{Kind, Problem, Word};
use rookspoke_decisions::{Effect, Span};
use serde_json::Value;

/// A parameter of a scenario.
#[derive(Clone, Copy, Debug)]
pub struct Param {
    /// Its name.
    pub name: &'static str,
    /// Its values.
    pub kind: Kind,
    /// What holds where nothing is said.
    pub default: &'static str,
    /// What it means.
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
const PART: Kind = number(0.0, 1.0);
const SWITCH: Kind = Kind::Switch;

/// When an incident begins, or for how long it goes on.
pub(crate) const TIME_OF_DAY: Kind = TIME;
/// The part of the fleet that it hits.
pub(crate) const PART_OF: Kind = PART;
/// How bad it is.
pub(crate) const SIZE_OF: Kind = number(0.0, 1e6);

/// All parameters.
pub const PARAMS: &[Param] = &[
    param("length", LEAST_TIME, "45s", "How long clients send."),
    param("tick", LEAST_TIME, "4ms", "A dispatcher decides no more often than this."),
    param("dispatchers", count(1, 10_000), "3", "Dispatchers, dealt out over the zones in turn."),
    param("workers", count(1, 100_000), "12", "Log workers, dealt out over the zones in turn."),
    param("zones", count(1, 100), "2", "Zones."),
    param("worker.cores", number(0.1, 1024.0), "4", "Cores of a log worker."),
    param("worker.slots", count(1, 4096), "5", "Jobs that it works on together, in slots."),
    param(
        "worker.queue",
        count(0, 1_000_000),
        "50",
        "Jobs that wait there at most; one more is turned away.",
    ),
    param(
        "worker.order",
        Kind::Choice(&[("fifo", "0"), ("backfill", "1"), ("priority", "2")]),
        "fifo",
        "Which waiting job starts: the first, once it fits; whichever fits; or the worthiest that fits.",
    ),
    param(
        "worker.speed-spread",
        number(0.0, 2.0),
        "0.1",
        "Spread of speeds: the deviation, as a part of the mean.",
    ),
    param("worker.crowding", number(0.0, 1.0), "0", "Speed lost for each slot in use beyond the cores."),
    param("worker.cold-from", PART, "0.2", "The part of its speed that a log worker starts with."),
    param("worker.cold-for", TIME, "18s", "How long it takes to become warm."),
    param(
        "worker.cancels-running",
        SWITCH,
        "off",
        "A cancel stops running work too, not waiting work alone.",
    ),
    param("worker.hands-back", SWITCH, "on", "A draining one hands back what has not started."),
    param(
        "worker.archives",
        count(1, 1_000_000),
        "8",
        "Archives that it keeps; the one unused for longest goes.",
    ),
    param("store.fetch", TIME, "300ms", "Fetching an archive, with the store to itself."),
    param(
        "store.together",
        number(0.1, 1e6),
        "6",
        "Fetches that the store serves at full speed; more share it.",
    ),
    param("net.same", TIME, "200us", "One way within a zone."),
    param("net.cross", TIME, "1ms", "One way between zones."),
    param("net.client", TIME, "600us", "One way between clients and dispatchers."),
    param("net.jitter", PART, "0.2", "The part by which a delay may be longer."),
    param("report.every", LEAST_TIME, "800ms", "How often a log worker looks at its own load."),
    param("report.late", TIME, "250ms", "How old what it says is, on top."),
    param("report.noise", PART, "0.05", "The part by which it is off."),
    param("probe.work", TIME, "400us", "Work that a probe costs a log worker."),
    param("connection.opening", TIME, "1500us", "Work that a new connection costs a log worker."),
    param("connection.turns", count(0, 10), "1", "Turns over the network to open one."),
    param("connection.idle", TIME, "15s", "How long an idle one stays open."),
    param("connection.most", count(1, 1_000_000), "2800", "Connections that a log worker accepts."),
    param("connection.timeout", LEAST_TIME, "250ms", "How long opening one may take."),
    param("discovery.notices", TIME, "2500ms", "When discovery knows of a start, an end or a drain."),
    param("discovery.notices-silence", TIME, "8s", "When it knows that a log worker has gone silent."),
    param("discovery.spread", TIME, "60ms", "How far apart dispatchers hear the same news."),
    param("discovery.calls", number(0.01, 1e6), "5", "Calls a second that it serves."),
    param("discovery.timeout", LEAST_TIME, "2s", "A call that waits for longer fails."),
    param(
        "clients.load",
        number(0.0, 10.0),
        "0.6",
        "Work asked for, as a part of what the fleet can do when warm.",
    ),
    param("clients.swing", PART, "0.3", "How far the load swings around that."),
    param("clients.swing-every", LEAST_TIME, "20s", "How often."),
    param("clients.retries", count(0, 20), "1", "Tries after the first, where one does no harm."),
    param("clients.back-off", TIME, "200ms", "How long a client waits before the next try."),
    param("clients.heeds-advice", SWITCH, "on", "Clients wait for as long as a refusal says."),
    param("clients.keys", count(1, 10_000_000), "60", "What jobs may be about."),
    param("clients.skew", number(0.0, 3.0), "0.9", "Skew of keys (Zipf's exponent); 0 is even."),
    param("limits.attempts", count(1, 100), "6", "Call attempts for a job."),
    param("limits.second-copies", SWITCH, "on", "A second copy may be sent while the first is out."),
    param("limits.probes", SWITCH, "on", "Dispatchers may probe."),
    param("limits.advice", SWITCH, "on", "Refusals may say when to come back."),
    param("rules.answer-slack", TIME, "16ms", "A final answer counts until this long after the deadline."),
    param("rules.ask-every", LEAST_TIME, "10s", "How long a dispatcher may go without asking for the list."),
    param("rules.drain-grace", TIME, "500ms", "Sends to a draining log worker stop within this time."),
    param("rules.cold-from", PART, "0.13", "What dispatchers are told of the least that a cold one can do."),
    param("rules.cold-for", TIME, "23s", "What they are told of when it is warm."),
    param(
        "rules.fall-multiple",
        number(0.01, 1000.0),
        "3",
        "A cold one falls when sent more than this times what it can do",
    ),
    param("rules.fall-span", LEAST_TIME, "3s", "within any span of this length."),
    param("goal.whole", PART, "0.35", "Weight of the whole run in the service figure."),
    param("goal.window", PART, "0.45", "Weight of the worst window."),
    param("goal.class", PART, "0.2", "Weight of the worst class."),
    param("goal.window-length", LEAST_TIME, "10s", "Length of that window."),
];

/// Parameters of a class of jobs.
pub const CLASS_PARAMS: &[Param] = &[
    param("effect", Kind::Choice(&[("safe", "0"), ("once", "1")]), "safe", "Whether it may run twice."),
    param("share", number(0.0, 1e6), "1", "Its share of jobs, against the other classes'."),
    param("work", LEAST_TIME, "900ms", "Mean running time at speed 1, on its own cores."),
    param("spread", number(0.0, 10.0), "0.5", "Spread of running times (log-normal; deviation over mean)."),
    param(
        "slots",
        count(1, 1024),
        "1",
        "The most slots that a job takes; 1 to that many, the powers of two.",
    ),
    param("aim", TIME, "500ms", "In time within this"),
    param("stretch", number(0.0, 1000.0), "2.5", "plus this times its own running time."),
    param("deadline", LEAST_TIME, "10s", "When its client gives up."),
    param("worth", number(0.0, 1e6), "1", "What it is worth in time."),
];

/// A class of jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its parameters: times in milliseconds, switches 0 or 1.
    pub values: BTreeMap<&'static str, f64>,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Processes die: connections are reset. They come back cold.
    Crash,
    /// Machines fall silent: nothing is refused, nothing answers. They come back cold.
    Silent,
    /// Log workers run `size` times slower.
    Slow,
    /// Another program takes the part `size` of the machine, a second on and a second off.
    Neighbour,
    /// Reports come `size` seconds later.
    ReportsLate,
    /// A part of the jobs costs `size` times the work.
    Costly,
    /// Connections in use are reset, each with the chance `size` a second.
    Resets,
    /// Dispatchers and log workers of different zones do not hear each other.
    ZoneCut,
    /// Discovery answers nothing, and its watches end.
    DiscoveryGone,
    /// Log workers drain and restart, one after another over the length.
    Rolling,
    /// Log workers stand still.
    Pause,
    /// Dispatchers stand still: what comes in the meantime is heard afterwards.
    HostPause,
    /// Discovery takes calls and answers nothing; its watches stay open.
    DiscoverySilent,
    /// Discovery goes on telling the list as it was.
    DiscoveryOld,
    /// Dispatchers stand still and go on by turns: `size` is the part of the time in which they run.
    Slowed,
    /// Dispatchers are killed, and start again after the length.
    Kill,
    /// Dispatchers are told to end and start again, one after another over the length.
    Restart,
}

/// Every trouble by its name in scripts.
pub const TROUBLES: &[(&str, Trouble)] = &[
    ("crash", Trouble::Crash),
    ("silent", Trouble::Silent),
    ("slow", Trouble::Slow),
    ("neighbour", Trouble::Neighbour),
    ("reports-late", Trouble::ReportsLate),
    ("costly", Trouble::Costly),
    ("resets", Trouble::Resets),
    ("zone-cut", Trouble::ZoneCut),
    ("discovery-gone", Trouble::DiscoveryGone),
    ("rolling", Trouble::Rolling),
    ("pause", Trouble::Pause),
    ("stall", Trouble::HostPause),
    ("host-pause", Trouble::HostPause),
    ("discovery-silent", Trouble::DiscoverySilent),
    ("discovery-old", Trouble::DiscoveryOld),
    ("slowed", Trouble::Slowed),
    ("kill", Trouble::Kill),
    ("restart", Trouble::Restart),
];

/// Who plays a script.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The emulator, in simulated time.
    Emulator,
    /// Real processes with links between them.
    Processes,
}

impl Stage {
    /// Whether incidents of this kind can be played here.
    pub fn plays(self, trouble: Trouble) -> bool {
        self == Stage::Processes || !trouble.needs_processes()
    }

    /// Whether this parameter means something here. Between processes the network is the system's own.
    pub fn knows(self, parameter: &str) -> bool {
        self == Stage::Emulator || !parameter.starts_with("net.") && parameter != "connection.turns"
    }
}

impl Trouble {
    /// Whether the emulator has nothing that could suffer it.
    pub fn needs_processes(self) -> bool {
        use Trouble::{DiscoveryOld, DiscoverySilent, Kill, Restart, Slowed};
        matches!(self, DiscoverySilent | DiscoveryOld | Slowed | Kill | Restart)
    }
}

/// Parties of a play, whose ways to each other can be disturbed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Party {
    /// Whoever hands in jobs.
    Clients,
    /// Where the list of log workers comes from.
    Discovery,
    /// Dispatchers, of one zone or all.
    Dispatchers(Option<usize>),
    /// One dispatcher.
    Dispatcher(usize),
    /// Log workers, of one zone or all.
    Workers(Option<usize>),
    /// One log worker.
    Worker(usize),
}

/// What is wrong with one direction of a way. The default is nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Everything comes this much later.
    pub delay: Span,
    /// And up to this much later still, drawn for each piece.
    pub jitter: Span,
    /// Nothing comes through; connections stay open.
    pub cut: bool,
    /// New connections are refused.
    pub refuse: bool,
    /// Bytes a second that come through at most; 0 is as many as come.
    pub rate: f64,
    /// A connection is reset once this many bytes have passed; 0 is never.
    pub reset_at: f64,
    /// The part of datagrams that is lost.
    pub loss: f64,
    /// The part that comes twice.
    pub duplicate: f64,
    /// The part that comes after later ones.
    pub reorder: f64,
}

/// A way that is disturbed for a time: from the first party to the second, and back only where it says so.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Disturbance {
    /// From the start.
    pub at: Span,
    /// For how long.
    pub length: Span,
    /// The side that opens connections.
    pub from: Party,
    /// The side that accepts them.
    pub to: Party,
    /// The part of the second party that it concerns, drawn by the seed.
    pub part: f64,
    /// What goes from the first to the second.
    pub there: Faults,
    /// What comes back.
    pub back: Faults,
}

/// One incident.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Incident {
    /// What goes wrong.
    pub trouble: Trouble,
    /// From the start.
    pub at: Span,
    /// For how long.
    pub length: Span,
    /// The part of the fleet, of the dispatchers, or of the jobs that it hits.
    pub part: f64,
    /// How bad it is; the trouble says what it means.
    pub size: f64,
}

/// What is played.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Parameters: times in milliseconds, switches 0 or 1, choices by their number.
    pub values: BTreeMap<&'static str, f64>,
    /// At least one class.
    pub classes: Vec<Class>,
    /// What goes wrong, in the order of the script.
    pub incidents: Vec<Incident>,
    /// Ways that are disturbed, in the order of the script.
    pub disturbances: Vec<Disturbance>,
}

impl Default for Scenario {
    /// Twelve log workers, three dispatchers, two classes, nothing wrong.
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
            disturbances: Vec::new(),
        }
    }
}

/// A value as a number: times in milliseconds, switches 0 or 1, choices by their number.
pub fn plain(value: &Value) -> f64 {
    match value {
        Value::Bool(on) => f64::from(u8::from(*on)),
        Value::String(text) => text.parse().unwrap_or(0.0),
        value => value.as_f64().unwrap_or(0.0),
    }
}

/// The defaults of a table.
pub fn defaults(table: &'static [Param]) -> BTreeMap<&'static str, f64> {
    let read = |p: &'static Param| Some((p.name, plain(&p.read(p.default).ok()?)));
    table.iter().filter_map(read).collect()
}

impl Param {
    /// Reads one value.
    ///
    /// # Errors
    /// Says what was found and what is expected.
    pub fn read(&self, text: &str) -> Result<Value, Problem> {
        self.kind.parse(&Word::synthetic(self.name), &[Word::synthetic(text)])
    }
}

/// The parameter of this name.
pub fn find(table: &'static [Param], name: &str) -> Option<&'static Param> {
    table.iter().find(|param| param.name == name)
}

impl Scenario {
    /// A parameter's value. A name that is not in the table is a mistake in the program; it counts as 0.
    pub fn get(&self, name: &str) -> f64 {
        debug_assert!(self.values.contains_key(name), "{name}");
        self.values.get(name).copied().unwrap_or(0.0)
    }

    /// A parameter that is a time.
    pub fn span(&self, name: &str) -> Span {
        Span::from_ms(self.get(name))
    }

    /// A parameter that is a number of things.
    pub fn count(&self, name: &str) -> usize {
        self.get(name) as usize
    }

    /// A parameter that is on or off.
    pub fn on(&self, name: &str) -> bool {
        self.get(name) != 0.0
    }

    /// Work that the warm fleet does in a second: seconds of a core.
    pub fn capacity(&self) -> f64 {
        let busy = self.get("worker.cores").min(self.get("worker.slots"));
        self.get("workers") * busy
    }

    /// Mean work of a job, over all classes: seconds of a core.
    pub fn mean_work(&self) -> f64 {
        let all: f64 = self.classes.iter().map(|c| c.get("share")).sum();
        let work = |c: &Class| c.get("share") * c.get("work") / 1000.0 * c.mean_slots();
        self.classes.iter().map(work).sum::<f64>() / all.max(1e-9)
    }
}

impl Class {
    /// A parameter's value.
    pub fn get(&self, name: &str) -> f64 {
        debug_assert!(self.values.contains_key(name), "{name}");
        self.values.get(name).copied().unwrap_or(0.0)
    }

    /// Whether it may run twice.
    pub fn effect(&self) -> Effect {
        if self.get("effect") == 0.0 {
            Effect::Safe
        } else {
            Effect::Unsafe
        }
    }

    /// The sizes of its jobs, in slots: the powers of two, each half as frequent as the one before.
    pub fn sizes(&self) -> Vec<(f64, f64)> {
        let most = self.get("slots").max(1.0);
        let sizes: Vec<f64> = (0..11).map(|n| f64::from(1 << n)).take_while(|size| *size <= most).collect();
        let all: f64 = sizes.iter().map(|size| 1.0 / size).sum();
        sizes.into_iter().map(|size| (size, 1.0 / size / all)).collect()
    }

    fn mean_slots(&self) -> f64 {
        self.sizes().iter().map(|(size, share)| size * share).sum()
    }
}
