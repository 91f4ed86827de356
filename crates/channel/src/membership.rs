//! Which log workers there are: passes what discovery tells on to the subchannels and the decisions.

use std::future::Future;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{mpsc, watch};

use super::fleet::Fleet;
use super::resolver::{Failure, Order, Resolver, ResolverResult};
use super::start_times::StartTimes;
use super::subchannel::{lock, Call, NO_WATCH};
use rookspoke_config::{Config, ListUpdate, Target};
use rookspoke_decisions::{Discovery, ListScope, Listing, Name, Readiness};
use rookspoke_dispatch::{Counters, Handle};

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
    let known = config.last_known_list.clone();
    let pushed = config.settings.discovery == Discovery::Automatic;
    let resolver = Resolver::new(config.list_source.clone(), known.as_ref().map(|k| k.rev), pushed);
    let clock = fleet.shared.clock;
    let ready = Arc::new(ready);
    async move {
        // Without any list, too, the decisions must hear of their start: they ask for lists from then on.
        let start_times = Arc::new(Mutex::new(StartTimes::default()));
        let take = {
            let (handle, fleet, start_times) = (handle.clone(), fleet.clone(), start_times.clone());
            move |scope, update: &ListUpdate| {
                report_unreadable(handle.counters(), update);
                take_update(&start_times, &fleet, scope, update)
            }
        };
        let entries = known.as_ref().map(|known| take(ListScope::Remembered, known));
        handle.update_list(ListScope::Remembered, entries.unwrap_or_default()).await;
        if known.is_some() {
            let ready = ready.clone();
            tokio::spawn(async move {
                tokio::time::sleep(PATIENCE).await;
                ready.send_replace(true);
            });
        }
        let tell = |result| {
            let (handle, fleet, ready) = (handle.clone(), fleet.clone(), ready.clone());
            let take = take.clone();
            async move {
                match result {
                    ResolverResult::Word(at) => {
                        let word = at.map_or(NO_WATCH, |at| clock.at(at).0);
                        fleet.shared.last_word.store(word, Ordering::Release);
                    }
                    ResolverResult::Update(scope, update) => {
                        let entries = take(scope, &update);
                        fleet.shared.list_unread.store(false, Ordering::Release);
                        handle.update_list(scope, entries).await;
                        ready.send_replace(true);
                    }
                    ResolverResult::Failed(Failure::Unavailable) => {
                        handle.update_list(ListScope::Failed, Arc::new([])).await;
                    }
                    ResolverResult::Failed(Failure::Unusable) => {
                        fleet.shared.list_unread.store(true, Ordering::Release);
                        handle.counters().lists_unusable.increment();
                        handle.update_list(ListScope::Unusable, Arc::new([])).await;
                    }
                    ResolverResult::Moved => handle.update_list(ListScope::Moved, Arc::new([])).await,
                    ResolverResult::Silent(since) => {
                        let since = clock.at(since);
                        handle.update_list(ListScope::Silent { since }, Arc::new([])).await;
                    }
                }
            }
        };
        resolver.run(orders, tell).await;
    }
}

/// Counts and logs entries that were left out.
fn report_unreadable(counters: &Counters, update: &ListUpdate) {
    let Some(first) = update.unreadable.first() else { return };
    let count = update.unreadable.len();
    counters.list_entries_unreadable.add(count);
    tracing::error!(
        version = update.rev,
        count,
        "discovery: entries that make no sense are left out, such as {first}"
    );
}

/// Passes an update on to the subchannels; gives its entries as the decisions take them.
fn take_update(
    start_times: &Mutex<StartTimes>,
    fleet: &Fleet,
    scope: ListScope,
    update: &ListUpdate,
) -> Arc<[Listing]> {
    let mut entries: Vec<Listing> = update.targets.iter().map(Target::listing).collect();
    fleet.apply(scope, update, &entries);
    if scope == ListScope::Changes {
        let named = update.unreadable.iter().filter_map(|entry| entry.worker.clone());
        entries.extend(named.filter(|name| fleet.get(name).is_some()).map(drained));
    }
    lock(start_times).correct(scope, &mut entries, fleet.shared.clock.now());
    entries.into()
}

/// What is done about a log worker of which something unknown was told: nothing new goes there.
fn drained(worker: Name) -> Listing {
    Listing {
        worker,
        kind: "".into(),
        zone: "".into(),
        cell: None,
        started: None,
        weight: 1.0,
        readiness: Readiness::Draining,
    }
}
