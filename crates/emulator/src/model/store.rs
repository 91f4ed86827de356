//! The archive store that all log workers share: so many fetches go at full speed, more share it.

use rookspoke_decisions::{Span, Time};

/// A fetch: which log worker wants it, and for which attempt.
pub type Fetch = (usize, usize);

/// The store.
#[derive(Clone, Debug)]
pub struct Store {
    full_speed_fetches: f64,
    fetches: Vec<(Fetch, f64)>,
    updated_at: Time,
    /// Fetches begun so far.
    pub fetches_started: u64,
}

impl Store {
    /// One that serves `full_speed_fetches` fetches at full speed.
    pub fn new(full_speed_fetches: f64) -> Self {
        Store { full_speed_fetches, fetches: Vec::new(), updated_at: Time(0), fetches_started: 0 }
    }

    fn rate(&self) -> f64 {
        (self.full_speed_fetches / self.fetches.len().max(1) as f64).min(1.0)
    }

    /// Brings it up to the present.
    pub fn advance(&mut self, now: Time) {
        let done = (now - self.updated_at).secs() * self.rate();
        self.updated_at = now;
        self.fetches.iter_mut().for_each(|(_, left)| *left -= done);
    }

    /// Begins a fetch that takes this long with the store to itself.
    pub fn start_fetch(&mut self, fetch: Fetch, length: Span) {
        self.fetches_started += 1;
        self.fetches.push((fetch, length.secs()));
    }

    /// Nobody waits for it any more.
    pub fn cancel_fetches(&mut self, worker: usize, attempt: Option<usize>) {
        self.fetches.retain(|((w, a), _)| *w != worker || attempt.is_some_and(|attempt| attempt != *a));
    }

    /// When the next one is done, as things stand.
    pub fn next_completion(&self) -> Option<Time> {
        let least = self.fetches.iter().map(|fetch| fetch.1).fold(f64::INFINITY, f64::min);
        let wait = (least.max(0.0) / self.rate() * 1e6).ceil();
        least.is_finite().then(|| self.updated_at + Span(wait as i64))
    }

    /// Those that are done.
    pub fn take_completed(&mut self) -> Vec<Fetch> {
        let (done, left) = self.fetches.drain(..).partition(|(_, left)| *left <= 1e-9);
        self.fetches = left;
        let done: Vec<(Fetch, f64)> = done;
        done.into_iter().map(|(fetch, _)| fetch).collect()
    }

    /// Fetches under way.
    pub fn active_fetches(&self) -> usize {
        self.fetches.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn more_than_it_serves_at_once_share_it() {
        let mut store = Store::new(2.0);
        for n in 0..4 {
            store.start_fetch((0, n), Span(1_000_000));
        }
        assert_eq!(store.next_completion(), Some(Time(2_000_000)));
        store.advance(Time(1_000_000));
        store.cancel_fetches(0, Some(3));
        store.cancel_fetches(0, Some(2));
        assert_eq!(store.next_completion(), Some(Time(1_500_000)), "the two that are left go at full speed");
        store.advance(Time(1_500_000));
        assert_eq!(store.take_completed(), [(0, 0), (0, 1)]);
        assert_eq!((store.active_fetches(), store.fetches_started, store.next_completion()), (0, 4, None));
    }
}
