//! Readiness of this process, shared by the health check, the operators' console and the control socket.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use rookspoke_channel::Channel;

/// The channel and the flags that readiness depends on; clones share them.
#[derive(Clone)]
pub struct ServerState {
    channel: Channel,
    flags: Arc<Flags>,
}

#[derive(Default)]
struct Flags {
    accepting: AtomicBool,
    shutting_down: AtomicBool,
}

impl ServerState {
    /// The state of a process that has started and does not accept jobs yet.
    pub fn new(channel: Channel) -> Self {
        ServerState { channel, flags: Arc::default() }
    }

    /// Records that the process accepts jobs.
    pub fn start_accepting(&self) {
        self.flags.accepting.store(true, Ordering::Release);
    }

    /// Records that the process is shutting down.
    pub fn begin_shutdown(&self) {
        self.flags.shutting_down.store(true, Ordering::Release);
    }

    /// Whether the process accepts jobs, has a list of log workers, and is not shutting down.
    pub fn is_ready(&self) -> bool {
        let accepting = self.flags.accepting.load(Ordering::Acquire);
        let shutting_down = self.flags.shutting_down.load(Ordering::Acquire);
        accepting && !shutting_down && self.channel.is_ready()
    }

    /// The channel that dispatches requests to log workers.
    pub fn channel(&self) -> &Channel {
        &self.channel
    }
}
