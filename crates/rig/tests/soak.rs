//! Plays drawn from seeds: reproducible, playable, and cut down to what matters.

use rookspoke_emulator::scenario::{Environment, Scenario};
use rookspoke_emulator::script;
use rookspoke_rig::soak::{Drawn, Sizes};

fn scenario(drawn: &Drawn) -> Scenario {
    script::read_text("drawn", &drawn.script(), Environment::Processes)
        .unwrap_or_else(|problems| panic!("{drawn}\n{}", problems.render()))
}

#[test]
fn every_seed_draws_a_play_within_its_sizes() {
    let (mut with_faults, mut largest) = (0, 0);
    for seed in 0..400 {
        let drawn = Drawn::new(seed, Sizes::FULL);
        assert_eq!(drawn, Drawn::new(seed, Sizes::FULL), "the same seed draws the same");
        let played = scenario(&drawn);
        assert!((2..=30).contains(&played.count("dispatchers")), "{drawn}");
        assert!((1..=40).contains(&played.count("workers")), "{drawn}");
        let troubles = played.incidents.len() + played.link_incidents.len();
        assert!((2..=5).contains(&troubles) && troubles == drawn.incidents.len(), "{drawn}");
        with_faults += usize::from(drawn.schedule().is_some());
        largest = largest.max(played.count("dispatchers"));
    }
    assert!(with_faults > 200 && largest > 25, "{with_faults} with faults, at most {largest} dispatchers");
}

#[test]
fn a_failing_play_is_cut_down_to_what_fails() {
    let mut drawn = Drawn::new(4, Sizes::SMALL);
    let guilty = drawn.incidents[1].clone();
    drawn.faults = vec!["receive=EINTR:5".into(), "wait=EINTR:5".into()];
    let fails =
        |play: &Drawn| play.incidents.contains(&guilty) && play.faults.iter().any(|f| f.starts_with("wait"));
    let least = drawn.clone().shrink(fails);
    assert_eq!(
        (&least.incidents[..], &least.faults[..]),
        (&[guilty.clone()][..], &["wait=EINTR:5".to_owned()][..])
    );
    assert_eq!((least.seed, &least.settings), (drawn.seed, &drawn.settings));
    // One that no part is to blame for keeps none.
    let empty = drawn.shrink(|_| true);
    assert!(empty.incidents.is_empty() && empty.schedule().is_none());
    scenario(&empty);
}
