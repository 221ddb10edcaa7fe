//! Guard against a request that takes down one backend server after another.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;

use common::TestBed;
use common::broken;
use common::completed;
use common::load;
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
const BAD: u64 = 666;

fn bed() -> TestBed {
    let mut bed = TestBed::new(&ENGINES, &[]);
    for id in ENGINES {
        bed.event(Event::LoadReport(load(id, 1, Lifecycle::Live)));
    }
    for _ in 0..200 {
        let id = bed.generate();
        let start = bed.only_start(&id);
        bed.end(&start, completed());
    }
    bed
}

fn send(bed: &mut TestBed, body: u64) -> RequestId {
    let mut new = bed.request(model_target());
    new.body_hash = body;
    new.timeout = Some(Millis::from_secs(60));
    bed.send(new)
}

/// Let the server of an attempt crash and return with its next incarnation.
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
    bed.event(Event::LoadReport(load(
        id,
        incarnation + 1,
        Lifecycle::Live,
    )));
}

/// Resend a bad request as often as it may run and return how many servers it took down.
fn resend(bed: &mut TestBed, times: usize) -> usize {
    let mut crashes = 0;
    for _ in 0..times {
        let id = send(bed, BAD);
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

#[test]
fn a_bad_request_takes_down_at_most_3_servers() {
    let mut bed = bed();
    assert_eq!(resend(&mut bed, 10), 3);
    let id = send(&mut bed, BAD);
    assert_eq!(bed.answer_of(&id), Some((Outcome::Failed, 422)));
    let innocent = send(&mut bed, 1);
    bed.only_start(&innocent);
}

/// Guards against a third crash that takes down the requests of other instances.
#[test]
fn after_two_crashes_only_an_idle_server_is_used() {
    let mut bed = bed();
    let id = send(&mut bed, BAD);
    for attempt in 0..2 {
        let start = bed.starts_of(&id)[attempt].clone();
        crash(&mut bed, &start);
        bed.advance(1_000);
        if attempt == 0 {
            for id in ENGINES.iter().filter(|id| **id != "e3") {
                let mut busy = load(id, 3, Lifecycle::Live);
                busy.running = 1;
                bed.event(Event::LoadReport(busy));
            }
        }
    }
    assert_eq!(bed.starts_of(&id).len(), 3);
    assert_eq!(bed.starts_of(&id)[2].server.as_str(), "e3");
}

#[test]
fn the_quarantine_ends_after_10_min() {
    let mut bed = bed();
    resend(&mut bed, 3);
    bed.advance(601_000);
    for id in ENGINES {
        bed.event(Event::LoadReport(load(id, 9, Lifecycle::Live)));
    }
    let id = send(&mut bed, BAD);
    bed.only_start(&id);
}

/// Guards against neighbours of a bad request that are sent to one server together, so that the
/// bad one takes the others down again.
#[test]
fn suspects_of_one_crash_are_retried_apart() {
    let mut bed = bed();
    let ids: Vec<RequestId> = (0..16).map(|body| send(&mut bed, 1_000 + body)).collect();
    let victim = bed.only_start(&ids[0]).server;
    let suspects: Vec<RequestId> = ids
        .into_iter()
        .filter(|id| bed.only_start(id).server == victim)
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

/// Guards against suspicion because of a connection that broke while its server stayed up.
#[test_case(1, 0; "same incarnation")]
#[test_case(2, 1; "new incarnation")]
fn only_a_crash_makes_suspects(incarnation: u64, suspects: usize) {
    let mut bed = bed();
    let id = send(&mut bed, BAD);
    let start = bed.only_start(&id);
    bed.end(&start, broken(false));
    let report = load(start.server.as_str(), incarnation, Lifecycle::Live);
    bed.event(Event::LoadReport(report));
    assert_eq!(bed.instance.quarantine().suspect_count(), suspects);
}

#[test]
fn a_lost_connection_asks_the_server_at_once() {
    let mut bed = bed();
    let id = send(&mut bed, BAD);
    let start = bed.only_start(&id);
    bed.advance(2_500);
    for id in ENGINES {
        bed.event(Event::LoadReport(load(id, 1, Lifecycle::Live)));
    }
    bed.end(&start, broken(false));
    bed.actions.clear();
    bed.advance(100);
    let asked = bed.actions.iter().any(|action| {
        matches!(action, oleanderpass_core::action::Action::Observe { server, observation: Observation::Load, .. } if *server == start.server)
    });
    assert!(asked);
}

#[test]
fn a_whole_run_clears_a_suspect() {
    let mut bed = bed();
    let id = send(&mut bed, BAD);
    let first = bed.only_start(&id);
    crash(&mut bed, &first);
    assert_eq!(bed.instance.quarantine().suspect_count(), 1);
    bed.advance(1_000);
    let second = bed.starts_of(&id)[1].clone();
    bed.end(&second, completed());
    assert_eq!(bed.instance.quarantine().suspect_count(), 0);
}

/// Guards against an instance that lets a request crash servers of which its peers know.
#[test]
fn evidence_of_peers_counts() {
    let mut bed = bed();
    let id = send(&mut bed, BAD);
    let start = bed.only_start(&id);
    crash(&mut bed, &start);
    let mut peer_bed = common::TestBed::named("entry-2", 1, &ENGINES, &[]);
    let signatures = vec![bad_signature(&mut bed)];
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
    let id = send(&mut peer_bed, BAD);
    assert_eq!(peer_bed.answer_of(&id), Some((Outcome::Failed, 422)));
}

fn bad_signature(bed: &mut TestBed) -> u64 {
    let new = {
        let mut new = bed.request(model_target());
        new.body_hash = BAD;
        new
    };
    oleanderpass_core::crash_evidence::signature(&"acme".parse().unwrap(), &new).0
}
