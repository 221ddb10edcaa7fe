//! Collect the demo's checks and latencies and print them.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Largest recorded time, in microseconds: one minute, twice the length of the demo.
const MAX_MICROS: u64 = 60_000_000;

/// Upper bounds of the prompt lengths in the latency table, in tokens.
const BUCKETS: [u64; 4] = [1_000, 32_768, 100_000, 1_000_000];

/// The checks and latencies of a run.
#[derive(Default)]
pub(crate) struct Report {
    failures: Vec<String>,
    checks: usize,
    /// Prompt lengths and times to first token.
    samples: Vec<(u64, Duration)>,
}

impl Report {
    /// Note whether something was as expected.
    pub(crate) fn check(&mut self, holds: bool, what: impl Into<String>) {
        self.checks += 1;
        if !holds {
            let what = what.into();
            println!("  UNEXPECTED: {what}");
            self.failures.push(what);
        }
    }

    /// Note an error, or pass the value on.
    pub(crate) fn expect<T>(&mut self, result: eyre::Result<T>, what: &str) -> Option<T> {
        match result {
            Ok(value) => Some(value),
            Err(cause) => {
                self.check(false, format!("{what}: {cause:#}"));
                None
            }
        }
    }

    /// Note a time to first token.
    pub(crate) fn record(&mut self, prompt_tokens: u64, first: Duration) {
        self.samples.push((prompt_tokens, first));
    }

    /// Print the latency table.
    ///
    /// # Errors
    ///
    /// Return the histogram's error; its constant bounds cause none.
    pub(crate) fn print_latency(&self) -> eyre::Result<()> {
        println!("\nTime to first token by prompt length");
        println!(
            "{:>20} {:>9} {:>11} {:>11}",
            "prompt tokens", "requests", "median ms", "p99 ms"
        );
        let mut lower = 0;
        for upper in BUCKETS {
            let mut times = Histogram::<u64>::new_with_max(MAX_MICROS, 3)?;
            for (_, first) in self
                .samples
                .iter()
                .filter(|(len, _)| lower < *len && *len <= upper)
            {
                times.saturating_record(u64::try_from(first.as_micros()).unwrap_or(u64::MAX));
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

    /// Print the verdict and return whether everything was as expected.
    pub(crate) fn verdict(&self) -> bool {
        println!(
            "\n{} checks, {} unexpected",
            self.checks,
            self.failures.len()
        );
        self.failures
            .iter()
            .for_each(|what| println!("  UNEXPECTED: {what}"));
        self.failures.is_empty()
    }
}
