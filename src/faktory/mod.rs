//! The Faktory front: a work server for producers and consumers, over a core of its own.
//!
//! A PUSH is a request, a consumer is a log worker of the core's list, and a call attempt waits for that
//! consumer's FETCH. ACK and FAIL end it.

mod codec;
mod hall;
mod server;
mod transport;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;

pub use server::Server;

use crate::api::{Discovery, Reporting, Settings};
use crate::config::ConfigError;

/// What `deploy/faktory.toml` says.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaktoryConfig {
    /// Off unless this says otherwise.
    #[serde(default)]
    pub enabled: bool,
    /// Where producers and consumers connect.
    pub listen: SocketAddr,
    /// The most connections of both kinds.
    #[serde(default = "connections")]
    pub max_connections: usize,
    /// How long a job waits for one consumer to fetch it before it is offered to another.
    #[serde(default = "claim_ms")]
    pub claim_ms: u64,
    /// How long a consumer that lost its last connection may stay away before what it held counts as lost.
    #[serde(default = "reconnect_ms")]
    pub reconnect_ms: u64,
    /// The pair that this daemon belongs to, if it does.
    pub vrrp: Option<crate::vrrp::VrrpConfig>,
}

fn connections() -> usize {
    256
}
fn claim_ms() -> u64 {
    5_000
}
fn reconnect_ms() -> u64 {
    2_000
}

impl FaktoryConfig {
    /// Reads the file; no file means off.
    pub fn read(path: &Path) -> Result<Option<Self>, ConfigError> {
        let name = path.display().to_string();
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(ConfigError::new(name, e)),
        };
        let config: FaktoryConfig =
            toml::from_str(&text).map_err(|e| ConfigError::new(name, e.to_string().replace('\n', " ")))?;
        if config.max_connections == 0 {
            return Err(ConfigError::new("max_connections", "0"));
        }
        Ok(config.enabled.then_some(config))
    }

    fn claim(&self) -> Duration {
        Duration::from_millis(self.claim_ms)
    }

    fn reconnect(&self) -> Duration {
        Duration::from_millis(self.reconnect_ms)
    }
}

/// The platform's settings as they apply here: the same classes and rules, but consumers announce
/// themselves, tell when they start, and have neither zones nor kinds.
fn settings(platform: &Settings) -> Settings {
    let mut s = platform.clone();
    (s.me, s.balancers) = (0, 1);
    (s.zone, s.zones) = (hall::ZONE.into(), vec![hall::ZONE.into()]);
    (s.discovery, s.reporting) = (Discovery::Automatic, Reporting::Answers);
    (s.tells_start, s.limits.probes, s.limits.cancel) = (true, false, true);
    s.kinds.clear();
    s.classes.iter_mut().for_each(|c| c.kind = None);
    s.tenants.clear();
    s
}
