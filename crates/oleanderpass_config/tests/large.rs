//! Guard against a change of a large document that costs an instance more bandwidth than allowed.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed unwrap fails the test"
)]

use std::fmt::Write;
use std::time::Instant;

use oleanderpass_config::content::Content;
use oleanderpass_config::delta;
use oleanderpass_config::document::MAX_DOCUMENT_BYTES;

/// The number of organisations in the largest planned deployment.
const ORGANISATIONS: usize = 1_300;

/// The number of changes per day in the largest planned deployment.
const CHANGES_PER_DAY: usize = 34_000;

/// The bytes that an instance may spend on deltas per second: a tenth of the 5 KB/s that it has for
/// control traffic.
const MAX_BYTES_PER_S: f64 = 500.0;

/// Return the text of a document. The request limit of one organisation is `rate`, the others have
/// 10.
fn document(generation: u64, rate: u64) -> String {
    let mut text = format!(
        "generation: {generation}\nenvironment: {{name: x, zones: [a, b, c]}}\n\
         services:\n  - {{id: e, kind: engine, memory_tokens: 4, prefill_tokens_per_s: 2}}\n\
         models:\n  - {{id: m, version: v1, service: e, max_prompt_tokens: 10}}\norganisations:\n"
    );
    for number in 0..ORGANISATIONS {
        let rate = if number == 700 { rate } else { 10 };
        let _ = write!(
            text,
            "  - id: organisation-{number}\n    class: standard\n    models: [m]\n    \
             limits: {{requests_per_s: {rate}, tokens_per_s: 40000}}\n    callers:\n"
        );
        for caller in 0..5 {
            let key = number * 10 + caller;
            let _ = writeln!(
                text,
                "      - {{id: caller-{caller}, key_sha256: {key:064}}}"
            );
        }
    }
    text
}

#[test]
fn small_change_of_a_large_document_is_cheap_to_send() {
    let text = document(7, 10);
    assert!(text.len() > MAX_DOCUMENT_BYTES * 3 / 4 && text.len() <= MAX_DOCUMENT_BYTES);
    let start = Instant::now();
    let old = Content::from_yaml(&text).unwrap();
    let check = start.elapsed();
    let new = Content::from_yaml(&document(8, 20)).unwrap();
    let start = Instant::now();
    let patch = delta::diff(&old.canonical, &new.canonical).unwrap();
    let diff = start.elapsed();
    let deltas = [oleanderpass_proto::peer::DocumentDelta {
        patch: patch.clone(),
        ..Default::default()
    }];
    let start = Instant::now();
    let json = delta::apply(&old.canonical, &deltas).unwrap();
    let content = Content::from_json(&json).unwrap();
    let apply = start.elapsed();
    assert_eq!(content.version(), new.version());
    let bytes_per_s = (patch.len() * CHANGES_PER_DAY) as f64 / 86_400.0;
    println!(
        "{} bytes of YAML, {} canonical: delta of {} bytes, {bytes_per_s:.0} bytes/s; \
         check {check:?}, diff {diff:?}, apply and check {apply:?}",
        text.len(),
        old.canonical.len(),
        patch.len()
    );
    assert!(bytes_per_s <= MAX_BYTES_PER_S);
}
