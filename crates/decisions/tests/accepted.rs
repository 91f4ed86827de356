//! Accepted jobs: the client hears nothing more of them, so the dispatcher owes them an attempt until their deadline, as
//! far as their class allows.

mod common;

use common::*;
use rookspoke_decisions::*;

const WINDOW: Span = Span(4_000_000);

/// A host with one job, sent to its first worker and accepted there. Its time is up in 5 s.
fn host_with_accepted_job(effect: Effect, workers: usize) -> Host {
    let mut settings = settings(&[effect]);
    settings.limits.second_copies = false;
    let mut host = Host::new(settings, workers);
    let out = host.submit(1, 0, None);
    assert!(sent_to(&out).is_some(), "{out:?}");
    accept(&mut host, 0);
    host
}

fn accept(host: &mut Host, attempt: usize) -> Vec<Action> {
    host.handle(Event::AttemptUpdate { request: RequestId(1), attempt, update: AttemptUpdate::Accepted })
}

/// The entry of a worker that has left.
fn gone(index: usize) -> Listing {
    Listing { readiness: Readiness::Gone, ..listing(index) }
}

fn is_answered(out: &[Action]) -> bool {
    out.iter().any(|action| matches!(action, Action::Refuse { .. } | Action::Fail { .. }))
}

/// Lets `ms` pass in steps, and returns the actions.
fn advance(host: &mut Host, ms: f64) -> Vec<Action> {
    let mut out = Vec::new();
    let end = host.now_ms + ms;
    while host.now_ms < end {
        host.now_ms += 20.0;
        out.extend(host.handle(Event::Timer(0)));
    }
    out
}

/// Guards against accepted jobs that are refused in silence once the attempts that the settings allow are used up.
#[test]
fn an_accepted_job_is_sent_again_however_many_attempts_were_lost() {
    let mut host = host_with_accepted_job(Effect::Safe, 8);
    for attempt in 0..6 {
        let mut out = host.handle(outcome_event(1, attempt, Outcome::ConnectionLost, false, None));
        out.extend(advance(&mut host, 100.0));
        assert!(sent_to(&out).is_some() && !is_answered(&out), "after attempt {attempt}: {out:?}");
    }
}

/// Guards against a refusal in silence of a keyed job, as no worker that may repeat it is in service at the moment.
#[test]
fn an_accepted_keyed_job_waits_for_a_worker_that_may_repeat_it() {
    let effect = Effect::Keyed { group: Group::Zone, window: WINDOW };
    let mut host = host_with_accepted_job(effect, 1);
    host.handle(list_event(ListScope::Changes, vec![gone(0)]));
    let mut out = host.handle(outcome_event(1, 0, Outcome::ConnectionLost, false, None));
    out.extend(advance(&mut host, 1000.0));
    assert!(!is_answered(&out) && sent_to(&out).is_none(), "{out:?}");
    let mut out = host.handle(list_event(ListScope::Changes, vec![listing(1)]));
    out.extend(advance(&mut host, 100.0));
    assert_eq!(sent_to(&out).as_deref(), Some("w1"));
}

/// The window in which workers discard a repeat ends before the deadline.
#[test]
fn an_accepted_keyed_job_is_not_repeated_after_its_window() {
    let effect = Effect::Keyed { group: Group::Zone, window: Span(1_000_000) };
    let mut host = host_with_accepted_job(effect, 1);
    host.handle(list_event(ListScope::Changes, vec![gone(0)]));
    let mut out = host.handle(outcome_event(1, 0, Outcome::ConnectionLost, false, None));
    out.extend(advance(&mut host, 1500.0));
    out.extend(host.handle(list_event(ListScope::Changes, vec![listing(1)])));
    out.extend(advance(&mut host, 100.0));
    assert!(is_answered(&out) && sent_to(&out).is_none(), "{out:?}");
}

#[test]
fn an_accepted_job_that_must_not_run_twice_fails_with_its_attempt() {
    let mut host = host_with_accepted_job(Effect::Unsafe, 4);
    let out = host.handle(outcome_event(1, 0, Outcome::ConnectionLost, false, None));
    assert!(is_answered(&out) && sent_to(&out).is_none(), "{out:?}");
}

/// Guards against a refusal in silence: the job is handed out in the moment in which the decisions give the attempt up.
#[test]
fn a_job_is_accepted_even_if_its_attempt_was_cancelled_meanwhile() {
    let mut host = Host::new(settings(&[Effect::Safe]), 2);
    assert!(sent_to(&host.submit(1, 0, None)).is_some());
    for attempt in 0..2 {
        let out = host.handle(outcome_event(1, attempt, Outcome::Cancelled, false, None));
        let more = advance(&mut host, 40.0);
        assert!(!is_answered(&out) && !is_answered(&more), "{out:?} {more:?}");
    }
    assert!(sent_to(&accept(&mut host, 1)).is_none());
    // Far later than the latest start with which the job would meet its aim.
    let out = advance(&mut host, 3000.0);
    assert!(!is_answered(&out), "{out:?}");
}

/// Guards against an accepted job that waits at a busy worker beside an idle one, since its aim is over.
#[test]
fn an_accepted_job_is_hedged_until_its_deadline() {
    let mut host = host_with_accepted_job(Effect::Safe, 2);
    advance(&mut host, 2000.0);
    host.handle(list_event(ListScope::Changes, vec![gone(0)]));
    let out = host.handle(outcome_event(1, 0, Outcome::ConnectionLost, false, None));
    assert!(sent_to(&out).is_some(), "{out:?}");
    let cancel = Action::Cancel { request: RequestId(1), attempt: 1 };
    assert!(!advance(&mut host, 1000.0).contains(&cancel), "nobody else can take it");
    host.handle(list_event(ListScope::Changes, vec![listing(2)]));
    assert!(advance(&mut host, 200.0).contains(&cancel), "another worker has entered");
    let out = host.handle(outcome_event(1, 1, Outcome::Cancelled, false, None));
    assert_eq!(sent_to(&out).as_deref(), Some("w2"));
}

/// Guards against attempts that are spent on workers that take no jobs from the queue.
#[test]
fn a_job_goes_to_the_workers_of_its_queue_alone() {
    let mut host = Host::new(settings(&[Effect::Safe]), 0);
    let serving =
        |index: usize, queue: &str| Listing { queues: Some([queue.into()].into()), ..listing(index) };
    let entries = (0..60).map(|index| serving(index, if index == 37 { "lookups" } else { "others" }));
    host.handle(list_event(ListScope::Complete, entries.collect()));
    for id in 1..20 {
        let deadline = host.now() + Span::from_ms(5000.0);
        let key = format!("k{id}");
        let Event::Request(mut request) = request_event(id, 0, Some(&key), deadline) else { unreachable!() };
        request.queue = Some("lookups".into());
        let out = host.handle(Event::Request(request));
        assert_eq!(sent_to(&out).as_deref(), Some("w37"), "{out:?}");
        host.handle(outcome_event(id, 0, Outcome::Served, true, None));
    }
    // From now on that worker takes others.
    host.handle(list_event(ListScope::Changes, vec![serving(37, "others"), serving(5, "lookups")]));
    let Event::Request(mut request) = request_event(99, 0, None, host.now() + Span::from_ms(5000.0)) else {
        unreachable!()
    };
    request.queue = Some("lookups".into());
    assert_eq!(sent_to(&host.handle(Event::Request(request))).as_deref(), Some("w5"));
}
