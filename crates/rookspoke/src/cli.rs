//! Definition of the command line, and the exit statuses.

use std::path::PathBuf;

use clap::{Args, CommandFactory, Parser, Subcommand};
use clap_complete::Shell;

/// Exit status of a command that succeeded.
pub const OK: u8 = 0;
/// Exit status after a failure at run time.
pub const FAILED: u8 = 1;
// 2 is reserved: clap exits with it when the command line is invalid.
/// Exit status for an invalid configuration.
pub const BAD_CONFIG: u8 = 3;
/// Exit status of `status` when no daemon answered on the control socket.
pub const NO_DAEMON: u8 = 4;

const AFTER_HELP: &str = "\
Exit status: 0 success; 1 failure at run time; 2 invalid command line; 3 invalid configuration; 4 no daemon answered \
on the control socket.

Without a command, rookspoke runs `serve`. PROXY_CONFIG is the path of the platform's JSON configuration; PROXY_NAME, \
PROXY_LISTEN and PROXY_DISCOVERY override its values. ROOKSPOKE_LOG overrides `log level`.";

/// Dispatches jobs to log workers.
#[derive(Debug, Parser)]
#[command(name = "rookspoke", version, after_help = AFTER_HELP)]
pub struct Cli {
    /// The subcommand; `serve` if there is none.
    #[command(subcommand)]
    pub command: Option<Command>,
    /// The configuration file and overrides.
    #[command(flatten)]
    pub config_args: ConfigArgs,
}

/// Options that select the configuration; every subcommand accepts them.
#[derive(Args, Clone, Debug, Default)]
pub struct ConfigArgs {
    /// The configuration file; default: the platform's JSON file that PROXY_CONFIG names
    #[arg(long, short, value_name = "FILE", global = true)]
    pub config: Option<PathBuf>,
    /// Override a value of the configuration file, such as `log.level=debug`
    #[arg(long, value_name = "KEY=VALUE", value_parser = parse_assignment, global = true)]
    pub set: Vec<(String, String)>,
}

fn parse_assignment(text: &str) -> Result<(String, String), String> {
    let (key, value) = text.split_once('=').ok_or("expected KEY=VALUE")?;
    Ok((key.trim().into(), value.trim().into()))
}

/// The subcommands of `rookspoke`.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run the dispatcher until SIGTERM
    Serve,
    /// Validate a configuration file and print its values, without starting the dispatcher
    Check {
        /// The configuration file
        file: PathBuf,
    },
    /// Inspect the configuration
    Config {
        /// The subcommand of `config`
        #[command(subcommand)]
        command: ConfigCommand,
    },
    /// Print the status of a running daemon
    Status {
        /// The daemon's control socket; default: `path` of section `control` in the configuration
        #[arg(long, value_name = "PATH")]
        control: Option<PathBuf>,
        /// Print the daemon's JSON reply unchanged
        #[arg(long)]
        json: bool,
    },
    /// Print a shell completion script
    Completions {
        /// The shell to complete for
        shell: Shell,
    },
    /// Print the manual page, or write a page for every command to a folder
    Man {
        /// The folder to write the pages to
        #[arg(long, value_name = "FOLDER")]
        out: Option<PathBuf>,
    },
}

/// The subcommands of `rookspoke config`.
#[derive(Debug, Subcommand)]
pub enum ConfigCommand {
    /// Print every value and its origin
    Show {
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Print every keyword with its unit, default and range, in Markdown, as in docs/configuration.md
    Keywords,
}

/// Writes the completion script for `shell` to `to`.
pub fn completions(shell: Shell, to: &mut impl std::io::Write) {
    clap_complete::generate(shell, &mut Cli::command(), "rookspoke", to);
}

/// Writes the main manual page to `to` or, given a folder, a page for every command to that folder.
///
/// # Errors
/// The folder, a file or `to` cannot be written.
pub fn manual(folder: Option<&PathBuf>, to: &mut impl std::io::Write) -> std::io::Result<()> {
    match folder {
        Some(folder) => {
            std::fs::create_dir_all(folder)?;
            clap_mangen::generate_to(Cli::command(), folder)
        }
        None => clap_mangen::Man::new(Cli::command()).render(to),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_command_line_definition_passes_claps_checks() {
        Cli::command().debug_assert();
    }
}
