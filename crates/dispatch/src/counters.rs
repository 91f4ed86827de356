//! What a dispatcher took in, sent and answered.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

use rookspoke_decisions::{Census, ClassId, EndReason, Name};

use super::Answer;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Running totals since the start, which only grow, and what is so now.
        #[derive(Debug, Default)]
        pub struct Counters {
            /// Each class's final answers, in the order of the settings.
            pub classes: Box<[ClassCounters]>,
            /// What is so now.
            pub gauges: Gauges,
            /// Final answers of the decisions, in the order of [`EndReason::ALL`].
            pub answers_by_reason: [Counter; EndReason::ALL.len()],
            $($(#[$doc])* pub $name: Counter,)*
        }

        impl Counters {
            /// Every total with its name, in a fixed order.
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
            /// `name=value`, parted by spaces.
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                for (at, (name, value)) in self.pairs().iter().enumerate() {
                    write!(f, "{}{name}={value}", if at > 0 { " " } else { "" })?;
                }
                Ok(())
            }
        }
    };
}

counters! {
    /// Requests taken: each is owed one final answer, or its client leaves.
    taken,
    /// Requests turned down before they were taken, for what they say.
    malformed,
    /// Requests turned down before they were taken, for what the front knows.
    turned_down,
    /// Client connections closed before their time: silent for too long, or to make room. Those that a shutdown cuts off are not among them.
    closed,
    /// Client connections that a graceful shutdown found open.
    shutdown_connections,
    /// Requests that were answered after a graceful shutdown had begun.
    shutdown_answers,
    /// Among the refused: those that were not taken, for want of room.
    overload,
    /// Among the failed: requests that a log worker could not use.
    unusable,
    /// Among the failed: requests that nobody had answered by their deadline.
    overdue,
    /// Clients that left before their answer.
    client_gone,
    /// Call attempts that a transport was given.
    sent,
    /// Call attempts whose request was written to its last byte.
    written,
    /// Call attempts stopped before they were sent.
    not_sent,
    /// Call attempts called off.
    cancelled,
    /// Call attempts that ended without being served, called off or stopped.
    attempts_failed,
    /// Reports of an attempt whose outcome was settled before.
    late_reports,
    /// Probes sent.
    probes,
    /// Idle connections to log workers closed to make room for another.
    connections_displaced,
    /// Connections to log workers that were not opened, since there was no room and none was idle.
    connections_without_room,
    /// Resolver results taken.
    lists,
    /// Calls to discovery that failed, and watches that broke.
    lists_failed,
    /// Among the failed: answers of discovery that came and could not be used.
    lists_unusable,
    /// Entries of lists that made no sense, and were left out.
    list_entries_unreadable,
}

/// A class's final answers.
#[derive(Debug, Default)]
pub struct ClassCounters {
    /// The class.
    pub name: Name,
    /// Served.
    pub served: Counter,
    /// Refused, taken or not.
    pub refused: Counter,
    /// Failed.
    pub failed: Counter,
}

/// What is so now, as the task that owns the decisions last said.
#[derive(Debug, Default)]
pub struct Gauges {
    /// Requests that are owed an answer.
    pub open_requests: Gauge,
    /// Listed log workers.
    pub known_workers: Gauge,
    /// Those of them that get nothing.
    pub skipped_workers: Gauge,
}

impl Gauges {
    pub(crate) fn publish(&self, open: usize, census: Census) {
        self.open_requests.set(open);
        self.known_workers.set(census.known);
        self.skipped_workers.set(census.skipped);
    }
}

impl Counters {
    /// Counters for these classes, all at 0.
    pub fn for_classes<'a>(classes: impl Iterator<Item = &'a Name>) -> Self {
        let class = |name: &Name| ClassCounters { name: name.clone(), ..ClassCounters::default() };
        Counters { classes: classes.map(class).collect(), ..Counters::default() }
    }

    /// One more final answer: the only place where they are counted.
    pub fn answered<R>(&self, class: ClassId, answer: &Answer<R>) {
        let Some(class) = self.classes.get(class.0) else { return };
        match answer {
            Answer::Served(_) => class.served.increment(),
            Answer::Refused { .. } => class.refused.increment(),
            Answer::Failed => class.failed.increment(),
        }
    }

    /// One more final answer of the decisions, for this reason.
    pub(crate) fn concluded(&self, reason: EndReason) {
        self.answers_by_reason[reason.index()].increment();
    }

    /// One more request that is refused before it is taken, for want of room: it never ran.
    pub(crate) fn overloaded<R>(&self, class: ClassId) -> Answer<R> {
        self.overload.increment();
        let answer = Answer::Refused { retry_after: None };
        self.answered(class, &answer);
        answer
    }

    fn sum(&self, of: impl Fn(&ClassCounters) -> &Counter) -> u64 {
        self.classes.iter().map(|class| of(class).get()).sum()
    }

    /// Requests served.
    pub fn served(&self) -> u64 {
        self.sum(|class| &class.served)
    }

    /// Requests refused, taken or not.
    pub fn refused(&self) -> u64 {
        self.sum(|class| &class.refused)
    }

    /// Requests failed.
    pub fn failed(&self) -> u64 {
        self.sum(|class| &class.failed)
    }
}

/// A figure that goes up and down.
#[derive(Debug, Default)]
pub struct Gauge(AtomicU64);

impl Gauge {
    fn set(&self, value: usize) {
        self.0.store(value as u64, Ordering::Relaxed);
    }
    /// The figure.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// One running total.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// One more.
    pub fn increment(&self) {
        self.add(1);
    }
    /// So many more.
    pub fn add(&self, count: usize) {
        self.0.fetch_add(count as u64, Ordering::Relaxed);
    }
    /// The total.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}
