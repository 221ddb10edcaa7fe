//! Run many seeds and render the fault matrix.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::thread;

use oleanderpass_types::outcome::Outcome;
use strum::IntoEnumIterator;

use crate::fault::Fault;
use crate::fault::FaultStep;
use crate::record::Record;
use crate::scenario::Options;
use crate::scenario::Run;
use crate::scenario::run;

/// The results of many runs.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// The number of runs.
    pub runs: u64,
    /// The number of seeds in which a fault was injected at a step and had something to affect, and
    /// the check passed.
    pub passed: BTreeMap<(Fault, FaultStep), u64>,
    /// The number of seeds in which a fault was injected at a step and had something to affect, and
    /// the check failed.
    pub failed: BTreeMap<(Fault, FaultStep), u64>,
    /// The runs that failed the check, ordered by seed; each thread keeps at most
    /// [`MAX_KEPT_FAILURES_PER_THREAD`].
    pub failures: Vec<Run>,
    /// The number of events of each kind in all runs. They show that things happen in the runs: a
    /// check of runs in which nothing happens proves nothing.
    pub events: BTreeMap<&'static str, u64>,
    /// The most backend servers that one request crashed in a run.
    pub max_crashes_by_one_request: u64,
    /// The number of runs that failed the check.
    pub failed_runs: u64,
}

/// The number of failed runs that each thread keeps. A history takes about 100 KB.
pub const MAX_KEPT_FAILURES_PER_THREAD: usize = 20;

impl Summary {
    fn add_run(&mut self, run: Run) {
        self.runs += 1;
        self.max_crashes_by_one_request = self
            .max_crashes_by_one_request
            .max(run.max_crashes_by_one_request);
        for entry in &run.history.entries {
            if let Some(kind) = event_kind(&entry.record) {
                *self.events.entry(kind).or_default() += 1;
            }
        }
        if run.max_crashes_by_one_request > 3 {
            let kind = "run in which one request crashed more than 3 servers";
            *self.events.entry(kind).or_default() += 1;
        }
        let passed = run.violations.is_empty();
        let cells = if passed {
            &mut self.passed
        } else {
            &mut self.failed
        };
        for cell in run.hits.keys() {
            *cells.entry(*cell).or_default() += 1;
        }
        if !passed {
            self.failed_runs += 1;
            if self.failures.len() < MAX_KEPT_FAILURES_PER_THREAD {
                self.failures.push(run);
            }
        }
    }

    fn merge(&mut self, other: Summary) {
        self.runs += other.runs;
        self.failed_runs += other.failed_runs;
        self.max_crashes_by_one_request = self
            .max_crashes_by_one_request
            .max(other.max_crashes_by_one_request);
        for (kind, count) in other.events {
            *self.events.entry(kind).or_default() += count;
        }
        for (cell, count) in other.passed {
            *self.passed.entry(cell).or_default() += count;
        }
        for (cell, count) in other.failed {
            *self.failed.entry(cell).or_default() += count;
        }
        self.failures.extend(other.failures);
        self.failures.sort_by_key(|run| run.seed);
    }
}

/// Run `count` seeds, beginning with `first_seed`, on `threads` threads.
///
/// # Errors
///
/// Return an error if a run returns one or a thread panics.
pub fn run_seeds(
    first_seed: u64,
    count: u64,
    threads: u64,
    options: Options,
) -> eyre::Result<Summary> {
    let work = move |offset: u64| -> eyre::Result<Summary> {
        let mut summary = Summary::default();
        for seed in (first_seed..first_seed + count)
            .skip(offset as usize)
            .step_by(threads as usize)
        {
            summary.add_run(run(seed, options)?);
        }
        Ok(summary)
    };
    let mut summary = Summary::default();
    thread::scope(|scope| {
        let workers: Vec<_> = (0..threads).map(|n| scope.spawn(move || work(n))).collect();
        for worker in workers {
            let part = worker.join().map_err(|_| eyre::eyre!("a run panicked"))??;
            summary.merge(part);
        }
        Ok(summary)
    })
}

/// Render the fault matrix as a Markdown page.
///
/// # Errors
///
/// Never fails in practice: writing to a string doesn't.
pub fn render_page(summary: &Summary, first_seed: u64) -> Result<String, std::fmt::Error> {
    let mut page = String::from(INTRODUCTION);
    let last = first_seed + summary.runs.saturating_sub(1);
    writeln!(
        page,
        "Seeds {first_seed} to {last}: {} histories, {} rejected by the check.\n",
        summary.runs, summary.failed_runs
    )?;
    writeln!(page, "| Event | Number |\n|---|---|")?;
    for (kind, count) in &summary.events {
        writeln!(page, "| {kind} | {count} |")?;
    }
    let max_crashes = summary.max_crashes_by_one_request;
    writeln!(
        page,
        "| most servers crashed by one request | {max_crashes} |\n"
    )?;
    write!(page, "| Fault |")?;
    FaultStep::iter().try_for_each(|step| write!(page, " {step} |"))?;
    write!(page, "\n|---|")?;
    FaultStep::iter().try_for_each(|_| write!(page, "---|"))?;
    writeln!(page)?;
    for fault in Fault::iter() {
        write!(page, "| {fault} |")?;
        for step in FaultStep::iter() {
            write!(page, " {} |", cell(summary, fault, step))?;
        }
        writeln!(page)?;
    }
    writeln!(page, "\nNot applicable (n/a):\n")?;
    for step in FaultStep::iter() {
        if let Some(reason) = step.unreachable_reason() {
            writeln!(page, "- `{step}`: {reason}.")?;
        }
    }
    Ok(page)
}

const INTRODUCTION: &str = "# Fault matrix

Generated by `cargo test -p oleanderpass_history --test fault_matrix`; don't edit it.

Each row is a fault, each column the step at which it was injected into a scenario of
`oleanderpass_history` (4 instances in 2 zones, 4 engines, 2 workers). `proved N` means that the
fault hit something at that step in N seeds and the check of R1 to R8 passed in all of them.
`unproved` means that it was never hit there, `unproved: F of N failed` that the check failed. The
harness replaces sockets, encodings and the edges; it proves the decision core at its interfaces.

";

fn event_kind(record: &Record) -> Option<&'static str> {
    Some(match record {
        Record::Invoke {
            non_idempotent: true,
            ..
        } => "call, at most once",
        Record::Invoke {
            non_idempotent: false,
            ..
        } => "call, idempotent",
        Record::Answer { outcome, .. } => match outcome {
            Outcome::Completed => "answer: completed",
            Outcome::Failed => "answer: failed",
            Outcome::NotRun => "answer: not run",
            Outcome::Unknown => "answer: unknown",
        },
        Record::ConnectionLost(_) => "connection lost",
        Record::ExecutionStarted { .. } => "start at a backend server",
        Record::InstanceExited(_) => "planned stop completed",
        Record::HoldGranted { .. } => "hold taken",
        Record::OrderApplied { .. } => "order applied",
        Record::ServerCrashed(_) => "server crash or restart",
        _ => return None,
    })
}

fn cell(summary: &Summary, fault: Fault, step: FaultStep) -> String {
    if step.unreachable_reason().is_some() {
        return "n/a".to_owned();
    }
    let passed = summary.passed.get(&(fault, step)).copied().unwrap_or(0);
    let failed = summary.failed.get(&(fault, step)).copied().unwrap_or(0);
    match (passed, failed) {
        (0, 0) => "unproved".to_owned(),
        (passed, 0) => format!("proved {passed}"),
        (passed, failed) => format!("unproved: {failed} of {} failed", passed + failed),
    }
}
