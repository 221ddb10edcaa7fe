//! Guard against answers that are incomplete, repeated or mixed with another answer.

use oleanderpass_core::stream::Assembler;
use oleanderpass_core::stream::FeedResult;
use oleanderpass_core::stream::Recovery;
use oleanderpass_core::stream::StreamEvent;
use oleanderpass_types::clock::Timestamp;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prelude::proptest;
use proptest::test_runner::RngSeed;
use test_case::test_case;

const ID: &str = "a:1:1:1";

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn event(id: &str, sequence: u64, done: bool) -> StreamEvent {
    let text = if done {
        String::new()
    } else {
        format!("<{sequence}>")
    };
    StreamEvent {
        id: id.into(),
        sequence,
        text,
        done,
    }
}

/// Return an assembler that has delivered some events.
fn assembler_after(delivered: u64) -> Assembler {
    let mut assembler = Assembler::new(ID, at(0));
    for sequence in 0..delivered {
        assembler.feed(at(0), event(ID, sequence, false));
    }
    assembler
}

/// Guards against events that are delivered twice or out of order, and against an answer that ends
/// as complete although events are missing.
#[test_case(2, false, FeedResult::Deliver("<2>".into()); "next")]
#[test_case(1, false, FeedResult::Duplicate; "delivered before")]
#[test_case(3, false, FeedResult::MissingEvents { expected: 2, received: 3 }; "one missing")]
#[test_case(2, true, FeedResult::Complete; "complete")]
#[test_case(4, true, FeedResult::MissingEvents { expected: 2, received: 4 }; "end with events missing")]
#[test_case(1, true, FeedResult::Inconsistent { delivered: 2, announced: 1 }; "end announces fewer events than delivered")]
fn only_the_next_event_is_delivered(sequence: u64, done: bool, expected: FeedResult) {
    let mut assembler = assembler_after(2);
    assert_eq!(assembler.feed(at(1), event(ID, sequence, done)), expected);
    assert_eq!(assembler.is_complete(), expected == FeedResult::Complete);
}

/// Guards against text, or an end, that belongs to another answer.
#[test]
fn events_of_another_stream_are_dropped() {
    let mut assembler = assembler_after(2);
    for done in [false, true] {
        let result = assembler.feed(at(1), event("a:1:1:2", 2, done));
        assert_eq!(result, FeedResult::OtherStream);
    }
    assert_eq!(assembler.next_sequence(), 2);
    assert!(!assembler.is_complete());
}

/// Guards against text after the end, and against the resume of a complete stream.
#[test]
fn events_after_the_end_are_dropped() {
    let mut assembler = assembler_after(1);
    assembler.feed(at(1), event(ID, 1, true));
    assert_eq!(
        assembler.feed(at(2), event(ID, 1, false)),
        FeedResult::Duplicate
    );
    assert_eq!(assembler.check_silence(at(60_000)), None);
}

/// Guards against the resume of a healthy connection on which no new text arrives for a while.
#[test]
fn keep_alives_prevent_a_resume() {
    let mut assembler = assembler_after(0);
    for second in 1..120 {
        assert_eq!(assembler.check_silence(at(second * 1_000)), None);
        assembler.on_bytes(at(second * 1_000));
    }
}

/// Guards against an attempt that waits for a dead connection, and against text that is repeated or
/// lost by the resume.
#[test]
fn a_silent_connection_is_resumed_after_3_s_from_the_next_event() {
    let mut assembler = assembler_after(5);
    assert_eq!(assembler.check_silence(at(2_999)), None);
    assert_eq!(
        assembler.check_silence(at(3_000)),
        Some(Recovery::Resume { from: 5 })
    );
}

/// Guards against endless resumes from an engine that doesn't answer.
#[test]
fn two_silent_resumes_fail_the_attempt() {
    let mut assembler = assembler_after(5);
    assert_eq!(
        assembler.check_silence(at(3_000)),
        Some(Recovery::Resume { from: 5 })
    );
    assert_eq!(assembler.check_silence(at(3_999)), None);
    assert_eq!(
        assembler.check_silence(at(4_000)),
        Some(Recovery::Resume { from: 5 })
    );
    assert_eq!(assembler.check_silence(at(5_000)), Some(Recovery::Fail));
}

/// Guards against an attempt that fails although its failed resumes are far apart.
#[test_case(2_000, Recovery::Fail; "within the window")]
#[test_case(2_001, Recovery::Resume { from: 5 }; "after the window")]
fn only_two_failed_resumes_within_2_s_fail_the_attempt(interval: u64, expected: Recovery) {
    let mut assembler = assembler_after(5);
    assembler.on_connection_lost(at(0));
    assembler.on_connection_lost(at(10));
    assert_eq!(assembler.on_connection_lost(at(10 + interval)), expected);
}

/// Guards against endless resumes from an engine that no longer sends the missing events.
#[test]
fn a_resumed_stream_that_still_misses_events_fails() {
    let mut assembler = assembler_after(5);
    let mut last = Recovery::Resume { from: 5 };
    for ms in 1..=3 {
        let result = assembler.feed(at(ms), event(ID, 7, false));
        assert_eq!(
            result,
            FeedResult::MissingEvents {
                expected: 5,
                received: 7
            }
        );
        last = assembler.on_connection_lost(at(ms));
    }
    assert_eq!(last, Recovery::Fail);
}

/// Guards against an attempt that fails because of many lost connections, although each resume
/// delivers new events.
#[test]
fn new_events_between_lost_connections_keep_the_attempt_alive() {
    let mut assembler = assembler_after(0);
    for sequence in 0..50 {
        let lost = assembler.on_connection_lost(at(sequence));
        assert_eq!(lost, Recovery::Resume { from: sequence });
        let result = assembler.feed(at(sequence), event(ID, sequence, false));
        assert!(matches!(result, FeedResult::Deliver(_)));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
    rng_seed: RngSeed::Fixed(1),
    failure_persistence: None,
    ..ProptestConfig::default()
})]

    /// Guards against lost, repeated and reordered text for any sequence of events.
    #[test]
    fn delivered_text_is_always_a_prefix_of_the_answer(
        arrivals in proptest::collection::vec((0_u64..8, any::<bool>(), any::<bool>()), 0..64),
    ) {
        let mut assembler = Assembler::new(ID, at(0));
        let mut text = String::new();
        for (sequence, own, done) in arrivals {
            let id = if own { ID } else { "other" };
            let done = done && sequence == 7;
            if let FeedResult::Deliver(part) = assembler.feed(at(0), event(id, sequence, done)) {
                text.push_str(&part);
            }
        }
        let whole: String = (0..8).map(|n| format!("<{n}>")).collect();
        assert!(whole.starts_with(&text));
        assert!(!assembler.is_complete() || assembler.next_sequence() == 7);
    }
}
