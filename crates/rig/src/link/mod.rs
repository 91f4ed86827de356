//! Links: proxies between two parties that can inject faults in either direction.
//!
//! A link without faults forwards everything and adds a fraction of a millisecond. What happens to a piece of data is
//! drawn from the link's seed, the direction and the piece's number, so the same seed affects the same pieces again.

mod delivery;
mod tcp;
mod udp;

use std::sync::Arc;

pub use delivery::{Delivery, Direction};
pub use rookspoke_emulator::scenario::Faults;
pub use tcp::TcpLink;
use tokio::sync::watch;
pub use udp::{UdpCounts, UdpLink};

/// The faults that a link injects at present. Clones control the same link.
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
    /// Sets the faults of both directions, also for connections that are open.
    pub fn set(&self, forward: Faults, backward: Faults) {
        self.forward.send_replace(forward);
        self.backward.send_replace(backward);
    }

    /// Removes all faults. Data that a cut held back is forwarded.
    pub fn heal(&self) {
        self.set(Faults::default(), Faults::default());
    }

    /// Stops forwarding in both directions; connections stay open.
    pub fn cut_both_ways(&self) {
        let cut = Faults { cut: true, ..Faults::default() };
        self.set(cut, cut);
    }

    /// The present faults of a direction.
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
