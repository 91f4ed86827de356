//! A dispatcher: the real program as a process, with a folder, a loopback address and a name of its own.

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

use crate::ask::ask;
use crate::event_log::{Event, EventLog, ProcessEvent};
use crate::keeper::{Keeper, Kept};

/// Lines of its log that are kept for whoever asks.
const LINES: usize = 400;

/// Where a dispatcher's failed system calls are logged, in its folder.
const FAULTS_LOG: &str = "faults.log";

/// System calls that fail, by the preloaded library `rookspoke-faults`.
#[derive(Clone, Debug)]
pub struct FaultInjection {
    /// The library.
    pub library: PathBuf,
    /// What fails, as it reads it.
    pub schedule: String,
}

/// Why a dispatcher is not there.
#[derive(Debug, Error)]
pub enum StartError {
    /// It could not be started at all.
    #[error("{name} cannot be started: {error}")]
    Spawn {
        /// Its name.
        name: String,
        /// Why.
        error: io::Error,
    },
    /// It ended, or did not say that it listens, or that it is ready, in time.
    #[error("{name} {what}; its log ends with:\n{log}")]
    NotReady {
        /// Its name.
        name: String,
        /// What it did.
        what: String,
        /// The last lines of its log.
        log: String,
    },
    /// It was to start, and runs.
    #[error("{0} runs already")]
    Runs(String),
}

/// What a process listens on, as it says itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Doors {
    clients: Option<SocketAddr>,
    console: Option<SocketAddr>,
    /// The process has ended.
    ended: bool,
}

struct Running {
    process: Kept,
    doors: watch::Receiver<Doors>,
}

/// A dispatcher, running or not.
pub struct Dispatcher {
    /// Its name: `n` and its number.
    pub name: String,
    /// Its number.
    pub number: usize,
    folder: PathBuf,
    program: PathBuf,
    keeper: Arc<Keeper>,
    event_log: EventLog,
    config: Mutex<Value>,
    running: tokio::sync::Mutex<Option<Running>>,
    log: Arc<Mutex<VecDeque<String>>>,
    doors: Mutex<Doors>,
    faults: Option<FaultInjection>,
}

/// The platform's JSON for a scenario's dispatcher of this number.
pub fn config(s: &Scenario, number: usize, address: IpAddr, discovery: SocketAddr, seed: u64) -> Value {
    let set = dispatcher_settings(s, number);
    let classes: Vec<Value> = s
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
    let stretch: Vec<f64> = s.classes.iter().map(|class| class.get("stretch")).collect();
    let listen = SocketAddr::new(address, 0);
    json!({
        "name": format!("n{number}"), "listen": listen, "console": listen, "discovery": discovery,
        "seed": format!("{seed:016x}"), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": null,
        "settings": {
            "balancers": set.dispatchers, "me": number, "zone": set.zone.as_ref(),
            "localities": set.zones.iter().map(|zone| zone.as_ref()).collect::<Vec<&str>>(),
            "machine_types": ["std"], "classes": classes, "discovery": "subscribe", "projects": [],
            "quantum_ms": s.get("tick"), "prices": {"cross_zone": set.cross_zone_price},
            "limits": {
                "cancel": true, "probes": set.limits.probes, "second_copies": set.limits.second_copies,
                "retry_after": set.limits.retry_after, "send_cap": set.limits.max_attempts,
                "max_retry_after_ms": set.limits.max_retry_after.ms(), "conn_idle_ms": s.get("connection.idle"),
                "connect_timeout_ms": s.get("connection.timeout"),
            },
            "reporting": {"how": "probe", "fields": ["x0", "cpu_share"]},
            "rules": {
                "answer_slack_ms": s.get("rules.answer-slack"), "ask_every_ms": s.get("rules.ask-every"),
                "stop_sending_within_ms": s.get("rules.drain-grace"), "cold_from": s.get("rules.cold-from"),
                "ramp_time_ms": s.get("rules.cold-for"), "fall_multiple": s.get("rules.fall-multiple"),
                "overload_for_ms": s.get("rules.fall-span"),
            },
            "specifics": {"tells_start": true, "class_stretch": stretch, "report_x0": "free_slots"},
        },
    })
}

impl Dispatcher {
    /// A dispatcher that does not run yet.
    ///
    /// # Errors
    /// Its folder cannot be made.
    pub fn new(
        keeper: &Arc<Keeper>,
        program: &Path,
        number: usize,
        config: Value,
        event_log: EventLog,
    ) -> io::Result<Self> {
        let name = format!("n{number}");
        let folder = keeper.folder().join(&name);
        std::fs::create_dir_all(&folder)?;
        Ok(Dispatcher {
            name,
            number,
            folder,
            program: program.to_owned(),
            keeper: keeper.clone(),
            event_log,
            config: Mutex::new(config),
            running: tokio::sync::Mutex::default(),
            log: Arc::default(),
            doors: Mutex::default(),
            faults: None,
        })
    }

    /// The same with system calls that fail.
    pub fn with_faults(self, faults: Option<FaultInjection>) -> Self {
        Dispatcher { faults, ..self }
    }

    /// How often a system call of its processes was made to fail.
    pub fn injected_faults(&self) -> usize {
        std::fs::read_to_string(self.folder.join(FAULTS_LOG)).unwrap_or_default().lines().count()
    }

    fn lives(&self, life: ProcessEvent) {
        self.event_log.record(Event::Dispatcher { dispatcher: self.number, event: life });
    }

    /// The configuration that its next process reads.
    pub fn config(&self) -> MutexGuard<'_, Value> {
        self.config.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts its process, and waits until that listens. A later process has the addresses of the first.
    ///
    /// # Errors
    /// It does not come up.
    pub async fn start(&self, patience: Duration) -> Result<(), StartError> {
        let mut running = self.running.lock().await;
        if running.is_some() {
            return Err(StartError::Runs(self.name.clone()));
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
        let mut process =
            self.keeper.spawn(&self.program, &arguments, &self.folder, &variables).await.map_err(spawn)?;
        self.lives(ProcessEvent::Started);
        let (sender, doors) = watch::channel(Doors::default());
        if let Some(stderr) = process.child.stderr.take() {
            tokio::spawn(read_log(
                stderr,
                self.name.clone(),
                self.log.clone(),
                self.event_log.clone(),
                sender,
            ));
        }
        let mut known = doors.clone();
        *running = Some(Running { process, doors });
        let open = |doors: &Doors| doors.clients.is_some() && doors.console.is_some() || doors.ended;
        let found = tokio::time::timeout(patience, known.wait_for(open)).await;
        let what = match found {
            Ok(Ok(doors)) if !doors.ended => {
                self.listens_at(*doors);
                return Ok(());
            }
            Ok(_) => "ended at its start",
            Err(_) => "does not listen",
        };
        *running = None;
        Err(self.not_ready(what))
    }

    fn listens_at(&self, doors: Doors) {
        *self.doors.lock().unwrap_or_else(PoisonError::into_inner) = doors;
        let mut config = self.config();
        for (field, address) in [("listen", doors.clients), ("console", doors.console)] {
            config[field] = json!(address);
        }
    }

    fn not_ready(&self, what: &str) -> StartError {
        let log = self.log().into_iter().rev().take(8).rev().collect::<Vec<_>>().join("\n");
        StartError::NotReady { name: self.name.clone(), what: what.into(), log }
    }

    /// Waits until it says that it is ready for clients.
    ///
    /// # Errors
    /// It does not become ready in time.
    pub async fn ready(&self, patience: Duration) -> Result<(), StartError> {
        let asks = async {
            loop {
                if let Some(address) = self.clients() {
                    if ask(address, "/health/ready").await.is_ok_and(|(status, _)| status == 200) {
                        return;
                    }
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        match tokio::time::timeout(patience, asks).await {
            Ok(()) => {
                self.lives(ProcessEvent::Ready);
                Ok(())
            }
            Err(_) => Err(self.not_ready("is not ready")),
        }
    }

    fn known_doors(&self) -> Doors {
        *self.doors.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Where clients reach it, once it has been up.
    pub fn clients(&self) -> Option<SocketAddr> {
        self.known_doors().clients
    }

    /// Where operators reach it, once it has been up.
    pub fn console(&self) -> Option<SocketAddr> {
        self.known_doors().console
    }

    /// The last lines of its log.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner).iter().cloned().collect()
    }

    /// Its process id, while it runs.
    pub async fn pid(&self) -> Option<i32> {
        self.running.lock().await.as_ref().map(|running| running.process.pid())
    }

    /// Kills it at once.
    pub async fn kill(&self) {
        if let Some(mut running) = self.running.lock().await.take() {
            self.lives(ProcessEvent::Killed);
            let _ = running.process.signal(Signal::KILL);
            let _ = running.process.ended().await;
        }
    }

    /// Tells it to end, and waits; what has not ended after `patience` is killed. True where it ended by itself.
    pub async fn end(&self, patience: Duration) -> bool {
        let Some(mut running) = self.running.lock().await.take() else { return false };
        self.lives(ProcessEvent::Terminated);
        let _ = running.process.signal(Signal::TERM);
        let ended = tokio::time::timeout(patience, running.process.ended()).await.is_ok();
        self.lives(if ended { ProcessEvent::Exited } else { ProcessEvent::Killed });
        ended
    }

    /// Stops it where it stands.
    pub async fn stop(&self) {
        if let Some(running) = &*self.running.lock().await {
            let _ = running.process.signal(Signal::STOP);
            self.lives(ProcessEvent::Stopped);
        }
    }

    /// Lets it go on.
    pub async fn resume(&self) {
        if let Some(running) = &*self.running.lock().await {
            let _ = running.process.signal(Signal::CONT);
            self.lives(ProcessEvent::Resumed);
        }
    }

    /// Lets it run for this part of the time only, in turns of `turn`, until `length` has passed.
    pub async fn slow(&self, part: f64, turn: Duration, length: Duration) {
        let end = tokio::time::Instant::now() + length;
        let runs = turn.mul_f64(part.clamp(0.0, 1.0));
        while tokio::time::Instant::now() < end {
            self.stop().await;
            tokio::time::sleep(turn - runs).await;
            self.resume().await;
            tokio::time::sleep(runs).await;
        }
    }

    /// Whether its process has ended without being told to.
    pub async fn has_crashed(&self) -> bool {
        self.running.lock().await.as_ref().is_some_and(|running| running.doors.borrow().ended)
    }

    /// Memory in use (KiB) and processor time used (seconds), by the system's count.
    pub async fn usage(&self) -> Option<(u64, f64)> {
        let pid = self.pid().await?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let memory = memory.trim().split(' ').next()?.parse().ok()?;
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // After the name, which may hold anything: the 12th and 13th are ticks in user and system mode.
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks = |at: usize| fields.get(at).and_then(|field| field.parse::<u64>().ok());
        let spent = (ticks(11)? + ticks(12)?) as f64 / rustix::param::clock_ticks_per_second() as f64;
        Some((memory, spent))
    }

    /// What it says of itself: each figure by its name.
    pub async fn figures(&self) -> Option<Vec<(String, u64)>> {
        let (status, text) = ask(self.console()?, "/control/counters").await.ok()?;
        let figure = |line: &str| {
            let (name, value) = line.strip_prefix("proxy.")?.split_once(':')?;
            Some((name.to_owned(), value.split('|').next()?.parse().ok()?))
        };
        (status == 200).then(|| text.lines().filter_map(figure).collect())
    }
}

/// The address after `listens at`, if the line tells one.
fn address(line: &str, front: &str) -> Option<SocketAddr> {
    let (_, rest) = line.split_once(&format!("{front} listens at "))?;
    let end = rest.find(|c: char| !c.is_ascii_digit() && !".:".contains(c)).unwrap_or(rest.len());
    rest[..end].parse().ok()
}

async fn read_log(
    from: impl AsyncRead + Unpin,
    name: String,
    log: Arc<Mutex<VecDeque<String>>>,
    event_log: EventLog,
    doors: watch::Sender<Doors>,
) {
    let mut lines = BufReader::new(from).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        for (front, clients) in [(": http", true), (": the console", false)] {
            if let Some(at) = address(&line, front) {
                doors.send_modify(|doors| {
                    *(if clients { &mut doors.clients } else { &mut doors.console }) = Some(at);
                });
            }
        }
        {
            let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
            log.push_back(line.clone());
            if log.len() > LINES {
                log.pop_front();
            }
        }
        event_log.record(Event::Log { process: name.clone(), line });
    }
    doors.send_modify(|doors| doors.ended = true);
}
