//! Reads request bodies into buffers of their own, within the memory budget of requests.

use std::time::Duration;

use bytes::{Buf, BufMut, Bytes};
use http::HeaderMap;
use http_body::Body;
use http_body_util::BodyExt;
use rookspoke_memory::{Reservation, Shortage, SMALL_BYTES};

use super::MAX_BODY;

/// Memory of one header beside its text, in bytes: its entry in the map, and the allocations for its name.
const HEADER_OVERHEAD: usize = 128;
/// Copies of a request's headers that are held at a time: the client's, and that of a call attempt.
const HEADER_COPIES: usize = 2;
/// How long a body waits for memory. It is refused soon enough for the time limit of request bodies.
const MEMORY_TIMEOUT: Duration = Duration::from_secs(2);
/// Capacity of a body's first buffer, in bytes.
const MIN_CAPACITY: usize = 1024;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is longer than [`MAX_BODY`].
    TooLong,
    /// The connection broke, or the encoding is invalid.
    Interrupted,
    /// There is no memory for it.
    OutOfMemory,
}

/// Memory that a request's headers occupy, in bytes.
pub fn header_bytes(headers: &HeaderMap) -> usize {
    let one = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
        name.as_str().len() + value.len() + HEADER_OVERHEAD
    };
    headers.iter().map(one).sum::<usize>() * HEADER_COPIES
}

/// Reads a body to its end. The reservation, which is that of the whole request, grows with the buffer; `beside` is
/// what it covers besides the body.
///
/// The pieces are copied: each is part of a buffer of the connection, which would stay allocated with it.
pub async fn collect<B>(mut body: B, beside: usize, reservation: &mut Reservation) -> Result<Bytes, BodyError>
where
    B: Body + Unpin,
    B::Data: Buf,
{
    let announced = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
    let largest = announced.unwrap_or(MAX_BODY).min(MAX_BODY);
    let mut buffer = Vec::new();
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = reservation.reclaimed() => return Err(BodyError::OutOfMemory),
        };
        let Some(frame) = frame else { break };
        let Ok(data) = frame.map_err(|_| BodyError::Interrupted)?.into_data() else { continue };
        let needed = buffer.len() + data.remaining();
        if needed > MAX_BODY {
            return Err(BodyError::TooLong);
        }
        if needed > buffer.capacity() {
            let doubled = (2 * buffer.capacity()).max(MIN_CAPACITY).max(needed).min(largest);
            // A large body gets room for all of it, so that whatever has got room can be completed.
            let capacity = if beside + doubled <= SMALL_BYTES { doubled } else { largest.max(needed) };
            let room = tokio::time::timeout(MEMORY_TIMEOUT, reservation.grow_soon(beside + capacity)).await;
            room.unwrap_or(Err(Shortage)).map_err(|_| BodyError::OutOfMemory)?;
            buffer.reserve_exact(capacity - buffer.len());
        }
        reservation.record_progress();
        buffer.put(data);
    }
    Ok(buffer.into())
}
