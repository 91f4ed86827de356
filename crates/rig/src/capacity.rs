//! Loopback addresses of a rig, and the check that the system has enough descriptors and addresses for a scenario.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

use rookspoke_emulator::scenario::Scenario;
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use thiserror::Error;

/// A resource of the machine that does not suffice for a scenario.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum CapacityError {
    /// The limit of open files is too low.
    #[error(
        "found a limit of {found} open files, expected {needed} at least for {dispatchers} dispatchers, {workers} log \
         workers and {links} links (ulimit -n)"
    )]
    FileDescriptors {
        /// The limit in effect.
        found: u64,
        /// The number of descriptors that the run needs.
        needed: u64,
        /// Number of dispatchers in the scenario.
        dispatchers: usize,
        /// Number of log workers in the scenario.
        workers: usize,
        /// Number of links in the scenario.
        links: usize,
    },
    /// The scenario has more parties of a kind than there are loopback addresses for them.
    #[error("found {found} {what}, expected {most} at most, the number of loopback addresses for each kind")]
    Addresses {
        /// The number in the scenario.
        found: usize,
        /// The kind, in the plural.
        what: &'static str,
        /// The number of addresses of each kind.
        most: usize,
    },
}

/// A kind of party that has loopback addresses of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddressKind {
    /// The listeners of a dispatcher.
    Dispatcher,
    /// The listener of a log worker.
    Worker,
    /// The listener of discovery for one dispatcher.
    Discovery,
    /// The listener of a link.
    Link,
}

/// Number of addresses that are used of a /24 block.
const ADDRESSES_PER_BLOCK: usize = 250;
/// Number of addresses of each kind.
pub const MAX_PER_KIND: usize = 60 * ADDRESSES_PER_BLOCK;
/// Descriptors that the rig itself uses.
const RIG_DESCRIPTORS: usize = 128;
/// Descriptors per dispatcher: its log, its watch of discovery and the connections of clients.
const DESCRIPTORS_PER_DISPATCHER: usize = 14;
/// Connections per dispatcher to log workers: the largest number observed with connections kept for 15 s.
const CONNECTIONS_PER_DISPATCHER: usize = 40;
/// Descriptors per link: its listener, and some connections with both ends.
const DESCRIPTORS_PER_LINK: usize = 9;

/// Assigns loopback addresses within 127.0.0.0/8 to the parties of one rig.
#[derive(Clone, Copy, Debug)]
pub struct LoopbackAddresses {
    block: u8,
}

impl LoopbackAddresses {
    /// Chooses a block of addresses that most other rigs on the machine do not use.
    pub fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = std::process::id().wrapping_mul(31) + NEXT.fetch_add(1, Ordering::Relaxed);
        // 127.0.0.0/16 is left to other programs.
        LoopbackAddresses { block: 1 + (number % 250) as u8 }
    }

    /// The address of the party with this number, with port 0, so that the system chooses the port.
    pub fn of(self, kind: AddressKind, number: usize) -> SocketAddr {
        let third = kind as usize * 60 + number / ADDRESSES_PER_BLOCK % 60;
        let address = Ipv4Addr::new(127, self.block, third as u8, 1 + (number % ADDRESSES_PER_BLOCK) as u8);
        SocketAddr::new(IpAddr::V4(address), 0)
    }
}

impl Default for LoopbackAddresses {
    fn default() -> Self {
        Self::new()
    }
}

/// Checks that descriptors and addresses suffice, before anything is started. Raises the soft limit of open files to the
/// hard limit.
///
/// # Errors
/// A resource does not suffice.
pub fn check_capacity(scenario: &Scenario, links: usize) -> Result<(), CapacityError> {
    let limit = getrlimit(Resource::Nofile);
    let hard_limit = limit.maximum.unwrap_or(u64::MAX);
    let raised = Rlimit { current: limit.maximum, maximum: limit.maximum };
    let found = match setrlimit(Resource::Nofile, raised) {
        Ok(()) => hard_limit,
        Err(_) => limit.current.unwrap_or(u64::MAX),
    };
    check_limits(scenario, links, found)
}

/// Checks a scenario with this number of links against a limit of `found` descriptors and the number of addresses.
fn check_limits(scenario: &Scenario, links: usize, found: u64) -> Result<(), CapacityError> {
    let (dispatchers, workers) = (scenario.count("dispatchers"), scenario.count("workers"));
    for (count, what) in [(dispatchers, "dispatchers"), (workers, "log workers"), (links, "links")] {
        if count > MAX_PER_KIND {
            return Err(CapacityError::Addresses { found: count, what, most: MAX_PER_KIND });
        }
    }
    let connections = CONNECTIONS_PER_DISPATCHER.min(2 * workers);
    let needed = RIG_DESCRIPTORS
        + workers
        + dispatchers * (DESCRIPTORS_PER_DISPATCHER + connections)
        + links * DESCRIPTORS_PER_LINK;
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
    fn an_error_states_the_limit_and_the_required_number() {
        let mut scenario = Scenario::default();
        assert_eq!(check_limits(&scenario, 0, 1024), Ok(()));
        scenario.values.insert("dispatchers", 300.0);
        let error = check_limits(&scenario, 10, 1024).expect_err("too few");
        assert_eq!(
            error.to_string(),
            "found a limit of 1024 open files, expected 11630 at least for 300 dispatchers, 12 log workers and 10 links \
             (ulimit -n)"
        );
        scenario.values.insert("workers", 20_000.0);
        let error = check_limits(&scenario, 0, u64::MAX).expect_err("too many");
        assert!(error.to_string().starts_with("found 20000 log workers, expected 15000 at most"), "{error}");
    }

    #[test]
    fn all_parties_have_distinct_addresses() {
        let addresses = LoopbackAddresses::new();
        let mut distinct = std::collections::HashSet::new();
        for kind in [AddressKind::Dispatcher, AddressKind::Worker, AddressKind::Discovery, AddressKind::Link]
        {
            assert!((0..MAX_PER_KIND).all(|number| distinct.insert(addresses.of(kind, number))));
        }
    }
}
