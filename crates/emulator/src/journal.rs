//! What the bench has written down: the scores of each day under each program, and what chance alone would do.
//!
//! One program on one day has scored 0.25 to 0.86, so a single score says little. This reads every run in the
//! journal, puts runs of one day by one program together, and says of a change of the score whether the plays
//! support it.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use thiserror::Error;

/// The bound on a fall of the score.
pub const SCORE_DROP_BOUND: f64 = 0.03;

/// Why a journal could not be read.
#[derive(Debug, Error)]
pub enum JournalError {
    /// The folder or a file cannot be read.
    #[error("{0}: {1}")]
    Io(PathBuf, std::io::Error),
    /// A file is no entry.
    #[error("{0}: found no entry of the bench: {1}")]
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

/// One play of a day.
#[derive(Clone, Debug, PartialEq)]
pub struct DayRun {
    /// The run that it belongs to.
    pub run: String,
    /// What was played: the kind and its seed.
    pub day: String,
    /// The program: a short name of its text.
    pub program: String,
    /// 0 to 1.
    pub score: f64,
    /// Rules broken on it.
    pub broken: u64,
}

/// A score of all days.
#[derive(Clone, Debug, PartialEq)]
pub struct Total {
    /// The run.
    pub run: String,
    /// The program.
    pub program: String,
    /// 0 to 1.
    pub score: f64,
    /// The days that it is made of.
    pub days: Vec<String>,
}

/// Everything that the bench has written down, in the order of its runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Journal {
    /// Plays of single days and of the days of scores.
    pub runs: Vec<DayRun>,
    /// Scores.
    pub totals: Vec<Total>,
}

/// Reads a folder of entries.
///
/// # Errors
/// Names the file that cannot be read.
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
    // Their names begin with the time.
    files.sort();
    let mut journal = Journal::default();
    for path in files {
        let text = std::fs::read_to_string(&path).map_err(io(&path))?;
        let raw: Entry = serde_json::from_str(&text).map_err(|error| JournalError::Format(path, error))?;
        journal.add_entry(raw);
    }
    Ok(journal)
}

impl Journal {
    fn add_entry(&mut self, raw: Entry) {
        if !raw.cmd.starts_with("real") {
            return;
        }
        let sha = raw.node_sha.as_deref().unwrap_or("-");
        let policy = raw.policy.first().map_or("-", |policy| policy.sha256.as_str());
        let short = |text: &str| text.chars().take(6).collect::<String>();
        let program = format!("{}/{}", short(sha), short(policy));
        let mut days = Vec::new();
        for day in &raw.days {
            let (Some(name), Some(score)) = (&day.name, day.score) else { continue };
            let day_name = format!("{name} {}", day.seed.unwrap_or(0));
            let broken = day.rules.values().filter_map(serde_json::Value::as_u64).sum();
            days.push(day_name.clone());
            self.runs.push(DayRun {
                run: raw.id.clone(),
                day: day_name,
                program: program.clone(),
                score,
                broken,
            });
        }
        if let Some(score) = raw.figures.get("real_score").and_then(serde_json::Value::as_f64) {
            self.totals.push(Total { run: raw.id, program, score, days });
        }
    }

    /// The runs of each day, and within it of each program, both in the order of their names.
    pub fn by_day(&self) -> BTreeMap<&str, BTreeMap<&str, Vec<f64>>> {
        let mut days: BTreeMap<&str, BTreeMap<&str, Vec<f64>>> = BTreeMap::new();
        for play in &self.runs {
            days.entry(&play.day).or_default().entry(&play.program).or_default().push(play.score);
        }
        days
    }

    /// How far the runs of a day by one program lie apart, over all programs that played it twice: the deviation.
    pub fn day_deviation(&self, day: &str) -> Option<f64> {
        let days = self.by_day();
        let groups: Vec<&Vec<f64>> = days.get(day)?.values().filter(|runs| runs.len() > 1).collect();
        let free: usize = groups.iter().map(|runs| runs.len() - 1).sum();
        let squares: f64 = groups.iter().map(|runs| squares(runs)).sum();
        (free > 0).then(|| (squares / free as f64).sqrt())
    }

    /// What chance does to a score of these days, as a deviation: the site's figure is 0.7 times their mean and 0.3
    /// times the mean of the worst third. Days that were not played twice count with the mean of the others.
    pub fn total_deviation(&self, total: &Total) -> Option<f64> {
        let known: Vec<f64> = total.days.iter().filter_map(|day| self.day_deviation(day)).collect();
        if known.is_empty() || total.days.is_empty() {
            return None;
        }
        let usual = known.iter().sum::<f64>() / known.len() as f64;
        let of = |day: &String| self.day_deviation(day).unwrap_or(usual);
        let count = total.days.len() as f64;
        let worst = (count / 3.0).ceil();
        // Any of them may be among the worst third; taken evenly, a day has this weight.
        let squares: f64 = total.days.iter().map(|day| of(day).powi(2)).sum();
        let whole = 0.7 / count;
        let third = 0.3 / worst * (worst / count).sqrt();
        Some((squares * (whole + third).powi(2)).sqrt())
    }
}

fn squares(values: &[f64]) -> f64 {
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    values.iter().map(|value| (value - mean).powi(2)).sum()
}

/// A table of the days, and of the scores with what changed from one to the next.
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
        if let Some(chance) = journal.day_deviation(day) {
            text.push_str(&format!("{day:<36} {:<15} deviation of one program's runs {chance:.3}\n", ""));
        }
    }
    text.push_str("\nscore      program          days  score  change\n");
    let mut last: Option<&Total> = None;
    for total in &journal.totals {
        // Scores of other days are no measure for each other.
        let earlier = last.filter(|last| last.days.len() == total.days.len());
        let verdict = earlier.map_or_else(String::new, |earlier| {
            let change = total.score - earlier.score;
            let chance = journal.total_deviation(total).map(|one| one * std::f64::consts::SQRT_2);
            let told = match chance {
                _ if change >= -SCORE_DROP_BOUND => String::new(),
                Some(chance) if change.abs() < 2.0 * chance => {
                    format!(
                        ": below the bound, within chance ({:.3} is two deviations): play it again",
                        2.0 * chance
                    )
                }
                Some(chance) => {
                    format!(": below the bound, beyond chance ({:.3} is two deviations)", 2.0 * chance)
                }
                None => ": below the bound; no day was played twice, so chance is not known".into(),
            };
            format!("{change:+.3}{told}")
        });
        let days = total.days.len();
        text.push_str(&format!(
            "{:<10} {:<15} {days:>5}  {:.3}  {verdict}\n",
            total.run, total.program, total.score
        ));
        last = Some(total);
    }
    let broken: Vec<&DayRun> = journal.runs.iter().filter(|play| play.broken > 0).collect();
    text.push_str(&format!("\nplays with a broken rule: {}\n", broken.len()));
    for play in broken {
        text.push_str(&format!("  {} {} {}\n", play.run, play.day, play.program));
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
    fn a_fall_is_told_with_what_chance_would_do() {
        let wide = [("rude 1", "p", 0.25), ("rude 1", "p", 0.86)];
        let narrow = [("rude 1", "p", 0.80), ("rude 1", "p", 0.81)];
        assert!(render(&journal(&[0.74, 0.68], &wide)).contains("within chance"));
        assert!(render(&journal(&[0.74, 0.68], &narrow)).contains("beyond chance"));
        assert!(!render(&journal(&[0.74, 0.72], &narrow)).contains("below the bound"));
        assert!(render(&journal(&[0.74, 0.68], &[])).contains("not known"));
    }

    #[test]
    fn plays_of_different_programs_do_not_count_as_chance() {
        let apart = [("rude 1", "old", 0.8), ("rude 1", "new", 0.2)];
        assert_eq!(journal(&[], &apart).day_deviation("rude 1"), None);
        let both =
            [("rude 1", "old", 0.8), ("rude 1", "old", 0.8), ("rude 1", "new", 0.2), ("rude 1", "new", 0.2)];
        assert_eq!(journal(&[], &both).day_deviation("rude 1"), Some(0.0));
    }
}
