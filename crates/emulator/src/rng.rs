//! Random streams. Each entity draws from its own, so that one more log worker, or one more draw of it, leaves the
//! draws of all others as they were.

use rand::rngs::SmallRng;
use rand::SeedableRng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What draws.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Stream {
    /// Arrivals and their sizes.
    Clients,
    /// What a client does after a refusal.
    Retry,
    /// A log worker's speed.
    Speed,
    /// The noise of a log worker's reports.
    Report,
    /// Delays on the way.
    Network,
    /// Discovery's lateness.
    Discovery,
    /// Whom an incident hits.
    Incident,
    /// A policy's own draws.
    Policy,
}

/// The stream of one entity.
pub fn stream(seed: u64, of: Stream, number: u64) -> SmallRng {
    let mut bytes = [0; 9];
    bytes[0] = of as u8;
    bytes[1..].copy_from_slice(&number.to_le_bytes());
    SmallRng::seed_from_u64(xxh3_64_with_seed(&bytes, seed))
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::Rng;

    #[test]
    fn streams_differ_by_seed_kind_and_number_and_stay_the_same() {
        let draw = |seed, of, number| stream(seed, of, number).random::<u64>();
        let all = [
            draw(1, Stream::Clients, 0),
            draw(2, Stream::Clients, 0),
            draw(1, Stream::Speed, 0),
            draw(1, Stream::Speed, 1),
        ];
        let mut different = all.to_vec();
        different.sort();
        different.dedup();
        assert_eq!(different.len(), all.len());
        assert_eq!(draw(1, Stream::Speed, 1), all[3]);
    }
}
