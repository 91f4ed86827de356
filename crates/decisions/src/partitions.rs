//! The workers in service, partitioned by the hashes of their names.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::api::KindId;
use crate::worker::{KeyHash, WorkerId};

/// Mean number of workers per partition in a fleet of more than `PARTITIONS_PER_KEY` partitions.
const PARTITION_SIZE: usize = 64;
/// Number of partitions that a key's candidates come from. In a fleet of at most this many partitions all workers are
/// candidates.
const PARTITIONS_PER_KEY: usize = 4;

/// Factor above any rounding error in a comparison of ranks.
const ROUNDING: f64 = 1.0 + 1e-9;

/// The data of a worker that a key's order is computed from. Copied here so that ranking hundreds of workers reads
/// one array and does not look each of them up in the table of all workers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Candidate {
    pub(crate) id: WorkerId,
    /// The hash of its name.
    pub(crate) hash: u64,
    pub(crate) weight: f64,
    pub(crate) kind: Option<KindId>,
}

impl Candidate {
    /// A pseudo-random number between 0 and 1 that depends only on the key and the worker's name.
    fn draw(&self, key: KeyHash) -> f64 {
        let mixed = xxh3_64_with_seed(&self.hash.to_le_bytes(), key) >> 11;
        (mixed as f64 + 0.5) / (1u64 << 53) as f64
    }
}

/// The first `limit` workers of a key's order: those with the lowest rank `-ln(draw) / weight`, an exponentially
/// distributed draw divided by the weight (weighted rendezvous hashing).
pub(crate) fn first_for_key<'a>(
    key: KeyHash,
    candidates: impl Iterator<Item = &'a Candidate>,
    weight: impl Fn(&Candidate) -> f64,
    limit: usize,
) -> Vec<WorkerId> {
    let mut first: Vec<(f64, WorkerId)> = Vec::with_capacity(limit + 1);
    for candidate in candidates {
        let (draw, weight) = (candidate.draw(key), weight(candidate));
        let last = if first.len() < limit { f64::INFINITY } else { first[limit - 1].0 };
        // Skips most candidates without a logarithm or a division, since 1 - draw is never more than -ln(draw).
        if 1.0 - draw > last * weight * ROUNDING {
            continue;
        }
        let rank = -draw.ln() / weight;
        let index = first.partition_point(|(other, _)| *other <= rank);
        if index < limit {
            first.truncate(limit - 1);
            first.insert(index, (rank, candidate.id));
        }
    }
    first.into_iter().map(|(_, id)| id).collect()
}

/// The workers in service, partitioned by the hashes of their names. In a large fleet the candidates of a key come
/// from a few partitions that the key's hash selects, so that computing its order costs no more than in a small
/// fleet. The number of partitions is a power of two; when it doubles, each partition splits, and half of a key's
/// candidates stay.
#[derive(Default)]
pub(crate) struct Partitions {
    parts: Vec<Partition>,
    count: usize,
    /// Incremented with each change of the number of partitions.
    resizes: u64,
}

#[derive(Clone, Default)]
pub(crate) struct Partition {
    pub(crate) workers: Vec<Candidate>,
    /// Incremented with each change of `workers`.
    version: u64,
}

impl Partitions {
    /// The index of the partition that a hash belongs to.
    fn index_of(&self, hash: u64) -> usize {
        let bits = self.parts.len().trailing_zeros();
        hash.checked_shr(u64::BITS - bits).unwrap_or(0) as usize
    }
    /// Adapts the number of partitions to the number of workers.
    fn resize(&mut self) {
        let wanted = (self.count / PARTITION_SIZE).max(1).next_power_of_two();
        let current = self.parts.len();
        // Hysteresis: a fleet that grows and shrinks around a bound is not split and joined each time.
        if current > 0 && wanted <= current && wanted * 4 > current {
            return;
        }
        let all: Vec<Candidate> = self.parts.drain(..).flat_map(|part| part.workers).collect();
        self.parts = vec![Partition::default(); wanted];
        self.resizes += 1;
        for candidate in all {
            let index = self.index_of(candidate.hash);
            self.parts[index].workers.push(candidate);
        }
    }
    pub(crate) fn insert(&mut self, candidate: Candidate) {
        self.count += 1;
        self.resize();
        let index = self.index_of(candidate.hash);
        self.parts[index].workers.push(candidate);
        self.parts[index].version += 1;
    }
    pub(crate) fn remove(&mut self, hash: u64, id: WorkerId) {
        let index = self.index_of(hash);
        let part = &mut self.parts[index];
        part.workers.retain(|other| other.id != id);
        part.version += 1;
        self.count -= 1;
        self.resize();
    }
    pub(crate) fn set_weight(&mut self, hash: u64, id: WorkerId, weight: f64) {
        let index = self.index_of(hash);
        let part = &mut self.parts[index];
        part.workers.iter_mut().filter(|other| other.id == id).for_each(|other| other.weight = weight);
        part.version += 1;
    }
    /// The partitions that a key's candidates come from: all, or `PARTITIONS_PER_KEY` different ones.
    pub(crate) fn for_key(&self, key: KeyHash) -> impl Iterator<Item = &Partition> {
        let all = self.parts.len() <= PARTITIONS_PER_KEY;
        let mut drawn = [usize::MAX; PARTITIONS_PER_KEY];
        for slot in 0..if all { 0 } else { PARTITIONS_PER_KEY } {
            let draws = (0u64..).map(|n| self.index_of(xxh3_64_with_seed(&n.to_le_bytes(), key)));
            drawn[slot] = draws.into_iter().find(|index| !drawn.contains(index)).unwrap_or(0);
        }
        let whole = self.parts.iter().take(if all { PARTITIONS_PER_KEY } else { 0 });
        whole.chain(drawn.into_iter().filter_map(|index| self.parts.get(index)))
    }
    /// A number that changes with each change of the partitions that a key's candidates come from.
    pub(crate) fn version(&self, key: KeyHash) -> u64 {
        // The versions of partitions restart from 0 when they are resized.
        self.for_key(key).map(|part| part.version).sum::<u64>() + (self.resizes << 40)
    }
}

#[cfg(test)]
mod tests;
