//! Check the values that the plots of a day take from the logs.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use oleanderpass_bench::day::Day;

const LOG: &str = r#"
  1.0 edge-1 {"timestamp":"2026-01-28T23:59:58.000Z","message":"an attempt begins","request":"a","server_zone":"hafnir","part_ms":300,"helpers":4}
  1.0 edge-2 {"timestamp":"2026-01-28T23:59:58.200Z","message":"a request ended","request":"b","status":503,"cause":"no_capacity","prompt_tokens":4000,"elapsed_ms":1}
  1.5 edge-1 {"timestamp":"2026-01-29T00:00:00.000Z","message":"an attempt ended","request":"a","first_event_ms":1500}
  1.5 edge-1 {"timestamp":"2026-01-29T00:00:00.000Z","message":"a request ended","request":"a","status":200,"cause":"delivered","prompt_tokens":45000,"elapsed_ms":2500}
  2.0 edge-1 {"timestamp":"2026-01-29T00:0
"#;

/// Guards against a time to first token that leaves out the time before the first attempt, times
/// that are wrong after midnight, and cut lines that are not counted.
#[test]
fn log_yields_first_tokens_refusals_and_prefill_time() {
    let day = Day::read(LOG.as_bytes()).unwrap();
    let first = day.first_token_medians();
    assert_eq!(first[0].name, "below 100,000 tokens");
    let (at, seconds) = first[0].points[0];
    assert!(
        (at - 2.0).abs() < 1e-6 && (seconds - 2.0).abs() < 1e-3,
        "{at} {seconds}"
    );
    let refusals = day.refusals();
    assert_eq!(
        (refusals.len(), refusals[0].name.as_str()),
        (1, "no_capacity")
    );
    let prefill = day.prefill_started();
    assert_eq!(
        (prefill[0].name.as_str(), prefill[0].points[0]),
        ("hafnir", (0.0, 1.5))
    );
    assert_eq!(day.skipped_lines(), 1);
}
