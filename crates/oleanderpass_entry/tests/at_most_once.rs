//! Guard against a non-idempotent call that reaches a backend server twice or after its deadline,
//! and against an outcome that contradicts what was sent.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed unwrap fails the test"
)]

mod support;

use std::io::Read;
use std::net::TcpListener;
use std::thread;

use bytes::Bytes;
use http_body_util::Full;
use oleanderpass_entry::backend::connection::Connection;
use oleanderpass_entry::clock::Clock;
use oleanderpass_proto::settings::Limits;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use support::Entry;
use support::ScriptedServer;
use support::closed_port;
use support::spawn_entry;
use test_case::test_case;

/// A call of the route `charge`, which is not idempotent.
const CHARGE_CALL: &str = "POST /svc/charge/v1/charges?month=5";

fn start() -> (Entry, ScriptedServer) {
    let server = ScriptedServer::spawn();
    let entry = spawn_entry(server.addr, server.addr, Limits::default());
    (entry, server)
}

fn outcome(head: &str) -> &str {
    head.lines()
        .find_map(|line| line.strip_prefix("oleanderpass-outcome: "))
        .unwrap_or_default()
}

/// Guards against a second send, by the HTTP library or by the core, when the server closes the
/// connection after it has read a non-idempotent call.
#[test]
fn call_is_sent_once_when_the_server_closes_the_connection() {
    let (entry, server) = start();
    thread::scope(|scope| {
        let caller = scope.spawn(|| entry.call(CHARGE_CALL, &[], b"{\"cents\": 300}"));
        let req = server.next();
        assert_eq!(req.line, "POST /v1/charges?month=5 HTTP/1.1");
        assert_eq!(req.body, b"{\"cents\": 300}");
        drop(req);
        let (status, head, body) = caller.join().unwrap();
        assert_eq!(status, 502, "{body}");
        assert_eq!(outcome(&head), "unknown");
    });
    assert!(!server.has_more(), "the call was sent twice");
}

/// Guards against a non-idempotent call on a reused connection, which the server may be about to
/// close.
#[test]
fn non_idempotent_call_uses_a_new_connection() {
    let (entry, server) = start();
    for line in ["GET /svc/read/v1/charges", CHARGE_CALL] {
        thread::scope(|scope| {
            let caller = scope.spawn(|| entry.call(line, &[], b""));
            // The scripted server reads only one request from a connection, so a call on the
            // connection of the call before would get no answer.
            let mut req = server.next();
            req.answer("200 OK", "content-type: text/plain\r\n", "done");
            let (status, head, body) = caller.join().unwrap();
            assert_eq!((status, body.as_str()), (200, "done"));
            assert_eq!(outcome(&head), "completed");
        });
    }
}

/// Guards against a refusal before start that is reported as an answer or as a call that may have
/// run.
#[test]
fn refusal_before_start_has_outcome_not_run() {
    let (entry, server) = start();
    thread::scope(|scope| {
        let caller = scope.spawn(|| entry.call(CHARGE_CALL, &[], b""));
        let mut req = server.next();
        let headers = "oleanderpass-started: false\r\n";
        req.answer(
            "503 Service Unavailable",
            headers,
            "{\"reason\": \"leaving\"}",
        );
        let (status, head, _) = caller.join().unwrap();
        assert_eq!(status, 503);
        assert_eq!(outcome(&head), "not run");
    });
    assert!(!server.has_more());
}

fn request() -> http::Request<Full<Bytes>> {
    http::Request::post("/")
        .header("host", "test")
        .body(Full::new(Bytes::from_static(b"charge")))
        .unwrap()
}

/// Guards against a request that is written after its deadline, for example because the process was
/// paused.
#[test_case(false; "in the past")]
#[test_case(true; "in the future")]
fn deadline_is_checked_before_the_first_write(in_time: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let server = thread::spawn(move || {
        let mut received = Vec::new();
        let mut buf = [0; 1_024];
        let (mut tcp, _) = listener.accept().unwrap();
        // The connection ends when the client drops it or when the complete request has arrived.
        while !received.ends_with(b"charge") {
            match tcp.read(&mut buf) {
                Ok(0) | Err(_) => break,
                Ok(count) => received.extend_from_slice(&buf[..count]),
            }
        }
        received.len()
    });
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let written = runtime.block_on(async {
        let clock = Clock::start();
        let mut connection = Connection::open(addr, clock).await.unwrap();
        let not_after = if in_time {
            clock.now() + Millis::from_secs(600)
        } else {
            Timestamp::ORIGIN
        };
        let sent = connection.send(request(), not_after).await;
        assert!(sent.is_err(), "the server answers nothing");
        connection.has_written()
    });
    let received = server.join().unwrap();
    assert_eq!(written, in_time);
    assert_eq!(received > 0, in_time, "{received} bytes arrived");
}

/// Guards against the outcome `unknown` for a call whose server can't be reached: no byte was sent,
/// so the call did not run.
#[test]
fn unreachable_server_has_outcome_not_run() {
    let (_socket, addr) = closed_port();
    let entry = spawn_entry(addr, addr, Limits::default());
    let (status, head, _) = entry.call(CHARGE_CALL, &[], b"");
    assert_eq!(status, 503);
    assert_eq!(outcome(&head), "not run");
}
