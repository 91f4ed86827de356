//! A rate limiter for log lines, keyed by call site. Pure: time is an argument.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

/// Limits the number of lines from each call site in windows of one second.
#[derive(Debug)]
pub struct RateLimiter<K> {
    max_lines: u32,
    call_sites: HashMap<K, Window>,
}

#[derive(Debug, Default)]
struct Window {
    start: Duration,
    written: u32,
    suppressed: u64,
}

/// Length of a window.
const WINDOW_LENGTH: Duration = Duration::from_secs(1);

impl<K: Eq + Hash + Clone> RateLimiter<K> {
    /// A limiter that admits at most `max_lines` lines in a window from each call site.
    pub fn new(max_lines: u32) -> Self {
        RateLimiter { max_lines, call_sites: HashMap::new() }
    }

    /// Whether a line from this call site may be written at `now`, measured from the start of the process; counts the
    /// line as suppressed if not.
    pub fn admit(&mut self, call_site: &K, now: Duration) -> bool {
        if !self.call_sites.contains_key(call_site) {
            self.call_sites.insert(call_site.clone(), Window { start: now, ..Window::default() });
        }
        // Always present: inserted above if it was missing.
        let Some(window) = self.call_sites.get_mut(call_site) else { return true };
        if now.saturating_sub(window.start) >= WINDOW_LENGTH {
            (window.start, window.written) = (now, 0);
        }
        if window.written < self.max_lines {
            window.written += 1;
            return true;
        }
        window.suppressed += 1;
        false
    }

    /// The call sites with lines suppressed since the last call, and the number of these lines.
    pub fn take_suppressed(&mut self) -> Vec<(K, u64)> {
        let counts = self.call_sites.iter_mut().filter(|(_, window)| window.suppressed > 0);
        counts
            .map(|(call_site, window)| (call_site.clone(), std::mem::take(&mut window.suppressed)))
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_above_the_limit_are_suppressed_and_counted_for_each_call_site_alone() {
        let mut limiter = RateLimiter::new(3);
        let at = Duration::from_millis;
        let written = (0..10).filter(|n| limiter.admit(&"flood", at(n * 10))).count();
        assert_eq!(written, 3);
        assert!(limiter.admit(&"other", at(100)));
        assert_eq!(limiter.take_suppressed(), [("flood", 7)]);
        assert!(limiter.take_suppressed().is_empty());
        assert!(!limiter.admit(&"flood", at(999)));
        assert!(limiter.admit(&"flood", at(1000)), "a new window");
    }

    proptest::proptest! {
        /// Whatever the times, every line is either written or counted as suppressed, and no window exceeds the limit.
        #[test]
        fn every_line_is_written_or_counted_as_suppressed(
            gaps in proptest::collection::vec(0u64..700, 1..200),
            max_lines in 1u32..5,
        ) {
            let mut limiter = RateLimiter::new(max_lines);
            let (mut now, mut written) = (Duration::ZERO, Vec::new());
            for gap in &gaps {
                now += Duration::from_millis(*gap);
                if limiter.admit(&(), now) {
                    written.push(now);
                }
            }
            let suppressed: u64 = limiter.take_suppressed().iter().map(|(_, count)| count).sum();
            proptest::prop_assert_eq!(written.len() as u64 + suppressed, gaps.len() as u64);
            // A window begins with its first line, so an interval of the same length can overlap two windows and
            // hold up to twice the limit.
            for (at, first) in written.iter().enumerate() {
                let within = written[at..].iter().take_while(|time| **time - *first < WINDOW_LENGTH).count();
                proptest::prop_assert!(within as u32 <= 2 * max_lines);
            }
        }
    }
}
