//! The dispatcher's daemon: configuration, wiring, signals.
#![forbid(unsafe_code)]

use std::future::Future;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use rookspoke::channel::Channel;
use rookspoke::config::{Config, ConfigError, Resources};
use rookspoke::dispatch::Counters;
use rookspoke::faktory::{self, FaktoryConfig};
use rookspoke::front::Front;
use rookspoke::logger;
use rookspoke::vrrp;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Client connections, as a part of the descriptors.
const CLIENT_PART: f64 = 0.5;
/// Turns the Faktory front on, and says where it listens.
const FAKTORY: &str = "deploy/faktory.toml";

fn main() -> ExitCode {
    logger::start(match std::env::var("ROOKSPOKE_LOG").as_deref() {
        Ok("trace") => log::LevelFilter::Trace,
        Ok("debug") => log::LevelFilter::Debug,
        Ok("warn") => log::LevelFilter::Warn,
        _ => log::LevelFilter::Info,
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let done = runtime.map_err(|e| ConfigError::new("runtime", e)).and_then(|rt| rt.block_on(run()));
    match done {
        Ok(code) => code,
        Err(error) => {
            eprintln!("rookspoke: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Everything that runs, and what it counts.
struct Daemon {
    /// Fronts and the like: each ends once told to stop.
    parts: JoinSet<()>,
    /// Cores: none may end before the process does.
    cores: JoinSet<()>,
    counters: Vec<(&'static str, Arc<Counters>)>,
    vrrp: Option<Arc<vrrp::VrrpCounters>>,
    stop: watch::Sender<bool>,
    /// Once the HTTP front is up.
    channel: Option<Channel>,
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
            log::info!("{front} counters{when}: {counters}");
        }
        if let Some(counters) = &self.vrrp {
            log::info!("vrrp counters{when}: {counters}");
        }
    }

    async fn start_http(&mut self, config: &Config) -> Result<(), ConfigError> {
        let listener = TcpListener::bind(config.listen).await.map_err(|e| ConfigError::new("listen", e))?;
        let at = listener.local_addr().map_err(|e| ConfigError::new("listen", e))?;
        let (channel, core) = Channel::start(config);
        self.counters.push(("http", channel.counters().clone()));
        self.cores.spawn(async move { log::error!("the http core ended: {:?}", core.await) });
        self.channel = Some(channel.clone());
        let front = Front::new(channel, (config.limits.sockets as f64 * CLIENT_PART) as usize);
        self.parts.spawn(front.serve(listener, self.stopped()));
        log::info!("{}: http listens at {at}", config.name);
        Ok(())
    }

    /// Reads the configuration again. One that makes no sense changes nothing.
    async fn reload(&self, config: &mut Config) {
        let (new, changed) = match config.again() {
            Ok(new) => new,
            Err(error) => return log::warn!("told to reload; the configuration stays as it is: {error}"),
        };
        log::info!("told to reload; discovery is at {}", new.discovery);
        if !changed.is_empty() {
            log::warn!("changed, and heeded only after a restart: {}", changed.join(", "));
        }
        if let (Some(channel), true) = (&self.channel, new.discovery != config.discovery) {
            channel.move_discovery(new.discovery).await;
        }
        config.discovery = new.discovery;
    }

    async fn start_faktory(&mut self, config: &Config, faktory: &FaktoryConfig) -> Result<(), ConfigError> {
        let listener = TcpListener::bind(faktory.listen).await;
        let listener = listener.map_err(|e| ConfigError::new("faktory.listen", e))?;
        let at = listener.local_addr().map_err(|e| ConfigError::new("faktory.listen", e))?;
        let active = match &faktory.vrrp {
            Some(vrrp) => {
                let driver = vrrp::Driver::open(vrrp).await?;
                let master = driver.master();
                self.vrrp = Some(driver.counters());
                self.parts.spawn(driver.run(self.stopped()));
                master
            }
            // Alone, it is always the one that works.
            None => watch::channel(true).1,
        };
        let (settings, times) = (&config.settings, config.class_time.clone());
        let (server, core) = faktory::Server::new(faktory, settings, times, config.seed, active);
        self.counters.push(("faktory", server.counters()));
        self.cores.spawn(async move { log::error!("the faktory core ended: {:?}", core.await) });
        self.parts.spawn(server.serve(listener, self.stopped()));
        log::info!("{}: faktory listens at {at}", config.name);
        Ok(())
    }
}

async fn run() -> Result<ExitCode, ConfigError> {
    // First of all: unheeded, any of these ends the process.
    let heed = |name, kind| signal(kind).map_err(|e| ConfigError::new(name, e));
    let mut terminate = heed("SIGTERM", SignalKind::terminate())?;
    let mut report = heed("SIGUSR1", SignalKind::user_defined1())?;
    let mut reload = heed("SIGHUP", SignalKind::hangup())?;
    let mut config = Config::from_env()?;
    let faktory = FaktoryConfig::read(Path::new(FAKTORY))?;
    if let Some(faktory) = &faktory {
        // Both fronts live on the same descriptors.
        let left = config.limits.sockets.checked_sub(faktory.max_connections);
        let left = left.filter(|left| *left >= Resources::LEAST);
        config.limits.sockets =
            left.ok_or_else(|| ConfigError::new("max_connections", "too many for limits.sockets"))?;
    }
    let mut daemon = Daemon {
        parts: JoinSet::new(),
        cores: JoinSet::new(),
        counters: Vec::new(),
        vrrp: None,
        stop: watch::Sender::new(false),
        channel: None,
    };
    if let Some(faktory) = &faktory {
        daemon.start_faktory(&config, faktory).await?;
    }
    daemon.start_http(&config).await?;
    let code = loop {
        tokio::select! {
            _ = terminate.recv() => {
                daemon.stop.send_replace(true);
            }
            _ = report.recv() => daemon.report(""),
            _ = reload.recv() => daemon.reload(&mut config).await,
            Some(ended) = daemon.parts.join_next() => {
                if let Err(error) = ended {
                    log::error!("a part failed: {error}");
                    break ExitCode::FAILURE;
                }
                if daemon.parts.is_empty() {
                    break ExitCode::SUCCESS;
                }
            }
            // Without the decisions nothing more can be answered, so the process must not linger.
            Some(_) = daemon.cores.join_next() => break ExitCode::FAILURE,
        }
    };
    daemon.report(" at exit");
    Ok(code)
}
