//! A link for datagrams.

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

/// The largest datagram.
const MOST: usize = 64 * 1024;
/// Datagrams under way; more are lost, and counted.
const UNDER_WAY: usize = 4096;
/// Senders that a link knows, each with a socket of its own; datagrams of more are lost, and counted.
const SENDERS: usize = 1024;

/// What became of datagrams, in the order they received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct UdpCounts {
    /// Datagrams that received.
    #[serde(rename = "came")]
    pub received: u64,
    /// Copies that went on.
    #[serde(rename = "went")]
    pub forwarded: u64,
    /// Datagrams lost by the script.
    #[serde(rename = "lost")]
    pub dropped: u64,
    /// Datagrams lost for want of room in the rig: a play with some is void.
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

/// A link for datagrams: what is sent to its address comes out at its target, and answers come back.
#[derive(Debug)]
pub struct UdpLink {
    /// Where to send to.
    pub address: SocketAddr,
    /// What disturbs it.
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
        let front = Arc::new(UdpSocket::bind(at).await?);
        let address = front.local_addr()?;
        let counters: Arc<Counters> = Arc::default();
        let way = Way {
            seed,
            control: control.clone(),
            counters: counters.clone(),
            room: Arc::new(Semaphore::new(UNDER_WAY)),
        };
        let task = tokio::spawn(serve(front, SocketAddr::new(at.ip(), 0), target, way));
        Ok(UdpLink { address, control, counters, task })
    }

    /// What became of datagrams so far.
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
struct Way {
    seed: u64,
    control: LinkControl,
    counters: Arc<Counters>,
    room: Arc<Semaphore>,
}

impl Way {
    /// Sends a datagram on as the link has it now. No receiver is connected to: an address without one is silence.
    async fn pass(&self, direction: Direction, data: &[u8], by: &Arc<UdpSocket>, to: SocketAddr) {
        let number = self.counters.received[direction as usize].fetch_add(1, Ordering::Relaxed);
        let delivery = Delivery::draw(&self.control.faults(direction), self.seed, direction, number);
        if delivery.copies.is_empty() {
            self.counters.dropped.fetch_add(1, Ordering::Relaxed);
        }
        for late in delivery.copies {
            if late <= Span(0) {
                let sent = by.send_to(data, to).await.is_ok();
                self.counters.forwarded.fetch_add(u64::from(sent), Ordering::Relaxed);
                continue;
            }
            let Ok(permit) = self.room.clone().try_acquire_owned() else {
                self.counters.over_capacity.fetch_add(1, Ordering::Relaxed);
                continue;
            };
            let (data, by, counters) = (data.to_vec(), by.clone(), self.counters.clone());
            tokio::spawn(async move {
                tokio::time::sleep(duration(late)).await;
                let sent = by.send_to(&data, to).await.is_ok();
                counters.forwarded.fetch_add(u64::from(sent), Ordering::Relaxed);
                drop(permit);
            });
        }
    }
}

/// Ends its task with the link.
struct Answers(JoinHandle<()>);

impl Drop for Answers {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn serve(front: Arc<UdpSocket>, own: SocketAddr, target: SocketAddr, way: Way) {
    let mut senders: HashMap<SocketAddr, (Arc<UdpSocket>, Answers)> = HashMap::new();
    let mut buffer = vec![0; MOST];
    loop {
        // An error speaks of a datagram sent before: whoever it was for is not there at present.
        let Ok((length, from)) = front.recv_from(&mut buffer).await else { continue };
        if !senders.contains_key(&from) {
            let room = senders.len() < SENDERS;
            let Some(far) = (if room { UdpSocket::bind(own).await.ok() } else { None }) else {
                way.counters.over_capacity.fetch_add(1, Ordering::Relaxed);
                continue;
            };
            let far = Arc::new(far);
            let answers = tokio::spawn(answers(far.clone(), front.clone(), from, way.clone()));
            senders.insert(from, (far, Answers(answers)));
        }
        let (far, _) = &senders[&from];
        way.pass(Direction::Forward, &buffer[..length], far, target).await;
    }
}

async fn answers(far: Arc<UdpSocket>, front: Arc<UdpSocket>, to: SocketAddr, way: Way) {
    let mut buffer = vec![0; MOST];
    loop {
        let Ok((length, _)) = far.recv_from(&mut buffer).await else { continue };
        way.pass(Direction::Backward, &buffer[..length], &front, to).await;
    }
}
