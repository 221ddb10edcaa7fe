//! Measure tickets and crash evidence, whose tables are bounded and don't depend on the fleet.

use oleanderpass_quarantine::evidence::CrashId;
use oleanderpass_quarantine::evidence::Evidence;
use oleanderpass_quarantine::evidence::Signature;
use oleanderpass_quarantine::table::Quarantine;
use oleanderpass_ticket::FleetKey;
use oleanderpass_ticket::ledger::Ledger;
use oleanderpass_ticket::ticket::Scope;
use oleanderpass_ticket::ticket::Ticket;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::Incarnation;
use oleanderpass_types::outcome::Outcome;

use super::gauge::memory;
use super::gauge::memory_apart;
use super::gauge::row;
use super::gauge::show_bytes;
use super::gauge::show_time;
use super::gauge::time;

const NOW: Timestamp = Timestamp::from_millis(100_000);

/// Used tickets of the measured ledger, without kept bodies.
const TICKETS: u64 = 4_000;

/// Crashes of the measured table, with 4 signatures each.
const CRASHES: u64 = 1_000;

/// Measure both.
///
/// # Errors
///
/// Return an error when an id is malformed or memory can't be read.
pub fn table() -> eyre::Result<String> {
    let scope = scope()?;
    let key = FleetKey([7; 32]);
    let mut ledger = Ledger::new("entry-001".parse()?, Incarnation::new(1));
    let issued = time(2_000, || ledger.issue(NOW, scope.clone()).encode(&key));
    let text = ledger.issue(NOW, scope.clone()).encode(&key);
    let checked = time(2_000, || Ticket::decode(&text, &key).is_ok());
    let ledger_bytes = memory_apart("ledger", 0)?;
    let mut quarantine = build_quarantine()?;
    let ruled = time(20_000, || quarantine.rule(NOW, Signature(17)));
    let ticked = time(200, || quarantine.tick(NOW));
    let quarantine_bytes = memory_apart("quarantine", 0)?;
    let mut lines = String::from("| Measured | Figure |\n|---|---|\n");
    for (name, figure) in [
        ("Issue and sign a ticket".into(), show_time(issued)),
        ("Check a ticket".into(), show_time(checked)),
        (
            format!("Ledger with {TICKETS} used tickets, no bodies"),
            show_bytes(ledger_bytes),
        ),
        ("Rule for a signature".into(), show_time(ruled)),
        (
            format!("Tick of the quarantine with {CRASHES} crashes"),
            show_time(ticked),
        ),
        (
            format!("Quarantine with {CRASHES} crashes"),
            show_bytes(quarantine_bytes),
        ),
    ] {
        lines += &row(&[name, figure]);
    }
    Ok(lines)
}

fn scope() -> eyre::Result<Scope> {
    Ok(Scope {
        environment: "trial".into(),
        organisation: "organisation-1".parse()?,
        caller: "caller-1".parse()?,
        route: "charge".parse()?,
    })
}

/// Measure the memory of a ledger.
///
/// # Errors
///
/// Return an error when an id is malformed or memory can't be read.
pub fn ledger_memory() -> eyre::Result<f64> {
    memory(40, build_ledger)
}

/// Measure the memory of a quarantine.
///
/// # Errors
///
/// Return an error when an id is malformed or memory can't be read.
pub fn quarantine_memory() -> eyre::Result<f64> {
    memory(40, build_quarantine)
}

fn build_ledger() -> eyre::Result<Ledger> {
    let scope = scope()?;
    let mut ledger = Ledger::new("entry-001".parse()?, Incarnation::new(1));
    for number in 0..TICKETS {
        let mut scope = scope.clone();
        scope.organisation = format!("organisation-{}", number / 20).parse()?;
        let ticket = ledger.issue(NOW, scope);
        if ledger.begin_use(&ticket).is_ok() {
            ledger.end_use(NOW, ticket.number, Outcome::Completed, None);
        }
    }
    Ok(ledger)
}

fn build_quarantine() -> eyre::Result<Quarantine> {
    let mut quarantine = Quarantine::new();
    for number in 0..CRASHES {
        let evidence = Evidence {
            crash: CrashId {
                server: format!("engine-{number:05}").parse()?,
                incarnation: Incarnation::new(number),
            },
            signatures: (0..4).map(|index| Signature(number * 4 + index)).collect(),
            alone: false,
            age: Millis::ZERO,
        };
        quarantine.on_crash(NOW, &evidence);
    }
    Ok(quarantine)
}
