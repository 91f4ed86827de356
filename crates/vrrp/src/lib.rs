//! VRRP version 3 (RFC 9568) over unicast UDP: elects the daemon of a redundant pair whose Faktory front accepts new
//! jobs.
//!
//! RFC 9568 says `Active` where RFC 5798 said `Master`. The code uses the newer term; log lines, the daemon's status
//! and the settings say `master`.

mod driver;
mod packet;
mod state_machine;

use std::net::{Ipv4Addr, SocketAddrV4};

use serde::Deserialize;

pub use driver::{Driver, VrrpCounters};
pub use packet::{Advertisement, AdvertisementError};
pub use state_machine::{Params, State, StateMachine};

use rookspoke_config::ConfigError;

/// The section `vrrp` of the configuration.
#[derive(Clone, Debug, Deserialize)]
#[serde(expecting = "an object with the settings of VRRP")]
pub struct VrrpConfig {
    /// Address and port that this daemon sends from and receives at. Breaks ties between equal priorities.
    pub listen: SocketAddrV4,
    /// Addresses and ports of the other daemons of this virtual router.
    pub peers: Vec<SocketAddrV4>,
    /// Virtual router identifier (VRID), 1 to 255.
    pub vrid: u8,
    /// Election priority, 1 to 254; 255 for the owner of the virtual addresses.
    pub priority: u8,
    /// Advertisement interval in centiseconds, 1 to 4095.
    pub interval_cs: u16,
    /// `Preempt_Mode`: a backup takes over from an active router of lower priority.
    pub preempt: bool,
    /// Virtual IPv4 addresses, the same on every daemon.
    pub addresses: Vec<Ipv4Addr>,
}

impl VrrpConfig {
    /// Parameters of the state machine.
    ///
    /// # Errors
    /// A value is out of range; the error names its field.
    pub fn params(&self) -> Result<Params, ConfigError> {
        let require = |valid: bool, field: &str, found: String| match valid {
            true => Ok(()),
            false => Err(ConfigError::new(format!("vrrp.{field}"), found)),
        };
        require(self.vrid > 0, "vrid", "found 0, expected 1 to 255".into())?;
        let priority = "found 0, which announces the end of a master; expected 1 to 255";
        require(self.priority > 0, "priority", priority.into())?;
        let interval = format!("found {}, expected 1 to {}", self.interval_cs, packet::MAX_INTERVAL_CS);
        let interval_valid = (1..=packet::MAX_INTERVAL_CS).contains(&self.interval_cs);
        require(interval_valid, "interval_cs", interval)?;
        let addresses = format!("found {} addresses, expected 1 to 255", self.addresses.len());
        require((1..=255).contains(&self.addresses.len()), "addresses", addresses)?;
        require(!self.peers.is_empty(), "peers", "found no peer, expected at least one".into())?;
        let own = Advertisement {
            vrid: self.vrid,
            priority: self.priority,
            interval_cs: self.interval_cs,
            addresses: self.addresses.clone(),
        };
        Ok(Params { own, address: self.listen, preempt: self.preempt })
    }
}
