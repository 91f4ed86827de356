//! The core's task: collects events into batches, at most one per quantum of the settings, passes them to the
//! decisions, and executes the returned actions.

use std::collections::{BTreeSet, VecDeque};
use std::sync::atomic::AtomicU64;
use std::sync::Arc;

use rustc_hash::FxHashMap;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{Id, JoinError, JoinSet};
use tracing::Instrument;

use super::ledger::{Attempt, Ledger};
use super::{
    Answer, AttemptResult, CallAttempt, Clock, Counters, Handle, Input, OperatorRequest, ProbeResult,
    Transport, OPERATOR_QUEUE,
};
use rookspoke_decisions::{
    Action, AttemptEnd, AttemptUpdate, Dispatcher, EndReason, Event, ListScope, LoadReport, Name, Outcome,
    Request, RequestId, Settings, SettingsError, Span, Time,
};

/// A request that the decisions left unanswered is failed this long after its deadline, early enough to reach
/// the client in time: the answer slack of the settings is at least three times as long.
const OVERDUE_DELAY: Span = Span(5_000);
/// How often the gauges are published. Operators allow them to be at most half a second old.
const GAUGE_INTERVAL: Span = Span(100_000);

/// Capacity limits of a core.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Messages that may wait in the queue.
    pub queue: usize,
    /// Requests that may be open, that is without a final answer.
    pub open_requests: usize,
}

/// What a spawned transport future belongs to.
enum Operation {
    Attempt(RequestId, usize),
    /// The log worker, and when the probe was sent.
    Probe(Name, Time),
}

enum OperationResult<R> {
    Attempt(AttemptResult<R>),
    Probe(ProbeResult),
}

/// A core whose task has not started yet.
pub struct Core<C, R> {
    inbox: mpsc::Receiver<Input<C, R>>,
    operators: mpsc::Receiver<OperatorRequest>,
    counters: Arc<Counters>,
    limits: Limits,
}

impl<C: Clone + Send + 'static, R: Send + 'static> Core<C, R> {
    /// Creates a core for requests of `classes`, and a handle to it.
    pub fn new<'a>(limits: Limits, classes: impl Iterator<Item = &'a Name>) -> (Handle<C, R>, Self) {
        let (queue, inbox) = mpsc::channel(limits.queue);
        let (operator_queue, operators) = mpsc::channel(OPERATOR_QUEUE);
        let counters = Arc::new(Counters::for_classes(classes));
        let next_id = Arc::new(AtomicU64::new(1));
        let handle = Handle { queue, operators: operator_queue, next_id, counters: counters.clone() };
        (handle, Core { inbox, operators, counters, limits })
    }

    /// Runs the task until every handle is dropped.
    pub async fn run<T>(
        self,
        settings: Settings,
        seed: u64,
        clock: Clock,
        transport: T,
    ) -> Result<(), SettingsError>
    where
        T: Transport<Call = C, Reply = R>,
    {
        let task = CoreTask {
            quantum: settings.quantum,
            max_attempts: settings.limits.max_attempts,
            dispatcher: Dispatcher::new(settings, seed)?,
            transport,
            clock,
            ledger: Ledger::new(self.counters.clone()),
            counters: self.counters,
            limits: self.limits,
            events: VecDeque::new(),
            finish_candidates: Vec::new(),
            timers: BTreeSet::new(),
            operations: FxHashMap::default(),
            tasks: JoinSet::new(),
            next_batch: Time(i64::MIN),
            ban_waiters: Vec::new(),
            known_queries: Vec::new(),
            next_publication: Time(i64::MIN),
        };
        task.run(self.inbox, self.operators).await;
        Ok(())
    }
}

struct CoreTask<T: Transport> {
    dispatcher: Dispatcher,
    transport: T,
    clock: Clock,
    counters: Arc<Counters>,
    limits: Limits,
    quantum: Span,
    max_attempts: usize,
    ledger: Ledger<T::Call, T::Reply>,
    /// Events of the next batch.
    events: VecDeque<Event>,
    /// Requests to remove from the ledger after the next batch, if they are finished by then.
    finish_candidates: Vec<RequestId>,
    timers: BTreeSet<(Time, u64)>,
    operations: FxHashMap<Id, Operation>,
    tasks: JoinSet<OperationResult<T::Reply>>,
    /// The earliest time of the next batch: batches are at least a quantum apart.
    next_batch: Time,
    /// Notified once the next batch, which contains their bans, has been processed.
    ban_waiters: Vec<oneshot::Sender<()>>,
    /// Pending operator queries whether a log worker is known.
    known_queries: Vec<(Name, oneshot::Sender<bool>)>,
    /// When the gauges are published next.
    next_publication: Time,
}

impl<T: Transport> CoreTask<T> {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<Input<T::Call, T::Reply>>,
        mut operators: mpsc::Receiver<OperatorRequest>,
    ) {
        loop {
            let until_wake = self.clock.until(self.wake_at());
            // The queue goes before the tasks: the progress of an attempt was sent before the attempt ended.
            tokio::select! {
                biased;
                Some(request) = operators.recv() => self.on_operator_request(request),
                input = inbox.recv() => match input {
                    Some(input) => self.on_input(input),
                    None => return,
                },
                Some(joined) = self.tasks.join_next_with_id() => self.on_operation_end(joined),
                () = tokio::time::sleep(until_wake) => {}
            }
            while let Ok(input) = inbox.try_recv() {
                self.on_input(input);
            }
            while let Some(joined) = self.tasks.try_join_next_with_id() {
                self.on_operation_end(joined);
            }
            let now = self.clock.now();
            let due = self.timers.first().is_some_and(|t| t.0 <= now);
            if now >= self.next_batch && (due || !self.events.is_empty()) {
                self.process_batch(now);
            }
            self.fail_overdue();
            // Answer only when no event is pending, so that a list already received is taken into account.
            if self.events.is_empty() {
                for (worker, answer) in std::mem::take(&mut self.known_queries) {
                    let _ = answer.send(self.dispatcher.knows(&worker));
                }
            }
            if now >= self.next_publication {
                self.next_publication = now + GAUGE_INTERVAL;
                self.counters.gauges.publish(self.ledger.open_requests(), self.dispatcher.worker_counts());
            }
        }
    }

    fn on_operator_request(&mut self, request: OperatorRequest) {
        match request {
            OperatorRequest::IsKnown(worker, answer) => self.known_queries.push((worker, answer)),
            OperatorRequest::SetBans(bans, done) => {
                self.events.push_back(Event::Bans(bans));
                self.ban_waiters.push(done);
            }
        }
    }

    /// When the loop has something to do next, even if no message arrives.
    fn wake_at(&self) -> Time {
        let timer = self.timers.first().map(|t| t.0);
        let batch = if self.events.is_empty() { timer } else { Some(self.next_batch) };
        let batch = batch.map(|at| at.max(self.next_batch));
        let overdue = self.ledger.next_deadline().map(|at| at + OVERDUE_DELAY);
        let publication = self.clock.now() + GAUGE_INTERVAL;
        batch.into_iter().chain(overdue).fold(publication, Time::min)
    }

    fn on_input(&mut self, input: Input<T::Call, T::Reply>) {
        match input {
            Input::Submit(id, submission, answer) => {
                if self.ledger.open_requests() >= self.limits.open_requests {
                    // The decisions never see the request, so it never runs and may be refused.
                    let _ = answer.send(self.counters.refuse_for_overload(submission.class));
                    return;
                }
                self.counters.taken.increment();
                submission.span.record("number", tracing::field::display(id));
                tracing::debug!(parent: &submission.span, "request accepted");
                self.ledger.open(
                    id,
                    submission.class,
                    submission.call,
                    submission.deadline,
                    submission.span,
                    answer,
                );
                self.events.push_back(Event::Request(Request {
                    id,
                    class: submission.class,
                    tenant: submission.tenant,
                    queue: submission.queue,
                    key: submission.key,
                    idempotency_hash: submission.idempotency_hash,
                    work: submission.work,
                    slots: submission.slots,
                    memory: submission.memory,
                    deadline: submission.deadline,
                }));
            }
            Input::ClientGone(id) => {
                if self.close(id, None) {
                    self.counters.client_gone.increment();
                }
            }
            Input::Revoke(id) => {
                self.close(id, Some(Answer::Refused { retry_after: None }));
            }
            Input::Progress(request, attempt, update) => {
                let Some(entry) = self.ledger.get_mut(request) else { return };
                // Acceptance holds for the request, even if its attempt has just been cancelled.
                let accepts = update == AttemptUpdate::Accepted;
                entry.accepted |= accepts;
                let running = entry.attempts.get(attempt).is_some_and(|attempt| attempt.abort.is_some());
                if running || accepts {
                    self.events.push_back(Event::AttemptUpdate { request, attempt, update });
                }
            }
            Input::List(scope, entries) => {
                match scope {
                    ListScope::Changes | ListScope::Complete => self.counters.lists.increment(),
                    ListScope::Failed | ListScope::Unusable | ListScope::Silent { .. } => {
                        self.counters.lists_failed.increment();
                    }
                    ListScope::Remembered | ListScope::SourceChanged => {}
                }
                self.events.push_back(Event::List { scope, entries });
            }
        }
    }

    /// Ends a request without the decisions, with its answer or because its client has left. Returns false if it had
    /// already ended.
    fn close(&mut self, id: RequestId, answer: Option<Answer<T::Reply>>) -> bool {
        let ended = self.ledger.answer(id, answer);
        if ended {
            self.finish_candidates.push(id);
            // To the decisions the request is over either way: they cancel its attempts.
            self.events.push_back(Event::ClientGone(id));
        }
        ended
    }

    /// Handles the end of a call attempt or a probe: a result, a cancellation or a panic in the transport.
    fn on_operation_end(&mut self, joined: Result<(Id, OperationResult<T::Reply>), JoinError>) {
        let id = joined.as_ref().map_or_else(JoinError::id, |(id, _)| *id);
        let Some(operation) = self.operations.remove(&id) else { return };
        let outcome_without_result = match &joined {
            Err(e) if e.is_cancelled() => Outcome::Cancelled,
            _ => Outcome::ConnectionLost,
        };
        match (operation, joined) {
            (
                Operation::Attempt(id, attempt),
                Ok((_, OperationResult::Attempt(AttemptResult { result, load }))),
            ) => self.on_attempt_end(id, attempt, result, load),
            (Operation::Attempt(id, attempt), _) => {
                self.on_attempt_end(id, attempt, Err(outcome_without_result), None)
            }
            (Operation::Probe(worker, sent), joined) => {
                let probe_result = match joined {
                    Ok((_, OperationResult::Probe(result))) => result,
                    _ => ProbeResult { outcome: outcome_without_result, load: None },
                };
                let latency = self.clock.now() - sent;
                let ProbeResult { outcome, load } = probe_result;
                self.events.push_back(Event::Probed { worker, outcome, latency, load });
            }
        }
    }

    fn on_attempt_end(
        &mut self,
        request: RequestId,
        attempt: usize,
        result: Result<T::Reply, Outcome>,
        load: Option<LoadReport>,
    ) {
        let Some(sent) = self.ledger.end_attempt(request, attempt) else { return };
        let latency = self.clock.now() - sent;
        let outcome = match result {
            // The first reply goes to the client at once, without waiting for the next batch of decisions.
            Ok(reply) => {
                self.ledger.answer(request, Some(Answer::Served(reply)));
                Outcome::Served
            }
            // No other log worker could use the request either, so it fails.
            Err(Outcome::Unusable) => {
                if self.ledger.answer(request, Some(Answer::Failed)) {
                    self.counters.unusable.increment();
                }
                Outcome::Unusable
            }
            Err(outcome) => outcome,
        };
        match outcome {
            Outcome::Served => {}
            Outcome::Cancelled => self.counters.cancelled.increment(),
            Outcome::NotSent => self.counters.not_sent.increment(),
            _ => self.counters.attempts_failed.increment(),
        }
        let entry = self.ledger.get_mut(request);
        let closed = entry.as_ref().is_none_or(|e| e.is_answered());
        if let (Some(entry), true) = (entry, outcome != Outcome::Served) {
            let ms = latency.ms();
            tracing::debug!(parent: &entry.span, attempt, ms, ?outcome, "call attempt ended without being served");
        }
        self.finish_candidates.push(request);
        let end = AttemptEnd { request, attempt, outcome, latency, closed, load };
        self.events.push_back(Event::Outcome(end));
    }

    fn process_batch(&mut self, now: Time) {
        self.next_batch = now + self.quantum;
        while let Some((at, token)) = self.timers.first().copied().filter(|t| t.0 <= now) {
            self.timers.remove(&(at, token));
            self.events.push_back(Event::Timer(token));
        }
        let mut actions = Vec::new();
        let finish_candidates = std::mem::take(&mut self.finish_candidates);
        // Events caused by the actions of this batch belong to the next one.
        for event in std::mem::take(&mut self.events) {
            tracing::trace!("{} event {event:?}", now.ms());
            self.dispatcher.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                tracing::trace!("{} action {action:?}", now.ms());
                self.execute(now, action);
            }
        }
        // Only now: the decisions may refer to an attempt by its number until they have processed its end.
        finish_candidates.into_iter().for_each(|id| self.ledger.remove_if_finished(id));
        for waiter in std::mem::take(&mut self.ban_waiters) {
            // Fails if the caller no longer waits.
            let _ = waiter.send(());
        }
    }

    fn execute(&mut self, now: Time, action: Action) {
        match action {
            Action::Send { request, worker, timeout, by } => self.send(now, request, worker, timeout, by),
            Action::Cancel { request, attempt } => {
                let entry = self.ledger.get_mut(request);
                if let Some(abort) = entry.and_then(|e| e.attempts.get(attempt)?.abort.as_ref()) {
                    abort.abort();
                }
            }
            Action::Refuse { request, retry_after, reason } => {
                self.record_answer(request, "refused", reason);
                if self.ledger.answer(request, Some(Answer::Refused { retry_after })) {
                    self.finish_candidates.push(request);
                }
            }
            Action::Fail { request, reason } => {
                self.record_answer(request, "failed", reason);
                if self.ledger.answer(request, Some(Answer::Failed)) {
                    self.finish_candidates.push(request);
                }
            }
            Action::Subscribe => self.transport.watch_list(),
            Action::FetchList => self.transport.fetch_list(),
            Action::SetTimer { at, token } => {
                self.timers.insert((at, token));
            }
            Action::Probe(worker) => {
                self.counters.probes.increment();
                let probe = self.transport.probe(worker.clone());
                let abort = self.tasks.spawn(async { OperationResult::Probe(probe.await) });
                self.operations.insert(abort.id(), Operation::Probe(worker, now));
            }
            Action::CloseIdle(worker) => self.transport.close_idle(&worker),
            Action::SendToPeer { .. } => {
                tracing::debug!("no transport between dispatchers: dropping a message to another dispatcher")
            }
            Action::Log(text) => tracing::info!("{text}"),
        }
    }

    /// Counts and logs the final answer of the decisions to a request that is still open.
    fn record_answer(&mut self, request: RequestId, answer: &str, reason: EndReason) {
        let Some(entry) = self.ledger.get_mut(request).filter(|entry| !entry.is_answered()) else { return };
        let (attempts, reason_name) = (entry.attempts.len(), reason.name());
        tracing::debug!(parent: &entry.span, attempts, reason = reason_name, "request {answer}");
        self.counters.count_reason(reason);
    }

    fn send(&mut self, now: Time, request: RequestId, worker: Name, timeout: Option<Span>, by: Time) {
        let Some(entry) = self.ledger.get_mut(request) else {
            return tracing::error!(
                "internal error: cannot send request {request}, which has already finished"
            );
        };
        let (attempt, closed) = (entry.attempts.len(), entry.is_answered());
        // The attempt is obsolete: the request was answered after the events of this batch were collected, its
        // deadline has passed, or it has used up its attempts.
        let exhausted = attempt >= self.max_attempts && !entry.accepted;
        if closed || now >= entry.deadline || exhausted {
            entry.attempts.push(Attempt { sent: now, abort: None });
            self.counters.not_sent.increment();
            let (outcome, latency) = (Outcome::NotSent, Span(0));
            let end = AttemptEnd { request, attempt, outcome, latency, closed, load: None };
            return self.events.push_back(Event::Outcome(end));
        }
        let deadline = timeout.map_or(entry.deadline, |t| entry.deadline.min(now + t));
        let call = entry.call.clone();
        if attempt > 0 {
            tracing::debug!(parent: &entry.span, attempt, %worker, "starting another call attempt");
        }
        let span = tracing::info_span!(parent: &entry.span, "attempt", attempt, %worker);
        let future =
            self.transport.send(CallAttempt { request, attempt, worker, deadline, send_by: by, call });
        let abort = self.tasks.spawn(async { OperationResult::Attempt(future.await) }.instrument(span));
        self.operations.insert(abort.id(), Operation::Attempt(request, attempt));
        entry.attempts.push(Attempt { sent: now, abort: Some(abort) });
        self.counters.sent.increment();
    }

    /// Fails requests that are still unanswered [`OVERDUE_DELAY`] after their deadline. This guarantees an answer
    /// independently of the decisions. The answer is a failure rather than a refusal, since an attempt may have
    /// run.
    fn fail_overdue(&mut self) {
        let limit = self.clock.now() - OVERDUE_DELAY;
        while let Some(id) = self.ledger.overdue(limit) {
            if let Some(entry) = self.ledger.get_mut(id) {
                let attempts = entry.attempts.len();
                tracing::warn!(
                    parent: &entry.span,
                    attempts,
                    "request unanswered after its deadline; answering it as failed"
                );
            }
            self.counters.overdue.increment();
            self.close(id, Some(Answer::Failed));
        }
    }
}
