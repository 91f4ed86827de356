//! rookspoke dispatches jobs to log workers.
//!
//! The decisions are [`Dispatcher`]'s; [`dispatch`] owns one and carries out what it decides, whatever
//! the wire. [`channel`] is the client-side plug-in that speaks the platform's protocol.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod api;
mod book;
mod brain;
pub mod channel;
pub mod config;
pub mod dispatch;
pub mod faktory;
pub mod front;
pub mod guard;
pub mod logger;
pub mod vrrp;
pub mod wire;

pub use brain::Dispatcher;
