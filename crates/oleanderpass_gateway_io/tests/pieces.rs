//! Check that received bytes are kept whole and their memory is counted.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use oleanderpass_gateway::memory::AnswerMemory;
use oleanderpass_gateway_io::pieces::PIECE_BYTES;
use oleanderpass_gateway_io::pieces::Pieces;
use oleanderpass_types::size::Bytes;
use test_case::test_case;

const MB: usize = 1 << 20;

fn memory() -> AnswerMemory {
    AnswerMemory::new(Bytes::new(160 * MB as u64))
}

/// Guards against bytes that are lost, changed or counted wrongly, whatever the size of the parts in
/// which they arrive.
#[test_case(1, 100; "shorter than a piece")]
#[test_case(1, 50_000; "byte by byte")]
#[test_case(PIECE_BYTES, 4 * PIECE_BYTES; "whole pieces")]
#[test_case(100_000, 20_000_000; "long")]
fn bytes_are_kept_whole(part: usize, len: usize) {
    let memory = memory();
    let data: Vec<u8> = (0..len).map(|n| (n % 251) as u8).collect();
    let mut pieces = Pieces::new(&memory);
    for part in data.chunks(part) {
        pieces.append(part).unwrap();
    }
    assert_eq!(pieces.len(), len);
    let most = (2 * len).min(len + PIECE_BYTES).max(64);
    assert!(
        memory.used() <= Bytes::new(most as u64),
        "{}",
        memory.used()
    );
    let mut rest = pieces.split_off();
    assert!(pieces.is_empty());
    let mut out = Vec::new();
    while let Some(piece) = rest.pop() {
        out.extend_from_slice(&piece);
        assert_eq!(rest.len(), len - out.len());
    }
    assert!(out == data, "the bytes have changed");
    assert_eq!(memory.used(), Bytes::ZERO);
}

/// Guards against the memory of a document that is given back before the document is decoded.
#[test_case(800)]
#[test_case(3 * MB)]
fn document_is_counted_until_it_is_decoded(len: usize) {
    let memory = memory();
    let mut pieces = Pieces::new(&memory);
    pieces.append(&vec![b'x'; len]).unwrap();
    let (bytes, share) = pieces.into_document().unwrap();
    assert_eq!(bytes.len(), len);
    assert!(
        memory.used() >= Bytes::new(2 * len as u64),
        "{}",
        memory.used()
    );
    drop(share);
    assert_eq!(memory.used(), Bytes::ZERO);
}

/// Guards against the body of an answer without end that takes the memory of the process.
#[test_case(16 * 1024; "in large parts")]
#[test_case(1; "byte by byte")]
fn endless_bytes_are_refused(part: usize) {
    let memory = AnswerMemory::new(Bytes::new(16 * MB as u64));
    let mut pieces = Pieces::new(&memory);
    let data = vec![b'x'; part];
    while pieces.append(&data).is_ok() {}
    assert!(
        memory.used() <= Bytes::new(4 * MB as u64),
        "{}",
        memory.used()
    );
    assert!(pieces.len() >= 3 * MB, "{}", pieces.len());
}
