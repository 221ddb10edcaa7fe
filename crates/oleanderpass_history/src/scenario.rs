//! Run one seeded scenario and check its history.

use std::collections::BTreeMap;
use std::sync::Arc;

use eyre::OptionExt;
use oleanderpass_proto::environment;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use strum::IntoEnumIterator;

use crate::check::Violation;
use crate::check::check;
use crate::fault::Fault;
use crate::fault::FaultStep;
use crate::fault::Trigger;
use crate::record::History;
use crate::record::Record;
use crate::world::World;

/// The environment of all runs.
const DOCUMENT: &str = r#"
generation: 1
environment: {name: trial, zones: [north, south]}
defaults: {timeout_ms: 30000, max_timeout_ms: 60000}
services:
  - {id: skald, kind: engine, memory_tokens: 100000, prefill_tokens_per_s: 1000000, token_ms: 50, concurrent_requests: 4, checks_fencing: true, checks_deadline: true}
  - {id: ledger, kind: plain, concurrent_requests: 4, checks_deadline: true}
models:
  - {id: saga, version: v1, service: skald, max_prompt_tokens: 1000000}
routes:
  - {id: charge, service: ledger, idempotent: false}
  - {id: book, service: ledger, idempotent: false, ticket: optional}
organisations:
  - id: acme
    class: large
    models: [saga]
    routes: [charge, book]
    callers:
      - {id: till, key_sha256: "0101010101010101010101010101010101010101010101010101010101010101"}
"#;

/// The beginning of the callers' work, in milliseconds. Instances have their document by then.
const WORK_BEGINS: u64 = 4_000;

/// The time over which callers begin new operations, in milliseconds.
const WORK_TIME: u64 = 10_000;

/// The latest end of a run, in milliseconds: the last operation begins at 14 s; its resends, faults
/// of 20 s, a shutdown of 45 s and the limits of the requirements end before.
const END: u64 = 90_000;

/// The time that a run goes on after the last fault, call and shutdown ended, in milliseconds. It is
/// longer than the time in which a promotion must be in force everywhere.
const QUIET_TIME: u64 = 9_000;

/// The time between two looks at whether a run is quiet, in milliseconds.
const LOOK: u64 = 1_000;

/// Mechanisms to leave out, to show that the check fails without them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Options {
    /// Callers use the route that needs no ticket.
    pub without_tickets: bool,
    /// Request tasks accept events of any stream in any order.
    pub without_stream_ids: bool,
}

/// A run with the verdict on it.
#[derive(Clone, Debug)]
pub struct Run {
    /// The seed.
    pub seed: u64,
    /// The history.
    pub history: History,
    /// The faults that hit something, by step, and how often.
    pub hits: BTreeMap<(Fault, FaultStep), u32>,
    /// The injected faults with their time in milliseconds.
    pub trace: Vec<(u64, String)>,
    /// What the checker found.
    pub violations: Vec<Violation>,
}

/// Return the faults of a seed. Consecutive seeds go through all pairs of fault and step; each pass
/// injects the pair alone, then the fault twice, then the pair together with another one.
pub fn triggers(seed: u64) -> Vec<Trigger> {
    let steps = FaultStep::iter().filter(|step| step.never().is_none());
    let pairs: Vec<(Fault, FaultStep)> = steps
        .flat_map(|step| Fault::iter().map(move |fault| (fault, step)))
        .collect();
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let count = pairs.len() as u64;
    let (fault, step) = pairs[(seed % count) as usize];
    let occurrence = match step {
        FaultStep::Promotion => rng.random_range(1..3),
        FaultStep::Forward | FaultStep::Ticket => rng.random_range(1..4),
        FaultStep::Queue | FaultStep::Hold | FaultStep::Order | FaultStep::Shutdown => 1,
        _ => rng.random_range(1..10),
    };
    // The steps of a backend server are mostly those of idempotent requests.
    let at_server = matches!(
        step,
        FaultStep::Connect | FaultStep::Dispatch | FaultStep::Start | FaultStep::Stream
    );
    let first = Trigger {
        fault,
        step,
        once_only: at_server && rng.random_bool(0.5),
        occurrence,
    };
    let mut triggers = vec![first];
    match (seed / count) % 3 {
        0 => {}
        1 => triggers.push(Trigger {
            occurrence: occurrence + 1,
            ..first
        }),
        _ => {
            let (fault, step) = pairs[rng.random_range(0..pairs.len())];
            let occurrence = rng.random_range(1..4);
            triggers.push(Trigger {
                fault,
                step,
                once_only: false,
                occurrence,
            });
        }
    }
    triggers
}

/// Run the scenario of a seed.
///
/// # Errors
///
/// Return an error when the built-in document or the built-in names are invalid.
pub fn run(seed: u64, options: Options) -> eyre::Result<Run> {
    let document: environment::Document = serde_saphyr::from_str(DOCUMENT)?;
    let triggers = triggers(seed);
    let stops = triggers.iter().any(|t| t.step == FaultStep::Shutdown);
    let mut world = World::new(seed, options, Arc::new(document), triggers)
        .ok_or_eyre("an id of the scenario is invalid")?;
    for node in 0..world.nodes.len() {
        let wait = world.rng.random_range(0..300);
        world.after(wait, move |w| w.boot(node));
    }
    for _ in 0..world.rng.random_range(12..20) {
        let at = WORK_BEGINS + world.rng.random_range(0..WORK_TIME);
        let once = world.rng.random_bool(0.5);
        world.after(at, move |w| w.new_operation(once, false));
    }
    // A burst fills the servers, so that requests wait.
    let burst = WORK_BEGINS + world.rng.random_range(0..WORK_TIME);
    for _ in 0..24 {
        let once = world.rng.random_bool(0.25);
        world.after(burst, move |w| w.new_operation(once, false));
    }
    let promotion = WORK_BEGINS + world.rng.random_range(0..WORK_TIME);
    world.after(promotion, |w| w.publish(1));
    if stops || world.rng.random_bool(0.2) {
        let at = WORK_BEGINS + world.rng.random_range(0..WORK_TIME);
        let node = world.rng.random_range(0..world.nodes.len());
        world.after(at, move |w| {
            w.stop(node);
        });
    }
    let mut quiet_since = None;
    while world.now < END && quiet_since.is_none_or(|since| world.now < since + QUIET_TIME) {
        world.run_until(world.now + LOOK);
        let quiet = world.now > WORK_BEGINS + WORK_TIME && world.is_quiet();
        quiet_since = quiet.then(|| quiet_since.unwrap_or(world.now));
    }
    for index in 0..world.servers.len() {
        let record = Record::MemoryAtEnd {
            server: world.servers[index].listed.id.clone(),
            used: world.servers[index].memory_used(),
        };
        world.record(record);
    }
    let violations = check(&world.history);
    Ok(Run {
        seed,
        history: world.history,
        hits: world.hits,
        trace: world.trace,
        violations,
    })
}
