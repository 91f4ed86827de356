//! Splits a discovery response into its JSON objects, wherever its chunks and lines end.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;
use rookspoke_config::MAX_LIST_BYTES;
use thiserror::Error;
use tokio::time::{timeout, timeout_at};

/// Discovery sends something at least every 2 s. A response without data for longer than this is dead,
/// whatever TCP reports. Updates missed on it are binding 6 s after the last message, and a new watch takes
/// up to 2 s of those.
pub const MAX_SILENCE: Duration = Duration::from_millis(2500);
/// Time limit for reading data that arrived before the silence limit passed.
const LATE_READ_TIMEOUT: Duration = Duration::from_millis(50);

/// Why a discovery response cannot be split into objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SplitError {
    /// An object longer than any list may be.
    #[error("found an object of over {MAX_LIST_BYTES} bytes, expected a shorter list")]
    TooLong,
    /// A byte that does not begin an object.
    #[error("found byte {0:#04x} between objects, expected an object or an empty line")]
    UnexpectedByte(u8),
    /// A heartbeat, which is an empty line, arrived before the current object ended.
    #[error("found an empty line within an object, expected the end of the object first")]
    UnfinishedObject,
}

/// One item of a discovery response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Item {
    /// An empty line: nothing has changed.
    Heartbeat,
    /// The text of one object.
    Object(Bytes),
}

/// Splits bytes into items. Each byte is scanned once, and the buffer holds at most one object and one chunk.
#[derive(Debug, Default)]
pub struct Splitter {
    /// Bytes received and not yet returned; within an object, the buffer begins at its first byte.
    buffer: BytesMut,
    /// Number of bytes of the current object that have been scanned.
    scanned: usize,
    /// Number of brackets and braces open at `scanned`; 0 between objects.
    depth: usize,
    in_string: bool,
    /// An object has ended on the line at which `buffer` begins.
    line_has_object: bool,
}

impl Splitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether an object has begun and not ended within the scanned bytes.
    pub fn is_within_object(&self) -> bool {
        self.depth > 0
    }

    /// The next complete item, if there is one.
    ///
    /// # Errors
    /// Reports what was found where an item was expected. The rest of the response cannot be read.
    pub fn next_item(&mut self) -> Result<Option<Item>, SplitError> {
        if self.depth == 0 {
            if let Some(heartbeat) = self.skip_to_object()? {
                return Ok(Some(heartbeat));
            }
        }
        if self.depth == 0 || !self.scan_object()? {
            return Ok(None);
        }
        self.line_has_object = true;
        let object = self.buffer.split_to(self.scanned).freeze();
        self.scanned = 0;
        Ok(Some(Item::Object(object)))
    }

    /// Discards bytes up to the next object and enters it; stops at an empty line.
    fn skip_to_object(&mut self) -> Result<Option<Item>, SplitError> {
        for at in 0..self.buffer.len() {
            match self.buffer[at] {
                b'\n' if !self.line_has_object => {
                    self.discard(at + 1);
                    return Ok(Some(Item::Heartbeat));
                }
                b'\n' => self.line_has_object = false,
                byte if byte.is_ascii_whitespace() => {}
                b'{' => {
                    self.discard(at);
                    (self.depth, self.scanned) = (1, 1);
                    return Ok(None);
                }
                byte => return Err(SplitError::UnexpectedByte(byte)),
            }
        }
        self.buffer.clear();
        Ok(None)
    }

    fn discard(&mut self, count: usize) {
        let _ = self.buffer.split_to(count);
    }

    /// Scans for the end of the current object; returns whether it was found, in which case `scanned` is its
    /// length.
    fn scan_object(&mut self) -> Result<bool, SplitError> {
        while self.depth > 0 && self.scanned < self.buffer.len() {
            if self.in_string {
                self.scan_string();
                continue;
            }
            match self.buffer[self.scanned] {
                b'"' => self.in_string = true,
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => self.depth -= 1,
                b'\n' if self.is_line_empty() => return Err(SplitError::UnfinishedObject),
                _ => {}
            }
            self.scanned += 1;
        }
        if self.scanned > MAX_LIST_BYTES {
            return Err(SplitError::TooLong);
        }
        Ok(self.depth == 0)
    }

    /// Scans to the end of the string, or past the next escape, whose second byte may not have arrived yet.
    /// The strings of a list are short, so a plain loop is faster than a search routine.
    fn scan_string(&mut self) {
        let rest = &self.buffer[self.scanned..];
        let plain = rest.iter().take_while(|byte| !matches!(**byte, b'"' | b'\\')).count();
        self.scanned += plain;
        match rest.get(plain) {
            Some(b'"') => (self.in_string, self.scanned) = (false, self.scanned + 1),
            Some(_) => self.scanned += 2,
            None => {}
        }
    }

    /// Whether the line that ends at `scanned` is blank.
    fn is_line_empty(&self) -> bool {
        let before = self.buffer[..self.scanned].iter().rev();
        before.take_while(|byte| **byte != b'\n').all(u8::is_ascii_whitespace)
    }
}

/// Why a discovery response cannot be read any further.
#[derive(Debug, Error)]
pub enum StreamError {
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Connection(#[from] hyper::Error),
    /// The response ended within an object.
    #[error("the response ended within an object")]
    Truncated,
    /// The response is not a sequence of objects.
    #[error("{0}")]
    Split(#[from] SplitError),
    /// No data arrived for too long.
    #[error("no data received for {MAX_SILENCE:?}")]
    Silent,
}

/// The body of a discovery response, item by item.
pub struct ListStream<B> {
    body: B,
    splitter: Splitter,
    /// When data that belongs to an item last arrived; whitespace between objects does not count.
    last_progress: Instant,
    /// Data was read after the silence limit had passed.
    read_late: bool,
    receiving: Receiving,
}

/// Whether part of an object has arrived and the rest is pending; clones share the state.
#[derive(Clone, Debug, Default)]
pub struct Receiving(Arc<AtomicBool>);

impl Receiving {
    /// Whether an object is incomplete now.
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }

    /// Sets whether an object is incomplete.
    pub fn set(&self, receiving: bool) {
        self.0.store(receiving, Ordering::Release);
    }
}

impl<B> Drop for ListStream<B> {
    fn drop(&mut self) {
        self.receiving.set(false);
    }
}

impl<B: Body<Data = Bytes, Error = hyper::Error> + Unpin> ListStream<B> {
    /// A stream over the body of a response whose head has just arrived; it keeps `receiving` up to date.
    pub fn new(body: B, receiving: Receiving) -> Self {
        ListStream {
            body,
            splitter: Splitter::default(),
            last_progress: Instant::now(),
            read_late: false,
            receiving,
        }
    }

    /// The next item, or `None` at the end of the body. An object may take any time to arrive, as long as
    /// data keeps coming.
    ///
    /// # Errors
    /// Reports why the response cannot be read any further.
    pub async fn next(&mut self) -> Result<Option<Item>, StreamError> {
        loop {
            let item = self.splitter.next_item()?;
            self.receiving.set(self.splitter.is_within_object());
            if item.is_some() || self.splitter.is_within_object() {
                (self.last_progress, self.read_late) = (Instant::now(), false);
            }
            if item.is_some() {
                return Ok(item);
            }
            match self.next_chunk().await? {
                Some(chunk) => self.splitter.push(&chunk),
                None if self.splitter.is_within_object() => return Err(StreamError::Truncated),
                None => return Ok(None),
            }
        }
    }

    async fn next_chunk(&mut self) -> Result<Option<Bytes>, StreamError> {
        let silent_at = self.last_progress + MAX_SILENCE;
        let frame = match timeout_at(silent_at.into(), self.body.frame()).await {
            Ok(frame) => frame,
            Err(_) if self.read_late => return Err(StreamError::Silent),
            // A process that was stopped for longer than the limit wakes up with the limit passed and data
            // still unread.
            Err(_) => timeout(LATE_READ_TIMEOUT, self.body.frame()).await.map_err(|_| StreamError::Silent)?,
        };
        self.read_late = Instant::now() >= silent_at;
        let frame = frame.transpose()?;
        Ok(frame.map(|frame| frame.into_data().unwrap_or_default()))
    }
}

#[cfg(test)]
mod tests;
