//! The decisions of the dispatcher: which log worker, when again, what is refused. No I/O, no clock, no wire.
//!
//! A host feeds [`Event`]s to a [`Dispatcher`] and carries out the [`Action`]s it pushes.

#[cfg(test)]
extern crate self as rookspoke_decisions;

mod admission;
mod api;
mod dispatcher;
mod figures;
mod fleet;
mod health;
mod list_age;
mod partitions;
mod placement;
mod requests;
mod retry;
mod slow_start;
mod worker;

pub use api::*;
pub use dispatcher::Dispatcher;
pub use list_age::{ListAge, NOTIFIED_WITHIN};
