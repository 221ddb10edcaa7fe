//! Guard against orders from an outdated document, and against engines that are never ordered to
//! load their model.
//!
//! An instance sends no orders until the platform or a peer has confirmed its document. The tests
//! send `DocumentUnchanged` as the confirmation by the platform.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use common::DOCUMENT;
use common::TestBed;
use oleanderpass_core::action::Action;
use oleanderpass_core::event::Event;
use oleanderpass_proto::engine;
use test_case::test_case;

fn orders(bed: &TestBed) -> Vec<(String, engine::Order)> {
    let order = |action: &Action| match action {
        Action::SendOrder { server, order, .. } => Some((server.to_string(), (**order).clone())),
        _ => None,
    };
    bed.actions.iter().filter_map(order).collect()
}

/// Advance the time while both engines report that a version of the model is ready.
fn advance(bed: &mut TestBed, duration_ms: u64, version: &str) {
    for _ in 0..duration_ms / 1_000 {
        bed.advance(1_000);
        report(bed, version);
    }
}

fn report(bed: &mut TestBed, version: &str) {
    for id in ["e1", "e2"] {
        let model = engine::LoadedModel {
            model: "saga".to_owned(),
            version: version.to_owned(),
            adapters: Vec::new(),
            state: "ready".to_owned(),
        };
        bed.event(Event::EngineState(Box::new(engine::EngineState {
            server: id.to_owned(),
            incarnation: 1,
            models: vec![model],
            ..Default::default()
        })));
    }
}

/// Guards against engines that keep an old version, and against all of them loading at once.
#[test]
fn engines_with_another_version_are_ordered_to_load() {
    let mut bed = TestBed::new(&["e1", "e2"], &[]);
    bed.event(Event::DocumentUnchanged);
    advance(&mut bed, 3_000, "v0");
    let sent = orders(&bed);
    let (_, order) = &sent[0];
    assert_eq!(
        (order.kind.as_str(), order.version.as_str(), order.fencing),
        ("load", "v1", 1)
    );
    let servers: Vec<&str> = sent.iter().map(|(server, _)| server.as_str()).collect();
    assert!(
        servers.iter().all(|server| *server == servers[0]),
        "only one engine loads, the other stays ready"
    );
}

/// Guards against orders to engines that already have what the document states.
#[test]
fn engines_as_the_document_states_get_no_orders() {
    let mut bed = TestBed::new(&["e1", "e2"], &[]);
    bed.event(Event::DocumentUnchanged);
    advance(&mut bed, 30_000, "v1");
    assert!(orders(&bed).is_empty());
}

/// Guards against an instance that was paused and then sends orders from a document that was
/// replaced meanwhile.
#[test_case(false; "before the platform answers")]
#[test_case(true; "after the platform answered")]
fn a_late_tick_stops_orders_until_the_document_is_confirmed(confirmed: bool) {
    let mut bed = TestBed::new(&["e1", "e2"], &[]);
    bed.event(Event::DocumentUnchanged);
    advance(&mut bed, 12_000, "v1");
    bed.pause(60_000);
    bed.actions.clear();
    // This answer waited in the queue while the process was paused, so it may be outdated.
    bed.event(Event::DocumentUnchanged);
    bed.event(Event::Tick);
    let read = |action: &Action| matches!(action, Action::ReadDocument { .. });
    assert!(
        bed.actions.iter().any(read),
        "the document must be read at once"
    );
    if confirmed {
        bed.event(Event::DocumentUnchanged);
    }
    advance(&mut bed, 10_000, "v0");
    assert_eq!(!orders(&bed).is_empty(), confirmed);
}

/// Guards against orders whose fencing number isn't the generation that they are derived from.
#[test]
fn orders_carry_the_generation_in_force() {
    let mut bed = TestBed::new(&["e1", "e2"], &[]);
    bed.event(Event::DocumentUnchanged);
    bed.bring_into_force(&DOCUMENT.replace("generation: 1", "generation: 7"));
    bed.event(Event::DocumentUnchanged);
    advance(&mut bed, 3_000, "v0");
    assert!(!orders(&bed).is_empty());
    assert!(orders(&bed).iter().all(|(_, order)| order.fencing == 7));
}
