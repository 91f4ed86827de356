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
use rookspoke_emulator::report::JobResult;
use rookspoke_emulator::rng::{stream, Stream};
use rookspoke_emulator::scenario::Scenario;
use tokio::net::TcpStream;

use crate::clock::Lateness;
use crate::job::JobId;
use crate::plant::Facts;
use crate::seen::{End, Seen, Watch};

/// On sockets every time limit is this much longer.
pub const SOCKET_SLACK: Span = Span(50_000);
/// The longest answer that is read, in bytes.
const MAX_ANSWER: usize = 64 * 1024;
/// A connection to a dispatcher on this machine that is not up by then never comes up.
const CONNECT: Duration = Duration::from_secs(1);

/// What the front, which deals out connections, knows of a dispatcher.
#[derive(Debug)]
pub struct Seat {
    /// Where clients reach it, through a link or not.
    pub address: Mutex<Option<SocketAddr>>,
    /// The front has it in.
    pub in_front: AtomicBool,
    idle: Mutex<Vec<SendRequest<Full<Bytes>>>>,
    /// Counts its processes.
    epoch: AtomicU64,
    /// How many jobs ended so, as clients saw it.
    served: AtomicU64,
    unclear: AtomicU64,
}

impl Seat {
    /// One that the front does not have in.
    pub fn new() -> Self {
        Seat {
            address: Mutex::default(),
            in_front: AtomicBool::new(false),
            idle: Mutex::default(),
            epoch: AtomicU64::new(0),
            served: AtomicU64::new(0),
            unclear: AtomicU64::new(0),
        }
    }

    /// One that the front has in, at this address.
    pub fn at(address: SocketAddr) -> Self {
        let seat = Seat::new();
        seat.takes(address);
        seat
    }

    /// The front has it in, at this address.
    pub fn takes(&self, address: SocketAddr) {
        *lock(&self.address) = Some(address);
        self.in_front.store(true, Ordering::Relaxed);
    }

    /// Whether clients use it: the front has it in, or a connection to it is still open.
    fn is_used(&self) -> bool {
        self.in_front.load(Ordering::Relaxed) || lock(&self.idle).iter().any(SendRequest::is_ready)
    }

    /// Its process is gone: connections lead nowhere, and counts begin anew with the next.
    pub fn is_gone(&self) {
        self.epoch.fetch_add(1, Ordering::Relaxed);
        lock(&self.idle).clear();
        self.served.store(0, Ordering::Relaxed);
        self.unclear.store(0, Ordering::Relaxed);
    }

    /// Jobs that it served; none where it cannot be known, since a connection broke or a client gave up.
    pub fn served(&self) -> Option<u64> {
        (self.unclear.load(Ordering::Relaxed) == 0).then(|| self.served.load(Ordering::Relaxed))
    }
}

impl Default for Seat {
    fn default() -> Self {
        Self::new()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What clients counted.
#[derive(Clone, Debug)]
pub struct Counted {
    /// Each job that was asked for.
    pub asked: Vec<JobResult>,
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
pub struct Load(Arc<Inner>);

struct Inner {
    s: Scenario,
    seats: Arc<Vec<Seat>>,
    watch: Watch,
    lateness: Lateness,
    counted: Mutex<Counted>,
    rng: Mutex<SmallRng>,
    next: AtomicU64,
    /// No retries any more: the play ends.
    ending: AtomicBool,
}

impl Load {
    /// Clients of these dispatchers.
    pub fn new(s: &Scenario, seed: u64, seats: Arc<Vec<Seat>>, watch: Watch, lateness: Lateness) -> Self {
        // Three digits, from 1 us to an hour.
        let latency = Histogram::new_with_bounds(1, 3_600_000_000, 3);
        let counted = Counted {
            asked: Vec::new(),
            latency: latency.unwrap_or_else(|_| unreachable!("bounds that hold")),
            served: 0,
            refused: 0,
            failed: 0,
            retries: 0,
            late: vec![0; s.classes.len()],
        };
        Load(Arc::new(Inner {
            s: s.clone(),
            seats,
            watch,
            lateness,
            counted: Mutex::new(counted),
            rng: Mutex::new(stream(seed, Stream::Retry, 1)),
            next: AtomicU64::new(1),
            ending: AtomicBool::new(false),
        }))
    }

    /// What was counted so far.
    pub fn counted(&self) -> Counted {
        lock(&self.0.counted).clone()
    }

    /// Sends all arrivals, each at its time after `begin`, and waits for what becomes of them.
    pub async fn run(&self, begin: Time, arrivals: &[Arrival]) {
        let clock = self.0.watch.clock();
        let mut all = tokio::task::JoinSet::new();
        for arrival in arrivals {
            let meant = begin + (arrival.asked - Time(0));
            self.0.lateness.record(clock.sleep_until(meant).await);
            let (load, mut arrival) = (self.clone(), *arrival);
            let number = {
                let mut counted = lock(&self.0.counted);
                counted.asked.push(JobResult { class: arrival.class, at: arrival.asked, in_time: false });
                counted.asked.len() - 1
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
        let clock = self.0.watch.clock();
        let mut tries = 0;
        loop {
            tries += 1;
            let (end, advice) = self.try_once(&arrival).await;
            let now = clock.now();
            {
                let mut counted = lock(&self.0.counted);
                match end {
                    End::Served => {
                        let took = now - arrival.asked;
                        let aim = class.get("aim") / 1000.0 + class.get("stretch") * arrival.work;
                        counted.asked[number].in_time = took.secs() <= aim;
                        counted.late[arrival.class] += usize::from(took.secs() > aim);
                        counted.served += 1;
                        counted.latency.saturating_record(took.0.max(1) as u64);
                        return;
                    }
                    End::Refused => counted.refused += 1,
                    End::Failed | End::Lost | End::Unreached | End::GivenUp => counted.failed += 1,
                }
                let harmless = matches!(end, End::Refused | End::Unreached) || class.effect() == Effect::Safe;
                let may =
                    tries <= self.0.s.count("clients.retries") && !self.0.ending.load(Ordering::Relaxed);
                if !harmless || !may || end == End::GivenUp {
                    return;
                }
                counted.retries += 1;
            }
            let back_off = self.0.s.get("clients.back-off") * (0.5 + lock(&self.0.rng).random::<f64>());
            let advice = advice.filter(|_| self.0.s.is_on("clients.heeds-advice")).unwrap_or_default();
            tokio::time::sleep(Duration::from_secs_f64(back_off / 1000.0).max(advice)).await;
        }
    }

    /// A dispatcher of the client's zone that the front has in; else any.
    fn seat(&self, zone: usize) -> Option<usize> {
        let zones = self.0.s.count("zones");
        let seats = &self.0.seats;
        let has = |seat: &usize| seats[*seat].is_used();
        let near: Vec<usize> = (0..seats.len()).filter(|seat| seat % zones == zone).filter(has).collect();
        let all = if near.is_empty() { (0..seats.len()).filter(has).collect() } else { near };
        (!all.is_empty()).then(|| all[lock(&self.0.rng).random_range(0..all.len())])
    }

    async fn try_once(&self, arrival: &Arrival) -> (End, Option<Duration>) {
        let Some(dispatcher) = self.seat(arrival.zone) else { return (End::Unreached, None) };
        let class = &self.0.s.classes[arrival.class];
        let id = JobId::new(dispatcher, self.0.next.fetch_add(1, Ordering::Relaxed));
        let clock = self.0.watch.clock();
        let time = class.get("deadline");
        let deadline = clock.now() + Span::from_ms(time);
        let once = class.effect() != Effect::Safe;
        self.0.watch.sees(Seen::Sent { id: id.0, dispatcher, once, deadline_ms: deadline.ms() });
        let facts =
            Facts { slots: arrival.slots, work: arrival.work, key: arrival.key, worth: class.get("worth") };
        let request = Request::post(format!("/{}/k{}", class.name, arrival.key))
            .header("host", "service.internal")
            .header("x-correlation-id", id.to_string())
            .header("x-service-class", &class.name)
            .header("x-time-left-ms", (time as u64).max(1))
            .header("x-facts", format!("slots={}", arrival.slots))
            .body(Full::from(serde_json::to_vec(&facts).unwrap_or_default()));
        // All of it is plain text.
        let Ok(request) = request else { return (End::Unreached, None) };
        let patience = deadline + self.0.s.span("rules.answer-slack") + SOCKET_SLACK;
        let exchange = self.exchange(dispatcher, id, request);
        let (end, advice, epoch) = match tokio::time::timeout_at(clock.instant(patience), exchange).await {
            Ok(done) => done,
            Err(_) => (End::GivenUp, None, 0),
        };
        self.0.watch.sees(Seen::Closed { id: id.0, dispatcher, end });
        let seat = &self.0.seats[dispatcher];
        match end {
            // By the process that is there now, and not by the one before.
            End::Served if epoch == seat.epoch.load(Ordering::Relaxed) => {
                seat.served.fetch_add(1, Ordering::Relaxed)
            }
            End::Served => 0,
            End::Lost | End::GivenUp => seat.unclear.fetch_add(1, Ordering::Relaxed),
            End::Refused | End::Failed | End::Unreached => 0,
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
    ) -> (End, Option<Duration>, u64) {
        let seat = &self.0.seats[dispatcher];
        let mut sender = loop {
            let Some(kept) = lock(&seat.idle).pop() else {
                if !seat.in_front.load(Ordering::Relaxed) {
                    return (End::Unreached, None, 0);
                }
                break match self.connect(seat).await {
                    Some(sender) => sender,
                    None => return (End::Unreached, None, 0),
                };
            };
            if kept.is_ready() {
                break kept;
            }
        };
        // Read after the connection is there: what it leads to is of this epoch, or gone.
        let epoch = seat.epoch.load(Ordering::Relaxed);
        let response = match sender.send_request(request).await {
            Ok(response) => response,
            // Nothing of it was written.
            Err(error) if error.is_canceled() => return (End::Unreached, None, epoch),
            Err(_) => return (End::Lost, None, epoch),
        };
        let status = response.status().as_u16();
        let advice =
            response.headers().get("retry-after").and_then(|value| value.to_str().ok()?.parse().ok());
        let advice = advice.filter(|secs: &f64| (0.0..3600.0).contains(secs)).map(Duration::from_secs_f64);
        let Ok(body) = Limited::new(response.into_body(), MAX_ANSWER).collect().await else {
            return (End::Lost, None, epoch);
        };
        if sender.ready().await.is_ok() {
            lock(&seat.idle).push(sender);
        }
        let end = match status {
            // A log worker's result is the job's own number.
            200 if body.to_bytes() == id.to_string() => End::Served,
            429 | 503 => End::Refused,
            _ => End::Failed,
        };
        (end, advice, epoch)
    }

    async fn connect(&self, seat: &Seat) -> Option<SendRequest<Full<Bytes>>> {
        let address = (*lock(&seat.address))?;
        let stream = tokio::time::timeout(CONNECT, TcpStream::connect(address)).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        // It ends with the last of who may send on it.
        tokio::spawn(connection);
        Some(sender)
    }
}
