//! Results of a run: counts, latencies and the service score.

use std::collections::BTreeMap;

use rookspoke_decisions::Time;
use serde::{Deserialize, Serialize};

use crate::scenario::Scenario;

/// The service score of one sliding window of a run.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Window {
    /// Start of the window, in seconds from the start of the run.
    pub from_s: f64,
    /// Worth answered in time over worth submitted.
    pub service: f64,
}

/// Results of a class of jobs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClassReport {
    /// Name of the class.
    pub name: String,
    /// Jobs submitted.
    pub jobs: usize,
    /// Jobs served later than their latency goal.
    pub late: usize,
    /// Worth answered in time over worth submitted.
    pub service: f64,
}

/// A submitted job, and whether it was answered in time.
#[derive(Clone, Copy, Debug)]
pub struct JobResult {
    /// Index of its class in the scenario.
    pub class: usize,
    /// When its client intended to send it first.
    pub at: Time,
    /// Whether it was answered within its latency goal.
    pub in_time: bool,
}

/// The service score and its components, each from 0 to 1.
#[derive(Clone, Debug)]
pub struct Score {
    /// Whole run, worst window and worst class, by the weights of the scenario.
    pub service: f64,
    /// Score of the whole run.
    pub whole: f64,
    /// Score of the worst window.
    pub worst_window: f64,
    /// Score of the worst class.
    pub worst_class: f64,
    /// Score of each sliding window; windows start one second apart.
    pub windows: Vec<Window>,
    /// Score of each class.
    pub classes: Vec<f64>,
}

impl Score {
    /// Computes the scores of a run: worth answered in time over worth submitted, or 1 where nothing was submitted.
    pub fn from_jobs(scenario: &Scenario, jobs: &[JobResult]) -> Self {
        let ratio = |selected: &dyn Fn(&JobResult) -> bool| {
            let selected = jobs.iter().filter(|job| selected(job));
            let (submitted, in_time) = selected.fold((0.0, 0.0), |(submitted, in_time), job| {
                let worth = scenario.classes[job.class].get("worth");
                (submitted + worth, if job.in_time { in_time + worth } else { in_time })
            });
            if submitted > 0.0 {
                in_time / submitted
            } else {
                1.0
            }
        };
        let whole = ratio(&|_| true);
        let length = scenario.span("goal.window-length");
        let seconds = ((scenario.span("length") - length).secs().max(0.0)) as i64;
        let windows: Vec<Window> = (0..=seconds)
            .map(|second| {
                let from = Time(second * 1_000_000);
                let within = |job: &JobResult| job.at >= from && job.at < from + length;
                Window { from_s: second as f64, service: ratio(&within) }
            })
            .collect();
        let worst_window = windows.iter().map(|window| window.service).fold(1.0, f64::min);
        let classes: Vec<f64> =
            (0..scenario.classes.len()).map(|class| ratio(&|job: &JobResult| job.class == class)).collect();
        let worst_class = classes.iter().copied().fold(1.0, f64::min);
        let goal = |name: &str| scenario.get(name);
        let weights = goal("goal.whole") + goal("goal.window") + goal("goal.class");
        let service = goal("goal.whole") * whole
            + goal("goal.window") * worst_window
            + goal("goal.class") * worst_class;
        Score { service: service / weights.max(1e-9), whole, worst_window, worst_class, windows, classes }
    }
}

/// The report of a run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Name of the policy.
    pub policy: String,
    /// Seed of every random stream of the run.
    pub seed: u64,
    /// Service score from 0 to 1: whole run, worst window and worst class, by the weights of the scenario.
    pub service: f64,
    /// Score of the whole run.
    pub whole: f64,
    /// Score of the worst window.
    pub worst_window: f64,
    /// Score of the worst class.
    pub worst_class: f64,
    /// Score of each sliding window; windows start one second apart.
    pub windows: Vec<Window>,
    /// Results of each class.
    pub classes: Vec<ClassReport>,
    /// Jobs submitted.
    pub jobs: usize,
    /// Jobs served, in time or not.
    pub served: usize,
    /// Refusals; a client may retry after one.
    pub refused: u64,
    /// Failures: a client received neither a result nor a refusal.
    pub failed: u64,
    /// Retries by clients.
    pub retries: u64,
    /// Call attempts sent to log workers.
    pub sent: u64,
    /// Attempts that a log worker turned away before it started them.
    pub turned_away: u64,
    /// Attempts that failed because their connection broke or could not be opened.
    pub broken_connections: u64,
    /// Attempts sent to a log worker of another zone.
    pub cross_zone: u64,
    /// Connections opened.
    pub openings: u64,
    /// Probes sent to log workers.
    pub probes: u64,
    /// Archives fetched from the store.
    pub fetches: u64,
    /// Jobs that a log worker started.
    pub starts: u64,
    /// Overloads of log workers in slow start.
    pub falls: u64,
    /// Mean latency, from when the client intended to send.
    pub mean_ms: f64,
    /// Median latency, from when the client intended to send.
    pub p50_ms: f64,
    /// 99th percentile of the latency.
    pub p99_ms: f64,
    /// Imbalance of work: coefficient of variation over the log workers.
    pub spread: f64,
    /// Violations of each rule.
    pub rules: BTreeMap<String, u64>,
    /// Descriptions of the first violations.
    pub first_broken: Vec<String>,
}

impl Report {
    /// Whether no rule was violated.
    pub fn keeps_rules(&self) -> bool {
        self.rules.values().all(|violations| *violations == 0)
    }

    /// Fraction of started jobs that found their archive in the log worker's cache.
    pub fn hit_ratio(&self) -> f64 {
        1.0 - self.fetches as f64 / self.starts.max(1) as f64
    }
}

/// Coefficient of variation: standard deviation over mean, or 0 if the mean is not positive.
pub fn coefficient_of_variation(values: &[f64]) -> f64 {
    let count = values.len().max(1) as f64;
    let mean = values.iter().sum::<f64>() / count;
    let variance = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / count;
    if mean > 0.0 {
        variance.sqrt() / mean
    } else {
        0.0
    }
}
