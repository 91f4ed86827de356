//! The backend of the operators' console: metrics, and log workers ejected manually.

use std::fmt::Write;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rookspoke_channel::Channel;
use rookspoke_console::{EjectionError, OperatorInterface};
use rookspoke_decisions::{Ban, Time};
use rookspoke_dispatch::{Counter, Counters};
use rookspoke_faktory as faktory;
use rookspoke_state::bans::{BanError, BanSet, BanStore, FileVersions};
use tokio::sync::Mutex;
use tokio::time::sleep;

use crate::server_state::ServerState;
use crate::share::poll_timer;

/// Pause before a change is retried while another process holds the lock of the ban files.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Pause before the state folder is read again after a failure at startup.
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// How long a starting process retries to read the state folder; it has to be ready within 10 s.
const INITIAL_READ_TIMEOUT: Duration = Duration::from_secs(3);

/// The fronts to which bans are applied.
#[derive(Clone)]
pub struct Fronts {
    pub channel: Channel,
    pub faktory: Option<faktory::OperatorHandle>,
}

impl Fronts {
    async fn is_known(&self, worker: &str) -> bool {
        match &self.faktory {
            Some(faktory) if faktory.is_known(worker).await => true,
            _ => self.channel.is_known(worker).await,
        }
    }

    async fn apply_bans(&self, set: &BanSet) {
        let names: Vec<&str> = set.bans.keys().map(String::as_str).collect();
        let names = if names.is_empty() { "none".into() } else { names.join(", ") };
        tracing::info!("manually ejected log workers: {names}");
        let ban = |(name, since): (&String, &i64)| Ban { worker: name.as_str().into(), since: Time(*since) };
        let bans: Arc<[Ban]> = set.bans.iter().map(ban).collect();
        self.channel.set_bans(bans.clone()).await;
        if let Some(faktory) = &self.faktory {
            faktory.set_bans(bans).await;
        }
    }
}

/// Keeps the bans of the fronts in step with the ban files: log workers that operators ejected manually.
pub struct BanSync {
    store: BanStore,
    fronts: Fronts,
    /// The bans in effect in this process. Locked while files are read or written, so that changes are applied to the
    /// fronts in the order in which they were read.
    current: Mutex<CurrentBans>,
}

/// The bans in effect in this process.
#[derive(Default)]
struct CurrentBans {
    bans: BanSet,
    /// Versions of the files when they were last read.
    file_versions: Option<FileVersions>,
    /// The error of the last read, if it failed; an unchanged error is not logged again.
    error: Option<String>,
}

impl BanSync {
    pub fn new(store: BanStore, fronts: Fronts) -> Self {
        BanSync { store, fronts, current: Mutex::default() }
    }

    /// Applies the bans in the files before anything is sent to a log worker. Failed reads are retried for a while,
    /// since bans from before a restart remain in effect.
    pub async fn load_initial(&self) {
        let give_up_at = Instant::now() + INITIAL_READ_TIMEOUT;
        while !self.poll_files().await && Instant::now() < give_up_at {
            sleep(READ_RETRY_INTERVAL).await;
        }
    }

    /// Applies the bans in the files if the files have changed. Returns false if they could not be read and have to be
    /// polled again.
    async fn poll_files(&self) -> bool {
        let mut current = self.current.lock().await;
        let file_versions = self.store.file_versions();
        if current.file_versions == Some(file_versions) {
            return true;
        }
        match self.store.read() {
            Ok((new, damage)) => {
                if let Some(damage) = damage {
                    tracing::error!(
                        "manually ejected log workers: one of the two files is damaged, using the other: {damage}"
                    );
                }
                if current.bans != new {
                    self.fronts.apply_bans(&new).await;
                    current.bans = new;
                }
                (current.file_versions, current.error) = (Some(file_versions), None);
                true
            }
            // The bans in this process stay in effect, and the next change writes them to the files.
            Err(error) => {
                let error = error.to_string();
                if current.error.as_ref() != Some(&error) {
                    tracing::error!("cannot read the manually ejected log workers: {error}");
                }
                current.error = Some(error);
                false
            }
        }
    }

    /// Ejects a log worker, or ends its ejection, in the files and in the fronts.
    async fn set_banned(&self, worker: &str, banned: bool) -> Result<(), EjectionError> {
        let mut current = self.current.lock().await;
        // Not the wall clock, which may be stepped: the time is compared with the clock of the dispatch decisions.
        let now = self.fronts.channel.now().0;
        let new = loop {
            match self.store.set_banned(worker, banned, now, &current.bans) {
                Ok(new) => break new,
                Err(BanError::Busy(_)) => sleep(LOCK_RETRY_INTERVAL).await,
                Err(error) => return Err(EjectionError::Failed(error.to_string())),
            }
        };
        self.fronts.apply_bans(&new).await;
        current.bans = new;
        Ok(())
    }

    /// Polls the files at every poll interval; never completes.
    pub async fn run(self: Arc<Self>) {
        let mut timer = poll_timer();
        loop {
            timer.tick().await;
            self.poll_files().await;
        }
    }
}

/// Implements the operations of the console.
#[derive(Clone)]
pub struct ConsoleBackend {
    pub state: ServerState,
    pub counters: Arc<[Arc<Counters>]>,
    pub bans: Option<Arc<BanSync>>,
}

impl ConsoleBackend {
    /// Appends a line for each class with the sum of a counter over all fronts.
    fn write_class_metric(
        &self,
        text: &mut String,
        name: &str,
        counter: fn(&rookspoke_dispatch::ClassCounters) -> &Counter,
    ) {
        let Some(first) = self.counters.first() else { return };
        for (index, class) in first.classes.iter().enumerate() {
            let of_class = self.counters.iter().filter_map(|counters| counters.classes.get(index));
            let total: u64 = of_class.map(|class| counter(class).get()).sum();
            let _ = writeln!(text, "proxy.{name}.{}:{total}|c", class.name);
        }
    }
}

impl OperatorInterface for ConsoleBackend {
    fn is_ready(&self) -> bool {
        self.state.is_ready()
    }

    fn metrics(&self) -> String {
        let mut text = String::new();
        self.write_class_metric(&mut text, "passed", |class| &class.served);
        self.write_class_metric(&mut text, "dropped", |class| &class.refused);
        self.write_class_metric(&mut text, "bad_gateway", |class| &class.failed);
        let sum =
            |value: fn(&Counters) -> u64| self.counters.iter().map(|counters| value(counters)).sum::<u64>();
        for (name, total, kind) in [
            ("upstream_tries", sum(|counters| counters.written.get()), 'c'),
            ("in_progress", sum(|counters| counters.gauges.open_requests.get()), 'g'),
            ("known_log_workers", sum(|counters| counters.gauges.known_workers.get()), 'g'),
            ("skipped_log_workers", sum(|counters| counters.gauges.skipped_workers.get()), 'g'),
        ] {
            let _ = writeln!(text, "proxy.{name}:{total}|{kind}");
        }
        text
    }

    async fn set_ejected(&self, worker: &str, ejected: bool) -> Result<(), EjectionError> {
        let Some(bans) = &self.bans else {
            return Err(EjectionError::Failed(
                "found no folder for `state`, expected one that outlives this process".into(),
            ));
        };
        if !bans.fronts.is_known(worker).await {
            return Err(EjectionError::UnknownWorker);
        }
        // A task of its own, which completes even if the caller disconnects: otherwise the files could change without
        // the fronts.
        let (bans, worker) = (bans.clone(), worker.to_owned());
        let change = tokio::spawn(async move { bans.set_banned(&worker, ejected).await });
        change.await.unwrap_or_else(|error| Err(EjectionError::Failed(error.to_string())))
    }
}
