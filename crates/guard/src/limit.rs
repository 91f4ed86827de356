//! Places for client connections, and who has to leave when they run out or a client stays silent.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::Notify;

/// How long a connection may go on without a whole request.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// From its start to the last byte of its first request.
    pub first: Duration,
    /// From the first byte of a later request to the last.
    pub part: Duration,
    /// Between two requests.
    pub idle: Duration,
    /// From the end of an answer until the client has read it.
    pub unread: Duration,
}

/// How often those who wait for the room to settle look again.
const LOOK: Duration = Duration::from_millis(10);

/// What a connection is at; in the order in which they have to leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// It never sent a whole request.
    New,
    /// Between two requests.
    Idle,
    /// A part of a further request has come.
    Part,
    /// Its answer is being written.
    Answered,
    /// It is owed an answer.
    Owed,
}

struct Seat {
    stage: Stage,
    since: Instant,
    leave: Arc<Notify>,
    leaving: bool,
    /// Whether something waits on the socket that nobody has read.
    unread: Box<dyn Fn() -> bool + Send>,
}

struct Shared {
    capacity: AtomicUsize,
    patience: Patience,
    seats: Mutex<Seats>,
    freed: Notify,
}

#[derive(Default)]
struct Seats {
    /// By their number, the oldest first.
    taken: BTreeMap<u64, Seat>,
    next: u64,
    /// Told to leave and still there.
    leaving: usize,
}

/// How many connections there are at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionCensus {
    /// All of them.
    pub open: usize,
    /// Those whose client waits for an answer, or for the rest of one.
    pub owed: usize,
}

/// A fixed number of places.
#[derive(Clone)]
pub struct ConnectionLimit(Arc<Shared>);

impl ConnectionLimit {
    /// A room of `capacity` places.
    pub fn new(capacity: usize, patience: Patience) -> Self {
        let (capacity, seats, freed) = (capacity.into(), Mutex::default(), Notify::new());
        ConnectionLimit(Arc::new(Shared { capacity, patience, seats, freed }))
    }

    /// Takes a place. Without a free one, somebody is told to leave, and the place is there once they have:
    /// the oldest of those who never sent a whole request, else who has been idle for the longest; nobody
    /// whose request waits unread, and nobody who is owed an answer.
    pub fn enter(&self, unread: impl Fn() -> bool + Send + 'static) -> Option<Permit> {
        let mut seats = self.0.lock();
        if seats.taken.len() >= self.0.capacity.load(Ordering::Relaxed) {
            if seats.leaving == 0 {
                seats.tell_one_to_leave();
            }
            return None;
        }
        Some(self.seat(&mut seats, Box::new(unread)))
    }

    /// Has another number of places from now on. Whoever is beyond the last leaves as in [`ConnectionLimit::enter`].
    pub fn resize(&self, capacity: usize) {
        self.0.capacity.store(capacity, Ordering::Relaxed);
        let mut seats = self.0.lock();
        let beyond = (seats.taken.len() - seats.leaving).saturating_sub(capacity);
        (0..beyond).for_each(|_| seats.tell_one_to_leave());
        self.0.freed.notify_one();
    }

    /// Takes a place even beyond the last: for the few that wait when no others can come any more.
    pub fn squeeze_in(&self, unread: impl Fn() -> bool + Send + 'static) -> Permit {
        self.seat(&mut self.0.lock(), Box::new(unread))
    }

    fn seat(&self, seats: &mut Seats, unread: Box<dyn Fn() -> bool + Send>) -> Permit {
        let (number, leave) = (seats.next, Arc::new(Notify::new()));
        let seat =
            Seat { stage: Stage::New, since: Instant::now(), leave: leave.clone(), leaving: false, unread };
        seats.taken.insert(number, seat);
        seats.next += 1;
        Permit(Arc::new(Taken { limit: self.clone(), number, leave }))
    }

    /// How many connections there are, and how many of them are owed an answer.
    pub fn census(&self) -> ConnectionCensus {
        let seats = self.0.lock();
        let owed = seats.taken.values().filter(|seat| seat.stage >= Stage::Answered).count();
        ConnectionCensus { open: seats.taken.len(), owed }
    }

    /// Ends when a place has become free since the last time.
    pub async fn freed(&self) {
        self.0.freed.notified().await;
    }

    /// Ends when everybody who is owed an answer now has it.
    pub async fn settled(&self) {
        let owed = |seat: &Seat| seat.stage >= Stage::Answered;
        let open: Vec<(u64, Instant)> =
            self.0.lock().taken.iter().filter(|(_, s)| owed(s)).map(|(n, s)| (*n, s.since)).collect();
        let under_way = |(number, since): &(u64, Instant)| {
            self.0.lock().taken.get(number).is_some_and(|seat| owed(seat) && seat.since == *since)
        };
        while open.iter().any(under_way) {
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Tells those to leave who took too long.
    pub fn sweep(&self) {
        let (now, patience) = (Instant::now(), self.0.patience);
        let mut seats = self.0.lock();
        let Seats { taken, leaving, .. } = &mut *seats;
        for seat in taken.values_mut() {
            let most = match seat.stage {
                Stage::New => patience.first,
                Stage::Idle => patience.idle,
                Stage::Part => patience.part,
                Stage::Answered => patience.unread,
                Stage::Owed => continue,
            };
            let silent_for = now.saturating_duration_since(seat.since);
            if !seat.leaving && silent_for >= most {
                tracing::debug!(stage = ?seat.stage, ?silent_for, "a connection is closed: silent for too long");
                *leaving += 1;
                seat.tell_to_leave();
            }
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Seats> {
        // Nothing that holds this lock can leave half a change behind.
        self.seats.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Seats {
    fn tell_one_to_leave(&mut self) {
        let mut candidates: Vec<(Stage, Instant, u64)> = self
            .taken
            .iter()
            .filter(|(_, seat)| seat.stage <= Stage::Idle && !seat.leaving)
            .map(|(number, seat)| (seat.stage, seat.since, *number))
            .collect();
        candidates.sort_unstable();
        let silent = candidates.iter().find(|c| self.taken.get(&c.2).is_some_and(|s| !(s.unread)()));
        if let Some(seat) = silent.and_then(|c| self.taken.get_mut(&c.2)) {
            tracing::debug!(stage = ?seat.stage, "a connection is closed: it makes room for another");
            seat.tell_to_leave();
            self.leaving += 1;
        }
    }
}

impl Seat {
    fn tell_to_leave(&mut self) {
        self.leaving = true;
        self.leave.notify_one();
    }
}

/// A connection's place; free again once every clone is gone.
#[derive(Clone)]
pub struct Permit(Arc<Taken>);

struct Taken {
    limit: ConnectionLimit,
    number: u64,
    leave: Arc<Notify>,
}

impl Drop for Taken {
    fn drop(&mut self) {
        let mut seats = self.limit.0.lock();
        if seats.taken.remove(&self.number).is_some_and(|seat| seat.leaving) {
            seats.leaving -= 1;
        }
        self.limit.0.freed.notify_one();
    }
}

impl Permit {
    /// Ends when this connection has to leave. A request that comes in the meantime saves it.
    pub async fn told_to_leave(&self) {
        loop {
            self.0.leave.notified().await;
            if self.0.limit.0.lock().taken.get(&self.0.number).is_some_and(|seat| seat.leaving) {
                return;
            }
        }
    }

    /// Whether a request may be on its way: its first has not come yet, or a further one is not whole.
    pub fn expects_request(&self) -> bool {
        let expects = |seat: &Seat| matches!(seat.stage, Stage::New | Stage::Part);
        self.0.limit.0.lock().taken.get(&self.0.number).is_some_and(expects)
    }

    /// A whole request has come: an answer is owed.
    pub fn owes(&self) {
        self.set(Stage::Owed);
    }

    /// An answer is there, and is being written.
    pub fn answers(&self) {
        self.set(Stage::Answered);
    }

    /// The last answer is out.
    pub fn idles(&self) {
        self.set(Stage::Idle);
    }

    /// A part of a further request is here.
    pub fn begins(&self) {
        self.set(Stage::Part);
    }

    fn set(&self, stage: Stage) {
        let mut seats = self.0.limit.0.lock();
        let Seats { taken, leaving, .. } = &mut *seats;
        let Some(seat) = taken.get_mut(&self.0.number) else { return };
        // Until its first request is whole, a connection stays new.
        if seat.stage == stage || (seat.stage == Stage::New && stage != Stage::Owed) {
            return;
        }
        (seat.stage, seat.since) = (stage, Instant::now());
        if stage == Stage::Owed && std::mem::take(&mut seat.leaving) {
            *leaving -= 1;
            // Somebody else has to.
            self.0.limit.0.freed.notify_one();
        }
    }
}
