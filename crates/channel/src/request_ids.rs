//! The ids of requests: those that are open, and those of requests that must not run twice and may have run.

use std::collections::{HashSet, VecDeque};
use std::path::Path;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http::HeaderValue;
use rookspoke_state::sent_ids::{SentChange, SentIds};
use xxhash_rust::xxh3::xxh3_64;

use super::request::BadRequest;

/// Maximum number of requests that must not run twice and are remembered: those of some minutes at one dispatcher.
const MAX_REMEMBERED: usize = 16_384;

/// The request has its answer, or its client has gone.
const FINISHED: u8 = 1;
/// The request may have run.
const MAY_HAVE_RUN: u8 = 2;

/// What is known of a request across all its attempts. Changes take effect at once, without passing through a queue, so an
/// attempt that is about to send sees them.
#[derive(Debug, Default)]
pub struct RequestState {
    flags: AtomicU8,
    /// Where the other processes of the dispatcher learn of a request that must not run twice, and the hash of its id.
    shared: Option<(SharedIds, u64)>,
}

impl RequestState {
    /// Records that the request is about to be sent, after which it may have run. False if it is finished, so that nothing
    /// needs to be sent any more.
    pub fn begin_send(&self) -> bool {
        let begin = |flags| (flags & FINISHED == 0).then_some(flags | MAY_HAVE_RUN);
        let before = self.flags.fetch_update(Ordering::AcqRel, Ordering::Acquire, begin);
        if before.is_ok_and(|flags| flags & MAY_HAVE_RUN == 0) {
            self.share(SentChange::MayHaveRun);
        }
        before.is_ok()
    }

    /// Records that the last attempt turned out not to have run. A request that must not run twice has no earlier one that
    /// may have.
    pub fn attempt_never_ran(&self) {
        if self.flags.fetch_and(!MAY_HAVE_RUN, Ordering::AcqRel) & MAY_HAVE_RUN != 0 {
            self.share(SentChange::NeverRan);
        }
    }

    fn share(&self, change: impl Fn(u64) -> SentChange) {
        if let Some((shared, hash)) = &self.shared {
            shared.record(change(*hash));
        }
    }

    /// Finishes the request; returns whether it may have run.
    fn finish(&self) -> bool {
        self.flags.fetch_or(FINISHED, Ordering::AcqRel) & MAY_HAVE_RUN != 0
    }
}

/// The ids that the processes of one dispatcher share. Clones share the file.
#[derive(Clone, Debug)]
struct SharedIds(Arc<Mutex<SentIds>>);

impl SharedIds {
    /// Without the file the other processes don't learn of the request, which is sent all the same.
    fn record(&self, change: SentChange) {
        if let Err(error) = self.lock().record(change) {
            tracing::warn!("cannot share the id of a request with other processes: {error}");
        }
    }

    fn read_new(&self) -> Vec<SentChange> {
        self.lock().read_new().unwrap_or_else(|error| {
            tracing::warn!("cannot read the ids of requests of other processes: {error}");
            Vec::new()
        })
    }

    fn lock(&self) -> MutexGuard<'_, SentIds> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Default)]
struct Ids {
    open: HashSet<HeaderValue>,
    /// Hashes of the ids of finished requests that may have run and must not run again.
    remembered: HashSet<u64>,
    /// The hashes in `remembered`, oldest first.
    order: VecDeque<u64>,
    shared: Option<SharedIds>,
}

impl Ids {
    /// Takes over what the processes of the dispatcher have recorded since the last call.
    fn update(&mut self) {
        let changes = self.shared.as_ref().map(SharedIds::read_new).unwrap_or_default();
        self.apply(changes);
    }

    fn apply(&mut self, changes: Vec<SentChange>) {
        for change in changes {
            match change {
                SentChange::MayHaveRun(hash) => self.remember(hash),
                SentChange::NeverRan(hash) => self.forget(hash),
            }
        }
    }

    fn forget(&mut self, hash: u64) {
        if self.remembered.remove(&hash) {
            self.order.retain(|other| *other != hash);
        }
    }

    fn remember(&mut self, hash: u64) {
        if self.remembered.insert(hash) {
            self.order.push_back(hash);
        }
        if self.order.len() > MAX_REMEMBERED {
            self.order.pop_front().map(|oldest| self.remembered.remove(&oldest));
        }
    }
}

/// The ids of the requests of one channel. Clones share them.
#[derive(Clone, Default)]
pub struct RequestIds(Arc<Mutex<Ids>>);

/// A request whose id is open until this is dropped, which finishes the request.
pub struct OpenRequest {
    ids: RequestIds,
    id: HeaderValue,
    at_most_once: bool,
    state: Arc<RequestState>,
}

impl RequestIds {
    /// Shares the ids of requests that must not run twice with the other processes that use this directory.
    ///
    /// # Errors
    /// The file cannot be opened.
    pub fn share_in(&self, directory: &Path) -> std::io::Result<()> {
        let sent = SentIds::open(directory)?;
        let mut ids = self.lock();
        ids.apply(sent.read_previous());
        ids.shared = Some(SharedIds(Arc::new(Mutex::new(sent))));
        ids.update();
        Ok(())
    }

    /// Opens a request. Fails if its id is already open, since a log worker could not tell two requests with one id apart,
    /// and if one of its id may have run and must not run again.
    pub fn open(&self, id: &HeaderValue, at_most_once: bool) -> Result<OpenRequest, BadRequest> {
        let mut ids = self.lock();
        let hash = hash(id);
        if at_most_once {
            ids.update();
            if ids.remembered.contains(&hash) {
                return Err(BadRequest::MayHaveRun);
            }
        }
        if !ids.open.insert(id.clone()) {
            return Err(BadRequest::DuplicateId);
        }
        let shared = ids.shared.clone().filter(|_| at_most_once).map(|shared| (shared, hash));
        let state = Arc::new(RequestState { shared, ..RequestState::default() });
        Ok(OpenRequest { ids: self.clone(), id: id.clone(), at_most_once, state })
    }

    fn lock(&self) -> MutexGuard<'_, Ids> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl OpenRequest {
    /// What is known of the request.
    pub fn state(&self) -> &Arc<RequestState> {
        &self.state
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let may_have_run = self.state.finish();
        let mut ids = self.ids.lock();
        ids.open.remove(&self.id);
        if self.at_most_once && may_have_run {
            ids.remember(hash(&self.id));
        }
    }
}

/// A hash that is the same in every process.
fn hash(id: &HeaderValue) -> u64 {
    xxh3_64(id.as_bytes())
}

#[cfg(test)]
mod tests;
