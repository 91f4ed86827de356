//! Open requests, their attempts, and when each is looked at next.

use std::collections::{BTreeSet, VecDeque};

use rustc_hash::FxHashMap;

use crate::api::*;
use crate::worker::{KeyHash, WorkerId};

/// The workers that share what they remember of a keyed request.
#[derive(Clone, Debug, PartialEq)]
pub enum DedupGroup {
    All,
    Zone(Name),
    Cell(u64),
    /// No group is known: the worker alone.
    Single(WorkerId),
}

/// What is known of one attempt's end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptState {
    /// No outcome yet.
    Pending,
    /// It is proven that it never ran.
    NeverRan,
    /// It ran, or nobody knows.
    MayHaveRun,
}

#[derive(Clone, Debug)]
pub struct Attempt {
    pub worker: WorkerId,
    pub sent: Time,
    pub peers: DedupGroup,
    pub state: AttemptState,
    pub started: Option<Time>,
    /// When the worker last told how far it is, from the start on.
    heard: Option<Time>,
    pub cancelled: bool,
}

impl Attempt {
    pub fn new(worker: WorkerId, sent: Time, peers: DedupGroup) -> Self {
        Attempt {
            worker,
            sent,
            peers,
            state: AttemptState::Pending,
            started: None,
            heard: None,
            cancelled: false,
        }
    }
}

/// One request from its arrival until its last attempt is back.
#[derive(Clone, Debug)]
pub struct Job {
    pub id: RequestId,
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    pub key: Option<KeyHash>,
    tag: Option<u64>,
    /// An earlier try of its client that may have run: who drops its repeat, and when it was sent first.
    before: Option<(DedupGroup, Time)>,
    pub work: Option<Span>,
    pub slots: f64,
    pub memory: f64,
    pub arrived: Time,
    pub deadline: Time,
    pub over_share: bool,
    pub streaming: bool,
    pub ended: bool,
    pub attempts: Vec<Attempt>,
    /// When this job is looked at again, as filed in [`Book::due`].
    due: Option<Time>,
}

impl Job {
    pub fn new(r: Request, key: Option<KeyHash>, over_share: bool, now: Time) -> Self {
        Job {
            id: r.id,
            class: r.class,
            tenant: r.tenant,
            key,
            tag: r.idempotency_hash,
            before: None,
            work: r.work,
            slots: r.slots,
            memory: r.memory,
            arrived: now,
            deadline: r.deadline,
            over_share,
            streaming: false,
            ended: false,
            attempts: Vec::new(),
            due: None,
        }
    }
    pub fn pending_attempts(&self) -> usize {
        self.attempts.iter().filter(|a| a.state == AttemptState::Pending).count()
    }
    /// What may have run, earlier tries of its client included: who drops its repeat, and when it was sent.
    pub fn possible_runs(&self) -> impl Iterator<Item = (&DedupGroup, Time)> {
        let attempts = self.attempts.iter().filter(|a| a.state != AttemptState::NeverRan);
        let before = self.before.iter().map(|(peers, sent)| (peers, *sent));
        before.chain(attempts.map(|a| (&a.peers, a.sent)))
    }
    pub fn may_have_run(&self) -> bool {
        self.possible_runs().next().is_some()
    }
    /// Until when a repeat that takes so long to arrive is dropped, where workers drop repeats for a time; none if
    /// nothing may have run.
    pub fn repeat_deadline(&self, effect: Effect, reach: Span) -> Option<Time> {
        let Effect::Keyed { window, .. } = effect else { return None };
        self.possible_runs().map(|(_, sent)| sent + (window - reach)).min()
    }
    /// As it will be once all that is out is called off.
    pub fn assume_cancelled(&mut self) {
        self.attempts
            .iter_mut()
            .filter(|a| a.state == AttemptState::Pending)
            .for_each(|a| a.state = AttemptState::MayHaveRun);
    }
    /// When a worker that runs it will have been silent for `patience`, if that is more than nothing.
    pub fn silent_at(&self, patience: Span) -> Option<Time> {
        let out = self
            .attempts
            .iter()
            .filter(|a| a.state == AttemptState::Pending && !a.cancelled && patience.0 > 0);
        out.filter_map(|a| Some(a.heard? + patience)).min()
    }
    pub fn tried(&self, worker: WorkerId) -> bool {
        self.attempts.iter().any(|a| a.worker == worker)
    }
}

/// Requests, and when each is looked at next.
#[derive(Default)]
pub struct Requests {
    jobs: FxHashMap<RequestId, Job>,
    due: BTreeSet<(Time, RequestId)>,
    /// What may have run of requests that are over, by their tags, the oldest first.
    ran: FxHashMap<u64, (DedupGroup, Time)>,
    tags: VecDeque<u64>,
}

/// Tags remembered: minutes of a dispatcher's keyed requests.
const MAX_REMEMBERED_RUNS: usize = 4096;

impl Requests {
    pub fn get(&self, id: RequestId) -> Option<&Job> {
        self.jobs.get(&id)
    }
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Job> {
        self.jobs.get_mut(&id)
    }
    pub fn open(&mut self, mut job: Job) {
        if let Some(tag) = job.tag {
            let open = || self.jobs.values().filter(|other| other.tag == Some(tag));
            let out = || open().flat_map(Job::possible_runs).map(|(peers, sent)| (peers.clone(), sent));
            job.before = self.ran.get(&tag).cloned().or_else(|| out().min_by_key(|ran| ran.1));
        }
        self.jobs.insert(job.id, job);
    }
    /// Keeps what may have run of a request that is over.
    fn remember(&mut self, job: &Job) {
        let first = job.possible_runs().min_by_key(|ran| ran.1).map(|(peers, sent)| (peers.clone(), sent));
        let (Some(tag), Some(first)) = (job.tag, first) else { return };
        if self.ran.insert(tag, first).is_none() {
            self.tags.push_back(tag);
        }
        if self.tags.len() > MAX_REMEMBERED_RUNS {
            self.tags.pop_front().and_then(|tag| self.ran.remove(&tag));
        }
    }
    /// Files the next look at a job, replacing the earlier one.
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
    /// Marks the attempts that are out as called off, or only those not started, and names the newly marked.
    pub fn mark_cancelled(&mut self, id: RequestId, started_too: bool) -> Vec<usize> {
        let Some(job) = self.jobs.get_mut(&id).filter(|j| !j.streaming) else { return Vec::new() };
        let marked = |a: &&mut Attempt| {
            a.state == AttemptState::Pending && !a.cancelled && (started_too || a.started.is_none())
        };
        let mut which = Vec::new();
        for (at, a) in job.attempts.iter_mut().enumerate() {
            if marked(&a) {
                a.cancelled = true;
                which.push(at);
            }
        }
        which
    }
    /// Takes what a worker tells of an attempt; returns the worker and when it was sent to, if it has just started.
    pub fn on_update(
        &mut self,
        id: RequestId,
        attempt: usize,
        update: AttemptUpdate,
        now: Time,
    ) -> Option<(WorkerId, Time)> {
        let a = self.jobs.get_mut(&id)?.attempts.get_mut(attempt)?;
        let starts = update == AttemptUpdate::Started && a.started.is_none();
        a.started = a.started.or(starts.then_some(now));
        a.heard = a.started.map(|_| now);
        starts.then_some((a.worker, a.sent))
    }
    /// The answer streams: from now on the request has no deadline.
    pub fn on_stream_started(&mut self, id: RequestId) {
        if let Some(job) = self.jobs.get_mut(&id).filter(|j| !j.attempts.is_empty()) {
            job.streaming = true;
            self.schedule(id, None);
        }
    }
    /// Drops a job that has ended and has no attempt out.
    pub fn close_if_done(&mut self, id: RequestId) {
        if self.jobs.get(&id).is_some_and(|j| j.ended && j.pending_attempts() == 0) {
            self.schedule(id, None);
            if let Some(job) = self.jobs.remove(&id) {
                self.remember(&job);
            }
        }
    }
}
