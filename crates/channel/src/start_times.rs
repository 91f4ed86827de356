//! When log workers started, on this process's clock.
//!
//! Discovery gives a start as Unix time, and this process knows Unix time only as its machine's clock said it at the
//! process's own start. That clock may have been stepped before, by an hour even. A start that cannot be true on it, since
//! it lies ahead, or since it is told as news long after it was, counts from when it was first told: the log worker is
//! taken for colder than it is, never for warmer. Only what discovery first tells a process is taken as it stands.

use rookspoke_decisions::{ListScope, Listing, Name, Readiness, Span, Time};
use rustc_hash::FxHashMap;

/// News of a start comes within seconds, or, where discovery was out, within a minute.
const NEWS: Span = Span(60_000_000);

/// A start as it was told, and as it counts.
#[derive(Clone, Copy, Debug)]
struct Start {
    told: Time,
    counts: Time,
}

/// The starts of the log workers that are listed.
#[derive(Debug, Default)]
pub struct StartTimes {
    starts: FxHashMap<Name, Start>,
    /// Discovery has told something before: what it tells further is news.
    has_list: bool,
}

impl StartTimes {
    /// Sets the starts of entries that came at `now` to what counts on this process's clock.
    pub fn correct(&mut self, scope: ListScope, entries: &mut [Listing], now: Time) {
        let is_news = self.has_list;
        let former = match scope {
            // What a whole list does not name is gone.
            ListScope::Complete => std::mem::take(&mut self.starts),
            _ => FxHashMap::default(),
        };
        for entry in entries {
            if entry.readiness == Readiness::Gone {
                self.starts.remove(&entry.worker);
                continue;
            }
            let Some(told) = entry.started else { continue };
            let known = self.starts.get(&entry.worker).or(former.get(&entry.worker));
            let start = match known {
                Some(start) if start.told == told => *start,
                _ if told > now || (is_news && told + NEWS < now) => Start { told, counts: now },
                _ => Start { told, counts: told },
            };
            entry.started = Some(start.counts);
            self.starts.insert(entry.worker.clone(), start);
        }
        self.has_list |= scope != ListScope::Remembered;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const HOUR: Span = Span(3_600_000_000);

    fn listing(worker: &str, started: Option<Time>) -> Listing {
        Listing {
            worker: worker.into(),
            kind: "std4".into(),
            zone: "a".into(),
            cell: None,
            started,
            weight: 1.0,
            readiness: Readiness::InService,
        }
    }

    fn corrected(times: &mut StartTimes, scope: ListScope, started: Time, now: Time) -> Time {
        let mut entries = [listing("w-1", Some(started))];
        times.correct(scope, &mut entries, now);
        entries[0].started.expect("a start")
    }

    #[test]
    fn a_start_told_by_a_clock_an_hour_off_counts_from_its_news() {
        let now = Time::from_ms(10_000_000.0);
        for (stepped, told) in [("back", now + HOUR), ("forward", now - HOUR)] {
            let mut times = StartTimes::default();
            times.correct(ListScope::Complete, &mut [listing("w-1", None)], now);
            assert_eq!(corrected(&mut times, ListScope::Changes, told, now), now, "stepped {stepped}");
            // Told again, it is no other start.
            let later = now + Span(5_000_000);
            assert_eq!(corrected(&mut times, ListScope::Complete, told, later), now, "stepped {stepped}");
            assert_eq!(corrected(&mut times, ListScope::Changes, told, later), now, "stepped {stepped}");
        }
    }

    #[test]
    fn the_first_list_is_taken_as_it_stands_but_for_what_lies_ahead() {
        let now = Time::from_ms(10_000_000.0);
        let first = |told| corrected(&mut StartTimes::default(), ListScope::Remembered, told, now);
        assert_eq!(first(now - HOUR), now - HOUR);
        assert_eq!(first(now + HOUR), now);
    }

    proptest! {
        /// Nothing is taken for warmer than it was told, and news of the last minute stands.
        #[test]
        fn a_start_never_counts_as_older_than_told(offsets in proptest::collection::vec(-200_000_000i64..200_000_000, 1..20)) {
            let (mut times, mut now) = (StartTimes::default(), Time::from_ms(10_000_000.0));
            for offset in offsets {
                now = now + Span(100_000);
                let told = now + Span(offset);
                let counts = corrected(&mut times, ListScope::Changes, told, now);
                prop_assert!(counts >= told.min(now) && counts <= now);
                prop_assert!(counts == told || !(-NEWS.0..=0).contains(&offset));
            }
        }
    }
}
