//! The ledger of open requests and their call attempts. It ensures that each request gets exactly one final
//! answer.

use std::collections::BTreeSet;
use std::sync::Arc;

use rustc_hash::FxHashMap;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use super::{Answer, Counters};
use rookspoke_decisions::{ClassId, RequestId, Time};

pub struct Attempt {
    pub sent: Time,
    /// Cancels the attempt; `None` once it has ended.
    pub abort: Option<AbortHandle>,
}

pub struct Entry<C, R> {
    pub call: C,
    class: ClassId,
    pub deadline: Time,
    pub attempts: Vec<Attempt>,
    /// Its client has been told that it is accepted, and hears nothing more of it.
    pub accepted: bool,
    /// The parent span of all log lines about the request.
    pub span: tracing::Span,
    /// Where the final answer goes; `None` once the request has ended.
    answer_sender: Option<oneshot::Sender<Answer<R>>>,
}

impl<C, R> Entry<C, R> {
    /// Whether the request has ended, with an answer or because its client left.
    pub fn is_answered(&self) -> bool {
        self.answer_sender.is_none()
    }
}

pub struct Ledger<C, R> {
    entries: FxHashMap<RequestId, Entry<C, R>>,
    /// The deadlines of unanswered requests.
    deadlines: BTreeSet<(Time, RequestId)>,
    open: usize,
    counters: Arc<Counters>,
}

impl<C, R> Ledger<C, R> {
    /// An empty ledger that counts final answers in `counters`.
    pub fn new(counters: Arc<Counters>) -> Self {
        Ledger { entries: FxHashMap::default(), deadlines: BTreeSet::new(), open: 0, counters }
    }

    /// The number of requests without a final answer.
    pub fn open_requests(&self) -> usize {
        self.open
    }

    pub fn open(
        &mut self,
        id: RequestId,
        class: ClassId,
        call: C,
        deadline: Time,
        span: tracing::Span,
        answer_sender: oneshot::Sender<Answer<R>>,
    ) {
        let answer_sender = Some(answer_sender);
        self.entries.insert(
            id,
            Entry { call, class, deadline, attempts: Vec::new(), accepted: false, span, answer_sender },
        );
        self.deadlines.insert((deadline, id));
        self.open += 1;
    }

    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Entry<C, R>> {
        self.entries.get_mut(&id)
    }

    /// Ends a request with its answer, or with `None` if its client has left. Returns false, and does nothing,
    /// if the request had already ended.
    pub fn answer(&mut self, id: RequestId, answer: Option<Answer<R>>) -> bool {
        let Some(entry) = self.entries.get_mut(&id) else { return false };
        let Some(sender) = entry.answer_sender.take() else { return false };
        self.deadlines.remove(&(entry.deadline, id));
        self.open -= 1;
        if let Some(answer) = answer {
            self.counters.count_answer(entry.class, &answer);
            // Fails if the client has just left; its `ClientGoneGuard` reports that.
            let _ = sender.send(answer);
        }
        true
    }

    /// Marks an attempt as ended and returns when it was sent; `None` if it had already ended or does not exist.
    pub fn end_attempt(&mut self, id: RequestId, attempt: usize) -> Option<Time> {
        let attempt = self.entries.get_mut(&id)?.attempts.get_mut(attempt)?;
        attempt.abort.take().map(|_| attempt.sent)
    }

    /// Removes a request that is answered and has no running attempt.
    pub fn remove_if_finished(&mut self, id: RequestId) {
        let finished = |e: &Entry<C, R>| e.is_answered() && e.attempts.iter().all(|a| a.abort.is_none());
        if self.entries.get(&id).is_some_and(finished) {
            self.entries.remove(&id);
        }
    }

    /// The unanswered request with the earliest deadline, if that lies before `now`.
    pub fn overdue(&self, now: Time) -> Option<RequestId> {
        self.deadlines.first().filter(|d| d.0 < now).map(|d| d.1)
    }

    pub fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|d| d.0)
    }
}
