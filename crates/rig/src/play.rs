//! A play: a scenario with real dispatchers, stand-ins for all that they meet, links, and judges.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rand::Rng;
use rookspoke_decisions::Span;
use rookspoke_emulator::check::RULES;
use rookspoke_emulator::model::{draw_affected, draw_arrivals, is_costly, Arrival};
use rookspoke_emulator::report::{spread, ClassReport, Report, Score};
use rookspoke_emulator::rng::{stream, Stream};
use rookspoke_emulator::scenario::{Incident, Scenario, Trouble};
use serde::Serialize;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::task::{AbortHandle, JoinSet};

use crate::clock::{duration, Clock, Lateness, LatenessFigures};
use crate::discovery::{DiscoveryMode, DiscoveryServer};
use crate::dispatcher::{config, Dispatcher, FaultInjection, StartError};
use crate::event_log::{Event, EventLog, ProcessEvent, RequestOutcome};
use crate::invariants::{all_invariants, Tolerances, Violation};
use crate::job::JobId;
use crate::keeper::Keeper;
use crate::link::{LinkControl, TcpLink};
use crate::load::{Backend, LoadGenerator, SOCKET_SLACK};
use crate::places::{check, Kind, Places, RoomError};
use crate::ways::{Way, Ways};
use crate::worker_pool::WorkerPool;

/// The front notices that a dispatcher has died after this.
const FRONT_NOTICES: Duration = Duration::from_secs(2);
/// After SIGTERM clients still come for this long.
const STILL_COME: Duration = Duration::from_millis(300);
/// A deadline counts as this long at most where SIGKILL follows SIGTERM.
const LONGEST_COUNTED_MS: f64 = 3_000.0;
/// From the end of the longest deadline to SIGKILL.
const KILL_ALLOWANCE: Duration = Duration::from_millis(700);
/// Dispatchers that start at once.
const START_TOGETHER: usize = 16;
/// Turns of a dispatcher that is slowed.
const TURN: Duration = Duration::from_millis(100);
/// The most sentences of a report about what broke.
const SENTENCES: usize = 5;
/// From the last process's readiness to the first job.
const LEAD: Span = Span(300_000);
/// The rig's own timers may be late by this much, and a play still counts.
pub const LATE_P99_MS: f64 = 20.0;

/// What a play needs beside its scenario.
#[derive(Clone, Debug)]
pub struct Options {
    /// The dispatcher's program.
    pub program: PathBuf,
    /// For every draw.
    pub seed: u64,
    /// How long a dispatcher may take to be ready.
    pub patience: Duration,
    /// System calls of the dispatchers that fail.
    pub faults: Option<FaultInjection>,
}

/// A play that could not be.
#[derive(Debug, Error)]
pub enum PlayError {
    /// There is not enough room for it.
    #[error("{0}")]
    Room(#[from] RoomError),
    /// A dispatcher did not come up.
    #[error("{0}")]
    Start(#[from] StartError),
    /// A stand-in could not be started.
    #[error("the rig cannot start: {0}")]
    System(#[from] std::io::Error),
}

/// What a play proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// All that was judged held.
    Kept,
    /// Something did not.
    Broken,
    /// The rig itself ran too late for its verdict to mean anything.
    Void,
}

/// What a play came to.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// What it proves.
    pub verdict: Verdict,
    /// What the emulator would say of it: the same figures, counted from sockets.
    pub report: Report,
    /// Time until every dispatcher was ready, in seconds.
    pub ready_s: f64,
    /// Mean memory of a dispatcher at the end, KiB.
    pub memory_kb: u64,
    /// Processor time of all dispatchers, in seconds.
    pub cpu_s: f64,
    /// How late the rig ran.
    pub lateness: LatenessFigures,
    /// What broke.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
}

/// A rig that is up: dispatchers, stand-ins and links.
pub struct Rig {
    /// What is played.
    pub scenario: Scenario,
    /// The dispatchers, by number.
    pub dispatchers: Vec<Arc<Dispatcher>>,
    /// The log workers.
    pub worker_pool: WorkerPool,
    /// Discovery.
    pub discovery_server: DiscoveryServer,
    /// The clients.
    pub load: LoadGenerator,
    /// What sees and judges.
    pub event_log: EventLog,
    /// How late the rig runs.
    pub lateness: Lateness,
    backends: Arc<Vec<Backend>>,
    links: BTreeMap<Way, TcpLink>,
    ways: Ways,
    /// Disturbances that are on.
    on: Mutex<Vec<usize>>,
    options: Options,
    ready_s: f64,
    beat: AbortHandle,
    _keeper: Arc<Keeper>,
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.beat.abort();
    }
}

impl Rig {
    /// Starts all of it, and waits until every dispatcher is ready.
    ///
    /// # Errors
    /// There is no room, or something does not come up; what was started is cleared away.
    pub async fn start(scenario: Scenario, options: Options) -> Result<Arc<Self>, PlayError> {
        let mut rig = Self::without_dispatchers(scenario, options).await?;
        let start = Instant::now();
        rig.start_all().await?;
        rig.ready_s = start.elapsed().as_secs_f64();
        Ok(Arc::new(rig))
    }

    /// Starts all but the dispatchers: their configurations are there for whoever starts them.
    ///
    /// # Errors
    /// There is no room, or a stand-in does not come up.
    pub async fn without_dispatchers(scenario: Scenario, options: Options) -> Result<Self, PlayError> {
        let s = &scenario;
        let ways = Ways::of(s, options.seed);
        check(s, ways.disturbed.len())?;
        let (places, keeper) = (Places::new(), Keeper::start()?);
        let allowed = Tolerances {
            answer_slack: s.span("rules.answer-slack") + SOCKET_SLACK,
            drain_grace: s.span("rules.drain-grace") + SOCKET_SLACK + ways.most_delay(),
            transit: SOCKET_SLACK + ways.most_transit(),
        };
        let lateness = Lateness::default();
        let event_log = EventLog::new(Clock::starting_in(Duration::ZERO), all_invariants(allowed));
        let beat = tokio::spawn(lateness.clone().watch(event_log.clock())).abort_handle();

        // Log workers, and the ways to them.
        let mut links: BTreeMap<Way, TcpLink> = BTreeMap::new();
        let (mut listeners, mut direct) = (Vec::new(), Vec::new());
        for worker in 0..s.count("workers") {
            let listener = TcpListener::bind(places.of(Kind::Worker, worker)).await?;
            direct.push(listener.local_addr()?);
            listeners.push(listener);
        }
        let mut reached = vec![direct.clone(); ways.group_count()];
        for (number, way) in ways.disturbed.keys().enumerate() {
            if let Way::Worker(group, worker) = *way {
                let at = places.of(Kind::Link, number);
                let link = open_link(at, direct[worker], options.seed, number).await?;
                reached[group][worker] = link.address;
                links.insert(*way, link);
            }
        }
        let discovery_server =
            DiscoveryServer::new(s, options.seed, event_log.clone(), reached, ways.groups.clone());
        let (to_registry, to_watch) = (discovery_server.clone(), event_log.clone());
        let worker_pool =
            WorkerPool::start(s, options.seed, listeners, to_registry, to_watch, lateness.clone()).await?;

        // Dispatchers, and the ways between them, discovery and clients.
        let (mut dispatchers, mut backends) = (Vec::new(), Vec::new());
        for number in 0..s.count("dispatchers") {
            let listener = TcpListener::bind(places.of(Kind::Discovery, number)).await?;
            let mut discovery = listener.local_addr()?;
            discovery_server.serve(number, listener);
            for way in [Way::Discovery(number), Way::Clients(number)] {
                let Some(place) = ways.disturbed.keys().position(|other| *other == way) else { continue };
                let link = open_link(places.of(Kind::Link, place), discovery, options.seed, place).await?;
                if way == Way::Discovery(number) {
                    discovery = link.address;
                }
                links.insert(way, link);
            }
            let own_seed = stream(options.seed, Stream::Policy, number as u64).random();
            let mut told = config(s, number, places.of(Kind::Dispatcher, number).ip(), discovery, own_seed);
            told["known"] = discovery_server.snapshot(number);
            let dispatcher = Dispatcher::new(&keeper, &options.program, number, told, event_log.clone())?
                .with_faults(options.faults.clone());
            dispatchers.push(Arc::new(dispatcher));
            backends.push(Backend::new());
        }
        let backends = Arc::new(backends);
        let load = LoadGenerator::new(s, options.seed, backends.clone(), event_log.clone(), lateness.clone());
        Ok(Rig {
            scenario,
            dispatchers,
            worker_pool,
            discovery_server,
            load,
            event_log,
            lateness,
            backends,
            links,
            ways,
            on: Mutex::default(),
            options,
            ready_s: 0.0,
            beat,
            _keeper: keeper,
        })
    }

    async fn start_all(&self) -> Result<(), StartError> {
        for some in self.dispatchers.chunks(START_TOGETHER) {
            let mut starts = JoinSet::new();
            for dispatcher in some {
                let (dispatcher, patience) = (dispatcher.clone(), self.options.patience);
                starts.spawn(async move {
                    dispatcher.start(patience).await?;
                    dispatcher.ready(patience).await
                });
            }
            all_joined(starts).await?;
        }
        self.dispatchers.iter().for_each(|dispatcher| self.takes_in(dispatcher));
        Ok(())
    }

    /// The front takes a dispatcher in.
    fn takes_in(&self, dispatcher: &Dispatcher) {
        let Some(address) = dispatcher.clients() else { return };
        let link = self.links.get(&Way::Clients(dispatcher.number));
        if let Some(link) = link {
            link.set_target(address);
        }
        self.backends[dispatcher.number].add_to_rotation(link.map_or(address, |link| link.address));
    }

    /// Starts a dispatcher again under its name, with the list as discovery has it now.
    ///
    /// # Errors
    /// It does not come up.
    pub async fn start_again(&self, number: usize) -> Result<(), StartError> {
        let dispatcher = &self.dispatchers[number];
        dispatcher.config()["known"] = self.discovery_server.snapshot(number);
        self.discovery_server.forget_dispatcher(number);
        dispatcher.start(self.options.patience).await?;
        dispatcher.ready(self.options.patience).await?;
        self.takes_in(dispatcher);
        Ok(())
    }

    /// Kills a dispatcher. The front notices later.
    pub async fn kill(self: &Arc<Self>, number: usize) {
        self.dispatchers[number].kill().await;
        self.backends[number].process_ended();
        let rig = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(FRONT_NOTICES).await;
            if rig.dispatchers[number].pid().await.is_none() {
                rig.backends[number].in_rotation.store(false, Ordering::Relaxed);
            }
        });
    }

    /// Tells a dispatcher to end as the platform does, and waits for it.
    pub async fn end(&self, number: usize) -> bool {
        let classes = &self.scenario.classes;
        let longest = classes.iter().map(|class| class.get("deadline")).fold(0.0, f64::max);
        let patience = Duration::from_secs_f64(longest.min(LONGEST_COUNTED_MS) / 1000.0) + KILL_ALLOWANCE;
        let dispatcher = self.dispatchers[number].clone();
        let ends = tokio::spawn(async move { dispatcher.end(patience).await });
        tokio::time::sleep(STILL_COME).await;
        self.backends[number].in_rotation.store(false, Ordering::Relaxed);
        let ended = ends.await.unwrap_or(false);
        self.backends[number].process_ended();
        ended
    }

    /// The control of a way's link, if the way has one.
    pub fn link(&self, way: Way) -> Option<&LinkControl> {
        self.links.get(&way).map(|link| &link.control)
    }

    /// Ways of a dispatcher to log workers belong to its group.
    pub fn way_to_worker(&self, dispatcher: usize, worker: usize) -> Way {
        Way::Worker(self.ways.groups[dispatcher], worker)
    }

    /// Turns a disturbance on or off.
    fn disturb(&self, number: usize, is_on: bool) {
        let mut on = self.on.lock().unwrap_or_else(PoisonError::into_inner);
        on.retain(|other| *other != number);
        if is_on {
            on.push(number);
        }
        for (way, link) in &self.links {
            if self.ways.disturbed.get(way).is_some_and(|all| all.contains(&number)) {
                let (there, back) = self.ways.faults(*way, &on);
                link.control.set(there, back);
            }
        }
        let what = if is_on { "begins" } else { "is healed" };
        self.says(format!("link {number} {what}"));
    }

    fn says(&self, what: String) {
        self.event_log.record(Event::Script { text: what });
    }

    /// What clients will send: the emulator's own draw, dear jobs included.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let (s, seed) = (&self.scenario, self.options.seed);
        let mut all = draw_arrivals(s, seed, &mut stream(seed, Stream::Clients, 0));
        for incident in s.incidents.iter().filter(|incident| incident.trouble == Trouble::Costly) {
            for (number, arrival) in all.iter_mut().enumerate() {
                if is_costly(seed, number, arrival.intended_at, incident) {
                    arrival.work *= incident.size;
                }
            }
        }
        all
    }

    /// Plays the script under load, to the last answer.
    ///
    /// # Errors
    /// A dispatcher that was to start again did not.
    pub async fn play(self: &Arc<Self>) -> Result<(), StartError> {
        let begin = self.event_log.clock().now() + LEAD;
        self.event_log.set_start(begin);
        let mut parts: JoinSet<Result<(), StartError>> = JoinSet::new();
        for (number, incident) in self.scenario.incidents.clone().into_iter().enumerate() {
            let rig = self.clone();
            parts.spawn(async move {
                rig.lateness.record(rig.event_log.clock().sleep_until(begin + incident.at).await);
                rig.incident(number, &incident).await
            });
        }
        for (number, one) in self.ways.all.clone().into_iter().enumerate() {
            let rig = self.clone();
            parts.spawn(async move {
                rig.lateness.record(rig.event_log.clock().sleep_until(begin + one.at).await);
                rig.disturb(number, true);
                rig.event_log.clock().sleep_until(begin + one.at + one.length).await;
                rig.disturb(number, false);
                Ok(())
            });
        }
        self.load.run(begin, &self.arrivals()).await;
        all_joined(parts).await
    }

    /// Plays one incident now, to its end. Whom it hits is drawn by its number.
    ///
    /// # Errors
    /// A dispatcher that was to start again did not.
    pub async fn incident(self: &Arc<Self>, number: usize, incident: &Incident) -> Result<(), StartError> {
        let Incident { trouble, size, length, part, .. } = *incident;
        let of_dispatchers =
            matches!(trouble, Trouble::HostPause | Trouble::Slowed | Trouble::Kill | Trouble::Restart);
        let of = if of_dispatchers { self.dispatchers.len() } else { self.scenario.count("workers") };
        let all = draw_affected(self.options.seed, number, part, of);
        self.says(format!("incident {number}, {trouble:?}, begins"));
        let lasts = lasting(length);
        match trouble {
            Trouble::Crash | Trouble::Silent => {
                self.worker_pool.crash(&all, trouble == Trouble::Silent);
                lasts.await;
                self.worker_pool.restart(&all);
            }
            Trouble::Rolling => {
                let step = Span(length.0 / all.len().max(1) as i64);
                let begin = self.event_log.clock().now();
                let mut turns = JoinSet::new();
                for (turn, worker) in all.into_iter().enumerate() {
                    let rig = self.clone();
                    turns.spawn(async move {
                        rig.event_log.clock().sleep_until(begin + Span(step.0 * turn as i64)).await;
                        rig.worker_pool.drain(worker);
                        lasting(Span::from_ms(size * 1000.0)).await;
                        if rig.worker_pool.stop(worker, false) {
                            lasting(Span(1_000_000)).await;
                            rig.worker_pool.restart(&[worker]);
                        }
                    });
                }
                while turns.join_next().await.is_some() {}
            }
            Trouble::Slow => {
                self.worker_pool.update_workers(&all, |worker| worker.slowdown *= size.max(1e-3));
                lasts.await;
                self.worker_pool.update_workers(&all, |worker| worker.slowdown /= size.max(1e-3));
            }
            Trouble::Neighbour => {
                let end = self.event_log.clock().now() + length;
                let mut taken = size.clamp(0.0, 0.99);
                while self.event_log.clock().now() < end {
                    self.worker_pool.update_workers(&all, |worker| worker.cpu_steal = taken);
                    taken = if taken > 0.0 { 0.0 } else { size.clamp(0.0, 0.99) };
                    lasting(Span(1_000_000)).await;
                }
                self.worker_pool.update_workers(&all, |worker| worker.cpu_steal = 0.0);
            }
            Trouble::Pause => {
                self.worker_pool.update_workers(&all, |worker| worker.paused = true);
                lasts.await;
                self.worker_pool.update_workers(&all, |worker| worker.paused = false);
            }
            Trouble::ReportsLate => {
                let later = Span::from_ms(size * 1000.0);
                self.worker_pool.delay_reports(later);
                lasts.await;
                self.worker_pool.delay_reports(Span(-later.0));
            }
            Trouble::Resets => {
                let mut rng = stream(self.options.seed, Stream::Network, number as u64);
                let end = self.event_log.clock().now() + length;
                while self.event_log.clock().now() < end {
                    lasting(Span(100_000)).await;
                    self.worker_pool.reset_connections(size / 10.0, &mut rng);
                }
            }
            // Jobs are dear from the start; cut zones are links.
            Trouble::Costly | Trouble::ZoneCut => lasts.await,
            Trouble::DiscoveryGone | Trouble::DiscoverySilent | Trouble::DiscoveryOld => {
                self.discovery_server.set_mode(match trouble {
                    Trouble::DiscoverySilent => DiscoveryMode::Silent,
                    Trouble::DiscoveryOld => DiscoveryMode::Stale,
                    _ => DiscoveryMode::Refusing,
                });
                lasts.await;
                self.discovery_server.set_mode(DiscoveryMode::Normal);
            }
            Trouble::HostPause => {
                for number in &all {
                    self.dispatchers[*number].stop().await;
                }
                lasts.await;
                for number in &all {
                    self.dispatchers[*number].resume().await;
                }
            }
            Trouble::Slowed => {
                let length = duration(length);
                let mut slow = JoinSet::new();
                for number in all {
                    let dispatcher = self.dispatchers[number].clone();
                    slow.spawn(async move { dispatcher.slow(size, TURN, length).await });
                }
                while slow.join_next().await.is_some() {}
            }
            Trouble::Kill => {
                for number in &all {
                    self.kill(*number).await;
                }
                lasts.await;
                self.again(all).await?;
            }
            Trouble::Restart => {
                let step = Span(length.0 / all.len().max(1) as i64);
                let begin = self.event_log.clock().now();
                let mut turns = JoinSet::new();
                for (turn, number) in all.into_iter().enumerate() {
                    let rig = self.clone();
                    turns.spawn(async move {
                        rig.event_log.clock().sleep_until(begin + Span(step.0 * turn as i64)).await;
                        rig.end(number).await;
                        rig.start_again(number).await
                    });
                }
                all_joined(turns).await?;
            }
        }
        self.says(format!("incident {number}, {trouble:?}, is over"));
        Ok(())
    }

    /// Starts these again, all at once.
    async fn again(self: &Arc<Self>, all: Vec<usize>) -> Result<(), StartError> {
        let mut starts = JoinSet::new();
        for number in all {
            let rig = self.clone();
            starts.spawn(async move { rig.start_again(number).await });
        }
        all_joined(starts).await
    }

    /// How often system calls of all dispatchers were made to fail.
    pub fn injected_faults(&self) -> usize {
        self.dispatchers.iter().map(|dispatcher| dispatcher.injected_faults()).sum()
    }

    /// Holds each dispatcher's own figures against what was seen, closes the books, and says what it came to.
    pub async fn outcome(&self) -> Outcome {
        let (mut memory, mut count, mut cpu_s) = (0, 0, 0.0);
        for dispatcher in &self.dispatchers {
            let number = dispatcher.number;
            if dispatcher.has_crashed().await {
                self.event_log.record(Event::Dispatcher { dispatcher: number, event: ProcessEvent::Crashed });
                continue;
            }
            if let Some((kb, seconds)) = dispatcher.usage().await {
                (memory, count, cpu_s) = (memory + kb, count + 1, cpu_s + seconds);
            }
            if let (Some(counted), Some(figures)) =
                (self.backends[number].served(), dispatcher.figures().await)
            {
                let passed = figures.iter().filter(|(name, _)| name.starts_with("passed."));
                let says = passed.map(|(_, value)| value).sum();
                self.event_log.record(Event::CounterCheck {
                    dispatcher: number,
                    name: "passed",
                    reported: says,
                    counted,
                });
            }
        }
        self.event_log.finish();
        let lateness = self.lateness.figures();
        let violations = self.event_log.violations();
        let slack_ms = SOCKET_SLACK.ms();
        let verdict = match violations.is_empty() {
            _ if lateness.p99_ms > LATE_P99_MS => Verdict::Void,
            true => Verdict::Kept,
            // What the rig did not do in time may be what broke.
            false if lateness.most_ms > slack_ms => Verdict::Void,
            false => Verdict::Broken,
        };
        Outcome {
            verdict,
            report: self.report(&violations),
            ready_s: self.ready_s,
            memory_kb: memory / count.max(1),
            cpu_s,
            lateness,
            violations,
        }
    }

    /// The figures that the emulator gives of a run, from what was seen here.
    fn report(&self, violations: &[Violation]) -> Report {
        let counted = self.load.counts();
        let score = Score::of(&self.scenario, &counted.jobs);
        let classes = self.scenario.classes.iter().enumerate().map(|(class, one)| ClassReport {
            name: one.name.clone(),
            jobs: counted.jobs.iter().filter(|job| job.class == class).count(),
            late: counted.late[class],
            service: score.classes[class],
        });
        let quantile = |q: f64| counted.latency.value_at_quantile(q) as f64 / 1000.0;
        let seen = |of: fn(&Event) -> bool| self.event_log.count(of) as u64;
        let mut rules: BTreeMap<String, u64> = RULES.iter().map(|rule| (rule.name().to_owned(), 0)).collect();
        violations.iter().for_each(|violation| *rules.entry(violation.rule.clone()).or_default() += 1);
        let sentence = |b: &Violation| format!("{:.3} s: {}: {}", b.at_ms / 1000.0, b.rule, b.description);
        Report {
            policy: "processes".into(),
            seed: self.options.seed,
            service: score.service,
            whole: score.whole,
            worst_window: score.worst_window,
            worst_class: score.worst_class,
            windows: score.windows,
            classes: classes.collect(),
            jobs: counted.jobs.len(),
            served: counted.served as usize,
            refused: counted.refused,
            failed: counted.failed,
            retries: counted.retries,
            sent: seen(|seen| matches!(seen, Event::Reached { .. })),
            turned_away: seen(|seen| matches!(seen, Event::TurnedAway { .. })),
            broken_connections: seen(|seen| {
                matches!(seen, Event::Closed { outcome: RequestOutcome::ConnectionLost, .. })
            }),
            cross_zone: seen_across(&self.event_log, self.scenario.count("zones")),
            openings: self.worker_pool.connections_opened(),
            probes: self.worker_pool.probes(),
            fetches: self.worker_pool.fetches(),
            starts: seen(|seen| matches!(seen, Event::Started { .. })),
            falls: seen(|seen| matches!(seen, Event::Overloaded { .. })),
            mean_ms: counted.latency.mean() / 1000.0,
            p50_ms: quantile(0.5),
            p99_ms: quantile(0.99),
            spread: spread(&self.worker_pool.busy_seconds()),
            rules,
            first_broken: violations.iter().take(SENTENCES).map(sentence).collect(),
        }
    }

    /// Dispatchers that clients are dealt out to at present.
    pub fn in_front(&self) -> usize {
        self.backends.iter().filter(|seat| seat.in_rotation.load(Ordering::Relaxed)).count()
    }

    /// Clients reach a dispatcher there from now on.
    pub fn lead_clients(&self, number: usize, to: SocketAddr) {
        self.backends[number].add_to_rotation(to);
    }
}

/// Requests that reached a log worker of another zone.
fn seen_across(event_log: &EventLog, zones: usize) -> u64 {
    let across = |seen: &Event| match seen {
        Event::Reached { id, worker, .. } => JobId(*id).dispatcher() % zones != worker % zones,
        _ => false,
    };
    event_log.count(across) as u64
}

async fn open_link(at: SocketAddr, target: SocketAddr, seed: u64, number: usize) -> std::io::Result<TcpLink> {
    // Each link draws from a seed of its own.
    let own = stream(seed, Stream::Network, number as u64 | 1 << 40).random();
    TcpLink::open(at, target, LinkControl::default(), own).await
}

/// Waits for all of them, or for the first that fails; a panic of one goes on here.
async fn all_joined(mut tasks: JoinSet<Result<(), StartError>>) -> Result<(), StartError> {
    while let Some(done) = tasks.join_next().await {
        match done {
            Ok(done) => done?,
            Err(error) if error.is_panic() => std::panic::resume_unwind(error.into_panic()),
            // Called off, with all the rest.
            Err(_) => {}
        }
    }
    Ok(())
}

fn lasting(length: Span) -> tokio::time::Sleep {
    tokio::time::sleep(duration(length))
}
