//! Vectored writes on a stream that has none of its own.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::AsyncWrite;

/// Buffers are combined up to this size, in bytes.
const COMBINED_BYTES: usize = 8 * 1024;

/// Writes several buffers with one call of the stream: small ones are combined, and a large first one is written alone.
/// A stream that announces vectored writes spares the HTTP library a copy of each body.
pub fn poll_write_combined<W: AsyncWrite>(
    stream: Pin<&mut W>,
    cx: &mut Context,
    buffers: &[IoSlice],
) -> Poll<io::Result<usize>> {
    let mut filled = buffers.iter().filter(|buffer| !buffer.is_empty());
    let (first, second) = (filled.next(), filled.next());
    match first {
        Some(first) if second.is_none() || first.len() >= COMBINED_BYTES => stream.poll_write(cx, first),
        _ => {
            let mut combined = [0; COMBINED_BYTES];
            let length = combine(buffers, &mut combined);
            stream.poll_write(cx, &combined[..length])
        }
    }
}

/// Copies the buffers one after the other, as far as there is room; returns the number of bytes copied.
fn combine(buffers: &[IoSlice], combined: &mut [u8]) -> usize {
    let mut length = 0;
    for buffer in buffers {
        let count = buffer.len().min(combined.len() - length);
        combined[length..length + count].copy_from_slice(&buffer[..count]);
        length += count;
    }
    length
}
