//! Exclusion: which workers get a job again after an attempt there has ended, and when.

mod common;

use common::*;
use rookspoke_decisions::*;

/// A host with one safe job, sent to the first of its workers. Its time is up in 5 s, and its aim leaves it so long, too.
fn host_with_job(workers: usize) -> (Host, String) {
    let mut settings = settings(&[Effect::Safe]);
    settings.classes[0].aim = Span::from_ms(5000.0);
    (settings.limits.second_copies, settings.limits.max_attempts) = (false, 6);
    let mut host = Host::new(settings, workers);
    let first = sent_to(&host.submit(1, 0, None)).expect("sent");
    (host, first)
}

fn end(host: &mut Host, attempt: usize, outcome: Outcome) -> Vec<Action> {
    host.handle(outcome_event(1, attempt, outcome, false, None))
}

/// Lets time pass until the job is sent, and returns after how many milliseconds, and to whom.
fn next_send(host: &mut Host, out: &[Action]) -> Option<(f64, String)> {
    let start = host.now_ms;
    let mut worker = sent_to(out);
    while worker.is_none() && host.now_ms < start + 4900.0 {
        host.now_ms += 5.0;
        worker = sent_to(&host.handle(Event::Timer(0)));
    }
    Some((host.now_ms - start, worker?))
}

/// Guards against a job that is never offered again to its only worker (review/6), however its attempt there ended.
#[test]
fn a_worker_gets_a_job_again_after_a_while_whatever_the_end_of_its_attempt() {
    let cases = [
        (Outcome::NotSent, 50.0),
        (Outcome::StaleConnection, 50.0),
        (Outcome::TurnedAway, 200.0),
        (Outcome::Cancelled, 200.0),
        (Outcome::Error, 500.0),
        (Outcome::NoAnswer, 500.0),
        (Outcome::NoConnection, 500.0),
        (Outcome::ConnectionLost, 500.0),
    ];
    for (outcome, exclusion_ms) in cases {
        let (mut host, first) = host_with_job(1);
        let out = end(&mut host, 0, outcome);
        let (after_ms, again) = next_send(&mut host, &out).unwrap_or_else(|| panic!("{outcome:?}: not sent"));
        assert_eq!(again, first);
        // A waiting job is checked every 20 ms.
        assert!((exclusion_ms..=exclusion_ms + 25.0).contains(&after_ms), "{outcome:?}: {after_ms}");
    }
}

#[test]
fn an_unusable_job_is_not_sent_again() {
    let (mut host, _) = host_with_job(1);
    let out = end(&mut host, 0, Outcome::Unusable);
    assert_eq!(next_send(&mut host, &out), None);
}

#[test]
fn workers_that_were_not_tried_come_first() {
    let (mut host, first) = host_with_job(3);
    let mut sent = vec![first];
    for attempt in 0..5 {
        let out = end(&mut host, attempt, Outcome::TurnedAway);
        sent.extend(next_send(&mut host, &out).map(|(_, worker)| worker));
        // Long enough for the exclusion of every worker that was tried so far to be over.
        host.now_ms += 450.0;
    }
    let rounds: Vec<&[String]> = sent.chunks(3).collect();
    assert_eq!(rounds[0], rounds[1], "in the same order, each once a round");
    let mut names = rounds[0].to_vec();
    names.sort();
    assert_eq!(names, ["w0", "w1", "w2"]);
}

/// Guards against a tight loop: a worker that turns an accepted job away at once gets it ever less often.
#[test]
fn a_worker_that_turns_a_job_away_at_once_is_not_flooded() {
    let (mut host, _) = host_with_job(1);
    host.handle(Event::AttemptUpdate { request: RequestId(1), attempt: 0, update: AttemptUpdate::Accepted });
    let mut pauses = Vec::new();
    for attempt in 0.. {
        let out = end(&mut host, attempt, Outcome::TurnedAway);
        let Some((after_ms, _)) = next_send(&mut host, &out) else { break };
        pauses.push(after_ms);
    }
    let expected = [200.0, 400.0, 800.0, 1600.0, 1600.0];
    let on_time = |(pause, expected): (&f64, &f64)| (*expected..=expected + 25.0).contains(pause);
    assert_eq!(pauses.len(), expected.len(), "{pauses:?}");
    assert!(pauses.iter().zip(&expected).all(on_time), "{pauses:?}");
}

/// What may have run is sent again only as its class allows, also to the worker that it may have run on.
#[test]
fn a_job_that_must_not_run_twice_is_sent_again_only_if_it_never_ran() {
    for (outcome, again) in [(Outcome::TurnedAway, true), (Outcome::ConnectionLost, false)] {
        let mut settings = settings(&[Effect::Unsafe]);
        settings.classes[0].aim = Span::from_ms(5000.0);
        let mut host = Host::new(settings, 1);
        assert!(sent_to(&host.submit(1, 0, None)).is_some());
        let out = end(&mut host, 0, outcome);
        assert_eq!(next_send(&mut host, &out).is_some(), again, "{outcome:?}");
    }
}

/// A keyed job that may have run waits for a worker of its rack that turned it away, and fails at once if there is none.
#[test]
fn a_keyed_job_waits_for_the_worker_of_its_rack_that_turned_it_away() {
    for workers in [1, 2] {
        let effect = Effect::Keyed { group: Group::Cell, window: Span::from_ms(4000.0) };
        let mut settings = settings(&[effect]);
        settings.classes[0].aim = Span::from_ms(5000.0);
        // All of them are in one rack.
        let mut host = Host::new(settings, workers);
        assert!(sent_to(&host.submit(1, 0, None)).is_some());
        let out = end(&mut host, 0, Outcome::ConnectionLost);
        let failed = out.iter().any(|action| matches!(action, Action::Fail { .. }));
        assert_eq!(failed, workers == 1, "{out:?}");
        if workers == 1 {
            continue;
        }
        let second = sent_to(&out).expect("sent to the other worker of the rack");
        let out = end(&mut host, 1, Outcome::TurnedAway);
        assert_eq!(next_send(&mut host, &out).map(|(_, worker)| worker), Some(second));
    }
}
