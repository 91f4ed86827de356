//! What is seen from outside, on one clock, and told to invariants and to the timeline.

use std::collections::VecDeque;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};

use rookspoke_decisions::Time;
use serde::Serialize;

use crate::clock::Clock;
use crate::invariants::{Invariant, Violation};

/// The most entries that a timeline holds; more are counted and left out.
const MAX_ENTRIES: usize = 2_000_000;
/// Lines kept before a breach.
const PRECEDING_ENTRIES: usize = 12;

/// How a client's request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestOutcome {
    /// 200, with the result of a log worker.
    Served,
    /// 429 or 503.
    Refused,
    /// Any other answer.
    Failed,
    /// The connection ended without a whole answer.
    #[serde(rename = "lost")]
    ConnectionLost,
    /// No connection came up, so nothing was sent.
    #[serde(rename = "unreached")]
    NotConnected,
    /// The client's time was up.
    #[serde(rename = "given-up")]
    TimedOut,
}

/// What a dispatcher's process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProcessEvent {
    /// Started.
    Started,
    /// Says that it is ready.
    Ready,
    /// Told to end (SIGTERM).
    Terminated,
    /// Killed (SIGKILL).
    Killed,
    /// Ended.
    #[serde(rename = "ended")]
    Exited,
    /// Stopped (SIGSTOP).
    Stopped,
    /// Goes on (SIGCONT).
    Resumed,
    /// Found ended, and nobody had told it to.
    Crashed,
}

/// One thing that was seen.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "seen", rename_all = "kebab-case")]
pub enum Event {
    /// A client sent a job.
    Sent {
        /// The job's own number.
        id: u64,
        /// To which dispatcher.
        dispatcher: usize,
        /// It must never run twice.
        once: bool,
        /// When its client's time is up.
        deadline_ms: f64,
    },
    /// A client's request ended.
    Closed {
        /// The job.
        id: u64,
        /// The dispatcher.
        dispatcher: usize,
        /// How.
        #[serde(rename = "end")]
        outcome: RequestOutcome,
    },
    /// A whole request reached a log worker.
    Reached {
        /// The job.
        id: u64,
        /// The log worker.
        worker: usize,
        /// The time that its client has left, as the request says.
        left_ms: Option<f64>,
    },
    /// A log worker turned an attempt away or handed it back: it never ran.
    #[serde(rename = "away")]
    TurnedAway {
        /// The job.
        id: u64,
        /// The log worker.
        worker: usize,
    },
    /// A job began to run.
    #[serde(rename = "began")]
    Started {
        /// The job.
        id: u64,
        /// The log worker.
        worker: usize,
    },
    /// A job ran to its end.
    #[serde(rename = "done")]
    Finished {
        /// The job.
        id: u64,
        /// The log worker.
        worker: usize,
    },
    /// Discovery wrote to a dispatcher whether a log worker takes work.
    #[serde(rename = "told")]
    Notified {
        /// The dispatcher.
        dispatcher: usize,
        /// The log worker.
        worker: usize,
        /// It takes work.
        #[serde(rename = "takes")]
        accepts_work: bool,
    },
    /// A cold log worker fell over.
    #[serde(rename = "fell")]
    Overloaded {
        /// The log worker.
        worker: usize,
        /// Mostly by jobs of dispatchers that had been told of its start.
        #[serde(rename = "told")]
        notified: bool,
    },
    /// A dispatcher's process.
    Dispatcher {
        /// Which.
        dispatcher: usize,
        /// What it does.
        #[serde(rename = "life")]
        event: ProcessEvent,
    },
    /// A figure that a dispatcher gave at the end, beside what was seen.
    #[serde(rename = "figure")]
    CounterCheck {
        /// The dispatcher.
        dispatcher: usize,
        /// Its name.
        name: &'static str,
        /// What the dispatcher says.
        #[serde(rename = "says")]
        reported: u64,
        /// What was counted outside.
        counted: u64,
    },
    /// Something of the script begins or ends, or a log worker's process changes.
    Script {
        /// In words.
        #[serde(rename = "what")]
        text: String,
    },
    /// A line of a process's own log.
    Log {
        /// Its name.
        #[serde(rename = "of")]
        process: String,
        /// The line.
        line: String,
    },
}

#[derive(Clone, Debug, Serialize)]
struct Entry {
    at_ms: f64,
    #[serde(flatten)]
    event: Event,
}

struct LogState {
    entries: Vec<Entry>,
    omitted: u64,
    recent: VecDeque<usize>,
    invariants: Vec<Box<dyn Invariant>>,
    violations: Vec<Violation>,
    /// When the play began: times are told from then.
    start: Time,
}

impl Default for LogState {
    fn default() -> Self {
        LogState {
            entries: Vec::new(),
            omitted: 0,
            recent: VecDeque::new(),
            invariants: Vec::new(),
            violations: Vec::new(),
            start: Time(0),
        }
    }
}

impl LogState {
    fn add_violation(&mut self, at: Time, rule: &str, description: String) {
        let preceding_events =
            self.recent.iter().filter_map(|entry| serde_json::to_string(&self.entries[*entry]).ok());
        let preceding_events = preceding_events.collect();
        self.violations.push(Violation {
            at_ms: (at - self.start).ms(),
            rule: rule.into(),
            description,
            preceding_events,
        });
    }
}

/// Where everything that is seen goes. Clones share it.
#[derive(Clone)]
pub struct EventLog {
    clock: Clock,
    state: Arc<Mutex<LogState>>,
}

impl EventLog {
    /// One with these invariants.
    pub fn new(clock: Clock, invariants: Vec<Box<dyn Invariant>>) -> Self {
        EventLog { clock, state: Arc::new(Mutex::new(LogState { invariants, ..LogState::default() })) }
    }

    /// The clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// The play begins then: the timeline counts from there.
    pub fn set_start(&self, at: Time) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).start = at;
    }

    /// Something was seen just now.
    pub fn record(&self, event: Event) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        // Under the lock, so that the order is that of the clock.
        let at = self.clock.now();
        self.append(&mut state, at, event);
    }

    fn append(&self, state: &mut LogState, at: Time, event: Event) {
        let mut invariants = std::mem::take(&mut state.invariants);
        if state.entries.len() < MAX_ENTRIES {
            state.recent.push_back(state.entries.len());
            state.entries.push(Entry { at_ms: at.ms(), event: event.clone() });
            if state.recent.len() > PRECEDING_ENTRIES {
                state.recent.pop_front();
            }
        } else {
            state.omitted += 1;
        }
        for invariant in &mut invariants {
            if let Some(description) = invariant.observe(at, &event) {
                state.add_violation(at, invariant.name(), description);
            }
        }
        state.invariants = invariants;
    }

    /// The play is over: the invariants say what is still owed.
    pub fn finish(&self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let at = self.clock.now();
        let mut invariants = std::mem::take(&mut state.invariants);
        for invariant in &mut invariants {
            for description in invariant.finish(at) {
                state.add_violation(at, invariant.name(), description);
            }
        }
        state.invariants = invariants;
    }

    /// What broke so far.
    pub fn violations(&self) -> Vec<Violation> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).violations.clone()
    }

    /// How many entries there are that this holds for.
    pub fn count(&self, of: impl Fn(&Event) -> bool) -> usize {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.entries.iter().filter(|entry| of(&entry.event)).count()
    }

    /// Writes the timeline: one JSON object to a line, in order of time.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let mut file = std::io::BufWriter::new(std::fs::File::create(path)?);
        for entry in &state.entries {
            let at_ms = entry.at_ms - state.start.ms();
            writeln!(file, "{}", serde_json::to_string(&Entry { at_ms, event: entry.event.clone() })?)?;
        }
        if state.omitted > 0 {
            writeln!(file, "{{\"left_out\":{}}}", state.omitted)?;
        }
        file.flush()
    }
}
