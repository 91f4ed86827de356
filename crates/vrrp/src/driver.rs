//! Runs a [`Machine`] on a UDP socket.

use std::fmt;
use std::future::Future;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::watch;

use super::machine::Machine;
use super::packet::Advertisement;
use super::VrrpConfig;
use rookspoke_config::ConfigError;
use rookspoke_dispatch::{Clock, Counter};

/// The longest advertisement, with 255 addresses; more than that is cut off and dropped.
const MAX_PACKET: usize = 8 + 4 * 255;
/// Pause after the socket failed, most likely because a peer's port is closed.
const PAUSE: Duration = Duration::from_millis(10);

/// What was sent, heard and dropped.
#[derive(Debug, Default)]
pub struct VrrpCounters {
    /// Advertisements sent, one for each peer.
    pub sent: Counter,
    /// Advertisements heeded.
    pub heard: Counter,
    /// What was no advertisement of this virtual router by a configured peer.
    pub dropped: Counter,
}

impl VrrpCounters {
    /// Every total with its name, in a fixed order.
    pub fn pairs(&self) -> Vec<(&'static str, u64)> {
        vec![("sent", self.sent.get()), ("heard", self.heard.get()), ("dropped", self.dropped.get())]
    }
}

impl fmt::Display for VrrpCounters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "sent={} heard={} dropped={}", self.sent.get(), self.heard.get(), self.dropped.get())
    }
}

/// A machine with its socket.
pub struct Driver {
    machine: Machine,
    own: Advertisement,
    socket: UdpSocket,
    peers: Vec<SocketAddrV4>,
    clock: Clock,
    counters: Arc<VrrpCounters>,
    master: watch::Sender<bool>,
}

impl Driver {
    /// Opens the socket.
    pub async fn open(config: &VrrpConfig) -> Result<Self, ConfigError> {
        let params = config.params()?;
        let socket = UdpSocket::bind(config.listen).await;
        Ok(Driver {
            own: params.own.clone(),
            machine: Machine::new(params),
            socket: socket.map_err(|e| ConfigError::new("vrrp.listen", e))?,
            peers: config.peers.clone(),
            clock: Clock::start(),
            counters: Arc::default(),
            master: watch::Sender::new(false),
        })
    }

    /// Whether this daemon is the master.
    pub fn master(&self) -> watch::Receiver<bool> {
        self.master.subscribe()
    }

    /// The running totals.
    pub fn counters(&self) -> Arc<VrrpCounters> {
        self.counters.clone()
    }

    /// Takes part until `stop` ends, then says farewell.
    pub async fn run(mut self, stop: impl Future<Output = ()>) {
        let first = self.machine.start(self.clock.now());
        self.after(first).await;
        let mut stop = std::pin::pin!(stop);
        let mut buffer = [0; MAX_PACKET + 1];
        loop {
            let wait = self.machine.next().map_or(Duration::from_secs(1), |at| self.clock.until(at));
            let said = tokio::select! {
                () = &mut stop => break,
                () = tokio::time::sleep(wait) => self.machine.tick(self.clock.now()),
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => self.hear(&buffer[..length], from),
                    Err(error) => {
                        tracing::debug!("vrrp: {error}");
                        tokio::time::sleep(PAUSE).await;
                        None
                    }
                },
            };
            self.after(said).await;
        }
        let farewell = self.machine.shut_down();
        self.after(farewell).await;
    }

    fn hear(&mut self, bytes: &[u8], from: SocketAddr) -> Option<Advertisement> {
        let drop = |why: &dyn fmt::Display| {
            self.counters.dropped.increment();
            tracing::debug!("vrrp: {from}: {why}");
        };
        let SocketAddr::V4(from) = from else { return None };
        // Over UDP there is no hop limit to check: who may speak is configured instead.
        if !self.peers.contains(&from) {
            drop(&"not a peer");
            return None;
        }
        let heard = match Advertisement::decode(bytes) {
            Ok(heard) => heard,
            Err(bad) => {
                drop(&bad);
                return None;
            }
        };
        if heard.vrid != self.own.vrid || heard.addresses != self.own.addresses {
            drop(&"another virtual router");
            return None;
        }
        self.counters.heard.increment();
        self.machine.received(self.clock.now(), &heard, from)
    }

    async fn after(&mut self, said: Option<Advertisement>) {
        if let Some(advertisement) = said {
            let bytes = advertisement.encode();
            for peer in &self.peers {
                match self.socket.send_to(&bytes, peer).await {
                    Ok(_) => self.counters.sent.increment(),
                    Err(error) => tracing::debug!("vrrp: {peer}: {error}"),
                }
            }
        }
        let master = self.machine.is_master();
        if self.master.send_replace(master) != master {
            tracing::info!("vrrp: {}", if master { "master" } else { "no longer master" });
        }
    }
}
