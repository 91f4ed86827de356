//! How old a list may be: no list is gone by once something that was missed counts as told, and it is asked for in time.

mod common;

use common::settings;
use proptest::prelude::*;
use rand::{rngs::SmallRng, SeedableRng};
use rookspoke_decisions::*;

fn ms(ms: i64) -> Span {
    Span(ms * 1000)
}

fn list_age(discovery: Discovery, ask_every: i64, dispatchers: usize) -> ListAge {
    let mut s = settings(&[Effect::Safe]);
    (s.discovery, s.rules.ask_every, s.dispatchers) = (discovery, ms(ask_every), dispatchers);
    ListAge::new(&s)
}

/// The operators' pages, step by step: what a dispatcher has missed, and from when on it counts as told.
struct Told {
    watch: bool,
    word: Time,
    call: Time,
    failed: bool,
    ended: Time,
    doubts: Vec<Time>,
}

impl Told {
    /// The first moment at which a change may count as told that has not come, looked for change by change.
    fn first(&self, now: Time, ask_every: Span) -> Option<Time> {
        let allowed = Span(ask_every.0 * if self.failed { 4 } else { 1 });
        let unwatched = (!self.watch).then(|| {
            let made = (0..=(now - self.ended).0 / 50_000).map(|n| self.ended + ms(50 * n));
            // Before all else: six seconds, whatever calls failed since.
            made.map(|at| (at + ask_every).max(self.call + allowed).min(at + ms(6000))).min()
        });
        unwatched.flatten().into_iter().chain(self.doubts.iter().copied()).min()
    }
}

proptest! {
    #[test]
    fn no_list_is_gone_by_once_what_it_lacks_counts_as_told(
        steps in prop::collection::vec((0..6u8, 10..3000i64), 1..40),
        (ask_every, dispatchers, seed) in (100..200_000i64, 1..400usize, 0..1000u64),
    ) {
        let mut age = list_age(Discovery::Subscribe, ask_every, dispatchers);
        let (mut now, mut rng) = (Time::from_ms(1e6), SmallRng::seed_from_u64(seed));
        age.start(now, &mut rng);
        let mut told =
            Told { watch: false, word: now, call: now, failed: false, ended: now, doubts: Vec::new() };
        for (step, after) in steps {
            let ends = |told: &mut Told, now| {
                told.ended = if told.watch { now } else { told.ended };
                told.watch = false;
            };
            match step {
                0 => now = now + ms(after),
                1 if told.watch => {
                    ends(&mut told, now);
                    age.on_failure(now, &mut rng);
                }
                2 if told.watch => {
                    now = now + ms(2500);
                    let word = told.word;
                    ends(&mut told, word);
                    told.doubts.push(told.word + ms(6000));
                    age.on_silence(told.word, now, &mut rng);
                }
                3 | 4 if !told.watch => {
                    age.on_call(now);
                    told.call = now;
                    now = now + ms(after.min(2200));
                    told.failed = step == 3;
                    if told.failed {
                        age.on_failure(now, &mut rng);
                    } else {
                        (told.watch, told.doubts) = (true, Vec::new());
                        age.on_list();
                    }
                }
                5 => {
                    ends(&mut told, now);
                    told.doubts.push(now + ms(4000));
                    told.call = now;
                    age.on_source_change(now);
                }
                _ => {}
            }
            if told.watch {
                told.word = now;
            }
            // Before the next step, at every moment of what may be a long wait.
            for later in (0..60).map(|n| now + ms(n * 500)) {
                let counts = told.first(later, ms(ask_every)).is_some_and(|first| first <= later);
                prop_assert!(!(counts && age.is_valid(later)), "trusted {} ms on", (later - now).ms());
            }
        }
    }

    /// Of a call that takes as long as a call may, and of one that fails first.
    #[test]
    fn a_silent_watch_is_replaced_before_its_list_is_too_old(dispatchers in 1..400usize, seed in 0..1000u64) {
        let mut age = list_age(Discovery::Subscribe, 10_000, dispatchers);
        let mut rng = SmallRng::seed_from_u64(seed);
        let word = Time::from_ms(1e6);
        age.start(word, &mut rng);
        age.on_list();
        let mut now = word + ms(2500);
        age.on_silence(word, now, &mut rng);
        let asked = age.next_call().expect("it asks");
        prop_assert!(asked + ms(2500) <= word + ms(6000), "asked after {} ms", (asked - word).ms());
        prop_assert!(age.is_valid(word + ms(5999)) && !age.is_valid(word + ms(6000)));
        age.on_call(asked);
        now = asked + ms(5);
        age.on_failure(now, &mut rng);
        let again = age.next_call().expect("it asks again");
        prop_assert!(again + ms(1000) <= word + ms(6000), "asked again after {} ms", (again - word).ms());
    }
}

/// Three hundred watches that end together are opened again one after another: discovery answers some ten of them in a
/// tenth of a second, and has to within the six seconds that all of them have.
#[test]
fn hundreds_that_lose_their_watches_together_do_not_ask_together() {
    for (silent, most) in [(true, 60), (false, 30)] {
        let mut calls = std::collections::BTreeMap::new();
        for seed in 0..300 {
            let (mut age, mut rng) =
                (list_age(Discovery::Subscribe, 10_000, 300), SmallRng::seed_from_u64(seed));
            let now = Time::from_ms(1e6);
            age.start(now, &mut rng);
            age.on_list();
            match silent {
                true => age.on_silence(now, now + ms(2500), &mut rng),
                false => age.on_failure(now, &mut rng),
            }
            *calls.entry((age.next_call().expect("it asks") - now).0 / 100_000).or_insert(0) += 1;
        }
        assert!(calls.values().all(|count| *count <= most), "{calls:?} in tenths of a second");
        assert!(calls.keys().all(|tenth| *tenth <= 35), "too late for an answer in time: {calls:?}");
    }
}

/// The agent's news counts at once: without a word from it the list is good for half a second, and it is asked often.
#[test]
fn a_pushed_list_is_gone_by_only_while_the_agent_is_asked() {
    let (mut age, mut rng) = (list_age(Discovery::Automatic, 0, 300), SmallRng::seed_from_u64(1));
    let mut now = Time::from_ms(1e6);
    age.start(now, &mut rng);
    assert!(age.is_valid(now) && age.next_call().is_none(), "its host asks at the start");
    age.on_list();
    assert!(age.is_valid(now + ms(3_600_000)), "an open watch is for good");
    age.on_failure(now, &mut rng);
    let ended = now;
    for _ in 0..60 {
        let next = age.next_call().expect("it asks");
        assert!(next - now <= ms(240), "after {} ms", (next - now).ms());
        assert_eq!(age.is_valid(next), next < ended + ms(6000), "{} ms after the watch", (next - ended).ms());
        age.on_call(next);
        assert!(!age.is_valid(next + ms(500)), "a call that hangs says nothing");
        now = next + ms(5);
        age.on_failure(now, &mut rng);
    }
    assert!(now > ended + ms(6000), "long enough to tell");
    // The watch alone is silent, or the agent, too: 6 s.
    age.on_list();
    let word = now;
    age.on_silence(word, word + ms(2500), &mut rng);
    for failed in 0..5 {
        assert!(age.is_valid(word + ms(5999)), "{failed} calls failed");
        assert!(!age.is_valid(word + ms(6000)), "{failed} calls failed");
        age.on_call(word + ms(5600 + failed));
        age.on_failure(word + ms(5900 + failed), &mut rng);
    }
}

/// Whatever a call that fails would allow: refused, an error, given up, one after another, asked or pushed.
#[test]
fn calls_that_fail_one_after_another_do_not_stretch_a_list_beyond_six_seconds() {
    for (discovery, ask_every) in
        [(Discovery::Subscribe, 10_000), (Discovery::Subscribe, 400), (Discovery::Automatic, 0)]
    {
        for (seed, takes) in (0..50).zip([1, 300, 2200].into_iter().cycle()) {
            let (mut age, mut rng) = (list_age(discovery, ask_every, 300), SmallRng::seed_from_u64(seed));
            let ended = Time::from_ms(1e6);
            age.start(ended, &mut rng);
            age.on_list();
            age.on_failure(ended, &mut rng);
            let mut now = ended;
            while now < ended + ms(40_000) {
                now = age.next_call().expect("it asks for ever").max(now);
                age.on_call(now);
                now = now + ms(takes);
                assert!(
                    !age.is_valid(now) || now < ended + ms(6000),
                    "{discovery:?} {} ms on",
                    (now - ended).ms()
                );
                age.on_failure(now, &mut rng);
            }
            // What came back tells all: nothing is left of the doubt.
            age.on_list();
            assert!(age.is_valid(now + ms(60_000)) && age.valid_until().is_none());
        }
    }
}

/// What an answer told that cannot be read holds, whatever other calls do, until a list can be read.
#[test]
fn a_list_is_gone_by_no_longer_once_a_change_could_not_be_read() {
    for discovery in [Discovery::Subscribe, Discovery::Automatic] {
        for seed in 0..50 {
            let (mut age, mut rng) = (list_age(discovery, 10_000, 300), SmallRng::seed_from_u64(seed));
            let mut now = Time::from_ms(1e6);
            age.start(now, &mut rng);
            age.on_list();
            age.on_unusable(now, &mut rng);
            for call in 0..20 {
                assert!(!age.is_valid(now), "{discovery:?}, call {call}");
                let next = age.next_call().expect("it asks again");
                assert!(
                    next - now <= ms(30_000),
                    "{discovery:?}, call {call} after {} ms",
                    (next - now).ms()
                );
                assert!(call > 0 || next - now <= ms(600), "{discovery:?}: the first call anew is soon");
                now = next;
                age.on_call(now);
                match call % 3 {
                    0 => age.on_failure(now, &mut rng),
                    1 => age.on_unusable(now, &mut rng),
                    _ => age.on_source_change(now),
                }
            }
            age.on_list();
            assert!(age.is_valid(now + ms(60_000)), "a list can be read");
        }
    }
}
