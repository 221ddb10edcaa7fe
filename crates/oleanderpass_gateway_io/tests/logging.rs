//! Check the rate limit of the log.

use std::time::Duration;
use std::time::Instant;

use oleanderpass_gateway_io::logging::LineLimiter;
use oleanderpass_gateway_io::logging::MAX_LINES_PER_S;

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
