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
    /// Compare all policies on the same traces and write the tables and plots.
    Policies {
        /// The directory for `routing.md` and `plots/`.
        #[arg(long, default_value = "docs")]
        docs: PathBuf,
    },
    /// Print the measures behind the goals of the comparison, without writing a page.
    Goals {
        /// The seeds of the traces; the samples of all are pooled.
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
    /// Plot a day on the platform from the logs of its entry instances.
    Day {
        /// The file with the log lines of all instances, ordered by time.
        #[arg(value_name = "LOG")]
        log: PathBuf,
        /// The directory for the page and its plots.
        #[arg(long, default_value = "target/day")]
        out: PathBuf,
    },
    /// Print the memory that one part takes at one fleet size, in bytes. `cost` runs this in a
    /// child process for each figure.
    #[command(hide = true)]
    Memory {
        /// The measured part of the program, such as `routing`.
        part: String,
        /// The index of the fleet size in the table of sizes.
        size: usize,
    },
}

fn main() -> eyre::Result<()> {
    match Args::parse().command {
        Command::Policies { docs } => pages::write_comparison(&docs),
        Command::Goals { seeds } => pages::print_goals(&seeds),
        Command::Cost { docs } => cost::measure_all(&docs),
        Command::Memory { part, size } => cost::print_memory(&part, size),
        Command::Day { log, out } => day::write(&log, &out),
        Command::Missed => pages::print_missed_long_prompts(),
    }
}
