//! The decisions of a request dispatcher: which log worker gets a request, when it is sent again, and what is
//! refused. The crate does no I/O, reads no clock and knows no wire format.
//!
//! A host passes [`Event`]s to a [`Dispatcher`] and carries out the [`Action`]s that it returns.

#[cfg(test)]
extern crate self as rookspoke_decisions;

mod admission;
mod api;
#[cfg(test)]
#[path = "../tests/common/mod.rs"]
mod common;
mod dispatcher;
mod exclusion;
mod fleet;
mod health;
mod list_age;
mod partitions;
mod placement;
mod requests;
mod retry;
mod slow_start;
mod worker;
mod worker_counts;

pub use api::*;
pub use dispatcher::Dispatcher;
pub use list_age::{ListAge, NOTIFIED_WITHIN};
