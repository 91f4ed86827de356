//! Starts the servers of the daemon, and handles signals until it exits.

use std::future::Future;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rookspoke_channel::Channel;
use rookspoke_config::Config;
use rookspoke_dispatch::Counters;
use rookspoke_faktory::{self as faktory, FaktoryConfig};
use rookspoke_memory::PeerMemory;
use rookspoke_state::bans::BanStore;
use rookspoke_vrrp as vrrp;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::bind;
use crate::cli::{self, ConfigArgs};
use crate::control::{Control, ControlError, Status};
use crate::front::Front;
use crate::inherit::{self, InheritError};
use crate::logging::{self, Logging};
use crate::operators::{BanSync, ConsoleBackend, Fronts};
use crate::server_state::ServerState;
use crate::setup::{ReadReason, Setup};
use crate::share::{self, ProcessShare};
use crate::signals::Signals;

/// Why the daemon failed to start.
#[derive(Debug, Error)]
pub enum StartError {
    /// A system call failed; the text names the setting concerned.
    #[error("{0}: {1}")]
    Io(&'static str, std::io::Error),
    /// The inherited descriptor is not a usable listener.
    #[error("accept-fd: {0}")]
    Inherit(#[from] InheritError),
    /// VRRP could not start.
    #[error("{0}")]
    Vrrp(#[from] rookspoke_config::ConfigError),
    /// The control socket could not be opened.
    #[error("control.path: {0}")]
    Control(#[from] ControlError),
}

/// The running tasks of the daemon and their counters.
struct Daemon {
    /// The fronts and VRRP: each of these tasks ends after `stop`.
    servers: JoinSet<()>,
    /// The tasks that make the dispatch decisions: the process exits if one of them ends.
    dispatch_tasks: JoinSet<()>,
    counters: Vec<(&'static str, Arc<Counters>)>,
    vrrp: Option<(Arc<vrrp::VrrpCounters>, watch::Receiver<bool>)>,
    stop: watch::Sender<bool>,
    /// The longest time a client waits for a response; the plan of a graceful shutdown depends on it.
    longest_deadline: watch::Sender<Duration>,
    /// Set once the HTTP front is started.
    server_state: Option<ServerState>,
    /// Handle for operator commands to the Faktory front, if it is enabled.
    faktory: Option<faktory::OperatorHandle>,
    /// The console and the polling of the state folder; these tasks run until the process exits.
    operator_tasks: JoinSet<()>,
    logging: Arc<Logging>,
    /// The memory budgets that all fronts share.
    memory: PeerMemory,
}

impl Daemon {
    /// A future that completes when the daemon begins to shut down.
    fn stopped(&self) -> impl Future<Output = ()> + Send + 'static {
        let mut stop = self.stop.subscribe();
        async move {
            let _ = stop.wait_for(|stop| *stop).await;
        }
    }

    /// Logs all counters; `when` is appended to the word `counters`.
    fn log_counters(&self, when: &str) {
        for (front, counters) in &self.counters {
            tracing::info!(target: logging::COUNTERS, "{front} counters{when}: {counters}");
        }
        if let Some((counters, _)) = &self.vrrp {
            tracing::info!(target: logging::COUNTERS, "vrrp counters{when}: {counters}");
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
        let (channel, core) = Channel::start_within(config, self.memory.clone());
        self.counters.push(("http", channel.counters().clone()));
        self.dispatch_tasks.spawn(async move {
            tracing::error!("the HTTP dispatch task ended unexpectedly: {:?}", core.await)
        });
        let server_state = ServerState::new(channel.clone());
        self.server_state = Some(server_state.clone());
        if let Some(console) = console {
            self.start_console(config, console, server_state.clone()).await?;
        }
        let client_limit = share::client_limit(config.limits.sockets, &self.memory.plan(1));
        let front = Front::new(server_state.clone(), client_limit, self.longest_deadline.subscribe());
        // An inherited listener is used for upgrades under load, where two processes run at the same time.
        if let (Some(_), Some(folder)) = (config.accept_fd, &config.state) {
            if let Err(error) = channel.share_ids_in(folder) {
                tracing::warn!("{}: cannot share the ids of requests: {error}", folder.display());
            }
            let share = ProcessShare::acquire(folder, front.limit().clone(), config.limits.sockets);
            if let Some(mut share) = share {
                share.update(&server_state);
                self.operator_tasks.spawn(share.run(server_state.clone()));
            }
        }
        self.servers.spawn(front.serve(listener, config.accept_fd.is_some(), self.stopped()));
        tracing::info!("{}: http listens at {at}", config.name);
        Ok(())
    }

    /// Starts the operators' console, which runs until the process exits, also during a shutdown.
    async fn start_console(
        &mut self,
        config: &Config,
        listener: TcpListener,
        server_state: ServerState,
    ) -> Result<(), StartError> {
        let at = listener.local_addr().map_err(|e| StartError::Io("console", e))?;
        let store = config.state.as_ref().map(BanStore::new);
        let fronts = Fronts { channel: server_state.channel().clone(), faktory: self.faktory.clone() };
        let bans = store.map(|store| Arc::new(BanSync::new(store, fronts)));
        if let Some(bans) = &bans {
            // Bans have to be in effect before the first job or probe is sent.
            bans.load_initial().await;
            self.operator_tasks.spawn(bans.clone().run());
        }
        let counters = self.counters.iter().map(|(_, counters)| counters.clone()).collect();
        self.operator_tasks.spawn(rookspoke_console::serve(
            listener,
            ConsoleBackend { state: server_state, counters, bans },
        ));
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
                let master = driver.active();
                self.vrrp = Some((driver.counters(), master.clone()));
                self.servers.spawn(driver.run(self.stopped()));
                master
            }
            // Without VRRP, this process is always the active one.
            None => watch::channel(true).1,
        };
        let (settings, times) = (&config.settings, config.class_deadlines.clone());
        let memory = self.memory.requests.clone();
        let (server, core) = faktory::Server::new(faktory, settings, times, config.seed, active, memory);
        self.counters.push(("faktory", server.counters()));
        self.faktory = Some(server.operator_handle());
        self.dispatch_tasks.spawn(async move {
            tracing::error!("the Faktory dispatch task ended unexpectedly: {:?}", core.await)
        });
        self.servers.spawn(server.serve(listener, self.stopped()));
        tracing::info!("{}: faktory listens at {at}", config.name);
        Ok(())
    }

    /// Starts the control socket, which runs until the process exits, also during a shutdown.
    fn start_control(&self, name: &str, control: Control) -> JoinSet<()> {
        let (name, start, stop) = (name.to_owned(), Instant::now(), self.stop.subscribe());
        let (server_state, vrrp, logging) =
            (self.server_state.clone(), self.vrrp.clone(), self.logging.clone());
        let counters = self.counters.clone();
        let status = move || {
            let owned = |pairs: Vec<(&str, u64)>| {
                pairs.into_iter().map(|(name, value)| (name.to_owned(), value)).collect()
            };
            let fronts = counters.iter().map(|(front, totals)| ((*front).to_owned(), owned(totals.pairs())));
            let vrrp_counters = vrrp.iter().map(|(totals, _)| ("vrrp".to_owned(), owned(totals.pairs())));
            Status {
                name: name.clone(),
                version: env!("CARGO_PKG_VERSION").into(),
                pid: std::process::id(),
                uptime_s: start.elapsed().as_secs(),
                ready: server_state.as_ref().is_some_and(ServerState::is_ready),
                ending: *stop.borrow(),
                master: vrrp.as_ref().map(|(_, master)| *master.borrow()),
                log_dropped: logging.dropped() as u64,
                log_left_out: logging.suppressed(),
                counters: fronts.chain(vrrp_counters).collect(),
            }
        };
        let mut task = JoinSet::new();
        task.spawn(control.serve(status, std::future::pending()));
        task
    }

    /// Reloads the configuration. An invalid one changes nothing.
    async fn reload(&self, config_args: &ConfigArgs, setup: &mut Setup) {
        let new = match Setup::read(config_args, ReadReason::Reload) {
            Ok(new) => new,
            Err(error) => {
                return tracing::warn!("SIGHUP received: new configuration rejected: {error}");
            }
        };
        // Before anything else is changed: a file must not be applied in part.
        if let Err(error) = self.logging.set_level(&new.log.level) {
            return tracing::warn!("SIGHUP received: new configuration rejected: {error}");
        }
        let changes = new.resolved.changes_since(&setup.resolved);
        let list_changed =
            changes.at_reload.iter().any(|key| key == "discovery" || key.starts_with("worker "));
        tracing::info!("SIGHUP received: settings in effect now: {}", comma_separated(&changes.at_reload));
        if !changes.at_restart.is_empty() {
            tracing::warn!(
                "SIGHUP received: settings in effect only after a restart: {}",
                comma_separated(&changes.at_restart)
            );
        }
        if let (Some(server_state), true) = (&self.server_state, list_changed) {
            server_state.channel().set_list_source(new.config.list_source.clone()).await;
        }
        // The platform may compute the time of SIGKILL from the old deadlines or from the new ones; with the shorter
        // of both a shutdown ends in time in either case.
        let new_longest = longest_deadline(&new.config);
        self.longest_deadline.send_if_modified(|longest| {
            let is_shorter = new_longest < *longest;
            *longest = new_longest.min(*longest);
            is_shorter
        });
        // Settings that need a restart keep their old values here, so the next reload reports them again.
        setup.resolved.apply_reload(&new.resolved);
        setup.config.list_source = new.config.list_source;
    }
}

/// The longest deadline of all classes.
fn longest_deadline(config: &Config) -> Duration {
    config.class_deadlines.iter().copied().max().unwrap_or_default()
}

fn comma_separated(keys: &[String]) -> String {
    match keys {
        [] => "none".into(),
        keys => keys.join(", "),
    }
}

/// Runs the daemon until it has shut down.
///
/// # Errors
/// A listener, the console, the control socket or VRRP could not be started.
pub async fn run(
    config_args: &ConfigArgs,
    mut setup: Setup,
    logging: Arc<Logging>,
    signals: Signals,
) -> Result<ExitCode, StartError> {
    let Signals { mut terminate, mut report, mut reload } = signals;
    let control = setup.control.as_ref().map(|control| Control::open(&control.path)).transpose()?;
    let mut daemon = Daemon {
        servers: JoinSet::new(),
        dispatch_tasks: JoinSet::new(),
        counters: Vec::new(),
        vrrp: None,
        stop: watch::Sender::new(false),
        longest_deadline: watch::Sender::new(longest_deadline(&setup.config)),
        server_state: None,
        faktory: None,
        operator_tasks: JoinSet::new(),
        logging: logging.clone(),
        memory: PeerMemory::new(setup.config.limits.memory_bytes()),
    };
    setup.resolved.warnings.iter().for_each(|warning| tracing::warn!("{warning}"));
    if let Some(faktory) = &setup.faktory {
        daemon.start_faktory(&setup.config, faktory).await?;
    }
    daemon.start_http(&setup.config).await?;
    tracing::info!("{}: source of the list of log workers: {}", setup.config.name, setup.config.list_source);
    let _control = control.map(|control| daemon.start_control(&setup.config.name, control));
    // In a task of its own, so that nothing the loop below awaits can delay a shutdown.
    let stop = daemon.stop.clone();
    let mut shutdown_task = JoinSet::new();
    shutdown_task.spawn(async move {
        terminate.recv().await;
        stop.send_replace(true);
    });
    let mut report_timer = tokio::time::interval(logging::REPORT_INTERVAL);
    let code = loop {
        tokio::select! {
            _ = report.recv() => daemon.log_counters(""),
            _ = reload.recv() => daemon.reload(config_args, &mut setup).await,
            _ = report_timer.tick() => logging.report(),
            Some(ended) = daemon.servers.join_next() => {
                if let Err(error) = ended {
                    tracing::error!("a server task failed: {error}");
                    break cli::FAILED;
                }
                if daemon.servers.is_empty() {
                    break cli::OK;
                }
            }
            // Without the dispatch decisions no request can be answered, so the process exits at once.
            Some(_) = daemon.dispatch_tasks.join_next() => break cli::FAILED,
        }
    };
    logging.report();
    daemon.log_counters(" at exit");
    Ok(ExitCode::from(code))
}
