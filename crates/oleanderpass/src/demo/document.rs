//! Hold the environment document of the demo.

use oleanderpass_config::canonical::digest;

/// API key of the demo's caller.
pub(crate) const KEY: &str = "demo-key";
/// Name of the model.
pub(crate) const MODEL: &str = "quince-7b";
/// Route whose requests must not run twice.
pub(crate) const CHARGE_ROUTE: &str = "charge";
/// Route whose requests may run twice.
pub(crate) const BALANCE_ROUTE: &str = "balance";
/// Availability zones.
pub(crate) const ZONES: [&str; 3] = ["keflavik", "grindavik", "hafnir"];
/// Service of the engines.
pub(crate) const ENGINE_SERVICE: &str = "skald";
/// Service of the ledger.
pub(crate) const PLAIN_SERVICE: &str = "bokhald";
/// KV memory of one engine, in tokens: less than half of the longest prompt (section 1.2 of the
/// design).
pub(crate) const ENGINE_MEMORY_TOKENS: u64 = 400_000;
/// Prefill rate of one engine, in tokens per second. The demo has to end in 30 s, so the rate is
/// about ten times that of an accelerator.
pub(crate) const PREFILL_TOKENS_PER_S: u64 = 400_000;
/// Time between tokens, in milliseconds.
pub(crate) const TOKEN_MS: u64 = 5;

/// Write the document of a generation.
pub(crate) fn document(generation: u64) -> String {
    let zones = ZONES.join(", ");
    let key = digest(KEY.as_bytes());
    format!(
        "\
generation: {generation}
environment:
  name: demo
  zones: [{zones}]
  weight_store:
    concurrent_loads_per_zone: 1
defaults:
  timeout_ms: 20000
services:
  - id: {ENGINE_SERVICE}
    kind: engine
    checks_fencing: true
    checks_deadline: true
    memory_tokens: {ENGINE_MEMORY_TOKENS}
    prefill_tokens_per_s: {PREFILL_TOKENS_PER_S}
    token_ms: {TOKEN_MS}
    concurrent_requests: 64
  - id: {PLAIN_SERVICE}
    kind: plain
    checks_deadline: true
    concurrent_requests: 64
models:
  - id: {MODEL}
    version: \"1\"
    service: {ENGINE_SERVICE}
    max_prompt_tokens: 1000000
routes:
  - id: {BALANCE_ROUTE}
    service: {PLAIN_SERVICE}
    idempotent: true
  - id: {CHARGE_ROUTE}
    service: {PLAIN_SERVICE}
    idempotent: false
    ticket: required
organisations:
  - id: medlar-preserves
    class: large
    models: [{MODEL}]
    routes: [{BALANCE_ROUTE}, {CHARGE_ROUTE}]
    callers:
      - id: counter
        key_sha256: {key}
"
    )
}
