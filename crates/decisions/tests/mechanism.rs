//! The plain mechanism, health, refusals and determinism, case by case.

mod common;

use std::collections::BTreeSet;

use common::*;
use rookspoke_decisions::*;

fn serve(host: &mut Host, id: u64, load: Option<LoadReport>) {
    host.handle(outcome_event(id, 0, Outcome::Served, true, load));
}

#[test]
fn a_key_stays_with_its_worker() {
    let mut host = Host::new(settings(&[Effect::Safe]), 12);
    let mut seen = BTreeSet::new();
    for id in 0..20 {
        host.now_ms += 500.0;
        seen.insert(sent_to(&host.submit(id, 0, Some("k"))).expect("sent"));
        serve(&mut host, id, None);
    }
    assert_eq!(seen.len(), 1, "{seen:?}");
}

#[test]
fn dispatchers_agree_on_a_keys_worker_without_talk() {
    let first = |seed: u64, me: usize| {
        let mut s = settings(&[Effect::Safe]);
        (s.dispatcher_index, s.dispatchers) = (me, 4);
        let mut host = Host {
            dispatcher: rookspoke_decisions::Dispatcher::new(s, seed).expect("settings"),
            now_ms: 1000.0,
        };
        host.handle(list_event(ListScope::Remembered, (0..12).map(listing).collect()));
        (0..30).map(|k| sent_to(&host.submit(k, 0, Some(&format!("k{k}"))))).collect::<Vec<_>>()
    };
    let (a, b) = (first(1, 0), first(99, 3));
    let same = a.iter().zip(&b).filter(|(a, b)| a == b).count();
    assert!(same >= 20, "only {same} of 30 alike");
}

#[test]
fn a_full_worker_sends_the_key_on_to_another() {
    let mut host = Host::new(settings(&[Effect::Safe]), 3);
    let sends: Vec<String> = (0..12).filter_map(|id| sent_to(&host.submit(id, 0, Some("k")))).collect();
    assert_eq!(sends[..8].iter().collect::<BTreeSet<_>>().len(), 1, "eight slots, as the paper counts");
    assert_ne!(sends[0], sends[11], "Full takes nothing more");
}

/// The first job of a site that started 68 ms late, on a busy machine, had the next one refused at once.
#[test]
fn one_job_that_started_late_shows_no_queue() {
    for late in [68.0, 150.0, 400.0] {
        let mut host = Host::new(settings(&[Effect::Safe]), 1);
        assert!(sent_to(&host.submit(1, 0, Some("k"))).is_some());
        host.now_ms += late;
        host.handle(Event::AttemptUpdate {
            request: RequestId(1),
            attempt: 0,
            update: AttemptUpdate::Started,
        });
        serve(&mut host, 1, None);
        assert!(sent_to(&host.submit(2, 0, Some("l"))).is_some(), "refused after one start {late} ms late");
    }
    // More of them do.
    let mut host = Host::new(settings(&[Effect::Safe]), 1);
    let sent = (1..60).filter(|id| {
        let sent = sent_to(&host.submit(*id, 0, Some("k"))).is_some();
        host.now_ms += 900.0;
        host.handle(Event::AttemptUpdate {
            request: RequestId(*id),
            attempt: 0,
            update: AttemptUpdate::Started,
        });
        serve(&mut host, *id, None);
        sent
    });
    assert!(sent.count() < 59);
    // A worker that sends no reports is refused nothing for good: what its late starts showed is old after a minute.
    host.now_ms += 60_000.0;
    assert!(sent_to(&host.submit(60, 0, Some("k"))).is_some(), "refused for what was seen a minute ago");
}

/// The key's own few workers are no reason to refuse what the rest of the fleet would start in time.
#[test]
fn a_worker_elsewhere_takes_what_would_start_too_late_near() {
    let mut s = settings(&[Effect::Safe]);
    s.zones.push("there".into());
    let mut host = Host::new(s, 0);
    let there = |at| Listing { zone: if at == 0 { "here" } else { "there" }.into(), ..listing(at) };
    host.handle(list_event(ListScope::Complete, (0..7).map(there).collect()));
    let sends: Vec<_> = (0..40).map(|id| sent_to(&host.submit(id, 0, Some("k")))).collect();
    assert!(sends.iter().all(Option::is_some), "{sends:?}");
}

/// A report under load shows fewer slots than there are: the first one has to come early.
#[test]
fn workers_that_never_reported_are_probed_before_any_job_comes() {
    let mut s = settings(&[Effect::Safe]);
    s.reporting = Reporting::Probe;
    let mut host = Host::new(s, 0);
    let probed = |actions: Vec<Action>| actions.iter().filter(|a| matches!(a, Action::Probe(_))).count();
    host.now_ms += 300.0;
    assert_eq!(probed(host.handle(list_event(ListScope::Complete, (0..5).map(listing).collect()))), 5);
    let (outcome, latency) = (Outcome::Served, Span::from_ms(1.0));
    let load = LoadReport { free_slots: Some(4.0), ..LoadReport::default() };
    for at in 0..5 {
        host.handle(Event::Probed { worker: listing(at).worker, outcome, latency, load: Some(load) });
    }
    host.now_ms += 300.0;
    assert_eq!(probed(host.handle(Event::Timer(0))), 0);
}

/// A drain counts as told 6 s later, heard or not: pauses that doubled up to seconds broke the rule on drains.
#[test]
fn a_list_that_keeps_failing_is_asked_for_every_second_and_a_half() {
    let mut s = settings(&[Effect::Safe]);
    s.discovery = Discovery::Subscribe;
    let mut host = Host::new(s, 1);
    let mut asked = Vec::new();
    for _ in 0..400 {
        host.now_ms += 100.0;
        let out = host.handle(Event::Timer(0));
        if out.iter().any(|a| matches!(a, Action::Subscribe)) {
            asked.push(host.now_ms);
            host.handle(list_event(ListScope::Failed, Vec::new()));
        }
    }
    // The first call is spread over a quarter of `ask_every`; a pause ends with the next round.
    assert!(asked.len() > 20 && asked.windows(2).all(|w| w[1] - w[0] <= 2000.0), "{asked:?}");
}

#[test]
fn a_worker_that_turned_a_job_away_counts_as_full_for_a_moment() {
    let mut host = Host::new(settings(&[Effect::Unsafe]), 4);
    let first = sent_to(&host.submit(1, 0, Some("k"))).expect("sent");
    let again =
        sent_to(&host.handle(outcome_event(1, 0, Outcome::TurnedAway, false, None))).expect("sent again");
    assert_ne!(first, again);
    serve(&mut host, 1, None);
    assert_ne!(sent_to(&host.submit(2, 0, Some("k"))), Some(first));
}

#[test]
fn a_worker_that_fails_fast_is_shunned() {
    let mut host = Host::new(settings(&[Effect::Unsafe]), 4);
    let first = sent_to(&host.submit(1, 0, Some("k"))).expect("sent");
    host.handle(outcome_event(1, 0, Outcome::Error, false, None));
    host.now_ms += 10.0;
    assert_ne!(sent_to(&host.submit(2, 0, Some("k"))), Some(first), "fast errors look idle");
}

/// A dispatcher of a safe class and an unsafe one, and the worker to which key "k" goes first.
fn with_a_failing_worker() -> (Host, String) {
    let mut host = Host::new(settings(&[Effect::Safe, Effect::Unsafe]), 4);
    let first = sent_to(&host.submit(1, 0, Some("k"))).expect("sent");
    (host, first)
}

/// One that ends most jobs at once has room at all times: what it may have run is lost, however long the pause.
#[test]
fn jobs_that_must_not_run_twice_keep_from_a_worker_that_failed_until_it_serves_others() {
    let (mut host, failing) = with_a_failing_worker();
    host.handle(outcome_event(1, 0, Outcome::Error, true, None));
    host.now_ms += 3_000.0;
    assert_ne!(sent_to(&host.submit(2, 1, Some("k"))), Some(failing.clone()));
    let tried = sent_to(&host.submit(3, 0, Some("k")));
    assert_eq!(tried, Some(failing.clone()), "a safe job is the test");
    serve(&mut host, 3, None);
    assert_ne!(sent_to(&host.submit(4, 1, Some("k"))), Some(failing.clone()), "one served is no proof");
    host.now_ms += 20_000.0;
    assert_eq!(sent_to(&host.submit(5, 1, Some("k"))), Some(failing), "errors are forgotten");
}

#[test]
fn errors_that_a_report_tells_of_keep_such_jobs_away_too() {
    let (mut host, failing) = with_a_failing_worker();
    serve(&mut host, 1, None);
    let load = LoadReport { errors_per_s: Some(1.2), served_per_s: Some(0.5), ..LoadReport::default() };
    let (outcome, latency) = (Outcome::Served, Span::from_ms(1.0));
    host.handle(Event::Probed { worker: failing.as_str().into(), outcome, latency, load: Some(load) });
    assert_ne!(sent_to(&host.submit(2, 1, Some("k"))), Some(failing.clone()));
    assert_eq!(sent_to(&host.submit(3, 0, Some("k"))), Some(failing));
}

#[test]
fn where_all_fail_a_job_is_sent_all_the_same() {
    let mut host = Host::new(settings(&[Effect::Safe, Effect::Unsafe]), 1);
    host.submit(1, 0, Some("k"));
    host.handle(outcome_event(1, 0, Outcome::Error, true, None));
    host.now_ms += 3_000.0;
    assert!(sent_to(&host.submit(2, 1, Some("k"))).is_some());
}

/// What has not run yet is not known to be dear: a first guess of its run time must not refuse anything.
#[test]
fn a_class_that_has_not_run_yet_makes_no_other_look_dear() {
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

/// What is told of a job that runs, one note each two seconds, and then nothing.
fn goes_silent(class: usize) -> (Host, Vec<Action>) {
    let mut host = Host::new(settings(&[Effect::Safe, Effect::Unsafe]), 4);
    let deadline = host.now() + Span::from_ms(30_000.0);
    sent_to(&host.handle(request_event(1, class, Some("k"), deadline))).expect("sent");
    let (request, attempt) = (RequestId(1), 0);
    for update in [AttemptUpdate::Started, AttemptUpdate::Progress(0.2), AttemptUpdate::Progress(0.4)] {
        let out = host.handle(Event::AttemptUpdate { request, attempt, update });
        assert!(!cancels(&out), "it is being told of");
        host.now_ms += 3_900.0;
        assert!(!cancels(&host.handle(Event::Timer(0))), "one note may be late");
    }
    host.now_ms += 200.0;
    let out = host.handle(Event::Timer(0));
    (host, out)
}

fn fails(actions: &[Action], id: u64) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { request, .. } if *request == RequestId(id)))
}

fn cancels(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Cancel { .. }))
}

#[test]
fn a_job_whose_worker_falls_silent_gets_its_answer_at_once_and_is_not_sent_again_late_or_unsafe() {
    let (mut host, out) = goes_silent(1);
    assert!(cancels(&out), "{out:?}");
    let out = host.handle(outcome_event(1, 0, Outcome::Cancelled, false, None));
    assert!(matches!(out[..], [Action::Fail { request: RequestId(1), .. }, ..]), "it may have run: {out:?}");
    let (mut host, out) = goes_silent(0);
    assert!(cancels(&out), "{out:?}");
    let out = host.handle(outcome_event(1, 0, Outcome::Cancelled, false, None));
    assert!(matches!(out[..], [Action::Refuse { .. }, ..]), "too late to start anew: {out:?}");
}

#[test]
fn a_safe_job_whose_worker_falls_silent_goes_elsewhere_while_that_is_in_time() {
    let mut s = settings(&[Effect::Safe]);
    s.classes[0].aim = Span::from_ms(8_000.0);
    let mut host = Host::new(s, 4);
    let first = sent_to(&host.submit(1, 0, Some("k"))).expect("sent");
    host.handle(Event::AttemptUpdate { request: RequestId(1), attempt: 0, update: AttemptUpdate::Started });
    host.now_ms += 4_000.0;
    assert!(cancels(&host.handle(Event::Timer(0))));
    let again = sent_to(&host.handle(outcome_event(1, 0, Outcome::Cancelled, false, None)));
    assert!(again.is_some_and(|again| again != first));
}

/// Two processes of one dispatcher share its turns at a cold worker: what one has spent, the next may not spend again.
#[test]
fn a_new_process_leaves_alone_the_cold_turn_that_an_earlier_one_has_had() {
    let start = Time::from_ms(1_000.0);
    let born_at = |now_ms| {
        let mut s = settings(&[Effect::Safe]);
        s.rules.overload_window = Span::from_ms(3_000.0);
        let mut host = Host { dispatcher: Dispatcher::new(s, 7).expect("settings"), now_ms };
        let cold = Listing { started: Some(start), ..listing(0) };
        host.handle(list_event(ListScope::Complete, vec![cold]));
        host
    };
    let mut old = born_at(1_000.0);
    let first = (0..100u64).find(|id| {
        old.now_ms += 100.0;
        sent_to(&old.submit(*id, 0, None)).is_some()
    });
    assert!(first.is_some(), "its turn comes");
    let mut new = born_at(old.now_ms + 20.0);
    assert_eq!(sent_to(&new.submit(1, 0, None)), None, "spent");
    let next = (2..100u64).find(|id| {
        new.now_ms += 100.0;
        sent_to(&new.submit(*id, 0, None)).is_some()
    });
    assert!(next.is_some(), "the next one is its own");
}

/// Where room is short, four slots for one job's worth keep three other jobs out.
#[test]
fn a_job_that_holds_many_slots_is_refused_while_a_small_one_is_still_sent() {
    let answer = |slots: f64| {
        let mut host = Host::new(settings(&[Effect::Safe]), 1);
        for id in 0..7 {
            host.submit(id, 0, Some("k"));
        }
        let Event::Request(asked) = request_event(9, 0, Some("k"), Time::from_ms(host.now_ms + 5_000.0))
        else {
            panic!()
        };
        host.handle(Event::Request(Request { slots, ..asked }))
    };
    assert!(sent_to(&answer(1.0)).is_some());
    let large = answer(4.0);
    assert!(large.iter().any(|a| matches!(a, Action::Refuse { .. })), "{large:?}");
}

#[test]
fn an_unsafe_job_that_may_have_run_fails_and_is_never_resent() {
    let mut host = Host::new(settings(&[Effect::Unsafe]), 4);
    host.submit(1, 0, Some("k"));
    let after = host.handle(outcome_event(1, 0, Outcome::ConnectionLost, false, None));
    assert!(fails(&after, 1), "{after:?}");
    assert_eq!(sent_to(&after), None);
}

#[test]
fn a_waiting_safe_job_gets_a_second_copy_and_the_start_calls_off_the_other() {
    let mut host = Host::new(settings(&[Effect::Safe]), 4);
    let first = sent_to(&host.submit(1, 0, Some("k"))).expect("sent");
    host.now_ms += 150.0;
    let second = sent_to(&host.handle(Event::Timer(0))).expect("a second copy");
    assert_ne!(first, second);
    let note = Event::AttemptUpdate { request: RequestId(1), attempt: 1, update: AttemptUpdate::Started };
    assert!(host.handle(note).contains(&Action::Cancel { request: RequestId(1), attempt: 0 }));
}

/// Where copies are not allowed, an eighth of the worth was lost to first choices by old news. What must not run twice
/// stays, and so does all where wasted work is dear.
#[test]
fn a_waiting_job_that_may_have_no_copy_is_called_off_and_then_goes_elsewhere() {
    for (effect, price, moves) in
        [(Effect::Safe, 0.02, true), (Effect::Safe, 0.5, false), (Effect::Unsafe, 0.02, false)]
    {
        let mut s = settings(&[effect]);
        (s.limits.second_copies, s.waste_price) = (false, price);
        let mut host = Host::new(s, 4);
        let first = sent_to(&host.submit(1, 0, Some("k"))).expect("sent");
        host.now_ms += 150.0;
        let told = host.handle(Event::Timer(0));
        assert_eq!(sent_to(&told), None, "two would be out");
        assert_eq!(
            told.contains(&Action::Cancel { request: RequestId(1), attempt: 0 }),
            moves,
            "{effect:?} {price}"
        );
        if moves {
            assert!(sent_to(&host.handle(Event::Timer(0))).is_none(), "not before it is known to be off");
            let second = sent_to(&host.handle(outcome_event(1, 0, Outcome::Cancelled, false, None)));
            assert!(second.is_some_and(|second| second != first), "it goes elsewhere");
        }
    }
}

#[test]
fn jobs_with_a_choice_leave_a_kind_that_others_need() {
    let mut s = settings(&[Effect::Safe, Effect::Safe]);
    s.classes[1].kind = Some(KindId(1));
    s.reports_start = false;
    let mut host = Host::new(s, 0);
    let kind = |at: usize| if at < 3 { "large" } else { "small" };
    let workers = (0..6).map(|at| Listing { kind: kind(at).into(), ..listing(at) });
    host.handle(list_event(ListScope::Complete, workers.collect()));
    // The bound class fills its kind; then the others come.
    for id in 0..600 {
        host.now_ms += 10.0;
        host.submit(id, 1, Some("bound"));
        serve(&mut host, id, None);
    }
    let sends = (1000..1060).filter_map(|id| {
        host.now_ms += 50.0;
        let to = sent_to(&host.submit(id, 0, Some(&format!("k{id}"))));
        serve(&mut host, id, None);
        to
    });
    let crowding = sends.filter(|w| ["w0", "w1", "w2"].contains(&w.as_str())).count();
    assert!(crowding < 6, "{crowding} of 60 crowd the kind that others need");
}

#[test]
fn a_tenants_overflow_is_turned_down_first() {
    let mut s = settings(&[Effect::Safe]);
    s.tenants = vec![
        Tenant { name: "a".into(), allowance_per_s: 0.3 },
        Tenant { name: "b".into(), allowance_per_s: 100.0 },
    ];
    s.limits.second_copies = false;
    let mut host = Host::new(s, 1);
    let mut send = |id: u64, tenant: usize| {
        host.now_ms += 20.0;
        let deadline = host.now() + Span::from_ms(5000.0);
        let Event::Request(mut r) = request_event(id, 0, Some("k"), deadline) else { unreachable!() };
        r.tenant = Some(TenantId(tenant));
        host.handle(Event::Request(r))
    };
    (0..5).for_each(|id| drop(send(id, 1)));
    // None of them has started: the worker has a queue, and only the flood is turned down.
    let refused = |out: Vec<Action>| out.iter().any(|a| matches!(a, Action::Refuse { .. }));
    let flood = (10..16).filter(|id| refused(send(*id, 0))).count();
    assert!(flood >= 4, "{flood} of 6");
    assert!(!refused(send(20, 1)));
}

/// Jobs of two classes at one worker, of which so many slots are taken: which are sent, of one slot and of four each.
fn sent_under_load(worth_by: WorthBy, taken: usize) -> Vec<bool> {
    let mut s = settings(&[Effect::Safe, Effect::Safe]);
    (s.worth_by, s.classes[1].worth, s.limits.second_copies) = (worth_by, 5.0, false);
    let mut host = Host::new(s, 1);
    (0..taken as u64).for_each(|id| drop(host.submit(id, 0, None)));
    let sends = [(100, 0, 1.0), (101, 1, 1.0), (102, 0, 4.0), (103, 1, 4.0)].map(|(id, class, slots)| {
        let deadline = host.now() + Span::from_ms(5000.0);
        let Event::Request(mut r) = request_event(id, class, None, deadline) else { unreachable!() };
        r.slots = slots;
        let sent = sent_to(&host.handle(Event::Request(r))).is_some();
        host.handle(Event::ClientGone(RequestId(id)));
        host.handle(outcome_event(id, 0, Outcome::Cancelled, true, None));
        sent
    });
    sends.into()
}

/// Where worth is counted by work, a class of five times the worth had the other one refused at a chance of a tenth to be
/// late, with room to spare. By requests, what holds many slots for its worth goes first.
#[test]
fn what_is_refused_first_where_room_is_short() {
    let alike = |sends: &[bool]| sends[0] == sends[1] && sends[2] == sends[3];
    let mut set_back = 0;
    for taken in 0..24 {
        let by_request = sent_under_load(WorthBy::Request, taken);
        let by_work = sent_under_load(WorthBy::Work, taken);
        assert!(alike(&by_work), "{taken}: a class is set back behind another");
        assert_eq!(by_request[1], by_work[1], "{taken}: the dearest is set back behind nobody");
        for (by_request, by_work) in by_request.iter().zip(&by_work) {
            assert!(by_work | !by_request, "{taken}");
        }
        set_back += usize::from(by_work[2] && !by_request[2]);
    }
    assert!(set_back > 0);
}

/// Where the dispatchers of four zones with three workers each send 30 keys first.
fn first_workers(price: f64, keyed: bool) -> Vec<Vec<String>> {
    let zones: Vec<Name> = ["a", "b", "c", "d"].map(Name::from).into();
    let workers = |at: usize| Listing { zone: zones[at % 4].clone(), ..listing(at) };
    let sends = zones.iter().map(|zone| {
        let mut s = settings(&[Effect::Safe]);
        (s.zones, s.zone, s.cross_zone_price) = (zones.clone(), zone.clone(), price);
        let mut host = Host::new(s, 0);
        host.handle(list_event(ListScope::Complete, (0..12).map(workers).collect()));
        let mut first = |id| {
            let to = sent_to(&host.submit(id, 0, keyed.then(|| format!("k{id}")).as_deref())).expect("sent");
            serve(&mut host, id, None);
            to
        };
        (0..30).map(&mut first).collect()
    });
    sends.collect()
}

/// Each of four sites fetched each key for itself, to three workers, and a hot key had nowhere else to go.
#[test]
fn a_key_has_its_workers_in_all_zones_where_crossings_cost_little() {
    let near = |sends: &[Vec<String>]| {
        let own = |(zone, to): (usize, &Vec<String>)| {
            to.iter().filter(|w| w[1..].parse::<usize>().is_ok_and(|at| at % 4 == zone)).count()
        };
        sends.iter().enumerate().map(own).sum::<usize>()
    };
    let cheap = first_workers(0.025, true);
    let alike = (0..30).filter(|key| cheap.iter().all(|to| to[*key] == cheap[0][*key])).count();
    assert!(alike >= 20 && near(&cheap) < 60, "{alike} of 30 keys, {} of 120 sends near", near(&cheap));
    // Nothing is fetched for a job without a key, and a dear crossing is worth a fetch.
    assert!(near(&first_workers(0.025, false)) > 100);
    assert!(near(&first_workers(0.1, true)) > 100);
}

/// Six workers in racks of three, and a job of a keyed class that is out at the first one of its key.
fn with_a_keyed_job(group: Group) -> (Host, String) {
    let mut s = settings(&[Effect::Keyed { group, window: Span::from_ms(2_500.0) }]);
    s.reports_start = false;
    let mut host = Host::new(s, 6);
    let first = sent_to(&host.submit(1, 0, Some("k"))).expect("sent");
    (host, first)
}

fn rack_of(worker: &str) -> usize {
    worker[1..].parse::<usize>().expect("a worker of this test") / 3
}

#[test]
fn a_keyed_repeat_keeps_to_its_rack() {
    let (mut host, first) = with_a_keyed_job(Group::Cell);
    let second =
        sent_to(&host.handle(outcome_event(1, 0, Outcome::ConnectionLost, false, None))).expect("sent again");
    assert_eq!(rack_of(&first), rack_of(&second));
    let third =
        sent_to(&host.handle(outcome_event(1, 1, Outcome::ConnectionLost, false, None))).expect("and again");
    assert_eq!(rack_of(&first), rack_of(&third));
}

/// With nobody left who drops the repeat the job waited for its window's end, seconds later, to fail.
#[test]
fn a_keyed_job_whose_rack_is_gone_fails_at_once() {
    let away: [fn(&mut Host, Vec<Listing>); 4] = [
        |host, rack| drop(host.handle(list_event(ListScope::Changes, gone(rack, Readiness::Draining)))),
        |host, rack| drop(host.handle(list_event(ListScope::Changes, gone(rack, Readiness::Gone)))),
        |host, rack| {
            let since = host.now();
            let bans: Vec<Ban> = rack.into_iter().map(|entry| Ban { worker: entry.worker, since }).collect();
            host.handle(Event::Bans(bans.into()));
        },
        // Racks are not known, or no more: each worker stands alone.
        |host, _| {
            let alone = (10..12).map(|at| Listing { cell: None, ..listing(at) }).collect();
            host.handle(list_event(ListScope::Complete, alone));
        },
    ];
    for (case, away) in away.into_iter().enumerate() {
        let (mut host, first) = with_a_keyed_job(Group::Cell);
        away(&mut host, (0..6).filter(|at| at / 3 == rack_of(&first)).map(listing).collect());
        let out = host.handle(outcome_event(1, 0, Outcome::ConnectionLost, false, None));
        assert!(fails(&out, 1), "case {case}: {out:?}");
    }
}

/// A client's new try is bound by what may have run, out still or over, and by nothing that never ran.
#[test]
fn a_new_try_under_the_same_key_keeps_to_the_rack_of_what_may_have_run() {
    let tagged = |host: &mut Host, id: u64, tag: u64| {
        let deadline = host.now() + Span::from_ms(5000.0);
        let Event::Request(mut r) = request_event(id, 0, Some(&format!("k{id}")), deadline) else {
            unreachable!()
        };
        r.idempotency_hash = Some(tag);
        sent_to(&host.handle(Event::Request(r)))
    };
    let racks = |outcome: Option<Outcome>| {
        let (mut host, _) = with_a_keyed_job(Group::Cell);
        let first = rack_of(&tagged(&mut host, 2, 7).expect("sent"));
        if let Some(outcome) = outcome {
            host.handle(Event::ClientGone(RequestId(2)));
            host.handle(outcome_event(2, 0, outcome, true, None));
        }
        let later: Vec<_> = (10..30).map(|id| rack_of(&tagged(&mut host, id, 7).expect("sent"))).collect();
        later.into_iter().filter(|rack| *rack != first).count()
    };
    assert_eq!(racks(None), 0, "it is out still");
    assert_eq!(racks(Some(Outcome::Cancelled)), 0);
    assert_eq!(racks(Some(Outcome::Served)), 0);
    // The first of the later ones decides for the others.
    let (mut host, first) = with_a_keyed_job(Group::Cell);
    host.handle(outcome_event(1, 0, Outcome::ConnectionLost, true, None));
    assert!((10..30).any(|id| tagged(&mut host, id, id).is_some_and(|to| rack_of(&to) != rack_of(&first))));
}

fn gone(rack: Vec<Listing>, readiness: Readiness) -> Vec<Listing> {
    rack.into_iter().map(|entry| Listing { readiness, ..entry }).collect()
}

/// A refusal says that a new try does no harm: true of what may have run only while the repeat will still be dropped.
#[test]
fn a_keyed_job_that_may_have_run_is_refused_only_while_its_repeat_is_dropped() {
    for (ms, refused) in [(100.0, true), (450.0, true), (520.0, false), (1_500.0, false)] {
        let (mut host, _) = with_a_keyed_job(Group::All);
        host.now_ms += ms;
        let mut out = Vec::new();
        for attempt in 0..3 {
            out.extend(host.handle(outcome_event(1, attempt, Outcome::Error, false, None)));
        }
        let said = out.iter().any(|a| matches!(a, Action::Refuse { .. }));
        assert!(said == refused && (refused || fails(&out, 1)), "{ms}: {out:?}");
    }
}

#[test]
fn one_off_keys_and_worker_churn_do_not_pile_up_timers() {
    let mut host = Host::new(settings(&[Effect::Safe]), 6);
    let mut timers = 0;
    for id in 0..20_000 {
        host.now_ms += 5.0;
        let out = host.submit(id, 0, Some(&format!("once{id}")));
        timers += out.iter().filter(|a| matches!(a, Action::SetTimer { .. })).count();
        serve(&mut host, id, free_slots_report(6.0));
    }
    assert!(timers <= 40_000, "{timers}");
}

#[test]
fn equal_events_give_equal_actions() {
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
fn names_of_classes_kinds_zones_and_tenants_do_not_matter() {
    let run = |tag: &str| {
        let mut s = settings(&[Effect::Safe, Effect::Unsafe]);
        s.kinds = vec![format!("{tag}k0").into(), format!("{tag}k1").into()];
        s.zone = format!("{tag}z").into();
        s.zones = vec![s.zone.clone()];
        s.classes.iter_mut().for_each(|c| c.name = format!("{tag}{}", c.name).into());
        s.tenants = vec![Tenant { name: format!("{tag}t").into(), allowance_per_s: 50.0 }];
        let (zone, kind) = (s.zone.clone(), s.kinds[0].clone());
        let mut host = Host::new(s, 0);
        let entry = |at| Listing { zone: zone.clone(), kind: kind.clone(), ..listing(at) };
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
    let quiet = |out: Vec<Action>| out.iter().all(|a| matches!(a, Action::SetTimer { .. }));
    assert!(quiet(host.handle(outcome_event(77, 3, Outcome::Served, true, None))));
    assert!(quiet(host.handle(Event::ClientGone(RequestId(5)))));
    assert!(quiet(host.handle(Event::AttemptUpdate {
        request: RequestId(9),
        attempt: 4,
        update: AttemptUpdate::Started
    })));
    assert!(quiet(host.handle(Event::StreamStarted { request: RequestId(9), attempt: 0 })));
}

#[test]
fn senseless_settings_are_turned_down_by_name() {
    let told = |change: fn(&mut Settings)| {
        let mut s = settings(&[Effect::Safe]);
        change(&mut s);
        rookspoke_decisions::Dispatcher::new(s, 1).err().map(|e| e.setting)
    };
    assert_eq!(told(|_| {}), None);
    assert_eq!(told(|s| s.classes.clear()), Some("classes"));
    assert_eq!(told(|s| s.dispatchers = 0), Some("balancers"));
    assert_eq!(told(|s| s.dispatcher_index = 1), Some("me"));
    assert_eq!(told(|s| s.rules.ramp = Span(-1)), Some("rules.ramp"));
    assert_eq!(told(|s| s.classes[0].aim = Span(-5)), Some("classes.aim"));
}

#[test]
fn a_subscription_that_fails_is_asked_for_again_within_the_allowed_time() {
    let mut s = settings(&[Effect::Safe]);
    s.discovery = Discovery::Subscribe;
    let mut host = Host::new(s, 2);
    let (mut last, mut asks) = (host.now_ms, 0);
    for _ in 0..600 {
        host.now_ms += 100.0;
        if host.handle(Event::Timer(0)).contains(&Action::Subscribe) {
            assert!(host.now_ms - last <= 10_000.0, "unasked for {} ms", host.now_ms - last);
            (last, asks) = (host.now_ms, asks + 1);
            host.handle(list_event(ListScope::Failed, Vec::new()));
        }
    }
    assert!((6..60).contains(&asks), "{asks} calls in a minute");
}

/// A hundred dispatchers that each looked at every worker were most of what the workers heard in their first
/// seconds, and most of these probes were turned down.
#[test]
fn a_fleet_shared_by_many_is_not_swept_with_probes() {
    let mut s = settings(&[Effect::Safe]);
    (s.reporting, s.dispatchers) = (Reporting::Probe, 100);
    let mut host = Host::new(s, 0);
    host.now_ms += 300.0;
    let actions = host.handle(list_event(ListScope::Complete, (0..60).map(listing).collect()));
    assert!(!actions.iter().any(|a| matches!(a, Action::Probe(_))), "{actions:?}");
    let asked = host.submit(1, 0, Some("k"));
    assert!(asked.iter().any(|a| matches!(a, Action::Probe(_))), "what a job looks at is still probed");
}

/// A hundred dispatchers with no news each took a key's first worker for free: ten times what it can do.
#[test]
fn a_new_job_waits_for_a_probe_where_many_share_the_fleet() {
    let mut s = settings(&[Effect::Unsafe]);
    (s.reporting, s.dispatchers) = (Reporting::Probe, 100);
    let mut host = Host::new(s, 8);
    let mut actions = host.submit(1, 0, Some("k"));
    assert!(sent_to(&actions).is_none(), "{actions:?}");
    // The first one looked at is full; the others are not.
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
        assert!(host.now_ms < 1_200.0, "it waits for too long");
        actions.extend(host.handle(Event::Timer(0)));
    }
    assert_ne!(sent_to(&actions), full.map(|worker| worker.to_string()));
    // Nor does it wait for ever: no answer at all, and it goes out all the same.
    assert!(sent_to(&host.submit(2, 0, Some("other"))).is_none());
    host.now_ms += 100.0;
    assert!(sent_to(&host.handle(Event::Timer(0))).is_some());
}

/// After a release a probe finds out who is gone for less than a job's attempt.
#[test]
fn a_probe_that_finds_nobody_keeps_jobs_away() {
    let mut s = settings(&[Effect::Safe]);
    s.reporting = Reporting::Probe;
    let mut host = Host::new(s, 2);
    let first = sent_to(&host.submit(0, 0, Some("k"))).expect("sent");
    serve(&mut host, 0, None);
    let (worker, latency) = (Name::from(first.as_str()), Span::from_ms(1.0));
    host.handle(Event::Probed { worker, outcome: Outcome::NoConnection, latency, load: None });
    assert_ne!(sent_to(&host.submit(1, 0, Some("k"))), Some(first));
}

/// Discovery works through one call after another. Many that ask again within a second keep its queue full, and
/// it gives up on every call before it answers one.
#[test]
fn many_dispatchers_ask_again_no_faster_than_discovery_can_answer_them() {
    let mut s = settings(&[Effect::Safe]);
    (s.discovery, s.dispatchers) = (Discovery::Subscribe, 100);
    let mut host = Host::new(s, 2);
    let (mut asked, start) = (0, host.now_ms);
    while host.now_ms < start + 60_000.0 {
        host.now_ms += 50.0;
        if host.handle(Event::Timer(0)).contains(&Action::Subscribe) {
            asked += 1;
            host.handle(list_event(ListScope::Failed, Vec::new()));
        }
    }
    assert!((4..=15).contains(&asked), "{asked} calls in a minute");
}

/// Where answers report the load, a hundred dispatchers hear of a worker once in tens of seconds, and of another zone's
/// never: its workers were believed as full as the near ones, and stood idle beside them on a calm day.
#[test]
fn where_many_share_a_fleet_workers_are_asked_though_answers_report_as_well() {
    for (dispatchers, asks) in [(100, true), (4, false)] {
        let mut s = settings(&[Effect::Safe]);
        (s.reporting, s.dispatchers) = (Reporting::Answers, dispatchers);
        s.zones.push("there".into());
        let mut host = Host::new(s, 0);
        let entry = |at| Listing { zone: if at < 2 { "here" } else { "there" }.into(), ..listing(at) };
        host.handle(list_event(ListScope::Complete, (0..4).map(entry).collect()));
        host.now_ms += 1000.0;
        let (mut probed, latency) = (BTreeSet::new(), Span::from_ms(1.0));
        for id in 0..8 {
            host.now_ms += 100.0;
            let mut told = host.submit(id, 0, Some("k"));
            while let Some(action) = told.pop() {
                let Action::Probe(worker) = action else { continue };
                probed.insert(worker.to_string());
                let load = LoadReport { free_slots: Some(0.0), queue: Some(30.0), ..LoadReport::default() };
                let load = if ["w0", "w1"].contains(&&*worker) { Some(load) } else { free_slots_report(8.0) };
                told.extend(host.handle(Event::Probed { worker, outcome: Outcome::Served, latency, load }));
            }
        }
        assert_eq!(probed.contains("w2") && probed.contains("w3"), asks, "{dispatchers}: {probed:?}");
        let sent = sent_to(&host.submit(100, 0, Some("k")));
        assert!(!asks || sent.as_deref() == Some("w2") || sent.as_deref() == Some("w3"), "{sent:?}");
    }
}

/// After a zone was lost its jobs spent all their attempts, within a second, on workers that were not there.
#[test]
fn an_attempt_after_one_that_found_nobody_waits_for_a_probe_too() {
    let mut s = settings(&[Effect::Unsafe]);
    (s.reporting, s.dispatchers) = (Reporting::Probe, 100);
    let mut host = Host::new(s, 8);
    host.submit(1, 0, Some("k"));
    host.now_ms += 100.0;
    assert!(sent_to(&host.handle(Event::Timer(0))).is_some(), "no probe was answered");
    let after = host.handle(outcome_event(1, 0, Outcome::NoConnection, false, None));
    assert!(sent_to(&after).is_none(), "{after:?}");
    host.now_ms += 100.0;
    assert!(sent_to(&host.handle(Event::Timer(0))).is_some(), "it waits no longer than for the first");
}

proptest::proptest! {
    /// Whatever lists and bans come in whatever order, work goes to those in service and not out by hand alone, and
    /// the census is that of a plain model.
    #[test]
    fn bans_and_lists_make_the_same_fleet_as_a_plain_model(
        steps in proptest::collection::vec((0usize..4, 0u8..6, proptest::bool::ANY), 1..60),
    ) {
        let mut host = Host::new(settings(&[Effect::Safe]), 0);
        let (mut listed, mut out) = (std::collections::BTreeMap::new(), BTreeSet::new());
        for (id, (worker, what, complete)) in steps.into_iter().enumerate() {
            let readiness = [Readiness::InService, Readiness::Draining, Readiness::Gone];
            match what {
                0..=2 => {
                    let readiness = readiness[usize::from(what)];
                    let scope = if complete { ListScope::Complete } else { ListScope::Changes };
                    if complete {
                        listed.clear();
                    }
                    listed.insert(worker, readiness);
                    host.handle(list_event(scope, vec![Listing { readiness, ..listing(worker) }]));
                }
                3 => drop(out.insert(worker)),
                4 => drop(out.remove(&worker)),
                _ => out.clear(),
            }
            if what > 2 {
                let ban = |at: &usize| Ban { worker: format!("w{at}").into(), since: Time::from_ms(host.now_ms) };
                let bans = out.iter().map(ban).collect();
                host.handle(Event::Bans(bans));
            }
            // Long enough for a cold one to be warm again.
            host.now_ms += 30_000.0;
            listed.retain(|_, readiness| *readiness != Readiness::Gone);
            let takes = |at: &usize| listed.get(at) == Some(&Readiness::InService) && !out.contains(at);
            let sent = sent_to(&host.submit(id as u64, 0, None));
            let open = (0..4).filter(takes).count();
            proptest::prop_assert_eq!(sent.is_some(), open > 0, "{:?} of {:?} without {:?}", sent, &listed, &out);
            if let Some(name) = sent {
                proptest::prop_assert!(takes(&name[1..].parse().expect("a number")));
                serve(&mut host, id as u64, None);
            }
            proptest::prop_assert_eq!(host.dispatcher.worker_counts(), WorkerCounts { known: listed.len(), skipped: listed.len() - open });
            for worker in 0..4 {
                let known = listed.contains_key(&worker) || out.contains(&worker);
                proptest::prop_assert_eq!(host.dispatcher.knows(&format!("w{worker}")), known);
            }
        }
    }
}
