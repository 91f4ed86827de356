//! Ejection: how long a worker that failed gets no jobs.

mod common;

use common::*;
use rookspoke_decisions::*;

/// Guards against a worker that is ejected for 8 s since many connections failed in one moment: the attempts were all sent
/// before the first one ended.
#[test]
fn failures_of_one_moment_eject_a_worker_once() {
    const JOBS: u64 = 20;
    let mut settings = settings(&[Effect::Safe]);
    settings.classes[0].aim = Span::from_ms(20_000.0);
    let mut host = Host::new(settings, 1);
    let deadline = host.now() + Span::from_ms(30_000.0);
    let submit = |host: &mut Host, id| sent_to(&host.handle(request_event(id, 0, None, deadline)));
    let sent = (0..JOBS).filter(|id| submit(&mut host, *id).is_some()).count();
    assert_eq!(sent as u64, JOBS);
    let fail = |host: &mut Host, id| {
        host.now_ms += 1.0;
        host.handle(outcome_event(id, 0, Outcome::NoConnection, true, None));
    };
    (0..JOBS).for_each(|id| fail(&mut host, id));
    host.now_ms += 490.0;
    assert_eq!(submit(&mut host, JOBS), None, "the worker is ejected");
    host.now_ms += 20.0;
    assert!(submit(&mut host, JOBS + 1).is_some(), "the worker is not ejected any more");
    // That attempt was sent after the ejection, so its failure is the second in a row.
    fail(&mut host, JOBS + 1);
    host.now_ms += 990.0;
    assert_eq!(submit(&mut host, JOBS + 2), None);
    host.now_ms += 20.0;
    assert!(submit(&mut host, JOBS + 3).is_some());
}
