//! Check the rate limit of the log.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::Duration;
use std::time::Instant;

use oleanderpass_gateway_io::logging::LineLimiter;
use oleanderpass_gateway_io::logging::MAX_LINE_BYTES;
use oleanderpass_gateway_io::logging::MAX_LINES_PER_S;
use oleanderpass_gateway_io::logging::shorten;

/// Guards against a log that grows with the load, and against lines that are dropped without a
/// report.
#[test]
fn lines_beyond_the_limit_are_dropped_and_counted() {
    let began = Instant::now();
    let mut limiter = LineLimiter::new(began);
    let written = (0..1_000).filter(|_| limiter.record_line(began).0).count();
    assert_eq!(written, MAX_LINES_PER_S as usize);
    let next = began + Duration::from_secs(1);
    let dropped = 1_000 - u64::from(MAX_LINES_PER_S);
    assert_eq!(limiter.record_line(next), (true, dropped));
    assert_eq!(limiter.record_line(next), (true, 0));
}

/// Guards against a queue of lines that takes the memory of the process because they quote long names
/// from a server's answers.
#[test]
fn long_line_is_replaced() {
    let line = vec![b'x'; MAX_LINE_BYTES];
    assert_eq!(shorten(&line).as_ref(), line);
    let long = vec![b'x'; MAX_LINE_BYTES + 1];
    let note = String::from_utf8(shorten(&long).into_owned()).unwrap();
    let note: serde_json::Value = serde_json::from_str(&note).unwrap();
    assert_eq!(note["bytes"], MAX_LINE_BYTES + 1);
}
