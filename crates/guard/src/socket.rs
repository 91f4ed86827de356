//! A client's socket, shared with the room that may ask whether something waits on it, and the same with its
//! requests followed as they come.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};

use bytes::{Buf, BytesMut};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::framing::Framing;
use super::room::Place;

/// What is read at a time.
const READ: usize = 8 * 1024;

/// A socket that can be looked at from elsewhere.
pub struct Socket(Arc<TcpStream>);

impl Socket {
    /// Takes a stream over.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Socket(Arc::new(stream))
    }

    /// Tells whether bytes wait on the socket, read by nobody; asked of the system itself, since the runtime
    /// hears of them only between two tasks.
    pub fn unread(&self) -> impl Fn() -> bool + Send + 'static {
        let stream = Arc::downgrade(&self.0);
        move || {
            let peek = |stream: Arc<TcpStream>| SockRef::from(&*stream).peek(&mut [MaybeUninit::uninit()]);
            stream.upgrade().is_some_and(|stream| peek(stream).is_ok_and(|bytes| bytes > 0))
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read(buf.initialize_unfilled()) {
                Ok(read) => {
                    buf.advance(read);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write(buf) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                done => return Poll::Ready(done),
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
pub struct Framed {
    // Before the place: that is free only once the socket is closed.
    socket: Socket,
    framing: Framing,
    /// Read, judged, and not passed on yet.
    judged: BytesMut,
    count: Count,
    answers: Arc<AtomicU64>,
    place: Place,
}

impl Framed {
    /// Follows a socket; `answers` counts the answers given on it.
    pub fn new(socket: Socket, place: Place, answers: Arc<AtomicU64>) -> Self {
        let (framing, judged) = (Framing::default(), BytesMut::new());
        Framed { socket, framing, judged, count: Count::default(), answers, place }
    }

    fn tell(&mut self) {
        self.count.answered = self.answers.load(Ordering::Acquire);
        let Count { begun, whole, answered, out } = self.count;
        if whole > answered {
            self.place.owes();
        } else if answered > out {
            self.place.answers();
        } else if begun > whole.max(out) || self.framing.holds() {
            self.place.begins();
        } else {
            self.place.idles();
        }
    }
}

impl AsyncRead for Framed {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let this = &mut *self;
        while this.judged.is_empty() && !this.framing.is_lost() {
            let mut bytes = [0; READ];
            let mut read = ReadBuf::new(&mut bytes);
            ready!(Pin::new(&mut this.socket).poll_read(cx, &mut read))?;
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

impl AsyncWrite for Framed {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        if self.count.whole <= self.answers.load(Ordering::Acquire) {
            self.place.answers();
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
