//! Guard against a promotion with a change that isn't reported, or that is reported for the wrong
//! organisations.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed unwrap fails the test"
)]

use oleanderpass_config::content::Content;
use oleanderpass_config::promotion::diff;
use test_case::test_case;

const OLD: &str = "\
generation: 7
environment: {name: trial, zones: [a]}
services:
  - {id: engines, kind: engine, memory_tokens: 4, prefill_tokens_per_s: 2}
  - {id: spare, kind: engine, memory_tokens: 4, prefill_tokens_per_s: 2}
  - {id: ledger, kind: plain}
models:
  - {id: large, version: v1, service: engines, max_prompt_tokens: 10}
  - {id: large.b, version: v1, service: spare, max_prompt_tokens: 10}
routes:
  - {id: charge, service: ledger}
organisations:
  - {id: one, class: large, models: [large]}
  - {id: two, class: large, models: [large.b], routes: [charge]}
  - {id: three, class: small}
";

#[test_case("{id: large, version: v1", "{id: large, version: v2", r#"models.large.version: "v1" -> "v2""#, "one"; "model version")]
#[test_case("{id: large.b, version: v1", "{id: large.b, version: v2", r#"models.large.b.version: "v1" -> "v2""#, "two"; "id with a dot")]
#[test_case("engines, kind: engine, memory_tokens: 4", "engines, kind: engine, memory_tokens: 5", "services.engines.memory_tokens: 4 -> 5", "one"; "service of a model")]
#[test_case("service: ledger}", "service: ledger, timeout_ms: 5}", "routes.charge.timeout_ms: added 5", "two"; "route")]
#[test_case("{id: three, class: small}", "{id: three, class: large}", r#"organisations.three.class: "small" -> "large""#, "three"; "organisation")]
#[test_case("  - {id: three, class: small}\n", "", r#"organisations.three: removed {"class":"small","id":"three"}"#, "three"; "removed organisation")]
#[test_case("name: trial", "name: production", r#"environment.name: "trial" -> "production""#, "one two three"; "environment")]
fn change_has_its_path_and_affected_organisations(
    from: &str,
    to: &str,
    change: &str,
    organisations: &str,
) {
    let old = Content::from_yaml(OLD).unwrap();
    let text = OLD.replacen("generation: 7", "generation: 8", 1);
    let new = Content::from_yaml(&text.replacen(from, to, 1)).unwrap();
    let promotion = diff(&old, &new).unwrap();
    let changes: Vec<_> = promotion.changes.iter().map(ToString::to_string).collect();
    assert_eq!(changes, [change]);
    let mut affected: Vec<_> = promotion
        .organisations
        .keys()
        .map(ToString::to_string)
        .collect();
    let mut expected: Vec<_> = organisations.split(' ').map(str::to_owned).collect();
    affected.sort();
    expected.sort();
    assert_eq!(affected, expected);
}

#[test_case(7; "equal")]
#[test_case(6; "lower")]
fn generation_must_be_higher(generation: u64) {
    let old = Content::from_yaml(OLD).unwrap();
    let text = OLD.replacen("generation: 7", &format!("generation: {generation}"), 1);
    let error = diff(&old, &Content::from_yaml(&text).unwrap()).unwrap_err();
    let expected = format!("generation {generation} isn't higher than generation 7");
    assert_eq!(error.to_string(), expected);
}
