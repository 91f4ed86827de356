//! A complete configuration: all values and the origin of each.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde_json::Value;

use crate::problem::{Problem, Problems};
use crate::schema::{Label, Section, SECTIONS};
use crate::source::{Location, Sources, Span};

/// Origin of a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The default, or derived from other values.
    Default,
    /// A line of a file.
    File(Location),
    /// The platform's JSON, with its path.
    Platform(String),
    /// An environment variable, with its name.
    Environment(String),
    /// A flag on the command line.
    Flag,
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Origin::Default => f.write_str("default"),
            Origin::File(place) => write!(f, "{}:{}", place.file, place.line),
            Origin::Platform(path) => f.write_str(path),
            Origin::Environment(name) => write!(f, "environment {name}"),
            Origin::Flag => f.write_str("command line"),
        }
    }
}

/// One value of the configuration, formatted for output.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Section, instance name and keyword, separated by spaces.
    pub key: String,
    /// The value, written as in a file.
    pub value: String,
    /// Where the value came from.
    pub origin: Origin,
    /// Whether a reload applies a change of the value.
    pub reloadable: bool,
}

/// A configuration without errors.
#[derive(Clone, Debug, Default)]
pub struct Resolved {
    /// The values, in the shape of the platform's JSON. `faktory`, `log` and `control` are additional fields of
    /// the root.
    pub tree: Value,
    /// Warnings, such as lines that are ignored because the platform's JSON sets the same values.
    pub warnings: Vec<String>,
    pub(crate) origins: BTreeMap<String, Origin>,
    pub(crate) spans: BTreeMap<String, Span>,
    pub(crate) sources: Sources,
}

impl Resolved {
    /// All values that are set, in the order of the table of keywords.
    pub fn rows(&self) -> Vec<Row> {
        let mut rows = Vec::new();
        for section in SECTIONS {
            for item in self.items(section) {
                let label = match (section.label, item) {
                    (Label::Named(field), Some(_)) => self.text(&section.pointer(item, field)),
                    _ => None,
                };
                let prefix: Vec<&str> =
                    [section.name].into_iter().chain(label.as_deref()).filter(|s| !s.is_empty()).collect();
                for keyword in section.keywords {
                    let pointer = section.pointer(item, keyword.path);
                    let Some(value) = self.tree.pointer(&pointer).filter(|value| !value.is_null()) else {
                        continue;
                    };
                    let mut key = prefix.clone();
                    key.push(keyword.name);
                    rows.push(Row {
                        key: key.join(" "),
                        value: keyword.kind.format(value),
                        origin: self.origins.get(&pointer).cloned().unwrap_or(Origin::Default),
                        reloadable: keyword.reloadable,
                    });
                }
            }
        }
        rows
    }

    /// The instances of a section: `None` for a section that occurs once, or the indices of a list.
    fn items(&self, section: &Section) -> Vec<Option<usize>> {
        match section.label {
            Label::None => vec![None],
            Label::Named(_) => {
                let list = self.tree.pointer(&format!("/{}", section.path)).and_then(Value::as_array);
                (0..list.map_or(0, Vec::len)).map(Some).collect()
            }
        }
    }

    fn text(&self, pointer: &str) -> Option<String> {
        self.tree.pointer(pointer).and_then(Value::as_str).map(str::to_owned)
    }

    /// Compares with an earlier configuration and returns the keywords whose values differ.
    pub fn changes_since(&self, earlier: &Resolved) -> Changes {
        let rows = |of: &Resolved| -> BTreeMap<String, (String, bool)> {
            of.rows().into_iter().map(|row| (row.key, (row.value, row.reloadable))).collect()
        };
        let (new, old) = (rows(self), rows(earlier));
        let keys: BTreeSet<&String> = new.keys().chain(old.keys()).collect();
        let mut changes = Changes::default();
        for key in keys {
            let (after, before) = (new.get(key), old.get(key));
            if after.map(|row| &row.0) == before.map(|row| &row.0) {
                continue;
            }
            let reloadable = after.or(before).is_some_and(|row| row.1);
            let list = if reloadable { &mut changes.at_reload } else { &mut changes.at_restart };
            list.push(key.clone());
        }
        changes
    }

    /// Applies the values of `new` that a reload can change, so that the next reload is compared with the values
    /// in effect.
    pub fn apply_reload(&mut self, new: &Resolved) {
        let list = new.tree.get("known").cloned().unwrap_or(Value::Null);
        let discovery = new.tree.get("discovery").cloned().unwrap_or(Value::Null);
        let level = new.tree.pointer("/log/level").cloned();
        if let Some(tree) = self.tree.as_object_mut() {
            tree.insert("known".into(), list);
            tree.insert("discovery".into(), discovery);
        }
        if let (Some(current), Some(level)) = (self.tree.pointer_mut("/log/level"), level) {
            *current = level;
        }
    }

    /// Reports an error that was found in a field after parsing, at the line that set the field. Components of
    /// the field's path are separated by dots, as in `settings.classes.0.gain`.
    pub fn problem_at(&self, field: &str, message: impl fmt::Display) -> Problems {
        let pointer = format!("/{}", field.replace('.', "/"));
        let mut prefix = pointer.as_str();
        let span = loop {
            if let Some(span) = self.spans.get(prefix) {
                break Some(*span);
            }
            match prefix.rfind('/') {
                Some(end) if end > 0 => prefix = &prefix[..end],
                _ => break None,
            }
        };
        let problem = Problem { message: format!("{field}: {message}"), span, help: None };
        Problems::new(vec![problem], self.sources.clone())
    }
}

/// Keywords whose values differ between two configurations.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Changes that a reload applies.
    pub at_reload: Vec<String>,
    /// Changes that require a restart.
    pub at_restart: Vec<String>,
}
