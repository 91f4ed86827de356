//! A test rig for fault injection with the real program: it starts up to hundreds of dispatchers as processes, connects
//! them to stand-ins for log workers, discovery and clients through links that inject faults, records an event log, and
//! checks invariants on what it observed from outside.
//!
//! The crate serves tests and the lab's command-line tool; the daemon does not use it. The behaviour of log workers and
//! the jobs of clients come from the emulator's model, so that a scenario and a seed mean the same in both.

pub mod capacity;
pub mod clock;
pub mod discovery;
pub mod dispatcher;
pub mod event_log;
pub mod http_client;
pub mod invariants;
pub mod job;
pub mod link;
pub mod load;
mod response;
pub mod routes;
pub mod run;
pub mod soak;
pub mod supervisor;
pub mod worker_pool;
