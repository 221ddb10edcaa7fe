//! Guard against retries that multiply the load of failing servers.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use common::TestBed;
use common::broken;
use common::completed;
use oleanderpass_core::event::AttemptEnd;
use oleanderpass_core::event::Refusal;
use oleanderpass_core::retry::retry_delay;
use oleanderpass_types::id::BackendServerId;
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

const ENGINES: [&str; 14] = [
    "e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9", "e10", "e11", "e12", "e13", "e14",
];

/// Send requests for `seconds` and end every attempt at once. Return the number of requests
/// admitted and the number of attempts started.
fn send_and_end(bed: &mut TestBed, seconds: u64, per_second: u64, end: &AttemptEnd) -> (u64, u64) {
    let admitted_before = bed.instance.admitted();
    let attempts_before = bed.starts().len() as u64;
    let mut ended = bed.starts().len();
    for _ in 0..seconds * per_second {
        bed.generate();
        bed.pause(1_000 / per_second);
        bed.event(oleanderpass_core::event::Event::Tick);
        while let Some(start) = bed.starts().get(ended).cloned() {
            ended += 1;
            bed.end(&start, end.clone());
        }
    }
    (
        bed.instance.admitted() - admitted_before,
        bed.starts().len() as u64 - attempts_before,
    )
}

/// Guards against more than one retry for every 10 admitted requests while all servers fail.
#[test_case(&AttemptEnd::Failed("status 500".into()); "all fail")]
#[test_case(&AttemptEnd::NotSent("connection refused".into()); "all refuse connections")]
#[test_case(&broken(false); "all break")]
fn a_full_outage_multiplies_the_load_by_1_1_at_most(end: &AttemptEnd) {
    let mut bed = TestBed::new(&ENGINES, &[]);
    let (admitted, attempts) = send_and_end(&mut bed, 60, 10, end);
    assert!(admitted >= 500, "{admitted} admitted");
    assert!(
        attempts * 10 <= admitted * 11,
        "{attempts} attempts of {admitted} admitted requests"
    );
}

/// Guards against a retry budget that grows without a bound while the servers are healthy.
#[test_case(&AttemptEnd::Failed("status 500".into()); "all fail")]
#[test_case(&AttemptEnd::NotSent("connection refused".into()); "all refuse connections")]
fn saved_retry_budget_adds_10_retries_at_most(end: &AttemptEnd) {
    let mut bed = TestBed::new(&ENGINES, &[]);
    send_and_end(&mut bed, 60, 10, &completed());
    let (admitted, attempts) = send_and_end(&mut bed, 60, 10, end);
    let saved_retries = 10;
    assert!(
        attempts * 10 <= admitted * 11 + saved_retries * 10,
        "{attempts} attempts of {admitted} admitted requests"
    );
}

/// Guards against requests that are sent to full servers again and again without a backoff.
#[test]
fn attempts_on_full_servers_back_off() {
    let mut bed = TestBed::new(&["e1", "e2"], &[]);
    let id = bed.generate();
    let mut ended = 0;
    for _ in 0..190 {
        bed.advance(100);
        while let Some(start) = bed.starts_of(&id).get(ended).cloned() {
            ended += 1;
            bed.end(&start, AttemptEnd::Refused(Refusal::Full));
        }
    }
    assert!((10..60).contains(&ended), "{ended} attempts in 19 s");
    assert_eq!(bed.answer_of(&id), None, "the request still waits");
}

/// Guards against concurrent attempts on one server that fail together and each lengthen its
/// backoff.
#[test]
fn failures_of_concurrent_attempts_count_once() {
    let mut bed = TestBed::new(&["e1"], &[]);
    let ids = [bed.generate(), bed.generate()];
    for id in &ids {
        let start = bed.only_start(id);
        bed.end(&start, AttemptEnd::Refused(Refusal::Full));
    }
    let id: BackendServerId = "e1".parse().unwrap();
    assert_eq!(bed.instance.servers()[&id].consecutive_failures, 1);
}

/// Guards against retries that follow each other too fast, and against requests that failed
/// together and are retried together.
#[test]
fn retry_delays_double_up_to_their_limit_and_differ() {
    let mut rng = Pcg64Mcg::new(1);
    for (failures, least, most) in [
        (1, 25, 50),
        (2, 50, 100),
        (6, 800, 1_600),
        (40, 1_000, 2_000),
    ] {
        let delays: Vec<u64> = (0..100)
            .map(|_| retry_delay(failures, &mut rng).get())
            .collect();
        assert!(delays.iter().all(|delay| (least..=most).contains(delay)));
        assert!(delays.iter().any(|delay| *delay != delays[0]));
    }
}

/// Guards against a retry that skips its delay through the stale queue entry of an earlier attempt.
#[test]
fn a_retry_waits_for_its_delay_while_others_are_dispatched() {
    let mut bed = TestBed::new(&["e1", "e2"], &[]);
    send_and_end(&mut bed, 10, 20, &completed());
    let id = bed.generate();
    let first = bed.only_start(&id);
    bed.end(&first, broken(false));
    bed.pause(10);
    for _ in 0..6 {
        bed.generate();
    }
    assert_eq!(bed.starts_of(&id).len(), 1);
    for start in bed.starts() {
        bed.end(&start, completed());
    }
    assert_eq!(bed.starts_of(&id).len(), 1);
    for _ in 0..10 {
        bed.advance(100);
        for start in bed.starts() {
            bed.end(&start, completed());
        }
    }
    assert_eq!(bed.starts_of(&id).len(), 2);
}
