//! All workers: which are listed, in service, or taken out by hand.

use std::collections::BTreeMap;

use rustc_hash::{FxHashMap, FxHashSet};

use crate::api::*;
use crate::partitions::{Candidate, Partitions};
use crate::worker::{KeyHash, Worker, WorkerId};

/// Beyond so many workers that enter service at once their order is merged as a whole, not one by one.
const MAX_SINGLE_INSERTS: usize = 16;

/// Workers by name and number, and those in service in the order of their names.
#[derive(Default)]
pub struct Fleet {
    by_name: FxHashMap<Name, WorkerId>,
    by_id: FxHashMap<WorkerId, Worker>,
    next: WorkerId,
    /// What operators have taken out by hand, and since when.
    banned: BTreeMap<Name, Time>,
    pub in_service: Vec<WorkerId>,
    /// Those of the own zone and the others; for any job, and for the jobs that need one kind.
    partitions: BTreeMap<(bool, Option<KindId>), Partitions>,
}

impl Fleet {
    pub fn find(&self, name: &str) -> Option<WorkerId> {
        self.by_name.get(name).copied()
    }
    pub fn get(&self, id: WorkerId) -> Option<&Worker> {
        self.by_id.get(&id)
    }
    pub fn get_mut(&mut self, id: WorkerId) -> Option<&mut Worker> {
        self.by_id.get_mut(&id)
    }
    /// Takes a list or its changes; a worker absent from a complete list has been removed.
    pub fn apply_list(&mut self, scope: ListScope, entries: &[Listing], s: &Settings, now: Time) {
        let mut moves = Vec::new();
        if scope != ListScope::Changes {
            let named: FxHashSet<&str> = entries.iter().map(|entry| entry.worker.as_ref()).collect();
            let left = self.by_name.iter().filter(|(name, _)| !named.contains(name.as_ref()));
            let left: Vec<WorkerId> = left.map(|(_, id)| *id).collect();
            left.into_iter().for_each(|id| moves.extend(self.set_readiness(id, Readiness::Gone)));
        }
        for entry in entries {
            let id = match self.find(&entry.worker) {
                Some(id) => id,
                None if entry.readiness == Readiness::Gone => continue,
                None => {
                    self.next += 1;
                    self.by_name.insert(entry.worker.clone(), self.next);
                    self.by_id.insert(self.next, Worker::new(entry, s, now));
                    self.next
                }
            };
            let Some(w) = self.by_id.get_mut(&id) else { continue };
            if entry.readiness == Readiness::InService && w.listed_start != entry.started {
                w.listed_start = entry.started;
                w.restart(entry.started, now);
            }
            w.cell = entry.cell.or(w.cell);
            let (weighs, hash, keys) = (w.weight != entry.weight, w.name_hash, w.partitions());
            w.weight = entry.weight;
            if weighs && w.in_service {
                for key in keys {
                    self.partitions.entry(key).or_default().set_weight(hash, id, entry.weight);
                }
            }
            moves.extend(self.set_readiness(id, entry.readiness));
        }
        self.reorder(&moves);
    }
    /// Takes what operators have taken out by hand, whether it is listed or not. What comes back was restarted
    /// meanwhile, so it is as cold as one can be, unless the list told of that start since.
    pub fn apply_bans(&mut self, bans: &[Ban], now: Time) {
        let new = bans.iter().map(|ban| (ban.worker.clone(), ban.since)).collect();
        let old = std::mem::replace(&mut self.banned, new);
        let mut moves = Vec::new();
        let back = old.iter().filter(|(name, _)| !self.banned.contains_key(*name));
        for (id, since) in
            back.filter_map(|(name, since)| Some((self.find(name)?, *since))).collect::<Vec<_>>()
        {
            if let Some(w) = self.by_id.get_mut(&id).filter(|w| w.listed_start.is_none_or(|at| at < since)) {
                w.restart(Some(now), now);
            }
            moves.extend(self.update_in_service(id));
        }
        for id in bans.iter().filter_map(|ban| self.find(&ban.worker)).collect::<Vec<_>>() {
            moves.extend(self.update_in_service(id));
        }
        self.reorder(&moves);
    }
    /// Whether a worker is listed, or taken out by hand.
    pub fn knows(&self, name: &str) -> bool {
        let listed =
            self.find(name).and_then(|id| self.get(id)).is_some_and(|w| w.readiness != Readiness::Gone);
        listed || self.banned.contains_key(name)
    }
    /// Whether operators, and nothing else, leave no worker in service.
    pub fn all_banned(&self) -> bool {
        let in_service = || self.by_id.values().any(|w| w.readiness == Readiness::InService);
        self.in_service.is_empty() && !self.banned.is_empty() && in_service()
    }
    pub fn worker_counts(&self, now: Time) -> WorkerCounts {
        let listed = || self.by_id.values().filter(|w| w.readiness != Readiness::Gone);
        let skipped = listed().filter(|w| !w.in_service || now < w.ejected_until).count();
        WorkerCounts { known: listed().count(), skipped }
    }
    #[must_use = "the order of those in service is not kept otherwise"]
    fn set_readiness(&mut self, id: WorkerId, readiness: Readiness) -> Option<WorkerId> {
        self.by_id.get_mut(&id)?.readiness = readiness;
        self.update_in_service(id)
    }
    /// Files a worker by whether it is in service; names it if that has changed. One that is gone and owes nothing is
    /// forgotten.
    #[must_use = "the order of those in service is not kept otherwise"]
    fn update_in_service(&mut self, id: WorkerId) -> Option<WorkerId> {
        let w = self.by_id.get_mut(&id)?;
        let ready = w.readiness == Readiness::InService && !self.banned.contains_key(&w.name);
        let changed = std::mem::replace(&mut w.in_service, ready) != ready;
        if changed {
            let (candidate, keys) = (w.candidate(id), w.partitions());
            for key in keys {
                let parts = self.partitions.entry(key).or_default();
                match ready {
                    true => parts.insert(candidate),
                    false => parts.remove(candidate.hash, id),
                }
            }
        }
        self.remove_if_idle(id);
        changed.then_some(id)
    }
    /// Keeps `ready` in the order of names after these workers entered or left service.
    fn reorder(&mut self, moves: &[WorkerId]) {
        let by_id = &self.by_id;
        let name = |id: &WorkerId| by_id.get(id).map(|w| &w.name);
        let in_service = |id: &WorkerId| by_id.get(id).is_some_and(|w| w.in_service);
        if !moves.iter().all(in_service) {
            self.in_service.retain(in_service);
        }
        let entered = moves.iter().filter(|id| in_service(id));
        if moves.len() > MAX_SINGLE_INSERTS {
            let mut named: Vec<_> = self.in_service.iter().chain(entered).map(|id| (name(id), *id)).collect();
            named.sort();
            self.in_service = named.into_iter().map(|(_, id)| id).collect();
            // One that left and came back is there twice.
            self.in_service.dedup();
            return;
        }
        for id in entered {
            let place = self.in_service.partition_point(|other| name(other) < name(id));
            if self.in_service.get(place) != Some(id) {
                self.in_service.insert(place, *id);
            }
        }
    }
    /// Workers in service from which a key takes its order: in a fleet of some hundreds all, else a fixed number
    /// that depends on the key. Of the own zone, of others, or of all.
    pub fn candidates(
        &self,
        key: KeyHash,
        kind: Option<KindId>,
        near: Option<bool>,
    ) -> impl Iterator<Item = &Candidate> + '_ {
        let zones = [true, false].into_iter().filter(move |zone| near.is_none_or(|near| near == *zone));
        let parts = zones.filter_map(move |zone| self.partitions.get(&(zone, kind)));
        let parts = parts.flat_map(move |parts| parts.of(key));
        parts.flat_map(|part| &part.workers)
    }
    /// A number that is another one after each change of a key's candidates.
    pub fn order_version(&self, key: KeyHash, kind: Option<KindId>) -> (u64, u64) {
        let of = |near| self.partitions.get(&(near, kind)).map_or(0, |parts| parts.version(key));
        (of(true), of(false))
    }
    /// Marks as probed, and names, the first `most` workers that have not reported since `since`.
    pub fn start_probes<'a>(
        &mut self,
        of: impl Iterator<Item = &'a WorkerId>,
        since: Time,
        most: usize,
    ) -> Vec<Name> {
        let mut named = Vec::new();
        for id in of {
            let stale = |w: &&mut Worker| {
                w.in_service && !w.probe_pending && w.reported_at.is_none_or(|at| at < since)
            };
            if let Some(w) = self.by_id.get_mut(id).filter(|w| named.len() < most && stale(w)) {
                w.probe_pending = true;
                named.push(w.name.clone());
            }
        }
        named
    }
    /// A probe of this worker came back.
    pub fn on_probed(&mut self, name: &str) -> Option<WorkerId> {
        let id = self.find(name)?;
        self.by_id.get_mut(&id)?.probe_pending = false;
        self.remove_if_idle(id);
        Some(id)
    }
    /// Forgets a worker that is not listed and owes no outcome.
    pub fn remove_if_idle(&mut self, id: WorkerId) {
        if self
            .by_id
            .get(&id)
            .is_some_and(|w| w.readiness == Readiness::Gone && w.own_jobs == 0 && !w.probe_pending)
        {
            if let Some(w) = self.by_id.remove(&id) {
                self.by_name.remove(&w.name);
            }
        }
    }
}

#[cfg(test)]
mod tests;
