//! Addresses of a rig, and what the system must have room for before it starts.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

use rookspoke_emulator::scenario::Scenario;
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use thiserror::Error;

/// What is missing for a rig of this size.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum CapacityError {
    /// Too few descriptors.
    #[error(
        "found a limit of {found} open files, expected {needed} at least for {dispatchers} dispatchers, {workers} log \
         workers and {links} links (ulimit -n)"
    )]
    FileDescriptors {
        /// The limit.
        found: u64,
        /// What is needed.
        needed: u64,
        /// Of the play.
        dispatchers: usize,
        /// Of the play.
        workers: usize,
        /// Of the play.
        links: usize,
    },
    /// Too few addresses.
    #[error("found {found} {what}, expected {most} at most: a rig has so many loopback addresses for them")]
    Addresses {
        /// How many there are.
        found: usize,
        /// Of what.
        what: &'static str,
        /// The most.
        most: usize,
    },
}

/// What has an address of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddressKind {
    /// A dispatcher.
    Dispatcher,
    /// A log worker.
    Worker,
    /// Discovery, as one dispatcher reaches it.
    Discovery,
    /// A link.
    Link,
}

const IN_ONE: usize = 250;
/// The most of each kind.
pub const MAX_PER_KIND: usize = 60 * IN_ONE;
/// FileDescriptors for the rig itself.
const OWN: usize = 128;
/// FileDescriptors for each dispatcher: its log, its watch, connections of clients.
const EACH_DISPATCHER: usize = 14;
/// Connections of a dispatcher to log workers, at the most that was seen of one that kept them for 15 s.
const EACH_CONNECTIONS: usize = 40;
/// FileDescriptors for each link: its listener, and some connections at both ends.
const EACH_LINK: usize = 9;

/// The loopback addresses of one rig.
#[derive(Clone, Copy, Debug)]
pub struct LoopbackAddresses {
    block: u8,
}

impl LoopbackAddresses {
    /// Addresses apart from those of most other rigs.
    pub fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = std::process::id().wrapping_mul(31) + NEXT.fetch_add(1, Ordering::Relaxed);
        // 127.0 is for everybody else.
        LoopbackAddresses { block: 1 + (number % 250) as u8 }
    }

    /// The address of the `number`-th of a kind; the system chooses the port.
    pub fn of(self, kind: AddressKind, number: usize) -> SocketAddr {
        let third = kind as usize * 60 + number / IN_ONE % 60;
        let address = Ipv4Addr::new(127, self.block, third as u8, 1 + (number % IN_ONE) as u8);
        SocketAddr::new(IpAddr::V4(address), 0)
    }
}

impl Default for LoopbackAddresses {
    fn default() -> Self {
        Self::new()
    }
}

/// Checks that there is room, before anything is started. The limit of descriptors is raised as far as it may be.
///
/// # Errors
/// Says what is needed.
pub fn check_capacity(s: &Scenario, links: usize) -> Result<(), CapacityError> {
    let limit = getrlimit(Resource::Nofile);
    let most = limit.maximum.unwrap_or(u64::MAX);
    let raised = Rlimit { current: limit.maximum, maximum: limit.maximum };
    let found = match setrlimit(Resource::Nofile, raised) {
        Ok(()) => most,
        Err(_) => limit.current.unwrap_or(u64::MAX),
    };
    enough(s, links, found)
}

/// Whether a limit of `found` descriptors is enough, and addresses are.
fn enough(s: &Scenario, links: usize, found: u64) -> Result<(), CapacityError> {
    let (dispatchers, workers) = (s.count("dispatchers"), s.count("workers"));
    for (count, what) in [(dispatchers, "dispatchers"), (workers, "log workers"), (links, "links")] {
        if count > MAX_PER_KIND {
            return Err(CapacityError::Addresses { found: count, what, most: MAX_PER_KIND });
        }
    }
    let connections = EACH_CONNECTIONS.min(2 * workers);
    let needed = OWN + workers + dispatchers * (EACH_DISPATCHER + connections) + links * EACH_LINK;
    match found < needed as u64 {
        true => {
            Err(CapacityError::FileDescriptors { found, needed: needed as u64, dispatchers, workers, links })
        }
        false => Ok(()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn too_little_room_is_told_with_what_is_needed() {
        let mut s = Scenario::default();
        assert_eq!(enough(&s, 0, 1024), Ok(()));
        s.values.insert("dispatchers", 300.0);
        let error = enough(&s, 10, 1024).expect_err("too few");
        assert_eq!(
            error.to_string(),
            "found a limit of 1024 open files, expected 11630 at least for 300 dispatchers, 12 log workers and 10 links \
             (ulimit -n)"
        );
        s.values.insert("workers", 20_000.0);
        let error = enough(&s, 0, u64::MAX).expect_err("too many");
        assert!(error.to_string().starts_with("found 20000 log workers, expected 15000 at most"), "{error}");
    }

    #[test]
    fn everybody_has_an_address() {
        let places = LoopbackAddresses::new();
        let mut all = std::collections::HashSet::new();
        for kind in [AddressKind::Dispatcher, AddressKind::Worker, AddressKind::Discovery, AddressKind::Link]
        {
            assert!((0..MAX_PER_KIND).all(|number| all.insert(places.of(kind, number))));
        }
    }
}
