//! The dispatcher's daemon: configuration, wiring, signals.
#![forbid(unsafe_code)]

use std::process::ExitCode;

use rookspoke::channel::Channel;
use rookspoke::config::{Config, ConfigError};
use rookspoke::front::Front;
use rookspoke::logger;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};

/// Client connections, as a part of the descriptors.
const CLIENT_PART: f64 = 0.45;

fn main() -> ExitCode {
    logger::start(match std::env::var("ROOKSPOKE_LOG").as_deref() {
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

async fn run() -> Result<ExitCode, ConfigError> {
    let config = Config::from_env()?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| ConfigError::new("SIGTERM", e))?;
    let mut report = signal(SignalKind::user_defined1()).map_err(|e| ConfigError::new("SIGUSR1", e))?;
    let listener = TcpListener::bind(config.listen).await.map_err(|e| ConfigError::new("listen", e))?;
    let (channel, core) = Channel::start(&config);
    let counters = channel.counters().clone();
    log::info!("{} listens at {}", config.name, config.listen);
    let mut core = tokio::spawn(core);
    let front = Front::new(channel, (config.limits.sockets as f64 * CLIENT_PART) as usize);
    let mut serve = std::pin::pin!(front.serve(listener, async move {
        terminate.recv().await;
    }));
    let code = loop {
        tokio::select! {
            () = &mut serve => break ExitCode::SUCCESS,
            ended = &mut core => {
                // The decisions are gone: nothing more can be answered, so the process must not linger.
                log::error!("the core ended: {ended:?}");
                break ExitCode::FAILURE;
            }
            _ = report.recv() => log::info!("counters: {counters}"),
        }
    };
    log::info!("counters at exit: {counters}");
    Ok(code)
}
