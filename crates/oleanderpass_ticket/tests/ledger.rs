//! Guard against a second run of a used ticket, a wrong claim about one, and unbounded memory.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::sync::Arc;

use oleanderpass_ticket::answer::MAX_BODIES_BYTES;
use oleanderpass_ticket::answer::MAX_BODY_BYTES;
use oleanderpass_ticket::answer::RecordedAnswer;
use oleanderpass_ticket::ledger::Ledger;
use oleanderpass_ticket::ledger::LedgerFull;
use oleanderpass_ticket::ledger::MAX_USED;
use oleanderpass_ticket::ledger::MAX_USED_PER_ORGANISATION;
use oleanderpass_ticket::ledger::MAX_WAITING;
use oleanderpass_ticket::ledger::TicketStatus;
use oleanderpass_ticket::ticket::Scope;
use oleanderpass_ticket::ticket::Ticket;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::Incarnation;
use oleanderpass_types::id::RequestId;
use oleanderpass_types::outcome::Outcome;
use test_case::test_case;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn ledger() -> Ledger {
    Ledger::new("entry-1".parse().unwrap(), Incarnation::new(9))
}

fn issue(ledger: &mut Ledger, organisation: &str) -> Ticket {
    let scope = Scope {
        environment: "production".into(),
        organisation: organisation.parse().unwrap(),
        caller: "till".parse().unwrap(),
        route: "charge".parse().unwrap(),
    };
    ledger.issue(at(0), scope)
}

fn req(number: u64) -> RequestId {
    RequestId {
        instance: "entry-1".parse().unwrap(),
        incarnation: Incarnation::new(9),
        number,
    }
}

fn answer(len: usize) -> Option<Arc<RecordedAnswer>> {
    Some(Arc::new(RecordedAnswer {
        status: 200,
        content_type: "application/json".into(),
        body: vec![0; len],
    }))
}

#[test]
fn unused_tickets_take_no_memory() {
    let mut ledger = ledger();
    for _ in 0..10_000 {
        issue(&mut ledger, "acme");
    }
    assert!(ledger.is_empty());
}

#[test_case(29_999, TicketStatus::Unused; "in time for the first use")]
#[test_case(30_000, TicketStatus::Expired; "after the time for the first use")]
#[test_case(119_999, TicketStatus::Expired; "while a use would still be known")]
#[test_case(120_000, TicketStatus::Forgotten; "when a use may have been forgotten")]
fn an_absent_entry_proves_non_use_only_within_the_retention(ms: u64, expected: TicketStatus) {
    let mut ledger = ledger();
    let ticket = issue(&mut ledger, "acme");
    assert_eq!(ledger.look_up(at(ms), &ticket), expected);
}

#[test]
fn a_use_in_the_first_millisecond_is_known_until_it_counts_as_forgotten() {
    let mut ledger = ledger();
    let ticket = issue(&mut ledger, "acme");
    ledger.begin_use(&ticket).unwrap();
    ledger.end_use(at(0), ticket.number, Outcome::Completed, None);
    for ms in (0..200_000).step_by(100) {
        ledger.remove_expired(at(ms));
        let known = ledger.look_up(at(ms), &ticket);
        assert!(
            !matches!(known, TicketStatus::Unused | TicketStatus::Expired),
            "{ms} ms: {known:?}"
        );
    }
    assert!(ledger.is_empty());
}

#[test]
fn a_running_use_outlives_every_retention() {
    let mut ledger = ledger();
    let ticket = issue(&mut ledger, "acme");
    ledger.begin_use(&ticket).unwrap();
    ledger.remove_expired(at(3_600_000));
    assert_eq!(
        ledger.look_up(at(3_600_000), &ticket),
        TicketStatus::Running
    );
}

#[test]
fn waiting_uses_are_returned_once_at_the_end() {
    let mut ledger = ledger();
    let ticket = issue(&mut ledger, "acme");
    ledger.begin_use(&ticket).unwrap();
    for number in 0..3 {
        ledger.add_waiter(ticket.number, req(number)).unwrap();
    }
    ledger.remove_waiter(ticket.number, &req(1));
    let waiting = ledger.end_use(at(5), ticket.number, Outcome::Completed, answer(3));
    assert_eq!(waiting, [req(0), req(2)]);
    assert!(
        ledger
            .end_use(at(6), ticket.number, Outcome::Completed, None)
            .is_empty()
    );
}

#[test]
fn only_an_unknown_outcome_is_revised() {
    let mut ledger = ledger();
    for (first, expected) in [
        (Outcome::Unknown, Outcome::Completed),
        (Outcome::Failed, Outcome::Failed),
        (Outcome::NotRun, Outcome::NotRun),
    ] {
        let ticket = issue(&mut ledger, "acme");
        ledger.begin_use(&ticket).unwrap();
        ledger.end_use(at(1), ticket.number, first, None);
        ledger.revise_outcome(at(2), ticket.number, Outcome::Completed, None);
        let ended = TicketStatus::Ended {
            outcome: expected,
            answer: None,
        };
        assert_eq!(ledger.look_up(at(3), &ticket), ended);
    }
}

#[test]
fn a_use_that_others_wait_for_is_not_withdrawn() {
    let mut ledger = ledger();
    let ticket = issue(&mut ledger, "acme");
    ledger.begin_use(&ticket).unwrap();
    ledger.add_waiter(ticket.number, req(1)).unwrap();
    assert!(!ledger.withdraw_use(ticket.number));
    ledger.remove_waiter(ticket.number, &req(1));
    assert!(ledger.withdraw_use(ticket.number));
    assert_eq!(ledger.look_up(at(1), &ticket), TicketStatus::Unused);
}

#[test_case(MAX_BODY_BYTES, true; "largest")]
#[test_case(MAX_BODY_BYTES + 1, false; "too large")]
fn large_bodies_are_dropped_but_their_outcome_is_kept(len: usize, kept: bool) {
    let mut ledger = ledger();
    let ticket = issue(&mut ledger, "acme");
    ledger.begin_use(&ticket).unwrap();
    ledger.end_use(at(1), ticket.number, Outcome::Completed, answer(len));
    let TicketStatus::Ended { outcome, answer } = ledger.look_up(at(2), &ticket) else {
        panic!("the use ended");
    };
    assert_eq!((outcome, answer.is_some()), (Outcome::Completed, kept));
}

#[test]
fn bodies_stay_within_their_total_and_are_given_back() {
    let mut ledger = ledger();
    for _ in 0..200 {
        let ticket = issue(&mut ledger, "acme");
        ledger.begin_use(&ticket).unwrap();
        ledger.end_use(
            at(1),
            ticket.number,
            Outcome::Completed,
            answer(MAX_BODY_BYTES),
        );
    }
    assert_eq!(ledger.body_bytes(), MAX_BODIES_BYTES);
    assert_eq!(ledger.len(), 200);
    ledger.remove_expired(at(120_001));
    assert_eq!((ledger.body_bytes(), ledger.len()), (0, 0));
}

#[test]
fn one_organisation_can_not_use_up_the_ledger() {
    let mut ledger = ledger();
    for _ in 0..MAX_USED_PER_ORGANISATION {
        let ticket = issue(&mut ledger, "acme");
        ledger.begin_use(&ticket).unwrap();
    }
    let refused = issue(&mut ledger, "acme");
    assert_eq!(ledger.begin_use(&refused), Err(LedgerFull::Organisation));
    assert_eq!(ledger.look_up(at(1), &refused), TicketStatus::Unused);
    let other = issue(&mut ledger, "other");
    assert_eq!(ledger.begin_use(&other), Ok(()));
}

#[test]
fn the_ledger_and_its_waiting_uses_are_bounded() {
    let mut ledger = ledger();
    for number in 0..MAX_USED {
        let ticket = issue(&mut ledger, &format!("o{}", number % 16));
        ledger.begin_use(&ticket).unwrap();
    }
    let refused = issue(&mut ledger, "other");
    assert_eq!(ledger.begin_use(&refused), Err(LedgerFull::Instance));
    for number in 0..MAX_WAITING as u64 {
        ledger.add_waiter(1, req(number)).unwrap();
    }
    assert_eq!(ledger.add_waiter(1, req(99)), Err(LedgerFull::Waiting));
}
