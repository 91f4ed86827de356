//! The experiment of the paper that the design is based on ("A Greedy Load Balancing Algorithm on Serverless
//! Platforms Maximizing Locality"): eight workers, thirty applications, one balancer, caches of limited size.
//!
//! The paper used cloud functions as workers and a trace as load. This reproduces the setup of the experiment, not
//! its machines. The metrics of interest are the fraction of runs that found their application loaded (hit ratio)
//! and the imbalance of work (coefficient of variation over workers).

use rookspoke_conf::Problem;

use crate::experiment::set_parameter;
use crate::policy::{Baseline, PolicyKind};
use crate::scenario::Scenario;

/// The policies that the experiment compares.
pub const POLICIES: [PolicyKind; 5] = [
    PolicyKind::Ours,
    PolicyKind::Baseline(Baseline::RoundRobin),
    PolicyKind::Baseline(Baseline::LeastLoaded),
    PolicyKind::Baseline(Baseline::BoundedLoads),
    PolicyKind::Baseline(Baseline::Pasch),
];

/// Applications that a worker caches: six, as in the paper's first experiment (P1, a cache of limited size), and two,
/// as in its second (P2, containers kept warm for two applications).
pub const CACHE_SIZES: [(&str, usize); 2] = [("P1", 6), ("P2", 2)];

/// The experiment's scenario: workers of eight slots (`t_full` in the paper) that each cache `cache_size` of the
/// thirty applications.
///
/// # Errors
/// A parameter is missing from the table or rejects its value, which is a bug in this function.
pub fn scenario(cache_size: usize) -> Result<Scenario, Problem> {
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
    set_parameter(&mut scenario, "worker.archives", &cache_size.to_string())?;
    Ok(scenario)
}
