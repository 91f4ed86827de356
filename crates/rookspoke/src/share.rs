//! Descriptors, while two versions of a dispatcher live on those of one.

use std::path::Path;
use std::time::Duration;

use rookspoke_guard::ConnectionLimit;
use rookspoke_state::lease::ProcessLease;
use tokio::time::{interval, Interval, MissedTickBehavior};

use crate::serving::Serving;

/// How often the folder is looked at for another process of this dispatcher and what it has changed.
const LOOK: Duration = Duration::from_millis(100);
/// Client connections, as a part of the descriptors.
const CLIENT_PART: f64 = 0.5;
/// The same while another process lives; the channel keeps to as little of its own part.
const SHARED_CLIENT_PART: f64 = 0.27;
/// What two processes need besides connections: their listeners, consoles, files, the runtime.
const APART: usize = 80;

/// When the folder is looked at.
pub fn looks() -> Interval {
    let mut looks = interval(LOOK);
    looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    looks
}

/// How many clients a process alone has room for.
pub fn clients(sockets: usize) -> usize {
    (sockets as f64 * CLIENT_PART) as usize
}

fn shared_clients(sockets: usize) -> usize {
    // However few there are, some clients must get in.
    ((sockets.saturating_sub(APART)) as f64 * SHARED_CLIENT_PART).max(8.0) as usize
}

/// Keeps to half of the descriptors for as long as another process lives.
pub struct Share {
    tenancy: ProcessLease,
    limit: ConnectionLimit,
    sockets: usize,
    shared: bool,
}

impl Share {
    /// Takes a place in the folder; none if that cannot be had, which costs nothing but this care.
    pub fn take(folder: &Path, limit: ConnectionLimit, sockets: usize) -> Option<Self> {
        let tenancy = ProcessLease::acquire(folder).inspect_err(|error| {
            tracing::warn!("another process would not be seen: {}: {error}", folder.display());
        });
        tenancy.ok().map(|tenancy| Share { tenancy, limit, sockets, shared: false })
    }

    /// Looks for the other process once.
    pub fn look(&mut self, serving: &Serving) {
        let shared = self.tenancy.is_peer_running().unwrap_or(self.shared);
        if shared != self.shared {
            self.shared = shared;
            tracing::info!("{}", if shared { "another process lives" } else { "this process is alone" });
            self.limit.resize(if shared { shared_clients(self.sockets) } else { clients(self.sockets) });
            serving.channel().reserve_sockets(shared.then_some(APART));
        }
    }

    /// Looks for as long as it is polled.
    pub async fn keep(mut self, serving: Serving) {
        let mut looks = looks();
        loop {
            looks.tick().await;
            self.look(&serving);
        }
    }
}
