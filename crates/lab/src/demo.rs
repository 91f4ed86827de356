//! The demo: starts a fleet, dispatchers and load without configuration, injects failures, and shows live figures.

use std::io::IsTerminal;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use clap::Args;
use ratatui::crossterm::event::{self, Event, KeyCode, KeyModifiers};
use ratatui::layout::Constraint;
use ratatui::widgets::{Block, Row, Table};
use ratatui::{DefaultTerminal, TerminalOptions, Viewport};
use rookspoke_decisions::Span;
use rookspoke_emulator::plot;
use rookspoke_emulator::report::Score;
use rookspoke_emulator::scenario::{Environment, Incident, IncidentKind};
use rookspoke_emulator::script;
use rookspoke_rig::run::{Options, Rig};

use crate::processes::{exit_status, outcome_text, program, runtime};

/// Deadlines are short, so that the last answer arrives before the demo's time limit.
const SCRIPT: &str = "length 16s
dispatchers 6
workers 12
clients.swing 0
class log-lookup {
    worth 2
    deadline 6s
}
class qso-confirm {
    effect once
    share 0.5
    work 1200ms
    slots 4
    aim 2s
    stretch 2
    deadline 8s
    worth 3
}
incident kill at 5s for 2s part 0.34
incident crash at 9s for 4s part 0.25
";
/// Interval between updates of the table.
const FRAME: Duration = Duration::from_millis(250);
/// First number of the incidents that keys trigger. An incident's number determines the random choice of whom it
/// affects, and those of the script count from 0.
const FIRST_KEY_INCIDENT: usize = 1000;

/// Arguments of `demo`.
#[derive(Args, Debug)]
pub struct DemoArgs {
    /// Write a page with tables and plots to this file
    #[arg(long, value_name = "FILE", default_value = "rookspoke-demo.html")]
    html: PathBuf,
    /// Seed of all random draws
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Dispatcher program; without it, `rookspoke` in the folder of this program
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
}

/// Runs the demo and returns the exit status of its verdict.
///
/// # Errors
/// The demo could not start or was interrupted, or the page could not be written.
pub fn run(args: &DemoArgs) -> Result<u8, String> {
    let scenario =
        script::read_text("demo", SCRIPT, Environment::Processes).map_err(|problems| problems.render())?;
    let options = Options {
        program: program(args.program.as_deref())?,
        seed: args.seed,
        start_timeout: Duration::from_secs(15),
        faults: None,
    };
    runtime()?.block_on(async {
        let rig = Rig::start(scenario, options).await.map_err(|error| error.to_string())?;
        let run = {
            let rig = rig.clone();
            tokio::spawn(async move { rig.run().await })
        };
        let finished = show_figures(&rig, run).await?;
        if !finished {
            return Err("interrupted".into());
        }
        let outcome = rig.outcome().await;
        let page = plot::html_report("demo", &rig.scenario, std::slice::from_ref(&outcome.report))
            .map_err(|error| error.to_string())?;
        crate::write(&args.html, &page)?;
        let report = &outcome.report;
        crate::print_text(&format!(
            "service {:.3}: {} jobs, {} served, {} refused, {} failed\n{}page: {}\n",
            report.service,
            report.jobs,
            report.served,
            report.refused,
            report.failed,
            outcome_text(&outcome),
            args.html.display()
        ));
        Ok(exit_status(outcome.verdict))
    })
}

type RunTask = tokio::task::JoinHandle<Result<(), rookspoke_rig::dispatcher::StartError>>;

/// Shows live figures until the run ends, and passes keys on. Returns false if the user ended it early.
async fn show_figures(rig: &Arc<Rig>, run: RunTask) -> Result<bool, String> {
    let mut terminal = std::io::stdout()
        .is_terminal()
        .then(|| ratatui::init_with_options(TerminalOptions { viewport: Viewport::Inline(10) }));
    let start = Instant::now();
    let mut next_incident = FIRST_KEY_INCIDENT;
    let mut continues = true;
    while continues && !run.is_finished() {
        tokio::time::sleep(FRAME).await;
        match &mut terminal {
            Some(terminal) => {
                draw(terminal, rig, start.elapsed());
                continues = handle_keys(rig, &mut next_incident);
            }
            None if start.elapsed().subsec_millis() < 250 => crate::print_text(&format!("{}\n", line(rig))),
            None => {}
        }
    }
    if terminal.is_some() {
        ratatui::restore();
    }
    if !continues {
        run.abort();
        return Ok(false);
    }
    match run.await {
        Ok(done) => done.map(|()| true).map_err(|error| error.to_string()),
        Err(error) => Err(error.to_string()),
    }
}

/// Starts an incident for each key pressed. Returns false if a key ends the demo.
fn handle_keys(rig: &Arc<Rig>, next_incident: &mut usize) -> bool {
    while event::poll(Duration::ZERO).unwrap_or(false) {
        let Ok(Event::Key(key)) = event::read() else { continue };
        let control = key.modifiers.contains(KeyModifiers::CONTROL);
        let (kind, secs, targets) = match key.code {
            KeyCode::Char('q') => return false,
            KeyCode::Char('c') if control => return false,
            KeyCode::Char('k') => (IncidentKind::Kill, 2, rig.dispatchers.len()),
            KeyCode::Char('s') => (IncidentKind::HostPause, 2, rig.dispatchers.len()),
            KeyCode::Char('w') => (IncidentKind::Crash, 4, rig.scenario.count("workers")),
            KeyCode::Char('d') => (IncidentKind::DiscoveryGone, 3, 1),
            _ => continue,
        };
        let incident = Incident {
            kind,
            at: Span(0),
            length: Span(secs * 1_000_000),
            part: 1.0 / targets as f64,
            size: 0.0,
        };
        let (rig, number) = (rig.clone(), *next_incident);
        *next_incident += 1;
        tokio::spawn(async move { rig.run_incident(number, &incident).await });
    }
    true
}

fn figures(rig: &Rig) -> [(&'static str, String); 7] {
    let counts = rig.load_generator.counts();
    let score = Score::from_jobs(&rig.scenario, &counts.jobs);
    [
        ("dispatchers", rig.dispatchers_in_rotation().to_string()),
        ("log workers", rig.worker_pool.available_workers().to_string()),
        ("jobs", counts.jobs.len().to_string()),
        ("served", counts.served.to_string()),
        ("late", counts.late.iter().sum::<usize>().to_string()),
        ("refused, failed", format!("{}, {}", counts.refused, counts.failed)),
        ("in time, of all so far", format!("{:.2}", score.whole)),
    ]
}

fn line(rig: &Rig) -> String {
    figures(rig).map(|(name, value)| format!("{name} {value}")).join("; ")
}

fn draw(terminal: &mut DefaultTerminal, rig: &Rig, since: Duration) {
    let rows = figures(rig).map(|(name, value)| Row::new([name.to_owned(), value]));
    let title = format!(
        " {:.0} s - k kills, s suspends a dispatcher, w crashes a log worker, d stops discovery, q quits ",
        since.as_secs_f64()
    );
    let table = Table::new(rows, [Constraint::Length(24), Constraint::Min(20)]);
    let table = table.block(Block::bordered().title(title));
    // The run continues even if the terminal is gone.
    let _ = terminal.draw(|frame| frame.render_widget(table, frame.area()));
}
