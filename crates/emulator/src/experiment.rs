//! Experiments over many runs: seeds in parallel, parameters set by name, and paired comparisons.

use rand::Rng;
use rayon::prelude::*;
use rookspoke_conf::Problem;
use rookspoke_decisions::SettingsError;
use serde::Serialize;

use crate::model::run_scenario;
use crate::policy::PolicyKind;
use crate::report::Report;
use crate::rng::{stream, Stream};
use crate::scenario::{find_param, to_number, Scenario, CLASS_PARAMS, PARAMS};

/// Sets a parameter by its name; `CLASS.NAME` addresses a parameter of a class.
///
/// # Errors
/// The name is unknown, or the value is not accepted; the problem says what is expected.
pub fn set_parameter(scenario: &mut Scenario, name: &str, text: &str) -> Result<(), Problem> {
    if let Some(param) = find_param(PARAMS, name) {
        scenario.values.insert(param.name, to_number(&param.read(text)?));
        return Ok(());
    }
    let class_param = name.split_once('.').and_then(|(class, param)| {
        let class = scenario.classes.iter_mut().find(|known| known.name == class)?;
        Some((class, find_param(CLASS_PARAMS, param)?))
    });
    match class_param {
        Some((class, param)) => {
            class.values.insert(param.name, to_number(&param.read(text)?));
            Ok(())
        }
        None => {
            let known = PARAMS.iter().map(|param| param.name);
            Err(Problem::without_span(format!("found `{name}`, which is no parameter")).suggest(name, known))
        }
    }
}

/// Runs a scenario with each policy and each seed, in parallel. Reports are ordered by policy, then by seed,
/// whatever the number of threads.
///
/// # Errors
/// The decisions reject the settings that follow from the scenario.
pub fn run_all(
    scenario: &Scenario,
    kinds: &[PolicyKind],
    seeds: &[u64],
) -> Result<Vec<Report>, SettingsError> {
    let runs: Vec<(PolicyKind, u64)> =
        kinds.iter().flat_map(|kind| seeds.iter().map(|seed| (*kind, *seed))).collect();
    runs.par_iter().map(|(kind, seed)| run_scenario(scenario, *kind, *seed)).collect()
}

/// A mean with its confidence interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Estimate {
    /// Mean over the seeds.
    pub mean: f64,
    /// Lower end of the 95 % confidence interval of the mean.
    pub low: f64,
    /// Upper end of the interval.
    pub high: f64,
    /// Number of values.
    pub count: usize,
}

impl Estimate {
    /// Whether the interval excludes zero; never with a single value.
    pub fn excludes_zero(&self) -> bool {
        self.count > 1 && (self.low > 0.0 || self.high < 0.0)
    }
}

/// Bootstrap samples per interval.
const BOOTSTRAP_RESAMPLES: usize = 2000;

/// Estimates the mean and its confidence interval by the percentile bootstrap (Efron, 1979), which assumes no
/// distribution: service scores have a long tail on the bad side. The random draws are the same in every call.
pub fn estimate(values: &[f64]) -> Estimate {
    let count = values.len();
    let mean = values.iter().sum::<f64>() / count.max(1) as f64;
    if count < 2 {
        return Estimate { mean, low: f64::NEG_INFINITY, high: f64::INFINITY, count };
    }
    let mut rng = stream(0, Stream::Policy, count as u64);
    let mut means: Vec<f64> = (0..BOOTSTRAP_RESAMPLES)
        .map(|_| (0..count).map(|_| values[rng.random_range(0..count)]).sum::<f64>() / count as f64)
        .collect();
    means.sort_by(f64::total_cmp);
    Estimate {
        mean,
        low: means[BOOTSTRAP_RESAMPLES / 40],
        high: means[BOOTSTRAP_RESAMPLES - 1 - BOOTSTRAP_RESAMPLES / 40],
        count,
    }
}

/// Estimates the change of a value from one set of reports to another, paired by seed.
///
/// # Errors
/// The two sets do not have the same seeds, or are empty.
pub fn compare(
    before: &[Report],
    after: &[Report],
    value: impl Fn(&Report) -> f64,
) -> Result<Estimate, SeedMismatch> {
    let seeds = |reports: &[Report]| reports.iter().map(|report| report.seed).collect::<Vec<_>>();
    let (seeds_before, seeds_after) = (seeds(before), seeds(after));
    if seeds_before != seeds_after || seeds_before.is_empty() {
        return Err(SeedMismatch { before: seeds_before.len(), after: seeds_after.len() });
    }
    let differences: Vec<f64> =
        before.iter().zip(after).map(|(before, after)| value(after) - value(before)).collect();
    Ok(estimate(&differences))
}

/// Two sets of reports cannot be compared because their seeds differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "found {before} and {after} reports, expected the same seeds in both: reports are compared seed by seed"
)]
pub struct SeedMismatch {
    /// Number of reports in the first set.
    pub before: usize,
    /// Number of reports in the second set.
    pub after: usize,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn interval_contains_the_mean_and_narrows_with_more_values() {
        let few = estimate(&[0.1, 0.3, 0.2, 0.4]);
        let many = estimate(&[0.1, 0.3, 0.2, 0.4].repeat(20));
        assert!(few.low < few.mean && few.mean < few.high);
        assert!(many.high - many.low < (few.high - few.low) / 2.0);
        assert!(many.excludes_zero() && !estimate(&[0.3]).excludes_zero());
        assert!(!estimate(&[-0.2, 0.2, -0.1, 0.1]).excludes_zero());
    }
}
