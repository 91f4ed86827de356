//! The open jobs, and the ids of finished ones that must not run twice.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;

use super::call::Call;

/// Maximum number of ids of finished jobs that are kept, to reject a job that is pushed again.
const MAX_FINISHED_JIDS: usize = 16_384;

/// A job whose id is known.
enum KnownJob {
    /// It has no final answer yet. `at_most_once`: its class must not run twice.
    Open { call: Call, at_most_once: bool },
    /// It is finished and must not run twice.
    Finished,
}

/// Pushed jobs by their ids, to reject duplicates.
#[derive(Default)]
struct Jids {
    known: HashMap<String, KnownJob>,
    /// The finished ones of `known`, oldest first.
    finished: VecDeque<String>,
}

/// The jobs that this server has to answer for. Clones share them.
#[derive(Clone, Default)]
pub struct JobRegistry {
    jids: Arc<Mutex<Jids>>,
    /// Number of open jobs.
    open: Arc<watch::Sender<usize>>,
}

/// An open job. Dropping it closes the job: its final answer has arrived, or nobody waits for it any more.
pub struct OpenJob {
    registry: JobRegistry,
    call: Call,
    /// Its class must not run twice.
    at_most_once: bool,
}

impl JobRegistry {
    fn lock(&self) -> MutexGuard<'_, Jids> {
        self.jids.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens a job; `None` if its id is known already.
    pub fn open(&self, call: Call, at_most_once: bool) -> Option<OpenJob> {
        let mut jids = self.lock();
        let Entry::Vacant(vacant) = jids.known.entry(call.job.jid.clone()) else { return None };
        vacant.insert(KnownJob::Open { call: call.clone(), at_most_once });
        self.open.send_modify(|open| *open += 1);
        Some(OpenJob { registry: self.clone(), call, at_most_once })
    }

    /// Closes a job. With `remember`, its id stays known, since the job may have run and must not run twice.
    fn close(&self, jid: &str, remember: bool) {
        let mut jids = self.lock();
        if remember {
            jids.known.insert(jid.to_owned(), KnownJob::Finished);
            jids.finished.push_back(jid.to_owned());
            if jids.finished.len() > MAX_FINISHED_JIDS {
                let oldest = jids.finished.pop_front();
                oldest.map(|oldest| jids.known.remove(&oldest));
            }
        } else {
            jids.known.remove(jid);
        }
        self.open.send_modify(|open| *open -= 1);
    }

    /// The ids of accepted jobs from these queues that are handed out again if the consumer that has one leaves.
    pub fn owed(&self, queues: &[String]) -> Vec<String> {
        let jids = self.lock();
        let is_owed = |job: &KnownJob| match job {
            KnownJob::Open { call, at_most_once } => {
                !at_most_once && call.is_accepted() && queues.contains(&call.job.queue)
            }
            KnownJob::Finished => false,
        };
        jids.known.iter().filter(|(_, job)| is_owed(job)).map(|(jid, _)| jid.clone()).collect()
    }

    /// Completes as soon as no job is open.
    pub async fn all_closed(&self) {
        // Cannot fail: `self` keeps the sender alive.
        let _ = self.open.subscribe().wait_for(|open| *open == 0).await;
    }
}

impl OpenJob {
    /// Withdraws the job; see [`Call::withdraw`].
    pub fn withdraw(&self) -> bool {
        self.call.withdraw()
    }
}

impl Drop for OpenJob {
    fn drop(&mut self) {
        let handed_out = !self.call.withdraw();
        self.registry.close(&self.call.job.jid, self.at_most_once && handed_out);
    }
}
