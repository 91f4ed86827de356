//! One client connection: serves its requests one after the other until the client closes it or the process shuts
//! down.

use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{header, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::sync::watch;
use tower::Service;

use rookspoke_channel::{plain_response, BodyUnread, ResponseBody, MAX_BUFFER};
use rookspoke_guard::{ClientSocket, FramedSocket, Permit};

use crate::server_state::ServerState;

const CLOSE: HeaderValue = HeaderValue::from_static("close");
const READY_PATH: &str = "/health/ready";
/// How long a connection that is about to close reads data that has already arrived. During this time a close by the
/// client goes unnoticed, and no call attempt may start more than 0.1 s after the client has closed.
const FINAL_READ_TIMEOUT: Duration = Duration::from_millis(50);
/// Interval at which unread data is checked for during that time.
const FINAL_READ_INTERVAL: Duration = Duration::from_millis(2);
/// Requests of one connection that are answered before the other tasks get a turn.
const REQUESTS_PER_TURN: u64 = 8;
/// How long the connection waits for the client to close its side after the last response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);

/// The phase of service that applies to all client connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Connections stay open, and requests are served.
    Serving,
    /// Each connection closes after its next response; idle connections close at once.
    Closing,
    /// No further request is read, not even one that has arrived in part.
    CutOff,
}

/// The state shared by all client connections.
#[derive(Clone)]
pub struct Context {
    /// The server's readiness, and the channel that dispatches requests.
    pub state: ServerState,
    /// The current phase.
    pub phase: watch::Receiver<Phase>,
}

/// Records the responses on a connection; decides how the connection is closed.
#[derive(Clone, Default)]
struct Responses {
    /// Number of responses so far.
    count: Arc<AtomicU64>,
    /// Whether the last response has a 4xx status, or its request was not read to its end.
    last_rejected: Arc<AtomicBool>,
}

/// Serves one connection until it is closed.
pub async fn serve(context: Context, socket: ClientSocket, permit: Permit) {
    let Context { state, mut phase } = context;
    let counters = state.channel().counters().clone();
    let responses = Responses::default();
    let (unread, socket_handle) = (socket.unread_check(), socket.handle());
    let memory = &state.channel().memory().requests;
    let framed = FramedSocket::new(socket, permit.clone(), responses.count.clone(), memory);
    let cut_off = framed.cut_off();
    let service = {
        let (responses, phase) = (responses.clone(), phase.clone());
        service_fn(move |request| respond(state.clone(), responses.clone(), phase.clone(), request))
    };
    let connection =
        http1::Builder::new().max_buf_size(MAX_BUFFER).serve_connection(TokioIo::new(framed), service);
    let mut connection = Box::pin(connection);
    let mut current_phase = Phase::Serving;
    let result = loop {
        tokio::select! {
            // The connection first: a request that has arrived may prevent a requested close.
            biased;
            result = connection.as_mut() => break result,
            () = permit.close_requested() => {
                counters.closed.increment();
                return;
            }
            // Hyper does not notice a close that lies behind unread bytes, and would continue the job.
            () = socket_handle.closed_by_client() => return,
            next = next_phase(&mut phase, current_phase), if current_phase < Phase::CutOff => {
                current_phase = next;
                if current_phase == Phase::CutOff {
                    cut_off.set();
                } else if permit.expects_request() {
                    // That request may still arrive completely; the connection closes after its response.
                    continue;
                }
                // After `graceful_shutdown` hyper reads nothing more, not even data that has already arrived.
                if let Some(result) = read_arrived(connection.as_mut(), &unread).await {
                    break result;
                }
                connection.as_mut().graceful_shutdown();
            }
        }
    };
    drop(connection);
    let malformed = result.is_err_and(|error| error.is_parse());
    if malformed {
        counters.malformed.increment();
    } else if responses.count.load(Ordering::Acquire) == 0 {
        return;
    }
    let discard = malformed || responses.last_rejected.load(Ordering::Acquire);
    tokio::select! {
        () = socket_handle.linger(LINGER_TIMEOUT, discard) => {}
        () = permit.close_requested() => {}
    }
    // The permit is released only after the socket is closed.
    drop(socket_handle);
    drop(permit);
}

/// Waits for a phase later than `current`; never completes if the sender is gone.
async fn next_phase(phase: &mut watch::Receiver<Phase>, current: Phase) -> Phase {
    let next = phase.wait_for(|phase| *phase > current).await.ok().map(|phase| *phase);
    match next {
        Some(phase) => phase,
        None => std::future::pending().await,
    }
}

/// Lets a connection read the data that has already arrived; returns its result if it completes meanwhile.
async fn read_arrived<C: Future>(
    mut connection: Pin<&mut C>,
    unread: impl Fn() -> bool,
) -> Option<C::Output> {
    let give_up_at = Instant::now() + FINAL_READ_TIMEOUT;
    loop {
        // At least once: hyper may hold data that is read but not processed yet.
        if let Ok(result) = tokio::time::timeout(FINAL_READ_INTERVAL, connection.as_mut()).await {
            return Some(result);
        }
        if !unread() || Instant::now() >= give_up_at {
            return None;
        }
    }
}

/// Responds to a request, records the response, and closes the connection with it during a shutdown.
async fn respond(
    state: ServerState,
    responses: Responses,
    phase: watch::Receiver<Phase>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let mut response = route(state, request).await;
    let body_unread = response.extensions().get::<BodyUnread>().is_some();
    if body_unread {
        response.headers_mut().insert(header::CONNECTION, CLOSE);
    }
    responses.last_rejected.store(body_unread || response.status().is_client_error(), Ordering::Release);
    if *phase.borrow() > Phase::Serving {
        response.headers_mut().insert(header::CONNECTION, CLOSE);
    }
    if (responses.count.load(Ordering::Acquire) + 1).is_multiple_of(REQUESTS_PER_TURN) {
        tokio::task::yield_now().await;
    }
    responses.count.fetch_add(1, Ordering::AcqRel);
    Ok(response)
}

/// Answers the readiness check itself; passes every other request to the channel.
async fn route(state: ServerState, request: Request<Incoming>) -> Response<ResponseBody> {
    if request.uri().path() == READY_PATH {
        return match state.is_ready() {
            true => plain_response(StatusCode::OK, "ready"),
            false => plain_response(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        };
    }
    let Ok(response) = state.channel().clone().call(request).await;
    response
}

#[cfg(test)]
mod tests;
