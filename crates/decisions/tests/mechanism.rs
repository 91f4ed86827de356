//! Single cases of placement, repetition, worker health, refusals, probes and determinism.

mod common;

use std::collections::BTreeSet;

use common::*;
use rookspoke_decisions::*;

/// Reports the first attempt of request `id` as served.
fn report_served(host: &mut Host, id: u64, load: Option<LoadReport>) {
    host.handle(outcome_event(id, 0, Outcome::Served, true, load));
}

#[test]
fn jobs_of_a_key_stay_on_one_worker() {
    let mut host = Host::new(settings(&[Effect::Safe]), 12);
    let mut workers = BTreeSet::new();
    for id in 0..20 {
        host.now_ms += 500.0;
        workers.insert(sent_to(&host.submit(id, 0, Some("k"))).expect("sent"));
        report_served(&mut host, id, None);
    }
    assert_eq!(workers.len(), 1, "{workers:?}");
}

#[test]
fn dispatchers_choose_the_same_worker_for_a_key_without_communication() {
    let first_workers = |seed: u64, dispatcher_index: usize| {
        let mut settings = settings(&[Effect::Safe]);
        (settings.dispatcher_index, settings.dispatchers) = (dispatcher_index, 4);
        let mut host =
            Host { dispatcher: Dispatcher::new(settings, seed).expect("valid settings"), now_ms: 1000.0 };
        host.handle(list_event(ListScope::Remembered, (0..12).map(listing).collect()));
        (0..30).map(|k| sent_to(&host.submit(k, 0, Some(&format!("k{k}"))))).collect::<Vec<_>>()
    };
    let (a, b) = (first_workers(1, 0), first_workers(99, 3));
    let same = a.iter().zip(&b).filter(|(a, b)| a == b).count();
    assert!(same >= 20, "only {same} of 30 keys have the same worker");
}

#[test]
fn a_key_moves_to_another_worker_when_its_own_is_full() {
    let mut host = Host::new(settings(&[Effect::Safe]), 3);
    let sends: Vec<String> = (0..12).filter_map(|id| sent_to(&host.submit(id, 0, Some("k")))).collect();
    assert_eq!(
        sends[..8].iter().collect::<BTreeSet<_>>().len(),
        1,
        "a worker is assumed to have eight slots"
    );
    assert_ne!(sends[0], sends[11], "a full worker gets no more jobs");
}

/// On a busy machine the first job started 68 ms late, and the next one was refused at once. A single late start does
/// not prove a queue; many of them do.
#[test]
fn a_single_late_start_is_no_reason_to_refuse() {
    for delay_ms in [68.0, 150.0, 400.0] {
        let mut host = Host::new(settings(&[Effect::Safe]), 1);
        assert!(sent_to(&host.submit(1, 0, Some("k"))).is_some());
        host.now_ms += delay_ms;
        host.handle(Event::AttemptUpdate {
            request: RequestId(1),
            attempt: 0,
            update: AttemptUpdate::Started,
        });
        report_served(&mut host, 1, None);
        assert!(
            sent_to(&host.submit(2, 0, Some("l"))).is_some(),
            "refused after one start {delay_ms} ms late"
        );
    }
    // Repeated late starts lead to refusals.
    let mut host = Host::new(settings(&[Effect::Safe]), 1);
    let sent = (1..60).filter(|id| {
        let sent = sent_to(&host.submit(*id, 0, Some("k"))).is_some();
        host.now_ms += 900.0;
        host.handle(Event::AttemptUpdate {
            request: RequestId(*id),
            attempt: 0,
            update: AttemptUpdate::Started,
        });
        report_served(&mut host, *id, None);
        sent
    });
    assert!(sent.count() < 59);
    // A worker without load reports is not avoided for ever: late starts carry no information after a minute.
    host.now_ms += 60_000.0;
    assert!(sent_to(&host.submit(60, 0, Some("k"))).is_some(), "refused because of late starts a minute ago");
}

/// Queues on the key's own few workers must not lead to a refusal while other workers can start the job in time.
#[test]
fn a_worker_of_another_zone_gets_jobs_that_would_start_too_late_in_the_same_zone() {
    let mut settings = settings(&[Effect::Safe]);
    settings.zones.push("there".into());
    let mut host = Host::new(settings, 0);
    let entry = |index| Listing { zone: if index == 0 { "here" } else { "there" }.into(), ..listing(index) };
    host.handle(list_event(ListScope::Complete, (0..7).map(entry).collect()));
    let sends: Vec<_> = (0..40).map(|id| sent_to(&host.submit(id, 0, Some("k")))).collect();
    assert!(sends.iter().all(Option::is_some), "{sends:?}");
}

/// A report under load understates the slots of a worker, so the first report has to arrive before any job.
#[test]
fn workers_without_a_report_are_probed_before_the_first_job() {
    let mut settings = settings(&[Effect::Safe]);
    settings.reporting = Reporting::Probe;
    let mut host = Host::new(settings, 0);
    let probe_count = |actions: Vec<Action>| actions.iter().filter(|a| matches!(a, Action::Probe(_))).count();
    host.now_ms += 300.0;
    assert_eq!(probe_count(host.handle(list_event(ListScope::Complete, (0..5).map(listing).collect()))), 5);
    let (outcome, latency) = (Outcome::Served, Span::from_ms(1.0));
    let load = LoadReport { free_slots: Some(4.0), ..LoadReport::default() };
    for index in 0..5 {
        host.handle(Event::Probed { worker: listing(index).worker, outcome, latency, load: Some(load) });
    }
    host.now_ms += 300.0;
    assert_eq!(probe_count(host.handle(Event::Timer(0))), 0);
}

/// A drain takes effect 6 s later, received or not. Pauses between calls that doubled up to several seconds broke the
/// rule on draining workers.
#[test]
fn failing_calls_for_the_list_are_repeated_within_two_seconds() {
    let mut settings = settings(&[Effect::Safe]);
    settings.discovery = Discovery::Subscribe;
    let mut host = Host::new(settings, 1);
    let mut calls = Vec::new();
    for _ in 0..400 {
        host.now_ms += 100.0;
        let out = host.handle(Event::Timer(0));
        if out.iter().any(|a| matches!(a, Action::Subscribe)) {
            calls.push(host.now_ms);
            host.handle(list_event(ListScope::Failed, Vec::new()));
        }
    }
    // The first call is spread over a quarter of `ask_every`; a pause ends with the next timer, every 100 ms.
    assert!(calls.len() > 20 && calls.windows(2).all(|pair| pair[1] - pair[0] <= 2000.0), "{calls:?}");
}

#[test]
fn a_worker_that_turned_a_job_away_counts_as_full_for_a_short_time() {
    let mut host = Host::new(settings(&[Effect::Unsafe]), 4);
    let first = sent_to(&host.submit(1, 0, Some("k"))).expect("sent");
    let again =
        sent_to(&host.handle(outcome_event(1, 0, Outcome::TurnedAway, false, None))).expect("sent again");
    assert_ne!(first, again);
    report_served(&mut host, 1, None);
    assert_ne!(sent_to(&host.submit(2, 0, Some("k"))), Some(first));
}

#[test]
fn a_worker_that_fails_fast_is_ejected() {
    let mut host = Host::new(settings(&[Effect::Unsafe]), 4);
    let first = sent_to(&host.submit(1, 0, Some("k"))).expect("sent");
    host.handle(outcome_event(1, 0, Outcome::Error, false, None));
    host.now_ms += 10.0;
    assert_ne!(
        sent_to(&host.submit(2, 0, Some("k"))),
        Some(first),
        "a worker with fast errors must not look idle"
    );
}

/// A dispatcher with a safe class (0) and an unsafe one (1), and the worker to which it sent request 1 of key "k".
fn host_with_first_worker() -> (Host, String) {
    let mut host = Host::new(settings(&[Effect::Safe, Effect::Unsafe]), 4);
    let first = sent_to(&host.submit(1, 0, Some("k"))).expect("sent");
    (host, first)
}

/// A worker that fails most jobs at once always has free slots, and unsafe jobs that it may have run are lost. A pause
/// alone does not prove that it has recovered.
#[test]
fn unsafe_jobs_avoid_a_failed_worker_until_its_errors_have_decayed() {
    let (mut host, failing) = host_with_first_worker();
    host.handle(outcome_event(1, 0, Outcome::Error, true, None));
    host.now_ms += 3_000.0;
    assert_ne!(sent_to(&host.submit(2, 1, Some("k"))), Some(failing.clone()));
    let tried = sent_to(&host.submit(3, 0, Some("k")));
    assert_eq!(tried, Some(failing.clone()), "a safe job tests the worker");
    report_served(&mut host, 3, None);
    assert_ne!(
        sent_to(&host.submit(4, 1, Some("k"))),
        Some(failing.clone()),
        "one served job does not prove health"
    );
    host.now_ms += 20_000.0;
    assert_eq!(sent_to(&host.submit(5, 1, Some("k"))), Some(failing), "errors have decayed");
}

#[test]
fn unsafe_jobs_avoid_a_worker_whose_load_report_shows_errors() {
    let (mut host, failing) = host_with_first_worker();
    report_served(&mut host, 1, None);
    let load = LoadReport { errors_per_s: Some(1.2), served_per_s: Some(0.5), ..LoadReport::default() };
    let (outcome, latency) = (Outcome::Served, Span::from_ms(1.0));
    host.handle(Event::Probed { worker: failing.as_str().into(), outcome, latency, load: Some(load) });
    assert_ne!(sent_to(&host.submit(2, 1, Some("k"))), Some(failing.clone()));
    assert_eq!(sent_to(&host.submit(3, 0, Some("k"))), Some(failing));
}

#[test]
fn an_unsafe_job_is_sent_if_all_workers_have_failed() {
    let mut host = Host::new(settings(&[Effect::Safe, Effect::Unsafe]), 1);
    host.submit(1, 0, Some("k"));
    host.handle(outcome_event(1, 0, Outcome::Error, true, None));
    host.now_ms += 3_000.0;
    assert!(sent_to(&host.submit(2, 1, Some("k"))).is_some());
}

/// The initial estimate of the run time of a class that has not run yet must not lead to the refusal of other classes.
#[test]
fn a_class_that_has_not_run_yet_does_not_make_others_look_expensive() {
    let mut host = Host::new(settings(&[Effect::Safe, Effect::Unsafe]), 1);
    host.submit(1, 0, Some("k"));
    let latency = Span::from_ms(1_600.0);
    let (request, load) = (RequestId(1), None);
    host.handle(Event::Outcome(AttemptEnd {
        request,
        attempt: 0,
        outcome: Outcome::Served,
        latency,
        closed: true,
        load,
    }));
    (2..9).for_each(|id| drop(host.submit(id, 0, Some("k"))));
    assert!(sent_to(&host.submit(9, 0, Some("k"))).is_some());
}

/// A job whose worker sends three updates, up to 3.9 s apart, and then none for 4.1 s: the host and its actions then.
/// Updates are expected every 2 s.
fn silent_worker_after_updates(class: usize) -> (Host, Vec<Action>) {
    let mut host = Host::new(settings(&[Effect::Safe, Effect::Unsafe]), 4);
    let deadline = host.now() + Span::from_ms(30_000.0);
    sent_to(&host.handle(request_event(1, class, Some("k"), deadline))).expect("sent");
    let (request, attempt) = (RequestId(1), 0);
    for update in [AttemptUpdate::Started, AttemptUpdate::Progress(0.2), AttemptUpdate::Progress(0.4)] {
        let out = host.handle(Event::AttemptUpdate { request, attempt, update });
        assert!(!has_cancel(&out), "cancelled though updates arrive");
        host.now_ms += 3_900.0;
        assert!(!has_cancel(&host.handle(Event::Timer(0))), "cancelled though only one update is late");
    }
    host.now_ms += 200.0;
    let out = host.handle(Event::Timer(0));
    (host, out)
}

/// Whether the actions include a `Fail` of request `id`.
fn has_fail(actions: &[Action], id: u64) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { request, .. } if *request == RequestId(id)))
}

/// Whether the actions include a `Cancel`.
fn has_cancel(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Cancel { .. }))
}

#[test]
fn a_job_on_a_silent_worker_is_answered_at_once_if_unsafe_or_too_late_to_repeat() {
    let (mut host, out) = silent_worker_after_updates(1);
    assert!(has_cancel(&out), "{out:?}");
    let out = host.handle(outcome_event(1, 0, Outcome::Cancelled, false, None));
    assert!(matches!(out[..], [Action::Fail { request: RequestId(1), .. }, ..]), "it may have run: {out:?}");
    let (mut host, out) = silent_worker_after_updates(0);
    assert!(has_cancel(&out), "{out:?}");
    let out = host.handle(outcome_event(1, 0, Outcome::Cancelled, false, None));
    assert!(matches!(out[..], [Action::Refuse { .. }, ..]), "too late for another attempt: {out:?}");
}

#[test]
fn a_safe_job_on_a_silent_worker_is_sent_to_another_if_in_time() {
    let mut settings = settings(&[Effect::Safe]);
    settings.classes[0].aim = Span::from_ms(8_000.0);
    let mut host = Host::new(settings, 4);
    let first = sent_to(&host.submit(1, 0, Some("k"))).expect("sent");
    host.handle(Event::AttemptUpdate { request: RequestId(1), attempt: 0, update: AttemptUpdate::Started });
    host.now_ms += 4_000.0;
    assert!(has_cancel(&host.handle(Event::Timer(0))));
    let again = sent_to(&host.handle(outcome_event(1, 0, Outcome::Cancelled, false, None)));
    assert!(again.is_some_and(|again| again != first));
}

/// Successive processes of one dispatcher share its turns at a worker in slow start: a turn that one process has used
/// must not be used again by the next.
#[test]
fn a_restarted_dispatcher_does_not_reuse_a_slow_start_turn() {
    let start = Time::from_ms(1_000.0);
    let started_at = |now_ms| {
        let mut settings = settings(&[Effect::Safe]);
        settings.rules.overload_window = Span::from_ms(3_000.0);
        let mut host = Host { dispatcher: Dispatcher::new(settings, 7).expect("valid settings"), now_ms };
        let in_slow_start = Listing { started: Some(start), ..listing(0) };
        host.handle(list_event(ListScope::Complete, vec![in_slow_start]));
        host
    };
    let mut old = started_at(1_000.0);
    let first = (0..100u64).find(|id| {
        old.now_ms += 100.0;
        sent_to(&old.submit(*id, 0, None)).is_some()
    });
    assert!(first.is_some(), "the first process gets a turn");
    let mut new = started_at(old.now_ms + 20.0);
    assert_eq!(sent_to(&new.submit(1, 0, None)), None, "the turn is already used");
    let next = (2..100u64).find(|id| {
        new.now_ms += 100.0;
        sent_to(&new.submit(*id, 0, None)).is_some()
    });
    assert!(next.is_some(), "the second process gets the next turn");
}

/// When slots are scarce, a job that needs four of them displaces three other jobs and has the worth of only one.
#[test]
fn a_job_of_many_slots_is_refused_while_a_job_of_one_is_still_sent() {
    let answer = |slots: f64| {
        let mut host = Host::new(settings(&[Effect::Safe]), 1);
        for id in 0..7 {
            host.submit(id, 0, Some("k"));
        }
        let Event::Request(template) = request_event(9, 0, Some("k"), Time::from_ms(host.now_ms + 5_000.0))
        else {
            panic!()
        };
        host.handle(Event::Request(Request { slots, ..template }))
    };
    assert!(sent_to(&answer(1.0)).is_some());
    let large = answer(4.0);
    assert!(large.iter().any(|a| matches!(a, Action::Refuse { .. })), "{large:?}");
}

#[test]
fn an_unsafe_job_that_may_have_run_fails_and_is_not_sent_again() {
    let mut host = Host::new(settings(&[Effect::Unsafe]), 4);
    host.submit(1, 0, Some("k"));
    let after = host.handle(outcome_event(1, 0, Outcome::ConnectionLost, false, None));
    assert!(has_fail(&after, 1), "{after:?}");
    assert_eq!(sent_to(&after), None);
}

#[test]
fn a_safe_job_that_waits_gets_a_second_attempt_whose_start_cancels_the_first() {
    let mut host = Host::new(settings(&[Effect::Safe]), 4);
    let first = sent_to(&host.submit(1, 0, Some("k"))).expect("sent");
    host.now_ms += 150.0;
    let second = sent_to(&host.handle(Event::Timer(0))).expect("a second attempt");
    assert_ne!(first, second);
    let started = Event::AttemptUpdate { request: RequestId(1), attempt: 1, update: AttemptUpdate::Started };
    assert!(host.handle(started).contains(&Action::Cancel { request: RequestId(1), attempt: 0 }));
}

/// Without hedging, an eighth of the worth was lost to first choices based on outdated load reports: a job that waits is
/// cancelled and sent to another worker. Unsafe jobs stay where they are, and so do all jobs if wasted work is expensive.
#[test]
fn without_hedging_a_safe_job_that_waits_is_cancelled_and_sent_to_another_worker() {
    for (effect, waste_price, moves) in
        [(Effect::Safe, 0.02, true), (Effect::Safe, 0.5, false), (Effect::Unsafe, 0.02, false)]
    {
        let mut settings = settings(&[effect]);
        (settings.limits.second_copies, settings.waste_price) = (false, waste_price);
        let mut host = Host::new(settings, 4);
        let first = sent_to(&host.submit(1, 0, Some("k"))).expect("sent");
        host.now_ms += 150.0;
        let actions = host.handle(Event::Timer(0));
        assert_eq!(sent_to(&actions), None, "two attempts would be pending");
        assert_eq!(
            actions.contains(&Action::Cancel { request: RequestId(1), attempt: 0 }),
            moves,
            "{effect:?}, waste price {waste_price}"
        );
        if moves {
            assert!(
                sent_to(&host.handle(Event::Timer(0))).is_none(),
                "not before the cancellation is confirmed"
            );
            let second = sent_to(&host.handle(outcome_event(1, 0, Outcome::Cancelled, false, None)));
            assert!(second.is_some_and(|second| second != first), "it is sent to another worker");
        }
    }
}

#[test]
fn jobs_of_no_required_kind_avoid_a_kind_that_others_require() {
    let mut settings = settings(&[Effect::Safe, Effect::Safe]);
    settings.classes[1].kind = Some(KindId(1));
    settings.reports_start = false;
    let mut host = Host::new(settings, 0);
    let kind = |index: usize| if index < 3 { "large" } else { "small" };
    let workers = (0..6).map(|index| Listing { kind: kind(index).into(), ..listing(index) });
    host.handle(list_event(ListScope::Complete, workers.collect()));
    // The class with a required kind loads that kind before the other class arrives.
    for id in 0..600 {
        host.now_ms += 10.0;
        host.submit(id, 1, Some("bound"));
        report_served(&mut host, id, None);
    }
    let sends = (1000..1060).filter_map(|id| {
        host.now_ms += 50.0;
        let to = sent_to(&host.submit(id, 0, Some(&format!("k{id}"))));
        report_served(&mut host, id, None);
        to
    });
    let on_required_kind = sends.filter(|worker| ["w0", "w1", "w2"].contains(&worker.as_str())).count();
    assert!(on_required_kind < 6, "{on_required_kind} of 60 jobs on the kind that the other class requires");
}

#[test]
fn jobs_beyond_a_tenants_share_are_refused_first() {
    let mut settings = settings(&[Effect::Safe]);
    settings.tenants = vec![
        Tenant { name: "a".into(), allowance_per_s: 0.3 },
        Tenant { name: "b".into(), allowance_per_s: 100.0 },
    ];
    settings.limits.second_copies = false;
    let mut host = Host::new(settings, 1);
    let mut send = |id: u64, tenant: usize| {
        host.now_ms += 20.0;
        let deadline = host.now() + Span::from_ms(5000.0);
        let Event::Request(mut request) = request_event(id, 0, Some("k"), deadline) else { unreachable!() };
        request.tenant = Some(TenantId(tenant));
        host.handle(Event::Request(request))
    };
    (0..5).for_each(|id| drop(send(id, 1)));
    // None of them has started, so the worker has a queue, and only jobs beyond the share of tenant "a" are refused.
    let refused = |out: Vec<Action>| out.iter().any(|a| matches!(a, Action::Refuse { .. }));
    let over_share_refusals = (10..16).filter(|id| refused(send(*id, 0))).count();
    assert!(over_share_refusals >= 4, "{over_share_refusals} of 6 refused");
    assert!(!refused(send(20, 1)));
}

/// Jobs of one slot and of four, of each of two classes, for a single worker with `taken_slots` slots in use: whether
/// each is sent. Class 1 has five times the worth of class 0.
fn sends_under_load(worth_by: WorthBy, taken_slots: usize) -> Vec<bool> {
    let mut settings = settings(&[Effect::Safe, Effect::Safe]);
    (settings.worth_by, settings.classes[1].worth, settings.limits.second_copies) = (worth_by, 5.0, false);
    let mut host = Host::new(settings, 1);
    (0..taken_slots as u64).for_each(|id| drop(host.submit(id, 0, None)));
    let sends = [(100, 0, 1.0), (101, 1, 1.0), (102, 0, 4.0), (103, 1, 4.0)].map(|(id, class, slots)| {
        let deadline = host.now() + Span::from_ms(5000.0);
        let Event::Request(mut request) = request_event(id, class, None, deadline) else { unreachable!() };
        request.slots = slots;
        let sent = sent_to(&host.handle(Event::Request(request))).is_some();
        host.handle(Event::ClientGone(RequestId(id)));
        host.handle(outcome_event(id, 0, Outcome::Cancelled, true, None));
        sent
    });
    sends.into()
}

/// With worth by work, a class of five times the worth had the other class refused at a one in ten chance of being late,
/// while slots were free. With worth by request, jobs that need many slots for their worth are refused first.
#[test]
fn jobs_of_little_worth_per_slot_are_refused_first_only_with_worth_by_request() {
    let classes_equal = |sends: &[bool]| sends[0] == sends[1] && sends[2] == sends[3];
    let mut refused_by_request = 0;
    for taken_slots in 0..24 {
        let by_request = sends_under_load(WorthBy::Request, taken_slots);
        let by_work = sends_under_load(WorthBy::Work, taken_slots);
        assert!(classes_equal(&by_work), "{taken_slots} slots taken: one class is refused before the other");
        assert_eq!(
            by_request[1], by_work[1],
            "{taken_slots} slots taken: the class of the higher worth is treated differently"
        );
        for (by_request, by_work) in by_request.iter().zip(&by_work) {
            assert!(by_work | !by_request, "{taken_slots} slots taken: refused by work, sent by request");
        }
        refused_by_request += usize::from(by_work[2] && !by_request[2]);
    }
    assert!(refused_by_request > 0);
}

/// For a dispatcher in each of four zones with three workers each: the workers to which it sends the first jobs of 30
/// keys, or 30 jobs without a key.
fn first_workers_by_zone(cross_zone_price: f64, keyed: bool) -> Vec<Vec<String>> {
    let zones: Vec<Name> = ["a", "b", "c", "d"].map(Name::from).into();
    let entry = |index: usize| Listing { zone: zones[index % 4].clone(), ..listing(index) };
    let sends = zones.iter().map(|zone| {
        let mut settings = settings(&[Effect::Safe]);
        (settings.zones, settings.zone, settings.cross_zone_price) =
            (zones.clone(), zone.clone(), cross_zone_price);
        let mut host = Host::new(settings, 0);
        host.handle(list_event(ListScope::Complete, (0..12).map(entry).collect()));
        let mut first = |id| {
            let to = sent_to(&host.submit(id, 0, keyed.then(|| format!("k{id}")).as_deref())).expect("sent");
            report_served(&mut host, id, None);
            to
        };
        (0..30).map(&mut first).collect()
    });
    sends.collect()
}

/// When each of four zones placed keys on its own three workers only, every zone fetched each key for itself, and a hot
/// key had no further workers.
#[test]
fn a_key_is_placed_across_zones_if_cross_zone_attempts_are_cheap() {
    let same_zone = |sends: &[Vec<String>]| {
        let in_own_zone = |(zone, to): (usize, &Vec<String>)| {
            to.iter()
                .filter(|worker| worker[1..].parse::<usize>().is_ok_and(|index| index % 4 == zone))
                .count()
        };
        sends.iter().enumerate().map(in_own_zone).sum::<usize>()
    };
    let cheap = first_workers_by_zone(0.025, true);
    let agreed = (0..30).filter(|key| cheap.iter().all(|to| to[*key] == cheap[0][*key])).count();
    assert!(
        agreed >= 20 && same_zone(&cheap) < 60,
        "{agreed} of 30 keys agreed, {} of 120 sends in the same zone",
        same_zone(&cheap)
    );
    // A job without a key needs no fetch, and if cross-zone attempts are expensive, a fetch costs less.
    assert!(same_zone(&first_workers_by_zone(0.025, false)) > 100);
    assert!(same_zone(&first_workers_by_zone(0.1, true)) > 100);
}

/// Six workers in racks of three, and a job of a keyed class that was sent to the returned worker and is pending there.
fn host_with_keyed_job(group: Group) -> (Host, String) {
    let mut settings = settings(&[Effect::Keyed { group, window: Span::from_ms(2_500.0) }]);
    settings.reports_start = false;
    let mut host = Host::new(settings, 6);
    let first = sent_to(&host.submit(1, 0, Some("k"))).expect("sent");
    (host, first)
}

fn rack_of(worker: &str) -> usize {
    worker[1..].parse::<usize>().expect("worker name ends in a number") / 3
}

#[test]
fn a_repeat_of_a_keyed_job_stays_in_its_rack() {
    let (mut host, first) = host_with_keyed_job(Group::Cell);
    let second =
        sent_to(&host.handle(outcome_event(1, 0, Outcome::ConnectionLost, false, None))).expect("sent again");
    assert_eq!(rack_of(&first), rack_of(&second));
    let third = sent_to(&host.handle(outcome_event(1, 1, Outcome::ConnectionLost, false, None)))
        .expect("sent a third time");
    assert_eq!(rack_of(&first), rack_of(&third));
}

/// When no worker was left that would discard the repeat, the job failed only at the end of its window, seconds later.
#[test]
fn a_keyed_job_whose_rack_is_removed_fails_at_once() {
    let remove_rack: [fn(&mut Host, Vec<Listing>); 4] = [
        |host, rack| {
            drop(host.handle(list_event(ListScope::Changes, with_readiness(rack, Readiness::Draining))))
        },
        |host, rack| drop(host.handle(list_event(ListScope::Changes, with_readiness(rack, Readiness::Gone)))),
        |host, rack| {
            let since = host.now();
            let bans: Vec<Ban> = rack.into_iter().map(|entry| Ban { worker: entry.worker, since }).collect();
            host.handle(Event::Bans(bans.into()));
        },
        // The new list has no racks: each worker is a group of its own.
        |host, _| {
            let alone = (10..12).map(|index| Listing { cell: None, ..listing(index) }).collect();
            host.handle(list_event(ListScope::Complete, alone));
        },
    ];
    for (case, remove_rack) in remove_rack.into_iter().enumerate() {
        let (mut host, first) = host_with_keyed_job(Group::Cell);
        remove_rack(&mut host, (0..6).filter(|index| index / 3 == rack_of(&first)).map(listing).collect());
        let out = host.handle(outcome_event(1, 0, Outcome::ConnectionLost, false, None));
        assert!(has_fail(&out, 1), "case {case}: {out:?}");
    }
}

/// A client's retry is bound by an earlier attempt that may have run, pending or finished, but not by one that never ran.
#[test]
fn a_retry_with_the_same_idempotency_key_stays_in_the_rack_of_an_attempt_that_may_have_run() {
    let submit_with_hash = |host: &mut Host, id: u64, idempotency_hash: u64| {
        let deadline = host.now() + Span::from_ms(5000.0);
        let Event::Request(mut request) = request_event(id, 0, Some(&format!("k{id}")), deadline) else {
            unreachable!()
        };
        request.idempotency_hash = Some(idempotency_hash);
        sent_to(&host.handle(Event::Request(request)))
    };
    let racks = |outcome: Option<Outcome>| {
        let (mut host, _) = host_with_keyed_job(Group::Cell);
        let first = rack_of(&submit_with_hash(&mut host, 2, 7).expect("sent"));
        if let Some(outcome) = outcome {
            host.handle(Event::ClientGone(RequestId(2)));
            host.handle(outcome_event(2, 0, outcome, true, None));
        }
        let later: Vec<_> =
            (10..30).map(|id| rack_of(&submit_with_hash(&mut host, id, 7).expect("sent"))).collect();
        later.into_iter().filter(|rack| *rack != first).count()
    };
    assert_eq!(racks(None), 0, "the first attempt is pending");
    assert_eq!(racks(Some(Outcome::Cancelled)), 0);
    assert_eq!(racks(Some(Outcome::Served)), 0);
    // Requests with other hashes are not bound to the rack. Each has a hash of its own here, because the first request with
    // a hash determines the rack of those that follow.
    let (mut host, first) = host_with_keyed_job(Group::Cell);
    host.handle(outcome_event(1, 0, Outcome::ConnectionLost, true, None));
    assert!((10..30)
        .any(|id| submit_with_hash(&mut host, id, id).is_some_and(|to| rack_of(&to) != rack_of(&first))));
}

/// The entries of a rack with their readiness changed.
fn with_readiness(rack: Vec<Listing>, readiness: Readiness) -> Vec<Listing> {
    rack.into_iter().map(|entry| Listing { readiness, ..entry }).collect()
}

/// A refusal tells the client that a retry does no harm. For a job that may have run this holds only while workers still
/// discard the repeat.
#[test]
fn a_keyed_job_that_may_have_run_is_refused_only_while_its_repeat_is_discarded() {
    for (ms, refused) in [(100.0, true), (450.0, true), (520.0, false), (1_500.0, false)] {
        let (mut host, _) = host_with_keyed_job(Group::All);
        host.now_ms += ms;
        let mut out = Vec::new();
        for attempt in 0..3 {
            out.extend(host.handle(outcome_event(1, attempt, Outcome::Error, false, None)));
        }
        let was_refused = out.iter().any(|a| matches!(a, Action::Refuse { .. }));
        assert!(was_refused == refused && (refused || has_fail(&out, 1)), "{ms} ms: {out:?}");
    }
}

#[test]
fn keys_used_once_do_not_accumulate_timers() {
    let mut host = Host::new(settings(&[Effect::Safe]), 6);
    let mut timers = 0;
    for id in 0..20_000 {
        host.now_ms += 5.0;
        let out = host.submit(id, 0, Some(&format!("once{id}")));
        timers += out.iter().filter(|a| matches!(a, Action::SetTimer { .. })).count();
        report_served(&mut host, id, free_slots_report(6.0));
    }
    assert!(timers <= 40_000, "{timers} timers");
}

#[test]
fn the_same_events_produce_the_same_actions() {
    let run = || {
        let mut host = Host::new(settings(&[Effect::Safe, Effect::Unsafe]), 9);
        let mut all = Vec::new();
        for id in 0..400 {
            host.now_ms += 7.0;
            all.extend(host.submit(id, (id % 2) as usize, (id % 3 > 0).then_some("k")));
            all.extend(host.handle(outcome_event(
                id,
                0,
                Outcome::Served,
                true,
                free_slots_report((id % 9) as f64),
            )));
        }
        all
    };
    assert_eq!(run(), run());
}

#[test]
fn names_of_classes_kinds_zones_and_tenants_do_not_affect_decisions() {
    let run = |prefix: &str| {
        let mut settings = settings(&[Effect::Safe, Effect::Unsafe]);
        settings.kinds = vec![format!("{prefix}k0").into(), format!("{prefix}k1").into()];
        settings.zone = format!("{prefix}z").into();
        settings.zones = vec![settings.zone.clone()];
        settings.classes.iter_mut().for_each(|class| class.name = format!("{prefix}{}", class.name).into());
        settings.tenants = vec![Tenant { name: format!("{prefix}t").into(), allowance_per_s: 50.0 }];
        let (zone, kind) = (settings.zone.clone(), settings.kinds[0].clone());
        let mut host = Host::new(settings, 0);
        let entry = |index| Listing { zone: zone.clone(), kind: kind.clone(), ..listing(index) };
        let mut all = host.handle(list_event(ListScope::Complete, (0..9).map(entry).collect()));
        for id in 0..300 {
            host.now_ms += 9.0;
            all.extend(host.submit(id, (id % 2) as usize, Some(&format!("k{}", id % 5))));
            all.extend(host.handle(outcome_event(id, 0, Outcome::Served, true, None)));
        }
        all
    };
    assert_eq!(run("a"), run("zebra-"));
}

#[test]
fn unknown_requests_and_attempts_are_ignored() {
    let mut host = Host::new(settings(&[Effect::Safe]), 2);
    let timers_only = |out: Vec<Action>| out.iter().all(|a| matches!(a, Action::SetTimer { .. }));
    assert!(timers_only(host.handle(outcome_event(77, 3, Outcome::Served, true, None))));
    assert!(timers_only(host.handle(Event::ClientGone(RequestId(5)))));
    assert!(timers_only(host.handle(Event::AttemptUpdate {
        request: RequestId(9),
        attempt: 4,
        update: AttemptUpdate::Started
    })));
    assert!(timers_only(host.handle(Event::StreamStarted { request: RequestId(9), attempt: 0 })));
}

#[test]
fn invalid_settings_are_rejected_with_the_name_of_the_setting() {
    let rejected_setting = |change: fn(&mut Settings)| {
        let mut settings = settings(&[Effect::Safe]);
        change(&mut settings);
        Dispatcher::new(settings, 1).err().map(|e| e.setting)
    };
    assert_eq!(rejected_setting(|_| {}), None);
    assert_eq!(rejected_setting(|settings| settings.classes.clear()), Some("classes"));
    assert_eq!(rejected_setting(|settings| settings.dispatchers = 0), Some("balancers"));
    assert_eq!(rejected_setting(|settings| settings.dispatcher_index = 1), Some("me"));
    assert_eq!(rejected_setting(|settings| settings.rules.ramp = Span(-1)), Some("rules.ramp"));
    assert_eq!(rejected_setting(|settings| settings.classes[0].aim = Span(-5)), Some("classes.aim"));
}

#[test]
fn a_failed_subscription_is_repeated_within_ask_every() {
    let mut settings = settings(&[Effect::Safe]);
    settings.discovery = Discovery::Subscribe;
    let mut host = Host::new(settings, 2);
    let (mut last_call, mut calls) = (host.now_ms, 0);
    for _ in 0..600 {
        host.now_ms += 100.0;
        if host.handle(Event::Timer(0)).contains(&Action::Subscribe) {
            assert!(host.now_ms - last_call <= 10_000.0, "no call for {} ms", host.now_ms - last_call);
            (last_call, calls) = (host.now_ms, calls + 1);
            host.handle(list_event(ListScope::Failed, Vec::new()));
        }
    }
    assert!((6..60).contains(&calls), "{calls} calls in a minute");
}

/// When each of a hundred dispatchers probed every worker, probes were most of the traffic that the workers received in
/// their first seconds, and most of the probes were turned away.
#[test]
fn dispatchers_of_a_shared_fleet_do_not_probe_all_workers() {
    let mut settings = settings(&[Effect::Safe]);
    (settings.reporting, settings.dispatchers) = (Reporting::Probe, 100);
    let mut host = Host::new(settings, 0);
    host.now_ms += 300.0;
    let actions = host.handle(list_event(ListScope::Complete, (0..60).map(listing).collect()));
    assert!(!actions.iter().any(|a| matches!(a, Action::Probe(_))), "{actions:?}");
    let actions = host.submit(1, 0, Some("k"));
    assert!(
        actions.iter().any(|a| matches!(a, Action::Probe(_))),
        "the workers considered for a job are still probed"
    );
}

/// Without load reports each of a hundred dispatchers assumed that a key's first worker was free, and together they sent
/// it ten times its capacity.
#[test]
fn a_new_job_in_a_shared_fleet_waits_for_a_probe() {
    let mut settings = settings(&[Effect::Unsafe]);
    (settings.reporting, settings.dispatchers) = (Reporting::Probe, 100);
    let mut host = Host::new(settings, 8);
    let mut actions = host.submit(1, 0, Some("k"));
    assert!(sent_to(&actions).is_none(), "{actions:?}");
    // The first worker that is probed is full; the others are not.
    let (outcome, latency, mut full) = (Outcome::Served, Span::from_ms(2.0), None);
    while sent_to(&actions).is_none() {
        for action in std::mem::take(&mut actions) {
            let Action::Probe(worker) = action else { continue };
            let load = if *full.get_or_insert(worker.clone()) == worker {
                free_slots_report(0.0)
            } else {
                free_slots_report(4.0)
            };
            actions.extend(host.handle(Event::Probed { worker, outcome, latency, load }));
        }
        host.now_ms += 25.0;
        assert!(host.now_ms < 1_200.0, "the job waits for too long");
        actions.extend(host.handle(Event::Timer(0)));
    }
    assert_ne!(sent_to(&actions), full.map(|worker| worker.to_string()));
    // The wait is bounded: a job is sent even if no probe is answered.
    assert!(sent_to(&host.submit(2, 0, Some("other"))).is_none());
    host.now_ms += 100.0;
    assert!(sent_to(&host.handle(Event::Timer(0))).is_some());
}

/// After a release, a probe finds a worker that is gone at a lower cost than an attempt of a job.
#[test]
fn a_worker_whose_probe_finds_no_connection_gets_no_jobs() {
    let mut settings = settings(&[Effect::Safe]);
    settings.reporting = Reporting::Probe;
    let mut host = Host::new(settings, 2);
    let first = sent_to(&host.submit(0, 0, Some("k"))).expect("sent");
    report_served(&mut host, 0, None);
    let (worker, latency) = (Name::from(first.as_str()), Span::from_ms(1.0));
    host.handle(Event::Probed { worker, outcome: Outcome::NoConnection, latency, load: None });
    assert_ne!(sent_to(&host.submit(1, 0, Some("k"))), Some(first));
}

/// Discovery answers one call after another. If many dispatchers repeat their calls within a second, its queue stays full
/// and every call times out before it is answered.
#[test]
fn many_dispatchers_repeat_calls_no_faster_than_discovery_answers_them() {
    let mut settings = settings(&[Effect::Safe]);
    (settings.discovery, settings.dispatchers) = (Discovery::Subscribe, 100);
    let mut host = Host::new(settings, 2);
    let (mut calls, start) = (0, host.now_ms);
    while host.now_ms < start + 60_000.0 {
        host.now_ms += 50.0;
        if host.handle(Event::Timer(0)).contains(&Action::Subscribe) {
            calls += 1;
            host.handle(list_event(ListScope::Failed, Vec::new()));
        }
    }
    assert!((4..=15).contains(&calls), "{calls} calls in a minute");
}

/// With load reports in answers only, each of a hundred dispatchers receives a report of a worker once in tens of seconds,
/// and of a worker in another zone never. Cross-zone workers were assumed to be as full as those of the same zone and
/// stayed idle under normal load.
#[test]
fn a_shared_fleet_is_probed_even_if_answers_report_the_load() {
    for (dispatchers, probes_expected) in [(100, true), (4, false)] {
        let mut settings = settings(&[Effect::Safe]);
        (settings.reporting, settings.dispatchers) = (Reporting::Answers, dispatchers);
        settings.zones.push("there".into());
        let mut host = Host::new(settings, 0);
        let entry =
            |index| Listing { zone: if index < 2 { "here" } else { "there" }.into(), ..listing(index) };
        host.handle(list_event(ListScope::Complete, (0..4).map(entry).collect()));
        host.now_ms += 1000.0;
        let (mut probed, latency) = (BTreeSet::new(), Span::from_ms(1.0));
        for id in 0..8 {
            host.now_ms += 100.0;
            let mut actions = host.submit(id, 0, Some("k"));
            while let Some(action) = actions.pop() {
                let Action::Probe(worker) = action else { continue };
                probed.insert(worker.to_string());
                let load = LoadReport { free_slots: Some(0.0), queue: Some(30.0), ..LoadReport::default() };
                let load = if ["w0", "w1"].contains(&&*worker) { Some(load) } else { free_slots_report(8.0) };
                actions.extend(host.handle(Event::Probed {
                    worker,
                    outcome: Outcome::Served,
                    latency,
                    load,
                }));
            }
        }
        assert_eq!(
            probed.contains("w2") && probed.contains("w3"),
            probes_expected,
            "{dispatchers} dispatchers: {probed:?}"
        );
        let sent = sent_to(&host.submit(100, 0, Some("k")));
        assert!(
            !probes_expected || sent.as_deref() == Some("w2") || sent.as_deref() == Some("w3"),
            "{sent:?}"
        );
    }
}

/// After the loss of a zone, its jobs used up all their attempts within a second on workers that no longer existed.
#[test]
fn an_attempt_after_a_failed_connection_waits_for_a_probe() {
    let mut settings = settings(&[Effect::Unsafe]);
    (settings.reporting, settings.dispatchers) = (Reporting::Probe, 100);
    let mut host = Host::new(settings, 8);
    host.submit(1, 0, Some("k"));
    host.now_ms += 100.0;
    assert!(
        sent_to(&host.handle(Event::Timer(0))).is_some(),
        "the job is sent although no probe was answered"
    );
    let after = host.handle(outcome_event(1, 0, Outcome::NoConnection, false, None));
    assert!(sent_to(&after).is_none(), "{after:?}");
    host.now_ms += 100.0;
    assert!(sent_to(&host.handle(Event::Timer(0))).is_some(), "it waits no longer than the first attempt");
}

proptest::proptest! {
    /// For lists and operator bans in any order, jobs are sent only to workers that are in service and not banned, and the
    /// worker counts are those of a simple model.
    #[test]
    fn lists_and_bans_match_a_simple_model_in_any_order(
        steps in proptest::collection::vec((0usize..4, 0u8..6, proptest::bool::ANY), 1..60),
    ) {
        let mut host = Host::new(settings(&[Effect::Safe]), 0);
        let (mut listed, mut banned) = (std::collections::BTreeMap::new(), BTreeSet::new());
        for (id, (worker, step, complete)) in steps.into_iter().enumerate() {
            let readiness = [Readiness::InService, Readiness::Draining, Readiness::Gone];
            match step {
                0..=2 => {
                    let readiness = readiness[usize::from(step)];
                    let scope = if complete { ListScope::Complete } else { ListScope::Changes };
                    if complete {
                        listed.clear();
                    }
                    listed.insert(worker, readiness);
                    host.handle(list_event(scope, vec![Listing { readiness, ..listing(worker) }]));
                }
                3 => drop(banned.insert(worker)),
                4 => drop(banned.remove(&worker)),
                _ => banned.clear(),
            }
            if step > 2 {
                let ban = |index: &usize| Ban { worker: format!("w{index}").into(), since: Time::from_ms(host.now_ms) };
                let bans = banned.iter().map(ban).collect();
                host.handle(Event::Bans(bans));
            }
            // Longer than a slow start.
            host.now_ms += 30_000.0;
            listed.retain(|_, readiness| *readiness != Readiness::Gone);
            let accepts_jobs = |index: &usize| {
                listed.get(index) == Some(&Readiness::InService) && !banned.contains(index)
            };
            let sent = sent_to(&host.submit(id as u64, 0, None));
            let available = (0..4).filter(accepts_jobs).count();
            proptest::prop_assert_eq!(
                sent.is_some(),
                available > 0,
                "sent to {:?}, listed {:?}, banned {:?}",
                sent,
                &listed,
                &banned
            );
            if let Some(name) = sent {
                proptest::prop_assert!(accepts_jobs(&name[1..].parse().expect("worker name ends in a number")));
                report_served(&mut host, id as u64, None);
            }
            let counts = WorkerCounts { known: listed.len(), skipped: listed.len() - available };
            proptest::prop_assert_eq!(host.dispatcher.worker_counts(), counts);
            for worker in 0..4 {
                let known = listed.contains_key(&worker) || banned.contains(&worker);
                proptest::prop_assert_eq!(host.dispatcher.knows(&format!("w{worker}")), known);
            }
        }
    }
}
