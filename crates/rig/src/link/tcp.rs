//! A link for TCP connections.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use rookspoke_decisions::Span;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, Semaphore};
use tokio::task::JoinHandle;
use tokio::time::{sleep_until, Instant};

use super::{Delivery, Direction, Faults, LinkControl};
use crate::clock::duration;

/// Maximum number of bytes that are read and forwarded as one piece.
const MAX_PIECE: usize = 16 * 1024;
/// A direction with a limited rate forwards at most the bytes of this interval at once.
const RATE_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of pieces in flight in one direction of a connection. Beyond that the link stops reading, so that the
/// sender is blocked as on a congested network path.
const PIECES_IN_FLIGHT: usize = 64;
/// Maximum number of connections of one link; more wait to be accepted.
const MAX_CONNECTIONS: usize = 4096;

/// A link for TCP connections: it forwards each connection made to its address to its target.
#[derive(Debug)]
pub struct TcpLink {
    /// The address at which the link accepts connections.
    pub address: SocketAddr,
    /// The faults of the link.
    pub control: LinkControl,
    target: Arc<Mutex<SocketAddr>>,
    task: JoinHandle<()>,
}

impl Drop for TcpLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl TcpLink {
    /// Opens a link at an address, where port 0 stands for any free port, to a target.
    ///
    /// # Errors
    /// The address is in use, or no file descriptor is left.
    pub async fn open(
        at: SocketAddr,
        target: SocketAddr,
        control: LinkControl,
        seed: u64,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(at).await?;
        let address = listener.local_addr()?;
        let target = Arc::new(Mutex::new(target));
        let task = tokio::spawn(accept(listener, address, target.clone(), control.clone(), seed));
        Ok(TcpLink { address, control, target, task })
    }

    /// Sets the target of new connections.
    pub fn set_target(&self, target: SocketAddr) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = target;
    }
}

async fn accept(
    listener: TcpListener,
    address: SocketAddr,
    target: Arc<Mutex<SocketAddr>>,
    control: LinkControl,
    seed: u64,
) {
    let mut listener = Some(listener);
    let mut faults = control.watch(Direction::Forward);
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let pieces = Arc::new([AtomicU64::new(0), AtomicU64::new(0)]);
    loop {
        if faults.borrow_and_update().refuse {
            // Without a listener the system refuses connections.
            listener = None;
            if faults.changed().await.is_err() {
                return;
            }
            continue;
        }
        let open = match listener.take() {
            Some(open) => open,
            None => match TcpListener::bind(address).await {
                Ok(open) => open,
                Err(_) => {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    continue;
                }
            },
        };
        let accepted = tokio::select! {
            accepted = open.accept() => Some(accepted),
            changed = faults.changed() => if changed.is_err() { return } else { None },
        };
        listener = Some(open);
        let Some(accepted) = accepted else { continue };
        let Ok((client, _)) = accepted else {
            // Most likely the rig is out of descriptors; open connections will release some.
            tokio::time::sleep(Duration::from_millis(5)).await;
            continue;
        };
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let to = *target.lock().unwrap_or_else(PoisonError::into_inner);
        let (control, pieces) = (control.clone(), pieces.clone());
        tokio::spawn(async move {
            forward_connection(client, to, &control, seed, &pieces).await;
            drop(permit);
        });
    }
}

/// Makes the stream's connection end with a reset when the stream is dropped.
fn reset_on_drop(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}

async fn forward_connection(
    mut client: TcpStream,
    to: SocketAddr,
    control: &LinkControl,
    seed: u64,
    pieces: &Arc<[AtomicU64; 2]>,
) {
    let Ok(mut target_stream) = TcpStream::connect(to).await else { return reset_on_drop(&client) };
    for stream in [&client, &target_stream] {
        let _ = stream.set_nodelay(true);
    }
    let path = |direction| Path { faults: control.watch(direction), direction, seed, pieces: pieces.clone() };
    let ended = {
        let ((client_read, client_write), (target_read, target_write)) =
            (client.split(), target_stream.split());
        // If one direction ends in order, the other stays open; if one breaks, the whole connection is reset.
        tokio::try_join!(
            path(Direction::Forward).forward(client_read, target_write),
            path(Direction::Backward).forward(target_read, client_write)
        )
    };
    if ended.is_err() {
        reset_on_drop(&client);
        reset_on_drop(&target_stream);
    }
}

/// Error for a connection that is broken and is to be reset.
struct Broken;

/// One direction of a connection.
struct Path {
    faults: watch::Receiver<Faults>,
    direction: Direction,
    seed: u64,
    pieces: Arc<[AtomicU64; 2]>,
}

/// A piece in flight, with the time from which it may be delivered.
enum Piece {
    Bytes(Bytes, Instant),
    /// The sender has closed its direction; no data follows.
    End(Instant),
    /// The connection is reset here.
    Reset(Instant),
}

impl Path {
    async fn forward(self, from: ReadHalf<'_>, to: WriteHalf<'_>) -> Result<(), Broken> {
        let (sender, receiver) = mpsc::channel(PIECES_IN_FLIGHT);
        let faults = self.faults.clone();
        tokio::try_join!(self.read(from, sender), write(to, receiver, faults)).map(drop)
    }

    async fn read(mut self, mut from: ReadHalf<'_>, to: mpsc::Sender<Piece>) -> Result<(), Broken> {
        let (mut passed, mut deliver_at) = (0.0_f64, Instant::now());
        let mut buffer = BytesMut::with_capacity(MAX_PIECE);
        loop {
            wait_until_uncut(&mut self.faults).await?;
            buffer.reserve(MAX_PIECE);
            // With a limited rate little is read at a time, so that the bytes delivered by any moment match the rate.
            let rate = self.faults.borrow_and_update().rate;
            let limit =
                if rate > 0.0 { (rate * RATE_INTERVAL.as_secs_f64()).ceil() as usize } else { MAX_PIECE };
            let mut limited = (&mut buffer).limit(limit.min(MAX_PIECE));
            let read = tokio::select! {
                // Checked in this order, so that faults set before the data arrived apply to it.
                biased;
                changed = self.faults.changed() => {
                    changed.map_err(|_| Broken)?;
                    continue;
                }
                read = from.read_buf(&mut limited) => read,
            };
            let faults = *self.faults.borrow();
            let number = self.pieces[self.direction as usize].fetch_add(1, Ordering::Relaxed);
            // TCP retransmits lost packets, so on a connection the faults of datagrams have no effect; cuts are handled
            // apart.
            let delay_only = Faults { cut: false, loss: 0.0, duplicate: 0.0, reorder: 0.0, ..faults };
            let delay =
                Delivery::draw(&delay_only, self.seed, self.direction, number).copies.first().copied();
            let delay = duration(delay.unwrap_or(Span(0)));
            deliver_at = deliver_at.max(Instant::now() + delay);
            let piece = match read {
                Ok(1..) => Piece::Bytes(buffer.split().freeze(), deliver_at),
                Ok(0) => Piece::End(deliver_at),
                Err(_) => return Err(Broken),
            };
            let (bytes, is_end) = match &piece {
                Piece::Bytes(bytes, _) => (bytes.len() as f64, false),
                Piece::End(_) | Piece::Reset(_) => (0.0, true),
            };
            if faults.reset_at > 0.0 && passed + bytes >= faults.reset_at {
                if let Piece::Bytes(bytes, at) = piece {
                    let head = bytes.slice(..((faults.reset_at - passed) as usize).min(bytes.len()));
                    let _ = to.send(Piece::Bytes(head, at)).await;
                    let _ = to.send(Piece::Reset(at)).await;
                }
                return Ok(());
            }
            passed += bytes;
            to.send(piece).await.map_err(|_| Broken)?;
            if is_end {
                return Ok(());
            }
            if faults.rate > 0.0 {
                tokio::time::sleep(Duration::from_secs_f64((bytes / faults.rate).min(60.0))).await;
            }
        }
    }
}

/// Waits until the direction is not cut.
async fn wait_until_uncut(faults: &mut watch::Receiver<Faults>) -> Result<(), Broken> {
    faults.wait_for(|faults| !faults.cut).await.map(drop).map_err(|_| Broken)
}

async fn write(
    mut to: WriteHalf<'_>,
    mut from: mpsc::Receiver<Piece>,
    mut faults: watch::Receiver<Faults>,
) -> Result<(), Broken> {
    while let Some(piece) = from.recv().await {
        let (Piece::Bytes(_, at) | Piece::End(at) | Piece::Reset(at)) = &piece;
        if *at > Instant::now() {
            sleep_until(*at).await;
        }
        wait_until_uncut(&mut faults).await?;
        match piece {
            Piece::Bytes(bytes, _) => to.write_all(&bytes).await.map_err(|_| Broken)?,
            Piece::End(_) => return to.shutdown().await.map_err(|_| Broken),
            Piece::Reset(_) => return Err(Broken),
        }
    }
    Ok(())
}
