//! Many runs: seeds in parallel, sweeps over parameters, and paired comparisons.

use rand::Rng;
use rayon::prelude::*;
use rookspoke_conf::Problem;
use rookspoke_decisions::SettingsError;
use serde::Serialize;

use crate::model::run_scenario;
use crate::policy::Kind;
use crate::report::Report;
use crate::rng::{stream, Stream};
use crate::scenario::{find, plain, Scenario, CLASS_PARAMS, PARAMS};

/// Sets a parameter by its name; one of a class is `CLASS.NAME`.
///
/// # Errors
/// Says what is not known, or what is expected.
pub fn set(scenario: &mut Scenario, name: &str, text: &str) -> Result<(), Problem> {
    if let Some(param) = find(PARAMS, name) {
        scenario.values.insert(param.name, plain(&param.read(text)?));
        return Ok(());
    }
    let of_class = name.split_once('.').and_then(|(class, param)| {
        let class = scenario.classes.iter_mut().find(|c| c.name == class)?;
        Some((class, find(CLASS_PARAMS, param)?))
    });
    match of_class {
        Some((class, param)) => {
            class.values.insert(param.name, plain(&param.read(text)?));
            Ok(())
        }
        None => {
            let known = PARAMS.iter().map(|param| param.name);
            Err(Problem::without_span(format!("found `{name}`, which is no parameter")).suggest(name, known))
        }
    }
}

/// Plays a scenario with each policy at each seed, in parallel. The order of the reports is that of policies, then
/// of seeds, whatever the number of threads.
///
/// # Errors
/// The scenario's settings make no sense to the decisions.
pub fn play_all(scenario: &Scenario, kinds: &[Kind], seeds: &[u64]) -> Result<Vec<Report>, SettingsError> {
    let runs: Vec<(Kind, u64)> =
        kinds.iter().flat_map(|kind| seeds.iter().map(|seed| (*kind, *seed))).collect();
    runs.par_iter().map(|(kind, seed)| run_scenario(scenario, *kind, *seed)).collect()
}

/// A figure with its uncertainty.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Figure {
    /// The mean over the seeds.
    pub mean: f64,
    /// The lower end of the interval that holds the true mean with a chance of 95 %.
    pub low: f64,
    /// Its upper end.
    pub high: f64,
    /// Values that went in.
    pub count: usize,
}

impl Figure {
    /// Whether the interval leaves zero out.
    pub fn is_clear(&self) -> bool {
        self.count > 1 && (self.low > 0.0 || self.high < 0.0)
    }
}

/// Samples drawn for an interval.
const RESAMPLES: usize = 2000;

/// The mean, and an interval by resampling (the percentile bootstrap, Efron, 1979). It takes no shape for granted:
/// service figures have a long tail on the bad side. The draws are always the same.
pub fn figure(values: &[f64]) -> Figure {
    let count = values.len();
    let mean = values.iter().sum::<f64>() / count.max(1) as f64;
    if count < 2 {
        return Figure { mean, low: f64::NEG_INFINITY, high: f64::INFINITY, count };
    }
    let mut rng = stream(0, Stream::Policy, count as u64);
    let mut means: Vec<f64> = (0..RESAMPLES)
        .map(|_| (0..count).map(|_| values[rng.random_range(0..count)]).sum::<f64>() / count as f64)
        .collect();
    means.sort_by(f64::total_cmp);
    Figure { mean, low: means[RESAMPLES / 40], high: means[RESAMPLES - 1 - RESAMPLES / 40], count }
}

/// What changed from one set of reports to another, seed by seed.
///
/// # Errors
/// The seeds of the two are not the same.
pub fn compare(before: &[Report], after: &[Report], of: impl Fn(&Report) -> f64) -> Result<Figure, Unpaired> {
    let seeds = |reports: &[Report]| reports.iter().map(|report| report.seed).collect::<Vec<_>>();
    let (a, b) = (seeds(before), seeds(after));
    if a != b || a.is_empty() {
        return Err(Unpaired { before: a.len(), after: b.len() });
    }
    let differences: Vec<f64> = before.iter().zip(after).map(|(a, b)| of(b) - of(a)).collect();
    Ok(figure(&differences))
}

/// Two sets that were not played at the same seeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "found {before} and {after} reports, expected the same seeds in both: a difference is taken seed by seed"
)]
pub struct Unpaired {
    /// Reports in the first.
    pub before: usize,
    /// Reports in the second.
    pub after: usize,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_interval_holds_the_mean_and_narrows() {
        let few = figure(&[0.1, 0.3, 0.2, 0.4]);
        let many = figure(&[0.1, 0.3, 0.2, 0.4].repeat(20));
        assert!(few.low < few.mean && few.mean < few.high);
        assert!(many.high - many.low < (few.high - few.low) / 2.0);
        assert!(many.is_clear() && !figure(&[0.3]).is_clear());
        assert!(!figure(&[-0.2, 0.2, -0.1, 0.1]).is_clear());
    }
}
