//! Splits what discovery writes into its objects, wherever the pieces and the lines of it end.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;
use rookspoke_config::MAX_LIST_BYTES;
use thiserror::Error;
use tokio::time::{timeout, timeout_at};

/// Discovery says something at least every 2 s. An answer on which nothing came for longer is dead, whatever TCP says. What
/// it missed counts 6 s after its last word, and a new one takes up to 2 s of them.
pub const SILENCE: Duration = Duration::from_millis(2500);
/// What had come before that time was up is read within this.
const UNREAD: Duration = Duration::from_millis(50);

/// Why an answer of discovery cannot be split into objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SplitError {
    /// An object that is longer than any list may be.
    #[error("found an object of over {MAX_LIST_BYTES} bytes, expected a list that is shorter")]
    TooLong,
    /// Something that begins no object.
    #[error("found byte {0:#04x} between objects, expected an object or an empty line")]
    NoObject(u8),
    /// Discovery has nothing to tell, though it has not ended what it was telling.
    #[error("found an empty line within an object, expected its end first")]
    CutOff,
}

/// What discovery says at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Item {
    /// An empty line: nothing has changed.
    Heartbeat,
    /// The text of one object.
    Object(Bytes),
}

/// Splits bytes into items. Each byte is looked at once, and no more than one object and one piece are held.
#[derive(Debug, Default)]
pub struct Splitter {
    /// What has come and was not given out; within an object it begins with that.
    held: BytesMut,
    /// How much of the object that has begun has been looked at.
    scanned: usize,
    /// Brackets and braces that are open at `scanned`; none between objects.
    depth: usize,
    in_string: bool,
    /// The line on which `held` begins has held an object.
    line_has_object: bool,
}

impl Splitter {
    /// Adds what has come.
    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// Whether an object has begun and not ended, as far as has been looked at.
    pub fn is_within_object(&self) -> bool {
        self.depth > 0
    }

    /// The next item that is whole.
    ///
    /// # Errors
    /// Says what stands where no item can; nothing can be read on from there.
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
        let object = self.held.split_to(self.scanned).freeze();
        self.scanned = 0;
        Ok(Some(Item::Object(object)))
    }

    /// Drops what stands before the next object and enters it; stops at an empty line.
    fn skip_to_object(&mut self) -> Result<Option<Item>, SplitError> {
        for at in 0..self.held.len() {
            match self.held[at] {
                b'\n' if !self.line_has_object => {
                    self.drop_first(at + 1);
                    return Ok(Some(Item::Heartbeat));
                }
                b'\n' => self.line_has_object = false,
                byte if byte.is_ascii_whitespace() => {}
                b'{' => {
                    self.drop_first(at);
                    (self.depth, self.scanned) = (1, 1);
                    return Ok(None);
                }
                byte => return Err(SplitError::NoObject(byte)),
            }
        }
        self.held.clear();
        Ok(None)
    }

    fn drop_first(&mut self, count: usize) {
        let _ = self.held.split_to(count);
    }

    /// Looks for the end of the object that has begun, up to which all is scanned then.
    fn scan_object(&mut self) -> Result<bool, SplitError> {
        while self.depth > 0 && self.scanned < self.held.len() {
            if self.in_string {
                self.scan_string();
                continue;
            }
            match self.held[self.scanned] {
                b'"' => self.in_string = true,
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => self.depth -= 1,
                b'\n' if self.is_line_empty() => return Err(SplitError::CutOff),
                _ => {}
            }
            self.scanned += 1;
        }
        if self.scanned > MAX_LIST_BYTES {
            return Err(SplitError::TooLong);
        }
        Ok(self.depth == 0)
    }

    /// Goes on to the end of the string, or past the next escape, whose second byte may not be here yet. Strings of a list
    /// are short: a plain loop is quicker than a search.
    fn scan_string(&mut self) {
        let rest = &self.held[self.scanned..];
        let plain = rest.iter().take_while(|byte| !matches!(**byte, b'"' | b'\\')).count();
        self.scanned += plain;
        match rest.get(plain) {
            Some(b'"') => (self.in_string, self.scanned) = (false, self.scanned + 1),
            Some(_) => self.scanned += 2,
            None => {}
        }
    }

    /// Whether nothing stands on the line that ends at `scanned`.
    fn is_line_empty(&self) -> bool {
        let before = self.held[..self.scanned].iter().rev();
        before.take_while(|byte| **byte != b'\n').all(u8::is_ascii_whitespace)
    }
}

/// Why nothing more can be read of an answer.
#[derive(Debug, Error)]
pub enum StreamError {
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Broken(#[from] hyper::Error),
    /// The answer ended within an object.
    #[error("the answer ended within an object")]
    EndedWithin,
    /// What came makes no sense.
    #[error("{0}")]
    Split(#[from] SplitError),
    /// Nothing came for too long.
    #[error("nothing came for {SILENCE:?}")]
    Silent,
}

/// The body of an answer of discovery, item by item.
pub struct ListStream<B> {
    body: B,
    splitter: Splitter,
    /// When something last came of which an item is made: spaces between objects are nothing.
    progress: Instant,
    /// What came after the time was up has been read since.
    read_late: bool,
    receiving: Receiving,
}

/// Whether some of an object has come and the rest is still awaited; clones are the same.
#[derive(Clone, Debug, Default)]
pub struct Receiving(Arc<AtomicBool>);

impl Receiving {
    /// Whether it is so now.
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }

    /// Says whether it is so.
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
    /// A stream over this body, whose head has just come; `receiving` tells of it.
    pub fn new(body: B, receiving: Receiving) -> Self {
        ListStream {
            body,
            splitter: Splitter::default(),
            progress: Instant::now(),
            read_late: false,
            receiving,
        }
    }

    /// The next item; none at the end of the body. An object may take as long to come as it likes, if some of it comes
    /// all the time.
    ///
    /// # Errors
    /// Says why nothing more can be read.
    pub async fn next(&mut self) -> Result<Option<Item>, StreamError> {
        loop {
            let item = self.splitter.next_item()?;
            self.receiving.set(self.splitter.is_within_object());
            if item.is_some() || self.splitter.is_within_object() {
                (self.progress, self.read_late) = (Instant::now(), false);
            }
            if item.is_some() {
                return Ok(item);
            }
            match self.next_piece().await? {
                Some(piece) => self.splitter.push(&piece),
                None if self.splitter.is_within_object() => return Err(StreamError::EndedWithin),
                None => return Ok(None),
            }
        }
    }

    async fn next_piece(&mut self) -> Result<Option<Bytes>, StreamError> {
        let dead_at = self.progress + SILENCE;
        let frame = match timeout_at(dead_at.into(), self.body.frame()).await {
            Ok(frame) => frame,
            Err(_) if self.read_late => return Err(StreamError::Silent),
            // Stopped for longer than that, this process wakes with its time up and news unread.
            Err(_) => timeout(UNREAD, self.body.frame()).await.map_err(|_| StreamError::Silent)?,
        };
        self.read_late = Instant::now() >= dead_at;
        let frame = frame.transpose()?;
        Ok(frame.map(|frame| frame.into_data().unwrap_or_default()))
    }
}

#[cfg(test)]
mod tests;
