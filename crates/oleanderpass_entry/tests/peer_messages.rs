//! Guard against peer messages that are accepted although they are unauthenticated, replayed or
//! changed in transit, and against valid ones that are rejected.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed unwrap fails the test"
)]

use oleanderpass_core::instance::Identity;
use oleanderpass_entry::peer::datagram;
use oleanderpass_entry::peer::datagram::DatagramError;
use oleanderpass_entry::peer::datagram::MAX_DATAGRAM_BYTES;
use oleanderpass_entry::peer::proof::MAX_AGE_MS;
use oleanderpass_entry::peer::proof::ProofChecker;
use oleanderpass_entry::peer::proof::ProofError;
use oleanderpass_entry::peer::proof::sign;
use oleanderpass_entry::settings::FleetKey;
use oleanderpass_proto::peer::ForwardRequest;
use oleanderpass_proto::peer::Packet;
use oleanderpass_proto::peer::Proof;
use oleanderpass_types::id::Incarnation;
use test_case::test_case;

const NOW_MS: u64 = 1_000_000_000;

fn key(byte: u8) -> FleetKey {
    FleetKey([byte; 32])
}

fn packet() -> Packet {
    Packet {
        from: "hafnir-1".to_owned(),
        incarnation: 5,
        number: 9,
        ..Packet::default()
    }
}

/// Guards against an encoding that the receiver can't decode.
#[test]
fn datagrams_round_trip() {
    let datagram = datagram::encode(&key(1), &packet()).unwrap();
    assert_eq!(datagram::decode(&key(1), &datagram), Ok(packet()));
}

/// Guards against datagrams that are accepted although their HMAC or length is wrong.
#[test_case(|_| (), 2, DatagramError::Hmac; "other key")]
#[test_case(|d| d[3] ^= 1, 1, DatagramError::Hmac; "changed content")]
#[test_case(|d| { d.pop(); }, 1, DatagramError::Hmac; "truncated")]
#[test_case(|d| d.truncate(31), 1, DatagramError::Length; "shorter than the hmac")]
#[test_case(|d| d.resize(MAX_DATAGRAM_BYTES + 1, 0), 1, DatagramError::Length; "too long")]
fn invalid_datagrams_are_rejected(change: fn(&mut Vec<u8>), key_byte: u8, error: DatagramError) {
    let mut datagram = datagram::encode(&key(1), &packet()).unwrap();
    change(&mut datagram);
    assert_eq!(datagram::decode(&key(key_byte), &datagram), Err(error));
}

/// Guards against packets that the receiver would reject for their length.
#[test]
fn long_packets_are_not_sent() {
    let long = Packet {
        from: "x".repeat(MAX_DATAGRAM_BYTES),
        ..Packet::default()
    };
    let encoded = datagram::encode(&key(1), &long);
    assert_eq!(encoded, Err(DatagramError::Length));
}

fn call() -> ForwardRequest {
    ForwardRequest {
        ticket: "t".to_owned(),
        body: b"charge".to_vec(),
        ..ForwardRequest::default()
    }
}

fn proof(unix_ms: u64) -> Proof {
    let identity = Identity {
        instance: "hafnir-1".parse().unwrap(),
        incarnation: Incarnation::new(5),
        zone: "hafnir".parse().unwrap(),
    };
    sign(&key(1), &identity, "Forward", unix_ms, 77, &call())
}

/// Guards against a valid proof that is rejected or credited to another instance.
#[test]
fn valid_proof_names_its_sender() {
    let mut checker = ProofChecker::new(key(1));
    let from = checker.check(NOW_MS, "Forward", Some(&proof(NOW_MS)), &call());
    assert_eq!(from, Ok("hafnir-1".parse().unwrap()));
}

/// Guards against a proof that is accepted for another call, sender or time than it was made for.
#[test_case(|_, _| (), "LeaseQuota", ProofError::Hmac; "other method")]
#[test_case(|_, call| call.body[0] ^= 1, "Forward", ProofError::Hmac; "changed body")]
#[test_case(|proof, _| proof.from = "hafnir-2".to_owned(), "Forward", ProofError::Hmac; "other sender")]
#[test_case(|proof, _| proof.nonce += 1, "Forward", ProofError::Hmac; "other nonce")]
#[test_case(|proof, _| proof.unix_ms += 1, "Forward", ProofError::Hmac; "other time")]
#[test_case(|proof, _| proof.hmac.clear(), "Forward", ProofError::Hmac; "no hmac")]
#[test_case(|proof, _| proof.from.clear(), "Forward", ProofError::Missing; "no sender")]
#[test_case(|p, _| *p = proof(NOW_MS - MAX_AGE_MS - 1), "Forward", ProofError::Age; "too old")]
#[test_case(|p, _| *p = proof(NOW_MS + MAX_AGE_MS + 1), "Forward", ProofError::Age; "from the future")]
fn invalid_proofs_are_rejected(
    change: fn(&mut Proof, &mut ForwardRequest),
    method: &str,
    error: ProofError,
) {
    let (mut proof, mut call) = (proof(NOW_MS), call());
    change(&mut proof, &mut call);
    let mut checker = ProofChecker::new(key(1));
    assert_eq!(
        checker.check(NOW_MS, method, Some(&proof), &call),
        Err(error)
    );
    assert_eq!(
        checker.check(NOW_MS, method, None, &call),
        Err(ProofError::Missing)
    );
}

/// Guards against a replayed call that is accepted, at once or when its proof is about to expire.
#[test_case(NOW_MS; "at once")]
#[test_case(NOW_MS + 2 * MAX_AGE_MS; "at the end")]
fn replayed_call_is_rejected(replayed_at: u64) {
    let mut checker = ProofChecker::new(key(1));
    let proof = proof(NOW_MS + MAX_AGE_MS);
    assert!(
        checker
            .check(NOW_MS, "Forward", Some(&proof), &call())
            .is_ok()
    );
    let replayed = checker.check(replayed_at, "Forward", Some(&proof), &call());
    assert_eq!(replayed, Err(ProofError::Replay));
}
