//! A demo: a fleet, dispatchers and load with nothing configured, something that breaks, and a table that lives.

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
use rookspoke_emulator::scenario::{Incident, Stage, Trouble};
use rookspoke_emulator::script;
use rookspoke_rig::play::{Options, Rig};

use crate::stage::{code, program, runtime, told};

/// Deadlines are short, so that the last answer is there in time.
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
/// How often the table is drawn.
const FRAME: Duration = Duration::from_millis(250);
/// What a key breaks is drawn by numbers from here on.
const FIRST_KEY: usize = 1000;

/// What a demo is told.
#[derive(Args, Debug)]
pub struct Demo {
    /// The page with its plots
    #[arg(long, value_name = "FILE", default_value = "rookspoke-demo.html")]
    html: PathBuf,
    /// For every draw
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The dispatcher's program; without it, `rookspoke` beside this one
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
}

/// Runs it.
///
/// # Errors
/// It could not be started.
pub fn run(what: &Demo) -> Result<u8, String> {
    let scenario =
        script::read_text("demo", SCRIPT, Stage::Processes).map_err(|problems| problems.render())?;
    let options = Options {
        program: program(what.program.as_deref())?,
        seed: what.seed,
        patience: Duration::from_secs(15),
        faults: None,
    };
    runtime()?.block_on(async {
        let rig = Rig::start(scenario, options).await.map_err(|error| error.to_string())?;
        let played = {
            let rig = rig.clone();
            tokio::spawn(async move { rig.play().await })
        };
        let shown = watch(&rig, played).await?;
        if !shown {
            return Err("interrupted".into());
        }
        let outcome = rig.outcome().await;
        let page = plot::page("demo", &rig.scenario, std::slice::from_ref(&outcome.report))
            .map_err(|error| error.to_string())?;
        crate::write(&what.html, &page)?;
        let report = &outcome.report;
        crate::say(&format!(
            "service {:.3}: {} jobs, {} served, {} refused, {} failed\n{}its page is {}\n",
            report.service,
            report.jobs,
            report.served,
            report.refused,
            report.failed,
            told(&outcome),
            what.html.display()
        ));
        Ok(code(outcome.verdict))
    })
}

type Played = tokio::task::JoinHandle<Result<(), rookspoke_rig::dispatcher::StartError>>;

/// Shows how it goes until the play is over. False where somebody ended it before.
async fn watch(rig: &Arc<Rig>, played: Played) -> Result<bool, String> {
    let mut terminal = std::io::stdout()
        .is_terminal()
        .then(|| ratatui::init_with_options(TerminalOptions { viewport: Viewport::Inline(10) }));
    let start = Instant::now();
    let mut next_key = FIRST_KEY;
    let mut keeps_on = true;
    while keeps_on && !played.is_finished() {
        tokio::time::sleep(FRAME).await;
        match &mut terminal {
            Some(terminal) => {
                draw(terminal, rig, start.elapsed());
                keeps_on = keys(rig, &mut next_key);
            }
            None if start.elapsed().subsec_millis() < 250 => crate::say(&format!("{}\n", line(rig))),
            None => {}
        }
    }
    if terminal.is_some() {
        ratatui::restore();
    }
    if !keeps_on {
        played.abort();
        return Ok(false);
    }
    match played.await {
        Ok(done) => done.map(|()| true).map_err(|error| error.to_string()),
        Err(error) => Err(error.to_string()),
    }
}

/// What a key asks for. False where it is to end.
fn keys(rig: &Arc<Rig>, next: &mut usize) -> bool {
    while event::poll(Duration::ZERO).unwrap_or(false) {
        let Ok(Event::Key(key)) = event::read() else { continue };
        let control = key.modifiers.contains(KeyModifiers::CONTROL);
        let (trouble, secs, of) = match key.code {
            KeyCode::Char('q') => return false,
            KeyCode::Char('c') if control => return false,
            KeyCode::Char('k') => (Trouble::Kill, 2, rig.dispatchers.len()),
            KeyCode::Char('s') => (Trouble::HostPause, 2, rig.dispatchers.len()),
            KeyCode::Char('w') => (Trouble::Crash, 4, rig.scenario.count("workers")),
            KeyCode::Char('d') => (Trouble::DiscoveryGone, 3, 1),
            _ => continue,
        };
        let incident = Incident {
            trouble,
            at: Span(0),
            length: Span(secs * 1_000_000),
            part: 1.0 / of as f64,
            size: 0.0,
        };
        let (rig, number) = (rig.clone(), *next);
        *next += 1;
        tokio::spawn(async move { rig.incident(number, &incident).await });
    }
    true
}

fn figures(rig: &Rig) -> [(&'static str, String); 7] {
    let counted = rig.load.counts();
    let score = Score::of(&rig.scenario, &counted.jobs);
    [
        ("dispatchers", rig.in_front().to_string()),
        ("log workers", rig.worker_pool.available_workers().to_string()),
        ("jobs", counted.jobs.len().to_string()),
        ("served", counted.served.to_string()),
        ("late", counted.late.iter().sum::<usize>().to_string()),
        ("refused, failed", format!("{}, {}", counted.refused, counted.failed)),
        ("in time, of all so far", format!("{:.2}", score.whole)),
    ]
}

fn line(rig: &Rig) -> String {
    figures(rig).map(|(name, value)| format!("{name} {value}")).join("; ")
}

fn draw(terminal: &mut DefaultTerminal, rig: &Rig, since: Duration) {
    let rows = figures(rig).map(|(name, value)| Row::new([name.to_owned(), value]));
    let title = format!(
        " {:.0} s - k kills, s stalls a dispatcher, w crashes a log worker, d discovery, q ends ",
        since.as_secs_f64()
    );
    let table = Table::new(rows, [Constraint::Length(24), Constraint::Min(20)]);
    let table = table.block(Block::bordered().title(title));
    // A terminal that cannot be drawn on any more ends nothing.
    let _ = terminal.draw(|frame| frame.render_widget(table, frame.area()));
}
