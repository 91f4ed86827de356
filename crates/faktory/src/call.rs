//! A pushed job on its way to a consumer, and whether its producer may still be told that it is not accepted.

use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::oneshot;

use super::codec::Job;

/// What the producer of a job has been told of it.
#[derive(Debug)]
enum Acceptance {
    /// Nothing yet: its PUSH has no reply. The channel tells that the job has been accepted.
    Pending(oneshot::Sender<()>),
    /// A consumer has fetched the job, so the reply is +OK.
    Accepted,
    /// The reply is an error, or the producer left without a reply. No consumer may get the job any more.
    Withdrawn,
}

/// A job as the core passes it to the transport. All clones share the acceptance of the job.
///
/// Acceptance and withdrawal exclude each other: a job is accepted only once a consumer gets it, and none gets a job
/// that has been withdrawn.
#[derive(Clone, Debug)]
pub struct Call {
    pub job: Arc<Job>,
    acceptance: Arc<Mutex<Acceptance>>,
}

impl Call {
    /// A call whose job is not accepted yet. The receiver completes once it is.
    pub fn new(job: Job) -> (Self, oneshot::Receiver<()>) {
        let (sender, accepted) = oneshot::channel();
        let acceptance = Arc::new(Mutex::new(Acceptance::Pending(sender)));
        (Call { job: Arc::new(job), acceptance }, accepted)
    }

    /// Accepts the job, since a consumer is about to get it; false if it has been withdrawn.
    pub fn accept(&self) -> bool {
        self.settle(Acceptance::Accepted)
    }

    /// Withdraws the job: from now on no consumer gets it. False if one has got it already.
    pub fn withdraw(&self) -> bool {
        !self.settle(Acceptance::Withdrawn)
    }

    /// Whether the job is accepted: its producer hears nothing more of it.
    pub fn is_accepted(&self) -> bool {
        let acceptance = self.acceptance.lock().unwrap_or_else(PoisonError::into_inner);
        matches!(*acceptance, Acceptance::Accepted)
    }

    /// Settles a pending acceptance as `settled`; one that is settled stays. Returns whether the job is accepted.
    fn settle(&self, settled: Acceptance) -> bool {
        let mut acceptance = self.acceptance.lock().unwrap_or_else(PoisonError::into_inner);
        if matches!(*acceptance, Acceptance::Pending(_)) {
            let pending = std::mem::replace(&mut *acceptance, settled);
            if let (Acceptance::Pending(sender), Acceptance::Accepted) = (pending, &*acceptance) {
                // Fails if the producer's connection has just ended.
                let _ = sender.send(());
            }
        }
        matches!(*acceptance, Acceptance::Accepted)
    }
}
