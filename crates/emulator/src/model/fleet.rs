//! Per-machine state of the model: one record for each log worker and one for each dispatcher.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::rngs::SmallRng;
use rookspoke_decisions::{Event, LoadReport, Time};

use super::Worker;

/// A log worker's machine: its process, its connections and its published load reports.
pub(super) struct Machine {
    pub worker: Worker,
    pub zone: usize,
    /// The process is running.
    pub up: bool,
    /// The machine drops all traffic: connections are neither refused nor answered.
    pub silent: bool,
    pub draining: bool,
    /// Incremented at each start and end of the process, so that events of an earlier process are recognised.
    pub epoch: u64,
    /// Version of the plan for the next step; steps planned under an older version are ignored.
    pub plan_version: u64,
    /// Number of open connections to it.
    pub connections: usize,
    /// Load reports, each with the time from which a probe returns it.
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
            plan_version: 0,
            connections: 0,
            reports: VecDeque::new(),
            rng,
        }
    }

    /// Closes connections. Those to an earlier process are not counted any more, so there may be fewer.
    pub fn close_connections(&mut self, count: usize) {
        self.connections = self.connections.saturating_sub(count);
    }
}

/// State of a dispatcher's host: events that wait for the policy, timers, connections and the discovery watch.
pub(super) struct DispatcherHost {
    pub zone: usize,
    /// Events of the next batch.
    pub events: VecDeque<Event>,
    /// Earliest time of the next batch.
    pub next_batch: Time,
    /// Times for which a batch is already planned.
    pub planned_batches: BTreeSet<Time>,
    /// Timers set by the policy: time and token.
    pub timers: BTreeSet<(Time, u64)>,
    pub paused: bool,
    pub paused_until: Time,
    /// Discovery sends it changes of the list.
    pub subscribed: bool,
    /// Number of its latest call to discovery; answers to earlier calls are ignored.
    pub discovery_call: u64,
    /// Idle connections to each log worker: the time of the last use and the epoch of the process.
    pub idle_connections: BTreeMap<usize, Vec<(Time, u64)>>,
    /// Start time of each log worker's process, as last announced to this dispatcher.
    pub known_starts: BTreeMap<usize, Time>,
}

impl DispatcherHost {
    pub fn new(zone: usize) -> Self {
        DispatcherHost {
            zone,
            events: VecDeque::new(),
            next_batch: Time(0),
            planned_batches: BTreeSet::new(),
            timers: BTreeSet::new(),
            paused: false,
            paused_until: Time(0),
            subscribed: false,
            discovery_call: 0,
            idle_connections: BTreeMap::new(),
            known_starts: BTreeMap::new(),
        }
    }
}
