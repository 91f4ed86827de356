//! The clock that timestamps the events of the decisions.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rookspoke_decisions::Time;

/// A monotonic clock that counts from the Unix time at its start. Its readings can be compared with the
/// start times that log workers report, and never jump when the system clock is stepped.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    unix_at_start: Time,
}

impl Clock {
    /// Reads the system clock once and starts counting from there.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix_at_start: Time(micros(unix)) }
    }
    /// The current time.
    pub fn now(&self) -> Time {
        self.at(Instant::now())
    }
    /// Converts a monotonic `instant`; one from before the start counts as the start.
    pub fn at(&self, instant: Instant) -> Time {
        let elapsed = instant.saturating_duration_since(self.started);
        Time(self.unix_at_start.0.saturating_add(micros(elapsed)))
    }
    /// How long until `time`; zero when it has passed.
    pub fn until(&self, time: Time) -> Duration {
        Duration::from_micros(u64::try_from((time - self.now()).0).unwrap_or(0))
    }
}

fn micros(duration: Duration) -> i64 {
    i64::try_from(duration.as_micros()).unwrap_or(i64::MAX)
}
