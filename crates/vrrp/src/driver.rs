//! Drives a [`StateMachine`] with a UDP socket and the clock.

use std::fmt;
use std::future::Future;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::watch;

use super::packet::Advertisement;
use super::state_machine::StateMachine;
use super::VrrpConfig;
use rookspoke_config::ConfigError;
use rookspoke_dispatch::{Clock, Counter};

/// Length of the longest advertisement, with 255 addresses. A longer packet is truncated on receipt, and dropped.
const MAX_PACKET_LEN: usize = 8 + 4 * 255;
/// Pause after an error of the socket, which mostly means that a peer's port is closed.
const RECEIVE_ERROR_PAUSE: Duration = Duration::from_millis(10);

/// Totals of the packets sent, accepted and dropped.
#[derive(Debug, Default)]
pub struct VrrpCounters {
    /// Advertisements sent, counted once for each peer.
    pub sent: Counter,
    /// Valid advertisements of this virtual router from configured peers; reported as `heard`.
    pub received: Counter,
    /// All other packets: from another sender, damaged, or of another virtual router.
    pub dropped: Counter,
}

impl VrrpCounters {
    /// Every counter with its name, in a fixed order.
    pub fn pairs(&self) -> Vec<(&'static str, u64)> {
        vec![("sent", self.sent.get()), ("heard", self.received.get()), ("dropped", self.dropped.get())]
    }
}

impl fmt::Display for VrrpCounters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "sent={} heard={} dropped={}", self.sent.get(), self.received.get(), self.dropped.get())
    }
}

/// Runs the virtual router of this daemon: its state machine, its socket and its peers.
pub struct Driver {
    state_machine: StateMachine,
    own_advertisement: Advertisement,
    socket: UdpSocket,
    peers: Vec<SocketAddrV4>,
    clock: Clock,
    counters: Arc<VrrpCounters>,
    active: watch::Sender<bool>,
}

impl Driver {
    /// Binds the socket.
    ///
    /// # Errors
    /// The configuration is invalid, or the address cannot be bound.
    pub async fn open(config: &VrrpConfig) -> Result<Self, ConfigError> {
        let params = config.params()?;
        let socket = UdpSocket::bind(config.listen).await;
        Ok(Driver {
            own_advertisement: params.own.clone(),
            state_machine: StateMachine::new(params),
            socket: socket.map_err(|e| ConfigError::new("vrrp.listen", e))?,
            peers: config.peers.clone(),
            clock: Clock::start(),
            counters: Arc::default(),
            active: watch::Sender::new(false),
        })
    }

    /// Follows whether this daemon is the active router.
    pub fn active(&self) -> watch::Receiver<bool> {
        self.active.subscribe()
    }

    /// The counters, which keep running with the driver.
    pub fn counters(&self) -> Arc<VrrpCounters> {
        self.counters.clone()
    }

    /// Runs until `stop` completes; if active, then advertises priority 0, so that a backup takes over without the full
    /// timeout.
    pub async fn run(mut self, stop: impl Future<Output = ()>) {
        let first = self.state_machine.start(self.clock.now());
        self.apply(first).await;
        let mut stop = std::pin::pin!(stop);
        let mut buffer = [0; MAX_PACKET_LEN + 1];
        loop {
            let timer = self.state_machine.next_timer();
            let wait = timer.map_or(Duration::from_secs(1), |due| self.clock.until(due));
            let advertisement = tokio::select! {
                () = &mut stop => break,
                () = tokio::time::sleep(wait) => self.state_machine.on_timer(self.clock.now()),
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => self.on_packet(&buffer[..length], from),
                    Err(error) => {
                        tracing::debug!("vrrp: receive failed: {error}");
                        tokio::time::sleep(RECEIVE_ERROR_PAUSE).await;
                        None
                    }
                },
            };
            self.apply(advertisement).await;
        }
        let last = self.state_machine.shut_down();
        self.apply(last).await;
    }

    /// Validates a packet and passes it on to the state machine. Returns what to advertise in response.
    fn on_packet(&mut self, bytes: &[u8], from: SocketAddr) -> Option<Advertisement> {
        let drop_packet = |reason: &dyn fmt::Display| {
            self.counters.dropped.increment();
            tracing::debug!("vrrp: dropped a packet from {from}: {reason}");
        };
        let SocketAddr::V4(from) = from else { return None };
        // The TTL check of RFC 9568 does not apply over UDP: only configured peers are accepted as senders instead.
        if !self.peers.contains(&from) {
            drop_packet(&"the sender is not a configured peer");
            return None;
        }
        let advertisement = match Advertisement::decode(bytes) {
            Ok(advertisement) => advertisement,
            Err(error) => {
                drop_packet(&error);
                return None;
            }
        };
        let own = &self.own_advertisement;
        if advertisement.vrid != own.vrid || advertisement.addresses != own.addresses {
            drop_packet(&"its VRID or virtual addresses are not those of this virtual router");
            return None;
        }
        self.counters.received.increment();
        self.state_machine.on_advertisement(self.clock.now(), &advertisement, from)
    }

    /// Sends an advertisement to every peer, and publishes a change of the state.
    async fn apply(&mut self, advertisement: Option<Advertisement>) {
        if let Some(advertisement) = advertisement {
            let bytes = advertisement.encode();
            for peer in &self.peers {
                match self.socket.send_to(&bytes, peer).await {
                    Ok(_) => self.counters.sent.increment(),
                    Err(error) => tracing::debug!("vrrp: send to {peer} failed: {error}"),
                }
            }
        }
        let active = self.state_machine.is_active();
        if self.active.send_replace(active) != active {
            tracing::info!("vrrp: {}", if active { "master" } else { "no longer master" });
        }
    }
}
