//! The limit on client connections: how many may be open, and which are closed when a new one needs a slot or a client
//! exceeds a timeout.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::Notify;

/// How long a connection may stay in each state before it is closed.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// From accept to the last byte of the first request.
    pub first_request: Duration,
    /// From the first byte of a later request to its last byte.
    pub request: Duration,
    /// Between two requests.
    pub idle: Duration,
    /// From the end of an answer until it is flushed to the socket, which takes until the client reads.
    pub response: Duration,
}

/// How often [`ConnectionLimit::pending_answered`] checks whether pending requests are answered.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// State of a connection. The order matters: to free a slot, `New` connections are closed first, then `Idle` ones, and
/// none in a later state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum State {
    /// No complete request has been received yet.
    New,
    /// Between two requests.
    Idle,
    /// A later request has been received in part.
    Receiving,
    /// The answer is being written.
    Responding,
    /// A request is complete and has no answer yet.
    Pending,
}

struct Entry {
    state: State,
    since: Instant,
    close: Arc<Notify>,
    closing: bool,
    /// Whether the socket's receive buffer holds bytes that have not been read.
    has_unread: Box<dyn Fn() -> bool + Send>,
}

struct Shared {
    capacity: AtomicUsize,
    timeouts: Timeouts,
    entries: Mutex<Entries>,
    slot_freed: Notify,
}

#[derive(Default)]
struct Entries {
    /// By connection number, so in the order of accept.
    open: BTreeMap<u64, Entry>,
    next_number: u64,
    /// Connections that were asked to close and are still open.
    closing: usize,
}

/// Number of connections at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Open connections.
    pub open: usize,
    /// Those among them whose client waits for an answer or for the rest of one.
    pub pending: usize,
}

/// A limit on open connections that evicts those without a request in progress; clones share it.
#[derive(Clone)]
pub struct ConnectionLimit(Arc<Shared>);

impl ConnectionLimit {
    /// Allows `capacity` open connections.
    pub fn new(capacity: usize, timeouts: Timeouts) -> Self {
        let (capacity, entries, slot_freed) = (capacity.into(), Mutex::default(), Notify::new());
        ConnectionLimit(Arc::new(Shared { capacity, timeouts, entries, slot_freed }))
    }

    /// Takes a slot. If none is free, one connection is asked to close, and the slot becomes free once it has: the
    /// oldest that never sent a complete request, or else the one that has been idle for longest. Connections with
    /// unread bytes on the socket or with an unanswered request are never chosen.
    pub fn admit(&self, has_unread: impl Fn() -> bool + Send + 'static) -> Option<Permit> {
        let mut entries = self.0.lock();
        if entries.open.len() >= self.0.capacity.load(Ordering::Relaxed) {
            if entries.closing == 0 {
                entries.close_one();
            }
            return None;
        }
        Some(self.insert(&mut entries, Box::new(has_unread)))
    }

    /// Changes the capacity. Connections beyond it are asked to close, chosen as in [`ConnectionLimit::admit`].
    pub fn resize(&self, capacity: usize) {
        self.0.capacity.store(capacity, Ordering::Relaxed);
        let mut entries = self.0.lock();
        let excess = (entries.open.len() - entries.closing).saturating_sub(capacity);
        (0..excess).for_each(|_| entries.close_one());
        self.0.slot_freed.notify_one();
    }

    /// Takes a slot even if none is free: for the few connections that still wait to be served when the listener has
    /// closed and no others can follow.
    pub fn admit_over_limit(&self, has_unread: impl Fn() -> bool + Send + 'static) -> Permit {
        self.insert(&mut self.0.lock(), Box::new(has_unread))
    }

    fn insert(&self, entries: &mut Entries, has_unread: Box<dyn Fn() -> bool + Send>) -> Permit {
        let (number, close) = (entries.next_number, Arc::new(Notify::new()));
        let entry = Entry {
            state: State::New,
            since: Instant::now(),
            close: close.clone(),
            closing: false,
            has_unread,
        };
        entries.open.insert(number, entry);
        entries.next_number += 1;
        Permit(Arc::new(Slot { limit: self.clone(), number, close }))
    }

    /// Counts the open connections and those that wait for an answer.
    pub fn counts(&self) -> ConnectionCounts {
        let entries = self.0.lock();
        let pending = entries.open.values().filter(|entry| entry.state >= State::Responding).count();
        ConnectionCounts { open: entries.open.len(), pending }
    }

    /// Waits until a slot has become free since the last call.
    pub async fn slot_freed(&self) {
        self.0.slot_freed.notified().await;
    }

    /// Waits until every request that is pending now has its answer.
    pub async fn pending_answered(&self) {
        let is_pending = |entry: &Entry| entry.state >= State::Responding;
        let pending: Vec<(u64, Instant)> = {
            let entries = self.0.lock();
            let pending = entries.open.iter().filter(|(_, entry)| is_pending(entry));
            pending.map(|(number, entry)| (*number, entry.since)).collect()
        };
        let unanswered = |(number, since): &(u64, Instant)| {
            self.0.lock().open.get(number).is_some_and(|entry| is_pending(entry) && entry.since == *since)
        };
        while pending.iter().any(unanswered) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Asks every connection that exceeds its timeout to close.
    pub fn close_expired(&self) {
        let (now, timeouts) = (Instant::now(), self.0.timeouts);
        let mut entries = self.0.lock();
        let Entries { open, closing, .. } = &mut *entries;
        for entry in open.values_mut() {
            let timeout = match entry.state {
                State::New => timeouts.first_request,
                State::Idle => timeouts.idle,
                State::Receiving => timeouts.request,
                State::Responding => timeouts.response,
                State::Pending => continue,
            };
            let silent_for = now.saturating_duration_since(entry.since);
            if !entry.closing && silent_for >= timeout {
                tracing::debug!(state = ?entry.state, ?silent_for, "closing a connection that exceeded its timeout");
                *closing += 1;
                entry.request_close();
            }
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Entries> {
        // A poisoned lock is usable: no code that holds it can panic between two changes that belong together.
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Entries {
    fn close_one(&mut self) {
        let mut candidates: Vec<(State, Instant, u64)> = self
            .open
            .iter()
            .filter(|(_, entry)| entry.state <= State::Idle && !entry.closing)
            .map(|(number, entry)| (entry.state, entry.since, *number))
            .collect();
        candidates.sort_unstable();
        let evicted = candidates
            .iter()
            .map(|(_, _, number)| *number)
            .find(|number| self.open.get(number).is_some_and(|entry| !(entry.has_unread)()));
        if let Some(entry) = evicted.and_then(|number| self.open.get_mut(&number)) {
            tracing::debug!(state = ?entry.state, "closing a connection to free its slot");
            entry.request_close();
            self.closing += 1;
        }
    }
}

impl Entry {
    fn request_close(&mut self) {
        self.closing = true;
        self.close.notify_one();
    }
}

/// A connection's slot, which is freed once every clone is dropped.
#[derive(Clone)]
pub struct Permit(Arc<Slot>);

struct Slot {
    limit: ConnectionLimit,
    number: u64,
    close: Arc<Notify>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut entries = self.limit.0.lock();
        if entries.open.remove(&self.number).is_some_and(|entry| entry.closing) {
            entries.closing -= 1;
        }
        self.limit.0.slot_freed.notify_one();
    }
}

impl Permit {
    /// Waits until this connection has to close. A request that completes in the meantime cancels the close.
    pub async fn close_requested(&self) {
        loop {
            self.0.close.notified().await;
            if self.0.limit.0.lock().open.get(&self.0.number).is_some_and(|entry| entry.closing) {
                return;
            }
        }
    }

    /// Whether a request may be arriving: the first has not completed yet, or a later one has been received in part.
    pub fn expects_request(&self) -> bool {
        let expects = |entry: &Entry| matches!(entry.state, State::New | State::Receiving);
        self.0.limit.0.lock().open.get(&self.0.number).is_some_and(expects)
    }

    /// Records that a complete request has been received and its answer is pending.
    pub fn request_received(&self) {
        self.set(State::Pending);
    }

    /// Records that the answer is being written.
    pub fn response_started(&self) {
        self.set(State::Responding);
    }

    /// Records that the last answer has been written.
    pub fn response_sent(&self) {
        self.set(State::Idle);
    }

    /// Records that a later request has been received in part.
    pub fn request_started(&self) {
        self.set(State::Receiving);
    }

    fn set(&self, state: State) {
        let mut entries = self.0.limit.0.lock();
        let Entries { open, closing, .. } = &mut *entries;
        let Some(entry) = open.get_mut(&self.0.number) else { return };
        // A connection stays `New` until its first request is complete.
        if entry.state == state || (entry.state == State::New && state != State::Pending) {
            return;
        }
        (entry.state, entry.since) = (state, Instant::now());
        if state == State::Pending && std::mem::take(&mut entry.closing) {
            *closing -= 1;
            // This connection stays, so whoever waits for a slot has to ask another one to close.
            self.0.limit.0.slot_freed.notify_one();
        }
    }
}
