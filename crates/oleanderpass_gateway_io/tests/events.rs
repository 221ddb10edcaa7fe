//! Check the split of a stream into whole events.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use oleanderpass_gateway_io::events::BadStream;
use oleanderpass_gateway_io::events::EventSplitter;
use test_case::test_case;

const EVENTS: &str = "id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\ndata: c\n\n";

/// Guards against a part of an event that reaches a caller, for every way to cut the bytes.
#[test]
fn only_whole_events_pass() {
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

#[test_case(Some(0), "id: 2\n\n", BadStream::OutOfOrder; "an event is missing")]
#[test_case(Some(1), "id: 1\n\n", BadStream::OutOfOrder; "an event came twice")]
#[test_case(None, "data: x\n\n", BadStream::NoNumber; "no number")]
fn bad_streams(after: Option<u64>, bytes: &str, expected: BadStream) {
    let mut splitter = EventSplitter::after(after);
    assert_eq!(splitter.push(bytes.as_bytes()), Err(expected));
    assert_eq!(splitter.last(), after, "a resume would skip an event");
}

/// Guards against a stream that ends in the middle of an event and looks complete.
#[test]
fn part_of_an_event_is_noticed() {
    let mut splitter = EventSplitter::after(None);
    splitter.push(b"id: 0\n\nid: 1\nda").unwrap();
    assert!(!splitter.is_at_boundary());
}

#[test]
fn lines_may_end_with_carriage_returns() {
    let mut splitter = EventSplitter::after(Some(4));
    let (whole, count) = splitter.push(b"id: 5\r\ndata: x\r\n\r\nid: 6").unwrap();
    assert_eq!(
        (whole.as_ref(), count),
        (&b"id: 5\r\ndata: x\r\n\r\n"[..], 1)
    );
}
