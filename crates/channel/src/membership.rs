//! Fleet membership: passes the results of the resolver on to the subchannels and the dispatcher.

use std::future::Future;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{mpsc, watch};

use super::fleet::Fleet;
use super::resolver::{Command, Failure, Resolver, ResolverResult};
use super::start_times::StartTimes;
use super::subchannel::{lock, Call, NO_WATCH};
use rookspoke_config::{Config, ListUpdate, Target};
use rookspoke_decisions::{Discovery, ListScope, Listing, Name, Readiness};
use rookspoke_dispatch::{Counters, Handle};

/// How long discovery may stay silent at the start before the last known list counts as the first one.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(1);

/// Feeds resolver results to the subchannels and the dispatcher. If discovery stays silent at the start, the
/// last known list is used.
pub fn discover(
    config: &Config,
    handle: Handle<Arc<Call>, Bytes>,
    fleet: Fleet,
    commands: mpsc::Receiver<Command>,
    ready: watch::Sender<bool>,
) -> impl Future<Output = ()> + Send + 'static {
    let last_known = config.last_known_list.clone();
    let pushed = config.settings.discovery == Discovery::Automatic;
    let resolver =
        Resolver::new(config.list_source.clone(), last_known.as_ref().map(|list| list.rev), pushed);
    let clock = fleet.shared.clock;
    let ready = Arc::new(ready);
    async move {
        let start_times = Arc::new(Mutex::new(StartTimes::default()));
        let apply = {
            let (handle, fleet, start_times) = (handle.clone(), fleet.clone(), start_times.clone());
            move |scope, update: &ListUpdate| {
                report_skipped_entries(handle.counters(), update);
                apply_update(&start_times, &fleet, scope, update)
            }
        };
        let entries = last_known.as_ref().map(|list| apply(ListScope::Remembered, list));
        // The dispatcher needs this call even without a last known list: it requests no list before it.
        handle.update_list(ListScope::Remembered, entries.unwrap_or_default()).await;
        if last_known.is_some() {
            let ready = ready.clone();
            tokio::spawn(async move {
                tokio::time::sleep(FIRST_LIST_TIMEOUT).await;
                ready.send_replace(true);
            });
        }
        let on_result = |result| {
            let (handle, fleet, ready) = (handle.clone(), fleet.clone(), ready.clone());
            let apply = apply.clone();
            async move {
                match result {
                    ResolverResult::WatchMessage(at) => {
                        let at = at.map_or(NO_WATCH, |at| clock.at(at).0);
                        fleet.shared.last_watch_message.store(at, Ordering::Release);
                    }
                    ResolverResult::Update(scope, update) => {
                        let entries = apply(scope, &update);
                        fleet.shared.list_unreadable.store(false, Ordering::Release);
                        handle.update_list(scope, entries).await;
                        ready.send_replace(true);
                    }
                    ResolverResult::Failed(Failure::Unavailable) => {
                        handle.update_list(ListScope::Failed, Arc::new([])).await;
                    }
                    ResolverResult::Failed(Failure::Unusable) => {
                        fleet.shared.list_unreadable.store(true, Ordering::Release);
                        handle.counters().lists_unusable.increment();
                        handle.update_list(ListScope::Unusable, Arc::new([])).await;
                    }
                    ResolverResult::SourceChanged => {
                        handle.update_list(ListScope::SourceChanged, Arc::new([])).await
                    }
                    ResolverResult::Silent(since) => {
                        let since = clock.at(since);
                        handle.update_list(ListScope::Silent { since }, Arc::new([])).await;
                    }
                }
            }
        };
        resolver.run(commands, on_result).await;
    }
}

/// Counts and logs entries that were skipped.
fn report_skipped_entries(counters: &Counters, update: &ListUpdate) {
    let Some(first) = update.unreadable.first() else { return };
    let count = update.unreadable.len();
    counters.list_entries_unreadable.add(count);
    tracing::error!(
        version = update.rev,
        count,
        "discovery: invalid list entries are skipped, the first one is {first}"
    );
}

/// Applies an update to the subchannels and returns its entries for the dispatcher.
fn apply_update(
    start_times: &Mutex<StartTimes>,
    fleet: &Fleet,
    scope: ListScope,
    update: &ListUpdate,
) -> Arc<[Listing]> {
    let mut entries: Vec<Listing> = update.targets.iter().map(Target::listing).collect();
    fleet.apply(scope, update, &entries);
    if scope == ListScope::Changes {
        let skipped = update.unreadable.iter().filter_map(|entry| entry.worker.clone());
        entries.extend(skipped.filter(|name| fleet.get(name).is_some()).map(draining_entry));
    }
    lock(start_times).correct(scope, &mut entries, fleet.shared.clock.now());
    entries.into()
}

/// The entry that stands in for an unreadable one: the log worker gets no new requests.
fn draining_entry(worker: Name) -> Listing {
    Listing {
        worker,
        kind: "".into(),
        zone: "".into(),
        cell: None,
        queues: None,
        started: None,
        weight: 1.0,
        readiness: Readiness::Draining,
    }
}
