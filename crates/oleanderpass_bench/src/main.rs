//! Compare routing policies and measure decision cost.

use std::path::PathBuf;

use clap::Parser;
use clap::Subcommand;
use oleanderpass_bench::cost;
use oleanderpass_bench::day;
use oleanderpass_bench::pages;

#[derive(Debug, Parser)]
#[command(about = "Compare routing policies and measure decision cost")]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Play one trace over all policies and write the tables and plots.
    Policies {
        /// The directory for `routing.md` and `plots/`.
        #[arg(long, default_value = "docs")]
        docs: PathBuf,
    },
    /// Print the goals of the comparison as measured, for one round of changes.
    Goals {
        /// The seeds whose samples are pooled.
        #[arg(long, value_delimiter = ',', default_values_t = pages::SEEDS)]
        seeds: Vec<u64>,
    },
    /// Print each long prompt that missed its deadline at 70% load.
    Missed,
    /// Measure decision time and memory by fleet size and write the tables.
    Cost {
        /// The directory of `CAPACITY.md`.
        #[arg(long, default_value = "docs")]
        docs: PathBuf,
    },
    /// Draw a day on the platform from the logs of its instances.
    Day {
        /// The log lines of all instances, in the order of time.
        #[arg(value_name = "LOG")]
        log: PathBuf,
        /// The directory of the page.
        #[arg(long, default_value = "target/day")]
        out: PathBuf,
    },
    /// Print the memory of one part at one size; `cost` runs this in processes of their own.
    #[command(hide = true)]
    Memory {
        /// The part.
        part: String,
        /// The index of the size.
        size: usize,
    },
}

fn main() -> eyre::Result<()> {
    match Args::parse().command {
        Command::Policies { docs } => pages::write(&docs),
        Command::Goals { seeds } => pages::print_goals(&seeds),
        Command::Cost { docs } => cost::run(&docs),
        Command::Memory { part, size } => cost::print_memory(&part, size),
        Command::Day { log, out } => day::write(&log, &out),
        Command::Missed => pages::print_missed(),
    }
}
