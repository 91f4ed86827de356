//! One client connection: requests are served on it one after the other, until its client leaves or the process ends.

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

use rookspoke_channel::{plain_response, ResponseBody, MAX_BUFFER};
use rookspoke_guard::{ClientSocket, FramedSocket, Permit};

use crate::serving::Serving;

const CLOSE: HeaderValue = HeaderValue::from_static("close");
const READY: &str = "/health/ready";
/// What is on the socket when its connection is to close is read within this time. Meanwhile nobody looks for the client's
/// end, after which an attempt must not begin by more than 0.1 s.
const LAST_LOOK: Duration = Duration::from_millis(50);
/// Between two looks at whether something is left to be read.
const LOOK: Duration = Duration::from_millis(2);
/// A client that has its last answer closes its side within this time, or the connection is closed on it.
const LINGER: Duration = Duration::from_millis(300);

/// What all client connections are told to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Requests are served.
    Serving,
    /// Each connection closes with its answer; one that waits for nothing closes at once.
    Closing,
    /// No further request is read, not even one that has begun to come.
    CutOff,
}

/// What a connection needs to know beside its socket.
#[derive(Clone)]
pub struct Context {
    /// Where requests go.
    pub serving: Serving,
    /// What connections are told to do.
    pub phase: watch::Receiver<Phase>,
}

/// What the answers of a connection tell its end.
#[derive(Clone, Default)]
struct Answers {
    /// How many were given.
    given: Arc<AtomicU64>,
    /// The last one turned its request down.
    turned_down: Arc<AtomicBool>,
}

/// Serves one connection to its end.
pub async fn serve(context: Context, socket: ClientSocket, permit: Permit) {
    let Context { serving, mut phase } = context;
    let counters = serving.channel().counters().clone();
    let answers = Answers::default();
    let (unread, end) = (socket.unread_check(), socket.handle());
    let framed = FramedSocket::new(socket, permit.clone(), answers.given.clone());
    let cut_off = framed.cut_off();
    let service = {
        let (answers, phase) = (answers.clone(), phase.clone());
        service_fn(move |request| answer(serving.clone(), answers.clone(), phase.clone(), request))
    };
    let connection =
        http1::Builder::new().max_buf_size(MAX_BUFFER).serve_connection(TokioIo::new(framed), service);
    let mut connection = Box::pin(connection);
    let mut reached = Phase::Serving;
    let done = loop {
        tokio::select! {
            // The connection first: what has come saves it from having to leave.
            biased;
            done = connection.as_mut() => break done,
            () = permit.close_requested() => {
                counters.closed.increment();
                return;
            }
            // Behind bytes that the library has not read it does not see this, and would go on with the job.
            () = end.closed_by_client() => return,
            next = later_phase(&mut phase, reached), if reached < Phase::CutOff => {
                reached = next;
                if reached == Phase::CutOff {
                    cut_off.set();
                } else if permit.expects_request() {
                    // That one may still come whole, and its answer is the last.
                    continue;
                }
                // A library that shuts down reads nothing more, not even what is here already.
                if let Some(done) = read_what_is_here(connection.as_mut(), &unread).await {
                    break done;
                }
                connection.as_mut().graceful_shutdown();
            }
        }
    };
    drop(connection);
    let malformed = done.is_err_and(|error| error.is_parse());
    if malformed {
        counters.malformed.increment();
    } else if answers.given.load(Ordering::Acquire) == 0 {
        return;
    }
    let discard = malformed || answers.turned_down.load(Ordering::Acquire);
    tokio::select! {
        () = end.linger(LINGER, discard) => {}
        () = permit.close_requested() => {}
    }
    // Its place is free only once the socket is closed.
    drop(end);
    drop(permit);
}

/// Waits for a phase after `reached`. Ends never, if whoever tells of phases is gone.
async fn later_phase(phase: &mut watch::Receiver<Phase>, reached: Phase) -> Phase {
    let later = phase.wait_for(|phase| *phase > reached).await.ok().map(|phase| *phase);
    match later {
        Some(phase) => phase,
        None => std::future::pending().await,
    }
}

/// Lets a connection read what has come already; gives its end, if that comes meanwhile.
async fn read_what_is_here<C: Future>(
    mut connection: Pin<&mut C>,
    unread: impl Fn() -> bool,
) -> Option<C::Output> {
    let by = Instant::now() + LAST_LOOK;
    loop {
        // Once at least: what was read already may be waiting in the library.
        if let Ok(done) = tokio::time::timeout(LOOK, connection.as_mut()).await {
            return Some(done);
        }
        if !unread() || Instant::now() >= by {
            return None;
        }
    }
}

async fn answer(
    serving: Serving,
    answers: Answers,
    phase: watch::Receiver<Phase>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let mut response = route(serving, request).await;
    answers.turned_down.store(response.status().is_client_error(), Ordering::Release);
    if *phase.borrow() > Phase::Serving {
        response.headers_mut().insert(header::CONNECTION, CLOSE);
    }
    answers.given.fetch_add(1, Ordering::AcqRel);
    Ok(response)
}

async fn route(serving: Serving, request: Request<Incoming>) -> Response<ResponseBody> {
    if request.uri().path() == READY {
        return match serving.is_ready() {
            true => plain_response(StatusCode::OK, "ready"),
            false => plain_response(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        };
    }
    let Ok(mut response) = serving.channel().clone().call(request).await;
    // Its body was not read: where the next request begins, nobody knows.
    if let StatusCode::PAYLOAD_TOO_LARGE | StatusCode::REQUEST_TIMEOUT = response.status() {
        response.headers_mut().insert(header::CONNECTION, CLOSE);
    }
    response
}
