//! The verbs that start real processes.

use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use clap::Args;
use rookspoke_decisions::Span;
use rookspoke_emulator::model::draw_arrivals;
use rookspoke_emulator::report::Score;
use rookspoke_emulator::rng::{stream, Stream};
use rookspoke_emulator::scenario::{Scenario, Stage};
use rookspoke_emulator::script;
use rookspoke_rig::clock::{Clock, Lateness};
use rookspoke_rig::dispatcher::FaultInjection;
use rookspoke_rig::event_log::EventLog;
use rookspoke_rig::invariants::OneAnswer;
use rookspoke_rig::load::{Backend, LoadGenerator, SOCKET_SLACK};
use rookspoke_rig::play::{Options, Outcome, Rig, Verdict};
use rookspoke_rig::soak::{Drawn, Sizes};

/// A rule was broken.
pub const BROKEN: u8 = 1;
/// The rig ran too late for a verdict.
pub const VOID: u8 = 4;

/// What a rehearsal is told.
#[derive(Args, Debug, Default)]
pub struct Rehearse {
    /// A script; without one, a calm day
    script: Option<PathBuf>,
    /// Dispatchers, each a process
    #[arg(long, value_name = "N")]
    dispatchers: Option<u32>,
    /// Log workers
    #[arg(long, value_name = "N")]
    workers: Option<u32>,
    /// For every draw
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// A parameter's value, before what the script says
    #[arg(long, value_name = "NAME=VALUE", value_parser = crate::pair)]
    set: Vec<(String, String)>,
    /// Draw sizes, habits, incidents and failing system calls from the seed
    #[arg(long, conflicts_with_all = ["script", "dispatchers", "workers", "set"])]
    draw: bool,
    /// The library that makes system calls fail, `librookspoke_faults.so`; without it a drawn play has no such failures
    #[arg(long, value_name = "FILE", requires = "draw")]
    faults: Option<PathBuf>,
    /// The dispatcher's program; without it, `rookspoke` beside this one
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// Write what happened to this file: one JSON object to a line, on one clock
    #[arg(long, value_name = "FILE")]
    timeline: Option<PathBuf>,
    #[command(flatten)]
    files: crate::Files,
}

impl Rehearse {
    fn scenario(&self) -> Result<Scenario, String> {
        let sizes = [("dispatchers", self.dispatchers), ("workers", self.workers)];
        let sizes = sizes.into_iter().filter_map(|(name, size)| Some((name.to_owned(), size?.to_string())));
        let parameters: Vec<(String, String)> = self.set.iter().cloned().chain(sizes).collect();
        crate::read(self.script.as_deref(), Stage::Processes, &parameters)
    }

    /// The play of the seed, which is printed.
    fn drawn(&self) -> Result<(Scenario, Option<FaultInjection>), String> {
        let drawn = Drawn::new(self.seed, Sizes::FULL);
        crate::say(&drawn.to_string());
        let scenario = script::read_text("drawn", &drawn.script(), Stage::Processes);
        let scenario = scenario.map_err(|problems| problems.render())?;
        let Some(library) = &self.faults else { return Ok((scenario, None)) };
        // Processes start in folders of their own.
        let library = library.canonicalize().map_err(|error| {
            format!("{}: {error}; expected the library of the crate rookspoke-faults", library.display())
        })?;
        Ok((scenario, drawn.schedule().map(|schedule| FaultInjection { library, schedule })))
    }
}

/// The program of the dispatcher: the one that was named, or the one beside this tool.
///
/// # Errors
/// It is not there.
pub fn program(named: Option<&Path>) -> Result<PathBuf, String> {
    let beside = || Some(std::env::current_exe().ok()?.parent()?.join("rookspoke"));
    let path = named.map(Path::to_owned).or_else(beside).unwrap_or_default();
    // Its processes start in folders of their own.
    path.canonicalize().map_err(|error| {
        format!(
            "{}: {error}; expected the dispatcher's program (cargo build --release, or --program FILE)",
            path.display()
        )
    })
}

/// Threads for a rig.
///
/// # Errors
/// The system has none.
pub fn runtime() -> Result<tokio::runtime::Runtime, String> {
    tokio::runtime::Builder::new_multi_thread().enable_all().build().map_err(|error| error.to_string())
}

/// Plays a script with real processes.
///
/// # Errors
/// It could not be played.
pub fn rehearse(what: &Rehearse) -> Result<u8, String> {
    let (scenario, faults) = if what.draw { what.drawn()? } else { (what.scenario()?, None) };
    let options = Options {
        program: program(what.program.as_deref())?,
        seed: what.seed,
        patience: Duration::from_secs(60),
        faults,
    };
    runtime()?.block_on(async {
        let rig = Rig::start(scenario, options).await.map_err(|error| error.to_string())?;
        let shown = tokio::spawn(show(rig.clone()));
        let played = tokio::select! {
            played = rig.play() => played.map_err(|error| error.to_string()),
            // What was started ends with the rig.
            _ = tokio::signal::ctrl_c() => Err("interrupted".into()),
        };
        shown.abort();
        played?;
        let outcome = rig.outcome().await;
        keep(what, &rig, &outcome)?;
        crate::say(crate::HEAD);
        crate::say(&crate::row(std::slice::from_ref(&outcome.report)));
        crate::say(&told(&outcome));
        Ok(code(outcome.verdict))
    })
}

/// The exit status of a verdict.
pub fn code(verdict: Verdict) -> u8 {
    match verdict {
        Verdict::Kept => 0,
        Verdict::Broken => BROKEN,
        Verdict::Void => VOID,
    }
}

/// What a fleet is told.
#[derive(Args, Debug)]
pub struct Fleet {
    /// A script: sizes, habits of log workers, classes
    script: Option<PathBuf>,
    /// Dispatchers that will be started by hand
    #[arg(long, value_name = "N", default_value_t = 1)]
    dispatchers: u32,
    /// Log workers
    #[arg(long, value_name = "N", default_value_t = 12)]
    workers: u32,
    /// For every draw
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The folder for the dispatchers' configurations, `n0.json` and on
    #[arg(long, value_name = "FOLDER")]
    configs: PathBuf,
}

/// Starts log workers and discovery, and waits for Ctrl-C.
///
/// # Errors
/// They could not be started.
pub fn fleet(what: &Fleet) -> Result<u8, String> {
    let as_rehearsal = Rehearse {
        script: what.script.clone(),
        dispatchers: Some(what.dispatchers),
        workers: Some(what.workers),
        seed: what.seed,
        ..Rehearse::default()
    };
    let scenario = as_rehearsal.scenario()?;
    // No dispatcher is started here, so no program is needed.
    let options =
        Options { program: PathBuf::new(), seed: what.seed, patience: Duration::ZERO, faults: None };
    runtime()?.block_on(async {
        let rig = Rig::without_dispatchers(scenario, options).await.map_err(|error| error.to_string())?;
        std::fs::create_dir_all(&what.configs)
            .map_err(|error| format!("{}: {error}", what.configs.display()))?;
        for dispatcher in &rig.dispatchers {
            let path = what.configs.join(format!("{}.json", dispatcher.name));
            crate::write(&path, &dispatcher.config().to_string())?;
            crate::say(&format!("PROXY_CONFIG={} rookspoke\n", path.display()));
        }
        let _ = tokio::signal::ctrl_c().await;
        Ok(0)
    })
}

/// What a load is told.
#[derive(Args, Debug)]
pub struct Clients {
    /// The script that the fleet was started with
    script: Option<PathBuf>,
    /// Where dispatchers listen, parted by commas
    #[arg(long, value_name = "ADDRESS,...", value_delimiter = ',', required = true)]
    to: Vec<std::net::SocketAddr>,
    /// Log workers of the fleet
    #[arg(long, value_name = "N", default_value_t = 12)]
    workers: u32,
    /// For every draw
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Hands in jobs at dispatchers that run.
///
/// # Errors
/// The script makes no sense.
pub fn load(what: &Clients) -> Result<u8, String> {
    let as_rehearsal = Rehearse {
        script: what.script.clone(),
        dispatchers: u32::try_from(what.to.len()).ok(),
        workers: Some(what.workers),
        seed: what.seed,
        ..Rehearse::default()
    };
    let scenario = as_rehearsal.scenario()?;
    runtime()?.block_on(async {
        let answer = scenario.span("rules.answer-slack") + SOCKET_SLACK;
        let event_log = EventLog::new(Clock::starting_in(Duration::ZERO), vec![Box::new(OneAnswer::new(answer))]);
        let backends: Vec<Backend> = what.to.iter().map(|to| Backend::in_rotation_at(*to)).collect();
        let lateness = Lateness::default();
        let load = LoadGenerator::new(&scenario, what.seed, Arc::new(backends), event_log.clone(), lateness.clone());
        let jobs = draw_arrivals(&scenario, what.seed, &mut stream(what.seed, Stream::Clients, 0));
        load.run(event_log.clock().now() + Span(200_000), &jobs).await;
        event_log.finish();
        let counted = load.counts();
        let score = Score::of(&scenario, &counted.jobs);
        let (late, quantile) = (lateness.figures(), |q| counted.latency.value_at_quantile(q) as f64 / 1000.0);
        crate::say(&format!(
            "service {:.3}; {} asked, {} served ({} late), {} refused, {} failed; p50 {:.0} ms, p99 {:.0} ms; \
             sent late by {:.1} ms (p99)\n",
            score.service,
            counted.jobs.len(),
            counted.served,
            counted.late.iter().sum::<usize>(),
            counted.refused,
            counted.failed,
            quantile(0.5),
            quantile(0.99),
            late.p99_ms
        ));
        let violations = event_log.violations();
        violations.iter().take(10).for_each(|violation| crate::say(&format!("{}: {}\n", violation.rule, violation.description)));
        Ok(if violations.is_empty() { 0 } else { BROKEN })
    })
}

fn keep(what: &Rehearse, rig: &Rig, outcome: &Outcome) -> Result<(), String> {
    if let Some(path) = &what.timeline {
        rig.event_log.write(path).map_err(|error| format!("{}: {error}", path.display()))?;
    }
    what.files.write(what.script.as_deref(), &rig.scenario, std::slice::from_ref(&outcome.report))
}

/// The verdict in words, with what broke.
pub fn told(outcome: &Outcome) -> String {
    let late = outcome.lateness;
    let mut text = format!(
        "verdict {:?}; ready in {:.1} s; {} KiB a dispatcher; {:.1} s of processor for all; the rig ran late by {:.1} ms \
         (p99), {:.1} ms at most\n",
        outcome.verdict, outcome.ready_s, outcome.memory_kb, outcome.cpu_s, late.p99_ms, late.most_ms
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

/// How it goes, in one line on a terminal.
async fn show(rig: Arc<Rig>) {
    if !std::io::stderr().is_terminal() {
        return;
    }
    loop {
        tokio::time::sleep(Duration::from_millis(500)).await;
        let counted = rig.load.counts();
        let late: usize = counted.late.iter().sum();
        let _ = write!(
            std::io::stderr(),
            "\r{:3} dispatchers, {:3} log workers; {} asked, {} served ({late} late), {} refused, {} failed   ",
            rig.in_front(),
            rig.worker_pool.available_workers(),
            counted.jobs.len(),
            counted.served,
            counted.refused,
            counted.failed
        );
    }
}
