//! The decisions of the dispatcher: which log worker, when again, what is refused. No I/O, no clock, no wire.
//!
//! A host feeds [`Event`]s to a [`Dispatcher`] and carries out the [`Action`]s it pushes.

mod api;
mod book;
mod brain;

pub use api::*;
pub use brain::Dispatcher;
