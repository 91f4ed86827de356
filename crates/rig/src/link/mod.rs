//! Links: what passes between two parties goes through one, and can be disturbed there in either direction.
//!
//! A link that breaks nothing changes nothing but a fraction of a millisecond. What it does to which piece is drawn
//! from its seed, its direction and the piece's number, so one seed disturbs the same pieces again.

mod delivery;
mod tcp;
mod udp;

use std::sync::Arc;

pub use delivery::{Delivery, Direction};
pub use rookspoke_emulator::scenario::Faults;
pub use tcp::TcpLink;
use tokio::sync::watch;
pub use udp::{UdpCounts, UdpLink};

/// What disturbs a link at present; clones are the same control.
#[derive(Clone, Debug)]
pub struct LinkControl {
    forward: Arc<watch::Sender<Faults>>,
    backward: Arc<watch::Sender<Faults>>,
}

impl Default for LinkControl {
    fn default() -> Self {
        let faults = || Arc::new(watch::Sender::new(Faults::default()));
        LinkControl { forward: faults(), backward: faults() }
    }
}

impl LinkControl {
    /// Disturbs the way there and the way back from now on, connections that are open included.
    pub fn set(&self, forward: Faults, backward: Faults) {
        self.forward.send_replace(forward);
        self.backward.send_replace(backward);
    }

    /// Nothing is disturbed any more. What was held comes through.
    pub fn heal(&self) {
        self.set(Faults::default(), Faults::default());
    }

    /// Nothing comes through either way; connections stay open.
    pub fn cut_both_ways(&self) {
        let cut = Faults { cut: true, ..Faults::default() };
        self.set(cut, cut);
    }

    /// What disturbs a direction.
    pub fn faults(&self, direction: Direction) -> Faults {
        *self.sender(direction).borrow()
    }

    fn watch(&self, direction: Direction) -> watch::Receiver<Faults> {
        self.sender(direction).subscribe()
    }

    fn sender(&self, direction: Direction) -> &watch::Sender<Faults> {
        match direction {
            Direction::Forward => &self.forward,
            Direction::Backward => &self.backward,
        }
    }
}
