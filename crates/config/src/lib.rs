//! The configuration of a dispatcher as typed values, read from the platform's JSON or from a tree of the same
//! shape.

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

/// A configuration field that is missing or invalid.
#[derive(Debug, Error)]
#[error("{field}: {found}")]
pub struct ConfigError {
    /// Path of the field, its parts separated by dots.
    pub field: String,
    /// What is wrong with the field's value.
    pub found: String,
}

impl ConfigError {
    /// An error about the value of `field`.
    pub fn new(field: impl Into<String>, found: impl ToString) -> Self {
        ConfigError { field: field.into(), found: found.to_string() }
    }
}

/// System resources that the dispatcher may use.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, expecting = "an object with the limits of system resources")]
pub struct ResourceLimits {
    /// File descriptors for connections.
    pub sockets: usize,
    /// Memory of the process, in MiB.
    pub memory_mb: f64,
}

impl ResourceLimits {
    /// The smallest number of descriptors that a front can work with.
    pub const MIN_SOCKETS: usize = 64;
    /// The smallest memory limit that a dispatcher can work with, in MiB.
    pub const MIN_MEMORY_MB: f64 = 16.0;
    /// The largest memory limit that may be stated, in MiB.
    pub const MAX_MEMORY_MB: f64 = 1_048_576.0;

    /// The memory limit in bytes.
    pub fn memory_bytes(&self) -> usize {
        (self.memory_mb * 1024.0 * 1024.0) as usize
    }
}

impl Default for ResourceLimits {
    fn default() -> Self {
        ResourceLimits { sockets: 1024, memory_mb: 192.0 }
    }
}

/// Where the list of log workers comes from.
#[derive(Clone, Debug)]
pub enum ListSource {
    /// Fetched from discovery at this address.
    Discovery(SocketAddr),
    /// Given in the configuration and never changed.
    Fixed(Arc<ListUpdate>),
}

impl fmt::Display for ListSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ListSource::Discovery(address) => write!(f, "discovery at {address}"),
            ListSource::Fixed(list) => write!(f, "a fixed list (log workers: {})", list.targets.len()),
        }
    }
}

/// The whole configuration of a dispatcher.
#[derive(Clone, Debug)]
pub struct Config {
    /// The dispatcher's name, for logs.
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// An inherited listening descriptor that is used instead of `listen`.
    pub accept_fd: Option<i32>,
    /// Address of the operators' console.
    pub console: Option<SocketAddr>,
    /// Directory for state that must survive a restart.
    pub state: Option<PathBuf>,
    /// Where the list of log workers comes from.
    pub list_source: ListSource,
    /// Seed of the random number generator.
    pub seed: u64,
    /// System resources that the dispatcher may use.
    pub limits: ResourceLimits,
    /// The last known list of log workers, used until discovery answers.
    pub last_known_list: Option<ListUpdate>,
    /// Settings of the decisions.
    pub settings: Settings,
    /// The names that requests and load reports use on the wire.
    pub vocabulary: Vocabulary,
    /// For each class, the longest time that its clients wait.
    pub class_deadlines: Vec<Duration>,
    /// How long log workers keep an idle connection open, in milliseconds.
    pub conn_idle_ms: f64,
    /// How long connecting to a log worker may take, in milliseconds.
    pub connect_timeout_ms: f64,
}

/// The platform's JSON with its fields not yet checked.
#[derive(Deserialize)]
#[serde(expecting = "an object with the fields of a configuration")]
struct RawConfig {
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
    /// Parses a JSON configuration.
    ///
    /// # Errors
    /// A field is missing or invalid; the error names it.
    pub fn read(text: &str) -> Result<Self, ConfigError> {
        Self::from_tree(&serde_json::from_str(text).map_err(|e| ConfigError::new("configuration", e))?)
    }

    /// Reads a tree in the form of the platform's JSON. Unknown fields are ignored.
    ///
    /// # Errors
    /// A field is missing or invalid; the error names it.
    pub fn from_tree(tree: &Value) -> Result<Self, ConfigError> {
        let raw = RawConfig::deserialize(tree).map_err(|e| ConfigError::new("configuration", e))?;
        let missing = |field: &str| ConfigError::new(field, "missing");
        let parse_address = |field: &str, text: Option<String>| {
            let text = text.ok_or_else(|| missing(field))?;
            text.parse::<SocketAddr>().map_err(|e| ConfigError::new(field, format!("{text:?}: {e}")))
        };
        let seed = raw.seed.ok_or_else(|| missing("seed"))?;
        let raw_settings = raw.settings.ok_or_else(|| missing("settings"))?;
        let pairs = flatten(&raw_settings);
        let (settings, vocabulary) = parse_settings(pairs.iter().map(String::as_str))
            .map_err(|e| ConfigError::new(format!("settings.{}", e.field), e.found))?;
        let known = raw.known.filter(|known| !known.is_null());
        let last_known_list = known.map(|known| read_known(&known, raw.discovery.is_none()));
        let mut last_known_list = last_known_list.transpose()?;
        let list_source = match (
            &raw.discovery,
            last_known_list.take_if(|list| list.complete && raw.discovery.is_none()),
        ) {
            (None, Some(list)) => ListSource::Fixed(Arc::new(list)),
            _ => ListSource::Discovery(parse_address("discovery", raw.discovery)?),
        };
        let limit_ms = |field: &str| {
            let value = raw_settings.pointer(&format!("/limits/{field}")).and_then(Value::as_f64);
            let value = value.filter(|ms| ms.is_finite() && (1.0..1e9).contains(ms));
            value.ok_or_else(|| ConfigError::new(format!("settings.limits.{field}"), "not a time in ms"))
        };
        let class_deadlines = (0..settings.classes.len()).map(|index| {
            let field = format!("classes/{index}/deadline_ms");
            let value = raw_settings.pointer(&format!("/{field}")).and_then(Value::as_f64);
            let value = value.filter(|ms| (0.0..1e9).contains(ms));
            let field = field.replace('/', ".");
            let value =
                value.ok_or_else(|| ConfigError::new(format!("settings.{field}"), "not a time in ms"));
            value.map(|ms| Duration::from_secs_f64(ms / 1000.0))
        });
        let class_deadlines = class_deadlines.collect::<Result<_, _>>()?;
        if raw.limits.sockets < ResourceLimits::MIN_SOCKETS {
            return Err(ConfigError::new(
                "limits.sockets",
                format!("found {}, expected at least {}", raw.limits.sockets, ResourceLimits::MIN_SOCKETS),
            ));
        }
        let memory_range = ResourceLimits::MIN_MEMORY_MB..=ResourceLimits::MAX_MEMORY_MB;
        if !memory_range.contains(&raw.limits.memory_mb) {
            return Err(ConfigError::new(
                "limits.memory_mb",
                format!("found {}, expected {} or more", raw.limits.memory_mb, ResourceLimits::MIN_MEMORY_MB),
            ));
        }
        let listen = parse_address("listen", raw.listen)?;
        let console = raw.console.map(|text| parse_address("console", Some(text))).transpose()?;
        if console.is_some_and(|console| console == listen && console.port() != 0) {
            return Err(ConfigError::new(
                "console",
                "found the address of `listen`, expected a different one",
            ));
        }
        Ok(Config {
            name: raw.name.unwrap_or_default(),
            listen,
            accept_fd: raw.accept_fd,
            console,
            state: raw.state,
            list_source,
            seed: u64::from_str_radix(&seed, 16)
                .map_err(|_| ConfigError::new("seed", format!("{seed:?}")))?,
            limits: raw.limits,
            last_known_list,
            settings,
            vocabulary,
            class_deadlines,
            conn_idle_ms: limit_ms("conn_idle_ms")?,
            connect_timeout_ms: limit_ms("connect_timeout_ms")?,
        })
    }
}

/// Reads the last known list. If discovery will replace it, unreadable entries are skipped; in a fixed list every
/// entry must be readable.
fn read_known(value: &Value, fixed: bool) -> Result<ListUpdate, ConfigError> {
    ListUpdate::deserialize(value).or_else(|error| {
        let by_entry = (!fixed).then(|| ListUpdate::read(value.to_string().as_bytes()).ok()).flatten();
        by_entry.ok_or_else(|| ConfigError::new("known", error))
    })
}

/// Flattens nested settings into the simulator's `path=value` pairs, so that one parser serves both.
fn flatten(settings: &Value) -> Vec<String> {
    let mut pairs = Vec::new();
    push_pairs(&mut pairs, "", settings);
    pairs
}

fn push_pairs(pairs: &mut Vec<String>, path: &str, value: &Value) {
    let child_path = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(name, v)| push_pairs(pairs, &child_path(name), v)),
        Value::Array(items) if items.iter().any(|v| v.is_object()) => {
            pairs.push(format!("{}={}", child_path("count"), items.len()));
            items
                .iter()
                .enumerate()
                .for_each(|(index, v)| push_pairs(pairs, &child_path(&index.to_string()), v));
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(scalar_text).collect();
            pairs.push(format!("{path}={}", items.join(",")));
        }
        v => pairs.push(format!("{path}={}", scalar_text(v))),
    }
}

/// A scalar as the simulator writes it: without the characters that separate its pairs and lists.
fn scalar_text(value: &Value) -> String {
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
