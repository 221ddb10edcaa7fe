//! Test how a configuration that copies of the store omit spreads.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use oleanderpass_gateway::configuration_source::Candidate;
use oleanderpass_gateway::configuration_source::Choice;
use oleanderpass_gateway::configuration_source::ConfigurationSources;
use oleanderpass_gateway::copy_slots::CopySlots;
use oleanderpass_gateway::copy_slots::MAX_COPIES;
use oleanderpass_gateway::store::OmittedConfiguration;
use oleanderpass_gateway::store::StorePosition;
use oleanderpass_gateway::store_reader::Step;
use oleanderpass_gateway::store_reader::StoreReader;
use oleanderpass_gateway::transfer::STALL_TIME;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

use crate::common::at;
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
    let choice = sources.choose(at(1), &candidates(peers), &mut rng);
    match chosen {
        Some(number) => assert_eq!(choice, Choice::Ask(addr_of(number))),
        None => assert!(matches!(choice, Choice::Wait(_)), "{choice:?}"),
    }
}

/// Guards against instances that wait for a peer although none has anything newer.
#[test]
fn nothing_is_chosen_without_peers() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let choice = ConfigurationSources::default().choose(at(0), &[], &mut rng);
    assert_eq!(choice, Choice::Nothing);
}

/// Guards against a link that many copies share, and against readers that stopped and keep others
/// waiting.
#[test]
fn copies_at_a_time_are_bounded() {
    let mut slots = CopySlots::default();
    let ids: Vec<_> = (0..MAX_COPIES)
        .map(|_| slots.begin(at(0)).unwrap())
        .collect();
    assert_eq!(slots.begin(at(1)), None);
    // One of them goes on, the others have stopped.
    let later = at(0) + STALL_TIME;
    slots.on_taken(later, ids[0]);
    for _ in 1..MAX_COPIES {
        assert!(slots.begin(later).is_some());
    }
    assert_eq!(slots.begin(later), None);
    slots.end(ids[0]);
    assert!(slots.begin(later).is_some());
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
