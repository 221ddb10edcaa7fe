//! Guard against errors of a document that are missed or reported with a wrong line or path.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed unwrap fails the test"
)]

use oleanderpass_config::content::Content;
use test_case::test_case;

const VALID: &str = "\
generation: 7
environment: {name: trial, zones: [a, b]}
services:
  - id: engines
    kind: engine
    memory_tokens: 400000
    prefill_tokens_per_s: 20000
  - id: ledger
    kind: plain
models:
  - id: large
    version: v1
    service: engines
    max_prompt_tokens: 1000000
    adapters:
      - {id: tone, version: a1}
routes:
  - id: charge
    service: ledger
organisations:
  - id: acme
    class: large
    models: [large]
    routes: [charge]
    callers:
      - id: shop
        key_sha256: 0000000000000000000000000000000000000000000000000000000000000001
";

fn errors(text: &str) -> Vec<String> {
    match Content::from_yaml(text) {
        Ok(_) => Vec::new(),
        Err(errors) => errors.0.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn valid_document_has_no_errors() {
    assert_eq!(errors(VALID), Vec::<String>::new());
}

#[test_case(
    "generation: 7",
    "generation: 0",
    "line 1: generation: must be at least 1"
)]
#[test_case("generation: 7\n", "", "line 1: generation: must be at least 1"; "missing")]
#[test_case(
    "zones: [a, b]",
    "zones: [a, a]",
    "line 2: environment.zones[1]: appears twice"
)]
#[test_case(
    "    memory_tokens: 400000\n",
    "",
    "line 4: services[0]: an engine needs memory_tokens and prefill_tokens_per_s"
)]
#[test_case(
    "kind: plain",
    "kind: plane",
    "line 9: services[1].kind: `plane` isn't one of `engine`, `plain`"
)]
#[test_case(
    "service: engines",
    "service: ledger",
    "line 13: models[0].service: `ledger` is not of kind `engine`"
)]
#[test_case(
    "service: engines",
    "service: motors",
    "line 13: models[0].service: there is no service `motors`"
)]
#[test_case(
    "version: a1",
    "version: ''",
    "line 16: models[0].adapters[0].version: is missing"
)]
#[test_case(
    "service: ledger",
    "service: ledger\n    idempotent: true\n    ticket: optional",
    "line 21: routes[0].ticket: an idempotent route takes no ticket"
)]
#[test_case(
    "service: ledger",
    "service: ledger\n    timeout_ms: 3600001",
    "line 20: routes[0].timeout_ms: must be at most 3600000"
)]
#[test_case(
    "services:",
    "defaults: {timeout_ms: 9, max_timeout_ms: 8}\nservices:",
    "line 3: defaults.timeout_ms: must be at most max_timeout_ms"
)]
#[test_case(
    "models: [large]",
    "models: [small]",
    "line 23: organisations[0].models[0]: `small` is not defined"
)]
#[test_case(
    "routes: [charge]",
    "routes: [charge, charge]",
    "line 24: organisations[0].routes[1]: appears twice"
)]
#[test_case(
    "      - id: shop",
    "      - {id: x, key_sha256: 0000000000000000000000000000000000000000000000000000000000000001}\n      - id: shop",
    "line 28: organisations[0].callers[1].key_sha256: another caller has the same key"
)]
#[test_case(
    "key_sha256: 0",
    "key_sha256: g",
    "line 27: organisations[0].callers[0].key_sha256: a SHA-256 digest has 64 hexadecimal digits"
)]
fn error_has_line_path_and_cause(from: &str, to: &str, expected: &str) {
    let text = VALID.replacen(from, to, 1);
    assert_ne!(text, VALID);
    let found = errors(&text);
    assert!(found.iter().any(|error| error == expected), "{found:#?}");
}

/// Guards against a report that stops at the first unknown key or value of a wrong type.
#[test]
fn every_parse_error_is_reported() {
    let text = VALID
        .replacen("kind: plain", "kinde: plain", 1)
        .replacen("class: large", "class: large\n    limit: {}", 1)
        .replacen("max_prompt_tokens: 1000000", "max_prompt_tokens: many", 1)
        .replacen("generation: 7", "generation: 7\nenvironmint: {}", 1);
    let found = errors(&text);
    let starts = [
        "line 2: environmint: unknown field `environmint`",
        "line 10: services[1].kinde: unknown field `kinde`",
        "line 15: models[0].max_prompt_tokens: invalid u64",
        "line 24: organisations[0].limit: unknown field `limit`",
    ];
    assert_eq!(found.len(), starts.len(), "{found:#?}");
    for (error, start) in found.iter().zip(starts) {
        assert!(error.starts_with(start), "{error}");
    }
}

#[test_case("generation: [", 1; "not YAML")]
#[test_case("generation: 7\ngeneration: 8\n", 2; "duplicate key")]
#[test_case("generation: 7\nenvironment: {name: *none}\n", 2; "unknown alias")]
fn text_that_is_not_yaml_has_a_line(text: &str, line: u64) {
    let found = Content::from_yaml(text).unwrap_err();
    assert_eq!(found.0[0].line, Some(line), "{found}");
}
