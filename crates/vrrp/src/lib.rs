//! VRRP version 3 (RFC 9568) between the daemons of a Faktory pair, over unicast UDP: it decides which of
//! them accepts new work.

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
pub struct VrrpConfig {
    /// This daemon's own address and port.
    pub listen: SocketAddrV4,
    /// The other daemons'.
    pub peers: Vec<SocketAddrV4>,
    /// The number of the virtual router.
    pub vrid: u8,
    /// 1 to 254; 255 for the owner of the addresses.
    pub priority: u8,
    /// How often the master advertises, in hundredths of a second.
    pub interval_cs: u16,
    /// Whether to take over from a master of lower priority.
    pub preempt: bool,
    /// The virtual addresses, the same on every daemon.
    pub addresses: Vec<Ipv4Addr>,
}

impl VrrpConfig {
    /// Turns down what cannot work, naming the field.
    pub fn params(&self) -> Result<Params, ConfigError> {
        let need = |ok: bool, field: &str, found: String| match ok {
            true => Ok(()),
            false => Err(ConfigError::new(format!("vrrp.{field}"), found)),
        };
        need(self.vrid > 0, "vrid", "0".into())?;
        need(self.priority > 0, "priority", "0 is for a master that stops".into())?;
        let interval = (1..=packet::MAX_INTERVAL).contains(&self.interval_cs);
        need(interval, "interval_cs", self.interval_cs.to_string())?;
        need((1..=255).contains(&self.addresses.len()), "addresses", "1 to 255 of them".into())?;
        need(!self.peers.is_empty(), "peers", "none".into())?;
        let own = Advertisement {
            vrid: self.vrid,
            priority: self.priority,
            interval_cs: self.interval_cs,
            addresses: self.addresses.clone(),
        };
        Ok(Params { own, address: self.listen, preempt: self.preempt })
    }
}
