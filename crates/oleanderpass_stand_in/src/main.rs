//! Run one simulated system as a process, or generate load.

use std::future::pending;
use std::process::ExitCode;

use clap::Parser;
use clap::Subcommand;
use oleanderpass_stand_in::engine::Engine;
use oleanderpass_stand_in::engine::EngineConfig;
use oleanderpass_stand_in::load;
use oleanderpass_stand_in::load::LoadCommand;
use oleanderpass_stand_in::platform::Platform;
use oleanderpass_stand_in::platform::PlatformConfig;
use oleanderpass_stand_in::service::Service;
use oleanderpass_stand_in::service::ServiceConfig;

/// Simulate a model engine, a plain service or the platform, or generate load. A simulated system
/// prints the address that it listens on.
#[derive(Parser)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Simulate a model engine.
    Engine(Box<EngineConfig>),
    /// Simulate one server of a plain service.
    Service(ServiceConfig),
    /// Simulate the platform: the configuration service and the instance list.
    Platform(PlatformConfig),
    /// Send load and measure the time to first token.
    #[command(subcommand)]
    Load(LoadCommand),
}

#[tokio::main]
async fn main() -> ExitCode {
    tracing_subscriber::fmt()
        .json()
        .with_writer(std::io::stderr)
        .init();
    match run(Cli::parse().command).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command) -> eyre::Result<()> {
    match command {
        Command::Engine(cfg) => {
            let engine = Engine::start(*cfg)?;
            println!("{}", engine.addr());
            pending().await
        }
        Command::Service(cfg) => {
            let service = Service::start(cfg)?;
            println!("{}", service.addr());
            pending().await
        }
        Command::Platform(cfg) => {
            let platform = Platform::start(cfg)?;
            println!("{}", platform.addr());
            pending().await
        }
        Command::Load(command) => load::run(command).await,
    }
}
