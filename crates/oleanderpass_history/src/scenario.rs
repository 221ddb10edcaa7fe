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
use crate::record::OperationNumber;
use crate::record::Record;
use crate::simulation::Simulation;

/// The environment document with which every run begins.
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

/// The earliest time at which callers begin operations. Every instance has its document by then.
const FIRST_OPERATION_MS: u64 = 4_000;

/// The time during which callers begin new operations.
const OPERATION_WINDOW_MS: u64 = 10_000;

/// The latest end of a run. The last operation begins at 14 s at the latest; its resends, faults of
/// up to 20 s, a shutdown of up to 45 s and the limits of the requirements all end before.
const MAX_RUN_MS: u64 = 90_000;

/// How long a run goes on after the last fault, call and shutdown ended. It is longer than
/// [`PROMOTION_LIMIT`](crate::check::PROMOTION_LIMIT), so that the check covers every promotion.
const QUIET_TIME_MS: u64 = 9_000;

/// The interval at which a run is checked for quiet.
const QUIET_CHECK_INTERVAL_MS: u64 = 1_000;

/// Mechanisms to disable, to show that the check fails without them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Options {
    /// Callers use a route on which tickets are optional, and send none.
    pub without_tickets: bool,
    /// Attempts accept the events of any stream, in any order.
    pub without_stream_ids: bool,
}

/// A finished run and the result of its check.
#[derive(Clone, Debug)]
pub struct Run {
    /// The seed that determines the whole run.
    pub seed: u64,
    /// What happened.
    pub history: History,
    /// How often each fault was injected at each step and had something to affect.
    pub hits: BTreeMap<(Fault, FaultStep), u32>,
    /// A description of each injected fault, with its time in milliseconds.
    pub trace: Vec<(u64, String)>,
    /// The most backend servers that one request crashed, counting every incarnation.
    pub max_crashes_by_one_request: u64,
    /// The violated requirements; empty when the check passed.
    pub violations: Vec<Violation>,
}

/// Return the faults to inject for a seed.
///
/// Consecutive seeds go through all pairs of fault and step. The first pass over all pairs injects
/// each pair once, the second one at two consecutive occurrences of the step, and the third one
/// together with a random other pair; then the three passes repeat.
pub fn triggers(seed: u64) -> Vec<Trigger> {
    let steps = FaultStep::iter().filter(|step| step.unreachable_reason().is_none());
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
    // Most requests that reach a backend server are idempotent, so half of the triggers count only
    // the others.
    let is_server_step = matches!(
        step,
        FaultStep::Connect | FaultStep::Dispatch | FaultStep::Start | FaultStep::Stream
    );
    let first = Trigger {
        fault,
        step,
        non_idempotent_only: is_server_step && rng.random_bool(0.5),
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
                non_idempotent_only: false,
                occurrence,
            });
        }
    }
    triggers
}

/// Run the scenario of a seed and check its history.
///
/// # Errors
///
/// Return an error when the built-in document or a built-in id is invalid.
pub fn run(seed: u64, options: Options) -> eyre::Result<Run> {
    let document: environment::Document = serde_saphyr::from_str(DOCUMENT)?;
    let triggers = triggers(seed);
    let has_shutdown_fault = triggers.iter().any(|t| t.step == FaultStep::Shutdown);
    let mut sim = Simulation::new(seed, options, Arc::new(document), triggers)
        .ok_or_eyre("an id of the scenario is invalid")?;
    for node in 0..sim.nodes.len() {
        let wait = sim.rng.random_range(0..300);
        sim.schedule(wait, move |sim| sim.start_node(node));
    }
    for _ in 0..sim.rng.random_range(12..20) {
        let at = FIRST_OPERATION_MS + sim.rng.random_range(0..OPERATION_WINDOW_MS);
        let non_idempotent = sim.rng.random_bool(0.5);
        sim.schedule(at, move |sim| sim.new_operation(non_idempotent, false));
    }
    // A burst of requests fills the backend servers, so that some of them queue.
    let burst_at = FIRST_OPERATION_MS + sim.rng.random_range(0..OPERATION_WINDOW_MS);
    for _ in 0..24 {
        let non_idempotent = sim.rng.random_bool(0.25);
        sim.schedule(burst_at, move |sim| {
            sim.new_operation(non_idempotent, false)
        });
    }
    let promotion_at = FIRST_OPERATION_MS + sim.rng.random_range(0..OPERATION_WINDOW_MS);
    sim.schedule(promotion_at, |sim| sim.publish_document(1));
    if has_shutdown_fault || sim.rng.random_bool(0.2) {
        let at = FIRST_OPERATION_MS + sim.rng.random_range(0..OPERATION_WINDOW_MS);
        let node = sim.rng.random_range(0..sim.nodes.len());
        sim.schedule(at, move |sim| {
            sim.begin_shutdown(node);
        });
    }
    let mut quiet_since = None;
    while sim.now < MAX_RUN_MS && quiet_since.is_none_or(|since| sim.now < since + QUIET_TIME_MS) {
        sim.run_until(sim.now + QUIET_CHECK_INTERVAL_MS);
        let quiet = sim.now > FIRST_OPERATION_MS + OPERATION_WINDOW_MS && sim.is_quiet();
        quiet_since = quiet.then(|| quiet_since.unwrap_or(sim.now));
    }
    for index in 0..sim.servers.len() {
        let record = Record::MemoryAtEnd {
            server: sim.servers[index].listed.id.clone(),
            used_tokens: sim.servers[index].memory_used(),
        };
        sim.record(record);
    }
    let violations = check(&sim.history);
    let mut crashes: BTreeMap<OperationNumber, u64> = BTreeMap::new();
    for entry in &sim.history.entries {
        if let Record::ExecutionStarted { operation, .. } = &entry.record
            && sim.operations[operation.0 as usize].crashes_servers
        {
            *crashes.entry(*operation).or_default() += 1;
        }
    }
    Ok(Run {
        seed,
        history: sim.history,
        hits: sim.hits,
        trace: sim.trace,
        max_crashes_by_one_request: crashes.into_values().max().unwrap_or(0),
        violations,
    })
}
