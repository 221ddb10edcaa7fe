//! Parse the command line and run its command.

mod check;
mod demo;
mod diff;
mod explain;
mod gateway;
mod serve;
mod status;
mod version;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use clap::Subcommand;
use oleanderpass_gateway_io::start_error::StartError;

use crate::explain::ExplainArgs;
use crate::version::VERSION;

/// Serving layer for prompts of a thousand to a million tokens.
#[derive(Debug, Parser)]
#[command(version = VERSION.as_str())]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a whole fleet in this process, send requests through it and check the answers.
    Demo,
    /// Run an entry instance.
    Serve {
        /// The settings file (YAML).
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
    },
    /// Run an entry instance on the platform.
    Gateway {
        /// The settings file (YAML). Default: the path in the environment variable that the
        /// platform sets (`OLEANDERPASS_SETTINGS`).
        #[arg(long, value_name = "FILE")]
        settings: Option<PathBuf>,
        /// Check the settings and exit.
        #[arg(long)]
        check: bool,
    },
    /// Print the status of an entry instance.
    Status {
        /// The address of its operator port; for `gateway`, of its metrics port.
        #[arg(value_name = "ADDR")]
        addr: SocketAddr,
    },
    /// Print where an entry instance on the platform would send a request now, and why.
    Explain(ExplainArgs),
    /// Check an environment document and print each error.
    Check {
        /// The document (YAML).
        #[arg(value_name = "FILE")]
        file: PathBuf,
    },
    /// Show what changes between two environment documents.
    Diff {
        /// The document in force (YAML).
        #[arg(value_name = "OLD")]
        old: PathBuf,
        /// The document to promote (YAML).
        #[arg(value_name = "NEW")]
        new: PathBuf,
    },
}

fn main() -> ExitCode {
    let result = match Args::parse().command {
        Command::Demo => demo::run(),
        Command::Serve { settings } => serve::run(&settings),
        Command::Gateway { settings, check } => gateway::run(settings.as_deref(), check),
        Command::Status { addr } => status::run(addr),
        Command::Explain(args) => explain::run(&args),
        Command::Check { file } => check::run(&file),
        Command::Diff { old, new } => diff::run(&old, &new),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            let start_error = error.downcast_ref::<StartError>();
            start_error.map_or(ExitCode::FAILURE, |error| ExitCode::from(error.exit_code()))
        }
    }
}
