//! Open requests, their attempts, and when each request is due for its next check.

use std::collections::{BTreeSet, VecDeque};

use rustc_hash::FxHashMap;

use crate::api::*;
use crate::exclusion::TriedWorkers;
use crate::worker::{KeyHash, WorkerId};

/// The workers among which a repeat of a keyed request is recognised and discarded.
#[derive(Clone, Debug, PartialEq)]
pub enum DedupGroup {
    All,
    Zone(Name),
    Cell(u64),
    /// The worker's cell is unknown, so only this worker recognises a repeat.
    Single(WorkerId),
}

/// What is known about whether an attempt ran.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptState {
    /// There is no outcome yet.
    Pending,
    /// The outcome proves that it did not run.
    NeverRan,
    /// It ran, or it is unknown whether it did.
    MayHaveRun,
}

#[derive(Clone, Debug)]
pub struct Attempt {
    pub worker: WorkerId,
    pub sent: Time,
    /// The workers that discard a repeat of this attempt.
    pub group: DedupGroup,
    pub state: AttemptState,
    pub started: Option<Time>,
    /// When the worker's last message on it arrived, since its start.
    last_update: Option<Time>,
    pub cancelled: bool,
}

impl Attempt {
    pub fn new(worker: WorkerId, sent: Time, group: DedupGroup) -> Self {
        Attempt {
            worker,
            sent,
            group,
            state: AttemptState::Pending,
            started: None,
            last_update: None,
            cancelled: false,
        }
    }
}

/// A request, from its arrival until all its attempts have ended.
#[derive(Clone, Debug)]
pub struct Job {
    pub id: RequestId,
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    pub queue: Option<Name>,
    pub key: Option<KeyHash>,
    idempotency_hash: Option<u64>,
    /// The first attempt of its client's earlier tries that may have run: the workers that discard its repeat, and
    /// when it was sent.
    earlier_run: Option<(DedupGroup, Time)>,
    pub work: Option<Span>,
    pub slots: f64,
    pub memory: f64,
    pub arrived: Time,
    pub deadline: Time,
    pub over_share: bool,
    pub streaming: bool,
    /// Its client has been told that the job is accepted, and cannot be told of a refusal any more.
    pub accepted: bool,
    pub ended: bool,
    pub attempts: Vec<Attempt>,
    pub tried: TriedWorkers,
    /// When this job is checked next, as entered in [`Requests::due`].
    due: Option<Time>,
}

impl Job {
    pub fn new(request: Request, key: Option<KeyHash>, over_share: bool, now: Time) -> Self {
        Job {
            id: request.id,
            class: request.class,
            tenant: request.tenant,
            queue: request.queue,
            key,
            idempotency_hash: request.idempotency_hash,
            earlier_run: None,
            work: request.work,
            slots: request.slots,
            memory: request.memory,
            arrived: now,
            deadline: request.deadline,
            over_share,
            streaming: false,
            accepted: false,
            ended: false,
            attempts: Vec::new(),
            tried: TriedWorkers::default(),
            due: None,
        }
    }
    pub fn pending_attempts(&self) -> usize {
        self.attempts.iter().filter(|a| a.state == AttemptState::Pending).count()
    }
    /// All attempts that may have run, including those of its client's earlier tries: the workers that discard a
    /// repeat, and when the attempt was sent.
    pub fn possible_runs(&self) -> impl Iterator<Item = (&DedupGroup, Time)> {
        let attempts = self.attempts.iter().filter(|a| a.state != AttemptState::NeverRan);
        let earlier = self.earlier_run.iter().map(|(group, sent)| (group, *sent));
        earlier.chain(attempts.map(|a| (&a.group, a.sent)))
    }
    pub fn may_have_run(&self) -> bool {
        self.possible_runs().next().is_some()
    }
    /// Whether one of its attempts may have run at this worker.
    pub fn may_have_run_at(&self, worker: WorkerId) -> bool {
        self.attempts.iter().any(|a| a.worker == worker && a.state != AttemptState::NeverRan)
    }
    /// Until when a repeat may be sent that arrives within `transit` and is still discarded by workers. None if the
    /// class is not keyed or no attempt may have run.
    pub fn repeat_deadline(&self, effect: Effect, transit: Span) -> Option<Time> {
        let Effect::Keyed { window, .. } = effect else { return None };
        self.possible_runs().map(|(_, sent)| sent + (window - transit)).min()
    }
    /// Sets the pending attempts to the state that they will have after they are cancelled.
    pub fn assume_cancelled(&mut self) {
        self.attempts
            .iter_mut()
            .filter(|a| a.state == AttemptState::Pending)
            .for_each(|a| a.state = AttemptState::MayHaveRun);
    }
    /// When a worker that runs the job will have sent no update for `timeout`. None if `timeout` is 0.
    pub fn silent_at(&self, timeout: Span) -> Option<Time> {
        let pending = self
            .attempts
            .iter()
            .filter(|a| a.state == AttemptState::Pending && !a.cancelled && timeout.0 > 0);
        pending.filter_map(|a| Some(a.last_update? + timeout)).min()
    }
}

/// All open requests in the order of their next checks, and what is remembered of finished ones.
#[derive(Default)]
pub struct Requests {
    jobs: FxHashMap<RequestId, Job>,
    due: BTreeSet<(Time, RequestId)>,
    /// For finished keyed requests, by their idempotency hashes: their first attempt that may have run.
    finished_runs: FxHashMap<u64, (DedupGroup, Time)>,
    /// The hashes in `finished_runs`, the oldest first.
    finished_order: VecDeque<u64>,
}

/// Number of finished keyed requests that are remembered: those of some minutes at one dispatcher.
const MAX_REMEMBERED_RUNS: usize = 4096;

impl Requests {
    pub fn get(&self, id: RequestId) -> Option<&Job> {
        self.jobs.get(&id)
    }
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Job> {
        self.jobs.get_mut(&id)
    }
    pub fn open(&mut self, mut job: Job) {
        if let Some(hash) = job.idempotency_hash {
            let same_key = || self.jobs.values().filter(|other| other.idempotency_hash == Some(hash));
            let open_runs =
                || same_key().flat_map(Job::possible_runs).map(|(group, sent)| (group.clone(), sent));
            let finished = self.finished_runs.get(&hash).cloned();
            job.earlier_run = finished.or_else(|| open_runs().min_by_key(|run| run.1));
        }
        self.jobs.insert(job.id, job);
    }
    /// Remembers the first attempt of a finished request that may have run, and forgets the oldest beyond the limit.
    fn remember(&mut self, job: &Job) {
        let first = job.possible_runs().min_by_key(|run| run.1).map(|(group, sent)| (group.clone(), sent));
        let (Some(hash), Some(first)) = (job.idempotency_hash, first) else { return };
        if self.finished_runs.insert(hash, first).is_none() {
            self.finished_order.push_back(hash);
        }
        if self.finished_order.len() > MAX_REMEMBERED_RUNS {
            self.finished_order.pop_front().and_then(|hash| self.finished_runs.remove(&hash));
        }
    }
    /// Sets the time of a job's next check, replacing the earlier one. None removes it.
    pub fn schedule(&mut self, id: RequestId, at: Option<Time>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if let Some(old) = job.due.take() {
            self.due.remove(&(old, id));
        }
        job.due = at;
        if let Some(at) = at {
            self.due.insert((at, id));
        }
    }
    pub fn next_due(&self) -> Option<Time> {
        self.due.first().map(|d| d.0)
    }
    pub fn pop_due(&mut self, now: Time) -> Option<RequestId> {
        let (at, id) = *self.due.first()?;
        if at > now {
            return None;
        }
        self.schedule(id, None);
        Some(id)
    }
    /// Marks pending attempts as cancelled, with `started_too` false only those that have not started. Returns the
    /// numbers of those that were not marked before. A request whose answer streams is left alone.
    pub fn mark_cancelled(&mut self, id: RequestId, started_too: bool) -> Vec<usize> {
        let Some(job) = self.jobs.get_mut(&id).filter(|j| !j.streaming) else { return Vec::new() };
        let to_cancel = |a: &&mut Attempt| {
            a.state == AttemptState::Pending && !a.cancelled && (started_too || a.started.is_none())
        };
        let mut numbers = Vec::new();
        for (number, a) in job.attempts.iter_mut().enumerate() {
            if to_cancel(&a) {
                a.cancelled = true;
                numbers.push(number);
            }
        }
        numbers
    }
    /// Records a worker's message on an attempt. If the attempt has just started, returns its worker and when it was
    /// sent.
    pub fn on_update(
        &mut self,
        id: RequestId,
        attempt: usize,
        update: AttemptUpdate,
        now: Time,
    ) -> Option<(WorkerId, Time)> {
        let job = self.jobs.get_mut(&id)?;
        // Acceptance holds for the job, even if the attempt has just been given up.
        job.accepted |= update == AttemptUpdate::Accepted;
        let a = job.attempts.get_mut(attempt).filter(|a| a.state == AttemptState::Pending)?;
        let running = matches!(update, AttemptUpdate::Started | AttemptUpdate::Accepted);
        let starts = running && a.started.is_none();
        a.started = a.started.or(starts.then_some(now));
        a.last_update = a.started.map(|_| now);
        starts.then_some((a.worker, a.sent))
    }
    /// Records that a streamed answer has started: the request has no deadline and no further checks.
    pub fn on_stream_started(&mut self, id: RequestId) {
        if let Some(job) = self.jobs.get_mut(&id).filter(|j| !j.attempts.is_empty()) {
            job.streaming = true;
            self.schedule(id, None);
        }
    }
    /// Removes a job that has ended and has no pending attempts.
    pub fn close_if_done(&mut self, id: RequestId) {
        if self.jobs.get(&id).is_some_and(|j| j.ended && j.pending_attempts() == 0) {
            self.schedule(id, None);
            if let Some(job) = self.jobs.remove(&id) {
                self.remember(&job);
            }
        }
    }
}
