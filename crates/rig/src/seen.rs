//! What is seen from outside, on one clock, and told to judges and to the timeline.

use std::collections::VecDeque;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};

use rookspoke_decisions::Time;
use serde::Serialize;

use crate::clock::Clock;
use crate::judge::{Breach, Invariant};

/// The most entries that a timeline holds; more are counted and left out.
const MOST: usize = 2_000_000;
/// Lines kept before a breach.
const AROUND: usize = 12;

/// How a client's request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// 200, with the result of a log worker.
    Served,
    /// 429 or 503.
    Refused,
    /// Any other answer.
    Failed,
    /// The connection ended without a whole answer.
    Lost,
    /// No connection came up, so nothing was sent.
    Unreached,
    /// The client's time was up.
    GivenUp,
}

/// What a dispatcher's process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Life {
    /// Started.
    Started,
    /// Says that it is ready.
    Ready,
    /// Told to end (SIGTERM).
    Terminated,
    /// Killed (SIGKILL).
    Killed,
    /// Ended.
    Ended,
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
pub enum Seen {
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
        end: End,
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
    Away {
        /// The job.
        id: u64,
        /// The log worker.
        worker: usize,
    },
    /// A job began to run.
    Began {
        /// The job.
        id: u64,
        /// The log worker.
        worker: usize,
    },
    /// A job ran to its end.
    Done {
        /// The job.
        id: u64,
        /// The log worker.
        worker: usize,
    },
    /// Discovery wrote to a dispatcher whether a log worker takes work.
    Told {
        /// The dispatcher.
        dispatcher: usize,
        /// The log worker.
        worker: usize,
        /// It takes work.
        takes: bool,
    },
    /// A cold log worker fell over.
    Fell {
        /// The log worker.
        worker: usize,
        /// Mostly by jobs of dispatchers that had been told of its start.
        told: bool,
    },
    /// A dispatcher's process.
    Dispatcher {
        /// Which.
        dispatcher: usize,
        /// What it does.
        life: Life,
    },
    /// A figure that a dispatcher gave at the end, beside what was seen.
    Figure {
        /// The dispatcher.
        dispatcher: usize,
        /// Its name.
        name: &'static str,
        /// What the dispatcher says.
        says: u64,
        /// What was counted outside.
        counted: u64,
    },
    /// Something of the script begins or ends, or a log worker's process changes.
    Script {
        /// In words.
        what: String,
    },
    /// A line of a process's own log.
    Log {
        /// Its name.
        of: String,
        /// The line.
        line: String,
    },
}

#[derive(Clone, Debug, Serialize)]
struct Entry {
    at_ms: f64,
    #[serde(flatten)]
    seen: Seen,
}

struct Book {
    entries: Vec<Entry>,
    left_out: u64,
    last: VecDeque<usize>,
    judges: Vec<Box<dyn Invariant>>,
    breaches: Vec<Breach>,
    /// When the play began: times are told from then.
    begin: Time,
}

impl Default for Book {
    fn default() -> Self {
        Book {
            entries: Vec::new(),
            left_out: 0,
            last: VecDeque::new(),
            judges: Vec::new(),
            breaches: Vec::new(),
            begin: Time(0),
        }
    }
}

impl Book {
    fn breaks(&mut self, at: Time, rule: &str, what: String) {
        let around = self.last.iter().filter_map(|entry| serde_json::to_string(&self.entries[*entry]).ok());
        let around = around.collect();
        self.breaches.push(Breach { at_ms: (at - self.begin).ms(), rule: rule.into(), what, around });
    }
}

/// Where everything that is seen goes. Clones share it.
#[derive(Clone)]
pub struct Watch {
    clock: Clock,
    book: Arc<Mutex<Book>>,
}

impl Watch {
    /// One with these judges.
    pub fn new(clock: Clock, judges: Vec<Box<dyn Invariant>>) -> Self {
        Watch { clock, book: Arc::new(Mutex::new(Book { judges, ..Book::default() })) }
    }

    /// The clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// The play begins then: the timeline counts from there.
    pub fn begins(&self, at: Time) {
        self.book.lock().unwrap_or_else(PoisonError::into_inner).begin = at;
    }

    /// Something was seen just now.
    pub fn sees(&self, seen: Seen) {
        let mut book = self.book.lock().unwrap_or_else(PoisonError::into_inner);
        // Under the lock, so that the order is that of the clock.
        let at = self.clock.now();
        self.put(&mut book, at, seen);
    }

    fn put(&self, book: &mut Book, at: Time, seen: Seen) {
        let mut judges = std::mem::take(&mut book.judges);
        if book.entries.len() < MOST {
            book.last.push_back(book.entries.len());
            book.entries.push(Entry { at_ms: at.ms(), seen: seen.clone() });
            if book.last.len() > AROUND {
                book.last.pop_front();
            }
        } else {
            book.left_out += 1;
        }
        for judge in &mut judges {
            if let Some(what) = judge.sees(at, &seen) {
                book.breaks(at, judge.name(), what);
            }
        }
        book.judges = judges;
    }

    /// The play is over: the judges say what is still owed.
    pub fn close(&self) {
        let mut book = self.book.lock().unwrap_or_else(PoisonError::into_inner);
        let at = self.clock.now();
        let mut judges = std::mem::take(&mut book.judges);
        for judge in &mut judges {
            for what in judge.closes(at) {
                book.breaks(at, judge.name(), what);
            }
        }
        book.judges = judges;
    }

    /// What broke so far.
    pub fn breaches(&self) -> Vec<Breach> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner).breaches.clone()
    }

    /// How many entries there are that this holds for.
    pub fn count(&self, of: impl Fn(&Seen) -> bool) -> usize {
        let book = self.book.lock().unwrap_or_else(PoisonError::into_inner);
        book.entries.iter().filter(|entry| of(&entry.seen)).count()
    }

    /// Writes the timeline: one JSON object to a line, in order of time.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let book = self.book.lock().unwrap_or_else(PoisonError::into_inner);
        let mut file = std::io::BufWriter::new(std::fs::File::create(path)?);
        for entry in &book.entries {
            let at_ms = entry.at_ms - book.begin.ms();
            writeln!(file, "{}", serde_json::to_string(&Entry { at_ms, seen: entry.seen.clone() })?)?;
        }
        if book.left_out > 0 {
            writeln!(file, "{{\"left_out\":{}}}", book.left_out)?;
        }
        file.flush()
    }
}
