//! Guards against a request that runs twice with one ticket, a wrong status of a ticket, and
//! unbounded memory.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::sync::Arc;

use oleanderpass_ticket::answer::MAX_BODY_BYTES;
use oleanderpass_ticket::answer::MAX_TOTAL_BODY_BYTES;
use oleanderpass_ticket::answer::RecordedAnswer;
use oleanderpass_ticket::ledger::Ledger;
use oleanderpass_ticket::ledger::LedgerFull;
use oleanderpass_ticket::ledger::MAX_USED_TICKETS;
use oleanderpass_ticket::ledger::MAX_USED_TICKETS_PER_ORGANISATION;
use oleanderpass_ticket::ledger::MAX_WAITERS_PER_TICKET;
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
fn unused_tickets_are_not_stored() {
    let mut ledger = ledger();
    for _ in 0..10_000 {
        issue(&mut ledger, "acme");
    }
    assert!(ledger.is_empty());
}

#[test_case(29_999, TicketStatus::Unused; "last millisecond for the first use")]
#[test_case(30_000, TicketStatus::Expired; "first use too late")]
#[test_case(119_999, TicketStatus::Expired; "last millisecond of the retention")]
#[test_case(120_000, TicketStatus::Forgotten; "retention over")]
fn a_missing_entry_proves_non_use_only_within_the_retention(ms: u64, expected: TicketStatus) {
    let mut ledger = ledger();
    let ticket = issue(&mut ledger, "acme");
    assert_eq!(ledger.look_up(at(ms), &ticket), expected);
}

#[test]
fn an_earliest_possible_use_is_kept_until_its_ticket_counts_as_forgotten() {
    let mut ledger = ledger();
    let ticket = issue(&mut ledger, "acme");
    ledger.begin_use(&ticket).unwrap();
    ledger.end_use(at(0), ticket.number, Outcome::Completed, None);
    for ms in (0..200_000).step_by(100) {
        ledger.remove_expired(at(ms));
        let status = ledger.look_up(at(ms), &ticket);
        assert!(
            !matches!(status, TicketStatus::Unused | TicketStatus::Expired),
            "{ms} ms: {status:?}"
        );
    }
    assert!(ledger.is_empty());
}

#[test]
fn a_running_request_is_kept_beyond_the_retention() {
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
fn waiters_are_returned_once_when_the_request_ends() {
    let mut ledger = ledger();
    let ticket = issue(&mut ledger, "acme");
    ledger.begin_use(&ticket).unwrap();
    for number in 0..3 {
        ledger.add_waiter(ticket.number, req(number)).unwrap();
    }
    ledger.remove_waiter(ticket.number, &req(1));
    let waiters = ledger.end_use(at(5), ticket.number, Outcome::Completed, answer(3));
    assert_eq!(waiters, [req(0), req(2)]);
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
fn a_use_with_waiters_is_not_withdrawn() {
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
fn a_body_above_the_limit_is_dropped_but_its_outcome_is_kept(len: usize, kept: bool) {
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
fn recorded_bodies_stay_within_the_total_and_are_freed_after_the_retention() {
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
    assert_eq!(ledger.body_bytes(), MAX_TOTAL_BODY_BYTES);
    assert_eq!(ledger.len(), 200);
    ledger.remove_expired(at(120_001));
    assert_eq!((ledger.body_bytes(), ledger.len()), (0, 0));
}

#[test]
fn one_organisation_cannot_fill_the_ledger() {
    let mut ledger = ledger();
    for _ in 0..MAX_USED_TICKETS_PER_ORGANISATION {
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
fn used_tickets_and_waiters_are_bounded() {
    let mut ledger = ledger();
    for number in 0..MAX_USED_TICKETS {
        let ticket = issue(&mut ledger, &format!("o{}", number % 16));
        ledger.begin_use(&ticket).unwrap();
    }
    let refused = issue(&mut ledger, "other");
    assert_eq!(ledger.begin_use(&refused), Err(LedgerFull::Instance));
    for number in 0..MAX_WAITERS_PER_TICKET as u64 {
        ledger.add_waiter(1, req(number)).unwrap();
    }
    assert_eq!(ledger.add_waiter(1, req(99)), Err(LedgerFull::Waiters));
}
