//! A subchannel: the way to one log worker, with its idle connections and its job answers.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError, Weak};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{header, HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use rustc_hash::FxHashMap;
use serde::Deserialize;
use serde_json::value::RawValue;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

use super::connection::{Broke, Connection};
use super::lines::Lines;
use super::{headers, report, Notes};
use rookspoke_decisions::{LoadReport, Name, Note, Outcome, Time, TOLD_WITHIN};
use rookspoke_dispatch::{AttemptResult, CallAttempt, Clock, Counters, ProbeResult};
use rookspoke_wire::Vocabulary;

/// Idle connections kept to one log worker.
const MAX_IDLE: usize = 16;
/// A probe unanswered for this long has failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// What follows the object that ends an attempt is read for this long, so that the connection can be kept.
const TAIL_TIMEOUT: Duration = Duration::from_millis(500);
/// A log worker not heard of for this long may have vanished with its machine: what is written to a kept
/// connection then hangs to its deadline, while a new connection fails at once and proves that nothing ran.
const UNHEARD: Duration = Duration::from_millis(1500);
/// After a kept connection broke under a request, those that must not run twice go over new ones for this long.
const DISTRUST: Duration = Duration::from_secs(30);

/// What of a request goes to a log worker, as it came.
#[derive(Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The headers that go on.
    pub headers: HeaderMap,
    /// `X-Correlation-Id`, which every object of the answer repeats.
    pub id: HeaderValue,
    /// The body.
    pub body: Bytes,
    /// It must never run twice: once written, it can go nowhere else.
    pub once: bool,
    /// Nobody waits for its answer any more: the client has it, or has left.
    pub over: AtomicBool,
}

/// What all subchannels share.
pub struct Shared {
    pub clock: Clock,
    pub words: Vocabulary,
    pub notes: Notes,
    pub counters: Arc<Counters>,
    /// Every connection to a log worker holds a permit.
    pub room: Arc<Semaphore>,
    /// Permits that are not to be used now.
    pub spare: AtomicUsize,
    pub connect_timeout: Duration,
    /// Connections idle for this long are closed: long before their log worker does it.
    pub max_idle: Duration,
    /// When a kept connection last broke under a request, to whichever log worker: what closes them stands
    /// before them all.
    pub severed: Mutex<Option<Instant>>,
    /// The last word of the watch that is open, in the clock's microseconds; see [`Shared::list_holds`].
    pub last_word: AtomicI64,
    /// All subchannels, of which the oldest idle connection makes room for a new one.
    pub subchannels: OnceLock<Weak<Mutex<FxHashMap<Name, Subchannel>>>>,
    /// Something was told of the list that could not be read, and no list was read since.
    pub list_unread: AtomicBool,
}

/// No watch is open: how long the list holds then, the decisions know.
pub const NO_WATCH: i64 = i64::MAX;

impl Shared {
    /// Room for one more connection, if need be in the place of the one that has been idle for longest.
    fn take_room(&self) -> Option<OwnedSemaphorePermit> {
        self.free_room().or_else(|| {
            self.close_oldest_idle();
            self.free_room()
        })
    }

    fn free_room(&self) -> Option<OwnedSemaphorePermit> {
        let is_left = self.room.available_permits() > self.spare.load(Ordering::Relaxed);
        is_left.then(|| self.room.clone().try_acquire_owned().ok()).flatten()
    }

    fn close_oldest_idle(&self) {
        let Some(subchannels) = self.subchannels.get().and_then(Weak::upgrade) else { return };
        let subchannels = lock(&subchannels);
        let idle_since = |subchannel: &&Subchannel| lock(&subchannel.0.idle).front().map(|c| c.idle_since);
        let idle = subchannels.values().filter(|subchannel| idle_since(subchannel).is_some());
        if let Some(oldest) = idle.min_by_key(idle_since) {
            lock(&oldest.0.idle).pop_front();
            self.counters.connections_displaced.increment();
        }
    }

    /// Whether the list may still be gone by, as far as an open watch tells. One that has been silent for so long is
    /// dead, though a late turn of this process may not have noticed yet.
    fn list_holds(&self, now: Time) -> bool {
        !self.list_unread.load(Ordering::Acquire)
            && Time(self.last_word.load(Ordering::Acquire)) + TOLD_WITHIN > now
    }
}

struct Inner {
    name: Name,
    shared: Arc<Shared>,
    address: Mutex<SocketAddr>,
    ready: AtomicBool,
    /// Taken out by hand: not even a probe goes there.
    banned: AtomicBool,
    /// The start of the log worker's process.
    epoch: AtomicU64,
    idle: Mutex<VecDeque<Connection>>,
    /// When its machine last gave a sign of life.
    heard: Mutex<Instant>,
}

/// The way to one log worker; clones share it.
#[derive(Clone)]
pub struct Subchannel(Arc<Inner>);

/// What goes over a connection, by what it loses with one that leads nowhere.
#[derive(Clone, Copy, PartialEq)]
enum What {
    /// A request that must never run twice: its answer.
    Once,
    /// A request that may be sent again: its time.
    Again,
    /// A probe: nothing but the probe. It finds out for the request after it whether somebody is there.
    Probe,
}

/// A failed attempt, by how it ended.
type Failed = Outcome;

#[derive(Deserialize)]
struct JobLine<'a> {
    id: String,
    state: String,
    share: Option<f64>,
    #[serde(borrow)]
    result: Option<&'a RawValue>,
    load: Option<serde_json::Map<String, serde_json::Value>>,
}

impl Subchannel {
    pub fn new(name: Name, address: SocketAddr, shared: Arc<Shared>) -> Self {
        Subchannel(Arc::new(Inner {
            name,
            shared,
            address: Mutex::new(address),
            ready: AtomicBool::new(false),
            banned: AtomicBool::new(false),
            epoch: AtomicU64::new(0),
            idle: Mutex::default(),
            heard: Mutex::new(Instant::now()),
        }))
    }

    /// What discovery now says. Connections to an earlier process are of no use.
    pub fn update(&self, address: SocketAddr, ready: bool, epoch: u64) {
        let inner = &self.0;
        let moved = std::mem::replace(&mut *lock(&inner.address), address) != address;
        if inner.epoch.swap(epoch, Ordering::AcqRel) != epoch || moved {
            self.close_idle();
        }
        self.set_ready(ready);
    }

    /// Whether new work may be sent.
    pub fn set_ready(&self, ready: bool) {
        self.0.ready.store(ready, Ordering::Release);
    }

    /// Takes it out by hand, or puts it back. Its process is restarted in between: no connection outlives that.
    pub fn set_banned(&self, banned: bool) {
        if self.0.banned.swap(banned, Ordering::AcqRel) != banned {
            self.close_idle();
        }
    }

    fn is_banned(&self) -> bool {
        self.0.banned.load(Ordering::Acquire)
    }

    pub fn close_idle(&self) {
        lock(&self.0.idle).clear();
    }

    /// Closes connections that have been idle for long, and those closed from the other side.
    pub fn sweep(&self) {
        let max = self.0.shared.max_idle;
        lock(&self.0.idle).retain(|c| !c.is_closed() && c.idle_since.elapsed() < max);
    }

    fn hears(&self) {
        *lock(&self.0.heard) = Instant::now();
    }

    fn reuse(&self, what: What) -> Option<Connection> {
        self.sweep();
        let severed = *lock(&self.0.shared.severed);
        let distrusted = what == What::Once && severed.is_some_and(|at| at.elapsed() < DISTRUST);
        let unheard = what != What::Probe && lock(&self.0.heard).elapsed() > UNHEARD;
        if distrusted || unheard {
            return None;
        }
        // The newest first: the others get the chance to grow old.
        lock(&self.0.idle).pop_back()
    }

    fn keep(&self, mut connection: Connection) {
        (connection.idle_since, connection.kept) = (Instant::now(), true);
        let mut idle = lock(&self.0.idle);
        let current = connection.epoch == self.0.epoch.load(Ordering::Acquire) && !self.is_banned();
        if current && idle.len() < MAX_IDLE {
            idle.push_back(connection);
        }
    }

    async fn open(&self) -> Result<Connection, Failed> {
        let shared = &self.0.shared;
        let room = shared.take_room().ok_or_else(|| {
            shared.counters.connections_without_room.increment();
            tracing::warn!("no room for another connection to {}", self.0.name);
            Outcome::NotSent
        })?;
        let (address, epoch) = (*lock(&self.0.address), self.0.epoch.load(Ordering::Acquire));
        match Connection::open(address, shared.connect_timeout, epoch, room, shared.counters.clone()).await {
            Ok(connection) => {
                self.hears();
                Ok(connection)
            }
            Err(error) => {
                tracing::debug!("{}: no connection: {error}", self.0.name);
                // The kept ones lead to the same place.
                self.close_idle();
                Err(Outcome::NoConnection)
            }
        }
    }

    /// Sends a request on a kept connection or a new one. A kept one that turns out closed before the last
    /// byte is written is replaced once: nothing has reached the log worker, so this is no further attempt.
    async fn exchange(
        &self,
        request: impl Fn() -> Request<Full<Bytes>>,
        body_len: usize,
        what: What,
        may_send: impl Fn() -> bool,
    ) -> Result<(Connection, Response<Incoming>), Failed> {
        if let Some(mut connection) = self.reuse(what) {
            if !may_send() {
                self.keep(connection);
                return Err(Outcome::NotSent);
            }
            match connection.send(request(), body_len, what != What::Probe).await {
                Ok(response) => return Ok((connection, response)),
                Err(Broke::AfterLastByte) => {
                    tracing::debug!("{}: a kept connection broke under a request", self.0.name);
                    *lock(&self.0.shared.severed) = Some(Instant::now());
                    return Err(Outcome::Severed);
                }
                Err(Broke::BeforeLastByte) => {}
            }
        }
        let mut connection = self.open().await?;
        // Opening took its time: the log worker may have begun to drain, or the client's time run out.
        if !may_send() {
            self.keep(connection);
            return Err(Outcome::NotSent);
        }
        match connection.send(request(), body_len, what != What::Probe).await {
            Ok(response) => Ok((connection, response)),
            Err(Broke::AfterLastByte) => Err(Outcome::ConnectionLost),
            Err(Broke::BeforeLastByte) => Err(Outcome::NoConnection),
        }
    }

    async fn attempt(self, attempt: CallAttempt<Arc<Call>>) -> AttemptResult<Bytes> {
        let shared = &self.0.shared;
        let left = shared.clock.until(attempt.deadline);
        match timeout(left, self.run(&attempt)).await {
            Ok(ended) => ended,
            Err(_) => Outcome::NoAnswer.into(),
        }
    }

    async fn run(&self, attempt: &CallAttempt<Arc<Call>>) -> AttemptResult<Bytes> {
        let shared = &self.0.shared;
        let call = &attempt.call;
        let request = || {
            let mut request = Request::new(Full::new(call.body.clone()));
            *request.method_mut() = call.method.clone();
            *request.uri_mut() = call.uri.clone();
            *request.headers_mut() = call.headers.clone();
            let left = shared.clock.until(attempt.deadline).as_millis().max(1) as u64;
            request.headers_mut().insert(headers::TIME_LEFT, HeaderValue::from(left));
            self.address_to_host(request.headers_mut());
            request
        };
        let what = if call.once { What::Once } else { What::Again };
        let takes_work = || self.0.ready.load(Ordering::Acquire) && !self.is_banned();
        let in_time = |now: Time| now < attempt.send_by && now < attempt.deadline && shared.list_holds(now);
        let may_send = || takes_work() && in_time(shared.clock.now()) && !call.over.load(Ordering::Acquire);
        let (connection, response) = match self.exchange(request, call.body.len(), what, may_send).await {
            Ok(done) => done,
            Err(outcome) => return outcome.into(),
        };
        self.hears();
        let load = load_header(response.headers(), &shared.words);
        match response.status() {
            StatusCode::OK => self.follow(attempt, connection, response, load).await,
            status => {
                let unseen = response.headers().get(headers::UNPROCESSED).is_some_and(|v| v == "1");
                let away = [StatusCode::SERVICE_UNAVAILABLE, StatusCode::GATEWAY_TIMEOUT].contains(&status);
                let outcome = match status {
                    _ if unseen && away => Outcome::TurnedAway,
                    // These two speak of the moment, not of the request.
                    StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS => Outcome::Error,
                    _ if status.is_client_error() => Outcome::Unusable,
                    _ => Outcome::Error,
                };
                self.finish(connection, Lines::new(response.into_body()));
                AttemptResult { result: Err(outcome), load }
            }
        }
    }

    /// Reads a job's objects to the one that ends it.
    async fn follow(
        &self,
        attempt: &CallAttempt<Arc<Call>>,
        connection: Connection,
        response: Response<Incoming>,
        mut load: Option<LoadReport>,
    ) -> AttemptResult<Bytes> {
        let shared = &self.0.shared;
        let mut lines = Lines::new(response.into_body());
        let (request, number) = (attempt.request, attempt.attempt);
        let result = loop {
            // Whatever ends the answer early, the job may have run.
            let Ok(Some(line)) = lines.next().await else { break Err(Outcome::ConnectionLost) };
            self.hears();
            if line.iter().all(u8::is_ascii_whitespace) {
                continue;
            }
            let object: JobLine = match serde_json::from_slice(&line) {
                Ok(object) => object,
                Err(error) => {
                    tracing::warn!("{}: an answer is unreadable: {error}", self.0.name);
                    break Err(Outcome::ConnectionLost);
                }
            };
            if object.id.as_bytes() != attempt.call.id.as_bytes() {
                tracing::warn!("{}: an answer to another request", self.0.name);
                // A second answer to the one before, that came too late to be seen there: the log worker may be well.
                if connection.kept {
                    *lock(&shared.severed) = Some(Instant::now());
                    break Err(Outcome::Severed);
                }
                break Err(Outcome::ConnectionLost);
            }
            if let Some(map) = &object.load {
                load = report::from_map(map, &shared.words).or(load);
            }
            match object.state.as_str() {
                "started" => (shared.notes)(request, number, Note::Started).await,
                "running" => {
                    let share = object.share.unwrap_or(0.0);
                    (shared.notes)(request, number, Note::Progress(share)).await;
                }
                "done" => {
                    let result = object.result.map(|raw| line.slice_ref(raw.get().as_bytes()));
                    let result = result.unwrap_or_default();
                    self.finish(connection, lines);
                    return AttemptResult { result: Ok(plain_text(result)), load };
                }
                "failed" => break Err(Outcome::Error),
                "returned" => break Err(Outcome::TurnedAway),
                "lost" => break Err(Outcome::ConnectionLost),
                other => tracing::debug!("{}: state {other:?} is not known", self.0.name),
            }
        };
        if let Err(Outcome::Error | Outcome::TurnedAway) = result {
            self.finish(connection, lines);
        }
        AttemptResult { result, load }
    }

    /// Reads what is left of an answer in the background, then keeps the connection.
    fn finish(&self, mut connection: Connection, lines: Lines<Incoming>) {
        let subchannel = self.clone();
        tokio::spawn(timeout(TAIL_TIMEOUT, async move {
            if lines.all().await.is_ok() && connection.ready().await {
                subchannel.keep(connection);
            }
        }));
    }

    fn address_to_host(&self, headers: &mut HeaderMap) {
        if !headers.contains_key(header::HOST) {
            let address = lock(&self.0.address).to_string();
            headers.insert(header::HOST, HeaderValue::from_str(&address).expect("an address is plain text"));
        }
    }

    /// Asks the log worker for its load.
    pub async fn probe(self) -> ProbeResult {
        let shared = &self.0.shared;
        let request = || {
            let mut request = Request::new(Full::default());
            *request.uri_mut() = Uri::from_static(super::STATS);
            self.address_to_host(request.headers_mut());
            request
        };
        let probe = async {
            let (connection, response) = self.exchange(request, 0, What::Probe, || !self.is_banned()).await?;
            self.hears();
            let outcome = if response.status().is_success() { Outcome::Served } else { Outcome::Error };
            let header = load_header(response.headers(), &shared.words);
            let body = Lines::new(response.into_body()).all().await.map_err(|_| Outcome::ConnectionLost)?;
            let mut connection = connection;
            if connection.ready().await {
                self.keep(connection);
            }
            Ok(ProbeResult { outcome, load: header.or_else(|| report::from_body(&body, &shared.words)) })
        };
        let failed = |outcome| ProbeResult { outcome, load: None };
        match timeout(PROBE_TIMEOUT, probe).await {
            Ok(Ok(probed)) => probed,
            Ok(Err(outcome)) => failed(outcome),
            Err(_) => {
                // Kept ones lead to the same place.
                self.close_idle();
                failed(Outcome::NoAnswer)
            }
        }
    }
}

impl tower::Service<CallAttempt<Arc<Call>>> for Subchannel {
    type Response = AttemptResult<Bytes>;
    type Error = std::convert::Infallible;
    type Future = BoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, _: &mut Context) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, attempt: CallAttempt<Arc<Call>>) -> Self::Future {
        let subchannel = self.clone();
        Box::pin(async move { Ok(subchannel.attempt(attempt).await) })
    }
}

pub fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    // Nothing that holds these locks can leave half a change behind.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn load_header(headers: &HeaderMap, words: &Vocabulary) -> Option<LoadReport> {
    let name = HeaderName::from_static(headers::LOAD);
    report::from_pairs(headers.get(name)?.to_str().ok()?, words)
}

/// A result that is a JSON string stands for its text; any other stays the bytes that came.
fn plain_text(result: Bytes) -> Bytes {
    if result.first() != Some(&b'"') {
        return result;
    }
    let inner = result.slice(1..result.len().saturating_sub(1).max(1));
    if !inner.contains(&b'\\') {
        return inner;
    }
    serde_json::from_slice::<String>(&result).map_or(result, Bytes::from)
}
