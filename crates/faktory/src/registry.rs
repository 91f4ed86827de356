//! Registry of consumers, of the jobs offered to them, and of their reservations.
//!
//! An offer is a call attempt that waits for its consumer's FETCH; a reservation is one that was fetched and
//! waits for ACK or FAIL. Each ends at most once: removing it from the registry gives the right to settle its
//! outcome.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use tokio::sync::{oneshot, Notify};

use super::call::Call;
use super::codec::Job;
use rookspoke_decisions::{Listing, LoadReport, Name, Outcome, Readiness, RequestId, Time};
use rookspoke_dispatch::AttemptResult;

/// Zone of every consumer: the protocol does not tell where a consumer runs.
pub const ZONE: &str = "consumers";

/// Identifies a call attempt among those of all jobs, both as an offer and as a reservation.
pub type OfferId = u64;

/// The number of a connection, unique within the server.
pub type ConnectionId = u64;

/// The call attempt that an offer belongs to.
#[derive(Clone, Copy, Debug)]
pub struct AttemptId {
    pub request: RequestId,
    /// Number of the attempt within its request, from 0.
    pub attempt: usize,
}

/// A call attempt that waits for its consumer's FETCH.
struct Offer {
    id: OfferId,
    attempt: AttemptId,
    call: Call,
    deadline: Time,
    result: oneshot::Sender<OfferResult>,
}

/// How an offer ended.
pub enum OfferResult {
    /// The consumer fetched the job; the receiver gets the outcome of the attempt.
    Fetched(oneshot::Receiver<AttemptResult<()>>),
    /// The job was not handed out; the attempt ends with this outcome.
    NotFetched(Outcome),
}

/// A fetched job that waits for ACK or FAIL.
struct Reservation {
    id: OfferId,
    jid: String,
    wid: Name,
    result: oneshot::Sender<AttemptResult<()>>,
}

#[derive(Default)]
struct Consumer {
    /// Its connections, with the queues of the last FETCH on each.
    connections: BTreeMap<ConnectionId, Vec<Name>>,
    draining: bool,
    listed: bool,
    offers: Vec<Offer>,
    /// When it last connected, fetched or sent a heartbeat.
    last_active: Option<Instant>,
    /// When its last connection closed; `None` while it has one.
    disconnected_at: Option<Instant>,
}

#[derive(Default)]
struct State {
    consumers: BTreeMap<Name, Consumer>,
    reservations: Vec<Reservation>,
    /// Consumers that operators have banned, connected or not.
    banned: BTreeSet<Name>,
    last_offer_id: OfferId,
    last_connection_id: ConnectionId,
}

impl Consumer {
    fn serves(&self, queue: &str) -> bool {
        self.connections.values().flatten().any(|served| served.as_ref() == queue)
    }

    /// The queues that any of its connections fetches from, in order and without duplicates.
    fn queues(&self) -> Arc<[Name]> {
        let queues: BTreeSet<&Name> = self.connections.values().flatten().collect();
        queues.into_iter().cloned().collect()
    }

    /// Its entry in the list.
    fn listing(&self, wid: &Name, readiness: Readiness) -> Listing {
        Listing {
            worker: wid.clone(),
            kind: "".into(),
            zone: ZONE.into(),
            cell: None,
            queues: Some(self.queues()),
            // Consumers fetch jobs at their own pace and cannot be overloaded, so they need no slow start.
            started: None,
            weight: 1.0,
            readiness,
        }
    }
}

/// State shared between the consumers' connections and the transport of the core.
#[derive(Default)]
pub struct ConsumerRegistry {
    state: Mutex<State>,
    /// Wakes waiting FETCHes after a new offer or a change of a consumer's state.
    pub changed: Notify,
}

/// Result of a FETCH.
pub enum Fetch {
    /// A job, which the consumer now holds, and the attempt that it belongs to.
    Job(Arc<Job>, AttemptId),
    /// No job at the moment.
    Empty,
    /// No job now or later: the consumer drains.
    Draining,
}

impl ConsumerRegistry {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Offers a job to a consumer. The receiver gets the result of the offer.
    pub fn offer(
        &self,
        wid: &Name,
        attempt: AttemptId,
        call: Call,
        deadline: Time,
    ) -> (OfferId, oneshot::Receiver<OfferResult>) {
        let (result, receiver) = oneshot::channel();
        let mut state = self.lock();
        state.last_offer_id += 1;
        let id = state.last_offer_id;
        let banned = state.banned.contains(wid);
        match state.consumers.get_mut(wid).filter(|c| c.listed && !c.draining && !banned) {
            Some(consumer) if consumer.serves(&call.job.queue) => {
                consumer.offers.push(Offer { id, attempt, call, deadline, result });
                self.changed.notify_waiters();
            }
            // The consumer left, drains, is banned or does not serve this queue: the job was not handed out.
            _ => drop(result.send(OfferResult::NotFetched(Outcome::NotSent))),
        }
        (id, receiver)
    }

    /// Replaces the set of banned consumers. Offers to them are rejected; jobs that they hold stay reserved.
    pub fn set_banned(&self, banned: BTreeSet<Name>) {
        let mut state = self.lock();
        let banned_consumers = state.consumers.iter_mut().filter(|(wid, _)| banned.contains(*wid));
        banned_consumers.for_each(|(_, consumer)| reject_offers(consumer));
        state.banned = banned;
    }

    /// Removes an offer or a reservation, if it still exists.
    pub fn cancel(&self, id: OfferId) {
        let mut state = self.lock();
        state.reservations.retain(|reservation| reservation.id != id);
        state.consumers.values_mut().for_each(|consumer| consumer.offers.retain(|offer| offer.id != id));
    }

    /// Adds a new connection of a consumer.
    pub fn connected(&self, wid: &Name) -> ConnectionId {
        let mut state = self.lock();
        state.last_connection_id += 1;
        let id = state.last_connection_id;
        let consumer = state.consumers.entry(wid.clone()).or_default();
        consumer.connections.insert(id, Vec::new());
        (consumer.last_active, consumer.disconnected_at) = (Some(Instant::now()), None);
        id
    }

    /// Removes a closed connection of a consumer. With the last one its offers are rejected at once, so that
    /// they go to others. Its reservations stay until it expires: it may reconnect and send ACK. Returns the changed
    /// list entry, if any.
    pub fn disconnected(&self, wid: &Name, connection: ConnectionId) -> Option<Listing> {
        let mut state = self.lock();
        let consumer = state.consumers.get_mut(wid)?;
        let queues = consumer.queues();
        consumer.connections.remove(&connection);
        if !consumer.connections.is_empty() {
            let changed = consumer.listed && !consumer.draining && consumer.queues() != queues;
            return changed.then(|| consumer.listing(wid, Readiness::InService));
        }
        consumer.disconnected_at = Some(Instant::now());
        reject_offers(consumer);
        std::mem::take(&mut consumer.listed).then(|| consumer.listing(wid, Readiness::Gone))
    }

    /// Lists a consumer, one of whose connections fetches from `queues`. Returns the list entry if it is new or has
    /// changed.
    pub fn list(&self, wid: &Name, connection: ConnectionId, queues: &[String]) -> Option<Listing> {
        let mut state = self.lock();
        let consumer = state.consumers.get_mut(wid).filter(|consumer| !consumer.draining)?;
        let was_listed = std::mem::replace(&mut consumer.listed, true);
        let fetched = consumer.connections.get_mut(&connection)?;
        if was_listed && fetched.iter().map(AsRef::as_ref).eq(queues.iter().map(String::as_str)) {
            return None;
        }
        *fetched = queues.iter().map(|queue| Name::from(queue.as_str())).collect();
        Some(consumer.listing(wid, Readiness::InService))
    }

    /// Handles a FETCH of a consumer from `queues` at `now`.
    pub fn fetch(&self, wid: &Name, queues: &[String], now: Time) -> Fetch {
        let mut state = self.lock();
        let state = &mut *state;
        let Some(consumer) = state.consumers.get_mut(wid) else { return Fetch::Draining };
        consumer.last_active = Some(Instant::now());
        if consumer.draining {
            return Fetch::Draining;
        }
        // Checked when the job is handed out: one past its deadline, or whose attempt was cancelled, must not run.
        consumer.offers.retain(|offer| offer.deadline > now && !offer.result.is_closed());
        // Skips a job whose producer was told otherwise or has left, though the core still offers it.
        let accepted = |queue: &String| {
            let offers = &consumer.offers;
            offers.iter().position(|offer| offer.call.job.queue == *queue && offer.call.accept())
        };
        let Some(index) = queues.iter().find_map(accepted) else { return Fetch::Empty };
        let Offer { id, attempt, call, result: offer_result, .. } = consumer.offers.remove(index);
        let job = call.job;
        let (result, outcome) = oneshot::channel();
        let (jid, wid) = (job.jid.clone(), wid.clone());
        state.reservations.push(Reservation { id, jid, wid, result });
        // The receiver was open a moment ago, under the same lock.
        let _ = offer_result.send(OfferResult::Fetched(outcome));
        Fetch::Job(job, attempt)
    }

    /// Whether this consumer holds the job.
    pub fn holds(&self, wid: &Name, jid: &str) -> bool {
        self.lock().reservations.iter().any(|reservation| reservation.wid == *wid && reservation.jid == jid)
    }

    /// Ends the reservation of a job with the result that `from` reported; false if there is none or its
    /// attempt has ended. A reservation belongs to the job's jid: any connection may report it, though a
    /// reservation of the reporting consumer takes precedence.
    pub fn complete(&self, jid: &str, from: Option<&Name>, result: Result<(), Outcome>) -> bool {
        let mut state = self.lock();
        let state = &mut *state;
        let of_job = |reservation: &Reservation| reservation.jid == jid;
        let own = state.reservations.iter().position(|r| of_job(r) && from == Some(&r.wid));
        let Some(index) = own.or_else(|| state.reservations.iter().position(of_job)) else { return false };
        let Reservation { wid, result: sender, .. } = state.reservations.remove(index);
        let held = state.reservations.iter().filter(|r| r.wid == wid).count() as f64;
        let connections = state.consumers.get(&wid).map_or(0.0, |c| c.connections.len() as f64);
        // A consumer works on as many jobs at a time as it has connections that fetch.
        let load = LoadReport { free_slots: Some((connections - held).max(0.0)), ..LoadReport::default() };
        sender.send(AttemptResult { result, load: Some(load) }).is_ok()
    }

    /// Records a heartbeat. `quiet` means that the consumer fetches no more jobs: it starts to drain. Returns
    /// the changed list entry, if any.
    pub fn heartbeat(&self, wid: &Name, quiet: bool) -> Option<Listing> {
        let mut state = self.lock();
        let consumer = state.consumers.get_mut(wid)?;
        consumer.last_active = Some(Instant::now());
        if !quiet || std::mem::replace(&mut consumer.draining, true) {
            return None;
        }
        reject_offers(consumer);
        self.changed.notify_waiters();
        consumer.listed.then(|| consumer.listing(wid, Readiness::Draining))
    }

    /// Removes consumers without a connection since `disconnected_before`, and takes those inactive since
    /// `inactive_before` off the list. The reservations of removed consumers end as lost, since their jobs
    /// may have run.
    pub fn expire(&self, disconnected_before: Instant, inactive_before: Instant) -> Vec<Listing> {
        let mut state = self.lock();
        let state = &mut *state;
        let mut changes = Vec::new();
        let mut removed = Vec::new();
        state.consumers.retain(|wid, consumer| {
            if consumer.last_active.is_some_and(|at| at < inactive_before) && consumer.listed {
                reject_offers(consumer);
                consumer.listed = false;
                changes.push(consumer.listing(wid, Readiness::Gone));
            }
            let expired = consumer.disconnected_at.is_some_and(|at| at <= disconnected_before);
            if expired {
                removed.push(wid.clone());
            }
            !expired
        });
        let mut index = 0;
        while index < state.reservations.len() {
            if removed.contains(&state.reservations[index].wid) {
                let lost = state.reservations.swap_remove(index);
                let _ = lost.result.send(Outcome::ConnectionLost.into());
            } else {
                index += 1;
            }
        }
        changes
    }

    /// Returns the consumers that accept jobs, the number of offers and the number of reservations.
    pub fn summary(&self) -> (Vec<String>, usize, usize) {
        let state = self.lock();
        let accepting = state.consumers.iter().filter(|(_, consumer)| consumer.listed && !consumer.draining);
        let listed = accepting.map(|(wid, _)| wid.to_string()).collect();
        let offered = state.consumers.values().map(|consumer| consumer.offers.len()).sum();
        (listed, offered, state.reservations.len())
    }
}

/// Ends all offers of a consumer as turned away: a job that was not fetched did not run.
fn reject_offers(consumer: &mut Consumer) {
    for offer in consumer.offers.drain(..) {
        let _ = offer.result.send(OfferResult::NotFetched(Outcome::TurnedAway));
    }
}
