//! Accepts connections; each gets its permit before it is served.

use std::time::{Duration, Instant};

use tokio::net::TcpListener;
use tokio::time::{Interval, MissedTickBehavior};

use super::{ClientSocket, ConnectionLimit, Permit};

/// How often connections are checked against their timeouts.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Delay after a failed accept, most likely caused by a lack of file descriptors.
const RETRY_DELAY: Duration = Duration::from_millis(10);
/// The same while the listener closes, when there is no time for a longer delay.
const CLOSING_RETRY_DELAY: Duration = Duration::from_millis(1);
/// Connections accepted in a row before the task yields to others.
const ACCEPTS_PER_YIELD: u32 = 16;
/// An accept that returns nothing within this time means that the backlog is empty.
const BACKLOG_TIMEOUT: Duration = Duration::from_millis(1);

/// A TCP listener that respects a [`ConnectionLimit`].
pub struct Listener {
    listener: TcpListener,
    limit: ConnectionLimit,
    expiry_check: Interval,
    /// Accepted, and waiting for a free slot.
    waiting: Option<ClientSocket>,
    accepts: u32,
}

impl Listener {
    /// Wraps a bound listener; connections get their permits from `limit`.
    pub fn new(listener: TcpListener, limit: ConnectionLimit) -> Self {
        Listener { listener, limit, expiry_check: expiry_check_interval(), waiting: None, accepts: 0 }
    }

    /// Accepts the next connection once a slot is free. Cancel safe: dropping the future loses no connection.
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
                        if self.accepts.is_multiple_of(ACCEPTS_PER_YIELD) {
                            tokio::task::yield_now().await;
                        }
                    }
                    Err(error) => {
                        tracing::warn!("accept: {error}; retrying in {RETRY_DELAY:?}");
                        tokio::time::sleep(RETRY_DELAY).await;
                    }
                },
                () = self.limit.slot_freed(), if self.waiting.is_some() => {}
                _ = self.expiry_check.tick() => self.limit.close_expired(),
            }
        }
    }

    /// Accepts a connection that is already in the backlog, even beyond the limit: its client would see a reset when
    /// the listener closes. From a `shared` listener it returns only a connection that has been accepted already; the
    /// others are left to the process that shares it. Ends at `by` however many connections arrive, and retries failed
    /// accepts until then.
    pub async fn accept_remaining(&mut self, shared: bool, by: Instant) -> Option<(ClientSocket, Permit)> {
        let socket = match self.waiting.take() {
            Some(socket) => socket,
            None if shared => return None,
            None => self.accept_from_backlog(by).await?,
        };
        let permit = self.limit.admit_over_limit(socket.unread_check());
        Some((socket, permit))
    }

    async fn accept_from_backlog(&self, by: Instant) -> Option<ClientSocket> {
        while Instant::now() < by {
            match tokio::time::timeout(BACKLOG_TIMEOUT, self.listener.accept()).await {
                Ok(Ok((stream, _))) => return Some(ClientSocket::new(stream)),
                Ok(Err(error)) => {
                    tracing::warn!("accept: {error}; retrying in {CLOSING_RETRY_DELAY:?}");
                    tokio::time::sleep(CLOSING_RETRY_DELAY).await;
                }
                Err(_) => return None,
            }
        }
        tracing::warn!("the time to accept the backlog is over; clients still in it will see a reset");
        None
    }

    /// Closes the listener, and keeps closing connections that exceed their timeouts. Never returns.
    pub async fn close_and_sweep(self) {
        drop(self.listener);
        let mut expiry_check = self.expiry_check;
        loop {
            expiry_check.tick().await;
            self.limit.close_expired();
        }
    }
}

fn expiry_check_interval() -> Interval {
    let mut interval = tokio::time::interval(EXPIRY_CHECK_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    interval
}
