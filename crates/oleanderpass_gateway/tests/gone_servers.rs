//! Test what instances tell each other of backend servers that are gone.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use std::collections::VecDeque;

use oleanderpass_gateway::absence::Absence;
use oleanderpass_gateway::backend::Announcement;
use oleanderpass_gateway::gateway::AttemptEnd;
use oleanderpass_gateway::gateway::Gateway;
use oleanderpass_types::clock::Timestamp;
use test_case::test_case;

use crate::common::at;
use crate::common::attempt;
use crate::common::begin;
use crate::common::fleet::addr_of;
use crate::common::fleet::hello;
use crate::common::fleet::name_of;
use crate::common::gateway_named;
use crate::common::server;

const INSTANCES: usize = 8;
const SERVERS: u8 = 6;

/// Instances that know each other and exchange bulletins without delay.
struct Fleet {
    gateways: Vec<Gateway>,
}

impl Fleet {
    fn new() -> Self {
        let mut gateways: Vec<Gateway> = (0..INSTANCES)
            .map(|number| gateway_named(&name_of(number), SERVERS))
            .collect();
        for (number, gateway) in gateways.iter_mut().enumerate() {
            for peer in (0..INSTANCES).filter(|peer| *peer != number) {
                gateway.on_packet(at(0), addr_of(peer), &hello(peer, 1), &mut Vec::new());
            }
        }
        Self { gateways }
    }

    /// Let the instances that live do their periodic work, and deliver their datagrams.
    fn tick(&mut self, now: Timestamp, live: impl IntoIterator<Item = usize>) {
        let live: Vec<usize> = live.into_iter().collect();
        let mut sent = VecDeque::new();
        for sender in live.iter().copied() {
            let mut out = Vec::new();
            self.gateways[sender].on_tick(now, &mut out);
            sent.extend(out.into_iter().map(|(to, packet)| (sender, to, packet)));
        }
        while let Some((sender, to, packet)) = sent.pop_front() {
            let Some(receiver) = live.iter().find(|number| addr_of(**number) == to) else {
                continue;
            };
            let mut out = Vec::new();
            self.gateways[*receiver].on_packet(now, addr_of(sender), &packet, &mut out);
            sent.extend(out.into_iter().map(|(to, packet)| (*receiver, to, packet)));
        }
    }

    /// Let an instance serve a long prompt, and return whether the server `gone` failed it. As the
    /// primary server it ends the request with `end`.
    fn serve(
        &mut self,
        now: Timestamp,
        instance: usize,
        gone: &Announcement,
        end: AttemptEnd,
    ) -> bool {
        let gateway = &mut self.gateways[instance];
        let mut req = begin(gateway, now, "/review/1", 100_000);
        let first = attempt(gateway.next(now, &mut req));
        gateway.on_sent(&mut req, &first);
        let key = gone.key();
        let end = if first.plan.primary == key {
            end
        } else if end == AttemptEnd::NotSent && first.helpers.contains(&gone.addr) {
            gateway.on_helper_fault(now, gone.addr);
            AttemptEnd::HelperFailed
        } else {
            AttemptEnd::Completed
        };
        gateway.on_attempt_end(now, &mut req, &first, end);
        if matches!(end, AttemptEnd::NotSent | AttemptEnd::HelperFailed) {
            gateway.on_server_gone(now, key, Absence::Unreachable);
        }
        end != AttemptEnd::Completed
    }
}

fn first_server() -> Announcement {
    server("e0", "engines", 1, 0)
}

/// Guards against requests that all instances send to a server which one of them found gone, again
/// and again until the list drops it.
#[test_case(AttemptEnd::WrongServer)]
#[test_case(AttemptEnd::NotSent)]
fn server_that_is_gone_fails_few_requests(end: AttemptEnd) {
    let mut fleet = Fleet::new();
    let gone = first_server();
    let mut failures = 0;
    for step in 1..=200 {
        let now = at(step * 25);
        failures += usize::from(fleet.serve(now, step as usize % INSTANCES, &gone, end));
        if step % 4 == 0 {
            fleet.tick(now, 0..INSTANCES);
        }
    }
    // Those that are served before the first bulletin may fail.
    assert!(failures <= 4, "{failures} requests failed");
}

/// Guards against a server that stays out of use after it is back, because each of the instances
/// that found it gone goes on to report it.
#[test]
fn server_that_is_back_is_used_again() {
    let mut fleet = Fleet::new();
    let gone = first_server().key();
    for gateway in &mut fleet.gateways {
        gateway.on_server_gone(at(100), gone, Absence::Unreachable);
    }
    for step in 2..=20 {
        fleet.tick(at(step * 100), 0..INSTANCES);
    }
    let now = at(2_000);
    let probes = |gateway: &mut Gateway| gateway.take_due_probes(now);
    let probing: Vec<usize> = (0..INSTANCES)
        .filter(|number| !probes(&mut fleet.gateways[*number]).is_empty())
        .collect();
    assert_eq!(probing.len(), 1, "one instance tests the server");
    fleet.gateways[probing[0]].on_opened(now, gone);
    for step in 20..=26 {
        fleet.tick(at(step * 100), 0..INSTANCES);
    }
    let gone_at = |g: &Gateway| g.is_gone(at(2_600), gone);
    let still: Vec<usize> = (0..INSTANCES)
        .filter(|number| gone_at(&fleet.gateways[*number]))
        .collect();
    assert_eq!(still, [0_usize; 0], "these instances don't use the server");
}

/// Guards against a server that stays out of use because the instance that reported it has died.
#[test]
fn report_of_a_dead_instance_expires() {
    let mut fleet = Fleet::new();
    let gone = first_server().key();
    fleet.gateways[0].on_server_gone(at(100), gone, Absence::Unreachable);
    fleet.tick(at(200), 0..INSTANCES);
    assert!(fleet.gateways[1..].iter().all(|g| g.is_gone(at(300), gone)));
    for step in 3..=25 {
        fleet.tick(at(step * 100), 1..INSTANCES);
    }
    assert!(
        fleet.gateways[1..]
            .iter()
            .all(|g| !g.is_gone(at(2_500), gone))
    );
}

/// Guards against an instance without links to servers that takes them out of use at all others.
#[test]
fn instance_without_links_reports_no_server() {
    let mut fleet = Fleet::new();
    for number in 0..SERVERS {
        let key = server(&format!("e{number}"), "engines", 1, number).key();
        fleet.gateways[0].on_open_failed(at(100), key, "timeout");
        fleet.gateways[0].on_server_gone(at(100), key, Absence::Unreachable);
    }
    fleet.tick(at(200), 0..INSTANCES);
    assert!(!fleet.gateways[1].is_gone(at(300), first_server().key()));
}

/// Guards against requests that other instances give up at a server which lives, because an
/// instance whose own links were lost found it gone and says so once they are back.
#[test]
fn finding_of_an_instance_without_links_is_dropped_when_they_are_back() {
    let mut fleet = Fleet::new();
    let keys: Vec<_> = (0..3)
        .map(|number| server(&format!("e{number}"), "engines", 1, number).key())
        .collect();
    let isolated = &mut fleet.gateways[0];
    for key in &keys[..2] {
        isolated.on_open_failed(at(1_000), *key, "timeout");
    }
    for key in &keys[..2] {
        isolated.on_server_gone(at(1_400), *key, Absence::Unreachable);
    }
    isolated.on_opened(at(1_500), keys[2]);
    for step in 0..5 {
        fleet.tick(at(1_600 + step * 100), 0..INSTANCES);
    }
    for gateway in &fleet.gateways[1..] {
        assert!(!gateway.is_gone(at(2_050), keys[0]));
    }
}
