//! The clock that the decisions see.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rookspoke_decisions::Time;

/// Unix time as it was at the start, advanced by the monotonic clock: it compares with the start times of
/// log workers, and never jumps.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    unix: Time,
}

impl Clock {
    /// A clock that starts from the system's.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix: Time(micros(unix)) }
    }
    /// The present moment.
    pub fn now(&self) -> Time {
        self.at(Instant::now())
    }
    /// The moment that the monotonic clock calls `instant`.
    pub fn at(&self, instant: Instant) -> Time {
        Time(self.unix.0.saturating_add(micros(instant.saturating_duration_since(self.started))))
    }
    /// How long until `time`; zero when it has passed.
    pub fn until(&self, time: Time) -> Duration {
        Duration::from_micros(u64::try_from((time - self.now()).0).unwrap_or(0))
    }
}

fn micros(duration: Duration) -> i64 {
    i64::try_from(duration.as_micros()).unwrap_or(i64::MAX)
}
