//! Measure time and memory, and format the results as rows of Markdown tables.

use std::env;
use std::fs;
use std::hint::black_box;
use std::process::Command;
use std::time::Instant;

use eyre::WrapErr;
use eyre::eyre;

/// The number of batches in a time measurement, whose median is the result.
const BATCH_COUNT: usize = 7;

/// The size of a memory page, the unit of `/proc/self/statm`.
const PAGE_BYTES: u64 = 4_096;

/// Return the median over several batches of the mean time of a call, in nanoseconds. Each batch
/// makes `calls` calls.
pub fn median_time_ns<T>(calls: u32, mut call: impl FnMut() -> T) -> f64 {
    let mut batches: Vec<f64> = (0..BATCH_COUNT)
        .map(|_| {
            let start = Instant::now();
            for _ in 0..calls {
                black_box(call());
            }
            start.elapsed().as_nanos() as f64 / f64::from(calls)
        })
        .collect();
    batches.sort_by(f64::total_cmp);
    batches[BATCH_COUNT / 2]
}

/// Return the mean increase of resident memory by each of `copies` values after a first one, in
/// bytes.
///
/// The first value isn't counted, because building it also allocates temporary heap memory, which
/// building the next ones reuses.
///
/// # Errors
///
/// Return an error when a value can't be built or the process's memory can't be read.
pub fn memory_per_value<T>(
    copies: usize,
    mut build: impl FnMut() -> eyre::Result<T>,
) -> eyre::Result<f64> {
    let mut values = Vec::with_capacity(copies + 1);
    values.push(build()?);
    let before_bytes = resident_bytes()?;
    for _ in 0..copies {
        values.push(build()?);
    }
    let after_bytes = resident_bytes()?;
    black_box(&values);
    Ok(after_bytes.saturating_sub(before_bytes) as f64 / copies as f64)
}

/// Return the memory of a part at the fleet size with index `size_index`, in bytes, measured in a
/// child process whose heap holds nothing else.
///
/// # Errors
///
/// Return an error when the child process can't be started or doesn't print a number.
pub fn memory_in_child_process(part: &str, size_index: usize) -> eyre::Result<f64> {
    let program = env::current_exe().wrap_err("cannot find the path of this program")?;
    let output = Command::new(program)
        .args(["memory", part, &size_index.to_string()])
        .output()
        .wrap_err("cannot start this program as a child process")?;
    let text = String::from_utf8_lossy(&output.stdout);
    text.trim()
        .parse()
        .wrap_err_with(|| format!("the child process printed no memory size for `{part}`: {text}"))
}

fn resident_bytes() -> eyre::Result<u64> {
    let text = fs::read_to_string("/proc/self/statm").wrap_err("cannot read /proc/self/statm")?;
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    Ok(
        pages.ok_or_else(|| eyre!("cannot parse the resident pages in /proc/self/statm"))?
            * PAGE_BYTES,
    )
}

/// Format a time with a unit that suits its size.
pub fn format_time(ns: f64) -> String {
    match ns {
        ns if ns < 1_000.0 => format!("{ns:.0} ns"),
        ns if ns < 1_000_000.0 => format!("{:.1} µs", ns / 1_000.0),
        ns => format!("{:.2} ms", ns / 1_000_000.0),
    }
}

/// Format a memory size with a unit that suits it.
pub fn format_bytes(bytes: f64) -> String {
    match bytes {
        bytes if bytes < 10_000.0 => format!("{bytes:.0} B"),
        bytes if bytes < 1_000_000.0 => format!("{:.0} KB", bytes / 1_000.0),
        bytes => format!("{:.1} MB", bytes / 1_000_000.0),
    }
}

/// Format cells as a row of a Markdown table.
pub fn table_row(cells: &[String]) -> String {
    format!("| {} |\n", cells.join(" | "))
}
