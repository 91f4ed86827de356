//! The command line.

use std::path::PathBuf;

use clap::{Args, CommandFactory, Parser, Subcommand};
use clap_complete::Shell;

/// Everything went well.
pub const OK: u8 = 0;
/// Something failed while it ran.
pub const FAILED: u8 = 1;
// 2 is the argument library's own, for a command line that makes no sense.
/// The configuration makes no sense.
pub const BAD_CONFIG: u8 = 3;
/// No daemon answers.
pub const NO_DAEMON: u8 = 4;

const AFTER: &str = "\
Exit status: 0 all went well; 1 a failure while running; 2 a command line that makes no sense; 3 a configuration \
that makes no sense; 4 no daemon answers.

Without a command, rookspoke serves as its environment says: PROXY_CONFIG names the platform's JSON, and PROXY_NAME, \
PROXY_LISTEN and PROXY_DISCOVERY go before what it says. ROOKSPOKE_LOG goes before `log level`.";

/// Dispatches jobs to log workers.
#[derive(Debug, Parser)]
#[command(name = "rookspoke", version, after_help = AFTER)]
pub struct Cli {
    /// What to do; without a command, `serve`.
    #[command(subcommand)]
    pub command: Option<Command>,
    /// Where the configuration comes from.
    #[command(flatten)]
    pub from: Given,
}

/// Where a configuration comes from.
#[derive(Args, Clone, Debug, Default)]
pub struct Given {
    /// The configuration file; without it, the platform's JSON that PROXY_CONFIG names
    #[arg(long, short, value_name = "FILE", global = true)]
    pub config: Option<PathBuf>,
    /// A value that goes before the file's, such as `log.level=debug`
    #[arg(long, value_name = "KEY=VALUE", value_parser = pair, global = true)]
    pub set: Vec<(String, String)>,
}

fn pair(text: &str) -> Result<(String, String), String> {
    let (key, value) = text.split_once('=').ok_or("expected KEY=VALUE")?;
    Ok((key.trim().into(), value.trim().into()))
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serve clients until told to end
    Serve,
    /// Read a configuration and say what holds; nothing is started
    Check {
        /// The file
        file: PathBuf,
    },
    /// Look at a configuration
    Config {
        /// What to do with it
        #[command(subcommand)]
        command: ConfigCommand,
    },
    /// Ask a running daemon how it is
    Status {
        /// Its control socket; without it, the one that the configuration names
        #[arg(long, value_name = "PATH")]
        control: Option<PathBuf>,
        /// Print the answer as it came
        #[arg(long)]
        json: bool,
    },
    /// Print a completion script
    Completions {
        /// For this shell
        shell: Shell,
    },
    /// Print the manual page, or write one for each command
    Man {
        /// A folder to write them to
        #[arg(long, value_name = "FOLDER")]
        out: Option<PathBuf>,
    },
}

/// What to do with a configuration.
#[derive(Debug, Subcommand)]
pub enum ConfigCommand {
    /// Print every value and where it came from
    Show {
        /// As JSON
        #[arg(long)]
        json: bool,
    },
    /// Print every keyword with its unit, default and range, as the page for operators has them
    Keywords,
}

/// Prints a completion script.
pub fn completions(shell: Shell, to: &mut impl std::io::Write) {
    clap_complete::generate(shell, &mut Cli::command(), "rookspoke", to);
}

/// Writes the manual: one page to `to`, or a page for each command to a folder.
///
/// # Errors
/// As the files or the output say.
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
    fn the_definition_holds_together() {
        Cli::command().debug_assert();
    }
}
