//! The core: one task owns a [`rookspoke_decisions::Dispatcher`], hears of everything through a bounded queue, and carries out
//! what the decisions ask for. It knows no wire; a front supplies the [`Transport`].

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
    Ban, ClassId, ListScope, Listing, LoadReport, Name, Note, Outcome, RequestId, TenantId, Time,
};

/// What a front asks for: the part of a request that the decisions need, and what its transport carries.
#[derive(Debug)]
pub struct Submission<C> {
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are any.
    pub tenant: Option<TenantId>,
    /// What it is about.
    pub key: Option<Name>,
    /// What a keyed request has in common with its client's other tries: a hash of its idempotency key.
    pub idempotency_hash: Option<u64>,
    /// Its work, where its client gave a guess.
    pub work: Option<rookspoke_decisions::Span>,
    /// Slots it takes.
    pub slots: f64,
    /// Memory units it takes.
    pub memory: f64,
    /// When its client gives up.
    pub deadline: Time,
    /// What a call attempt carries; the core hands it on unread.
    pub call: C,
    /// What the front knows of it, for logs: see [`request_span`].
    pub span: Span,
}

/// The span of a request: the id that its client gave it, its class, and the core's own number for it, which
/// comes once it is taken. Each call attempt has a span within it, with its own number and its log worker.
pub fn request_span(id: &str, class: &str) -> Span {
    tracing::info_span!("request", id, class, number = tracing::field::Empty)
}

/// The final answer to a request.
#[derive(Debug, PartialEq)]
pub enum Answer<R> {
    /// A log worker served it.
    Served(R),
    /// The unavailable status: it never ran, or running it again does no harm.
    Refused {
        /// When to come back, where the decisions say.
        retry_after: Option<rookspoke_decisions::Span>,
    },
    /// It failed, and may have run.
    Failed,
}

/// One call attempt, as a transport gets it.
#[derive(Debug)]
pub struct CallAttempt<C> {
    /// The request.
    pub request: RequestId,
    /// Which of its attempts, from 0.
    pub attempt: usize,
    /// The log worker.
    pub worker: Name,
    /// When to stop waiting.
    pub deadline: Time,
    /// When it must have gone out, or not at all.
    pub send_by: Time,
    /// What the request carries.
    pub call: C,
}

/// How a call attempt ended.
#[derive(Debug)]
pub struct AttemptResult<R> {
    /// What the log worker gave, or why it gave nothing.
    pub result: Result<R, Outcome>,
    /// The log worker's load, if it came along.
    pub load: Option<LoadReport>,
}

impl<R> From<Outcome> for AttemptResult<R> {
    fn from(outcome: Outcome) -> Self {
        AttemptResult { result: Err(outcome), load: None }
    }
}

/// How a probe ended.
#[derive(Debug)]
pub struct ProbeResult {
    /// How.
    pub outcome: Outcome,
    /// The log worker's load, if it came along.
    pub load: Option<LoadReport>,
}

/// What carries the decisions out. Its calls return at once; the futures do the work, and dropping one
/// calls its attempt off.
pub trait Transport: Send + 'static {
    /// What a request carries to a log worker.
    type Call: Clone + Send + 'static;
    /// What a log worker gives for it.
    type Reply: Send + 'static;

    /// Starts a call attempt. The future checks again, when it comes to sending, that the log worker still
    /// takes work, that the client is still there, and that the attempt is not too late.
    fn send(
        &mut self,
        attempt: CallAttempt<Self::Call>,
    ) -> impl Future<Output = AttemptResult<Self::Reply>> + Send + 'static;
    /// Starts a probe.
    fn probe(&mut self, worker: Name) -> impl Future<Output = ProbeResult> + Send + 'static;
    /// Starts following the list of log workers, again if it is followed already.
    fn watch_list(&mut self);
    /// Asks for the whole list once.
    fn fetch_list(&mut self);
    /// Closes idle connections to a log worker.
    fn close_idle(&mut self, worker: &Name);
}

/// What the task hears.
#[derive(Debug)]
enum Input<C, R> {
    Submit(RequestId, Submission<C>, oneshot::Sender<Answer<R>>),
    ClientGone(RequestId),
    Note(RequestId, usize, Note),
    List(ListScope, Arc<[Listing]>),
}

/// What operators ask of the task. It has a queue of its own: no crowd of requests is before it.
#[derive(Debug)]
enum Operator {
    Knows(Name, oneshot::Sender<bool>),
    Bans(Arc<[Ban]>, oneshot::Sender<()>),
}

/// Calls of operators that wait, at most.
const OPERATORS: usize = 16;

/// The way into a core's queue.
#[derive(Debug)]
pub struct Handle<C, R> {
    queue: mpsc::Sender<Input<C, R>>,
    operators: mpsc::Sender<Operator>,
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

/// Tells the core that the client is gone, unless its answer came first. The room in the queue for this is
/// taken beforehand: a drop cannot wait for it.
struct GoneGuard<C, R>(Option<(RequestId, OwnedPermit<Input<C, R>>)>);

impl<C, R> Drop for GoneGuard<C, R> {
    fn drop(&mut self) {
        if let Some((id, room)) = self.0.take() {
            room.send(Input::ClientGone(id));
        }
    }
}

impl<C: Send + 'static, R: Send + 'static> Handle<C, R> {
    /// Hands in a request and waits for its final answer. Dropping the future means the client left.
    pub async fn submit(&self, submission: Submission<C>) -> Answer<R> {
        let id = RequestId(self.next_id.fetch_add(1, Ordering::Relaxed));
        let (answer, answered) = oneshot::channel();
        let rooms = (self.queue.clone().try_reserve_owned(), self.queue.clone().try_reserve_owned());
        // The queue is full: nothing was taken and nothing ran, so this may be refused.
        let (Ok(room), Ok(gone)) = rooms else {
            return self.counters.overloaded(submission.class);
        };
        room.send(Input::Submit(id, submission, answer));
        let mut guard = GoneGuard(Some((id, gone)));
        let answer = answered.await;
        guard.0 = None;
        // The core ended with the request in hand: nobody can tell whether it ran.
        answer.unwrap_or(Answer::Failed)
    }

    /// Passes on news of a call attempt.
    pub async fn report_progress(&self, request: RequestId, attempt: usize, note: Note) {
        let _ = self.queue.send(Input::Note(request, attempt, note)).await;
    }

    /// Passes on news of the list.
    pub async fn update_list(&self, scope: ListScope, entries: Arc<[Listing]>) {
        let _ = self.queue.send(Input::List(scope, entries)).await;
    }

    /// Whether a log worker is listed, or taken out by hand.
    pub async fn is_known(&self, worker: &str) -> bool {
        let (answer, answered) = oneshot::channel();
        let _ = self.operators.send(Operator::Knows(worker.into(), answer)).await;
        answered.await.unwrap_or(false)
    }

    /// Says all that operators have taken out by hand, and waits until it holds.
    pub async fn set_bans(&self, bans: Arc<[Ban]>) {
        let (done, heard) = oneshot::channel();
        let _ = self.operators.send(Operator::Bans(bans, done)).await;
        // A core that has ended sends nothing any more.
        let _ = heard.await;
    }

    /// The running totals.
    pub fn counters(&self) -> &Arc<Counters> {
        &self.counters
    }
}
