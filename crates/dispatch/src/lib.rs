//! The dispatcher core. One task owns a [`rookspoke_decisions::Dispatcher`], receives every event through a
//! bounded queue, and carries out the actions that the decisions return. The core does no network I/O itself: a
//! front supplies the [`Transport`].

mod clock;
mod counters;
mod ledger;
mod task;

use std::future::Future;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use tokio::sync::mpsc::{self, OwnedPermit};
use tokio::sync::oneshot;
use tracing::Span;

pub use clock::Clock;
pub use counters::{ClassCounters, Counter, Counters, Gauge, Gauges};
pub use task::{Core, Limits};

use rookspoke_decisions::{
    AttemptUpdate, Ban, ClassId, ListScope, Listing, LoadReport, Name, Outcome, RequestId, TenantId, Time,
};

/// A request that a front submits: what the decisions need to know of it, and the call that its transport sends.
#[derive(Debug)]
pub struct Submission<C> {
    /// Index of the class in the settings.
    pub class: ClassId,
    /// The tenant, if the settings define tenants.
    pub tenant: Option<TenantId>,
    /// The queue that the request waits in, if the front has queues.
    pub queue: Option<Name>,
    /// The key that requests about the same subject share.
    pub key: Option<Name>,
    /// Hash of the idempotency key, which all tries of a keyed request share.
    pub idempotency_hash: Option<u64>,
    /// The client's estimate of the work, if it gave one.
    pub work: Option<rookspoke_decisions::Span>,
    /// Slots that the request occupies on a log worker.
    pub slots: f64,
    /// Memory units that the request occupies on a log worker.
    pub memory: f64,
    /// When the client stops waiting.
    pub deadline: Time,
    /// Passed unread to the transport with each call attempt.
    pub call: C,
    /// Tracing span with the front's own fields, made by [`request_span`].
    pub span: Span,
}

/// Creates the tracing span of a request, with the id that its client gave it and its class. The field `number`
/// is the core's own id and is filled in when the request is accepted. Each call attempt gets a child span with
/// its number and its log worker.
pub fn request_span(id: &str, class: &str) -> Span {
    tracing::info_span!("request", id, class, number = tracing::field::Empty)
}

/// The final answer to a request.
#[derive(Debug, PartialEq)]
pub enum Answer<R> {
    /// A log worker served the request; its reply.
    Served(R),
    /// Status "unavailable": the request never ran, or running it again does no harm.
    Refused {
        /// How long the client should wait before it retries, if the decisions give a time.
        retry_after: Option<rookspoke_decisions::Span>,
    },
    /// The request failed and may have run.
    Failed,
}

/// One call attempt, as passed to a transport.
#[derive(Debug)]
pub struct CallAttempt<C> {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt within its request, from 0.
    pub attempt: usize,
    /// The log worker to send to.
    pub worker: Name,
    /// When to stop waiting for the reply.
    pub deadline: Time,
    /// The attempt must not be sent after this time.
    pub send_by: Time,
    /// The call that the front submitted.
    pub call: C,
}

/// The result of a call attempt.
#[derive(Debug)]
pub struct AttemptResult<R> {
    /// The log worker's reply, or why there is none.
    pub result: Result<R, Outcome>,
    /// The load report that came with the reply, if any.
    pub load: Option<LoadReport>,
}

impl<R> From<Outcome> for AttemptResult<R> {
    fn from(outcome: Outcome) -> Self {
        AttemptResult { result: Err(outcome), load: None }
    }
}

/// The result of a probe.
#[derive(Debug)]
pub struct ProbeResult {
    /// How the probe ended.
    pub outcome: Outcome,
    /// The load report that came with the reply, if any.
    pub load: Option<LoadReport>,
}

/// Carries out the actions of the decisions. The methods return at once; the returned futures do the work, and
/// dropping one cancels its attempt.
pub trait Transport: Send + 'static {
    /// The call that a request sends to a log worker.
    type Call: Clone + Send + 'static;
    /// A log worker's reply to a call.
    type Reply: Send + 'static;

    /// Starts a call attempt. Immediately before sending, the future checks again that the log worker still
    /// accepts work, that the client is still connected, and that the attempt is not too late.
    fn send(
        &mut self,
        attempt: CallAttempt<Self::Call>,
    ) -> impl Future<Output = AttemptResult<Self::Reply>> + Send + 'static;
    /// Starts a probe of a log worker.
    fn probe(&mut self, worker: Name) -> impl Future<Output = ProbeResult> + Send + 'static;
    /// Starts watching the list of log workers; an existing watch is started anew.
    fn watch_list(&mut self);
    /// Fetches the whole list once.
    fn fetch_list(&mut self);
    /// Closes the idle connections to a log worker.
    fn close_idle(&mut self, worker: &Name);
}

/// A message to the core's task.
#[derive(Debug)]
enum Input<C, R> {
    Submit(RequestId, Submission<C>, oneshot::Sender<Answer<R>>),
    ClientGone(RequestId),
    Revoke(RequestId),
    Progress(RequestId, usize, AttemptUpdate),
    List(ListScope, Arc<[Listing]>),
}

/// An operator's request to the core's task. These have a queue of their own, so that a burst of client
/// requests does not delay them.
#[derive(Debug)]
enum OperatorRequest {
    IsKnown(Name, oneshot::Sender<bool>),
    SetBans(Arc<[Ban]>, oneshot::Sender<()>),
}

/// Length of the queue of operator requests.
const OPERATOR_QUEUE: usize = 16;

/// Submits requests and events to a core.
#[derive(Debug)]
pub struct Handle<C, R> {
    queue: mpsc::Sender<Input<C, R>>,
    operators: mpsc::Sender<OperatorRequest>,
    next_id: Arc<AtomicU64>,
    counters: Arc<Counters>,
}

impl<C, R> Clone for Handle<C, R> {
    fn clone(&self) -> Self {
        Handle {
            queue: self.queue.clone(),
            operators: self.operators.clone(),
            next_id: self.next_id.clone(),
            counters: self.counters.clone(),
        }
    }
}

/// Notifies the core on drop that the client is gone, unless its answer came first. The queue slot for this
/// message is reserved in advance, since `drop` cannot wait for one.
struct ClientGoneGuard<C, R>(Option<(RequestId, OwnedPermit<Input<C, R>>)>);

impl<C, R> Drop for ClientGoneGuard<C, R> {
    fn drop(&mut self) {
        if let Some((id, permit)) = self.0.take() {
            permit.send(Input::ClientGone(id));
        }
    }
}

impl<C: Send + 'static, R: Send + 'static> Handle<C, R> {
    /// Submits a request and waits for its final answer. Dropping the future tells the core that the client left.
    pub async fn submit(&self, submission: Submission<C>) -> Answer<R> {
        self.submit_revocable(submission, std::future::pending()).await
    }

    /// Like [`Handle::submit`], but the request is refused once `revoked` completes. The front makes sure that none of
    /// its call attempts has run or can run then.
    pub async fn submit_revocable(
        &self,
        submission: Submission<C>,
        revoked: impl Future<Output = ()>,
    ) -> Answer<R> {
        let id = RequestId(self.next_id.fetch_add(1, Ordering::Relaxed));
        let (answer, mut answered) = oneshot::channel();
        let permits = (self.queue.clone().try_reserve_owned(), self.queue.clone().try_reserve_owned());
        // The queue is full. Nothing was accepted and nothing ran, so the request may be refused.
        let (Ok(submit_permit), Ok(gone_permit)) = permits else {
            return self.counters.refuse_for_overload(submission.class);
        };
        submit_permit.send(Input::Submit(id, submission, answer));
        let mut guard = ClientGoneGuard(Some((id, gone_permit)));
        let answer = tokio::select! {
            biased;
            answer = &mut answered => answer,
            () = revoked => {
                let _ = self.queue.send(Input::Revoke(id)).await;
                answered.await
            }
        };
        guard.0 = None;
        // The core ended before it answered, so it is unknown whether the request ran.
        answer.unwrap_or(Answer::Failed)
    }

    /// Reports the progress of a call attempt.
    pub async fn report_progress(&self, request: RequestId, attempt: usize, update: AttemptUpdate) {
        let _ = self.queue.send(Input::Progress(request, attempt, update)).await;
    }

    /// Passes on entries of the list of log workers, or the state of its source.
    pub async fn update_list(&self, scope: ListScope, entries: Arc<[Listing]>) {
        let _ = self.queue.send(Input::List(scope, entries)).await;
    }

    /// Whether a log worker is listed or banned.
    pub async fn is_known(&self, worker: &str) -> bool {
        let (answer, answered) = oneshot::channel();
        let _ = self.operators.send(OperatorRequest::IsKnown(worker.into(), answer)).await;
        answered.await.unwrap_or(false)
    }

    /// Replaces the set of operator bans and waits until it is in effect.
    pub async fn set_bans(&self, bans: Arc<[Ban]>) {
        let (done, in_effect) = oneshot::channel();
        let _ = self.operators.send(OperatorRequest::SetBans(bans, done)).await;
        // Fails if the core has ended; it then sends no attempts that a ban would have to stop.
        let _ = in_effect.await;
    }

    /// The core's counters and gauges.
    pub fn counters(&self) -> &Arc<Counters> {
        &self.counters
    }
}
