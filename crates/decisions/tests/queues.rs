//! Jobs of a queue: this dispatcher alone hands them out, so it knows which of the queue's workers are idle.

mod common;

use common::*;
use rookspoke_decisions::*;

const WORKERS: usize = 10;
const QUEUE: &str = "lookups";

/// A host whose workers all serve the queue. Nothing is said of how many jobs they run at a time.
fn host() -> Host {
    let mut settings = settings(&[Effect::Safe]);
    settings.classes[0].aim = Span::from_ms(5000.0);
    settings.limits.second_copies = false;
    let mut host = Host::new(settings, 0);
    let serving = |index| Listing { queues: Some([QUEUE.into()].into()), ..listing(index) };
    host.handle(list_event(ListScope::Complete, (0..WORKERS).map(serving).collect()));
    host
}

/// Submits a job of the queue, and returns its worker.
fn submit(host: &mut Host, id: u64) -> String {
    let deadline = host.now() + Span::from_ms(10_000.0);
    let key = format!("k{id}");
    let Event::Request(mut request) = request_event(id, 0, Some(&key), deadline) else { unreachable!() };
    request.queue = Some(QUEUE.into());
    sent_to(&host.handle(Event::Request(request))).expect("sent")
}

/// Guards against jobs that wait for a busy worker beside an idle one, before it is known how many a worker runs at a time.
#[test]
fn a_job_goes_to_an_idle_worker_while_there_is_one() {
    let mut host = host();
    let first_jobs: Vec<(u64, String)> = (0..WORKERS as u64).map(|id| (id, submit(&mut host, id))).collect();
    let mut busy: Vec<&String> = first_jobs.iter().map(|(_, worker)| worker).collect();
    busy.sort();
    busy.dedup();
    assert_eq!(busy.len(), WORKERS, "{busy:?}");
    // One job ends at a time, and the next goes to the worker that is idle now.
    for (ended, idle) in first_jobs {
        host.handle(outcome_event(ended, 0, Outcome::Served, true, None));
        assert_eq!(submit(&mut host, 100 + ended), idle);
    }
}

/// Guards against an accepted job that is offered to one busy worker after the other, while one that did not fetch it is
/// idle by now (review/6).
#[test]
fn a_tried_worker_that_is_idle_comes_before_busy_ones() {
    const JOB: u64 = 100;
    let mut host = host();
    let running: Vec<(u64, String)> = (0..WORKERS as u64).map(|id| (id, submit(&mut host, id))).collect();
    let first = submit(&mut host, JOB);
    let turned_away = |attempt| outcome_event(JOB, attempt, Outcome::TurnedAway, false, None);
    let second = sent_to(&host.handle(turned_away(0))).expect("sent again");
    assert_ne!(first, second, "a worker that was not tried comes first");
    let (ended, _) = running.iter().find(|(_, worker)| *worker == first).expect("a running job");
    host.handle(outcome_event(*ended, 0, Outcome::Served, true, None));
    host.now_ms += 300.0;
    assert_eq!(sent_to(&host.handle(turned_away(1))), Some(first));
}
