//! Check that a stream is split into whole events.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use oleanderpass_gateway_io::events::EventSplitter;
use oleanderpass_gateway_io::events::StreamError;
use test_case::test_case;

const EVENTS: &str = "id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\ndata: c\n\n";

/// Guards against a part of an event reaching a caller, whatever the size of the pieces in which
/// the bytes arrive.
#[test]
fn only_whole_events_are_returned() {
    for size in 1..EVENTS.len() {
        let mut splitter = EventSplitter::after(None);
        let mut out = String::new();
        for piece in EVENTS.as_bytes().chunks(size) {
            let (whole, _) = splitter.push(piece).unwrap();
            let whole = String::from_utf8(whole.to_vec()).unwrap();
            assert!(whole.is_empty() || whole.ends_with("\n\n"));
            out += &whole;
        }
        assert_eq!(out, EVENTS);
        assert!(splitter.is_at_boundary());
        assert_eq!(splitter.last(), Some(2));
    }
}

/// Guards against an invalid event that is accepted, and against a resume that skips an event after
/// it.
#[test_case(Some(0), "id: 2\n\n", StreamError::OutOfOrder; "an event is missing")]
#[test_case(Some(1), "id: 1\n\n", StreamError::OutOfOrder; "an event came twice")]
#[test_case(None, "data: x\n\n", StreamError::NoNumber; "no number")]
fn invalid_event_is_rejected(after: Option<u64>, bytes: &str, expected: StreamError) {
    let mut splitter = EventSplitter::after(after);
    assert_eq!(splitter.push(bytes.as_bytes()), Err(expected));
    assert_eq!(splitter.last(), after, "a resume would skip an event");
}

/// Guards against a stream that ends within an event and looks complete.
#[test]
fn partial_event_is_no_boundary() {
    let mut splitter = EventSplitter::after(None);
    splitter.push(b"id: 0\n\nid: 1\nda").unwrap();
    assert!(!splitter.is_at_boundary());
}

/// Guards against events that are missed because their lines end with CR LF.
#[test]
fn lines_may_end_with_cr_lf() {
    let mut splitter = EventSplitter::after(Some(4));
    let (whole, count) = splitter.push(b"id: 5\r\ndata: x\r\n\r\nid: 6").unwrap();
    assert_eq!(
        (whole.as_ref(), count),
        (&b"id: 5\r\ndata: x\r\n\r\n"[..], 1)
    );
}
