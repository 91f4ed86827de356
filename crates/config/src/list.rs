//! The list of log workers, as discovery serves it.

use std::borrow::Cow;
use std::cell::RefCell;
use std::fmt;
use std::marker::PhantomData;
use std::net::SocketAddr;

use rookspoke_decisions::{Listing, Name, Readiness, Time};
use serde::de::{Error as _, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use thiserror::Error;

/// The maximum size of a list in bytes, in any form: enough for 20,000 log workers, six times the largest fleet.
pub const MAX_LIST_BYTES: usize = 8 * 1024 * 1024;

/// The maximum number of entries of a list; they fit into [`MAX_LIST_BYTES`].
const MAX_ENTRIES: usize = 20_000;
/// A list with more unreadable entries than this is rejected as a whole. The largest fleet has fewer log workers.
const MAX_UNREADABLE_ENTRIES: usize = 4_096;

/// An update of the list from discovery: the whole list, or changes to it.
#[derive(Clone, Debug, Deserialize)]
#[serde(expecting = "an object with the fields of a list")]
pub struct ListUpdate {
    /// Version of the list after the update.
    pub rev: u64,
    /// Whether this is the whole list.
    #[serde(rename = "all")]
    pub complete: bool,
    /// The readable entries.
    #[serde(deserialize_with = "deserialize_entries")]
    pub targets: Vec<Target>,
    /// The entries that could not be read and were skipped.
    #[serde(skip)]
    pub unreadable: Vec<UnreadableEntry>,
}

/// An entry of a list that could not be read.
#[derive(Clone, Debug, Error)]
#[error("targets[{index}]: {found}")]
pub struct UnreadableEntry {
    /// Index of the entry in `targets`.
    pub index: usize,
    /// Name of the log worker, if that much could be read.
    pub worker: Option<Name>,
    /// What is wrong with the entry.
    pub found: String,
}

/// The form of a [`ListUpdate`] that skips unreadable entries.
#[derive(Deserialize)]
#[serde(expecting = "an object with the fields of a list")]
struct ListUpdateByEntry {
    rev: u64,
    #[serde(rename = "all")]
    complete: bool,
    targets: Entries,
}

/// The entries of a list, readable and unreadable ones apart.
#[derive(Default)]
struct Entries {
    targets: Vec<Target>,
    unreadable: Vec<UnreadableEntry>,
}

impl Entries {
    fn push(&mut self, index: usize, entry: &RawValue) {
        match serde_json::from_str(entry.get()) {
            Ok(target) => self.targets.push(target),
            Err(error) => {
                let named = serde_json::from_str(entry.get()).ok();
                let worker = named.map(|named: NamedEntry| named.uid.into());
                self.unreadable.push(UnreadableEntry { index, worker, found: error.to_string() });
            }
        }
    }
}

impl<'de> Deserialize<'de> for Entries {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let mut entries = Entries::default();
        let on_entry = |index, entry: &'de RawValue| {
            entries.push(index, entry);
            match entries.unreadable.len() > MAX_UNREADABLE_ENTRIES {
                true => Err(format!("found more than {MAX_UNREADABLE_ENTRIES} unreadable entries")),
                false => Ok(()),
            }
        };
        deserializer.deserialize_seq(EntryVisitor(on_entry, PhantomData))?;
        Ok(entries)
    }
}

fn deserialize_entries<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Target>, D::Error> {
    let mut targets = Vec::new();
    let on_entry = |_, target| {
        targets.push(target);
        Ok(())
    };
    deserializer.deserialize_seq(EntryVisitor(on_entry, PhantomData))?;
    Ok(targets)
}

/// Passes each entry of a list with its index to a function. More than [`MAX_ENTRIES`] are an error.
struct EntryVisitor<T, F>(F, PhantomData<T>);

impl<'de, T, F> Visitor<'de> for EntryVisitor<T, F>
where
    T: Deserialize<'de>,
    F: FnMut(usize, T) -> Result<(), String>,
{
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a list of entries")
    }

    fn visit_seq<A: SeqAccess<'de>>(mut self, mut entries: A) -> Result<(), A::Error> {
        let mut index = 0;
        while let Some(entry) = entries.next_element()? {
            if index >= MAX_ENTRIES {
                return Err(A::Error::custom(format!("found more than {MAX_ENTRIES} entries")));
            }
            (self.0)(index, entry).map_err(A::Error::custom)?;
            index += 1;
        }
        Ok(())
    }
}

/// The name in an entry that is otherwise unreadable.
#[derive(Deserialize)]
struct NamedEntry {
    uid: String,
}

impl ListUpdate {
    /// An update without unreadable entries.
    pub fn new(rev: u64, complete: bool, targets: Vec<Target>) -> Self {
        ListUpdate { rev, complete, targets, unreadable: Vec::new() }
    }

    /// Parses an update as discovery sends it. Unreadable entries are skipped and recorded in `unreadable`.
    ///
    /// # Errors
    /// The object itself is invalid; the error names the position in `text`.
    pub fn read(text: &[u8]) -> Result<Self, serde_json::Error> {
        // From text checked to be UTF-8, the parser need not check each string again.
        let Ok(text) = std::str::from_utf8(text) else { return serde_json::from_slice(text) };
        // On any error, whatever its category: a `state` that is a number is reported as a syntax error.
        serde_json::from_str(text).or_else(|_| Self::read_by_entry(text))
    }

    fn read_by_entry(text: &str) -> Result<Self, serde_json::Error> {
        let ListUpdateByEntry { rev, complete, targets: Entries { targets, unreadable } } =
            serde_json::from_str(text)?;
        Ok(ListUpdate { rev, complete, targets, unreadable })
    }
}

/// A log worker's entry in the list of discovery.
#[derive(Clone, Debug, Deserialize)]
pub struct Target {
    /// The log worker's name, the same for every dispatcher.
    #[serde(deserialize_with = "deserialize_name")]
    pub uid: Name,
    /// The address at which this dispatcher reaches the log worker.
    pub endpoint: SocketAddr,
    #[serde(default = "empty_name", deserialize_with = "deserialize_interned_name")]
    az: Name,
    #[serde(default = "empty_name", deserialize_with = "deserialize_interned_name")]
    model: Name,
    pod_group: Option<u64>,
    state: State,
    capacity_hint: Option<f64>,
    boot_ms: Option<f64>,
}

/// The maximum number of interned names. Interning keeps one copy of a zone's or kind's name instead of one for
/// each log worker.
const MAX_INTERNED_NAMES: usize = 64;

thread_local! {
    static INTERNED: RefCell<Vec<Name>> = const { RefCell::new(Vec::new()) };
}

/// A string borrowed from the input unless it contains escapes.
#[derive(Deserialize)]
struct BorrowedText<'a>(#[serde(borrow)] Cow<'a, str>);

fn deserialize_name<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Name, D::Error> {
    BorrowedText::deserialize(deserializer).map(|text| Name::from(text.0))
}

fn empty_name() -> Name {
    intern("")
}

fn deserialize_interned_name<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Name, D::Error> {
    BorrowedText::deserialize(deserializer).map(|text| intern(&text.0))
}

/// The interned name of `text`, or a new name once [`MAX_INTERNED_NAMES`] are held.
fn intern(text: &str) -> Name {
    INTERNED.with_borrow_mut(|names| {
        if let Some(name) = names.iter().find(|name| ***name == *text) {
            return name.clone();
        }
        let name = Name::from(text);
        if names.len() < MAX_INTERNED_NAMES {
            names.push(name.clone());
        }
        name
    })
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Active,
    Leaving,
    Left,
}

impl Target {
    /// Converts the entry to the form that the decisions use.
    pub fn listing(&self) -> Listing {
        Listing {
            worker: self.uid.clone(),
            kind: self.model.clone(),
            zone: self.az.clone(),
            cell: self.pod_group,
            queues: None,
            started: self.boot_ms.filter(|ms| ms.is_finite() && *ms > 0.0).map(Time::from_ms),
            weight: self.capacity_hint.filter(|w| w.is_finite()).unwrap_or(1.0),
            readiness: match self.state {
                State::Active => Readiness::InService,
                State::Leaving => Readiness::Draining,
                State::Left => Readiness::Gone,
            },
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(uid: &str, state: &str) -> String {
        format!(r#"{{"uid":"{uid}","endpoint":"127.0.0.1:80","state":"{state}"}}"#)
    }

    fn text(entries: &[String]) -> String {
        format!(r#"{{"rev":3,"all":false,"targets":[{}]}}"#, entries.join(","))
    }

    #[test]
    fn unreadable_entries_are_skipped_and_recorded() {
        let bad = [
            entry("w-2", "resting"),
            entry("w-3", "active").replace("127.0.0.1:80", "nowhere"),
            entry("w-4", "active").replace("\"uid\"", "\"name\""),
            "7".into(),
            entry("w-6", "active").replace("\"active\"", "7"),
        ];
        let all = [&[entry("w-1", "leaving")], &bad[..], &[entry("w-5", "active")]].concat();
        let update = ListUpdate::read(text(&all).as_bytes()).expect("an update");
        let read: Vec<&str> = update.targets.iter().map(|target| target.uid.as_ref()).collect();
        assert_eq!((update.rev, read), (3, vec!["w-1", "w-5"]));
        let named = update.unreadable.iter().map(|entry| (entry.index, entry.worker.as_deref()));
        assert_eq!(
            named.collect::<Vec<_>>(),
            [(1, Some("w-2")), (2, Some("w-3")), (3, None), (4, None), (5, Some("w-6"))]
        );
        let first = update.unreadable[0].to_string();
        assert!(first.starts_with("targets[1]: unknown variant `resting`"), "{first}");
    }

    #[test]
    fn invalid_objects_are_errors() {
        for bad in [
            "{}",
            r#"{"rev":"x","all":true,"targets":[]}"#,
            r#"{"rev":1,"all":true,"targets":7}"#,
            "{\"rev\"",
        ] {
            assert!(ListUpdate::read(bad.as_bytes()).is_err(), "{bad}");
        }
    }

    #[test]
    fn the_number_of_entries_and_of_unreadable_ones_is_limited() {
        let list = |count: usize, entry: &str| {
            let text = text(&vec![entry.to_owned(); count]);
            ListUpdate::read(text.as_bytes()).map(|update| (update.targets.len(), update.unreadable.len()))
        };
        let good = entry("w", "active");
        for count in [MAX_ENTRIES - 1, MAX_ENTRIES] {
            assert_eq!(list(count, &good).expect("a list"), (count, 0));
        }
        assert!(list(MAX_ENTRIES + 1, &good).is_err());
        for count in [MAX_UNREADABLE_ENTRIES - 1, MAX_UNREADABLE_ENTRIES] {
            assert_eq!(list(count, "7").expect("a list"), (0, count));
        }
        let error = list(MAX_UNREADABLE_ENTRIES + 1, "7").expect_err("no list").to_string();
        assert!(error.starts_with("found more than 4096 unreadable entries"), "{error}");
    }
}
