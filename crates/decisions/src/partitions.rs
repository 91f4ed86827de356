//! Workers in service, in partitions by the hashes of their names.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::api::KindId;
use crate::worker::{KeyHash, WorkerId};

/// Workers of a partition, at the mean of a fleet that has more than `PARTITIONS_PER_KEY` parts.
const PARTITION_SIZE: usize = 64;
/// Parts that a key looks into. A fleet of no more parts than this is looked through whole.
const PARTITIONS_PER_KEY: usize = 4;

/// Above any error of rounding in a comparison of ranks.
const ROUNDING: f64 = 1.0 + 1e-9;

/// What a key's order needs to know of a worker: kept here, so that ranking hundreds of them reads one array and does
/// not go through the table of all workers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Candidate {
    pub(crate) id: WorkerId,
    /// Of its name.
    pub(crate) hash: u64,
    pub(crate) weight: f64,
    pub(crate) kind: Option<KindId>,
}

impl Candidate {
    /// A number between 0 and 1 that depends on the key and the worker's name alone.
    fn draw(&self, key: KeyHash) -> f64 {
        let mixed = xxh3_64_with_seed(&self.hash.to_le_bytes(), key) >> 11;
        (mixed as f64 + 0.5) / (1u64 << 53) as f64
    }
}

/// The `most` workers that come first for a key: those of the lowest `-ln(draw) / weight`, an exponential draw over the
/// weight (weighted rendezvous hashing).
pub(crate) fn first_for_key<'a>(
    key: KeyHash,
    candidates: impl Iterator<Item = &'a Candidate>,
    weight: impl Fn(&Candidate) -> f64,
    most: usize,
) -> Vec<WorkerId> {
    let mut first: Vec<(f64, WorkerId)> = Vec::with_capacity(most + 1);
    for candidate in candidates {
        let (draw, weight) = (candidate.draw(key), weight(candidate));
        let last = if first.len() < most { f64::INFINITY } else { first[most - 1].0 };
        // Most need no logarithm, nor a division: 1 - draw is never more than -ln(draw).
        if 1.0 - draw > last * weight * ROUNDING {
            continue;
        }
        let rank = -draw.ln() / weight;
        let place = first.partition_point(|(other, _)| *other <= rank);
        if place < most {
            first.truncate(most - 1);
            first.insert(place, (rank, candidate.id));
        }
    }
    first.into_iter().map(|(_, id)| id).collect()
}

/// Workers in service, split into parts by their names' hashes: the order of a key in a large fleet is taken from
/// the few parts that the key's own hash names, so that it costs no more than in a small one. The number of parts is
/// a power of two; when it doubles, each part splits, and half of what a key had looked at stays.
#[derive(Default)]
pub(crate) struct Partitions {
    parts: Vec<Partition>,
    count: usize,
    /// Grows with each change of the number of parts.
    splits: u64,
}

#[derive(Clone, Default)]
pub(crate) struct Partition {
    pub(crate) workers: Vec<Candidate>,
    /// Counts the changes.
    version: u64,
}

impl Partitions {
    fn place(&self, hash: u64) -> usize {
        let bits = self.parts.len().trailing_zeros();
        hash.checked_shr(u64::BITS - bits).unwrap_or(0) as usize
    }
    fn fit(&mut self) {
        let wanted = (self.count / PARTITION_SIZE).max(1).next_power_of_two();
        let now = self.parts.len();
        // A fleet that grows and shrinks around a bound does not split and join each time.
        if now > 0 && wanted <= now && wanted * 4 > now {
            return;
        }
        let all: Vec<Candidate> = self.parts.drain(..).flat_map(|part| part.workers).collect();
        self.parts = vec![Partition::default(); wanted];
        self.splits += 1;
        for candidate in all {
            let place = self.place(candidate.hash);
            self.parts[place].workers.push(candidate);
        }
    }
    pub(crate) fn insert(&mut self, candidate: Candidate) {
        self.count += 1;
        self.fit();
        let place = self.place(candidate.hash);
        self.parts[place].workers.push(candidate);
        self.parts[place].version += 1;
    }
    pub(crate) fn remove(&mut self, hash: u64, id: WorkerId) {
        let place = self.place(hash);
        let part = &mut self.parts[place];
        part.workers.retain(|other| other.id != id);
        part.version += 1;
        self.count -= 1;
        self.fit();
    }
    pub(crate) fn set_weight(&mut self, hash: u64, id: WorkerId, weight: f64) {
        let place = self.place(hash);
        let part = &mut self.parts[place];
        part.workers.iter_mut().filter(|other| other.id == id).for_each(|other| other.weight = weight);
        part.version += 1;
    }
    /// The parts that a key looks into: all, or `PARTITIONS_PER_KEY` different ones.
    pub(crate) fn of(&self, key: KeyHash) -> impl Iterator<Item = &Partition> {
        let all = self.parts.len() <= PARTITIONS_PER_KEY;
        let mut drawn = [usize::MAX; PARTITIONS_PER_KEY];
        for at in 0..if all { 0 } else { PARTITIONS_PER_KEY } {
            let draws = (0u64..).map(|n| self.place(xxh3_64_with_seed(&n.to_le_bytes(), key)));
            drawn[at] = draws.into_iter().find(|place| !drawn.contains(place)).unwrap_or(0);
        }
        let whole = self.parts.iter().take(if all { PARTITIONS_PER_KEY } else { 0 });
        whole.chain(drawn.into_iter().filter_map(|place| self.parts.get(place)))
    }
    /// A number that is another one after each change of what a key looks at.
    pub(crate) fn version(&self, key: KeyHash) -> u64 {
        // Versions of parts begin anew with a split.
        self.of(key).map(|part| part.version).sum::<u64>() + (self.splits << 40)
    }
}

#[cfg(test)]
mod tests;
