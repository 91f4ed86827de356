//! Budgets of the memory that a dispatcher holds for its peers: requests, jobs and answers, complete or not.
//!
//! Each holder of such memory has a [`Reservation`] in a [`MemoryBudget`] and grows it before it buffers more bytes.
//! While a message is incomplete, its reservation can be reclaimed for others: the one whose peer has sent nothing for
//! longest is reclaimed first.

mod budget;
mod combined_write;
mod plan;

pub use budget::{MemoryBudget, Reservation, Shortage, SMALL_BYTES};
pub use combined_write::poll_write_combined;
pub use plan::{ConnectionPlan, MemoryPlan, PeerMemory, CONNECTION_BYTES};
