//! What a run came to.

use std::collections::BTreeMap;

use rookspoke_decisions::Time;
use serde::{Deserialize, Serialize};

use crate::scenario::Scenario;

/// A stretch of a run.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Window {
    /// Its beginning, in seconds.
    pub from_s: f64,
    /// Worth answered in time over worth asked for.
    pub service: f64,
}

/// A class of jobs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClassReport {
    /// Its name.
    pub name: String,
    /// Jobs asked for.
    pub jobs: usize,
    /// Jobs served too late.
    pub late: usize,
    /// Worth answered in time over worth asked for.
    pub service: f64,
}

/// A job that was asked for, and whether it was answered in time.
#[derive(Clone, Copy, Debug)]
pub struct JobResult {
    /// Its class, by its place in the scenario.
    pub class: usize,
    /// When its client first meant to send it.
    pub at: Time,
    /// Answered in time.
    pub in_time: bool,
}

/// The service figure and its parts, each 0 to 1.
#[derive(Clone, Debug)]
pub struct Score {
    /// Whole run, worst window and worst class, weighed as the scenario says.
    pub service: f64,
    /// Of the whole run.
    pub whole: f64,
    /// Of the worst window.
    pub worst_window: f64,
    /// Of the worst class.
    pub worst_class: f64,
    /// Every window, a second apart.
    pub windows: Vec<Window>,
    /// Every class.
    pub classes: Vec<f64>,
}

impl Score {
    /// The figures of a run: worth answered in time over worth asked for.
    pub fn from_jobs(s: &Scenario, jobs: &[JobResult]) -> Self {
        let part = |of: &dyn Fn(&JobResult) -> bool| {
            let of = jobs.iter().filter(|job| of(job));
            let (asked, got) = of.fold((0.0, 0.0), |(asked, got), job| {
                let worth = s.classes[job.class].get("worth");
                (asked + worth, if job.in_time { got + worth } else { got })
            });
            if asked > 0.0 {
                got / asked
            } else {
                1.0
            }
        };
        let whole = part(&|_| true);
        let length = s.span("goal.window-length");
        let seconds = ((s.span("length") - length).secs().max(0.0)) as i64;
        let windows: Vec<Window> = (0..=seconds)
            .map(|second| {
                let from = Time(second * 1_000_000);
                let within = |job: &JobResult| job.at >= from && job.at < from + length;
                Window { from_s: second as f64, service: part(&within) }
            })
            .collect();
        let worst_window = windows.iter().map(|w| w.service).fold(1.0, f64::min);
        let classes: Vec<f64> =
            (0..s.classes.len()).map(|class| part(&|job: &JobResult| job.class == class)).collect();
        let worst_class = classes.iter().copied().fold(1.0, f64::min);
        let goal = |name: &str| s.get(name);
        let weights = goal("goal.whole") + goal("goal.window") + goal("goal.class");
        let service = goal("goal.whole") * whole
            + goal("goal.window") * worst_window
            + goal("goal.class") * worst_class;
        Score { service: service / weights.max(1e-9), whole, worst_window, worst_class, windows, classes }
    }
}

/// What a run came to.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// The policy's name.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// The service figure: whole run, worst window and worst class, weighed as the scenario says. 0 to 1.
    pub service: f64,
    /// Of the whole run.
    pub whole: f64,
    /// Of the worst window.
    pub worst_window: f64,
    /// Of the worst class.
    pub worst_class: f64,
    /// Every window, a second apart.
    pub windows: Vec<Window>,
    /// Every class.
    pub classes: Vec<ClassReport>,
    /// Jobs asked for.
    pub jobs: usize,
    /// Jobs served, in time or not.
    pub served: usize,
    /// Refusals; a client may try again after one.
    pub refused: u64,
    /// Failures.
    pub failed: u64,
    /// Tries after the first.
    pub retries: u64,
    /// Call attempts.
    pub sent: u64,
    /// Attempts turned away unseen.
    pub turned_away: u64,
    /// Attempts that ended with their connection, or got none.
    pub broken_connections: u64,
    /// Attempts sent to another zone.
    pub cross_zone: u64,
    /// Connections opened.
    pub openings: u64,
    /// Probes sent.
    pub probes: u64,
    /// Archives fetched.
    pub fetches: u64,
    /// Jobs started at a log worker.
    pub starts: u64,
    /// Cold log workers that fell over.
    pub falls: u64,
    /// Mean time to an answer, from when the client meant to send.
    pub mean_ms: f64,
    /// Median time to an answer, from when the client meant to send.
    pub p50_ms: f64,
    /// The 99th percentile of it.
    pub p99_ms: f64,
    /// How unevenly work was spread: deviation over mean of the log workers' work.
    pub spread: f64,
    /// How often each rule was broken.
    pub rules: BTreeMap<String, u64>,
    /// What broke first, in words.
    pub first_broken: Vec<String>,
}

impl Report {
    /// Whether all rules were kept.
    pub fn keeps_rules(&self) -> bool {
        self.rules.values().all(|broken| *broken == 0)
    }

    /// The part of starts that found their archive there.
    pub fn hit_ratio(&self) -> f64 {
        1.0 - self.fetches as f64 / self.starts.max(1) as f64
    }
}

/// How unevenly something is spread: deviation over mean.
pub fn coefficient_of_variation(values: &[f64]) -> f64 {
    let count = values.len().max(1) as f64;
    let mean = values.iter().sum::<f64>() / count;
    let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / count;
    if mean > 0.0 {
        variance.sqrt() / mean
    } else {
        0.0
    }
}
