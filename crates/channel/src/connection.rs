//! One connection to a log worker. It tracks whether its current request has been written to the last byte.

use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::timeout;

use super::resolver::ConnectionTask;
use super::stream::Stream;
use super::MAX_READ_BUFFER;
use rookspoke_dispatch::Counters;
use rookspoke_memory::poll_write_combined;

/// How much of the current request has been written.
#[derive(Debug)]
struct WriteProgress {
    /// Body length of the current request.
    body_len: AtomicUsize,
    /// The last byte of the request has been written.
    complete: AtomicBool,
    /// The request is a call attempt, which is counted; a probe is not.
    is_attempt: AtomicBool,
    counters: Arc<Counters>,
}

/// The position in the request up to which bytes have been written.
#[derive(Clone, Copy)]
enum Position {
    /// In the head; the number of bytes matched so far of the empty line that ends it.
    Head(usize),
    /// In the body; the number of bytes still to be written.
    Body(usize),
}

/// A socket that tracks which part of a request has been written to it.
struct TrackedStream {
    stream: Stream,
    written: Arc<WriteProgress>,
    position: Position,
}

impl TrackedStream {
    fn track_written(&mut self, mut bytes: &[u8]) {
        const HEAD_END: &[u8; 4] = b"\r\n\r\n";
        while let Some((first, rest)) = bytes.split_first() {
            match self.position {
                Position::Head(matched) => {
                    let matched = match *first {
                        byte if byte == HEAD_END[matched] => matched + 1,
                        b'\r' => 1,
                        _ => 0,
                    };
                    self.position = Position::Head(matched);
                    bytes = rest;
                    if matched == HEAD_END.len() {
                        self.position = Position::Body(self.written.body_len.load(Ordering::Acquire));
                    }
                }
                Position::Body(left) => {
                    let count = left.min(bytes.len());
                    self.position = Position::Body(left - count);
                    bytes = &bytes[count..];
                    if count == 0 {
                        return;
                    }
                }
            }
            if let Position::Body(0) = self.position {
                self.written.complete.store(true, Ordering::Release);
                // Counted here, not after the response: a cancelled attempt was written, too.
                if self.written.is_attempt.load(Ordering::Acquire) {
                    self.written.counters.written.increment();
                }
                self.position = Position::Head(0);
            }
        }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = result {
            self.track_written(&buf[..count]);
        }
        result
    }
    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        buffers: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        poll_write_combined(self, cx, buffers)
    }
    fn is_write_vectored(&self) -> bool {
        // Otherwise the HTTP library would copy each request into its own buffer.
        true
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A connection that carries one request at a time.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    written: Arc<WriteProgress>,
    /// When the connection last became idle, or was opened.
    pub idle_since: Instant,
    /// The connection has carried an earlier request.
    pub reused: bool,
    /// The start time of the log worker's process that was known when the connection was opened.
    pub epoch: u64,
    _task: ConnectionTask,
    _permit: OwnedSemaphorePermit,
}

/// Why a request failed, by whether it was written to its last byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// It was not written completely, so the log worker cannot have started it.
    BeforeLastByte,
    /// It was written completely, so it may have run.
    AfterLastByte,
}

impl Connection {
    /// Opens a connection, which holds `permit` until it is closed.
    pub async fn open(
        address: SocketAddr,
        connect_timeout: Duration,
        epoch: u64,
        permit: OwnedSemaphorePermit,
        counters: Arc<Counters>,
    ) -> io::Result<Self> {
        let stream = timeout(connect_timeout, Stream::connect(address)).await??;
        let (body_len, complete, is_attempt) = Default::default();
        let written = Arc::new(WriteProgress { body_len, complete, is_attempt, counters });
        let tracked = TrackedStream { stream, written: written.clone(), position: Position::Head(0) };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_READ_BUFFER)
            .handshake(TokioIo::new(tracked))
            .await
            .map_err(io::Error::other)?;
        let task = ConnectionTask(tokio::spawn(async move {
            let _ = connection.await;
        }));
        Ok(Connection {
            sender,
            written,
            idle_since: Instant::now(),
            reused: false,
            epoch,
            _task: task,
            _permit: permit,
        })
    }

    /// Whether the log worker has closed the connection.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until the previous response has been read completely; whether the connection can take another
    /// request.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends one request; `is_attempt` tells call attempts, which are counted, from probes. Dropping the
    /// connection cancels the request.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        body_len: usize,
        is_attempt: bool,
    ) -> Result<Response<Incoming>, SendError> {
        self.written.body_len.store(body_len, Ordering::Release);
        self.written.complete.store(false, Ordering::Release);
        self.written.is_attempt.store(is_attempt, Ordering::Release);
        let sent = self.sender.send_request(request).await;
        sent.map_err(|_| match self.written.complete.load(Ordering::Acquire) {
            true => SendError::AfterLastByte,
            false => SendError::BeforeLastByte,
        })
    }
}
