//! Reader of the bench's journal: the scores of each day by program, and the noise of these scores.
//!
//! One program on one day has scored 0.25 to 0.86, so a single score says little. This reads every run in the
//! journal, groups runs of one day by one program, and reports whether a change of the score exceeds the noise.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use thiserror::Error;

/// Largest accepted drop of the score from one run of the bench to the next.
pub const SCORE_DROP_BOUND: f64 = 0.03;

/// A journal could not be read.
#[derive(Debug, Error)]
pub enum JournalError {
    /// I/O error of the folder or of a file.
    #[error("{0}: {1}")]
    Io(PathBuf, std::io::Error),
    /// The contents of a file are not an entry of the bench.
    #[error("{0}: expected a journal entry of the bench: {1}")]
    Format(PathBuf, serde_json::Error),
}

#[derive(Debug, Deserialize)]
struct Entry {
    id: String,
    cmd: String,
    #[serde(default)]
    node_sha: Option<String>,
    #[serde(default)]
    policy: Vec<Policy>,
    #[serde(default)]
    figures: BTreeMap<String, serde_json::Value>,
    #[serde(default)]
    days: Vec<DayEntry>,
}

#[derive(Debug, Deserialize)]
struct Policy {
    sha256: String,
}

#[derive(Debug, Deserialize)]
struct DayEntry {
    #[serde(default)]
    name: Option<String>,
    #[serde(default)]
    seed: Option<u64>,
    #[serde(default)]
    score: Option<f64>,
    #[serde(default)]
    rules: BTreeMap<String, serde_json::Value>,
}

/// The result of one program on one day.
#[derive(Clone, Debug, PartialEq)]
pub struct DayRun {
    /// Id of the journal entry that it belongs to.
    pub run: String,
    /// The kind of day and its seed.
    pub day: String,
    /// The program: short hashes from the `node_sha` and `policy` fields of the entry.
    pub program: String,
    /// Score from 0 to 1.
    pub score: f64,
    /// Rule violations on that day.
    pub broken: u64,
}

/// The total score of a run of the bench over its days.
#[derive(Clone, Debug, PartialEq)]
pub struct Total {
    /// Id of the journal entry.
    pub run: String,
    /// The program, as in [`DayRun`].
    pub program: String,
    /// Score from 0 to 1.
    pub score: f64,
    /// The days that it covers.
    pub days: Vec<String>,
}

/// All results of the bench, in the order of its runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Journal {
    /// Results of single days, among them the days of total scores.
    pub runs: Vec<DayRun>,
    /// Total scores.
    pub totals: Vec<Total>,
}

/// Reads the JSON files of a folder of journal entries.
///
/// # Errors
/// The folder or a file cannot be read, or a file is not an entry; the error names it.
pub fn read(folder: &Path) -> Result<Journal, JournalError> {
    let io = |path: &Path| {
        let path = path.to_path_buf();
        move |error| JournalError::Io(path, error)
    };
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(io(folder))? {
        let path = entry.map_err(io(folder))?.path();
        if path.extension().is_some_and(|extension| extension == "json") {
            files.push(path);
        }
    }
    // File names begin with the time, so that this is the order of the runs.
    files.sort();
    let mut journal = Journal::default();
    for path in files {
        let text = std::fs::read_to_string(&path).map_err(io(&path))?;
        let entry: Entry = serde_json::from_str(&text).map_err(|error| JournalError::Format(path, error))?;
        journal.add_entry(entry);
    }
    Ok(journal)
}

impl Journal {
    fn add_entry(&mut self, entry: Entry) {
        if !entry.cmd.starts_with("real") {
            return;
        }
        let sha = entry.node_sha.as_deref().unwrap_or("-");
        let policy = entry.policy.first().map_or("-", |policy| policy.sha256.as_str());
        let short = |text: &str| text.chars().take(6).collect::<String>();
        let program = format!("{}/{}", short(sha), short(policy));
        let mut days = Vec::new();
        for day in &entry.days {
            let (Some(name), Some(score)) = (&day.name, day.score) else { continue };
            let day_name = format!("{name} {}", day.seed.unwrap_or(0));
            let broken = day.rules.values().filter_map(serde_json::Value::as_u64).sum();
            days.push(day_name.clone());
            self.runs.push(DayRun {
                run: entry.id.clone(),
                day: day_name,
                program: program.clone(),
                score,
                broken,
            });
        }
        if let Some(score) = entry.figures.get("real_score").and_then(serde_json::Value::as_f64) {
            self.totals.push(Total { run: entry.id, program, score, days });
        }
    }

    /// Scores by day and by program, both sorted by name.
    pub fn by_day(&self) -> BTreeMap<&str, BTreeMap<&str, Vec<f64>>> {
        let mut days: BTreeMap<&str, BTreeMap<&str, Vec<f64>>> = BTreeMap::new();
        for run in &self.runs {
            days.entry(&run.day).or_default().entry(&run.program).or_default().push(run.score);
        }
        days
    }

    /// Standard deviation of the scores of one program on this day, pooled over all programs that ran it at least
    /// twice.
    pub fn day_deviation(&self, day: &str) -> Option<f64> {
        let days = self.by_day();
        let groups: Vec<&Vec<f64>> = days.get(day)?.values().filter(|runs| runs.len() > 1).collect();
        let degrees_of_freedom: usize = groups.iter().map(|runs| runs.len() - 1).sum();
        let squares: f64 = groups.iter().map(|runs| squared_deviations(runs)).sum();
        (degrees_of_freedom > 0).then(|| (squares / degrees_of_freedom as f64).sqrt())
    }

    /// Standard deviation of a total score of these days. The site defines the total as 0.7 times the mean of the
    /// days plus 0.3 times the mean of the worst third. Days without repeated runs count with the mean deviation of
    /// the others.
    pub fn total_deviation(&self, total: &Total) -> Option<f64> {
        let known: Vec<f64> = total.days.iter().filter_map(|day| self.day_deviation(day)).collect();
        if known.is_empty() || total.days.is_empty() {
            return None;
        }
        let mean_known = known.iter().sum::<f64>() / known.len() as f64;
        let deviation = |day: &String| self.day_deviation(day).unwrap_or(mean_known);
        let count = total.days.len() as f64;
        let worst = (count / 3.0).ceil();
        // Any day may be among the worst third. If all are equally likely to be, each day has this weight.
        let squares: f64 = total.days.iter().map(|day| deviation(day).powi(2)).sum();
        let whole = 0.7 / count;
        let third = 0.3 / worst * (worst / count).sqrt();
        Some((squares * (whole + third).powi(2)).sqrt())
    }
}

/// Sum of squared deviations from the mean.
fn squared_deviations(values: &[f64]) -> f64 {
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    values.iter().map(|value| (value - mean).powi(2)).sum()
}

/// Formats a table of the days, and one of the total scores with the change from one to the next.
pub fn render(journal: &Journal) -> String {
    let mut text =
        String::from("day                                  program         plays   mean  least   most\n");
    for (day, programs) in journal.by_day() {
        for (program, runs) in programs {
            let mean = runs.iter().sum::<f64>() / runs.len() as f64;
            let least = runs.iter().copied().fold(f64::INFINITY, f64::min);
            let most = runs.iter().copied().fold(f64::NEG_INFINITY, f64::max);
            let count = runs.len();
            text.push_str(&format!("{day:<36} {program:<15} {count:>5}  {mean:.3}  {least:.3}  {most:.3}\n"));
        }
        if let Some(deviation) = journal.day_deviation(day) {
            text.push_str(&format!(
                "{day:<36} {:<15} standard deviation of one program's runs {deviation:.3}\n",
                ""
            ));
        }
    }
    text.push_str("\nscore      program          days  score  change\n");
    let mut last: Option<&Total> = None;
    for total in &journal.totals {
        // Scores over different numbers of days are not comparable.
        let earlier = last.filter(|last| last.days.len() == total.days.len());
        let verdict = earlier.map_or_else(String::new, |earlier| {
            let change = total.score - earlier.score;
            // The change is a difference of two scores, which have this deviation each.
            let deviation = journal.total_deviation(total).map(|one| one * std::f64::consts::SQRT_2);
            let finding = match deviation {
                _ if change >= -SCORE_DROP_BOUND => String::new(),
                Some(deviation) if change.abs() < 2.0 * deviation => {
                    format!(
                        ": below the bound, within noise (two standard deviations are {:.3}): run it again",
                        2.0 * deviation
                    )
                }
                Some(deviation) => {
                    format!(
                        ": below the bound, beyond noise (two standard deviations are {:.3})",
                        2.0 * deviation
                    )
                }
                None => ": below the bound; no day was run twice, so the noise is not known".into(),
            };
            format!("{change:+.3}{finding}")
        });
        let days = total.days.len();
        text.push_str(&format!(
            "{:<10} {:<15} {days:>5}  {:.3}  {verdict}\n",
            total.run, total.program, total.score
        ));
        last = Some(total);
    }
    let broken: Vec<&DayRun> = journal.runs.iter().filter(|run| run.broken > 0).collect();
    text.push_str(&format!("\nruns with a broken rule: {}\n", broken.len()));
    for run in broken {
        text.push_str(&format!("  {} {} {}\n", run.run, run.day, run.program));
    }
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    fn journal(totals: &[f64], runs: &[(&str, &str, f64)]) -> Journal {
        let day = "rude 1".to_owned();
        Journal {
            runs: runs
                .iter()
                .map(|(day, program, score)| DayRun {
                    run: "r".into(),
                    day: (*day).into(),
                    program: (*program).into(),
                    score: *score,
                    broken: 0,
                })
                .collect(),
            totals: totals
                .iter()
                .map(|score| Total {
                    run: "r".into(),
                    program: "p".into(),
                    score: *score,
                    days: vec![day.clone()],
                })
                .collect(),
        }
    }

    #[test]
    fn drop_of_the_score_is_compared_with_the_noise() {
        let wide = [("rude 1", "p", 0.25), ("rude 1", "p", 0.86)];
        let narrow = [("rude 1", "p", 0.80), ("rude 1", "p", 0.81)];
        assert!(render(&journal(&[0.74, 0.68], &wide)).contains("within noise"));
        assert!(render(&journal(&[0.74, 0.68], &narrow)).contains("beyond noise"));
        assert!(!render(&journal(&[0.74, 0.72], &narrow)).contains("below the bound"));
        assert!(render(&journal(&[0.74, 0.68], &[])).contains("not known"));
    }

    #[test]
    fn runs_of_different_programs_do_not_count_as_noise() {
        let apart = [("rude 1", "old", 0.8), ("rude 1", "new", 0.2)];
        assert_eq!(journal(&[], &apart).day_deviation("rude 1"), None);
        let both =
            [("rude 1", "old", 0.8), ("rude 1", "old", 0.8), ("rude 1", "new", 0.2), ("rude 1", "new", 0.2)];
        assert_eq!(journal(&[], &both).day_deviation("rude 1"), Some(0.0));
    }
}
