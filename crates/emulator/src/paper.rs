//! The experiment of the paper that the design goes back to ("A Greedy Load Balancing Algorithm on Serverless
//! Platforms Maximizing Locality"): eight workers, thirty applications, one balancer, caches of limited size.
//!
//! The paper's workers were cloud functions, its load a trace; what is rebuilt here is the shape of the experiment,
//! not its machines. Its figures of interest are the part of runs that found their application loaded (hit ratio)
//! and how unevenly work was spread (coefficient of variation over workers).

use rookspoke_conf::Problem;

use crate::experiment::set_parameter;
use crate::policy::{Baseline, PolicyKind};
use crate::scenario::Scenario;

/// The policies of the experiment.
pub const POLICIES: [PolicyKind; 5] = [
    PolicyKind::Ours,
    PolicyKind::Baseline(Baseline::RoundRobin),
    PolicyKind::Baseline(Baseline::LeastLoaded),
    PolicyKind::Baseline(Baseline::BoundedLoads),
    PolicyKind::Baseline(Baseline::Pasch),
];

/// Applications that a worker keeps: many, as in the paper's first experiment (P1, a cache of limited size), and two,
/// as in its second (P2, containers warmed up for two).
pub const KEPT: [(&str, usize); 2] = [("P1", 6), ("P2", 2)];

/// The scenario: workers of eight slots (t_full), of which each keeps `kept` of the thirty applications.
///
/// # Errors
/// A parameter that the table does not know; a test holds that there is none.
pub fn scenario(kept: usize) -> Result<Scenario, Problem> {
    let mut scenario = Scenario::default();
    scenario.classes.truncate(1);
    for (name, value) in [
        ("workers", "8"),
        ("dispatchers", "1"),
        ("zones", "1"),
        ("worker.cores", "8"),
        ("worker.slots", "8"),
        ("worker.speed-spread", "0"),
        ("clients.keys", "30"),
        ("clients.skew", "0.8"),
        ("clients.load", "0.5"),
        ("clients.swing", "0"),
        ("store.fetch", "500ms"),
        ("store.together", "1000"),
        ("length", "120s"),
        ("log-lookup.work", "500ms"),
        ("log-lookup.aim", "2s"),
    ] {
        set_parameter(&mut scenario, name, value)?;
    }
    set_parameter(&mut scenario, "worker.archives", &kept.to_string())?;
    Ok(scenario)
}
