//! Which log workers there are: passes what discovery tells on to the subchannels and the decisions.

use std::future::Future;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{mpsc, watch};

use super::fleet::Fleet;
use super::resolver::{Failure, Order, Resolver, ResolverResult};
use super::start_times::StartTimes;
use super::subchannel::{lock, Call, NO_WATCH};
use rookspoke_config::{Config, Target, Update};
use rookspoke_decisions::{Discovery, ListScope, Listing, Time};
use rookspoke_dispatch::Handle;

/// How long discovery may stay silent at the start before the list last known counts as the first.
const PATIENCE: Duration = Duration::from_secs(1);

/// Feeds resolver results to subchannels and decisions. If discovery stays silent at the start, the list
/// last known has to do.
pub fn discover(
    config: &Config,
    handle: Handle<Arc<Call>, Bytes>,
    fleet: Fleet,
    orders: mpsc::Receiver<Order>,
    ready: watch::Sender<bool>,
) -> impl Future<Output = ()> + Send + 'static {
    let known = config.known.clone();
    let pushed = config.settings.discovery == Discovery::Automatic;
    let resolver = Resolver::new(config.source.clone(), known.as_ref().map(|k| k.rev), pushed);
    let clock = fleet.shared.clock;
    let ready = Arc::new(ready);
    async move {
        // Without any list, too, the decisions must hear of their start: they ask for lists from then on.
        let start_times = Arc::new(std::sync::Mutex::new(StartTimes::default()));
        let entries = known.as_ref().map(|known| {
            fleet.apply(ListScope::Remembered, known);
            listings(&start_times, ListScope::Remembered, known, clock.now())
        });
        handle.list(ListScope::Remembered, entries.unwrap_or_default()).await;
        if known.is_some() {
            let ready = ready.clone();
            tokio::spawn(async move {
                tokio::time::sleep(PATIENCE).await;
                ready.send_replace(true);
            });
        }
        let tell = |result| {
            let (handle, fleet, ready) = (handle.clone(), fleet.clone(), ready.clone());
            let start_times = start_times.clone();
            async move {
                match result {
                    ResolverResult::Word(at) => {
                        let word = at.map_or(NO_WATCH, |at| clock.at(at).0);
                        fleet.shared.last_word.store(word, Ordering::Release);
                    }
                    ResolverResult::Update(scope, update) => {
                        fleet.apply(scope, &update);
                        let entries = listings(&start_times, scope, &update, clock.now());
                        handle.list(scope, entries).await;
                        ready.send_replace(true);
                    }
                    ResolverResult::Failed(failure) => {
                        if failure == Failure::Unusable {
                            handle.counters().lists_unusable.add();
                        }
                        handle.list(ListScope::Failed, Arc::new([])).await;
                    }
                    ResolverResult::Moved => handle.list(ListScope::Moved, Arc::new([])).await,
                    ResolverResult::Silent(since) => {
                        let since = clock.at(since);
                        handle.list(ListScope::Silent { since }, Arc::new([])).await;
                    }
                }
            }
        };
        resolver.run(orders, tell).await;
    }
}

/// A list's entries, as the decisions take them.
fn listings(
    start_times: &std::sync::Mutex<StartTimes>,
    scope: ListScope,
    update: &Update,
    now: Time,
) -> Arc<[Listing]> {
    let mut entries: Vec<Listing> = update.targets.iter().map(Target::listing).collect();
    lock(start_times).correct(scope, &mut entries, now);
    entries.into()
}
