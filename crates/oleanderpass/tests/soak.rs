//! Run real instances under random faults and check the promises from outside.
//!
//! CI runs the seeds in [`SEEDS`]. `OLEANDERPASS_SOAK=FIRST:COUNT` runs others by hand, and
//! `FIRST:COUNT:PARALLEL` more of them at the same time, each with three processes.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[path = "soak/check.rs"]
mod check;
#[path = "soak/faults.rs"]
mod faults;
#[path = "soak/fleet.rs"]
mod fleet;
#[path = "soak/proxy.rs"]
mod proxy;
#[path = "soak/run.rs"]
mod run;

/// The seeds of CI, and those that ever failed. 5, 7, 9, 10, 22, 28 and 29: the stand-in kept reserved
/// memory after its lease, which real engines don't, when an instance was killed or its release lost.
const SEEDS: [u64; 9] = [0, 1, 5, 7, 9, 10, 22, 28, 29];

/// The seeds that are played at the same time. Each takes about half a minute, mostly of waiting.
const PARALLEL: usize = 4;

#[test]
fn promises_hold_under_random_faults() {
    let mut parallel = PARALLEL;
    let seeds: Vec<u64> = match std::env::var("OLEANDERPASS_SOAK") {
        Ok(range) => {
            let parts: Vec<u64> = range.split(':').map(|part| part.parse().unwrap()).collect();
            if let Some(&at_once) = parts.get(2) {
                parallel = usize::try_from(at_once).unwrap();
            }
            (parts[0]..parts[0] + parts[1]).collect()
        }
        Err(_) => SEEDS.to_vec(),
    };
    let mut broken = Vec::new();
    for group in seeds.chunks(parallel) {
        let runs: Vec<_> = group
            .iter()
            .map(|&seed| (seed, std::thread::spawn(move || run::run(seed))))
            .collect();
        for (seed, run) in runs {
            let report = run.join().unwrap();
            println!("seed {seed}: {report}");
            let texts = report.broken.iter();
            broken.extend(texts.map(|text| format!("seed {seed}: {text}")));
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
