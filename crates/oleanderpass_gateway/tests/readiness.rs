//! Check how readiness is decided and described.

use oleanderpass_gateway::readiness::Readiness;
use oleanderpass_gateway::readiness::Reason;
use oleanderpass_types::clock::Timestamp;
use strum::IntoEnumIterator;
use test_case::test_case;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// Return the state of an instance that lacks nothing, on a machine that has just booted.
fn ready() -> Readiness {
    let mut readiness = Readiness::new(Timestamp::ORIGIN);
    for reason in Reason::iter() {
        readiness.set(Timestamp::ORIGIN, reason, false);
    }
    assert!(readiness.is_ready());
    readiness
}

/// Guards against a thing that isn't needed to serve keeping an instance from it, and against callers
/// sent to an instance that can't serve them. Each reason names itself in one line.
#[test]
fn only_what_serving_needs_keeps_an_instance_from_it() {
    for reason in Reason::iter() {
        let mut readiness = ready();
        readiness.set(at(1_000), reason, true);
        readiness.set_error(reason, "line 1\nline 2");
        assert_eq!(
            readiness.is_ready(),
            !reason.keeps_from_serving(),
            "{reason}"
        );
        let lines: Vec<String> = readiness.describe(at(3_500)).collect();
        let expected = format!("{reason} for 2500 ms, last error: line 1 line 2");
        assert!(
            matches!(&lines[..], [line] if line.ends_with(&expected)),
            "{lines:?}"
        );
        readiness.set(at(4_000), reason, false);
        assert_eq!(readiness.describe(at(4_000)).count(), 0);
    }
}

/// Guards against an age or an error that belongs to an earlier time at which a reason applied.
#[test_case("short", "short"; "whole")]
#[test_case(&"é".repeat(500), &"é".repeat(400); "too long")]
fn reason_that_applies_again_begins_anew(error: &str, kept: &str) {
    let mut readiness = ready();
    let reason = Reason::NoConfiguration;
    readiness.set(at(0), reason, true);
    readiness.set_error(reason, error);
    readiness.set(at(500), reason, true);
    let line = readiness.describe(at(700)).next();
    let expected = format!("not ready: no_configuration for 700 ms, last error: {kept}");
    assert_eq!(line, Some(expected));
    readiness.set(at(800), reason, false);
    readiness.set_error(reason, "late");
    readiness.set(at(900), reason, true);
    let line = readiness.describe(at(900)).next();
    assert_eq!(
        line.as_deref(),
        Some("not ready: no_configuration for 0 ms")
    );
}
