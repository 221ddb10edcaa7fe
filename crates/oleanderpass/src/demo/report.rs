//! Collect and print the results and latencies of the demo.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Longest time that the histograms can record, in microseconds. One minute is twice the duration
/// of the demo.
const MAX_TIME_MICROS: u64 = 60_000_000;

/// Upper bounds of the prompt lengths in the latency table, in tokens.
const BUCKET_BOUNDS_TOKENS: [u64; 4] = [1_000, 32_768, 100_000, 1_000_000];

/// The results of the checks and the latencies of a run.
#[derive(Default)]
pub(crate) struct Report {
    /// Descriptions of the checks that failed.
    failures: Vec<String>,
    /// Number of all checks.
    checks: usize,
    /// The prompt length in tokens and the time to first token of each answer.
    latencies: Vec<(u64, Duration)>,
}

impl Report {
    /// Record the result of a check. `what` describes its failure.
    pub(crate) fn check(&mut self, passed: bool, what: impl Into<String>) {
        self.checks += 1;
        if !passed {
            let what = what.into();
            println!("  FAILED: {what}");
            self.failures.push(what);
        }
    }

    /// Return the value of a result, or record its error as a failed check and return `None`.
    pub(crate) fn check_ok<T>(&mut self, result: eyre::Result<T>, what: &str) -> Option<T> {
        match result {
            Ok(value) => Some(value),
            Err(cause) => {
                self.check(false, format!("{what}: {cause:#}"));
                None
            }
        }
    }

    /// Record the time to first token of a prompt.
    pub(crate) fn record_latency(&mut self, prompt_tokens: u64, time_to_first_token: Duration) {
        self.latencies.push((prompt_tokens, time_to_first_token));
    }

    /// Print the table of latencies by prompt length.
    ///
    /// # Errors
    ///
    /// Fails if a histogram can't be created, which doesn't happen with its constant bounds.
    pub(crate) fn print_latency(&self) -> eyre::Result<()> {
        println!("\nTime to first token by prompt length");
        println!(
            "{:>20} {:>9} {:>11} {:>11}",
            "prompt tokens", "requests", "median ms", "p99 ms"
        );
        let mut lower = 0;
        for upper in BUCKET_BOUNDS_TOKENS {
            let mut times = Histogram::<u64>::new_with_max(MAX_TIME_MICROS, 3)?;
            for (_, time) in self
                .latencies
                .iter()
                .filter(|(tokens, _)| lower < *tokens && *tokens <= upper)
            {
                times.saturating_record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
            }
            let ms = |quantile| times.value_at_quantile(quantile) as f64 / 1_000.0;
            let range = format!("{}-{upper}", lower + 1);
            println!(
                "{range:>20} {:>9} {:>11.1} {:>11.1}",
                times.len(),
                ms(0.5),
                ms(0.99)
            );
            lower = upper;
        }
        Ok(())
    }

    /// Print the number of checks and all failures. Return whether no check failed.
    pub(crate) fn print_summary(&self) -> bool {
        println!("\n{} checks, {} failed", self.checks, self.failures.len());
        self.failures
            .iter()
            .for_each(|what| println!("  FAILED: {what}"));
        self.failures.is_empty()
    }
}
