//! What a dispatcher is told at its start, as typed values: the platform's JSON, or a tree of the same shape.

mod list;

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use rookspoke_decisions::Settings;
use rookspoke_wire::{parse_settings, Vocabulary};
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

pub use list::{ListUpdate, Target, UnreadableEntry, MAX_LIST_BYTES};

/// A field that is missing or makes no sense.
#[derive(Debug, Error)]
#[error("{field}: {found}")]
pub struct ConfigError {
    /// The field, its parts parted by dots.
    pub field: String,
    /// What was found there.
    pub found: String,
}

impl ConfigError {
    /// An error at `field`.
    pub fn new(field: impl Into<String>, found: impl ToString) -> Self {
        ConfigError { field: field.into(), found: found.to_string() }
    }
}

/// What the dispatcher may use.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct ResourceLimits {
    /// File descriptors.
    pub sockets: usize,
}

impl ResourceLimits {
    /// The fewest descriptors that a front can work with.
    pub const MIN_SOCKETS: usize = 64;
}

impl Default for ResourceLimits {
    fn default() -> Self {
        ResourceLimits { sockets: 1024 }
    }
}

/// Where the list of log workers comes from.
#[derive(Clone, Debug)]
pub enum ListSource {
    /// Discovery at this address is asked for it.
    Discovery(SocketAddr),
    /// It is fixed.
    Fixed(Arc<ListUpdate>),
}

impl fmt::Display for ListSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ListSource::Discovery(address) => write!(f, "discovery at {address}"),
            ListSource::Fixed(list) => write!(f, "a fixed list of {}", list.targets.len()),
        }
    }
}

/// The whole configuration of a dispatcher.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// An inherited descriptor that listens for clients instead.
    pub accept_fd: Option<i32>,
    /// Where operators ask.
    pub console: Option<SocketAddr>,
    /// The folder of what a restart must not forget.
    pub state: Option<PathBuf>,
    /// Where the list of log workers comes from.
    pub list_source: ListSource,
    /// For random numbers.
    pub seed: u64,
    /// What it may use.
    pub limits: ResourceLimits,
    /// The list as it last had it, for as long as discovery has not answered.
    pub last_known_list: Option<ListUpdate>,
    /// The settings of the decisions.
    pub settings: Settings,
    /// The names that requests and reports use.
    pub vocabulary: Vocabulary,
    /// How long the clients of each class wait at the most.
    pub class_deadlines: Vec<Duration>,
    /// How long an idle connection to a log worker stays open there.
    pub conn_idle_ms: f64,
    /// How long a connection may take to come up.
    pub connect_timeout_ms: f64,
}

#[derive(Deserialize)]
struct Fields {
    name: Option<String>,
    listen: Option<String>,
    accept_fd: Option<i32>,
    console: Option<String>,
    state: Option<PathBuf>,
    discovery: Option<String>,
    seed: Option<String>,
    #[serde(default)]
    limits: ResourceLimits,
    known: Option<Value>,
    settings: Option<Value>,
}

impl Config {
    /// Reads the text of a JSON configuration.
    ///
    /// # Errors
    /// Names the field that is missing or makes no sense.
    pub fn read(text: &str) -> Result<Self, ConfigError> {
        Self::from_tree(&serde_json::from_str(text).map_err(|e| ConfigError::new("configuration", e))?)
    }

    /// Reads a tree in the form of the platform's JSON. Fields that are not known are left alone.
    ///
    /// # Errors
    /// Names the field that is missing or makes no sense.
    pub fn from_tree(tree: &Value) -> Result<Self, ConfigError> {
        let file = Fields::deserialize(tree).map_err(|e| ConfigError::new("configuration", e))?;
        let missing = |field: &str| ConfigError::new(field, "missing");
        let addr = |field: &str, text: Option<String>| {
            let text = text.ok_or_else(|| missing(field))?;
            text.parse::<SocketAddr>().map_err(|e| ConfigError::new(field, format!("{text:?}: {e}")))
        };
        let seed = file.seed.ok_or_else(|| missing("seed"))?;
        let raw = file.settings.ok_or_else(|| missing("settings"))?;
        let pairs = flatten(&raw);
        let (settings, words) = parse_settings(pairs.iter().map(String::as_str))
            .map_err(|e| ConfigError::new(format!("settings.{}", e.field), e.found))?;
        let known = file.known.filter(|known| !known.is_null());
        let known = known.map(|k| read_known(&k, file.discovery.is_none()));
        let mut known = known.transpose()?;
        let source =
            match (&file.discovery, known.take_if(|known| known.complete && file.discovery.is_none())) {
                (None, Some(list)) => ListSource::Fixed(Arc::new(list)),
                _ => ListSource::Discovery(addr("discovery", file.discovery)?),
            };
        let millis = |field: &str| {
            let value = raw.pointer(&format!("/limits/{field}")).and_then(Value::as_f64);
            let value = value.filter(|ms| ms.is_finite() && (1.0..1e9).contains(ms));
            value.ok_or_else(|| ConfigError::new(format!("settings.limits.{field}"), "not a time in ms"))
        };
        let class_time = (0..settings.classes.len()).map(|at| {
            let field = format!("classes/{at}/deadline_ms");
            let value = raw.pointer(&format!("/{field}")).and_then(Value::as_f64);
            let value = value.filter(|ms| (0.0..1e9).contains(ms));
            let field = field.replace('/', ".");
            let value =
                value.ok_or_else(|| ConfigError::new(format!("settings.{field}"), "not a time in ms"));
            value.map(|ms| Duration::from_secs_f64(ms / 1000.0))
        });
        let class_time = class_time.collect::<Result<_, _>>()?;
        if file.limits.sockets < ResourceLimits::MIN_SOCKETS {
            return Err(ConfigError::new(
                "limits.sockets",
                format!("fewer than {}", ResourceLimits::MIN_SOCKETS),
            ));
        }
        let listen = addr("listen", file.listen)?;
        let console = file.console.map(|text| addr("console", Some(text))).transpose()?;
        if console.is_some_and(|console| console == listen && console.port() != 0) {
            return Err(ConfigError::new("console", "the address of `listen`, expected another"));
        }
        Ok(Config {
            name: file.name.unwrap_or_default(),
            listen,
            accept_fd: file.accept_fd,
            console,
            state: file.state,
            list_source: source,
            seed: u64::from_str_radix(&seed, 16)
                .map_err(|_| ConfigError::new("seed", format!("{seed:?}")))?,
            limits: file.limits,
            last_known_list: known,
            settings,
            vocabulary: words,
            class_deadlines: class_time,
            conn_idle_ms: millis("conn_idle_ms")?,
            connect_timeout_ms: millis("connect_timeout_ms")?,
        })
    }
}

/// The list last known. Where discovery will tell a newer one, an entry that makes no sense is left out; a list that is
/// fixed has to make sense as a whole.
fn read_known(value: &Value, fixed: bool) -> Result<ListUpdate, ConfigError> {
    ListUpdate::deserialize(value).or_else(|error| {
        let by_entry = (!fixed).then(|| ListUpdate::read(value.to_string().as_bytes()).ok()).flatten();
        by_entry.ok_or_else(|| ConfigError::new("known", error))
    })
}

/// Nested settings as the simulator's pairs, so that one parser reads both.
fn flatten(settings: &Value) -> Vec<String> {
    let mut pairs = Vec::new();
    push_pairs(&mut pairs, "", settings);
    pairs
}

fn push_pairs(pairs: &mut Vec<String>, path: &str, value: &Value) {
    let under = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(name, v)| push_pairs(pairs, &under(name), v)),
        Value::Array(items) if items.iter().any(|v| v.is_object()) => {
            pairs.push(format!("{}={}", under("count"), items.len()));
            items.iter().enumerate().for_each(|(at, v)| push_pairs(pairs, &under(&at.to_string()), v));
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(plain).collect();
            pairs.push(format!("{path}={}", items.join(",")));
        }
        v => pairs.push(format!("{path}={}", plain(v))),
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.replace([' ', ',', '\t'], "_"),
        v => v.to_string(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn settings_are_flattened_as_the_simulator_writes_them() {
        let nested = serde_json::json!({
            "classes": [{"name": "a b", "gain": 2.0}], "localities": ["x", "y"], "projects": [],
            "limits": {"cancel": true, "cap": 6}, "nothing": null,
        });
        let mut pairs = flatten(&nested);
        pairs.sort();
        let expected = [
            "classes.0.gain=2.0",
            "classes.0.name=a_b",
            "classes.count=1",
            "limits.cancel=true",
            "limits.cap=6",
            "localities=x,y",
            "nothing=-",
            "projects=",
        ];
        assert_eq!(pairs, expected);
    }
}
