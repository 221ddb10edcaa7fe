//! Guard against a call with a ticket that runs twice, and an outcome that is lost between
//! instances.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed unwrap fails the test"
)]

mod support;

use std::thread;
use std::time::Duration;

use oleanderpass_proto::platform::EntryInstance;
use oleanderpass_proto::settings::Limits;
use oleanderpass_stand_in::platform::Platform;
use support::Entry;
use support::ScriptedServer;
use support::instance_list;
use support::spawn_entry;
use support::spawn_instance;
use support::spawn_platform;

const CHARGE: &str = "POST /svc/charge/v1/charges";

fn issue_ticket(entry: &Entry) -> String {
    let (status, _, body) = entry.call("POST /v1/tickets", &[], b"{\"route\": \"charge\"}");
    assert_eq!(status, 201, "{body}");
    let answer: serde_json::Value = serde_json::from_str(&body).unwrap();
    format!(
        "oleanderpass-ticket: {}",
        answer["ticket"].as_str().unwrap()
    )
}

fn use_ticket(entry: &Entry, ticket: &str) -> (u16, String, String) {
    entry.call(CHARGE, &[ticket], b"{}")
}

/// Answer the next call to a scripted service.
fn answer_next_call(server: &ScriptedServer) {
    let mut req = server.next();
    req.answer("201 Created", "content-type: text/plain\r\n", "charge 17");
}

/// Guards against a second use of a ticket that runs the call again instead of returning the
/// recorded answer.
#[test]
fn second_use_returns_the_recorded_answer() {
    let server = ScriptedServer::spawn();
    let entry = spawn_entry(server.addr, server.addr, Limits::default());
    let ticket = issue_ticket(&entry);
    thread::scope(|scope| {
        let first = scope.spawn(|| use_ticket(&entry, &ticket));
        answer_next_call(&server);
        let (status, _, body) = first.join().unwrap();
        assert_eq!((status, body.as_str()), (201, "charge 17"));
    });
    let (status, head, body) = use_ticket(&entry, &ticket);
    assert_eq!((status, body.as_str()), (201, "charge 17"));
    assert!(head.contains("oleanderpass-outcome: completed"), "{head}");
    assert!(!server.has_more(), "the call ran twice");
}

/// Guards against a call that is cancelled when its caller disconnects: the outcome must be kept
/// for the next use of the ticket.
#[test]
fn call_continues_when_the_caller_disconnects() {
    let server = ScriptedServer::spawn();
    let entry = spawn_entry(server.addr, server.addr, Limits::default());
    let ticket = issue_ticket(&entry);
    let mut tcp = support::connect(entry.addrs.caller);
    let authorization = format!("authorization: Bearer {}", support::API_KEY);
    let head = support::head(CHARGE, &[&authorization, &ticket], 2);
    std::io::Write::write_all(&mut tcp, format!("{head}{{}}").as_bytes()).unwrap();
    let mut req = server.next();
    drop(tcp);
    thread::scope(|scope| {
        let second = scope.spawn(|| use_ticket(&entry, &ticket));
        req.answer("201 Created", "content-type: text/plain\r\n", "charge 17");
        let (status, _, body) = second.join().unwrap();
        assert_eq!((status, body.as_str()), (201, "charge 17"));
    });
    assert!(!server.has_more(), "the call ran twice");
}

/// Publish an instance list with the given entry instances.
fn publish_instances(platform: &Platform, server: &ScriptedServer, instances: &[(&str, &Entry)]) {
    let mut list = instance_list(server.addr, server.addr);
    for (id, entry) in instances {
        list.entry_instances.push(EntryInstance {
            id: (*id).to_owned(),
            zone: "hafnir".to_owned(),
            peer_addr: entry.addrs.peer.to_string(),
            state: "live".to_owned(),
        });
    }
    platform.set_instances(list);
}

/// Use a ticket until the instance can reach the ticket's owner. The call doesn't run before that.
fn use_ticket_until_owner_is_reached(entry: &Entry, ticket: &str) -> (u16, String, String) {
    for _ in 0..500 {
        let answer = use_ticket(entry, ticket);
        if !answer.2.contains("can't be reached") {
            return answer;
        }
        thread::sleep(Duration::from_millis(20));
    }
    panic!("the instance never reached the ticket's owner");
}

/// Guards against an instance that runs the call of another instance's ticket itself, and against
/// an outcome that changes while its answer is relayed.
#[test]
fn ticket_is_forwarded_to_its_owner() {
    let server = ScriptedServer::spawn();
    let platform = spawn_platform(server.addr, server.addr);
    let owner = spawn_instance("hafnir-1", platform.addr(), Limits::default());
    let other = spawn_instance("hafnir-2", platform.addr(), Limits::default());
    publish_instances(
        &platform,
        &server,
        &[("hafnir-1", &owner), ("hafnir-2", &other)],
    );
    let ticket = issue_ticket(&owner);
    thread::scope(|scope| {
        let first = scope.spawn(|| use_ticket_until_owner_is_reached(&other, &ticket));
        answer_next_call(&server);
        let (status, head, body) = first.join().unwrap();
        assert_eq!((status, body.as_str()), (201, "charge 17"));
        assert!(head.contains("oleanderpass-outcome: completed"), "{head}");
    });
    for entry in [&owner, &other] {
        let (status, _, body) = use_ticket(entry, &ticket);
        assert_eq!((status, body.as_str()), (201, "charge 17"));
    }
    assert!(!server.has_more(), "the call ran twice");
}
