//! What a run came to.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

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
