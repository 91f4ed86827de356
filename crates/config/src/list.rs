//! The list of log workers, in discovery's form.

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

/// The most that a list holds in any form, in bytes: room for twenty thousand log workers, six times the largest fleet.
pub const MAX_LIST_BYTES: usize = 8 * 1024 * 1024;

/// The most entries of a list, for which [`MAX_LIST_BYTES`] has room.
const MAX_ENTRIES: usize = 20_000;
/// The most entries that may make no sense in a list that is taken all the same; more than the largest fleet has.
const MAX_UNREADABLE: usize = 4_096;

/// What discovery says at once: the whole list, or what changed.
#[derive(Clone, Debug, Deserialize)]
pub struct ListUpdate {
    /// The version of the list.
    pub rev: u64,
    /// Whether it is the whole list.
    #[serde(rename = "all")]
    pub complete: bool,
    /// The entries.
    #[serde(deserialize_with = "bounded_entries")]
    pub targets: Vec<Target>,
    /// Entries that make no sense, and were left out.
    #[serde(skip)]
    pub unreadable: Vec<UnreadableEntry>,
}

/// An entry of a list that makes no sense.
#[derive(Clone, Debug, Error)]
#[error("targets[{index}]: {found}")]
pub struct UnreadableEntry {
    /// Its place among the entries.
    pub index: usize,
    /// The log worker that it names, if it does that much.
    pub worker: Option<Name>,
    /// What was found there.
    pub found: String,
}

/// An object that is read entry by entry.
#[derive(Deserialize)]
struct ListUpdateByEntry {
    rev: u64,
    #[serde(rename = "all")]
    complete: bool,
    targets: Entries,
}

/// Entries, and which of them make no sense.
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
                let name = serde_json::from_str(entry.get()).ok();
                let worker = name.map(|name: EntryName| name.uid.into());
                self.unreadable.push(UnreadableEntry { index, worker, found: error.to_string() });
            }
        }
    }
}

impl<'de> Deserialize<'de> for Entries {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let mut entries = Entries::default();
        let take = |index, entry: &'de RawValue| {
            entries.push(index, entry);
            match entries.unreadable.len() > MAX_UNREADABLE {
                true => Err(format!("over {MAX_UNREADABLE} entries that make no sense")),
                false => Ok(()),
            }
        };
        from.deserialize_seq(EachEntry(take, PhantomData))?;
        Ok(entries)
    }
}

fn bounded_entries<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<Target>, D::Error> {
    let mut targets = Vec::new();
    let take = |_, target| {
        targets.push(target);
        Ok(())
    };
    from.deserialize_seq(EachEntry(take, PhantomData))?;
    Ok(targets)
}

/// Hands each entry of a list on with its place, as long as there are no more than may be.
struct EachEntry<T, F>(F, PhantomData<T>);

impl<'de, T, F> Visitor<'de> for EachEntry<T, F>
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
                return Err(A::Error::custom(format!("found over {MAX_ENTRIES} entries")));
            }
            (self.0)(index, entry).map_err(A::Error::custom)?;
            index += 1;
        }
        Ok(())
    }
}

/// The name in an entry that makes no sense otherwise.
#[derive(Deserialize)]
struct EntryName {
    uid: String,
}

impl ListUpdate {
    /// What a list or change of this version holds, if nothing in it is unreadable.
    pub fn new(rev: u64, complete: bool, targets: Vec<Target>) -> Self {
        ListUpdate { rev, complete, targets, unreadable: Vec::new() }
    }

    /// Reads an object in discovery's form. An entry that makes no sense is left out and told of; the others stand.
    ///
    /// # Errors
    /// Says where the object itself makes no sense.
    pub fn read(text: &[u8]) -> Result<Self, serde_json::Error> {
        // Text that is known to be UTF-8 is not looked at again, string by string.
        let Ok(text) = std::str::from_utf8(text) else { return serde_json::from_slice(text) };
        // Not by the error's category: a state that is a number counts as an error of syntax.
        serde_json::from_str(text).or_else(|_| Self::read_by_entry(text))
    }

    fn read_by_entry(text: &str) -> Result<Self, serde_json::Error> {
        let ListUpdateByEntry { rev, complete, targets: Entries { targets, unreadable } } =
            serde_json::from_str(text)?;
        Ok(ListUpdate { rev, complete, targets, unreadable })
    }
}

/// One log worker, as discovery describes it.
#[derive(Clone, Debug, Deserialize)]
pub struct Target {
    /// Its name, the same for every dispatcher.
    #[serde(deserialize_with = "name")]
    pub uid: Name,
    /// Where this dispatcher reaches it.
    pub endpoint: SocketAddr,
    #[serde(default = "no_name", deserialize_with = "shared_name")]
    az: Name,
    #[serde(default = "no_name", deserialize_with = "shared_name")]
    model: Name,
    pod_group: Option<u64>,
    state: State,
    capacity_hint: Option<f64>,
    boot_ms: Option<f64>,
}

/// Names of zones and kinds that are remembered, so that each is held once and not once for every log worker.
const SHARED_NAMES: usize = 64;

thread_local! {
    static SHARED: RefCell<Vec<Name>> = const { RefCell::new(Vec::new()) };
}

/// A string that is borrowed where its text needs no change.
#[derive(Deserialize)]
struct Text<'a>(#[serde(borrow)] Cow<'a, str>);

fn name<'de, D: Deserializer<'de>>(from: D) -> Result<Name, D::Error> {
    Text::deserialize(from).map(|text| Name::from(text.0))
}

fn no_name() -> Name {
    shared("")
}

fn shared_name<'de, D: Deserializer<'de>>(from: D) -> Result<Name, D::Error> {
    Text::deserialize(from).map(|text| shared(&text.0))
}

/// The one name of this text, as far as it is remembered.
fn shared(text: &str) -> Name {
    SHARED.with_borrow_mut(|names| {
        if let Some(name) = names.iter().find(|name| ***name == *text) {
            return name.clone();
        }
        let name = Name::from(text);
        if names.len() < SHARED_NAMES {
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
    /// The entry as the decisions know it.
    pub fn listing(&self) -> Listing {
        Listing {
            worker: self.uid.clone(),
            kind: self.model.clone(),
            zone: self.az.clone(),
            cell: self.pod_group,
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
    fn entries_that_make_no_sense_are_left_out_and_named() {
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
    fn objects_that_make_no_sense_are_errors() {
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
    fn a_list_holds_so_many_entries_and_of_them_so_many_that_make_no_sense() {
        let list = |count: usize, entry: &str| {
            let text = text(&vec![entry.to_owned(); count]);
            ListUpdate::read(text.as_bytes()).map(|update| (update.targets.len(), update.unreadable.len()))
        };
        let good = entry("w", "active");
        for count in [MAX_ENTRIES - 1, MAX_ENTRIES] {
            assert_eq!(list(count, &good).expect("a list"), (count, 0));
        }
        assert!(list(MAX_ENTRIES + 1, &good).is_err());
        for count in [MAX_UNREADABLE - 1, MAX_UNREADABLE] {
            assert_eq!(list(count, "7").expect("a list"), (0, count));
        }
        let error = list(MAX_UNREADABLE + 1, "7").expect_err("no list").to_string();
        assert!(error.starts_with("over 4096 entries that make no sense"), "{error}");
    }
}
