//! One clock for all that a play writes down, and how late the rig itself ran.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use hdrhistogram::Histogram;
use rookspoke_decisions::{Span, Time};
use serde::Serialize;

/// A span as the runtime counts them; a negative one is none.
pub fn duration(span: Span) -> Duration {
    Duration::from_micros(span.0.max(0) as u64)
}

/// Microseconds since a play's start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    wall: SystemTime,
}

impl Clock {
    /// A clock that starts `lead` from now: what comes before has negative times.
    pub fn starting_in(lead: Duration) -> Self {
        Clock { start: Instant::now() + lead, wall: SystemTime::now() + lead }
    }

    /// The present.
    pub fn now(&self) -> Time {
        let now = Instant::now();
        match now.checked_duration_since(self.start) {
            Some(since) => Time(since.as_micros() as i64),
            None => Time(-(self.start.duration_since(now).as_micros() as i64)),
        }
    }

    /// A moment of this clock as the runtime counts them.
    pub fn instant(&self, at: Time) -> tokio::time::Instant {
        let from = Duration::from_micros(at.0.unsigned_abs());
        let instant = if at.0 < 0 { self.start.checked_sub(from) } else { self.start.checked_add(from) };
        instant.unwrap_or(self.start).into()
    }

    /// A moment of this clock in milliseconds since 1970, as discovery tells starts.
    pub fn unix_ms(&self, at: Time) -> u64 {
        let start = self.wall.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        (start.as_millis() as i64 + at.0 / 1000).max(0) as u64
    }

    /// Waits until then. Gives how late the rig woke.
    pub async fn sleep_until(&self, at: Time) -> Span {
        tokio::time::sleep_until(self.instant(at)).await;
        self.now() - at
    }
}

/// How late the rig's own timers ran: where that is too much, what it saw is worth nothing.
#[derive(Clone, Debug)]
pub struct Lateness(Arc<Mutex<Histogram<u64>>>);

/// Lateness in figures, in milliseconds.
#[derive(Clone, Copy, Debug, Serialize, PartialEq)]
pub struct LatenessSummary {
    /// The median.
    pub p50_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The latest.
    #[serde(rename = "most_ms")]
    pub max_ms: f64,
}

impl Default for Lateness {
    fn default() -> Self {
        // Two digits, from 1 us to a minute.
        let histogram = Histogram::new_with_bounds(1, 60_000_000, 2);
        Lateness(Arc::new(Mutex::new(histogram.unwrap_or_else(|_| unreachable!("bounds that hold")))))
    }
}

impl Lateness {
    /// One timer ran so late.
    pub fn record(&self, late: Span) {
        let mut histogram = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        histogram.saturating_record(late.0.max(1) as u64);
    }

    /// What came together.
    pub fn summary(&self) -> LatenessSummary {
        let histogram = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let at = |q: f64| histogram.value_at_quantile(q) as f64 / 1000.0;
        LatenessSummary { p50_ms: at(0.5), p99_ms: at(0.99), max_ms: histogram.max() as f64 / 1000.0 }
    }

    /// Looks every 10 ms whether timers run in time, until dropped.
    pub async fn monitor(self, clock: Clock) {
        let step = Span(10_000);
        let mut next = clock.now() + step;
        loop {
            self.record(clock.sleep_until(next).await);
            // Not all that was missed: one late look counts once.
            next = (next + step).max(clock.now());
        }
    }
}
