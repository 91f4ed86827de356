//! The decisions of the dispatcher: which log worker, when again, what is refused. No I/O, no clock, no wire.
//!
//! A host feeds [`Event`]s to a [`Dispatcher`] and carries out the [`Action`]s it pushes.

mod api;
mod book;
mod brain;
mod figures;
mod list_age;

pub use api::*;
pub use brain::Dispatcher;
pub use list_age::{ListAge, TOLD_WITHIN};
