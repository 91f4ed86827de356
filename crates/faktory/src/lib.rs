//! The Faktory front: a work server for producers and consumers, over a core of its own.
//!
//! A PUSH is a request, a consumer is a log worker of the core's list, and a call attempt waits for that
//! consumer's FETCH. ACK and FAIL end it.

mod codec;
mod registry;
mod server;
mod transport;

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

pub use server::{OperatorHandle, Server};

use rookspoke_decisions::{Discovery, Reporting, Settings, Span};

/// The section `faktory` of the configuration.
#[derive(Clone, Debug, Deserialize)]
pub struct FaktoryConfig {
    /// Where producers and consumers connect.
    pub listen: SocketAddr,
    /// The most connections of both kinds.
    pub max_connections: usize,
    /// How long a job waits for one consumer to fetch it before it is offered to another, in milliseconds.
    pub claim_ms: u64,
    /// How long a consumer that lost its last connection may stay away before what it held counts as lost, in
    /// milliseconds.
    pub reconnect_ms: u64,
    /// The pair that this daemon belongs to, if it does.
    pub vrrp: Option<rookspoke_vrrp::VrrpConfig>,
}

impl FaktoryConfig {
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
    (s.zone, s.zones) = (registry::ZONE.into(), vec![registry::ZONE.into()]);
    (s.discovery, s.reporting) = (Discovery::Automatic, Reporting::Answers);
    (s.tells_start, s.limits.probes, s.limits.cancel) = (true, false, true);
    // A consumer says nothing of a job that it runs.
    s.progress = Span(0);
    s.kinds.clear();
    s.classes.iter_mut().for_each(|c| c.kind = None);
    s.tenants.clear();
    s
}
