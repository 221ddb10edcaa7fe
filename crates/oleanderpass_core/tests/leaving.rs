//! Guard against new work for a backend server that is leaving.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use std::sync::Arc;

use common::TestBed;
use common::listed_server;
use common::load_report;
use oleanderpass_core::event::AttemptEnd;
use oleanderpass_core::event::Event;
use oleanderpass_core::event::Lifecycle;
use oleanderpass_core::event::Refusal;
use oleanderpass_proto::peer;
use oleanderpass_types::id::BackendServerId;
use test_case::test_case;

/// Start an instance with the engine `e1`, which has reported incarnation 5.
fn bed() -> TestBed {
    let mut bed = TestBed::new(&["e1"], &[]);
    bed.event(Event::LoadReport(load_report("e1", 5, Lifecycle::Live)));
    bed
}

fn apply_list(bed: &mut TestBed, state: Lifecycle) {
    bed.apply_list(vec![listed_server("e1", "skald", "north", state)]);
}

fn report(bed: &mut TestBed, incarnation: u64, state: Lifecycle) {
    bed.event(Event::LoadReport(load_report("e1", incarnation, state)));
}

fn is_live(bed: &TestBed) -> bool {
    let id: BackendServerId = "e1".parse().unwrap();
    bed.instance.servers()[&id].is_live()
}

/// Make the instance learn from a source that `e1` is leaving.
fn leave(bed: &mut TestBed, source: &str) {
    match source {
        "list" => apply_list(bed, Lifecycle::Leaving),
        "report" => report(bed, 5, Lifecycle::Leaving),
        "peer" => {
            let leaving = peer::LeavingServer {
                server: "e1".to_owned(),
                incarnation: 5,
            };
            bed.event(Event::PeerPacket {
                from: "127.0.0.1:7000".parse().unwrap(),
                packet: Arc::new(peer::Packet {
                    leaving_servers: vec![leaving],
                    ..Default::default()
                }),
            });
        }
        _ => {
            let id = bed.generate();
            let start = bed.only_start(&id);
            bed.end(&start, AttemptEnd::Refused(Refusal::Leaving));
        }
    }
}

/// Guards against new work for a leaving server after a lagging list, or an earlier report, calls
/// it live.
#[test_case("list")]
#[test_case("report")]
#[test_case("refusal")]
#[test_case("peer")]
fn a_leaving_server_gets_no_work_in_its_incarnation(source: &str) {
    let mut bed = bed();
    leave(&mut bed, source);
    apply_list(&mut bed, Lifecycle::Live);
    report(&mut bed, 5, Lifecycle::Live);
    report(&mut bed, 4, Lifecycle::Live);
    bed.advance(10_000);
    let id = bed.generate();
    assert!(bed.starts_of(&id).is_empty());
}

/// Guards against a server that stays marked as leaving after it returned with a new incarnation.
#[test_case("list")]
#[test_case("report")]
#[test_case("refusal")]
#[test_case("peer")]
fn a_new_incarnation_gets_work(source: &str) {
    let mut bed = bed();
    leave(&mut bed, source);
    apply_list(&mut bed, Lifecycle::Live);
    report(&mut bed, 6, Lifecycle::Live);
    assert!(is_live(&bed));
}

/// Guards against a delayed report of an earlier incarnation that changes the state of the current
/// one.
#[test]
fn a_late_report_of_an_earlier_incarnation_changes_nothing() {
    let mut bed = bed();
    report(&mut bed, 6, Lifecycle::Live);
    report(&mut bed, 5, Lifecycle::Leaving);
    assert!(is_live(&bed));
    report(&mut bed, 6, Lifecycle::Leaving);
    report(&mut bed, 5, Lifecycle::Live);
    assert!(!is_live(&bed));
}

/// Guards against a restarted server that never gets work again because the list still called
/// it leaving after the restart.
#[test]
fn a_lagging_list_only_delays_a_new_incarnation() {
    let mut bed = bed();
    leave(&mut bed, "list");
    report(&mut bed, 6, Lifecycle::Live);
    apply_list(&mut bed, Lifecycle::Leaving);
    assert!(!is_live(&bed));
    apply_list(&mut bed, Lifecycle::Live);
    assert!(is_live(&bed));
}

/// Guards against a server that never gets work because the list called the previous incarnation
/// leaving only after the first report of the new one.
#[test]
fn a_leaving_mark_by_the_list_alone_ends_after_60_s() {
    let mut bed = bed();
    report(&mut bed, 6, Lifecycle::Live);
    apply_list(&mut bed, Lifecycle::Leaving);
    apply_list(&mut bed, Lifecycle::Live);
    bed.advance(59_000);
    report(&mut bed, 6, Lifecycle::Live);
    assert!(!is_live(&bed));
    bed.advance(1_000);
    report(&mut bed, 6, Lifecycle::Live);
    assert!(is_live(&bed));
}

/// Guards against a refusal by an earlier incarnation that marks the current one as leaving.
#[test]
fn a_late_refusal_applies_to_the_incarnation_of_its_attempt() {
    let mut bed = bed();
    let id = bed.generate();
    let start = bed.only_start(&id);
    report(&mut bed, 6, Lifecycle::Live);
    bed.end(&start, AttemptEnd::Refused(Refusal::Leaving));
    assert!(is_live(&bed));
    assert_eq!(bed.starts_of(&id).len(), 2);
}

/// Guards against a cancellation of the attempts that run on a leaving or unlisted server.
#[test]
fn attempts_on_a_leaving_server_continue() {
    let mut bed = bed();
    let id = bed.generate();
    let start = bed.only_start(&id);
    leave(&mut bed, "list");
    bed.apply_list(Vec::new());
    assert!(!bed.cancelled(&start));
    assert_eq!(bed.in_flight("e1"), 1);
}
