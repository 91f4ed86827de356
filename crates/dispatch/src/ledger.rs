//! Which requests are open, their call attempts, and that each gets exactly one final answer.

use std::collections::BTreeSet;
use std::sync::Arc;

use rustc_hash::FxHashMap;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use super::{Answer, Counters};
use rookspoke_decisions::{ClassId, RequestId, Time};

pub struct Attempt {
    pub sent: Time,
    /// Calls the attempt off; gone once it has ended.
    pub abort: Option<AbortHandle>,
}

pub struct Entry<C, R> {
    pub call: C,
    class: ClassId,
    pub deadline: Time,
    pub attempts: Vec<Attempt>,
    /// What logs say of it.
    pub span: tracing::Span,
    answer: Option<oneshot::Sender<Answer<R>>>,
}

impl<C, R> Entry<C, R> {
    pub fn answered(&self) -> bool {
        self.answer.is_none()
    }
}

pub struct Ledger<C, R> {
    entries: FxHashMap<RequestId, Entry<C, R>>,
    deadlines: BTreeSet<(Time, RequestId)>,
    open: usize,
    counters: Arc<Counters>,
}

impl<C, R> Ledger<C, R> {
    /// An empty one, which counts the answers.
    pub fn new(counters: Arc<Counters>) -> Self {
        Ledger { entries: FxHashMap::default(), deadlines: BTreeSet::new(), open: 0, counters }
    }

    /// Requests that are still owed an answer.
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
        answer: oneshot::Sender<Answer<R>>,
    ) {
        let answer = Some(answer);
        self.entries.insert(id, Entry { call, class, deadline, attempts: Vec::new(), span, answer });
        self.deadlines.insert((deadline, id));
        self.open += 1;
    }

    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Entry<C, R>> {
        self.entries.get_mut(&id)
    }

    /// Ends a request with its answer, or without one where the client has left. False when it had ended
    /// before: nothing is said twice.
    pub fn answer(&mut self, id: RequestId, answer: Option<Answer<R>>) -> bool {
        let Some(entry) = self.entries.get_mut(&id) else { return false };
        let Some(to) = entry.answer.take() else { return false };
        self.deadlines.remove(&(entry.deadline, id));
        self.open -= 1;
        if let Some(answer) = answer {
            self.counters.answered(entry.class, &answer);
            // A client that left in this very moment is told of by its own guard.
            let _ = to.send(answer);
        }
        true
    }

    /// Marks an attempt as ended; none if it had ended before or never was.
    pub fn end_attempt(&mut self, id: RequestId, attempt: usize) -> Option<Time> {
        let attempt = self.entries.get_mut(&id)?.attempts.get_mut(attempt)?;
        attempt.abort.take().map(|_| attempt.sent)
    }

    pub fn forget_if_done(&mut self, id: RequestId) {
        let done = |e: &Entry<C, R>| e.answered() && e.attempts.iter().all(|a| a.abort.is_none());
        if self.entries.get(&id).is_some_and(done) {
            self.entries.remove(&id);
        }
    }

    /// The first request whose deadline lies before `now`.
    pub fn overdue(&self, now: Time) -> Option<RequestId> {
        self.deadlines.first().filter(|d| d.0 < now).map(|d| d.1)
    }

    pub fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|d| d.0)
    }
}
