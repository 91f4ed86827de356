//! Everything that runs, and the signals that it heeds.

use std::future::Future;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rookspoke_channel::Channel;
use rookspoke_config::Config;
use rookspoke_dispatch::Counters;
use rookspoke_faktory::{self as faktory, FaktoryConfig};
use rookspoke_state::bans::BanStore;
use rookspoke_vrrp as vrrp;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::bind;
use crate::cli::{self, Given};
use crate::control::{Control, ControlError, Status};
use crate::front::Front;
use crate::inherit::{self, InheritError};
use crate::logging::{self, Logging};
use crate::operators::{Bans, Fronts, Operators};
use crate::serving::Serving;
use crate::setup::{Setup, When};
use crate::share::{self, Share};
use crate::signals::Signals;

/// Why the daemon could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The system refuses something.
    #[error("{0}: {1}")]
    Io(&'static str, std::io::Error),
    /// The inherited descriptor is of no use.
    #[error("accept-fd: {0}")]
    Inherit(#[from] InheritError),
    /// VRRP could not start.
    #[error("{0}")]
    Vrrp(#[from] rookspoke_config::ConfigError),
    /// There is no control socket.
    #[error("control.path: {0}")]
    Control(#[from] ControlError),
}

/// Everything that runs, and what it counts.
struct Daemon {
    /// Fronts and the like: each ends once told to stop.
    parts: JoinSet<()>,
    /// Cores: none may end before the process does.
    cores: JoinSet<()>,
    counters: Vec<(&'static str, Arc<Counters>)>,
    vrrp: Option<(Arc<vrrp::VrrpCounters>, watch::Receiver<bool>)>,
    stop: watch::Sender<bool>,
    /// What clients wait for at most: what a shutdown has to be over by follows from it.
    longest_deadline: watch::Sender<Duration>,
    /// Once the HTTP front is up.
    serving: Option<Serving>,
    /// What operators ask of the Faktory front, if it is on.
    faktory: Option<faktory::Operators>,
    /// What operators use; it ends with the process.
    operators: JoinSet<()>,
    logging: Arc<Logging>,
}

impl Daemon {
    /// A future that ends when the daemon is told to stop.
    fn stopped(&self) -> impl Future<Output = ()> + Send + 'static {
        let mut stop = self.stop.subscribe();
        async move {
            let _ = stop.wait_for(|stop| *stop).await;
        }
    }

    fn report(&self, when: &str) {
        for (front, counters) in &self.counters {
            tracing::info!(target: logging::ASKED, "{front} counters{when}: {counters}");
        }
        if let Some((counters, _)) = &self.vrrp {
            tracing::info!(target: logging::ASKED, "vrrp counters{when}: {counters}");
        }
    }

    async fn start_http(&mut self, config: &Config) -> Result<(), StartError> {
        let listen = |e| StartError::Io("listen", e);
        let listener = match config.accept_fd {
            Some(fd) => TcpListener::from_std(inherit::listener(fd)?).map_err(listen)?,
            None => bind::listen(config.listen).await.map_err(listen)?,
        };
        let at = listener.local_addr().map_err(listen)?;
        let console = match config.console {
            Some(address) => Some(bind::listen(address).await.map_err(|e| StartError::Io("console", e))?),
            None => None,
        };
        let (channel, core) = Channel::start(config);
        self.counters.push(("http", channel.counters().clone()));
        self.cores.spawn(async move { tracing::error!("the http core ended: {:?}", core.await) });
        let serving = Serving::new(channel.clone());
        self.serving = Some(serving.clone());
        if let Some(console) = console {
            self.start_console(config, console, serving.clone()).await?;
        }
        let clients = share::clients(config.limits.sockets);
        let front = Front::new(serving.clone(), clients, self.longest_deadline.subscribe());
        // A listener that is handed on goes from one process to the next under load.
        if let (Some(_), Some(folder)) = (config.accept_fd, &config.state) {
            if let Some(mut share) = Share::take(folder, front.limit().clone(), config.limits.sockets) {
                share.look(&serving);
                self.operators.spawn(share.keep(serving.clone()));
            }
        }
        self.parts.spawn(front.serve(listener, config.accept_fd.is_some(), self.stopped()));
        tracing::info!("{}: http listens at {at}", config.name);
        Ok(())
    }

    /// Answers operators for as long as the process lives: while it ends, too.
    async fn start_console(
        &mut self,
        config: &Config,
        listener: TcpListener,
        serving: Serving,
    ) -> Result<(), StartError> {
        let at = listener.local_addr().map_err(|e| StartError::Io("console", e))?;
        let store = config.state.as_ref().map(BanStore::new);
        let fronts = Fronts { channel: serving.channel().clone(), faktory: self.faktory.clone() };
        let bans = store.map(|store| Arc::new(Bans::new(store, fronts)));
        if let Some(bans) = &bans {
            // Before the first job and the first probe.
            bans.first_look().await;
            self.operators.spawn(bans.clone().follow());
        }
        let counters = self.counters.iter().map(|(_, counters)| counters.clone()).collect();
        self.operators.spawn(rookspoke_console::serve(listener, Operators { serving, counters, bans }));
        tracing::info!("{}: the console listens at {at}", config.name);
        Ok(())
    }

    async fn start_faktory(&mut self, config: &Config, faktory: &FaktoryConfig) -> Result<(), StartError> {
        let listen = |e| StartError::Io("faktory.listen", e);
        let listener = bind::listen(faktory.listen).await.map_err(listen)?;
        let at = listener.local_addr().map_err(listen)?;
        let active = match &faktory.vrrp {
            Some(vrrp) => {
                let driver = vrrp::Driver::open(vrrp).await?;
                let master = driver.master();
                self.vrrp = Some((driver.counters(), master.clone()));
                self.parts.spawn(driver.run(self.stopped()));
                master
            }
            // Alone, it is always the one that works.
            None => watch::channel(true).1,
        };
        let (settings, times) = (&config.settings, config.class_time.clone());
        let (server, core) = faktory::Server::new(faktory, settings, times, config.seed, active);
        self.counters.push(("faktory", server.counters()));
        self.faktory = Some(server.operators());
        self.cores.spawn(async move { tracing::error!("the faktory core ended: {:?}", core.await) });
        self.parts.spawn(server.serve(listener, self.stopped()));
        tracing::info!("{}: faktory listens at {at}", config.name);
        Ok(())
    }

    /// Answers on the control socket for as long as the process lives: while it ends, too.
    fn start_control(&self, name: &str, control: Control) -> JoinSet<()> {
        let (name, start, stop) = (name.to_owned(), Instant::now(), self.stop.subscribe());
        let (serving, vrrp, logging) = (self.serving.clone(), self.vrrp.clone(), self.logging.clone());
        let counters = self.counters.clone();
        let status = move || {
            let own = |pairs: Vec<(&str, u64)>| pairs.into_iter().map(|(n, v)| (n.to_owned(), v)).collect();
            let fronts = counters.iter().map(|(front, totals)| ((*front).to_owned(), own(totals.pairs())));
            let pair = vrrp.iter().map(|(totals, _)| ("vrrp".to_owned(), own(totals.pairs())));
            Status {
                name: name.clone(),
                version: env!("CARGO_PKG_VERSION").into(),
                pid: std::process::id(),
                uptime_s: start.elapsed().as_secs(),
                ready: serving.as_ref().is_some_and(Serving::is_ready),
                ending: *stop.borrow(),
                master: vrrp.as_ref().map(|(_, master)| *master.borrow()),
                log_dropped: logging.dropped() as u64,
                log_left_out: logging.left_out(),
                counters: fronts.chain(pair).collect(),
            }
        };
        let mut task = JoinSet::new();
        task.spawn(control.serve(status, std::future::pending()));
        task
    }

    /// Reads the configuration again. One that makes no sense changes nothing.
    async fn reload(&self, from: &Given, setup: &mut Setup) {
        let new = match Setup::read(from, When::Again) {
            Ok(new) => new,
            Err(error) => {
                return tracing::warn!("told to reload; the configuration stays as it is: {error}");
            }
        };
        // Before anything is changed, lest half of a file holds.
        if let Err(error) = self.logging.set_level(&new.log.level) {
            return tracing::warn!("told to reload; the configuration stays as it is: {error}");
        }
        let changes = new.resolved.changes_since(&setup.resolved);
        let list = changes.at_reload.iter().any(|key| key == "discovery" || key.starts_with("worker "));
        tracing::info!("told to reload; changed, and heeded now: {}", words(&changes.at_reload));
        if !changes.at_restart.is_empty() {
            tracing::warn!("changed, and heeded only after a restart: {}", words(&changes.at_restart));
        }
        if let (Some(serving), true) = (&self.serving, list) {
            serving.channel().take_list_from(new.config.source.clone()).await;
        }
        // Whether the platform counts by the old deadlines or by the new ones, a shutdown is over in time.
        let longest = longest_deadline(&new.config);
        self.longest_deadline.send_if_modified(|held| {
            let shorter = longest < *held;
            *held = longest.min(*held);
            shorter
        });
        // What only a restart heeds is still as it was, and so is told again at the next reload.
        setup.resolved.apply_reload(&new.resolved);
        setup.config.source = new.config.source;
    }
}

/// What clients of any class wait for at most.
fn longest_deadline(config: &Config) -> Duration {
    config.class_time.iter().copied().max().unwrap_or_default()
}

fn words(keys: &[String]) -> String {
    match keys {
        [] => "nothing".into(),
        keys => keys.join(", "),
    }
}

/// Serves until told to end.
///
/// # Errors
/// Something that it needs cannot be had at the start.
pub async fn run(
    from: &Given,
    mut setup: Setup,
    logging: Arc<Logging>,
    signals: Signals,
) -> Result<ExitCode, StartError> {
    let Signals { mut terminate, mut report, mut reload } = signals;
    let control = setup.control.as_ref().map(|control| Control::open(&control.path)).transpose()?;
    let mut daemon = Daemon {
        parts: JoinSet::new(),
        cores: JoinSet::new(),
        counters: Vec::new(),
        vrrp: None,
        stop: watch::Sender::new(false),
        longest_deadline: watch::Sender::new(longest_deadline(&setup.config)),
        serving: None,
        faktory: None,
        operators: JoinSet::new(),
        logging: logging.clone(),
    };
    setup.resolved.warnings.iter().for_each(|warning| tracing::warn!("{warning}"));
    if let Some(faktory) = &setup.faktory {
        daemon.start_faktory(&setup.config, faktory).await?;
    }
    daemon.start_http(&setup.config).await?;
    tracing::info!("{}: the list comes from {}", setup.config.name, setup.config.source);
    let _control = control.map(|control| daemon.start_control(&setup.config.name, control));
    // Apart from the loop below: nothing that it waits for holds a shutdown up.
    let stop = daemon.stop.clone();
    let mut shutdown = JoinSet::new();
    shutdown.spawn(async move {
        terminate.recv().await;
        stop.send_replace(true);
    });
    let mut ticks = tokio::time::interval(logging::REPORT);
    let code = loop {
        tokio::select! {
            _ = report.recv() => daemon.report(""),
            _ = reload.recv() => daemon.reload(from, &mut setup).await,
            _ = ticks.tick() => logging.report(),
            Some(ended) = daemon.parts.join_next() => {
                if let Err(error) = ended {
                    tracing::error!("a part failed: {error}");
                    break cli::FAILED;
                }
                if daemon.parts.is_empty() {
                    break cli::OK;
                }
            }
            // Without the decisions nothing more can be answered, so the process must not linger.
            Some(_) = daemon.cores.join_next() => break cli::FAILED,
        }
    };
    logging.report();
    daemon.report(" at exit");
    Ok(ExitCode::from(code))
}
