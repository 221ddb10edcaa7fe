//! Measure time and memory.

use std::env;
use std::fs;
use std::hint::black_box;
use std::process::Command;
use std::time::Instant;

use eyre::WrapErr;
use eyre::eyre;

/// Batches of one measurement; the median counts.
const BATCHES: usize = 7;

/// The size of a memory page, in bytes.
const PAGE: u64 = 4_096;

/// Return the median time of one call, in nanoseconds, over batches of `calls` calls.
pub fn time<T>(calls: u32, mut call: impl FnMut() -> T) -> f64 {
    let mut batches: Vec<f64> = (0..BATCHES)
        .map(|_| {
            let start = Instant::now();
            for _ in 0..calls {
                black_box(call());
            }
            start.elapsed().as_nanos() as f64 / f64::from(calls)
        })
        .collect();
    batches.sort_by(f64::total_cmp);
    batches[BATCHES / 2]
}

/// Return the resident memory that each value after the first one takes, in bytes.
///
/// The first value leaves the heap that building one needs, which the next ones use again.
///
/// # Errors
///
/// Return an error when a value can't be built or the process's memory can't be read.
pub fn memory<T>(copies: usize, mut build: impl FnMut() -> eyre::Result<T>) -> eyre::Result<f64> {
    let mut values = Vec::with_capacity(copies + 1);
    values.push(build()?);
    let before = resident()?;
    for _ in 0..copies {
        values.push(build()?);
    }
    let after = resident()?;
    black_box(&values);
    Ok(after.saturating_sub(before) as f64 / copies as f64)
}

/// Measure the memory of a part in a process of its own, whose heap nothing else has used.
///
/// # Errors
///
/// Return an error when this program can't run again or doesn't print a number.
pub fn memory_apart(part: &str, size: usize) -> eyre::Result<f64> {
    let program = env::current_exe().wrap_err("cannot find this program")?;
    let output = Command::new(program)
        .args(["memory", part, &size.to_string()])
        .output()
        .wrap_err("cannot run this program")?;
    let text = String::from_utf8_lossy(&output.stdout);
    text.trim()
        .parse()
        .wrap_err_with(|| format!("no memory figure of {part}: {text}"))
}

fn resident() -> eyre::Result<u64> {
    let text = fs::read_to_string("/proc/self/statm").wrap_err("cannot read the memory in use")?;
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    Ok(pages.ok_or_else(|| eyre!("cannot parse the memory in use"))? * PAGE)
}

/// Print a time in the unit that fits.
pub fn show_time(ns: f64) -> String {
    match ns {
        ns if ns < 1_000.0 => format!("{ns:.0} ns"),
        ns if ns < 1_000_000.0 => format!("{:.1} µs", ns / 1_000.0),
        ns => format!("{:.2} ms", ns / 1_000_000.0),
    }
}

/// Print a memory size in the unit that fits.
pub fn show_bytes(bytes: f64) -> String {
    match bytes {
        bytes if bytes < 10_000.0 => format!("{bytes:.0} B"),
        bytes if bytes < 1_000_000.0 => format!("{:.0} KB", bytes / 1_000.0),
        bytes => format!("{:.1} MB", bytes / 1_000_000.0),
    }
}

/// Join cells to a line of a table.
pub fn row(cells: &[String]) -> String {
    format!("| {} |\n", cells.join(" | "))
}
