//! Guard against requests that exhaust the instance by their heads, their bodies or their number,
//! and against invalid requests that are accepted.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed unwrap fails the test"
)]

mod support;

use std::io::Write;

use oleanderpass_proto::settings::Limits;
use support::API_KEY;
use support::Entry;
use support::ScriptedServer;
use support::connect;
use support::exchange;
use support::head;
use support::read_answer;
use support::spawn_entry;
use test_case::test_case;

const CHAT: &str = "POST /v1/chat/completions";

fn start(limits: Limits) -> (Entry, ScriptedServer) {
    let server = ScriptedServer::spawn();
    let entry = spawn_entry(server.addr, server.addr, limits);
    (entry, server)
}

/// Guards against callers that hold connections open with an unfinished head.
#[test]
fn connection_with_unfinished_head_is_closed() {
    let (entry, _server) = start(Limits {
        head_timeout_ms: 100,
        ..Limits::default()
    });
    let mut tcp = connect(entry.addrs.caller);
    tcp.write_all(b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n")
        .unwrap();
    let (status, _, _) = read_answer(tcp);
    assert!(status == 0 || status == 408, "status {status}");
}

/// Guards against request heads that use unbounded memory.
#[test]
fn oversized_head_is_refused() {
    let (entry, _server) = start(Limits::default());
    let padding = format!("x-padding: {}", "a".repeat(20 << 10));
    let (status, _, _) = entry.call("GET /v1/models", &[&padding], b"");
    assert_eq!(status, 431);
}

/// Guards against request bodies that use unbounded memory.
#[test]
fn oversized_body_is_refused() {
    let (entry, server) = start(Limits {
        body_bytes: 10_000,
        ..Limits::default()
    });
    // The body is larger than the socket buffers, so the instance refuses it before all of it is
    // sent. The answer must still reach the caller when the connection ends.
    let (status, head, body) = entry.call(CHAT, &[], &vec![b' '; 10 << 20]);
    assert_eq!(status, 413);
    assert!(head.contains("oleanderpass-outcome: not run"), "{head}");
    assert!(body.contains("larger than 10000 bytes"), "{body}");
    assert!(!server.has_more());
}

/// Guards against a chunked body, whose length isn't announced, that grows past the limit.
#[test]
fn oversized_chunked_body_is_refused() {
    let (entry, _server) = start(Limits {
        body_bytes: 10_000,
        ..Limits::default()
    });
    let mut tcp = connect(entry.addrs.caller);
    let head = format!(
        "{CHAT} HTTP/1.1\r\nhost: test\r\nauthorization: Bearer {API_KEY}\r\n\
         transfer-encoding: chunked\r\n\r\n"
    );
    let chunk = format!("1000\r\n{}\r\n", " ".repeat(4_096));
    tcp.write_all(head.as_bytes()).unwrap();
    tcp.write_all(chunk.repeat(3).as_bytes()).unwrap();
    tcp.write_all(b"0\r\n\r\n").unwrap();
    let (status, _, body) = read_answer(tcp);
    assert_eq!(status, 413, "{body}");
}

/// Guards against callers that hold a part of the byte budget with a body that they never finish.
#[test]
fn stalled_body_is_refused() {
    let (entry, server) = start(Limits::default());
    let mut tcp = connect(entry.addrs.caller);
    let authorization = format!("authorization: Bearer {API_KEY}");
    tcp.write_all(head(CHAT, &[&authorization], 1_000).as_bytes())
        .unwrap();
    let (status, _, body) = read_answer(tcp);
    assert_eq!(status, 408, "{body}");
    assert!(!server.has_more());
}

/// Guards against the outcome "not run" for a refused resend of a call with a ticket: an earlier
/// use of the ticket may have run on another instance.
#[test]
fn refused_use_of_a_ticket_has_an_unknown_outcome() {
    let (entry, _server) = start(Limits {
        body_bytes: 10,
        ..Limits::default()
    });
    let ticket = "oleanderpass-ticket: t";
    let (status, head, _) = entry.call("POST /svc/charge/", &[ticket], &[b' '; 20]);
    assert_eq!(status, 413);
    assert!(head.contains("oleanderpass-outcome: unknown"), "{head}");
}

/// Guards against a refusal that waits for a body which the caller only sends after `100 Continue`.
#[test]
fn announced_body_is_refused_before_it_is_sent() {
    let (entry, _server) = start(Limits::default());
    let mut tcp = connect(entry.addrs.caller);
    let authorization = format!("authorization: Bearer {API_KEY}");
    let headers = ["expect: 100-continue", &authorization];
    tcp.write_all(head(CHAT, &headers, 9 << 20).as_bytes())
        .unwrap();
    let (status, _, body) = read_answer(tcp);
    assert_eq!(status, 413, "{body}");
}

/// Guards against bodies that are each within their limit but exceed the byte budget together.
#[test]
fn byte_budget_is_shared() {
    let (entry, _server) = start(Limits {
        body_bytes: 64 << 10,
        body_budget_bytes: 64 << 10,
        ..Limits::default()
    });
    let mut first = connect(entry.addrs.caller);
    let authorization = format!("authorization: Bearer {API_KEY}");
    // The first body is announced but not sent. The instance allocates the whole budget to it
    // before it starts to read the body, which is when it answers with 100.
    let expect = ["expect: 100-continue", &authorization];
    first
        .write_all(head(CHAT, &expect, 64 << 10).as_bytes())
        .unwrap();
    let mut interim = [0; 12];
    std::io::Read::read_exact(&mut first, &mut interim).unwrap();
    assert_eq!(&interim, b"HTTP/1.1 100");
    let (status, _, body) = entry.call(CHAT, &[], &[b' '; 4_096]);
    assert_eq!(status, 503, "{body}");
    drop(first);
}

/// Guards against more connections than the instance can serve.
#[test]
fn connections_are_limited() {
    let (entry, _server) = start(Limits {
        connections: 1,
        ..Limits::default()
    });
    let mut first = connect(entry.addrs.caller);
    let authorization = format!("authorization: Bearer {API_KEY}");
    let request = head("GET /v1/models", &[&authorization], 0);
    first.write_all(request.as_bytes()).unwrap();
    let mut status_line = [0; 12];
    std::io::Read::read_exact(&mut first, &mut status_line).unwrap();
    assert_eq!(&status_line, b"HTTP/1.1 200");
    let (status, _, body) = read_answer(connect(entry.addrs.caller));
    assert_eq!(status, 503);
    assert!(body.contains("too many connections"), "{body}");
}

/// Guards against invalid requests that reach a backend server or get an answer without the cause.
#[test_case(CHAT, "", "{\"model\": ", 400, "invalid JSON"; "broken json")]
#[test_case(CHAT, "", "{\"model\": \"lay\", \"messages\": []}", 400, "messages"; "no messages")]
#[test_case(CHAT, "oleanderpass-timeout-ms: soon", "{}", 400, "oleanderpass-timeout-ms"; "timeout")]
#[test_case(CHAT, "oleanderpass-timeout-ms: 0", "{}", 400, "oleanderpass-timeout-ms"; "zero timeout")]
#[test_case(CHAT, "oleanderpass-priority: urgent", "{}", 400, "oleanderpass-priority"; "priority")]
#[test_case("GET /v1/tickets", "", "", 405, "method"; "method")]
#[test_case("GET /v2", "", "", 404, "unknown path"; "path")]
#[test_case("POST /svc/no%20route/x", "", "", 404, "route id"; "route")]
fn invalid_requests_are_refused(line: &str, header: &str, body: &str, status: u16, cause: &str) {
    let (entry, server) = start(Limits::default());
    let headers: Vec<&str> = [header].into_iter().filter(|h| !h.is_empty()).collect();
    let (received, _, answer) = entry.call(line, &headers, body.as_bytes());
    assert_eq!(received, status, "{answer}");
    let error: serde_json::Value = serde_json::from_str(&answer).unwrap();
    assert_eq!(error["error"]["outcome"], "not run");
    assert_eq!(error["error"]["generation"], 7);
    assert!(error["error"]["cause"].as_str().unwrap().contains(cause));
    assert!(!server.has_more());
}

/// Guards against callers that are served without a valid API key.
#[test_case(None; "missing")]
#[test_case(Some("authorization: Bearer quince"); "unknown")]
fn callers_without_a_valid_key_are_refused(header: Option<&str>) {
    let (entry, _server) = start(Limits::default());
    let headers: Vec<&str> = header.into_iter().collect();
    let (status, _, body) = exchange(entry.addrs.caller, CHAT, &headers, b"{}");
    assert_eq!(status, 401, "{body}");
}

/// Guards against a model list that shows other organisations' models or none.
#[test]
fn models_are_listed() {
    let (entry, _server) = start(Limits::default());
    let (status, head, body) = entry.call("GET /v1/models", &[], b"");
    assert_eq!(status, 200);
    assert!(head.contains("oleanderpass-generation: 7"), "{head}");
    let list: serde_json::Value = serde_json::from_str(&body).unwrap();
    assert_eq!(list["data"][0]["id"], "lay");
    assert_eq!(list["data"].as_array().unwrap().len(), 1);
}
