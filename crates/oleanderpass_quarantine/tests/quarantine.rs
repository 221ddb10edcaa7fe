//! Guard against endless server losses by one request and against punishing its neighbours.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed unwrap fails the test"
)]

use oleanderpass_quarantine::evidence::CrashId;
use oleanderpass_quarantine::evidence::EVIDENCE_LIFETIME;
use oleanderpass_quarantine::evidence::Evidence;
use oleanderpass_quarantine::evidence::MAX_EVIDENCE_PER_PACKET;
use oleanderpass_quarantine::evidence::MAX_SIGNATURES_PER_EVIDENCE;
use oleanderpass_quarantine::evidence::Signature;
use oleanderpass_quarantine::rule::RunRule;
use oleanderpass_quarantine::table::MAX_SIGNATURES;
use oleanderpass_quarantine::table::Quarantine;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::Incarnation;
use test_case::test_case;

const BAD: Signature = Signature(666);
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

/// Run `BAD` wherever the rules allow it until it is refused, next to innocents that share its
/// server when it may share, and return the servers lost.
fn lose_servers(tables: &mut [Quarantine], spread: bool, first_server: u64) -> u64 {
    let mut lost = 0;
    for index in 0..tables.len() {
        loop {
            assert!(lost < 100, "the request is never refused");
            let neighbour = Signature(10_000 + first_server + lost);
            let running: &[Signature] = match tables[index].rule(START, BAD) {
                RunRule::Refused { .. } => break,
                RunRule::Alone => &[],
                RunRule::Unrestricted | RunRule::SeparateFromSuspects => &[neighbour],
            };
            assert!(tables[index].may_start(START, BAD, running, 0));
            let mut signatures = running.to_vec();
            signatures.push(BAD);
            let evidence = crash(first_server + lost, &signatures, running.is_empty());
            lost += 1;
            tables[index].on_crash(START, &evidence);
            if spread {
                tables.iter_mut().for_each(|t| t.on_crash(START, &evidence));
            }
        }
    }
    lost
}

#[test_case(1, true, 3; "one instance")]
#[test_case(5, true, 3; "five instances with prompt evidence")]
#[test_case(5, false, 15; "five instances without evidence")]
fn a_bad_request_is_bounded(instances: usize, spread: bool, bound: u64) {
    let mut tables = vec![Quarantine::new(); instances];
    assert_eq!(lose_servers(&mut tables, spread, 1), bound);
    for table in &mut tables {
        let until = START + EVIDENCE_LIFETIME;
        assert!(
            matches!(table.rule(START, BAD), RunRule::Refused { left } if left == EVIDENCE_LIFETIME)
        );
        table.tick(until);
        assert_eq!(table.rule(until, BAD), RunRule::Unrestricted);
        assert_eq!(table.suspect_count(), 0);
    }
}

#[test]
fn a_second_copy_of_a_suspect_waits() {
    let mut table = Quarantine::new();
    table.on_crash(START, &crash(1, &[BAD, Signature(1)], false));
    assert!(!table.may_start(START, BAD, &[], 1));
    assert!(table.may_start(START, BAD, &[], 0));
}

#[test]
fn suspects_of_one_crash_run_apart_and_innocents_are_cleared() {
    let (a, b, c) = (Signature(1), Signature(2), Signature(3));
    let mut table = Quarantine::new();
    table.on_crash(START, &crash(1, &[a, b, BAD], false));
    assert!(!table.may_start(START, a, &[c, b], 0));
    assert!(table.may_start(START, a, &[c], 0));
    table.on_finished(a);
    assert_eq!(table.rule(START, a), RunRule::Unrestricted);
    // Evidence of the same crash from a peer must not accuse a cleared request again.
    table.on_crash(START, &crash(1, &[a, b, BAD], false));
    assert_eq!(table.rule(START, a), RunRule::Unrestricted);
    assert_eq!(table.rule(START, b), RunRule::SeparateFromSuspects);
}

#[test]
fn nothing_joins_a_request_that_runs_alone() {
    let mut table = Quarantine::new();
    table.on_crash(START, &crash(1, &[BAD, Signature(1)], false));
    table.on_crash(START, &crash(2, &[BAD, Signature(2)], false));
    assert_eq!(table.rule(START, BAD), RunRule::Alone);
    assert!(!table.may_start(START, BAD, &[Signature(9)], 0));
    assert!(!table.may_start(START, Signature(9), &[BAD], 0));
}

#[test]
fn a_request_is_not_quarantined_for_a_neighbour_of_another_instance() {
    let mut table = Quarantine::new();
    table.on_crash(START, &crash(1, &[Signature(1)], true));
    assert!(matches!(
        table.rule(START, Signature(1)),
        RunRule::Refused { .. }
    ));
    table.on_crash(START, &crash(1, &[BAD], true));
    assert_eq!(
        table.rule(START, Signature(1)),
        RunRule::SeparateFromSuspects
    );
    assert_eq!(table.rule(START, BAD), RunRule::SeparateFromSuspects);
}

/// Requests of other instances may share the engine of a request that should run alone.
#[test]
fn a_request_that_never_runs_alone_is_refused_after_three_crashes() {
    let mut table = Quarantine::new();
    for server in 1..=3 {
        assert!(!matches!(table.rule(START, BAD), RunRule::Refused { .. }));
        let neighbour = Signature(server);
        table.on_crash(START, &crash(server, &[BAD, neighbour], false));
    }
    let left = EVIDENCE_LIFETIME;
    assert_eq!(table.rule(START, BAD), RunRule::Refused { left });
    assert_eq!(
        table.rule(START, Signature(1)),
        RunRule::SeparateFromSuspects
    );
}

#[test]
fn the_table_is_bounded_and_keeps_quarantined_signatures() {
    let mut table = Quarantine::new();
    table.on_crash(START, &crash(0, &[BAD], true));
    for server in 1..2_000 {
        let signatures: Vec<_> = (0..8).map(|n| Signature(server * 100 + n)).collect();
        table.on_crash(
            START + Millis::new(server),
            &crash(server, &signatures, false),
        );
        assert!(table.suspect_count() <= MAX_SIGNATURES);
        if server < 900 {
            assert!(matches!(table.rule(START, BAD), RunRule::Refused { .. }));
        }
    }
}

#[test]
fn evidence_reaches_a_peer_in_bounded_pieces() {
    let signatures: Vec<_> = (0..50).map(Signature).collect();
    let (mut a, mut b) = (Quarantine::new(), Quarantine::new());
    a.on_crash(START, &crash(1, &signatures, false));
    a.on_crash(START, &crash(2, &[BAD], true));
    let mut packets = 0;
    loop {
        let evidence = a.next_evidence(START + Millis::new(7), 3);
        if evidence.is_empty() {
            break;
        }
        packets += 1;
        assert!(evidence.len() <= MAX_EVIDENCE_PER_PACKET);
        for piece in &evidence {
            assert!(piece.signatures.len() <= MAX_SIGNATURES_PER_EVIDENCE);
            b.on_crash(Timestamp::from_millis(50_000), piece);
        }
    }
    assert!(packets <= 15, "{packets} packets");
    assert_eq!(b.suspect_count(), 51);
    let left = EVIDENCE_LIFETIME.saturating_sub(Millis::new(7));
    let rule = b.rule(Timestamp::from_millis(50_000), BAD);
    assert_eq!(rule, RunRule::Refused { left });
}
