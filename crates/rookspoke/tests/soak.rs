//! Fleets drawn from seeds: real dispatchers with failing system calls, log workers that drain, fall silent and come
//! back, and a discovery that fails, judged from outside by every rule.
//!
//! `ROOKSPOKE_SOAK_SEEDS=FROM..TO cargo test -p rookspoke --test soak -- --nocapture` plays other seeds in full size.

mod common;

use std::ops::Range;
use std::path::PathBuf;
use std::time::Duration;

use common::soak;
use common::world::faults_library;
use rookspoke_emulator::scenario::Environment;
use rookspoke_emulator::script;
use rookspoke_rig::dispatcher::FaultInjection;
use rookspoke_rig::run::{Options, Outcome, Rig, Verdict};
use rookspoke_rig::soak::{RandomScenario, SizeLimits};

/// The seeds that every run plays.
const SEEDS: Range<u64> = 1..6;
/// Plays of one seed that may prove nothing, since the rig ran late.
const VOID_PLAYS: usize = 4;
/// A dispatcher may take so long to be ready.
const PATIENCE: Duration = Duration::from_secs(30);

/// What came of one play.
struct Played {
    outcome: Outcome,
    injected_faults: usize,
}

fn program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_rookspoke"))
}

async fn play_once(drawn: &RandomScenario) -> Played {
    let scenario = script::read_text("drawn.lab", &drawn.script(), Environment::Processes)
        .unwrap_or_else(|problems| panic!("{drawn}\n{}", problems.render()));
    let faults =
        drawn.fault_schedule().map(|schedule| FaultInjection { library: faults_library(), schedule });
    let options = Options { program: program(), seed: drawn.seed, start_timeout: PATIENCE, faults };
    let rig = Rig::start(scenario, options).await.unwrap_or_else(|error| panic!("{drawn}\n{error}"));
    rig.run().await.unwrap_or_else(|error| panic!("{drawn}\n{error}"));
    let outcome = rig.outcome().await;
    Played { outcome, injected_faults: rig.injected_faults() }
}

/// Plays until a play proves something. A play whose faults were never met proves nothing either.
fn play(drawn: &RandomScenario) -> Played {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = runtime.expect("a runtime");
    for _ in 0..VOID_PLAYS {
        let played = runtime.block_on(play_once(drawn));
        let fails_calls = drawn.faults.iter().any(|fault| !fault.starts_with("clock="));
        if fails_calls && played.injected_faults == 0 {
            eprintln!("seed {}: void, no system call was made to fail", drawn.seed);
        } else if played.outcome.verdict == Verdict::Void {
            eprintln!("seed {}: void, the rig ran late: {:?}", drawn.seed, played.outcome.lateness);
        } else {
            return played;
        }
    }
    panic!("seed {}: {VOID_PLAYS} plays were void", drawn.seed);
}

fn fails(drawn: &RandomScenario) -> bool {
    play(drawn).outcome.verdict == Verdict::Broken
}

#[test]
fn fleets_drawn_from_seeds_keep_every_rule() {
    let by_hand = soak::seeds_from_env();
    let sizes = if by_hand.is_some() { SizeLimits::FULL } else { SizeLimits::SMALL };
    let mut broken = Vec::new();
    for seed in by_hand.clone().unwrap_or(SEEDS) {
        let drawn = RandomScenario::new(seed, sizes);
        let Played { outcome, injected_faults } = play(&drawn);
        let report = &outcome.report;
        println!(
            "seed {seed}: {:?}, {} jobs, service {:.2}, {} served, {} refused, {injected_faults} faults, {:?}",
            outcome.verdict, report.jobs, report.service, report.served, report.refused, report.rules
        );
        if outcome.verdict == Verdict::Broken {
            println!("{drawn}{:#?}", outcome.violations.first());
            broken.push(drawn);
        }
    }
    if by_hand.is_some() {
        for drawn in &broken {
            println!("the least that fails:\n{}", drawn.clone().shrink(fails));
        }
    }
    let seeds: Vec<u64> = broken.iter().map(|drawn| drawn.seed).collect();
    assert!(seeds.is_empty(), "rules were broken at the seeds {seeds:?}");
}
