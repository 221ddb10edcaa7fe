//! Guard against unfair queues and against load shedding in the wrong order.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed unwrap fails the test"
)]

use oleanderpass_routing::fair::FairQueue;
use oleanderpass_routing::overload::Level;
use oleanderpass_routing::overload::Overload;
use oleanderpass_routing::request::LengthClass;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::OrganisationId;
use oleanderpass_types::size::Tokens;

fn organisation(name: &str) -> OrganisationId {
    name.parse().unwrap()
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// Guards against a flood of requests from one organisation that delays another organisation.
#[test]
fn flood_delays_only_its_organisation() {
    let mut queue = FairQueue::default();
    for number in 0..1_000 {
        queue.push(organisation("flood"), 1, Tokens::new(1_000), number);
    }
    queue.push(organisation("quiet"), 1, Tokens::new(1_000), 1_000);
    let position = (0..).find(|_| queue.pop().unwrap().0 == organisation("quiet"));
    assert!(position.unwrap() <= 2);
}

/// Guards against organisation weights that don't change the shares of the queue.
#[test]
fn weights_divide_the_queue() {
    let mut queue = FairQueue::default();
    for number in 0..300 {
        queue.push(organisation("large"), 3, Tokens::new(500), number);
        queue.push(organisation("small"), 1, Tokens::new(500), number);
    }
    let first = (0..200)
        .filter(|_| queue.pop().unwrap().0 == organisation("large"))
        .count();
    assert!((145..=155).contains(&first), "{first}");
}

/// Guards against requests that can't be removed from the queue when their caller disconnects.
#[test]
fn requests_can_be_removed() {
    let mut queue = FairQueue::default();
    for number in 0..4 {
        queue.push(organisation("a"), 1, Tokens::new(1), number);
    }
    assert_eq!(queue.remove_unless(|number| number % 2 == 0), [1, 3]);
    assert_eq!(queue.peek().unwrap().1, &0);
    assert_eq!(queue.len(), 2);
}

/// Guards against urgent requests that wait behind others, and against an unbounded scan.
#[test]
fn urgent_requests_go_first() {
    let mut queue = FairQueue::default();
    for number in 0..20 {
        queue.push(organisation("a"), 1, Tokens::new(1), number);
    }
    let order = queue.candidates(3, |number| *number == 17);
    let numbers: Vec<_> = order
        .iter()
        .map(|(key, urgent)| (*queue.get(*key).unwrap(), *urgent))
        .collect();
    assert_eq!(numbers, [(17, true), (0, false), (1, false)]);
    assert_eq!(queue.remove(order[0].0).unwrap().1, 17);
    assert_eq!(queue.len(), 19);
}

/// Guards against shedding in another order than batch, long, over share, and against a level that
/// stays up after the wait has fallen.
#[test]
fn levels_rise_in_order_and_fall() {
    let mut overload = Overload::default();
    let (big, small) = (organisation("big"), organisation("small"));
    overload.record_work(at(0), &big, 1, Tokens::new(9_000));
    overload.record_work(at(0), &small, 1, Tokens::new(1_000));
    let sheds = |overload: &Overload| {
        [
            overload.sheds(&small, LengthClass::Short, true),
            overload.sheds(&small, LengthClass::Long, false),
            overload.sheds(&big, LengthClass::Short, false),
            overload.sheds(&small, LengthClass::Short, false),
        ]
    };
    let mut seen = Vec::new();
    for ms in (0..=4_000).step_by(100) {
        overload.observe(at(ms), Millis::new(3_000));
        if seen.last() != Some(&sheds(&overload)) {
            seen.push(sheds(&overload));
        }
    }
    let expected = [
        [false, false, false, false],
        [true, false, false, false],
        [true, true, false, false],
        [true, true, true, false],
    ];
    assert_eq!(seen, expected);
    for ms in (4_100..=12_000).step_by(100) {
        overload.observe(at(ms), Millis::new(100));
    }
    assert_eq!(overload.level(), Level::None);
}

/// Guards against shedding after a spike of the wait that is shorter than 1 s.
#[test]
fn spike_sheds_nothing() {
    let mut overload = Overload::default();
    overload.observe(at(0), Millis::new(9_000));
    overload.observe(at(900), Millis::new(9_000));
    overload.observe(at(950), Millis::new(900));
    overload.observe(at(1_900), Millis::new(9_000));
    assert_eq!(overload.level(), Level::None);
}
