//! Test how a configuration that copies of the store omit spreads.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use bytes::Bytes;
use oleanderpass_gateway::configuration_encoding::DecodeError;
use oleanderpass_gateway::configuration_encoding::Digest;
use oleanderpass_gateway::configuration_encoding::Encoding;
use oleanderpass_gateway::configuration_encoding::decode;
use oleanderpass_gateway::configuration_encoding::dictionary_of;
use oleanderpass_gateway::configuration_encoding::encode;
use oleanderpass_gateway::configuration_source::Candidate;
use oleanderpass_gateway::configuration_source::Choice;
use oleanderpass_gateway::configuration_source::ConfigurationSources;
use oleanderpass_gateway::configuration_source::Members;
use oleanderpass_gateway::copy_slots::CopySlots;
use oleanderpass_gateway::copy_slots::MAX_COPIES;
use oleanderpass_gateway::copy_slots::MAX_SMALL_COPIES;
use oleanderpass_gateway::copy_slots::SMALL_COPY;
use oleanderpass_gateway::gateway::Gateway;
use oleanderpass_gateway::gateway::ServedConfiguration;
use oleanderpass_gateway::store::Content;
use oleanderpass_gateway::store::EncodedConfiguration;
use oleanderpass_gateway::store::OmittedConfiguration;
use oleanderpass_gateway::store::StoreItem;
use oleanderpass_gateway::store::StorePosition;
use oleanderpass_gateway::store_reader::Step;
use oleanderpass_gateway::store_reader::StoreReader;
use oleanderpass_gateway::transfer::STALL_TIME;
use oleanderpass_types::size::Bytes as Size;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

use crate::common::KEY;
use crate::common::at;
use crate::common::configuration;
use crate::common::fleet::addr_of;
use crate::common::gateway;

/// A peer of a test: its number, its version and whether it is in the same zone.
type Peer = (usize, u64, bool);

fn candidates(peers: &[Peer]) -> Vec<Candidate> {
    let candidates = peers.iter().map(|(number, version, is_local)| Candidate {
        addr: addr_of(*number),
        version: *version,
        is_local: *is_local,
    });
    candidates.collect()
}

/// Guards against asking a peer again that has just refused or failed, against copies across zones
/// without need, and against an instance that asks nobody although a peer would answer.
#[test_case(&[(1, 5, true), (2, 6, true)], &[], &[], Some(2); "newest version")]
#[test_case(&[(1, 5, true), (2, 5, false)], &[], &[], Some(1); "own zone first")]
#[test_case(&[(1, 5, true), (2, 5, false)], &[1], &[], None; "waits for its own zone")]
#[test_case(&[(1, 5, true), (2, 5, false)], &[], &[1], Some(2); "own zone fails")]
#[test_case(&[(1, 5, true), (2, 5, false)], &[1, 1, 1, 1], &[], Some(2); "own zone refuses often")]
#[test_case(&[(1, 5, true), (2, 6, true)], &[2], &[], Some(1); "older one while the newest refuses")]
fn peer_is_chosen(peers: &[Peer], refused: &[usize], failed: &[usize], chosen: Option<usize>) {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut sources = ConfigurationSources::default();
    for number in refused {
        sources.on_refused(at(0), addr_of(*number), &mut rng);
    }
    for number in failed {
        sources.on_failed(at(0), addr_of(*number));
    }
    let members = Members { local: 2, all: 2 };
    let choice = sources.choose(at(1), &candidates(peers), members, &mut rng);
    match chosen {
        Some(number) => assert_eq!(choice, Choice::Ask(addr_of(number))),
        None => assert!(matches!(choice, Choice::Wait(_)), "{choice:?}"),
    }
}

/// Guards against instances that wait for a peer although none has anything newer.
#[test]
fn nothing_is_chosen_without_peers() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let members = Members::default();
    let choice = ConfigurationSources::default().choose(at(0), &[], members, &mut rng);
    assert_eq!(choice, Choice::Nothing);
}

/// Guards against a link that many copies share, and against readers that stopped and keep others
/// waiting.
#[test_case(Size::new(SMALL_COPY.get() + 1), MAX_COPIES; "large")]
#[test_case(SMALL_COPY, MAX_SMALL_COPIES; "small")]
fn copies_at_a_time_are_bounded(size: Size, max: usize) {
    let mut slots = CopySlots::default();
    let ids: Vec<_> = (0..max)
        .map(|_| slots.begin(at(0), size).unwrap())
        .collect();
    assert_eq!(slots.begin(at(1), size), None);
    // One of them goes on, the others have stopped.
    let later = at(0) + STALL_TIME;
    slots.on_taken(later, ids[0]);
    for _ in 1..max {
        assert!(slots.begin(later, size).is_some());
    }
    assert_eq!(slots.begin(later, size), None);
    slots.end(ids[0]);
    assert!(slots.begin(later, size).is_some());
}

/// Guards against a confirmed change that never comes into force: the copy of the list that omits
/// it was taken, and all peers that have the configuration are gone.
#[test]
fn configuration_that_no_peer_has_is_read_from_the_store() {
    let mut gateway = gateway(2);
    let mut reader = StoreReader::default();
    let position = StorePosition::from(20);
    let read_all = |reader: &mut StoreReader, gateway: &mut _, at_ms| {
        reader.on_read_all(at(at_ms), gateway, position, Vec::new(), Vec::new());
    };
    read_all(&mut reader, &mut gateway, 0);
    assert!(matches!(
        reader.next(at(1), &mut gateway),
        Step::Watch { .. }
    ));
    gateway.on_omitted_configuration(OmittedConfiguration {
        position: StorePosition::from(19),
        version: 9,
    });
    assert!(reader.renews_watch(at(2), &gateway));
    assert_eq!(reader.next(at(2), &mut gateway), Step::ReadAll);
    read_all(&mut reader, &mut gateway, 10);
    assert!(matches!(
        reader.next(at(11), &mut gateway),
        Step::Watch { .. }
    ));
}

/// Return a configuration of some kilobytes, with this version and organisation.
fn value(version: u64, organisation: &str) -> Bytes {
    let routes = (0..400).map(|number: u64| format!("r-{:x}", number.wrapping_mul(0x9e37_79b9)));
    let routes: Vec<String> = routes.collect();
    format!("{version} {} {organisation}", routes.join(",")).into()
}

/// Guards against a change that costs the transfer of the whole, and against one that is taken for
/// what it isn't: damaged, of another version, or decoded to something else than the sender has.
#[test]
fn change_is_decoded_to_what_the_sender_has() {
    let (old, new) = (value(1, "a"), value(2, "b"));
    let digest = Digest::of(&old);
    let change = encode(&new, Some((&digest, &old))).unwrap();
    let whole = encode(&new, None).unwrap();
    assert!(change.len() < whole.len() / 4, "{} bytes", change.len());
    assert_eq!(decode(Encoding::Dcz, &change, Some(&old)), Ok(new.clone()));
    assert_eq!(decode(Encoding::Zstd, &whole, None), Ok(new.clone()));
    assert_eq!(decode(Encoding::Identity, &new, None), Ok(new.clone()));
    assert_eq!(dictionary_of(Encoding::Dcz, &change), Ok(Some(digest)));
    assert_eq!(digest.to_string().parse(), Ok(digest));
    let other = DecodeError::OtherDictionary;
    assert_eq!(decode(Encoding::Dcz, &change, None), Err(other));
    for end in 0..change.len() {
        let cut = change.slice(..end);
        assert!(decode(Encoding::Dcz, &cut, Some(&old)).is_err(), "{end}");
    }
}

/// Return a gateway that has had these versions of the configuration in force.
fn gateway_with(values: &[(u64, &Bytes)]) -> Gateway {
    let mut gateway = gateway(2);
    for (version, value) in values {
        let content = Content::Configuration(Some(configuration(*version, &[KEY])));
        let item = StoreItem {
            key: "config".into(),
            position: StorePosition::from(*version),
            value: Some((*value).clone()),
            content,
        };
        gateway.on_store_item(at(*version), item);
    }
    gateway
}

/// Guards against a peer that gets the whole although its version is known, that gets an encoding
/// which it doesn't accept, or that never gets the whole after a change was of no use to it.
#[test]
fn peer_gets_the_smallest_form_that_it_accepts() {
    let (first, second, third) = (value(11, "a"), value(12, "b"), value(13, "c"));
    let mut holder = gateway_with(&[(11, &first), (12, &second), (13, &third)]);
    let mut serve = |peer: &mut Gateway| {
        let served = holder.serve_configuration(at(20), peer.configuration_request());
        let ServedConfiguration::Copy(encoded, slot) = served else {
            panic!("{served:?}");
        };
        holder.copy_slots().end(slot);
        encoded
    };
    for (peer, encoding) in [
        (&mut gateway_with(&[(12, &second)]), Encoding::Dcz),
        (&mut gateway_with(&[(11, &first)]), Encoding::Dcz),
        (&mut gateway_with(&[(10, &value(10, "z"))]), Encoding::Zstd),
        (&mut gateway_with(&[]), Encoding::Zstd),
    ] {
        let encoded = serve(peer);
        assert_eq!(encoded.encoding, encoding);
        assert_eq!(peer.decode_configuration(&encoded), Ok(third.clone()));
        let wrong = EncodedConfiguration {
            digest: Some(Digest::of(&first)),
            ..encoded
        };
        let error = peer.decode_configuration(&wrong);
        assert_eq!(error, Err(DecodeError::OtherDigest));
        let encoded = serve(peer);
        assert_eq!(encoded.encoding, Encoding::Identity);
        assert_eq!(peer.decode_configuration(&encoded), Ok(third.clone()));
    }
}

/// Guards against dozens of instances that ask the first peer with a new version at the same time,
/// and against instances that wait although enough peers have it.
#[test_case(1, 4..=14; "few holders")]
#[test_case(20, 60..=60; "many holders")]
fn instances_take_turns(holders: usize, asking: std::ops::RangeInclusive<usize>) {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let peers: Vec<Peer> = (0..holders).map(|number| (number, 5, true)).collect();
    let members = Members {
        local: 60 + holders,
        all: 60 + holders,
    };
    let choices = (0..60).map(|_| {
        let mut sources = ConfigurationSources::default();
        sources.choose(at(0), &candidates(&peers), members, &mut rng)
    });
    let asked = choices.filter(|choice| matches!(choice, Choice::Ask(_)));
    let asked = asked.count();
    assert!(asking.contains(&asked), "{asked} ask");
}
