//! The four rules, checked from outside: by what happened, not by what a policy says. Written apart from the
//! decisions, so that a mistake in one is not in the other.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rookspoke_decisions::{Effect, Outcome, Span, Time};

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each job that was taken gets exactly one final answer, in time.
    OneAnswer,
    /// What may have run is repeated or refused only as its class allows.
    NoDuplicate,
    /// Nothing new to a log worker later than the grace after its drain was told.
    CleanDrain,
    /// No cold log worker is pushed over by those who know that it is cold.
    GentleStart,
}

/// All of them.
pub const RULES: [Rule; 4] = [Rule::OneAnswer, Rule::NoDuplicate, Rule::CleanDrain, Rule::GentleStart];

impl Rule {
    /// Its name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Rule::OneAnswer => "one answer",
            Rule::NoDuplicate => "no duplicate",
            Rule::CleanDrain => "clean drain",
            Rule::GentleStart => "gentle start",
        }
    }
}

/// The limits of the rules.
#[derive(Clone, Copy, Debug)]
pub struct RuleLimits {
    /// How long after the deadline an answer still counts.
    pub answer_slack: Span,
    /// How long after a drain was told sends may go on.
    pub drain_grace: Span,
    /// A cold log worker falls when sent more than this times what it can do at present,
    pub overload_multiple: f64,
    /// within this time.
    pub overload_window: Span,
    /// No two attempts of a job at once.
    pub forbid_parallel_attempts: bool,
}

/// The part of the work that those told of a start must have sent, for the fall to be theirs.
const NOTIFIED_SHARE: f64 = 2.0 / 3.0;
/// How long a job is remembered after its deadline.
const JOB_RETENTION: Span = Span(60_000_000);
/// The slack for chance that the fall-over rule grants.
const OVERLOAD_TOLERANCE: f64 = 1.05;

#[derive(Clone, Debug)]
struct Job {
    effect: Effect,
    deadline: Time,
    answered: bool,
    /// Nothing is owed to its client any more.
    left: bool,
    /// For each attempt: none while it is out, then whether it may have run.
    attempts: Vec<Option<bool>>,
}

#[derive(Clone, Copy, Debug)]
struct Load {
    at: Time,
    work: f64,
    told: bool,
}

/// Hears what happens, and counts what breaks a rule.
#[derive(Clone, Debug)]
pub struct InvariantChecker {
    limits: RuleLimits,
    jobs: BTreeMap<u64, Job>,
    /// Jobs by their deadlines, answered or not.
    deadlines: BTreeSet<(Time, u64)>,
    /// Those whose time is up, to be forgotten in a while.
    over: VecDeque<(Time, u64)>,
    /// For each dispatcher and log worker: when it was told of the drain or the end that holds now.
    told: BTreeMap<(usize, usize), Time>,
    loads: BTreeMap<usize, Vec<Load>>,
    broken: BTreeMap<Rule, u64>,
    first: Vec<String>,
}

/// The most sentences that are kept about what broke.
const MAX_VIOLATION_TEXTS: usize = 5;

impl InvariantChecker {
    /// A checker that has heard of nothing.
    pub fn new(limits: RuleLimits) -> Self {
        InvariantChecker {
            limits,
            jobs: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            over: VecDeque::new(),
            told: BTreeMap::new(),
            loads: BTreeMap::new(),
            broken: BTreeMap::new(),
            first: Vec::new(),
        }
    }

    fn record(&mut self, rule: Rule, at: Time, what: String) {
        *self.broken.entry(rule).or_default() += 1;
        if self.first.len() < MAX_VIOLATION_TEXTS {
            self.first.push(format!("{:.3} s: {}: {what}", at.ms() / 1000.0, rule.name()));
        }
    }

    /// How often a rule was broken.
    pub fn violations(&self, rule: Rule) -> u64 {
        self.broken.get(&rule).copied().unwrap_or(0)
    }

    /// What broke first, in words.
    pub fn first_violations(&self) -> &[String] {
        &self.first
    }

    /// A dispatcher took a job.
    pub fn job_accepted(&mut self, id: u64, effect: Effect, deadline: Time) {
        self.deadlines.insert((deadline, id));
        self.jobs.insert(id, Job { effect, deadline, answered: false, left: false, attempts: Vec::new() });
    }

    /// A dispatcher sends an attempt.
    pub fn attempt_sent(&mut self, now: Time, dispatcher: usize, worker: usize, id: u64) {
        if let Some(since) = self.told.get(&(dispatcher, worker)) {
            if now - *since > self.limits.drain_grace {
                let late = (now - *since).ms();
                self.record(Rule::CleanDrain, now, format!("sent to {worker}, told {late} ms before"));
            }
        }
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let out = job.attempts.iter().filter(|a| a.is_none()).count();
        // Of an attempt that is still out, too, nobody knows that it never ran.
        let ran = job.attempts.iter().any(|a| *a != Some(false));
        let answered = job.answered && !job.left;
        let twice = job.effect == Effect::Unsafe && ran;
        job.attempts.push(None);
        if twice || (self.limits.forbid_parallel_attempts && out > 0) {
            self.record(Rule::NoDuplicate, now, format!("job {id} was sent again"));
        }
        if answered {
            self.record(Rule::OneAnswer, now, format!("job {id} was sent after its answer"));
        }
    }

    /// An attempt ended.
    pub fn attempt_ended(&mut self, id: u64, attempt: usize, outcome: Outcome) {
        let never = matches!(outcome, Outcome::TurnedAway | Outcome::NoConnection | Outcome::NotSent);
        if let Some(place) = self.jobs.get_mut(&id).and_then(|job| job.attempts.get_mut(attempt)) {
            *place = Some(!never);
        }
    }

    /// A client got its final answer.
    pub fn job_answered(&mut self, now: Time, id: u64, refused: bool) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let (twice, late) =
            (job.answered && !job.left, !job.left && now > job.deadline + self.limits.answer_slack);
        job.answered = true;
        let ran = job.effect == Effect::Unsafe && job.attempts.iter().any(|a| *a != Some(false));
        if twice || late {
            let what = if twice { "answered twice" } else { "answered after its deadline" };
            self.record(Rule::OneAnswer, now, format!("job {id} was {what}"));
        }
        if refused && ran {
            self.record(Rule::NoDuplicate, now, format!("job {id} may have run and was refused"));
        }
    }

    /// A job was left by its client, or by the dispatcher that held it and died: nothing is owed.
    pub fn job_released(&mut self, id: u64) {
        if let Some(job) = self.jobs.get_mut(&id) {
            (job.answered, job.left) = (true, true);
        }
    }

    /// Looks for jobs whose time is up.
    pub fn check_overdue(&mut self, now: Time) {
        let limit = now - self.limits.answer_slack;
        while let Some((deadline, id)) = self.deadlines.first().copied().filter(|first| first.0 < limit) {
            self.deadlines.remove(&(deadline, id));
            let Some(job) = self.jobs.get(&id) else { continue };
            if !job.answered {
                self.job_released(id);
                self.record(Rule::OneAnswer, now, format!("job {id} got no answer"));
            }
            // Its attempts end by then, too, so nobody asks about it any more.
            self.over.push_back((deadline, id));
        }
        let old = now - JOB_RETENTION;
        while let Some((_, id)) = self.over.front().copied().filter(|first| first.0 < old) {
            self.over.pop_front();
            self.jobs.remove(&id);
        }
    }

    /// A dispatcher was told that a log worker takes work, or that it does not.
    pub fn worker_listed(&mut self, now: Time, dispatcher: usize, worker: usize, takes_work: bool) {
        match takes_work {
            true => drop(self.told.remove(&(dispatcher, worker))),
            // The first word counts, not its repetition.
            false => drop(self.told.entry((dispatcher, worker)).or_insert(now)),
        }
    }

    /// Work reaches a cold log worker: seconds of a core, and whether its sender knew of the start. `capacity` is
    /// what the log worker does in a second at present. True where this pushes it over.
    pub fn work_arrived(&mut self, now: Time, worker: usize, work: f64, told: bool, capacity: f64) -> bool {
        let loads = self.loads.entry(worker).or_default();
        loads.push(Load { at: now, work, told });
        let from = now - self.limits.overload_window;
        loads.retain(|load| load.at > from);
        let all: f64 = loads.iter().map(|load| load.work).sum();
        let known: f64 = loads.iter().filter(|load| load.told).map(|load| load.work).sum();
        let budget = self.limits.overload_multiple * capacity * self.limits.overload_window.secs();
        // One job alone may be larger than the budget; nobody can send half of it.
        let falls = loads.len() > 1 && all > budget * OVERLOAD_TOLERANCE;
        if falls {
            self.loads.remove(&worker);
            if known >= NOTIFIED_SHARE * all {
                let what = format!("{worker} was sent {all:.1} s of work, of which {known:.1} by those told; it bears {budget:.1}");
                self.record(Rule::GentleStart, now, what);
            }
        }
        falls
    }

    /// A log worker's process starts anew: what was sent to the old one counts no more.
    pub fn worker_restarted(&mut self, worker: usize) {
        self.loads.remove(&worker);
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

    fn broken(checker: &InvariantChecker) -> Vec<u64> {
        RULES.iter().map(|rule| checker.violations(*rule)).collect()
    }

    #[test]
    fn an_attempt_that_is_out_may_have_run() {
        let mut checker = InvariantChecker::new(LIMITS);
        checker.job_accepted(1, Effect::Unsafe, at(1000));
        checker.attempt_sent(at(0), 0, 0, 1);
        checker.attempt_ended(1, 0, Outcome::TurnedAway);
        checker.attempt_sent(at(1), 0, 1, 1);
        assert_eq!(broken(&checker), [0, 0, 0, 0]);
        checker.job_answered(at(2), 1, true);
        assert_eq!(broken(&checker), [0, 1, 0, 0]);
    }

    #[test]
    fn safe_jobs_may_go_again_and_be_refused() {
        let mut checker = InvariantChecker::new(LIMITS);
        checker.job_accepted(1, Effect::Safe, at(1000));
        checker.attempt_sent(at(0), 0, 0, 1);
        checker.attempt_sent(at(1), 0, 1, 1);
        checker.job_answered(at(2), 1, true);
        assert_eq!(broken(&checker), [0, 0, 0, 0]);
        checker.job_answered(at(3), 1, false);
        assert_eq!(broken(&checker), [1, 0, 0, 0], "two answers");
    }

    #[test]
    fn the_first_word_of_a_drain_counts() {
        let mut checker = InvariantChecker::new(LIMITS);
        checker.worker_listed(at(0), 0, 7, false);
        checker.worker_listed(at(400), 0, 7, false);
        checker.attempt_sent(at(500), 0, 7, 1);
        checker.attempt_sent(at(600), 1, 7, 2);
        assert_eq!(broken(&checker), [0, 0, 0, 0], "in time, and one that was not told");
        checker.attempt_sent(at(501), 0, 7, 3);
        assert_eq!(broken(&checker), [0, 0, 1, 0]);
        checker.worker_listed(at(700), 0, 7, true);
        checker.attempt_sent(at(5000), 0, 7, 4);
        assert_eq!(broken(&checker), [0, 0, 1, 0]);
    }

    #[test]
    fn a_burst_spends_the_budget_before_the_span_has_passed() {
        let mut checker = InvariantChecker::new(LIMITS);
        // It bears 3 x 1 x 3 = 9 within 3 s.
        assert!(!checker.work_arrived(at(0), 0, 5.0, true, 1.0));
        assert!(!checker.work_arrived(at(10), 0, 4.0, true, 1.0));
        assert!(checker.work_arrived(at(20), 0, 2.0, true, 1.0));
        assert_eq!(broken(&checker), [0, 0, 0, 1]);
        // Spread over more time, the same work is borne.
        let mut checker = InvariantChecker::new(LIMITS);
        for n in 0..10 {
            assert!(!checker.work_arrived(at(n * 1500), 0, 4.0, true, 1.0));
        }
        // It falls, but those who did not know are not to blame.
        let mut checker = InvariantChecker::new(LIMITS);
        assert!(!checker.work_arrived(at(0), 0, 5.0, false, 1.0));
        assert!(checker.work_arrived(at(1), 0, 5.0, true, 1.0));
        assert_eq!(broken(&checker), [0, 0, 0, 0]);
    }

    #[test]
    fn who_gets_no_answer_is_found_once() {
        let mut checker = InvariantChecker::new(LIMITS);
        checker.job_accepted(1, Effect::Safe, at(1000));
        checker.check_overdue(at(1016));
        assert_eq!(broken(&checker), [0, 0, 0, 0]);
        checker.check_overdue(at(1017));
        checker.check_overdue(at(2000));
        assert_eq!(broken(&checker), [1, 0, 0, 0]);
    }
}
