//! A client's socket, shared with the room that may ask whether something waits on it, and the same with its
//! requests followed as they come.

use std::io;
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

use super::framing::Framing;
use super::limit::Permit;

/// What is read at a time.
const READ: usize = 8 * 1024;

/// A socket that can be looked at from elsewhere.
pub struct ClientSocket(Arc<TcpStream>);

impl ClientSocket {
    /// Takes a stream over.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        ClientSocket(Arc::new(stream))
    }

    /// Tells whether bytes wait on the socket, read by nobody; asked of the system itself, since the runtime
    /// hears of them only between two tasks.
    pub fn unread_check(&self) -> impl Fn() -> bool + Send + 'static {
        let stream = Arc::downgrade(&self.0);
        move || stream.upgrade().is_some_and(|stream| peek(&stream).is_ok_and(|bytes| bytes > 0))
    }
}

/// What a failed call says of a connection.
enum Fault {
    /// Nothing: the call was interrupted, and is made again.
    Interrupted,
    /// Nothing: the system is short of something for a moment.
    Passing,
    /// It is broken.
    Broken,
}

impl Fault {
    fn of(error: &io::Error) -> Self {
        match error.raw_os_error() {
            _ if error.kind() == io::ErrorKind::Interrupted => Fault::Interrupted,
            Some(ENOMEM | ENOBUFS) => Fault::Passing,
            _ => Fault::Broken,
        }
    }
}

/// Linux's numbers of errors that have no kind of their own in the standard library.
const ENOMEM: i32 = 12;
const ENOBUFS: i32 = 105;

/// A look at the next byte of a socket, which stays there.
fn peek(stream: &TcpStream) -> io::Result<usize> {
    loop {
        match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
            Err(error) if matches!(Fault::of(&error), Fault::Interrupted) => {}
            done => return done,
        }
    }
}

/// How often a socket with bytes that nobody reads is looked at for its end: the runtime tells of the bytes alone.
const LOOK: Duration = Duration::from_millis(20);
/// What a client that still sends may send in vain before its connection is closed.
const DISCARDED: usize = 256 * 1024;

/// A second hold on a client's socket, for its end.
pub struct SocketHandle(Arc<TcpStream>);

impl ClientSocket {
    /// A second hold on it: the socket stays open until this is dropped, too.
    pub fn handle(&self) -> SocketHandle {
        SocketHandle(self.0.clone())
    }
}

impl SocketHandle {
    /// Ends once the client has closed its side or reset the connection, also where that lies behind bytes that nobody
    /// has read.
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
                Err(error) if matches!(Fault::of(&error), Fault::Passing) => {}
                Err(_) => return,
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// A lingering close, after the last answer: a close over bytes that nobody has read resets the connection, and the
    /// answer may be lost with it. So this waits for the client's own close, for `within` at most. Where `discard` says
    /// that nothing more is a request, what comes meanwhile is read and dropped, lest a client that still sends never
    /// comes to read; else it stays unread, and its client knows that nobody has taken it.
    pub async fn linger(&self, within: Duration, discard: bool) {
        let _ = SockRef::from(&*self.0).shutdown(std::net::Shutdown::Write);
        let _ = match discard {
            true => tokio::time::timeout(within, self.discard()).await,
            false => tokio::time::timeout(within, self.closed_by_client()).await,
        };
    }

    async fn discard(&self) {
        let mut left = DISCARDED;
        while left > 0 {
            if self.0.readable().await.is_err() {
                return;
            }
            match self.0.try_read(&mut [0; READ]) {
                Ok(0) => return,
                Ok(read) => left = left.saturating_sub(read),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) if matches!(Fault::of(&error), Fault::Interrupted) => {}
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

/// Ready where the call is to be made again at once; pending, and woken, where it is to be made again in a moment.
fn retry_or_fail(error: io::Error, cx: &mut Context) -> Poll<io::Result<()>> {
    match Fault::of(&error) {
        Fault::Interrupted => Poll::Ready(Ok(())),
        Fault::Passing => {
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

/// How many of a connection's requests have come and were answered.
#[derive(Default)]
struct Count {
    begun: u64,
    whole: u64,
    /// Answers that are there, and those that are out.
    answered: u64,
    out: u64,
}

/// A socket whose requests are followed: its place in the room is told what it is at.
pub struct FramedSocket {
    // Before the place: that is free only once the socket is closed.
    socket: ClientSocket,
    framing: Framing,
    /// Read, judged, and not passed on yet.
    judged: BytesMut,
    count: Count,
    answers: Arc<AtomicU64>,
    cut_off: CutOff,
    permit: Permit,
}

/// Says that a head which is not whole by now is waited for no longer; clones share it. The socket's reader has to be
/// polled after that.
#[derive(Clone, Default)]
pub struct CutOff(Arc<AtomicBool>);

impl CutOff {
    /// From now on.
    pub fn set(&self) {
        self.0.store(true, Ordering::Release);
    }
}

impl FramedSocket {
    /// Follows a socket; `answers` counts the answers given on it.
    pub fn new(socket: ClientSocket, permit: Permit, answers: Arc<AtomicU64>) -> Self {
        let (framing, judged) = (Framing::default(), BytesMut::new());
        let (count, cut_off) = (Count::default(), CutOff::default());
        FramedSocket { socket, framing, judged, count, answers, cut_off, permit }
    }

    /// How to cut off a head that does not end.
    pub fn cut_off(&self) -> CutOff {
        self.cut_off.clone()
    }

    fn tell(&mut self) {
        self.count.answered = self.answers.load(Ordering::Acquire);
        let Count { begun, whole, answered, out } = self.count;
        if whole > answered {
            self.permit.request_received();
        } else if answered > out {
            self.permit.response_started();
        } else if begun > whole.max(out) || self.framing.holds() {
            self.permit.request_started();
        } else {
            self.permit.response_sent();
        }
    }
}

impl AsyncRead for FramedSocket {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let this = &mut *self;
        while this.judged.is_empty() && !this.framing.is_lost() {
            let mut bytes = [0; READ];
            let mut read = ReadBuf::new(&mut bytes);
            match Pin::new(&mut this.socket).poll_read(cx, &mut read) {
                Poll::Pending if this.framing.holds() && this.cut_off.0.load(Ordering::Acquire) => {
                    this.framing.give_up(&mut this.judged);
                    break;
                }
                done => ready!(done)?,
            }
            if read.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
            let fed = this.framing.feed(read.filled(), &mut this.judged);
            this.count.begun += fed.begun;
            this.count.whole += fed.whole;
            this.tell();
        }
        let now = buf.remaining().min(this.judged.len());
        buf.put_slice(&this.judged[..now]);
        this.judged.advance(now);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for FramedSocket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        if self.count.whole <= self.answers.load(Ordering::Acquire) {
            self.permit.response_started();
        }
        Pin::new(&mut self.socket).poll_write(cx, buf)
    }
    fn poll_flush(mut self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        // What was written went straight to the system: what was answered is out.
        self.count.out = self.answers.load(Ordering::Acquire);
        self.tell();
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
