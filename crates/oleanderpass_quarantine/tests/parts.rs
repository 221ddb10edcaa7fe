//! Guards against prompt parts that crash servers and are not found, and against harmless parts
//! that stay refused.

use oleanderpass_quarantine::evidence::EVIDENCE_LIFETIME;
use oleanderpass_quarantine::evidence::Signature;
use oleanderpass_quarantine::part_report::PartReports;
use oleanderpass_quarantine::part_report::RefusalReport;
use oleanderpass_quarantine::part_report::ServerRun;
use oleanderpass_quarantine::part_report::Suspect;
use oleanderpass_quarantine::parts::PartQuarantine;
use oleanderpass_quarantine::parts::PartRule;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::PromptPartId;
use test_case::test_case;

const CRASHING: PromptPartId = PromptPartId::new(0xbad);
const HARMLESS: PromptPartId = PromptPartId::new(1);
const REPEATS: u32 = 3;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + ms)
}

/// Return these parts as suspects by one request.
fn suspects(request: u64, parts: &[PromptPartId]) -> impl Iterator<Item = Suspect> {
    parts.iter().map(move |part| Suspect {
        part: *part,
        request: Signature(request),
    })
}

/// Record a crash each 300 ms from 0 on, each with another request, and decide when the last one has settled. Return that
/// time.
fn crash(table: &mut PartQuarantine, count: u64, parts: &[PromptPartId]) -> Timestamp {
    for number in 0..count {
        let suspects = suspects(number, parts);
        table.on_crash(at(number * 300), ServerRun(number), Millis::ZERO, suspects);
    }
    let settled = at(count * 300 + 1_000);
    table.tick(settled);
    settled
}

/// Guards against a part that is refused too early, or not after three crashes.
#[test_case(2, false)]
#[test_case(3, true)]
fn part_is_refused_after_three_crashes(crashes: u64, refused: bool) {
    let mut table = PartQuarantine::default();
    let now = crash(&mut table, crashes, &[CRASHING]);
    assert_eq!(table.refuses(&[HARMLESS, CRASHING]), refused);
    let rule = table.rule(now, &[CRASHING], |_| false);
    assert_eq!(rule == PartRule::Refused(CRASHING), refused);
}

/// Guards against refusing a part because one request with it, sent again and again, was in flight
/// in several crashes, because servers went down together, or because it was in flight in a few of
/// many crashes.
#[test_case(300, &[1, 1, 1, 1], 0, false; "one request")]
#[test_case(300, &[1, 2, 1, 2], 0, true; "two requests")]
#[test_case(10, &[1, 2, 1, 2], 0, false; "servers that went down together")]
#[test_case(10, &[1, 2, 3, 4, 5], 0, true; "a burst of different requests")]
#[test_case(300, &[1, 2, 3, 4], 8, false; "a few of many crashes")]
fn part_is_refused_only_if_nothing_else_explains_its_crashes(
    gap: u64,
    requests: &[u64],
    others: u64,
    refused: bool,
) {
    let mut table = PartQuarantine::default();
    for (number, request) in requests.iter().enumerate() {
        let now = at(number as u64 * gap);
        let server = ServerRun(number as u64);
        table.on_crash(now, server, Millis::ZERO, suspects(*request, &[CRASHING]));
    }
    for number in 0..others {
        table.on_crash(at(number * 100), ServerRun(100 + number), Millis::ZERO, []);
    }
    table.tick(at(4_000));
    assert_eq!(table.refuses(&[CRASHING]), refused);
}

/// Guards against refusing a part that was only in flight beside the one that crashes servers.
#[test]
fn explained_crashes_do_not_count_against_other_parts() {
    let mut table = PartQuarantine::default();
    crash(&mut table, 3, &[HARMLESS, CRASHING]);
    table.on_crash(
        at(900),
        ServerRun(9),
        Millis::ZERO,
        suspects(9, &[CRASHING]),
    );
    table.tick(at(2_000));
    assert!(table.refuses(&[CRASHING]));
    assert!(!table.refuses(&[HARMLESS]));
}

/// Guards against refusing the first part of a prompt, which many harmless prompts have too, when
/// no answer shows yet which one of its parts crashes servers.
#[test]
fn part_further_back_is_refused_if_parts_always_came_together() {
    let first = PromptPartId::new(0xffff);
    let mut table = PartQuarantine::default();
    crash(&mut table, 4, &[first, CRASHING]);
    assert!(table.refuses(&[CRASHING]));
    assert!(!table.refuses(&[first]));
}

/// Guards against a wrong first choice that is kept although later crashes contradict it.
#[test]
fn choice_follows_the_evidence() {
    let other = PromptPartId::new(2);
    let mut table = PartQuarantine::default();
    crash(&mut table, 4, &[CRASHING, other]);
    assert!(table.refuses(&[other]));
    table.on_crash(
        at(1_300),
        ServerRun(9),
        Millis::ZERO,
        suspects(9, &[CRASHING, HARMLESS]),
    );
    table.tick(at(2_500));
    assert!(table.refuses(&[CRASHING]));
    assert!(!table.refuses(&[other]));
}

/// Guards against clearing a part by an answer that began before its crashes, and against refusing
/// one of which an answer began after them.
#[test_case(100, true; "before the last crashes")]
#[test_case(700, false; "after all crashes")]
fn answer_clears_the_crashes_before_its_start(started: u64, refused: bool) {
    let mut table = PartQuarantine::default();
    let now = crash(&mut table, 4, &[CRASHING]);
    assert!(table.refuses(&[CRASHING]));
    table.on_harmless(now, at(started), &[CRASHING]);
    assert_eq!(table.refuses(&[CRASHING]), refused);
}

/// Guards against evidence of an old crash that arrives late and makes a cleared part a suspect
/// again.
#[test]
fn late_evidence_does_not_count_against_a_harmless_part() {
    let mut table = PartQuarantine::default();
    table.on_harmless(at(2_000), at(1_500), &[HARMLESS]);
    for number in 0..5 {
        let age = Millis::new(1_000 + number * 10);
        table.on_crash(
            at(2_100),
            ServerRun(number),
            age,
            suspects(number, &[HARMLESS]),
        );
    }
    table.tick(at(4_000));
    assert!(!table.refuses(&[HARMLESS]));
    let reports = table.next_reports(at(4_000), REPEATS);
    assert_eq!(reports.harmless.len(), 1, "peers are not told");
}

/// Guards against a peer that goes on reporting a part as refused although it was cleared.
#[test]
fn report_of_a_cleared_part_is_answered() {
    let mut table = PartQuarantine::default();
    table.on_harmless(at(2_000), at(1_500), &[HARMLESS]);
    let report = RefusalReport {
        part: HARMLESS,
        crashes: 3,
        age: Millis::new(1_000),
        failed_trials: 0,
        was_harmless: false,
    };
    let reports = PartReports {
        refused: vec![report],
        ..PartReports::default()
    };
    table.on_reports(at(2_100), &reports);
    assert!(!table.refuses(&[HARMLESS]));
    assert_eq!(table.next_reports(at(2_200), REPEATS).harmless.len(), 1);
}

/// Guards against a long wait for the trial of a part that only other instances know to be harmless
/// from before the crashes.
#[test]
fn peers_learn_that_a_refused_part_was_harmless() {
    let mut table = PartQuarantine::default();
    let mut peer = PartQuarantine::default();
    peer.on_harmless(at(0), at(0), &[CRASHING]);
    let now = crash(&mut table, 3, &[CRASHING]);
    peer.on_reports(now, &table.next_reports(now, REPEATS));
    table.on_reports(now, &peer.next_reports(now, REPEATS));
    assert!(
        table.refuses(&[CRASHING]),
        "an answer before the crashes cleared them"
    );
    let later = now + Millis::new(1_100);
    table.tick(later);
    let rule = table.rule(later, &[CRASHING], |_| true);
    assert_eq!(rule, PartRule::TrialDue(CRASHING));
}

/// Guards against an instance without evidence that ignores what its peers refuse, and against one
/// that refuses for ever what no peer reports any more.
#[test]
fn reported_refusal_holds_while_peers_repeat_it() {
    let mut table = PartQuarantine::default();
    let mut peer = PartQuarantine::default();
    let now = crash(&mut peer, 3, &[CRASHING]);
    let reports = PartReports {
        crashes: Vec::new(),
        ..peer.next_reports(now, REPEATS)
    };
    table.on_reports(now, &reports);
    assert!(table.refuses(&[CRASHING]));
    let later = now + Millis::new(1_900);
    table.tick(later);
    assert!(table.refuses(&[CRASHING]));
    assert_eq!(
        table.next_reports(later, REPEATS).refused,
        [],
        "an instance repeats what it only heard"
    );
    table.tick(now + Millis::new(2_100));
    assert!(!table.refuses(&[CRASHING]));
}

/// Guards against a part that stays refused for ever, and against trials by several instances or
/// at a constant rate, which crash one server each.
#[test]
fn trials_are_made_by_one_instance_at_growing_intervals() {
    let mut table = PartQuarantine::default();
    let mut now = crash(&mut table, 3, &[CRASHING]);
    let mut trials = Vec::new();
    let start = now;
    for number in 0..2_000 {
        now = start + Millis::new(number * 500);
        table.tick(now);
        assert_eq!(
            table.rule(now, &[CRASHING], |_| false),
            PartRule::Refused(CRASHING)
        );
        if table.rule(now, &[CRASHING], |_| true) == PartRule::TrialDue(CRASHING) {
            table.on_trial(now, CRASHING);
            table.on_crash(
                now,
                ServerRun(100 + number),
                Millis::ZERO,
                suspects(number, &[CRASHING]),
            );
            trials.push(now.since(start).get() / 1_000);
        }
        if trials.len() == 3 {
            break;
        }
    }
    let gaps: Vec<u64> = trials.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(
        (9..=10).contains(&trials[0]),
        "first trial after {} s",
        trials[0]
    );
    assert!(
        (40..=41).contains(&gaps[0]) && (160..=161).contains(&gaps[1]),
        "{trials:?}"
    );
}

/// Guards against evidence that never expires and against tables that grow without bound.
#[test]
fn evidence_expires_and_is_bounded() {
    let mut table = PartQuarantine::default();
    for number in 0..2_000 {
        let suspects = (0..200).map(|part| Suspect {
            part: PromptPartId::new(number * 200 + part),
            request: Signature(number),
        });
        table.on_crash(at(number), ServerRun(number), Millis::ZERO, suspects);
    }
    let mut crashes = 0;
    loop {
        let reports = table.next_reports(at(3_000), REPEATS);
        if reports.crashes.is_empty() {
            break;
        }
        crashes += reports.crashes.len();
        assert!(crashes < 256 * 64, "unbounded evidence");
    }
    table.tick(at(3_000) + EVIDENCE_LIFETIME);
    table.on_new_peer();
    assert!(table.next_reports(at(3_000), REPEATS).crashes.is_empty());
}
