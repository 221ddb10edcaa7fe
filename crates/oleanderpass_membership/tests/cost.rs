//! Guard against traffic per instance, or a time to detect a crash, that grows with the fleet
//! (design section 4.5).
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed unwrap fails the test"
)]

mod sim;

use oleanderpass_membership::member::Liveness;
use sim::Fleet;

/// The limit on packets that an instance sends: a probe, an answer and the low-rate contacts.
const MAX_PACKETS_PER_S: f64 = 3.0;

/// The limit on bytes that an instance sends: a third of the 5 KB/s for all control traffic.
const MAX_BYTES_PER_S: f64 = 1_700.0;

/// Stop one instance and return the time until all others see it as dead, in milliseconds.
fn crash_detection_ms(fleet: &mut Fleet) -> u64 {
    fleet.nodes[0].running = false;
    let dead = Some(Liveness::Dead);
    let known = |fleet: &Fleet| (1..fleet.nodes.len()).all(|from| fleet.liveness(from, 0) == dead);
    fleet.run_until(30_000, known).unwrap()
}

#[test]
fn cost_does_not_grow_with_the_fleet() {
    for size in [3, 7, 40, 410] {
        let mut fleet = Fleet::new(size, 20);
        let joined_ms = fleet.run_until(180_000, Fleet::all_alive).unwrap();
        // Contacts at the rate of joining instances end 10 s after the start.
        fleet.run(12_000);
        let total_sent = |fleet: &Fleet| {
            let packets: u64 = fleet.nodes.iter().map(|node| node.sent_packets).sum();
            let bytes: u64 = fleet.nodes.iter().map(|node| node.sent_bytes).sum();
            (packets, bytes)
        };
        let before = total_sent(&fleet);
        let seconds = 10.0;
        fleet.run(10_000);
        let after = total_sent(&fleet);
        let per_s = |count: u64| count as f64 / seconds / size as f64;
        let packets = per_s(after.0 - before.0);
        let bytes = per_s(after.1 - before.1);
        println!(
            "{size} members: {packets:.2} packets/s and {bytes:.0} bytes/s sent by each; \
             all know all {joined_ms} ms after a start together"
        );
        assert!(fleet.all_alive());
        let detection_ms = crash_detection_ms(&mut fleet);
        println!("{size} members: crash known everywhere after {detection_ms} ms");
        assert!(detection_ms <= 10_000);
        assert!(packets <= MAX_PACKETS_PER_S);
        assert!(bytes <= MAX_BYTES_PER_S);
    }
}
