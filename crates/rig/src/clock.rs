//! The clock of a run, and a measurement of how late the rig's own timers fire.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use hdrhistogram::Histogram;
use rookspoke_decisions::{Span, Time};
use serde::Serialize;

/// Converts a span to a `Duration`; a negative span becomes zero.
pub fn duration(span: Span) -> Duration {
    Duration::from_micros(span.0.max(0) as u64)
}

/// A monotonic clock that counts microseconds from a chosen start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    wall_start: SystemTime,
}

impl Clock {
    /// Creates a clock whose time 0 is `lead` from now. Earlier times are negative.
    pub fn starting_in(lead: Duration) -> Self {
        Clock { start: Instant::now() + lead, wall_start: SystemTime::now() + lead }
    }

    /// The present time of this clock.
    pub fn now(&self) -> Time {
        let now = Instant::now();
        match now.checked_duration_since(self.start) {
            Some(since) => Time(since.as_micros() as i64),
            None => Time(-(self.start.duration_since(now).as_micros() as i64)),
        }
    }

    /// Converts a time of this clock to an instant of the async runtime.
    pub fn instant(&self, at: Time) -> tokio::time::Instant {
        let from_start = Duration::from_micros(at.0.unsigned_abs());
        let instant =
            if at.0 < 0 { self.start.checked_sub(from_start) } else { self.start.checked_add(from_start) };
        instant.unwrap_or(self.start).into()
    }

    /// Converts a time of this clock to Unix milliseconds, the form in which discovery states process starts.
    pub fn unix_ms(&self, at: Time) -> u64 {
        let start = self.wall_start.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        (start.as_millis() as i64 + at.0 / 1000).max(0) as u64
    }

    /// Sleeps until a time of this clock. Returns by how much the timer fired late.
    pub async fn sleep_until(&self, at: Time) -> Span {
        tokio::time::sleep_until(self.instant(at)).await;
        self.now() - at
    }
}

/// A histogram of how late the rig's own timers fired. If they fire too late, a run's verdict is void.
#[derive(Clone, Debug)]
pub struct Lateness(Arc<Mutex<Histogram<u64>>>);

/// Summary of the lateness of timers, in milliseconds.
#[derive(Clone, Copy, Debug, Serialize, PartialEq)]
pub struct LatenessSummary {
    /// The median.
    pub p50_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The maximum.
    #[serde(rename = "most_ms")]
    pub max_ms: f64,
}

impl Default for Lateness {
    fn default() -> Self {
        // Two significant digits, from 1 us to one minute.
        let histogram = Histogram::new_with_bounds(1, 60_000_000, 2);
        Lateness(Arc::new(Mutex::new(
            histogram.unwrap_or_else(|_| unreachable!("the bounds of the histogram are valid")),
        )))
    }
}

impl Lateness {
    /// Records by how much one timer fired late.
    pub fn record(&self, late_by: Span) {
        let mut histogram = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        histogram.saturating_record(late_by.0.max(1) as u64);
    }

    /// Summarizes all recorded values.
    pub fn summary(&self) -> LatenessSummary {
        let histogram = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let quantile_ms = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        LatenessSummary {
            p50_ms: quantile_ms(0.5),
            p99_ms: quantile_ms(0.99),
            max_ms: histogram.max() as f64 / 1000.0,
        }
    }

    /// Records the lateness of a timer every 10 ms, until the future is dropped.
    pub async fn monitor(self, clock: Clock) {
        let interval = Span(10_000);
        let mut next = clock.now() + interval;
        loop {
            self.record(clock.sleep_until(next).await);
            // Missed intervals are skipped, so that one delay is recorded once.
            next = (next + interval).max(clock.now());
        }
    }
}
