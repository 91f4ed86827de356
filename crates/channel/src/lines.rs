//! Splits log workers' responses, which hold one JSON object per line, into lines. Their length is bounded
//! like that of all job bodies.

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;
use thiserror::Error;

use super::MAX_BODY;

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
}

impl<B: Body<Data = Bytes, Error = hyper::Error> + Unpin> Lines<B> {
    pub fn new(body: B) -> Self {
        Lines { body, buffer: BytesMut::new(), searched: 0 }
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
        }
        Ok(self.buffer.freeze())
    }
}
