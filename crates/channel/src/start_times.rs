//! Start times of log workers, corrected to this process's clock.
//!
//! Discovery gives a start as Unix time, while this process takes Unix time from its machine's clock only
//! once, at its own start. That clock may have been stepped by then, even by an hour. A start is implausible if
//! it lies in the future, or if it is reported as new long after it. An implausible start is replaced by the
//! time of its first report, so a log worker may stay in slow start for too long, but never for too short a
//! time. Starts in the first list from discovery are not checked for their age.

use rookspoke_decisions::{ListScope, Listing, Name, Readiness, Span, Time};
use rustc_hash::FxHashMap;

/// New starts are reported within seconds, or within a minute if discovery was down.
const MAX_REPORT_DELAY: Span = Span(60_000_000);

/// A start as reported, and the time used for it.
#[derive(Clone, Copy, Debug)]
struct Start {
    reported: Time,
    effective: Time,
}

/// The starts of all listed log workers.
#[derive(Debug, Default)]
pub struct StartTimes {
    starts: FxHashMap<Name, Start>,
    /// A list from discovery has been seen, so further starts are new.
    has_list: bool,
}

impl StartTimes {
    /// Replaces the starts of entries that arrived at `now` by those in effect on this process's clock.
    pub fn correct(&mut self, scope: ListScope, entries: &mut [Listing], now: Time) {
        let is_update = self.has_list;
        let previous = match scope {
            // Log workers missing from a complete list have been removed.
            ListScope::Complete => std::mem::take(&mut self.starts),
            _ => FxHashMap::default(),
        };
        for entry in entries {
            if entry.readiness == Readiness::Gone {
                self.starts.remove(&entry.worker);
                continue;
            }
            let Some(reported) = entry.started else { continue };
            let known = self.starts.get(&entry.worker).or(previous.get(&entry.worker));
            let start = match known {
                Some(start) if start.reported == reported => *start,
                _ if reported > now || (is_update && reported + MAX_REPORT_DELAY < now) => {
                    Start { reported, effective: now }
                }
                _ => Start { reported, effective: reported },
            };
            entry.started = Some(start.effective);
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
            queues: None,
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
    fn a_start_on_a_clock_that_is_off_by_an_hour_counts_from_its_first_report() {
        let now = Time::from_ms(10_000_000.0);
        for (stepped, reported) in [("back", now + HOUR), ("forward", now - HOUR)] {
            let mut times = StartTimes::default();
            times.correct(ListScope::Complete, &mut [listing("w-1", None)], now);
            assert_eq!(corrected(&mut times, ListScope::Changes, reported, now), now, "stepped {stepped}");
            // A repeated report of the same start changes nothing.
            let later = now + Span(5_000_000);
            assert_eq!(corrected(&mut times, ListScope::Complete, reported, later), now, "stepped {stepped}");
            assert_eq!(corrected(&mut times, ListScope::Changes, reported, later), now, "stepped {stepped}");
        }
    }

    #[test]
    fn starts_of_the_first_list_are_kept_unless_in_the_future() {
        let now = Time::from_ms(10_000_000.0);
        let first = |reported| corrected(&mut StartTimes::default(), ListScope::Remembered, reported, now);
        assert_eq!(first(now - HOUR), now - HOUR);
        assert_eq!(first(now + HOUR), now);
    }

    proptest! {
        /// A start never counts as earlier than reported, and reports of the last minute stay unchanged.
        #[test]
        fn a_start_never_counts_as_earlier_than_reported(offsets in proptest::collection::vec(-200_000_000i64..200_000_000, 1..20)) {
            let (mut times, mut now) = (StartTimes::default(), Time::from_ms(10_000_000.0));
            for offset in offsets {
                now = now + Span(100_000);
                let reported = now + Span(offset);
                let effective = corrected(&mut times, ListScope::Changes, reported, now);
                prop_assert!(effective >= reported.min(now) && effective <= now);
                prop_assert!(effective == reported || !(-MAX_REPORT_DELAY.0..=0).contains(&offset));
            }
        }
    }
}
