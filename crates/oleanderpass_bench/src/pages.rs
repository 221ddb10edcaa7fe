//! Write the measured tables.

use std::fs;
use std::path::Path;

use eyre::WrapErr;
use eyre::eyre;
use hdrhistogram::Histogram;
use oleanderpass_routing::policy::Policy;
use oleanderpass_routing::policy::SplitOptions;
use strum::IntoEnumIterator;

use crate::engine::EngineFigures;
use crate::fleet::End;
use crate::fleet::play;
use crate::measure::BIN;
use crate::measure::BUCKET_NAMES;
use crate::measure::Measures;
use crate::plots;
use crate::plots::Labels;
use crate::plots::Series;
use crate::runs::play_all;
use crate::scenario::Condition;
use crate::scenario::Deployment;
use crate::scenario::FAULT_AT;
use crate::scenario::INSTANCE_SHARES;
use crate::scenario::INSTANCE_ZONES;
use crate::scenario::Scenario;
use crate::trace::SECOND;
use crate::trace::pick;

/// The loads of the comparison.
const LOADS: [f64; 4] = [0.5, 0.7, 0.85, 1.0];

/// The load of the goals.
const GOAL_LOAD: f64 = 0.7;

/// The seeds of the comparison; the samples of all are pooled.
///
/// The rounds of changes used the seeds 11 to 13 and 31 to 38, so these traces did not shape the
/// policy.
pub const SEEDS: [u64; 5] = [41, 42, 43, 44, 45];

/// Return the policies with their names and the parts that are switched off.
pub fn policies() -> Vec<(&'static str, Policy)> {
    let all = SplitOptions::default();
    vec![
        ("round robin", Policy::RoundRobin),
        ("least reported", Policy::LeastReported),
        ("two choices", Policy::TwoChoices),
        ("split", Policy::Split(all)),
    ]
}

/// Return the split policy with one part switched off.
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

/// Print the goals at 70% load in healthy fleets.
///
/// # Errors
///
/// Return an error when a run fails.
pub fn print_goals(seeds: &[u64]) -> eyre::Result<()> {
    let named: Vec<_> = policies().into_iter().chain(ablations()).collect();
    for deployment in Deployment::iter() {
        println!("{deployment}");
        let mut scenarios = Vec::new();
        for (_, policy) in &named {
            for without_long in [false, true] {
                scenarios.push(Scenario {
                    policy: *policy,
                    deployment,
                    condition: Condition::Healthy,
                    load: 0.7,
                    without_long,
                    burst: false,
                    seed: 0,
                });
            }
        }
        let measured = play_all(&scenarios, seeds)?;
        for ((name, _), pair) in named.iter().zip(measured.chunks(2)) {
            println!("  {name:20} {}", line(&pair[0], &pair[1]));
        }
    }
    Ok(())
}

/// Print each long prompt that missed its deadline under the split policy at 70% load.
///
/// # Errors
///
/// Return an error when a run fails.
pub fn print_missed() -> eyre::Result<()> {
    for deployment in Deployment::iter() {
        for seed in SEEDS {
            let scenario = Scenario {
                policy: Policy::Split(SplitOptions::default()),
                deployment,
                condition: Condition::Healthy,
                load: 0.7,
                without_long: false,
                burst: false,
                seed,
            };
            let played = play(scenario, &EngineFigures::default())?;
            for (req, record) in played.trace.iter().zip(&played.records) {
                if req.is_long() && record.end != End::Completed {
                    println!(
                        "{deployment} seed {seed} at {:.1} s: {} prompt tokens, {} output tokens, \
                         {} s to finish, zone {}, first token {:?} ms, {:?}",
                        req.at as f64 / SECOND as f64,
                        req.prompt,
                        req.output,
                        req.timeout / SECOND,
                        INSTANCE_ZONES[pick(&INSTANCE_SHARES, req.balance)],
                        record.ttft.map(|ttft| ttft / 1_000),
                        record.end,
                    );
                }
            }
        }
    }
    Ok(())
}

fn line(with: &Measures, without: &Measures) -> String {
    let p = |q: f64| {
        (
            with.short.value_at_quantile(q),
            without.short.value_at_quantile(q),
        )
    };
    let (p95, _) = p(0.95);
    let (p99, base) = p(0.99);
    let buckets: Vec<String> = (0..4)
        .map(|b| {
            let h = &with.ttft[b];
            let q = |q| h.value_at_quantile(q);
            format!("{} {}/{}/{}", BUCKET_NAMES[b], q(0.5), q(0.95), q(0.99))
        })
        .collect();
    format!(
        "short p95 {p95} p99 {p99} (alone {base}) slowdown {:.2} lost {}; long missed {}/{}; missed {} refused {} of {}; good {:.2}/s; hits {:.2}; {}",
        p99 as f64 / base.max(1) as f64,
        with.short_lost,
        with.long_missed,
        with.long,
        with.missed,
        with.refused,
        with.requests,
        with.goodput(),
        with.hit_rate(),
        buckets.join(", "),
    )
}

/// Run the whole comparison and write the measured parts of `routing.md` and the plots.
///
/// The page marks each measured part with a pair of comments; the text around them stays.
///
/// # Errors
///
/// Return an error when a run fails or a file can't be read or written.
pub fn write(docs: &Path) -> eyre::Result<()> {
    let path = docs.join("routing.md");
    let mut page = fs::read_to_string(&path).wrap_err_with(|| path.display().to_string())?;
    fs::create_dir_all(docs.join("plots"))?;
    let comparison = compare()?;
    page = replace(&page, "goals", &goals_table(&comparison))?;
    for deployment in Deployment::iter() {
        let name = short_name(deployment);
        let table = comparison_table(&comparison, deployment);
        page = replace(&page, name, &table)?;
        page = replace(&page, &format!("{name} parts"), &parts_table(deployment)?)?;
        page = replace(
            &page,
            &format!("{name} burst"),
            &burst_table(docs, deployment)?,
        )?;
        draw_loads(docs, &comparison, deployment)?;
    }
    fs::write(&path, page).wrap_err_with(|| path.display().to_string())
}

/// Rewrite measured parts of a page.
///
/// # Errors
///
/// Return an error when the file can't be read or written, or lacks a part.
pub fn rewrite(path: &Path, parts: &[(&str, String)]) -> eyre::Result<()> {
    let mut page = fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?;
    for (name, text) in parts {
        page = replace(&page, name, text)?;
    }
    fs::write(path, page).wrap_err_with(|| path.display().to_string())
}

fn replace(page: &str, name: &str, text: &str) -> eyre::Result<String> {
    let begin = format!("<!-- measured: {name} -->\n");
    let end = format!("<!-- end: {name} -->");
    let parts = page
        .split_once(&begin)
        .and_then(|(head, rest)| Some((head, rest.split_once(&end)?.1)));
    let (head, tail) = parts.ok_or_else(|| eyre!("the page has no part `{name}`"))?;
    Ok(format!("{head}{begin}\n{text}\n{end}{tail}"))
}

fn short_name(deployment: Deployment) -> &'static str {
    match deployment {
        Deployment::Skald => "skald",
        Deployment::Lapping => "lapping-llm",
    }
}

/// One policy under one load and condition, with and without long prompts.
struct Cell {
    name: &'static str,
    deployment: Deployment,
    condition: Condition,
    load: f64,
    with: Measures,
    without: Measures,
}

impl Cell {
    fn slowdown(&self) -> f64 {
        let p99 = |measures: &Measures| measures.short.value_at_quantile(0.99).max(1) as f64;
        p99(&self.with) / p99(&self.without)
    }
}

fn compare() -> eyre::Result<Vec<Cell>> {
    let mut cells = Vec::new();
    let mut scenarios = Vec::new();
    for deployment in Deployment::iter() {
        for condition in Condition::iter() {
            for load in LOADS {
                for (name, policy) in policies() {
                    cells.push((name, deployment, condition, load));
                    let pair = [false, true].map(|without_long| Scenario {
                        policy,
                        deployment,
                        condition,
                        load,
                        without_long,
                        burst: false,
                        seed: 0,
                    });
                    scenarios.extend(pair);
                }
            }
        }
    }
    let mut measured = play_all(&scenarios, &SEEDS)?.into_iter();
    let mut result = Vec::new();
    for (name, deployment, condition, load) in cells {
        let (Some(with), Some(without)) = (measured.next(), measured.next()) else {
            return Err(eyre!("a run is missing"));
        };
        result.push(Cell {
            name,
            deployment,
            condition,
            load,
            with,
            without,
        });
    }
    Ok(result)
}

fn seconds(ms: u64) -> String {
    format!("{:.2}", ms as f64 / 1_000.0)
}

fn quantiles(histogram: &Histogram<u64>) -> String {
    [0.5, 0.95, 0.99]
        .map(|q| seconds(histogram.value_at_quantile(q)))
        .join(" / ")
}

fn goals_table(cells: &[Cell]) -> String {
    let mut text = String::from(
        "| Deployment | Policy | Slowdown of short prompts | p95 TTFT of short prompts, s | \
         Short prompts without a first token | Long prompts that missed their deadline |\n\
         |---|---|---|---|---|---|\n",
    );
    let chosen = |cell: &&Cell| cell.condition == Condition::Healthy && cell.load == GOAL_LOAD;
    for cell in cells.iter().filter(chosen) {
        text += &format!(
            "| {} | {} | {:.2} | {} | {} of {} | {} of {} |\n",
            cell.deployment,
            cell.name,
            cell.slowdown(),
            seconds(cell.with.short.value_at_quantile(0.95)),
            cell.with.short_lost,
            cell.with.short.len() + cell.with.short_lost,
            cell.with.long_missed,
            cell.with.long,
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
        let chosen = |cell: &&Cell| cell.deployment == deployment && cell.condition == condition;
        for cell in cells.iter().filter(chosen) {
            text += &format!("| {:.0}% | {} |", cell.load * 100.0, cell.name);
            for histogram in &cell.with.ttft {
                text += &format!(" {} |", quantiles(histogram));
            }
            let with = &cell.with;
            text += &format!(
                " {:.2} | {:.0}% | {:.1}% | {:.1}% | {:.2} |\n",
                cell.slowdown(),
                with.hit_rate() * 100.0,
                with.long_missed as f64 * 100.0 / with.long.max(1) as f64,
                with.missed as f64 * 100.0 / with.requests.max(1) as f64,
                with.goodput(),
            );
        }
    }
    text
}

/// Measure the split policy with one part off after the other, at the load of the goals.
fn parts_table(deployment: Deployment) -> eyre::Result<String> {
    let split = ("all parts", Policy::Split(SplitOptions::default()));
    let named: Vec<_> = std::iter::once(split).chain(ablations()).collect();
    let scenario = |policy: Policy, condition, without_long| Scenario {
        policy,
        deployment,
        condition,
        load: GOAL_LOAD,
        without_long,
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
            [false, true].map(|without| scenario(*policy, condition, without))
        };
        let scenarios: Vec<Scenario> = named.iter().flat_map(pair).collect();
        let measured = play_all(&scenarios, &SEEDS)?;
        for ((name, _), pair) in named.iter().zip(measured.chunks(2)) {
            let (with, without) = (&pair[0], &pair[1]);
            let p99 = |measures: &Measures| measures.short.value_at_quantile(0.99).max(1) as f64;
            text += &format!(
                "| {condition} | {name} | {:.2} | {} | {:.0}% | {} of {} | {} of {} | {:.2} |\n",
                p99(with) / p99(without),
                quantiles(&with.short),
                with.hit_rate() * 100.0,
                with.long_missed,
                with.long,
                with.missed,
                with.requests,
                with.goodput(),
            );
        }
    }
    Ok(text)
}

fn burst_table(docs: &Path, deployment: Deployment) -> eyre::Result<String> {
    let scenario = |(_, policy): &(&str, Policy)| Scenario {
        policy: *policy,
        deployment,
        condition: Condition::Healthy,
        load: GOAL_LOAD,
        without_long: false,
        burst: true,
        seed: 0,
    };
    let named = policies();
    let scenarios: Vec<Scenario> = named.iter().map(scenario).collect();
    let measured = play_all(&scenarios, &SEEDS)?;
    let mut text = String::from(
        "| Policy | Before: goodput of arrivals, 1/s | During | 30 s after | Time to return, s |\n\
         |---|---|---|---|---|\n",
    );
    let mut lines = Vec::new();
    for ((name, _), measures) in named.iter().zip(&measured) {
        let burst = measures.burst();
        let parts: Vec<String> = (0..3)
            .map(|part| format!("{:.1} of {:.1}", burst.goodput[part], burst.arrivals[part]))
            .collect();
        let back = burst
            .return_s
            .map_or("not in the run".into(), |s| format!("{s:.0}"));
        text += &format!("| {name} | {} | {back} |\n", parts.join(" | "));
        let first = (FAULT_AT - 60 * SECOND) / BIN;
        let last = (FAULT_AT + 180 * SECOND) / BIN;
        let point = |bin: u64| {
            let (arrivals, good) = measures.bins[bin as usize];
            let at = (bin * BIN) as f64 / SECOND as f64;
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
    let ttft = lines(&|cell| cell.with.short.value_at_quantile(0.95) as f64 / 1_000.0);
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
