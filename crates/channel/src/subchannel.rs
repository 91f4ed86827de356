//! A subchannel manages the connections to one log worker, sends call attempts and probes on them, and reads
//! the responses.

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

use super::connection::{Connection, SendError};
use super::lines::Lines;
use super::request_ids::RequestState;
use super::{headers, report, result, ProgressSink};
use rookspoke_decisions::{AttemptUpdate, LoadReport, Name, Outcome, Time, NOTIFIED_WITHIN};
use rookspoke_dispatch::{AttemptResult, CallAttempt, Clock, Counters, ProbeResult};
use rookspoke_memory::{MemoryBudget, Reservation};
use rookspoke_wire::Vocabulary;

/// Upper bound of idle connections per log worker.
const MAX_IDLE: usize = 16;
/// A probe without a response by then has failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit for reading the rest of a response after the object that ended its attempt, so that the
/// connection can be reused.
const BODY_REST_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle connections are not reused after a log worker has been silent for this long, since its machine may
/// have vanished. Data written to such a connection would hang until the deadline, while a new connection
/// fails at once and proves that the request did not run.
const MAX_REUSE_SILENCE: Duration = Duration::from_millis(1500);
/// For this long after a reused connection broke under a request, requests that must not run twice use new
/// connections.
const STALE_CONNECTION_PENALTY: Duration = Duration::from_secs(30);

/// The parts of a client's request that are forwarded to a log worker unchanged.
#[derive(Debug)]
pub struct Call {
    pub method: Method,
    pub uri: Uri,
    /// The end-to-end headers.
    pub headers: HeaderMap,
    /// `X-Correlation-Id`, which every object of the response repeats.
    pub id: HeaderValue,
    pub body: Bytes,
    /// The request must not run twice: once written to one log worker, it must not be sent to another.
    pub at_most_once: bool,
    /// Whether the request is finished, and whether it may have run.
    pub state: Arc<RequestState>,
    /// Memory of the headers and the body.
    pub _reservation: Reservation,
}

/// State shared by all subchannels.
pub struct Shared {
    pub clock: Clock,
    pub vocabulary: Vocabulary,
    pub progress: ProgressSink,
    pub counters: Arc<Counters>,
    /// Every open connection to a log worker holds one permit.
    pub permits: Arc<Semaphore>,
    /// Permits left unused while another process shares the descriptors.
    pub reserved_permits: AtomicUsize,
    pub connect_timeout: Duration,
    /// Connections idle for this long are closed, well before their log worker would close them.
    pub max_idle: Duration,
    /// Memory for answers.
    pub answers: MemoryBudget,
    /// When a reused connection last broke under a request, to any log worker. What closes idle connections
    /// stands in front of all log workers, so it affects all subchannels alike.
    pub stale_connection_at: Mutex<Option<Instant>>,
    /// When the open watch last received a message, in microseconds of the clock; see
    /// [`Shared::is_list_valid`].
    pub last_watch_message: AtomicI64,
    /// All subchannels; at the connection limit, the connection idle for longest among them is closed.
    pub subchannels: OnceLock<Weak<Mutex<FxHashMap<Name, Subchannel>>>>,
    /// Part of a list could not be read, and no list has been read since.
    pub list_unreadable: AtomicBool,
}

/// Value of `last_watch_message` while no watch is open; the dispatcher alone then decides how long the list
/// is valid.
pub const NO_WATCH: i64 = i64::MAX;

impl Shared {
    /// A permit for one more connection; if none is left, the connection idle for longest is closed to free
    /// one.
    fn acquire_permit(&self) -> Option<OwnedSemaphorePermit> {
        self.try_acquire_permit().or_else(|| {
            self.close_oldest_idle();
            self.try_acquire_permit()
        })
    }

    fn try_acquire_permit(&self) -> Option<OwnedSemaphorePermit> {
        let available = self.permits.available_permits() > self.reserved_permits.load(Ordering::Relaxed);
        available.then(|| self.permits.clone().try_acquire_owned().ok()).flatten()
    }

    fn close_oldest_idle(&self) {
        let Some(subchannels) = self.subchannels.get().and_then(Weak::upgrade) else { return };
        let subchannels = lock(&subchannels);
        let idle_since = |subchannel: &&Subchannel| {
            lock(&subchannel.0.idle).front().map(|connection| connection.idle_since)
        };
        let idle = subchannels.values().filter(|subchannel| idle_since(subchannel).is_some());
        if let Some(oldest) = idle.min_by_key(idle_since) {
            lock(&oldest.0.idle).pop_front();
            self.counters.connections_displaced.increment();
        }
    }

    /// Whether the list may still be used, judged by the open watch and by unreadable updates. A watch that
    /// has been silent for this long is dead, even if this process was scheduled too late to have noticed.
    fn is_list_valid(&self, now: Time) -> bool {
        !self.list_unreadable.load(Ordering::Acquire)
            && Time(self.last_watch_message.load(Ordering::Acquire)) + NOTIFIED_WITHIN > now
    }
}

struct Inner {
    name: Name,
    shared: Arc<Shared>,
    address: Mutex<SocketAddr>,
    ready: AtomicBool,
    /// Banned by an operator: not even probes are sent.
    banned: AtomicBool,
    /// Identifies the log worker's process by its start time.
    epoch: AtomicU64,
    idle: Mutex<VecDeque<Connection>>,
    /// When the log worker's machine last showed that it is alive.
    last_activity: Mutex<Instant>,
}

/// The subchannel to one log worker; clones share its connections.
#[derive(Clone)]
pub struct Subchannel(Arc<Inner>);

/// What a connection is used for, which decides what is lost if the connection turns out dead.
#[derive(Clone, Copy, PartialEq)]
enum Purpose {
    /// A request that must not run twice: the answer is lost.
    AtMostOnce,
    /// A request that may be sent again: only time is lost.
    Retryable,
    /// A probe: nothing else is lost. It may use a connection that has been silent, and shows whether the log
    /// worker is still reachable before the next request is sent.
    Probe,
}

/// How a failed attempt ended.
type AttemptError = Outcome;

#[derive(Deserialize)]
struct JobState<'a> {
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
            last_activity: Mutex::new(Instant::now()),
        }))
    }

    /// Applies an entry of the list. Idle connections to a former address or an earlier process are closed.
    pub fn update(&self, address: SocketAddr, ready: bool, epoch: u64) {
        let inner = &self.0;
        let moved = std::mem::replace(&mut *lock(&inner.address), address) != address;
        if inner.epoch.swap(epoch, Ordering::AcqRel) != epoch || moved {
            self.close_idle();
        }
        self.set_ready(ready);
    }

    /// Sets whether new requests may be sent.
    pub fn set_ready(&self, ready: bool) {
        self.0.ready.store(ready, Ordering::Release);
    }

    /// Sets or lifts an operator ban. The process is restarted during a ban, which no connection survives, so
    /// idle connections are closed on either change.
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

    /// Closes connections that have been idle for too long or were closed by the log worker.
    pub fn sweep(&self) {
        let max_idle = self.0.shared.max_idle;
        lock(&self.0.idle)
            .retain(|connection| !connection.is_closed() && connection.idle_since.elapsed() < max_idle);
    }

    fn record_activity(&self) {
        *lock(&self.0.last_activity) = Instant::now();
    }

    fn take_idle(&self, purpose: Purpose) -> Option<Connection> {
        self.sweep();
        let stale_connection_at = *lock(&self.0.shared.stale_connection_at);
        let avoided = purpose == Purpose::AtMostOnce
            && stale_connection_at.is_some_and(|at| at.elapsed() < STALE_CONNECTION_PENALTY);
        let silent = purpose != Purpose::Probe && lock(&self.0.last_activity).elapsed() > MAX_REUSE_SILENCE;
        if avoided || silent {
            return None;
        }
        // The newest is taken first, so that the others can reach their idle timeout.
        lock(&self.0.idle).pop_back()
    }

    fn return_to_pool(&self, mut connection: Connection) {
        (connection.idle_since, connection.reused) = (Instant::now(), true);
        let mut idle = lock(&self.0.idle);
        let current = connection.epoch == self.0.epoch.load(Ordering::Acquire) && !self.is_banned();
        if current && idle.len() < MAX_IDLE {
            idle.push_back(connection);
        }
    }

    async fn open(&self) -> Result<Connection, AttemptError> {
        let shared = &self.0.shared;
        let permit = shared.acquire_permit().ok_or_else(|| {
            shared.counters.connections_without_room.increment();
            tracing::warn!("connection limit reached; no new connection to {}", self.0.name);
            Outcome::NotSent
        })?;
        let (address, epoch) = (*lock(&self.0.address), self.0.epoch.load(Ordering::Acquire));
        match Connection::open(address, shared.connect_timeout, epoch, permit, shared.counters.clone()).await
        {
            Ok(connection) => {
                self.record_activity();
                Ok(connection)
            }
            Err(error) => {
                tracing::debug!("{}: connection failed: {error}", self.0.name);
                // The idle connections lead to the same unreachable address.
                self.close_idle();
                Err(Outcome::NoConnection)
            }
        }
    }

    /// Sends a request on an idle connection, or on a new one. If an idle connection turns out closed before
    /// the last byte is written, it is replaced once: the log worker has not received a complete request, so
    /// this does not count as another attempt.
    async fn exchange(
        &self,
        request: impl Fn() -> Request<Full<Bytes>>,
        body_len: usize,
        purpose: Purpose,
        may_send: impl Fn() -> bool,
    ) -> Result<(Connection, Response<Incoming>), AttemptError> {
        if let Some(mut connection) = self.take_idle(purpose) {
            if !may_send() {
                self.return_to_pool(connection);
                return Err(Outcome::NotSent);
            }
            match connection.send(request(), body_len, purpose != Purpose::Probe).await {
                Ok(response) => return Ok((connection, response)),
                Err(SendError::AfterLastByte) => {
                    tracing::debug!("{}: a reused connection broke after the request was sent", self.0.name);
                    *lock(&self.0.shared.stale_connection_at) = Some(Instant::now());
                    return Err(Outcome::StaleConnection);
                }
                Err(SendError::BeforeLastByte) => {}
            }
        }
        let mut connection = self.open().await?;
        // Connecting took time: by now the log worker may be draining, or the client's deadline may have
        // passed.
        if !may_send() {
            self.return_to_pool(connection);
            return Err(Outcome::NotSent);
        }
        match connection.send(request(), body_len, purpose != Purpose::Probe).await {
            Ok(response) => Ok((connection, response)),
            Err(SendError::AfterLastByte) => Err(Outcome::ConnectionLost),
            Err(SendError::BeforeLastByte) => Err(Outcome::NoConnection),
        }
    }

    async fn attempt(self, attempt: CallAttempt<Arc<Call>>) -> AttemptResult<Bytes> {
        let shared = &self.0.shared;
        let time_left = shared.clock.until(attempt.deadline);
        let ended = timeout(time_left, self.send_attempt(&attempt)).await;
        let ended = ended.unwrap_or_else(|_| Outcome::NoAnswer.into());
        if ended.result.as_ref().is_err_and(|outcome| outcome.proves_no_run()) {
            attempt.call.state.attempt_never_ran();
        }
        ended
    }

    async fn send_attempt(&self, attempt: &CallAttempt<Arc<Call>>) -> AttemptResult<Bytes> {
        let shared = &self.0.shared;
        let call = &attempt.call;
        let request = || {
            let mut request = Request::new(Full::new(call.body.clone()));
            *request.method_mut() = call.method.clone();
            *request.uri_mut() = call.uri.clone();
            *request.headers_mut() = call.headers.clone();
            let time_left = shared.clock.until(attempt.deadline).as_millis().max(1) as u64;
            request.headers_mut().insert(headers::TIME_LEFT, HeaderValue::from(time_left));
            self.set_host_header(request.headers_mut());
            request
        };
        let purpose = if call.at_most_once { Purpose::AtMostOnce } else { Purpose::Retryable };
        let accepts_work = || self.0.ready.load(Ordering::Acquire) && !self.is_banned();
        let in_time =
            |now: Time| now < attempt.send_by && now < attempt.deadline && shared.is_list_valid(now);
        let may_send = || accepts_work() && in_time(shared.clock.now()) && call.state.begin_send();
        let (connection, response) = match self.exchange(request, call.body.len(), purpose, may_send).await {
            Ok(done) => done,
            Err(outcome) => return outcome.into(),
        };
        self.record_activity();
        let load = load_header(response.headers(), &shared.vocabulary);
        match response.status() {
            StatusCode::OK => self.read_job_states(attempt, connection, response, load).await,
            status => {
                let unprocessed = response.headers().get(headers::UNPROCESSED).is_some_and(|v| v == "1");
                let unavailable =
                    [StatusCode::SERVICE_UNAVAILABLE, StatusCode::GATEWAY_TIMEOUT].contains(&status);
                let outcome = match status {
                    _ if unprocessed && unavailable => Outcome::TurnedAway,
                    // These two statuses are temporary and say nothing about the request itself.
                    StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS => Outcome::Error,
                    _ if status.is_client_error() => Outcome::Unusable,
                    _ => Outcome::Error,
                };
                self.finish_in_background(connection, Lines::new(response.into_body(), &shared.answers));
                AttemptResult { result: Err(outcome), load }
            }
        }
    }

    /// Reads the objects of a job up to the one that ends it.
    async fn read_job_states(
        &self,
        attempt: &CallAttempt<Arc<Call>>,
        connection: Connection,
        response: Response<Incoming>,
        mut load: Option<LoadReport>,
    ) -> AttemptResult<Bytes> {
        let shared = &self.0.shared;
        let mut lines = Lines::new(response.into_body(), &shared.answers);
        let (request, number) = (attempt.request, attempt.attempt);
        let result = loop {
            // The job may have run, whatever cut the response short.
            let Ok(Some(line)) = lines.next().await else { break Err(Outcome::ConnectionLost) };
            self.record_activity();
            if line.iter().all(u8::is_ascii_whitespace) {
                continue;
            }
            let object: JobState = match serde_json::from_slice(&line) {
                Ok(object) => object,
                Err(error) => {
                    tracing::warn!("{}: unreadable response: {error}", self.0.name);
                    break Err(Outcome::ConnectionLost);
                }
            };
            if object.id.as_bytes() != attempt.call.id.as_bytes() {
                tracing::warn!("{}: the response carries the id of another request", self.0.name);
                // A second response to the previous request, which arrived too late to be read there. The log
                // worker itself may be healthy.
                if connection.reused {
                    *lock(&shared.stale_connection_at) = Some(Instant::now());
                    break Err(Outcome::StaleConnection);
                }
                break Err(Outcome::ConnectionLost);
            }
            if let Some(map) = &object.load {
                load = report::from_map(map, &shared.vocabulary).or(load);
            }
            match object.state.as_str() {
                "started" => (shared.progress)(request, number, AttemptUpdate::Started).await,
                "running" => {
                    let share = object.share.unwrap_or(0.0);
                    (shared.progress)(request, number, AttemptUpdate::Progress(share)).await;
                }
                "done" => {
                    let result = object.result.map(|raw| line.slice_ref(raw.get().as_bytes()));
                    let result = result::hold(result.unwrap_or_default(), lines.take_reservation());
                    drop(line);
                    self.finish_in_background(connection, lines);
                    return AttemptResult { result: Ok(result), load };
                }
                "failed" => break Err(Outcome::Error),
                "returned" => break Err(Outcome::TurnedAway),
                "lost" => break Err(Outcome::ConnectionLost),
                other => tracing::debug!("{}: unknown job state {other:?}", self.0.name),
            }
        };
        if let Err(Outcome::Error | Outcome::TurnedAway) = result {
            self.finish_in_background(connection, lines);
        }
        AttemptResult { result, load }
    }

    /// Reads the rest of a response in the background, then returns the connection to the pool.
    fn finish_in_background(&self, mut connection: Connection, lines: Lines<Incoming>) {
        let subchannel = self.clone();
        tokio::spawn(timeout(BODY_REST_TIMEOUT, async move {
            if lines.skip_rest().await.is_ok() && connection.ready().await {
                subchannel.return_to_pool(connection);
            }
        }));
    }

    fn set_host_header(&self, headers: &mut HeaderMap) {
        if !headers.contains_key(header::HOST) {
            let address = lock(&self.0.address).to_string();
            headers.insert(
                header::HOST,
                HeaderValue::from_str(&address).expect("an address is a valid header value"),
            );
        }
    }

    /// Requests the log worker's load report.
    pub async fn probe(self) -> ProbeResult {
        let shared = &self.0.shared;
        let request = || {
            let mut request = Request::new(Full::default());
            *request.uri_mut() = Uri::from_static(super::STATS);
            self.set_host_header(request.headers_mut());
            request
        };
        let probe = async {
            let (connection, response) =
                self.exchange(request, 0, Purpose::Probe, || !self.is_banned()).await?;
            self.record_activity();
            let outcome = if response.status().is_success() { Outcome::Served } else { Outcome::Error };
            let header = load_header(response.headers(), &shared.vocabulary);
            let body = Lines::new(response.into_body(), &shared.answers)
                .read_rest()
                .await
                .map_err(|_| Outcome::ConnectionLost)?;
            let mut connection = connection;
            if connection.ready().await {
                self.return_to_pool(connection);
            }
            Ok(ProbeResult { outcome, load: header.or_else(|| report::from_body(&body, &shared.vocabulary)) })
        };
        let failed = |outcome| ProbeResult { outcome, load: None };
        match timeout(PROBE_TIMEOUT, probe).await {
            Ok(Ok(probed)) => probed,
            Ok(Err(outcome)) => failed(outcome),
            Err(_) => {
                // The idle connections lead to the same unresponsive log worker.
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
    // A poisoned lock is usable: no code that holds one of these locks can leave a partial change behind.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn load_header(headers: &HeaderMap, vocabulary: &Vocabulary) -> Option<LoadReport> {
    let name = HeaderName::from_static(headers::LOAD);
    report::from_pairs(headers.get(name)?.to_str().ok()?, vocabulary)
}
