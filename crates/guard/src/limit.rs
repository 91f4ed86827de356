//! The limit on client connections: how many there may be, and which are closed when there is no room or a client stays silent.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::Notify;

/// How long a connection may go on without a whole request.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// From its start to the last byte of its first request.
    pub first_request: Duration,
    /// From the first byte of a later request to the last.
    pub request: Duration,
    /// Between two requests.
    pub idle: Duration,
    /// From the end of an answer until the client has read it.
    pub response: Duration,
}

/// Between two looks at whether pending requests have their answers.
const LOOK: Duration = Duration::from_millis(10);

/// What a connection is at; in the order in which they have to close.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum State {
    /// It never sent a whole request.
    New,
    /// Between two requests.
    Idle,
    /// A part of a further request has come.
    Receiving,
    /// Its answer is being written.
    Responding,
    /// Its request has no answer yet.
    Pending,
}

struct Entry {
    state: State,
    since: Instant,
    close: Arc<Notify>,
    closing: bool,
    /// Whether something waits on the socket that nobody has read.
    unread: Box<dyn Fn() -> bool + Send>,
}

struct Shared {
    capacity: AtomicUsize,
    timeouts: Timeouts,
    entries: Mutex<Entries>,
    freed: Notify,
}

#[derive(Default)]
struct Entries {
    /// By their number, the oldest first.
    open: BTreeMap<u64, Entry>,
    next: u64,
    /// Told to close and still there.
    closing: usize,
}

/// How many connections there are at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// All of them.
    pub open: usize,
    /// Those whose client waits for an answer, or for the rest of one.
    pub pending: usize,
}

/// A fixed number of places.
#[derive(Clone)]
pub struct ConnectionLimit(Arc<Shared>);

impl ConnectionLimit {
    /// A room of `capacity` places.
    pub fn new(capacity: usize, timeouts: Timeouts) -> Self {
        let (capacity, entries, freed) = (capacity.into(), Mutex::default(), Notify::new());
        ConnectionLimit(Arc::new(Shared { capacity, timeouts, entries, freed }))
    }

    /// Takes a place. Without a free one, somebody is told to close, and the place is there once they have:
    /// the oldest of those who never sent a whole request, else who has been idle for the longest; nobody
    /// whose request waits unread, and nobody whose request has no answer yet.
    pub fn admit(&self, unread: impl Fn() -> bool + Send + 'static) -> Option<Permit> {
        let mut entries = self.0.lock();
        if entries.open.len() >= self.0.capacity.load(Ordering::Relaxed) {
            if entries.closing == 0 {
                entries.close_one();
            }
            return None;
        }
        Some(self.insert(&mut entries, Box::new(unread)))
    }

    /// Has another number of places from now on. Whoever is beyond the last is closed as in [`ConnectionLimit::admit`].
    pub fn resize(&self, capacity: usize) {
        self.0.capacity.store(capacity, Ordering::Relaxed);
        let mut entries = self.0.lock();
        let beyond = (entries.open.len() - entries.closing).saturating_sub(capacity);
        (0..beyond).for_each(|_| entries.close_one());
        self.0.freed.notify_one();
    }

    /// Takes a place even beyond the last: for the few that wait when no others can come any more.
    pub fn admit_over_limit(&self, unread: impl Fn() -> bool + Send + 'static) -> Permit {
        self.insert(&mut self.0.lock(), Box::new(unread))
    }

    fn insert(&self, entries: &mut Entries, unread: Box<dyn Fn() -> bool + Send>) -> Permit {
        let (number, close) = (entries.next, Arc::new(Notify::new()));
        let entry =
            Entry { state: State::New, since: Instant::now(), close: close.clone(), closing: false, unread };
        entries.open.insert(number, entry);
        entries.next += 1;
        Permit(Arc::new(Taken { limit: self.clone(), number, close }))
    }

    /// How many connections there are, and how many of them wait for an answer.
    pub fn counts(&self) -> ConnectionCounts {
        let entries = self.0.lock();
        let pending = entries.open.values().filter(|entry| entry.state >= State::Responding).count();
        ConnectionCounts { open: entries.open.len(), pending }
    }

    /// Ends when a place has become free since the last time.
    pub async fn slot_freed(&self) {
        self.0.freed.notified().await;
    }

    /// Ends when everybody who waits for an answer now has it.
    pub async fn pending_answered(&self) {
        let pending = |entry: &Entry| entry.state >= State::Responding;
        let open: Vec<(u64, Instant)> =
            self.0.lock().open.iter().filter(|(_, s)| pending(s)).map(|(n, s)| (*n, s.since)).collect();
        let under_way = |(number, since): &(u64, Instant)| {
            self.0.lock().open.get(number).is_some_and(|entry| pending(entry) && entry.since == *since)
        };
        while open.iter().any(under_way) {
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Tells those to close who took too long.
    pub fn close_expired(&self) {
        let (now, timeouts) = (Instant::now(), self.0.timeouts);
        let mut entries = self.0.lock();
        let Entries { open, closing, .. } = &mut *entries;
        for entry in open.values_mut() {
            let most = match entry.state {
                State::New => timeouts.first_request,
                State::Idle => timeouts.idle,
                State::Receiving => timeouts.request,
                State::Responding => timeouts.response,
                State::Pending => continue,
            };
            let silent_for = now.saturating_duration_since(entry.since);
            if !entry.closing && silent_for >= most {
                tracing::debug!(state = ?entry.state, ?silent_for, "a connection is closed: silent for too long");
                *closing += 1;
                entry.request_close();
            }
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Entries> {
        // Nothing that holds this lock can leave half a change behind.
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
        let silent = candidates.iter().find(|c| self.open.get(&c.2).is_some_and(|s| !(s.unread)()));
        if let Some(entry) = silent.and_then(|c| self.open.get_mut(&c.2)) {
            tracing::debug!(state = ?entry.state, "a connection is closed: it makes room for another");
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

/// A connection's place; free again once every clone is gone.
#[derive(Clone)]
pub struct Permit(Arc<Taken>);

struct Taken {
    limit: ConnectionLimit,
    number: u64,
    close: Arc<Notify>,
}

impl Drop for Taken {
    fn drop(&mut self) {
        let mut entries = self.limit.0.lock();
        if entries.open.remove(&self.number).is_some_and(|entry| entry.closing) {
            entries.closing -= 1;
        }
        self.limit.0.freed.notify_one();
    }
}

impl Permit {
    /// Ends when this connection has to close. A request that comes in the meantime saves it.
    pub async fn close_requested(&self) {
        loop {
            self.0.close.notified().await;
            if self.0.limit.0.lock().open.get(&self.0.number).is_some_and(|entry| entry.closing) {
                return;
            }
        }
    }

    /// Whether a request may be on its way: its first has not come yet, or a further one is not whole.
    pub fn expects_request(&self) -> bool {
        let expects = |entry: &Entry| matches!(entry.state, State::New | State::Receiving);
        self.0.limit.0.lock().open.get(&self.0.number).is_some_and(expects)
    }

    /// A whole request has come: an answer is pending.
    pub fn request_received(&self) {
        self.set(State::Pending);
    }

    /// An answer is there, and is being written.
    pub fn response_started(&self) {
        self.set(State::Responding);
    }

    /// The last answer is out.
    pub fn response_sent(&self) {
        self.set(State::Idle);
    }

    /// A part of a further request is here.
    pub fn request_started(&self) {
        self.set(State::Receiving);
    }

    fn set(&self, state: State) {
        let mut entries = self.0.limit.0.lock();
        let Entries { open, closing, .. } = &mut *entries;
        let Some(entry) = open.get_mut(&self.0.number) else { return };
        // Until its first request is whole, a connection stays new.
        if entry.state == state || (entry.state == State::New && state != State::Pending) {
            return;
        }
        (entry.state, entry.since) = (state, Instant::now());
        if state == State::Pending && std::mem::take(&mut entry.closing) {
            *closing -= 1;
            // Somebody else has to.
            self.0.limit.0.freed.notify_one();
        }
    }
}
