//! Structured logs on standard error: text or JSON, with the span of each request, a level for each target and a rate
//! limit for each call site. A separate thread writes the lines from a bounded queue. While standard error is not
//! read, further lines are dropped and counted, so logging never blocks the dispatcher.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde::Deserialize;
use thiserror::Error;
use tracing::callsite::Identifier;
use tracing::{Event, Level, Metadata, Subscriber};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::{EnvFilter, FilterExt};
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::util::{SubscriberInitExt, TryInitError};
use tracing_subscriber::{fmt, reload, Layer, Registry};

use crate::rate_limit::RateLimiter;

/// The configuration section `log`.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
pub struct LogConfig {
    /// The format of the log lines.
    pub format: Format,
    /// Filter directives: a level, or levels for individual targets.
    pub level: String,
    /// Maximum number of lines in a second from one call site, for levels `info` and above.
    pub repeats: u32,
    /// Capacity of the queue of lines to be written.
    pub queue: usize,
}

/// The format of the log lines.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Human-readable text.
    Text,
    /// One JSON object for each line.
    Json,
}

/// Why logging could not be started or changed.
#[derive(Debug, Error)]
pub enum LogError {
    /// Invalid filter directives.
    #[error("found {found:?}, expected a level or `target=level` directives: {why}")]
    Level {
        /// The directives as given.
        found: String,
        /// Why they are invalid.
        why: String,
    },
    /// A global logger has been installed before.
    #[error("a logger is already installed in this process: {0}")]
    AlreadyInstalled(#[from] TryInitError),
}

type SharedLimiter = Arc<Mutex<RateLimiter<Identifier>>>;

/// The running logger. Dropping it flushes the queue, provided that standard error is read.
pub struct Logging {
    level: reload::Handle<EnvFilter, Registry>,
    limiter: SharedLimiter,
    dropped: ErrorCounter,
    reported_dropped: Mutex<usize>,
    suppressed: Mutex<u64>,
    _guard: WorkerGuard,
}

/// Parses filter directives such as `info,rookspoke_channel=debug`.
///
/// # Errors
/// The directives are invalid.
pub fn read_level(text: &str) -> Result<EnvFilter, LogError> {
    let bad = |why: String| LogError::Level { found: text.into(), why };
    // `EnvFilter` takes a single word that is not a level for a target, which would turn off all other targets.
    let single_word = !text.contains(['=', '[', ',']);
    if single_word && text.parse::<tracing::level_filters::LevelFilter>().is_err() {
        return Err(bad("the levels are `error`, `warn`, `info`, `debug`, `trace` and `off`".into()));
    }
    EnvFilter::try_new(text).map_err(|error| bad(error.to_string()))
}

/// Suppresses events above the rate limit of their call site. Only levels `info` and above are limited: a level below
/// that is enabled in order to see every line.
struct RateLimitFilter {
    limiter: SharedLimiter,
    start: Instant,
}

impl<S: Subscriber> Filter<S> for RateLimitFilter {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }
    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        let metadata = event.metadata();
        UNLIMITED.contains(&metadata.target())
            || *metadata.level() > Level::INFO
            || lock(&self.limiter).admit(&metadata.callsite(), self.start.elapsed())
    }
}

impl Logging {
    /// Installs the global logger of the process.
    ///
    /// # Errors
    /// The directives are invalid, or a logger is already installed.
    pub fn start(config: &LogConfig) -> Result<Self, LogError> {
        let (level, handle) = reload::Layer::new(read_level(&config.level)?);
        let limiter: SharedLimiter = Arc::new(Mutex::new(RateLimiter::new(config.repeats)));
        let rate_limit = RateLimitFilter { limiter: limiter.clone(), start: Instant::now() };
        let (writer, guard) = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(config.queue)
            .thread_name("log")
            .finish(std::io::stderr());
        let dropped = writer.error_counter();
        let layer = fmt::layer().with_writer(writer).with_ansi(false);
        let layer = match config.format {
            Format::Text => layer.with_filter(level.and(rate_limit)).boxed(),
            Format::Json => layer
                .json()
                .flatten_event(true)
                .with_span_list(false)
                .with_filter(level.and(rate_limit))
                .boxed(),
        };
        tracing_subscriber::registry().with(layer).try_init()?;
        Ok(Logging {
            level: handle,
            limiter,
            dropped,
            reported_dropped: Mutex::default(),
            suppressed: Mutex::default(),
            _guard: guard,
        })
    }

    /// Replaces the filter directives.
    ///
    /// # Errors
    /// The directives are invalid; the previous ones stay in effect.
    pub fn set_level(&self, text: &str) -> Result<(), LogError> {
        let level = read_level(text)?;
        let bad = |why: reload::Error| LogError::Level { found: text.into(), why: why.to_string() };
        self.level.reload(level).map_err(bad)
    }

    /// Number of lines dropped so far because the queue was full.
    pub fn dropped(&self) -> usize {
        self.dropped.dropped_lines()
    }

    /// Number of lines suppressed so far by the rate limit.
    pub fn suppressed(&self) -> u64 {
        self.take_suppressed();
        *lock(&self.suppressed)
    }

    /// Takes the counts of suppressed lines by call site, and adds them to the total.
    fn take_suppressed(&self) -> Vec<(Identifier, u64)> {
        let counts = lock(&self.limiter).take_suppressed();
        *lock(&self.suppressed) += counts.iter().map(|(_, count)| count).sum::<u64>();
        counts
    }

    /// Logs how many lines were suppressed or dropped since the last report.
    pub fn report(&self) {
        for (call_site, count) in self.take_suppressed() {
            let metadata = call_site.0.metadata();
            let (file, line) = (metadata.file().unwrap_or("?"), metadata.line().unwrap_or(0));
            tracing::warn!(count, file, line, "repeated log lines of one call site were suppressed");
        }
        let dropped = self.dropped();
        let new = dropped - std::mem::replace(&mut *lock(&self.reported_dropped), dropped);
        if new > 0 {
            tracing::warn!(
                count = new,
                "log lines were dropped: standard error was not read in time, and the log queue was full"
            );
        }
    }
}

/// Log target of the counters, written on SIGUSR1 and at exit.
pub const COUNTERS: &str = "rookspoke::counters";
/// Log target of the phases of a graceful shutdown: a few lines in the lifetime of a process.
pub const SHUTDOWN: &str = "rookspoke::shutdown";
/// Targets that are exempt from the rate limit since their lines are few: counters, shutdown phases, and this module's
/// own reports of suppressed lines.
const UNLIMITED: [&str; 3] = [COUNTERS, SHUTDOWN, module_path!()];
/// Interval between reports of suppressed and dropped lines.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(10);

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    // Poisoning is ignored: counts and windows are consistent after every single step, even where a holder panicked.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
