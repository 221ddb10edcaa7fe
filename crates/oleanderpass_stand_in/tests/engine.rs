//! Test the behaviour of the simulated engine that other tests rely on.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed unwrap fails the test"
)]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use oleanderpass_proto::engine::EngineState;
use oleanderpass_proto::engine::HoldAnswer;
use oleanderpass_proto::engine::HoldList;
use oleanderpass_proto::engine::HoldRequest;
use oleanderpass_proto::engine::KvTransfer;
use oleanderpass_proto::engine::Order;
use oleanderpass_proto::engine::OrderAnswer;
use oleanderpass_proto::engine::Refusal;
use oleanderpass_proto::engine::StreamEvent;
use oleanderpass_stand_in::client::SseReader;
use oleanderpass_stand_in::client::get_json;
use oleanderpass_stand_in::client::post_json;
use oleanderpass_stand_in::client::read_body;
use oleanderpass_stand_in::client::send;
use oleanderpass_stand_in::engine::Engine;
use oleanderpass_stand_in::engine::EngineConfig;
use oleanderpass_stand_in::output;
use test_case::test_case;

fn fast_config() -> EngineConfig {
    EngineConfig {
        token_ms: 1,
        prefill_tokens_per_s: 100_000_000,
        ..EngineConfig::default()
    }
}

async fn generate(
    addr: SocketAddr,
    headers: &[(&str, &str)],
    prompt: &str,
    tokens: u64,
) -> Response<Incoming> {
    let body = serde_json::json!({"model": "m", "prompt": prompt, "max_tokens": tokens});
    let req = headers
        .iter()
        .fold(Request::post("/v1/generate"), |req, (k, v)| {
            req.header(*k, *v)
        });
    send(addr, req, body.to_string()).await.unwrap()
}

/// Read at most `limit` events, whose sequence numbers must count from `from`. Return their text
/// and whether the stream ended.
async fn read_text(resp: Response<Incoming>, from: u64, limit: u64) -> (String, bool) {
    let mut events = SseReader::new(resp);
    let mut text = String::new();
    for seq in from..from + limit {
        let event = events.next().await.unwrap().unwrap();
        let event: StreamEvent = serde_json::from_str(&event).unwrap();
        assert_eq!((event.seq, event.error.as_str()), (seq, ""));
        if event.done {
            return (text, true);
        }
        text.push_str(&event.text);
    }
    (text, false)
}

/// Guards against a resumed stream that repeats, skips or changes tokens, or that counts as a
/// second execution.
#[tokio::test]
async fn silent_stream_resumes_from_a_sequence_number() {
    let engine = Engine::start(fast_config()).unwrap();
    let id = [("oleanderpass-stream-id", "s1")];
    let (first, _) = read_text(generate(engine.addr(), &id, "hello", 400).await, 0, 5).await;
    engine.silence();
    let req = Request::post("/v1/streams/s1/resume?from=5");
    let resumed = send(engine.addr(), req, Bytes::new()).await.unwrap();
    let (rest, done) = read_text(resumed, 5, 1_000).await;
    assert!(done);
    assert_eq!(first + &rest, output::answer("hello", 400));
    assert_eq!(engine.executions(), ["s1"]);
}

/// Guards against an answer that depends on the engine: a wrong continuation on another engine
/// could then go unnoticed, or a right one look wrong.
#[tokio::test]
async fn another_engine_continues_an_answer() {
    let engine = Engine::start(EngineConfig {
        id: "other".to_owned(),
        ..fast_config()
    })
    .unwrap();
    let from = [("oleanderpass-continue-from", "7")];
    let (rest, done) = read_text(generate(engine.addr(), &from, "hello", 20).await, 7, 100).await;
    assert!(done);
    assert_eq!(
        output::answer("hello", 7) + &rest,
        output::answer("hello", 20)
    );
}

/// Guards against a simulated engine that accepts what a real engine refuses, or whose refusal
/// looks like a failure to an entry instance.
#[test_case("leaving"; "leaving engine")]
#[test_case("deadline"; "deadline has passed")]
#[test_case("not_loaded"; "model is not loaded")]
#[test_case("full"; "prompt is larger than the memory")]
#[tokio::test]
async fn request_is_refused_before_its_start(reason: &str) {
    let mut cfg = EngineConfig {
        checks_deadline: true,
        ..fast_config()
    };
    match reason {
        "not_loaded" => cfg.models = vec!["other".to_owned()],
        "full" => cfg.memory_tokens = 10,
        _ => {}
    }
    let engine = Engine::start(cfg).unwrap();
    if reason == "leaving" {
        engine.leave();
    }
    let not_after = if reason == "deadline" {
        "1000"
    } else {
        "99999999999999"
    };
    let headers = [("oleanderpass-not-after-unix-ms", not_after)];
    let resp = generate(engine.addr(), &headers, "hello", 20).await;
    assert_eq!(resp.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(resp.headers()["oleanderpass-started"], "false");
    let refusal: Refusal = serde_json::from_slice(&read_body(resp).await.unwrap()).unwrap();
    assert_eq!(refusal.reason, reason);
    assert!(engine.executions().is_empty());
}

/// Guards against a fencing check that accepts a stale order, or that can't be turned off.
#[test_case(true, "2"; "engine with the check keeps the newer version")]
#[test_case(false, "1"; "engine without the check applies the stale order")]
#[tokio::test]
async fn stale_order_is_refused_only_with_the_check(checks_fencing: bool, version: &str) {
    let cfg = EngineConfig {
        checks_fencing,
        empty: true,
        load_ms: 0,
        weight_store_ms: 0,
        ..fast_config()
    };
    let engine = Engine::start(cfg).unwrap();
    for (fencing, version) in [(7, "2"), (6, "1")] {
        let order = Order {
            kind: "load".to_owned(),
            fencing,
            model: "m".to_owned(),
            version: version.to_owned(),
            ..Order::default()
        };
        let answer: OrderAnswer = post_json(engine.addr(), "/orders", &order).await.unwrap();
        assert_eq!(
            (answer.accepted, answer.fencing),
            (fencing == 7 || !checks_fencing, 7)
        );
    }
    let state: EngineState = get_json(engine.addr(), "/state").await.unwrap();
    assert_eq!(state.models[0].version, version);
}

fn hold_request(id: &str, owner: &str, tokens: u64) -> HoldRequest {
    let (id, owner) = (id.to_owned(), owner.to_owned());
    HoldRequest {
        id,
        owner,
        owner_incarnation: 1,
        tokens,
        expires_in_ms: 0,
    }
}

/// Guards against memory that is granted twice, and against a deleted hold that keeps its memory.
#[tokio::test]
async fn holds_share_the_memory_until_deleted() {
    let engine = Engine::start(EngineConfig {
        memory_tokens: 100,
        ..fast_config()
    })
    .unwrap();
    let addr = engine.addr();
    let request_hold = async |req: HoldRequest| {
        let answer: HoldAnswer = post_json(addr, "/holds", &req).await.unwrap();
        answer.reason
    };
    assert_eq!(request_hold(hold_request("a", "i1", 60)).await, "");
    assert_eq!(request_hold(hold_request("a", "i1", 60)).await, "");
    assert_eq!(request_hold(hold_request("a", "i2", 60)).await, "owner");
    assert_eq!(request_hold(hold_request("b", "i1", 60)).await, "full");
    // Without `drops_expired_holds`, an expired hold stays until it is deleted.
    tokio::time::sleep(Duration::from_millis(2)).await;
    let list: HoldList = get_json(addr, "/holds").await.unwrap();
    assert!(list.holds.len() == 1 && list.holds[0].overdue_ms > 0);
    let deleted = send(addr, Request::delete("/holds/a"), Bytes::new())
        .await
        .unwrap();
    assert_eq!(read_body(deleted).await.unwrap(), "true");
    assert_eq!(engine.load().memory_used_tokens, 0);
    assert_eq!(request_hold(hold_request("b", "i1", 60)).await, "");
}

/// Guards against a prompt larger than one engine's memory that can't run with a part of its KV
/// cache on another engine, or that runs without that.
#[tokio::test]
async fn large_prompt_runs_with_its_kv_cache_on_two_engines() {
    let cfg = || EngineConfig {
        memory_tokens: 1_000,
        ..fast_config()
    };
    let (first, second) = (Engine::start(cfg()).unwrap(), Engine::start(cfg()).unwrap());
    // 6,000 bytes: 1,500 tokens.
    let prompt = "word".repeat(1_500);
    let refused = generate(first.addr(), &[], &prompt, 10).await;
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    for (engine, tokens) in [(&first, 900), (&second, 700)] {
        let req = hold_request("h", "i1", tokens);
        let answer: HoldAnswer = post_json(engine.addr(), "/holds", &req).await.unwrap();
        assert!(answer.granted);
    }
    let import = KvTransfer {
        hold: "h".to_owned(),
        stream: "s2".to_owned(),
        from_token: 900,
        tokens: 700,
        source: first.addr().to_string(),
    };
    let answer: HoldAnswer = post_json(second.addr(), "/kv/import", &import)
        .await
        .unwrap();
    assert!(answer.granted, "{}", answer.reason);
    let headers = [("oleanderpass-stream-id", "s2"), ("oleanderpass-hold", "h")];
    let resp = generate(first.addr(), &headers, &prompt, 10).await;
    assert_eq!(
        read_text(resp, 0, 100).await,
        (output::answer(&prompt, 10), true)
    );
}

/// Guards against a cancelled or ended stream that keeps its memory.
#[tokio::test]
async fn ended_streams_free_their_memory() {
    let engine = Engine::start(fast_config()).unwrap();
    let id = [("oleanderpass-stream-id", "s1")];
    let resp = generate(engine.addr(), &id, "hello", 100_000).await;
    let (_, done) = read_text(resp, 0, 3).await;
    assert!(!done && engine.load().memory_used_tokens > 0);
    send(
        engine.addr(),
        Request::delete("/v1/streams/s1"),
        Bytes::new(),
    )
    .await
    .unwrap();
    assert_eq!(engine.load().memory_used_tokens, 0);
    let resp = generate(engine.addr(), &id, "hello", 3).await;
    assert!(read_text(resp, 0, 10).await.1);
    assert_eq!(engine.load().memory_used_tokens, 0);
}
