//! What stands behind the console: the figures, and the log workers that are out by hand.

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

use crate::serving::Serving;
use crate::share::looks;

/// Pause before a file that another process is changing is asked for again.
const BUSY: Duration = Duration::from_millis(5);

/// Between two looks at a folder that fails.
const AGAIN: Duration = Duration::from_millis(50);
/// A process that starts waits this long for a folder that fails; it has to be ready within 10 s.
const FOLDER_PATIENCE: Duration = Duration::from_secs(3);

/// Every front whose decisions hear of operators.
#[derive(Clone)]
pub struct Fronts {
    pub channel: Channel,
    pub faktory: Option<faktory::Operators>,
}

impl Fronts {
    async fn knows(&self, worker: &str) -> bool {
        match &self.faktory {
            Some(faktory) if faktory.knows(worker).await => true,
            _ => self.channel.is_known_worker(worker).await,
        }
    }

    async fn tell(&self, held: &BanSet) {
        let names: Vec<&str> = held.bans.keys().map(String::as_str).collect();
        tracing::info!("out by hand: {}", if names.is_empty() { "none".into() } else { names.join(", ") });
        let ban = |(name, since): (&String, &i64)| Ban { worker: name.as_str().into(), since: Time(*since) };
        let bans: Arc<[Ban]> = held.bans.iter().map(ban).collect();
        self.channel.set_bans(bans.clone()).await;
        if let Some(faktory) = &self.faktory {
            faktory.ban(bans).await;
        }
    }
}

/// Log workers out by hand: what the files say, and the decisions have been told.
pub struct Bans {
    store: BanStore,
    fronts: Fronts,
    /// What holds in this process. Files are read and written with this in hand, so that what was read first is
    /// told first.
    view: Mutex<View>,
}

/// What holds in this process.
#[derive(Default)]
struct View {
    held: BanSet,
    /// Of the files that were read last.
    stamp: Option<FileVersions>,
    /// Why they could not be read, if they could not.
    error: Option<String>,
}

impl Bans {
    pub fn new(store: BanStore, fronts: Fronts) -> Self {
        Bans { store, fronts, view: Mutex::default() }
    }

    /// Takes what the files say before anything is sent. A folder that fails is asked again for a while: what was taken
    /// out by hand still is.
    pub async fn first_look(&self) {
        let by = Instant::now() + FOLDER_PATIENCE;
        while !self.look().await && Instant::now() < by {
            sleep(AGAIN).await;
        }
    }

    /// Takes what the files say, if they say something new; false if they cannot be read, and are to be looked at again.
    async fn look(&self) -> bool {
        let mut view = self.view.lock().await;
        let stamp = self.store.file_versions();
        if view.stamp == Some(stamp) {
            return true;
        }
        match self.store.read() {
            Ok((new, damage)) => {
                if let Some(damage) = damage {
                    tracing::error!("log workers out by hand: the other file tells them: {damage}");
                }
                if view.held != new {
                    self.fronts.tell(&new).await;
                    view.held = new;
                }
                (view.stamp, view.error) = (Some(stamp), None);
                true
            }
            // What holds in this process goes on, and is written with the next change.
            Err(error) => {
                let error = error.to_string();
                if view.error.as_ref() != Some(&error) {
                    tracing::error!("log workers out by hand: {error}");
                }
                view.error = Some(error);
                false
            }
        }
    }

    async fn change(&self, worker: &str, out: bool) -> Result<(), EjectionError> {
        let mut view = self.view.lock().await;
        // Not the wall clock: it may be stepped, and this is compared with what the decisions' clock says.
        let now = self.fronts.channel.now().0;
        let new = loop {
            match self.store.set_banned(worker, out, now, &view.held) {
                Ok(new) => break new,
                Err(BanError::Busy(_)) => sleep(BUSY).await,
                Err(error) => return Err(EjectionError::Failed(error.to_string())),
            }
        };
        self.fronts.tell(&new).await;
        view.held = new;
        Ok(())
    }

    /// Looks at the files for as long as it is polled.
    pub async fn follow(self: Arc<Self>) {
        let mut looks = looks();
        loop {
            looks.tick().await;
            self.look().await;
        }
    }
}

/// The desk behind the console.
#[derive(Clone)]
pub struct Operators {
    pub serving: Serving,
    pub counters: Arc<[Arc<Counters>]>,
    pub bans: Option<Arc<Bans>>,
}

impl Operators {
    fn of_class(
        &self,
        text: &mut String,
        name: &str,
        of: fn(&rookspoke_dispatch::ClassCounters) -> &Counter,
    ) {
        let Some(first) = self.counters.first() else { return };
        for (at, class) in first.classes.iter().enumerate() {
            let total: u64 =
                self.counters.iter().filter_map(|c| c.classes.get(at)).map(|c| of(c).get()).sum();
            let _ = writeln!(text, "proxy.{name}.{}:{total}|c", class.name);
        }
    }
}

impl OperatorInterface for Operators {
    fn is_ready(&self) -> bool {
        self.serving.is_ready()
    }

    fn metrics(&self) -> String {
        let mut text = String::new();
        self.of_class(&mut text, "passed", |class| &class.served);
        self.of_class(&mut text, "dropped", |class| &class.refused);
        self.of_class(&mut text, "bad_gateway", |class| &class.failed);
        let sum = |of: fn(&Counters) -> u64| self.counters.iter().map(|counters| of(counters)).sum::<u64>();
        for (name, total, kind) in [
            ("upstream_tries", sum(|c| c.written.get()), 'c'),
            ("in_progress", sum(|c| c.gauges.open_requests.get()), 'g'),
            ("known_log_workers", sum(|c| c.gauges.known_workers.get()), 'g'),
            ("skipped_log_workers", sum(|c| c.gauges.skipped_workers.get()), 'g'),
        ] {
            let _ = writeln!(text, "proxy.{name}:{total}|{kind}");
        }
        text
    }

    async fn set_ejected(&self, worker: &str, out: bool) -> Result<(), EjectionError> {
        let Some(bans) = &self.bans else {
            return Err(EjectionError::Failed(
                "found no folder for `state`, expected one that outlives this process".into(),
            ));
        };
        if !bans.fronts.knows(worker).await {
            return Err(EjectionError::UnknownWorker);
        }
        // Begun, it is done: a caller that leaves must not part the files from the decisions.
        let (bans, worker) = (bans.clone(), worker.to_owned());
        let done = tokio::spawn(async move { bans.change(&worker, out).await });
        done.await.unwrap_or_else(|error| Err(EjectionError::Failed(error.to_string())))
    }
}
