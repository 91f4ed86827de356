//! Plays drawn from a seed: sizes, classes of jobs, habits of clients and discovery, a schedule of incidents, and system
//! calls that fail. A drawn play is a script in text, so it can be read, kept, played again and cut down.

use std::fmt;

use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};

/// How long clients send.
const LENGTH_MS: u64 = 5_000;
/// Incidents begin within this time.
const INCIDENTS_BEGIN_MS: std::ops::Range<u64> = 300..3_500;
/// And go on for so long.
const INCIDENTS_LAST_MS: std::ops::Range<u64> = 300..2_500;
/// The shortest and the longest deadline of clients.
const DEADLINES_MS: std::ops::RangeInclusive<f64> = 200.0..=20_000.0;
/// A job's work as a part of its deadline, and at most.
const WORK_PART: std::ops::Range<f64> = 0.05..0.3;
const MOST_WORK_MS: f64 = 500.0;
/// When it counts as in time, as a part of its deadline.
const AIM_PART: std::ops::Range<f64> = 0.3..0.9;
/// Fetching what a job is about, as a part of the shortest deadline, and at most.
const FETCH_PART: f64 = 0.1;
const MOST_FETCH_MS: f64 = 300.0;
/// Incidents of a play.
const INCIDENTS: std::ops::RangeInclusive<usize> = 2..=5;

/// The largest sizes that are drawn.
#[derive(Clone, Copy, Debug)]
pub struct SizeLimits {
    /// Dispatchers, each a process.
    pub dispatchers: usize,
    /// Log workers.
    pub workers: usize,
}

impl SizeLimits {
    /// For a few seeds in a minute beside other tests.
    pub const SMALL: SizeLimits = SizeLimits { dispatchers: 4, workers: 10 };
    /// For runs that have the machine to themselves.
    pub const FULL: SizeLimits = SizeLimits { dispatchers: 30, workers: 40 };
}

/// A play that was drawn, or what is left of one that was cut down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RandomScenario {
    /// For every draw within the play.
    pub seed: u64,
    /// Sizes, habits and classes, one line each.
    pub settings: Vec<String>,
    /// The incidents, one line each.
    pub incidents: Vec<String>,
    /// System calls of dispatchers that fail, as `rookspoke-faults` reads them.
    pub faults: Vec<String>,
}

impl RandomScenario {
    /// The play of a seed, no larger than this.
    pub fn new(seed: u64, most: SizeLimits) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        RandomScenario {
            seed,
            settings: settings(&mut rng, most),
            incidents: incidents(&mut rng),
            faults: faults(&mut rng),
        }
    }

    /// Its script.
    pub fn script(&self) -> String {
        [self.settings.join("\n"), self.incidents.join("\n")].join("\n") + "\n"
    }

    /// Its schedule of failing system calls; none where no call fails.
    pub fn fault_schedule(&self) -> Option<String> {
        (!self.faults.is_empty()).then(|| format!("{} {}", self.seed, self.faults.join(" ")))
    }

    /// Each play that has one incident or one failing call less.
    pub fn reductions(&self) -> Vec<RandomScenario> {
        let without = |parts: &[String], left_out: usize| -> Vec<String> {
            parts.iter().enumerate().filter(|(at, _)| *at != left_out).map(|(_, part)| part.clone()).collect()
        };
        let fewer_incidents = (0..self.incidents.len())
            .map(|at| RandomScenario { incidents: without(&self.incidents, at), ..self.clone() });
        let fewer_faults = (0..self.faults.len())
            .map(|at| RandomScenario { faults: without(&self.faults, at), ..self.clone() });
        fewer_incidents.chain(fewer_faults).collect()
    }

    /// The smallest play that still fails, found by leaving out one part after another.
    pub fn shrink(self, mut fails: impl FnMut(&RandomScenario) -> bool) -> RandomScenario {
        let mut least = self;
        while let Some(smaller) = least.reductions().into_iter().find(&mut fails) {
            least = smaller;
        }
        least
    }
}

impl fmt::Display for RandomScenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "# seed {}, faults {:?}", self.seed, self.fault_schedule().unwrap_or_default())?;
        f.write_str(&self.script())
    }
}

fn settings(rng: &mut SmallRng, most: SizeLimits) -> Vec<String> {
    let dispatchers = rng.random_range(2..=most.dispatchers);
    let workers = rng.random_range(1..=most.workers);
    let zones = rng.random_range(1..=2.min(workers));
    let classes =
        [ClassDraw::new(rng, "log-lookup", "safe", 3), ClassDraw::new(rng, "qso-confirm", "once", 1)];
    let shortest_ms = classes.iter().map(|class| class.deadline_ms).fold(f64::INFINITY, f64::min);
    let switch = |on: bool| if on { "on" } else { "off" };
    let mut lines = vec![
        format!("length {LENGTH_MS}ms"),
        format!("dispatchers {dispatchers}"),
        format!("workers {workers}"),
        format!("zones {zones}"),
        format!("worker.cold-for {}ms", rng.random_range(2_000..20_000)),
        format!("store.fetch {:.0}ms", (shortest_ms * FETCH_PART).min(MOST_FETCH_MS)),
        format!("clients.load {:.2}", rng.random_range(0.2..0.9)),
        format!("clients.retries {}", rng.random_range(0..=2)),
        format!("clients.keys {}", rng.random_range(1..=80)),
        format!("discovery.notices {}ms", rng.random_range(50..1_500)),
        format!("discovery.calls {}", rng.random_range(2..=40)),
        format!("limits.attempts {}", rng.random_range(1..=6)),
        format!("limits.second-copies {}", switch(rng.random())),
        format!("limits.probes {}", switch(rng.random())),
        format!("worker.hands-back {}", switch(rng.random())),
        format!("worker.cancels-running {}", switch(rng.random())),
    ];
    lines.extend(classes.iter().map(ClassDraw::lines));
    lines
}

/// A class of jobs that was drawn.
struct ClassDraw {
    name: &'static str,
    effect: &'static str,
    share: u32,
    work_ms: f64,
    aim_ms: f64,
    deadline_ms: f64,
}

impl ClassDraw {
    fn new(rng: &mut SmallRng, name: &'static str, effect: &'static str, share: u32) -> Self {
        let (least, most) = (DEADLINES_MS.start().ln(), DEADLINES_MS.end().ln());
        let deadline_ms = rng.random_range(least..most).exp();
        let work_ms = (deadline_ms * rng.random_range(WORK_PART)).min(MOST_WORK_MS);
        let aim_ms = deadline_ms * rng.random_range(AIM_PART);
        ClassDraw { name, effect, share, work_ms, aim_ms, deadline_ms }
    }

    fn lines(&self) -> String {
        let ClassDraw { name, effect, share, work_ms, aim_ms, deadline_ms } = self;
        format!(
            "class {name} {{\n    effect {effect}\n    share {share}\n    work {work_ms:.0}ms\n    \
             aim {aim_ms:.0}ms\n    deadline {deadline_ms:.0}ms\n}}"
        )
    }
}

/// Incidents of kinds that may meet each other. Of those that end dispatchers a play has one: the same process cannot be
/// started by two.
fn incidents(rng: &mut SmallRng) -> Vec<String> {
    let of_workers =
        ["rolling", "crash", "silent", "slow", "pause", "neighbour", "reports-late", "costly", "link-refuse"];
    let of_discovery = ["discovery-gone", "discovery-silent", "discovery-old"];
    let of_dispatchers = ["restart", "kill", "host-pause", "slowed"];
    let mut kinds = vec![of_discovery.choose(rng), of_dispatchers.choose(rng)];
    kinds.extend(of_workers.choose_multiple(rng, INCIDENTS.end() - kinds.len()).map(Some));
    let mut kinds: Vec<&str> = kinds.into_iter().flatten().copied().collect();
    kinds.shuffle(rng);
    kinds.truncate(rng.random_range(INCIDENTS));
    kinds.into_iter().map(|kind| incident(rng, kind)).collect()
}

fn incident(rng: &mut SmallRng, kind: &str) -> String {
    let at = rng.random_range(INCIDENTS_BEGIN_MS);
    let length = rng.random_range(INCIDENTS_LAST_MS);
    let part = rng.random_range(0.1..1.0);
    let when = |kind: &str| format!("incident {kind} at {at}ms for {length}ms");
    match kind {
        "link-refuse" => format!("{} from dispatchers to workers part {part:.2} refuse", when("link")),
        // The platform holds a process up for so long at most.
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

/// Failures that pass, by which no connection is lost, and steps of the wall clock: all rules hold under them.
fn faults(rng: &mut SmallRng) -> Vec<String> {
    const CALLS: [(&str, &[&str]); 6] = [
        ("receive", &["EINTR", "SHORT"]),
        ("send", &["EINTR", "SHORT"]),
        ("accept", &["ECONNABORTED", "EMFILE", "ENFILE", "ENOBUFS", "EPROTO"]),
        ("connect", &["EADDRNOTAVAIL", "ENETUNREACH", "EHOSTUNREACH", "ETIMEDOUT"]),
        ("socket", &["ENOBUFS", "EMFILE", "ENFILE"]),
        ("wait", &["EINTR"]),
    ];
    let drawn = rng.random_range(0..=3);
    let mut faults: Vec<String> = CALLS
        .choose_multiple(rng, drawn)
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
