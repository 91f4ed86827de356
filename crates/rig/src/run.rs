//! Runs a scenario with real dispatchers, stand-ins for their peers, links and invariant checks.

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
use rookspoke_emulator::report::{coefficient_of_variation, ClassReport, Report, Score};
use rookspoke_emulator::rng::{stream, Stream};
use rookspoke_emulator::scenario::{Incident, IncidentKind, Scenario};
use serde::Serialize;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::task::{AbortHandle, JoinSet};

use crate::capacity::{check_capacity, AddressKind, CapacityError, LoopbackAddresses};
use crate::clock::{duration, Clock, Lateness, LatenessSummary};
use crate::discovery::{DiscoveryMode, DiscoveryServer};
use crate::dispatcher::{platform_config, Dispatcher, FaultInjection, StartError};
use crate::event_log::{Event, EventLog, ProcessEvent, RequestOutcome};
use crate::invariants::{all_invariants, Tolerances, Violation};
use crate::job::JobId;
use crate::link::{LinkControl, TcpLink};
use crate::load::{Backend, LoadGenerator, SOCKET_SLACK};
use crate::routes::{Route, Routes};
use crate::supervisor::Supervisor;
use crate::worker_pool::WorkerPool;

/// Time after which the front removes a killed dispatcher from rotation.
const FRONT_DETECTION_TIME: Duration = Duration::from_secs(2);
/// Time after SIGTERM for which the front still assigns clients to the dispatcher.
const ROTATION_REMOVAL_DELAY: Duration = Duration::from_millis(300);
/// Upper limit of the deadline that counts towards the time between SIGTERM and SIGKILL.
const MAX_KILL_DEADLINE_MS: f64 = 3_000.0;
/// Added to the longest deadline for the time between SIGTERM and SIGKILL.
const KILL_ALLOWANCE: Duration = Duration::from_millis(700);
/// Number of dispatchers that are started at the same time.
const START_BATCH: usize = 16;
/// Period at which a slowed dispatcher is suspended and continued.
const THROTTLE_PERIOD: Duration = Duration::from_millis(100);
/// Maximum number of violations that a report describes.
const MAX_DESCRIBED_VIOLATIONS: usize = 5;
/// Time from the call of `run` to the start of the scenario.
const START_DELAY: Span = Span(300_000);
/// Maximum 99th percentile of the lateness of the rig's timers, in milliseconds; above it a run is void.
pub const MAX_LATENESS_P99_MS: f64 = 20.0;

/// Options of a run that are not part of its scenario.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the dispatcher's program.
    pub program: PathBuf,
    /// Seed of all random draws.
    pub seed: u64,
    /// Timeout for a dispatcher to listen, and again for it to become ready.
    pub start_timeout: Duration,
    /// System call failures that are injected into the dispatchers, if any.
    pub faults: Option<FaultInjection>,
}

/// A rig could not be started.
#[derive(Debug, Error)]
pub enum RigError {
    /// The machine lacks descriptors or addresses for the scenario.
    #[error("{0}")]
    Capacity(#[from] CapacityError),
    /// A dispatcher did not become ready.
    #[error("{0}")]
    Start(#[from] StartError),
    /// A stand-in, a link, the supervisor or a dispatcher's folder could not be set up.
    #[error("cannot set up the rig: {0}")]
    Io(#[from] std::io::Error),
}

/// The result of the invariant checks of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// All invariants held.
    Kept,
    /// An invariant was violated.
    Broken,
    /// The rig's own timers fired too late for a verdict.
    Void,
}

/// The result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The result of the invariant checks.
    pub verdict: Verdict,
    /// The figures that the emulator reports for a run, measured here on sockets.
    pub report: Report,
    /// Time from the start until every dispatcher was ready, in seconds.
    pub ready_s: f64,
    /// Mean resident memory of a dispatcher at the end of the run, in KiB.
    pub memory_kb: u64,
    /// Total processor time of the dispatchers that run at the end, in seconds.
    pub cpu_s: f64,
    /// Lateness of the rig's own timers.
    pub lateness: LatenessSummary,
    /// Violated invariants, in order of time.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
}

/// A running rig: dispatchers, stand-ins and links. Dropping it ends its processes.
pub struct Rig {
    /// The scenario that the rig was built for.
    pub scenario: Scenario,
    /// The dispatchers, indexed by number.
    pub dispatchers: Vec<Arc<Dispatcher>>,
    /// The stand-ins for log workers.
    pub worker_pool: WorkerPool,
    /// The stand-in for discovery.
    pub discovery_server: DiscoveryServer,
    /// The stand-in for clients.
    pub load_generator: LoadGenerator,
    /// The log that all parts record to, with the invariant checks.
    pub event_log: EventLog,
    /// Lateness of the rig's own timers.
    pub lateness: Lateness,
    backends: Arc<Vec<Backend>>,
    links: BTreeMap<Route, TcpLink>,
    routes: Routes,
    /// Indices of the link incidents that are active.
    active_link_incidents: Mutex<Vec<usize>>,
    options: Options,
    ready_s: f64,
    lateness_monitor: AbortHandle,
    _supervisor: Arc<Supervisor>,
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.lateness_monitor.abort();
    }
}

impl Rig {
    /// Starts the stand-ins, links and dispatchers, and waits until every dispatcher is ready.
    ///
    /// # Errors
    /// The machine lacks capacity, or a part cannot be started. Parts that were started are cleaned up.
    pub async fn start(scenario: Scenario, options: Options) -> Result<Arc<Self>, RigError> {
        let mut rig = Self::without_dispatchers(scenario, options).await?;
        let start = Instant::now();
        rig.start_all().await?;
        rig.ready_s = start.elapsed().as_secs_f64();
        Ok(Arc::new(rig))
    }

    /// Starts the stand-ins and links only. Dispatchers have their configurations, but no processes.
    ///
    /// # Errors
    /// The machine lacks capacity, or a part cannot be started.
    pub async fn without_dispatchers(scenario: Scenario, options: Options) -> Result<Self, RigError> {
        let routes = Routes::new(&scenario, options.seed);
        check_capacity(&scenario, routes.incidents_by_route.len())?;
        let (addresses, supervisor) = (LoopbackAddresses::new(), Supervisor::start()?);
        let tolerances = Tolerances {
            answer_slack: scenario.span("rules.answer-slack") + SOCKET_SLACK,
            drain_grace: scenario.span("rules.drain-grace") + SOCKET_SLACK + routes.max_drain_delay(),
            transit: SOCKET_SLACK + routes.max_transit(),
        };
        let lateness = Lateness::default();
        let event_log = EventLog::new(Clock::starting_in(Duration::ZERO), all_invariants(tolerances));
        let lateness_monitor = tokio::spawn(lateness.clone().monitor(event_log.clock())).abort_handle();

        // Log workers, and the links to them.
        let mut links: BTreeMap<Route, TcpLink> = BTreeMap::new();
        let (mut listeners, mut direct_addresses) = (Vec::new(), Vec::new());
        for worker in 0..scenario.count("workers") {
            let listener = TcpListener::bind(addresses.of(AddressKind::Worker, worker)).await?;
            direct_addresses.push(listener.local_addr()?);
            listeners.push(listener);
        }
        let mut worker_addresses = vec![direct_addresses.clone(); routes.group_count()];
        for (number, route) in routes.incidents_by_route.keys().enumerate() {
            if let Route::Worker(group, worker) = *route {
                let listen = addresses.of(AddressKind::Link, number);
                let link = open_link(listen, direct_addresses[worker], options.seed, number).await?;
                worker_addresses[group][worker] = link.address;
                links.insert(*route, link);
            }
        }
        let discovery_server = DiscoveryServer::new(
            &scenario,
            options.seed,
            event_log.clone(),
            worker_addresses,
            routes.groups.clone(),
        );
        let worker_pool = WorkerPool::start(
            &scenario,
            options.seed,
            listeners,
            discovery_server.clone(),
            event_log.clone(),
            lateness.clone(),
        )
        .await?;

        // Dispatchers, and their links to discovery and from clients.
        let (mut dispatchers, mut backends) = (Vec::new(), Vec::new());
        for number in 0..scenario.count("dispatchers") {
            let listener = TcpListener::bind(addresses.of(AddressKind::Discovery, number)).await?;
            let mut discovery = listener.local_addr()?;
            discovery_server.serve(number, listener);
            for route in [Route::Discovery(number), Route::Clients(number)] {
                let Some(link_number) = routes.incidents_by_route.keys().position(|other| *other == route)
                else {
                    continue;
                };
                let link = open_link(
                    addresses.of(AddressKind::Link, link_number),
                    discovery,
                    options.seed,
                    link_number,
                )
                .await?;
                if route == Route::Discovery(number) {
                    discovery = link.address;
                }
                links.insert(route, link);
            }
            let own_seed = stream(options.seed, Stream::Policy, number as u64).random();
            let mut config = platform_config(
                &scenario,
                number,
                addresses.of(AddressKind::Dispatcher, number).ip(),
                discovery,
                own_seed,
            );
            config["known"] = discovery_server.snapshot(number);
            let dispatcher =
                Dispatcher::new(&supervisor, &options.program, number, config, event_log.clone())?
                    .with_faults(options.faults.clone());
            dispatchers.push(Arc::new(dispatcher));
            backends.push(Backend::new());
        }
        let backends = Arc::new(backends);
        let load_generator = LoadGenerator::new(
            &scenario,
            options.seed,
            backends.clone(),
            event_log.clone(),
            lateness.clone(),
        );
        Ok(Rig {
            scenario,
            dispatchers,
            worker_pool,
            discovery_server,
            load_generator,
            event_log,
            lateness,
            backends,
            links,
            routes,
            active_link_incidents: Mutex::default(),
            options,
            ready_s: 0.0,
            lateness_monitor,
            _supervisor: supervisor,
        })
    }

    async fn start_all(&self) -> Result<(), StartError> {
        for batch in self.dispatchers.chunks(START_BATCH) {
            let mut starts = JoinSet::new();
            for dispatcher in batch {
                let (dispatcher, timeout) = (dispatcher.clone(), self.options.start_timeout);
                starts.spawn(async move {
                    dispatcher.start(timeout).await?;
                    dispatcher.wait_until_ready(timeout).await
                });
            }
            join_all(starts).await?;
        }
        self.dispatchers.iter().for_each(|dispatcher| self.add_to_rotation(dispatcher));
        Ok(())
    }

    /// Makes the front assign clients to a dispatcher, through its link if it has one.
    fn add_to_rotation(&self, dispatcher: &Dispatcher) {
        let Some(address) = dispatcher.client_address() else { return };
        let link = self.links.get(&Route::Clients(dispatcher.number));
        if let Some(link) = link {
            link.set_target(address);
        }
        self.backends[dispatcher.number].add_to_rotation(link.map_or(address, |link| link.address));
    }

    /// Starts a new process of a dispatcher, with the present list of discovery in its configuration.
    ///
    /// # Errors
    /// The dispatcher does not become ready.
    pub async fn restart_dispatcher(&self, number: usize) -> Result<(), StartError> {
        let dispatcher = &self.dispatchers[number];
        dispatcher.config()["known"] = self.discovery_server.snapshot(number);
        self.discovery_server.forget_dispatcher(number);
        dispatcher.start(self.options.start_timeout).await?;
        dispatcher.wait_until_ready(self.options.start_timeout).await?;
        self.add_to_rotation(dispatcher);
        Ok(())
    }

    /// Kills a dispatcher. The front removes it from rotation 2 s later, unless it runs again by then.
    pub async fn kill_dispatcher(self: &Arc<Self>, number: usize) {
        self.dispatchers[number].kill().await;
        self.backends[number].process_ended();
        let rig = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(FRONT_DETECTION_TIME).await;
            if rig.dispatchers[number].pid().await.is_none() {
                rig.backends[number].in_rotation.store(false, Ordering::Relaxed);
            }
        });
    }

    /// Shuts a dispatcher down as the platform does: SIGTERM, then SIGKILL if it does not exit in time. Returns whether it
    /// exited by itself.
    pub async fn terminate_dispatcher(&self, number: usize) -> bool {
        let classes = &self.scenario.classes;
        let longest_deadline_ms = classes.iter().map(|class| class.get("deadline")).fold(0.0, f64::max);
        let timeout =
            Duration::from_secs_f64(longest_deadline_ms.min(MAX_KILL_DEADLINE_MS) / 1000.0) + KILL_ALLOWANCE;
        let dispatcher = self.dispatchers[number].clone();
        let termination = tokio::spawn(async move { dispatcher.terminate(timeout).await });
        tokio::time::sleep(ROTATION_REMOVAL_DELAY).await;
        self.backends[number].in_rotation.store(false, Ordering::Relaxed);
        let exited = termination.await.unwrap_or(false);
        self.backends[number].process_ended();
        exited
    }

    /// The control of a route's link, if the route leads through one.
    pub fn link(&self, route: Route) -> Option<&LinkControl> {
        self.links.get(&route).map(|link| &link.control)
    }

    /// The route from a dispatcher, as a member of its group, to a log worker.
    pub fn route_to_worker(&self, dispatcher: usize, worker: usize) -> Route {
        Route::Worker(self.routes.groups[dispatcher], worker)
    }

    /// Begins or ends a link incident: updates the faults of all links that it affects.
    fn set_link_incident(&self, number: usize, begins: bool) {
        let mut active = self.active_link_incidents.lock().unwrap_or_else(PoisonError::into_inner);
        active.retain(|other| *other != number);
        if begins {
            active.push(number);
        }
        for (route, link) in &self.links {
            if self.routes.incidents_by_route.get(route).is_some_and(|incidents| incidents.contains(&number))
            {
                let (forward, backward) = self.routes.faults(*route, &active);
                link.control.set(forward, backward);
            }
        }
        let change = if begins { "begins" } else { "ends" };
        self.record_script(format!("link incident {number} {change}"));
    }

    fn record_script(&self, text: String) {
        self.event_log.record(Event::Script { text });
    }

    /// The jobs that clients will send, drawn as in the emulator, with the additional work of `costly` incidents.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let (scenario, seed) = (&self.scenario, self.options.seed);
        let mut all = draw_arrivals(scenario, seed, &mut stream(seed, Stream::Clients, 0));
        for incident in scenario.incidents.iter().filter(|incident| incident.kind == IncidentKind::Costly) {
            for (number, arrival) in all.iter_mut().enumerate() {
                if is_costly(seed, number, arrival.intended_at, incident) {
                    arrival.work *= incident.size;
                }
            }
        }
        all
    }

    /// Runs the scenario: generates the load and injects the incidents, until the last response.
    ///
    /// # Errors
    /// An incident could not restart a dispatcher.
    pub async fn run(self: &Arc<Self>) -> Result<(), StartError> {
        let begin = self.event_log.clock().now() + START_DELAY;
        self.event_log.set_start(begin);
        let mut incidents: JoinSet<Result<(), StartError>> = JoinSet::new();
        for (number, incident) in self.scenario.incidents.clone().into_iter().enumerate() {
            let rig = self.clone();
            incidents.spawn(async move {
                rig.lateness.record(rig.event_log.clock().sleep_until(begin + incident.at).await);
                rig.run_incident(number, &incident).await
            });
        }
        for (number, incident) in self.routes.link_incidents.clone().into_iter().enumerate() {
            let rig = self.clone();
            incidents.spawn(async move {
                rig.lateness.record(rig.event_log.clock().sleep_until(begin + incident.at).await);
                rig.set_link_incident(number, true);
                rig.event_log.clock().sleep_until(begin + incident.at + incident.length).await;
                rig.set_link_incident(number, false);
                Ok(())
            });
        }
        self.load_generator.run(begin, &self.arrivals()).await;
        join_all(incidents).await
    }

    /// Injects one incident now and waits for its end. The affected parties are drawn from its number.
    ///
    /// # Errors
    /// A dispatcher could not be restarted.
    pub async fn run_incident(
        self: &Arc<Self>,
        number: usize,
        incident: &Incident,
    ) -> Result<(), StartError> {
        let Incident { kind, size, length, part, .. } = *incident;
        let affects_dispatchers = matches!(
            kind,
            IncidentKind::HostPause | IncidentKind::Slowed | IncidentKind::Kill | IncidentKind::Restart
        );
        let party_count =
            if affects_dispatchers { self.dispatchers.len() } else { self.scenario.count("workers") };
        let affected = draw_affected(self.options.seed, number, part, party_count);
        self.record_script(format!("incident {number} ({kind:?}) begins"));
        let until_end = sleep_for(length);
        match kind {
            IncidentKind::Crash | IncidentKind::Silent => {
                self.worker_pool.crash(&affected, kind == IncidentKind::Silent);
                until_end.await;
                self.worker_pool.restart(&affected);
            }
            IncidentKind::Rolling => {
                let interval = Span(length.0 / affected.len().max(1) as i64);
                let begin = self.event_log.clock().now();
                let mut turns = JoinSet::new();
                for (turn, worker) in affected.into_iter().enumerate() {
                    let rig = self.clone();
                    turns.spawn(async move {
                        rig.event_log.clock().sleep_until(begin + Span(interval.0 * turn as i64)).await;
                        rig.worker_pool.drain(worker);
                        sleep_for(Span::from_ms(size * 1000.0)).await;
                        if rig.worker_pool.stop(worker, false) {
                            sleep_for(Span(1_000_000)).await;
                            rig.worker_pool.restart(&[worker]);
                        }
                    });
                }
                while turns.join_next().await.is_some() {}
            }
            IncidentKind::Slow => {
                self.worker_pool.update_workers(&affected, |worker| worker.slowdown *= size.max(1e-3));
                until_end.await;
                self.worker_pool.update_workers(&affected, |worker| worker.slowdown /= size.max(1e-3));
            }
            IncidentKind::Neighbour => {
                let end = self.event_log.clock().now() + length;
                let mut taken = size.clamp(0.0, 0.99);
                while self.event_log.clock().now() < end {
                    self.worker_pool.update_workers(&affected, |worker| worker.cpu_steal = taken);
                    taken = if taken > 0.0 { 0.0 } else { size.clamp(0.0, 0.99) };
                    sleep_for(Span(1_000_000)).await;
                }
                self.worker_pool.update_workers(&affected, |worker| worker.cpu_steal = 0.0);
            }
            IncidentKind::Pause => {
                self.worker_pool.update_workers(&affected, |worker| worker.paused = true);
                until_end.await;
                self.worker_pool.update_workers(&affected, |worker| worker.paused = false);
            }
            IncidentKind::ReportsLate => {
                let added_delay = Span::from_ms(size * 1000.0);
                self.worker_pool.delay_reports(added_delay);
                until_end.await;
                self.worker_pool.delay_reports(Span(-added_delay.0));
            }
            IncidentKind::Resets => {
                let mut rng = stream(self.options.seed, Stream::Network, number as u64);
                let end = self.event_log.clock().now() + length;
                while self.event_log.clock().now() < end {
                    sleep_for(Span(100_000)).await;
                    self.worker_pool.reset_connections(size / 10.0, &mut rng);
                }
            }
            // The jobs of a `costly` incident were drawn before the start; a `zone-cut` is a set of link incidents.
            IncidentKind::Costly | IncidentKind::ZoneCut => until_end.await,
            IncidentKind::DiscoveryGone | IncidentKind::DiscoverySilent | IncidentKind::DiscoveryOld => {
                self.discovery_server.set_mode(match kind {
                    IncidentKind::DiscoverySilent => DiscoveryMode::Silent,
                    IncidentKind::DiscoveryOld => DiscoveryMode::Stale,
                    _ => DiscoveryMode::Refusing,
                });
                until_end.await;
                self.discovery_server.set_mode(DiscoveryMode::Normal);
            }
            IncidentKind::HostPause => {
                for number in &affected {
                    self.dispatchers[*number].suspend().await;
                }
                until_end.await;
                for number in &affected {
                    self.dispatchers[*number].resume().await;
                }
            }
            IncidentKind::Slowed => {
                let length = duration(length);
                let mut throttled = JoinSet::new();
                for number in affected {
                    let dispatcher = self.dispatchers[number].clone();
                    throttled.spawn(async move { dispatcher.throttle(size, THROTTLE_PERIOD, length).await });
                }
                while throttled.join_next().await.is_some() {}
            }
            IncidentKind::Kill => {
                for number in &affected {
                    self.kill_dispatcher(*number).await;
                }
                until_end.await;
                self.restart_dispatchers(affected).await?;
            }
            IncidentKind::Restart => {
                let interval = Span(length.0 / affected.len().max(1) as i64);
                let begin = self.event_log.clock().now();
                let mut turns = JoinSet::new();
                for (turn, number) in affected.into_iter().enumerate() {
                    let rig = self.clone();
                    turns.spawn(async move {
                        rig.event_log.clock().sleep_until(begin + Span(interval.0 * turn as i64)).await;
                        rig.terminate_dispatcher(number).await;
                        rig.restart_dispatcher(number).await
                    });
                }
                join_all(turns).await?;
            }
        }
        self.record_script(format!("incident {number} ({kind:?}) ends"));
        Ok(())
    }

    /// Starts new processes of these dispatchers concurrently.
    async fn restart_dispatchers(self: &Arc<Self>, affected: Vec<usize>) -> Result<(), StartError> {
        let mut starts = JoinSet::new();
        for number in affected {
            let rig = self.clone();
            starts.spawn(async move { rig.restart_dispatcher(number).await });
        }
        join_all(starts).await
    }

    /// Number of system call failures that were injected into all dispatchers.
    pub fn injected_faults(&self) -> usize {
        self.dispatchers.iter().map(|dispatcher| dispatcher.injected_faults()).sum()
    }

    /// Ends the run: compares each dispatcher's counters with the rig's, finishes the invariant checks and computes the
    /// result.
    pub async fn outcome(&self) -> Outcome {
        let (mut memory_kb, mut measured, mut cpu_s) = (0, 0, 0.0);
        for dispatcher in &self.dispatchers {
            let number = dispatcher.number;
            if dispatcher.has_crashed().await {
                self.event_log.record(Event::Dispatcher { dispatcher: number, event: ProcessEvent::Crashed });
                continue;
            }
            if let Some((kb, seconds)) = dispatcher.usage().await {
                (memory_kb, measured, cpu_s) = (memory_kb + kb, measured + 1, cpu_s + seconds);
            }
            if let (Some(counted), Some(counters)) =
                (self.backends[number].served(), dispatcher.counters().await)
            {
                let passed = counters.iter().filter(|(name, _)| name.starts_with("passed."));
                let reported = passed.map(|(_, value)| value).sum();
                self.event_log.record(Event::CounterCheck {
                    dispatcher: number,
                    name: "passed",
                    reported,
                    counted,
                });
            }
        }
        self.event_log.finish();
        let lateness = self.lateness.summary();
        let violations = self.event_log.violations();
        let slack_ms = SOCKET_SLACK.ms();
        let verdict = match violations.is_empty() {
            _ if lateness.p99_ms > MAX_LATENESS_P99_MS => Verdict::Void,
            true => Verdict::Kept,
            // The rig's own delay may have caused the violation.
            false if lateness.max_ms > slack_ms => Verdict::Void,
            false => Verdict::Broken,
        };
        Outcome {
            verdict,
            report: self.report(&violations),
            ready_s: self.ready_s,
            memory_kb: memory_kb / measured.max(1),
            cpu_s,
            lateness,
            violations,
        }
    }

    /// Computes the emulator's report from the measurements of this run.
    fn report(&self, violations: &[Violation]) -> Report {
        let counted = self.load_generator.counts();
        let score = Score::from_jobs(&self.scenario, &counted.jobs);
        let classes = self.scenario.classes.iter().enumerate().map(|(class, settings)| ClassReport {
            name: settings.name.clone(),
            jobs: counted.jobs.iter().filter(|job| job.class == class).count(),
            late: counted.late[class],
            service: score.classes[class],
        });
        let quantile_ms = |quantile: f64| counted.latency.value_at_quantile(quantile) as f64 / 1000.0;
        let count_events = |matches: fn(&Event) -> bool| self.event_log.count(matches) as u64;
        let mut rules: BTreeMap<String, u64> = RULES.iter().map(|rule| (rule.name().to_owned(), 0)).collect();
        violations.iter().for_each(|violation| *rules.entry(violation.rule.clone()).or_default() += 1);
        let describe = |violation: &Violation| {
            format!("{:.3} s: {}: {}", violation.at_ms / 1000.0, violation.rule, violation.description)
        };
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
            sent: count_events(|event| matches!(event, Event::Reached { .. })),
            turned_away: count_events(|event| matches!(event, Event::TurnedAway { .. })),
            broken_connections: count_events(|event| {
                matches!(event, Event::Closed { outcome: RequestOutcome::ConnectionLost, .. })
            }),
            cross_zone: cross_zone_requests(&self.event_log, self.scenario.count("zones")),
            openings: self.worker_pool.connections_opened(),
            probes: self.worker_pool.probes(),
            fetches: self.worker_pool.fetches(),
            starts: count_events(|event| matches!(event, Event::Started { .. })),
            falls: count_events(|event| matches!(event, Event::Overloaded { .. })),
            mean_ms: counted.latency.mean() / 1000.0,
            p50_ms: quantile_ms(0.5),
            p99_ms: quantile_ms(0.99),
            spread: coefficient_of_variation(&self.worker_pool.busy_seconds()),
            rules,
            first_broken: violations.iter().take(MAX_DESCRIBED_VIOLATIONS).map(describe).collect(),
        }
    }

    /// Number of dispatchers that the front assigns clients to at present.
    pub fn dispatchers_in_rotation(&self) -> usize {
        self.backends.iter().filter(|backend| backend.in_rotation.load(Ordering::Relaxed)).count()
    }

    /// Sends the clients of a dispatcher to another address from now on.
    pub fn redirect_clients(&self, number: usize, address: SocketAddr) {
        self.backends[number].add_to_rotation(address);
    }
}

/// Number of requests that arrived at a log worker in another zone than their dispatcher.
fn cross_zone_requests(event_log: &EventLog, zones: usize) -> u64 {
    let is_cross_zone = |event: &Event| match event {
        Event::Reached { id, worker, .. } => JobId(*id).dispatcher() % zones != worker % zones,
        _ => false,
    };
    event_log.count(is_cross_zone) as u64
}

async fn open_link(
    listen: SocketAddr,
    target: SocketAddr,
    seed: u64,
    number: usize,
) -> std::io::Result<TcpLink> {
    // Each link has a seed of its own, so that its random draws do not depend on other links.
    let link_seed = stream(seed, Stream::Network, number as u64 | 1 << 40).random();
    TcpLink::open(listen, target, LinkControl::default(), link_seed).await
}

/// Waits until all tasks have succeeded or one has failed. Propagates the panic of a task.
async fn join_all(mut tasks: JoinSet<Result<(), StartError>>) -> Result<(), StartError> {
    while let Some(joined) = tasks.join_next().await {
        match joined {
            Ok(result) => result?,
            Err(error) if error.is_panic() => std::panic::resume_unwind(error.into_panic()),
            // The task was cancelled together with the others.
            Err(_) => {}
        }
    }
    Ok(())
}

fn sleep_for(length: Span) -> tokio::time::Sleep {
    tokio::time::sleep(duration(length))
}
