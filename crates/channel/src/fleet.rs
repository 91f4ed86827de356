//! The subchannels of all listed log workers, and the core's transport over them.

use std::collections::BTreeSet;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rustc_hash::{FxHashMap, FxHashSet};
use tokio::sync::mpsc;
use tower::Service;

use super::resolver::Order;
use super::subchannel::{lock, Call, Shared, Subchannel};
use rookspoke_config::ListUpdate;
use rookspoke_decisions::{Ban, ListScope, Listing, Name, Outcome, Readiness};
use rookspoke_dispatch::{AttemptResult, CallAttempt, ProbeResult, Transport};

/// How often idle connections are looked through.
const SWEEP: Duration = Duration::from_secs(1);

/// Every subchannel, by the name of its log worker.
#[derive(Clone)]
pub struct Fleet {
    pub shared: Arc<Shared>,
    subchannels: Arc<std::sync::Mutex<FxHashMap<Name, Subchannel>>>,
    /// Taken out by hand, listed or not.
    banned: Arc<std::sync::Mutex<BTreeSet<Name>>>,
}

impl Fleet {
    /// Without any log worker yet.
    pub fn new(shared: Arc<Shared>) -> Self {
        let fleet = Fleet { shared, subchannels: Arc::default(), banned: Arc::default() };
        // Nobody else sets it.
        let _ = fleet.shared.subchannels.set(Arc::downgrade(&fleet.subchannels));
        fleet
    }

    /// All subchannels.
    pub fn lock(&self) -> std::sync::MutexGuard<'_, FxHashMap<Name, Subchannel>> {
        lock(&self.subchannels)
    }

    /// Takes out by hand exactly these.
    pub fn ban(&self, bans: &[Ban]) {
        let new: BTreeSet<Name> = bans.iter().map(|ban| ban.worker.clone()).collect();
        let mut banned = lock(&self.banned);
        self.lock().iter().for_each(|(name, subchannel)| subchannel.set_banned(new.contains(name)));
        *banned = new;
    }

    /// The way to one log worker.
    pub fn get(&self, name: &Name) -> Option<Subchannel> {
        self.lock().get(name).cloned()
    }

    /// Takes a list or its changes, whose entries `listings` holds as the decisions take them. What is gone or draining
    /// is shut for new work from this moment on, before the decisions hear of it.
    pub fn apply(&self, scope: ListScope, update: &ListUpdate, listings: &[Listing]) {
        let banned = lock(&self.banned);
        let mut subchannels = self.lock();
        if scope != ListScope::Changes {
            let named: FxHashSet<&str> = update.targets.iter().map(|target| target.uid.as_ref()).collect();
            subchannels.retain(|name, subchannel| {
                subchannel.set_ready(false);
                named.contains(name.as_ref())
            });
        }
        // Nobody knows what was told of these: they are shut as if they drained.
        for name in update.unreadable.iter().filter_map(|entry| entry.worker.as_ref()) {
            if let Some(subchannel) = subchannels.get(name) {
                subchannel.set_ready(false);
            }
        }
        for (target, listing) in update.targets.iter().zip(listings) {
            let name = &listing.worker;
            if listing.readiness == Readiness::Gone {
                if let Some(gone) = subchannels.remove(name) {
                    gone.set_ready(false);
                }
                continue;
            }
            let epoch = listing.started.map_or(0, |at| at.0 as u64);
            let ready = listing.readiness == Readiness::InService;
            if let Some(subchannel) = subchannels.get(name) {
                subchannel.update(target.endpoint, ready, epoch);
                continue;
            }
            let subchannel = Subchannel::new(name.clone(), target.endpoint, self.shared.clone());
            subchannel.set_banned(banned.contains(name));
            subchannel.update(target.endpoint, ready, epoch);
            subchannels.insert(name.clone(), subchannel);
        }
    }

    /// Closes idle connections in time, for as long as it is polled.
    pub async fn sweep(self) {
        let mut ticks = tokio::time::interval(SWEEP);
        loop {
            ticks.tick().await;
            self.lock().values().for_each(Subchannel::sweep);
        }
    }
}

/// The core's transport over subchannels.
pub struct Subchannels {
    pub fleet: Fleet,
    pub orders: mpsc::Sender<Order>,
}

impl Subchannels {
    fn order(&self, order: Order) {
        // A full queue already holds an order that will ask again.
        let _ = self.orders.try_send(order);
    }
}

impl Transport for Subchannels {
    type Call = Arc<Call>;
    type Reply = Bytes;

    fn send(
        &mut self,
        attempt: CallAttempt<Arc<Call>>,
    ) -> impl Future<Output = AttemptResult<Bytes>> + Send + 'static {
        let subchannel = self.fleet.get(&attempt.worker);
        async move {
            match subchannel {
                Some(mut subchannel) => {
                    let Ok(ended) = subchannel.call(attempt).await;
                    ended
                }
                None => Outcome::NotSent.into(),
            }
        }
    }

    fn probe(&mut self, worker: Name) -> impl Future<Output = ProbeResult> + Send + 'static {
        let subchannel = self.fleet.get(&worker);
        async move {
            match subchannel {
                Some(subchannel) => subchannel.probe().await,
                None => ProbeResult { outcome: Outcome::NotSent, load: None },
            }
        }
    }

    fn watch_list(&mut self) {
        self.order(Order::Watch);
    }

    fn fetch_list(&mut self) {
        self.order(Order::Fetch);
    }

    fn close_idle(&mut self, worker: &Name) {
        if let Some(subchannel) = self.fleet.get(worker) {
            subchannel.close_idle();
        }
    }
}
