//! What the model holds of each log worker's machine and of each dispatcher's place.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::rngs::SmallRng;
use rookspoke_decisions::{Event, LoadReport, Time};

use super::Worker;

/// A log worker's machine: its process, and what others see of it.
pub(super) struct Machine {
    pub worker: Worker,
    pub zone: usize,
    /// The process runs.
    pub up: bool,
    /// Nothing is refused and nothing answered.
    pub silent: bool,
    pub draining: bool,
    /// Counts the processes.
    pub epoch: u64,
    /// Counts plans for its next step; older ones are void.
    pub version: u64,
    /// Connections that are open to it.
    pub connections: usize,
    /// Reports, and when they can be seen.
    pub reports: VecDeque<(Time, LoadReport)>,
    pub rng: SmallRng,
}

impl Machine {
    pub fn new(worker: Worker, zone: usize, rng: SmallRng) -> Self {
        Machine {
            worker,
            zone,
            up: true,
            silent: false,
            draining: false,
            epoch: 0,
            version: 0,
            connections: 0,
            reports: VecDeque::new(),
            rng,
        }
    }
}

/// A dispatcher's place: what its host keeps for it.
pub(super) struct Seat {
    pub zone: usize,
    /// What its next batch holds.
    pub events: VecDeque<Event>,
    /// No batch before this.
    pub next_batch: Time,
    /// Moments at which a batch is planned already.
    pub wakes: BTreeSet<Time>,
    pub timers: BTreeSet<(Time, u64)>,
    pub paused: bool,
    pub paused_until: Time,
    /// It hears of changes of the list.
    pub subscribed: bool,
    /// Counts calls to discovery; the answer to an older one is void.
    pub call: u64,
    /// Idle connections to each log worker: since when, and to which process.
    pub idle: BTreeMap<usize, Vec<(Time, u64)>>,
    /// The start of each log worker that it was told of.
    pub told_start: BTreeMap<usize, Time>,
}

impl Seat {
    pub fn new(zone: usize) -> Self {
        Seat {
            zone,
            events: VecDeque::new(),
            next_batch: Time(0),
            wakes: BTreeSet::new(),
            timers: BTreeSet::new(),
            paused: false,
            paused_until: Time(0),
            subscribed: false,
            call: 0,
            idle: BTreeMap::new(),
            told_start: BTreeMap::new(),
        }
    }
}
