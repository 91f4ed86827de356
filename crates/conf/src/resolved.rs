//! A configuration with all its values, and where each came from.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde_json::Value;

use crate::problem::{Problem, Problems};
use crate::schema::{Label, Section, SECTIONS};
use crate::source::{Location, Sources, Span};

/// Where a value came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// Nobody said anything.
    Default,
    /// A line of a file.
    File(Location),
    /// The platform's JSON.
    Platform(String),
    /// A variable of the environment.
    Environment(String),
    /// The command line.
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

/// A value, for people.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Section, label and keyword, parted by blanks.
    pub key: String,
    /// As it would stand in a file.
    pub value: String,
    /// Where it came from.
    pub origin: Origin,
    /// Whether a reload heeds it.
    pub reloadable: bool,
}

/// A configuration that has been read without an error.
#[derive(Clone, Debug, Default)]
pub struct Resolved {
    /// The values, in the shape of the platform's JSON; `faktory`, `log` and `control` stand beside its fields.
    pub tree: Value,
    /// What is worth a warning.
    pub warnings: Vec<String>,
    pub(crate) origins: BTreeMap<String, Origin>,
    pub(crate) spans: BTreeMap<String, Span>,
    pub(crate) sources: Sources,
}

impl Resolved {
    /// Every value that a keyword stands for, in the order of the table.
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

    /// The places of a section: one without a number, or as many as its list holds.
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

    /// What differs from an earlier configuration, by keyword: what a reload heeds, and what it does not.
    pub fn changes_since(&self, earlier: &Resolved) -> Changes {
        let rows = |of: &Resolved| -> BTreeMap<String, (String, bool)> {
            of.rows().into_iter().map(|row| (row.key, (row.value, row.reloadable))).collect()
        };
        let (new, old) = (rows(self), rows(earlier));
        let keys: BTreeSet<&String> = new.keys().chain(old.keys()).collect();
        let mut changes = Changes::default();
        for key in keys {
            let (now, before) = (new.get(key), old.get(key));
            if now.map(|row| &row.0) == before.map(|row| &row.0) {
                continue;
            }
            let live = now.or(before).is_some_and(|row| row.1);
            let list = if live { &mut changes.at_reload } else { &mut changes.at_restart };
            list.push(key.clone());
        }
        changes
    }

    /// Takes over what a reload heeds, so that the next reload is compared with what holds.
    pub fn apply_reload(&mut self, new: &Resolved) {
        let list = new.tree.get("known").cloned().unwrap_or(Value::Null);
        let discovery = new.tree.get("discovery").cloned().unwrap_or(Value::Null);
        let level = new.tree.pointer("/log/level").cloned();
        if let Some(tree) = self.tree.as_object_mut() {
            tree.insert("known".into(), list);
            tree.insert("discovery".into(), discovery);
        }
        if let (Some(at), Some(level)) = (self.tree.pointer_mut("/log/level"), level) {
            *at = level;
        }
    }

    /// An error that another reader found at a field, as a problem at the line which set it. Fields are parted
    /// by dots, as in `settings.classes.0.gain`.
    pub fn problem_at(&self, field: &str, message: impl fmt::Display) -> Problems {
        let pointer = format!("/{}", field.replace('.', "/"));
        let mut part = pointer.as_str();
        let span = loop {
            if let Some(span) = self.spans.get(part) {
                break Some(*span);
            }
            match part.rfind('/') {
                Some(at) if at > 0 => part = &part[..at],
                _ => break None,
            }
        };
        let problem = Problem { message: format!("{field}: {message}"), span, help: None };
        Problems::new(vec![problem], self.sources.clone())
    }
}

/// What a new configuration changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Keywords that a reload heeds.
    pub at_reload: Vec<String>,
    /// Keywords that only a restart heeds.
    pub at_restart: Vec<String>,
}
