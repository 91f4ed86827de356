//! Draws what a link does to one piece of data, without I/O or a clock.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rookspoke_decisions::Span;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Faults;

/// A direction of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the client, which opens the connection or sends the first datagram, to the target.
    Forward,
    /// From the target to the client.
    Backward,
}

/// Added to the delay of a reordered datagram, so that later ones overtake it.
const REORDER_DELAY: Span = Span(20_000);

/// What a link does to a piece of data.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// The delay of each copy that is delivered; empty if the piece is lost.
    pub copies: Vec<Span>,
}

impl Delivery {
    /// Draws the delivery of the piece with this number. The same arguments always give the same result.
    pub fn draw(faults: &Faults, seed: u64, direction: Direction, number: u64) -> Self {
        let mut bytes = [0; 9];
        bytes[0] = direction as u8;
        bytes[1..].copy_from_slice(&number.to_le_bytes());
        let mut rng = SmallRng::seed_from_u64(xxh3_64_with_seed(&bytes, seed));
        // All values are drawn whether needed or not, so that adding a fault does not change the effect of the others.
        let [lost, duplicated, reordered, first, second]: [f64; 5] = rng.random();
        if faults.cut || lost < faults.loss {
            return Delivery { copies: Vec::new() };
        }
        let delay = |draw: f64| faults.delay + Span((faults.jitter.0 as f64 * draw) as i64);
        let reorder_delay = if reordered < faults.reorder { REORDER_DELAY } else { Span(0) };
        let mut copies = vec![delay(first) + reorder_delay];
        if duplicated < faults.duplicate {
            copies.push(delay(second));
        }
        Delivery { copies }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn lost(seed: u64, direction: Direction, faults: &Faults) -> Vec<u64> {
        (0..400).filter(|n| Delivery::draw(faults, seed, direction, *n).copies.is_empty()).collect()
    }

    #[test]
    fn the_same_seed_drops_the_same_pieces_whatever_other_faults_are_set() {
        let faults = Faults { loss: 0.2, ..Faults::default() };
        let first = lost(7, Direction::Forward, &faults);
        assert!((50..110).contains(&first.len()), "{}", first.len());
        let more = Faults { delay: Span(5_000), jitter: Span(9_000), duplicate: 0.5, reorder: 0.5, ..faults };
        assert_eq!(first, lost(7, Direction::Forward, &more));
        assert_ne!(first, lost(8, Direction::Forward, &faults));
        assert_ne!(first, lost(7, Direction::Backward, &faults));
    }

    #[test]
    fn without_faults_every_piece_is_delivered_once_and_at_once() {
        for number in 0..100 {
            let delivery = Delivery::draw(&Faults::default(), 3, Direction::Forward, number);
            assert_eq!(delivery.copies, [Span(0)]);
        }
    }
}
