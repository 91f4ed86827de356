//! The results of jobs, on their way from a log worker's answer to the client.

use bytes::Bytes;
use rookspoke_memory::{Reservation, SMALL_BYTES};

/// A result in memory of its own, with the reservation for it until its client has read it.
struct HeldResult {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for HeldResult {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Copies the text of a result out of the buffer that it was read into, which may be far larger, and holds it within the
/// reservation of that buffer. One that came in a single piece may have none; without room for it then, it is held all
/// the same, since it must not be lost.
pub fn hold(result: Bytes, mut reservation: Reservation) -> Bytes {
    let result = plain_text(result);
    reservation.shrink(result.len());
    if result.len() > SMALL_BYTES {
        let _ = reservation.grow(result.len());
    }
    Bytes::from_owner(HeldResult { bytes: result.to_vec(), _reservation: reservation })
}

/// The text of a result that is a JSON string; any other result is passed on as the bytes received.
fn plain_text(result: Bytes) -> Bytes {
    if result.first() != Some(&b'"') {
        return result;
    }
    let inner = result.slice(1..result.len().saturating_sub(1).max(1));
    if !inner.contains(&b'\\') {
        return inner;
    }
    serde_json::from_slice::<String>(&result).map_or(result, Bytes::from)
}
