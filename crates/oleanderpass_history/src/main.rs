//! Run seeded fault scenarios and print the history of each failing seed.

use clap::Parser;
use oleanderpass_history::matrix::run_seeds;
use oleanderpass_history::scenario::Options;

/// Run seeded fault scenarios against the requirements.
#[derive(Debug, Parser)]
struct Arguments {
    /// Number of seeds to run, each of which gives one history.
    #[arg(long, default_value_t = 10_000)]
    histories: u64,
    /// First seed.
    #[arg(long, default_value_t = 0)]
    seed: u64,
    /// Number of threads.
    #[arg(long, default_value_t = 4)]
    threads: u64,
    /// Print the whole history of at most this many failing seeds.
    #[arg(long, default_value_t = 1)]
    show: usize,
    /// Let callers use a route on which tickets are optional, to see the check fail.
    #[arg(long)]
    without_tickets: bool,
    /// Accept events of any stream in any order, to see the check fail.
    #[arg(long)]
    without_stream_ids: bool,
}

fn main() -> eyre::Result<()> {
    let args = Arguments::parse();
    let options = Options {
        without_tickets: args.without_tickets,
        without_stream_ids: args.without_stream_ids,
    };
    let summary = run_seeds(args.seed, args.histories, args.threads.max(1), options)?;
    println!("{} histories, {} failed", summary.runs, summary.failed_runs);
    summary
        .events
        .iter()
        .for_each(|(kind, count)| println!("{kind}: {count}"));
    println!(
        "most servers crashed by one request: {}",
        summary.max_crashes_by_one_request
    );
    for (index, run) in summary.failures.iter().enumerate() {
        println!("seed {}:", run.seed);
        run.trace
            .iter()
            .for_each(|(at, text)| println!("  t+{at} ms {text}"));
        run.violations
            .iter()
            .for_each(|violation| println!("  {violation}"));
        if index < args.show {
            for entry in &run.history.entries {
                println!("    {} {:?}", entry.at, entry.record);
            }
        }
    }
    eyre::ensure!(summary.failed_runs == 0, "the check failed");
    Ok(())
}
