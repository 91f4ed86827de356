//! Counters and gauges of a dispatcher: requests accepted, call attempts sent, answers given.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

use rookspoke_decisions::{ClassId, EndReason, Name, WorkerCounts};

use super::Answer;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counters since the process started, and gauges of the current state.
        #[derive(Debug, Default)]
        pub struct Counters {
            /// Final answers by class, in the order of the settings.
            pub classes: Box<[ClassCounters]>,
            /// The current state.
            pub gauges: Gauges,
            /// Answers that the decisions gave, by reason, in the order of [`EndReason::ALL`].
            pub answers_by_reason: [Counter; EndReason::ALL.len()],
            $($(#[$doc])* pub $name: Counter,)*
        }

        impl Counters {
            /// Every counter with its name, in a fixed order.
            pub fn pairs(&self) -> Vec<(&'static str, u64)> {
                let answers = [("served", self.served()), ("refused", self.refused()), ("failed", self.failed())];
                let reasons = EndReason::ALL.into_iter().map(|reason| {
                    (reason.name(), self.answers_by_reason[reason.index()].get())
                });
                let totals = [$((stringify!($name), self.$name.get()),)*];
                answers.into_iter().chain(totals).chain(reasons).collect()
            }
        }

        impl fmt::Display for Counters {
            /// Writes `name=value` pairs separated by spaces.
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                for (index, (name, value)) in self.pairs().iter().enumerate() {
                    write!(f, "{}{name}={value}", if index > 0 { " " } else { "" })?;
                }
                Ok(())
            }
        }
    };
}

counters! {
    /// Requests accepted; each gets one final answer unless its client leaves first.
    taken,
    /// Requests rejected before admission because they are malformed.
    malformed,
    /// Well-formed requests that the front rejected before admission, such as a duplicate job or any job on a backup.
    turned_down,
    /// Client connections closed early: idle for too long, or to make room for others. Connections that a shutdown
    /// closes are not counted.
    closed,
    /// Client connections open when a graceful shutdown began.
    shutdown_connections,
    /// Requests answered after a graceful shutdown had begun.
    shutdown_answers,
    /// Refused requests that were not accepted because the queue or the table of open requests was full.
    overload,
    /// Requests refused before they were accepted, because the memory budget had no room for them.
    out_of_memory,
    /// Failed requests that a log worker rejected as unusable.
    unusable,
    /// Failed requests that were still unanswered after their deadline.
    overdue,
    /// Clients that left before their answer.
    client_gone,
    /// Call attempts handed to a transport.
    sent,
    /// Call attempts whose request was written completely.
    written,
    /// Call attempts stopped before they were sent.
    not_sent,
    /// Call attempts cancelled.
    cancelled,
    /// Call attempts that ended without success, except those that were cancelled or never sent.
    attempts_failed,
    /// Reports about an attempt whose outcome was already settled.
    late_reports,
    /// Probes sent.
    probes,
    /// Idle connections to log workers closed to make room for another.
    connections_displaced,
    /// Connections to log workers that were not opened: the limit was reached and none was idle.
    connections_without_room,
    /// Lists and list changes received from discovery.
    lists,
    /// Failed calls to discovery, including broken watches.
    lists_failed,
    /// Failed calls to discovery whose answer arrived but could not be used.
    lists_unusable,
    /// List entries skipped because they could not be read.
    list_entries_unreadable,
}

/// Final answers to the requests of one class.
#[derive(Debug, Default)]
pub struct ClassCounters {
    /// Name of the class in the settings.
    pub name: Name,
    /// Requests that a log worker served.
    pub served: Counter,
    /// Requests refused, before or after they were accepted.
    pub refused: Counter,
    /// Requests that failed and may have run.
    pub failed: Counter,
}

/// The current state, as last published by the task that owns the decisions.
#[derive(Debug, Default)]
pub struct Gauges {
    /// Requests without a final answer.
    pub open_requests: Gauge,
    /// Log workers on the list.
    pub known_workers: Gauge,
    /// Listed log workers that currently get no requests.
    pub skipped_workers: Gauge,
}

impl Gauges {
    pub(crate) fn publish(&self, open: usize, counts: WorkerCounts) {
        self.open_requests.set(open);
        self.known_workers.set(counts.known);
        self.skipped_workers.set(counts.skipped);
    }
}

impl Counters {
    /// Counters for `classes`, all at 0.
    pub fn for_classes<'a>(classes: impl Iterator<Item = &'a Name>) -> Self {
        let class = |name: &Name| ClassCounters { name: name.clone(), ..ClassCounters::default() };
        Counters { classes: classes.map(class).collect(), ..Counters::default() }
    }

    /// Counts a final answer. Final answers are counted nowhere else.
    pub fn count_answer<R>(&self, class: ClassId, answer: &Answer<R>) {
        let Some(class) = self.classes.get(class.0) else { return };
        match answer {
            Answer::Served(_) => class.served.increment(),
            Answer::Refused { .. } => class.refused.increment(),
            Answer::Failed => class.failed.increment(),
        }
    }

    /// Counts an answer that the decisions gave for `reason`.
    pub(crate) fn count_reason(&self, reason: EndReason) {
        self.answers_by_reason[reason.index()].increment();
    }

    /// Counts and returns the refusal of a request that is not accepted for lack of capacity, and so never ran.
    pub(crate) fn refuse_for_overload<R>(&self, class: ClassId) -> Answer<R> {
        self.refuse(class, &self.overload)
    }

    /// Counts and returns the refusal of a request that is not accepted for lack of memory, and so never ran.
    pub fn refuse_for_memory<R>(&self, class: ClassId) -> Answer<R> {
        self.refuse(class, &self.out_of_memory)
    }

    fn refuse<R>(&self, class: ClassId, reason: &Counter) -> Answer<R> {
        reason.increment();
        let answer = Answer::Refused { retry_after: None };
        self.count_answer(class, &answer);
        answer
    }

    fn sum(&self, counter: impl Fn(&ClassCounters) -> &Counter) -> u64 {
        self.classes.iter().map(|class| counter(class).get()).sum()
    }

    /// Requests served, over all classes.
    pub fn served(&self) -> u64 {
        self.sum(|class| &class.served)
    }

    /// Requests refused, over all classes, before or after they were accepted.
    pub fn refused(&self) -> u64 {
        self.sum(|class| &class.refused)
    }

    /// Requests failed, over all classes.
    pub fn failed(&self) -> u64 {
        self.sum(|class| &class.failed)
    }
}

/// A value that goes up and down.
#[derive(Debug, Default)]
pub struct Gauge(AtomicU64);

impl Gauge {
    fn set(&self, value: usize) {
        self.0.store(value as u64, Ordering::Relaxed);
    }
    /// The value last published.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// A counter that only grows.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds one.
    pub fn increment(&self) {
        self.add(1);
    }
    /// Adds `count`.
    pub fn add(&self, count: usize) {
        self.0.fetch_add(count as u64, Ordering::Relaxed);
    }
    /// The total so far.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}
