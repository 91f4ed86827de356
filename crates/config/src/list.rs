//! The list of log workers, in discovery's form.

use std::net::SocketAddr;

use rookspoke_decisions::{Listing, Readiness, Time};
use serde::Deserialize;

/// The most that a list holds in any form, in bytes: room for twenty thousand log workers, six times the largest fleet.
pub const MAX_LIST_BYTES: usize = 8 * 1024 * 1024;

/// What discovery says at once: the whole list, or what changed.
#[derive(Clone, Debug, Deserialize)]
pub struct Update {
    /// The version of the list.
    pub rev: u64,
    /// Whether it is the whole list.
    pub all: bool,
    /// The entries.
    pub targets: Vec<Target>,
}

/// One log worker, as discovery describes it.
#[derive(Clone, Debug, Deserialize)]
pub struct Target {
    /// Its name, the same for every dispatcher.
    pub uid: String,
    /// Where this dispatcher reaches it.
    pub endpoint: SocketAddr,
    #[serde(default)]
    az: String,
    #[serde(default)]
    model: String,
    pod_group: Option<u64>,
    state: State,
    capacity_hint: Option<f64>,
    boot_ms: Option<f64>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Active,
    Leaving,
    Left,
}

impl Target {
    /// The entry as the decisions know it.
    pub fn listing(&self) -> Listing {
        Listing {
            worker: self.uid.as_str().into(),
            kind: self.model.as_str().into(),
            zone: self.az.as_str().into(),
            cell: self.pod_group,
            started: self.boot_ms.filter(|ms| ms.is_finite() && *ms > 0.0).map(Time::from_ms),
            weight: self.capacity_hint.filter(|w| w.is_finite()).unwrap_or(1.0),
            readiness: match self.state {
                State::Active => Readiness::InService,
                State::Leaving => Readiness::Draining,
                State::Left => Readiness::Gone,
            },
        }
    }
}
