//! Guard against tokens that are delayed, lost, repeated or mixed with those of another stream on
//! their way to the caller.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed unwrap fails the test"
)]

mod support;

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::TcpStream;

use oleanderpass_proto::settings::Limits;
use serde_json::Value;
use support::API_KEY;
use support::Entry;
use support::ScriptedServer;
use support::connect;
use support::head;
use support::spawn_entry;

const CHAT_REQUEST: &str = "POST /v1/chat/completions";

fn body(stream: bool) -> Vec<u8> {
    let body = serde_json::json!({
        "model": "lay",
        "messages": [{ "role": "user", "content": "When is the jam ready?" }],
        "stream": stream,
    });
    body.to_string().into_bytes()
}

fn start() -> (Entry, ScriptedServer) {
    let engine = ScriptedServer::spawn();
    let entry = spawn_entry(engine.addr, engine.addr, Limits::default());
    (entry, engine)
}

fn open_stream(entry: &Entry) -> BufReader<TcpStream> {
    let mut tcp = connect(entry.addrs.caller);
    let body = body(true);
    let authorization = format!("authorization: Bearer {API_KEY}");
    let head = head(CHAT_REQUEST, &[&authorization], body.len());
    tcp.write_all(head.as_bytes()).unwrap();
    tcp.write_all(&body).unwrap();
    BufReader::new(tcp)
}

/// Return the JSON of the next event, or `None` at `[DONE]`.
fn next_event(reader: &mut impl BufRead) -> Option<Value> {
    loop {
        let mut line = String::new();
        assert!(reader.read_line(&mut line).unwrap() > 0, "the stream ended");
        match line.trim().strip_prefix("data: ") {
            Some("[DONE]") => return None,
            Some(data) => return Some(serde_json::from_str(data).unwrap()),
            None => {}
        }
    }
}

fn text(event: &Value) -> &str {
    event["choices"][0]["delta"]["content"].as_str().unwrap()
}

/// Guards against a stream that is buffered until its end: the engine sends its second token only
/// after the first one has arrived at the caller.
#[test]
fn each_token_is_delivered_before_the_next_one() {
    let (entry, engine) = start();
    let mut reader = open_stream(&entry);
    let mut req = engine.next();
    let id = req.header("oleanderpass-stream-id").unwrap().to_owned();
    req.begin_stream();
    req.event(&id, 0, "In ");
    let first = next_event(&mut reader).unwrap();
    assert_eq!(text(&first), "In ");
    assert_eq!(first["object"], "chat.completion.chunk");
    req.event(&id, 1, "May");
    assert_eq!(text(&next_event(&mut reader).unwrap()), "May");
    req.done(&id, 2);
    let last = next_event(&mut reader).unwrap();
    assert_eq!(last["oleanderpass"]["outcome"], "completed");
    assert_eq!(last["choices"][0]["finish_reason"], "stop");
    assert_eq!(next_event(&mut reader), None);
}

/// Guards against delivering tokens that a resumed stream repeats, or events of another stream.
#[test]
fn broken_stream_is_resumed_without_repetition() {
    let (entry, engine) = start();
    let mut reader = open_stream(&entry);
    let mut req = engine.next();
    let id = req.header("oleanderpass-stream-id").unwrap().to_owned();
    req.begin_stream();
    req.event(&id, 0, "In ");
    assert_eq!(text(&next_event(&mut reader).unwrap()), "In ");
    drop(req);
    let mut resumed = engine.next();
    let expected = format!("POST /v1/streams/{id}/resume?from=1 HTTP/1.1");
    assert_eq!(resumed.line, expected);
    resumed.begin_stream();
    resumed.event(&id, 0, "In ");
    resumed.event("another:stream:1", 1, "June");
    resumed.event(&id, 1, "May");
    resumed.done(&id, 2);
    assert_eq!(text(&next_event(&mut reader).unwrap()), "May");
    let last = next_event(&mut reader).unwrap();
    assert_eq!(last["oleanderpass"]["outcome"], "completed");
    assert!(entry.metrics().contains("oleanderpass_resumes_total 1"));
}

/// Guards against an incomplete stream that the caller can't tell from a complete one.
#[test]
fn lost_stream_ends_with_an_error() {
    let (entry, engine) = start();
    let mut reader = open_stream(&entry);
    let mut req = engine.next();
    let id = req.header("oleanderpass-stream-id").unwrap().to_owned();
    req.begin_stream();
    req.event(&id, 0, "In ");
    assert_eq!(text(&next_event(&mut reader).unwrap()), "In ");
    drop(req);
    engine.next().answer("404 Not Found", "", "");
    let last = next_event(&mut reader).unwrap();
    assert_eq!(last["error"]["outcome"], "failed");
    let mut rest = String::new();
    // The body ends with an empty chunk of the chunked transfer encoding.
    while !rest.ends_with("\r\n0\r\n") {
        assert!(reader.read_line(&mut rest).unwrap() > 0, "{rest}");
    }
    assert!(!rest.contains("[DONE]"), "{rest}");
}

/// Guards against a generation that goes on after its caller has disconnected.
#[test]
fn stream_is_cancelled_when_the_caller_disconnects() {
    let (entry, engine) = start();
    let mut reader = open_stream(&entry);
    let mut req = engine.next();
    let id = req.header("oleanderpass-stream-id").unwrap().to_owned();
    req.begin_stream();
    req.event(&id, 0, "In ");
    next_event(&mut reader).unwrap();
    drop(reader);
    let cancel = engine.next();
    assert_eq!(cancel.line, format!("DELETE /v1/streams/{id} HTTP/1.1"));
}

/// Guards against a generation that goes on when its caller disconnects before the first token.
#[test]
fn stream_is_cancelled_before_its_first_token() {
    let (entry, engine) = start();
    let reader = open_stream(&entry);
    let mut req = engine.next();
    let id = req.header("oleanderpass-stream-id").unwrap().to_owned();
    req.begin_stream();
    drop(reader);
    let cancel = engine.next();
    assert_eq!(cancel.line, format!("DELETE /v1/streams/{id} HTTP/1.1"));
}

/// Guards against a slow caller that delays other callers' streams.
#[test]
fn slow_caller_delays_only_its_own_stream() {
    let (entry, engine) = start();
    let _slow = open_stream(&entry);
    let mut first = engine.next();
    let id = first.header("oleanderpass-stream-id").unwrap().to_owned();
    first.begin_stream();
    first.tcp.set_nonblocking(true).unwrap();
    // Fill every buffer between the engine and the caller that doesn't read. They are full when 20
    // writes in a row, 20 ms apart, find no room.
    let event = serde_json::json!({ "id": id, "seq": 0, "text": "x".repeat(100_000) });
    let mut event = event;
    let mut seq = 0_u64;
    let mut failed_writes = 0;
    while failed_writes < 20 {
        event["seq"] = seq.into();
        let data = format!("data: {event}\n\n");
        let mut rest = data.as_bytes();
        while !rest.is_empty() && failed_writes < 20 {
            match first.tcp.write(rest) {
                Ok(count) => {
                    rest = &rest[count..];
                    failed_writes = 0;
                }
                Err(_) => {
                    failed_writes += 1;
                    std::thread::sleep(std::time::Duration::from_millis(20));
                }
            }
        }
        seq += 1;
    }
    let mut reader = open_stream(&entry);
    let mut second = engine.next();
    let id = second.header("oleanderpass-stream-id").unwrap().to_owned();
    second.begin_stream();
    second.event(&id, 0, "In ");
    assert_eq!(text(&next_event(&mut reader).unwrap()), "In ");
}

/// Guards against an answer without streaming that is incomplete or lacks its usage.
#[test]
fn answer_without_streaming_is_complete() {
    let (entry, engine) = start();
    std::thread::scope(|scope| {
        let caller = scope.spawn(|| {
            entry.call(
                CHAT_REQUEST,
                &["oleanderpass-priority: batch"],
                &body(false),
            )
        });
        let mut req = engine.next();
        assert_eq!(req.header("oleanderpass-priority"), Some("batch"));
        assert_eq!(req.body, body(false));
        let id = req.header("oleanderpass-stream-id").unwrap().to_owned();
        req.begin_stream();
        req.event(&id, 0, "In ");
        req.event(&id, 1, "May");
        req.done(&id, 2);
        let (status, head, answer) = caller.join().unwrap();
        assert_eq!(status, 200, "{answer}");
        assert!(head.contains("oleanderpass-outcome: completed"), "{head}");
        let answer: Value = serde_json::from_str(&answer).unwrap();
        assert_eq!(answer["object"], "chat.completion");
        assert_eq!(answer["choices"][0]["message"]["content"], "In May");
        assert_eq!(answer["usage"]["completion_tokens"], 2);
    });
}
