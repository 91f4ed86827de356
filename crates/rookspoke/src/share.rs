//! Sharing of the limits on file descriptors and memory while two processes of one dispatcher run during an upgrade.

use std::path::Path;
use std::time::Duration;

use rookspoke_guard::ConnectionLimit;
use rookspoke_memory::MemoryPlan;
use rookspoke_state::lease::ProcessLease;
use tokio::time::{interval, Interval, MissedTickBehavior};

use crate::server_state::ServerState;

/// Interval at which the state folder is polled for another process of this dispatcher and for its changes.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Client connections as a fraction of the descriptors.
const CLIENT_FRACTION: f64 = 0.5;
/// The same fraction while another process is running; the channel reduces its own fraction likewise.
const SHARED_CLIENT_FRACTION: f64 = 0.27;
/// Descriptors that two processes need for other purposes: listeners, consoles, files, the runtime.
const RESERVED_DESCRIPTORS: usize = 80;

/// A timer for polling the state folder.
pub fn poll_timer() -> Interval {
    let mut timer = interval(POLL_INTERVAL);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    timer
}

/// Maximum number of client connections while no other process is running.
pub fn client_limit(sockets: usize, memory: &MemoryPlan) -> usize {
    ((sockets as f64 * CLIENT_FRACTION) as usize).min(memory.connections.clients)
}

/// Maximum number of client connections while another process is running.
fn shared_client_limit(sockets: usize, memory: &MemoryPlan) -> usize {
    let by_sockets = (sockets.saturating_sub(RESERVED_DESCRIPTORS)) as f64 * SHARED_CLIENT_FRACTION;
    // At least 8, however low the limits are: some clients must be admitted.
    (by_sockets as usize).min(memory.connections.clients).max(8)
}

/// Limits this process to half of the descriptors and of the memory while another process of the dispatcher is running.
pub struct ProcessShare {
    lease: ProcessLease,
    limit: ConnectionLimit,
    sockets: usize,
    shared: bool,
}

impl ProcessShare {
    /// Takes a process lease in the state folder. If that fails, the error is logged and `None` returned: the process
    /// runs as usual, but does not detect another one.
    pub fn acquire(folder: &Path, limit: ConnectionLimit, sockets: usize) -> Option<Self> {
        let lease = ProcessLease::acquire(folder).inspect_err(|error| {
            tracing::warn!(
                "another process of this dispatcher would not be detected: {}: {error}",
                folder.display()
            );
        });
        lease.ok().map(|lease| ProcessShare { lease, limit, sockets, shared: false })
    }

    /// Checks once whether another process is running, and adapts the connection limits to it.
    pub fn update(&mut self, state: &ServerState) {
        let shared = self.lease.is_peer_running().unwrap_or(self.shared);
        if shared != self.shared {
            self.shared = shared;
            tracing::info!(
                "{}",
                match shared {
                    true => "another process of this dispatcher is running",
                    false => "no other process of this dispatcher is running",
                }
            );
            let memory = state.channel().memory().share_between(if shared { 2 } else { 1 });
            self.limit.resize(match shared {
                true => shared_client_limit(self.sockets, &memory),
                false => client_limit(self.sockets, &memory),
            });
            state.channel().reserve_sockets(shared.then_some(RESERVED_DESCRIPTORS));
        }
    }

    /// Checks at every poll interval; never completes.
    pub async fn run(mut self, state: ServerState) {
        let mut timer = poll_timer();
        loop {
            timer.tick().await;
            self.update(&state);
        }
    }
}
