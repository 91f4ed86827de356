//! How often a place in the program may write to the log. Pure: time is an argument.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

/// Counts lines by place, in windows of a second.
#[derive(Debug)]
pub struct Repeats<P> {
    most: u32,
    places: HashMap<P, Place>,
}

#[derive(Debug, Default)]
struct Place {
    window: Duration,
    written: u32,
    left_out: u64,
}

/// The length of a window.
const WINDOW: Duration = Duration::from_secs(1);

impl<P: Eq + Hash + Clone> Repeats<P> {
    /// At most `most` lines a window from each place.
    pub fn new(most: u32) -> Self {
        Repeats { most, places: HashMap::new() }
    }

    /// Whether a line of this place may be written, `now` after the start. What may not is counted.
    pub fn may_write(&mut self, place: &P, now: Duration) -> bool {
        if !self.places.contains_key(place) {
            self.places.insert(place.clone(), Place { window: now, ..Place::default() });
        }
        // It was put in just now, if it was not there.
        let Some(entry) = self.places.get_mut(place) else { return true };
        if now.saturating_sub(entry.window) >= WINDOW {
            (entry.window, entry.written) = (now, 0);
        }
        if entry.written < self.most {
            entry.written += 1;
            return true;
        }
        entry.left_out += 1;
        false
    }

    /// The places whose lines were left out since the last call, and how many of each.
    pub fn take_left_out(&mut self) -> Vec<(P, u64)> {
        let counts = self.places.iter_mut().filter(|(_, entry)| entry.left_out > 0);
        counts.map(|(place, entry)| (place.clone(), std::mem::take(&mut entry.left_out))).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_flood_is_cut_and_counted_and_other_places_are_not() {
        let mut repeats = Repeats::new(3);
        let at = Duration::from_millis;
        let written = (0..10).filter(|n| repeats.may_write(&"flood", at(n * 10))).count();
        assert_eq!(written, 3);
        assert!(repeats.may_write(&"other", at(100)));
        assert_eq!(repeats.take_left_out(), [("flood", 7)]);
        assert!(repeats.take_left_out().is_empty());
        assert!(!repeats.may_write(&"flood", at(999)));
        assert!(repeats.may_write(&"flood", at(1000)), "a new window");
    }

    proptest::proptest! {
        /// Whatever the times, nothing is lost: a line is written or counted, and no window holds more.
        #[test]
        fn every_line_is_written_or_counted(gaps in proptest::collection::vec(0u64..700, 1..200), most in 1u32..5) {
            let mut repeats = Repeats::new(most);
            let (mut now, mut written) = (Duration::ZERO, Vec::new());
            for gap in &gaps {
                now += Duration::from_millis(*gap);
                if repeats.may_write(&(), now) {
                    written.push(now);
                }
            }
            let left_out: u64 = repeats.take_left_out().iter().map(|(_, count)| count).sum();
            proptest::prop_assert_eq!(written.len() as u64 + left_out, gaps.len() as u64);
            // Windows begin with a line, so twice the number may meet where two of them do.
            for (at, first) in written.iter().enumerate() {
                let within = written[at..].iter().take_while(|time| **time - *first < WINDOW).count();
                proptest::prop_assert!(within as u32 <= 2 * most);
            }
        }
    }
}
