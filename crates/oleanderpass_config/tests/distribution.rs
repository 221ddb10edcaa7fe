//! Guard against a promoted document that is lost, is replaced by an older one or differs between
//! instances (requirement R8).
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed unwrap fails the test"
)]

mod sim;

use oleanderpass_config::accept::Rejection;
use oleanderpass_config::distribution::Input;
use oleanderpass_config::distribution::Output;
use oleanderpass_types::clock::Millis;
use sim::Fleet;
use sim::text;
use test_case::test_case;

/// The time within which a change must be in force on all instances (requirement R8).
const TARGET: Millis = Millis::from_secs(8);

fn started_fleet(size: usize) -> Fleet {
    let mut fleet = Fleet::new(size);
    fleet.promote(0..size, 10, &text(10, "ten"));
    fleet.run(4_000);
    assert!(fleet.all_have(10));
    assert!(
        fleet
            .instances
            .iter()
            .all(|instance| instance.distribution.is_ready())
    );
    fleet
}

fn count_rejections(fleet: &Fleet, index: usize, wanted: impl Fn(&Rejection) -> bool) -> usize {
    fleet.count_outputs(
        index,
        |output| matches!(output, Output::Rejected(r) if wanted(r)),
    )
}

/// Guards against a change that takes longer than the target, also when the platform returns it to
/// one instance only.
#[test_case(7; "all instances can read the change")]
#[test_case(1; "one instance can read the change")]
fn change_is_in_force_in_time(updated: usize) {
    let mut fleet = started_fleet(7);
    fleet.promote(updated..7, 10, &text(10, "ten"));
    fleet.promote(0..updated, 11, &text(11, "eleven"));
    let took = fleet.time_until(11, TARGET);
    println!("{updated} of 7 see the change: in force everywhere after {took} ms");
    fleet.assert_never_reverted();
}

/// Guards against a change that takes longer than the target in the largest planned fleet: 410
/// instances in 8 zones.
#[test]
fn change_is_in_force_in_time_at_410_instances() {
    let mut fleet = Fleet::new(410);
    fleet.zones = 8;
    fleet.promote(0..410, 10, &text(10, "ten"));
    fleet.run(4_000);
    let readers = fleet
        .instances
        .iter()
        .filter(|instance| instance.distribution.is_reader());
    assert_eq!(readers.count(), 16);
    fleet.promote(0..410, 11, &text(11, "eleven"));
    let took = fleet.time_until(11, TARGET);
    println!("410 instances: in force everywhere after {took} ms");
}

/// Guards against a stale or malformed text that replaces the document in force or is reported more
/// than once.
#[test_case(&text(9, "nine"), |r| matches!(r, Rejection::LowerGeneration { .. }); "lower generation")]
#[test_case("generation: 11\nenvironment: [", |r| matches!(r, Rejection::Malformed(_)); "not YAML")]
#[test_case("generation: 11\nenvironmint: {}", |r| matches!(r, Rejection::Malformed(_)); "unknown key")]
#[test_case(&text(10, "other"), |r| matches!(r, Rejection::OtherContentInForce { .. }); "two contents")]
fn bad_text_is_rejected_once(bad: &str, reason: fn(&Rejection) -> bool) {
    let mut fleet = started_fleet(7);
    // Generation 99 makes the simulated platform return the text to every read.
    fleet.promote(0..1, 99, bad);
    fleet.run(30_000);
    assert!(fleet.all_have(10));
    assert_eq!(count_rejections(&fleet, 0, reason), 1);
    fleet.promote(0..7, 100, &text(100, "good"));
    fleet.time_until(100, TARGET);
    fleet.assert_never_reverted();
}

/// Guards against a text over the size limit that is parsed.
#[test]
fn too_large_text_is_rejected() {
    let mut fleet = started_fleet(1);
    let large = format!("{}# {}", text(11, "large"), "x".repeat(1_000_000));
    fleet.input(0, Input::Text(&large));
    assert_eq!(
        count_rejections(&fleet, 0, |r| matches!(r, Rejection::Malformed(_))),
        1
    );
}

/// Guards against one of two contents that comes into force although both were promoted with the
/// same generation at the same time.
#[test]
fn two_contents_within_the_settle_time_are_rejected_everywhere() {
    let mut fleet = started_fleet(7);
    fleet.promote(0..3, 11, &text(11, "mine"));
    fleet.promote(3..7, 11, &text(11, "yours"));
    fleet.run(30_000);
    assert!(fleet.all_have(10));
    for index in 0..7 {
        assert_eq!(
            count_rejections(&fleet, index, |r| matches!(r, Rejection::Conflicted(_))),
            1
        );
    }
    fleet.promote(0..7, 12, &text(12, "agreed"));
    fleet.time_until(12, TARGET);
}

/// Guards against a content that comes into force although the platform replaced it by another one
/// of the same generation within the settle time. The reader finds it by reading once more.
#[test]
fn overwritten_content_is_found_by_the_repeated_read() {
    let mut fleet = started_fleet(1);
    fleet.promote(0..1, 11, &text(11, "mine"));
    fleet.run(700);
    fleet.promote(0..1, 11, &text(11, "yours"));
    fleet.run(10_000);
    assert_eq!(fleet.generation(0), Some(10));
    assert_eq!(
        count_rejections(&fleet, 0, |r| matches!(r, Rejection::Conflicted(_))),
        1
    );
}

/// Guards against a second content of a generation that replaces the one in force.
#[test]
fn second_content_after_the_settle_time_is_rejected() {
    let mut fleet = started_fleet(7);
    fleet.promote(0..7, 11, &text(11, "first"));
    fleet.time_until(11, TARGET);
    let first = fleet.instances[0].distribution.in_force();
    for index in 0..7 {
        fleet.input(index, Input::Text(&text(11, "second")));
    }
    fleet.run(10_000);
    assert!(
        fleet
            .instances
            .iter()
            .all(|instance| instance.distribution.in_force() == first)
    );
    assert_eq!(
        count_rejections(&fleet, 0, |r| matches!(
            r,
            Rejection::OtherContentInForce { .. }
        )),
        1
    );
}

/// Guards against a conflict mark that keeps an instance from bringing the document into force that
/// its peers have in force.
#[test]
fn document_in_force_at_a_peer_overrides_a_conflict_mark() {
    let mut fleet = started_fleet(7);
    fleet.instances[6].running = false;
    fleet.promote(0..6, 11, &text(11, "good"));
    fleet.run(8_000);
    let good = fleet.instances[0].distribution.in_force().unwrap();
    let mut other = good;
    other.digest.0[0] ^= 1;
    fleet.instances[6].running = true;
    fleet.receive_versions(6, 0, None, &[good.to_message(false)]);
    fleet.receive_versions(6, 1, None, &[other.to_message(false)]);
    assert_eq!(
        count_rejections(&fleet, 6, |r| matches!(r, Rejection::Conflicted(_))),
        1
    );
    fleet.time_until(11, TARGET);
}

/// Guards against two sides of a network partition that keep different contents after it heals, or
/// that replace a document by one with a lower version.
#[test]
fn sides_of_a_partition_converge_and_report_the_split() {
    let mut fleet = started_fleet(7);
    fleet.is_cut = Box::new(|from, to| (from < 3) != (to < 3));
    fleet.promote(0..3, 11, &text(11, "left"));
    fleet.promote(3..7, 11, &text(11, "right"));
    fleet.run(10_000);
    assert!(fleet.all_have(11));
    let left = fleet.instances[0].distribution.in_force().unwrap();
    let right = fleet.instances[3].distribution.in_force().unwrap();
    assert_ne!(left, right);
    fleet.is_cut = Box::new(|_, _| false);
    fleet.run(8_000);
    let winner = Some(left.max(right));
    assert!(
        fleet
            .instances
            .iter()
            .all(|instance| instance.distribution.in_force() == winner)
    );
    let split = |output: &Output| matches!(output, Output::Split { .. });
    assert!(
        (0..7)
            .map(|index| fleet.count_outputs(index, split))
            .sum::<usize>()
            >= 1
    );
    fleet.assert_never_reverted();
}

/// Guards against a new instance that serves with a stale generation of the platform while its
/// peers have a higher one in force.
#[test]
fn restarted_instance_fetches_the_generation_of_its_peers() {
    let mut fleet = started_fleet(7);
    fleet.promote(0..7, 12, &text(12, "twelve"));
    fleet.time_until(12, TARGET);
    let stale = Some((10, text(10, "ten")));
    (0..7).for_each(|index| fleet.instances[index].platform = stale.clone());
    fleet.restart(2, stale);
    while !fleet.instances[2].distribution.is_ready() {
        fleet.run(100);
    }
    assert_eq!(fleet.generation(2), Some(12));
    fleet.run(60_000);
    assert!(fleet.all_have(12));
}

/// Guards against an instance that is ready without an answer, and against one that waits forever
/// for a platform that is down.
#[test]
fn not_ready_before_an_answer() {
    let mut fleet = Fleet::new(1);
    fleet.run(60_000);
    assert!(!fleet.instances[0].distribution.is_ready());
    fleet.promote(0..1, 1, &text(1, "one"));
    fleet.run(4_000);
    assert!(fleet.instances[0].distribution.is_ready());

    let mut fleet = started_fleet(7);
    fleet.restart(3, None);
    let start = fleet.now;
    while !fleet.instances[3].distribution.is_ready() {
        fleet.run(100);
    }
    println!(
        "ready {} ms after a start without the platform",
        fleet.now - start
    );
    assert!(fleet.now - start <= 4_000);
}

/// Guards against an instance that is behind and doesn't get the document in force by one fetch: of
/// deltas if its peers have a chain from its version, else of the whole document.
#[test]
fn instance_behind_fetches_deltas_or_else_the_whole_document() {
    let mut fleet = started_fleet(7);
    fleet.instances[6].running = false;
    for generation in 11..14 {
        fleet.promote(0..7, generation, &text(generation, "x"));
        fleet.run(8_000);
    }
    fleet.instances[6].running = true;
    fleet.instances[6].platform = None;
    let before = (
        fleet.instances[6].delta_fetches,
        fleet.instances[6].whole_fetches,
    );
    fleet.time_until(13, TARGET);
    let instance = &fleet.instances[6];
    assert_eq!(
        (instance.delta_fetches, instance.whole_fetches),
        (before.0 + 1, before.1)
    );

    // The peers restart, so they have the document but no delta chain.
    fleet.instances[6].running = false;
    (0..6).for_each(|index| fleet.restart(index, Some((14, text(14, "y")))));
    fleet.run(8_000);
    fleet.instances[6].running = true;
    let before = fleet.instances[6].whole_fetches;
    fleet.time_until(14, TARGET);
    assert_eq!(fleet.instances[6].whole_fetches, before + 1);
}

/// Guards against a corrupt delta or document that comes into force, and against a failed fetch
/// that isn't repeated from another peer.
#[test]
fn corrupt_answers_are_dropped_and_fetched_elsewhere() {
    let mut fleet = started_fleet(7);
    fleet.instances[6].running = false;
    fleet.promote(0..7, 11, &text(11, "eleven"));
    fleet.run(8_000);
    let version = fleet.instances[0]
        .distribution
        .in_force()
        .unwrap()
        .to_message(false);
    let answer = fleet.instances[0]
        .distribution
        .answer_fetch(&Default::default())
        .unwrap();

    let distribution = &mut fleet.instances[6].distribution;
    let now = oleanderpass_types::clock::Timestamp::from_millis(fleet.now);
    let ids = [sim::id(0), sim::id(1)];
    let mut out = Vec::new();
    distribution.handle(
        now,
        Input::Members {
            zone_peers: &[],
            all_peers: &ids,
        },
        &mut out,
    );
    for peer in &ids {
        let in_force = Some(&version);
        distribution.handle(
            now,
            Input::PeerVersions {
                peer,
                in_force,
                candidates: &[],
            },
            &mut out,
        );
    }
    let last_fetch = |out: &[Output]| match out.last() {
        Some(Output::Fetch { peer, held, .. }) => (peer.clone(), held.is_some()),
        other => panic!("expected a fetch, got {other:?}"),
    };
    let (peer, asks_deltas) = last_fetch(&out);
    assert!(asks_deltas);
    let mut corrupt = answer.clone();
    corrupt.document = Vec::new();
    corrupt.deltas = vec![oleanderpass_proto::peer::DocumentDelta {
        patch: br#"[{"op":"replace","path":"/generation","value":11}]"#.to_vec(),
        ..Default::default()
    }];
    distribution.handle(
        now,
        Input::Fetched {
            peer: &peer,
            answer: &corrupt,
        },
        &mut out,
    );
    let (peer, asks_deltas) = last_fetch(&out);
    assert!(!asks_deltas, "a wrong digest must lead to a whole fetch");
    corrupt.document = text(11, "corrupt").into_bytes();
    distribution.handle(
        now,
        Input::Fetched {
            peer: &peer,
            answer: &corrupt,
        },
        &mut out,
    );
    let (next, _) = last_fetch(&out);
    assert_ne!(next, peer, "another peer must be asked");
    distribution.handle(
        now,
        Input::Fetched {
            peer: &next,
            answer: &answer,
        },
        &mut out,
    );
    assert_eq!(distribution.in_force().unwrap().generation.get(), 11);
}

/// Guards against a burst of promotions in which no candidate comes into force, because newer ones
/// replace each candidate within its settle time.
#[test_case(true; "all instances see every generation")]
#[test_case(false; "instances see different generations")]
fn burst_of_generations_comes_into_force(together: bool) {
    let mut fleet = started_fleet(7);
    let mut last = 10;
    let mut max_lag_ms = 0;
    for generation in 11..=110 {
        let content = text(generation, "burst");
        let sees = |index: &usize| together || !(generation as usize + index).is_multiple_of(3);
        fleet.promote((0..7).filter(sees), generation, &content);
        fleet.run(200);
        let lowest = (0..7)
            .filter_map(|index| fleet.generation(index))
            .min()
            .unwrap();
        max_lag_ms = max_lag_ms.max((generation - lowest) * 200);
        last = generation;
    }
    fleet.promote(0..7, last, &text(last, "burst"));
    let took = fleet.time_until(last, TARGET);
    println!("burst: at most {max_lag_ms} ms behind, the last in force after {took} ms");
    assert!(max_lag_ms <= TARGET.get());
    let failure = |output: &Output| matches!(output, Output::Split { .. } | Output::Rejected(_));
    assert_eq!(
        (0..7)
            .map(|index| fleet.count_outputs(index, failure))
            .sum::<usize>(),
        0
    );
    assert!(
        fleet
            .instances
            .iter()
            .all(|instance| instance.distribution.chain_bytes() <= 256 * 1_024)
    );
    fleet.assert_never_reverted();
}

/// Guards against a candidate that comes into force right after the process was paused, although a
/// conflict arose during the pause.
#[test]
fn settle_time_starts_again_after_a_pause() {
    let mut fleet = started_fleet(1);
    fleet.promote(0..1, 11, &text(11, "mine"));
    fleet.run(200);
    fleet.now += 10_000;
    fleet.promote(0..1, 11, &text(11, "yours"));
    fleet.run(5_000);
    assert_eq!(fleet.generation(0), Some(10));
}
