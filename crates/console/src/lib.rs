//! The operators' console: an HTTP/1.1 address with one request per connection, for readiness, counters and the manual
//! ejection of log workers. All decisions are left to the dispatcher behind an [`OperatorInterface`].

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

/// Limit on open connections: enough for a few operators and programs, and for as many clients that send nothing, of
/// which the oldest is closed first.
pub const MAX_CONNECTIONS: usize = 16;
/// Timeout for clients that send nothing or only part of a request, and for those that do not read the answer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
const CLIENT_TIMEOUTS: Timeouts = Timeouts {
    first_request: CLIENT_TIMEOUT,
    request: CLIENT_TIMEOUT,
    idle: CLIENT_TIMEOUT,
    response: CLIENT_TIMEOUT,
};
/// Limit on the size of a request head: the smallest that the HTTP library accepts, and far more than is needed.
const MAX_HEAD: usize = 8 * 1024;
/// Limit on the size of a request body. Bodies are ignored, and one that is declared to be longer is not read.
const MAX_BODY: usize = 1024;
/// Limit on the length of a log worker's id.
const MAX_ID: usize = 128;
/// Timeout of a change, which is then answered 503: every answer is due within a second.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(800);

const READY: &str = "/control/ready";
const COUNTERS: &str = "/control/counters";
const WORKERS: &str = "/control/log-workers/";

/// Reason for which a log worker was not ejected or reinstated.
#[derive(Debug, Error)]
pub enum EjectionError {
    /// No log worker has this id.
    #[error("found no log worker of this id, expected one that is listed or out by hand")]
    UnknownWorker,
    /// The change cannot be made now; the text says why.
    #[error("{0}")]
    Failed(String),
}

/// Operations that the console needs from the dispatcher behind it.
pub trait OperatorInterface: Clone + Send + Sync + 'static {
    /// Whether the dispatcher is ready to serve.
    fn is_ready(&self) -> bool;
    /// The dispatcher's metrics, one per line.
    fn metrics(&self) -> String;
    /// Ejects a log worker, or reinstates it. `Ok` means that the change is in effect and survives the process.
    fn set_ejected(
        &self,
        worker: &str,
        ejected: bool,
    ) -> impl Future<Output = Result<(), EjectionError>> + Send;
}

/// The HTTP service that answers operators' requests.
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
        let operators = self.0.clone();
        Box::pin(async move { Ok(respond(&operators, request).await) })
    }
}

/// A request of an operator.
enum Command {
    Ready,
    Counters,
    SetEjected { worker: String, ejected: bool },
}

impl Command {
    fn parse(method: &Method, path: &str) -> Result<Self, (StatusCode, &'static str)> {
        let only = |expected: Method, command| match *method == expected {
            true => Ok(command),
            false => Err((StatusCode::METHOD_NOT_ALLOWED, "expected GET for figures, PUT for a change")),
        };
        match path {
            READY => return only(Method::GET, Command::Ready),
            COUNTERS => return only(Method::GET, Command::Counters),
            _ => {}
        }
        let unknown_path = (StatusCode::NOT_FOUND, "found a path that is not known");
        let (worker, change) =
            path.strip_prefix(WORKERS).and_then(|rest| rest.rsplit_once('/')).ok_or(unknown_path)?;
        let ejected = match change {
            "offline" => true,
            "online" => false,
            _ => return Err(unknown_path),
        };
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~:@".contains(&byte);
        if !(1..=MAX_ID).contains(&worker.len()) || !worker.bytes().all(is_allowed) {
            return Err((
                StatusCode::BAD_REQUEST,
                "found an id with other signs than letters, digits and -._~:@",
            ));
        }
        only(Method::PUT, Command::SetEjected { worker: worker.to_owned(), ejected })
    }
}

/// Reads a request with its body, so that an incomplete request has no effect.
async fn read_request(request: Request<Incoming>) -> Result<Request<Bytes>, Response<Full<Bytes>>> {
    let (parts, body) = request.into_parts();
    let too_long = || plain_text(StatusCode::PAYLOAD_TOO_LARGE, "found a long body, expected none");
    if body.size_hint().lower() > MAX_BODY as u64 {
        return Err(too_long());
    }
    match Limited::new(body, MAX_BODY).collect().await {
        Ok(body) => Ok(Request::from_parts(parts, body.to_bytes())),
        Err(error) if error.is::<LengthLimitError>() => Err(too_long()),
        Err(_) => Err(plain_text(StatusCode::BAD_REQUEST, "the body broke off")),
    }
}

async fn respond(operators: &impl OperatorInterface, request: Request<Bytes>) -> Response<Full<Bytes>> {
    let command = match Command::parse(request.method(), request.uri().path()) {
        Ok(command) => command,
        Err((status, text)) => return plain_text(status, text),
    };
    match command {
        Command::Ready if operators.is_ready() => plain_text(StatusCode::OK, "ready"),
        Command::Ready => plain_text(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        Command::Counters => plain_text(StatusCode::OK, operators.metrics()),
        Command::SetEjected { worker, ejected } => {
            let state = if ejected { "offline" } else { "online" };
            let change = tokio::time::timeout(CHANGE_TIMEOUT, operators.set_ejected(&worker, ejected)).await;
            let result =
                change.unwrap_or_else(|_| Err(EjectionError::Failed("not done in time; ask again".into())));
            match result {
                Ok(()) => {
                    tracing::info!("operator request: log worker {worker} is now {state}");
                    plain_text(StatusCode::OK, state)
                }
                Err(error) => {
                    tracing::warn!("operator request to set log worker {worker} {state} failed: {error}");
                    let status = match error {
                        EjectionError::UnknownWorker => StatusCode::NOT_FOUND,
                        EjectionError::Failed(_) => StatusCode::SERVICE_UNAVAILABLE,
                    };
                    plain_text(status, error.to_string())
                }
            }
        }
    }
}

fn plain_text(status: StatusCode, text: impl Into<String>) -> Response<Full<Bytes>> {
    let mut text = text.into();
    if !text.ends_with('\n') {
        text.push('\n');
    }
    let mut response = Response::new(Full::from(text));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

/// Serves operators' requests on a listener. Never returns.
pub async fn serve<D: OperatorInterface>(listener: TcpListener, operators: D) {
    let limit = ConnectionLimit::new(MAX_CONNECTIONS, CLIENT_TIMEOUTS);
    let mut listener = Listener::new(listener, limit);
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            (socket, permit) = listener.accept() => {
                connections.spawn(serve_connection(socket, permit, operators.clone()));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_connection<D: OperatorInterface>(socket: ClientSocket, permit: Permit, operators: D) {
    let request_permit = permit.clone();
    let service = service_fn(move |request| {
        let (service, permit) = (ConsoleService(operators.clone()), request_permit.clone());
        async move {
            match read_request(request).await {
                Ok(request) => {
                    // From here on an answer is pending, and new connections do not evict this one.
                    permit.request_received();
                    service.oneshot(request).await
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
