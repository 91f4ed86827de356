//! The daemon's HTTP front: a server over the same service that a plug-in uses.

use std::convert::Infallible;
use std::future::Future;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use http::{header, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tower::Service;

use rookspoke_channel::{plain, ResponseBody, MAX_BUFFER};
use rookspoke_guard::{ConnectionCensus, ConnectionLimit, Framed, Listener, Patience, Permit, Socket};

use crate::serving::Serving;

const CLOSE: HeaderValue = HeaderValue::from_static("close");
const READY: &str = "/health/ready";
/// Clients that say nothing are told so within 3 s of connecting: this leaves a second for a late turn.
const PATIENCE: Patience = Patience {
    first: Duration::from_secs(2),
    part: Duration::from_secs(5),
    idle: Duration::from_secs(60),
    unread: Duration::from_secs(10),
};
/// After being told to end, clients keep coming for up to 0.4 s; this is longer.
const GRACE: Duration = Duration::from_millis(600);
/// Clients that are connected are served on for this long at most after that, while requests taken before are
/// still under way: where no other dispatcher is near, they have nowhere else to go.
const STAY: Duration = Duration::from_millis(1200);
/// What they ask for is answered this long after `GRACE` at the latest: the process may be killed 3.7 s after
/// it was told to end.
const FINISH: Duration = Duration::from_millis(2600);
/// A request that has reached the machine by the end is read within this time.
const LAST_LOOK: Duration = Duration::from_millis(100);
/// A client that has its last answer closes its side within this time, or the connection is closed on it.
const LINGER: Duration = Duration::from_millis(300);

/// Serves clients on a listener.
pub struct Front {
    serving: Serving,
    /// Places for client connections.
    limit: ConnectionLimit,
}

impl Front {
    /// A front with places for `connections` clients.
    pub fn new(serving: Serving, connections: usize) -> Self {
        Front { serving, limit: ConnectionLimit::new(connections, PATIENCE) }
    }

    /// Its places.
    pub fn limit(&self) -> &ConnectionLimit {
        &self.limit
    }

    /// Serves until `stop` ends; then goes on for a while, and ends when all that it took is answered. A shared
    /// listener has another process behind it: what this one does not accept is not lost, so it accepts nothing
    /// before it is of use, and nothing after it was told to end.
    pub async fn serve(self, listener: TcpListener, shared: bool, stop: impl Future<Output = ()>) {
        let (close, closing) = watch::channel(false);
        let mut connections = JoinSet::new();
        let mut stop = std::pin::pin!(async {
            stop.await;
            self.serving.leaves();
            self.log_phase("SIGTERM received, new connections are still accepted");
            if !shared {
                tokio::time::sleep(GRACE).await;
            }
        });
        if shared {
            tokio::select! {
                () = self.serving.channel().ready() => {}
                () = &mut stop => return,
            }
        }
        self.serving.accepts();
        let mut listener = Listener::new(listener, self.limit.clone());
        loop {
            tokio::select! {
                (socket, permit) = listener.next() => self.open(socket, permit, &mut connections, closing.clone()),
                Some(_) = connections.join_next() => {}
                () = &mut stop => break,
            }
        }
        while let Some((socket, permit)) = listener.last(shared).await {
            self.open(socket, permit, &mut connections, closing.clone());
        }
        self.log_phase("the listener is closed, open connections are still served");
        let mut shut = std::pin::pin!(listener.shut());
        // Until the last of what was taken so far is answered the process stays anyway: for a while it goes on
        // serving those that are connected, unless the other process can.
        let (stay, finish) = if shared { (Duration::ZERO, GRACE + FINISH) } else { (STAY, FINISH) };
        self.serving.channel().end_within(finish);
        let open = self.limit.census().open;
        (0..open).for_each(|_| self.serving.channel().counters().shutdown_connections.add());
        let mut last = std::pin::pin!(async {
            let _ = tokio::time::timeout(stay, self.limit.settled()).await;
            close.send_replace(true);
            self.log_phase("open connections are told to close");
            std::future::pending().await
        });
        loop {
            tokio::select! {
                ended = connections.join_next() => if ended.is_none() {
                    return self.log_phase("every connection is closed");
                },
                () = &mut shut => {}
                () = &mut last => {}
            }
        }
    }

    /// Logs a phase of the shutdown with what is open in it.
    fn log_phase(&self, phase: &str) {
        let ConnectionCensus { open, owed } = self.limit.census();
        tracing::info!(connections = open, awaiting_answer = owed, "shutdown: {phase}");
    }

    fn open(
        &self,
        socket: Socket,
        permit: Permit,
        connections: &mut JoinSet<()>,
        mut closing: watch::Receiver<bool>,
    ) {
        let (serving, answers) = (self.serving.clone(), Arc::new(AtomicU64::new(0)));
        let counters = serving.channel().counters().clone();
        let (unread, end) = (socket.unread(), socket.end());
        let framed = Framed::new(socket, permit.clone(), answers.clone());
        connections.spawn(async move {
            let ends = closing.clone();
            let turned_down = Arc::new(AtomicBool::new(false));
            let (given, last) = (answers.clone(), turned_down.clone());
            let service = service_fn(move |request| {
                let (serving, answers, ends) = (serving.clone(), given.clone(), ends.clone());
                let last = last.clone();
                async move {
                    let mut response = route(serving, request).await;
                    if let Ok(response) = &response {
                        last.store(response.status().is_client_error(), Ordering::Release);
                    }
                    if let (Ok(response), true) = (&mut response, *ends.borrow()) {
                        response.headers_mut().insert(header::CONNECTION, CLOSE);
                    }
                    answers.fetch_add(1, Ordering::AcqRel);
                    response
                }
            });
            let connection = http1::Builder::new()
                .max_buf_size(MAX_BUFFER)
                .serve_connection(TokioIo::new(framed), service);
            let mut connection = Box::pin(connection);
            let mut told_to_end = false;
            let malformed = loop {
                tokio::select! {
                    // The connection first: what has come saves it from having to leave.
                    biased;
                    done = connection.as_mut() => break done.is_err_and(|error| error.is_parse()),
                    () = permit.told_to_leave() => {
                        counters.closed.add();
                        return;
                    }
                    // Behind bytes that the library has not read it does not see this, and would go on with the job.
                    () = end.closed_by_client() => return,
                    () = async { drop(closing.wait_for(|closing| *closing).await) }, if !told_to_end => {
                        told_to_end = true;
                        // A shut-down library reads nothing more, not even what is here already, and closes on
                        // one that has yet to ask for the first time: that one may, and its answer is the last.
                        if permit.is_new() {
                            continue;
                        }
                        if unread() {
                            let _ = tokio::time::timeout(LAST_LOOK, connection.as_mut()).await;
                        }
                        connection.as_mut().graceful_shutdown();
                    }
                }
            };
            drop(connection);
            if malformed {
                counters.malformed.add();
            } else if answers.load(Ordering::Acquire) == 0 {
                return;
            }
            let discard = malformed || turned_down.load(Ordering::Acquire);
            tokio::select! {
                () = end.linger(LINGER, discard) => {}
                () = permit.told_to_leave() => {}
            }
            // Its place is free only once the socket is closed.
            drop(end);
            drop(permit);
        });
    }
}

async fn route(serving: Serving, request: Request<Incoming>) -> Result<Response<ResponseBody>, Infallible> {
    if request.uri().path() == READY {
        return Ok(match serving.is_ready() {
            true => plain(StatusCode::OK, "ready"),
            false => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        });
    }
    let Ok(mut response) = serving.channel().clone().call(request).await;
    // Its body was not read: where the next request begins, nobody knows.
    if let StatusCode::PAYLOAD_TOO_LARGE | StatusCode::REQUEST_TIMEOUT = response.status() {
        response.headers_mut().insert(header::CONNECTION, CLOSE);
    }
    Ok(response)
}
