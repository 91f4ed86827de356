//! The dispatcher's daemon, and the commands beside it.

mod bind;
mod cli;
mod connection;
mod control;
mod daemon;
mod front;
mod inherit;
mod logging;
mod operators;
mod repeats;
mod serving;
mod setup;
mod share;
mod shutdown;
mod signals;

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use clap::Parser;
use rookspoke_conf::{schema, Row};
use serde_json::json;

use cli::{Cli, Command, ConfigCommand, Given};
use logging::Logging;
use setup::{Setup, SetupError, When};
use signals::Signals;

fn main() -> ExitCode {
    let Cli { command, from } = Cli::parse();
    match command {
        None | Some(Command::Serve) => serve(&from),
        Some(Command::Check { file }) => check(Given { config: Some(file), ..from }),
        Some(Command::Config { command: ConfigCommand::Show { json } }) => show(&from, json),
        Some(Command::Config { command: ConfigCommand::Keywords }) => print(&schema::markdown()),
        Some(Command::Status { control, json }) => status(control, &from, json),
        Some(Command::Completions { shell }) => {
            let mut text = Vec::new();
            cli::completions(shell, &mut text);
            print(&String::from_utf8_lossy(&text))
        }
        Some(Command::Man { out }) => {
            let mut text = Vec::new();
            match cli::manual(out.as_ref(), &mut text) {
                Ok(()) => print(&String::from_utf8_lossy(&text)),
                Err(error) => fail(cli::FAILED, &format!("{error}\n")),
            }
        }
    }
}

/// Prints, and does not mind a reader who has left.
fn print(text: &str) -> ExitCode {
    let _ = std::io::stdout().write_all(text.as_bytes());
    ExitCode::from(cli::OK)
}

fn fail(code: u8, text: &str) -> ExitCode {
    let _ = write!(std::io::stderr(), "rookspoke: {text}");
    ExitCode::from(code)
}

fn bad_config(error: &SetupError) -> ExitCode {
    fail(cli::BAD_CONFIG, &error.render())
}

fn serve(from: &Given) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return fail(cli::FAILED, &format!("runtime: {error}\n")),
    };
    // First of all: a signal that nobody listens for yet ends the process.
    let signals = {
        let _context = runtime.enter();
        Signals::listen()
    };
    let signals = match signals {
        Ok(signals) => signals,
        Err(error) => return fail(cli::FAILED, &format!("{error}\n")),
    };
    let setup = match Setup::read(from, When::Start) {
        Ok(setup) => setup,
        Err(error) => return bad_config(&error),
    };
    let logging = match Logging::start(&setup.log) {
        Ok(logging) => Arc::new(logging),
        Err(error) => return fail(cli::FAILED, &format!("log: {error}\n")),
    };
    let done = runtime.block_on(daemon::run(from, setup, logging.clone(), signals));
    // Tasks that are left hold the logs; what is in the queue is written when the last of them lets go.
    drop(runtime);
    match done {
        Ok(code) => code,
        Err(error) => fail(cli::FAILED, &format!("{error}\n")),
    }
}

fn check(from: Given) -> ExitCode {
    match Setup::read(&from, When::Start) {
        Ok(setup) => {
            let mut text: String =
                setup.resolved.warnings.iter().map(|warning| format!("warning: {warning}\n")).collect();
            text.push_str(&table(&setup.resolved.rows()));
            print(&text)
        }
        Err(error) => bad_config(&error),
    }
}

fn show(from: &Given, as_json: bool) -> ExitCode {
    let rows = match Setup::read(from, When::Start) {
        Ok(setup) => setup.resolved.rows(),
        Err(error) => return bad_config(&error),
    };
    if !as_json {
        return print(&table(&rows));
    }
    let rows: Vec<_> = rows
        .into_iter()
        .map(|row| {
            let origin = row.origin.to_string();
            json!({"key": row.key, "value": row.value, "origin": origin, "reload": row.reloadable})
        })
        .collect();
    print(&format!("{}\n", serde_json::Value::Array(rows)))
}

fn table(rows: &[Row]) -> String {
    let width = |of: fn(&Row) -> usize| rows.iter().map(of).max().unwrap_or(0) + 2;
    let (keys, values) = (width(|row| row.key.chars().count()), width(|row| row.value.chars().count()));
    rows.iter().map(|row| format!("{:<keys$}{:<values$}{}\n", row.key, row.value, row.origin)).collect()
}

fn status(control: Option<PathBuf>, from: &Given, as_json: bool) -> ExitCode {
    let path = match control {
        Some(path) => path,
        None => match Setup::read(from, When::Start) {
            Ok(Setup { control: Some(control), .. }) => control.path,
            Ok(_) => {
                let text =
                    "the configuration has no section `control`, expected its `path` or `--control PATH`\n";
                return fail(cli::BAD_CONFIG, text);
            }
            Err(error) => return bad_config(&error),
        },
    };
    ask(&path, as_json)
}

fn ask(path: &Path, as_json: bool) -> ExitCode {
    match control::ask(path) {
        Ok((_, text)) if as_json => print(&format!("{text}\n")),
        Ok((status, _)) => print(&status.table()),
        Err(error) => fail(cli::NO_DAEMON, &format!("{error}\n")),
    }
}
