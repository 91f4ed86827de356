//! All workers that a dispatcher knows: which are listed, in service, or manually ejected.

use std::collections::BTreeMap;

use rustc_hash::{FxHashMap, FxHashSet};

use crate::api::*;
use crate::partitions::{Candidate, Partitions};
use crate::worker::{KeyHash, Worker, WorkerId};

/// When more workers than this enter or leave service at once, `in_service` is sorted as a whole; otherwise each
/// worker is inserted at its place.
const MAX_SINGLE_INSERTS: usize = 16;

/// All workers, by name and by id.
#[derive(Default)]
pub struct Fleet {
    by_name: FxHashMap<Name, WorkerId>,
    by_id: FxHashMap<WorkerId, Worker>,
    next: WorkerId,
    /// The workers that operators have ejected manually, and when.
    banned: BTreeMap<Name, Time>,
    /// The workers in service, in the order of their names.
    pub in_service: Vec<WorkerId>,
    /// The workers in service, by whether they are in the own zone. Each is entered twice: under no kind, for any
    /// job, and under its kind, for the jobs that require it.
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
    /// Applies a list or changes of it. A worker that is absent from a complete list has been removed.
    pub fn apply_list(&mut self, scope: ListScope, entries: &[Listing], settings: &Settings, now: Time) {
        let mut changed = Vec::new();
        if scope != ListScope::Changes {
            let named: FxHashSet<&str> = entries.iter().map(|entry| entry.worker.as_ref()).collect();
            let removed = self.by_name.iter().filter(|(name, _)| !named.contains(name.as_ref()));
            let removed: Vec<WorkerId> = removed.map(|(_, id)| *id).collect();
            removed.into_iter().for_each(|id| changed.extend(self.set_readiness(id, Readiness::Gone)));
        }
        for entry in entries {
            let id = match self.find(&entry.worker) {
                Some(id) => id,
                None if entry.readiness == Readiness::Gone => continue,
                None => {
                    self.next += 1;
                    self.by_name.insert(entry.worker.clone(), self.next);
                    self.by_id.insert(self.next, Worker::new(entry, settings, now));
                    self.next
                }
            };
            let Some(worker) = self.by_id.get_mut(&id) else { continue };
            if entry.readiness == Readiness::InService && worker.listed_start != entry.started {
                worker.listed_start = entry.started;
                worker.restart(entry.started, now);
            }
            worker.cell = entry.cell.or(worker.cell);
            worker.queues = entry.queues.clone();
            let (reweighted, hash, keys) =
                (worker.weight != entry.weight, worker.name_hash, worker.partitions());
            worker.weight = entry.weight;
            if reweighted && worker.in_service {
                for key in keys {
                    self.partitions.entry(key).or_default().set_weight(hash, id, entry.weight);
                }
            }
            changed.extend(self.set_readiness(id, entry.readiness));
        }
        self.reorder(&changed);
    }
    /// Replaces the set of manually ejected workers, which need not be listed. A worker that returns is assumed to
    /// have been restarted meanwhile and begins a slow start now, unless the list has shown that start since the
    /// ejection.
    pub fn apply_bans(&mut self, bans: &[Ban], now: Time) {
        let new = bans.iter().map(|ban| (ban.worker.clone(), ban.since)).collect();
        let old = std::mem::replace(&mut self.banned, new);
        let mut changed = Vec::new();
        let returned = old.iter().filter(|(name, _)| !self.banned.contains_key(*name));
        for (id, since) in
            returned.filter_map(|(name, since)| Some((self.find(name)?, *since))).collect::<Vec<_>>()
        {
            if let Some(worker) =
                self.by_id.get_mut(&id).filter(|worker| worker.listed_start.is_none_or(|at| at < since))
            {
                worker.restart(Some(now), now);
            }
            changed.extend(self.update_in_service(id));
        }
        for id in bans.iter().filter_map(|ban| self.find(&ban.worker)).collect::<Vec<_>>() {
            changed.extend(self.update_in_service(id));
        }
        self.reorder(&changed);
    }
    /// Whether a worker is listed or manually ejected.
    pub fn knows(&self, name: &str) -> bool {
        let listed = self
            .find(name)
            .and_then(|id| self.get(id))
            .is_some_and(|worker| worker.readiness != Readiness::Gone);
        listed || self.banned.contains_key(name)
    }
    /// Whether no worker is in service only because operators have ejected those that the list has in service.
    pub fn all_banned(&self) -> bool {
        let in_service = || self.by_id.values().any(|worker| worker.readiness == Readiness::InService);
        self.in_service.is_empty() && !self.banned.is_empty() && in_service()
    }
    /// Counts the listed workers, and those of them that are sent nothing now.
    pub fn worker_counts(&self, now: Time) -> WorkerCounts {
        let listed = || self.by_id.values().filter(|worker| worker.readiness != Readiness::Gone);
        let skipped = listed().filter(|worker| !worker.in_service || now < worker.ejected_until).count();
        WorkerCounts { known: listed().count(), skipped }
    }
    #[must_use = "changed workers have to be passed to `reorder`"]
    fn set_readiness(&mut self, id: WorkerId, readiness: Readiness) -> Option<WorkerId> {
        self.by_id.get_mut(&id)?.readiness = readiness;
        self.update_in_service(id)
    }
    /// Updates whether a worker is in service, and returns it if that has changed. A worker that is removed and idle
    /// is dropped.
    #[must_use = "changed workers have to be passed to `reorder`"]
    fn update_in_service(&mut self, id: WorkerId) -> Option<WorkerId> {
        let worker = self.by_id.get_mut(&id)?;
        let in_service = worker.readiness == Readiness::InService && !self.banned.contains_key(&worker.name);
        let changed = std::mem::replace(&mut worker.in_service, in_service) != in_service;
        if changed {
            let (candidate, keys) = (worker.candidate(id), worker.partitions());
            for key in keys {
                let parts = self.partitions.entry(key).or_default();
                match in_service {
                    true => parts.insert(candidate),
                    false => parts.remove(candidate.hash, id),
                }
            }
        }
        self.remove_if_idle(id);
        changed.then_some(id)
    }
    /// Restores the order of `in_service` after these workers have entered or left service.
    fn reorder(&mut self, changed: &[WorkerId]) {
        let by_id = &self.by_id;
        let name = |id: &WorkerId| by_id.get(id).map(|worker| &worker.name);
        let in_service = |id: &WorkerId| by_id.get(id).is_some_and(|worker| worker.in_service);
        if !changed.iter().all(in_service) {
            self.in_service.retain(in_service);
        }
        let entered = changed.iter().filter(|id| in_service(id));
        if changed.len() > MAX_SINGLE_INSERTS {
            let mut named: Vec<_> = self.in_service.iter().chain(entered).map(|id| (name(id), *id)).collect();
            named.sort();
            self.in_service = named.into_iter().map(|(_, id)| id).collect();
            // A worker that has left and entered again within one update occurs twice.
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
    /// The workers in service from which a key's order is taken: all of them in a fleet of up to some hundreds,
    /// otherwise a number of partitions that depend on the key. `same_zone` restricts them to the own zone or to
    /// other zones.
    pub fn candidates(
        &self,
        key: KeyHash,
        kind: Option<KindId>,
        same_zone: Option<bool>,
    ) -> impl Iterator<Item = &Candidate> + '_ {
        let zones = [true, false]
            .into_iter()
            .filter(move |zone| same_zone.is_none_or(|same_zone| same_zone == *zone));
        let parts = zones.filter_map(move |zone| self.partitions.get(&(zone, kind)));
        let parts = parts.flat_map(move |parts| parts.for_key(key));
        parts.flat_map(|part| &part.workers)
    }
    /// Versions of a key's candidates in the own zone and in other zones. Each change of the candidates changes them.
    pub fn order_version(&self, key: KeyHash, kind: Option<KindId>) -> (u64, u64) {
        let version =
            |same_zone| self.partitions.get(&(same_zone, kind)).map_or(0, |parts| parts.version(key));
        (version(true), version(false))
    }
    /// Marks the first `limit` of the given workers that have not reported since `since` as being probed, and returns
    /// their names.
    pub fn start_probes<'a>(
        &mut self,
        workers: impl Iterator<Item = &'a WorkerId>,
        since: Time,
        limit: usize,
    ) -> Vec<Name> {
        let mut names = Vec::new();
        for id in workers {
            let stale = |worker: &&mut Worker| {
                worker.in_service && !worker.probe_pending && worker.reported_at.is_none_or(|at| at < since)
            };
            if let Some(worker) = self.by_id.get_mut(id).filter(|worker| names.len() < limit && stale(worker))
            {
                worker.probe_pending = true;
                names.push(worker.name.clone());
            }
        }
        names
    }
    /// Records the end of a probe, and returns the worker if it is known.
    pub fn on_probed(&mut self, name: &str) -> Option<WorkerId> {
        let id = self.find(name)?;
        self.by_id.get_mut(&id)?.probe_pending = false;
        self.remove_if_idle(id);
        Some(id)
    }
    /// Drops a worker that is not listed and has neither pending attempts nor a pending probe.
    pub fn remove_if_idle(&mut self, id: WorkerId) {
        if self.by_id.get(&id).is_some_and(|worker| {
            worker.readiness == Readiness::Gone && worker.own_jobs == 0 && !worker.probe_pending
        }) {
            if let Some(worker) = self.by_id.remove(&id) {
                self.by_name.remove(&worker.name);
            }
        }
    }
}

#[cfg(test)]
mod tests;
