//! Answers of log workers, which hold one object to a line, as bytes; bounded as all bodies of jobs are.

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;
use thiserror::Error;

use super::MAX_BODY;

/// Why a body could not be read on.
#[derive(Debug, Error)]
pub enum LineError {
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Broken(#[from] hyper::Error),
    /// A line, or a whole body, longer than 64 KiB.
    #[error("longer than {MAX_BODY} bytes")]
    TooLong,
}

/// Splits a body into lines.
pub struct Lines<B> {
    body: B,
    held: BytesMut,
    /// How much of `held` is known to have no line's end.
    searched: usize,
}

impl<B: Body<Data = Bytes, Error = hyper::Error> + Unpin> Lines<B> {
    pub fn new(body: B) -> Self {
        Lines { body, held: BytesMut::new(), searched: 0 }
    }

    /// The next line without its end; none at the end of the body. What follows the last line's end counts
    /// as a line too.
    pub async fn next(&mut self) -> Result<Option<Bytes>, LineError> {
        loop {
            if let Some(at) = self.held[self.searched..].iter().position(|b| *b == b'\n') {
                let mut line = self.held.split_to(self.searched + at + 1);
                line.truncate(line.len() - 1);
                self.searched = 0;
                return Ok(Some(line.freeze()));
            }
            self.searched = self.held.len();
            if self.held.len() > MAX_BODY {
                return Err(LineError::TooLong);
            }
            match self.body.frame().await.transpose()? {
                Some(frame) => self.held.extend_from_slice(frame.data_ref().map_or(&[], |d| d)),
                None if self.held.is_empty() => return Ok(None),
                None => {
                    self.searched = 0;
                    return Ok(Some(self.held.split().freeze()));
                }
            }
        }
    }

    /// All that is left, as one piece.
    pub async fn all(mut self) -> Result<Bytes, LineError> {
        while let Some(frame) = self.body.frame().await.transpose()? {
            self.held.extend_from_slice(frame.data_ref().map_or(&[], |d| d));
            if self.held.len() > MAX_BODY {
                return Err(LineError::TooLong);
            }
        }
        Ok(self.held.freeze())
    }
}
