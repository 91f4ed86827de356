//! What a dispatcher took in, sent and answered.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Running totals since the start; they only grow.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Counter,)*
        }

        impl Counters {
            /// Every total with its name, in a fixed order.
            pub fn pairs(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name.get()),)*]
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
    /// Client connections closed before their time: silent for too long, or to make room.
    closed,
    /// Requests turned down before they were taken, for want of room.
    overload,
    /// Answers: served.
    served,
    /// Answers: refused.
    refused,
    /// Answers: failed.
    failed,
    /// Among the failed: requests that a log worker could not use.
    unusable,
    /// Clients that left before their answer.
    client_gone,
    /// Call attempts that a transport was given.
    sent,
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
    /// Resolver results taken.
    lists,
    /// Calls to discovery that failed, and watches that broke.
    lists_failed,
}

/// One running total.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// One more.
    pub fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
    /// The total.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}
