//! One connection to a log worker, which knows whether the request on it has been written to its last byte.

use std::io;
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
use super::MAX_BUFFER;
use rookspoke_dispatch::Counters;

/// How far the request on a connection has been written.
#[derive(Debug)]
struct Written {
    /// The length of the body whose request comes next.
    body: AtomicUsize,
    /// The last byte is out.
    whole: AtomicBool,
    /// The request is a call attempt, and counts; a probe does not.
    counts: AtomicBool,
    counters: Arc<Counters>,
}

/// Where in a request the bytes written so far end.
#[derive(Clone, Copy)]
enum Place {
    /// In the head; so many bytes of the empty line that ends it have matched.
    Head(usize),
    /// In the body; so many bytes are left.
    Body(usize),
}

/// A socket that watches what is written to it.
struct Watched {
    stream: Stream,
    written: Arc<Written>,
    place: Place,
}

impl Watched {
    fn wrote(&mut self, mut bytes: &[u8]) {
        const END: &[u8; 4] = b"\r\n\r\n";
        while let Some((first, rest)) = bytes.split_first() {
            match self.place {
                Place::Head(matched) => {
                    let matched = match *first {
                        byte if byte == END[matched] => matched + 1,
                        b'\r' => 1,
                        _ => 0,
                    };
                    self.place = Place::Head(matched);
                    bytes = rest;
                    if matched == END.len() {
                        self.place = Place::Body(self.written.body.load(Ordering::Acquire));
                    }
                }
                Place::Body(left) => {
                    let now = left.min(bytes.len());
                    self.place = Place::Body(left - now);
                    bytes = &bytes[now..];
                    if now == 0 {
                        return;
                    }
                }
            }
            if let Place::Body(0) = self.place {
                self.written.whole.store(true, Ordering::Release);
                // Here and not after the answer: an attempt that is called off was written, too.
                if self.written.counts.load(Ordering::Acquire) {
                    self.written.counters.written.increment();
                }
                self.place = Place::Head(0);
            }
        }
    }
}

impl AsyncRead for Watched {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Watched {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(n)) = done {
            self.wrote(&buf[..n]);
        }
        done
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A connection that takes one request at a time.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    written: Arc<Written>,
    /// When it was last put to use.
    pub idle_since: Instant,
    /// It has carried a request before the one on it.
    pub kept: bool,
    /// The process start that discovery told of when it was opened.
    pub epoch: u64,
    _task: ConnectionTask,
    _room: OwnedSemaphorePermit,
}

/// Whether a failed request had been written to its last byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broke {
    /// Not all of it: the log worker cannot have begun on it.
    BeforeLastByte,
    /// All of it: it may have run.
    AfterLastByte,
}

impl Connection {
    /// Opens a connection; `room` is its place among all that may be open.
    pub async fn open(
        address: SocketAddr,
        within: Duration,
        epoch: u64,
        room: OwnedSemaphorePermit,
        counters: Arc<Counters>,
    ) -> io::Result<Self> {
        let stream = timeout(within, Stream::connect(address)).await??;
        let (body, whole, counts) = Default::default();
        let written = Arc::new(Written { body, whole, counts, counters });
        let watched = Watched { stream, written: written.clone(), place: Place::Head(0) };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER)
            .handshake(TokioIo::new(watched))
            .await
            .map_err(io::Error::other)?;
        let task = ConnectionTask(tokio::spawn(async move {
            let _ = connection.await;
        }));
        Ok(Connection {
            sender,
            written,
            idle_since: Instant::now(),
            kept: false,
            epoch,
            _task: task,
            _room: room,
        })
    }

    /// Whether the other side has closed it.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Ready for the next request, once the last one's answer has been read to its end.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends one request, which may count as a call attempt; dropping the connection gives it up.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        body_len: usize,
        counts: bool,
    ) -> Result<Response<Incoming>, Broke> {
        self.written.body.store(body_len, Ordering::Release);
        self.written.whole.store(false, Ordering::Release);
        self.written.counts.store(counts, Ordering::Release);
        let sent = self.sender.send_request(request).await;
        sent.map_err(|_| match self.written.whole.load(Ordering::Acquire) {
            true => Broke::AfterLastByte,
            false => Broke::BeforeLastByte,
        })
    }
}
