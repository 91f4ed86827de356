//! Judges: they hold what was seen from outside against the rules, and never ask a dispatcher.

use std::collections::{HashMap, HashSet};

use rookspoke_decisions::{Span, Time};
use serde::Serialize;

use crate::event_log::{Event, ProcessEvent, RequestOutcome};
use crate::job::JobId;

/// Something that must hold all the time.
pub trait Invariant: Send {
    /// Its name in reports.
    fn name(&self) -> &str;
    /// Hears what was event, in order; says what it breaks.
    fn observe(&mut self, at: Time, event: &Event) -> Option<String>;
    /// The play is over: what is still owed?
    fn finish(&mut self, _at: Time) -> Vec<String> {
        Vec::new()
    }
}

/// A rule that was broken.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// When, in milliseconds from the start.
    pub at_ms: f64,
    /// The rule.
    pub rule: String,
    /// What happened.
    #[serde(rename = "what")]
    pub description: String,
    /// The lines of the timeline before it.
    #[serde(rename = "around")]
    pub preceding_events: Vec<String>,
}

/// The rules' times.
#[derive(Clone, Copy, Debug)]
pub struct Tolerances {
    /// How long after the deadline an answer counts.
    pub answer_slack: Span,
    /// How long sends to a log worker go on after its drain was told.
    pub drain_grace: Span,
    /// What a request takes from a dispatcher to a log worker.
    pub transit: Span,
}

/// The rules, and that a daemon's figures are true.
pub fn all_invariants(tolerances: Tolerances) -> Vec<Box<dyn Invariant>> {
    vec![
        Box::new(OneAnswer::new(tolerances.answer_slack)),
        Box::new(NoDuplicate::default()),
        Box::new(CleanDrain::new(tolerances.drain_grace)),
        Box::new(TrueDeadline::new(tolerances.transit)),
        Box::new(NoLateAttempt::new(tolerances.transit)),
        Box::new(GentleStart),
        Box::new(TrueFigures),
        Box::new(NoCrash),
    ]
}

/// A request that comes so late after SIGTERM has to be answered before SIGKILL.
const OWED_AFTER_TERM: Span = Span(700_000);

/// When a dispatcher's process was last out of order, and by whose doing.
#[derive(Clone, Copy)]
struct Outage {
    /// It still is, since then.
    now: Option<Time>,
    last: Time,
    /// It was told to end, and no other process is ready yet.
    terminated: Option<Time>,
    /// It was killed after that.
    killed: bool,
}

/// Dispatchers that were out, and when last: what they held then is nobody's fault but of who stopped them. One that was
/// told to end is still owed to its clients.
#[derive(Default)]
struct Outages(HashMap<usize, Outage>);

impl Outages {
    fn observe(&mut self, at: Time, event: &Event) {
        let Event::Dispatcher { dispatcher, event: process_event } = event else { return };
        let none = Outage { now: None, last: Time(i64::MIN), terminated: None, killed: false };
        let one = self.0.entry(*dispatcher).or_insert(none);
        match process_event {
            ProcessEvent::Terminated => one.terminated = Some(at),
            ProcessEvent::Killed if one.terminated.is_some() => one.killed = true,
            ProcessEvent::Exited if one.terminated.is_some() => {}
            ProcessEvent::Killed | ProcessEvent::Exited | ProcessEvent::Stopped | ProcessEvent::Crashed => {
                (one.now, one.last) = (one.now.or(Some(at)), at)
            }
            ProcessEvent::Ready | ProcessEvent::Resumed => {
                let terminated = one.terminated.filter(|_| *process_event == ProcessEvent::Resumed);
                *one = Outage { now: None, last: at, terminated, killed: one.killed && terminated.is_some() }
            }
            ProcessEvent::Started => {}
        }
    }

    /// Whether it was out of order at any time since then.
    fn was_out(&self, dispatcher: usize, since: Time) -> bool {
        self.0.get(&dispatcher).is_some_and(|outage| outage.now.is_some() || outage.last >= since)
    }

    /// Whether a job that had no answer is excused. One that no log worker got may have crossed the end of its connection
    /// unread, which its client sends again.
    fn excuse(&self, dispatcher: usize, sent: Time, reached: bool) -> bool {
        let Some(outage) = self.0.get(&dispatcher) else { return false };
        if self.was_out(dispatcher, sent) {
            return true;
        }
        let Some(terminated) = outage.terminated else { return false };
        !reached || (outage.killed && sent <= terminated + OWED_AFTER_TERM)
    }
}

/// A job that a client has sent and that has not ended.
struct OpenJob {
    dispatcher: usize,
    sent: Time,
    deadline: Time,
    /// A log worker got it.
    reached: bool,
}

/// Each job that was taken gets one final answer, in time.
pub struct OneAnswer {
    slack: Span,
    open: HashMap<u64, OpenJob>,
    outages: Outages,
}

impl OneAnswer {
    /// With this slack after the deadline.
    pub fn new(slack: Span) -> Self {
        OneAnswer { slack, open: HashMap::new(), outages: Outages::default() }
    }
}

impl Invariant for OneAnswer {
    fn name(&self) -> &str {
        "one answer"
    }

    fn observe(&mut self, at: Time, event: &Event) -> Option<String> {
        self.outages.observe(at, event);
        match event {
            Event::Sent { id, dispatcher, deadline_ms, .. } => {
                let (dispatcher, deadline) = (*dispatcher, Time::from_ms(*deadline_ms));
                self.open.insert(*id, OpenJob { dispatcher, sent: at, deadline, reached: false });
                None
            }
            Event::Reached { id, .. } => {
                if let Some(job) = self.open.get_mut(id) {
                    job.reached = true;
                }
                None
            }
            Event::Closed { id, outcome, .. } => {
                let id = *id;
                let Some(OpenJob { dispatcher, sent, deadline, reached }) = self.open.remove(&id) else {
                    return Some(format!("job {} ended twice", JobId(id)));
                };
                let what = match outcome {
                    RequestOutcome::NotConnected => return None,
                    RequestOutcome::ConnectionLost => "was lost with its connection",
                    RequestOutcome::TimedOut => "got no answer",
                    RequestOutcome::Served | RequestOutcome::Refused | RequestOutcome::Failed
                        if at > deadline + self.slack =>
                    {
                        "was answered after its deadline"
                    }
                    RequestOutcome::Served | RequestOutcome::Refused | RequestOutcome::Failed => return None,
                };
                let excused = self.outages.excuse(dispatcher, sent, reached);
                (!excused).then(|| format!("job {} of n{dispatcher} {what}", JobId(id)))
            }
            _ => None,
        }
    }

    fn finish(&mut self, _: Time) -> Vec<String> {
        let no_end =
            |(id, job): (u64, OpenJob)| format!("job {} of n{} has no end", JobId(id), job.dispatcher);
        let all = self.open.drain().map(no_end);
        all.collect()
    }
}

/// What may have run and must never run twice is not sent again, and not called harmless.
#[derive(Default)]
pub struct NoDuplicate {
    once: HashSet<u64>,
    /// Attempts that reached a log worker, less those turned away.
    may_have_run: HashMap<u64, i32>,
}

impl Invariant for NoDuplicate {
    fn name(&self) -> &str {
        "no duplicate"
    }

    fn observe(&mut self, _: Time, event: &Event) -> Option<String> {
        match event {
            Event::Sent { id, once: true, .. } => drop(self.once.insert(*id)),
            Event::Reached { id, worker, .. } if self.once.contains(id) => {
                let runs = self.may_have_run.entry(*id).or_default();
                *runs += 1;
                if *runs > 1 {
                    return Some(format!("job {} must not run twice and reached w{worker} too", JobId(*id)));
                }
            }
            Event::TurnedAway { id, .. } => {
                if let Some(runs) = self.may_have_run.get_mut(id) {
                    *runs -= 1;
                }
            }
            Event::Closed { id, outcome, .. } if self.once.contains(id) => {
                let ran = self.may_have_run.get(id).is_some_and(|runs| *runs > 0);
                if *outcome == RequestOutcome::Refused && ran {
                    return Some(format!("job {} may have run and was refused", JobId(*id)));
                }
            }
            _ => {}
        }
        None
    }
}

/// Nothing new reaches a log worker longer than the grace after its dispatcher was told that it takes none.
pub struct CleanDrain {
    grace: Span,
    told: HashMap<(usize, usize), Time>,
}

impl CleanDrain {
    /// With this grace; what links add on the way is to be added to it.
    pub fn new(grace: Span) -> Self {
        CleanDrain { grace, told: HashMap::new() }
    }
}

impl Invariant for CleanDrain {
    fn name(&self) -> &str {
        "clean drain"
    }

    fn observe(&mut self, at: Time, event: &Event) -> Option<String> {
        match event {
            Event::Notified { dispatcher, worker, accepts_work: true } => {
                self.told.remove(&(*dispatcher, *worker));
            }
            Event::Notified { dispatcher, worker, accepts_work: false } => {
                self.told.entry((*dispatcher, *worker)).or_insert(at);
            }
            // A new process knows only what it is told itself.
            Event::Dispatcher { dispatcher, event: ProcessEvent::Started } => {
                self.told.retain(|(of, _), _| of != dispatcher);
            }
            Event::Reached { id, worker, .. } => {
                let dispatcher = JobId(*id).dispatcher();
                let since = self.told.get(&(dispatcher, *worker))?;
                if at - *since > self.grace {
                    let late = (at - *since).ms();
                    return Some(format!("n{dispatcher} sent to w{worker}, told {late:.0} ms before"));
                }
            }
            _ => {}
        }
        None
    }
}

/// A log worker may be told of more time than the client has left by this much: the dispatcher may be held up between
/// looking at its clock and writing.
const DEADLINE_SLACK: Span = Span(150_000);

/// The time that a log worker is told to have for a job is no longer than its client will wait.
pub struct TrueDeadline {
    transit: Span,
    /// When each open job was sent, and when its client gives up.
    open: HashMap<u64, (Time, Time)>,
    outages: Outages,
}

impl TrueDeadline {
    /// A invariant of requests that take so long on their way at most.
    pub fn new(transit: Span) -> Self {
        TrueDeadline { transit, open: HashMap::new(), outages: Outages::default() }
    }
}

impl Invariant for TrueDeadline {
    fn name(&self) -> &str {
        "true deadline"
    }

    fn observe(&mut self, at: Time, event: &Event) -> Option<String> {
        self.outages.observe(at, event);
        match event {
            Event::Sent { id, deadline_ms, .. } => {
                self.open.insert(*id, (at, Time::from_ms(*deadline_ms)));
                None
            }
            Event::Closed { id, .. } => {
                self.open.remove(id);
                None
            }
            Event::Reached { id, worker, left_ms } => {
                let (sent, deadline) = *self.open.get(id)?;
                let Some(left_ms) = left_ms else {
                    return Some(format!("job {} reached w{worker} without a deadline", JobId(*id)));
                };
                let beyond = Span::from_ms(*left_ms) - (deadline - at);
                let is_true = beyond <= DEADLINE_SLACK + self.transit;
                if is_true || self.outages.was_out(JobId(*id).dispatcher(), sent) {
                    return None;
                }
                Some(format!("w{worker} was told {:.0} ms too many for job {}", beyond.ms(), JobId(*id)))
            }
            _ => None,
        }
    }
}

/// How long after a client has left an attempt may still begin.
const LEFT_GRACE: Span = Span(100_000);

/// Nothing is sent to log workers for a job that is over.
pub struct NoLateAttempt {
    transit: Span,
    /// When jobs ended.
    ended: HashMap<u64, Time>,
    outages: Outages,
}

impl NoLateAttempt {
    /// A invariant of requests that take so long on their way at most.
    pub fn new(transit: Span) -> Self {
        NoLateAttempt { transit, ended: HashMap::new(), outages: Outages::default() }
    }
}

impl Invariant for NoLateAttempt {
    fn name(&self) -> &str {
        "no late attempt"
    }

    fn observe(&mut self, at: Time, event: &Event) -> Option<String> {
        self.outages.observe(at, event);
        match event {
            Event::Closed { id, .. } => {
                self.ended.insert(*id, at);
                None
            }
            Event::Reached { id, worker, .. } => {
                let ended = *self.ended.get(id)?;
                let late = at - ended > LEFT_GRACE + self.transit;
                let excused = self.outages.was_out(JobId(*id).dispatcher(), ended);
                (late && !excused).then(|| {
                    let after = (at - ended).ms();
                    format!("job {} reached w{worker} {after:.0} ms after its end", JobId(*id))
                })
            }
            _ => None,
        }
    }
}

/// No cold log worker is pushed over by those who know that it is cold.
pub struct GentleStart;

impl Invariant for GentleStart {
    fn name(&self) -> &str {
        "gentle start"
    }

    fn observe(&mut self, _: Time, event: &Event) -> Option<String> {
        match event {
            Event::Overloaded { worker, notified: true } => Some(format!("w{worker} was pushed over")),
            _ => None,
        }
    }
}

/// What a dispatcher says of itself is what was seen of it.
pub struct TrueFigures;

impl Invariant for TrueFigures {
    fn name(&self) -> &str {
        "true figures"
    }

    fn observe(&mut self, _: Time, event: &Event) -> Option<String> {
        match event {
            Event::CounterCheck { dispatcher, name, reported, counted } if reported != counted => {
                Some(format!("n{dispatcher} reports {name} {reported}, clients counted {counted}"))
            }
            _ => None,
        }
    }
}

/// No dispatcher ends unless it is told to.
pub struct NoCrash;

impl Invariant for NoCrash {
    fn name(&self) -> &str {
        "no crash"
    }

    fn observe(&mut self, _: Time, event: &Event) -> Option<String> {
        match event {
            Event::Dispatcher { dispatcher, event: ProcessEvent::Crashed } => {
                Some(format!("n{dispatcher} ended by itself"))
            }
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TOLERANCES: Tolerances =
        Tolerances { answer_slack: Span(66_000), drain_grace: Span(550_000), transit: Span(50_000) };

    fn sent(id: u64, once: bool) -> Event {
        Event::Sent { id, dispatcher: 0, once, deadline_ms: 1000.0 }
    }

    fn closed(id: u64, outcome: RequestOutcome) -> Event {
        Event::Closed { id, dispatcher: 0, outcome }
    }

    /// What breaks, by rule, when this is event, each at its millisecond.
    fn broken(story: &[(i64, Event)]) -> Vec<String> {
        let mut invariants = all_invariants(TOLERANCES);
        let mut rules = Vec::new();
        for (ms, event) in story {
            for invariant in &mut invariants {
                rules.extend(invariant.observe(Time(ms * 1000), event).map(|_| invariant.name().to_owned()));
            }
        }
        for invariant in &mut invariants {
            rules.extend(invariant.finish(Time(1 << 40)).into_iter().map(|_| invariant.name().to_owned()));
        }
        rules
    }

    #[test]
    fn each_job_is_owed_one_answer_in_time() {
        let process = |event| Event::Dispatcher { dispatcher: 0, event };
        assert!(broken(&[(0, sent(1, false)), (1066, closed(1, RequestOutcome::Served))]).is_empty());
        let cases = [
            vec![(0, sent(1, false)), (1067, closed(1, RequestOutcome::Served))],
            vec![(0, sent(1, false)), (5, closed(1, RequestOutcome::ConnectionLost))],
            vec![(0, sent(1, false)), (1070, closed(1, RequestOutcome::TimedOut))],
            vec![
                (0, sent(1, false)),
                (5, closed(1, RequestOutcome::Failed)),
                (6, closed(1, RequestOutcome::Served)),
            ],
            vec![(0, sent(1, false))],
            // It was out before the job came, and is up.
            vec![
                (0, process(ProcessEvent::Stopped)),
                (5, process(ProcessEvent::Resumed)),
                (6, sent(1, false)),
                (7, closed(1, RequestOutcome::ConnectionLost)),
            ],
        ];
        for story in cases {
            assert_eq!(broken(&story), ["one answer"], "{story:?}");
        }
        let killed = [
            (0, sent(1, false)),
            (4, process(ProcessEvent::Killed)),
            (5, closed(1, RequestOutcome::ConnectionLost)),
        ];
        assert!(broken(&killed).is_empty(), "whoever killed it is to blame");
    }

    #[test]
    fn a_dispatcher_that_was_told_to_end_owes_what_came_late_or_was_cut_off_by_itself() {
        let process = |event| Event::Dispatcher { dispatcher: 0, event };
        let reached = Event::Reached { id: 1, worker: 2, left_ms: Some(0.0) };
        let lost_after = |sent_at: i64, end: ProcessEvent, is_reached: bool| {
            let mut story = vec![(0, process(ProcessEvent::Terminated)), (sent_at, sent(1, false))];
            story.extend(is_reached.then(|| (sent_at + 1, reached.clone())));
            story.extend([(900, process(end)), (901, closed(1, RequestOutcome::ConnectionLost))]);
            !broken(&story).is_empty()
        };
        assert!(!lost_after(700, ProcessEvent::Killed, true), "it may be open at the kill");
        assert!(lost_after(701, ProcessEvent::Killed, true));
        assert!(lost_after(100, ProcessEvent::Exited, true), "it ended before its answer");
        assert!(!lost_after(701, ProcessEvent::Exited, false), "it crossed the end of its connection");
        // The next process is not excused by the end of the last.
        let next = [
            (0, process(ProcessEvent::Terminated)),
            (5, process(ProcessEvent::Killed)),
            (9, process(ProcessEvent::Ready)),
            (10, sent(1, false)),
        ];
        let story = [next.to_vec(), vec![(11, closed(1, RequestOutcome::ConnectionLost))]].concat();
        assert_eq!(broken(&story), ["one answer"]);
    }

    #[test]
    fn what_may_have_run_is_neither_sent_again_nor_refused() {
        let reached = |id| Event::Reached { id, worker: 2, left_ms: Some(0.0) };
        let away = |id| Event::TurnedAway { id, worker: 2 };
        let end = |end| (9, closed(1, end));
        let twice =
            |once| vec![(0, sent(1, once)), (1, reached(1)), (2, reached(1)), end(RequestOutcome::Served)];
        assert_eq!(broken(&twice(true)), ["no duplicate"]);
        assert!(broken(&twice(false)).is_empty());
        let refused = vec![(0, sent(1, true)), (1, reached(1)), end(RequestOutcome::Refused)];
        assert_eq!(broken(&refused), ["no duplicate"]);
        let story = vec![
            (0, sent(1, true)),
            (1, reached(1)),
            (2, away(1)),
            (3, reached(1)),
            (4, away(1)),
            end(RequestOutcome::Refused),
        ];
        assert!(broken(&story).is_empty(), "it never ran");
    }

    #[test]
    fn the_first_word_of_a_drain_counts_and_a_new_process_knows_nothing_of_it() {
        let notified = |accepts_work| Event::Notified { dispatcher: 0, worker: 2, accepts_work };
        let job = |at| {
            vec![
                (at, sent(1, false)),
                (at, Event::Reached { id: 1, worker: 2, left_ms: Some(0.0) }),
                (at, closed(1, RequestOutcome::Served)),
            ]
        };
        let story = |rest| [vec![(0, notified(false)), (300, notified(false))], rest].concat();
        assert!(broken(&story(job(550))).is_empty());
        assert_eq!(broken(&story(job(551))), ["clean drain"]);
        assert!(broken(&[story(vec![(400, notified(true))]), job(900)].concat()).is_empty());
        let again = (500, Event::Dispatcher { dispatcher: 0, event: ProcessEvent::Started });
        assert!(broken(&[story(vec![again]), job(900)].concat()).is_empty());
    }

    #[test]
    fn a_log_worker_is_told_no_more_time_than_its_client_has_left() {
        let reached = |left_ms| Event::Reached { id: 1, worker: 2, left_ms };
        let at_700 = |left_ms| {
            broken(&[(0, sent(1, false)), (700, reached(left_ms)), (800, closed(1, RequestOutcome::Served))])
        };
        assert!(at_700(Some(500.0)).is_empty(), "300 ms, the slack and the way");
        assert_eq!(at_700(Some(501.0)), ["true deadline"]);
        assert_eq!(at_700(None), ["true deadline"]);
        let held_up =
            [(0, sent(1, false)), (10, Event::Dispatcher { dispatcher: 0, event: ProcessEvent::Stopped })];
        let story =
            [held_up.to_vec(), vec![(700, reached(Some(900.0))), (800, closed(1, RequestOutcome::Served))]];
        assert!(broken(&story.concat()).is_empty(), "it stood still on the way");
    }

    #[test]
    fn nothing_is_sent_for_a_job_that_is_over() {
        let reached = |at| (at, Event::Reached { id: 1, worker: 2, left_ms: Some(0.0) });
        let gone = [(0, sent(1, false)), (100, closed(1, RequestOutcome::Failed))];
        assert!(broken(&[gone.to_vec(), vec![reached(250)]].concat()).is_empty());
        assert_eq!(broken(&[gone.to_vec(), vec![reached(251)]].concat()), ["no late attempt"]);
    }

    #[test]
    fn falls_figures_and_ends_are_judged() {
        assert_eq!(broken(&[(0, Event::Overloaded { worker: 1, notified: true })]), ["gentle start"]);
        assert!(broken(&[(0, Event::Overloaded { worker: 1, notified: false })]).is_empty());
        let figure =
            |reported| (0, Event::CounterCheck { dispatcher: 0, name: "passed", reported, counted: 4 });
        assert_eq!((broken(&[figure(4)]).len(), broken(&[figure(5)])), (0, vec!["true figures".to_owned()]));
        let crash = Event::Dispatcher { dispatcher: 0, event: ProcessEvent::Crashed };
        assert_eq!(broken(&[(0, crash)]), ["no crash"]);
    }
}
