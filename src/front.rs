//! The daemon's HTTP front: a server over the same service that a plug-in uses.

use std::convert::Infallible;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};
use tokio::task::JoinSet;
use tower::Service;

use crate::channel::{plain, Channel, ResponseBody, MAX_BUFFER};

const READY: &str = "/health/ready";
/// A request's head must come within this time.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause after an accept that failed: most likely descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// After being told to end, clients keep coming for up to 0.4 s; this is longer.
const GRACE: Duration = Duration::from_millis(600);

/// Serves clients on a listener.
pub struct Front {
    channel: Channel,
    /// Places for client connections.
    room: Arc<Semaphore>,
    leaving: Arc<AtomicBool>,
}

impl Front {
    /// A front with places for `connections` clients.
    pub fn new(channel: Channel, connections: usize) -> Self {
        Front { channel, room: Arc::new(Semaphore::new(connections)), leaving: Arc::default() }
    }

    /// Serves until `stop` ends; then goes on for a while, and ends when all that it took is answered.
    pub async fn serve(self, listener: TcpListener, stop: impl std::future::Future<Output = ()>) {
        let (close, closing) = watch::channel(false);
        let mut connections = JoinSet::new();
        let mut stop = std::pin::pin!(async {
            stop.await;
            log::info!("told to end; clients have {GRACE:?} more");
            self.leaving.store(true, Ordering::Release);
            tokio::time::sleep(GRACE).await;
        });
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.open(stream, &mut connections, closing.clone()),
                    Err(error) => {
                        log::warn!("accept: {error}");
                        tokio::time::sleep(ACCEPT_PAUSE).await;
                    }
                },
                Some(_) = connections.join_next() => {}
                () = &mut stop => break,
            }
        }
        // A client whose connection waits here unaccepted would see a reset.
        while let Ok(Ok((stream, _))) =
            tokio::time::timeout(Duration::from_millis(1), listener.accept()).await
        {
            self.open(stream, &mut connections, closing.clone());
        }
        drop(listener);
        close.send_replace(true);
        while connections.join_next().await.is_some() {}
    }

    fn open(&self, stream: TcpStream, connections: &mut JoinSet<()>, mut closing: watch::Receiver<bool>) {
        let Ok(room) = self.room.clone().try_acquire_owned() else {
            // Closed unread: nothing was taken.
            log::warn!("no room for another client connection");
            return;
        };
        let _ = stream.set_nodelay(true);
        let (channel, leaving) = (self.channel.clone(), self.leaving.clone());
        connections.spawn(async move {
            let _room = room;
            let service = service_fn(move |request| {
                let (channel, leaving) = (channel.clone(), leaving.clone());
                async move { route(channel, leaving.load(Ordering::Acquire), request).await }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .max_buf_size(MAX_BUFFER)
                .serve_connection(TokioIo::new(stream), service);
            let mut connection = std::pin::pin!(connection);
            tokio::select! {
                _ = connection.as_mut() => return,
                _ = closing.wait_for(|closing| *closing) => {}
            }
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        });
    }
}

async fn route(
    mut channel: Channel,
    leaving: bool,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    if request.uri().path() == READY {
        return Ok(match channel.is_ready() && !leaving {
            true => plain(StatusCode::OK, "ready"),
            false => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        });
    }
    channel.call(request).await
}
