//! Guard against servers that are polled too often or not at all, and against requests that are
//! sent to engines without their model, to silent servers or for a prefix that may be evicted.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use common::TestBed;
use common::listed_server;
use common::load_report;
use oleanderpass_core::action::Action;
use oleanderpass_core::event::Event;
use oleanderpass_core::event::Lifecycle;
use oleanderpass_core::event::Observation;
use oleanderpass_core::event::Prefix;
use oleanderpass_proto::engine;
use oleanderpass_types::size::Tokens;
use test_case::test_case;

/// Return the number of polls of one kind that were sent to a server.
fn polls(bed: &TestBed, id: &str, kind: Observation) -> usize {
    let matches = |action: &&Action| matches!(action, Action::Observe { server, observation, .. } if server.as_str() == id && *observation == kind);
    bed.actions.iter().filter(matches).count()
}

/// Return the event of an engine that reports models, each with its state.
fn engine_state(id: &str, models: &[(&str, &str)]) -> Event {
    let models = models.iter().map(|(model, state)| engine::LoadedModel {
        model: (*model).to_owned(),
        state: (*state).to_owned(),
        ..Default::default()
    });
    Event::EngineState(Box::new(engine::EngineState {
        server: id.to_owned(),
        incarnation: 1,
        models: models.collect(),
        ..Default::default()
    }))
}

/// Advance the time and answer the load polls.
fn advance_answering(bed: &mut TestBed, duration_ms: u64, ids: &[&str]) {
    for _ in 0..duration_ms / 100 {
        bed.advance(100);
        for id in ids {
            bed.event(Event::LoadReport(load_report(id, 1, Lifecycle::Live)));
        }
    }
}

/// Guards against load polls at another rate than once in 2 s, and against state polls of plain
/// services.
#[test]
fn servers_are_polled_at_their_period() {
    let mut bed = TestBed::new(&["e1"], &["w1"]);
    advance_answering(&mut bed, 22_000, &["e1", "w1"]);
    for id in ["e1", "w1"] {
        let count = polls(&bed, id, Observation::Load);
        assert!(
            (10..=11).contains(&count),
            "{count} load polls of {id} in 22 s"
        );
    }
    assert_eq!(
        polls(&bed, "w1", Observation::State),
        0,
        "plain services have no state to read"
    );
}

/// Guards against polls that pile up at a server that doesn't answer, and against a server that is
/// not polled again after a lost poll.
#[test]
fn an_unanswered_poll_is_repeated_only_after_its_timeout() {
    let mut bed = TestBed::new(&["e1"], &[]);
    bed.advance(2_000);
    assert_eq!(polls(&bed, "e1", Observation::Load), 1);
    bed.advance(20_000);
    assert_eq!(polls(&bed, "e1", Observation::Load), 5);
}

/// Guards against a restarted server of another zone whose next incarnation is not noticed.
#[test]
fn servers_of_other_zones_are_polled_while_they_are_leaving() {
    let mut bed = TestBed::new(&[], &[]);
    let far = |state| listed_server("far", "skald", "south", state);
    bed.apply_list(vec![far(Lifecycle::Live)]);
    bed.advance(4_000);
    assert_eq!(polls(&bed, "far", Observation::Load), 0);
    bed.apply_list(vec![far(Lifecycle::Leaving)]);
    bed.advance(4_000);
    assert_eq!(polls(&bed, "far", Observation::Load), 1);
}

/// Guards against requests that are sent to an engine which can't run their model.
#[test_case(&[("saga", "ready")], true; "ready")]
#[test_case(&[("saga", "loading")], false; "loading")]
#[test_case(&[("other", "ready")], false; "another model")]
#[test_case(&[], false; "no model")]
fn only_engines_with_the_model_get_its_requests(models: &[(&str, &str)], expected: bool) {
    let mut bed = TestBed::new(&["e1"], &[]);
    bed.event(engine_state("e1", models));
    let id = bed.generate();
    assert_eq!(bed.starts_of(&id).len(), usize::from(expected));
    bed.event(engine_state("e1", &[("saga", "ready")]));
    assert_eq!(bed.starts_of(&id).len(), 1);
}

/// Guards against requests that are sent to a dead server one after another, and against a stop of
/// all work when only the polls fail.
#[test]
fn a_silent_server_gets_work_only_when_all_are_silent() {
    let mut bed = TestBed::new(&["e1", "e2"], &[]);
    let fail = |bed: &mut TestBed, id: &str| {
        bed.event(Event::ObserveFailed {
            server: id.parse().unwrap(),
            observation: Observation::Load,
            cause: "timeout".into(),
        });
    };
    fail(&mut bed, "e1");
    let ids = [bed.generate(), bed.generate(), bed.generate()];
    assert_eq!(bed.only_start(&ids[0]).server.as_str(), "e2");
    assert_eq!(bed.only_start(&ids[1]).server.as_str(), "e2");
    assert!(bed.starts_of(&ids[2]).is_empty());
    fail(&mut bed, "e2");
    bed.advance(100);
    assert_eq!(bed.only_start(&ids[2]).server.as_str(), "e1");
}

/// Return which of two engines gets a request after `caching_engine` reported that it caches the
/// request's prefix. With `lost`, a later cache event of that engine is missing.
fn engine_of_request(caching_engine: &str, lost: bool) -> String {
    let mut bed = TestBed::new(&["e1", "e2"], &[]);
    let mut report = |number, prefix| {
        let event = engine::CacheEvent {
            number,
            evicted: false,
            prefix,
            tokens: 20_000,
        };
        bed.event(Event::CacheEvents {
            server: caching_engine.parse().unwrap(),
            events: Box::new(engine::CacheEvents {
                next: number + 1,
                first: 0,
                events: vec![event],
            }),
        });
    };
    report(0, 99);
    report(if lost { 2 } else { 1 }, 5);
    let mut new = bed.request(common::model_target());
    new.prompt = Tokens::new(21_000);
    new.prefixes = vec![Prefix {
        hash: 99,
        tokens: Tokens::new(20_000),
    }];
    let id = bed.send(new);
    bed.only_start(&id).server.to_string()
}

/// Guards against requests that are not sent to the engine that has their prefix in its cache.
#[test_case("e1")]
#[test_case("e2")]
fn requests_are_sent_to_the_engine_that_caches_their_prefix(caching_engine: &str) {
    assert_eq!(engine_of_request(caching_engine, false), caching_engine);
}

/// Guards against requests that are sent to an engine for a prefix that it may have evicted,
/// because the eviction may be among the lost events.
#[test]
fn a_cached_prefix_does_not_count_after_lost_cache_events() {
    assert_eq!(engine_of_request("e1", true), engine_of_request("e2", true));
}
