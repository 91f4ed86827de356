//! The clients of a run, an open-loop load generator: each job is sent at its drawn time whatever became of earlier ones,
//! and its latency counts from that time.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rand::rngs::SmallRng;
use rand::Rng;
use rookspoke_decisions::{Effect, Span, Time};
use rookspoke_emulator::model::Arrival;
use rookspoke_emulator::report::JobResult;
use rookspoke_emulator::rng::{stream, Stream};
use rookspoke_emulator::scenario::Scenario;
use tokio::net::TcpStream;

use crate::clock::Lateness;
use crate::event_log::{Event, EventLog, RequestOutcome};
use crate::job::JobId;
use crate::worker_pool::JobBody;

/// Added to every time limit on real sockets, for the time that sockets and processes take.
pub const SOCKET_SLACK: Span = Span(50_000);
/// Maximum size of a response body, in bytes.
const MAX_RESPONSE: usize = 64 * 1024;
/// Timeout for connecting to a dispatcher, which runs on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A dispatcher as the front sees it, the load balancer that assigns clients to dispatchers.
#[derive(Debug)]
pub struct Backend {
    /// The address at which clients reach it, which may be that of a link.
    pub address: Mutex<Option<SocketAddr>>,
    /// The front assigns clients to it.
    pub in_rotation: AtomicBool,
    idle_connections: Mutex<Vec<SendRequest<Full<Bytes>>>>,
    /// Incremented each time that its process ends.
    epoch: AtomicU64,
    /// Jobs served by the present process, as clients saw it.
    served: AtomicU64,
    /// Jobs that the present process may or may not have served: the connection was lost or the client timed out.
    indeterminate: AtomicU64,
}

impl Backend {
    /// Creates a backend that is not in rotation.
    pub fn new() -> Self {
        Backend {
            address: Mutex::default(),
            in_rotation: AtomicBool::new(false),
            idle_connections: Mutex::default(),
            epoch: AtomicU64::new(0),
            served: AtomicU64::new(0),
            indeterminate: AtomicU64::new(0),
        }
    }

    /// Creates a backend in rotation at this address.
    pub fn in_rotation_at(address: SocketAddr) -> Self {
        let backend = Backend::new();
        backend.add_to_rotation(address);
        backend
    }

    /// Makes the front assign clients to this address.
    pub fn add_to_rotation(&self, address: SocketAddr) {
        *lock(&self.address) = Some(address);
        self.in_rotation.store(true, Ordering::Relaxed);
    }

    /// Whether clients use it: it is in rotation, or a connection to it is still open.
    fn is_used(&self) -> bool {
        self.in_rotation.load(Ordering::Relaxed)
            || lock(&self.idle_connections).iter().any(SendRequest::is_ready)
    }

    /// Notes that its process has ended: idle connections are dropped, and counts start at zero for the next process.
    pub fn process_ended(&self) {
        self.epoch.fetch_add(1, Ordering::Relaxed);
        lock(&self.idle_connections).clear();
        self.served.store(0, Ordering::Relaxed);
        self.indeterminate.store(0, Ordering::Relaxed);
    }

    /// Number of jobs that the present process served, or `None` if it is uncertain because a connection was lost or a
    /// client timed out.
    pub fn served(&self) -> Option<u64> {
        (self.indeterminate.load(Ordering::Relaxed) == 0).then(|| self.served.load(Ordering::Relaxed))
    }
}

impl Default for Backend {
    fn default() -> Self {
        Self::new()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Counts of the clients.
#[derive(Clone, Debug)]
pub struct LoadCounts {
    /// Each job of the load, in order of arrival.
    pub jobs: Vec<JobResult>,
    /// Time from a job's arrival to its answer, in microseconds, for served jobs.
    pub latency: Histogram<u64>,
    /// Jobs that were served, in time or not.
    pub served: u64,
    /// Attempts that were refused.
    pub refused: u64,
    /// Attempts that failed or got no answer.
    pub failed: u64,
    /// Attempts after the first of a job.
    pub retries: u64,
    /// For each class, the number of jobs that were served later than their latency goal.
    pub late: Vec<usize>,
}

/// All clients of a run. Clones share the same clients.
#[derive(Clone)]
pub struct LoadGenerator(Arc<Inner>);

struct Inner {
    scenario: Scenario,
    backends: Arc<Vec<Backend>>,
    event_log: EventLog,
    lateness: Lateness,
    counts: Mutex<LoadCounts>,
    rng: Mutex<SmallRng>,
    next_job: AtomicU64,
    /// Set when all arrivals have been sent, so that the run can end.
    no_retries: AtomicBool,
}

impl LoadGenerator {
    /// Creates the clients of these dispatchers.
    pub fn new(
        scenario: &Scenario,
        seed: u64,
        backends: Arc<Vec<Backend>>,
        event_log: EventLog,
        lateness: Lateness,
    ) -> Self {
        // From 1 us to an hour, with a precision of three digits.
        let latency = Histogram::new_with_bounds(1, 3_600_000_000, 3);
        let counts = LoadCounts {
            jobs: Vec::new(),
            latency: latency.unwrap_or_else(|_| unreachable!("the bounds of the histogram are valid")),
            served: 0,
            refused: 0,
            failed: 0,
            retries: 0,
            late: vec![0; scenario.classes.len()],
        };
        LoadGenerator(Arc::new(Inner {
            scenario: scenario.clone(),
            backends,
            event_log,
            lateness,
            counts: Mutex::new(counts),
            rng: Mutex::new(stream(seed, Stream::Retry, 1)),
            next_job: AtomicU64::new(1),
            no_retries: AtomicBool::new(false),
        }))
    }

    /// The counts so far.
    pub fn counts(&self) -> LoadCounts {
        lock(&self.0.counts).clone()
    }

    /// Sends all arrivals, each at its time after `begin`, and waits until all of them have ended.
    pub async fn run(&self, begin: Time, arrivals: &[Arrival]) {
        let clock = self.0.event_log.clock();
        let mut requests = tokio::task::JoinSet::new();
        for arrival in arrivals {
            let due = begin + (arrival.intended_at - Time(0));
            self.0.lateness.record(clock.sleep_until(due).await);
            let (load, mut arrival) = (self.clone(), *arrival);
            let number = {
                let mut counts = lock(&self.0.counts);
                counts.jobs.push(JobResult { class: arrival.class, at: arrival.intended_at, in_time: false });
                counts.jobs.len() - 1
            };
            arrival.intended_at = due;
            requests.spawn(async move { load.run_job(number, arrival).await });
            while requests.try_join_next().is_some() {}
        }
        self.0.no_retries.store(true, Ordering::Relaxed);
        while requests.join_next().await.is_some() {}
    }

    /// Sends a job and retries it until it is served or may not be retried.
    async fn run_job(&self, number: usize, arrival: Arrival) {
        let class = &self.0.scenario.classes[arrival.class];
        let clock = self.0.event_log.clock();
        let mut attempts = 0;
        loop {
            attempts += 1;
            let (outcome, retry_after) = self.send_once(&arrival).await;
            let now = clock.now();
            {
                let mut counts = lock(&self.0.counts);
                match outcome {
                    RequestOutcome::Served => {
                        let latency = now - arrival.intended_at;
                        let aim = class.get("aim") / 1000.0 + class.get("stretch") * arrival.work;
                        counts.jobs[number].in_time = latency.secs() <= aim;
                        counts.late[arrival.class] += usize::from(latency.secs() > aim);
                        counts.served += 1;
                        counts.latency.saturating_record(latency.0.max(1) as u64);
                        return;
                    }
                    RequestOutcome::Refused => counts.refused += 1,
                    RequestOutcome::Failed
                    | RequestOutcome::ConnectionLost
                    | RequestOutcome::NotConnected
                    | RequestOutcome::TimedOut => counts.failed += 1,
                }
                let safe_to_retry = matches!(outcome, RequestOutcome::Refused | RequestOutcome::NotConnected)
                    || class.effect() == Effect::Safe;
                let may_retry = attempts <= self.0.scenario.count("clients.retries")
                    && !self.0.no_retries.load(Ordering::Relaxed);
                if !safe_to_retry || !may_retry || outcome == RequestOutcome::TimedOut {
                    return;
                }
                counts.retries += 1;
            }
            let back_off =
                self.0.scenario.get("clients.back-off") * (0.5 + lock(&self.0.rng).random::<f64>());
            let retry_after =
                retry_after.filter(|_| self.0.scenario.is_on("clients.heeds-advice")).unwrap_or_default();
            tokio::time::sleep(Duration::from_secs_f64(back_off / 1000.0).max(retry_after)).await;
        }
    }

    /// Draws a dispatcher in use, in the client's zone if there is one.
    fn choose_backend(&self, zone: usize) -> Option<usize> {
        let zones = self.0.scenario.count("zones");
        let backends = &self.0.backends;
        let is_used = |backend: &usize| backends[*backend].is_used();
        let same_zone: Vec<usize> =
            (0..backends.len()).filter(|backend| backend % zones == zone).filter(is_used).collect();
        let candidates =
            if same_zone.is_empty() { (0..backends.len()).filter(is_used).collect() } else { same_zone };
        (!candidates.is_empty()).then(|| candidates[lock(&self.0.rng).random_range(0..candidates.len())])
    }

    async fn send_once(&self, arrival: &Arrival) -> (RequestOutcome, Option<Duration>) {
        let Some(dispatcher) = self.choose_backend(arrival.zone) else {
            return (RequestOutcome::NotConnected, None);
        };
        let class = &self.0.scenario.classes[arrival.class];
        let id = JobId::new(dispatcher, self.0.next_job.fetch_add(1, Ordering::Relaxed));
        let clock = self.0.event_log.clock();
        let time = class.get("deadline");
        let deadline = clock.now() + Span::from_ms(time);
        let once = class.effect() != Effect::Safe;
        self.0.event_log.record(Event::Sent { id: id.0, dispatcher, once, deadline_ms: deadline.ms() });
        let body =
            JobBody { slots: arrival.slots, work: arrival.work, key: arrival.key, worth: class.get("worth") };
        let request = Request::post(format!("/{}/k{}", class.name, arrival.key))
            .header("host", "service.internal")
            .header("x-correlation-id", id.to_string())
            .header("x-service-class", &class.name)
            .header("x-time-left-ms", (time as u64).max(1))
            .header("x-facts", format!("slots={}", arrival.slots))
            .body(Full::from(serde_json::to_vec(&body).unwrap_or_default()));
        // All parts are plain text, so the request is always valid.
        let Ok(request) = request else { return (RequestOutcome::NotConnected, None) };
        let give_up_at = deadline + self.0.scenario.span("rules.answer-slack") + SOCKET_SLACK;
        let exchange = self.exchange(dispatcher, id, request);
        let (outcome, retry_after, epoch) =
            match tokio::time::timeout_at(clock.instant(give_up_at), exchange).await {
                Ok(done) => done,
                Err(_) => (RequestOutcome::TimedOut, None, 0),
            };
        self.0.event_log.record(Event::Closed { id: id.0, dispatcher, outcome });
        let backend = &self.0.backends[dispatcher];
        match outcome {
            // Counted only if the present process served it, not the one before.
            RequestOutcome::Served if epoch == backend.epoch.load(Ordering::Relaxed) => {
                backend.served.fetch_add(1, Ordering::Relaxed)
            }
            RequestOutcome::Served => 0,
            RequestOutcome::ConnectionLost | RequestOutcome::TimedOut => {
                backend.indeterminate.fetch_add(1, Ordering::Relaxed)
            }
            RequestOutcome::Refused | RequestOutcome::Failed | RequestOutcome::NotConnected => 0,
        };
        (outcome, retry_after)
    }

    /// Sends a request on an idle connection or a new one. Returns the outcome, the `Retry-After` time and the epoch of
    /// the process. If the future is dropped, the connection is closed.
    async fn exchange(
        &self,
        dispatcher: usize,
        id: JobId,
        request: Request<Full<Bytes>>,
    ) -> (RequestOutcome, Option<Duration>, u64) {
        let backend = &self.0.backends[dispatcher];
        let mut sender = loop {
            let Some(idle) = lock(&backend.idle_connections).pop() else {
                if !backend.in_rotation.load(Ordering::Relaxed) {
                    return (RequestOutcome::NotConnected, None, 0);
                }
                break match self.connect(backend).await {
                    Some(sender) => sender,
                    None => return (RequestOutcome::NotConnected, None, 0),
                };
            };
            if idle.is_ready() {
                break idle;
            }
        };
        // Read once there is a connection: it leads to the process of this epoch, or that process has ended.
        let epoch = backend.epoch.load(Ordering::Relaxed);
        let response = match sender.send_request(request).await {
            Ok(response) => response,
            // No part of the request was written.
            Err(error) if error.is_canceled() => return (RequestOutcome::NotConnected, None, epoch),
            Err(_) => return (RequestOutcome::ConnectionLost, None, epoch),
        };
        let status = response.status().as_u16();
        let retry_after =
            response.headers().get("retry-after").and_then(|value| value.to_str().ok()?.parse().ok());
        let retry_after =
            retry_after.filter(|secs: &f64| (0.0..3600.0).contains(secs)).map(Duration::from_secs_f64);
        let Ok(body) = Limited::new(response.into_body(), MAX_RESPONSE).collect().await else {
            return (RequestOutcome::ConnectionLost, None, epoch);
        };
        if sender.ready().await.is_ok() {
            lock(&backend.idle_connections).push(sender);
        }
        let outcome = match status {
            // The result of a stand-in log worker is the job's number.
            200 if body.to_bytes() == id.to_string() => RequestOutcome::Served,
            429 | 503 => RequestOutcome::Refused,
            _ => RequestOutcome::Failed,
        };
        (outcome, retry_after, epoch)
    }

    async fn connect(&self, backend: &Backend) -> Option<SendRequest<Full<Bytes>>> {
        let address = (*lock(&backend.address))?;
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        // The task ends when the sender is dropped.
        tokio::spawn(connection);
        Some(sender)
    }
}
