//! Randomized fleets: real dispatchers with failing system calls, log workers that drain, fall silent and come back,
//! and a discovery that fails. All invariants are checked from outside the dispatchers.
//!
//! `ROOKSPOKE_SOAK_SEEDS=FROM..TO cargo test -p rookspoke --test soak -- --nocapture` runs other seeds in full size.

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

/// The seeds of the regular test run.
const SEEDS: Range<u64> = 1..6;
/// Attempts at one seed before the test fails because every run was void.
const MAX_VOID_RUNS: usize = 4;
/// How long a dispatcher may take to be ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// The outcome of one run, and how many faults were injected in it.
struct RunResult {
    outcome: Outcome,
    injected_faults: usize,
}

fn program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_rookspoke"))
}

async fn run_once(random: &RandomScenario) -> RunResult {
    let scenario = script::read_text("random.lab", &random.script(), Environment::Processes)
        .unwrap_or_else(|problems| panic!("{random}\n{}", problems.render()));
    let faults =
        random.fault_schedule().map(|schedule| FaultInjection { library: faults_library(), schedule });
    let options = Options { program: program(), seed: random.seed, start_timeout: START_TIMEOUT, faults };
    let rig = Rig::start(scenario, options).await.unwrap_or_else(|error| panic!("{random}\n{error}"));
    rig.run().await.unwrap_or_else(|error| panic!("{random}\n{error}"));
    let outcome = rig.outcome().await;
    RunResult { outcome, injected_faults: rig.injected_faults() }
}

/// Repeats the run until one is not void. A run is void if the rig ran late or none of its faults was injected.
fn run_until_valid(random: &RandomScenario) -> RunResult {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = runtime.expect("a runtime");
    for _ in 0..MAX_VOID_RUNS {
        let result = runtime.block_on(run_once(random));
        let fails_calls = random.faults.iter().any(|fault| !fault.starts_with("clock="));
        if fails_calls && result.injected_faults == 0 {
            eprintln!("seed {}: void, no system call failed", random.seed);
        } else if result.outcome.verdict == Verdict::Void {
            eprintln!("seed {}: void, the rig ran late: {:?}", random.seed, result.outcome.lateness);
        } else {
            return result;
        }
    }
    panic!("seed {}: {MAX_VOID_RUNS} runs were void", random.seed);
}

fn fails(random: &RandomScenario) -> bool {
    run_until_valid(random).outcome.verdict == Verdict::Broken
}

#[test]
fn randomized_fleets_keep_every_invariant() {
    let chosen_seeds = soak::seeds_from_env();
    let sizes = if chosen_seeds.is_some() { SizeLimits::FULL } else { SizeLimits::SMALL };
    let mut failed = Vec::new();
    for seed in chosen_seeds.clone().unwrap_or(SEEDS) {
        let random = RandomScenario::new(seed, sizes);
        let RunResult { outcome, injected_faults } = run_until_valid(&random);
        let report = &outcome.report;
        println!(
            "seed {seed}: {:?}, {} jobs, service {:.2}, {} served, {} refused, {injected_faults} faults, {:?}",
            outcome.verdict, report.jobs, report.service, report.served, report.refused, report.rules
        );
        if outcome.verdict == Verdict::Broken {
            println!("{random}{:#?}", outcome.violations.first());
            failed.push(random);
        }
    }
    if chosen_seeds.is_some() {
        for random in &failed {
            println!("the smallest scenario that fails:\n{}", random.clone().shrink(fails));
        }
    }
    let seeds: Vec<u64> = failed.iter().map(|random| random.seed).collect();
    assert!(seeds.is_empty(), "invariants were violated with the seeds {seeds:?}");
}
