//! A dispatcher of a run: the real program as a child process, with its own folder, loopback address and name.

use std::collections::VecDeque;
use std::ffi::OsStr;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rookspoke_emulator::model::dispatcher_settings;
use rookspoke_emulator::scenario::Scenario;
use rustix::process::Signal;
use serde_json::{json, Value};
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, AsyncRead, BufReader};
use tokio::sync::watch;

use crate::event_log::{Event, EventLog, ProcessEvent};
use crate::http_client::get;
use crate::supervisor::{SupervisedProcess, Supervisor};

/// Number of recent log lines that are kept per dispatcher.
const MAX_LOG_LINES: usize = 400;

/// File in a dispatcher's folder that logs each injected system call failure.
const FAULTS_LOG: &str = "faults.log";

/// Injection of system call failures by the preloaded library `rookspoke-faults`.
#[derive(Clone, Debug)]
pub struct FaultInjection {
    /// Path of the library.
    pub library: PathBuf,
    /// The schedule of failures, in the format that the library reads.
    pub schedule: String,
}

/// A dispatcher could not be started.
#[derive(Debug, Error)]
pub enum StartError {
    /// Its configuration could not be written or its process could not be started.
    #[error("{name} cannot be started: {error}")]
    Spawn {
        /// The dispatcher's name.
        name: String,
        /// The cause.
        error: io::Error,
    },
    /// Its process exited, or did not listen or become ready within the timeout.
    #[error("{name} {problem}; its log ends with:\n{log}")]
    NotReady {
        /// The dispatcher's name.
        name: String,
        /// What was observed, as the predicate of a sentence.
        problem: String,
        /// The last lines of the log.
        log: String,
    },
    /// Its process was to be started while it is running.
    #[error("{0} is already running")]
    AlreadyRunning(String),
}

/// Addresses that a process listens on, read from its log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ListenState {
    clients: Option<SocketAddr>,
    console: Option<SocketAddr>,
    /// The log has ended, so the process has exited.
    exited: bool,
}

struct Running {
    process: SupervisedProcess,
    listening: watch::Receiver<ListenState>,
}

/// A dispatcher, whether its process is running or not.
pub struct Dispatcher {
    /// The name: `n` followed by the number.
    pub name: String,
    /// The number within the scenario, from 0.
    pub number: usize,
    folder: PathBuf,
    program: PathBuf,
    supervisor: Arc<Supervisor>,
    event_log: EventLog,
    config: Mutex<Value>,
    running: tokio::sync::Mutex<Option<Running>>,
    log: Arc<Mutex<VecDeque<String>>>,
    listening: Mutex<ListenState>,
    faults: Option<FaultInjection>,
}

/// Builds the platform's JSON configuration of a scenario's dispatcher.
pub fn platform_config(
    scenario: &Scenario,
    number: usize,
    address: IpAddr,
    discovery: SocketAddr,
    seed: u64,
) -> Value {
    let settings = dispatcher_settings(scenario, number);
    let classes: Vec<Value> = scenario
        .classes
        .iter()
        .map(|class| {
            json!({
                "name": class.name, "gain": class.get("worth"), "goal_time_ms": class.get("aim"),
                "effect": if class.get("effect") == 0.0 { "read_like" } else { "non_idempotent" },
                "deadline_ms": class.get("deadline"), "late_worth": 0.0, "group": "all",
                "dedup_window_ms": 5000.0, "streamed": false,
            })
        })
        .collect();
    let stretch: Vec<f64> = scenario.classes.iter().map(|class| class.get("stretch")).collect();
    let listen = SocketAddr::new(address, 0);
    json!({
        "name": format!("n{number}"), "listen": listen, "console": listen, "discovery": discovery,
        "seed": format!("{seed:016x}"), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": null,
        "settings": {
            "balancers": settings.dispatchers, "me": number, "zone": settings.zone.as_ref(),
            "localities": settings.zones.iter().map(|zone| zone.as_ref()).collect::<Vec<&str>>(),
            "machine_types": ["std"], "classes": classes, "discovery": "subscribe", "projects": [],
            "quantum_ms": scenario.get("tick"), "prices": {"cross_zone": settings.cross_zone_price},
            "limits": {
                "cancel": true, "probes": settings.limits.probes, "second_copies": settings.limits.second_copies,
                "retry_after": settings.limits.retry_after, "send_cap": settings.limits.max_attempts,
                "max_retry_after_ms": settings.limits.max_retry_after.ms(), "conn_idle_ms": scenario.get("connection.idle"),
                "connect_timeout_ms": scenario.get("connection.timeout"),
            },
            "reporting": {"how": "probe", "fields": ["x0", "cpu_share"]},
            "rules": {
                "answer_slack_ms": scenario.get("rules.answer-slack"), "ask_every_ms": scenario.get("rules.ask-every"),
                "stop_sending_within_ms": scenario.get("rules.drain-grace"), "cold_from": scenario.get("rules.cold-from"),
                "ramp_time_ms": scenario.get("rules.cold-for"), "fall_multiple": scenario.get("rules.fall-multiple"),
                "overload_for_ms": scenario.get("rules.fall-span"),
            },
            "specifics": {"tells_start": true, "class_stretch": stretch, "report_x0": "free_slots"},
        },
    })
}

impl Dispatcher {
    /// Creates a dispatcher without starting its process.
    ///
    /// # Errors
    /// Its folder cannot be created.
    pub fn new(
        supervisor: &Arc<Supervisor>,
        program: &Path,
        number: usize,
        config: Value,
        event_log: EventLog,
    ) -> io::Result<Self> {
        let name = format!("n{number}");
        let folder = supervisor.folder().join(&name);
        std::fs::create_dir_all(&folder)?;
        Ok(Dispatcher {
            name,
            number,
            folder,
            program: program.to_owned(),
            supervisor: supervisor.clone(),
            event_log,
            config: Mutex::new(config),
            running: tokio::sync::Mutex::default(),
            log: Arc::default(),
            listening: Mutex::default(),
            faults: None,
        })
    }

    /// Sets the system call failures that are injected into its processes.
    pub fn with_faults(self, faults: Option<FaultInjection>) -> Self {
        Dispatcher { faults, ..self }
    }

    /// Number of system call failures that were injected into its processes.
    pub fn injected_faults(&self) -> usize {
        std::fs::read_to_string(self.folder.join(FAULTS_LOG)).unwrap_or_default().lines().count()
    }

    fn record(&self, event: ProcessEvent) {
        self.event_log.record(Event::Dispatcher { dispatcher: self.number, event });
    }

    /// The configuration for its next process, which the caller may change.
    pub fn config(&self) -> MutexGuard<'_, Value> {
        self.config.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts the process and waits until it listens. Later processes use the addresses of the first.
    ///
    /// # Errors
    /// The process cannot be started, exits, or does not listen within the timeout.
    pub async fn start(&self, timeout: Duration) -> Result<(), StartError> {
        let mut running = self.running.lock().await;
        if running.is_some() {
            return Err(StartError::AlreadyRunning(self.name.clone()));
        }
        let spawn = |error| StartError::Spawn { name: self.name.clone(), error };
        let path = self.folder.join("config.json");
        std::fs::write(&path, self.config().to_string()).map_err(spawn)?;
        let mut variables: Vec<(&str, &OsStr)> =
            vec![("PROXY_CONFIG", path.as_os_str()), ("ROOKSPOKE_LOG", "info".as_ref())];
        if let Some(FaultInjection { library, schedule }) = &self.faults {
            variables.push(("LD_PRELOAD", library.as_os_str()));
            variables.push(("ROOKSPOKE_FAULTS", schedule.as_ref()));
            variables.push(("ROOKSPOKE_FAULTS_LOG", FAULTS_LOG.as_ref()));
        }
        let arguments = ["--set".as_ref(), "log.format=json".as_ref()];
        let mut process = self
            .supervisor
            .spawn(&self.program, &arguments, &self.folder, &variables)
            .await
            .map_err(spawn)?;
        self.record(ProcessEvent::Started);
        let (sender, listening) = watch::channel(ListenState::default());
        if let Some(stderr) = process.child.stderr.take() {
            tokio::spawn(read_log(
                stderr,
                self.name.clone(),
                self.log.clone(),
                self.event_log.clone(),
                sender,
            ));
        }
        let mut updates = listening.clone();
        *running = Some(Running { process, listening });
        let is_up = |listening: &ListenState| {
            listening.clients.is_some() && listening.console.is_some() || listening.exited
        };
        let result = tokio::time::timeout(timeout, updates.wait_for(is_up)).await;
        let problem = match result {
            Ok(Ok(listening)) if !listening.exited => {
                self.set_listen_state(*listening);
                return Ok(());
            }
            Ok(_) => "exited before it listened",
            Err(_) => "did not listen within the timeout",
        };
        *running = None;
        Err(self.not_ready(problem))
    }

    fn set_listen_state(&self, listening: ListenState) {
        *self.listening.lock().unwrap_or_else(PoisonError::into_inner) = listening;
        let mut config = self.config();
        for (field, address) in [("listen", listening.clients), ("console", listening.console)] {
            config[field] = json!(address);
        }
    }

    fn not_ready(&self, problem: &str) -> StartError {
        let log = self.recent_log().into_iter().rev().take(8).rev().collect::<Vec<_>>().join("\n");
        StartError::NotReady { name: self.name.clone(), problem: problem.into(), log }
    }

    /// Waits until its readiness check succeeds.
    ///
    /// # Errors
    /// It does not become ready within the timeout.
    pub async fn wait_until_ready(&self, timeout: Duration) -> Result<(), StartError> {
        let readiness = async {
            loop {
                if let Some(address) = self.client_address() {
                    if get(address, "/health/ready").await.is_ok_and(|(status, _)| status == 200) {
                        return;
                    }
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        match tokio::time::timeout(timeout, readiness).await {
            Ok(()) => {
                self.record(ProcessEvent::Ready);
                Ok(())
            }
            Err(_) => Err(self.not_ready("was not ready within the timeout")),
        }
    }

    fn listen_state(&self) -> ListenState {
        *self.listening.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The address for clients, known once a process has listened.
    pub fn client_address(&self) -> Option<SocketAddr> {
        self.listen_state().clients
    }

    /// The address of the operators' console, known once a process has listened.
    pub fn console_address(&self) -> Option<SocketAddr> {
        self.listen_state().console
    }

    /// The recent lines of its log.
    pub fn recent_log(&self) -> Vec<String> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner).iter().cloned().collect()
    }

    /// The process id, if it is running.
    pub async fn pid(&self) -> Option<i32> {
        self.running.lock().await.as_ref().map(|running| running.process.pid())
    }

    /// Sends SIGKILL and waits for the process to exit.
    pub async fn kill(&self) {
        if let Some(mut running) = self.running.lock().await.take() {
            self.record(ProcessEvent::Killed);
            let _ = running.process.signal(Signal::KILL);
            let _ = running.process.wait().await;
        }
    }

    /// Sends SIGTERM and waits; a process that has not exited after `timeout` is killed. Returns whether it exited by
    /// itself.
    pub async fn terminate(&self, timeout: Duration) -> bool {
        let Some(mut running) = self.running.lock().await.take() else { return false };
        self.record(ProcessEvent::Terminated);
        let _ = running.process.signal(Signal::TERM);
        let ended = tokio::time::timeout(timeout, running.process.wait()).await.is_ok();
        self.record(if ended { ProcessEvent::Exited } else { ProcessEvent::Killed });
        ended
    }

    /// Suspends the process with SIGSTOP.
    pub async fn suspend(&self) {
        if let Some(running) = &*self.running.lock().await {
            let _ = running.process.signal(Signal::STOP);
            self.record(ProcessEvent::Stopped);
        }
    }

    /// Continues a suspended process with SIGCONT.
    pub async fn resume(&self) {
        if let Some(running) = &*self.running.lock().await {
            let _ = running.process.signal(Signal::CONT);
            self.record(ProcessEvent::Resumed);
        }
    }

    /// Limits the process to a fraction of the time: suspends and continues it once per `period`, until `length` has
    /// passed.
    pub async fn throttle(&self, running_fraction: f64, period: Duration, length: Duration) {
        let end = tokio::time::Instant::now() + length;
        let running_time = period.mul_f64(running_fraction.clamp(0.0, 1.0));
        while tokio::time::Instant::now() < end {
            self.suspend().await;
            tokio::time::sleep(period - running_time).await;
            self.resume().await;
            tokio::time::sleep(running_time).await;
        }
    }

    /// Whether its process has exited without a signal from the rig.
    pub async fn has_crashed(&self) -> bool {
        self.running.lock().await.as_ref().is_some_and(|running| running.listening.borrow().exited)
    }

    /// Resident memory in KiB and processor time in seconds, as `/proc` states them.
    pub async fn usage(&self) -> Option<(u64, f64)> {
        let pid = self.pid().await?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let memory = memory.trim().split(' ').next()?.parse().ok()?;
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // Fields are counted after the process name, which may contain any character: the 12th and 13th are the ticks in
        // user and system mode.
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks = |at: usize| fields.get(at).and_then(|field| field.parse::<u64>().ok());
        let cpu_s = (ticks(11)? + ticks(12)?) as f64 / rustix::param::clock_ticks_per_second() as f64;
        Some((memory, cpu_s))
    }

    /// Its own counters by name, read from the console.
    pub async fn counters(&self) -> Option<Vec<(String, u64)>> {
        let (status, text) = get(self.console_address()?, "/control/counters").await.ok()?;
        let parse_counter = |line: &str| {
            let (name, value) = line.strip_prefix("proxy.")?.split_once(':')?;
            Some((name.to_owned(), value.split('|').next()?.parse().ok()?))
        };
        (status == 200).then(|| text.lines().filter_map(parse_counter).collect())
    }
}

/// The address in the log line that states where this front listens.
fn listen_address(line: &str, front: &str) -> Option<SocketAddr> {
    let (_, rest) = line.split_once(&format!("{front} listens at "))?;
    let end = rest.find(|c: char| !c.is_ascii_digit() && !".:".contains(c)).unwrap_or(rest.len());
    rest[..end].parse().ok()
}

/// Reads the log of a process to its end: records each line, keeps the recent ones, and extracts listen addresses.
async fn read_log(
    from: impl AsyncRead + Unpin,
    name: String,
    log: Arc<Mutex<VecDeque<String>>>,
    event_log: EventLog,
    listening: watch::Sender<ListenState>,
) {
    let mut lines = BufReader::new(from).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        for (front, clients) in [(": http", true), (": the console", false)] {
            if let Some(at) = listen_address(&line, front) {
                listening.send_modify(|listening| {
                    *(if clients { &mut listening.clients } else { &mut listening.console }) = Some(at);
                });
            }
        }
        {
            let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
            log.push_back(line.clone());
            if log.len() > MAX_LOG_LINES {
                log.pop_front();
            }
        }
        event_log.record(Event::Log { process: name.clone(), line });
    }
    listening.send_modify(|listening| listening.exited = true);
}
