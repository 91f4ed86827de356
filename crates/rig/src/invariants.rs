//! Invariant checks on the event log. They judge a run by what the rig observed from outside, without querying a
//! dispatcher.

use std::collections::{HashMap, HashSet};

use rookspoke_decisions::{Span, Time};
use serde::Serialize;

use crate::event_log::{Event, ProcessEvent, RequestOutcome};
use crate::job::JobId;

/// A property that must hold throughout a run.
pub trait Invariant: Send {
    /// The invariant's name in reports.
    fn name(&self) -> &str;
    /// Checks the next event, in order of time. Returns a description of the violation, if the event is one.
    fn observe(&mut self, at: Time, event: &Event) -> Option<String>;
    /// Ends the check. Returns descriptions of the violations that show only at the end of the run.
    fn finish(&mut self, _at: Time) -> Vec<String> {
        Vec::new()
    }
}

/// A violated invariant, as reports show it.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// Time of the violation, in milliseconds from the start of the run.
    pub at_ms: f64,
    /// Name of the violated invariant.
    pub rule: String,
    /// Description of the violation.
    #[serde(rename = "what")]
    pub description: String,
    /// The last lines of the event log up to the violation.
    #[serde(rename = "around")]
    pub preceding_events: Vec<String>,
}

/// Time limits of the invariants.
#[derive(Clone, Copy, Debug)]
pub struct Tolerances {
    /// How long after the deadline a response still counts as in time.
    pub answer_slack: Span,
    /// How long requests may still reach a log worker after its drain was notified.
    pub drain_grace: Span,
    /// The longest time that a request takes from a dispatcher to a log worker.
    pub transit: Span,
}

/// All invariants, with these time limits.
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

/// A request sent later than this after SIGTERM must be answered before SIGKILL; an earlier one may still be open then.
const OPEN_AT_KILL_WINDOW: Span = Span(700_000);

/// The last outage of a dispatcher's process that the rig caused or found.
#[derive(Clone, Copy)]
struct Outage {
    /// Start of the present outage, if there is one.
    ongoing_since: Option<Time>,
    /// The latest time at which the process is known to have been out of service.
    last: Time,
    /// When it was sent SIGTERM, until the next process is ready.
    terminated: Option<Time>,
    /// It was killed after SIGTERM.
    killed: bool,
}

/// Outages by dispatcher. Jobs that a dispatcher held in an outage are exempt, since the rig caused their loss. A
/// dispatcher that was sent SIGTERM still has to answer its clients.
#[derive(Default)]
struct Outages(HashMap<usize, Outage>);

impl Outages {
    fn observe(&mut self, at: Time, event: &Event) {
        let Event::Dispatcher { dispatcher, event: process_event } = event else { return };
        let none = Outage { ongoing_since: None, last: Time(i64::MIN), terminated: None, killed: false };
        let outage = self.0.entry(*dispatcher).or_insert(none);
        match process_event {
            ProcessEvent::Terminated => outage.terminated = Some(at),
            ProcessEvent::Killed if outage.terminated.is_some() => outage.killed = true,
            ProcessEvent::Exited if outage.terminated.is_some() => {}
            ProcessEvent::Killed | ProcessEvent::Exited | ProcessEvent::Stopped | ProcessEvent::Crashed => {
                (outage.ongoing_since, outage.last) = (outage.ongoing_since.or(Some(at)), at)
            }
            ProcessEvent::Ready | ProcessEvent::Resumed => {
                let terminated = outage.terminated.filter(|_| *process_event == ProcessEvent::Resumed);
                let killed = outage.killed && terminated.is_some();
                *outage = Outage { ongoing_since: None, last: at, terminated, killed }
            }
            ProcessEvent::Started => {}
        }
    }

    /// Whether the dispatcher was out of service at any time since `since`.
    fn was_out(&self, dispatcher: usize, since: Time) -> bool {
        self.0.get(&dispatcher).is_some_and(|outage| outage.ongoing_since.is_some() || outage.last >= since)
    }

    /// Whether a job without an answer is exempt. One that reached no log worker may have been sent while the dispatcher
    /// closed the connection, so that it was never read and its client sends it again.
    fn is_exempt(&self, dispatcher: usize, sent: Time, reached: bool) -> bool {
        let Some(outage) = self.0.get(&dispatcher) else { return false };
        if self.was_out(dispatcher, sent) {
            return true;
        }
        let Some(terminated) = outage.terminated else { return false };
        !reached || (outage.killed && sent <= terminated + OPEN_AT_KILL_WINDOW)
    }
}

/// A job that a client has sent and whose request has not ended.
struct OpenJob {
    dispatcher: usize,
    sent: Time,
    deadline: Time,
    /// A log worker received it.
    reached: bool,
}

/// Each job that a dispatcher accepted gets exactly one final answer, in time.
pub struct OneAnswer {
    slack: Span,
    open: HashMap<u64, OpenJob>,
    outages: Outages,
}

impl OneAnswer {
    /// Creates the check; answers count as in time up to `slack` after the deadline.
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
                    return Some(format!("the request of job {} ended twice", JobId(id)));
                };
                let failure = match outcome {
                    RequestOutcome::NotConnected => return None,
                    RequestOutcome::ConnectionLost => "lost its connection before the answer was complete",
                    RequestOutcome::TimedOut => "got no answer before its client timed out",
                    RequestOutcome::Served | RequestOutcome::Refused | RequestOutcome::Failed
                        if at > deadline + self.slack =>
                    {
                        "was answered after its deadline"
                    }
                    RequestOutcome::Served | RequestOutcome::Refused | RequestOutcome::Failed => return None,
                };
                let exempt = self.outages.is_exempt(dispatcher, sent, reached);
                (!exempt).then(|| format!("job {} of n{dispatcher} {failure}", JobId(id)))
            }
            _ => None,
        }
    }

    fn finish(&mut self, _: Time) -> Vec<String> {
        let still_open = |(id, job): (u64, OpenJob)| {
            format!("the request of job {} to n{} is still open", JobId(id), job.dispatcher)
        };
        let all = self.open.drain().map(still_open);
        all.collect()
    }
}

/// A job that must never run twice is not sent to another log worker once it may have run, and is not refused to its
/// client as if it had not run.
#[derive(Default)]
pub struct NoDuplicate {
    not_repeatable: HashSet<u64>,
    /// For each job, the attempts that reached a log worker, less those that were turned away.
    may_have_run: HashMap<u64, i32>,
}

impl Invariant for NoDuplicate {
    fn name(&self) -> &str {
        "no duplicate"
    }

    fn observe(&mut self, _: Time, event: &Event) -> Option<String> {
        match event {
            Event::Sent { id, once: true, .. } => drop(self.not_repeatable.insert(*id)),
            Event::Reached { id, worker, .. } if self.not_repeatable.contains(id) => {
                let runs = self.may_have_run.entry(*id).or_default();
                *runs += 1;
                if *runs > 1 {
                    return Some(format!(
                        "job {} must not run twice, but another attempt reached w{worker}",
                        JobId(*id)
                    ));
                }
            }
            Event::TurnedAway { id, .. } => {
                if let Some(runs) = self.may_have_run.get_mut(id) {
                    *runs -= 1;
                }
            }
            Event::Closed { id, outcome, .. } if self.not_repeatable.contains(id) => {
                let ran = self.may_have_run.get(id).is_some_and(|runs| *runs > 0);
                if *outcome == RequestOutcome::Refused && ran {
                    return Some(format!("job {} was refused although it may have run", JobId(*id)));
                }
            }
            _ => {}
        }
        None
    }
}

/// No new request reaches a draining log worker after the grace period, counted from the first notice of the drain to the
/// dispatcher that sent it.
pub struct CleanDrain {
    grace: Span,
    /// When each dispatcher was first notified of a log worker's drain, by dispatcher and log worker.
    notified: HashMap<(usize, usize), Time>,
}

impl CleanDrain {
    /// Creates the check; `grace` includes the delay that links add.
    pub fn new(grace: Span) -> Self {
        CleanDrain { grace, notified: HashMap::new() }
    }
}

impl Invariant for CleanDrain {
    fn name(&self) -> &str {
        "clean drain"
    }

    fn observe(&mut self, at: Time, event: &Event) -> Option<String> {
        match event {
            Event::Notified { dispatcher, worker, accepts_work: true } => {
                self.notified.remove(&(*dispatcher, *worker));
            }
            Event::Notified { dispatcher, worker, accepts_work: false } => {
                self.notified.entry((*dispatcher, *worker)).or_insert(at);
            }
            // A new process knows only what it is notified of itself.
            Event::Dispatcher { dispatcher, event: ProcessEvent::Started } => {
                self.notified.retain(|(of, _), _| of != dispatcher);
            }
            Event::Reached { id, worker, .. } => {
                let dispatcher = JobId(*id).dispatcher();
                let since = self.notified.get(&(dispatcher, *worker))?;
                if at - *since > self.grace {
                    let late = (at - *since).ms();
                    return Some(format!(
                        "n{dispatcher} sent a request to w{worker} {late:.0} ms after the notice of its drain"
                    ));
                }
            }
            _ => {}
        }
        None
    }
}

/// A request may state this much more time than its client has left, since the dispatcher may be delayed between reading
/// its clock and writing the request.
const DEADLINE_SLACK: Span = Span(150_000);

/// The remaining time that a request states to a log worker is no longer than its client will wait.
pub struct TrueDeadline {
    transit: Span,
    /// For each open job, when it was sent and the client's deadline.
    open: HashMap<u64, (Time, Time)>,
    outages: Outages,
}

impl TrueDeadline {
    /// Creates the check for requests that take `transit` at most from a dispatcher to a log worker.
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
                let excess = Span::from_ms(*left_ms) - (deadline - at);
                let in_bounds = excess <= DEADLINE_SLACK + self.transit;
                if in_bounds || self.outages.was_out(JobId(*id).dispatcher(), sent) {
                    return None;
                }
                Some(format!(
                    "job {} reached w{worker} with {:.0} ms more than its client has left",
                    JobId(*id),
                    excess.ms()
                ))
            }
            _ => None,
        }
    }
}

/// How long after the end of a client's request an attempt may still reach a log worker.
const CLOSED_GRACE: Span = Span(100_000);

/// No attempt is sent to a log worker after the request of its client has ended.
pub struct NoLateAttempt {
    transit: Span,
    /// When the request of each job ended.
    ended: HashMap<u64, Time>,
    outages: Outages,
}

impl NoLateAttempt {
    /// Creates the check for requests that take `transit` at most from a dispatcher to a log worker.
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
                let late = at - ended > CLOSED_GRACE + self.transit;
                let exempt = self.outages.was_out(JobId(*id).dispatcher(), ended);
                (late && !exempt).then(|| {
                    let after = (at - ended).ms();
                    format!("job {} reached w{worker} {after:.0} ms after its request ended", JobId(*id))
                })
            }
            _ => None,
        }
    }
}

/// No log worker in slow start is overloaded by dispatchers that had been notified of its start.
pub struct GentleStart;

impl Invariant for GentleStart {
    fn name(&self) -> &str {
        "gentle start"
    }

    fn observe(&mut self, _: Time, event: &Event) -> Option<String> {
        match event {
            Event::Overloaded { worker, notified: true } => {
                Some(format!("w{worker} was overloaded in slow start"))
            }
            _ => None,
        }
    }
}

/// A dispatcher's own counters match the rig's counts.
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

/// No dispatcher exits without a signal from the rig.
pub struct NoCrash;

impl Invariant for NoCrash {
    fn name(&self) -> &str {
        "no crash"
    }

    fn observe(&mut self, _: Time, event: &Event) -> Option<String> {
        match event {
            Event::Dispatcher { dispatcher, event: ProcessEvent::Crashed } => {
                Some(format!("n{dispatcher} exited without a signal from the rig"))
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

    /// The names of the invariants that a sequence of events violates; each event has its time in milliseconds.
    fn broken(events: &[(i64, Event)]) -> Vec<String> {
        let mut invariants = all_invariants(TOLERANCES);
        let mut rules = Vec::new();
        for (ms, event) in events {
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
    fn each_job_gets_one_answer_in_time() {
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
            // The outage ended before the job was sent.
            vec![
                (0, process(ProcessEvent::Stopped)),
                (5, process(ProcessEvent::Resumed)),
                (6, sent(1, false)),
                (7, closed(1, RequestOutcome::ConnectionLost)),
            ],
        ];
        for events in cases {
            assert_eq!(broken(&events), ["one answer"], "{events:?}");
        }
        let killed = [
            (0, sent(1, false)),
            (4, process(ProcessEvent::Killed)),
            (5, closed(1, RequestOutcome::ConnectionLost)),
        ];
        assert!(broken(&killed).is_empty(), "the rig killed the dispatcher");
    }

    #[test]
    fn a_terminated_dispatcher_must_answer_requests_sent_late_or_open_at_its_exit() {
        let process = |event| Event::Dispatcher { dispatcher: 0, event };
        let reached = Event::Reached { id: 1, worker: 2, left_ms: Some(0.0) };
        let lost_after = |sent_at: i64, end: ProcessEvent, is_reached: bool| {
            let mut events = vec![(0, process(ProcessEvent::Terminated)), (sent_at, sent(1, false))];
            events.extend(is_reached.then(|| (sent_at + 1, reached.clone())));
            events.extend([(900, process(end)), (901, closed(1, RequestOutcome::ConnectionLost))]);
            !broken(&events).is_empty()
        };
        assert!(
            !lost_after(700, ProcessEvent::Killed, true),
            "a request of this age may still be open at the kill"
        );
        assert!(lost_after(701, ProcessEvent::Killed, true));
        assert!(lost_after(100, ProcessEvent::Exited, true), "it exited before it had answered");
        assert!(
            !lost_after(701, ProcessEvent::Exited, false),
            "the request was sent while the connection was closed"
        );
        // The termination of the previous process does not exempt the next one.
        let next = [
            (0, process(ProcessEvent::Terminated)),
            (5, process(ProcessEvent::Killed)),
            (9, process(ProcessEvent::Ready)),
            (10, sent(1, false)),
        ];
        let events = [next.to_vec(), vec![(11, closed(1, RequestOutcome::ConnectionLost))]].concat();
        assert_eq!(broken(&events), ["one answer"]);
    }

    #[test]
    fn a_job_that_may_have_run_is_neither_sent_again_nor_refused() {
        let reached = |id| Event::Reached { id, worker: 2, left_ms: Some(0.0) };
        let away = |id| Event::TurnedAway { id, worker: 2 };
        let end = |outcome| (9, closed(1, outcome));
        let twice =
            |once| vec![(0, sent(1, once)), (1, reached(1)), (2, reached(1)), end(RequestOutcome::Served)];
        assert_eq!(broken(&twice(true)), ["no duplicate"]);
        assert!(broken(&twice(false)).is_empty());
        let refused = vec![(0, sent(1, true)), (1, reached(1)), end(RequestOutcome::Refused)];
        assert_eq!(broken(&refused), ["no duplicate"]);
        let events = vec![
            (0, sent(1, true)),
            (1, reached(1)),
            (2, away(1)),
            (3, reached(1)),
            (4, away(1)),
            end(RequestOutcome::Refused),
        ];
        assert!(broken(&events).is_empty(), "it never ran");
    }

    #[test]
    fn drain_grace_counts_from_the_first_notice_and_a_new_process_has_had_none() {
        let notified = |accepts_work| Event::Notified { dispatcher: 0, worker: 2, accepts_work };
        let job = |at| {
            vec![
                (at, sent(1, false)),
                (at, Event::Reached { id: 1, worker: 2, left_ms: Some(0.0) }),
                (at, closed(1, RequestOutcome::Served)),
            ]
        };
        let events = |rest| [vec![(0, notified(false)), (300, notified(false))], rest].concat();
        assert!(broken(&events(job(550))).is_empty());
        assert_eq!(broken(&events(job(551))), ["clean drain"]);
        assert!(broken(&[events(vec![(400, notified(true))]), job(900)].concat()).is_empty());
        let again = (500, Event::Dispatcher { dispatcher: 0, event: ProcessEvent::Started });
        assert!(broken(&[events(vec![again]), job(900)].concat()).is_empty());
    }

    #[test]
    fn a_request_states_no_more_time_than_its_client_has_left() {
        let reached = |left_ms| Event::Reached { id: 1, worker: 2, left_ms };
        let at_700 = |left_ms| {
            broken(&[(0, sent(1, false)), (700, reached(left_ms)), (800, closed(1, RequestOutcome::Served))])
        };
        assert!(at_700(Some(500.0)).is_empty(), "300 ms left, the slack and the transit time");
        assert_eq!(at_700(Some(501.0)), ["true deadline"]);
        assert_eq!(at_700(None), ["true deadline"]);
        let held_up =
            [(0, sent(1, false)), (10, Event::Dispatcher { dispatcher: 0, event: ProcessEvent::Stopped })];
        let events =
            [held_up.to_vec(), vec![(700, reached(Some(900.0))), (800, closed(1, RequestOutcome::Served))]];
        assert!(broken(&events.concat()).is_empty(), "the dispatcher was suspended meanwhile");
    }

    #[test]
    fn no_attempt_is_sent_after_the_request_of_its_client_ended() {
        let reached = |at| (at, Event::Reached { id: 1, worker: 2, left_ms: Some(0.0) });
        let gone = [(0, sent(1, false)), (100, closed(1, RequestOutcome::Failed))];
        assert!(broken(&[gone.to_vec(), vec![reached(250)]].concat()).is_empty());
        assert_eq!(broken(&[gone.to_vec(), vec![reached(251)]].concat()), ["no late attempt"]);
    }

    #[test]
    fn overloads_counter_mismatches_and_crashes_are_violations() {
        assert_eq!(broken(&[(0, Event::Overloaded { worker: 1, notified: true })]), ["gentle start"]);
        assert!(broken(&[(0, Event::Overloaded { worker: 1, notified: false })]).is_empty());
        let figure =
            |reported| (0, Event::CounterCheck { dispatcher: 0, name: "passed", reported, counted: 4 });
        assert_eq!((broken(&[figure(4)]).len(), broken(&[figure(5)])), (0, vec!["true figures".to_owned()]));
        let crash = Event::Dispatcher { dispatcher: 0, event: ProcessEvent::Crashed };
        assert_eq!(broken(&[(0, crash)]), ["no crash"]);
    }
}
