//! The signals that the daemon handles.

use std::io;

use thiserror::Error;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// The handler of a signal could not be installed.
#[derive(Debug, Error)]
#[error("cannot install the handler of {signal}: {error}")]
pub struct SignalError {
    signal: &'static str,
    error: io::Error,
}

/// Streams of the signals received since [`Signals::listen`]. A signal received several times before it is handled is
/// delivered once.
pub struct Signals {
    /// SIGTERM: shut down gracefully.
    pub terminate: Signal,
    /// SIGUSR1: log the counters.
    pub report: Signal,
    /// SIGHUP: reload the configuration.
    pub reload: Signal,
}

impl Signals {
    /// Installs the handlers; has to be called within the context of a Tokio runtime.
    pub fn listen() -> Result<Self, SignalError> {
        let install = |name, kind| signal(kind).map_err(|error| SignalError { signal: name, error });
        Ok(Signals {
            terminate: install("SIGTERM", SignalKind::terminate())?,
            report: install("SIGUSR1", SignalKind::user_defined1())?,
            reload: install("SIGHUP", SignalKind::hangup())?,
        })
    }
}
