//! Validity of the list of workers: no list is used once a missed change has taken effect, and it is called for in time.

mod common;

use common::settings;
use proptest::prelude::*;
use rand::{rngs::SmallRng, SeedableRng};
use rookspoke_decisions::*;

fn ms(ms: i64) -> Span {
    Span(ms * 1000)
}

fn new_list_age(discovery: Discovery, ask_every: i64, dispatchers: usize) -> ListAge {
    let mut settings = settings(&[Effect::Safe]);
    (settings.discovery, settings.rules.ask_every, settings.dispatchers) =
        (discovery, ms(ask_every), dispatchers);
    ListAge::new(&settings)
}

/// A direct model of the documented rules: which changes a dispatcher may have missed, and when they take effect.
struct ReferenceModel {
    watch_open: bool,
    last_message: Time,
    called_at: Time,
    call_failed: bool,
    /// The time up to which all changes were received.
    complete_until: Time,
    /// Times from which on a missed change may be in effect, for other reasons than the age of the list.
    stale_from: Vec<Time>,
}

impl ReferenceModel {
    /// The earliest time at which a missed change takes effect, computed for one possible change every 50 ms.
    fn first_missed_effect(&self, now: Time, ask_every: Span) -> Option<Time> {
        let allowed = Span(ask_every.0 * if self.call_failed { 4 } else { 1 });
        let missed = (!self.watch_open).then(|| {
            let changed_at =
                (0..=(now - self.complete_until).0 / 50_000).map(|n| self.complete_until + ms(50 * n));
            // Six seconds are the upper bound, whatever calls have failed since.
            changed_at.map(|at| (at + ask_every).max(self.called_at + allowed).min(at + ms(6000))).min()
        });
        missed.flatten().into_iter().chain(self.stale_from.iter().copied()).min()
    }
}

proptest! {
    #[test]
    fn no_list_is_valid_once_a_missed_change_has_taken_effect(
        steps in prop::collection::vec((0..6u8, 10..3000i64), 1..40),
        (ask_every, dispatchers, seed) in (100..200_000i64, 1..400usize, 0..1000u64),
    ) {
        let mut age = new_list_age(Discovery::Subscribe, ask_every, dispatchers);
        let (mut now, mut rng) = (Time::from_ms(1e6), SmallRng::seed_from_u64(seed));
        age.start(now, &mut rng);
        let mut model = ReferenceModel {
            watch_open: false,
            last_message: now,
            called_at: now,
            call_failed: false,
            complete_until: now,
            stale_from: Vec::new(),
        };
        for (step, after) in steps {
            let close_watch = |model: &mut ReferenceModel, now| {
                model.complete_until = if model.watch_open { now } else { model.complete_until };
                model.watch_open = false;
            };
            match step {
                0 => now = now + ms(after),
                1 if model.watch_open => {
                    close_watch(&mut model, now);
                    age.on_failure(now, &mut rng);
                }
                2 if model.watch_open => {
                    now = now + ms(2500);
                    let last_message = model.last_message;
                    close_watch(&mut model, last_message);
                    model.stale_from.push(model.last_message + ms(6000));
                    age.on_silence(model.last_message, now, &mut rng);
                }
                3 | 4 if !model.watch_open => {
                    age.on_call(now);
                    model.called_at = now;
                    now = now + ms(after.min(2200));
                    model.call_failed = step == 3;
                    if model.call_failed {
                        age.on_failure(now, &mut rng);
                    } else {
                        (model.watch_open, model.stale_from) = (true, Vec::new());
                        age.on_list();
                    }
                }
                5 => {
                    close_watch(&mut model, now);
                    model.stale_from.push(now + ms(4000));
                    model.called_at = now;
                    age.on_source_change(now);
                }
                _ => {}
            }
            if model.watch_open {
                model.last_message = now;
            }
            // Checks every half second of the next 30 s, since the next step may come after a long wait.
            for later in (0..60).map(|n| now + ms(n * 500)) {
                let first_effect = model.first_missed_effect(later, ms(ask_every));
                let in_effect = first_effect.is_some_and(|first| first <= later);
                prop_assert!(
                    !(in_effect && age.is_valid(later)),
                    "the list is still valid {} ms later",
                    (later - now).ms()
                );
            }
        }
    }

    /// Holds for a call that takes the longest possible time, and for one that fails first.
    #[test]
    fn a_silent_watch_is_replaced_while_its_list_is_valid(dispatchers in 1..400usize, seed in 0..1000u64) {
        let mut age = new_list_age(Discovery::Subscribe, 10_000, dispatchers);
        let mut rng = SmallRng::seed_from_u64(seed);
        let last_message = Time::from_ms(1e6);
        age.start(last_message, &mut rng);
        age.on_list();
        let mut now = last_message + ms(2500);
        age.on_silence(last_message, now, &mut rng);
        let first_call = age.next_call().expect("a call is planned");
        prop_assert!(
            first_call + ms(2500) <= last_message + ms(6000),
            "called after {} ms",
            (first_call - last_message).ms()
        );
        prop_assert!(age.is_valid(last_message + ms(5999)) && !age.is_valid(last_message + ms(6000)));
        age.on_call(first_call);
        now = first_call + ms(5);
        age.on_failure(now, &mut rng);
        let second_call = age.next_call().expect("another call is planned");
        prop_assert!(
            second_call + ms(1000) <= last_message + ms(6000),
            "called again after {} ms",
            (second_call - last_message).ms()
        );
    }
}

/// Three hundred dispatchers lose their watches at once, and each needs a new list within six seconds. Discovery answers
/// about ten calls in a tenth of a second, so the calls have to be spread.
#[test]
fn dispatchers_that_lose_their_watches_together_spread_their_calls() {
    for (silent, max_calls) in [(true, 60), (false, 30)] {
        let mut calls = std::collections::BTreeMap::new();
        for seed in 0..300 {
            let (mut age, mut rng) =
                (new_list_age(Discovery::Subscribe, 10_000, 300), SmallRng::seed_from_u64(seed));
            let now = Time::from_ms(1e6);
            age.start(now, &mut rng);
            age.on_list();
            match silent {
                true => age.on_silence(now, now + ms(2500), &mut rng),
                false => age.on_failure(now, &mut rng),
            }
            *calls.entry((age.next_call().expect("a call is planned") - now).0 / 100_000).or_insert(0) += 1;
        }
        assert!(calls.values().all(|count| *count <= max_calls), "calls by tenths of a second: {calls:?}");
        assert!(calls.keys().all(|tenth| *tenth <= 35), "too late for an answer in time: {calls:?}");
    }
}

/// Changes that the agent has take effect at once: without a message from it the list is valid for half a second, and it
/// is called often.
#[test]
fn a_pushed_list_is_valid_without_a_watch_only_while_the_agent_is_called() {
    let (mut age, mut rng) = (new_list_age(Discovery::Automatic, 0, 300), SmallRng::seed_from_u64(1));
    let mut now = Time::from_ms(1e6);
    age.start(now, &mut rng);
    assert!(age.is_valid(now) && age.next_call().is_none(), "the host makes the first call");
    age.on_list();
    assert!(age.is_valid(now + ms(3_600_000)), "no limit while a watch is open");
    age.on_failure(now, &mut rng);
    let watch_ended = now;
    for _ in 0..60 {
        let next = age.next_call().expect("a call is planned");
        assert!(next - now <= ms(240), "next call after {} ms", (next - now).ms());
        assert_eq!(
            age.is_valid(next),
            next < watch_ended + ms(6000),
            "{} ms after the end of the watch",
            (next - watch_ended).ms()
        );
        age.on_call(next);
        assert!(!age.is_valid(next + ms(500)), "a call without an answer does not extend the validity");
        now = next + ms(5);
        age.on_failure(now, &mut rng);
    }
    assert!(now > watch_ended + ms(6000), "the calls cover more than six seconds");
    // 6 s apply whether only the watch is silent or the agent as well.
    age.on_list();
    let last_message = now;
    age.on_silence(last_message, last_message + ms(2500), &mut rng);
    for failed in 0..5 {
        assert!(age.is_valid(last_message + ms(5999)), "{failed} calls failed");
        assert!(!age.is_valid(last_message + ms(6000)), "{failed} calls failed");
        age.on_call(last_message + ms(5600 + failed));
        age.on_failure(last_message + ms(5900 + failed), &mut rng);
    }
}

/// A failed call may extend the validity, but never beyond six seconds after the watch: whether calls are refused, fail
/// with an error or time out, and whether lists are called for or pushed.
#[test]
fn consecutive_failed_calls_do_not_extend_the_validity_beyond_six_seconds() {
    for (discovery, ask_every) in
        [(Discovery::Subscribe, 10_000), (Discovery::Subscribe, 400), (Discovery::Automatic, 0)]
    {
        for (seed, call_duration) in (0..50).zip([1, 300, 2200].into_iter().cycle()) {
            let (mut age, mut rng) = (new_list_age(discovery, ask_every, 300), SmallRng::seed_from_u64(seed));
            let watch_ended = Time::from_ms(1e6);
            age.start(watch_ended, &mut rng);
            age.on_list();
            age.on_failure(watch_ended, &mut rng);
            let mut now = watch_ended;
            while now < watch_ended + ms(40_000) {
                now = age.next_call().expect("calls never stop").max(now);
                age.on_call(now);
                now = now + ms(call_duration);
                assert!(
                    !age.is_valid(now) || now < watch_ended + ms(6000),
                    "{discovery:?}: still valid after {} ms",
                    (now - watch_ended).ms()
                );
                age.on_failure(now, &mut rng);
            }
            // A new list reports every change and lifts all limits.
            age.on_list();
            assert!(age.is_valid(now + ms(60_000)) && age.valid_until().is_none());
        }
    }
}

/// The changes in an answer that cannot be read are in effect: the list is invalid until one can be read, whatever the
/// calls in between result in.
#[test]
fn a_list_is_invalid_after_an_unreadable_change_until_the_next_readable_list() {
    for discovery in [Discovery::Subscribe, Discovery::Automatic] {
        for seed in 0..50 {
            let (mut age, mut rng) = (new_list_age(discovery, 10_000, 300), SmallRng::seed_from_u64(seed));
            let mut now = Time::from_ms(1e6);
            age.start(now, &mut rng);
            age.on_list();
            age.on_unusable(now, &mut rng);
            for call in 0..20 {
                assert!(!age.is_valid(now), "{discovery:?}, call {call}");
                let next = age.next_call().expect("another call is planned");
                assert!(
                    next - now <= ms(30_000),
                    "{discovery:?}, call {call}: next call after {} ms",
                    (next - now).ms()
                );
                assert!(
                    call > 0 || next - now <= ms(600),
                    "{discovery:?}: the first call after the unreadable change is late"
                );
                now = next;
                age.on_call(now);
                match call % 3 {
                    0 => age.on_failure(now, &mut rng),
                    1 => age.on_unusable(now, &mut rng),
                    _ => age.on_source_change(now),
                }
            }
            age.on_list();
            assert!(age.is_valid(now + ms(60_000)), "the list is valid again");
        }
    }
}
