//! Finds where each request on a connection begins and ends, from the raw bytes and before the HTTP library parses
//! them. The library merges conflicting length headers into one, so a request with two lengths (request smuggling)
//! can only be detected here.

use bytes::{Buf, BytesMut};

/// Limit on the size of a request head, and so on the bytes buffered while it is incomplete.
pub const MAX_HEAD: usize = 16 * 1024;
/// Limit on the number of headers, the same as the HTTP library's.
const MAX_HEADERS: usize = 100;
/// Limit on the size of the trailer section after the last chunk.
const MAX_TRAILER: usize = 4 * 1024;
/// Limit on the length of a chunk-size line.
const MAX_SIZE_LINE: usize = 256;
/// Replaces a head that must be rejected but that the HTTP library would accept. The library fails to parse this,
/// answers 400 and closes the connection.
const INVALID_HEAD: &[u8] = b"\0\r\n\r\n";

/// Methods that a request line may start with.
const METHODS: [&[u8]; 8] =
    [b"POST ", b"GET ", b"HEAD ", b"PUT ", b"DELETE ", b"OPTIONS ", b"PATCH ", b"CONNECT "];

/// Counts of what one call of [`Framing::feed`] completed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Completed {
    /// Valid heads that were completed.
    pub heads: u64,
    /// Requests, bodies included, that were completed.
    pub requests: u64,
}

/// Position of the next byte within the request stream.
#[derive(Debug)]
enum Position {
    /// In a head, which is buffered until it is complete.
    Head,
    /// In a body with this many bytes left.
    Body(u64),
    /// In a chunk-size line, `seen` bytes into it; `digits` until the hexadecimal digits of `size` end.
    ChunkSize { seen: usize, size: u64, digits: bool },
    /// In a chunk with this many bytes left, its line end included.
    Chunk(u64),
    /// In the trailer section: `seen` bytes in all, `line` bytes in the current line.
    Trailer { seen: usize, line: usize },
    /// The boundaries between requests can no longer be determined.
    OutOfSync,
}

/// How the body that follows a head is delimited.
enum BodyLength {
    Known(u64),
    Chunked,
}

/// Tracks the request boundaries of one connection.
#[derive(Debug)]
pub struct Framing {
    position: Position,
    buffer: BytesMut,
}

impl Default for Framing {
    fn default() -> Self {
        Framing { position: Position::Head, buffer: BytesMut::new() }
    }
}

impl Framing {
    /// Whether a head has been received in part.
    pub fn has_partial_head(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Number of bytes of a head that has been received in part.
    pub fn partial_head_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the boundaries between requests are lost. What has been passed on so far makes the HTTP library reject
    /// the last request; it must not be given any more bytes.
    pub fn is_out_of_sync(&self) -> bool {
        matches!(self.position, Position::OutOfSync)
    }

    /// Rejects the request whose head has been received in part: the HTTP library answers with an error and closes.
    pub fn reject_partial_head(&mut self, out: &mut BytesMut) {
        self.buffer.clear();
        self.position = Position::OutOfSync;
        out.extend_from_slice(INVALID_HEAD);
    }

    /// Processes received bytes, and appends to `out` those that the HTTP library may read.
    pub fn feed(&mut self, bytes: &[u8], out: &mut BytesMut) -> Completed {
        let mut completed = Completed::default();
        self.buffer.extend_from_slice(bytes);
        while !self.buffer.is_empty() {
            match self.position {
                Position::Head => {
                    if !self.parse_head(out) {
                        return completed;
                    }
                    completed.heads += u64::from(!self.is_out_of_sync());
                }
                Position::Body(left) => {
                    let left = self.forward(left, out);
                    self.position = Position::Body(left);
                }
                Position::Chunk(left) => {
                    let left = self.forward(left, out);
                    self.position =
                        if left > 0 { Position::Chunk(left) } else { Position::chunk_size_start() };
                }
                Position::ChunkSize { .. } | Position::Trailer { .. } => {
                    let byte = self.buffer.get_u8();
                    out.extend_from_slice(&[byte]);
                    self.position = self.after_chunk_byte(byte);
                }
                Position::OutOfSync => self.buffer.clear(),
            }
            if let Position::Body(0) = self.position {
                self.position = Position::Head;
                completed.requests += 1;
            }
        }
        // An idle connection holds no buffer.
        self.buffer = BytesMut::new();
        completed
    }

    /// Passes on up to `left` buffered bytes, and returns how many of them are still to come.
    fn forward(&mut self, left: u64, out: &mut BytesMut) -> u64 {
        let count = usize::try_from(left).unwrap_or(usize::MAX).min(self.buffer.len());
        out.extend_from_slice(&self.buffer.split_to(count));
        left - count as u64
    }

    /// Validates the buffered head and passes it on or rejects it; false while it is incomplete. Empty lines before
    /// it are dropped.
    fn parse_head(&mut self, out: &mut BytesMut) -> bool {
        let empty = self.buffer.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
        self.buffer.advance(empty);
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        match request.parse(&self.buffer) {
            Ok(httparse::Status::Complete(end)) if end <= MAX_HEAD => match body_length(&request) {
                Some(length) => {
                    let rest = self.buffer.len() - end;
                    // Bytes after the body that cannot start a request mean that the given length is wrong: they
                    // may belong to this body.
                    let surplus = match length {
                        BodyLength::Known(n) if n < rest as u64 => self.buffer.get(end + n as usize..),
                        _ => None,
                    };
                    if surplus.is_some_and(|s| !may_start_request(s)) {
                        self.stop(INVALID_HEAD, out);
                    } else {
                        out.extend_from_slice(&self.buffer.split_to(end));
                        self.position = match length {
                            BodyLength::Known(n) => Position::Body(n),
                            BodyLength::Chunked => Position::chunk_size_start(),
                        };
                    }
                }
                None => self.stop(INVALID_HEAD, out),
            },
            Ok(httparse::Status::Partial) if self.buffer.len() < MAX_HEAD => return false,
            // The library rejects this head too, and picks the matching status code.
            Ok(_) | Err(_) => {
                let head = self.buffer.split();
                self.stop(&head, out);
            }
        }
        true
    }

    /// Passes on `replacement` instead of what is buffered, and nothing after it.
    fn stop(&mut self, replacement: &[u8], out: &mut BytesMut) {
        out.extend_from_slice(replacement);
        self.buffer.clear();
        self.position = Position::OutOfSync;
    }

    /// The position after a byte of a chunk-size line or of the trailer section.
    fn after_chunk_byte(&self, byte: u8) -> Position {
        match self.position {
            Position::ChunkSize { seen, size, digits: true }
                if byte.is_ascii_hexdigit() && size < 1 << 56 =>
            {
                let digit = char::from(byte).to_digit(16).map_or(0, u64::from);
                Position::ChunkSize { seen: seen + 1, size: size * 16 + digit, digits: true }
            }
            // A chunk-size line without a digit is an error.
            Position::ChunkSize { seen: 0, .. } => Position::OutOfSync,
            Position::ChunkSize { size: 0, .. } if byte == b'\n' => Position::Trailer { seen: 0, line: 0 },
            Position::ChunkSize { size, .. } if byte == b'\n' => Position::Chunk(size + 2),
            Position::ChunkSize { seen, size, .. } if seen < MAX_SIZE_LINE && !byte.is_ascii_hexdigit() => {
                Position::ChunkSize { seen: seen + 1, size, digits: false }
            }
            Position::ChunkSize { seen, size, digits: false } if seen < MAX_SIZE_LINE => {
                Position::ChunkSize { seen: seen + 1, size, digits: false }
            }
            Position::Trailer { line: 0, .. } if byte == b'\n' => Position::Body(0),
            Position::Trailer { seen, .. } if byte == b'\n' => Position::Trailer { seen: seen + 1, line: 0 },
            Position::Trailer { seen, line } if seen < MAX_TRAILER => {
                Position::Trailer { seen: seen + 1, line: line + usize::from(byte != b'\r') }
            }
            _ => Position::OutOfSync,
        }
    }
}

impl Position {
    fn chunk_size_start() -> Self {
        Position::ChunkSize { seen: 0, size: 0, digits: true }
    }
}

/// The body length that a head gives; `None` where it gives more than one, or an invalid one. Lengths that the HTTP
/// library rejects by itself are also rejected here.
fn body_length(request: &httparse::Request) -> Option<BodyLength> {
    let values = |name: &str| {
        let named = request.headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name));
        named.map(|h| h.value.trim_ascii()).collect::<Vec<_>>()
    };
    match (&values("content-length")[..], &values("transfer-encoding")[..]) {
        ([], []) => Some(BodyLength::Known(0)),
        ([length], []) if !length.is_empty() && length.iter().all(u8::is_ascii_digit) => {
            // A length that overflows u64 exceeds every limit on bodies, and is rejected.
            std::str::from_utf8(length).ok()?.parse().ok().map(BodyLength::Known)
        }
        ([], [coding]) if coding.eq_ignore_ascii_case(b"chunked") && request.version == Some(1) => {
            Some(BodyLength::Chunked)
        }
        _ => None,
    }
}

/// Whether a request line may start with these bytes; empty lines before it are allowed.
fn may_start_request(bytes: &[u8]) -> bool {
    let line = bytes.trim_ascii_start();
    METHODS.iter().any(|method| line.starts_with(method) || method.starts_with(line))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Feeds `text` in pieces of `piece_len` bytes; returns what was passed on, the counts, and whether the framing is
    /// out of sync.
    fn feed_in_pieces(text: &str, piece_len: usize) -> (String, Completed, bool) {
        let (mut framing, mut out, mut total) = (Framing::default(), BytesMut::new(), Completed::default());
        for piece in text.as_bytes().chunks(piece_len) {
            let completed = framing.feed(piece, &mut out);
            total = Completed {
                heads: total.heads + completed.heads,
                requests: total.requests + completed.requests,
            };
        }
        (String::from_utf8(out.to_vec()).expect("valid UTF-8"), total, framing.is_out_of_sync())
    }

    #[test]
    fn requests_are_passed_on_unchanged_and_counted_for_any_piece_size() {
        let text = "\r\nPOST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\n\r\n\
                    POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\na;x=1\r\n0123456789\r\n0\r\nT: 1\r\n\r\n\
                    POST /d HTTP/1.1\r\nContent-Length: 4\r\n\r\nab";
        for piece_len in [1, 2, 7, 1000] {
            let (out, completed, out_of_sync) = feed_in_pieces(text, piece_len);
            assert_eq!((out.as_str(), out_of_sync), (&text[2..], false), "in pieces of {piece_len} bytes");
            assert_eq!(completed, Completed { heads: 4, requests: 3 });
        }
    }

    #[test]
    fn nothing_is_passed_on_after_a_request_with_ambiguous_length() {
        let head = "POST /a HTTP/1.1\r\n";
        let hidden = "0\r\n\r\nPOST /b HTTP/1.1\r\n\r\n";
        for lengths in
            ["Content-Length: 5\r\nTransfer-Encoding: chunked", "Content-Length: 1\r\nContent-Length: 1"]
        {
            let (out, completed, out_of_sync) =
                feed_in_pieces(&format!("{head}{lengths}\r\n\r\n{hidden}"), 1000);
            assert_eq!((out.as_bytes(), completed, out_of_sync), (INVALID_HEAD, Completed::default(), true));
        }
        let bad_chunk_size = format!("{head}Transfer-Encoding: chunked\r\n\r\n+5\r\n{hidden}");
        let (out, completed, out_of_sync) = feed_in_pieces(&bad_chunk_size, 1);
        assert!(out_of_sync && out.ends_with('+') && completed == Completed { heads: 1, requests: 0 });
    }
}
