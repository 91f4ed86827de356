//! Builds the settings of every component from the command line, the environment and the configuration files.

use std::hash::{BuildHasher, Hasher};
use std::path::{Path, PathBuf};

use rookspoke_conf::{compile, read_bounded, Input, Origin, Override, Problems, Resolved};
use rookspoke_config::{Config, ConfigError, ResourceLimits, MAX_LIST_BYTES};
use rookspoke_faktory::FaktoryConfig;
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

use crate::cli::ConfigArgs;
use crate::logging::{read_level, LogConfig};

/// The configuration file read in addition to the platform's JSON, if it exists.
const SUPPLEMENTARY_CONFIG: &str = "deploy/rookspoke.conf";
/// The obsolete configuration file; its presence is an error, since its settings would be ignored silently.
const OBSOLETE_CONFIG: &str = "deploy/faktory.toml";
/// Maximum size of the platform's JSON in bytes: the last known list of log workers, and 1 MiB for the settings.
const MAX_PLATFORM_JSON_BYTES: u64 = MAX_LIST_BYTES as u64 + 1024 * 1024;

/// Why the configuration could not be loaded.
#[derive(Debug, Error)]
pub enum SetupError {
    /// Invalid lines or values, with their positions.
    #[error("{0}")]
    Problems(#[from] Box<Problems>),
    /// An invalid field of the platform's JSON, or an unreadable file.
    #[error("{0}")]
    Field(#[from] ConfigError),
    /// Neither PROXY_CONFIG nor `--config` names a configuration.
    #[error("PROXY_CONFIG is not set and `--config FILE` is not given, expected one of them")]
    NoSource,
    /// A configuration file of the obsolete format exists.
    #[error(
        "found {OBSOLETE_CONFIG}, expected its settings in the sections `faktory` and `vrrp` of {SUPPLEMENTARY_CONFIG}; \
             see docs/configuration.md"
    )]
    ObsoleteFile,
}

impl SetupError {
    /// Formats the error for a terminal, with excerpts of the offending lines.
    pub fn render(&self) -> String {
        match self {
            SetupError::Problems(problems) => problems.render(),
            other => format!("{other}\n"),
        }
    }
}

/// The configuration section `control`.
#[derive(Clone, Debug, Deserialize)]
pub struct ControlConfig {
    /// The path of the control socket.
    pub path: PathBuf,
}

/// The settings of every component.
#[derive(Debug)]
pub struct Setup {
    /// Every value with its origin.
    pub resolved: Resolved,
    /// Settings of the dispatcher.
    pub config: Config,
    /// Settings of the Faktory front, if it is enabled.
    pub faktory: Option<FaktoryConfig>,
    /// Settings of the control socket, if it is enabled.
    pub control: Option<ControlConfig>,
    /// Settings of the log.
    pub log: LogConfig,
}

/// Why the configuration is read; decides which environment variables apply.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum ReadReason {
    /// The process has just started: every variable applies.
    Start,
    /// A reload: `discovery` in the file takes precedence over PROXY_DISCOVERY, which dates from the process's start.
    Reload,
}

impl Setup {
    /// Reads and validates the configuration.
    ///
    /// # Errors
    /// The configuration is missing, unreadable or invalid.
    pub fn read(config_args: &ConfigArgs, reason: ReadReason) -> Result<Self, SetupError> {
        let platform = match &config_args.config {
            Some(_) => None,
            None => Some(read_platform()?),
        };
        let supplementary_config = Path::new(SUPPLEMENTARY_CONFIG);
        if platform.is_some() && Path::new(OBSOLETE_CONFIG).exists() {
            return Err(SetupError::ObsoleteFile);
        }
        let file = match &config_args.config {
            Some(path) => Some(path.as_path()),
            None => Some(supplementary_config).filter(|path| path.exists()),
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
                let set_in_file = tree.get(key).is_some_and(|value| !value.is_null());
                if reason == ReadReason::Reload && key == "discovery" && set_in_file {
                    continue;
                }
                overrides.extend(env_var(variable).map(|text| quoted(variable, key, &text)));
            }
        }
        overrides.extend(env_var("ROOKSPOKE_LOG").map(|text| quoted("ROOKSPOKE_LOG", "log.level", &text)));
        overrides.extend(config_args.set.iter().map(|(key, text)| Override {
            key: key.clone(),
            value: text.clone(),
            origin: Origin::Flag,
        }));
        let resolved = compile(Input { file, platform, overrides }).map_err(Box::new)?;
        Self::from_resolved(resolved)
    }

    fn from_resolved(mut resolved: Resolved) -> Result<Self, SetupError> {
        // Without a configured seed, each start draws its own. It is removed from the tree below, since a drawn seed
        // is not a setting and must not show up as a change at a reload.
        let draws_seed = resolved.tree.get("seed").is_none_or(Value::is_null);
        if draws_seed {
            let seed = std::collections::hash_map::RandomState::new().build_hasher().finish();
            resolved.tree["seed"] = format!("{seed:016x}").into();
        }
        let problem_at = |resolved: &Resolved, error: ConfigError| {
            SetupError::Problems(Box::new(resolved.problem_at(&error.field, error.found)))
        };
        let mut config = Config::from_tree(&resolved.tree).map_err(|e| problem_at(&resolved, e))?;
        if draws_seed {
            resolved.tree["seed"] = Value::Null;
        }
        let section = |field: &str| resolved.tree.get(field).cloned().filter(|value| !value.is_null());
        let read_error =
            |field: &str, error: serde_json::Error| problem_at(&resolved, ConfigError::new(field, error));
        let faktory: Option<FaktoryConfig> = section("faktory")
            .map(|value| FaktoryConfig::deserialize(value).map_err(|e| read_error("faktory", e)))
            .transpose()?;
        let control: Option<ControlConfig> = section("control")
            .map(|value| ControlConfig::deserialize(value).map_err(|e| read_error("control", e)))
            .transpose()?;
        let log =
            LogConfig::deserialize(section("log").unwrap_or_default()).map_err(|e| read_error("log", e))?;
        read_level(&log.level).map_err(|e| problem_at(&resolved, ConfigError::new("log.level", e)))?;
        if let Some(faktory) = &faktory {
            if let Some(vrrp) = &faktory.vrrp {
                vrrp.params().map_err(|e| {
                    problem_at(&resolved, ConfigError { field: format!("faktory.{}", e.field), ..e })
                })?;
            }
            // Both fronts share one budget of file descriptors.
            let remaining = config.limits.sockets.checked_sub(faktory.max_connections);
            let remaining = remaining.filter(|remaining| *remaining >= ResourceLimits::MIN_SOCKETS);
            config.limits.sockets = remaining.ok_or_else(|| {
                let text = format!(
                    "found {}, expected at least {} of the {} descriptors of `sockets` to remain for the HTTP front",
                    faktory.max_connections,
                    ResourceLimits::MIN_SOCKETS,
                    config.limits.sockets
                );
                problem_at(&resolved, ConfigError::new("faktory.max_connections", text))
            })?;
        }
        // The list is in `config` now; the copy in the tree is dropped, since it can be large.
        if let Some(known) = resolved.tree.get_mut("known").filter(|_| config.last_known_list.is_some()) {
            known.take();
        }
        Ok(Setup { resolved, config, faktory, control, log })
    }
}

/// Reads the platform's JSON; returns it with its path.
fn read_platform() -> Result<(Value, String), SetupError> {
    let path = env_var("PROXY_CONFIG").ok_or(SetupError::NoSource)?;
    let bad = |e: &dyn std::fmt::Display| ConfigError::new("PROXY_CONFIG", format!("{path}: {e}"));
    let text = read_bounded(Path::new(&path), MAX_PLATFORM_JSON_BYTES).map_err(|e| bad(&e))?;
    let tree: Value = serde_json::from_str(&text).map_err(|e| bad(&e))?;
    if !tree.is_object() {
        return Err(bad(&"found no JSON object, expected one").into());
    }
    Ok((tree, path))
}

/// An override whose text is quoted, so that the value of an environment variable is read as one word.
fn quoted(variable: &str, key: &str, text: &str) -> Override {
    let text = format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""));
    Override { key: key.into(), value: text, origin: Origin::Environment(variable.into()) }
}

fn env_var(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}
