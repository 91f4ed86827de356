//! Splits log workers' responses, which hold one JSON object per line, into lines. Their length is bounded
//! like that of all job bodies.

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;
use thiserror::Error;

use rookspoke_memory::{MemoryBudget, Reservation, SMALL_BYTES};

use super::{MAX_BODY, MAX_READ_BUFFER};

/// Why the rest of a body could not be read.
#[derive(Debug, Error)]
pub enum LineError {
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Connection(#[from] hyper::Error),
    /// A line, or the whole body, is longer than 64 KiB.
    #[error("found more than {MAX_BODY} bytes, expected at most that many")]
    TooLong,
}

/// Splits a body into lines.
pub struct Lines<B> {
    body: B,
    buffer: BytesMut,
    /// Number of bytes at the start of `buffer` that contain no newline.
    searched: usize,
    memory: MemoryBudget,
    /// Memory of a buffer that is large.
    reservation: Reservation,
}

impl<B: Body<Data = Bytes, Error = hyper::Error> + Unpin> Lines<B> {
    /// Splits `body`; a large buffer is held within `memory`.
    pub fn new(body: B, memory: &MemoryBudget) -> Self {
        let (memory, reservation) = (memory.clone(), memory.firm());
        Lines { body, buffer: BytesMut::new(), searched: 0, memory, reservation }
    }

    /// Hands over the reservation of the buffer, which is not used for further lines then.
    pub fn take_reservation(&mut self) -> Reservation {
        std::mem::replace(&mut self.reservation, self.memory.firm())
    }

    /// Waits for the memory of a buffer that has become large. It gets room for the longest line and the piece after
    /// it, so that whatever has got room can be read to its end.
    async fn reserve(&mut self) {
        if self.buffer.len() > SMALL_BYTES && self.reservation.bytes() == 0 {
            // Fails only for a reservation that others can reclaim.
            let _ = self.reservation.grow_soon(MAX_BODY + MAX_READ_BUFFER).await;
            self.buffer.reserve(MAX_BODY + MAX_READ_BUFFER - self.buffer.len());
        }
    }

    /// The next line without its newline, or `None` at the end of the body. A last line without a newline is
    /// returned, too.
    pub async fn next(&mut self) -> Result<Option<Bytes>, LineError> {
        loop {
            if let Some(at) = self.buffer[self.searched..].iter().position(|b| *b == b'\n') {
                let mut line = self.buffer.split_to(self.searched + at + 1);
                line.truncate(line.len() - 1);
                self.searched = 0;
                return Ok(Some(line.freeze()));
            }
            self.searched = self.buffer.len();
            if self.buffer.len() > MAX_BODY {
                return Err(LineError::TooLong);
            }
            self.reserve().await;
            match self.body.frame().await.transpose()? {
                Some(frame) => self.buffer.extend_from_slice(frame.data_ref().map_or(&[], |d| d)),
                None if self.buffer.is_empty() => return Ok(None),
                None => {
                    self.searched = 0;
                    return Ok(Some(self.buffer.split().freeze()));
                }
            }
        }
    }

    /// The rest of the body in one piece.
    pub async fn read_rest(mut self) -> Result<Bytes, LineError> {
        while let Some(frame) = self.body.frame().await.transpose()? {
            self.buffer.extend_from_slice(frame.data_ref().map_or(&[], |d| d));
            if self.buffer.len() > MAX_BODY {
                return Err(LineError::TooLong);
            }
            self.reserve().await;
        }
        Ok(self.buffer.freeze())
    }

    /// Reads the rest of the body and drops it.
    pub async fn skip_rest(mut self) -> Result<(), LineError> {
        self.buffer = BytesMut::new();
        self.reservation.shrink(0);
        let mut length = 0;
        while let Some(frame) = self.body.frame().await.transpose()? {
            length += frame.data_ref().map_or(0, Bytes::len);
            if length > MAX_BODY {
                return Err(LineError::TooLong);
            }
        }
        Ok(())
    }
}
