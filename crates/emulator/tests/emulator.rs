//! Tests of the emulator's validity: reproducibility, the checkers' ability to detect violations, and script errors.

use rookspoke_emulator::check::{Rule, RULES};
use rookspoke_emulator::experiment::{compare, run_all, set_parameter};
use rookspoke_emulator::model::run_scenario;
use rookspoke_emulator::policy::{Baseline, Fault, PolicyKind, NAMED};
use rookspoke_emulator::report::Report;
use rookspoke_emulator::scenario::{Environment, Scenario};
use rookspoke_emulator::script;

fn scenario(script: &str) -> Scenario {
    script::read_text("test.lab", script, Environment::Emulator)
        .unwrap_or_else(|problems| panic!("{}", problems.render()))
}

fn reports(script: &str, kind: PolicyKind, seeds: std::ops::Range<u64>) -> Vec<Report> {
    run_all(&scenario(script), &[kind], &seeds.collect::<Vec<_>>()).expect("settings")
}

fn broken(reports: &[Report]) -> Vec<(Rule, u64)> {
    let count = |rule: &Rule| reports.iter().map(|r| r.rules[rule.name()]).sum::<u64>();
    RULES.iter().map(|rule| (*rule, count(rule))).filter(|(_, count)| *count > 0).collect()
}

/// Incidents of every kind that the emulator supports, with several at once.
const EVERYTHING: &str = "
length 30s
incident crash at 4s for 5s part 0.25
incident slow at 6s for 8s part 0.2 size 4
incident neighbour at 5s for 10s part 0.3 size 0.5
incident reports-late at 8s for 6s size 2
incident costly at 10s for 5s part 0.05 size 8
incident resets at 12s for 4s size 0.2
incident silent at 14s for 4s part 0.1
incident zone-cut at 17s for 2s
incident discovery-gone at 18s for 4s
incident rolling at 8s for 15s part 0.5 size 2
incident pause at 20s for 1s part 0.2
incident host-pause at 22s for 1s part 0.3
";

const SLOW_START: &str = "
length 25s
dispatchers 12
clients.load 0.8
worker.cold-from 0.13
worker.cold-for 23s
discovery.notices 500ms
incident crash at 7s for 4s part 0.3
";

#[test]
fn same_script_and_seed_give_identical_reports_on_any_number_of_threads() {
    let scenario = scenario(EVERYTHING);
    let bytes = |threads: usize| {
        let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build().expect("threads");
        let reports = pool.install(|| {
            run_all(&scenario, &[PolicyKind::Ours, PolicyKind::Baseline(Baseline::TwoChoices)], &[1, 2, 3])
        });
        serde_json::to_string(&reports.expect("settings")).expect("JSON")
    };
    let one = bytes(1);
    assert_eq!(one, bytes(1));
    assert_eq!(one, bytes(4));
    let other = serde_json::to_string(&run_scenario(&scenario, PolicyKind::Ours, 4).expect("settings"))
        .expect("JSON");
    assert!(!one.contains(&other), "another seed gives another report");
}

/// Every policy without a deliberate fault complies with all rules during all incidents.
#[test]
fn correct_policies_break_no_rule_during_any_incident() {
    for (name, kind) in NAMED.iter().filter(|(_, kind)| !matches!(kind, PolicyKind::Faulty(_))) {
        let reports = reports(EVERYTHING, *kind, 0..3);
        let violations: Vec<&String> = reports.iter().flat_map(|r| &r.first_broken).collect();
        assert_eq!(broken(&reports), [], "{name}: {violations:?}");
        assert!(reports.iter().all(|r| r.served > 0 && r.jobs > 100), "{name}");
    }
}

/// Guards against checkers that detect nothing: each faulty policy breaks its own rule, and only that one.
#[test]
fn each_faulty_policy_breaks_its_own_rule_and_no_other() {
    let drains = "length 25s\nclients.load 0.8\nworker.hands-back off\ndiscovery.notices 100ms\n\
                  incident rolling at 3s for 15s part 1 size 4\n";
    let breaks = "length 20s\nlimits.second-copies off\nincident resets at 2s for 15s size 0.5\n";
    let overload = "length 20s\nclients.load 1.5\n";
    for (fault, script, rule) in [
        (Fault::LosesAnswers, overload, Rule::OneAnswer),
        (Fault::RepeatsUnsafe, breaks, Rule::NoDuplicate),
        (Fault::IgnoresDrain, drains, Rule::CleanDrain),
        (Fault::IgnoresSlowStart, SLOW_START, Rule::GentleStart),
    ] {
        let reports = reports(script, PolicyKind::Faulty(fault), 0..4);
        let rules: Vec<Rule> = broken(&reports).into_iter().map(|(rule, _)| rule).collect();
        assert_eq!(rules, [rule], "{fault:?}: {:?}", reports[0].first_broken);
    }
}

/// Dispatchers that ignore slow start overload restarted log workers together; the project's decisions do not.
#[test]
fn workers_in_slow_start_are_overloaded_only_by_a_policy_that_ignores_it() {
    let ours = reports(SLOW_START, PolicyKind::Ours, 0..4);
    let ignoring = reports(SLOW_START, PolicyKind::Faulty(Fault::IgnoresSlowStart), 0..4);
    let falls = |reports: &[Report]| reports.iter().map(|r| r.falls).sum::<u64>();
    assert_eq!((broken(&ours), falls(&ours)), (vec![], 0));
    assert_eq!(broken(&ignoring).len(), 1);
    assert!(falls(&ignoring) > 4, "{}", falls(&ignoring));
}

/// Random streams are independent of each other: another log worker does not change the arrivals of jobs.
#[test]
fn another_worker_does_not_change_the_arrivals() {
    let jobs = |workers: usize| {
        let mut scenario = scenario("length 10s\n");
        // The load is relative to the capacity of the fleet; this keeps the absolute load constant.
        let load = 0.6 * 12.0 / workers as f64;
        set_parameter(&mut scenario, "workers", &workers.to_string()).expect("a number");
        set_parameter(&mut scenario, "clients.load", &load.to_string()).expect("a number");
        run_scenario(&scenario, PolicyKind::Baseline(Baseline::Random), 3).expect("settings").jobs
    };
    assert_eq!(jobs(12), jobs(13));
}

#[test]
fn an_incident_lowers_the_service_and_a_run_without_one_keeps_it_high() {
    let calm = reports("length 30s\nclients.load 0.4\n", PolicyKind::Ours, 0..4);
    let crash = reports(
        "length 30s\nclients.load 0.4\nincident crash at 5s for 20s part 0.5\n",
        PolicyKind::Ours,
        0..4,
    );
    let change = compare(&calm, &crash, |r| r.service).expect("the same seeds");
    assert!(change.high < 0.0, "{change:?}");
    assert!(calm.iter().all(|r| r.whole > 0.9), "{:?}", calm.iter().map(|r| r.whole).collect::<Vec<_>>());
}

#[test]
fn script_errors_are_reported_with_their_lines() {
    let text = "workers 12\nwrokers 3\nlength 10s\nworker.order lifo\nclass a {\n effect twice\n wrok 1s\n}\n\
                incident crsh at 3s\nincident crash at 20s\nincident crash for 3s\nincident slow at 1s size\n";
    let problems = script::read_text("day.lab", text, Environment::Emulator).expect_err("an error");
    let lines: Vec<String> = problems.to_string().split("; ").map(str::to_owned).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

/// Both environments read the same scripts, and report the position of whatever they do not support.
#[test]
fn words_that_an_environment_does_not_support_are_reported_with_their_position() {
    let errors = |text: &str, environment| {
        let problems = script::read_text("day.lab", text, environment).expect_err("an error");
        problems.to_string()
    };
    let text = "dispatchers 2\nincident kill at 1s\nincident link at 1s for 2s from n0 to w0 cut";
    insta::assert_snapshot!(
        errors(text, Environment::Emulator),
        @"day.lab:2:10: found `kill`, which the emulator does not support; use `rehearse`; day.lab:3:10: found `link`, which the emulator does not support; use `rehearse`"
    );
    let text = "net.cross 3ms\nincident link at 1s for 2s from n9 to workers.z7 cut\n\
                incident link at 1s for 2s from workers to n0 cut\nincident link at 1s from n0 to w0 loss 2\n\
                incident link at 1s for 2s from n0 to w0 latency 2ms\nincident link at 1s for 1s from n0 to w0";
    insta::assert_snapshot!(errors(text, Environment::Processes).replace("; day", "\nday"), @r"
    day.lab:1:1: found `net.cross`, which does not apply to real processes; use `incident link`
    day.lab:3:1: found no route between these endpoints: clients connect to dispatchers, and dispatchers to discovery and to log workers
    day.lab:4:40: found `2`, expected a number from 0 to 1
    day.lab:5:42: found `latency`, expected `delay`, `jitter`, `cut`, `refuse`, `rate`, `reset-at`, `loss`, `duplicate` or `reorder`
    day.lab:6:1: expected `delay`, `jitter`, `cut`, `refuse`, `rate`, `reset-at`, `loss`, `duplicate` or `reorder`
    day.lab:2:1: found number 9 of the dispatchers, expected less than 3
    ");
    let both = "incident stall at 1s\nincident zone-cut at 2s";
    for environment in [Environment::Emulator, Environment::Processes] {
        assert_eq!(script::read_text("day.lab", both, environment).expect("it is read").incidents.len(), 2);
    }
}
