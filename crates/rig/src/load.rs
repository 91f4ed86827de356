//! Clients: an open-loop load. Every job is sent when it was meant to be, whatever became of those before it, and its
//! time counts from then.

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
use rookspoke_emulator::report::Asked;
use rookspoke_emulator::rng::{stream, Stream};
use rookspoke_emulator::scenario::Scenario;
use tokio::net::TcpStream;

use crate::clock::Lateness;
use crate::event_log::{Event, EventLog, RequestOutcome};
use crate::job::JobId;
use crate::worker_pool::JobBody;

/// On sockets every time limit is this much longer.
pub const SOCKET_SLACK: Span = Span(50_000);
/// The longest answer that is read, in bytes.
const MAX_ANSWER: usize = 64 * 1024;
/// A connection to a dispatcher on this machine that is not up by then never comes up.
const CONNECT: Duration = Duration::from_secs(1);

/// What the front, which deals out connections, knows of a dispatcher.
#[derive(Debug)]
pub struct Backend {
    /// Where clients reach it, through a link or not.
    pub address: Mutex<Option<SocketAddr>>,
    /// The front has it in.
    pub in_rotation: AtomicBool,
    idle: Mutex<Vec<SendRequest<Full<Bytes>>>>,
    /// Counts its processes.
    epoch: AtomicU64,
    /// How many jobs ended so, as clients saw it.
    served: AtomicU64,
    indeterminate: AtomicU64,
}

impl Backend {
    /// One that the front does not have in.
    pub fn new() -> Self {
        Backend {
            address: Mutex::default(),
            in_rotation: AtomicBool::new(false),
            idle: Mutex::default(),
            epoch: AtomicU64::new(0),
            served: AtomicU64::new(0),
            indeterminate: AtomicU64::new(0),
        }
    }

    /// One that the front has in, at this address.
    pub fn in_rotation_at(address: SocketAddr) -> Self {
        let backend = Backend::new();
        backend.add_to_rotation(address);
        backend
    }

    /// The front has it in, at this address.
    pub fn add_to_rotation(&self, address: SocketAddr) {
        *lock(&self.address) = Some(address);
        self.in_rotation.store(true, Ordering::Relaxed);
    }

    /// Whether clients use it: the front has it in, or a connection to it is still open.
    fn is_used(&self) -> bool {
        self.in_rotation.load(Ordering::Relaxed) || lock(&self.idle).iter().any(SendRequest::is_ready)
    }

    /// Its process is gone: connections lead nowhere, and counts begin anew with the next.
    pub fn process_ended(&self) {
        self.epoch.fetch_add(1, Ordering::Relaxed);
        lock(&self.idle).clear();
        self.served.store(0, Ordering::Relaxed);
        self.indeterminate.store(0, Ordering::Relaxed);
    }

    /// Jobs that it served; none where it cannot be known, since a connection broke or a client gave up.
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

/// What clients counted.
#[derive(Clone, Debug)]
pub struct LoadCounts {
    /// Each job that was asked for.
    pub jobs: Vec<Asked>,
    /// Time to an answer, from when it was meant to be sent, in microseconds.
    pub latency: Histogram<u64>,
    /// Jobs served, in time or not.
    pub served: u64,
    /// Refusals.
    pub refused: u64,
    /// Failures, and jobs without an answer.
    pub failed: u64,
    /// Tries after the first.
    pub retries: u64,
    /// Jobs served too late, for each class.
    pub late: Vec<usize>,
}

/// The clients of a play. Clones are the same.
#[derive(Clone)]
pub struct LoadGenerator(Arc<Inner>);

struct Inner {
    s: Scenario,
    backends: Arc<Vec<Backend>>,
    event_log: EventLog,
    lateness: Lateness,
    counted: Mutex<LoadCounts>,
    rng: Mutex<SmallRng>,
    next: AtomicU64,
    /// No retries any more: the play ends.
    ending: AtomicBool,
}

impl LoadGenerator {
    /// Clients of these dispatchers.
    pub fn new(
        s: &Scenario,
        seed: u64,
        backends: Arc<Vec<Backend>>,
        event_log: EventLog,
        lateness: Lateness,
    ) -> Self {
        // Three digits, from 1 us to an hour.
        let latency = Histogram::new_with_bounds(1, 3_600_000_000, 3);
        let counted = LoadCounts {
            jobs: Vec::new(),
            latency: latency.unwrap_or_else(|_| unreachable!("bounds that hold")),
            served: 0,
            refused: 0,
            failed: 0,
            retries: 0,
            late: vec![0; s.classes.len()],
        };
        LoadGenerator(Arc::new(Inner {
            s: s.clone(),
            backends,
            event_log,
            lateness,
            counted: Mutex::new(counted),
            rng: Mutex::new(stream(seed, Stream::Retry, 1)),
            next: AtomicU64::new(1),
            ending: AtomicBool::new(false),
        }))
    }

    /// What was counted so far.
    pub fn counts(&self) -> LoadCounts {
        lock(&self.0.counted).clone()
    }

    /// Sends all arrivals, each at its time after `begin`, and waits for what becomes of them.
    pub async fn run(&self, begin: Time, arrivals: &[Arrival]) {
        let clock = self.0.event_log.clock();
        let mut all = tokio::task::JoinSet::new();
        for arrival in arrivals {
            let meant = begin + (arrival.asked - Time(0));
            self.0.lateness.record(clock.sleep_until(meant).await);
            let (load, mut arrival) = (self.clone(), *arrival);
            let number = {
                let mut counted = lock(&self.0.counted);
                counted.jobs.push(Asked { class: arrival.class, at: arrival.asked, in_time: false });
                counted.jobs.len() - 1
            };
            arrival.asked = meant;
            all.spawn(async move { load.job(number, arrival).await });
            while all.try_join_next().is_some() {}
        }
        self.0.ending.store(true, Ordering::Relaxed);
        while all.join_next().await.is_some() {}
    }

    /// One job, to its end: with its retries.
    async fn job(&self, number: usize, arrival: Arrival) {
        let class = &self.0.s.classes[arrival.class];
        let clock = self.0.event_log.clock();
        let mut tries = 0;
        loop {
            tries += 1;
            let (end, advice) = self.try_once(&arrival).await;
            let now = clock.now();
            {
                let mut counted = lock(&self.0.counted);
                match end {
                    RequestOutcome::Served => {
                        let took = now - arrival.asked;
                        let aim = class.get("aim") / 1000.0 + class.get("stretch") * arrival.work;
                        counted.jobs[number].in_time = took.secs() <= aim;
                        counted.late[arrival.class] += usize::from(took.secs() > aim);
                        counted.served += 1;
                        counted.latency.saturating_record(took.0.max(1) as u64);
                        return;
                    }
                    RequestOutcome::Refused => counted.refused += 1,
                    RequestOutcome::Failed
                    | RequestOutcome::ConnectionLost
                    | RequestOutcome::NotConnected
                    | RequestOutcome::TimedOut => counted.failed += 1,
                }
                let harmless = matches!(end, RequestOutcome::Refused | RequestOutcome::NotConnected)
                    || class.effect() == Effect::Safe;
                let may =
                    tries <= self.0.s.count("clients.retries") && !self.0.ending.load(Ordering::Relaxed);
                if !harmless || !may || end == RequestOutcome::TimedOut {
                    return;
                }
                counted.retries += 1;
            }
            let back_off = self.0.s.get("clients.back-off") * (0.5 + lock(&self.0.rng).random::<f64>());
            let advice = advice.filter(|_| self.0.s.on("clients.heeds-advice")).unwrap_or_default();
            tokio::time::sleep(Duration::from_secs_f64(back_off / 1000.0).max(advice)).await;
        }
    }

    /// A dispatcher of the client's zone that the front has in; else any.
    fn backend(&self, zone: usize) -> Option<usize> {
        let zones = self.0.s.count("zones");
        let backends = &self.0.backends;
        let has = |backend: &usize| backends[*backend].is_used();
        let near: Vec<usize> =
            (0..backends.len()).filter(|backend| backend % zones == zone).filter(has).collect();
        let all = if near.is_empty() { (0..backends.len()).filter(has).collect() } else { near };
        (!all.is_empty()).then(|| all[lock(&self.0.rng).random_range(0..all.len())])
    }

    async fn try_once(&self, arrival: &Arrival) -> (RequestOutcome, Option<Duration>) {
        let Some(dispatcher) = self.backend(arrival.zone) else {
            return (RequestOutcome::NotConnected, None);
        };
        let class = &self.0.s.classes[arrival.class];
        let id = JobId::new(dispatcher, self.0.next.fetch_add(1, Ordering::Relaxed));
        let clock = self.0.event_log.clock();
        let time = class.get("deadline");
        let deadline = clock.now() + Span::from_ms(time);
        let once = class.effect() != Effect::Safe;
        self.0.event_log.record(Event::Sent { id: id.0, dispatcher, once, deadline_ms: deadline.ms() });
        let facts =
            JobBody { slots: arrival.slots, work: arrival.work, key: arrival.key, worth: class.get("worth") };
        let request = Request::post(format!("/{}/k{}", class.name, arrival.key))
            .header("host", "service.internal")
            .header("x-correlation-id", id.to_string())
            .header("x-service-class", &class.name)
            .header("x-time-left-ms", (time as u64).max(1))
            .header("x-facts", format!("slots={}", arrival.slots))
            .body(Full::from(serde_json::to_vec(&facts).unwrap_or_default()));
        // All of it is plain text.
        let Ok(request) = request else { return (RequestOutcome::NotConnected, None) };
        let patience = deadline + self.0.s.span("rules.answer-slack") + SOCKET_SLACK;
        let exchange = self.exchange(dispatcher, id, request);
        let (end, advice, epoch) = match tokio::time::timeout_at(clock.instant(patience), exchange).await {
            Ok(done) => done,
            Err(_) => (RequestOutcome::TimedOut, None, 0),
        };
        self.0.event_log.record(Event::Closed { id: id.0, dispatcher, outcome: end });
        let backend = &self.0.backends[dispatcher];
        match end {
            // By the process that is there now, and not by the one before.
            RequestOutcome::Served if epoch == backend.epoch.load(Ordering::Relaxed) => {
                backend.served.fetch_add(1, Ordering::Relaxed)
            }
            RequestOutcome::Served => 0,
            RequestOutcome::ConnectionLost | RequestOutcome::TimedOut => {
                backend.indeterminate.fetch_add(1, Ordering::Relaxed)
            }
            RequestOutcome::Refused | RequestOutcome::Failed | RequestOutcome::NotConnected => 0,
        };
        (end, advice)
    }

    /// Sends a request on a kept connection or a new one, and says to which process. Dropped, it closes the
    /// connection.
    async fn exchange(
        &self,
        dispatcher: usize,
        id: JobId,
        request: Request<Full<Bytes>>,
    ) -> (RequestOutcome, Option<Duration>, u64) {
        let backend = &self.0.backends[dispatcher];
        let mut sender = loop {
            let Some(kept) = lock(&backend.idle).pop() else {
                if !backend.in_rotation.load(Ordering::Relaxed) {
                    return (RequestOutcome::NotConnected, None, 0);
                }
                break match self.connect(backend).await {
                    Some(sender) => sender,
                    None => return (RequestOutcome::NotConnected, None, 0),
                };
            };
            if kept.is_ready() {
                break kept;
            }
        };
        // Read after the connection is there: what it leads to is of this epoch, or gone.
        let epoch = backend.epoch.load(Ordering::Relaxed);
        let response = match sender.send_request(request).await {
            Ok(response) => response,
            // Nothing of it was written.
            Err(error) if error.is_canceled() => return (RequestOutcome::NotConnected, None, epoch),
            Err(_) => return (RequestOutcome::ConnectionLost, None, epoch),
        };
        let status = response.status().as_u16();
        let advice =
            response.headers().get("retry-after").and_then(|value| value.to_str().ok()?.parse().ok());
        let advice = advice.filter(|secs: &f64| (0.0..3600.0).contains(secs)).map(Duration::from_secs_f64);
        let Ok(body) = Limited::new(response.into_body(), MAX_ANSWER).collect().await else {
            return (RequestOutcome::ConnectionLost, None, epoch);
        };
        if sender.ready().await.is_ok() {
            lock(&backend.idle).push(sender);
        }
        let end = match status {
            // A log worker's result is the job's own number.
            200 if body.to_bytes() == id.to_string() => RequestOutcome::Served,
            429 | 503 => RequestOutcome::Refused,
            _ => RequestOutcome::Failed,
        };
        (end, advice, epoch)
    }

    async fn connect(&self, backend: &Backend) -> Option<SendRequest<Full<Bytes>>> {
        let address = (*lock(&backend.address))?;
        let stream = tokio::time::timeout(CONNECT, TcpStream::connect(address)).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        // It ends with the last of who may send on it.
        tokio::spawn(connection);
        Some(sender)
    }
}
