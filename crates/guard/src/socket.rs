//! Client sockets: [`ClientSocket`], which the connection limit can check for unread bytes, and [`FramedSocket`], which
//! also tracks the requests on it and reports their state to the limit.

use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::{Buf, BytesMut};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

use rookspoke_memory::{poll_write_combined, MemoryBudget, Reservation};

use super::framing::Framing;
use super::limit::Permit;

/// Size of one read. It is less than the first buffer of the HTTP library, which grows once a read fills it.
const READ_BYTES: usize = 4 * 1024;
/// Part of a request head that is held without a reservation, in bytes.
const UNRESERVED_HEAD_BYTES: usize = 1024;

/// A client's socket, whose state can also be checked outside the task that serves it.
pub struct ClientSocket(Arc<TcpStream>);

impl ClientSocket {
    /// Wraps an accepted stream and turns on TCP_NODELAY.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        ClientSocket(Arc::new(stream))
    }

    /// Returns a check of whether the socket's receive buffer holds unread bytes. It asks the kernel, since the
    /// runtime learns of new bytes only between two tasks.
    pub fn unread_check(&self) -> impl Fn() -> bool + Send + 'static {
        let stream = Arc::downgrade(&self.0);
        move || stream.upgrade().is_some_and(|stream| peek(&stream).is_ok_and(|bytes| bytes > 0))
    }
}

/// What a failed system call means for the connection.
enum Fault {
    /// The call was interrupted by a signal, and is repeated at once.
    Interrupted,
    /// The kernel is short of memory, and the call is repeated later.
    Transient,
    /// The connection is broken.
    Broken,
}

impl Fault {
    fn classify(error: &io::Error) -> Self {
        match error.raw_os_error() {
            _ if error.kind() == io::ErrorKind::Interrupted => Fault::Interrupted,
            Some(ENOMEM | ENOBUFS) => Fault::Transient,
            _ => Fault::Broken,
        }
    }
}

/// Linux error numbers for a temporary lack of memory; the standard library has no constants for them, and no
/// `io::ErrorKind` for the second.
const ENOMEM: i32 = 12;
const ENOBUFS: i32 = 105;

/// Peeks at the next byte of a socket, which stays in the receive buffer.
fn peek(stream: &TcpStream) -> io::Result<usize> {
    loop {
        match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
            Err(error) if matches!(Fault::classify(&error), Fault::Interrupted) => {}
            result => return result,
        }
    }
}

/// How often a socket with unread bytes is polled for its close: readiness reports only the bytes.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Bytes that are discarded from a client that keeps sending after its last answer, before its connection is closed.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;

/// A second handle on a client's socket, to detect and to handle its close.
pub struct SocketHandle(Arc<TcpStream>);

impl ClientSocket {
    /// Returns a second handle; the socket stays open until that is dropped, too.
    pub fn handle(&self) -> SocketHandle {
        SocketHandle(self.0.clone())
    }
}

impl SocketHandle {
    /// Waits until the client has closed its side or reset the connection, and notices it even behind unread bytes.
    pub async fn closed_by_client(&self) {
        loop {
            let Ok(ready) = self.0.ready(Interest::READABLE).await else { return };
            if ready.is_read_closed() {
                return;
            }
            match peek(&self.0) {
                Ok(0) => return,
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) if matches!(Fault::classify(&error), Fault::Transient) => {}
                Err(_) => return,
            }
            tokio::time::sleep(CLOSE_POLL_INTERVAL).await;
        }
    }

    /// Performs a lingering close after the last answer. Closing a socket with unread bytes resets the connection, and
    /// the answer may be lost with it, so this shuts down the sending side and waits, for at most `within`, until the
    /// client closes. With `discard`, when no further bytes can be a request, what arrives meanwhile is read and
    /// dropped, since a client that is still sending may otherwise never read the answer. Without it, the bytes stay
    /// unread, and the reset tells the client that its request was not taken.
    pub async fn linger(&self, within: Duration, discard: bool) {
        let _ = SockRef::from(&*self.0).shutdown(std::net::Shutdown::Write);
        let _ = match discard {
            true => tokio::time::timeout(within, self.discard()).await,
            false => tokio::time::timeout(within, self.closed_by_client()).await,
        };
    }

    async fn discard(&self) {
        let mut left = MAX_DISCARDED_BYTES;
        while left > 0 {
            if self.0.readable().await.is_err() {
                return;
            }
            match self.0.try_read(&mut [0; READ_BYTES]) {
                Ok(0) => return,
                Ok(read) => left = left.saturating_sub(read),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) if matches!(Fault::classify(&error), Fault::Interrupted) => {}
                Err(_) => return,
            }
        }
    }
}

impl AsyncRead for ClientSocket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read(buf.initialize_unfilled()) {
                Ok(read) => {
                    buf.advance(read);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => ready!(retry_or_fail(error, cx))?,
            }
        }
    }
}

/// Ready if the call is to be repeated at once; pending, with the task woken, if it is to be repeated later.
fn retry_or_fail(error: io::Error, cx: &mut Context) -> Poll<io::Result<()>> {
    match Fault::classify(&error) {
        Fault::Interrupted => Poll::Ready(Ok(())),
        Fault::Transient => {
            cx.waker().wake_by_ref();
            Poll::Pending
        }
        Fault::Broken => Poll::Ready(Err(error)),
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write(buf) {
                Ok(written) => return Poll::Ready(Ok(written)),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => ready!(retry_or_fail(error, cx))?,
            }
        }
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(std::net::Shutdown::Write))
    }
}

/// Counts of a connection's requests and answers.
#[derive(Default)]
struct Counts {
    /// Request heads received.
    heads: u64,
    /// Requests received completely.
    requests: u64,
    /// Answers produced.
    answers: u64,
    /// Answers written to the socket.
    flushed: u64,
}

/// A socket that tracks its requests and keeps the connection's [`Permit`] up to date with their state.
pub struct FramedSocket {
    // Declared before `permit`, and so dropped before it: the slot is free only once the socket is closed.
    socket: ClientSocket,
    framing: Framing,
    /// Bytes that passed the framing and are still to be read by the HTTP library.
    checked: BytesMut,
    counts: Counts,
    answers: Arc<AtomicU64>,
    cut_off: CutOff,
    /// Memory of a request head that has been received in part.
    head_reservation: Reservation,
    permit: Permit,
}

/// Stops waiting for a request head that is incomplete: it is rejected, and the HTTP library closes the connection.
/// Clones share the flag. The socket's reader has to be polled after it is set.
#[derive(Clone, Default)]
pub struct CutOff(Arc<AtomicBool>);

impl CutOff {
    /// Sets the flag, for good.
    pub fn set(&self) {
        self.0.store(true, Ordering::Release);
    }
}

impl FramedSocket {
    /// Wraps a socket; `answers` is incremented elsewhere for each answer produced on it. Request heads are held within
    /// `memory`.
    pub fn new(socket: ClientSocket, permit: Permit, answers: Arc<AtomicU64>, memory: &MemoryBudget) -> Self {
        let (framing, checked) = (Framing::default(), BytesMut::new());
        let (counts, cut_off) = (Counts::default(), CutOff::default());
        let head_reservation = memory.incoming();
        FramedSocket { socket, framing, checked, counts, answers, cut_off, head_reservation, permit }
    }

    /// Returns the flag that stops waiting for an incomplete request head.
    pub fn cut_off(&self) -> CutOff {
        self.cut_off.clone()
    }

    /// Derives the connection's state from the counts and reports it to the limit.
    fn update_state(&mut self) {
        self.counts.answers = self.answers.load(Ordering::Acquire);
        let Counts { heads, requests, answers, flushed } = self.counts;
        if requests > answers {
            self.permit.request_received();
        } else if answers > flushed {
            self.permit.response_started();
        } else if heads > requests.max(flushed) || self.framing.has_partial_head() {
            self.permit.request_started();
        } else {
            self.permit.response_sent();
        }
    }

    /// Adapts the reservation to the head that has been received in part, and rejects that head if there is no memory
    /// for it. While an earlier request has no answer the head is not read any further, so its memory is not
    /// reclaimed.
    fn reserve_head(&mut self, cx: &mut Context) {
        let bytes = self.framing.partial_head_bytes();
        if bytes <= UNRESERVED_HEAD_BYTES {
            self.head_reservation.shrink(0);
            return;
        }
        self.head_reservation.set_incomplete(self.counts.requests <= self.answers.load(Ordering::Acquire));
        let is_short = self.head_reservation.grow(bytes).is_err();
        if is_short || self.head_reservation.poll_reclaimed(cx).is_ready() {
            self.framing.reject_partial_head(&mut self.checked);
            self.head_reservation.shrink(0);
        }
    }
}

impl AsyncRead for FramedSocket {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let this = &mut *self;
        while this.checked.is_empty() && !this.framing.is_out_of_sync() {
            this.reserve_head(cx);
            if !this.checked.is_empty() {
                break;
            }
            let mut bytes = [0; READ_BYTES];
            let mut read = ReadBuf::new(&mut bytes);
            match Pin::new(&mut this.socket).poll_read(cx, &mut read) {
                Poll::Pending
                    if this.framing.has_partial_head() && this.cut_off.0.load(Ordering::Acquire) =>
                {
                    this.framing.reject_partial_head(&mut this.checked);
                    break;
                }
                result => ready!(result)?,
            }
            if read.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
            let completed = this.framing.feed(read.filled(), &mut this.checked);
            this.counts.heads += completed.heads;
            this.counts.requests += completed.requests;
            this.update_state();
            this.reserve_head(cx);
        }
        let count = buf.remaining().min(this.checked.len());
        buf.put_slice(&this.checked[..count]);
        this.checked.advance(count);
        if this.checked.is_empty() {
            // An idle connection holds no buffer.
            this.checked = BytesMut::new();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for FramedSocket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        if self.counts.requests <= self.answers.load(Ordering::Acquire) {
            self.permit.response_started();
        }
        Pin::new(&mut self.socket).poll_write(cx, buf)
    }
    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        buffers: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        poll_write_combined(self, cx, buffers)
    }
    fn is_write_vectored(&self) -> bool {
        // Otherwise the HTTP library would copy each answer into its own buffer.
        true
    }
    fn poll_flush(mut self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        // Writes are not buffered here, so every answer produced so far has been written to the socket.
        self.counts.flushed = self.answers.load(Ordering::Acquire);
        self.update_state();
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
