//! Who is there and who holds what: consumers, the jobs offered to them, and the reservations.
//!
//! An offer is a call attempt that waits for its consumer's FETCH; a reservation is one that was fetched and
//! waits for ACK or FAIL. Both end at most once: who takes one out of the hall decides how.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use tokio::sync::{oneshot, Notify};

use super::codec::Job;
use rookspoke_decisions::{Listing, LoadReport, Name, Outcome, Readiness, Time};
use rookspoke_dispatch::AttemptResult;

/// Consumers say nothing of where they are.
pub const ZONE: &str = "consumers";

/// Numbers call attempts across all jobs.
pub type Ticket = u64;

/// A call attempt that waits for its consumer.
struct Offer {
    ticket: Ticket,
    job: Arc<Job>,
    deadline: Time,
    claimed: oneshot::Sender<Claimed>,
}

/// How an offer ended.
pub enum Claimed {
    /// The consumer fetched it; its outcome follows.
    Fetched(oneshot::Receiver<AttemptResult<()>>),
    /// It never will.
    Away(Outcome),
}

struct Reservation {
    ticket: Ticket,
    jid: String,
    wid: Name,
    done: oneshot::Sender<AttemptResult<()>>,
}

#[derive(Default)]
struct Consumer {
    connections: usize,
    /// The queues of its last FETCH.
    queues: Vec<String>,
    draining: bool,
    listed: bool,
    offers: Vec<Offer>,
    seen: Option<Instant>,
    /// Since when it has had no connection.
    left: Option<Instant>,
}

#[derive(Default)]
struct Inside {
    consumers: BTreeMap<Name, Consumer>,
    reservations: Vec<Reservation>,
    /// Taken out by hand, there or not.
    banned: BTreeSet<Name>,
    next: Ticket,
}

/// Everything that consumers and the core share.
#[derive(Default)]
pub struct Hall {
    inside: Mutex<Inside>,
    /// Wakes waiting FETCHes when something is offered or changes.
    pub news: Notify,
}

/// What became of a FETCH.
pub enum Fetch {
    /// A job, taken.
    Job(Arc<Job>),
    /// Nothing yet.
    Nothing,
    /// Nothing ever: the consumer drains.
    Draining,
}

impl Hall {
    fn lock(&self) -> MutexGuard<'_, Inside> {
        self.inside.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Offers a job to a consumer.
    pub fn offer(&self, wid: &Name, job: Arc<Job>, deadline: Time) -> (Ticket, oneshot::Receiver<Claimed>) {
        let (claimed, claim) = oneshot::channel();
        let mut inside = self.lock();
        inside.next += 1;
        let ticket = inside.next;
        let banned = inside.banned.contains(wid);
        match inside.consumers.get_mut(wid).filter(|c| c.listed && !c.draining && !banned) {
            Some(c) if c.queues.contains(&job.queue) => {
                c.offers.push(Offer { ticket, job, deadline, claimed });
                self.news.notify_waiters();
            }
            // It left or drains, or it does not serve this queue: nothing was handed out.
            _ => drop(claimed.send(Claimed::Away(Outcome::NotSent))),
        }
        (ticket, claim)
    }

    /// Takes consumers out by hand, and puts back whoever is not named. What they hold stays theirs.
    pub fn ban(&self, banned: BTreeSet<Name>) {
        let mut inside = self.lock();
        let out = inside.consumers.iter_mut().filter(|(wid, _)| banned.contains(*wid));
        out.for_each(|(_, consumer)| turn_away(consumer));
        inside.banned = banned;
    }

    /// Takes back an offer or a reservation, if it is still there.
    pub fn withdraw(&self, ticket: Ticket) {
        let mut inside = self.lock();
        inside.reservations.retain(|r| r.ticket != ticket);
        inside.consumers.values_mut().for_each(|c| c.offers.retain(|o| o.ticket != ticket));
    }

    /// A connection of this consumer opened.
    pub fn join(&self, wid: &Name) {
        let mut inside = self.lock();
        let consumer = inside.consumers.entry(wid.clone()).or_default();
        consumer.connections += 1;
        (consumer.seen, consumer.left) = (Some(Instant::now()), None);
    }

    /// A connection of this consumer closed. With the last one its offers go elsewhere at once; what it
    /// holds stays its own for a while: it may come back with an ACK.
    pub fn leave(&self, wid: &Name) -> Option<Listing> {
        let mut inside = self.lock();
        let consumer = inside.consumers.get_mut(wid)?;
        consumer.connections -= 1;
        if consumer.connections > 0 {
            return None;
        }
        consumer.left = Some(Instant::now());
        turn_away(consumer);
        std::mem::take(&mut consumer.listed).then(|| listing(wid, Readiness::Gone))
    }

    /// A consumer asks for a job of one of `queues`, at `now`. Returns what became of it, and the entry with
    /// which the consumer joins the list, if it was not on it.
    pub fn fetch(&self, wid: &Name, queues: &[String], now: Time) -> (Fetch, Option<Listing>) {
        let mut inside = self.lock();
        let inside = &mut *inside;
        let Some(consumer) = inside.consumers.get_mut(wid) else { return (Fetch::Draining, None) };
        consumer.seen = Some(Instant::now());
        if consumer.draining {
            return (Fetch::Draining, None);
        }
        consumer.queues = queues.to_vec();
        let joins =
            (!std::mem::replace(&mut consumer.listed, true)).then(|| listing(wid, Readiness::InService));
        // Checked at the very moment of handing out: a job whose time is up, or whose attempt was given up,
        // must not run.
        consumer.offers.retain(|o| o.deadline > now && !o.claimed.is_closed());
        let place = queues.iter().find_map(|q| consumer.offers.iter().position(|o| o.job.queue == *q));
        let Some(place) = place else { return (Fetch::Nothing, joins) };
        let Offer { ticket, job, claimed, .. } = consumer.offers.remove(place);
        let (done, outcome) = oneshot::channel();
        let (jid, wid) = (job.jid.clone(), wid.clone());
        inside.reservations.push(Reservation { ticket, jid, wid, done });
        // The receiver was open a moment ago, under the same lock.
        let _ = claimed.send(Claimed::Fetched(outcome));
        (Fetch::Job(job), joins)
    }

    /// Ends the reservation of this job; false if there is none, or none any more. A job belongs to its jid:
    /// the report may come over any connection, though one of the consumer's own goes first.
    pub fn end(&self, jid: &str, from: Option<&Name>, result: Result<(), Outcome>) -> bool {
        let mut inside = self.lock();
        let inside = &mut *inside;
        let of = |r: &Reservation| r.jid == jid;
        let own = inside.reservations.iter().position(|r| of(r) && from == Some(&r.wid));
        let Some(place) = own.or_else(|| inside.reservations.iter().position(of)) else { return false };
        let Reservation { wid, done, .. } = inside.reservations.remove(place);
        let held = inside.reservations.iter().filter(|r| r.wid == wid).count() as f64;
        let places = inside.consumers.get(&wid).map_or(0.0, |c| c.connections as f64);
        // A consumer works on as many jobs as it has connections that fetch.
        let load = LoadReport { free_slots: Some((places - held).max(0.0)), ..LoadReport::default() };
        done.send(AttemptResult { result, load: Some(load) }).is_ok()
    }

    /// A sign of life; `quiet` says that it wants nothing new. Returns the entry to list, if that changes
    /// something.
    pub fn beat(&self, wid: &Name, quiet: bool) -> Option<Listing> {
        let mut inside = self.lock();
        let consumer = inside.consumers.get_mut(wid)?;
        consumer.seen = Some(Instant::now());
        if !quiet || std::mem::replace(&mut consumer.draining, true) {
            return None;
        }
        turn_away(consumer);
        self.news.notify_waiters();
        consumer.listed.then(|| listing(wid, Readiness::Draining))
    }

    /// Forgets consumers that have been away since `left`, and takes those silent since `silent` off the
    /// list. What the former held may have run.
    pub fn sweep(&self, left: Instant, silent: Instant) -> Vec<Listing> {
        let mut inside = self.lock();
        let inside = &mut *inside;
        let mut changes = Vec::new();
        let mut away = Vec::new();
        inside.consumers.retain(|wid, c| {
            if c.seen.is_some_and(|at| at < silent) && c.listed {
                turn_away(c);
                c.listed = false;
                changes.push(listing(wid, Readiness::Gone));
            }
            let gone = c.left.is_some_and(|at| at <= left);
            if gone {
                away.push(wid.clone());
            }
            !gone
        });
        let mut at = 0;
        while at < inside.reservations.len() {
            if away.contains(&inside.reservations[at].wid) {
                let lost = inside.reservations.swap_remove(at);
                let _ = lost.done.send(Outcome::ConnectionLost.into());
            } else {
                at += 1;
            }
        }
        changes
    }

    /// The consumers that take jobs; how many jobs are offered, and how many reserved.
    pub fn figures(&self) -> (Vec<String>, usize, usize) {
        let inside = self.lock();
        let takes = inside.consumers.iter().filter(|(_, c)| c.listed && !c.draining);
        let listed = takes.map(|(wid, _)| wid.to_string()).collect();
        let offers = inside.consumers.values().map(|c| c.offers.len()).sum();
        (listed, offers, inside.reservations.len())
    }
}

/// What was only offered never ran.
fn turn_away(consumer: &mut Consumer) {
    for offer in consumer.offers.drain(..) {
        let _ = offer.claimed.send(Claimed::Away(Outcome::TurnedAway));
    }
}

fn listing(wid: &Name, readiness: Readiness) -> Listing {
    Listing {
        worker: wid.clone(),
        kind: "".into(),
        zone: ZONE.into(),
        cell: None,
        // A consumer takes what it can by itself: it cannot be pushed over, cold or not.
        started: None,
        weight: 1.0,
        readiness,
    }
}
