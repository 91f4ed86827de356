//! Plays scenarios: one run, several policies side by side, sweeps, and comparisons of what was kept.

mod demo;
mod processes;

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

use clap::{Args, Parser, Subcommand};
use rookspoke_emulator::experiment::{compare, estimate, run_all, set_parameter};
use rookspoke_emulator::journal;
use rookspoke_emulator::policy::{PolicyKind, NAMED};
use rookspoke_emulator::report::Report;
use rookspoke_emulator::scenario::{Environment, Scenario, CLASS_PARAMS, INCIDENT_KINDS, PARAMS};
use rookspoke_emulator::script;
use rookspoke_emulator::{paper, plot};

/// Rehearses incidents of the fleet in simulated time.
#[derive(Debug, Parser)]
#[command(name = "rookspoke-lab", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Play a scenario with one or more policies, and print a row for each
    Run {
        #[command(flatten)]
        what: What,
        #[command(flatten)]
        files: Files,
        /// Print the windows of each run
        #[arg(long)]
        windows: bool,
    },
    /// Play a script with real dispatchers, each a process, and stand-ins for all that they meet
    Rehearse(processes::Rehearse),
    /// Start a fleet, dispatchers and load, break something, and show how it goes: under 30 s
    Demo(demo::Demo),
    /// Start log workers and discovery alone, for dispatchers that are started by hand
    Fleet(processes::Fleet),
    /// Hand in jobs at dispatchers that run, over a fleet of `fleet`
    Load(processes::Clients),
    /// Play a scenario for each value of a parameter
    Sweep {
        #[command(flatten)]
        what: What,
        /// The parameter and its values, such as `workers=12,120`
        #[arg(long, value_name = "NAME=VALUE,...", value_parser = pair)]
        over: (String, String),
    },
    /// Play the experiment of the paper that the design goes back to
    Paper {
        /// How many seeds
        #[arg(long, default_value_t = 8)]
        seeds: u64,
    },
    /// Say what changed between two files of reports, and whether the seeds support it
    Compare {
        /// The earlier one
        before: PathBuf,
        /// The later one
        after: PathBuf,
    },
    /// Say what the bench has written down, and which changes of the score are more than chance
    Journal {
        /// The folder of its entries
        #[arg(default_value = "journal")]
        folder: PathBuf,
    },
    /// Print every parameter and every kind of incident
    Words,
}

#[derive(Args, Debug)]
struct What {
    /// A script; without one, a calm day of twelve log workers
    script: Option<PathBuf>,
    /// The policies, parted by commas; `all` for all that keep the rules
    #[arg(long, default_value = "ours")]
    policy: String,
    /// How many seeds
    #[arg(long, default_value_t = 4)]
    seeds: u64,
    /// The first of them
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// A parameter's value, before what the script says
    #[arg(long, value_name = "NAME=VALUE", value_parser = pair)]
    set: Vec<(String, String)>,
    /// Threads; without it, one for each core
    #[arg(long)]
    threads: Option<usize>,
}

fn pair(text: &str) -> Result<(String, String), String> {
    let (name, value) = text.split_once('=').ok_or("expected NAME=VALUE")?;
    Ok((name.trim().into(), value.trim().into()))
}

/// What was asked for makes no sense.
const BAD_INPUT: u8 = 3;

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Rehearse(what) => processes::rehearse(&what),
        Command::Demo(what) => demo::run(&what),
        Command::Fleet(what) => processes::fleet(&what),
        Command::Load(what) => processes::load(&what),
        Command::Run { what, files, windows } => run(&what, &files, windows).map(|()| 0),
        Command::Sweep { what, over } => sweep(&what, &over).map(|()| 0),
        Command::Compare { before, after } => compare_files(&before, &after).map(|()| 0),
        Command::Paper { seeds } => paper(seeds).map(|()| 0),
        Command::Journal { folder } => journal::read(&folder)
            .map(|journal| say(&journal::render(&journal)))
            .map(|()| 0)
            .map_err(|error| error.to_string()),
        Command::Words => {
            say(&words());
            Ok(0)
        }
    };
    match done {
        Ok(code) => ExitCode::from(code),
        Err(text) => {
            let _ = writeln!(std::io::stderr(), "rookspoke-lab: {}", text.trim_end());
            ExitCode::from(BAD_INPUT)
        }
    }
}

/// Prints, and does not mind a reader who has left.
fn say(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

/// A script's scenario, or a calm day without one, with these parameters set.
fn read(
    script: Option<&Path>,
    environment: Environment,
    parameters: &[(String, String)],
) -> Result<Scenario, String> {
    let mut scenario = match script {
        Some(path) => script::read(path, environment).map_err(|problems| problems.render())?,
        None => Scenario::default(),
    };
    for (name, value) in parameters {
        set_parameter(&mut scenario, name, value).map_err(|problem| told(&problem))?;
    }
    Ok(scenario)
}

impl What {
    fn scenario(&self) -> Result<Scenario, String> {
        read(self.script.as_deref(), Environment::Emulator, &self.set)
    }

    fn kinds(&self) -> Result<Vec<PolicyKind>, String> {
        if self.policy == "all" {
            let good = NAMED.iter().map(|(_, kind)| *kind);
            return Ok(good.filter(|kind| !matches!(kind, PolicyKind::Faulty(_))).collect());
        }
        let named = |name: &str| {
            let known: Vec<&str> = NAMED.iter().map(|(name, _)| *name).collect();
            PolicyKind::named(name)
                .ok_or_else(|| format!("found the policy `{name}`, expected one of {}", known.join(", ")))
        };
        self.policy.split(',').map(|name| named(name.trim())).collect()
    }

    fn play(&self, scenario: &Scenario) -> Result<Vec<Report>, String> {
        let seeds: Vec<u64> = (self.seed..self.seed + self.seeds.max(1)).collect();
        let kinds = self.kinds()?;
        let play = || run_all(scenario, &kinds, &seeds).map_err(|error| error.to_string());
        match self.threads {
            None => play(),
            Some(threads) => {
                let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build();
                pool.map_err(|error| error.to_string())?.install(play)
            }
        }
    }
}

fn told(problem: &rookspoke_conf::Problem) -> String {
    match &problem.help {
        Some(help) => format!("{} ({help})", problem.message),
        None => problem.message.clone(),
    }
}

const HEAD: &str = "policy           service  95 % interval    whole  window   class   late%  refused%  \
                    failed%   hits  spread   p99 ms  rules\n";

fn row(reports: &[Report]) -> String {
    let mean = |of: &dyn Fn(&Report) -> f64| reports.iter().map(of).sum::<f64>() / reports.len() as f64;
    let service = estimate(&reports.iter().map(|r| r.service).collect::<Vec<_>>());
    let part = |of: &dyn Fn(&Report) -> f64| 100.0 * mean(&|r| of(r) / r.jobs.max(1) as f64);
    let late = |r: &Report| r.classes.iter().map(|c| c.late).sum::<usize>() as f64;
    let broken: Vec<String> = reports[0]
        .rules
        .keys()
        .map(|rule| (rule, reports.iter().map(|r| r.rules[rule]).sum::<u64>()))
        .filter(|(_, count)| *count > 0)
        .map(|(rule, count)| format!("{rule} {count}"))
        .collect();
    let rules = if broken.is_empty() { "kept".to_owned() } else { broken.join(", ") };
    let interval = match service.count > 1 {
        true => format!("{:.3} to {:.3}", service.low, service.high),
        false => "one seed".into(),
    };
    format!(
        "{:<16} {:>7.3}  {interval:<15} {:>6.3} {:>7.3} {:>7.3} {:>7.1} {:>9.1} {:>8.1} {:>6.2} {:>7.2} {:>8.0}  {rules}\n",
        reports[0].policy,
        service.mean,
        mean(&|r| r.whole),
        mean(&|r| r.worst_window),
        mean(&|r| r.worst_class),
        part(&late),
        part(&|r| r.refused as f64),
        part(&|r| r.failed as f64),
        mean(&Report::hit_ratio),
        mean(&|r| r.spread),
        mean(&|r| r.p99_ms),
    )
}

fn rows(reports: &[Report]) -> String {
    reports.chunk_by(|a, b| a.policy == b.policy).map(row).collect()
}

/// Where results go, beside the terminal.
#[derive(Args, Debug, Default)]
struct Files {
    /// Keep the reports in this file, as JSON
    #[arg(long, value_name = "FILE")]
    out: Option<PathBuf>,
    /// Write a page with tables and plots to this file
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
    /// Write the plot of service over time to this file, as SVG
    #[arg(long, value_name = "FILE")]
    svg: Option<PathBuf>,
}

impl Files {
    /// Writes all that was asked for; a page is named after its script.
    fn write(&self, script: Option<&Path>, scenario: &Scenario, reports: &[Report]) -> Result<(), String> {
        if let Some(path) = &self.out {
            write(path, &serde_json::to_string(reports).map_err(|error| error.to_string())?)?;
        }
        if let Some(path) = &self.svg {
            write(path, &plot::service_plot(scenario, reports).map_err(|error| error.to_string())?)?;
        }
        if let Some(path) = &self.html {
            let title = script.and_then(Path::file_stem).map(|stem| stem.to_string_lossy());
            let title = title.map_or_else(|| "a calm day".to_owned(), |stem| stem.replace('-', " "));
            write(path, &plot::html_report(&title, scenario, reports).map_err(|error| error.to_string())?)?;
        }
        Ok(())
    }
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()))
}

fn run(what: &What, files: &Files, windows: bool) -> Result<(), String> {
    let scenario = what.scenario()?;
    let start = Instant::now();
    let reports = what.play(&scenario)?;
    let took = start.elapsed().as_secs_f64();
    say(HEAD);
    say(&rows(&reports));
    if windows {
        for report in &reports {
            say(&format!("{} seed {}, service by the start of each window:\n", report.policy, report.seed));
            let line: Vec<String> = report.windows.iter().map(|w| format!("{:.2}", w.service)).collect();
            say(&format!("  {}\n", line.join(" ")));
        }
    }
    for report in reports.iter().filter(|report| !report.keeps_rules()) {
        say(&format!("{} seed {} broke rules:\n", report.policy, report.seed));
        report.first_broken.iter().for_each(|sentence| say(&format!("  {sentence}\n")));
    }
    let simulated = scenario.span("length").secs() * reports.len() as f64;
    let _ = writeln!(std::io::stderr(), "{simulated:.0} simulated seconds in {took:.2} s");
    files.write(what.script.as_deref(), &scenario, &reports)
}

fn sweep(what: &What, (name, values): &(String, String)) -> Result<(), String> {
    let base = what.scenario()?;
    say(&format!("{name:<16} {HEAD}"));
    for value in values.split(',') {
        let mut scenario = base.clone();
        set_parameter(&mut scenario, name, value.trim()).map_err(|problem| told(&problem))?;
        let reports = what.play(&scenario)?;
        rows(&reports).lines().for_each(|line| say(&format!("{:<16} {line}\n", value.trim())));
    }
    Ok(())
}

fn paper(seeds: u64) -> Result<(), String> {
    let seeds: Vec<u64> = (1..=seeds.max(1)).collect();
    for (name, kept) in paper::CACHE_SIZES {
        let scenario = paper::scenario(kept).map_err(|problem| told(&problem))?;
        let reports = run_all(&scenario, &paper::POLICIES, &seeds).map_err(|error| error.to_string())?;
        say(&format!(
            "{name}, {kept} kept    hit ratio  95 % interval       c_v  95 % interval    mean ms\n"
        ));
        for of in reports.chunk_by(|a, b| a.policy == b.policy) {
            let values = |get: Reading| estimate(&of.iter().map(get).collect::<Vec<_>>());
            let (hits, spread, mean) =
                (values(Report::hit_ratio), values(|r| r.spread), values(|r| r.mean_ms));
            say(&format!(
                "{:<16} {:>9.3}  {:.3} to {:.3} {:>9.3}  {:.3} to {:.3} {:>9.0}\n",
                of[0].policy, hits.mean, hits.low, hits.high, spread.mean, spread.low, spread.high, mean.mean
            ));
        }
    }
    Ok(())
}

/// One figure of a report.
type Reading = fn(&Report) -> f64;

fn compare_files(before: &Path, after: &Path) -> Result<(), String> {
    let read = |path: &Path| -> Result<Vec<Report>, String> {
        let bad = |error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
        let text = std::fs::read_to_string(path).map_err(|error| bad(&error))?;
        serde_json::from_str(&text).map_err(|error| bad(&error))
    };
    let (before, after) = (read(before)?, read(after)?);
    let figures: [(&str, Reading); 6] = [
        ("service", |r| r.service),
        ("whole", |r| r.whole),
        ("worst window", |r| r.worst_window),
        ("worst class", |r| r.worst_class),
        ("hit ratio", Report::hit_ratio),
        ("p99 ms", |r| r.p99_ms),
    ];
    for reports in after.chunk_by(|a, b| a.policy == b.policy) {
        let policy = &reports[0].policy;
        let earlier: Vec<Report> = before.iter().filter(|r| r.policy == *policy).cloned().collect();
        if earlier.is_empty() {
            say(&format!("{policy}: only in the later file\n"));
            continue;
        }
        for (name, of) in figures {
            let change = compare(&earlier, reports, of).map_err(|error| format!("{policy}: {error}"))?;
            let verdict = if change.excludes_zero() { "the seeds support it" } else { "within chance" };
            say(&format!(
                "{policy:<16} {name:<14} {:+.3} ({:+.3} to {:+.3}, {} seeds): {verdict}\n",
                change.mean, change.low, change.high, change.count
            ));
        }
    }
    Ok(())
}

fn words() -> String {
    let mut text = String::new();
    for (title, table) in [("Parameters", PARAMS), ("In a class", CLASS_PARAMS)] {
        text.push_str(&format!("{title}:\n"));
        for param in table {
            text.push_str(&format!("  {:<28}{:<12}{}\n", param.name, param.default, param.doc));
        }
    }
    text.push_str("Incidents (`incident KIND at TIME [for TIME] [part PART] [size NUMBER]`):\n");
    INCIDENT_KINDS.iter().for_each(|(name, _)| text.push_str(&format!("  {name}\n")));
    text
}
