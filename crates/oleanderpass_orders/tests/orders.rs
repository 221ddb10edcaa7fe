//! Guards against orders that interrupt the service of a model, overload the weight store or follow
//! a stale document.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed unwrap fails the test"
)]

use indexmap::IndexMap;
use oleanderpass_config::document::Document;
use oleanderpass_config::document::parse_yaml;
use oleanderpass_orders::derive::derive_orders;
use oleanderpass_orders::derive::min_ready_engines;
use oleanderpass_orders::engine::LoadState;
use oleanderpass_orders::engine::ObservedEngine;
use oleanderpass_orders::engine::ObservedModel;
use oleanderpass_orders::engine::Order;
use oleanderpass_orders::engine::OrderKind;
use oleanderpass_orders::guard::IssueGuard;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::Generation;
use oleanderpass_types::id::ModelId;
use test_case::test_case;

const CONCURRENT_LOADS: u32 = 2;

fn document(generation: u64, version: &str, per_zone: u32) -> Document {
    let yaml = format!(
        "generation: {generation}
environment: {{ name: t, zones: [z], weight_store: {{ concurrent_loads_per_zone: {CONCURRENT_LOADS} }} }}
services: [{{ id: skald, kind: engine, memory_tokens: 1000, prefill_tokens_per_s: 100 }}]
models:
  - {{ id: m, version: {version}, service: skald, engines_per_zone: {per_zone}, max_prompt_tokens: 9, adapters: [{{ id: a, version: '{version}' }}] }}
"
    );
    Document::try_from(&parse_yaml(&yaml).unwrap()).unwrap()
}

fn model() -> ModelId {
    "m".parse().unwrap()
}

fn engines(count: usize) -> Vec<ObservedEngine> {
    let engine = |index| ObservedEngine {
        server: format!("engine-{index}").parse().unwrap(),
        service: "skald".parse().unwrap(),
        leaving: false,
        role: "".into(),
        models: Vec::new(),
        fencing: Generation::new(0),
        age: Millis::ZERO,
    };
    (0..count).map(engine).collect()
}

/// Apply an order as an engine does. Return whether it was accepted.
fn apply(engines: &mut [ObservedEngine], order: &Order, checks_fencing: bool) -> bool {
    let engine = engines
        .iter_mut()
        .find(|e| e.server == order.server)
        .unwrap();
    if checks_fencing && order.fencing < engine.fencing {
        return false;
    }
    engine.fencing = engine.fencing.max(order.fencing);
    match &order.kind {
        OrderKind::Load {
            model,
            version,
            adapters,
        } => {
            engine.models.retain(|m| m.model != *model);
            engine.models.push(ObservedModel {
                model: model.clone(),
                version: version.clone(),
                adapters: adapters.clone(),
                state: LoadState::Loading,
            });
        }
        OrderKind::Unload { model } => engine.models.retain(|m| m.model != *model),
        OrderKind::Role { role } => engine.role = role.clone(),
    }
    true
}

fn loading(engines: &[ObservedEngine]) -> usize {
    let models = engines.iter().flat_map(|engine| &engine.models);
    models.filter(|m| m.state == LoadState::Loading).count()
}

fn finish_loads(engines: &mut [ObservedEngine]) {
    let models = engines.iter_mut().flat_map(|engine| &mut engine.models);
    models.for_each(|m| m.state = LoadState::Ready);
}

/// Apply orders until the engines match the document, and check the limits after each step.
fn roll_out(engines: &mut [ObservedEngine], document: &Document, min_ready: usize) {
    let roles = IndexMap::new();
    for _ in 0..100 {
        let orders = derive_orders(document, engines, &roles);
        if orders.is_empty() && loading(engines) == 0 {
            return;
        }
        for order in &orders {
            assert!(apply(engines, order, true));
        }
        // A second issuer with the same view would send the same orders, which change nothing.
        assert!(
            loading(engines) <= CONCURRENT_LOADS as usize,
            "too many loads"
        );
        let ready = engines.iter().filter(|e| e.serves(&model())).count();
        assert!(ready >= min_ready, "{ready} ready engines");
        finish_loads(engines);
    }
    panic!("the rollout did not end");
}

#[test_case(4, 0; "all engines hold the model")]
#[test_case(14, 8; "some engines hold the model")]
#[test_case(3, 1; "one engine holds the model and two are spare")]
#[test_case(3, 2; "two engines hold the model")]
fn a_version_rollout_keeps_engines_ready(count: usize, per_zone: u32) {
    let mut engines = engines(count);
    roll_out(&mut engines, &document(1, "v1", per_zone), 0);
    let holders = if per_zone == 0 {
        count
    } else {
        per_zone as usize
    };
    assert_eq!(
        engines.iter().filter(|e| e.serves(&model())).count(),
        holders
    );
    roll_out(
        &mut engines,
        &document(2, "v2", per_zone),
        min_ready_engines(holders),
    );
    let new = |e: &&ObservedEngine| e.model(&model()).is_some_and(|m| m.version == "v2");
    assert_eq!(engines.iter().filter(new).count(), holders);
    assert_eq!(
        engines.iter().filter(|e| e.serves(&model())).count(),
        holders
    );
}

/// A zone with one engine has no room for a rollout without an outage, so the rollout waits.
#[test]
fn the_last_ready_engine_stays_in_service() {
    let mut engines = engines(1);
    roll_out(&mut engines, &document(1, "v1", 0), 0);
    assert!(derive_orders(&document(2, "v2", 0), &engines, &IndexMap::new()).is_empty());
}

#[test]
fn the_orders_do_not_depend_on_the_order_of_the_engines() {
    let mut view = engines(9);
    let first = derive_orders(&document(1, "v1", 5), &view, &IndexMap::new());
    view.reverse();
    assert_eq!(
        derive_orders(&document(1, "v1", 5), &view, &IndexMap::new()),
        first
    );
}

#[test]
fn leaving_engines_and_stale_observations_do_not_count_and_get_no_order() {
    let mut view = engines(3);
    roll_out(&mut view, &document(1, "v1", 0), 0);
    view[0].leaving = true;
    view[1].age = Millis::from_secs(15);
    // Only one usable engine remains, and it is the last ready one.
    assert!(derive_orders(&document(2, "v2", 0), &view, &IndexMap::new()).is_empty());
}

#[test_case(true; "engines that check the fencing number")]
#[test_case(false; "engines that ignore the fencing number")]
fn the_effect_of_stale_orders_is_undone(checks_fencing: bool) {
    let (old, new) = (document(1, "v1", 0), document(2, "v2", 0));
    let mut view = engines(4);
    roll_out(&mut view, &old, 0);
    let mut stale_view = view.clone();
    stale_view[0].models.clear();
    let stale_orders = derive_orders(&old, &stale_view, &IndexMap::new());
    assert_eq!(stale_orders.len(), 1);
    roll_out(&mut view, &new, 3);
    // An instance with the old generation that sees the new fencing number derives no order.
    assert!(derive_orders(&old, &view, &IndexMap::new()).is_empty());
    // An instance whose process was paused sends an order that it derived before the pause.
    assert_eq!(
        apply(&mut view, &stale_orders[0], checks_fencing),
        !checks_fencing
    );
    finish_loads(&mut view);
    roll_out(&mut view, &new, 3);
    let version = |e: &ObservedEngine| e.model(&model()).unwrap().version.clone();
    assert!(view.iter().all(|e| version(e) == "v2"));
}

#[test]
fn a_late_tick_blocks_orders_until_a_later_read_confirms_the_document() {
    let at = Timestamp::from_millis;
    let mut guard = IssueGuard::new(at(0));
    assert!(!guard.may_issue(at(0)));
    guard.on_confirmed(at(0));
    guard.on_tick(at(2_000));
    assert!(guard.may_issue(at(2_000)));
    assert!(
        !guard.may_issue(at(4_001)),
        "after a pause, before the first tick"
    );
    guard.on_tick(at(4_001));
    guard.on_confirmed(at(4_000));
    assert!(
        !guard.may_issue(at(4_001)),
        "the read began before the pause"
    );
    guard.on_confirmed(at(4_001));
    assert!(guard.may_issue(at(4_001)));
}

#[test]
fn removed_models_are_unloaded_and_roles_are_set() {
    let mut view = engines(1);
    roll_out(&mut view, &document(1, "v1", 0), 0);
    let mut removed = view[0].models[0].clone();
    removed.model = "removed".parse().unwrap();
    view[0].models.push(removed);
    let roles = IndexMap::from([(view[0].server.clone(), "long".into())]);
    let kinds: Vec<OrderKind> = derive_orders(&document(1, "v1", 0), &view, &roles)
        .into_iter()
        .map(|order| order.kind)
        .collect();
    let unload = OrderKind::Unload {
        model: "removed".parse().unwrap(),
    };
    let role = OrderKind::Role {
        role: "long".into(),
    };
    assert_eq!(kinds, [unload, role]);
}
