//! Test when the transfer of a document is given up.

use oleanderpass_gateway::transfer::STALL_TIME;
use oleanderpass_gateway::transfer::Transfer;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::size::Bytes;
use test_case::test_case;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// Receive parts of `part_bytes` each `interval_ms` until the transfer stalls or `parts` have
/// arrived. Return how many did.
fn receive(parts: u64, part_bytes: u64, interval_ms: u64) -> u64 {
    let mut transfer = Transfer::new(at(0), STALL_TIME);
    transfer.on_head(at(0));
    for part in 1..=parts {
        let now = at(part * interval_ms);
        if now >= transfer.stalls_at() {
            return part - 1;
        }
        transfer.on_received(now, Bytes::new(part_bytes));
    }
    parts
}

/// Guards against giving up a slow transfer that goes on, and against keeping one that brings next
/// to nothing.
#[test_case(100, 16_384, 700, 100; "slow, for 70 seconds")]
#[test_case(10, 16_384, 800, 0; "nothing for too long")]
#[test_case(10_000, 1, 10, 79; "a byte now and then")]
#[test_case(100, 1_024, 100, 100; "small parts")]
fn transfer_ends_only_if_it_stalls(parts: u64, part_bytes: u64, interval_ms: u64, arrived: u64) {
    assert_eq!(receive(parts, part_bytes, interval_ms), arrived);
}

/// Guards against waiting longer for the rest of an answer than for its start, or the other way
/// round: a watch of the store begins to answer only when something changes.
#[test]
fn patience_holds_until_the_answer_begins() {
    let mut transfer = Transfer::new(at(0), Millis::new(8_500));
    assert_eq!(transfer.stalls_at(), at(8_500));
    transfer.on_head(at(5_000));
    assert_eq!(transfer.stalls_at(), at(5_000) + STALL_TIME);
}
