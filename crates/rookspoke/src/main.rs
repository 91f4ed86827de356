//! The `rookspoke` program: the dispatcher daemon and its command-line tools.

mod bind;
mod cli;
mod connection;
mod control;
mod daemon;
mod front;
mod inherit;
mod logging;
mod operators;
mod rate_limit;
mod server_state;
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

use cli::{Cli, Command, ConfigArgs, ConfigCommand};
use logging::Logging;
use setup::{ReadReason, Setup, SetupError};
use signals::Signals;

fn main() -> ExitCode {
    let Cli { command, config_args } = Cli::parse();
    match command {
        None | Some(Command::Serve) => serve(&config_args),
        Some(Command::Check { file }) => check(ConfigArgs { config: Some(file), ..config_args }),
        Some(Command::Config { command: ConfigCommand::Show { json } }) => show(&config_args, json),
        Some(Command::Config { command: ConfigCommand::Keywords }) => print(&schema::markdown()),
        Some(Command::Status { control, json }) => status(control, &config_args, json),
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

/// Prints to standard output; a write error, such as a closed pipe, is ignored.
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

fn serve(config_args: &ConfigArgs) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return fail(cli::FAILED, &format!("cannot start the async runtime: {error}\n")),
    };
    // Before everything else: the default action of a signal without a handler terminates the process.
    let signals = {
        let _context = runtime.enter();
        Signals::listen()
    };
    let signals = match signals {
        Ok(signals) => signals,
        Err(error) => return fail(cli::FAILED, &format!("{error}\n")),
    };
    let setup = match Setup::read(config_args, ReadReason::Start) {
        Ok(setup) => setup,
        Err(error) => return bad_config(&error),
    };
    let logging = match Logging::start(&setup.log) {
        Ok(logging) => Arc::new(logging),
        Err(error) => return fail(cli::FAILED, &format!("cannot start logging: {error}\n")),
    };
    let exit = runtime.block_on(daemon::run(config_args, setup, logging.clone(), signals));
    // Remaining tasks hold clones of `logging`; queued log lines are flushed when the last clone is dropped.
    drop(runtime);
    match exit {
        Ok(code) => code,
        Err(error) => fail(cli::FAILED, &format!("{error}\n")),
    }
}

fn check(config_args: ConfigArgs) -> ExitCode {
    match Setup::read(&config_args, ReadReason::Start) {
        Ok(setup) => {
            let mut text: String =
                setup.resolved.warnings.iter().map(|warning| format!("warning: {warning}\n")).collect();
            text.push_str(&table(&setup.resolved.rows()));
            print(&text)
        }
        Err(error) => bad_config(&error),
    }
}

fn show(config_args: &ConfigArgs, as_json: bool) -> ExitCode {
    let rows = match Setup::read(config_args, ReadReason::Start) {
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
    let width = |length: fn(&Row) -> usize| rows.iter().map(length).max().unwrap_or(0) + 2;
    let key_width = width(|row| row.key.chars().count());
    let value_width = width(|row| row.value.chars().count());
    rows.iter()
        .map(|row| format!("{:<key_width$}{:<value_width$}{}\n", row.key, row.value, row.origin))
        .collect()
}

fn status(control: Option<PathBuf>, config_args: &ConfigArgs, as_json: bool) -> ExitCode {
    let path = match control {
        Some(path) => path,
        None => match Setup::read(config_args, ReadReason::Start) {
            Ok(Setup { control: Some(control), .. }) => control.path,
            Ok(_) => {
                let text =
                    "the configuration has no section `control`, expected its `path` or `--control PATH`\n";
                return fail(cli::BAD_CONFIG, text);
            }
            Err(error) => return bad_config(&error),
        },
    };
    print_status(&path, as_json)
}

fn print_status(path: &Path, as_json: bool) -> ExitCode {
    match control::request_status(path) {
        Ok((_, text)) if as_json => print(&format!("{text}\n")),
        Ok((status, _)) => print(&status.table()),
        Err(error) => fail(cli::NO_DAEMON, &format!("{error}\n")),
    }
}
