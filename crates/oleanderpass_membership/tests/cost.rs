//! Guard against a cost per instance, or a time to notice a crash, that grows with the fleet
//! (design section 4.5).
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed unwrap fails the test"
)]

mod sim;

use oleanderpass_membership::member::Liveness;
use sim::Fleet;

/// The most packets that an instance sends a second: a probe, an answer and the low-rate contacts.
const MAX_PACKETS_PER_S: f64 = 3.0;

/// The most bytes that an instance sends a second. A third of the 5 KB/s for all control work.
const MAX_BYTES_PER_S: f64 = 1_700.0;

fn time_to_notice_a_crash(fleet: &mut Fleet) -> u64 {
    fleet.nodes[0].running = false;
    let dead = Some(Liveness::Dead);
    let known = |fleet: &Fleet| (1..fleet.nodes.len()).all(|from| fleet.liveness(from, 0) == dead);
    fleet.run_until(30_000, known).unwrap()
}

#[test]
fn cost_does_not_grow_with_the_fleet() {
    for size in [3, 7, 40, 410] {
        let mut fleet = Fleet::new(size, 20);
        let joined = fleet.run_until(180_000, Fleet::all_alive).unwrap();
        // The cost of joining ends after 10 s.
        fleet.run(12_000);
        let sum = |fleet: &Fleet| {
            let packets: u64 = fleet.nodes.iter().map(|node| node.sent_packets).sum();
            let bytes: u64 = fleet.nodes.iter().map(|node| node.sent_bytes).sum();
            (packets, bytes)
        };
        let before = sum(&fleet);
        let seconds = 10.0;
        fleet.run(10_000);
        let after = sum(&fleet);
        let per_s = |count: u64| count as f64 / seconds / size as f64;
        let packets = per_s(after.0 - before.0);
        let bytes = per_s(after.1 - before.1);
        println!(
            "{size} members: {packets:.2} packets/s and {bytes:.0} bytes/s sent by each; \
             all know all {joined} ms after a start together"
        );
        assert!(fleet.all_alive());
        let noticed = time_to_notice_a_crash(&mut fleet);
        println!("{size} members: crash known everywhere after {noticed} ms");
        assert!(noticed <= 10_000);
        assert!(packets <= MAX_PACKETS_PER_S);
        assert!(bytes <= MAX_BYTES_PER_S);
    }
}
