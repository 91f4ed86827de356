//! Partitions of small and large fleets: which workers are candidates of a key, and how they change with the fleet.

use xxhash_rust::xxh3::xxh3_64;

use super::*;

fn candidate(hash: u64, id: WorkerId) -> Candidate {
    Candidate { id, hash, weight: 1.0, kind: None }
}

fn filled(count: u64) -> Partitions {
    let mut parts = Partitions::default();
    (0..count).for_each(|n| parts.insert(candidate(xxh3_64(&n.to_le_bytes()), n as WorkerId)));
    parts
}

fn candidates_of(parts: &Partitions, key: KeyHash) -> Vec<WorkerId> {
    let mut all: Vec<WorkerId> = parts.for_key(key).flat_map(|p| p.workers.iter().map(|w| w.id)).collect();
    all.sort_unstable();
    all
}

#[test]
fn all_workers_are_candidates_in_a_small_fleet_and_a_bounded_number_in_a_large_one() {
    assert_eq!(candidates_of(&filled(100), 7), (0..100).collect::<Vec<WorkerId>>());
    assert_eq!(candidates_of(&filled(300), 7).len(), 300);
    for count in [2_000, 12_000] {
        let parts = filled(count);
        let counts: Vec<usize> = (0..50).map(|key| candidates_of(&parts, key).len()).collect();
        let (least, most) = (counts.iter().min().expect("some"), counts.iter().max().expect("some"));
        assert!(
            *least > PARTITIONS_PER_KEY * PARTITION_SIZE / 2
                && *most < PARTITIONS_PER_KEY * PARTITION_SIZE * 3,
            "{least} to {most} of {count}"
        );
    }
}

#[test]
fn a_keys_version_changes_only_with_its_own_partitions() {
    let mut parts = filled(4_000);
    let (key, other) = (7, 4_001);
    let own = candidates_of(&parts, key)[0];
    let before = parts.version(key);
    let unrelated = (0..4_000).find(|n| !candidates_of(&parts, key).contains(n)).expect("one");
    parts.remove(xxh3_64(&u64::from(unrelated).to_le_bytes()), unrelated);
    assert_eq!(parts.version(key), before);
    parts.remove(xxh3_64(&u64::from(own).to_le_bytes()), own);
    assert_ne!(parts.version(key), before);
    parts.insert(candidate(xxh3_64(&u64::from(own).to_le_bytes()), other));
    assert!(candidates_of(&parts, key).contains(&other));
}

#[test]
fn doubling_the_fleet_keeps_half_of_a_keys_candidates() {
    let (small, large) = (filled(4_000), filled(8_200));
    assert_eq!(large.parts.len(), 2 * small.parts.len());
    let kept = |key| {
        let (before, after) = (candidates_of(&small, key), candidates_of(&large, key));
        before.iter().filter(|w| after.contains(w)).count() as f64 / before.len() as f64
    };
    let mean = (0..40).map(kept).sum::<f64>() / 40.0;
    assert!((0.4..0.6).contains(&mean), "{mean}");
}

proptest::proptest! {
    /// After any sequence of insertions and removals every worker is in exactly one partition, and no version
    /// repeats.
    #[test]
    fn every_worker_is_in_exactly_one_partition(steps in proptest::collection::vec((0u32..700, proptest::bool::ANY), 1..900)) {
        let mut parts = Partitions::default();
        let mut held = std::collections::BTreeSet::new();
        let mut versions = std::collections::BTreeSet::new();
        for (id, insert) in steps {
            let hash = xxh3_64(&id.to_le_bytes());
            match insert {
                true if held.insert(id) => parts.insert(candidate(hash, id)),
                false if held.remove(&id) => parts.remove(hash, id),
                _ => continue,
            }
            let all: Vec<WorkerId> = parts.parts.iter().flat_map(|p| p.workers.iter().map(|w| w.id)).collect();
            proptest::prop_assert_eq!(all.len(), held.len());
            proptest::prop_assert!(all.iter().all(|id| held.contains(id)));
            if parts.parts.len() <= PARTITIONS_PER_KEY {
                proptest::prop_assert!(versions.insert(parts.version(1)));
            }
        }
    }
}

proptest::proptest! {
    /// `first_for_key` returns the workers that a full sort by rank puts first.
    #[test]
    fn the_first_for_a_key_have_the_lowest_ranks(
        weights in proptest::collection::vec(0.01f64..4.0, 0..300),
        key: u64,
        limit in 1usize..40,
    ) {
        let candidates: Vec<Candidate> = (0u32..)
            .zip(weights)
            .map(|(id, weight)| Candidate { weight, ..candidate(xxh3_64(&id.to_le_bytes()), id) })
            .collect();
        let mut all: Vec<(f64, WorkerId)> =
            candidates.iter().map(|candidate| (-candidate.draw(key).ln() / candidate.weight, candidate.id)).collect();
        all.sort_by(|a, b| a.0.total_cmp(&b.0));
        let expected: Vec<WorkerId> = all.into_iter().take(limit).map(|ranked| ranked.1).collect();
        proptest::prop_assert_eq!(first_for_key(key, candidates.iter(), |candidate| candidate.weight, limit), expected);
    }
}
