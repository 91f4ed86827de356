//! The client-side plug-in: a `tower` service over HTTP requests that an RPC client uses in process. A
//! resolver follows service discovery, and a subchannel leads to each log worker.

mod body;
mod connection;
mod fleet;
mod grpc;
mod lines;
mod list_stream;
mod membership;
mod report;
mod request;
mod request_ids;
pub mod resolver;
mod result;
mod start_times;
mod stream;
mod subchannel;

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes};
use futures_util::future::BoxFuture;
use http::{header, HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body::Body;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use tokio::sync::{mpsc, watch, Semaphore};
use tower::Service;

use body::BodyError;
use fleet::{Fleet, SubchannelTransport};
use membership::discover;
use request::{BadRequest, Facts, RequestHead};
use request_ids::{OpenRequest, RequestIds};
use resolver::Command;
use rookspoke_config::{Config, ListSource};
use rookspoke_decisions::{AttemptUpdate, Ban, ClassId, Effect, RequestId, SettingsError, Span, Time};
use rookspoke_dispatch::{request_span, Answer, Clock, Core, Counters, Handle, Limits, Submission};
use rookspoke_memory::PeerMemory;
use rookspoke_wire::Vocabulary;
use subchannel::{Call, Shared, Subchannel, NO_WATCH};

/// Upper bound of any request or response body, in bytes.
pub const MAX_BODY: usize = 64 * 1024;
const STATS: &str = "/stats";
/// Upper bound of the buffer of one connection, which holds a message head or a part of a body. It is small
/// because a thousand connections must fit in memory.
pub const MAX_BUFFER: usize = 16 * 1024;
/// Upper bound of the read buffer of a connection to a log worker, which holds the head of an answer or a piece of it: the
/// least that the HTTP library takes.
const MAX_READ_BUFFER: usize = 8 * 1024;
/// Time limit for receiving a request body. A client that stops in the middle of its request must get its
/// error within 3 s.
const BODY_TIMEOUT: Duration = Duration::from_millis(2500);
/// Fraction of the file descriptors used for connections to log workers. Client connections need more, and a
/// few descriptors stay spare.
const WORKER_SOCKET_FRACTION: f64 = 0.42;
/// The same fraction while the descriptors are shared with another process.
const SHARED_WORKER_SOCKET_FRACTION: f64 = 0.22;
/// Idle connections are closed after this fraction of the log workers' idle timeout, which is seconds before
/// a log worker closes them.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;
/// `Retry-After` of a refusal for which the dispatcher gives no value of its own.
const DEFAULT_RETRY_AFTER: Span = Span(250_000);

/// Header names of the platform's protocol.
pub mod headers {
    /// Identifies a request; a client uses a new id for each retry.
    pub const ID: &str = "x-correlation-id";
    /// The request's class.
    pub const CLASS: &str = "x-service-class";
    /// The time the client is willing to wait, in whole milliseconds.
    pub const TIME_LEFT: &str = "x-time-left-ms";
    /// The tenant's account, by its name in the settings.
    pub const ACCOUNT: &str = "x-account";
    /// Identifies a keyed request; all retries of it carry the same value.
    pub const KEY: &str = "idempotency-key";
    /// The client's estimate of the request's work, in microseconds.
    pub const WEIGHT_HINT: &str = "x-weight-hint";
    /// Resource needs of a request, as `name=value` pairs.
    pub const FACTS: &str = "x-facts";
    /// The load report of a log worker.
    pub const LOAD: &str = "x-backend-load";
    /// Set by a log worker on a response to a request that it did not process.
    pub const UNPROCESSED: &str = "x-unprocessed";
}

/// The body type of every response of the channel.
pub type ResponseBody = BoxBody<Bytes, Infallible>;

type ProgressSink = Arc<dyn Fn(RequestId, usize, AttemptUpdate) -> BoxFuture<'static, ()> + Send + Sync>;

/// Time limits for requests that arrive after a shutdown has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownLimits {
    /// A body that is not complete by then is given up.
    pub body_deadline: Instant,
    /// Every request is answered by then.
    pub answer_deadline: Instant,
}

/// Accepts requests and gives each exactly one answer. Clones share one dispatcher task.
#[derive(Clone)]
pub struct Channel {
    handle: Handle<Arc<Call>, Bytes>,
    vocabulary: Arc<Vocabulary>,
    clock: Clock,
    ready: watch::Receiver<bool>,
    commands: mpsc::Sender<Command>,
    request_ids: RequestIds,
    /// `Retry-After` of refusals for which the dispatcher gives no value; `None` where clients get no such
    /// advice.
    default_retry_after: Option<Span>,
    /// The time limits in effect; `None` until a shutdown begins.
    shutdown: watch::Sender<Option<ShutdownLimits>>,
    /// How far the requests of each class may be repeated, indexed by class.
    effects: Arc<[Effect]>,
    fleet: Fleet,
    sockets: usize,
    memory: PeerMemory,
}

/// Extension of a response whose request was not read to its end: the connection has to close after it.
#[derive(Clone, Copy, Debug)]
pub struct BodyUnread;

impl Channel {
    /// Starts the channel's tasks on the current runtime, with memory budgets of its own. The returned future drives
    /// the dispatcher: it ends once every clone of the channel is dropped, or with an error.
    pub fn start(
        config: &Config,
    ) -> (Self, impl Future<Output = Result<(), SettingsError>> + Send + 'static) {
        Self::start_within(config, PeerMemory::new(config.limits.memory_bytes()))
    }

    /// Like [`Channel::start`], with memory budgets that are shared with other parts of the process.
    pub fn start_within(
        config: &Config,
        memory: PeerMemory,
    ) -> (Self, impl Future<Output = Result<(), SettingsError>> + Send + 'static) {
        let clock = Clock::start();
        let sockets = config.limits.sockets;
        let worker_connections = worker_connections(sockets, &memory);
        let limits = Limits { queue: 4 * sockets, open_requests: sockets * 2 / 5 };
        let (handle, core) = Core::new(limits, config.settings.classes.iter().map(|class| &class.name));
        let progress_handle = handle.clone();
        let shared = Arc::new(Shared {
            clock,
            vocabulary: config.vocabulary.clone(),
            progress: Arc::new(move |request, attempt, update| {
                let handle = progress_handle.clone();
                Box::pin(async move { handle.report_progress(request, attempt, update).await })
            }),
            counters: handle.counters().clone(),
            permits: Arc::new(Semaphore::new(worker_connections)),
            reserved_permits: Default::default(),
            connect_timeout: millis(config.connect_timeout_ms),
            answers: memory.answers.clone(),
            max_idle: millis(config.conn_idle_ms * IDLE_TIMEOUT_FRACTION),
            stale_connection_at: std::sync::Mutex::default(),
            last_watch_message: NO_WATCH.into(),
            subchannels: std::sync::OnceLock::new(),
            list_unreadable: false.into(),
        });
        let (commands, command_receiver) = mpsc::channel(4);
        // Requests the list at once: the dispatcher spreads its first call over seconds, and a newly started
        // process cannot serve before it has a list.
        let _ = commands.try_send(Command::Watch);
        let (set_ready, ready) = watch::channel(false);
        let fleet = Fleet::new(shared);
        let transport = SubchannelTransport { fleet: fleet.clone(), commands: commands.clone() };
        let (settings, seed) = (config.settings.clone(), config.seed);
        let core = core.run(settings, seed, clock, transport);
        tokio::spawn(fleet.clone().sweep());
        tokio::spawn(discover(config, handle.clone(), fleet.clone(), command_receiver, set_ready));
        let vocabulary = Arc::new(config.vocabulary.clone());
        let limits = &config.settings.limits;
        let default_retry_after = limits.retry_after.then(|| DEFAULT_RETRY_AFTER.min(limits.max_retry_after));
        let request_ids = RequestIds::default();
        let shutdown = watch::Sender::new(None);
        let effects = config.settings.classes.iter().map(|class| class.effect).collect();
        (
            Channel {
                handle,
                vocabulary,
                clock,
                ready,
                commands,
                request_ids,
                default_retry_after,
                shutdown,
                effects,
                fleet,
                sockets,
                memory,
            },
            core,
        )
    }

    /// Fills in the default `Retry-After` of a refusal, or removes the value where clients get no such
    /// advice.
    fn with_retry_advice(&self, answer: Answer<Bytes>) -> Answer<Bytes> {
        match answer {
            Answer::Refused { retry_after } => Answer::Refused {
                retry_after: self.default_retry_after.map(|default| retry_after.unwrap_or(default)),
            },
            answer => answer,
        }
    }

    /// Logs and counts an answer that is given after a shutdown has begun.
    fn log_at_shutdown(&self, id: &HeaderValue, class: ClassId, answer: &Answer<Bytes>) {
        let Some(limits) = *self.shutdown.borrow() else { return };
        let answer = match answer {
            Answer::Served(_) => "served",
            Answer::Refused { .. } => "refused",
            Answer::Failed => "failed",
        };
        self.counters().shutdown_answers.increment();
        let class = self.vocabulary.classes[class.0].as_ref();
        let left_ms = limits.answer_deadline.saturating_duration_since(Instant::now()).as_millis() as u64;
        tracing::info!(id = id.to_str().unwrap_or_default(), class, left_ms, "shutdown: request {answer}");
    }

    /// Follows another source of the list of log workers from now on. Requests in flight go on, and
    /// connections to log workers that the new list still contains stay open.
    pub async fn set_list_source(&self, source: ListSource) {
        // The send cannot fail: the resolver lives as long as the channel's own tasks.
        let _ = self.commands.send(Command::SetSource(source)).await;
    }

    /// Whether the log worker is listed or banned by an operator.
    pub async fn is_known(&self, worker: &str) -> bool {
        self.handle.is_known(worker).await
    }

    /// Replaces the set of operator bans. Once this future completes, no new request is sent to a banned log
    /// worker.
    pub async fn set_bans(&self, bans: Arc<[Ban]>) {
        // The subchannels come first, so that an attempt that is still connecting finds the ban before it
        // sends.
        self.fleet.set_bans(&bans);
        self.handle.set_bans(bans).await;
    }

    /// Leaves room for another process that shares the descriptors: `reserved` of them are set aside for uses
    /// other than connections, and the channel takes a smaller fraction of the rest. `None` ends the sharing.
    /// Entering it closes idle connections; those in use stay open.
    pub fn reserve_sockets(&self, reserved: Option<usize>) {
        let total = worker_connections(self.sockets, &self.memory);
        let usable = reserved.map_or(total, |reserved| {
            let sockets = scaled(self.sockets.saturating_sub(reserved), SHARED_WORKER_SOCKET_FRACTION);
            sockets.min(self.memory.plan(2).connections.workers).max(8)
        });
        self.fleet.shared.reserved_permits.store(total.saturating_sub(usable), Ordering::Relaxed);
        if reserved.is_some() {
            self.fleet.lock().values().for_each(Subchannel::close_idle);
        }
    }

    /// Shares the ids of requests that must not run twice with the other processes of the dispatcher, through files in
    /// this directory. Such an id is known there while clients may send it again.
    ///
    /// # Errors
    /// The files cannot be opened.
    pub fn share_ids_in(&self, directory: &Path) -> io::Result<()> {
        self.request_ids.share_in(directory)
    }

    /// Applies the time limits of a shutdown to requests that arrive from now on.
    pub fn begin_shutdown(&self, limits: ShutdownLimits) {
        self.shutdown.send_replace(Some(limits));
    }

    /// Completes when the time limit for request bodies has passed.
    async fn body_deadline_reached(&self) {
        let mut shutdown = self.shutdown.subscribe();
        // The sender lives as long as `self`, so the wait cannot fail.
        let limits = shutdown.wait_for(Option::is_some).await.ok().and_then(|limits| *limits);
        let cut_off = limits.map_or(Instant::now(), |limits| limits.body_deadline);
        tokio::time::sleep_until(cut_off.into()).await;
    }

    /// The current time on the dispatcher's clock, which starts at Unix time and is monotonic from then on.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Waits for the first list of log workers.
    pub async fn ready(&self) {
        // The sender lives as long as the channel's own tasks, so the wait cannot fail.
        let _ = self.ready.clone().wait_for(|ready| *ready).await;
    }

    /// Whether a first list of log workers has arrived.
    pub fn is_ready(&self) -> bool {
        *self.ready.borrow()
    }

    /// The memory budgets of this channel.
    pub fn memory(&self) -> &PeerMemory {
        &self.memory
    }

    /// The running totals of this channel.
    pub fn counters(&self) -> &Arc<Counters> {
        self.handle.counters()
    }

    /// Validates a request's head, reads its body and registers its id as open.
    async fn parse<B>(&self, request: Request<B>) -> Result<(Submission<Arc<Call>>, OpenRequest), BadRequest>
    where
        B: Body,
        B::Data: Buf,
    {
        let (parts, body) = request.into_parts();
        let mut reservation = self.memory.requests.incoming();
        let header_bytes = body::header_bytes(&parts.headers);
        let head = RequestHead::read(&parts, &self.vocabulary)?;
        let RequestHead { class, key, id, time_left, tenant, work, facts, uri } = head;
        reservation.grow(header_bytes).map_err(|_| BadRequest::OutOfMemory(class))?;
        // A body whose announced length is over the limit is not read at all.
        if body.size_hint().lower() > MAX_BODY as u64 {
            return Err(BadRequest::BodyTooLong);
        }
        let body = std::pin::pin!(body);
        let body = tokio::select! {
            // A complete body takes precedence over an expired timer.
            biased;
            body = body::collect(body, header_bytes, &mut reservation) => body,
            () = tokio::time::sleep(BODY_TIMEOUT) => return Err(BadRequest::BodyTimeout),
            () = self.body_deadline_reached() => return Err(BadRequest::BodyTimeout),
        };
        let body = body.map_err(|error| match error {
            BodyError::TooLong => BadRequest::BodyTooLong,
            BodyError::Interrupted => BadRequest::BodyInterrupted,
            BodyError::OutOfMemory => BadRequest::OutOfMemory(class),
        })?;
        reservation.set_incomplete(false);
        // The client's time limit counts from the last byte of the request, which has arrived now.
        let deadline = self.clock.now() + time_left;
        let answer_deadline = self.shutdown.borrow().map(|limits| self.clock.at(limits.answer_deadline));
        let deadline = answer_deadline.map_or(deadline, |answer_deadline| deadline.min(answer_deadline));
        let body = if grpc::is_call(&parts.headers) { grpc::unframe(body)? } else { body };
        let effect = self.effects[class.0];
        let at_most_once = effect == Effect::Unsafe;
        let open = self.request_ids.open(&id, at_most_once)?;
        let mut headers = parts.headers;
        remove_hop_by_hop(&mut headers);
        let class_name = self.vocabulary.classes[class.0].as_ref();
        let span = request_span(id.to_str().unwrap_or_default(), class_name);
        let idempotency_hash = if let Effect::Keyed { .. } = effect {
            request::idempotency_hash(&headers, class)?
        } else {
            None
        };
        let method = parts.method;
        let call = Arc::new(Call {
            method,
            uri,
            headers,
            id,
            body,
            at_most_once,
            state: open.state().clone(),
            _reservation: reservation,
        });
        let Facts { slots, memory } = facts;
        Ok((
            Submission {
                class,
                tenant,
                queue: None,
                key,
                idempotency_hash,
                work,
                slots,
                memory,
                deadline,
                call,
                span,
            },
            open,
        ))
    }
}

impl<B> Service<Request<B>> for Channel
where
    B: Body + Send + 'static,
    B::Data: Buf + Send,
    B::Error: Send,
{
    type Response = Response<ResponseBody>;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, _: &mut Context) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<B>) -> Self::Future {
        let channel = self.clone();
        Box::pin(async move {
            let is_call = grpc::is_call(request.headers());
            Ok(match channel.parse(request).await {
                Ok((submission, _open)) => {
                    let (class, id) = (submission.class, submission.call.id.clone());
                    let answer = channel.with_retry_advice(channel.handle.submit(submission).await);
                    channel.log_at_shutdown(&id, class, &answer);
                    match is_call {
                        true => grpc::respond(answer),
                        false => respond(answer),
                    }
                }
                Err(bad) => {
                    let mut response = channel.reject(&bad, is_call);
                    if bad.leaves_body_unread() {
                        response.extensions_mut().insert(BodyUnread);
                    }
                    response
                }
            })
        })
    }
}

impl Channel {
    /// Counts a request that was not accepted, and answers it.
    fn reject(&self, bad: &BadRequest, is_call: bool) -> Response<ResponseBody> {
        tracing::debug!("request rejected: {bad}");
        if let BadRequest::OutOfMemory(class) = bad {
            let refused = self.with_retry_advice(self.counters().refuse_for_memory(*class));
            return match is_call {
                true => grpc::respond(refused),
                false => respond(refused),
            };
        }
        self.counters().malformed.increment();
        match is_call {
            true => grpc::reject(bad),
            false => plain_response(bad.status(), bad.to_string()),
        }
    }
}

/// Maximum number of connections to log workers that descriptors and memory allow.
fn worker_connections(sockets: usize, memory: &PeerMemory) -> usize {
    scaled(sockets, WORKER_SOCKET_FRACTION).min(memory.plan(1).connections.workers)
}

fn scaled(sockets: usize, fraction: f64) -> usize {
    (sockets as f64 * fraction) as usize
}

/// A response with a short text body, made by the channel itself.
pub fn plain_response(status: StatusCode, text: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut response = Response::new(Full::new(text.into()).boxed());
    *response.status_mut() = status;
    response
}

fn respond(answer: Answer<Bytes>) -> Response<ResponseBody> {
    match answer {
        Answer::Served(result) => Response::new(Full::new(result).boxed()),
        Answer::Refused { retry_after } => {
            let mut response = plain_response(StatusCode::SERVICE_UNAVAILABLE, "unavailable");
            if let Some(span) = retry_after {
                let seconds = HeaderValue::from_str(&span.secs().to_string());
                response
                    .headers_mut()
                    .insert(header::RETRY_AFTER, seconds.expect("a number is a valid header value"));
            }
            response
        }
        Answer::Failed => plain_response(StatusCode::INTERNAL_SERVER_ERROR, "failed"),
    }
}

/// Removes the hop-by-hop headers and the length, which the connection to the log worker sets itself.
fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    named.iter().for_each(|name| drop(headers.remove(name.as_str())));
    for name in [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::TRANSFER_ENCODING,
        header::TE,
        header::TRAILER,
        header::UPGRADE,
    ] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1000.0)
}
