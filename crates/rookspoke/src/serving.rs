//! Whether this process is ready to serve: one answer for clients, operators and the control socket.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use rookspoke_channel::Channel;

/// What readiness depends on; clones share it.
#[derive(Clone)]
pub struct Serving {
    channel: Channel,
    now: Arc<Now>,
}

#[derive(Default)]
struct Now {
    accepting: AtomicBool,
    leaving: AtomicBool,
}

impl Serving {
    /// Of a process that has just started: its bans hold already.
    pub fn new(channel: Channel) -> Self {
        Serving { channel, now: Arc::default() }
    }

    /// Jobs are accepted from now on.
    pub fn accepts(&self) {
        self.now.accepting.store(true, Ordering::Release);
    }

    /// The process has been told to end.
    pub fn leaves(&self) {
        self.now.leaving.store(true, Ordering::Release);
    }

    /// Whether there is a list, jobs are accepted, and the process has not been told to end.
    pub fn is_ready(&self) -> bool {
        let accepts = self.now.accepting.load(Ordering::Acquire) && !self.now.leaving.load(Ordering::Acquire);
        accepts && self.channel.is_ready()
    }

    /// The way to the decisions.
    pub fn channel(&self) -> &Channel {
        &self.channel
    }
}
