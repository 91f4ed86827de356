//! What stands behind the console: the figures, and the log workers that are out by hand.

use std::fmt::Write;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rookspoke_channel::Channel;
use rookspoke_console::{Desk, No};
use rookspoke_decisions::{Ban, Time};
use rookspoke_dispatch::{Counter, Counters};
use rookspoke_faktory as faktory;
use rookspoke_state::bans::{BanError, Held, Stamp, Store};
use tokio::sync::Mutex;
use tokio::time::sleep;

use crate::serving::Serving;
use crate::share::looks;

/// Pause before a file that another process is changing is asked for again.
const BUSY: Duration = Duration::from_millis(5);

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
            _ => self.channel.knows(worker).await,
        }
    }

    async fn tell(&self, held: &Held) {
        let names: Vec<&str> = held.bans.keys().map(String::as_str).collect();
        tracing::info!("out by hand: {}", if names.is_empty() { "none".into() } else { names.join(", ") });
        let ban = |(name, since): (&String, &i64)| Ban { worker: name.as_str().into(), since: Time(*since) };
        let bans: Arc<[Ban]> = held.bans.iter().map(ban).collect();
        self.channel.ban(bans.clone()).await;
        if let Some(faktory) = &self.faktory {
            faktory.ban(bans).await;
        }
    }
}

/// Log workers out by hand: what the files say, and the decisions have been told.
pub struct Bans {
    store: Store,
    fronts: Fronts,
    /// What holds in this process. Files are read and written with this in hand, so that what was read first is
    /// told first.
    held: Mutex<(Held, Option<Stamp>)>,
}

impl Bans {
    pub fn new(store: Store, fronts: Fronts) -> Self {
        Bans { store, fronts, held: Mutex::default() }
    }

    /// Takes what the files say, if they say something new.
    pub async fn look(&self) {
        let mut held = self.held.lock().await;
        let stamp = self.store.stamp();
        if held.1 == Some(stamp) {
            return;
        }
        held.1 = Some(stamp);
        match self.store.read() {
            Ok((new, damage)) => {
                if let Some(damage) = damage {
                    tracing::error!("log workers out by hand: the other file tells them: {damage}");
                }
                if held.0 != new {
                    self.fronts.tell(&new).await;
                    held.0 = new;
                }
            }
            // What holds in this process goes on, and is written with the next change.
            Err(error) => tracing::error!("log workers out by hand: {error}"),
        }
    }

    async fn change(&self, worker: &str, out: bool) -> Result<(), No> {
        let mut held = self.held.lock().await;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let now = i64::try_from(now.as_micros()).unwrap_or(i64::MAX);
        let new = loop {
            match self.store.change(worker, out, now, &held.0) {
                Ok(new) => break new,
                Err(BanError::Busy(_)) => sleep(BUSY).await,
                Err(error) => return Err(No::Failed(error.to_string())),
            }
        };
        self.fronts.tell(&new).await;
        held.0 = new;
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

impl Desk for Operators {
    fn ready(&self) -> bool {
        self.serving.is_ready()
    }

    fn figures(&self) -> String {
        let mut text = String::new();
        self.of_class(&mut text, "passed", |class| &class.served);
        self.of_class(&mut text, "dropped", |class| &class.refused);
        self.of_class(&mut text, "bad_gateway", |class| &class.failed);
        let sum = |of: fn(&Counters) -> u64| self.counters.iter().map(|counters| of(counters)).sum::<u64>();
        for (name, total, kind) in [
            ("upstream_tries", sum(|c| c.written.get()), 'c'),
            ("in_progress", sum(|c| c.now.open.get()), 'g'),
            ("known_log_workers", sum(|c| c.now.known.get()), 'g'),
            ("skipped_log_workers", sum(|c| c.now.skipped.get()), 'g'),
        ] {
            let _ = writeln!(text, "proxy.{name}:{total}|{kind}");
        }
        text
    }

    async fn set_out(&self, worker: &str, out: bool) -> Result<(), No> {
        let Some(bans) = &self.bans else {
            return Err(No::Failed(
                "found no folder for `state`, expected one that outlives this process".into(),
            ));
        };
        if !bans.fronts.knows(worker).await {
            return Err(No::Unknown);
        }
        // Begun, it is done: a caller that leaves must not part the files from the decisions.
        let (bans, worker) = (bans.clone(), worker.to_owned());
        let done = tokio::spawn(async move { bans.change(&worker, out).await });
        done.await.unwrap_or_else(|error| Err(No::Failed(error.to_string())))
    }
}
