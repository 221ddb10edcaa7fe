//! Check that a stream is split into whole events.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use oleanderpass_gateway::memory::AnswerMemory;
use oleanderpass_gateway_io::events::EventSplitter;
use oleanderpass_gateway_io::events::StreamError;
use oleanderpass_types::size::Bytes;
use rustix::time::ClockId;
use rustix::time::clock_gettime;
use test_case::test_case;

const EVENTS: &str = "id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\ndata: c\n\n";

const MB: u64 = 1 << 20;

fn memory() -> AnswerMemory {
    AnswerMemory::new(Bytes::new(160 * MB))
}

/// Guards against a part of an event reaching a caller, whatever the size of the pieces in which
/// the bytes arrive.
#[test]
fn only_whole_events_are_returned() {
    for size in 1..EVENTS.len() {
        let mut splitter = EventSplitter::after(None, &memory());
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
    let mut splitter = EventSplitter::after(after, &memory());
    assert_eq!(splitter.push(bytes.as_bytes()).unwrap_err(), expected);
    assert_eq!(splitter.last(), after, "a resume would skip an event");
}

/// Guards against a stream that ends within an event and looks complete.
#[test]
fn partial_event_is_no_boundary() {
    let mut splitter = EventSplitter::after(None, &memory());
    splitter.push(b"id: 0\n\nid: 1\nda").unwrap();
    assert!(!splitter.is_at_boundary());
}

/// Guards against events that are missed because their lines end with CR LF.
#[test]
fn lines_may_end_with_cr_lf() {
    let mut splitter = EventSplitter::after(Some(4), &memory());
    let (whole, count) = splitter.push(b"id: 5\r\ndata: x\r\n\r\nid: 6").unwrap();
    assert_eq!(
        (whole.to_vec().as_slice(), count),
        (&b"id: 5\r\ndata: x\r\n\r\n"[..], 1)
    );
}

/// Guards against a large event that isn't relayed, and against processor time that grows with the
/// square of the length of an event because its end is looked for from its start at each piece.
#[test_case(64; "in small pieces")]
#[test_case(64 * 1024; "in large pieces")]
fn large_event_is_whole_and_read_once(piece: usize) {
    let memory = memory();
    let mut splitter = EventSplitter::after(None, &memory);
    let event = format!("id: 0\ndata: {}\n\n", "x".repeat(8 * MB as usize));
    let began = clock_gettime(ClockId::ThreadCPUTime);
    let mut out = Vec::new();
    for part in event.as_bytes().chunks(piece) {
        let (whole, _) = splitter.push(part).unwrap();
        out.extend(whole.to_vec());
    }
    let took = clock_gettime(ClockId::ThreadCPUTime).tv_sec - began.tv_sec;
    assert!(out == event.as_bytes(), "the event has changed");
    assert!(memory.used() == Bytes::ZERO, "{}", memory.used());
    assert!(took < 5, "{took} s of processor time");
}

/// Guards against processor time that grows with the square of the number of events in a piece.
#[test]
fn many_events_in_one_piece_are_read_once() {
    let events: String = (0..100_000).map(|n| format!("id: {n}\n\n")).collect();
    let mut splitter = EventSplitter::after(None, &memory());
    let began = clock_gettime(ClockId::ThreadCPUTime);
    let (whole, count) = splitter.push(events.as_bytes()).unwrap();
    let took = clock_gettime(ClockId::ThreadCPUTime).tv_sec - began.tv_sec;
    assert_eq!((whole.len(), count), (events.len(), 100_000));
    assert!(took < 5, "{took} s of processor time");
}

/// Guards against events without end that together take the memory of the process.
#[test_case(16 * 1024; "in large pieces")]
#[test_case(7; "in small pieces")]
fn endless_events_are_given_up(piece: usize) {
    let memory = AnswerMemory::new(Bytes::new(8 * MB));
    let mut splitters: Vec<_> = (0..20)
        .map(|_| EventSplitter::after(None, &memory))
        .collect();
    let data = vec![b'x'; piece];
    let mut most = Bytes::ZERO;
    while !splitters.is_empty() {
        splitters.retain_mut(|splitter| match splitter.push(&data) {
            Ok(_) => true,
            Err(error) => {
                assert!(matches!(error, StreamError::NoRoom(_)), "{error}");
                false
            }
        });
        if most < memory.used() {
            most = memory.used();
        }
    }
    assert!(most <= Bytes::new(4 * MB), "{most}");
    assert_eq!(memory.used(), Bytes::ZERO);
}
