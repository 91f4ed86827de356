//! Where connections come in: each gets its place before it is served.

use std::time::Duration;

use tokio::net::TcpListener;
use tokio::time::{Interval, MissedTickBehavior};

use super::{Place, Room, Socket};

/// How often connections are looked through for those that took too long.
const SWEEP: Duration = Duration::from_millis(100);
/// Pause after an accept that failed: most likely descriptors have run out.
const PAUSE: Duration = Duration::from_millis(10);
/// Connections accepted in a row, before everything else gets its turn.
const ACCEPTS: u32 = 16;
/// A connection that waits unaccepted is here within this time.
const LATE: Duration = Duration::from_millis(1);

/// A listener and the room behind it.
pub struct Door {
    listener: TcpListener,
    room: Room,
    sweep: Interval,
    /// Accepted, and waiting for somebody else to leave.
    waiting: Option<Socket>,
    accepts: u32,
}

impl Door {
    /// The door to a room.
    pub fn new(listener: TcpListener, room: Room) -> Self {
        Door { listener, room, sweep: sweeps(), waiting: None, accepts: 0 }
    }

    /// The next connection. Dropping the future loses none.
    pub async fn next(&mut self) -> (Socket, Place) {
        loop {
            if let Some(socket) = self.waiting.take() {
                match self.room.enter(socket.unread()) {
                    Some(place) => return (socket, place),
                    None => self.waiting = Some(socket),
                }
            }
            tokio::select! {
                accepted = self.listener.accept(), if self.waiting.is_none() => match accepted {
                    Ok((stream, _)) => {
                        self.waiting = Some(Socket::new(stream));
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
                () = self.room.freed(), if self.waiting.is_some() => {}
                _ = self.sweep.tick() => self.room.sweep(),
            }
        }
    }

    /// A connection that has come already, before the door is shut: its client would see a reset. Of a `shared`
    /// listener only those that are accepted: the others are for whoever shares it.
    pub async fn last(&mut self, shared: bool) -> Option<(Socket, Place)> {
        let socket = match self.waiting.take() {
            Some(socket) => socket,
            None if shared => return None,
            None => match tokio::time::timeout(LATE, self.listener.accept()).await {
                Ok(Ok((stream, _))) => Socket::new(stream),
                _ => return None,
            },
        };
        let place = self.room.squeeze_in(socket.unread());
        Some((socket, place))
    }

    /// Lets nobody in any more, and goes on looking for those who take too long.
    pub async fn shut(self) {
        drop(self.listener);
        let mut sweep = self.sweep;
        loop {
            sweep.tick().await;
            self.room.sweep();
        }
    }
}

fn sweeps() -> Interval {
    let mut sweep = tokio::time::interval(SWEEP);
    sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
    sweep
}
