//! The signals that the daemon heeds.

use std::io;

use thiserror::Error;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// A signal could not be listened for.
#[derive(Debug, Error)]
#[error("{signal}: {error}")]
pub struct SignalError {
    signal: &'static str,
    error: io::Error,
}

/// Signals that have come since [`Signals::listen`]; one that came several times unheeded comes once.
pub struct Signals {
    /// SIGTERM: shut down.
    pub terminate: Signal,
    /// SIGUSR1: write the counters.
    pub report: Signal,
    /// SIGHUP: read the configuration again.
    pub reload: Signal,
}

impl Signals {
    /// Listens from now on; needs a runtime's context.
    pub fn listen() -> Result<Self, SignalError> {
        let listen = |name, kind| signal(kind).map_err(|error| SignalError { signal: name, error });
        Ok(Signals {
            terminate: listen("SIGTERM", SignalKind::terminate())?,
            report: listen("SIGUSR1", SignalKind::user_defined1())?,
            reload: listen("SIGHUP", SignalKind::hangup())?,
        })
    }
}
