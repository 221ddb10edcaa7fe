//! Guards against a request that crashes server after server, and against the refusal of harmless
//! requests that ran beside it.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed unwrap fails the test"
)]

use oleanderpass_quarantine::evidence::CrashId;
use oleanderpass_quarantine::evidence::EVIDENCE_LIFETIME;
use oleanderpass_quarantine::evidence::Evidence;
use oleanderpass_quarantine::evidence::MAX_EVIDENCE_PER_DATAGRAM;
use oleanderpass_quarantine::evidence::MAX_SIGNATURES_PER_EVIDENCE;
use oleanderpass_quarantine::evidence::Signature;
use oleanderpass_quarantine::rule::RunRule;
use oleanderpass_quarantine::table::MAX_SIGNATURES;
use oleanderpass_quarantine::table::Quarantine;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::Incarnation;
use test_case::test_case;

/// The signature of a request that crashes every server on which it runs.
const CRASHING: Signature = Signature(666);
const START: Timestamp = Timestamp::from_millis(1_000_000);

fn crash(server: u64, signatures: &[Signature], alone: bool) -> Evidence {
    Evidence {
        crash: CrashId {
            server: format!("engine-{server}").parse().unwrap(),
            incarnation: Incarnation::new(server),
        },
        signatures: signatures.to_vec(),
        alone,
        age: Millis::ZERO,
    }
}

/// Run `CRASHING` wherever the rules allow it until every table refuses it, and return the number
/// of servers lost. A harmless request shares its server whenever the rules allow that. With
/// `shares_evidence`, each crash is reported to all tables at once.
fn lose_servers(tables: &mut [Quarantine], shares_evidence: bool, first_server: u64) -> u64 {
    let mut lost = 0;
    for index in 0..tables.len() {
        loop {
            assert!(lost < 100, "the request is not refused");
            let neighbour = Signature(10_000 + first_server + lost);
            let running: &[Signature] = match tables[index].rule(START, CRASHING) {
                RunRule::Refused { .. } => break,
                RunRule::Alone => &[],
                RunRule::Unrestricted | RunRule::SeparateFromSuspects => &[neighbour],
            };
            assert!(tables[index].may_start(START, CRASHING, running, 0));
            let mut signatures = running.to_vec();
            signatures.push(CRASHING);
            let evidence = crash(first_server + lost, &signatures, running.is_empty());
            lost += 1;
            tables[index].on_crash(START, &evidence);
            if shares_evidence {
                tables.iter_mut().for_each(|t| t.on_crash(START, &evidence));
            }
        }
    }
    lost
}

#[test_case(1, true, 3; "one instance")]
#[test_case(5, true, 3; "five instances that share evidence at once")]
#[test_case(5, false, 15; "five instances that share no evidence")]
fn a_crashing_request_is_refused_after_a_bounded_number_of_crashes(
    instances: usize,
    shares_evidence: bool,
    bound: u64,
) {
    let mut tables = vec![Quarantine::new(); instances];
    assert_eq!(lose_servers(&mut tables, shares_evidence, 1), bound);
    for table in &mut tables {
        let until = START + EVIDENCE_LIFETIME;
        assert!(
            matches!(table.rule(START, CRASHING), RunRule::Refused { left } if left == EVIDENCE_LIFETIME)
        );
        table.tick(until);
        assert_eq!(table.rule(until, CRASHING), RunRule::Unrestricted);
        assert_eq!(table.suspect_count(), 0);
    }
}

#[test]
fn two_copies_of_a_suspect_do_not_run_at_the_same_time() {
    let mut table = Quarantine::new();
    table.on_crash(START, &crash(1, &[CRASHING, Signature(1)], false));
    assert!(!table.may_start(START, CRASHING, &[], 1));
    assert!(table.may_start(START, CRASHING, &[], 0));
}

#[test]
fn suspects_of_one_crash_run_separately_until_they_are_cleared() {
    let (a, b, c) = (Signature(1), Signature(2), Signature(3));
    let mut table = Quarantine::new();
    table.on_crash(START, &crash(1, &[a, b, CRASHING], false));
    assert!(!table.may_start(START, a, &[c, b], 0));
    assert!(table.may_start(START, a, &[c], 0));
    table.on_finished(a);
    assert_eq!(table.rule(START, a), RunRule::Unrestricted);
    // Evidence of the same crash from a peer must not make a cleared request a suspect again.
    table.on_crash(START, &crash(1, &[a, b, CRASHING], false));
    assert_eq!(table.rule(START, a), RunRule::Unrestricted);
    assert_eq!(table.rule(START, b), RunRule::SeparateFromSuspects);
}

#[test]
fn no_request_joins_a_request_that_runs_alone() {
    let mut table = Quarantine::new();
    table.on_crash(START, &crash(1, &[CRASHING, Signature(1)], false));
    table.on_crash(START, &crash(2, &[CRASHING, Signature(2)], false));
    assert_eq!(table.rule(START, CRASHING), RunRule::Alone);
    assert!(!table.may_start(START, CRASHING, &[Signature(9)], 0));
    assert!(!table.may_start(START, Signature(9), &[CRASHING], 0));
}

#[test]
fn a_request_is_not_refused_if_another_instance_had_a_request_in_the_same_crash() {
    let mut table = Quarantine::new();
    table.on_crash(START, &crash(1, &[Signature(1)], true));
    assert!(matches!(
        table.rule(START, Signature(1)),
        RunRule::Refused { .. }
    ));
    table.on_crash(START, &crash(1, &[CRASHING], true));
    assert_eq!(
        table.rule(START, Signature(1)),
        RunRule::SeparateFromSuspects
    );
    assert_eq!(table.rule(START, CRASHING), RunRule::SeparateFromSuspects);
}

/// An instance can't keep requests of other instances off the engine of a request that should run
/// alone.
#[test]
fn a_request_that_never_runs_alone_is_refused_after_three_crashes() {
    let mut table = Quarantine::new();
    for server in 1..=3 {
        assert!(!matches!(
            table.rule(START, CRASHING),
            RunRule::Refused { .. }
        ));
        let neighbour = Signature(server);
        table.on_crash(START, &crash(server, &[CRASHING, neighbour], false));
    }
    let left = EVIDENCE_LIFETIME;
    assert_eq!(table.rule(START, CRASHING), RunRule::Refused { left });
    assert_eq!(
        table.rule(START, Signature(1)),
        RunRule::SeparateFromSuspects
    );
}

#[test]
fn the_table_is_bounded_and_evicts_other_suspects_before_quarantined_ones() {
    let mut table = Quarantine::new();
    table.on_crash(START, &crash(0, &[CRASHING], true));
    for server in 1..2_000 {
        let signatures: Vec<_> = (0..8).map(|n| Signature(server * 100 + n)).collect();
        table.on_crash(
            START + Millis::new(server),
            &crash(server, &signatures, false),
        );
        assert!(table.suspect_count() <= MAX_SIGNATURES);
        if server < 900 {
            assert!(matches!(
                table.rule(START, CRASHING),
                RunRule::Refused { .. }
            ));
        }
    }
}

#[test]
fn all_evidence_reaches_a_peer_in_datagrams_of_bounded_size() {
    let signatures: Vec<_> = (0..50).map(Signature).collect();
    let (mut a, mut b) = (Quarantine::new(), Quarantine::new());
    a.on_crash(START, &crash(1, &signatures, false));
    a.on_crash(START, &crash(2, &[CRASHING], true));
    let mut datagrams = 0;
    loop {
        let evidence = a.next_evidence(START + Millis::new(7), 3);
        if evidence.is_empty() {
            break;
        }
        datagrams += 1;
        assert!(evidence.len() <= MAX_EVIDENCE_PER_DATAGRAM);
        for piece in &evidence {
            assert!(piece.signatures.len() <= MAX_SIGNATURES_PER_EVIDENCE);
            b.on_crash(Timestamp::from_millis(50_000), piece);
        }
    }
    assert!(datagrams <= 15, "{datagrams} datagrams");
    assert_eq!(b.suspect_count(), 51);
    let left = EVIDENCE_LIFETIME.saturating_sub(Millis::new(7));
    let rule = b.rule(Timestamp::from_millis(50_000), CRASHING);
    assert_eq!(rule, RunRule::Refused { left });
}
