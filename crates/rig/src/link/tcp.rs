//! A link for connections.

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

/// The largest piece, in bytes.
const PIECE: usize = 16 * 1024;
/// A slow way lets through what comes in this time, then the next.
const SLICE: Duration = Duration::from_millis(20);
/// Pieces under way in one direction of a connection; more wait with their sender, as on a full path.
const UNDER_WAY: usize = 64;
/// Connections of one link; more wait to be accepted.
const CONNECTIONS: usize = 4096;

/// A link for connections: who connects to its address comes out at its target.
#[derive(Debug)]
pub struct TcpLink {
    /// Where to connect.
    pub address: SocketAddr,
    /// What disturbs it.
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
    /// A link at this address (port 0: any), to this target.
    ///
    /// # Errors
    /// The address is taken, or there is no descriptor for it.
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

    /// New connections lead there from now on.
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
    let room = Arc::new(Semaphore::new(CONNECTIONS));
    let pieces = Arc::new([AtomicU64::new(0), AtomicU64::new(0)]);
    loop {
        if faults.borrow_and_update().refuse {
            // Nobody listens, so the system refuses.
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
        let Ok((near, _)) = accepted else {
            // Out of descriptors, most likely: those that are open will end.
            tokio::time::sleep(Duration::from_millis(5)).await;
            continue;
        };
        let Ok(permit) = room.clone().acquire_owned().await else { return };
        let to = *target.lock().unwrap_or_else(PoisonError::into_inner);
        let (control, pieces) = (control.clone(), pieces.clone());
        tokio::spawn(async move {
            join(near, to, &control, seed, &pieces).await;
            drop(permit);
        });
    }
}

/// A connection that is dropped after this is reset.
fn resets(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}

async fn join(
    mut near: TcpStream,
    to: SocketAddr,
    control: &LinkControl,
    seed: u64,
    pieces: &Arc<[AtomicU64; 2]>,
) {
    let Ok(mut far) = TcpStream::connect(to).await else { return resets(&near) };
    for stream in [&near, &far] {
        let _ = stream.set_nodelay(true);
    }
    let way = |direction| Way { faults: control.watch(direction), direction, seed, pieces: pieces.clone() };
    let ended = {
        let ((near_in, near_out), (far_in, far_out)) = (near.split(), far.split());
        // A way that ends well leaves the other open; one that breaks takes it along.
        tokio::try_join!(
            way(Direction::Forward).lead(near_in, far_out),
            way(Direction::Backward).lead(far_in, near_out)
        )
    };
    if ended.is_err() {
        resets(&near);
        resets(&far);
    }
}

/// A connection broke.
struct Broke;

/// One direction of a connection.
struct Way {
    faults: watch::Receiver<Faults>,
    direction: Direction,
    seed: u64,
    pieces: Arc<[AtomicU64; 2]>,
}

/// What goes down a way, and when it may come out.
enum Piece {
    Bytes(Bytes, Instant),
    /// No more follows.
    End(Instant),
    /// The connection is reset here.
    Reset(Instant),
}

impl Way {
    async fn lead(self, from: ReadHalf<'_>, to: WriteHalf<'_>) -> Result<(), Broke> {
        let (sender, receiver) = mpsc::channel(UNDER_WAY);
        let faults = self.faults.clone();
        tokio::try_join!(self.read(from, sender), write(to, receiver, faults)).map(drop)
    }

    async fn read(mut self, mut from: ReadHalf<'_>, to: mpsc::Sender<Piece>) -> Result<(), Broke> {
        let (mut passed, mut last) = (0.0_f64, Instant::now());
        let mut buffer = BytesMut::with_capacity(PIECE);
        loop {
            uncut(&mut self.faults).await?;
            buffer.reserve(PIECE);
            // A way that is slow takes little at a time, so that what has come out is what would have by then.
            let rate = self.faults.borrow_and_update().rate;
            let most = if rate > 0.0 { (rate * SLICE.as_secs_f64()).ceil() as usize } else { PIECE };
            let mut room = (&mut buffer).limit(most.min(PIECE));
            let read = tokio::select! {
                // What was told of before it came holds for it.
                biased;
                changed = self.faults.changed() => {
                    changed.map_err(|_| Broke)?;
                    continue;
                }
                read = from.read_buf(&mut room) => read,
            };
            let faults = *self.faults.borrow();
            let number = self.pieces[self.direction as usize].fetch_add(1, Ordering::Relaxed);
            // What is lost on the way is sent again by the system: connections know delay alone.
            let sure = Faults { cut: false, loss: 0.0, duplicate: 0.0, reorder: 0.0, ..faults };
            let late = Delivery::draw(&sure, self.seed, self.direction, number).copies.first().copied();
            let late = duration(late.unwrap_or(Span(0)));
            last = last.max(Instant::now() + late);
            let piece = match read {
                Ok(1..) => Piece::Bytes(buffer.split().freeze(), last),
                Ok(0) => Piece::End(last),
                Err(_) => return Err(Broke),
            };
            let (bytes, ends) = match &piece {
                Piece::Bytes(bytes, _) => (bytes.len() as f64, false),
                Piece::End(_) | Piece::Reset(_) => (0.0, true),
            };
            if faults.reset_at > 0.0 && passed + bytes >= faults.reset_at {
                if let Piece::Bytes(bytes, at) = piece {
                    let before = bytes.slice(..((faults.reset_at - passed) as usize).min(bytes.len()));
                    let _ = to.send(Piece::Bytes(before, at)).await;
                    let _ = to.send(Piece::Reset(at)).await;
                }
                return Ok(());
            }
            passed += bytes;
            to.send(piece).await.map_err(|_| Broke)?;
            if ends {
                return Ok(());
            }
            if faults.rate > 0.0 {
                tokio::time::sleep(Duration::from_secs_f64((bytes / faults.rate).min(60.0))).await;
            }
        }
    }
}

/// Waits while nothing comes through.
async fn uncut(faults: &mut watch::Receiver<Faults>) -> Result<(), Broke> {
    faults.wait_for(|faults| !faults.cut).await.map(drop).map_err(|_| Broke)
}

async fn write(
    mut to: WriteHalf<'_>,
    mut from: mpsc::Receiver<Piece>,
    mut faults: watch::Receiver<Faults>,
) -> Result<(), Broke> {
    while let Some(piece) = from.recv().await {
        let (Piece::Bytes(_, at) | Piece::End(at) | Piece::Reset(at)) = &piece;
        if *at > Instant::now() {
            sleep_until(*at).await;
        }
        uncut(&mut faults).await?;
        match piece {
            Piece::Bytes(bytes, _) => to.write_all(&bytes).await.map_err(|_| Broke)?,
            Piece::End(_) => return to.shutdown().await.map_err(|_| Broke),
            Piece::Reset(_) => return Err(Broke),
        }
    }
    Ok(())
}
