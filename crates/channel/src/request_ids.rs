//! The ids of requests: those that are open, and those of requests that must not run twice and may have run.

use std::collections::hash_map::RandomState;
use std::collections::{HashSet, VecDeque};
use std::hash::BuildHasher;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http::HeaderValue;

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
pub struct RequestState(AtomicU8);

impl RequestState {
    /// Records that the request is about to be sent, after which it may have run. False if it is finished, so that nothing
    /// needs to be sent any more.
    pub fn begin_send(&self) -> bool {
        let begin = |state| (state & FINISHED == 0).then_some(state | MAY_HAVE_RUN);
        self.0.fetch_update(Ordering::AcqRel, Ordering::Acquire, begin).is_ok()
    }

    /// Records that the last attempt turned out not to have run. A request that must not run twice has no earlier one that
    /// may have.
    pub fn attempt_never_ran(&self) {
        self.0.fetch_and(!MAY_HAVE_RUN, Ordering::AcqRel);
    }

    /// Finishes the request; returns whether it may have run.
    fn finish(&self) -> bool {
        self.0.fetch_or(FINISHED, Ordering::AcqRel) & MAY_HAVE_RUN != 0
    }
}

#[derive(Default)]
struct Ids {
    open: HashSet<HeaderValue>,
    /// Hashes of the ids of finished requests that may have run and must not run again.
    remembered: HashSet<u64>,
    /// The hashes in `remembered`, oldest first.
    order: VecDeque<u64>,
    hasher: RandomState,
}

impl Ids {
    fn remember(&mut self, id: &HeaderValue) {
        let hash = self.hasher.hash_one(id);
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
    /// Opens a request. Fails if its id is already open, since a log worker could not tell two requests with one id apart,
    /// and if one of its id may have run and must not run again.
    pub fn open(
        &self,
        id: &HeaderValue,
        at_most_once: bool,
        state: Arc<RequestState>,
    ) -> Result<OpenRequest, BadRequest> {
        let mut ids = self.lock();
        if at_most_once && ids.remembered.contains(&ids.hasher.hash_one(id)) {
            return Err(BadRequest::MayHaveRun);
        }
        match ids.open.insert(id.clone()) {
            true => Ok(OpenRequest { ids: self.clone(), id: id.clone(), at_most_once, state }),
            false => Err(BadRequest::DuplicateId),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Ids> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let may_have_run = self.state.finish();
        let mut ids = self.ids.lock();
        ids.open.remove(&self.id);
        if self.at_most_once && may_have_run {
            ids.remember(&self.id);
        }
    }
}

#[cfg(test)]
mod tests;
