//! What becomes of one piece on a link: drawn, without I/O or clock.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rookspoke_decisions::Span;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Faults;

/// A direction of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From who opened the connection, or sent first.
    Forward,
    /// Back to them.
    Backward,
}

/// How much later than its delay a datagram comes that others are to pass.
const PASSED: Span = Span(20_000);

/// What becomes of a piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// How much later it comes, once for each copy; none is lost.
    pub copies: Vec<Span>,
}

impl Delivery {
    /// The fate of the piece of this number. The same four always give the same.
    pub fn draw(faults: &Faults, seed: u64, direction: Direction, number: u64) -> Self {
        let mut bytes = [0; 9];
        bytes[0] = direction as u8;
        bytes[1..].copy_from_slice(&number.to_le_bytes());
        let mut rng = SmallRng::seed_from_u64(xxh3_64_with_seed(&bytes, seed));
        // Every draw is taken, so that one more fault leaves what the others do as it is.
        let [lost, twice, passed, first, second]: [f64; 5] = rng.random();
        if faults.cut || lost < faults.loss {
            return Delivery { copies: Vec::new() };
        }
        let late = |draw: f64| faults.delay + Span((faults.jitter.0 as f64 * draw) as i64);
        let held = if passed < faults.reorder { PASSED } else { Span(0) };
        let mut copies = vec![late(first) + held];
        if twice < faults.duplicate {
            copies.push(late(second));
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
    fn one_seed_drops_the_same_numbers_whatever_else_is_wrong() {
        let faults = Faults { loss: 0.2, ..Faults::default() };
        let first = lost(7, Direction::Forward, &faults);
        assert!((50..110).contains(&first.len()), "{}", first.len());
        let more = Faults { delay: Span(5_000), jitter: Span(9_000), duplicate: 0.5, reorder: 0.5, ..faults };
        assert_eq!(first, lost(7, Direction::Forward, &more));
        assert_ne!(first, lost(8, Direction::Forward, &faults));
        assert_ne!(first, lost(7, Direction::Backward, &faults));
    }

    #[test]
    fn nothing_wrong_changes_nothing() {
        for number in 0..100 {
            let delivery = Delivery::draw(&Faults::default(), 3, Direction::Forward, number);
            assert_eq!(delivery.copies, [Span(0)]);
        }
    }
}
