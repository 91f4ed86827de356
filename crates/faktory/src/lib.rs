//! The Faktory front: a work server for producers and consumers, with a dispatcher core of its own.
//!
//! A PUSH is a request, a consumer is a log worker on the core's list, and a call attempt waits for that
//! consumer's FETCH. The first FETCH that gets the job accepts it; ACK and FAIL end it.

mod call;
mod codec;
mod handover;
mod jobs;
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
#[serde(expecting = "an object with the settings of the Faktory front")]
pub struct FaktoryConfig {
    /// Address at which producers and consumers connect.
    pub listen: SocketAddr,
    /// Maximum number of connections of producers and consumers together.
    pub max_connections: usize,
    /// How long a job waits for one consumer to fetch it before it is offered to another, in milliseconds.
    pub claim_ms: u64,
    /// How long a consumer that lost its last connection may take to reconnect before the jobs that it holds count
    /// as lost, in milliseconds.
    pub reconnect_ms: u64,
    /// VRRP with the other daemons of a redundant pair; without it this daemon always accepts jobs.
    pub vrrp: Option<rookspoke_vrrp::VrrpConfig>,
}

impl FaktoryConfig {
    fn claim_timeout(&self) -> Duration {
        Duration::from_millis(self.claim_ms)
    }

    fn reconnect_timeout(&self) -> Duration {
        Duration::from_millis(self.reconnect_ms)
    }
}

/// Adapts the platform's settings to this front: classes and rules stay the same, but consumers announce
/// themselves, report when they start a job, and have neither zones nor kinds.
fn front_settings(platform: &Settings) -> Settings {
    let mut settings = platform.clone();
    (settings.dispatcher_index, settings.dispatchers) = (0, 1);
    (settings.zone, settings.zones) = (registry::ZONE.into(), vec![registry::ZONE.into()]);
    (settings.discovery, settings.reporting) = (Discovery::Automatic, Reporting::Answers);
    (settings.reports_start, settings.limits.probes, settings.limits.cancel) = (true, false, true);
    // Consumers send no progress reports about a running job.
    settings.progress_interval = Span(0);
    settings.kinds.clear();
    settings.classes.iter_mut().for_each(|class| class.kind = None);
    settings.tenants.clear();
    settings
}
