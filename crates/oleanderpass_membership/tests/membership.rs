//! Guard against wrong views of the fleet after crashes, pauses, restarts and partitions.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed unwrap fails the test"
)]

mod sim;

use oleanderpass_membership::member::Liveness;
use oleanderpass_membership::member::Member;
use oleanderpass_membership::membership::Input;
use oleanderpass_membership::packet::Attachments;
use oleanderpass_membership::packet::MAX_PACKET_BYTES;
use oleanderpass_membership::packet::attach;
use oleanderpass_proto::peer::CrashEvidence;
use oleanderpass_proto::peer::DocumentVersion;
use oleanderpass_proto::peer::LeavingServer;
use oleanderpass_proto::peer::MemberUpdate;
use oleanderpass_proto::peer::Packet;
use oleanderpass_types::id::Incarnation;
use prost::Message;
use sim::Fleet;
use test_case::test_case;

fn converged_fleet(size: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(size, seed);
    fleet.run(30_000);
    assert!(fleet.all_alive());
    fleet
}

/// Guards against a crash that some instances detect late or never.
#[test_case(3, 1)]
#[test_case(7, 2)]
#[test_case(40, 3)]
fn crash_is_known_everywhere(size: usize, seed: u64) {
    let mut fleet = converged_fleet(size, seed);
    fleet.nodes[0].running = false;
    let known =
        |fleet: &Fleet| (1..size).all(|from| fleet.liveness(from, 0) == Some(Liveness::Dead));
    let took = fleet.run_until(60_000, known).unwrap();
    println!("{size} members: crash known everywhere after {took} ms");
    assert!(took <= 10_000, "took {took} ms");
    assert!(fleet.all_alive());
}

/// Guards against a view that keeps the old incarnation after a restart until it is declared dead,
/// and against packets of the old process that bring it back.
#[test]
fn new_incarnation_replaces_the_old_one_at_once() {
    let mut fleet = converged_fleet(7, 4);
    fleet.nodes[2].running = false;
    fleet.run(200);
    let old = std::mem::replace(&mut fleet.nodes[2].running, true);
    assert!(!old);
    fleet.restart(2, 2_000);
    let replaced = |fleet: &Fleet| {
        let new = Some(Incarnation::new(2_000));
        (0..7)
            .filter(|from| *from != 2)
            .all(|from| fleet.view(from, 2).map(|m| m.incarnation) == new)
    };
    let took = fleet.run_until(5_000, replaced).unwrap();
    println!("new incarnation known everywhere after {took} ms");
    let dead = |(_, m): &(u64, Member)| m.liveness == Liveness::Dead;
    assert!(!fleet.nodes.iter().any(|node| node.changes.iter().any(dead)));

    // The old process runs again: its packets change nothing, and it learns that it was replaced.
    fleet.restart(2, 1_000);
    fleet.run(5_000);
    assert!(replaced(&fleet));
    assert_eq!(fleet.nodes[2].superseded, Some(Incarnation::new(2_000)));
}

/// Guards against a paused instance that stays dead for its peers after the pause, or that then
/// declares the others dead because it missed their answers.
#[test_case(3_000; "shorter than the suspicion")]
#[test_case(60_000; "declared dead")]
#[test_case(1_000_000; "forgotten")]
fn paused_instance_is_alive_again(pause_ms: u64) {
    let mut fleet = converged_fleet(7, 5);
    fleet.nodes[0].running = false;
    fleet.run(pause_ms);
    fleet.nodes[0].running = true;
    let took = fleet.run_until(20_000, Fleet::all_alive).unwrap();
    println!("alive everywhere {took} ms after a pause of {pause_ms} ms");
    let others_dead = |(_, m): &(u64, Member)| m.liveness == Liveness::Dead;
    assert!(!fleet.nodes[0].changes.iter().any(others_dead));
}

/// Guards against a suspicion or a death because packets are lost in one direction between two
/// instances.
#[test]
fn one_way_cut_is_covered_by_indirect_probes() {
    let mut fleet = converged_fleet(7, 6);
    fleet.cut = Box::new(|from, to| from == 0 && to == 1);
    fleet.run(120_000);
    assert!(fleet.all_alive());
    let suspected = |(_, m): &(u64, Member)| m.liveness != Liveness::Alive;
    let changes = fleet.nodes.iter().flat_map(|node| &node.changes);
    assert_eq!(changes.filter(|change| suspected(change)).count(), 0);
}

/// Guards against declaring live instances dead because of random packet loss.
#[test_case(7, 0.1, 12)]
#[test_case(40, 0.1, 13)]
fn packet_loss_causes_no_deaths(size: usize, loss: f64, seed: u64) {
    let mut fleet = converged_fleet(size, seed);
    fleet.loss = loss;
    let start = fleet.now;
    fleet.run(300_000);
    let count = |liveness: Liveness| {
        let changes = fleet.nodes.iter().flat_map(|node| &node.changes);
        let new = changes.filter(|(at, _)| *at > start);
        new.filter(|(_, member)| member.liveness == liveness)
            .count()
    };
    let (suspected, dead) = (count(Liveness::Suspect), count(Liveness::Dead));
    println!("{size} members, {loss} lost: {suspected} suspicions, {dead} deaths in 300 s");
    assert_eq!(dead, 0);
}

/// Guards against the two sides of a partition that declared each other dead and never find each
/// other again, also when there are many dead members.
#[test_case(7, 3_600, 7; "7 members after an hour")]
#[test_case(40, 3_600, 8; "40 members after an hour")]
#[test_case(40, 12, 14; "40 members while the deaths still spread")]
fn partition_heals(size: usize, seconds: u64, seed: u64) {
    let mut fleet = converged_fleet(size, seed);
    let half = size / 2;
    fleet.cut = Box::new(move |from, to| (from < half) != (to < half));
    fleet.run(seconds * 1_000);
    let live = |from: usize| fleet.nodes[from].membership.live_members().count();
    if seconds > 60 {
        assert_eq!(live(0), half - 1);
        assert_eq!(live(size - 1), size - half - 1);
    } else {
        assert!(live(0) < size - 1, "no death was declared");
    }
    fleet.cut = Box::new(|_, _| false);
    let changes: Vec<_> = fleet.nodes.iter().map(|node| node.changes.len()).collect();
    let took = fleet.run_until(120_000, Fleet::all_alive).unwrap();
    println!("{size} members: all alive {took} ms after a partition of {seconds} s");
    // Deaths that were declared during the partition don't spread to the side on which the members
    // are alive. After a short partition, suspicions of the other side may still end in a death.
    let side = |index: usize| index < half;
    for (index, (node, seen)) in fleet.nodes.iter().zip(changes).enumerate() {
        let wrong = |(_, m): &(u64, Member)| {
            let other = (0..size).find(|other| sim::id(*other) == m.id).unwrap();
            let counts = seconds > 60 || side(other) == side(index);
            m.liveness == Liveness::Dead && counts
        };
        assert_eq!(
            node.changes[seen..]
                .iter()
                .filter(|change| wrong(change))
                .count(),
            0
        );
    }
}

/// Guards against a stale packet or the platform's list that makes a leaving member accept work
/// again in the same incarnation.
#[test]
fn leaving_holds_for_the_incarnation() {
    let mut fleet = converged_fleet(7, 9);
    let before: MemberUpdate = fleet.view(1, 0).unwrap().into();
    fleet.input(0, Input::Leave);
    let leaving =
        |fleet: &Fleet| (1..7).all(|from| fleet.view(from, 0).is_some_and(|member| member.leaving));
    let took = fleet.run_until(5_000, leaving).unwrap();
    println!("leaving is known everywhere after {took} ms");

    let mut stale = before;
    stale.sequence += 10;
    let packet = Packet {
        from: sim::id(3).to_string(),
        incarnation: 1_000,
        members: vec![stale],
        ..Packet::default()
    };
    let source = sim::addr(3);
    fleet.input(
        1,
        Input::Packet {
            source,
            packet: &packet,
        },
    );
    fleet.input(1, Input::PlatformList(&[sim::addr(0)]));
    fleet.run(20_000);
    assert!(leaving(&fleet));
    assert!(!fleet.view(1, 0).unwrap().accepts_work());
    assert_eq!(fleet.liveness(1, 0), Some(Liveness::Alive));

    fleet.restart(0, 2_000);
    fleet.run(5_000);
    assert!((1..7).all(|from| fleet.view(from, 0).unwrap().accepts_work()));
}

/// Guards against a new instance that knows only a seed and doesn't learn of the others, or they of
/// it.
#[test]
fn seed_introduces_a_new_instance() {
    let mut fleet = converged_fleet(40, 10);
    fleet.join(vec![sim::addr(5)]);
    let took = fleet.run_until(60_000, Fleet::all_alive).unwrap();
    println!("new instance knows 40 members, and they know it, after {took} ms");
}

/// Guards against waiting for the answer to a probe that couldn't be sent.
#[test]
fn failed_send_starts_indirect_probes() {
    let mut fleet = converged_fleet(3, 11);
    fleet.nodes[1].running = false;
    let suspected = |fleet: &Fleet| fleet.liveness(0, 1) == Some(Liveness::Suspect);
    let mut took = 0;
    while !suspected(&fleet) {
        fleet.input(0, Input::SendFailed(sim::addr(1)));
        fleet.run(100);
        took += 100;
        assert!(took <= 3_000);
    }
}

/// Guards against datagrams over the size limit when ids are long and there are many attachments.
#[test]
fn attachments_fit_the_datagram() {
    let version = |generation| DocumentVersion {
        generation,
        digest: vec![7; 32],
        conflicted: true,
    };
    let mut packet = Packet {
        from: "f".repeat(64),
        members: vec![
            MemberUpdate {
                zone: "z".repeat(64),
                ..MemberUpdate::default()
            };
            8
        ],
        ..Packet::default()
    };
    let attachments = Attachments {
        in_force: Some(version(u64::MAX)),
        candidates: vec![version(u64::MAX); 3],
        leaving_servers: vec![LeavingServer::default(); 4],
        crashes: vec![
            CrashEvidence {
                signatures: vec![1; 16],
                ..CrashEvidence::default()
            };
            20
        ],
    };
    let attached = attach(&mut packet, &attachments);
    assert_eq!((attached.candidates, attached.leaving_servers), (3, 4));
    assert!(attached.crashes < 20);
    assert!(packet.encoded_len() <= MAX_PACKET_BYTES);
}
