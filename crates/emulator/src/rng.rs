//! Seeded random streams. Each entity draws from a stream of its own, so that adding a log worker, or a draw of one
//! entity, doesn't change the draws of the others.

use rand::rngs::SmallRng;
use rand::SeedableRng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The purpose of a stream. The discriminant is part of the seed, so the order of the variants must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Stream {
    /// Arrival times of requests, their classes, sizes and keys.
    Clients,
    /// Backoff of clients after a refusal or failure.
    Retry,
    /// Speed of a log worker's machine.
    Speed,
    /// Noise and phase of a log worker's load reports.
    Report,
    /// Jitter of network delays, and connection resets.
    Network,
    /// Delay with which discovery announces changes.
    Discovery,
    /// Targets of an incident, and the requests that it makes costly.
    Incident,
    /// Seeds and draws of a policy.
    Policy,
}

/// Returns the stream of entity `number` for a purpose. The seed, the purpose and the number determine its draws.
pub fn stream(seed: u64, purpose: Stream, number: u64) -> SmallRng {
    let mut bytes = [0; 9];
    bytes[0] = purpose as u8;
    bytes[1..].copy_from_slice(&number.to_le_bytes());
    SmallRng::seed_from_u64(xxh3_64_with_seed(&bytes, seed))
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::Rng;

    #[test]
    fn streams_differ_by_seed_purpose_and_number_and_are_reproducible() {
        let draw = |seed, purpose, number| stream(seed, purpose, number).random::<u64>();
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
