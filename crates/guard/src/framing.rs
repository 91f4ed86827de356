//! Where the requests on a connection begin and end, judged on the bytes that came, before an HTTP library
//! reads them: a library that makes one length out of two hides that there were two.

use bytes::{Buf, BytesMut};

/// The longest head, and the most that is held of one.
pub const MAX_HEAD: usize = 16 * 1024;
/// The most headers; the library's own limit.
const MAX_HEADERS: usize = 100;
/// The most that follows the last chunk.
const MAX_TRAILER: usize = 4 * 1024;
/// The longest line that gives the size of a chunk.
const MAX_SIZE_LINE: usize = 256;
/// Passed on in place of a head that the library would put up with: it turns this down and closes.
const POISON: &[u8] = b"\0\r\n\r\n";

/// How a request may begin.
const METHODS: [&[u8]; 8] =
    [b"POST ", b"GET ", b"HEAD ", b"PUT ", b"DELETE ", b"OPTIONS ", b"PATCH ", b"CONNECT "];

/// What a part of the bytes brought.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fed {
    /// Heads that ended.
    pub begun: u64,
    /// Requests that ended.
    pub whole: u64,
}

#[derive(Debug)]
enum At {
    /// In a head, which is held back until it is whole.
    Head,
    /// In a body of so many more bytes.
    Body(u64),
    /// In the line before a chunk, so many bytes into it; the size so far, until its digits end.
    Size { seen: usize, size: u64, digits: bool },
    /// In a chunk of so many more bytes, its line's end included.
    Chunk(u64),
    /// After the last chunk: so many bytes in all, so many in this line.
    Trailer { seen: usize, line: usize },
    /// Nothing that comes now can be told apart.
    Lost,
}

/// How a head says that its body is framed.
enum Length {
    Known(u64),
    Chunked,
}

/// Follows one connection's requests.
#[derive(Debug)]
pub struct Framing {
    at: At,
    held: BytesMut,
}

impl Default for Framing {
    fn default() -> Self {
        Framing { at: At::Head, held: BytesMut::new() }
    }
}

impl Framing {
    /// Whether a head has begun and not ended.
    pub fn holds(&self) -> bool {
        !self.held.is_empty()
    }

    /// Whether the requests can no longer be told apart: what the library has by now makes it turn the last
    /// one down, and it must get nothing more.
    pub fn is_lost(&self) -> bool {
        matches!(self.at, At::Lost)
    }

    /// Turns down the request whose head has begun and not ended: what the library gets makes it answer so and close.
    pub fn give_up(&mut self, out: &mut BytesMut) {
        self.held.clear();
        self.at = At::Lost;
        out.extend_from_slice(POISON);
    }

    /// Takes what came, and appends to `out` what may be read.
    pub fn feed(&mut self, bytes: &[u8], out: &mut BytesMut) -> Fed {
        let mut fed = Fed::default();
        self.held.extend_from_slice(bytes);
        while !self.held.is_empty() {
            match self.at {
                At::Head => {
                    if !self.head(out) {
                        return fed;
                    }
                    fed.begun += u64::from(!self.is_lost());
                }
                At::Body(left) => {
                    let left = self.pass(left, out);
                    self.at = At::Body(left);
                }
                At::Chunk(left) => {
                    let left = self.pass(left, out);
                    self.at = if left > 0 { At::Chunk(left) } else { At::size() };
                }
                At::Size { .. } | At::Trailer { .. } => {
                    let byte = self.held.get_u8();
                    out.extend_from_slice(&[byte]);
                    self.at = self.chunked(byte);
                }
                At::Lost => self.held.clear(),
            }
            if let At::Body(0) = self.at {
                self.at = At::Head;
                fed.whole += 1;
            }
        }
        fed
    }

    fn pass(&mut self, left: u64, out: &mut BytesMut) -> u64 {
        let now = usize::try_from(left).unwrap_or(usize::MAX).min(self.held.len());
        out.extend_from_slice(&self.held.split_to(now));
        left - now as u64
    }

    /// Judges the head that is held; false while its end has not come. Empty lines before it mean nothing.
    fn head(&mut self, out: &mut BytesMut) -> bool {
        let empty = self.held.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
        self.held.advance(empty);
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        match request.parse(&self.held) {
            Ok(httparse::Status::Complete(end)) if end <= MAX_HEAD => match length(&request) {
                Some(length) => {
                    let rest = self.held.len() - end;
                    // Bytes right behind the body that begin no request: the length given is wrong, and what
                    // it cuts off may be a part of this one.
                    let surplus = match length {
                        Length::Known(n) if n < rest as u64 => self.held.get(end + n as usize..),
                        _ => None,
                    };
                    if surplus.is_some_and(|s| !may_begin_a_request(s)) {
                        self.lose(POISON, out);
                    } else {
                        out.extend_from_slice(&self.held.split_to(end));
                        self.at = match length {
                            Length::Known(n) => At::Body(n),
                            Length::Chunked => At::size(),
                        };
                    }
                }
                None => self.lose(POISON, out),
            },
            Ok(httparse::Status::Partial) if self.held.len() < MAX_HEAD => return false,
            // The library comes to the same end, and knows how to word it.
            Ok(_) | Err(_) => {
                let held = self.held.split();
                self.lose(&held, out);
            }
        }
        true
    }

    fn lose(&mut self, instead: &[u8], out: &mut BytesMut) {
        out.extend_from_slice(instead);
        self.held.clear();
        self.at = At::Lost;
    }

    fn chunked(&self, byte: u8) -> At {
        match self.at {
            At::Size { seen, size, digits: true } if byte.is_ascii_hexdigit() && size < 1 << 56 => {
                let digit = char::from(byte).to_digit(16).map_or(0, u64::from);
                At::Size { seen: seen + 1, size: size * 16 + digit, digits: true }
            }
            // A line without a size is an error.
            At::Size { seen: 0, .. } => At::Lost,
            At::Size { size: 0, .. } if byte == b'\n' => At::Trailer { seen: 0, line: 0 },
            At::Size { size, .. } if byte == b'\n' => At::Chunk(size + 2),
            At::Size { seen, size, .. } if seen < MAX_SIZE_LINE && !byte.is_ascii_hexdigit() => {
                At::Size { seen: seen + 1, size, digits: false }
            }
            At::Size { seen, size, digits: false } if seen < MAX_SIZE_LINE => {
                At::Size { seen: seen + 1, size, digits: false }
            }
            At::Trailer { line: 0, .. } if byte == b'\n' => At::Body(0),
            At::Trailer { seen, .. } if byte == b'\n' => At::Trailer { seen: seen + 1, line: 0 },
            At::Trailer { seen, line } if seen < MAX_TRAILER => {
                At::Trailer { seen: seen + 1, line: line + usize::from(byte != b'\r') }
            }
            _ => At::Lost,
        }
    }
}

impl At {
    fn size() -> Self {
        At::Size { seen: 0, size: 0, digits: true }
    }
}

/// The one length that a head gives; none where it gives two, or one that makes no sense. What the library
/// takes as an error by itself is treated alike here.
fn length(request: &httparse::Request) -> Option<Length> {
    let all = |name: &str| {
        let named = request.headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name));
        named.map(|h| h.value.trim_ascii()).collect::<Vec<_>>()
    };
    match (&all("content-length")[..], &all("transfer-encoding")[..]) {
        ([], []) => Some(Length::Known(0)),
        ([length], []) if !length.is_empty() && length.iter().all(u8::is_ascii_digit) => {
            // More than fits is also more than anyone may send.
            std::str::from_utf8(length).ok()?.parse().ok().map(Length::Known)
        }
        ([], [coding]) if coding.eq_ignore_ascii_case(b"chunked") && request.version == Some(1) => {
            Some(Length::Chunked)
        }
        _ => None,
    }
}

/// Whether a request line may begin like this; empty lines before it are allowed.
fn may_begin_a_request(bytes: &[u8]) -> bool {
    let line = bytes.trim_ascii_start();
    METHODS.iter().any(|method| line.starts_with(method) || method.starts_with(line))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// What passes and what ends, fed in pieces of this size.
    fn fed(text: &str, piece: usize) -> (String, Fed, bool) {
        let (mut framing, mut out, mut all) = (Framing::default(), BytesMut::new(), Fed::default());
        for piece in text.as_bytes().chunks(piece) {
            let fed = framing.feed(piece, &mut out);
            all = Fed { begun: all.begun + fed.begun, whole: all.whole + fed.whole };
        }
        (String::from_utf8(out.to_vec()).expect("text"), all, framing.is_lost())
    }

    #[test]
    fn requests_pass_unchanged_and_are_counted_however_they_are_cut() {
        let text = "\r\nPOST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\n\r\n\
                    POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\na;x=1\r\n0123456789\r\n0\r\nT: 1\r\n\r\n\
                    POST /d HTTP/1.1\r\nContent-Length: 4\r\n\r\nab";
        for piece in [1, 2, 7, 1000] {
            let (out, fed, lost) = fed(text, piece);
            assert_eq!((out.as_str(), lost), (&text[2..], false), "in pieces of {piece}");
            assert_eq!(fed, Fed { begun: 4, whole: 3 });
        }
    }

    #[test]
    fn nothing_passes_after_what_cannot_be_told_apart() {
        let head = "POST /a HTTP/1.1\r\n";
        let hidden = "0\r\n\r\nPOST /b HTTP/1.1\r\n\r\n";
        for lengths in
            ["Content-Length: 5\r\nTransfer-Encoding: chunked", "Content-Length: 1\r\nContent-Length: 1"]
        {
            let (out, all, lost) = fed(&format!("{head}{lengths}\r\n\r\n{hidden}"), 1000);
            assert_eq!((out.as_bytes(), all, lost), (POISON, Fed::default(), true));
        }
        let (out, all, lost) = fed(&format!("{head}Transfer-Encoding: chunked\r\n\r\n+5\r\n{hidden}"), 1);
        assert!(lost && out.ends_with('+') && all == Fed { begun: 1, whole: 0 });
    }
}
