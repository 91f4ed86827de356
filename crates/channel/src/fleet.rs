//! The subchannels of all listed log workers, and the dispatcher's transport over them.

use std::collections::BTreeSet;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rustc_hash::{FxHashMap, FxHashSet};
use tokio::sync::mpsc;
use tower::Service;

use super::resolver::Command;
use super::subchannel::{lock, Call, Shared, Subchannel};
use rookspoke_config::ListUpdate;
use rookspoke_decisions::{Ban, ListScope, Listing, Name, Outcome, Readiness};
use rookspoke_dispatch::{AttemptResult, CallAttempt, ProbeResult, Transport};

/// Interval between checks for expired idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Every subchannel, by the name of its log worker.
#[derive(Clone)]
pub struct Fleet {
    pub shared: Arc<Shared>,
    subchannels: Arc<std::sync::Mutex<FxHashMap<Name, Subchannel>>>,
    /// Log workers banned by operators, whether listed or not.
    banned: Arc<std::sync::Mutex<BTreeSet<Name>>>,
}

impl Fleet {
    /// A fleet without log workers.
    pub fn new(shared: Arc<Shared>) -> Self {
        let fleet = Fleet { shared, subchannels: Arc::default(), banned: Arc::default() };
        // This is the only place that sets it, so it cannot fail.
        let _ = fleet.shared.subchannels.set(Arc::downgrade(&fleet.subchannels));
        fleet
    }

    /// Locks the map of subchannels.
    pub fn lock(&self) -> std::sync::MutexGuard<'_, FxHashMap<Name, Subchannel>> {
        lock(&self.subchannels)
    }

    /// Replaces the set of bans.
    pub fn set_bans(&self, bans: &[Ban]) {
        let names: BTreeSet<Name> = bans.iter().map(|ban| ban.worker.clone()).collect();
        let mut banned = lock(&self.banned);
        self.lock().iter().for_each(|(name, subchannel)| subchannel.set_banned(names.contains(name)));
        *banned = names;
    }

    /// The subchannel of one log worker, if it is listed.
    pub fn get(&self, name: &Name) -> Option<Subchannel> {
        self.lock().get(name).cloned()
    }

    /// Applies a list or a change. `listings` holds the entries of `update` in the dispatcher's form, in the
    /// same order. Log workers that are removed or draining get no new requests from this moment on, even
    /// before the dispatcher is notified.
    pub fn apply(&self, scope: ListScope, update: &ListUpdate, listings: &[Listing]) {
        let banned = lock(&self.banned);
        let mut subchannels = self.lock();
        if scope != ListScope::Changes {
            let listed: FxHashSet<&str> = update.targets.iter().map(|target| target.uid.as_ref()).collect();
            subchannels.retain(|name, subchannel| {
                subchannel.set_ready(false);
                listed.contains(name.as_ref())
            });
        }
        // The content of these entries is unknown, so their log workers are treated as draining.
        for name in update.unreadable.iter().filter_map(|entry| entry.worker.as_ref()) {
            if let Some(subchannel) = subchannels.get(name) {
                subchannel.set_ready(false);
            }
        }
        for (target, listing) in update.targets.iter().zip(listings) {
            let name = &listing.worker;
            if listing.readiness == Readiness::Gone {
                if let Some(subchannel) = subchannels.remove(name) {
                    subchannel.set_ready(false);
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

    /// Closes idle connections when they expire, for as long as it is polled.
    pub async fn sweep(self) {
        let mut ticks = tokio::time::interval(SWEEP_INTERVAL);
        loop {
            ticks.tick().await;
            self.lock().values().for_each(Subchannel::sweep);
        }
    }
}

/// The dispatcher's transport over subchannels.
pub struct SubchannelTransport {
    pub fleet: Fleet,
    pub commands: mpsc::Sender<Command>,
}

impl SubchannelTransport {
    fn send_command(&self, command: Command) {
        // A full queue already holds a command that calls discovery again.
        let _ = self.commands.try_send(command);
    }
}

impl Transport for SubchannelTransport {
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
        self.send_command(Command::Watch);
    }

    fn fetch_list(&mut self) {
        self.send_command(Command::Fetch);
    }

    fn close_idle(&mut self, worker: &Name) {
        if let Some(subchannel) = self.fleet.get(worker) {
            subchannel.close_idle();
        }
    }
}
