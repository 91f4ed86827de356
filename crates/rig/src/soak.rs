//! Scenarios generated at random from a seed: sizes, classes of jobs, parameters of clients and discovery, incidents, and
//! system call failures. A generated scenario is a text script, so that it can be read, stored, run again and reduced.

use std::fmt;

use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};

/// How long clients send jobs.
const LENGTH_MS: u64 = 5_000;
/// Range of the start times of incidents.
const INCIDENT_START_MS: std::ops::Range<u64> = 300..3_500;
/// Range of the durations of incidents.
const INCIDENT_LENGTH_MS: std::ops::Range<u64> = 300..2_500;
/// Range of the deadlines of clients.
const DEADLINES_MS: std::ops::RangeInclusive<f64> = 200.0..=20_000.0;
/// Work of a job as a fraction of its deadline.
const WORK_FRACTION: std::ops::Range<f64> = 0.05..0.3;
/// Upper limit of a job's work.
const MAX_WORK_MS: f64 = 500.0;
/// Latency goal of a job as a fraction of its deadline.
const AIM_FRACTION: std::ops::Range<f64> = 0.3..0.9;
/// Time in which a log worker fetches a job's data, as a fraction of the shortest deadline.
const FETCH_FRACTION: f64 = 0.1;
/// Upper limit of that time.
const MAX_FETCH_MS: f64 = 300.0;
/// Range of the number of incidents in a scenario.
const INCIDENT_COUNT: std::ops::RangeInclusive<usize> = 2..=5;

/// Upper limits of the sizes of a generated scenario.
#[derive(Clone, Copy, Debug)]
pub struct SizeLimits {
    /// Number of dispatchers, each of which is a process.
    pub dispatchers: usize,
    /// Number of log workers.
    pub workers: usize,
}

impl SizeLimits {
    /// Sizes with which a few seeds run within a minute beside other tests.
    pub const SMALL: SizeLimits = SizeLimits { dispatchers: 4, workers: 10 };
    /// Sizes for runs that have the machine to themselves.
    pub const FULL: SizeLimits = SizeLimits { dispatchers: 30, workers: 40 };
}

/// A scenario generated from a seed, or a reduced form of one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RandomScenario {
    /// Seed of the scenario and of all random draws within its run.
    pub seed: u64,
    /// Parameters, one line each, and classes, one block each.
    pub settings: Vec<String>,
    /// Incidents, one line each.
    pub incidents: Vec<String>,
    /// System call failures of dispatchers, in the format of `rookspoke-faults`.
    pub faults: Vec<String>,
}

impl RandomScenario {
    /// Generates the scenario of a seed within the size limits.
    pub fn new(seed: u64, limits: SizeLimits) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        RandomScenario {
            seed,
            settings: settings(&mut rng, limits),
            incidents: incidents(&mut rng),
            faults: faults(&mut rng),
        }
    }

    /// The scenario as a script.
    pub fn script(&self) -> String {
        [self.settings.join("\n"), self.incidents.join("\n")].join("\n") + "\n"
    }

    /// The schedule of system call failures, or `None` if there are none.
    pub fn fault_schedule(&self) -> Option<String> {
        (!self.faults.is_empty()).then(|| format!("{} {}", self.seed, self.faults.join(" ")))
    }

    /// All scenarios with one incident or one system call failure less.
    pub fn reductions(&self) -> Vec<RandomScenario> {
        let without = |parts: &[String], omitted: usize| -> Vec<String> {
            parts
                .iter()
                .enumerate()
                .filter(|(index, _)| *index != omitted)
                .map(|(_, part)| part.clone())
                .collect()
        };
        let fewer_incidents = (0..self.incidents.len())
            .map(|index| RandomScenario { incidents: without(&self.incidents, index), ..self.clone() });
        let fewer_faults = (0..self.faults.len())
            .map(|index| RandomScenario { faults: without(&self.faults, index), ..self.clone() });
        fewer_incidents.chain(fewer_faults).collect()
    }

    /// Reduces a failing scenario: omits one part after another as long as the rest still fails.
    pub fn shrink(self, mut fails: impl FnMut(&RandomScenario) -> bool) -> RandomScenario {
        let mut minimal = self;
        while let Some(smaller) = minimal.reductions().into_iter().find(&mut fails) {
            minimal = smaller;
        }
        minimal
    }
}

impl fmt::Display for RandomScenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "# seed {}, faults {:?}", self.seed, self.fault_schedule().unwrap_or_default())?;
        f.write_str(&self.script())
    }
}

fn settings(rng: &mut SmallRng, limits: SizeLimits) -> Vec<String> {
    let dispatchers = rng.random_range(2..=limits.dispatchers);
    let workers = rng.random_range(1..=limits.workers);
    let zones = rng.random_range(1..=2.min(workers));
    let classes =
        [RandomClass::new(rng, "log-lookup", "safe", 3), RandomClass::new(rng, "qso-confirm", "once", 1)];
    let shortest_ms = classes.iter().map(|class| class.deadline_ms).fold(f64::INFINITY, f64::min);
    let on_off = |on: bool| if on { "on" } else { "off" };
    let mut lines = vec![
        format!("length {LENGTH_MS}ms"),
        format!("dispatchers {dispatchers}"),
        format!("workers {workers}"),
        format!("zones {zones}"),
        format!("worker.cold-for {}ms", rng.random_range(2_000..20_000)),
        format!("store.fetch {:.0}ms", (shortest_ms * FETCH_FRACTION).min(MAX_FETCH_MS)),
        format!("clients.load {:.2}", rng.random_range(0.2..0.9)),
        format!("clients.retries {}", rng.random_range(0..=2)),
        format!("clients.keys {}", rng.random_range(1..=80)),
        format!("discovery.notices {}ms", rng.random_range(50..1_500)),
        format!("discovery.calls {}", rng.random_range(2..=40)),
        format!("limits.attempts {}", rng.random_range(1..=6)),
        format!("limits.second-copies {}", on_off(rng.random())),
        format!("limits.probes {}", on_off(rng.random())),
        format!("worker.hands-back {}", on_off(rng.random())),
        format!("worker.cancels-running {}", on_off(rng.random())),
    ];
    lines.extend(classes.iter().map(RandomClass::lines));
    lines
}

/// A randomly generated class of jobs.
struct RandomClass {
    name: &'static str,
    effect: &'static str,
    share: u32,
    work_ms: f64,
    aim_ms: f64,
    deadline_ms: f64,
}

impl RandomClass {
    fn new(rng: &mut SmallRng, name: &'static str, effect: &'static str, share: u32) -> Self {
        // Drawn uniformly on a logarithmic scale.
        let (log_min, log_max) = (DEADLINES_MS.start().ln(), DEADLINES_MS.end().ln());
        let deadline_ms = rng.random_range(log_min..log_max).exp();
        let work_ms = (deadline_ms * rng.random_range(WORK_FRACTION)).min(MAX_WORK_MS);
        let aim_ms = deadline_ms * rng.random_range(AIM_FRACTION);
        RandomClass { name, effect, share, work_ms, aim_ms, deadline_ms }
    }

    fn lines(&self) -> String {
        let RandomClass { name, effect, share, work_ms, aim_ms, deadline_ms } = self;
        format!(
            "class {name} {{\n    effect {effect}\n    share {share}\n    work {work_ms:.0}ms\n    \
             aim {aim_ms:.0}ms\n    deadline {deadline_ms:.0}ms\n}}"
        )
    }
}

/// Draws incidents of kinds that may overlap. At most one of them affects dispatchers' processes, since two incidents
/// could not both restart the same process.
fn incidents(rng: &mut SmallRng) -> Vec<String> {
    let worker_kinds =
        ["rolling", "crash", "silent", "slow", "pause", "neighbour", "reports-late", "costly", "link-refuse"];
    let discovery_kinds = ["discovery-gone", "discovery-silent", "discovery-old"];
    let dispatcher_kinds = ["restart", "kill", "host-pause", "slowed"];
    let mut kinds = vec![discovery_kinds.choose(rng), dispatcher_kinds.choose(rng)];
    kinds.extend(worker_kinds.choose_multiple(rng, INCIDENT_COUNT.end() - kinds.len()).map(Some));
    let mut kinds: Vec<&str> = kinds.into_iter().flatten().copied().collect();
    kinds.shuffle(rng);
    kinds.truncate(rng.random_range(INCIDENT_COUNT));
    kinds.into_iter().map(|kind| incident(rng, kind)).collect()
}

fn incident(rng: &mut SmallRng, kind: &str) -> String {
    let at = rng.random_range(INCIDENT_START_MS);
    let length = rng.random_range(INCIDENT_LENGTH_MS);
    let part = rng.random_range(0.1..1.0);
    let when = |kind: &str| format!("incident {kind} at {at}ms for {length}ms");
    match kind {
        "link-refuse" => format!("{} from dispatchers to workers part {part:.2} refuse", when("link")),
        // The platform suspends a process for 150 ms at most.
        "host-pause" => format!("incident host-pause at {at}ms for 150ms part {part:.2}"),
        "slowed" => format!("{} part {part:.2} size 0.5", when(kind)),
        "rolling" => format!("{} part {part:.2} size {:.1}", when(kind), rng.random_range(0.5..2.0)),
        "slow" => format!("{} part {part:.2} size {:.1}", when(kind), rng.random_range(2.0..10.0)),
        "neighbour" => format!("{} part {part:.2} size 0.5", when(kind)),
        "reports-late" => format!("{} size 1", when(kind)),
        "costly" => format!("{} part 0.2 size 4", when(kind)),
        kind if kind.starts_with("discovery") => when(kind),
        kind => format!("{} part {part:.2}", when(kind)),
    }
}

/// Draws temporary system call failures that break no connection, and steps of the wall clock. All invariants must hold
/// in spite of them.
fn faults(rng: &mut SmallRng) -> Vec<String> {
    const CALLS: [(&str, &[&str]); 6] = [
        ("receive", &["EINTR", "SHORT"]),
        ("send", &["EINTR", "SHORT"]),
        ("accept", &["ECONNABORTED", "EMFILE", "ENFILE", "ENOBUFS", "EPROTO"]),
        ("connect", &["EADDRNOTAVAIL", "ENETUNREACH", "EHOSTUNREACH", "ETIMEDOUT"]),
        ("socket", &["ENOBUFS", "EMFILE", "ENFILE"]),
        ("wait", &["EINTR"]),
    ];
    let count = rng.random_range(0..=3);
    let mut faults: Vec<String> = CALLS
        .choose_multiple(rng, count)
        .map(|(call, errors)| (*call, *errors))
        .collect::<Vec<_>>()
        .into_iter()
        .filter_map(|(call, errors)| {
            let error = errors.choose(rng)?;
            Some(format!("{call}={error}:{}", rng.random_range(2..=20)))
        })
        .collect();
    if rng.random_bool(0.3) {
        let seconds = *[-3_600, -5, 5, 3_600].choose(rng).unwrap_or(&5);
        faults.push(format!("clock={seconds}:{}", rng.random_range(200..2_000)));
    }
    faults
}
