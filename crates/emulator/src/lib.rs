//! A discrete-event simulator of the fleet: dispatchers, log workers, the archive store, discovery, the network and
//! clients. Scenarios inject incidents, checkers verify the rules, and other policies serve for comparison.
//!
//! The dispatchers run the decisions crate unchanged, through its public interface. Nothing here reads a clock, and
//! every entity draws from its own random stream, so that a scenario and a seed always give the same report.

pub mod check;
pub mod experiment;
pub mod journal;
pub mod model;
pub mod paper;
pub mod plot;
pub mod policy;
pub mod report;
pub mod rng;
pub mod scenario;
pub mod script;
