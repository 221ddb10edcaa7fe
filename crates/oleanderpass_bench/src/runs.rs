//! Simulate many scenarios on a few threads.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;

use eyre::eyre;

use crate::engine::EngineParameters;
use crate::measures::Measures;
use crate::scenario::Scenario;
use crate::simulation::simulate;

/// The number of threads: half of the cores of a usual development machine.
const THREAD_COUNT: usize = 4;

/// Simulate each scenario with all seeds and return its measures pooled over the seeds, in the
/// order of `scenarios`. The seed in a scenario is ignored.
///
/// # Errors
///
/// Return the first error of a run.
pub fn simulate_all(scenarios: &[Scenario], seeds: &[u64]) -> eyre::Result<Vec<Measures>> {
    let next_index = AtomicUsize::new(0);
    let run_next = || -> eyre::Result<Vec<(usize, Measures)>> {
        let mut results = Vec::new();
        loop {
            let index = next_index.fetch_add(1, Ordering::Relaxed);
            let Some(scenario) = scenarios.get(index) else {
                return Ok(results);
            };
            results.push((index, simulate_seeds(*scenario, seeds)?));
        }
    };
    let mut results = Vec::new();
    thread::scope(|scope| -> eyre::Result<()> {
        let handles: Vec<_> = (0..THREAD_COUNT).map(|_| scope.spawn(run_next)).collect();
        for handle in handles {
            results.extend(
                handle
                    .join()
                    .map_err(|_| eyre!("a simulation thread panicked"))??,
            );
        }
        Ok(())
    })?;
    results.sort_by_key(|(index, _)| *index);
    Ok(results.into_iter().map(|(_, measures)| measures).collect())
}

fn simulate_seeds(scenario: Scenario, seeds: &[u64]) -> eyre::Result<Measures> {
    let mut measures = Measures::new()?;
    for seed in seeds {
        measures.add_run(&simulate(
            Scenario {
                seed: *seed,
                ..scenario
            },
            &EngineParameters::default(),
        )?)?;
    }
    Ok(measures)
}
