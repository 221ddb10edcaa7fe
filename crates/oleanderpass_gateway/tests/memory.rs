//! Check the bound on the memory that answers take.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use oleanderpass_gateway::memory::AnswerMemory;
use oleanderpass_gateway::memory::Share;
use oleanderpass_types::size::Bytes;
use test_case::test_case;

const MB: u64 = 1 << 20;

/// Take pieces until one is refused. Return how much the share took.
fn fill(share: &mut Share, piece: u64) -> u64 {
    while share.grow(Bytes::new(piece)).is_ok() {}
    share.held().get()
}

/// Guards against answers without end that together take the memory of the process, and against
/// ones that leave no room for a sound answer.
#[test_case(1, 64 * 1024; "one in large pieces")]
#[test_case(1, 64; "one in small pieces")]
#[test_case(8, 16 * 1024; "several")]
#[test_case(500, 16 * 1024; "hundreds")]
fn endless_answers_leave_room(count: usize, piece: u64) {
    let memory = AnswerMemory::new(Bytes::new(160 * MB));
    let mut endless: Vec<Share> = (0..count).map(|_| memory.empty_share()).collect();
    // They grow in turn until all have been refused.
    loop {
        let mut grown = 0;
        for share in &mut endless {
            grown += usize::from(share.grow(Bytes::new(piece)).is_ok());
        }
        if grown == 0 {
            break;
        }
    }
    assert!(memory.used() <= Bytes::new(80 * MB), "{}", memory.used());
    let mut sound = memory.empty_share();
    sound.grow(Bytes::new(64 * 1024)).unwrap();
    if count == 1 {
        sound.grow(Bytes::new(12 * MB)).unwrap();
    }
}

/// Guards against a sound large answer that is refused although memory is free.
#[test]
fn large_answer_fits_alone() {
    let memory = AnswerMemory::new(Bytes::new(160 * MB));
    let mut share = memory.empty_share();
    assert!(fill(&mut share, 16 * 1024) >= 39 * MB);
}

/// Guards against memory that stays taken after an answer has been given up or sent on.
#[test]
fn memory_is_given_back() {
    let memory = AnswerMemory::new(Bytes::new(160 * MB));
    let mut share = memory.empty_share();
    fill(&mut share, MB);
    let mut part = share.split_off();
    assert_eq!(share.held(), Bytes::ZERO);
    part.shrink(Bytes::new(MB));
    drop(part);
    drop(share);
    assert_eq!(memory.used(), Bytes::ZERO);
}

/// Guards against small answers that are refused because other data takes all of the memory.
#[test]
fn small_answer_is_received_without_free_memory() {
    let memory = AnswerMemory::new(Bytes::new(160 * MB));
    let mut bodies = memory.empty_share();
    bodies.take(Bytes::new(200 * MB));
    let mut small = memory.empty_share();
    small.grow(Bytes::new(8 * 1024)).unwrap();
    assert!(small.grow(Bytes::new(MB)).is_err());
}
