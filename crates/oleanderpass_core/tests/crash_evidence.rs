//! Guard against a request that crashes one backend server after another.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;

use common::TestBed;
use common::broken;
use common::completed;
use common::load_report;
use common::model_target;
use oleanderpass_core::action::StartAttempt;
use oleanderpass_core::event::Event;
use oleanderpass_core::event::Lifecycle;
use oleanderpass_core::event::Observation;
use oleanderpass_proto::peer;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::id::RequestId;
use oleanderpass_types::outcome::Outcome;
use test_case::test_case;

const ENGINES: [&str; 8] = ["e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"];
/// The body hash of the request that crashes servers.
const CRASHING_BODY_HASH: u64 = 666;

/// Start an instance with 8 engines of incarnation 1, and fill its retry budget by requests that
/// complete.
fn bed() -> TestBed {
    let mut bed = TestBed::new(&ENGINES, &[]);
    for id in ENGINES {
        bed.event(Event::LoadReport(load_report(id, 1, Lifecycle::Live)));
    }
    for _ in 0..200 {
        let id = bed.generate();
        let start = bed.only_start(&id);
        bed.end(&start, completed());
    }
    bed
}

fn send(bed: &mut TestBed, body_hash: u64) -> RequestId {
    let mut new = bed.request(model_target());
    new.body_hash = body_hash;
    new.timeout = Some(Millis::from_secs(60));
    bed.send(new)
}

/// Make the server of an attempt crash and return with its next incarnation.
fn crash(bed: &mut TestBed, start: &StartAttempt) {
    let id = start.server.as_str();
    let incarnation = bed.instance.servers()[&start.server]
        .incarnation
        .unwrap()
        .get();
    bed.end(start, broken(false));
    bed.event(Event::ObserveFailed {
        server: start.server.clone(),
        observation: Observation::Load,
        cause: "connection refused".into(),
    });
    bed.event(Event::LoadReport(load_report(
        id,
        incarnation + 1,
        Lifecycle::Live,
    )));
}

/// Send the crashing request `times` times, crash the server of each of its attempts and return the
/// number of crashes.
fn resend(bed: &mut TestBed, times: usize) -> usize {
    let mut crashes = 0;
    for _ in 0..times {
        let id = send(bed, CRASHING_BODY_HASH);
        let mut ended = 0;
        while bed.answer_of(&id).is_none() {
            let Some(start) = bed.starts_of(&id).get(ended).cloned() else {
                bed.advance(100);
                continue;
            };
            ended += 1;
            crashes += 1;
            crash(bed, &start);
        }
    }
    crashes
}

/// Guards against a request that crashes a fourth server, and against a refusal of other requests.
#[test]
fn a_request_crashes_at_most_3_servers() {
    let mut bed = bed();
    assert_eq!(resend(&mut bed, 10), 3);
    let id = send(&mut bed, CRASHING_BODY_HASH);
    assert_eq!(bed.answer_of(&id), Some((Outcome::Failed, 422)));
    let harmless = send(&mut bed, 1);
    bed.only_start(&harmless);
}

/// Guards against a third crash that interrupts requests of other instances.
#[test]
fn after_2_crashes_only_an_idle_server_is_used() {
    let mut bed = bed();
    let id = send(&mut bed, CRASHING_BODY_HASH);
    for attempt in 0..2 {
        let start = bed.starts_of(&id)[attempt].clone();
        crash(&mut bed, &start);
        bed.advance(1_000);
        if attempt == 0 {
            for id in ENGINES.iter().filter(|id| **id != "e3") {
                let mut busy = load_report(id, 3, Lifecycle::Live);
                busy.running = 1;
                bed.event(Event::LoadReport(busy));
            }
        }
    }
    assert_eq!(bed.starts_of(&id).len(), 3);
    assert_eq!(bed.starts_of(&id)[2].server.as_str(), "e3");
}

/// Guards against a request that is refused for longer than the lifetime of its crash evidence.
#[test]
fn the_quarantine_ends_after_10_min() {
    let mut bed = bed();
    resend(&mut bed, 3);
    bed.advance(601_000);
    for id in ENGINES {
        bed.event(Event::LoadReport(load_report(id, 9, Lifecycle::Live)));
    }
    let id = send(&mut bed, CRASHING_BODY_HASH);
    bed.only_start(&id);
}

/// Guards against suspects of one crash that are retried on the same server, where the crashing
/// request would interrupt the others again.
#[test]
fn suspects_of_one_crash_are_retried_on_different_servers() {
    let mut bed = bed();
    let ids: Vec<RequestId> = (0..16).map(|index| send(&mut bed, 1_000 + index)).collect();
    let crashed_server = bed.only_start(&ids[0]).server;
    let suspects: Vec<RequestId> = ids
        .into_iter()
        .filter(|id| bed.only_start(id).server == crashed_server)
        .collect();
    assert_eq!(suspects.len(), 2);
    let starts: Vec<StartAttempt> = suspects.iter().map(|id| bed.only_start(id)).collect();
    bed.end(&starts[0], broken(false));
    crash(&mut bed, &starts[1]);
    assert_eq!(bed.instance.quarantine().suspect_count(), 2);
    for start in bed.starts() {
        bed.end(&start, completed());
    }
    bed.advance(2_000);
    let servers: BTreeSet<String> = suspects
        .iter()
        .map(|id| bed.starts_of(id)[1].server.to_string())
        .collect();
    assert_eq!(servers.len(), 2);
}

/// Guards against requests that become suspects although only the connection broke and the server
/// stayed up.
#[test_case(1, 0; "same incarnation")]
#[test_case(2, 1; "new incarnation")]
fn only_a_crash_makes_suspects(incarnation: u64, suspects: usize) {
    let mut bed = bed();
    let id = send(&mut bed, CRASHING_BODY_HASH);
    let start = bed.only_start(&id);
    bed.end(&start, broken(false));
    let report = load_report(start.server.as_str(), incarnation, Lifecycle::Live);
    bed.event(Event::LoadReport(report));
    assert_eq!(bed.instance.quarantine().suspect_count(), suspects);
}

/// Guards against a crash that is detected only by the next regular load poll.
#[test]
fn a_server_that_lost_a_connection_is_polled_at_once() {
    let mut bed = bed();
    let id = send(&mut bed, CRASHING_BODY_HASH);
    let start = bed.only_start(&id);
    bed.advance(2_500);
    for id in ENGINES {
        bed.event(Event::LoadReport(load_report(id, 1, Lifecycle::Live)));
    }
    bed.end(&start, broken(false));
    bed.actions.clear();
    bed.advance(100);
    let polled = bed.actions.iter().any(|action| {
        matches!(action, oleanderpass_core::action::Action::Observe { server, observation: Observation::Load, .. } if *server == start.server)
    });
    assert!(polled);
}

/// Guards against a harmless request that stays suspected of a crash.
#[test]
fn a_completed_run_clears_a_suspect() {
    let mut bed = bed();
    let id = send(&mut bed, CRASHING_BODY_HASH);
    let first = bed.only_start(&id);
    crash(&mut bed, &first);
    assert_eq!(bed.instance.quarantine().suspect_count(), 1);
    bed.advance(1_000);
    let second = bed.starts_of(&id)[1].clone();
    bed.end(&second, completed());
    assert_eq!(bed.instance.quarantine().suspect_count(), 0);
}

/// Guards against an instance that runs a request which the crash evidence of its peers puts in
/// quarantine.
#[test]
fn crash_evidence_of_peers_is_applied() {
    let mut bed = bed();
    let id = send(&mut bed, CRASHING_BODY_HASH);
    let start = bed.only_start(&id);
    crash(&mut bed, &start);
    let mut peer_bed = common::TestBed::named("entry-2", 1, &ENGINES, &[]);
    let signatures = vec![crashing_signature(&mut bed)];
    let crashes = ["e1", "e2"].map(|server| peer::CrashEvidence {
        server: server.to_owned(),
        server_incarnation: 1,
        signatures: signatures.clone(),
        alone: server == "e2",
        age_ms: 0,
    });
    peer_bed.event(Event::PeerPacket {
        from: "127.0.0.1:7000".parse().unwrap(),
        packet: Arc::new(peer::Packet {
            crashes: crashes.to_vec(),
            ..Default::default()
        }),
    });
    let id = send(&mut peer_bed, CRASHING_BODY_HASH);
    assert_eq!(peer_bed.answer_of(&id), Some((Outcome::Failed, 422)));
}

/// Return the signature of the crashing request when a caller of `acme` sends it.
fn crashing_signature(bed: &mut TestBed) -> u64 {
    let new = {
        let mut new = bed.request(model_target());
        new.body_hash = CRASHING_BODY_HASH;
        new
    };
    oleanderpass_core::crash_evidence::signature(&"acme".parse().unwrap(), &new).0
}
