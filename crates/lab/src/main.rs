//! Command line of the lab: runs scenarios in the emulator or with real processes, sweeps parameters, and compares
//! saved reports.

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

/// Simulates incidents of the fleet, or rehearses them with real processes.
#[derive(Debug, Parser)]
#[command(name = "rookspoke-lab", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a scenario in the emulator with one or more policies, and print a row for each
    Run {
        #[command(flatten)]
        args: RunArgs,
        #[command(flatten)]
        files: OutputFiles,
        /// Print the service of every window of each run
        #[arg(long)]
        windows: bool,
    },
    /// Run a script with real dispatcher processes, and stand-ins for everything that they connect to
    Rehearse(processes::RehearseArgs),
    /// Start a fleet, dispatchers and load, inject failures and show live figures; takes less than 30 s
    Demo(demo::DemoArgs),
    /// Start only log workers and discovery, for dispatchers that are started manually
    Fleet(processes::FleetArgs),
    /// Send jobs to running dispatchers that use a fleet started by `fleet`
    Load(processes::LoadArgs),
    /// Run a scenario in the emulator for each value of a parameter
    Sweep {
        #[command(flatten)]
        args: RunArgs,
        /// Parameter and its values, such as `workers=12,120`
        #[arg(long, value_name = "NAME=VALUE,...", value_parser = pair)]
        over: (String, String),
    },
    /// Run the experiment of the paper that the design is based on
    Paper {
        /// Number of seeds
        #[arg(long, default_value_t = 8)]
        seeds: u64,
    },
    /// Print the changes between two files of reports, and whether they are significant over the seeds
    Compare {
        /// Earlier file of reports
        before: PathBuf,
        /// Later file of reports
        after: PathBuf,
    },
    /// Print the results in the bench's journal, and which changes of the score exceed the noise
    Journal {
        /// Folder of the journal entries
        #[arg(default_value = "journal")]
        folder: PathBuf,
    },
    /// Print all parameters and all kinds of incident
    Words,
}

#[derive(Args, Debug)]
struct RunArgs {
    /// Script of the scenario; without one, twelve log workers and no incidents
    script: Option<PathBuf>,
    /// Policies, separated by commas; `all` for all but the faulty ones
    #[arg(long, default_value = "ours")]
    policy: String,
    /// Number of seeds
    #[arg(long, default_value_t = 4)]
    seeds: u64,
    /// First seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Set a parameter; takes precedence over the script
    #[arg(long, value_name = "NAME=VALUE", value_parser = pair)]
    set: Vec<(String, String)>,
    /// Number of threads; without it, one for each core
    #[arg(long)]
    threads: Option<usize>,
}

fn pair(text: &str) -> Result<(String, String), String> {
    let (name, value) = text.split_once('=').ok_or("expected NAME=VALUE")?;
    Ok((name.trim().into(), value.trim().into()))
}

/// Exit status of an invalid request or of a command that could not be run.
const BAD_INPUT: u8 = 3;

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Rehearse(args) => processes::rehearse(&args),
        Command::Demo(args) => demo::run(&args),
        Command::Fleet(args) => processes::fleet(&args),
        Command::Load(args) => processes::load(&args),
        Command::Run { args, files, windows } => run(&args, &files, windows).map(|()| 0),
        Command::Sweep { args, over } => sweep(&args, &over).map(|()| 0),
        Command::Compare { before, after } => compare_files(&before, &after).map(|()| 0),
        Command::Paper { seeds } => paper(seeds).map(|()| 0),
        Command::Journal { folder } => journal::read(&folder)
            .map(|journal| print_text(&journal::render(&journal)))
            .map(|()| 0)
            .map_err(|error| error.to_string()),
        Command::Words => {
            print_text(&parameter_table());
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

/// Writes to standard output. Errors are ignored, since a reader such as `head` may have closed the pipe.
fn print_text(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

/// Reads the scenario of a script, or the default scenario without one, and sets these parameters.
fn read_scenario(
    script: Option<&Path>,
    environment: Environment,
    parameters: &[(String, String)],
) -> Result<Scenario, String> {
    let mut scenario = match script {
        Some(path) => script::read(path, environment).map_err(|problems| problems.render())?,
        None => Scenario::default(),
    };
    for (name, value) in parameters {
        set_parameter(&mut scenario, name, value).map_err(|problem| problem_text(&problem))?;
    }
    Ok(scenario)
}

impl RunArgs {
    fn scenario(&self) -> Result<Scenario, String> {
        read_scenario(self.script.as_deref(), Environment::Emulator, &self.set)
    }

    fn policies(&self) -> Result<Vec<PolicyKind>, String> {
        if self.policy == "all" {
            let all = NAMED.iter().map(|(_, kind)| *kind);
            return Ok(all.filter(|kind| !matches!(kind, PolicyKind::Faulty(_))).collect());
        }
        let find_policy = |name: &str| {
            let known: Vec<&str> = NAMED.iter().map(|(name, _)| *name).collect();
            PolicyKind::named(name)
                .ok_or_else(|| format!("found the policy `{name}`, expected one of {}", known.join(", ")))
        };
        self.policy.split(',').map(|name| find_policy(name.trim())).collect()
    }

    fn run(&self, scenario: &Scenario) -> Result<Vec<Report>, String> {
        let seeds: Vec<u64> = (self.seed..self.seed + self.seeds.max(1)).collect();
        let policies = self.policies()?;
        let run = || run_all(scenario, &policies, &seeds).map_err(|error| error.to_string());
        match self.threads {
            None => run(),
            Some(threads) => {
                let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build();
                pool.map_err(|error| error.to_string())?.install(run)
            }
        }
    }
}

/// The message of a problem, with its hint.
fn problem_text(problem: &rookspoke_conf::Problem) -> String {
    match &problem.help {
        Some(help) => format!("{} ({help})", problem.message),
        None => problem.message.clone(),
    }
}

const HEAD: &str = "policy           service  95 % interval    whole  window   class   late%  refused%  \
                    failed%   hits  spread   p99 ms  rules\n";

/// One row of the table: the mean of a policy's reports over the seeds.
fn row(reports: &[Report]) -> String {
    let mean = |value: &dyn Fn(&Report) -> f64| reports.iter().map(value).sum::<f64>() / reports.len() as f64;
    let service = estimate(&reports.iter().map(|r| r.service).collect::<Vec<_>>());
    let percent = |count: &dyn Fn(&Report) -> f64| 100.0 * mean(&|r| count(r) / r.jobs.max(1) as f64);
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
        percent(&late),
        percent(&|r| r.refused as f64),
        percent(&|r| r.failed as f64),
        mean(&Report::hit_ratio),
        mean(&|r| r.spread),
        mean(&|r| r.p99_ms),
    )
}

fn rows(reports: &[Report]) -> String {
    reports.chunk_by(|a, b| a.policy == b.policy).map(row).collect()
}

/// Files to write results to.
#[derive(Args, Debug, Default)]
struct OutputFiles {
    /// Write the reports to this file, as JSON
    #[arg(long, value_name = "FILE")]
    out: Option<PathBuf>,
    /// Write a page with tables and plots to this file
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
    /// Write the plot of service over time to this file, as SVG
    #[arg(long, value_name = "FILE")]
    svg: Option<PathBuf>,
}

impl OutputFiles {
    /// Writes the requested files. The title of the page is the name of the script.
    fn write(&self, script: Option<&Path>, scenario: &Scenario, reports: &[Report]) -> Result<(), String> {
        if let Some(path) = &self.out {
            write(path, &serde_json::to_string(reports).map_err(|error| error.to_string())?)?;
        }
        if let Some(path) = &self.svg {
            write(path, &plot::service_plot(scenario, reports).map_err(|error| error.to_string())?)?;
        }
        if let Some(path) = &self.html {
            let title = script.and_then(Path::file_stem).map(|stem| stem.to_string_lossy());
            let title = title.map_or_else(|| "default scenario".to_owned(), |stem| stem.replace('-', " "));
            write(path, &plot::html_report(&title, scenario, reports).map_err(|error| error.to_string())?)?;
        }
        Ok(())
    }
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()))
}

fn run(args: &RunArgs, files: &OutputFiles, windows: bool) -> Result<(), String> {
    let scenario = args.scenario()?;
    let start = Instant::now();
    let reports = args.run(&scenario)?;
    let took = start.elapsed().as_secs_f64();
    print_text(HEAD);
    print_text(&rows(&reports));
    if windows {
        for report in &reports {
            print_text(&format!(
                "{} seed {}, service by the start of each window:\n",
                report.policy, report.seed
            ));
            let line: Vec<String> = report.windows.iter().map(|w| format!("{:.2}", w.service)).collect();
            print_text(&format!("  {}\n", line.join(" ")));
        }
    }
    for report in reports.iter().filter(|report| !report.keeps_rules()) {
        print_text(&format!("{} seed {} broke rules:\n", report.policy, report.seed));
        report.first_broken.iter().for_each(|sentence| print_text(&format!("  {sentence}\n")));
    }
    let simulated = scenario.span("length").secs() * reports.len() as f64;
    let _ = writeln!(std::io::stderr(), "{simulated:.0} simulated seconds in {took:.2} s");
    files.write(args.script.as_deref(), &scenario, &reports)
}

fn sweep(args: &RunArgs, (name, values): &(String, String)) -> Result<(), String> {
    let base = args.scenario()?;
    print_text(&format!("{name:<16} {HEAD}"));
    for value in values.split(',') {
        let mut scenario = base.clone();
        set_parameter(&mut scenario, name, value.trim()).map_err(|problem| problem_text(&problem))?;
        let reports = args.run(&scenario)?;
        rows(&reports).lines().for_each(|line| print_text(&format!("{:<16} {line}\n", value.trim())));
    }
    Ok(())
}

fn paper(seeds: u64) -> Result<(), String> {
    let seeds: Vec<u64> = (1..=seeds.max(1)).collect();
    for (name, cache_size) in paper::CACHE_SIZES {
        let scenario = paper::scenario(cache_size).map_err(|problem| problem_text(&problem))?;
        let reports = run_all(&scenario, &paper::POLICIES, &seeds).map_err(|error| error.to_string())?;
        print_text(&format!(
            "{name}, {cache_size} kept    hit ratio  95 % interval       c_v  95 % interval    mean ms\n"
        ));
        for runs in reports.chunk_by(|a, b| a.policy == b.policy) {
            let values = |get: Reading| estimate(&runs.iter().map(get).collect::<Vec<_>>());
            let (hits, spread, mean) =
                (values(Report::hit_ratio), values(|r| r.spread), values(|r| r.mean_ms));
            print_text(&format!(
                "{:<16} {:>9.3}  {:.3} to {:.3} {:>9.3}  {:.3} to {:.3} {:>9.0}\n",
                runs[0].policy,
                hits.mean,
                hits.low,
                hits.high,
                spread.mean,
                spread.low,
                spread.high,
                mean.mean
            ));
        }
    }
    Ok(())
}

/// Reads one value from a report.
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
            print_text(&format!("{policy}: found only in the later file\n"));
            continue;
        }
        for (name, value) in figures {
            let change = compare(&earlier, reports, value).map_err(|error| format!("{policy}: {error}"))?;
            let verdict = if change.excludes_zero() { "significant" } else { "within noise" };
            print_text(&format!(
                "{policy:<16} {name:<14} {:+.3} ({:+.3} to {:+.3}, {} seeds): {verdict}\n",
                change.mean, change.low, change.high, change.count
            ));
        }
    }
    Ok(())
}

/// The parameters with their defaults and meanings, and the kinds of incident.
fn parameter_table() -> String {
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
