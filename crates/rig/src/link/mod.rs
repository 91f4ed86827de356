//! Links: what passes between two parties goes through one, and can be disturbed there in either direction.
//!
//! A link that breaks nothing changes nothing but a fraction of a millisecond. What it does to which piece is drawn
//! from its seed, its direction and the piece's number, so one seed disturbs the same pieces again.

mod fate;
mod tcp;
mod udp;

use std::sync::Arc;

pub use fate::{Direction, Fate};
pub use rookspoke_emulator::scenario::Faults;
pub use tcp::TcpLink;
use tokio::sync::watch;
pub use udp::{UdpCounts, UdpLink};

/// What disturbs a link at present; clones are the same control.
#[derive(Clone, Debug)]
pub struct Control {
    there: Arc<watch::Sender<Faults>>,
    back: Arc<watch::Sender<Faults>>,
}

impl Default for Control {
    fn default() -> Self {
        let faults = || Arc::new(watch::Sender::new(Faults::default()));
        Control { there: faults(), back: faults() }
    }
}

impl Control {
    /// Disturbs the way there and the way back from now on, connections that are open included.
    pub fn set(&self, there: Faults, back: Faults) {
        self.there.send_replace(there);
        self.back.send_replace(back);
    }

    /// Nothing is disturbed any more. What was held comes through.
    pub fn heal(&self) {
        self.set(Faults::default(), Faults::default());
    }

    /// Nothing comes through either way; connections stay open.
    pub fn silence(&self) {
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
            Direction::There => &self.there,
            Direction::Back => &self.back,
        }
    }
}
