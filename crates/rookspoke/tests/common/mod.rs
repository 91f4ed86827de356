//! The daemon as a process and stand-ins for those it talks to, shared by all tests of it.
#![allow(dead_code)]

pub mod faktory;
pub mod soak;
pub mod world;
