//! Guard against violations of the guarantees to callers and backend servers under random faults.
//!
//! Each seed runs three instance processes and checks them from outside. CI runs the seeds in
//! [`SEEDS`]. `OLEANDERPASS_SOAK=FIRST:COUNT` runs other seeds instead, [`PARALLEL`] at the same
//! time, and `OLEANDERPASS_SOAK=FIRST:COUNT:PARALLEL` sets that number too.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[path = "soak/back_ends.rs"]
mod back_ends;
#[path = "soak/check.rs"]
mod check;
#[path = "soak/faults.rs"]
mod faults;
#[path = "soak/fleet.rs"]
mod fleet;
#[path = "soak/notices.rs"]
mod notices;
#[path = "soak/proxy.rs"]
mod proxy;
#[path = "soak/run.rs"]
mod run;

/// The seeds that CI runs, which include all that have failed. 5, 7, 9, 10, 22, 28 and 29 failed
/// because the stand-in kept reserved memory after its lease, which real engines don't, when an
/// instance was killed or its release was lost.
const SEEDS: [u64; 9] = [0, 1, 5, 7, 9, 10, 22, 28, 29];

/// The number of seeds that run at the same time. Each takes about 30 s and mostly waits.
const PARALLEL: usize = 4;

#[test]
fn guarantees_hold_under_random_faults() {
    let mut parallel = PARALLEL;
    let seeds: Vec<u64> = match std::env::var("OLEANDERPASS_SOAK") {
        Ok(range) => {
            let parts: Vec<u64> = range.split(':').map(|part| part.parse().unwrap()).collect();
            if let Some(&count) = parts.get(2) {
                parallel = usize::try_from(count).unwrap();
            }
            (parts[0]..parts[0] + parts[1]).collect()
        }
        Err(_) => SEEDS.to_vec(),
    };
    let mut violations = Vec::new();
    for group in seeds.chunks(parallel) {
        let runs: Vec<_> = group
            .iter()
            .map(|&seed| (seed, std::thread::spawn(move || run::run(seed))))
            .collect();
        for (seed, run) in runs {
            let report = run.join().unwrap();
            println!("seed {seed}: {report}");
            let found = report.violations.iter();
            violations.extend(found.map(|violation| format!("seed {seed}: {violation}")));
        }
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}
