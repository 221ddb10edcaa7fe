//! Measure tickets and crash evidence. Their tables are bounded, so the results don't depend on the
//! fleet size.

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

use super::measurement::format_bytes;
use super::measurement::format_time;
use super::measurement::median_time_ns;
use super::measurement::memory_in_child_process;
use super::measurement::memory_per_value;
use super::measurement::table_row;

const NOW: Timestamp = Timestamp::from_millis(100_000);

/// The number of used tickets in the measured ledger, which keeps no bodies of answers.
const TICKET_COUNT: u64 = 4_000;

/// The number of crashes in the measured quarantine, with 4 signatures each.
const CRASH_COUNT: u64 = 1_000;

/// Measure the ticket ledger and the quarantine, and return a table.
///
/// # Errors
///
/// Return an error when an id is malformed or memory can't be read.
pub fn table() -> eyre::Result<String> {
    let scope = scope()?;
    let key = FleetKey([7; 32]);
    let mut ledger = Ledger::new("entry-001".parse()?, Incarnation::new(1));
    let issue_ns = median_time_ns(2_000, || ledger.issue(NOW, scope.clone()).encode(&key));
    let ticket = ledger.issue(NOW, scope.clone()).encode(&key);
    let check_ns = median_time_ns(2_000, || Ticket::decode(&ticket, &key).is_ok());
    let ledger_bytes = memory_in_child_process("ledger", 0)?;
    let mut quarantine = build_quarantine()?;
    let rule_ns = median_time_ns(20_000, || quarantine.rule(NOW, Signature(17)));
    let tick_ns = median_time_ns(200, || quarantine.tick(NOW));
    let quarantine_bytes = memory_in_child_process("quarantine", 0)?;
    let mut text = String::from("| Measured | Figure |\n|---|---|\n");
    for (name, value) in [
        ("Issue and sign a ticket".into(), format_time(issue_ns)),
        ("Check a ticket".into(), format_time(check_ns)),
        (
            format!("Ledger with {TICKET_COUNT} used tickets, no bodies"),
            format_bytes(ledger_bytes),
        ),
        ("Rule for a signature".into(), format_time(rule_ns)),
        (
            format!("Tick of the quarantine with {CRASH_COUNT} crashes"),
            format_time(tick_ns),
        ),
        (
            format!("Quarantine with {CRASH_COUNT} crashes"),
            format_bytes(quarantine_bytes),
        ),
    ] {
        text += &table_row(&[name, value]);
    }
    Ok(text)
}

fn scope() -> eyre::Result<Scope> {
    Ok(Scope {
        environment: "trial".into(),
        organisation: "organisation-1".parse()?,
        caller: "caller-1".parse()?,
        route: "charge".parse()?,
    })
}

/// Return the memory of a ledger with used tickets, in bytes.
///
/// # Errors
///
/// Return an error when an id is malformed or memory can't be read.
pub fn ledger_memory() -> eyre::Result<f64> {
    memory_per_value(40, build_ledger)
}

/// Return the memory of a quarantine with crashes, in bytes.
///
/// # Errors
///
/// Return an error when an id is malformed or memory can't be read.
pub fn quarantine_memory() -> eyre::Result<f64> {
    memory_per_value(40, build_quarantine)
}

fn build_ledger() -> eyre::Result<Ledger> {
    let scope = scope()?;
    let mut ledger = Ledger::new("entry-001".parse()?, Incarnation::new(1));
    for number in 0..TICKET_COUNT {
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
    for number in 0..CRASH_COUNT {
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
