//! The client-side plug-in: a `tower` service of HTTP requests, for an RPC client to use in process. Beneath
//! it are the resolver and a subchannel for each log worker.

mod connection;
mod fleet;
mod grpc;
mod lines;
mod list_stream;
mod membership;
mod report;
mod request;
pub mod resolver;
mod start_times;
mod stream;
mod subchannel;

use std::convert::Infallible;
use std::future::Future;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes};
use futures_util::future::BoxFuture;
use http::{header, HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body::Body;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use tokio::sync::{mpsc, watch, Semaphore};
use tower::Service;

use fleet::{Fleet, Subchannels};
use membership::discover;
use request::{BadRequest, Facts, Head, OpenId, OpenIds};
use resolver::Order;
use rookspoke_config::{Config, ListSource};
use rookspoke_decisions::{Ban, ClassId, Effect, Note, RequestId, SettingsError, Span, Time};
use rookspoke_dispatch::{request_span, Answer, Clock, Core, Counters, Handle, Limits, Submission};
use rookspoke_wire::Vocabulary;
use subchannel::{Call, Shared, Subchannel, NO_WATCH};

/// The most that a body holds, on any side.
pub const MAX_BODY: usize = 64 * 1024;
const STATS: &str = "/stats";
/// What a connection holds of a head, and of a body at a time: a thousand connections must fit in memory.
pub const MAX_BUFFER: usize = 16 * 1024;
/// A request whose body takes longer than this to come is given up: a client that stops in the middle of a request is
/// owed its error within 3 s.
const BODY_TIMEOUT: Duration = Duration::from_millis(2500);
/// Connections to log workers, as a part of the descriptors: clients need more, and a few are spare.
const WORKER_PART: f64 = 0.42;
/// The same of what is shared with another process.
const SHARED_WORKER_PART: f64 = 0.22;
/// Idle connections live for this part of the time that log workers leave them: short of it by seconds.
const IDLE_PART: f64 = 0.7;
/// A client told nothing else by the decisions is asked to keep away for this long.
const COME_BACK: Span = Span(250_000);

/// The headers of the platform's protocol.
pub mod headers {
    /// Names a request, anew for each try.
    pub const ID: &str = "x-correlation-id";
    /// The class.
    pub const CLASS: &str = "x-service-class";
    /// How long the client waits, in whole milliseconds.
    pub const TIME_LEFT: &str = "x-time-left-ms";
    /// The tenant, as the settings name it.
    pub const ACCOUNT: &str = "x-account";
    /// What all tries of a keyed request share.
    pub const KEY: &str = "idempotency-key";
    /// A client's guess at a request's work, in microseconds.
    pub const WEIGHT_HINT: &str = "x-weight-hint";
    /// Further figures of a request.
    pub const FACTS: &str = "x-facts";
    /// A log worker's load.
    pub const LOAD: &str = "x-backend-load";
    /// A log worker never looked at the request.
    pub const UNPROCESSED: &str = "x-unprocessed";
}

/// The body of an answer.
pub type ResponseBody = BoxBody<Bytes, Infallible>;

type Notes = Arc<dyn Fn(RequestId, usize, Note) -> BoxFuture<'static, ()> + Send + Sync>;

/// What a shutdown allows to requests that are taken after it was announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownLimits {
    /// A body that is not whole by then is given up.
    pub body_by: Instant,
    /// Every request has its answer by then.
    pub answer_by: Instant,
}

/// Takes requests and answers each once; clones share one core.
#[derive(Clone)]
pub struct Channel {
    handle: Handle<Arc<Call>, Bytes>,
    words: Arc<Vocabulary>,
    clock: Clock,
    ready: watch::Receiver<bool>,
    orders: mpsc::Sender<Order>,
    open_ids: OpenIds,
    /// What a refused client is told, where the decisions say nothing else; none where it hears no advice.
    come_back: Option<Span>,
    /// By when what is taken must be over, once a shutdown has begun.
    shutdown: watch::Sender<Option<ShutdownLimits>>,
    /// For each class, how far its requests may be repeated.
    effects: Arc<[Effect]>,
    fleet: Fleet,
    sockets: usize,
}

impl Channel {
    /// Starts a channel's tasks on the current runtime. The returned future is the core's: it ends only when
    /// every clone of the channel is gone, or by a fault.
    pub fn start(
        config: &Config,
    ) -> (Self, impl Future<Output = Result<(), SettingsError>> + Send + 'static) {
        let clock = Clock::start();
        let sockets = config.limits.sockets;
        let limits = Limits { queue: 4 * sockets, open_requests: sockets * 2 / 5 };
        let (handle, core) = Core::new(limits, config.settings.classes.iter().map(|class| &class.name));
        let notes = handle.clone();
        let shared = Arc::new(Shared {
            clock,
            words: config.vocabulary.clone(),
            notes: Arc::new(move |request, attempt, note| {
                let notes = notes.clone();
                Box::pin(async move { notes.report_progress(request, attempt, note).await })
            }),
            counters: handle.counters().clone(),
            room: Arc::new(Semaphore::new((sockets as f64 * WORKER_PART) as usize)),
            spare: Default::default(),
            connect_timeout: millis(config.connect_timeout_ms),
            max_idle: millis(config.conn_idle_ms * IDLE_PART),
            severed: std::sync::Mutex::default(),
            last_word: NO_WATCH.into(),
            subchannels: std::sync::OnceLock::new(),
            list_unread: false.into(),
        });
        let (orders, inbox) = mpsc::channel(4);
        // The decisions spread their first call over seconds; a dispatcher that has just started is of no use
        // until its list is there.
        let _ = orders.try_send(Order::Watch);
        let (set_ready, ready) = watch::channel(false);
        let fleet = Fleet::new(shared);
        let transport = Subchannels { fleet: fleet.clone(), orders: orders.clone() };
        let (settings, seed) = (config.settings.clone(), config.seed);
        let core = core.run(settings, seed, clock, transport);
        tokio::spawn(fleet.clone().sweep());
        tokio::spawn(discover(config, handle.clone(), fleet.clone(), inbox, set_ready));
        let words = Arc::new(config.vocabulary.clone());
        let limits = &config.settings.limits;
        let come_back = limits.retry_after.then(|| COME_BACK.min(limits.max_retry_after));
        let open_ids = OpenIds::default();
        let shutdown = watch::Sender::new(None);
        let effects = config.settings.classes.iter().map(|class| class.effect).collect();
        (
            Channel {
                handle,
                words,
                clock,
                ready,
                orders,
                open_ids,
                come_back,
                shutdown,
                effects,
                fleet,
                sockets,
            },
            core,
        )
    }

    /// Adds to a refusal when to come back.
    fn advise(&self, answer: Answer<Bytes>) -> Answer<Bytes> {
        match answer {
            Answer::Refused { retry_after } => {
                Answer::Refused { retry_after: self.come_back.map(|usual| retry_after.unwrap_or(usual)) }
            }
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
        let class = self.words.classes[class.0].as_ref();
        let left_ms = limits.answer_by.saturating_duration_since(Instant::now()).as_millis() as u64;
        tracing::info!(
            id = id.to_str().unwrap_or_default(),
            class,
            left_ms,
            "shutdown: a request is {answer}"
        );
    }

    /// Takes the list of log workers from elsewhere from now on. Nothing else changes: what is under way goes
    /// on, and so do connections to log workers that the new list still holds.
    pub async fn take_list_from(&self, source: ListSource) {
        // The resolver lives as long as the channel's own tasks.
        let _ = self.orders.send(Order::Move(source)).await;
    }

    /// Whether a log worker is listed, or taken out by hand.
    pub async fn knows(&self, worker: &str) -> bool {
        self.handle.is_known(worker).await
    }

    /// Says all that operators have taken out by hand; nothing new goes there once this has ended.
    pub async fn ban(&self, bans: Arc<[Ban]>) {
        // The subchannels first: what is dialling already finds them shut.
        self.fleet.ban(&bans);
        self.handle.set_bans(bans).await;
    }

    /// Shares its descriptors, less so many, with another process from now on; or with none. Connections that are
    /// idle are closed, those in use go on.
    pub fn share(&self, apart: Option<usize>) {
        let of = |sockets: usize, part: f64| (sockets as f64 * part) as usize;
        let all = of(self.sockets, WORKER_PART);
        let usable =
            apart.map_or(all, |apart| of(self.sockets.saturating_sub(apart), SHARED_WORKER_PART).max(8));
        self.fleet.shared.spare.store(all.saturating_sub(usable), Ordering::Relaxed);
        if apart.is_some() {
            self.fleet.lock().values().for_each(Subchannel::close_idle);
        }
    }

    /// Holds what is taken from now on to the limits of a shutdown.
    pub fn begin_shutdown(&self, limits: ShutdownLimits) {
        self.shutdown.send_replace(Some(limits));
    }

    /// Ends when bodies are waited for no longer.
    async fn bodies_are_cut_off(&self) {
        let mut shutdown = self.shutdown.subscribe();
        // The sender lives as long as `self`.
        let limits = shutdown.wait_for(Option::is_some).await.ok().and_then(|limits| *limits);
        let cut_off = limits.map_or(Instant::now(), |limits| limits.body_by);
        tokio::time::sleep_until(cut_off.into()).await;
    }

    /// The present moment on the decisions' clock: Unix time at the start, and from then on monotonic.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Waits until there is a first list of log workers.
    pub async fn ready(&self) {
        // The sender lives as long as the channel's own tasks.
        let _ = self.ready.clone().wait_for(|ready| *ready).await;
    }

    /// Whether there is a first list of log workers.
    pub fn is_ready(&self) -> bool {
        *self.ready.borrow()
    }

    /// The running totals.
    pub fn counters(&self) -> &Arc<Counters> {
        self.handle.counters()
    }

    /// Judges a request, reads its body, and opens its id.
    async fn read<B>(&self, request: Request<B>) -> Result<(Submission<Arc<Call>>, OpenId), BadRequest>
    where
        B: Body,
        B::Data: Buf,
        B::Error: Into<tower::BoxError>,
    {
        let (parts, body) = request.into_parts();
        let Head { class, key, id, time_left, tenant, work, facts, uri } = Head::read(&parts, &self.words)?;
        // A body that says beforehand that it is too long is not waited for.
        if body.size_hint().lower() > MAX_BODY as u64 {
            return Err(BadRequest::TooLong);
        }
        let body = tokio::select! {
            // What is here goes first.
            biased;
            body = Limited::new(body, MAX_BODY).collect() => body,
            () = tokio::time::sleep(BODY_TIMEOUT) => return Err(BadRequest::TooSlow),
            () = self.bodies_are_cut_off() => return Err(BadRequest::TooSlow),
        };
        let body = body.map_err(|e| match e.is::<LengthLimitError>() {
            true => BadRequest::TooLong,
            false => BadRequest::Broken,
        })?;
        // The client's time counts from the request's last byte, which is here now.
        let deadline = self.clock.now() + time_left;
        let answer_by = self.shutdown.borrow().map(|limits| self.clock.at(limits.answer_by));
        let deadline = answer_by.map_or(deadline, |answer_by| deadline.min(answer_by));
        let body = body.to_bytes();
        let body = if grpc::is_call(&parts.headers) { grpc::unframe(body)? } else { body };
        let open = self.open_ids.open(&id)?;
        let mut headers = parts.headers;
        remove_hop_by_hop(&mut headers);
        let class_name = self.words.classes[class.0].as_ref();
        let span = request_span(id.to_str().unwrap_or_default(), class_name);
        let effect = self.effects[class.0];
        let tag = if let Effect::Keyed { .. } = effect { request::tag(&headers, class)? } else { None };
        let (once, over) = (effect == Effect::Unsafe, false.into());
        let call = Arc::new(Call { method: parts.method, uri, headers, id, body, once, over });
        let Facts { slots, memory } = facts;
        Ok((
            Submission {
                class,
                tenant,
                key,
                idempotency_hash: tag,
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
    B::Error: Into<tower::BoxError>,
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
            Ok(match channel.read(request).await {
                Ok((ask, _open)) => {
                    let over = Over(ask.call.clone());
                    let class = ask.class;
                    let answer = channel.advise(channel.handle.submit(ask).await);
                    channel.log_at_shutdown(&over.0.id, class, &answer);
                    match is_call {
                        true => grpc::respond(answer),
                        false => respond(answer),
                    }
                }
                Err(bad) => {
                    channel.counters().malformed.increment();
                    tracing::debug!("a request is turned down: {bad}");
                    match is_call {
                        true => grpc::turn_down(&bad),
                        false => plain(bad.status(), bad.to_string()),
                    }
                }
            })
        })
    }
}

/// Marks a call as over when dropped: its answer is there, or whoever asked has left. At once, and past all queues:
/// an attempt that is just coming to its send finds it so.
struct Over(Arc<Call>);

impl Drop for Over {
    fn drop(&mut self) {
        self.0.over.store(true, Ordering::Release);
    }
}

/// A short answer of the channel's own.
pub fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut response = Response::new(Full::new(text.into()).boxed());
    *response.status_mut() = status;
    response
}

fn respond(answer: Answer<Bytes>) -> Response<ResponseBody> {
    match answer {
        Answer::Served(result) => Response::new(Full::new(result).boxed()),
        Answer::Refused { retry_after } => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "unavailable");
            if let Some(span) = retry_after {
                let seconds = HeaderValue::from_str(&span.secs().to_string());
                response.headers_mut().insert(header::RETRY_AFTER, seconds.expect("a number is plain text"));
            }
            response
        }
        Answer::Failed => plain(StatusCode::INTERNAL_SERVER_ERROR, "failed"),
    }
}

/// Takes out what speaks of one connection alone, and the length, which the connection to the log worker
/// words itself.
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
