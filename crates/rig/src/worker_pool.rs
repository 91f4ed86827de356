//! The pool of stand-in log workers: the emulator's model of a log worker behind the platform's protocol on real sockets,
//! hundreds of them in one process.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use rand::rngs::SmallRng;
use rand::Rng;
use rookspoke_decisions::{Span, Time};
use rookspoke_emulator::check::{InvariantChecker, Rule, RuleLimits};
use rookspoke_emulator::model::{draw_worker_spec, Job, StartPhase, Store, Worker};
use rookspoke_emulator::rng::{stream, Stream};
use rookspoke_emulator::scenario::Scenario;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, Notify};

use crate::clock::Lateness;
use crate::discovery::{DiscoveryServer, ListedState};
use crate::event_log::{Event, EventLog};
use crate::job::JobId;
use crate::response::{plain_response, BodyChunk, ConnectionReset, StreamBody};

/// Interval at which the speed of a log worker in slow start is updated.
const SLOW_START_STEP: Span = Span(100_000);
/// Maximum size of a job's body, in bytes.
const MAX_BODY: usize = 64 * 1024;

/// The body of a job: the resources that it takes of a log worker.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct JobBody {
    /// Number of slots that the job occupies.
    pub slots: f64,
    /// Running time at speed 1, in seconds.
    pub work: f64,
    /// Key of the data that the job reads.
    pub key: u64,
    /// Value of the job to its client.
    pub worth: f64,
}

/// State of a log worker's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessState {
    /// It serves connections; the number is the epoch of the process.
    Running(u64),
    /// The system still accepts connections for it, but it answers nothing.
    Silent,
    Stopped,
}

struct WorkerProcess {
    worker: Worker,
    state: watch::Sender<ProcessState>,
    draining: bool,
    /// Incremented with each start and end of the process.
    epoch: u64,
    /// Number of the last timer set for the model's next change; earlier timers are obsolete.
    version: u64,
    connections: usize,
    /// Load reports, each with the time from which it is visible.
    reports: VecDeque<(Time, String)>,
    rng: SmallRng,
}

impl WorkerProcess {
    fn is_up(&self) -> bool {
        matches!(*self.state.borrow(), ProcessState::Running(_))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// The next change in a log worker's model, with the version that it was set for.
    Worker(usize, u64),
    /// The end of the store's next transfer, with the version that it was set for.
    Store(u64),
    /// A log worker's next load report.
    Report(usize),
}

struct Attempt {
    /// The job's number.
    id: u64,
    worker: usize,
    /// Where the lines of the response go.
    chunks: mpsc::Sender<BodyChunk>,
}

struct PoolState {
    processes: Vec<WorkerProcess>,
    store: Store,
    store_version: u64,
    timers: BinaryHeap<Reverse<(Time, Timer)>>,
    attempts: HashMap<usize, Attempt>,
    next_attempt: usize,
    /// Decides who caused the overload of a log worker in slow start.
    checker: InvariantChecker,
    /// Overloads so far that were caused by dispatchers that had been notified of the start.
    blamed_overloads: u64,
    extra_report_delay: Span,
    /// Attempts whose process has ended. Their response bodies stay open until the log worker starts again.
    orphaned_attempts: Vec<Attempt>,
    connections_opened: u64,
    probes: u64,
}

/// All log workers of a run. Clones share the same pool.
#[derive(Clone)]
pub struct WorkerPool(Arc<Inner>);

struct Inner {
    scenario: Scenario,
    state: Mutex<PoolState>,
    changed: Notify,
    event_log: EventLog,
    lateness: Lateness,
    discovery_server: DiscoveryServer,
    addresses: Vec<SocketAddr>,
    mean_work: f64,
}

/// Result of an attempt's arrival at a log worker.
enum Admission {
    Rejected,
    /// The attempt overloaded the process, which ended.
    ProcessFailed,
    /// The number of the attempt and the lines of its response.
    Accepted(usize, mpsc::Receiver<BodyChunk>),
}

impl WorkerPool {
    /// Starts one log worker for each listener. Changes of their state are passed on to `discovery_server`.
    ///
    /// # Errors
    /// The address of a listener cannot be read.
    pub async fn start(
        scenario: &Scenario,
        seed: u64,
        listeners: Vec<TcpListener>,
        discovery_server: DiscoveryServer,
        event_log: EventLog,
        lateness: Lateness,
    ) -> std::io::Result<Self> {
        let mut processes = Vec::new();
        for number in 0..listeners.len() {
            processes.push(WorkerProcess {
                worker: Worker::new(draw_worker_spec(scenario, seed, number)),
                state: watch::Sender::new(ProcessState::Running(0)),
                draining: false,
                epoch: 0,
                version: 0,
                connections: 0,
                reports: VecDeque::new(),
                rng: stream(seed, Stream::Report, number as u64),
            });
        }
        let mut timers = BinaryHeap::new();
        for (number, process) in processes.iter_mut().enumerate() {
            // Spread over one interval, so that the log workers do not all report at the same moment.
            let first = process.rng.random_range(0..=scenario.span("report.every").0);
            timers.push(Reverse((event_log.clock().now() + Span(first), Timer::Report(number))));
        }
        let pool = PoolState {
            processes,
            store: Store::new(scenario.get("store.together")),
            store_version: 0,
            timers,
            attempts: HashMap::new(),
            next_attempt: 0,
            checker: InvariantChecker::new(RuleLimits {
                answer_slack: scenario.span("rules.answer-slack"),
                drain_grace: scenario.span("rules.drain-grace"),
                overload_multiple: scenario.get("rules.fall-multiple"),
                overload_window: scenario.span("rules.fall-span"),
                forbid_parallel_attempts: false,
            }),
            blamed_overloads: 0,
            extra_report_delay: Span(0),
            orphaned_attempts: Vec::new(),
            connections_opened: 0,
            probes: 0,
        };
        let addresses: std::io::Result<Vec<SocketAddr>> = listeners.iter().map(|l| l.local_addr()).collect();
        let worker_pool = WorkerPool(Arc::new(Inner {
            scenario: scenario.clone(),
            state: Mutex::new(pool),
            changed: Notify::new(),
            event_log,
            lateness,
            discovery_server,
            addresses: addresses?,
            mean_work: scenario.mean_work(),
        }));
        for (number, listener) in listeners.into_iter().enumerate() {
            tokio::spawn(worker_pool.clone().listen(number, listener));
        }
        tokio::spawn(worker_pool.clone().run_timers());
        Ok(worker_pool)
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Time {
        self.0.event_log.clock().now()
    }

    /// Runs timers as they expire, in order of time, without end.
    async fn run_timers(self) {
        loop {
            let now = self.now();
            let next = {
                let mut pool = self.lock();
                while let Some(Reverse((at, timer))) =
                    pool.timers.peek().copied().filter(|next| next.0 .0 <= now)
                {
                    pool.timers.pop();
                    let obsolete = match timer {
                        Timer::Worker(worker, version) => pool.processes[worker].version != version,
                        Timer::Store(version) => pool.store_version != version,
                        Timer::Report(_) => false,
                    };
                    if obsolete {
                        continue;
                    }
                    self.0.lateness.record(now - at);
                    match timer {
                        Timer::Worker(worker, _) => self.advance_worker(&mut pool, worker),
                        Timer::Store(_) => self.advance_store(&mut pool),
                        Timer::Report(worker) => self.create_report(&mut pool, worker),
                    }
                }
                pool.timers.peek().map(|next| next.0 .0)
            };
            let clock = self.0.event_log.clock();
            tokio::select! {
                _ = clock.sleep_until(next.unwrap_or(now + Span(1_000_000))) => {}
                () = self.0.changed.notified() => {}
            }
        }
    }

    // The model, advanced in the same way as in the emulator.

    fn schedule_worker(&self, pool: &mut PoolState, worker: usize) {
        let now = self.now();
        let process = &mut pool.processes[worker];
        process.version += 1;
        let mut next = process.worker.next_completion(now);
        if process.worker.in_slow_start(now) && !process.worker.is_idle() {
            // Its speed rises during slow start, so the next end is computed anew at each step.
            next = Some(next.map_or(now + SLOW_START_STEP, |next| next.min(now + SLOW_START_STEP)));
        }
        if let Some(next) = next {
            pool.timers.push(Reverse((next, Timer::Worker(worker, process.version))));
            self.0.changed.notify_one();
        }
    }

    fn schedule_store(&self, pool: &mut PoolState) {
        pool.store_version += 1;
        if let Some(next) = pool.store.next_completion() {
            pool.timers.push(Reverse((next, Timer::Store(pool.store_version))));
            self.0.changed.notify_one();
        }
    }

    fn advance_worker(&self, pool: &mut PoolState, worker: usize) {
        pool.processes[worker].worker.advance(self.now());
        for job in pool.processes[worker].worker.take_completed() {
            if let Some(attempt) = pool.attempts.remove(&job.attempt) {
                self.0.event_log.record(Event::Finished { id: attempt.id, worker });
                self.send_state(&attempt, "done", true);
            }
        }
        self.start_jobs(pool, worker);
    }

    fn start_jobs(&self, pool: &mut PoolState, worker: usize) {
        let now = self.now();
        while let Some((job, begins)) = pool.processes[worker].worker.start_next() {
            if begins == StartPhase::Fetching {
                pool.store.advance(now);
                pool.store.start_fetch((worker, job.attempt), self.0.scenario.span("store.fetch"));
                self.schedule_store(pool);
            }
            if let Some(attempt) = pool.attempts.get(&job.attempt) {
                self.0.event_log.record(Event::Started { id: attempt.id, worker });
                self.send_state(attempt, "started", false);
            }
        }
        self.schedule_worker(pool, worker);
    }

    fn advance_store(&self, pool: &mut PoolState) {
        let now = self.now();
        pool.store.advance(now);
        for (worker, attempt) in pool.store.take_completed() {
            pool.processes[worker].worker.advance(now);
            pool.processes[worker].worker.archive_fetched(attempt);
            self.schedule_worker(pool, worker);
        }
        self.schedule_store(pool);
    }

    fn send_state(&self, attempt: &Attempt, state: &str, result: bool) {
        let id = JobId(attempt.id).to_string();
        let mut line = json!({"id": id, "from": worker_name(attempt.worker), "state": state});
        if result {
            line["result"] = id.into();
        }
        // The channel's capacity of 4 holds all lines of one attempt, so this fails only where nobody reads the response.
        let _ = attempt.chunks.try_send(Ok(Bytes::from(format!("{line}\n"))));
    }

    fn admit(&self, worker: usize, id: u64, left_ms: Option<f64>, body: JobBody) -> Admission {
        let mut pool = self.lock();
        let pool = &mut *pool;
        let now = self.now();
        self.0.event_log.record(Event::Reached { id, worker, left_ms });
        if pool.processes[worker].worker.in_slow_start(now) && self.overloads(pool, worker, id) {
            return Admission::ProcessFailed;
        }
        let attempt = pool.next_attempt;
        pool.next_attempt += 1;
        let job = Job { attempt, slots: body.slots, work: body.work, key: body.key, worth: body.worth };
        let process = &mut pool.processes[worker];
        process.worker.advance(now);
        let hands_back = process.draining && self.0.scenario.is_on("worker.hands-back");
        if hands_back || !process.worker.enqueue(job) {
            self.0.event_log.record(Event::TurnedAway { id, worker });
            return Admission::Rejected;
        }
        let (chunks, receiver) = mpsc::channel(4);
        pool.attempts.insert(attempt, Attempt { id, worker, chunks });
        self.start_jobs(pool, worker);
        Admission::Accepted(attempt, receiver)
    }

    /// Counts a job that reaches a log worker in slow start. Returns whether it overloads the process, which then ends.
    fn overloads(&self, pool: &mut PoolState, worker: usize, id: u64) -> bool {
        let now = self.now();
        let process = &pool.processes[worker];
        let notified =
            self.0.discovery_server.notified_start(JobId(id).dispatcher(), worker) == process.worker.started;
        let capacity = process.worker.nominal_capacity(now);
        if !pool.checker.work_arrived(now, worker, self.0.mean_work, notified, capacity) {
            return false;
        }
        let blamed = pool.checker.violations(Rule::GentleStart);
        let notified = blamed > pool.blamed_overloads;
        pool.blamed_overloads = blamed;
        self.0.event_log.record(Event::Overloaded { worker, notified });
        // Nothing restarts it, unless an incident does so later.
        self.end_process(pool, worker, false);
        self.0.discovery_server.update_after(
            self.0.scenario.span("discovery.notices"),
            worker,
            ListedState::Gone,
        );
        true
    }

    fn cancel_attempt(&self, attempt: usize) {
        let mut pool = self.lock();
        let pool = &mut *pool;
        let Some(Attempt { worker, .. }) = pool.attempts.get(&attempt) else { return };
        let (worker, now) = (*worker, self.now());
        pool.processes[worker].worker.advance(now);
        let running = self.0.scenario.is_on("worker.cancels-running");
        if pool.processes[worker].worker.remove_job(attempt, running) {
            pool.attempts.remove(&attempt);
            pool.store.advance(now);
            pool.store.cancel_fetches(worker, Some(attempt));
            self.schedule_store(pool);
            self.start_jobs(pool, worker);
        }
    }

    /// Ends a process at once; the jobs that it held are lost.
    fn end_process(&self, pool: &mut PoolState, worker: usize, silent: bool) {
        let now = self.now();
        let process = &mut pool.processes[worker];
        process.worker.advance(now);
        let lost = process.worker.terminate();
        process.draining = false;
        process.connections = 0;
        process.epoch += 1;
        process.reports.clear();
        process.state.send_replace(if silent { ProcessState::Silent } else { ProcessState::Stopped });
        pool.store.advance(now);
        pool.store.cancel_fetches(worker, None);
        for job in lost {
            // The response body is neither completed nor continued: the end of the connection tells the dispatcher.
            pool.orphaned_attempts.extend(pool.attempts.remove(&job.attempt));
        }
        self.schedule_store(pool);
        self.schedule_worker(pool, worker);
    }

    fn create_report(&self, pool: &mut PoolState, worker: usize) {
        let now = self.now();
        let (every, noise) = (self.0.scenario.span("report.every"), self.0.scenario.get("report.noise"));
        let late = self.0.scenario.span("report.late") + pool.extra_report_delay;
        let process = &mut pool.processes[worker];
        if process.is_up() && !process.worker.paused {
            process.worker.advance(now);
            let mut noise_factor = || 1.0 + noise * (2.0 * process.rng.random::<f64>() - 1.0);
            let free = (process.worker.free_slots() * noise_factor()).max(0.0);
            let util = (process.worker.utilization() * noise_factor()).clamp(0.0, 1.0);
            let report = json!({"x0": free, "util": util}).to_string();
            process.reports.push_back((now + late, report));
        }
        pool.timers.push(Reverse((now + every, Timer::Report(worker))));
    }

    fn stats(&self, worker: usize) -> String {
        let mut pool = self.lock();
        let now = self.now();
        pool.probes += 1;
        let process = &mut pool.processes[worker];
        process.worker.advance(now);
        process.worker.add_overhead(self.0.scenario.get("probe.work") / 1000.0);
        while process.reports.len() > 1 && process.reports[1].0 <= now {
            process.reports.pop_front();
        }
        let report = process.reports.front().filter(|(at, _)| *at <= now).map(|(_, report)| report.clone());
        self.schedule_worker(&mut pool, worker);
        report.unwrap_or_else(|| "{}".into())
    }

    // Incidents.

    /// Ends the process of each of these log workers, and notifies discovery after a delay. Connections are reset or, if
    /// `silent`, stay open without an answer, as when the whole machine fails.
    pub fn crash(&self, workers: &[usize], silent: bool) {
        let delay = if silent { "discovery.notices-silence" } else { "discovery.notices" };
        for worker in workers.iter().filter(|worker| self.stop(**worker, silent)) {
            self.0.discovery_server.update_after(self.0.scenario.span(delay), *worker, ListedState::Gone);
        }
    }

    /// Ends a log worker's process without notifying discovery. Returns whether the process was running.
    pub fn stop(&self, worker: usize, silent: bool) -> bool {
        let mut pool = self.lock();
        let was_running = pool.processes[worker].is_up();
        if was_running {
            self.log_state(worker, if silent { "stops answering" } else { "exits" });
            self.end_process(&mut pool, worker, silent);
        }
        was_running
    }

    /// Starts a new process, in slow start, for each of these log workers that has none.
    pub fn restart(&self, workers: &[usize]) {
        let now = self.now();
        for worker in workers {
            let mut pool = self.lock();
            let pool = &mut *pool;
            if pool.processes[*worker].is_up() {
                continue;
            }
            self.log_state(*worker, "starts");
            let process = &mut pool.processes[*worker];
            process.worker.advance(now);
            process.worker.started = Some(now);
            process.epoch += 1;
            let epoch = process.epoch;
            process.state.send_replace(ProcessState::Running(epoch));
            pool.checker.worker_restarted(*worker);
            pool.orphaned_attempts.retain(|attempt| attempt.worker != *worker);
            self.0.discovery_server.update_after(
                self.0.scenario.span("discovery.notices"),
                *worker,
                ListedState::Active(Some(now)),
            );
        }
    }

    /// Makes a log worker drain: it rejects new jobs and hands back those that have not started, if the scenario has it
    /// do so, and discovery is notified after a delay.
    pub fn drain(&self, worker: usize) {
        let mut pool = self.lock();
        let pool = &mut *pool;
        if !pool.processes[worker].is_up() {
            return;
        }
        self.log_state(worker, "drains");
        let now = self.now();
        pool.processes[worker].draining = true;
        self.0.discovery_server.update_after(
            self.0.scenario.span("discovery.notices"),
            worker,
            ListedState::Draining,
        );
        if self.0.scenario.is_on("worker.hands-back") {
            pool.processes[worker].worker.advance(now);
            for job in pool.processes[worker].worker.take_waiting() {
                if let Some(attempt) = pool.attempts.remove(&job.attempt) {
                    self.0.event_log.record(Event::TurnedAway { id: attempt.id, worker });
                    self.send_state(&attempt, "returned", false);
                }
            }
        }
    }

    /// Applies a change to the models of these log workers.
    pub fn update_workers(&self, workers: &[usize], change: impl Fn(&mut Worker)) {
        for worker in workers {
            let mut pool = self.lock();
            let now = self.now();
            pool.processes[*worker].worker.advance(now);
            change(&mut pool.processes[*worker].worker);
            self.start_jobs(&mut pool, *worker);
        }
    }

    /// Delays load reports by this much more; a negative span reverts an earlier delay.
    pub fn delay_reports(&self, by: Span) {
        let mut pool = self.lock();
        pool.extra_report_delay = pool.extra_report_delay + by;
    }

    /// Resets the connection of each job with this probability. The jobs continue to run.
    pub fn reset_connections(&self, chance: f64, rng: &mut SmallRng) {
        let pool = self.lock();
        let mut all: Vec<usize> = pool.attempts.keys().copied().collect();
        all.sort_unstable();
        for attempt in all.into_iter().filter(|_| rng.random::<f64>() < chance) {
            let _ = pool.attempts[&attempt].chunks.try_send(Err(ConnectionReset));
        }
    }

    fn log_state(&self, worker: usize, change: &str) {
        self.0.event_log.record(Event::Script { text: format!("{} {change}", worker_name(worker)) });
    }

    /// Processor time that each log worker spent on jobs, in seconds of one core.
    pub fn busy_seconds(&self) -> Vec<f64> {
        self.lock().processes.iter().map(|process| process.worker.core_seconds).collect()
    }

    /// Number of connections that were opened to the log workers.
    pub fn connections_opened(&self) -> u64 {
        self.lock().connections_opened
    }

    /// Number of probes that the log workers answered.
    pub fn probes(&self) -> u64 {
        self.lock().probes
    }

    /// Number of archives that the log workers fetched from the store.
    pub fn fetches(&self) -> u64 {
        self.lock().store.fetches_started
    }

    /// Number of log workers that accept jobs at present.
    pub fn available_workers(&self) -> usize {
        self.lock().processes.iter().filter(|m| m.is_up() && !m.draining && !m.worker.paused).count()
    }

    // Sockets.

    async fn listen(self, worker: usize, listener: TcpListener) {
        let mut process_state = self.lock().processes[worker].state.subscribe();
        let mut listener = Some(listener);
        loop {
            let now = *process_state.borrow_and_update();
            match now {
                ProcessState::Running(epoch) => {
                    let open = match listener.take() {
                        Some(open) => open,
                        None => match TcpListener::bind(self.0.addresses[worker]).await {
                            Ok(open) => open,
                            Err(_) => {
                                tokio::time::sleep(Duration::from_millis(10)).await;
                                continue;
                            }
                        },
                    };
                    tokio::select! {
                        accepted = open.accept() => match accepted {
                            Ok((stream, _)) => self.serve_connection(worker, epoch, stream, process_state.clone()),
                            // Most likely the rig is out of descriptors; open connections will release some.
                            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
                        },
                        changed = process_state.changed() => if changed.is_err() { return },
                    }
                    listener = Some(open);
                }
                // The listener stays open: the system accepts connections and nobody answers them.
                ProcessState::Silent => {
                    drop(process_state.changed().await);
                    // The machine has started again: connections that were not accepted end with the old listener.
                    listener = None;
                }
                ProcessState::Stopped => {
                    listener = None;
                    if process_state.changed().await.is_err() {
                        return;
                    }
                }
            }
        }
    }

    fn serve_connection(
        &self,
        worker: usize,
        epoch: u64,
        stream: TcpStream,
        mut process_state: watch::Receiver<ProcessState>,
    ) {
        let _ = stream.set_nodelay(true);
        // If the log worker closes first, the connection is reset, as when a process dies with data unsent.
        let _ = stream.set_zero_linger();
        {
            let mut pool = self.lock();
            let now = self.now();
            let process = &mut pool.processes[worker];
            if process.epoch != epoch || process.connections >= self.0.scenario.count("connection.most") {
                return;
            }
            process.connections += 1;
            process.worker.advance(now);
            process.worker.add_overhead(self.0.scenario.get("connection.opening") / 1000.0);
            pool.connections_opened += 1;
            self.schedule_worker(&mut pool, worker);
        }
        let worker_pool = self.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let worker_pool = worker_pool.clone();
                async move { Ok::<_, Infallible>(worker_pool.handle_request(worker, request).await) }
            });
            let idle = Duration::from_micros(worker_pool.0.scenario.span("connection.idle").0.max(1) as u64);
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(idle);
            {
                let connection = builder.serve_connection(TokioIo::new(stream), service);
                tokio::pin!(connection);
                let ends = async {
                    let _ = process_state
                        .wait_for(|process_state| *process_state != ProcessState::Running(epoch))
                        .await;
                };
                let process_ends = tokio::select! {
                    _ = &mut connection => false,
                    () = ends => true,
                };
                if process_ends {
                    // The connection of a silent machine stays open without data until the machine is back.
                    let _ =
                        process_state.wait_for(|process_state| *process_state != ProcessState::Silent).await;
                }
            }
            let mut pool = worker_pool.lock();
            let process = &mut pool.processes[worker];
            if process.epoch == epoch {
                process.connections = process.connections.saturating_sub(1);
            }
        });
    }

    async fn handle_request(&self, worker: usize, request: Request<Incoming>) -> Response<StreamBody> {
        let id = request.headers().get("x-correlation-id").and_then(|id| JobId::parse(id.to_str().ok()?));
        match (request.method(), request.uri().path(), id) {
            (&Method::GET, "/stats", _) => {
                self.wait_while_paused(worker).await;
                plain_response(StatusCode::OK, self.stats(worker))
            }
            (&Method::GET, "/health/live", _) => plain_response(StatusCode::OK, ""),
            (&Method::POST, _, Some(id)) => self.handle_job(worker, id.0, request).await,
            _ => plain_response(StatusCode::BAD_REQUEST, ""),
        }
    }

    async fn wait_while_paused(&self, worker: usize) {
        while self.lock().processes[worker].worker.paused {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn handle_job(&self, worker: usize, id: u64, request: Request<Incoming>) -> Response<StreamBody> {
        let left_ms =
            request.headers().get("x-time-left-ms").and_then(|left| left.to_str().ok()?.parse().ok());
        let Ok(body) = Limited::new(request.into_body(), MAX_BODY).collect().await else {
            return plain_response(StatusCode::BAD_REQUEST, "");
        };
        let Ok(body) = serde_json::from_slice::<JobBody>(&body.to_bytes()) else {
            return plain_response(StatusCode::BAD_REQUEST, "");
        };
        match self.admit(worker, id, left_ms, body) {
            Admission::Rejected => {
                let mut response = plain_response(StatusCode::SERVICE_UNAVAILABLE, "");
                response.headers_mut().insert("x-unprocessed", http::HeaderValue::from_static("1"));
                response
            }
            // The connection ends with the process.
            Admission::ProcessFailed => std::future::pending().await,
            Admission::Accepted(attempt, receiver) => {
                let worker_pool = self.clone();
                Response::new(StreamBody::new(receiver, move || worker_pool.cancel_attempt(attempt)))
            }
        }
    }
}

/// The name of a log worker in discovery and in load reports.
pub fn worker_name(worker: usize) -> String {
    format!("w-{worker:06}")
}
