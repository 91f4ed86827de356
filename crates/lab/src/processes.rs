//! Subcommands that start real processes or send jobs to them: `rehearse`, `fleet` and `load`.

use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use clap::Args;
use rookspoke_decisions::Span;
use rookspoke_emulator::model::draw_arrivals;
use rookspoke_emulator::report::Score;
use rookspoke_emulator::rng::{stream, Stream};
use rookspoke_emulator::scenario::{Environment, Scenario};
use rookspoke_emulator::script;
use rookspoke_rig::clock::{Clock, Lateness};
use rookspoke_rig::dispatcher::FaultInjection;
use rookspoke_rig::event_log::EventLog;
use rookspoke_rig::invariants::OneAnswer;
use rookspoke_rig::load::{Backend, LoadGenerator, SOCKET_SLACK};
use rookspoke_rig::run::{Options, Outcome, Rig, Verdict};
use rookspoke_rig::soak::{RandomScenario, SizeLimits};

/// Exit status: a rule was broken.
pub const BROKEN: u8 = 1;
/// Exit status: the rig was too late to give a verdict.
pub const VOID: u8 = 4;

/// Arguments of `rehearse`.
#[derive(Args, Debug, Default)]
pub struct RehearseArgs {
    /// Script of the scenario; without one, a scenario without incidents
    script: Option<PathBuf>,
    /// Number of dispatcher processes
    #[arg(long, value_name = "N")]
    dispatchers: Option<u32>,
    /// Number of log workers
    #[arg(long, value_name = "N")]
    workers: Option<u32>,
    /// Seed of all random draws
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Set a parameter; takes precedence over the script
    #[arg(long, value_name = "NAME=VALUE", value_parser = crate::pair)]
    set: Vec<(String, String)>,
    /// Draw sizes, parameters, incidents and failing system calls from the seed
    #[arg(long, conflicts_with_all = ["script", "dispatchers", "workers", "set"])]
    draw: bool,
    /// Library that makes system calls fail, `librookspoke_faults.so`; without it a drawn run has no such failures
    #[arg(long, value_name = "FILE", requires = "draw")]
    faults: Option<PathBuf>,
    /// Dispatcher program; without it, `rookspoke` in the folder of this program
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// Write the event log to this file: one JSON object per line, with a common clock
    #[arg(long, value_name = "FILE")]
    timeline: Option<PathBuf>,
    #[command(flatten)]
    files: crate::OutputFiles,
}

impl RehearseArgs {
    fn scenario(&self) -> Result<Scenario, String> {
        let sizes = [("dispatchers", self.dispatchers), ("workers", self.workers)];
        let sizes = sizes.into_iter().filter_map(|(name, size)| Some((name.to_owned(), size?.to_string())));
        let parameters: Vec<(String, String)> = self.set.iter().cloned().chain(sizes).collect();
        crate::read_scenario(self.script.as_deref(), Environment::Processes, &parameters)
    }

    /// Draws scenario and fault injection from the seed, and prints them.
    fn drawn(&self) -> Result<(Scenario, Option<FaultInjection>), String> {
        let drawn = RandomScenario::new(self.seed, SizeLimits::FULL);
        crate::print_text(&drawn.to_string());
        let scenario = script::read_text("drawn", &drawn.script(), Environment::Processes);
        let scenario = scenario.map_err(|problems| problems.render())?;
        let Some(library) = &self.faults else { return Ok((scenario, None)) };
        // Dispatchers run in working directories of their own, so the path must be absolute.
        let library = library.canonicalize().map_err(|error| {
            format!("{}: {error}; expected the library of the crate rookspoke-faults", library.display())
        })?;
        Ok((scenario, drawn.fault_schedule().map(|schedule| FaultInjection { library, schedule })))
    }
}

/// Path of the dispatcher program: the given one, or `rookspoke` in the folder of this program.
///
/// # Errors
/// The file does not exist.
pub fn program(given: Option<&Path>) -> Result<PathBuf, String> {
    let default_path = || Some(std::env::current_exe().ok()?.parent()?.join("rookspoke"));
    let path = given.map(Path::to_owned).or_else(default_path).unwrap_or_default();
    // Dispatchers run in working directories of their own, so the path must be absolute.
    path.canonicalize().map_err(|error| {
        format!(
            "{}: {error}; expected the dispatcher program (build it with cargo build --release, or pass --program FILE)",
            path.display()
        )
    })
}

/// Creates the multi-threaded runtime of a rig.
///
/// # Errors
/// The system cannot start its threads.
pub fn runtime() -> Result<tokio::runtime::Runtime, String> {
    tokio::runtime::Builder::new_multi_thread().enable_all().build().map_err(|error| error.to_string())
}

/// Runs a scenario with real processes and returns the exit status of its verdict.
///
/// # Errors
/// The script is invalid, the run could not start or was interrupted, or a file could not be written.
pub fn rehearse(args: &RehearseArgs) -> Result<u8, String> {
    let (scenario, faults) = if args.draw { args.drawn()? } else { (args.scenario()?, None) };
    let options = Options {
        program: program(args.program.as_deref())?,
        seed: args.seed,
        start_timeout: Duration::from_secs(60),
        faults,
    };
    runtime()?.block_on(async {
        let rig = Rig::start(scenario, options).await.map_err(|error| error.to_string())?;
        let progress = tokio::spawn(show_progress(rig.clone()));
        let result = tokio::select! {
            result = rig.run() => result.map_err(|error| error.to_string()),
            // The processes end when the rig is dropped.
            _ = tokio::signal::ctrl_c() => Err("interrupted".into()),
        };
        progress.abort();
        result?;
        let outcome = rig.outcome().await;
        write_files(args, &rig, &outcome)?;
        crate::print_text(crate::HEAD);
        crate::print_text(&crate::row(std::slice::from_ref(&outcome.report)));
        crate::print_text(&outcome_text(&outcome));
        Ok(exit_status(outcome.verdict))
    })
}

/// Exit status of a verdict.
pub fn exit_status(verdict: Verdict) -> u8 {
    match verdict {
        Verdict::Kept => 0,
        Verdict::Broken => BROKEN,
        Verdict::Void => VOID,
    }
}

/// Arguments of `fleet`.
#[derive(Args, Debug)]
pub struct FleetArgs {
    /// Script of the scenario: sizes, parameters of log workers, classes
    script: Option<PathBuf>,
    /// Number of dispatchers that will be started manually
    #[arg(long, value_name = "N", default_value_t = 1)]
    dispatchers: u32,
    /// Number of log workers
    #[arg(long, value_name = "N", default_value_t = 12)]
    workers: u32,
    /// Seed of all random draws
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Folder to write the dispatchers' configurations to, as `n0.json`, `n1.json` and so on
    #[arg(long, value_name = "FOLDER")]
    configs: PathBuf,
}

/// Starts log workers and discovery, writes the dispatchers' configurations, and waits for Ctrl-C.
///
/// # Errors
/// The script is invalid, the fleet could not start, or a configuration could not be written.
pub fn fleet(args: &FleetArgs) -> Result<u8, String> {
    let as_rehearsal = RehearseArgs {
        script: args.script.clone(),
        dispatchers: Some(args.dispatchers),
        workers: Some(args.workers),
        seed: args.seed,
        ..RehearseArgs::default()
    };
    let scenario = as_rehearsal.scenario()?;
    // No dispatcher is started here, so that the path of the program is unused.
    let options =
        Options { program: PathBuf::new(), seed: args.seed, start_timeout: Duration::ZERO, faults: None };
    runtime()?.block_on(async {
        let rig = Rig::without_dispatchers(scenario, options).await.map_err(|error| error.to_string())?;
        std::fs::create_dir_all(&args.configs)
            .map_err(|error| format!("{}: {error}", args.configs.display()))?;
        for dispatcher in &rig.dispatchers {
            let path = args.configs.join(format!("{}.json", dispatcher.name));
            crate::write(&path, &dispatcher.config().to_string())?;
            crate::print_text(&format!("PROXY_CONFIG={} rookspoke\n", path.display()));
        }
        let _ = tokio::signal::ctrl_c().await;
        Ok(0)
    })
}

/// Arguments of `load`.
#[derive(Args, Debug)]
pub struct LoadArgs {
    /// Script that the fleet was started with
    script: Option<PathBuf>,
    /// Addresses at which dispatchers listen, separated by commas
    #[arg(long, value_name = "ADDRESS,...", value_delimiter = ',', required = true)]
    to: Vec<std::net::SocketAddr>,
    /// Number of log workers of the fleet
    #[arg(long, value_name = "N", default_value_t = 12)]
    workers: u32,
    /// Seed of all random draws
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Sends jobs to running dispatchers and prints the results.
///
/// # Errors
/// The script is invalid, or the runtime could not start.
pub fn load(args: &LoadArgs) -> Result<u8, String> {
    let as_rehearsal = RehearseArgs {
        script: args.script.clone(),
        dispatchers: u32::try_from(args.to.len()).ok(),
        workers: Some(args.workers),
        seed: args.seed,
        ..RehearseArgs::default()
    };
    let scenario = as_rehearsal.scenario()?;
    runtime()?.block_on(async {
        let answer = scenario.span("rules.answer-slack") + SOCKET_SLACK;
        let event_log = EventLog::new(Clock::starting_in(Duration::ZERO), vec![Box::new(OneAnswer::new(answer))]);
        let backends: Vec<Backend> = args.to.iter().map(|to| Backend::in_rotation_at(*to)).collect();
        let lateness = Lateness::default();
        let load = LoadGenerator::new(&scenario, args.seed, Arc::new(backends), event_log.clone(), lateness.clone());
        let jobs = draw_arrivals(&scenario, args.seed, &mut stream(args.seed, Stream::Clients, 0));
        load.run(event_log.clock().now() + Span(200_000), &jobs).await;
        event_log.finish();
        let counts = load.counts();
        let score = Score::from_jobs(&scenario, &counts.jobs);
        let (late, quantile) = (lateness.summary(), |q| counts.latency.value_at_quantile(q) as f64 / 1000.0);
        crate::print_text(&format!(
            "service {:.3}; {} submitted, {} served ({} late), {} refused, {} failed; p50 {:.0} ms, p99 {:.0} ms; \
             sent late by {:.1} ms (p99)\n",
            score.service,
            counts.jobs.len(),
            counts.served,
            counts.late.iter().sum::<usize>(),
            counts.refused,
            counts.failed,
            quantile(0.5),
            quantile(0.99),
            late.p99_ms
        ));
        let violations = event_log.violations();
        violations.iter().take(10).for_each(|violation| crate::print_text(&format!("{}: {}\n", violation.rule, violation.description)));
        Ok(if violations.is_empty() { 0 } else { BROKEN })
    })
}

/// Writes the event log and the reports that were requested.
fn write_files(args: &RehearseArgs, rig: &Rig, outcome: &Outcome) -> Result<(), String> {
    if let Some(path) = &args.timeline {
        rig.event_log.write(path).map_err(|error| format!("{}: {error}", path.display()))?;
    }
    args.files.write(args.script.as_deref(), &rig.scenario, std::slice::from_ref(&outcome.report))
}

/// Formats the verdict, and the first violations with the events around them.
pub fn outcome_text(outcome: &Outcome) -> String {
    let late = outcome.lateness;
    let mut text = format!(
        "verdict {:?}; ready in {:.1} s; {} KiB per dispatcher; {:.1} s of CPU time in total; the rig ran late by {:.1} ms \
         (p99), {:.1} ms at most\n",
        outcome.verdict, outcome.ready_s, outcome.memory_kb, outcome.cpu_s, late.p99_ms, late.max_ms
    );
    for violation in outcome.violations.iter().take(10) {
        text.push_str(&format!(
            "{:.3} s: {}: {}\n",
            violation.at_ms / 1000.0,
            violation.rule,
            violation.description
        ));
        violation
            .preceding_events
            .iter()
            .rev()
            .take(3)
            .rev()
            .for_each(|line| text.push_str(&format!("    {line}\n")));
    }
    text
}

/// Updates a progress line on standard error every 0.5 s, if it is a terminal.
async fn show_progress(rig: Arc<Rig>) {
    if !std::io::stderr().is_terminal() {
        return;
    }
    loop {
        tokio::time::sleep(Duration::from_millis(500)).await;
        let counts = rig.load_generator.counts();
        let late: usize = counts.late.iter().sum();
        let _ = write!(
            std::io::stderr(),
            "\r{:3} dispatchers, {:3} log workers; {} submitted, {} served ({late} late), {} refused, {} failed   ",
            rig.dispatchers_in_rotation(),
            rig.worker_pool.available_workers(),
            counts.jobs.len(),
            counts.served,
            counts.refused,
            counts.failed
        );
    }
}
