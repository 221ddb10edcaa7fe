//! Test that all instances together keep the retries to each service within the published budget.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use oleanderpass_gateway::gateway::AttemptEnd;
use oleanderpass_gateway::gateway::Gateway;
use oleanderpass_gateway::gateway::Next;
use oleanderpass_quarantine::evidence::Signature;
use test_case::test_case;

use crate::common::at;
use crate::common::attempt;
use crate::common::begin;
use crate::common::started_gateway;

/// The number of instances. An instance assumes as many before it knows a peer.
const INSTANCES: u64 = 8;

/// What the published bound allows in one window for this number of requests. Source: the settings
/// of the test gateways.
fn allowed(requests: u64) -> u64 {
    102 + requests / 5
}

/// Serve a request, which the first server may refuse. Return whether it was retried.
fn serve(gateway: &mut Gateway, number: u64, path: &str, refused: bool) -> bool {
    let now = at(number);
    let mut req = begin(gateway, now, path, 0);
    req.spec.signature = Signature(number);
    let first = attempt(gateway.next(now, &mut req));
    gateway.on_sent(&mut req, &first);
    if !refused {
        gateway.on_attempt_end(now, &mut req, &first, AttemptEnd::Completed);
        return false;
    }
    gateway.on_attempt_end(now, &mut req, &first, AttemptEnd::Refused);
    match gateway.next(now, &mut req) {
        Next::Send(again) => {
            gateway.on_sent(&mut req, &again);
            gateway.on_attempt_end(now, &mut req, &again, AttemptEnd::Refused);
            true
        }
        _ => false,
    }
}

/// Guards against instances that get their whole share of the slack anew with each start, so that
/// an outage of servers beside restarts gets several times what is allowed.
#[test_case(0)]
#[test_case(1)]
#[test_case(4)]
fn restarts_do_not_renew_the_budget(restarts: u64) {
    let (mut retries, mut requests) = (0, 0);
    for instance in 0..INSTANCES {
        let name = format!("edge-{instance}");
        for _ in 0..=restarts {
            let mut gateway = started_gateway(&name, 14);
            for number in 0..20 {
                requests += 1;
                retries += u64::from(serve(&mut gateway, number, "/look/1", true));
            }
        }
    }
    let allowed = allowed(requests);
    assert!(retries <= allowed, "{retries} of {allowed} retries");
    assert!(
        retries >= requests / 6,
        "the budget is hardly used: {retries}"
    );
}

/// Guards against retries to one service that the requests for another one allow.
#[test]
fn budget_of_one_service_is_not_spent_on_another() {
    let (mut retries, mut requests) = (0, 0);
    for instance in 0..INSTANCES {
        let mut gateway = started_gateway(&format!("edge-{instance}"), 14);
        for number in 0..800 {
            let is_plain = number % 20 == 0;
            let path = if is_plain { "/look/1" } else { "/chat/1" };
            requests += u64::from(is_plain);
            retries += u64::from(serve(&mut gateway, number, path, is_plain));
        }
    }
    let allowed = allowed(requests);
    assert!(retries <= allowed, "{retries} of {allowed} retries");
}

/// Guards against a quiet instance whose first failed request is never retried after a start.
#[test]
fn started_instance_retries_its_first_request() {
    let mut gateway = started_gateway("edge-1", 14);
    assert!(serve(&mut gateway, 0, "/look/1", true));
}
