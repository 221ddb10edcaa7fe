//! Guard against leaked KV cache memory, and against long prompts that block other requests.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use common::TestBed;
use common::completed;
use common::model_target;
use oleanderpass_core::action::Action;
use oleanderpass_core::event::AttemptEnd;
use oleanderpass_core::event::Event;
use oleanderpass_core::event::Lifecycle;
use oleanderpass_proto::engine;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::id::RequestId;
use oleanderpass_types::outcome::Outcome;
use oleanderpass_types::size::Tokens;
use smol_str::SmolStr;
use test_case::test_case;

const ENGINES: [&str; 4] = ["e1", "e2", "e3", "e4"];

/// Send a prompt that needs the memory of 2.5 engines, or of four that keep a fifth of theirs free.
fn send_long(bed: &mut TestBed) -> RequestId {
    let mut new = bed.request(model_target());
    new.prompt = Tokens::new(250_000);
    new.timeout = Some(Millis::from_secs(120));
    bed.send(new)
}

/// Return the holds that were requested, or those that were released, with their engines.
fn hold_calls(bed: &TestBed, releases: bool) -> Vec<(String, SmolStr)> {
    let call = |action: &Action| match action {
        Action::RequestHold { server, hold, .. } if !releases => {
            Some((server.to_string(), hold.id.as_str().into()))
        }
        Action::ReleaseHold { server, hold, .. } if releases => {
            Some((server.to_string(), hold.clone()))
        }
        _ => None,
    };
    bed.actions.iter().filter_map(call).collect()
}

/// Report the answer of an engine to a hold request.
fn answer(bed: &mut TestBed, (server, hold): &(String, SmolStr), granted: Option<bool>) {
    bed.event(Event::HoldAnswered {
        server: server.parse().unwrap(),
        hold: hold.clone(),
        granted,
    });
}

/// Grant all requested holds and return them.
fn grant_all(bed: &mut TestBed) -> Vec<(String, SmolStr)> {
    let mut answered = 0;
    while let Some(call) = hold_calls(bed, false).get(answered).cloned() {
        answered += 1;
        answer(bed, &call, Some(true));
    }
    hold_calls(bed, false)
}

/// Guards against an attempt without all its holds, and against holds that outlive it.
#[test]
fn a_long_prompt_runs_with_all_its_holds_and_releases_them() {
    let mut bed = TestBed::new(&ENGINES, &[]);
    let id = send_long(&mut bed);
    assert!(bed.starts().is_empty());
    let holds = grant_all(&mut bed);
    let servers: Vec<&str> = holds.iter().map(|(server, _)| server.as_str()).collect();
    assert_eq!(
        servers, ENGINES,
        "holds are requested in ascending order of engine id"
    );
    let start = bed.only_start(&id);
    assert_eq!(start.holds.len(), 4);
    let largest = start.holds.iter().map(|hold| hold.tokens).max();
    assert!(
        largest <= Some(Tokens::new(80_000)),
        "a fifth of each engine must stay free for short prompts"
    );
    let total: u64 = start.holds.iter().map(|hold| hold.tokens.get()).sum();
    assert_eq!(total, 250_010);
    assert!(hold_calls(&bed, true).is_empty());
    bed.end(&start, completed());
    assert_eq!(bed.outcome(&id), Some(Outcome::Completed));
    let mut released = hold_calls(&bed, true);
    released.sort();
    assert_eq!(released, holds);
}

/// Guards against holds that are not released when a request ends before its attempt starts.
#[test_case(|bed, id| bed.event(Event::CallerGone(id.clone())); "caller gone")]
#[test_case(|bed, _| bed.advance(121_000); "deadline")]
#[test_case(|bed, id| { let call = hold_calls(bed, false)[1].clone(); answer(bed, &call, Some(false)); let _ = id; }; "refused")]
fn an_early_end_releases_the_granted_holds(end: fn(&mut TestBed, &RequestId)) {
    let mut bed = TestBed::new(&ENGINES, &[]);
    let id = send_long(&mut bed);
    let first = hold_calls(&bed, false)[0].clone();
    answer(&mut bed, &first, Some(true));
    end(&mut bed, &id);
    bed.advance(100);
    assert!(hold_calls(&bed, true).contains(&first));
    assert!(bed.starts().is_empty());
}

/// Guards against a hold that stays because its release was lost.
#[test]
fn a_release_is_repeated_until_it_is_confirmed() {
    let mut bed = TestBed::new(&ENGINES, &[]);
    let id = send_long(&mut bed);
    let holds = grant_all(&mut bed);
    let start = bed.only_start(&id);
    bed.end(&start, completed());
    bed.advance(3_000);
    let sends = |bed: &TestBed| {
        let all = hold_calls(bed, true);
        all.iter().filter(|call| **call == holds[0]).count()
    };
    assert_eq!(sends(&bed), 4);
    bed.event(Event::HoldReleased {
        server: holds[0].0.parse().unwrap(),
        hold: holds[0].1.clone(),
        confirmed: true,
    });
    bed.advance(3_000);
    assert_eq!(sends(&bed), 4);
}

/// Guards against a hold that leaks because its grant arrives after the request has ended.
#[test]
fn a_late_grant_is_released() {
    let mut bed = TestBed::new(&ENGINES, &[]);
    let id = send_long(&mut bed);
    let first = hold_calls(&bed, false)[0].clone();
    bed.event(Event::CallerGone(id));
    bed.event(Event::HoldReleased {
        server: first.0.parse().unwrap(),
        hold: first.1.clone(),
        confirmed: true,
    });
    let before = hold_calls(&bed, true).len();
    answer(&mut bed, &first, Some(true));
    assert_eq!(hold_calls(&bed, true).len(), before + 1);
}

/// Guards against memory that is released while a cancelled attempt still uses it.
#[test]
fn a_cancelled_attempt_keeps_its_holds_until_it_ends() {
    let mut bed = TestBed::new(&ENGINES, &[]);
    let id = send_long(&mut bed);
    grant_all(&mut bed);
    let start = bed.only_start(&id);
    bed.advance(120_000);
    assert_eq!(bed.answer_of(&id), Some((Outcome::Unknown, 504)));
    assert!(hold_calls(&bed, true).is_empty());
    bed.end(&start, AttemptEnd::Cancelled);
    assert_eq!(hold_calls(&bed, true).len(), 4);
}

/// Guards against a long prompt that waits for memory and blocks the requests behind it.
#[test]
fn short_prompts_overtake_one_that_waits_for_memory() {
    let mut bed = TestBed::new(&["e1", "e2", "e3"], &[]);
    for id in ["e1", "e2", "e3"] {
        let mut report = common::load_report(id, 1, Lifecycle::Live);
        report.memory_used = Tokens::new(50_000);
        bed.event(Event::LoadReport(report));
    }
    let long = send_long(&mut bed);
    let short = bed.generate();
    bed.only_start(&short);
    assert_eq!(bed.answer_of(&long), None);
    assert!(hold_calls(&bed, false).is_empty());
}

/// Guards against orphaned holds that are not released, and against the release of a hold in use.
#[test_case("entry-1", 1, 0, true; "held by this incarnation but unknown to it")]
#[test_case("entry-1", 0, 0, true; "held by an earlier incarnation of this instance")]
#[test_case("entry-9", 1, 4_999, false; "unknown owner, not overdue long enough")]
#[test_case("entry-9", 1, 5_000, true; "unknown owner, overdue")]
fn listed_holds_are_released_only_when_orphaned(
    owner: &str,
    incarnation: u64,
    overdue_ms: u64,
    released: bool,
) {
    let mut bed = TestBed::new(&ENGINES, &[]);
    let id = send_long(&mut bed);
    let own = grant_all(&mut bed)[0].clone();
    let listed = |id: &str, owner: &str, incarnation, overdue_ms| engine::Hold {
        id: id.to_owned(),
        owner: owner.to_owned(),
        owner_incarnation: incarnation,
        tokens: 10,
        expires_in_ms: 0,
        overdue_ms,
    };
    let holds = vec![
        listed(&own.1, "entry-1", 1, 9_000),
        listed("other", owner, incarnation, overdue_ms),
    ];
    bed.event(Event::HoldList {
        server: "e1".parse().unwrap(),
        list: Box::new(engine::HoldList {
            incarnation: 1,
            holds,
        }),
    });
    let expected = if released {
        vec![("e1".to_owned(), "other".into())]
    } else {
        Vec::new()
    };
    assert_eq!(hold_calls(&bed, true), expected);
    bed.only_start(&id);
}
