//! A rig that rehearses incidents with the real program: it starts dispatchers by the hundred as processes, gives
//! them stand-ins for log workers, discovery and clients, leads what passes between them through links that can be
//! broken, and judges what comes of it from outside.
//!
//! It is for tests and for the laboratory's tool, and no part of the daemon. What a log worker does is the emulator's
//! own model, and what clients ask for is the emulator's own draw, so a scenario and a seed mean the same in both.

pub mod ask;
pub mod clock;
pub mod discovery;
pub mod dispatcher;
pub mod event_log;
pub mod invariants;
pub mod job;
pub mod keeper;
pub mod link;
pub mod load;
pub mod places;
pub mod play;
mod response;
pub mod soak;
pub mod ways;
pub mod worker_pool;
