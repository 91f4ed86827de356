//! Log workers on sockets: the emulator's own model behind the platform's protocol, hundreds in one process.

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
use rookspoke_emulator::check::{Checker, Figures, Rule};
use rookspoke_emulator::model::{make, Begins, Job, Store, Worker};
use rookspoke_emulator::rng::{stream, Stream};
use rookspoke_emulator::scenario::Scenario;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, Notify};

use crate::clock::Lateness;
use crate::job::JobId;
use crate::registry::{Registry, View};
use crate::seen::{Seen, Watch};
use crate::serve::{plain, Reset, Said, Told};

/// How often a cold log worker's speed is taken anew.
const STEP: Span = Span(100_000);
/// The largest body of a job, in bytes.
const MAX_BODY: usize = 64 * 1024;

/// What a job's body says: what it asks of a log worker.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Facts {
    /// Slots that it takes.
    pub slots: f64,
    /// Running time at speed 1, in seconds.
    pub work: f64,
    /// What it is about.
    pub key: u64,
    /// What it is worth.
    pub worth: f64,
}

/// How a log worker's process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Up(u64),
    /// Nothing is refused and nothing answered.
    Silent,
    Down,
}

struct Machine {
    worker: Worker,
    state: watch::Sender<State>,
    draining: bool,
    /// Counts the processes.
    epoch: u64,
    /// Counts plans for its next step; older ones are void.
    version: u64,
    connections: usize,
    reports: VecDeque<(Time, String)>,
    rng: SmallRng,
}

impl Machine {
    fn is_up(&self) -> bool {
        matches!(*self.state.borrow(), State::Up(_))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Worker(usize, u64),
    Store(u64),
    Report(usize),
}

struct Attempt {
    id: u64,
    worker: usize,
    say: mpsc::Sender<Said>,
}

struct Works {
    machines: Vec<Machine>,
    store: Store,
    store_version: u64,
    due: BinaryHeap<Reverse<(Time, Due)>>,
    attempts: HashMap<usize, Attempt>,
    next: usize,
    /// Judges who pushed a cold one over.
    checker: Checker,
    falls_blamed: u64,
    late_reports: Span,
    /// Attempts that processes died over.
    buried: Vec<Attempt>,
    openings: u64,
    probes: u64,
}

/// The log workers of a play. Clones are the same.
#[derive(Clone)]
pub struct Plant(Arc<Inner>);

struct Inner {
    s: Scenario,
    works: Mutex<Works>,
    changed: Notify,
    watch: Watch,
    lateness: Lateness,
    registry: Registry,
    addresses: Vec<SocketAddr>,
    mean_work: f64,
}

/// What became of an attempt that came.
enum Taken {
    Away,
    /// The process fell over it.
    Broke,
    Held(usize, mpsc::Receiver<Said>),
}

impl Plant {
    /// Starts them all, at these addresses; they say to the registry what they do.
    ///
    /// # Errors
    /// An address is taken, or there are no descriptors left.
    pub async fn start(
        s: &Scenario,
        seed: u64,
        listeners: Vec<TcpListener>,
        registry: Registry,
        watch: Watch,
        lateness: Lateness,
    ) -> std::io::Result<Self> {
        let mut machines = Vec::new();
        for number in 0..listeners.len() {
            machines.push(Machine {
                worker: Worker::new(make(s, seed, number)),
                state: watch::Sender::new(State::Up(0)),
                draining: false,
                epoch: 0,
                version: 0,
                connections: 0,
                reports: VecDeque::new(),
                rng: stream(seed, Stream::Report, number as u64),
            });
        }
        let mut due = BinaryHeap::new();
        for (number, machine) in machines.iter_mut().enumerate() {
            // Not all in the same moment.
            let first = machine.rng.random_range(0..=s.span("report.every").0);
            due.push(Reverse((watch.clock().now() + Span(first), Due::Report(number))));
        }
        let works = Works {
            machines,
            store: Store::new(s.get("store.together")),
            store_version: 0,
            due,
            attempts: HashMap::new(),
            next: 0,
            checker: Checker::new(Figures {
                answer_slack: s.span("rules.answer-slack"),
                drain_grace: s.span("rules.drain-grace"),
                fall_multiple: s.get("rules.fall-multiple"),
                fall_span: s.span("rules.fall-span"),
                alone: false,
            }),
            falls_blamed: 0,
            late_reports: Span(0),
            buried: Vec::new(),
            openings: 0,
            probes: 0,
        };
        let addresses: std::io::Result<Vec<SocketAddr>> = listeners.iter().map(|l| l.local_addr()).collect();
        let plant = Plant(Arc::new(Inner {
            s: s.clone(),
            works: Mutex::new(works),
            changed: Notify::new(),
            watch,
            lateness,
            registry,
            addresses: addresses?,
            mean_work: s.mean_work(),
        }));
        for (number, listener) in listeners.into_iter().enumerate() {
            tokio::spawn(plant.clone().listen(number, listener));
        }
        tokio::spawn(plant.clone().drive());
        Ok(plant)
    }

    fn works(&self) -> MutexGuard<'_, Works> {
        self.0.works.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Time {
        self.0.watch.clock().now()
    }

    /// Does what is due, in order, for ever.
    async fn drive(self) {
        loop {
            let now = self.now();
            let next = {
                let mut works = self.works();
                while let Some(Reverse((at, due))) = works.due.peek().copied().filter(|next| next.0 .0 <= now)
                {
                    works.due.pop();
                    let void = match due {
                        Due::Worker(worker, version) => works.machines[worker].version != version,
                        Due::Store(version) => works.store_version != version,
                        Due::Report(_) => false,
                    };
                    if void {
                        continue;
                    }
                    self.0.lateness.record(now - at);
                    match due {
                        Due::Worker(worker, _) => self.step(&mut works, worker),
                        Due::Store(_) => self.step_store(&mut works),
                        Due::Report(worker) => self.report(&mut works, worker),
                    }
                }
                works.due.peek().map(|next| next.0 .0)
            };
            let clock = self.0.watch.clock();
            tokio::select! {
                _ = clock.sleep_until(next.unwrap_or(now + Span(1_000_000))) => {}
                () = self.0.changed.notified() => {}
            }
        }
    }

    // The model, as the emulator moves it.

    fn replan(&self, works: &mut Works, worker: usize) {
        let now = self.now();
        let machine = &mut works.machines[worker];
        machine.version += 1;
        let mut next = machine.worker.next_end(now);
        if machine.worker.is_cold(now) && !machine.worker.is_idle() {
            // It speeds up meanwhile.
            next = Some(next.map_or(now + STEP, |next| next.min(now + STEP)));
        }
        if let Some(next) = next {
            works.due.push(Reverse((next, Due::Worker(worker, machine.version))));
            self.0.changed.notify_one();
        }
    }

    fn replan_store(&self, works: &mut Works) {
        works.store_version += 1;
        if let Some(next) = works.store.next_end() {
            works.due.push(Reverse((next, Due::Store(works.store_version))));
            self.0.changed.notify_one();
        }
    }

    fn step(&self, works: &mut Works, worker: usize) {
        works.machines[worker].worker.advance(self.now());
        for job in works.machines[worker].worker.take_done() {
            if let Some(attempt) = works.attempts.remove(&job.attempt) {
                self.0.watch.sees(Seen::Done { id: attempt.id, worker });
                self.say(&attempt, "done", true);
            }
        }
        self.begin(works, worker);
    }

    fn begin(&self, works: &mut Works, worker: usize) {
        let now = self.now();
        while let Some((job, begins)) = works.machines[worker].worker.start_next() {
            if begins == Begins::Fetches {
                works.store.advance(now);
                works.store.begin((worker, job.attempt), self.0.s.span("store.fetch"));
                self.replan_store(works);
            }
            if let Some(attempt) = works.attempts.get(&job.attempt) {
                self.0.watch.sees(Seen::Began { id: attempt.id, worker });
                self.say(attempt, "started", false);
            }
        }
        self.replan(works, worker);
    }

    fn step_store(&self, works: &mut Works) {
        let now = self.now();
        works.store.advance(now);
        for (worker, attempt) in works.store.take_done() {
            works.machines[worker].worker.advance(now);
            works.machines[worker].worker.fetched(attempt);
            self.replan(works, worker);
        }
        self.replan_store(works);
    }

    fn say(&self, attempt: &Attempt, state: &str, result: bool) {
        let id = JobId(attempt.id).to_string();
        let mut line = json!({"id": id, "from": name(attempt.worker), "state": state});
        if result {
            line["result"] = id.into();
        }
        // There is room for all that is ever said of one attempt.
        let _ = attempt.say.try_send(Ok(Bytes::from(format!("{line}\n"))));
    }

    fn take(&self, worker: usize, id: u64, left_ms: Option<f64>, facts: Facts) -> Taken {
        let mut works = self.works();
        let works = &mut *works;
        let now = self.now();
        self.0.watch.sees(Seen::Reached { id, worker, left_ms });
        if works.machines[worker].worker.is_cold(now) && self.falls(works, worker, id) {
            return Taken::Broke;
        }
        let attempt = works.next;
        works.next += 1;
        let job = Job { attempt, slots: facts.slots, work: facts.work, key: facts.key, worth: facts.worth };
        let machine = &mut works.machines[worker];
        machine.worker.advance(now);
        let hands_back = machine.draining && self.0.s.is_on("worker.hands-back");
        if hands_back || !machine.worker.take(job) {
            self.0.watch.sees(Seen::Away { id, worker });
            return Taken::Away;
        }
        let (say, said) = mpsc::channel(4);
        works.attempts.insert(attempt, Attempt { id, worker, say });
        self.begin(works, worker);
        Taken::Held(attempt, said)
    }

    /// Counts a job that reaches a cold log worker; true where it falls over.
    fn falls(&self, works: &mut Works, worker: usize, id: u64) -> bool {
        let now = self.now();
        let machine = &works.machines[worker];
        let told = self.0.registry.told_start(JobId(id).dispatcher(), worker) == machine.worker.started;
        let capacity = machine.worker.nominal(now);
        if !works.checker.loads(now, worker, self.0.mean_work, told, capacity) {
            return false;
        }
        let blamed = works.checker.broken(Rule::GentleStart);
        let told = blamed > works.falls_blamed;
        works.falls_blamed = blamed;
        self.0.watch.sees(Seen::Fell { worker, told });
        // It stays down.
        self.end(works, worker, false);
        self.0.registry.notices(self.0.s.span("discovery.notices"), worker, View::Gone);
        true
    }

    fn call_off(&self, attempt: usize) {
        let mut works = self.works();
        let works = &mut *works;
        let Some(Attempt { worker, .. }) = works.attempts.get(&attempt) else { return };
        let (worker, now) = (*worker, self.now());
        works.machines[worker].worker.advance(now);
        let running = self.0.s.is_on("worker.cancels-running");
        if works.machines[worker].worker.drop_job(attempt, running) {
            works.attempts.remove(&attempt);
            works.store.advance(now);
            works.store.forget(worker, Some(attempt));
            self.replan_store(works);
            self.begin(works, worker);
        }
    }

    /// The process ends at once; what it held is lost.
    fn end(&self, works: &mut Works, worker: usize, silent: bool) {
        let now = self.now();
        let machine = &mut works.machines[worker];
        machine.worker.advance(now);
        let lost = machine.worker.die();
        machine.draining = false;
        machine.connections = 0;
        machine.epoch += 1;
        machine.reports.clear();
        machine.state.send_replace(if silent { State::Silent } else { State::Down });
        works.store.advance(now);
        works.store.forget(worker, None);
        for job in lost {
            // Its answer is neither ended nor gone on with: its connection says what became of it.
            works.buried.extend(works.attempts.remove(&job.attempt));
        }
        self.replan_store(works);
        self.replan(works, worker);
    }

    fn report(&self, works: &mut Works, worker: usize) {
        let now = self.now();
        let (every, noise) = (self.0.s.span("report.every"), self.0.s.get("report.noise"));
        let late = self.0.s.span("report.late") + works.late_reports;
        let machine = &mut works.machines[worker];
        if machine.is_up() && !machine.worker.paused {
            machine.worker.advance(now);
            let mut off = || 1.0 + noise * (2.0 * machine.rng.random::<f64>() - 1.0);
            let free = (machine.worker.free() * off()).max(0.0);
            let util = (machine.worker.util() * off()).clamp(0.0, 1.0);
            let report = json!({"x0": free, "util": util}).to_string();
            machine.reports.push_back((now + late, report));
        }
        works.due.push(Reverse((now + every, Due::Report(worker))));
    }

    fn stats(&self, worker: usize) -> String {
        let mut works = self.works();
        let now = self.now();
        works.probes += 1;
        let machine = &mut works.machines[worker];
        machine.worker.advance(now);
        machine.worker.burden(self.0.s.get("probe.work") / 1000.0);
        while machine.reports.len() > 1 && machine.reports[1].0 <= now {
            machine.reports.pop_front();
        }
        let report = machine.reports.front().filter(|(at, _)| *at <= now).map(|(_, report)| report.clone());
        self.replan(&mut works, worker);
        report.unwrap_or_else(|| "{}".into())
    }

    // What befalls them.

    /// The process of each of these ends; connections are reset, or fall silent with the machine.
    pub fn crash(&self, workers: &[usize], silent: bool) {
        let notices = if silent { "discovery.notices-silence" } else { "discovery.notices" };
        for worker in workers.iter().filter(|worker| self.stop(**worker, silent)) {
            self.0.registry.notices(self.0.s.span(notices), *worker, View::Gone);
        }
    }

    /// A process ends, and discovery is not told. False where it ran no more.
    pub fn stop(&self, worker: usize, silent: bool) -> bool {
        let mut works = self.works();
        let runs = works.machines[worker].is_up();
        if runs {
            self.tell(worker, if silent { "falls silent" } else { "ends" });
            self.end(&mut works, worker, silent);
        }
        runs
    }

    /// A new process of each of these, which is cold.
    pub fn start_again(&self, workers: &[usize]) {
        let now = self.now();
        for worker in workers {
            let mut works = self.works();
            let works = &mut *works;
            if works.machines[*worker].is_up() {
                continue;
            }
            self.tell(*worker, "starts");
            let machine = &mut works.machines[*worker];
            machine.worker.advance(now);
            machine.worker.started = Some(now);
            machine.epoch += 1;
            let epoch = machine.epoch;
            machine.state.send_replace(State::Up(epoch));
            works.checker.restarts(*worker);
            works.buried.retain(|attempt| attempt.worker != *worker);
            self.0.registry.notices(self.0.s.span("discovery.notices"), *worker, View::Active(Some(now)));
        }
    }

    /// It wants nothing new, and hands back what has not started.
    pub fn drain(&self, worker: usize) {
        let mut works = self.works();
        let works = &mut *works;
        if !works.machines[worker].is_up() {
            return;
        }
        self.tell(worker, "drains");
        let now = self.now();
        works.machines[worker].draining = true;
        self.0.registry.notices(self.0.s.span("discovery.notices"), worker, View::Draining);
        if self.0.s.is_on("worker.hands-back") {
            works.machines[worker].worker.advance(now);
            for job in works.machines[worker].worker.hand_back() {
                if let Some(attempt) = works.attempts.remove(&job.attempt) {
                    self.0.watch.sees(Seen::Away { id: attempt.id, worker });
                    self.say(&attempt, "returned", false);
                }
            }
        }
    }

    /// Changes how fast these go.
    pub fn change(&self, workers: &[usize], change: impl Fn(&mut Worker)) {
        for worker in workers {
            let mut works = self.works();
            let now = self.now();
            works.machines[*worker].worker.advance(now);
            change(&mut works.machines[*worker].worker);
            self.begin(&mut works, *worker);
        }
    }

    /// Reports come this much later than usual; a negative span takes that back.
    pub fn reports_later(&self, by: Span) {
        let mut works = self.works();
        works.late_reports = works.late_reports + by;
    }

    /// Resets each connection with a job on it, with this chance. The job runs on.
    pub fn reset_some(&self, chance: f64, rng: &mut SmallRng) {
        let works = self.works();
        let mut all: Vec<usize> = works.attempts.keys().copied().collect();
        all.sort_unstable();
        for attempt in all.into_iter().filter(|_| rng.random::<f64>() < chance) {
            let _ = works.attempts[&attempt].say.try_send(Err(Reset));
        }
    }

    fn tell(&self, worker: usize, what: &str) {
        self.0.watch.sees(Seen::Script { what: format!("{} {what}", name(worker)) });
    }

    /// Seconds of a core that each spent on jobs.
    pub fn worked(&self) -> Vec<f64> {
        self.works().machines.iter().map(|machine| machine.worker.worked).collect()
    }

    /// Connections that were opened to them.
    pub fn openings(&self) -> u64 {
        self.works().openings
    }

    /// Probes that they answered.
    pub fn probes(&self) -> u64 {
        self.works().probes
    }

    /// Archives that they fetched.
    pub fn fetches(&self) -> u64 {
        self.works().store.begun
    }

    /// Log workers that take work at present.
    pub fn up(&self) -> usize {
        self.works().machines.iter().filter(|m| m.is_up() && !m.draining && !m.worker.paused).count()
    }

    // Sockets.

    async fn listen(self, worker: usize, listener: TcpListener) {
        let mut state = self.works().machines[worker].state.subscribe();
        let mut listener = Some(listener);
        loop {
            let now = *state.borrow_and_update();
            match now {
                State::Up(epoch) => {
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
                            Ok((stream, _)) => self.connects(worker, epoch, stream, state.clone()),
                            // Out of descriptors, most likely: those that are open will end.
                            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
                        },
                        changed = state.changed() => if changed.is_err() { return },
                    }
                    listener = Some(open);
                }
                // The system takes connections for it, and nobody answers.
                State::Silent => {
                    drop(state.changed().await);
                    // Its machine starts anew: connections that nobody has accepted go with the old one.
                    listener = None;
                }
                State::Down => {
                    listener = None;
                    if state.changed().await.is_err() {
                        return;
                    }
                }
            }
        }
    }

    fn connects(&self, worker: usize, epoch: u64, stream: TcpStream, mut state: watch::Receiver<State>) {
        let _ = stream.set_nodelay(true);
        // Whenever the log worker closes first, it is a reset: a process that dies says nothing more.
        let _ = stream.set_zero_linger();
        {
            let mut works = self.works();
            let now = self.now();
            let machine = &mut works.machines[worker];
            if machine.epoch != epoch || machine.connections >= self.0.s.count("connection.most") {
                return;
            }
            machine.connections += 1;
            machine.worker.advance(now);
            machine.worker.burden(self.0.s.get("connection.opening") / 1000.0);
            works.openings += 1;
            self.replan(&mut works, worker);
        }
        let plant = self.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let plant = plant.clone();
                async move { Ok::<_, Infallible>(plant.answer(worker, request).await) }
            });
            let idle = Duration::from_micros(plant.0.s.span("connection.idle").0.max(1) as u64);
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(idle);
            {
                let connection = builder.serve_connection(TokioIo::new(stream), service);
                tokio::pin!(connection);
                let ends = async {
                    let _ = state.wait_for(|state| *state != State::Up(epoch)).await;
                };
                let process_ends = tokio::select! {
                    _ = &mut connection => false,
                    () = ends => true,
                };
                if process_ends {
                    // Silent with its machine: open, and nothing more is said until that is back.
                    let _ = state.wait_for(|state| *state != State::Silent).await;
                }
            }
            let mut works = plant.works();
            let machine = &mut works.machines[worker];
            if machine.epoch == epoch {
                machine.connections = machine.connections.saturating_sub(1);
            }
        });
    }

    async fn answer(&self, worker: usize, request: Request<Incoming>) -> Response<Told> {
        let id = request.headers().get("x-correlation-id").and_then(|id| JobId::read(id.to_str().ok()?));
        match (request.method(), request.uri().path(), id) {
            (&Method::GET, "/stats", _) => {
                self.not_paused(worker).await;
                plain(StatusCode::OK, self.stats(worker))
            }
            (&Method::GET, "/health/live", _) => plain(StatusCode::OK, ""),
            (&Method::POST, _, Some(id)) => self.job(worker, id.0, request).await,
            _ => plain(StatusCode::BAD_REQUEST, ""),
        }
    }

    async fn not_paused(&self, worker: usize) {
        while self.works().machines[worker].worker.paused {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn job(&self, worker: usize, id: u64, request: Request<Incoming>) -> Response<Told> {
        let left_ms =
            request.headers().get("x-time-left-ms").and_then(|left| left.to_str().ok()?.parse().ok());
        let Ok(body) = Limited::new(request.into_body(), MAX_BODY).collect().await else {
            return plain(StatusCode::BAD_REQUEST, "");
        };
        let Ok(facts) = serde_json::from_slice::<Facts>(&body.to_bytes()) else {
            return plain(StatusCode::BAD_REQUEST, "");
        };
        match self.take(worker, id, left_ms, facts) {
            Taken::Away => {
                let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "");
                response.headers_mut().insert("x-unprocessed", http::HeaderValue::from_static("1"));
                response
            }
            // Its connection ends with the process.
            Taken::Broke => std::future::pending().await,
            Taken::Held(attempt, said) => {
                let plant = self.clone();
                Response::new(Told::new(said, move || plant.call_off(attempt)))
            }
        }
    }
}

/// A log worker's name.
pub fn name(worker: usize) -> String {
    format!("w-{worker:06}")
}
