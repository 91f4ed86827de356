//! Runs drawn from seeds: they are reproducible, valid scripts, and a failing one is reduced to the parts that fail.

use rookspoke_emulator::scenario::{Environment, Scenario};
use rookspoke_emulator::script;
use rookspoke_rig::soak::{RandomScenario, SizeLimits};

fn scenario(drawn: &RandomScenario) -> Scenario {
    script::read_text("drawn", &drawn.script(), Environment::Processes)
        .unwrap_or_else(|problems| panic!("{drawn}\n{}", problems.render()))
}

#[test]
fn every_seed_draws_a_run_within_the_size_limits() {
    let (mut with_faults, mut largest) = (0, 0);
    for seed in 0..400 {
        let drawn = RandomScenario::new(seed, SizeLimits::FULL);
        assert_eq!(drawn, RandomScenario::new(seed, SizeLimits::FULL), "the same seed draws the same run");
        let scenario = scenario(&drawn);
        assert!((2..=30).contains(&scenario.count("dispatchers")), "{drawn}");
        assert!((1..=40).contains(&scenario.count("workers")), "{drawn}");
        let troubles = scenario.incidents.len() + scenario.link_incidents.len();
        assert!((2..=5).contains(&troubles) && troubles == drawn.incidents.len(), "{drawn}");
        with_faults += usize::from(drawn.fault_schedule().is_some());
        largest = largest.max(scenario.count("dispatchers"));
    }
    assert!(with_faults > 200 && largest > 25, "{with_faults} with faults, at most {largest} dispatchers");
}

#[test]
fn a_failing_run_is_reduced_to_the_parts_that_fail() {
    let mut drawn = RandomScenario::new(4, SizeLimits::SMALL);
    let failing_incident = drawn.incidents[1].clone();
    drawn.faults = vec!["receive=EINTR:5".into(), "wait=EINTR:5".into()];
    let fails = |run: &RandomScenario| {
        run.incidents.contains(&failing_incident) && run.faults.iter().any(|f| f.starts_with("wait"))
    };
    let reduced = drawn.clone().shrink(fails);
    assert_eq!(
        (&reduced.incidents[..], &reduced.faults[..]),
        (&[failing_incident.clone()][..], &["wait=EINTR:5".to_owned()][..])
    );
    assert_eq!((reduced.seed, &reduced.settings), (drawn.seed, &drawn.settings));
    // If it fails without any part, none is kept.
    let empty = drawn.shrink(|_| true);
    assert!(empty.incidents.is_empty() && empty.fault_schedule().is_none());
    scenario(&empty);
}
