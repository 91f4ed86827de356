//! The client-side plug-in: a `tower` service of HTTP requests, for an RPC client to use in process. Beneath
//! it are the resolver and a subchannel for each log worker.

mod connection;
mod grpc;
mod lines;
mod list_stream;
mod report;
mod request;
pub mod resolver;
mod start_times;
mod stream;
mod subchannel;

use std::collections::{BTreeMap, BTreeSet};
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

use request::{BadRequest, Facts, Head, OpenId, OpenIds};
use resolver::{Failure, Order, Resolver, ResolverResult};
use rookspoke_config::{Config, ListSource, Target, Update};
use rookspoke_decisions::{
    Ban, ClassId, Discovery, Effect, ListScope, Listing, Name, Note, Outcome, Readiness, RequestId,
    SettingsError, Span, Time,
};
use rookspoke_dispatch::{
    request_span, Answer, Ask, CallAttempt, Clock, Core, Counters, Ended, Handle, Limits, Probed, Transport,
};
use rookspoke_wire::Vocabulary;
use start_times::StartTimes;
use subchannel::{lock, Call, Shared, Subchannel, NO_WATCH};

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
/// How often idle connections are looked through.
const SWEEP: Duration = Duration::from_secs(1);
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
            words: config.words.clone(),
            notes: Arc::new(move |request, attempt, note| {
                let notes = notes.clone();
                Box::pin(async move { notes.note(request, attempt, note).await })
            }),
            counters: handle.counters().clone(),
            room: Arc::new(Semaphore::new((sockets as f64 * WORKER_PART) as usize)),
            spare: Default::default(),
            connect_timeout: millis(config.connect_timeout_ms),
            max_idle: millis(config.conn_idle_ms * IDLE_PART),
            severed: std::sync::Mutex::default(),
            last_word: NO_WATCH.into(),
        });
        let (orders, inbox) = mpsc::channel(4);
        // The decisions spread their first call over seconds; a dispatcher that has just started is of no use
        // until its list is there.
        let _ = orders.try_send(Order::Watch);
        let (set_ready, ready) = watch::channel(false);
        let fleet = Fleet { shared, subchannels: Arc::default(), banned: Arc::default() };
        let transport = Subchannels { fleet: fleet.clone(), orders: orders.clone() };
        let (settings, seed) = (config.settings.clone(), config.seed);
        let core = core.run(settings, seed, clock, transport);
        tokio::spawn(fleet.clone().sweep());
        tokio::spawn(discover(config, handle.clone(), fleet.clone(), inbox, set_ready));
        let words = Arc::new(config.words.clone());
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
        self.counters().shutdown_answers.add();
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
        self.handle.knows(worker).await
    }

    /// Says all that operators have taken out by hand; nothing new goes there once this has ended.
    pub async fn ban(&self, bans: Arc<[Ban]>) {
        // The subchannels first: what is dialling already finds them shut.
        self.fleet.ban(&bans);
        self.handle.ban(bans).await;
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
    async fn read<B>(&self, request: Request<B>) -> Result<(Ask<Arc<Call>>, OpenId), BadRequest>
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
        Ok((Ask { class, tenant, key, tag, work, slots, memory, deadline, call, span }, open))
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
                    let answer = channel.advise(channel.handle.ask(ask).await);
                    channel.log_at_shutdown(&over.0.id, class, &answer);
                    match is_call {
                        true => grpc::respond(answer),
                        false => respond(answer),
                    }
                }
                Err(bad) => {
                    channel.counters().malformed.add();
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

/// Every subchannel, by the name of its log worker.
#[derive(Clone)]
struct Fleet {
    shared: Arc<Shared>,
    subchannels: Arc<std::sync::Mutex<BTreeMap<Name, Subchannel>>>,
    /// Taken out by hand, listed or not.
    banned: Arc<std::sync::Mutex<BTreeSet<Name>>>,
}

impl Fleet {
    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<Name, Subchannel>> {
        lock(&self.subchannels)
    }

    fn ban(&self, bans: &[Ban]) {
        let new: BTreeSet<Name> = bans.iter().map(|ban| ban.worker.clone()).collect();
        let mut banned = lock(&self.banned);
        self.lock().iter().for_each(|(name, subchannel)| subchannel.set_banned(new.contains(name)));
        *banned = new;
    }

    fn get(&self, name: &Name) -> Option<Subchannel> {
        self.lock().get(name).cloned()
    }

    /// Takes a list or its changes. What is gone or draining is shut for new work from this moment on,
    /// before the decisions hear of it.
    fn apply(&self, scope: ListScope, update: &Update) {
        let banned = lock(&self.banned);
        let mut subchannels = self.lock();
        if scope != ListScope::Changes {
            let named: BTreeSet<&str> = update.targets.iter().map(|t| t.uid.as_str()).collect();
            subchannels.retain(|name, subchannel| {
                subchannel.set_ready(false);
                named.contains(name.as_ref())
            });
        }
        for target in &update.targets {
            let listing = target.listing();
            if listing.readiness == Readiness::Gone {
                if let Some(gone) = subchannels.remove(&listing.worker) {
                    gone.set_ready(false);
                }
                continue;
            }
            let name = listing.worker;
            let new = || Subchannel::new(name.clone(), target.endpoint, self.shared.clone());
            let epoch = listing.started.map_or(0, |t| t.0 as u64);
            let ready = listing.readiness == Readiness::InService;
            let subchannel = subchannels.entry(name.clone()).or_insert_with(new);
            subchannel.set_banned(banned.contains(&name));
            subchannel.update(target.endpoint, ready, epoch);
        }
    }

    async fn sweep(self) {
        let mut ticks = tokio::time::interval(SWEEP);
        loop {
            ticks.tick().await;
            self.lock().values().for_each(Subchannel::sweep);
        }
    }
}

/// The core's transport over subchannels.
struct Subchannels {
    fleet: Fleet,
    orders: mpsc::Sender<Order>,
}

impl Subchannels {
    fn order(&self, order: Order) {
        // A full queue already holds an order that will ask again.
        let _ = self.orders.try_send(order);
    }
}

impl Transport for Subchannels {
    type Call = Arc<Call>;
    type Reply = Bytes;

    fn send(
        &mut self,
        attempt: CallAttempt<Arc<Call>>,
    ) -> impl Future<Output = Ended<Bytes>> + Send + 'static {
        let subchannel = self.fleet.get(&attempt.worker);
        async move {
            match subchannel {
                Some(mut subchannel) => {
                    let Ok(ended) = subchannel.call(attempt).await;
                    ended
                }
                None => Outcome::NotSent.into(),
            }
        }
    }

    fn probe(&mut self, worker: Name) -> impl Future<Output = Probed> + Send + 'static {
        let subchannel = self.fleet.get(&worker);
        async move {
            match subchannel {
                Some(subchannel) => subchannel.probe().await,
                None => Probed { outcome: Outcome::NotSent, load: None },
            }
        }
    }

    fn watch(&mut self) {
        self.order(Order::Watch);
    }

    fn fetch_list(&mut self) {
        self.order(Order::Fetch);
    }

    fn close_idle(&mut self, worker: &Name) {
        if let Some(subchannel) = self.fleet.get(worker) {
            subchannel.close_idle();
        }
    }
}

/// Feeds resolver results to subchannels and decisions. If discovery stays silent at the start, the list
/// last known has to do.
fn discover(
    config: &Config,
    handle: Handle<Arc<Call>, Bytes>,
    fleet: Fleet,
    orders: mpsc::Receiver<Order>,
    ready: watch::Sender<bool>,
) -> impl Future<Output = ()> + Send + 'static {
    let known = config.known.clone();
    let pushed = config.settings.discovery == Discovery::Automatic;
    let resolver = Resolver::new(config.source.clone(), known.as_ref().map(|k| k.rev), pushed);
    let clock = fleet.shared.clock;
    let ready = Arc::new(ready);
    async move {
        // Without any list, too, the decisions must hear of their start: they ask for lists from then on.
        let start_times = Arc::new(std::sync::Mutex::new(StartTimes::default()));
        let entries = known.as_ref().map(|known| {
            fleet.apply(ListScope::Remembered, known);
            listings(&start_times, ListScope::Remembered, known, clock.now())
        });
        handle.list(ListScope::Remembered, entries.unwrap_or_default()).await;
        if known.is_some() {
            let ready = ready.clone();
            tokio::spawn(async move {
                tokio::time::sleep(PATIENCE).await;
                ready.send_replace(true);
            });
        }
        let tell = |result| {
            let (handle, fleet, ready) = (handle.clone(), fleet.clone(), ready.clone());
            let start_times = start_times.clone();
            async move {
                match result {
                    ResolverResult::Word(at) => {
                        let word = at.map_or(NO_WATCH, |at| clock.at(at).0);
                        fleet.shared.last_word.store(word, Ordering::Release);
                    }
                    ResolverResult::Update(scope, update) => {
                        fleet.apply(scope, &update);
                        let entries = listings(&start_times, scope, &update, clock.now());
                        handle.list(scope, entries).await;
                        ready.send_replace(true);
                    }
                    ResolverResult::Failed(failure) => {
                        if failure == Failure::Unusable {
                            handle.counters().lists_unusable.add();
                        }
                        handle.list(ListScope::Failed, Arc::new([])).await;
                    }
                    ResolverResult::Moved => handle.list(ListScope::Moved, Arc::new([])).await,
                    ResolverResult::Silent(since) => {
                        let since = clock.at(since);
                        handle.list(ListScope::Silent { since }, Arc::new([])).await;
                    }
                }
            }
        };
        resolver.run(orders, tell).await;
    }
}

/// A list's entries, as the decisions take them.
fn listings(
    start_times: &std::sync::Mutex<StartTimes>,
    scope: ListScope,
    update: &Update,
    now: Time,
) -> Arc<[Listing]> {
    let mut entries: Vec<Listing> = update.targets.iter().map(Target::listing).collect();
    lock(start_times).correct(scope, &mut entries, now);
    entries.into()
}

/// How long discovery may stay silent at the start before the list last known counts as the first.
const PATIENCE: Duration = Duration::from_secs(1);
