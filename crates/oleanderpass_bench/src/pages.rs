//! Print the results of the policy comparison and write them into pages and plots.

use std::fs;
use std::path::Path;

use eyre::WrapErr;
use eyre::eyre;
use hdrhistogram::Histogram;
use oleanderpass_routing::policy::Policy;
use oleanderpass_routing::policy::SplitOptions;
use strum::IntoEnumIterator;

use crate::engine::EngineParameters;
use crate::measures::BIN_WIDTH;
use crate::measures::BUCKET_NAMES;
use crate::measures::Measures;
use crate::plots;
use crate::plots::Labels;
use crate::plots::Series;
use crate::runs::simulate_all;
use crate::scenario::Condition;
use crate::scenario::Deployment;
use crate::scenario::FAULT_AT;
use crate::scenario::INSTANCE_SHARES;
use crate::scenario::INSTANCE_ZONES;
use crate::scenario::Scenario;
use crate::simulation::RequestEnd;
use crate::simulation::simulate;
use crate::trace::SECOND;
use crate::trace::select_index;

/// The loads at which the policies are compared.
const LOADS: [f64; 4] = [0.5, 0.7, 0.85, 1.0];

/// The load at which the goals of the comparison are measured.
const GOALS_LOAD: f64 = 0.7;

/// The seeds of the comparison, whose samples are pooled.
///
/// The split policy was developed on the seeds 11 to 13 and 31 to 38. Other seeds make sure that it
/// isn't fitted to the traces of the comparison.
pub const SEEDS: [u64; 5] = [41, 42, 43, 44, 45];

/// Return the compared policies with their names.
pub fn policies() -> Vec<(&'static str, Policy)> {
    let all = SplitOptions::default();
    vec![
        ("round robin", Policy::RoundRobin),
        ("least reported", Policy::LeastReported),
        ("two choices", Policy::TwoChoices),
        ("split", Policy::Split(all)),
    ]
}

/// Return the variants of the split policy with one feature switched off each, with their names.
pub fn ablations() -> Vec<(&'static str, Policy)> {
    let all = SplitOptions::default();
    vec![
        (
            "without affinity",
            Policy::Split(SplitOptions {
                affinity: false,
                ..all
            }),
        ),
        (
            "without long part",
            Policy::Split(SplitOptions {
                long_partition: false,
                ..all
            }),
        ),
        (
            "without priorities",
            Policy::Split(SplitOptions {
                priorities: false,
                ..all
            }),
        ),
        (
            "without aging",
            Policy::Split(SplitOptions {
                aging: false,
                ..all
            }),
        ),
        (
            "without local queue",
            Policy::Split(SplitOptions {
                local_queue: false,
                ..all
            }),
        ),
        (
            "without memory reserve",
            Policy::Split(SplitOptions {
                memory_reserve: false,
                ..all
            }),
        ),
    ]
}

/// Print the measures behind the goals of all policies and ablations, at 70% load without a fault.
///
/// # Errors
///
/// Return an error when a run fails.
pub fn print_goals(seeds: &[u64]) -> eyre::Result<()> {
    let named_policies: Vec<_> = policies().into_iter().chain(ablations()).collect();
    for deployment in Deployment::iter() {
        println!("{deployment}");
        let mut scenarios = Vec::new();
        for (_, policy) in &named_policies {
            for without_long_prompts in [false, true] {
                scenarios.push(Scenario {
                    policy: *policy,
                    deployment,
                    condition: Condition::Healthy,
                    load: 0.7,
                    without_long_prompts,
                    burst: false,
                    seed: 0,
                });
            }
        }
        let measured = simulate_all(&scenarios, seeds)?;
        for ((name, _), pair) in named_policies.iter().zip(measured.chunks(2)) {
            println!("  {name:20} {}", goals_line(&pair[0], &pair[1]));
        }
    }
    Ok(())
}

/// Print each long prompt that missed its deadline under the split policy at 70% load.
///
/// # Errors
///
/// Return an error when a run fails.
pub fn print_missed_long_prompts() -> eyre::Result<()> {
    for deployment in Deployment::iter() {
        for seed in SEEDS {
            let scenario = Scenario {
                policy: Policy::Split(SplitOptions::default()),
                deployment,
                condition: Condition::Healthy,
                load: 0.7,
                without_long_prompts: false,
                burst: false,
                seed,
            };
            let run = simulate(scenario, &EngineParameters::default())?;
            for (req, record) in run.trace.iter().zip(&run.records) {
                if req.is_long() && record.end != RequestEnd::Completed {
                    println!(
                        "{deployment} seed {seed} at {:.1} s: {} prompt tokens, {} output tokens, \
                         {} s to finish, zone {}, first token {:?} ms, {:?}",
                        req.arrival as f64 / SECOND as f64,
                        req.prompt_tokens,
                        req.output_tokens,
                        req.timeout / SECOND,
                        INSTANCE_ZONES[select_index(&INSTANCE_SHARES, req.balancer_draw)],
                        record.ttft.map(|ttft| ttft / 1_000),
                        record.end,
                    );
                }
            }
        }
    }
    Ok(())
}

/// Return the line of a policy with the measures behind the goals.
fn goals_line(with_long: &Measures, without_long: &Measures) -> String {
    let short_quantiles = |q: f64| {
        (
            with_long.short_ttft.value_at_quantile(q),
            without_long.short_ttft.value_at_quantile(q),
        )
    };
    let (p95, _) = short_quantiles(0.95);
    let (p99, p99_without_long) = short_quantiles(0.99);
    let buckets: Vec<String> = (0..4)
        .map(|bucket| {
            let histogram = &with_long.ttft[bucket];
            let quantile = |q| histogram.value_at_quantile(q);
            format!(
                "{} {}/{}/{}",
                BUCKET_NAMES[bucket],
                quantile(0.5),
                quantile(0.95),
                quantile(0.99)
            )
        })
        .collect();
    format!(
        "short p95 {p95} p99 {p99} (alone {p99_without_long}) slowdown {:.2} lost {}; long missed {}/{}; missed {} refused {} of {}; good {:.2}/s; hits {:.2}; {}",
        p99 as f64 / p99_without_long.max(1) as f64,
        with_long.short_without_first_token,
        with_long.long_missed,
        with_long.long_requests,
        with_long.missed,
        with_long.refused,
        with_long.requests,
        with_long.goodput(),
        with_long.hit_rate(),
        buckets.join(", "),
    )
}

/// Run the whole comparison, and write the measured sections of `routing.md` and the plots.
///
/// A pair of HTML comments marks each measured section. The text outside of them is kept.
///
/// # Errors
///
/// Return an error when a run fails or a file can't be read or written.
pub fn write_comparison(docs: &Path) -> eyre::Result<()> {
    let path = docs.join("routing.md");
    let mut page = fs::read_to_string(&path).wrap_err_with(|| path.display().to_string())?;
    fs::create_dir_all(docs.join("plots"))?;
    let comparison = compare()?;
    page = replace_section(&page, "goals", &goals_table(&comparison))?;
    for deployment in Deployment::iter() {
        let name = short_name(deployment);
        let table = comparison_table(&comparison, deployment);
        page = replace_section(&page, name, &table)?;
        page = replace_section(
            &page,
            &format!("{name} parts"),
            &ablation_table(deployment)?,
        )?;
        page = replace_section(
            &page,
            &format!("{name} burst"),
            &burst_table(docs, deployment)?,
        )?;
        draw_loads(docs, &comparison, deployment)?;
    }
    fs::write(&path, page).wrap_err_with(|| path.display().to_string())
}

/// Replace measured sections of a page, given by name and new text.
///
/// # Errors
///
/// Return an error when the file can't be read or written, or lacks a section.
pub fn replace_sections(path: &Path, sections: &[(&str, String)]) -> eyre::Result<()> {
    let mut page = fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?;
    for (name, text) in sections {
        page = replace_section(&page, name, text)?;
    }
    fs::write(path, page).wrap_err_with(|| path.display().to_string())
}

/// Return the page with new text between the two comments that mark a section.
fn replace_section(page: &str, name: &str, text: &str) -> eyre::Result<String> {
    let begin = format!("<!-- measured: {name} -->\n");
    let end = format!("<!-- end: {name} -->");
    let outside = page
        .split_once(&begin)
        .and_then(|(head, rest)| Some((head, rest.split_once(&end)?.1)));
    let (head, tail) = outside.ok_or_else(|| eyre!("the page has no measured section `{name}`"))?;
    Ok(format!("{head}{begin}\n{text}\n{end}{tail}"))
}

/// Return the name in section names, headings and file names.
fn short_name(deployment: Deployment) -> &'static str {
    match deployment {
        Deployment::Skald => "skald",
        Deployment::Lapping => "lapping-llm",
    }
}

/// The measures of one policy at one load and under one condition, from the trace with long prompts
/// and from the same trace without them.
struct Cell {
    name: &'static str,
    deployment: Deployment,
    condition: Condition,
    load: f64,
    with_long: Measures,
    without_long: Measures,
}

impl Cell {
    /// Return the 99th percentile of the TTFT of short requests as a multiple of its value without
    /// long prompts.
    fn slowdown(&self) -> f64 {
        let p99 = |measures: &Measures| measures.short_ttft.value_at_quantile(0.99).max(1) as f64;
        p99(&self.with_long) / p99(&self.without_long)
    }
}

/// Simulate all policies in all deployments, under all conditions and at all loads.
fn compare() -> eyre::Result<Vec<Cell>> {
    let mut cells = Vec::new();
    let mut scenarios = Vec::new();
    for deployment in Deployment::iter() {
        for condition in Condition::iter() {
            for load in LOADS {
                for (name, policy) in policies() {
                    cells.push((name, deployment, condition, load));
                    let pair = [false, true].map(|without_long_prompts| Scenario {
                        policy,
                        deployment,
                        condition,
                        load,
                        without_long_prompts,
                        burst: false,
                        seed: 0,
                    });
                    scenarios.extend(pair);
                }
            }
        }
    }
    let mut measured = simulate_all(&scenarios, &SEEDS)?.into_iter();
    let mut result = Vec::new();
    for (name, deployment, condition, load) in cells {
        let (Some(with_long), Some(without_long)) = (measured.next(), measured.next()) else {
            return Err(eyre!("the measures of a scenario are missing"));
        };
        result.push(Cell {
            name,
            deployment,
            condition,
            load,
            with_long,
            without_long,
        });
    }
    Ok(result)
}

/// Format a number of milliseconds as seconds, without the unit.
fn format_seconds(ms: u64) -> String {
    format!("{:.2}", ms as f64 / 1_000.0)
}

/// Format the quantiles 0.5, 0.95 and 0.99 of a histogram of milliseconds, in seconds.
fn format_quantiles(histogram: &Histogram<u64>) -> String {
    [0.5, 0.95, 0.99]
        .map(|q| format_seconds(histogram.value_at_quantile(q)))
        .join(" / ")
}

fn goals_table(cells: &[Cell]) -> String {
    let mut text = String::from(
        "| Deployment | Policy | Slowdown of short prompts | p95 TTFT of short prompts, s | \
         Short prompts without a first token | Long prompts that missed their deadline |\n\
         |---|---|---|---|---|---|\n",
    );
    let is_selected =
        |cell: &&Cell| cell.condition == Condition::Healthy && cell.load == GOALS_LOAD;
    for cell in cells.iter().filter(is_selected) {
        text += &format!(
            "| {} | {} | {:.2} | {} | {} of {} | {} of {} |\n",
            cell.deployment,
            cell.name,
            cell.slowdown(),
            format_seconds(cell.with_long.short_ttft.value_at_quantile(0.95)),
            cell.with_long.short_without_first_token,
            cell.with_long.short_ttft.len() + cell.with_long.short_without_first_token,
            cell.with_long.long_missed,
            cell.with_long.long_requests,
        );
    }
    text
}

fn comparison_table(cells: &[Cell], deployment: Deployment) -> String {
    let mut text = String::new();
    for condition in Condition::iter() {
        text += &format!("\n#### {}: {condition}\n\n", short_name(deployment));
        text += "| Load | Policy |";
        for name in BUCKET_NAMES {
            text += &format!(" TTFT {name} |");
        }
        text += " Slowdown | Prefix hits | Long missed | All missed | Goodput, 1/s |\n";
        text += "|---|---|---|---|---|---|---|---|---|---|---|\n";
        let is_selected =
            |cell: &&Cell| cell.deployment == deployment && cell.condition == condition;
        for cell in cells.iter().filter(is_selected) {
            text += &format!("| {:.0}% | {} |", cell.load * 100.0, cell.name);
            for histogram in &cell.with_long.ttft {
                text += &format!(" {} |", format_quantiles(histogram));
            }
            let with_long = &cell.with_long;
            text += &format!(
                " {:.2} | {:.0}% | {:.1}% | {:.1}% | {:.2} |\n",
                cell.slowdown(),
                with_long.hit_rate() * 100.0,
                with_long.long_missed as f64 * 100.0 / with_long.long_requests.max(1) as f64,
                with_long.missed as f64 * 100.0 / with_long.requests.max(1) as f64,
                with_long.goodput(),
            );
        }
    }
    text
}

/// Measure the split policy with all features and with each one switched off, at the load of the
/// goals.
fn ablation_table(deployment: Deployment) -> eyre::Result<String> {
    let split = ("all parts", Policy::Split(SplitOptions::default()));
    let named_policies: Vec<_> = std::iter::once(split).chain(ablations()).collect();
    let scenario = |policy: Policy, condition, without_long_prompts| Scenario {
        policy,
        deployment,
        condition,
        load: GOALS_LOAD,
        without_long_prompts,
        burst: false,
        seed: 0,
    };
    let conditions = [
        Condition::Healthy,
        Condition::LateReports,
        Condition::ZoneCut,
    ];
    let mut text = String::from(
        "| Condition | Split policy | Slowdown | TTFT of short prompts, s | Prefix hits | \
         Long missed | All missed | Goodput, 1/s |\n|---|---|---|---|---|---|---|---|\n",
    );
    for condition in conditions {
        let pair = |(_, policy): &(&str, Policy)| {
            [false, true].map(|without_long| scenario(*policy, condition, without_long))
        };
        let scenarios: Vec<Scenario> = named_policies.iter().flat_map(pair).collect();
        let measured = simulate_all(&scenarios, &SEEDS)?;
        for ((name, _), pair) in named_policies.iter().zip(measured.chunks(2)) {
            let (with_long, without_long) = (&pair[0], &pair[1]);
            let p99 =
                |measures: &Measures| measures.short_ttft.value_at_quantile(0.99).max(1) as f64;
            text += &format!(
                "| {condition} | {name} | {:.2} | {} | {:.0}% | {} of {} | {} of {} | {:.2} |\n",
                p99(with_long) / p99(without_long),
                format_quantiles(&with_long.short_ttft),
                with_long.hit_rate() * 100.0,
                with_long.long_missed,
                with_long.long_requests,
                with_long.missed,
                with_long.requests,
                with_long.goodput(),
            );
        }
    }
    Ok(text)
}

/// Measure a burst of twice the load under each policy, draw the plot and return the table.
fn burst_table(docs: &Path, deployment: Deployment) -> eyre::Result<String> {
    let scenario = |(_, policy): &(&str, Policy)| Scenario {
        policy: *policy,
        deployment,
        condition: Condition::Healthy,
        load: GOALS_LOAD,
        without_long_prompts: false,
        burst: true,
        seed: 0,
    };
    let named_policies = policies();
    let scenarios: Vec<Scenario> = named_policies.iter().map(scenario).collect();
    let measured = simulate_all(&scenarios, &SEEDS)?;
    let mut text = String::from(
        "| Policy | Before: goodput of arrivals, 1/s | During | 30 s after | Time to return, s |\n\
         |---|---|---|---|---|\n",
    );
    let mut lines = Vec::new();
    for ((name, _), measures) in named_policies.iter().zip(&measured) {
        let burst = measures.burst_measures();
        let periods: Vec<String> = (0..3)
            .map(|period| {
                format!(
                    "{:.1} of {:.1}",
                    burst.goodput[period], burst.arrivals[period]
                )
            })
            .collect();
        let recovery = burst
            .recovery_s
            .map_or("not in the run".into(), |s| format!("{s:.0}"));
        text += &format!("| {name} | {} | {recovery} |\n", periods.join(" | "));
        let first = (FAULT_AT - 60 * SECOND) / BIN_WIDTH;
        let last = (FAULT_AT + 180 * SECOND) / BIN_WIDTH;
        let point = |bin: u64| {
            let (arrivals, good) = measures.bins[bin as usize];
            let at = (bin * BIN_WIDTH) as f64 / SECOND as f64;
            (at, 100.0 * good as f64 / arrivals.max(1) as f64)
        };
        lines.push(Series {
            name: (*name).into(),
            points: (first..last).map(point).collect(),
        });
    }
    let name = short_name(deployment);
    let labels = Labels {
        caption: &format!("{name}: good requests by arrival, burst of twice the load 300 to 330 s"),
        x: "time, s",
        y: "good, % of arrivals",
    };
    plots::draw(
        &docs.join(format!("plots/burst-{name}.svg")),
        labels,
        &lines,
    )?;
    Ok(text)
}

/// Draw the TTFT and the slowdown of short prompts by load, without a fault.
fn draw_loads(docs: &Path, cells: &[Cell], deployment: Deployment) -> eyre::Result<()> {
    let name = short_name(deployment);
    let lines = |value: &dyn Fn(&Cell) -> f64| -> Vec<Series> {
        let line = |(name, _): &(&'static str, Policy)| Series {
            name: (*name).into(),
            points: cells
                .iter()
                .filter(|cell| {
                    cell.name == *name
                        && cell.deployment == deployment
                        && cell.condition == Condition::Healthy
                })
                .map(|cell| (cell.load * 100.0, value(cell)))
                .collect(),
        };
        policies().iter().map(line).collect()
    };
    let ttft = lines(&|cell| cell.with_long.short_ttft.value_at_quantile(0.95) as f64 / 1_000.0);
    let labels = Labels {
        caption: &format!("{name}: p95 TTFT of short prompts"),
        x: "load, %",
        y: "s",
    };
    plots::draw(&docs.join(format!("plots/ttft-{name}.svg")), labels, &ttft)?;
    let labels = Labels {
        caption: &format!("{name}: slowdown of short prompts by long ones (p99)"),
        x: "load, %",
        y: "factor",
    };
    let slowdown = lines(&Cell::slowdown);
    plots::draw(
        &docs.join(format!("plots/slowdown-{name}.svg")),
        labels,
        &slowdown,
    )
}
