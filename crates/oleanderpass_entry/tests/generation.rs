//! Guard against tokens that are held back, lost, doubled or mixed up on their way to the caller.

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
use support::Entry;
use support::KEY;
use support::ScriptedServer;
use support::connect;
use support::head;
use support::spawn_entry;

const CHAT: &str = "POST /v1/chat/completions";

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
    let authorization = format!("authorization: Bearer {KEY}");
    let head = head(CHAT, &[&authorization], body.len());
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

/// Guards against an answer that is collected before it is sent: the engine sends its second
/// token only after the first one has arrived at the caller.
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
