//! What the emulator has to show before anybody believes it.

use rookspoke_emulator::check::{Rule, RULES};
use rookspoke_emulator::experiment::{compare, play_all, set};
use rookspoke_emulator::model::run_scenario;
use rookspoke_emulator::policy::{Fault, Kind, Way, NAMED};
use rookspoke_emulator::report::Report;
use rookspoke_emulator::scenario::{Scenario, Stage};
use rookspoke_emulator::script;

fn scenario(script: &str) -> Scenario {
    script::read_text("test.lab", script, Stage::Emulator)
        .unwrap_or_else(|problems| panic!("{}", problems.render()))
}

fn reports(script: &str, kind: Kind, seeds: std::ops::Range<u64>) -> Vec<Report> {
    play_all(&scenario(script), &[kind], &seeds.collect::<Vec<_>>()).expect("settings")
}

fn broken(reports: &[Report]) -> Vec<(Rule, u64)> {
    let count = |rule: &Rule| reports.iter().map(|r| r.rules[rule.name()]).sum::<u64>();
    RULES.iter().map(|rule| (*rule, count(rule))).filter(|(_, count)| *count > 0).collect()
}

/// Several incidents at once, of every kind.
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

const COLD: &str = "
length 25s
dispatchers 12
clients.load 0.8
worker.cold-from 0.13
worker.cold-for 23s
discovery.notices 500ms
incident crash at 7s for 4s part 0.3
";

#[test]
fn the_same_script_and_seed_give_the_same_bytes_on_any_number_of_threads() {
    let scenario = scenario(EVERYTHING);
    let bytes = |threads: usize| {
        let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build().expect("threads");
        let reports =
            pool.install(|| play_all(&scenario, &[Kind::Ours, Kind::Plain(Way::TwoChoices)], &[1, 2, 3]));
        serde_json::to_string(&reports.expect("settings")).expect("JSON")
    };
    let one = bytes(1);
    assert_eq!(one, bytes(1));
    assert_eq!(one, bytes(4));
    let other =
        serde_json::to_string(&run_scenario(&scenario, Kind::Ours, 4).expect("settings")).expect("JSON");
    assert!(!one.contains(&other), "another seed is another day");
}

/// Each policy that is meant to keep the rules keeps them, whatever goes wrong.
#[test]
fn good_policies_keep_every_rule_through_every_incident() {
    for (name, kind) in NAMED.iter().filter(|(_, kind)| !matches!(kind, Kind::Bad(_))) {
        let reports = reports(EVERYTHING, *kind, 0..3);
        let told: Vec<&String> = reports.iter().flat_map(|r| &r.first_broken).collect();
        assert_eq!(broken(&reports), [], "{name}: {told:?}");
        assert!(reports.iter().all(|r| r.served > 0 && r.jobs > 100), "{name}");
    }
}

/// A checker that nothing trips checks nothing: each fault trips its own rule, and only that.
#[test]
fn each_fault_trips_its_own_rule_and_no_other() {
    let drains = "length 25s\nclients.load 0.8\nworker.hands-back off\ndiscovery.notices 100ms\n\
                  incident rolling at 3s for 15s part 1 size 4\n";
    let breaks = "length 20s\nlimits.second-copies off\nincident resets at 2s for 15s size 0.5\n";
    let jams = "length 20s\nclients.load 1.5\n";
    for (fault, script, rule) in [
        (Fault::Silent, jams, Rule::OneAnswer),
        (Fault::Twice, breaks, Rule::NoDuplicate),
        (Fault::Drain, drains, Rule::CleanDrain),
        (Fault::Cold, COLD, Rule::GentleStart),
    ] {
        let reports = reports(script, Kind::Bad(fault), 0..4);
        let rules: Vec<Rule> = broken(&reports).into_iter().map(|(rule, _)| rule).collect();
        assert_eq!(rules, [rule], "{fault:?}: {:?}", reports[0].first_broken);
    }
}

/// All dispatchers together push cold log workers over, unless they heed the warm-up.
#[test]
fn cold_workers_fall_to_a_policy_that_ignores_warm_up_and_not_to_ours() {
    let ours = reports(COLD, Kind::Ours, 0..4);
    let deaf = reports(COLD, Kind::Bad(Fault::Cold), 0..4);
    let falls = |reports: &[Report]| reports.iter().map(|r| r.falls).sum::<u64>();
    assert_eq!((broken(&ours), falls(&ours)), (vec![], 0));
    assert_eq!(broken(&deaf).len(), 1);
    assert!(falls(&deaf) > 4, "{}", falls(&deaf));
}

/// One more log worker does not change what the others draw: arrivals stay as they were.
#[test]
fn one_more_worker_leaves_the_clients_as_they_were() {
    let jobs = |workers: usize| {
        let mut scenario = scenario("length 10s\n");
        // The load is a part of what the fleet can do; it is to stay the same.
        let load = 0.6 * 12.0 / workers as f64;
        set(&mut scenario, "workers", &workers.to_string()).expect("a number");
        set(&mut scenario, "clients.load", &load.to_string()).expect("a number");
        run_scenario(&scenario, Kind::Plain(Way::Random), 3).expect("settings").jobs
    };
    assert_eq!(jobs(12), jobs(13));
}

#[test]
fn an_incident_costs_service_and_a_calm_day_keeps_nearly_all() {
    let calm = reports("length 30s\nclients.load 0.4\n", Kind::Ours, 0..4);
    let crash =
        reports("length 30s\nclients.load 0.4\nincident crash at 5s for 20s part 0.5\n", Kind::Ours, 0..4);
    let change = compare(&calm, &crash, |r| r.service).expect("the same seeds");
    assert!(change.high < 0.0, "{change:?}");
    assert!(calm.iter().all(|r| r.whole > 0.9), "{:?}", calm.iter().map(|r| r.whole).collect::<Vec<_>>());
}

#[test]
fn a_script_that_makes_no_sense_is_told_with_its_lines() {
    let text = "workers 12\nwrokers 3\nlength 10s\nworker.order lifo\nclass a {\n effect twice\n wrok 1s\n}\n\
                incident crsh at 3s\nincident crash at 20s\nincident crash for 3s\nincident slow at 1s size\n";
    let problems = script::read_text("day.lab", text, Stage::Emulator).expect_err("an error");
    let lines: Vec<String> = problems.to_string().split("; ").map(str::to_owned).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

/// One language for both stages: what one of them cannot play is told with its place.
#[test]
fn a_word_that_does_not_apply_to_a_stage_is_told_with_its_place() {
    let told = |text: &str, stage| {
        let problems = script::read_text("day.lab", text, stage).expect_err("an error");
        problems.to_string()
    };
    let text = "dispatchers 2\nincident kill at 1s\nincident link at 1s for 2s from n0 to w0 cut";
    insta::assert_snapshot!(
        told(text, Stage::Emulator),
        @"day.lab:2:10: found `kill`, which the emulator cannot play; `rehearse` plays it; day.lab:3:10: found `link`, which the emulator cannot play; `rehearse` plays it"
    );
    let text = "net.cross 3ms\nincident link at 1s for 2s from n9 to workers.z7 cut\n\
                incident link at 1s for 2s from workers to n0 cut\nincident link at 1s from n0 to w0 loss 2\n\
                incident link at 1s for 2s from n0 to w0 latency 2ms\nincident link at 1s for 1s from n0 to w0";
    insta::assert_snapshot!(told(text, Stage::Processes).replace("; day", "\nday"), @r"
    day.lab:1:1: found `net.cross`, which real processes cannot play; use `incident link`
    day.lab:3:1: no way leads from the first to the second: clients speak to dispatchers, and dispatchers to discovery and to log workers
    day.lab:4:40: found `2`, expected a number from 0 to 1
    day.lab:5:42: found `latency`, expected `delay`, `jitter`, `cut`, `refuse`, `rate`, `reset-at`, `loss`, `duplicate` or `reorder`
    day.lab:6:1: expected `delay`, `jitter`, `cut`, `refuse`, `rate`, `reset-at`, `loss`, `duplicate` or `reorder`
    day.lab:2:1: found number 9 of the dispatchers, expected less than 3
    ");
    let both = "incident stall at 1s\nincident zone-cut at 2s";
    for stage in [Stage::Emulator, Stage::Processes] {
        assert_eq!(script::read_text("day.lab", both, stage).expect("it is read").incidents.len(), 2);
    }
}
