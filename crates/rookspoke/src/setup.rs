//! Given command line, environment and files to what each part is told.

use std::hash::{BuildHasher, Hasher};
use std::path::{Path, PathBuf};

use rookspoke_conf::{compile, read_bounded, Input, Origin, Override, Problems, Resolved};
use rookspoke_config::{Config, ConfigError, Resources, MAX_LIST_BYTES};
use rookspoke_faktory::FaktoryConfig;
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

use crate::cli::Given;
use crate::logging::{read_level, LogConfig};

/// What is ours on the platform, beside its JSON.
const OURS: &str = "deploy/rookspoke.conf";
/// What it was before.
const FORMER: &str = "deploy/faktory.toml";
/// The most that the platform's JSON may hold, in bytes: the list last known, and room for the settings.
const MAX_JSON: u64 = MAX_LIST_BYTES as u64 + 1024 * 1024;

/// Why there is no configuration.
#[derive(Debug, Error)]
pub enum SetupError {
    /// Lines that make no sense.
    #[error("{0}")]
    Problems(#[from] Box<Problems>),
    /// A field of the platform's JSON, or a file that cannot be read.
    #[error("{0}")]
    Field(#[from] ConfigError),
    /// Nothing says where the configuration is.
    #[error("PROXY_CONFIG is not set and `--config FILE` is not given, expected one of them")]
    Nothing,
    /// A file of a form that is gone.
    #[error(
        "found {FORMER}, expected its settings in the sections `faktory` and `vrrp` of {OURS}; \
             see docs/configuration.md"
    )]
    Former,
}

impl SetupError {
    /// For a person at a terminal: with the lines that are meant.
    pub fn render(&self) -> String {
        match self {
            SetupError::Problems(problems) => problems.render(),
            other => format!("{other}\n"),
        }
    }
}

/// The section `control`.
#[derive(Clone, Debug, Deserialize)]
pub struct ControlConfig {
    /// Where the socket is.
    pub path: PathBuf,
}

/// What each part is told.
#[derive(Debug)]
pub struct Setup {
    /// Every value, and where it came from.
    pub resolved: Resolved,
    /// The dispatcher.
    pub config: Config,
    /// The Faktory front, if it is on.
    pub faktory: Option<FaktoryConfig>,
    /// The control socket, if there is one.
    pub control: Option<ControlConfig>,
    /// The logs.
    pub log: LogConfig,
}

/// Which values of the environment count.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum When {
    /// All: the process has just started.
    Start,
    /// Where discovery is, the file says: the environment is as old as the process.
    Again,
}

impl Setup {
    /// Reads a configuration.
    ///
    /// # Errors
    /// Everything that is wrong with it.
    pub fn read(from: &Given, when: When) -> Result<Self, SetupError> {
        let platform = match &from.config {
            Some(_) => None,
            None => Some(read_platform()?),
        };
        let ours = Path::new(OURS);
        if platform.is_some() && Path::new(FORMER).exists() {
            return Err(SetupError::Former);
        }
        let file = match &from.config {
            Some(path) => Some(path.as_path()),
            None => Some(ours).filter(|path| path.exists()),
        };
        let mut overrides = Vec::new();
        if let Some((tree, _)) = &platform {
            for (variable, key) in [
                ("PROXY_NAME", "name"),
                ("PROXY_LISTEN", "listen"),
                ("PROXY_DISCOVERY", "discovery"),
                ("PROXY_CONSOLE", "console"),
                ("PROXY_ACCEPT_FD", "accept-fd"),
                ("TMPDIR", "state"),
            ] {
                let file_says = tree.get(key).is_some_and(|value| !value.is_null());
                if when == When::Again && key == "discovery" && file_says {
                    continue;
                }
                overrides.extend(var(variable).map(|text| quoted(variable, key, &text)));
            }
        }
        overrides.extend(var("ROOKSPOKE_LOG").map(|text| quoted("ROOKSPOKE_LOG", "log.level", &text)));
        overrides.extend(from.set.iter().map(|(key, text)| Override {
            key: key.clone(),
            value: text.clone(),
            origin: Origin::Flag,
        }));
        let resolved = compile(Input { file, platform, overrides }).map_err(Box::new)?;
        Self::of(resolved)
    }

    fn of(mut resolved: Resolved) -> Result<Self, SetupError> {
        // A seed of its own for each start; it is no setting, and so no change at a reload.
        let draws = resolved.tree.get("seed").is_none_or(Value::is_null);
        if draws {
            let seed = std::collections::hash_map::RandomState::new().build_hasher().finish();
            resolved.tree["seed"] = format!("{seed:016x}").into();
        }
        let bad = |resolved: &Resolved, error: ConfigError| {
            SetupError::Problems(Box::new(resolved.problem_at(&error.field, error.found)))
        };
        let mut config = Config::from_tree(&resolved.tree).map_err(|e| bad(&resolved, e))?;
        if draws {
            resolved.tree["seed"] = Value::Null;
        }
        let part = |field: &str| resolved.tree.get(field).cloned().filter(|value| !value.is_null());
        let read = |field: &str, error: serde_json::Error| bad(&resolved, ConfigError::new(field, error));
        let faktory: Option<FaktoryConfig> = part("faktory")
            .map(|v| FaktoryConfig::deserialize(v).map_err(|e| read("faktory", e)))
            .transpose()?;
        let control: Option<ControlConfig> = part("control")
            .map(|v| ControlConfig::deserialize(v).map_err(|e| read("control", e)))
            .transpose()?;
        let log = LogConfig::deserialize(part("log").unwrap_or_default()).map_err(|e| read("log", e))?;
        read_level(&log.level).map_err(|e| bad(&resolved, ConfigError::new("log.level", e)))?;
        if let Some(faktory) = &faktory {
            if let Some(vrrp) = &faktory.vrrp {
                vrrp.params().map_err(|e| {
                    bad(&resolved, ConfigError { field: format!("faktory.{}", e.field), ..e })
                })?;
            }
            // Both fronts live on the same descriptors.
            let left = config.limits.sockets.checked_sub(faktory.max_connections);
            let left = left.filter(|left| *left >= Resources::LEAST);
            config.limits.sockets = left.ok_or_else(|| {
                let text = format!("too many for the {} of `sockets`", config.limits.sockets);
                bad(&resolved, ConfigError::new("faktory.max_connections", text))
            })?;
        }
        // Read for good now; it may be long.
        if let Some(known) = resolved.tree.get_mut("known").filter(|_| config.known.is_some()) {
            known.take();
        }
        Ok(Setup { resolved, config, faktory, control, log })
    }
}

/// The platform's JSON, and its path.
fn read_platform() -> Result<(Value, String), SetupError> {
    let path = var("PROXY_CONFIG").ok_or(SetupError::Nothing)?;
    let bad = |e: &dyn std::fmt::Display| ConfigError::new("PROXY_CONFIG", format!("{path}: {e}"));
    let text = read_bounded(Path::new(&path), MAX_JSON).map_err(|e| bad(&e))?;
    let tree: Value = serde_json::from_str(&text).map_err(|e| bad(&e))?;
    if !tree.is_object() {
        return Err(bad(&"found no JSON object, expected one").into());
    }
    Ok((tree, path))
}

/// A value of the environment is one word, whatever is in it.
fn quoted(variable: &str, key: &str, text: &str) -> Override {
    let text = format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""));
    Override { key: key.into(), value: text, origin: Origin::Environment(variable.into()) }
}

fn var(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|v| !v.is_empty())
}
