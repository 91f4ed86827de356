//! Model of the archive store that all log workers share: up to a number of concurrent fetches run at full speed;
//! beyond it they share the total bandwidth evenly.

use rookspoke_decisions::{Span, Time};

/// A fetch, identified by the number of the log worker and the index of the attempt.
pub type Fetch = (usize, usize);

/// The store, with the fetches in progress.
#[derive(Clone, Debug)]
pub struct Store {
    full_speed_fetches: f64,
    /// Fetches in progress, each with its remaining seconds at full speed.
    fetches: Vec<(Fetch, f64)>,
    updated_at: Time,
    /// Number of fetches started so far.
    pub fetches_started: u64,
}

impl Store {
    /// Creates a store that serves up to `full_speed_fetches` fetches at full speed.
    pub fn new(full_speed_fetches: f64) -> Self {
        Store { full_speed_fetches, fetches: Vec::new(), updated_at: Time(0), fetches_started: 0 }
    }

    /// Present speed of each fetch, as a fraction of full speed.
    fn rate(&self) -> f64 {
        (self.full_speed_fetches / self.fetches.len().max(1) as f64).min(1.0)
    }

    /// Advances all fetches to `now`.
    pub fn advance(&mut self, now: Time) {
        let done = (now - self.updated_at).secs() * self.rate();
        self.updated_at = now;
        self.fetches.iter_mut().for_each(|(_, remaining)| *remaining -= done);
    }

    /// Starts a fetch that takes `length` at full speed.
    pub fn start_fetch(&mut self, fetch: Fetch, length: Span) {
        self.fetches_started += 1;
        self.fetches.push((fetch, length.secs()));
    }

    /// Cancels the fetch of one attempt at a log worker, or all fetches of that log worker if `attempt` is `None`.
    pub fn cancel_fetches(&mut self, worker: usize, attempt: Option<usize>) {
        self.fetches.retain(|((w, a), _)| *w != worker || attempt.is_some_and(|attempt| attempt != *a));
    }

    /// Time at which the next fetch completes if no fetch starts or is cancelled before.
    pub fn next_completion(&self) -> Option<Time> {
        let shortest = self.fetches.iter().map(|fetch| fetch.1).fold(f64::INFINITY, f64::min);
        let wait = (shortest.max(0.0) / self.rate() * 1e6).ceil();
        shortest.is_finite().then(|| self.updated_at + Span(wait as i64))
    }

    /// Removes and returns the completed fetches.
    pub fn take_completed(&mut self) -> Vec<Fetch> {
        let (done, unfinished) = self.fetches.drain(..).partition(|(_, remaining)| *remaining <= 1e-9);
        self.fetches = unfinished;
        let done: Vec<(Fetch, f64)> = done;
        done.into_iter().map(|(fetch, _)| fetch).collect()
    }

    /// Number of fetches in progress.
    pub fn active_fetches(&self) -> usize {
        self.fetches.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn fetches_beyond_the_limit_share_the_bandwidth() {
        let mut store = Store::new(2.0);
        for n in 0..4 {
            store.start_fetch((0, n), Span(1_000_000));
        }
        assert_eq!(store.next_completion(), Some(Time(2_000_000)));
        store.advance(Time(1_000_000));
        store.cancel_fetches(0, Some(3));
        store.cancel_fetches(0, Some(2));
        assert_eq!(
            store.next_completion(),
            Some(Time(1_500_000)),
            "the two remaining fetches run at full speed"
        );
        store.advance(Time(1_500_000));
        assert_eq!(store.take_completed(), [(0, 0), (0, 1)]);
        assert_eq!((store.active_fetches(), store.fetches_started, store.next_completion()), (0, 4, None));
    }
}
