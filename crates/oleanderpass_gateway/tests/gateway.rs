//! Test the decisions of the gateway over all attempts of a request.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use std::rc::Rc;

use oleanderpass_gateway::absence::Absence;
use oleanderpass_gateway::backend::AnnouncedState;
use oleanderpass_gateway::backend::BackendKey;
use oleanderpass_gateway::config::Configuration;
use oleanderpass_gateway::gateway::Attempt;
use oleanderpass_gateway::gateway::AttemptEnd;
use oleanderpass_gateway::gateway::Gateway;
use oleanderpass_gateway::gateway::Next;
use oleanderpass_gateway::gateway::Rejection;
use oleanderpass_gateway::gateway::Request;
use oleanderpass_gateway::readiness::Readiness;
use oleanderpass_gateway::readiness::Reason;
use oleanderpass_gateway::route::Route;
use oleanderpass_gateway::route::RouteKind;
use oleanderpass_quarantine::evidence::Signature;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::Incarnation;
use oleanderpass_types::id::PromptPartId;
use test_case::test_case;

use crate::common::HOST;
use crate::common::KEY;
use crate::common::at;
use crate::common::attempt;
use crate::common::begin;
use crate::common::configuration;
use crate::common::gateway;
use crate::common::gateway_named;
use crate::common::introduce;
use crate::common::route;
use crate::common::server;
use crate::common::status;

/// Guards against a second run of a non-idempotent request.
#[test_case(AttemptEnd::Broken, 502)]
#[test_case(AttemptEnd::Oversized, 502)]
#[test_case(AttemptEnd::Silent, 502)]
#[test_case(AttemptEnd::Refused, 503)]
fn non_idempotent_request_is_not_retried(end: AttemptEnd, expected: u16) {
    let mut gateway = gateway(2);
    let mut req = begin(&mut gateway, at(0), "/order/1", 0);
    let first = attempt(gateway.next(at(0), &mut req));
    gateway.on_sent(&mut req, &first);
    gateway.on_attempt_end(at(10), &mut req, &first, end);
    assert_eq!(status(gateway.next(at(10), &mut req)), expected);
}

/// Guards against refusing a non-idempotent request although no byte of it was sent.
#[test]
fn unsent_request_goes_to_another_server() {
    let mut gateway = gateway(2);
    let mut req = begin(&mut gateway, at(0), "/order/1", 0);
    let first = attempt(gateway.next(at(0), &mut req));
    gateway.on_attempt_end(at(10), &mut req, &first, AttemptEnd::NotSent);
    let second = attempt(gateway.next(at(10), &mut req));
    assert_ne!(first.primary.id, second.primary.id);
}

/// Guards against a retry at the server that has just failed, and against more servers than the
/// route allows.
#[test]
fn retry_goes_to_another_server_within_the_route_limit() {
    let mut gateway = gateway(4);
    let mut req = begin(&mut gateway, at(0), "/chat/1", 5_000);
    let first = attempt(gateway.next(at(0), &mut req));
    gateway.on_sent(&mut req, &first);
    gateway.on_attempt_end(at(10), &mut req, &first, AttemptEnd::Broken);
    let second = attempt(gateway.next(at(10), &mut req));
    assert_ne!(first.primary.id, second.primary.id);
    gateway.on_sent(&mut req, &second);
    gateway.on_attempt_end(at(20), &mut req, &second, AttemptEnd::Broken);
    assert_eq!(status(gateway.next(at(20), &mut req)), 502);
}

/// Guards against refusing a long prompt because a helper is gone: a fault of a helper must not
/// count as one of the servers that the route allows. Seen with servers that became slow or were
/// cut off (site `muscat-prism`).
#[test]
fn helper_fault_does_not_use_up_attempts() {
    let mut gateway = gateway(14);
    let mut req = begin(&mut gateway, at(0), "/chat/1", 100_000);
    let first = attempt(gateway.next(at(0), &mut req));
    gateway.on_sent(&mut req, &first);
    gateway.on_helper_fault(at(10), first.helpers[0]);
    gateway.on_attempt_end(at(10), &mut req, &first, AttemptEnd::HelperFailed);
    let second = attempt(gateway.next(at(10), &mut req));
    gateway.on_sent(&mut req, &second);
    gateway.on_helper_fault(at(20), second.helpers[0]);
    gateway.on_attempt_end(at(20), &mut req, &second, AttemptEnd::HelperFailed);
    let third = attempt(gateway.next(at(20), &mut req));
    assert_eq!(
        third.primary.id, second.primary.id,
        "a third server got the request"
    );
    for helper in [first.helpers[0], second.helpers[0]] {
        assert!(
            !third.helpers.contains(&helper),
            "a helper at fault was chosen again"
        );
    }
}

/// Report the server of an attempt as gone, and list it again with another incarnation.
fn restart(gateway: &mut Gateway, now: Timestamp, crashed: &Attempt, incarnation: u64) {
    gateway.on_server_gone(now, crashed.plan.primary, Absence::Unreachable);
    let mut entry = crashed.primary.clone();
    entry.incarnation = Incarnation::new(incarnation);
    let revision = 100 + incarnation;
    gateway.on_entry(now, entry.id.clone(), revision, Some(entry));
}

/// Guards against a request that crashes one server after another.
#[test]
fn request_that_crashed_three_servers_is_quarantined() {
    let mut gateway = gateway(6);
    for number in 0..3 {
        crash(&mut gateway, at(number * 100), number + 2);
    }
    let mut req = begin(&mut gateway, at(400), "/chat/1", 5_000);
    assert_eq!(status(gateway.next(at(400), &mut req)), 502);
}

/// Guards against taking a prompt part for harmless because its engine, in a pass that takes longer
/// than usual, crashes long after the first event.
#[test]
fn crash_in_a_long_pass_counts_against_the_part() {
    let mut gateway = gateway(6);
    let part = PromptPartId::new(0xbad);
    for number in 0..3 {
        let now = at(number * 2_000);
        let mut req = begin(&mut gateway, now, "/chat/1", 5_000);
        req.spec.signature = Signature(number);
        req.spec.shared_parts = vec![part];
        let crashed = attempt(gateway.next(now, &mut req));
        gateway.on_sent(&mut req, &crashed);
        gateway.on_events(now + Millis::new(100), &mut req, &crashed);
        gateway.on_events(now + Millis::new(900), &mut req, &crashed);
        let end = now + Millis::new(1_200);
        gateway.on_attempt_end(end, &mut req, &crashed, AttemptEnd::Broken);
        restart(&mut gateway, end, &crashed, number + 2);
    }
    gateway.on_tick(at(6_500), &mut Vec::new());
    let mut req = begin(&mut gateway, at(6_500), "/chat/1", 5_000);
    req.spec.signature = Signature(9);
    req.spec.shared_parts = vec![part];
    assert_eq!(status(gateway.next(at(6_500), &mut req)), 502);
}

/// Guards against missing a crash because a new server has the address before the instance checks
/// it. The list of servers shows the change only seconds later.
#[test]
fn answer_of_another_server_confirms_a_crash() {
    let mut gateway = gateway(6);
    for number in 0..3 {
        let now = at(number * 100);
        let mut req = begin(&mut gateway, now, "/chat/1", 5_000);
        let crashed = attempt(gateway.next(now, &mut req));
        gateway.on_sent(&mut req, &crashed);
        gateway.on_attempt_end(now, &mut req, &crashed, AttemptEnd::Broken);
        let mut other = begin(&mut gateway, now, "/chat/2", 5_000);
        other.spec.signature = Signature(2);
        let mut misdirected = attempt(gateway.next(now, &mut other));
        misdirected.plan.primary = crashed.plan.primary;
        gateway.on_attempt_end(now, &mut other, &misdirected, AttemptEnd::WrongServer);
        // The next request gets another server.
        let mut entry = crashed.primary;
        entry.state = AnnouncedState::Draining;
        gateway.on_entry(now, entry.id.clone(), 50 + number, Some(entry));
    }
    let mut req = begin(&mut gateway, at(400), "/chat/1", 5_000);
    assert_eq!(status(gateway.next(at(400), &mut req)), 502);
}

/// Guards against quarantining a harmless request for ten minutes because its answers from three
/// servers were lost.
#[test]
fn broken_connection_alone_is_no_crash_evidence() {
    let mut gateway = gateway(6);
    for number in 0..9 {
        let now = at(number * 100);
        let mut req = begin(&mut gateway, now, "/chat/1", 5_000);
        let tried = attempt(gateway.next(now, &mut req));
        gateway.on_sent(&mut req, &tried);
        gateway.on_attempt_end(now, &mut req, &tried, AttemptEnd::Broken);
    }
    let mut req = begin(&mut gateway, at(2_000), "/chat/1", 5_000);
    attempt(gateway.next(at(2_000), &mut req));
}

/// Guards against an instance that still refuses a request that has completed at another instance.
#[test]
fn completed_request_is_cleared_at_peers() {
    let mut one = gateway_named("edge-1", 6);
    let mut two = gateway_named("edge-2", 6);
    for number in 0..2 {
        crash(&mut one, at(1_000 + number * 100), number + 2);
    }
    deliver_bulletin(&mut one, &mut two, at(1_400));
    deliver_bulletin(&mut one, &mut two, at(1_900));
    let mut req = begin(&mut one, at(2_000), "/chat/1", 5_000);
    let tried = attempt(one.next(at(2_000), &mut req));
    one.on_sent(&mut req, &tried);
    one.on_attempt_end(at(2_500), &mut req, &tried, AttemptEnd::Completed);
    deliver_bulletin(&mut one, &mut two, at(3_000));
    crash(&mut two, at(3_100), 9);
    let mut req = begin(&mut two, at(3_200), "/chat/1", 5_000);
    attempt(two.next(at(3_200), &mut req));
}

/// Send a request that crashes its server. The server restarts as `incarnation`.
fn crash(gateway: &mut Gateway, now: Timestamp, incarnation: u64) {
    let mut req = begin(gateway, now, "/chat/1", 5_000);
    let tried = attempt(gateway.next(now, &mut req));
    gateway.on_sent(&mut req, &tried);
    gateway.on_attempt_end(now, &mut req, &tried, AttemptEnd::Broken);
    restart(gateway, now, &tried, incarnation);
}

/// Deliver the bulletin of one instance to another.
fn deliver_bulletin(from: &mut Gateway, to: &mut Gateway, now: Timestamp) {
    let source = "10.0.1.1:7340".parse().unwrap();
    introduce(from, to.identity().id.as_str());
    let mut out = Vec::new();
    from.on_tick(now, &mut out);
    for (_, packet) in out {
        to.on_packet(now, source, &packet, &mut Vec::new());
    }
}

/// Guards against crash evidence that doesn't reach other instances.
#[test]
fn crash_evidence_reaches_peers() {
    let mut one = gateway_named("edge-1", 6);
    let mut two = gateway_named("edge-2", 6);
    for number in 0..3 {
        crash(&mut one, at(1_000 + number * 100), number + 2);
    }
    deliver_bulletin(&mut one, &mut two, at(1_400));
    deliver_bulletin(&mut one, &mut two, at(1_900));
    let mut req = begin(&mut two, at(2_000), "/chat/1", 5_000);
    assert_eq!(status(two.next(at(2_000), &mut req)), 502);
}

/// Guards against a retry of a request whose key was revoked after its first attempt.
#[test]
fn retry_follows_the_newest_configuration() {
    let mut gateway = gateway(4);
    let mut req = begin(&mut gateway, at(0), "/look/1", 0);
    let first = attempt(gateway.next(at(0), &mut req));
    gateway.on_configuration(configuration(2, &["other"]));
    assert!(
        !gateway.may_send(at(5), &req, &first),
        "sent under an older version"
    );
    gateway.on_attempt_end(at(5), &mut req, &first, AttemptEnd::StaleConnection);
    let next = gateway.next(at(5), &mut req);
    assert!(
        matches!(next, Next::Rejected(Rejection::UnknownKey)),
        "{next:?}"
    );
}

/// Guards against replacing a configuration by an older version.
#[test]
fn older_configuration_is_ignored() {
    let mut gateway = gateway(1);
    assert!(gateway.on_configuration(configuration(5, &["new"])));
    assert!(!gateway.on_configuration(configuration(4, &[KEY])));
    let admission = gateway.admit(at(0), HOST, "/look/1", Some(KEY), 0);
    assert_eq!(admission.unwrap_err(), Rejection::UnknownKey);
}

/// Guards against sending to a server that began to drain while the request waited for a
/// connection.
#[test]
fn nothing_is_sent_to_a_draining_server() {
    let mut gateway = gateway(2);
    let mut req = begin(&mut gateway, at(0), "/look/1", 0);
    let first = attempt(gateway.next(at(0), &mut req));
    let mut leaving = server(first.primary.id.as_str(), "plain", 1, 200);
    leaving.addr = first.primary.addr;
    leaving.state = AnnouncedState::Draining;
    gateway.on_entry(at(5), leaving.id.clone(), 50, Some(leaving));
    assert!(!gateway.may_send(at(6), &req, &first));
}

/// Guards against sending after the deadline, for example in a process that was paused.
#[test]
fn nothing_is_sent_after_the_deadline() {
    let mut gateway = gateway(2);
    let mut req = begin(&mut gateway, at(0), "/look/1", 0);
    let first = attempt(gateway.next(at(0), &mut req));
    assert!(!gateway.may_send(at(10_000), &req, &first));
    gateway.on_attempt_end(at(10_000), &mut req, &first, AttemptEnd::StaleConnection);
    assert_eq!(status(gateway.next(at(10_000), &mut req)), 503);
}

/// Guards against retries that amplify an outage. Beyond the initial balance, the budget allows one
/// retry for five requests.
#[test]
fn retries_stay_within_the_budget() {
    let mut gateway = gateway(14);
    let mut retries = 0;
    for number in 0..400 {
        let mut req = begin(&mut gateway, at(number), "/look/1", 0);
        req.spec.signature = Signature(number);
        let first = attempt(gateway.next(at(number), &mut req));
        gateway.on_sent(&mut req, &first);
        gateway.on_attempt_end(at(number), &mut req, &first, AttemptEnd::Refused);
        if let Next::Send(again) = gateway.next(at(number), &mut req) {
            retries += 1;
            gateway.on_attempt_end(at(number), &mut req, &again, AttemptEnd::Refused);
        }
    }
    // An instance without peers has less than an eighth of the published slack. The bound allows a
    // seventh of it plus a fifth of the requests.
    assert!(retries <= 102 / 7 + 400 / 5, "{retries} retries");
    assert!(retries >= 40, "the retry budget is hardly used: {retries}");
}

/// Guards against breaking off a stream at a draining instance because a new configuration came into
/// force and its server was given up.
#[test]
fn draining_instance_goes_on_with_a_running_stream() {
    let mut gateway = gateway(4);
    let mut req = begin(&mut gateway, at(0), "/chat/1", 5_000);
    let first = attempt(gateway.next(at(0), &mut req));
    gateway.on_sent(&mut req, &first);
    gateway.begin_drain(at(100), at(7_700), &mut Vec::new());
    gateway.on_configuration(configuration(2, &[KEY]));
    gateway.on_attempt_end(at(3_500), &mut req, &first, AttemptEnd::Broken);
    let second = attempt(gateway.next(at(3_500), &mut req));
    assert!(gateway.may_send(at(3_500), &req, &second));
}

/// Return a stream whose server has sent events and is silent, and its attempt.
fn silent_stream(gateway: &mut Gateway) -> (Request, Attempt) {
    let mut req = begin(gateway, at(0), "/chat/1", 5_000);
    let first = attempt(gateway.next(at(0), &mut req));
    gateway.on_sent(&mut req, &first);
    gateway.on_events(at(100), &mut req, &first);
    req.delivering = true;
    assert!(gateway.on_silent(at(1_100), &mut req, &first));
    (req, first)
}

/// Guards against giving up an answer that has begun for a server that then refuses, can't be
/// reached or is silent too.
#[test_case(AttemptEnd::Refused, true)]
#[test_case(AttemptEnd::NotSent, false)]
#[test_case(AttemptEnd::HelperFailed, true)]
#[test_case(AttemptEnd::Failed, true)]
#[test_case(AttemptEnd::Broken, true)]
#[test_case(AttemptEnd::Silent, true)]
fn silent_answer_outlives_a_failed_hedge(end: AttemptEnd, is_sent: bool) {
    let mut gateway = gateway(4);
    let (mut req, first) = silent_stream(&mut gateway);
    let hedge = gateway.hedge(at(1_100), &mut req).unwrap();
    assert_ne!(hedge.primary.id, first.primary.id);
    if is_sent {
        gateway.on_sent(&mut req, &hedge);
    }
    gateway.on_attempt_end(at(1_150), &mut req, &hedge, end);
    assert!(
        req.attempts.on_answer(first.id),
        "the first server was given up"
    );
}

/// Guards against giving up an answer that has begun because no other server may get the request.
#[test_case("no other server")]
#[test_case("revoked key")]
#[test_case("draining instance")]
fn silent_answer_goes_on_without_a_hedge(reason: &str) {
    let mut gateway = gateway(if reason == "no other server" { 1 } else { 4 });
    let (mut req, first) = silent_stream(&mut gateway);
    match reason {
        "revoked key" => assert!(gateway.on_configuration(configuration(2, &["other"]))),
        "draining instance" => gateway.begin_drain(at(200), at(7_800), &mut Vec::new()),
        _ => {}
    }
    let hedge = gateway.hedge(at(5_000), &mut req);
    assert_eq!(hedge.is_some(), reason == "draining instance");
    assert!(
        req.attempts.on_answer(first.id),
        "the first server was given up"
    );
}

/// Guards against two answers in one, and against evidence of a crash from an attempt that was dropped.
#[test]
fn first_attempt_with_an_answer_supersedes_the_other() {
    for hedge_is_first in [true, false] {
        let mut gateway = gateway(4);
        let (mut req, first) = silent_stream(&mut gateway);
        let hedge = gateway.hedge(at(1_100), &mut req).unwrap();
        gateway.on_sent(&mut req, &hedge);
        let (winner, loser) = match hedge_is_first {
            true => (&*hedge, &first),
            false => (&first, &*hedge),
        };
        assert!(req.attempts.on_answer(winner.id));
        assert!(!req.attempts.on_answer(loser.id));
        assert!(req.attempts.is_superseded(loser.id));
        let end = gateway.on_attempt_end(at(1_200), &mut req, loser, AttemptEnd::Broken);
        assert_eq!(end, AttemptEnd::Superseded, "counted as a crash");
        assert!(req.attempts.is_lead(winner.id));
    }
}

/// Guards against a request that ends with the connection of its first server although a second one
/// runs it.
#[test]
fn hedge_goes_on_when_the_silent_server_breaks_off() {
    let mut gateway = gateway(4);
    let (mut req, first) = silent_stream(&mut gateway);
    let hedge = gateway.hedge(at(1_100), &mut req).unwrap();
    gateway.on_sent(&mut req, &hedge);
    gateway.on_attempt_end(at(1_200), &mut req, &first, AttemptEnd::Broken);
    assert!(req.attempts.is_lead(hedge.id));
    assert!(req.attempts.on_answer(hedge.id));
}

/// Guards against a second run of what may run only once.
#[test]
fn non_idempotent_request_gets_no_hedge() {
    let mut gateway = gateway(4);
    let mut req = begin(&mut gateway, at(0), "/order/1", 0);
    let first = attempt(gateway.next(at(0), &mut req));
    gateway.on_sent(&mut req, &first);
    gateway.on_silent(at(1_100), &mut req, &first);
    assert!(gateway.hedge(at(1_100), &mut req).is_none());
}

/// Guards against a second attempt beside a server that has gone on, which uses up the retry budget.
#[test]
fn server_that_goes_on_before_a_hedge_gets_none() {
    let mut gateway = gateway(4);
    let (mut req, first) = silent_stream(&mut gateway);
    assert!(req.attempts.on_answer(first.id));
    gateway.on_events(at(1_200), &mut req, &first);
    assert!(gateway.hedge(at(1_350), &mut req).is_none());
}

/// Guards against a second run of a request that a newer configuration allows to run only once.
#[test]
fn request_that_becomes_non_idempotent_gets_no_hedge() {
    let mut gateway = gateway(4);
    let (mut req, _first) = silent_stream(&mut gateway);
    let current = configuration(2, &[KEY]);
    let chat = route("chat", RouteKind::NonIdempotent, "engines");
    let chat = Route {
        max_attempts: 2,
        ..chat
    };
    let services = current.services.clone();
    let config = Configuration::new(current.version, current.limits, services, [chat], None);
    assert!(gateway.on_configuration(config));
    assert!(gateway.hedge(at(1_100), &mut req).is_none());
}

/// Guards against waiting for a dead server because the only other one could not take a request at
/// first.
#[test_case(AttemptEnd::NotSent, 2; "it could not be reached")]
#[test_case(AttemptEnd::Refused, 3; "it refused the request")]
fn server_that_failed_a_hedge_gets_another_one(end: AttemptEnd, max_attempts: u32) {
    let mut gateway = gateway(2);
    let (mut req, first) = silent_stream(&mut gateway);
    req.admission.route = Rc::new(Route {
        max_attempts,
        ..Route::clone(&req.admission.route)
    });
    let hedge = gateway.hedge(at(1_100), &mut req).unwrap();
    if end == AttemptEnd::Refused {
        gateway.on_sent(&mut req, &hedge);
    }
    gateway.on_attempt_end(at(1_110), &mut req, &hedge, end);
    assert!(gateway.may_hedge(&req));
    let again = gateway.hedge(at(3_000), &mut req).unwrap();
    assert_ne!(again.primary.id, first.primary.id);
}

/// Guards against a request that ends because a server closed all its idle connections.
#[test]
fn stale_connection_is_followed_by_a_new_one() {
    let mut gateway = gateway(2);
    let mut req = begin(&mut gateway, at(0), "/look/1", 0);
    let first = attempt(gateway.next(at(0), &mut req));
    assert!(!first.needs_new_connection);
    gateway.on_attempt_end(at(1), &mut req, &first, AttemptEnd::StaleConnection);
    let second = attempt(gateway.next(at(1), &mut req));
    assert!(second.needs_new_connection);
}

/// Guards against breaking off an answer because of connections that failed before it began.
#[test]
fn unsent_attempts_before_an_answer_dont_count_against_its_resumption() {
    let mut gateway = gateway(4);
    let mut req = begin(&mut gateway, at(0), "/chat/1", 5_000);
    for number in 0..4 {
        let unsent = attempt(gateway.next(at(number), &mut req));
        gateway.on_attempt_end(at(number), &mut req, &unsent, AttemptEnd::StaleConnection);
    }
    let first = attempt(gateway.next(at(10), &mut req));
    gateway.on_sent(&mut req, &first);
    gateway.on_events(at(100), &mut req, &first);
    gateway.on_attempt_end(at(2_000), &mut req, &first, AttemptEnd::Broken);
    let unsent = attempt(gateway.next(at(2_000), &mut req));
    gateway.on_attempt_end(at(2_001), &mut req, &unsent, AttemptEnd::NotSent);
    attempt(gateway.next(at(2_001), &mut req));
}

/// Guards against cutting a stream because paused helpers of other requests didn't answer their
/// orders in time: such an attempt sends nothing, but its retry stays withdrawn from the budget.
#[test]
fn retry_that_a_silent_helper_held_up_costs_nothing() {
    let mut gateway = gateway(14);
    for number in 0..60 {
        let mut req = begin(&mut gateway, at(number), "/chat/1", 5_000);
        req.spec.signature = Signature(number);
        let first = attempt(gateway.next(at(number), &mut req));
        gateway.on_sent(&mut req, &first);
        gateway.on_attempt_end(at(number), &mut req, &first, AttemptEnd::Failed);
        let again = attempt(gateway.next(at(number), &mut req));
        gateway.on_attempt_end(at(number), &mut req, &again, AttemptEnd::HelperFailed);
    }
}

/// Guards against a draining instance that admits requests which the end of its process then breaks
/// off (seen at site `mispill`, run `mix`, seed 399523074786).
#[test]
fn draining_instance_refuses_what_it_cannot_finish() {
    let mut gateway = gateway(2);
    let mut readiness = Readiness::new(at(0));
    for reason in [Reason::CallerAddressClosed, Reason::ReadinessAddressClosed] {
        readiness.set(at(0), reason, false);
    }
    gateway.update_readiness(at(0), &mut readiness);
    assert!(readiness.is_ready());
    gateway.begin_drain(at(0), at(7_600), &mut Vec::new());
    gateway.update_readiness(at(0), &mut readiness);
    assert!(!readiness.is_ready());
    let admit = |now| gateway.admit(now, HOST, "/chat/1", Some(KEY), 0);
    assert!(admit(at(2_000)).is_ok(), "the balancer still sends callers");
    assert_eq!(admit(at(3_000)).unwrap_err(), Rejection::Stopping);
}

/// Guards against requests that are admitted late in a planned stop and cut off without an answer,
/// because the answer about their timeout would come after the end of the process.
#[test]
fn draining_instance_ends_no_request_without_an_answer() {
    let mut gateway = gateway(2);
    gateway.begin_drain(at(0), at(20_000), &mut Vec::new());
    let admit = |now| gateway.admit(now, HOST, "/order/1", Some(KEY), 0);
    assert!(admit(at(9_800)).is_ok());
    assert_eq!(admit(at(9_950)).unwrap_err(), Rejection::Stopping);
}

/// Place long prompts on all engines until one has to wait, and return it.
fn prompt_that_waits(gateway: &mut Gateway, now: u64) -> Request {
    loop {
        let mut req = begin(gateway, at(now), "/review/1", 133_000);
        if let Next::Wait(_) = gateway.next(at(now), &mut req) {
            return req;
        }
    }
}

/// Guards against a prompt that waits for engines at an instance which is about to stop, while others
/// can serve it.
#[test]
fn draining_instance_hands_back_prompts_that_wait() {
    let mut gateway = gateway(8);
    gateway.begin_drain(at(110), at(7_800), &mut Vec::new());
    let mut req = prompt_that_waits(&mut gateway, 2_600);
    let next = gateway.next(at(2_620), &mut req);
    assert!(matches!(next, Next::Wait(_)), "{next:?}");
    prompt_that_waits(&mut gateway, 2_900);
    let next = gateway.next(at(2_920), &mut req);
    assert!(
        matches!(next, Next::Rejected(Rejection::Stopping)),
        "{next:?}"
    );
}

/// Guards against waiting until the deadline if no server is left.
#[test]
fn request_without_any_server_is_refused_at_once() {
    let mut gateway = gateway(1);
    gateway.on_list(at(100), 20, Vec::new());
    let mut req = begin(&mut gateway, at(3_000), "/chat/1", 5_000);
    let next = gateway.next(at(3_000), &mut req);
    let Next::End {
        status,
        retry_after,
        ..
    } = next
    else {
        panic!("not ended: {next:?}");
    };
    assert_eq!(status, 503);
    let wait = retry_after.unwrap();
    assert!(
        wait <= Millis::new(10_000 / 3),
        "callers don't honour {wait}"
    );
}

/// Guards against attempts that reach no server but use up the retry budget. Streams were given up
/// in the second in which several engines went down (site `mispill`, run `scale-1`, seed 11).
#[test]
fn attempt_that_reached_no_server_costs_no_retry() {
    let mut gateway = gateway(14);
    for number in 0..60 {
        let mut req = begin(&mut gateway, at(number), "/look/1", 0);
        req.spec.signature = Signature(number);
        let first = attempt(gateway.next(at(number), &mut req));
        gateway.on_sent(&mut req, &first);
        gateway.on_attempt_end(at(number), &mut req, &first, AttemptEnd::Failed);
        let again = attempt(gateway.next(at(number), &mut req));
        gateway.on_attempt_end(at(number), &mut req, &again, AttemptEnd::NotSent);
    }
}

/// Guards against a prompt that waits for its engines until its deadline although they have become
/// too slow to serve it, and against a caller that is told to come back while they still are.
/// Three tenths of the engines became four times slower for eight seconds.
#[test]
fn waiting_prompt_is_refused_when_its_engines_turn_slow() {
    let mut gateway = gateway(2);
    let mut first = begin(&mut gateway, at(0), "/review/1", 85_000);
    attempt(gateway.next(at(0), &mut first));
    let mut waiting = begin(&mut gateway, at(10), "/review/2", 85_000);
    let next = gateway.next(at(10), &mut waiting);
    assert!(matches!(next, Next::Wait(_)), "{next:?}");
    let keys: Vec<BackendKey> = gateway.registry().iter().map(|(key, _)| key).collect();
    for key in keys {
        gateway.on_pass(at(20), key, 4.0 * 44.0);
    }
    let next = gateway.next(at(50), &mut waiting);
    let Next::End {
        status,
        retry_after,
        ..
    } = next
    else {
        panic!("not ended: {next:?}");
    };
    assert_eq!(status, 503);
    assert!(retry_after.unwrap() >= Millis::new(1_000), "too early");
}

/// Guards against a server that refuses every request, because another one has its address, and
/// looks idle for that reason.
#[test]
fn server_whose_address_another_one_has_is_passed_over() {
    let mut gateway = gateway(3);
    let mut req = begin(&mut gateway, at(0), "/chat/1", 5_000);
    let first = attempt(gateway.next(at(0), &mut req));
    gateway.on_sent(&mut req, &first);
    gateway.on_attempt_end(at(5), &mut req, &first, AttemptEnd::WrongServer);
    for number in 0..20 {
        let now = at(10 + number);
        let mut req = begin(&mut gateway, now, "/chat/1", 5_000);
        let next = attempt(gateway.next(now, &mut req));
        assert_ne!(next.primary.id, first.primary.id);
    }
}

/// Guards against refusing the largest prompts, because other instances took the free memory in the
/// same moment.
#[test]
fn refused_memory_is_no_failure() {
    let mut gateway = gateway(14);
    let mut req = begin(&mut gateway, at(0), "/review/1", 400_000);
    let mut refusing = Vec::new();
    for number in 0..5 {
        let now = at(5 * number);
        let next = attempt(gateway.next(now, &mut req));
        let mut helpers = next.plan.helpers.iter().zip(&next.helpers);
        let (_, addr) = helpers.find(|(h, _)| h.reserve.is_some()).unwrap();
        assert!(
            !refusing.contains(addr),
            "an engine without memory is asked again"
        );
        refusing.push(*addr);
        gateway.on_memory_refused(now, *addr);
        gateway.on_attempt_end(now, &mut req, &next, AttemptEnd::NoMemory);
    }
}
