//! Structured logs on standard error: text or JSON, with the span of each request, levels for each part, and a
//! bound on repeats. Lines are written by a thread of its own behind a bounded queue; where nobody reads them,
//! they are dropped and counted, and nothing waits.

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

use crate::repeats::Repeats;

/// The section `log` of the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
pub struct LogConfig {
    /// How a line looks.
    pub format: Format,
    /// Directives for the levels of each part.
    pub level: String,
    /// The most lines a second from one place, from `info` up.
    pub repeats: u32,
    /// Lines that wait to be written.
    pub queue: usize,
}

/// How a line looks.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// For people.
    Text,
    /// One JSON object.
    Json,
}

/// Why logging could not be started or changed.
#[derive(Debug, Error)]
pub enum LogError {
    /// The directives make no sense.
    #[error("found {found:?}, expected a level or directives for each part: {why}")]
    Level {
        /// What was found.
        found: String,
        /// What the reader of directives says.
        why: String,
    },
    /// Somebody else logs in this process.
    #[error("logging is on already: {0}")]
    Twice(#[from] TryInitError),
}

type Places = Arc<Mutex<Repeats<Identifier>>>;

/// Running logs; what is in the queue is written when it is dropped, if somebody reads.
pub struct Logging {
    level: reload::Handle<EnvFilter, Registry>,
    places: Places,
    dropped: ErrorCounter,
    reported: Mutex<usize>,
    left_out: Mutex<u64>,
    _guard: WorkerGuard,
}

/// Reads directives such as `info,rookspoke_channel=debug`.
///
/// # Errors
/// Says which text makes no sense.
pub fn read_level(text: &str) -> Result<EnvFilter, LogError> {
    let bad = |why: String| LogError::Level { found: text.into(), why };
    // A lone word that is no level would be taken for the name of a part, and turn everything else off.
    let lone = !text.contains(['=', '[', ',']);
    if lone && text.parse::<tracing::level_filters::LevelFilter>().is_err() {
        return Err(bad("`error`, `warn`, `info`, `debug`, `trace` and `off` are levels".into()));
    }
    EnvFilter::try_new(text).map_err(|error| bad(error.to_string()))
}

/// Turns lines away that repeat too often. Only from `info` up: who asks for more wants to see all of it.
struct Rarely {
    places: Places,
    start: Instant,
}

impl<S: Subscriber> Filter<S> for Rarely {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }
    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        let metadata = event.metadata();
        UNLIMITED.contains(&metadata.target())
            || *metadata.level() > Level::INFO
            || lock(&self.places).may_write(&metadata.callsite(), self.start.elapsed())
    }
}

impl Logging {
    /// Starts logging for the whole process.
    ///
    /// # Errors
    /// The level makes no sense, or logging is on already.
    pub fn start(config: &LogConfig) -> Result<Self, LogError> {
        let (level, handle) = reload::Layer::new(read_level(&config.level)?);
        let places: Places = Arc::new(Mutex::new(Repeats::new(config.repeats)));
        let rarely = Rarely { places: places.clone(), start: Instant::now() };
        let (writer, guard) = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(config.queue)
            .thread_name("log")
            .finish(std::io::stderr());
        let dropped = writer.error_counter();
        let layer = fmt::layer().with_writer(writer).with_ansi(false);
        let layer = match config.format {
            Format::Text => layer.with_filter(level.and(rarely)).boxed(),
            Format::Json => {
                layer.json().flatten_event(true).with_span_list(false).with_filter(level.and(rarely)).boxed()
            }
        };
        tracing_subscriber::registry().with(layer).try_init()?;
        Ok(Logging {
            level: handle,
            places,
            dropped,
            reported: Mutex::default(),
            left_out: Mutex::default(),
            _guard: guard,
        })
    }

    /// Changes the levels from now on.
    ///
    /// # Errors
    /// The directives make no sense; the levels stay as they are.
    pub fn set_level(&self, text: &str) -> Result<(), LogError> {
        let level = read_level(text)?;
        let bad = |why: reload::Error| LogError::Level { found: text.into(), why: why.to_string() };
        self.level.reload(level).map_err(bad)
    }

    /// Lines dropped so far, since nobody read them.
    pub fn dropped(&self) -> usize {
        self.dropped.dropped_lines()
    }

    /// Lines left out so far, since they repeated too often.
    pub fn left_out(&self) -> u64 {
        self.collect();
        *lock(&self.left_out)
    }

    fn collect(&self) -> Vec<(Identifier, u64)> {
        let taken = lock(&self.places).take_left_out();
        *lock(&self.left_out) += taken.iter().map(|(_, count)| count).sum::<u64>();
        taken
    }

    /// Says what was left out or dropped since the last time.
    pub fn report(&self) {
        for (place, count) in self.collect() {
            let metadata = place.0.metadata();
            let at = (metadata.file().unwrap_or("?"), metadata.line().unwrap_or(0));
            tracing::warn!(count, file = at.0, line = at.1, "lines of one place were left out");
        }
        let dropped = self.dropped();
        let new = dropped - std::mem::replace(&mut *lock(&self.reported), dropped);
        if new > 0 {
            tracing::warn!(count = new, "log lines were dropped: they were not read in time");
        }
    }
}

/// The target of lines that are written on request.
pub const ASKED: &str = "rookspoke::counters";
/// The target of lines that tell the phases of a shutdown: a few in a process's life.
pub const SHUTDOWN: &str = "rookspoke::shutdown";
/// Targets whose lines are few and never left out: what somebody asked for, phases, and what was left out itself.
const UNLIMITED: [&str; 3] = [ASKED, SHUTDOWN, module_path!()];
/// How often what was left out is told.
pub const REPORT: Duration = Duration::from_secs(10);

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    // Counts and windows are whole at every step.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
