//! A link for UDP datagrams.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use rookspoke_decisions::Span;
use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;

use super::{Delivery, Direction, LinkControl};
use crate::clock::duration;

/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM: usize = 64 * 1024;
/// Maximum number of delayed datagrams in flight; more are dropped and counted.
const DATAGRAMS_IN_FLIGHT: usize = 4096;
/// Maximum number of senders of a link, each with a socket of its own; datagrams of others are dropped and counted.
const MAX_SENDERS: usize = 1024;

/// Counts of a link's datagrams in both directions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct UdpCounts {
    /// Datagrams that were received.
    #[serde(rename = "came")]
    pub received: u64,
    /// Copies that were sent on.
    #[serde(rename = "went")]
    pub forwarded: u64,
    /// Datagrams that the link's faults dropped.
    #[serde(rename = "lost")]
    pub dropped: u64,
    /// Datagrams dropped because the rig was at a limit; a run with such drops proves nothing.
    #[serde(rename = "no_room")]
    pub over_capacity: u64,
}

#[derive(Debug, Default)]
struct Counters {
    received: [AtomicU64; 2],
    forwarded: AtomicU64,
    dropped: AtomicU64,
    over_capacity: AtomicU64,
}

/// A link for UDP datagrams: it forwards datagrams sent to its address to its target, and replies to their sender.
#[derive(Debug)]
pub struct UdpLink {
    /// The address at which the link receives datagrams.
    pub address: SocketAddr,
    /// The faults of the link.
    pub control: LinkControl,
    counters: Arc<Counters>,
    task: JoinHandle<()>,
}

impl Drop for UdpLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl UdpLink {
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
        let socket = Arc::new(UdpSocket::bind(at).await?);
        let address = socket.local_addr()?;
        let counters: Arc<Counters> = Arc::default();
        let path = Path {
            seed,
            control: control.clone(),
            counters: counters.clone(),
            permits: Arc::new(Semaphore::new(DATAGRAMS_IN_FLIGHT)),
        };
        let task = tokio::spawn(serve(socket, SocketAddr::new(at.ip(), 0), target, path));
        Ok(UdpLink { address, control, counters, task })
    }

    /// The counts so far.
    pub fn counts(&self) -> UdpCounts {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        UdpCounts {
            received: self.counters.received.iter().map(read).sum(),
            forwarded: read(&self.counters.forwarded),
            dropped: read(&self.counters.dropped),
            over_capacity: read(&self.counters.over_capacity),
        }
    }
}

#[derive(Clone)]
struct Path {
    seed: u64,
    control: LinkControl,
    counters: Arc<Counters>,
    permits: Arc<Semaphore>,
}

impl Path {
    /// Forwards a datagram under the link's present faults. Sockets are not connected, so an address without a receiver
    /// gives no error.
    async fn forward(&self, direction: Direction, data: &[u8], through: &Arc<UdpSocket>, to: SocketAddr) {
        let number = self.counters.received[direction as usize].fetch_add(1, Ordering::Relaxed);
        let delivery = Delivery::draw(&self.control.faults(direction), self.seed, direction, number);
        if delivery.copies.is_empty() {
            self.counters.dropped.fetch_add(1, Ordering::Relaxed);
        }
        for delay in delivery.copies {
            if delay <= Span(0) {
                let sent = through.send_to(data, to).await.is_ok();
                self.counters.forwarded.fetch_add(u64::from(sent), Ordering::Relaxed);
                continue;
            }
            let Ok(permit) = self.permits.clone().try_acquire_owned() else {
                self.counters.over_capacity.fetch_add(1, Ordering::Relaxed);
                continue;
            };
            let (data, through, counters) = (data.to_vec(), through.clone(), self.counters.clone());
            tokio::spawn(async move {
                tokio::time::sleep(duration(delay)).await;
                let sent = through.send_to(&data, to).await.is_ok();
                counters.forwarded.fetch_add(u64::from(sent), Ordering::Relaxed);
                drop(permit);
            });
        }
    }
}

/// The task that forwards replies to one sender; it ends with the link.
struct ReplyTask(JoinHandle<()>);

impl Drop for ReplyTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn serve(socket: Arc<UdpSocket>, bind_address: SocketAddr, target: SocketAddr, path: Path) {
    let mut senders: HashMap<SocketAddr, (Arc<UdpSocket>, ReplyTask)> = HashMap::new();
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        // An error here reports that an earlier datagram found no receiver.
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
        if !senders.contains_key(&from) {
            let has_room = senders.len() < MAX_SENDERS;
            let Some(upstream) = (if has_room { UdpSocket::bind(bind_address).await.ok() } else { None })
            else {
                path.counters.over_capacity.fetch_add(1, Ordering::Relaxed);
                continue;
            };
            let upstream = Arc::new(upstream);
            let replies = tokio::spawn(forward_replies(upstream.clone(), socket.clone(), from, path.clone()));
            senders.insert(from, (upstream, ReplyTask(replies)));
        }
        let (upstream, _) = &senders[&from];
        path.forward(Direction::Forward, &buffer[..length], upstream, target).await;
    }
}

async fn forward_replies(upstream: Arc<UdpSocket>, socket: Arc<UdpSocket>, to: SocketAddr, path: Path) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let Ok((length, _)) = upstream.recv_from(&mut buffer).await else { continue };
        path.forward(Direction::Backward, &buffer[..length], &socket, to).await;
    }
}
