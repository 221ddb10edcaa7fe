//! Test the bulletins that instances exchange.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use oleanderpass_gateway::gateway::Gateway;
use oleanderpass_gateway::store::StorePosition;
use oleanderpass_proto::peer::Bulletin;
use oleanderpass_proto::peer::Packet;
use oleanderpass_types::clock::Timestamp;
use test_case::test_case;

use crate::common::at;
use crate::common::attempt;
use crate::common::begin;
use crate::common::gateway_named;
use crate::common::introduce;

/// Deliver the datagrams of `from` to `to`. Answers are dropped.
fn deliver(now: Timestamp, from: &mut Gateway, to: &mut Gateway) {
    let source = "10.0.1.1:7340".parse().unwrap();
    let mut out: Vec<(std::net::SocketAddr, Packet)> = Vec::new();
    from.on_tick(now, &mut out);
    for (_, packet) in out {
        let mut answers = Vec::new();
        to.on_packet(now, source, &packet, &mut answers);
    }
}

/// Guards against a thundering herd: two instances that send their requests to the same free
/// server.
#[test]
fn load_of_peers_counts() {
    let mut one = gateway_named("edge-1", 2);
    let mut two = gateway_named("edge-2", 2);
    introduce(&mut one, "edge-2");
    let mut req = begin(&mut one, at(100), "/look/1", 0);
    let placed = attempt(one.next(at(100), &mut req));
    deliver(at(600), &mut one, &mut two);
    let mut seen = Vec::new();
    for _ in 0..2 {
        let mut req = begin(&mut two, at(610), "/look/1", 0);
        seen.push(attempt(two.next(at(610), &mut req)).primary.id);
    }
    assert!(
        !seen.contains(&placed.primary.id),
        "a busy server was preferred to free ones"
    );
}

/// Guards against an availability zone in which all instances read the store, or none.
#[test]
fn two_instances_of_a_zone_read_the_store() {
    const NAMES: [&str; 4] = ["edge-1", "edge-2", "edge-3", "edge-4"];
    let mut readers = 0;
    for own in NAMES {
        let mut instance = gateway_named(own, 1);
        assert!(
            instance.is_reader(at(0)),
            "an instance without peers must read the store"
        );
        for peer in NAMES.into_iter().filter(|name| *name != own) {
            let mut peer = gateway_named(peer, 1);
            introduce(&mut peer, own);
            peer.set_reads_store(true);
            deliver(at(600), &mut peer, &mut instance);
        }
        readers += usize::from(instance.is_reader(at(610)));
        assert!(
            instance.is_reader(at(3_000)),
            "silent readers were not replaced"
        );
    }
    assert_eq!(readers, 2);
}

/// Guards against an instance that relies on a reader which has lost the store.
#[test]
fn reader_that_lost_the_store_is_replaced() {
    let mut instance = gateway_named("edge-1", 1);
    for name in ["edge-2", "edge-3", "edge-4"] {
        let mut peer = gateway_named(name, 1);
        introduce(&mut peer, "edge-1");
        peer.set_reads_store(true);
        deliver(at(600), &mut peer, &mut instance);
        peer.set_reads_store(false);
        deliver(at(1_100), &mut peer, &mut instance);
    }
    assert!(instance.is_reader(at(1_110)));
}

/// Guards against load that never reaches peers because it is spread over many servers.
#[test]
fn load_on_thirty_servers_fits_into_a_bulletin() {
    let mut one = gateway_named("edge-1", 31);
    introduce(&mut one, "edge-2");
    let mut req = begin(&mut one, at(100), "/chat/1", 500_000);
    attempt(one.next(at(100), &mut req));
    for _ in 0..12 {
        let mut req = begin(&mut one, at(100), "/chat/1", 5_000);
        attempt(one.next(at(100), &mut req));
    }
    for _ in 0..3 {
        let mut req = begin(&mut one, at(100), "/look/1", 0);
        attempt(one.next(at(100), &mut req));
    }
    let mut out = Vec::new();
    one.on_tick(at(600), &mut out);
    let bulletin = out
        .iter()
        .find_map(|(_, packet)| packet.bulletin.as_ref())
        .unwrap();
    assert!(
        bulletin.placed.len() >= 20,
        "{} servers",
        bulletin.placed.len()
    );
    let packet = out
        .iter()
        .map(|(_, packet)| packet)
        .find(|p| p.bulletin.is_some())
        .unwrap();
    assert!(oleanderpass_membership::packet::fits_datagram(packet));
}

/// Guards against a peer that seems to have read what only its earlier lifetime had, which sends
/// instances that lack it to this peer.
#[test_case(1_001, 8; "started later")]
#[test_case(1_000, 8; "started in the same millisecond")]
#[test_case(998, 8; "started with its clock set back")]
#[test_case(1_001, 0; "older build, started later")]
fn peer_that_starts_again_has_read_nothing(incarnation: u64, lifetime: u64) {
    let mut instance = gateway_named("edge-1", 1);
    let source = "10.0.1.2:7340".parse().unwrap();
    let mut hear = |now, incarnation, lifetime, store_revision| {
        let bulletin = Bulletin {
            lifetime,
            store_revision,
            zone: "hafnir".to_owned(),
            ..Bulletin::default()
        };
        let packet = Packet {
            from: "edge-2".to_owned(),
            incarnation,
            bulletin: Some(Box::new(bulletin)),
            ..Packet::default()
        };
        instance.on_packet(at(now), source, &packet, &mut Vec::new());
        let peers: Vec<StorePosition> = instance
            .fleet()
            .live_peers(at(now))
            .map(|(_, peer)| peer.store_position)
            .collect();
        peers
    };
    let earlier = if lifetime == 0 { 0 } else { 7 };
    assert_eq!(hear(100, 1_000, earlier, 40), [StorePosition::new(0, 40)]);
    // A later bulletin of the same lifetime is never behind an earlier one.
    assert_eq!(hear(200, 1_000, earlier, 39), [StorePosition::new(0, 40)]);
    assert_eq!(
        hear(300, incarnation, lifetime, 3),
        [StorePosition::new(0, 3)]
    );
}
