//! Where connections come in: each gets its place before it is served.

use std::time::{Duration, Instant};

use tokio::net::TcpListener;
use tokio::time::{Interval, MissedTickBehavior};

use super::{ClientSocket, ConnectionLimit, Permit};

/// How often connections are looked through for those that took too long.
const SWEEP: Duration = Duration::from_millis(100);
/// Pause after an accept that failed: most likely descriptors have run out.
const PAUSE: Duration = Duration::from_millis(10);
/// The same while the listener closes, when there is no time for more.
const SHORT_PAUSE: Duration = Duration::from_millis(1);
/// Connections accepted in a row, before everything else gets its turn.
const ACCEPTS: u32 = 16;
/// A connection that waits unaccepted is here within this time.
const LATE: Duration = Duration::from_millis(1);

/// A listener and the limit that it keeps.
pub struct Listener {
    listener: TcpListener,
    limit: ConnectionLimit,
    sweep: Interval,
    /// Accepted, and waiting for somebody else to leave.
    waiting: Option<ClientSocket>,
    accepts: u32,
}

impl Listener {
    /// A listener under a limit.
    pub fn new(listener: TcpListener, limit: ConnectionLimit) -> Self {
        Listener { listener, limit, sweep: sweeps(), waiting: None, accepts: 0 }
    }

    /// The next connection. Dropping the future loses none.
    pub async fn accept(&mut self) -> (ClientSocket, Permit) {
        loop {
            if let Some(socket) = self.waiting.take() {
                match self.limit.admit(socket.unread_check()) {
                    Some(permit) => return (socket, permit),
                    None => self.waiting = Some(socket),
                }
            }
            tokio::select! {
                accepted = self.listener.accept(), if self.waiting.is_none() => match accepted {
                    Ok((stream, _)) => {
                        self.waiting = Some(ClientSocket::new(stream));
                        self.accepts += 1;
                        if self.accepts.is_multiple_of(ACCEPTS) {
                            tokio::task::yield_now().await;
                        }
                    }
                    Err(error) => {
                        tracing::warn!("accept: {error}");
                        tokio::time::sleep(PAUSE).await;
                    }
                },
                () = self.limit.slot_freed(), if self.waiting.is_some() => {}
                _ = self.sweep.tick() => self.limit.close_expired(),
            }
        }
    }

    /// A connection that has come already, before it is shut: its client would see a reset. Of a `shared`
    /// listener only those that are accepted: the others are for whoever shares it. However many come, it ends by `by`;
    /// an accept that fails for a moment is tried again until then.
    pub async fn accept_remaining(&mut self, shared: bool, by: Instant) -> Option<(ClientSocket, Permit)> {
        let socket = match self.waiting.take() {
            Some(socket) => socket,
            None if shared => return None,
            None => self.accept_waiting(by).await?,
        };
        let permit = self.limit.admit_over_limit(socket.unread_check());
        Some((socket, permit))
    }

    async fn accept_waiting(&self, by: Instant) -> Option<ClientSocket> {
        while Instant::now() < by {
            match tokio::time::timeout(LATE, self.listener.accept()).await {
                Ok(Ok((stream, _))) => return Some(ClientSocket::new(stream)),
                Ok(Err(error)) => {
                    tracing::warn!("accept: {error}");
                    tokio::time::sleep(SHORT_PAUSE).await;
                }
                Err(_) => return None,
            }
        }
        tracing::warn!("connections still wait to be accepted as the listener closes");
        None
    }

    /// Lets nobody in any more, and goes on looking for those who take too long.
    pub async fn close_and_sweep(self) {
        drop(self.listener);
        let mut sweep = self.sweep;
        loop {
            sweep.tick().await;
            self.limit.close_expired();
        }
    }
}

fn sweeps() -> Interval {
    let mut sweep = tokio::time::interval(SWEEP);
    sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
    sweep
}
