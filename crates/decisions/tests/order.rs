//! Compares the worker of a key's first job with that of a plain scan, which ranks every worker in service and keeps no
//! state.

mod common;

use std::collections::BTreeMap;

use common::*;
use proptest::prelude::*;
use rookspoke_decisions::*;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A worker as a list describes it.
#[derive(Clone, Debug)]
struct ListedWorker {
    number: usize,
    weight: f64,
    readiness: Readiness,
}

fn listed_worker() -> impl Strategy<Value = ListedWorker> {
    let readiness = prop_oneof![
        4 => Just(Readiness::InService),
        1 => Just(Readiness::Draining),
        1 => Just(Readiness::Gone),
    ];
    (0usize..200, prop_oneof![Just(1.0), 0.1..4.0], readiness)
        .prop_map(|(number, weight, readiness)| ListedWorker { number, weight, readiness })
}

fn entry(listed: &ListedWorker) -> Listing {
    Listing { weight: listed.weight, readiness: listed.readiness, ..listing(listed.number) }
}

/// The worker of the lowest rank. The rank is an exponential variate, computed from key and name and divided by the
/// weight (weighted rendezvous hashing).
fn first_by_scan(in_service: &BTreeMap<usize, f64>, key: &str) -> Option<String> {
    let key = xxh3_64_with_seed(key.as_bytes(), 0);
    let rank = |name: &str, weight: f64| {
        let hash = xxh3_64_with_seed(&xxh3_64(name.as_bytes()).to_le_bytes(), key) >> 11;
        -((hash as f64 + 0.5) / (1u64 << 53) as f64).ln() / weight
    };
    let ranked = in_service.iter().map(|(number, weight)| {
        let name = listing(*number).worker.to_string();
        (rank(&name, *weight), name)
    });
    ranked.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, name)| name)
}

proptest! {
    #[test]
    fn a_keys_first_job_is_sent_to_the_worker_that_a_full_scan_ranks_first(
        lists in proptest::collection::vec(
            (any::<bool>(), proptest::collection::vec(listed_worker(), 1..150)),
            1..12,
        ),
    ) {
        let mut host = Host::new(settings(&[Effect::Safe]), 0);
        let mut in_service: BTreeMap<usize, f64> = BTreeMap::new();
        for (id, (complete, entries)) in (0u64..).zip(lists) {
            // A list has one entry for each worker.
            let entries: BTreeMap<usize, ListedWorker> =
                entries.into_iter().map(|listed| (listed.number, listed)).collect();
            if complete {
                in_service.clear();
            }
            for listed in entries.values() {
                match listed.readiness {
                    Readiness::InService => drop(in_service.insert(listed.number, listed.weight)),
                    Readiness::Draining | Readiness::Gone => drop(in_service.remove(&listed.number)),
                }
            }
            let scope = if complete { ListScope::Complete } else { ListScope::Changes };
            host.handle(list_event(scope, entries.values().map(entry).collect()));
            host.now_ms += 5_000.0;
            let key = format!("key-{id}");
            let sent = sent_to(&host.submit(id, 0, Some(&key)));
            prop_assert_eq!(&sent, &first_by_scan(&in_service, &key));
            if sent.is_some() {
                host.handle(outcome_event(id, 0, Outcome::Served, true, None));
            }
        }
    }
}
