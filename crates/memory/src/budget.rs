//! A budget in bytes, and the reservations in it.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::future::poll_fn;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use thiserror::Error;

/// A reservation of at most this many bytes is small. Part of each budget is left to small reservations, since most
/// sound messages are small.
pub const SMALL_BYTES: usize = 8 * 1024;
/// The part of a budget that large reservations may fill, in quarters.
const LARGE_QUARTERS: usize = 3;
/// A small reservation may exceed the budget by one part in this many until what it reclaimed is released.
const OVERDRAFT_DIVISOR: usize = 8;
/// An incomplete message without progress for this long is reclaimed if others wait for room.
const STALLED_AFTER: Duration = Duration::from_millis(100);

/// The budget has no room for the reservation, or the reservation was reclaimed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("not enough memory")]
pub struct Shortage;

/// A number of bytes that reservations share. Clones share it.
#[derive(Clone)]
pub struct MemoryBudget(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    capacity: usize,
    reserved: usize,
    /// The part of `reserved` that was reclaimed and is still to be released.
    reclaimed: usize,
    /// The reservations that can be reclaimed, by their ids.
    incomplete: BTreeMap<u64, Incomplete>,
    /// Reservations that wait for room, the smallest first.
    waiting: BTreeMap<Ticket, Waiter>,
    /// Those among them that have got it, and have not noticed yet.
    granted: BTreeSet<Ticket>,
    next_id: u64,
}

/// A reservation for a message that its peer has not sent completely.
struct Incomplete {
    bytes: usize,
    last_progress: Instant,
    is_reclaimed: bool,
    /// Wakes the holder once the reservation is reclaimed.
    holder: Option<Waker>,
}

/// The place of a waiting reservation in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Ticket {
    /// The size that the reservation is to have.
    bytes: usize,
    /// Increases with each ticket.
    number: u64,
}

struct Waiter {
    reservation: u64,
    /// The size that the reservation has.
    from: usize,
    waker: Waker,
}

impl MemoryBudget {
    /// A budget of `capacity` bytes.
    pub fn new(capacity: usize) -> Self {
        MemoryBudget(Arc::new(Mutex::new(State { capacity, ..State::default() })))
    }

    /// Changes the capacity. Reservations beyond it stay until they are released.
    pub fn set_capacity(&self, capacity: usize) {
        let mut state = self.lock();
        state.capacity = capacity;
        state.grant();
    }

    /// The bytes reserved now.
    pub fn reserved(&self) -> usize {
        self.lock().reserved
    }

    /// A reservation without bytes, for a message that can be reclaimed while it is incomplete.
    pub fn incoming(&self) -> Reservation {
        let mut reservation = self.firm();
        reservation.set_incomplete(true);
        reservation
    }

    /// A reservation without bytes that is never reclaimed.
    pub fn firm(&self) -> Reservation {
        let id = self.lock().next_id();
        Reservation { budget: self.clone(), id, bytes: 0 }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // A poisoned lock is usable: no code that holds it can panic between two changes that belong together.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Bytes reserved in a budget, which are released on drop.
pub struct Reservation {
    budget: MemoryBudget,
    id: u64,
    bytes: usize,
}

impl Reservation {
    /// The bytes reserved.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Records that the peer has made progress.
    pub fn record_progress(&mut self) {
        self.budget.lock().record_progress(self.id);
    }

    /// Grows the reservation to `bytes`, if it is smaller, and records progress. For a small reservation, others are
    /// reclaimed if there is no room: large ones first, and of these the one without progress for longest.
    ///
    /// # Errors
    /// There is no room even so, or this reservation was reclaimed. Its size is unchanged then.
    pub fn grow(&mut self, bytes: usize) -> Result<(), Shortage> {
        let mut state = self.budget.lock();
        state.record_progress(self.id);
        if bytes <= self.bytes {
            return Ok(());
        }
        if state.is_reclaimed(self.id) {
            return Err(Shortage);
        }
        let excess = state.excess(self.bytes, bytes);
        if excess > 0 {
            if bytes > SMALL_BYTES || excess > state.capacity / OVERDRAFT_DIVISOR {
                return Err(Shortage);
            }
            state.reclaim(excess, self.id)?;
        }
        state.add(self.id, self.bytes, bytes);
        self.bytes = bytes;
        Ok(())
    }

    /// Like [`Reservation::grow`], but waits for room. Those that wait get it in the order of their sizes; meanwhile
    /// large messages that have stalled are reclaimed for them.
    ///
    /// # Errors
    /// This reservation was reclaimed.
    pub async fn grow_soon(&mut self, bytes: usize) -> Result<(), Shortage> {
        if self.grow(bytes).is_ok() {
            return Ok(());
        }
        let number = self.budget.lock().next_id();
        let (budget, ticket) = (self.budget.clone(), Ticket { bytes, number });
        let place = Place { budget, ticket, reservation: self.id, from: self.bytes };
        loop {
            let turn = poll_fn(|cx| place.poll_turn(cx));
            match tokio::time::timeout(STALLED_AFTER / 2, turn).await {
                Ok(granted) => {
                    granted?;
                    break;
                }
                Err(_) => place.reclaim_stalled(),
            }
        }
        self.bytes = bytes;
        self.record_progress();
        Ok(())
    }

    /// Shrinks the reservation to `bytes`, if it is larger.
    pub fn shrink(&mut self, bytes: usize) {
        if bytes < self.bytes {
            self.budget.lock().release(self.id, self.bytes - bytes);
            self.bytes = bytes;
        }
    }

    /// Sets whether the message is incomplete, and the reservation can be reclaimed. One that was reclaimed before its
    /// message was complete is kept if the message completes in time.
    pub fn set_incomplete(&mut self, incomplete: bool) {
        let mut state = self.budget.lock();
        if !incomplete {
            if let Some(own) = state.incomplete.remove(&self.id).filter(|own| own.is_reclaimed) {
                state.reclaimed -= own.bytes;
            }
            return;
        }
        let bytes = self.bytes;
        state.incomplete.entry(self.id).or_insert_with(|| Incomplete {
            bytes,
            last_progress: Instant::now(),
            is_reclaimed: false,
            holder: None,
        });
    }

    /// Ready once the reservation is reclaimed: the holder has to release it at once.
    pub fn poll_reclaimed(&self, cx: &mut Context) -> Poll<()> {
        let mut state = self.budget.lock();
        match state.incomplete.get_mut(&self.id) {
            Some(own) if own.is_reclaimed => Poll::Ready(()),
            Some(own) => {
                own.wake_later(cx);
                Poll::Pending
            }
            None => Poll::Pending,
        }
    }

    /// Waits until the reservation is reclaimed.
    pub async fn reclaimed(&self) {
        poll_fn(|cx| self.poll_reclaimed(cx)).await;
    }
}

impl fmt::Debug for Reservation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Reservation").field("bytes", &self.bytes).finish_non_exhaustive()
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink(0);
        self.set_incomplete(false);
    }
}

/// A place in the queue of those that wait for room. Dropping it leaves the queue.
struct Place {
    budget: MemoryBudget,
    ticket: Ticket,
    reservation: u64,
    /// The size of the reservation.
    from: usize,
}

impl Place {
    /// Joins the queue, and is ready with the room for the reservation, or once that is reclaimed.
    fn poll_turn(&self, cx: &mut Context) -> Poll<Result<(), Shortage>> {
        let mut state = self.budget.lock();
        if !state.granted.contains(&self.ticket) {
            if state.is_reclaimed(self.reservation) {
                return Poll::Ready(Err(Shortage));
            }
            if let Some(own) = state.incomplete.get_mut(&self.reservation) {
                own.wake_later(cx);
            }
            let waiter = Waiter { reservation: self.reservation, from: self.from, waker: cx.waker().clone() };
            state.waiting.insert(self.ticket, waiter);
            // There may have been a release since the reservation tried to grow.
            state.grant();
        }
        match state.granted.remove(&self.ticket) {
            true => Poll::Ready(Ok(())),
            false => Poll::Pending,
        }
    }

    /// Reclaims stalled messages, if this is the first place of the queue.
    fn reclaim_stalled(&self) {
        let mut state = self.budget.lock();
        let is_first = state.waiting.first_key_value().is_some_and(|(ticket, _)| *ticket == self.ticket);
        if is_first {
            state.reclaim_stalled(self.from, self.ticket.bytes);
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut state = self.budget.lock();
        state.waiting.remove(&self.ticket);
        let unused = if state.granted.remove(&self.ticket) { self.ticket.bytes - self.from } else { 0 };
        state.release(self.reservation, unused);
    }
}

impl Incomplete {
    fn wake_later(&mut self, cx: &mut Context) {
        if !self.holder.as_ref().is_some_and(|holder| holder.will_wake(cx.waker())) {
            self.holder = Some(cx.waker().clone());
        }
    }

    fn has_stalled(&self) -> bool {
        self.last_progress.elapsed() >= STALLED_AFTER
    }
}

impl State {
    fn next_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn record_progress(&mut self, id: u64) {
        if let Some(own) = self.incomplete.get_mut(&id) {
            own.last_progress = Instant::now();
        }
    }

    fn is_reclaimed(&self, id: u64) -> bool {
        self.incomplete.get(&id).is_some_and(|own| own.is_reclaimed)
    }

    /// The bytes by which the budget would be exceeded if a reservation grew from `from` to `to` bytes.
    fn excess(&self, from: usize, to: usize) -> usize {
        let limit = match to <= SMALL_BYTES {
            true => self.capacity,
            false => self.capacity / 4 * LARGE_QUARTERS,
        };
        (self.reserved + (to - from)).saturating_sub(limit)
    }

    fn add(&mut self, id: u64, from: usize, to: usize) {
        self.reserved += to - from;
        if let Some(own) = self.incomplete.get_mut(&id) {
            own.bytes = to;
        }
    }

    fn release(&mut self, id: u64, bytes: usize) {
        self.reserved -= bytes;
        if let Some(own) = self.incomplete.get_mut(&id) {
            own.bytes -= bytes;
            if own.is_reclaimed {
                self.reclaimed -= bytes;
            }
        }
        self.grant();
    }

    /// Gives room to those that wait, as far as there is any.
    fn grant(&mut self) {
        while let Some((ticket, waiter)) = self.waiting.first_key_value() {
            let (ticket, from) = (*ticket, waiter.from);
            if self.excess(from, ticket.bytes) > 0 {
                return;
            }
            if let Some(waiter) = self.waiting.remove(&ticket) {
                self.add(waiter.reservation, from, ticket.bytes);
                self.granted.insert(ticket);
                waiter.waker.wake();
            }
        }
    }

    /// Reclaims incomplete messages until `needed` bytes are about to be released: large ones first, then those without
    /// progress for longest. Reclaims none if they are not enough.
    fn reclaim(&mut self, needed: usize, except: u64) -> Result<(), Shortage> {
        let is_candidate =
            |(id, other): &(&u64, &Incomplete)| **id != except && !other.is_reclaimed && other.bytes > 0;
        let mut candidates: Vec<(bool, Instant, u64)> = self
            .incomplete
            .iter()
            .filter(is_candidate)
            .map(|(id, other)| (other.bytes <= SMALL_BYTES, other.last_progress, *id))
            .collect();
        let available: usize = candidates.iter().map(|(_, _, id)| self.incomplete[id].bytes).sum();
        if self.reclaimed + available < needed {
            return Err(Shortage);
        }
        candidates.sort_unstable();
        self.reclaim_in_order(needed, candidates.into_iter().map(|(_, _, id)| id));
        Ok(())
    }

    /// Reclaims large stalled messages, those without progress for longest first, until a reservation can grow from
    /// `from` to `to` bytes. Those that wait for room themselves have not stalled.
    fn reclaim_stalled(&mut self, from: usize, to: usize) {
        let waiting: BTreeSet<u64> = self.waiting.values().map(|waiter| waiter.reservation).collect();
        let mut stalled: Vec<(Instant, u64)> = self
            .incomplete
            .iter()
            .filter(|(id, other)| {
                let large = other.bytes > SMALL_BYTES;
                large && !other.is_reclaimed && !waiting.contains(id) && other.has_stalled()
            })
            .map(|(id, other)| (other.last_progress, *id))
            .collect();
        stalled.sort_unstable();
        self.reclaim_in_order(self.excess(from, to), stalled.into_iter().map(|(_, id)| id));
    }

    /// Marks reservations as reclaimed and wakes their holders, one after the other until `needed` bytes are about to
    /// be released.
    fn reclaim_in_order(&mut self, needed: usize, ids: impl Iterator<Item = u64>) {
        for id in ids {
            if self.reclaimed >= needed {
                return;
            }
            if let Some(own) = self.incomplete.get_mut(&id) {
                own.is_reclaimed = true;
                own.holder.take().into_iter().for_each(Waker::wake);
                self.reclaimed += own.bytes;
            }
        }
    }
}
