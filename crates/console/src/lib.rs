//! The operators' address: HTTP/1.1, one call to a connection. It decides nothing; what it needs of a dispatcher is
//! a [`OperatorInterface`].

use std::convert::Infallible;
use std::future::Future;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{header, HeaderValue, Method, Request, Response, StatusCode};
use http_body::Body;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tower::{Service, ServiceExt};

use rookspoke_guard::{ClientSocket, ConnectionLimit, Listener, Permit, Timeouts};

/// Callers at a time: a few operators and programs, and as many who say nothing. The oldest of these leaves first.
pub const MAX_CONNECTIONS: usize = 16;
/// Callers that say nothing, or half a call, and then do not read, are let go after this.
const SILENT: Duration = Duration::from_secs(3);
const CALLER_TIMEOUTS: Timeouts =
    Timeouts { first_request: SILENT, request: SILENT, idle: SILENT, response: SILENT };
/// The least that the HTTP library takes, and far more than a call's head needs.
const MAX_HEAD: usize = 8 * 1024;
/// A call has no body of use; one that says it is longer than this is not read.
const MAX_BODY: usize = 1024;
/// The longest id.
const MAX_ID: usize = 128;
/// Beyond this a call is answered no, whatever it waits for: an answer is due within a second.
const DUE: Duration = Duration::from_millis(800);

const READY: &str = "/control/ready";
const COUNTERS: &str = "/control/counters";
const WORKERS: &str = "/control/log-workers/";

/// Why a log worker is not taken out, or put back.
#[derive(Debug, Error)]
pub enum EjectionError {
    /// Nobody has this id.
    #[error("found no log worker of this id, expected one that is listed or out by hand")]
    UnknownWorker,
    /// It cannot be done now.
    #[error("{0}")]
    Failed(String),
}

/// What a console needs of the dispatcher behind it.
pub trait OperatorInterface: Clone + Send + Sync + 'static {
    /// Whether the dispatcher is ready to serve.
    fn is_ready(&self) -> bool;
    /// The figures, a line each.
    fn metrics(&self) -> String;
    /// Takes a log worker out, or puts it back. Once this says yes, that holds, and outlives the process.
    fn set_ejected(&self, worker: &str, out: bool) -> impl Future<Output = Result<(), EjectionError>> + Send;
}

/// Answers calls.
#[derive(Clone, Debug)]
pub struct ConsoleService<D>(pub D);

impl<D: OperatorInterface> Service<Request<Bytes>> for ConsoleService<D> {
    type Response = Response<Full<Bytes>>;
    type Error = Infallible;
    type Future = futures_util::future::BoxFuture<'static, Result<Self::Response, Infallible>>;

    fn poll_ready(&mut self, _: &mut Context) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Bytes>) -> Self::Future {
        let desk = self.0.clone();
        Box::pin(async move { Ok(answer(&desk, request).await) })
    }
}

/// What a call asks for.
enum Asked {
    Ready,
    Counters,
    Set { worker: String, out: bool },
}

impl Asked {
    fn read(method: &Method, path: &str) -> Result<Self, (StatusCode, &'static str)> {
        let only = |wanted: Method, asked| match *method == wanted {
            true => Ok(asked),
            false => Err((StatusCode::METHOD_NOT_ALLOWED, "expected GET for figures, PUT for a change")),
        };
        match path {
            READY => return only(Method::GET, Asked::Ready),
            COUNTERS => return only(Method::GET, Asked::Counters),
            _ => {}
        }
        let unknown = (StatusCode::NOT_FOUND, "found a path that is not known");
        let (worker, change) =
            path.strip_prefix(WORKERS).and_then(|rest| rest.rsplit_once('/')).ok_or(unknown)?;
        let out = match change {
            "offline" => true,
            "online" => false,
            _ => return Err(unknown),
        };
        let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~:@".contains(&byte);
        if !(1..=MAX_ID).contains(&worker.len()) || !worker.bytes().all(plain) {
            return Err((
                StatusCode::BAD_REQUEST,
                "found an id with other signs than letters, digits and -._~:@",
            ));
        }
        only(Method::PUT, Asked::Set { worker: worker.to_owned(), out })
    }
}

/// Reads a call to its end: half of one does nothing.
async fn whole(request: Request<Incoming>) -> Result<Request<Bytes>, Response<Full<Bytes>>> {
    let (parts, body) = request.into_parts();
    let too_long = || plain(StatusCode::PAYLOAD_TOO_LARGE, "found a long body, expected none");
    if body.size_hint().lower() > MAX_BODY as u64 {
        return Err(too_long());
    }
    match Limited::new(body, MAX_BODY).collect().await {
        Ok(body) => Ok(Request::from_parts(parts, body.to_bytes())),
        Err(error) if error.is::<LengthLimitError>() => Err(too_long()),
        Err(_) => Err(plain(StatusCode::BAD_REQUEST, "the body broke off")),
    }
}

async fn answer(desk: &impl OperatorInterface, request: Request<Bytes>) -> Response<Full<Bytes>> {
    let asked = match Asked::read(request.method(), request.uri().path()) {
        Ok(asked) => asked,
        Err((status, text)) => return plain(status, text),
    };
    match asked {
        Asked::Ready if desk.is_ready() => plain(StatusCode::OK, "ready"),
        Asked::Ready => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        Asked::Counters => plain(StatusCode::OK, desk.metrics()),
        Asked::Set { worker, out } => {
            let to = if out { "offline" } else { "online" };
            let done = tokio::time::timeout(DUE, desk.set_ejected(&worker, out)).await;
            let done =
                done.unwrap_or_else(|_| Err(EjectionError::Failed("not done in time; ask again".into())));
            match done {
                Ok(()) => {
                    tracing::info!("operators: {worker} is {to}");
                    plain(StatusCode::OK, to)
                }
                Err(no) => {
                    tracing::warn!("operators: {worker} is not {to}: {no}");
                    let status = match no {
                        EjectionError::UnknownWorker => StatusCode::NOT_FOUND,
                        EjectionError::Failed(_) => StatusCode::SERVICE_UNAVAILABLE,
                    };
                    plain(status, no.to_string())
                }
            }
        }
    }
}

fn plain(status: StatusCode, text: impl Into<String>) -> Response<Full<Bytes>> {
    let mut text = text.into();
    if !text.ends_with('\n') {
        text.push('\n');
    }
    let mut response = Response::new(Full::from(text));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

/// Answers on a listener for as long as it is polled.
pub async fn serve<D: OperatorInterface>(listener: TcpListener, desk: D) {
    let limit = ConnectionLimit::new(MAX_CONNECTIONS, CALLER_TIMEOUTS);
    let mut listener = Listener::new(listener, limit);
    let mut callers = JoinSet::new();
    loop {
        tokio::select! {
            (socket, permit) = listener.accept() => drop(callers.spawn(serve_one(socket, permit, desk.clone()))),
            Some(_) = callers.join_next() => {}
        }
    }
}

async fn serve_one<D: OperatorInterface>(socket: ClientSocket, permit: Permit, desk: D) {
    let owed = permit.clone();
    let service = service_fn(move |request| {
        let (calls, permit) = (ConsoleService(desk.clone()), owed.clone());
        async move {
            match whole(request).await {
                Ok(request) => {
                    // Who has said all is owed an answer: no crowd takes the place away.
                    permit.request_received();
                    calls.oneshot(request).await
                }
                Err(response) => Ok(response),
            }
        }
    });
    let connection = http1::Builder::new()
        .keep_alive(false)
        .max_buf_size(MAX_HEAD)
        .serve_connection(TokioIo::new(socket), service);
    tokio::select! {
        biased;
        _ = connection => {}
        () = permit.close_requested() => {}
    }
}
