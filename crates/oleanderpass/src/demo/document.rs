//! Build the environment document of the demo.

use oleanderpass_config::canonical::digest;

/// API key of the caller.
pub(crate) const API_KEY: &str = "demo-key";
/// The model that the engines load.
pub(crate) const MODEL: &str = "quince-7b";
/// Non-idempotent route; its requests need a ticket.
pub(crate) const CHARGE_ROUTE: &str = "charge";
/// Idempotent route.
pub(crate) const BALANCE_ROUTE: &str = "balance";
/// Availability zones.
pub(crate) const ZONES: [&str; 3] = ["keflavik", "grindavik", "hafnir"];
/// Name of the service of the engines.
pub(crate) const ENGINE_SERVICE: &str = "skald";
/// Name of the plain service, a ledger.
pub(crate) const PLAIN_SERVICE: &str = "bokhald";
/// KV cache memory of one engine, in tokens. It is less than half of the longest prompt, which has
/// to be spread over several engines (section 1.2 of the design).
pub(crate) const ENGINE_MEMORY_TOKENS: u64 = 400_000;
/// Prefill rate of one engine, in tokens per second. It is about ten times the rate of an
/// accelerator, because the demo has to end within 30 s.
pub(crate) const PREFILL_TOKENS_PER_S: u64 = 400_000;
/// Time between two generated tokens, in milliseconds.
pub(crate) const TOKEN_MS: u64 = 5;

/// Return the document of a generation. Documents of different generations differ in nothing else.
pub(crate) fn document(generation: u64) -> String {
    let zones = ZONES.join(", ");
    let key = digest(API_KEY.as_bytes());
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
