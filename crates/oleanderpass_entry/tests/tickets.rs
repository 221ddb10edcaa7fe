//! Guard against tickets whose call runs twice or whose outcome is lost between instances.

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

fn issue(entry: &Entry) -> String {
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

/// Let a scripted service answer one call.
fn answer_one(server: &ScriptedServer) {
    let mut req = server.next();
    req.answer("201 Created", "content-type: text/plain\r\n", "charge 17");
}

/// Guards against a second use that runs the call again instead of returning its answer.
#[test]
fn second_use_returns_the_recorded_answer() {
    let server = ScriptedServer::spawn();
    let entry = spawn_entry(server.addr, server.addr, Limits::default());
    let ticket = issue(&entry);
    thread::scope(|scope| {
        let first = scope.spawn(|| use_ticket(&entry, &ticket));
        answer_one(&server);
        let (status, _, body) = first.join().unwrap();
        assert_eq!((status, body.as_str()), (201, "charge 17"));
    });
    let (status, head, body) = use_ticket(&entry, &ticket);
    assert_eq!((status, body.as_str()), (201, "charge 17"));
    assert!(head.contains("oleanderpass-outcome: completed"), "{head}");
    assert!(!server.has_more(), "the call ran twice");
}

/// Guards against a call that ends with its caller: the outcome must be kept for the next use.
#[test]
fn call_goes_on_when_the_caller_disconnects() {
    let server = ScriptedServer::spawn();
    let entry = spawn_entry(server.addr, server.addr, Limits::default());
    let ticket = issue(&entry);
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

fn publish(platform: &Platform, server: &ScriptedServer, instances: &[(&str, &Entry)]) {
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

/// Use a ticket until the instance knows the owner. Nothing runs before that.
fn use_when_known(entry: &Entry, ticket: &str) -> (u16, String, String) {
    for _ in 0..500 {
        let answer = use_ticket(entry, ticket);
        if !answer.2.contains("can't be reached") {
            return answer;
        }
        thread::sleep(Duration::from_millis(20));
    }
    panic!("the owner stayed unknown");
}

/// Guards against a ticket that another instance redeems itself, and a changed outcome on the way.
#[test]
fn ticket_is_forwarded_to_its_owner() {
    let server = ScriptedServer::spawn();
    let platform = spawn_platform(server.addr, server.addr);
    let owner = spawn_instance("hafnir-1", platform.addr(), Limits::default());
    let other = spawn_instance("hafnir-2", platform.addr(), Limits::default());
    publish(
        &platform,
        &server,
        &[("hafnir-1", &owner), ("hafnir-2", &other)],
    );
    let ticket = issue(&owner);
    thread::scope(|scope| {
        let first = scope.spawn(|| use_when_known(&other, &ticket));
        answer_one(&server);
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
