//! Run many scenarios on a few threads.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;

use eyre::eyre;

use crate::engine::EngineFigures;
use crate::fleet::play;
use crate::measure::Measures;
use crate::scenario::Scenario;

/// Threads for the runs: half of a usual development machine.
const THREADS: usize = 4;

/// Play each scenario with all seeds and return the measures over the seeds, in the given order.
///
/// # Errors
///
/// Return the first error of a run.
pub fn play_all(scenarios: &[Scenario], seeds: &[u64]) -> eyre::Result<Vec<Measures>> {
    let next = AtomicUsize::new(0);
    let work = || -> eyre::Result<Vec<(usize, Measures)>> {
        let mut done = Vec::new();
        loop {
            let index = next.fetch_add(1, Ordering::Relaxed);
            let Some(scenario) = scenarios.get(index) else {
                return Ok(done);
            };
            done.push((index, play_seeds(*scenario, seeds)?));
        }
    };
    let mut all = Vec::new();
    thread::scope(|scope| -> eyre::Result<()> {
        let handles: Vec<_> = (0..THREADS).map(|_| scope.spawn(work)).collect();
        for handle in handles {
            all.extend(handle.join().map_err(|_| eyre!("a run panicked"))??);
        }
        Ok(())
    })?;
    all.sort_by_key(|(index, _)| *index);
    Ok(all.into_iter().map(|(_, measures)| measures).collect())
}

fn play_seeds(scenario: Scenario, seeds: &[u64]) -> eyre::Result<Measures> {
    let mut measures = Measures::new()?;
    for seed in seeds {
        measures.add(&play(
            Scenario {
                seed: *seed,
                ..scenario
            },
            &EngineFigures::default(),
        )?)?;
    }
    Ok(measures)
}
