//! The task itself: batches events by the settings' quantum, feeds them to the decisions, acts on the replies.

use std::collections::{BTreeSet, VecDeque};
use std::sync::atomic::AtomicU64;
use std::sync::Arc;

use rustc_hash::FxHashMap;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{Id, JoinError, JoinSet};
use tracing::Instrument;

use super::ledger::{Attempt, Ledger};
use super::{
    Answer, AttemptResult, CallAttempt, Clock, Counters, Handle, Input, Operator, ProbeResult, Transport,
    OPERATORS,
};
use rookspoke_decisions::{
    Action, AttemptEnd, Dispatcher, EndReason, Event, ListScope, LoadReport, Name, Outcome, Request,
    RequestId, Settings, SettingsError, Span, Time,
};

/// A request that the decisions left unanswered is failed this long after its deadline: the client still
/// hears it in time. The settings' own slack is three times as long and more.
const OVERDUE: Span = Span(5_000);
/// How old what is published of the log workers may be: well under the half second that operators allow.
const PUBLISH: Span = Span(100_000);

/// What a core may hold.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Messages waiting in the queue.
    pub queue: usize,
    /// Requests that are owed an answer.
    pub open_requests: usize,
}

enum Job {
    Attempt(RequestId, usize),
    Probe(Name, Time),
}

enum Done<R> {
    Attempt(AttemptResult<R>),
    Probe(ProbeResult),
}

/// A queue whose task has not started yet.
pub struct Core<C, R> {
    inbox: mpsc::Receiver<Input<C, R>>,
    operators: mpsc::Receiver<Operator>,
    counters: Arc<Counters>,
    limits: Limits,
}

impl<C: Clone + Send + 'static, R: Send + 'static> Core<C, R> {
    /// A queue and the way into it, for requests of these classes.
    pub fn new<'a>(limits: Limits, classes: impl Iterator<Item = &'a Name>) -> (Handle<C, R>, Self) {
        let (queue, inbox) = mpsc::channel(limits.queue);
        let (to_operators, operators) = mpsc::channel(OPERATORS);
        let counters = Arc::new(Counters::for_classes(classes));
        let next_id = Arc::new(AtomicU64::new(1));
        let handle = Handle { queue, operators: to_operators, next_id, counters: counters.clone() };
        (handle, Core { inbox, operators, counters, limits })
    }

    /// Runs the decisions until every handle is gone.
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
        let task = Task {
            quantum: settings.quantum,
            max_attempts: settings.limits.max_attempts,
            dispatcher: Dispatcher::new(settings, seed)?,
            transport,
            clock,
            ledger: Ledger::new(self.counters.clone()),
            counters: self.counters,
            limits: self.limits,
            events: VecDeque::new(),
            over: Vec::new(),
            timers: BTreeSet::new(),
            jobs: FxHashMap::default(),
            running: JoinSet::new(),
            next_batch: Time(i64::MIN),
            heard: Vec::new(),
            asked: Vec::new(),
            publish: Time(i64::MIN),
        };
        task.run(self.inbox, self.operators).await;
        Ok(())
    }
}

struct Task<T: Transport> {
    dispatcher: Dispatcher,
    transport: T,
    clock: Clock,
    counters: Arc<Counters>,
    limits: Limits,
    quantum: Span,
    max_attempts: usize,
    ledger: Ledger<T::Call, T::Reply>,
    /// What the next batch holds.
    events: VecDeque<Event>,
    /// Requests that may have ended altogether.
    over: Vec<RequestId>,
    timers: BTreeSet<(Time, u64)>,
    jobs: FxHashMap<Id, Job>,
    running: JoinSet<Done<T::Reply>>,
    /// Batches come no more often than the quantum.
    next_batch: Time,
    /// Operators who wait until the next batch is decided on.
    heard: Vec<oneshot::Sender<()>>,
    /// Log workers that operators ask about.
    asked: Vec<(Name, oneshot::Sender<bool>)>,
    /// When what is so is published next.
    publish: Time,
}

impl<T: Transport> Task<T> {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<Input<T::Call, T::Reply>>,
        mut operators: mpsc::Receiver<Operator>,
    ) {
        loop {
            let wake = self.clock.until(self.wake_at());
            // The queue comes first: news of an attempt was sent before its end.
            tokio::select! {
                biased;
                Some(call) = operators.recv() => self.hear(call),
                input = inbox.recv() => match input {
                    Some(input) => self.take(input),
                    None => return,
                },
                Some(done) = self.running.join_next_with_id() => self.end(done),
                () = tokio::time::sleep(wake) => {}
            }
            while let Ok(input) = inbox.try_recv() {
                self.take(input);
            }
            while let Some(done) = self.running.try_join_next_with_id() {
                self.end(done);
            }
            let now = self.clock.now();
            let due = self.timers.first().is_some_and(|t| t.0 <= now);
            if now >= self.next_batch && (due || !self.events.is_empty()) {
                self.batch(now);
            }
            self.fail_overdue();
            // A list that has come counts, though the decisions hear of it a moment later.
            if self.events.is_empty() {
                for (worker, answer) in std::mem::take(&mut self.asked) {
                    let _ = answer.send(self.dispatcher.knows(&worker));
                }
            }
            if now >= self.publish {
                self.publish = now + PUBLISH;
                self.counters.gauges.publish(self.ledger.open_requests(), self.dispatcher.census());
            }
        }
    }

    fn hear(&mut self, call: Operator) {
        match call {
            Operator::Knows(worker, answer) => self.asked.push((worker, answer)),
            Operator::Bans(bans, heard) => {
                self.events.push_back(Event::Bans(bans));
                self.heard.push(heard);
            }
        }
    }

    fn wake_at(&self) -> Time {
        let timer = self.timers.first().map(|t| t.0);
        let batch = if self.events.is_empty() { timer } else { Some(self.next_batch) };
        let batch = batch.map(|at| at.max(self.next_batch));
        let overdue = self.ledger.next_deadline().map(|at| at + OVERDUE);
        let idle = self.clock.now() + PUBLISH;
        batch.into_iter().chain(overdue).fold(idle, Time::min)
    }

    fn take(&mut self, input: Input<T::Call, T::Reply>) {
        match input {
            Input::Submit(id, submission, answer) => {
                if self.ledger.open_requests() >= self.limits.open_requests {
                    // Never seen by the decisions, so it never ran.
                    let _ = answer.send(self.counters.overloaded(submission.class));
                    return;
                }
                self.counters.taken.increment();
                submission.span.record("number", tracing::field::display(id));
                tracing::debug!(parent: &submission.span, "taken");
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
                    key: submission.key,
                    tag: submission.idempotency_hash,
                    work: submission.work,
                    slots: submission.slots,
                    memory: submission.memory,
                    deadline: submission.deadline,
                }));
            }
            Input::ClientGone(id) => {
                if self.ledger.answer(id, None) {
                    self.counters.client_gone.increment();
                    self.over.push(id);
                    self.events.push_back(Event::ClientGone(id));
                }
            }
            Input::Note(request, attempt, note) => {
                let entry = self.ledger.get_mut(request);
                let out = entry.and_then(|e| e.attempts.get(attempt)).is_some_and(|a| a.abort.is_some());
                if out {
                    self.events.push_back(Event::Note { request, attempt, note });
                }
            }
            Input::List(scope, entries) => {
                match scope {
                    ListScope::Changes | ListScope::Complete => self.counters.lists.increment(),
                    ListScope::Failed | ListScope::Unusable | ListScope::Silent { .. } => {
                        self.counters.lists_failed.increment();
                    }
                    ListScope::Remembered | ListScope::Moved => {}
                }
                self.events.push_back(Event::List { scope, entries });
            }
        }
    }

    /// A call attempt or a probe is over, by its own account, called off, or by a panic in the transport.
    fn end(&mut self, done: Result<(Id, Done<T::Reply>), JoinError>) {
        let id = done.as_ref().map_or_else(JoinError::id, |d| d.0);
        let Some(job) = self.jobs.remove(&id) else { return };
        let lost = match &done {
            Err(e) if e.is_cancelled() => Outcome::Cancelled,
            _ => Outcome::ConnectionLost,
        };
        match (job, done) {
            (Job::Attempt(id, attempt), Ok((_, Done::Attempt(ended)))) => {
                self.end_attempt(id, attempt, ended.result, ended.load)
            }
            (Job::Attempt(id, attempt), _) => self.end_attempt(id, attempt, Err(lost), None),
            (Job::Probe(worker, sent), done) => {
                let probed = match done {
                    Ok((_, Done::Probe(probed))) => probed,
                    _ => ProbeResult { outcome: lost, load: None },
                };
                let latency = self.clock.now() - sent;
                let ProbeResult { outcome, load } = probed;
                self.events.push_back(Event::Probed { worker, outcome, latency, load });
            }
        }
    }

    fn end_attempt(
        &mut self,
        request: RequestId,
        attempt: usize,
        result: Result<T::Reply, Outcome>,
        load: Option<LoadReport>,
    ) {
        let Some(sent) = self.ledger.end_attempt(request, attempt) else { return };
        let latency = self.clock.now() - sent;
        let outcome = match result {
            // The first answer goes to the client at once, past the decisions.
            Ok(reply) => {
                self.ledger.answer(request, Some(Answer::Served(reply)));
                Outcome::Served
            }
            // No other log worker can use it either, so this is the end.
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
        let closed = entry.as_ref().is_none_or(|e| e.answered());
        if let (Some(entry), true) = (entry, outcome != Outcome::Served) {
            let ms = latency.ms();
            tracing::debug!(parent: &entry.span, attempt, ms, ?outcome, "an attempt ended");
        }
        self.over.push(request);
        let end = AttemptEnd { request, attempt, outcome, latency, closed, load };
        self.events.push_back(Event::Outcome(end));
    }

    fn batch(&mut self, now: Time) {
        self.next_batch = now + self.quantum;
        while let Some((at, token)) = self.timers.first().copied().filter(|t| t.0 <= now) {
            self.timers.remove(&(at, token));
            self.events.push_back(Event::Timer(token));
        }
        let mut actions = Vec::new();
        let over = std::mem::take(&mut self.over);
        // What the actions of this batch lead to belongs to the next one.
        for event in std::mem::take(&mut self.events) {
            tracing::trace!("{} event {event:?}", now.ms());
            self.dispatcher.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                tracing::trace!("{} action {action:?}", now.ms());
                self.act(now, action);
            }
        }
        // Not before: until the decisions have heard of the end, they may count on the attempts' numbers.
        over.into_iter().for_each(|id| self.ledger.forget_if_done(id));
        for heard in std::mem::take(&mut self.heard) {
            // Whoever asked may have left.
            let _ = heard.send(());
        }
    }

    fn act(&mut self, now: Time, action: Action) {
        match action {
            Action::Send { request, worker, timeout, by } => self.send(now, request, worker, timeout, by),
            Action::Cancel { request, attempt } => {
                let entry = self.ledger.get_mut(request);
                if let Some(abort) = entry.and_then(|e| e.attempts.get(attempt)?.abort.as_ref()) {
                    abort.abort();
                }
            }
            Action::Refuse { request, retry_after, reason } => {
                self.concluded(request, "refused", reason);
                if self.ledger.answer(request, Some(Answer::Refused { retry_after })) {
                    self.over.push(request);
                }
            }
            Action::Fail { request, reason } => {
                self.concluded(request, "failed", reason);
                if self.ledger.answer(request, Some(Answer::Failed)) {
                    self.over.push(request);
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
                let abort = self.running.spawn(async { Done::Probe(probe.await) });
                self.jobs.insert(abort.id(), Job::Probe(worker, now));
            }
            Action::CloseIdle(worker) => self.transport.close_idle(&worker),
            Action::Tell { .. } => tracing::debug!("dispatchers have no way to talk: a message is dropped"),
            Action::Log(text) => tracing::info!("{text}"),
        }
    }

    /// Counts and logs a final answer of the decisions with its reason.
    fn concluded(&mut self, request: RequestId, answer: &str, reason: EndReason) {
        let Some(entry) = self.ledger.get_mut(request).filter(|entry| !entry.answered()) else { return };
        let (attempts, reason_name) = (entry.attempts.len(), reason.name());
        tracing::debug!(parent: &entry.span, attempts, reason = reason_name, "the decisions: {answer}");
        self.counters.concluded(reason);
    }

    fn send(&mut self, now: Time, request: RequestId, worker: Name, timeout: Option<Span>, by: Time) {
        let Some(entry) = self.ledger.get_mut(request) else {
            return tracing::error!("the decisions sent request {request}, which is long over");
        };
        let (attempt, closed) = (entry.attempts.len(), entry.answered());
        // Moot, if it was answered since this batch's events were fixed.
        if closed || now >= entry.deadline || attempt >= self.max_attempts {
            entry.attempts.push(Attempt { sent: now, abort: None });
            self.counters.not_sent.increment();
            let (outcome, latency) = (Outcome::NotSent, Span(0));
            let end = AttemptEnd { request, attempt, outcome, latency, closed, load: None };
            return self.events.push_back(Event::Outcome(end));
        }
        let deadline = timeout.map_or(entry.deadline, |t| entry.deadline.min(now + t));
        let call = entry.call.clone();
        if attempt > 0 {
            tracing::debug!(parent: &entry.span, attempt, %worker, "sent again");
        }
        let span = tracing::info_span!(parent: &entry.span, "attempt", attempt, %worker);
        let future =
            self.transport.send(CallAttempt { request, attempt, worker, deadline, send_by: by, call });
        let abort = self.running.spawn(async { Done::Attempt(future.await) }.instrument(span));
        self.jobs.insert(abort.id(), Job::Attempt(request, attempt));
        entry.attempts.push(Attempt { sent: now, abort: Some(abort) });
        self.counters.sent.increment();
    }

    /// A promise of its own: whatever the decisions do, no request outlives its deadline unanswered. It is
    /// failed, not refused, since an attempt may have run.
    fn fail_overdue(&mut self) {
        let limit = self.clock.now() - OVERDUE;
        while let Some(id) = self.ledger.overdue(limit) {
            if let Some(entry) = self.ledger.get_mut(id) {
                let attempts = entry.attempts.len();
                tracing::warn!(parent: &entry.span, attempts, "left unanswered past its deadline; it is failed");
            }
            self.counters.overdue.increment();
            self.ledger.answer(id, Some(Answer::Failed));
            self.over.push(id);
            self.events.push_back(Event::ClientGone(id));
        }
    }
}
