//! Test what an instance does about what backend servers say of themselves in their answers.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use oleanderpass_gateway::backend::BackendKey;
use oleanderpass_gateway::gateway::AttemptEnd;
use oleanderpass_gateway::gateway::Gateway;
use oleanderpass_gateway::gateway::Next;
use oleanderpass_gateway::registry::Standing;

use crate::common::at;
use crate::common::attempt;
use crate::common::begin;
use crate::common::gateway;
use crate::common::server;

fn standing(gateway: &Gateway, key: BackendKey) -> Option<Standing> {
    gateway.registry().get(key).map(|backend| backend.standing)
}

/// Guards against a send that was planned before the server, or a helper, said that it is leaving.
#[test]
fn attempt_is_not_sent_to_servers_that_are_leaving() {
    for helper_leaves in [false, true] {
        let mut gateway = gateway(3);
        let mut req = begin(&mut gateway, at(0), "/review/1", 400_000);
        let planned = attempt(gateway.next(at(0), &mut req));
        assert!(!planned.plan.helpers.is_empty(), "the test needs a helper");
        assert!(gateway.may_send(at(1), &req, &planned));
        let leaving = match helper_leaves {
            true => planned.plan.helpers[0].key,
            false => planned.plan.primary,
        };
        gateway.on_server_leaving(at(2), leaving);
        assert!(!gateway.may_send(at(3), &req, &planned));
    }
}

/// Guards against new work for a server that is leaving, because the store still lists it as sound,
/// and against passing over a new lifetime at its address.
#[test]
fn leaving_holds_for_one_lifetime() {
    let mut gateway = gateway(1);
    let key = server("e0", "engines", 1, 0).key();
    gateway.on_server_leaving(at(10), key);
    let entry = server("e0", "engines", 1, 0);
    gateway.on_entry(at(20), entry.id.clone(), 21, Some(entry));
    assert_eq!(standing(&gateway, key), Some(Standing::Leaving));
    let mut req = begin(&mut gateway, at(30), "/chat/1", 5_000);
    let next = gateway.next(at(30), &mut req);
    assert!(matches!(next, Next::End { status: 503, .. }), "{next:?}");
    let entry = server("e0", "engines", 2, 0);
    let new_key = entry.key();
    gateway.on_entry(at(40), entry.id.clone(), 22, Some(entry));
    assert_eq!(standing(&gateway, new_key), Some(Standing::Ready));
    let mut req = begin(&mut gateway, at(50), "/chat/1", 5_000);
    assert_eq!(
        attempt(gateway.next(at(50), &mut req)).plan.primary,
        new_key
    );
}

/// Guards against ending work that a server has accepted, and against continuing it there.
#[test]
fn accepted_work_of_a_leaving_server_goes_on() {
    let mut gateway = gateway(2);
    let mut req = begin(&mut gateway, at(0), "/chat/1", 5_000);
    let first = attempt(gateway.next(at(0), &mut req));
    gateway.on_sent(&mut req, &first);
    gateway.on_events(at(50), &mut req, &first);
    req.delivering = true;
    gateway.on_server_leaving(at(60), first.plan.primary);
    gateway.on_events(at(100), &mut req, &first);
    assert!(req.attempts.is_running());
    gateway.on_attempt_end(at(200), &mut req, &first, AttemptEnd::Broken);
    let second = attempt(gateway.next(at(200), &mut req));
    assert_ne!(second.plan.primary, first.plan.primary);
}
