//! Checks of the four rules that every policy must keep. They judge observed events, not a policy's own account, and
//! share no code with the decisions, so that a mistake in one doesn't hide the same mistake in the other.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rookspoke_decisions::{Effect, Outcome, Span, Time};

/// A rule that holds throughout a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each accepted job gets exactly one final answer, no later than the slack after its deadline.
    OneAnswer,
    /// A job that may have run is sent again or refused only if its class allows it.
    NoDuplicate,
    /// No attempt goes to a log worker later than the grace period after the dispatcher was notified of its drain.
    CleanDrain,
    /// Dispatchers that were notified of a log worker's start don't overload it in slow start.
    GentleStart,
}

/// Every rule, for reports that list them all.
pub const RULES: [Rule; 4] = [Rule::OneAnswer, Rule::NoDuplicate, Rule::CleanDrain, Rule::GentleStart];

impl Rule {
    /// Name of the rule in reports.
    pub fn name(self) -> &'static str {
        match self {
            Rule::OneAnswer => "one answer",
            Rule::NoDuplicate => "no duplicate",
            Rule::CleanDrain => "clean drain",
            Rule::GentleStart => "gentle start",
        }
    }
}

/// Limits that the rules are checked against.
#[derive(Clone, Copy, Debug)]
pub struct RuleLimits {
    /// Time after the deadline within which a final answer still counts as in time.
    pub answer_slack: Span,
    /// Time after the notification of a drain within which attempts may still be sent.
    pub drain_grace: Span,
    /// A log worker in slow start is overloaded if the work that arrives within the overload window exceeds this multiple
    /// of the work that its present capacity completes in that time.
    pub overload_multiple: f64,
    /// Length of the sliding window over which arriving work is summed.
    pub overload_window: Span,
    /// A job must not have two pending attempts at once.
    pub forbid_parallel_attempts: bool,
}

/// Share of the work that dispatchers notified of the start must have sent for an overload to be a violation.
const NOTIFIED_SHARE: f64 = 2.0 / 3.0;
/// How long a job is kept after its deadline, to recognise late events.
const JOB_RETENTION: Span = Span(60_000_000);
/// Factor by which the overload rule allows the budget to be exceeded by chance.
const OVERLOAD_TOLERANCE: f64 = 1.05;

#[derive(Clone, Debug)]
struct Job {
    effect: Effect,
    deadline: Time,
    answered: bool,
    /// Exempt from an answer: its client left, or its dispatcher died or could not answer.
    released: bool,
    /// For each attempt: `None` while it is pending, then whether it may have run.
    attempts: Vec<Option<bool>>,
}

/// Work that reached a log worker in slow start.
#[derive(Clone, Copy, Debug)]
struct WorkArrival {
    at: Time,
    work: f64,
    /// Its sender was notified of the log worker's start.
    sender_notified: bool,
}

/// Observes the events of a run and counts violations of each rule.
#[derive(Clone, Debug)]
pub struct InvariantChecker {
    limits: RuleLimits,
    jobs: BTreeMap<u64, Job>,
    /// Jobs whose deadline and slack haven't passed, answered or not, by deadline.
    deadlines: BTreeSet<(Time, u64)>,
    /// Jobs whose deadline has passed, removed after the retention time.
    expired: VecDeque<(Time, u64)>,
    /// For each dispatcher and log worker out of service: when the dispatcher was first notified of the drain or end.
    out_of_service: BTreeMap<(usize, usize), Time>,
    arrivals: BTreeMap<usize, Vec<WorkArrival>>,
    violations: BTreeMap<Rule, u64>,
    first_violations: Vec<String>,
}

/// Number of violations that are kept as text.
const MAX_VIOLATION_TEXTS: usize = 5;

impl InvariantChecker {
    /// Creates a checker that has observed no events.
    pub fn new(limits: RuleLimits) -> Self {
        InvariantChecker {
            limits,
            jobs: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            expired: VecDeque::new(),
            out_of_service: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            violations: BTreeMap::new(),
            first_violations: Vec::new(),
        }
    }

    fn record(&mut self, rule: Rule, at: Time, description: String) {
        *self.violations.entry(rule).or_default() += 1;
        if self.first_violations.len() < MAX_VIOLATION_TEXTS {
            self.first_violations.push(format!("{:.3} s: {}: {description}", at.ms() / 1000.0, rule.name()));
        }
    }

    /// Number of violations of a rule so far.
    pub fn violations(&self, rule: Rule) -> u64 {
        self.violations.get(&rule).copied().unwrap_or(0)
    }

    /// Descriptions of the first violations.
    pub fn first_violations(&self) -> &[String] {
        &self.first_violations
    }

    /// Records that a dispatcher accepted a job.
    pub fn job_accepted(&mut self, id: u64, effect: Effect, deadline: Time) {
        self.deadlines.insert((deadline, id));
        self.jobs
            .insert(id, Job { effect, deadline, answered: false, released: false, attempts: Vec::new() });
    }

    /// Records that a dispatcher sent an attempt, and checks the drain, duplicate and answer rules.
    pub fn attempt_sent(&mut self, now: Time, dispatcher: usize, worker: usize, id: u64) {
        if let Some(since) = self.out_of_service.get(&(dispatcher, worker)) {
            if now - *since > self.limits.drain_grace {
                let late = (now - *since).ms();
                let grace = self.limits.drain_grace.ms();
                let description = format!(
                    "dispatcher {dispatcher} sent job {id} to log worker {worker} {late} ms after the notice of its \
                     drain or end; expected within {grace} ms"
                );
                self.record(Rule::CleanDrain, now, description);
            }
        }
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let pending = job.attempts.iter().filter(|attempt| attempt.is_none()).count();
        // A pending attempt counts too, since it isn't known that it never ran.
        let may_have_run = job.attempts.iter().any(|attempt| *attempt != Some(false));
        let answered = job.answered && !job.released;
        let duplicate = job.effect == Effect::Unsafe && may_have_run;
        job.attempts.push(None);
        if duplicate || (self.limits.forbid_parallel_attempts && pending > 0) {
            self.record(
                Rule::NoDuplicate,
                now,
                format!("job {id} was sent again while an earlier attempt was pending or may have run"),
            );
        }
        if answered {
            self.record(Rule::OneAnswer, now, format!("job {id} was sent after its final answer"));
        }
    }

    /// Records the outcome of an attempt. Rejections, failed connections and attempts never sent prove that it never ran.
    pub fn attempt_ended(&mut self, id: u64, attempt: usize, outcome: Outcome) {
        let never_ran = matches!(outcome, Outcome::TurnedAway | Outcome::NoConnection | Outcome::NotSent);
        if let Some(state) = self.jobs.get_mut(&id).and_then(|job| job.attempts.get_mut(attempt)) {
            *state = Some(!never_ran);
        }
    }

    /// Records the final answer to a client, and checks the answer and duplicate rules.
    pub fn job_answered(&mut self, now: Time, id: u64, refused: bool) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let (twice, late) =
            (job.answered && !job.released, !job.released && now > job.deadline + self.limits.answer_slack);
        job.answered = true;
        let may_have_run =
            job.effect == Effect::Unsafe && job.attempts.iter().any(|attempt| *attempt != Some(false));
        if twice || late {
            let what = if twice { "answered twice" } else { "answered after its deadline" };
            self.record(Rule::OneAnswer, now, format!("job {id} was {what}"));
        }
        if refused && may_have_run {
            self.record(Rule::NoDuplicate, now, format!("job {id} was refused although it may have run"));
        }
    }

    /// Exempts a job from an answer: its client left, or its dispatcher died or could not answer.
    pub fn job_released(&mut self, id: u64) {
        if let Some(job) = self.jobs.get_mut(&id) {
            (job.answered, job.released) = (true, true);
        }
    }

    /// Reports unanswered jobs whose deadline and slack have passed, and removes old jobs.
    pub fn check_overdue(&mut self, now: Time) {
        let limit = now - self.limits.answer_slack;
        while let Some((deadline, id)) = self.deadlines.first().copied().filter(|first| first.0 < limit) {
            self.deadlines.remove(&(deadline, id));
            let Some(job) = self.jobs.get(&id) else { continue };
            if !job.answered {
                self.job_released(id);
                self.record(Rule::OneAnswer, now, format!("job {id} got no answer by its deadline"));
            }
            // Its attempts end by the deadline as well, so no event refers to it after the retention time.
            self.expired.push_back((deadline, id));
        }
        let oldest = now - JOB_RETENTION;
        while let Some((_, id)) = self.expired.front().copied().filter(|first| first.0 < oldest) {
            self.expired.pop_front();
            self.jobs.remove(&id);
        }
    }

    /// Records that a dispatcher was notified whether a log worker is in service.
    pub fn worker_listed(&mut self, now: Time, dispatcher: usize, worker: usize, in_service: bool) {
        match in_service {
            true => drop(self.out_of_service.remove(&(dispatcher, worker))),
            // The grace period starts at the first notification; repetitions don't extend it.
            false => drop(self.out_of_service.entry((dispatcher, worker)).or_insert(now)),
        }
    }

    /// Records work, in core-seconds, that reaches a log worker in slow start. `sender_notified` says whether its sender
    /// was notified of the start; `capacity` is the work that the log worker completes in a second at present. Returns
    /// true if the work overloads it, and checks whether notified senders are the cause.
    pub fn work_arrived(
        &mut self,
        now: Time,
        worker: usize,
        work: f64,
        sender_notified: bool,
        capacity: f64,
    ) -> bool {
        let arrivals = self.arrivals.entry(worker).or_default();
        arrivals.push(WorkArrival { at: now, work, sender_notified });
        let window_start = now - self.limits.overload_window;
        arrivals.retain(|arrival| arrival.at > window_start);
        let total: f64 = arrivals.iter().map(|arrival| arrival.work).sum();
        let notified: f64 =
            arrivals.iter().filter(|arrival| arrival.sender_notified).map(|arrival| arrival.work).sum();
        let budget = self.limits.overload_multiple * capacity * self.limits.overload_window.secs();
        // A single job may exceed the budget, since it can't be divided.
        let overloaded = arrivals.len() > 1 && total > budget * OVERLOAD_TOLERANCE;
        if overloaded {
            self.arrivals.remove(&worker);
            if notified >= NOTIFIED_SHARE * total {
                let description = format!(
                    "log worker {worker} received {total:.1} core-seconds of work in slow start, {notified:.1} of them from \
                     dispatchers notified of its start; its budget is {budget:.1}"
                );
                self.record(Rule::GentleStart, now, description);
            }
        }
        overloaded
    }

    /// Records a new process of a log worker. Work sent to the previous process no longer counts.
    pub fn worker_restarted(&mut self, worker: usize) {
        self.arrivals.remove(&worker);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LIMITS: RuleLimits = RuleLimits {
        answer_slack: Span(16_000),
        drain_grace: Span(500_000),
        overload_multiple: 3.0,
        overload_window: Span(3_000_000),
        forbid_parallel_attempts: false,
    };

    fn at(ms: i64) -> Time {
        Time(ms * 1000)
    }

    fn violations(checker: &InvariantChecker) -> Vec<u64> {
        RULES.iter().map(|rule| checker.violations(*rule)).collect()
    }

    #[test]
    fn a_pending_attempt_may_have_run() {
        let mut checker = InvariantChecker::new(LIMITS);
        checker.job_accepted(1, Effect::Unsafe, at(1000));
        checker.attempt_sent(at(0), 0, 0, 1);
        checker.attempt_ended(1, 0, Outcome::TurnedAway);
        checker.attempt_sent(at(1), 0, 1, 1);
        assert_eq!(violations(&checker), [0, 0, 0, 0]);
        checker.job_answered(at(2), 1, true);
        assert_eq!(violations(&checker), [0, 1, 0, 0]);
    }

    #[test]
    fn safe_jobs_may_be_repeated_and_refused() {
        let mut checker = InvariantChecker::new(LIMITS);
        checker.job_accepted(1, Effect::Safe, at(1000));
        checker.attempt_sent(at(0), 0, 0, 1);
        checker.attempt_sent(at(1), 0, 1, 1);
        checker.job_answered(at(2), 1, true);
        assert_eq!(violations(&checker), [0, 0, 0, 0]);
        checker.job_answered(at(3), 1, false);
        assert_eq!(violations(&checker), [1, 0, 0, 0], "a second answer");
    }

    #[test]
    fn drain_grace_starts_at_the_first_notification() {
        let mut checker = InvariantChecker::new(LIMITS);
        checker.worker_listed(at(0), 0, 7, false);
        checker.worker_listed(at(400), 0, 7, false);
        checker.attempt_sent(at(500), 0, 7, 1);
        checker.attempt_sent(at(600), 1, 7, 2);
        assert_eq!(
            violations(&checker),
            [0, 0, 0, 0],
            "within the grace period, and a dispatcher that was not notified"
        );
        checker.attempt_sent(at(501), 0, 7, 3);
        assert_eq!(violations(&checker), [0, 0, 1, 0]);
        checker.worker_listed(at(700), 0, 7, true);
        checker.attempt_sent(at(5000), 0, 7, 4);
        assert_eq!(violations(&checker), [0, 0, 1, 0]);
    }

    #[test]
    fn work_beyond_the_budget_within_the_window_overloads_a_worker() {
        let mut checker = InvariantChecker::new(LIMITS);
        // The budget is 3 x 1 x 3 = 9 core-seconds within 3 s.
        assert!(!checker.work_arrived(at(0), 0, 5.0, true, 1.0));
        assert!(!checker.work_arrived(at(10), 0, 4.0, true, 1.0));
        assert!(checker.work_arrived(at(20), 0, 2.0, true, 1.0));
        assert_eq!(violations(&checker), [0, 0, 0, 1]);
        // Work that arrives more slowly stays within the budget.
        let mut checker = InvariantChecker::new(LIMITS);
        for n in 0..10 {
            assert!(!checker.work_arrived(at(n * 1500), 0, 4.0, true, 1.0));
        }
        // An overload caused by senders that were not notified is not a violation.
        let mut checker = InvariantChecker::new(LIMITS);
        assert!(!checker.work_arrived(at(0), 0, 5.0, false, 1.0));
        assert!(checker.work_arrived(at(1), 0, 5.0, true, 1.0));
        assert_eq!(violations(&checker), [0, 0, 0, 0]);
    }

    #[test]
    fn an_unanswered_job_is_reported_once() {
        let mut checker = InvariantChecker::new(LIMITS);
        checker.job_accepted(1, Effect::Safe, at(1000));
        checker.check_overdue(at(1016));
        assert_eq!(violations(&checker), [0, 0, 0, 0]);
        checker.check_overdue(at(1017));
        checker.check_overdue(at(2000));
        assert_eq!(violations(&checker), [1, 0, 0, 0]);
    }
}
