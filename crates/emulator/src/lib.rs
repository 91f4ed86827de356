//! An emulator of the fleet in simulated time: dispatchers, log workers, the archive store, discovery, the network
//! and clients, with scripts of incidents, checkers of the rules, and other policies to compare with.
//!
//! The decisions are linked unchanged, through their own interface. Nothing here reads a clock, and every random
//! draw comes from a stream of its own entity, so that a scenario and a seed always give the same report.

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
