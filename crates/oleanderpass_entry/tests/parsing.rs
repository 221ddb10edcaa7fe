//! Guard against settings, prompts, events and instance lists that are parsed wrongly.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed unwrap fails the test"
)]

use oleanderpass_core::event::Target;
use oleanderpass_entry::backend::sse::SseParser;
use oleanderpass_entry::caller::prompt::Interface;
use oleanderpass_entry::caller::prompt::Prompt;
use oleanderpass_entry::platform::validate_instance_list;
use oleanderpass_entry::settings::Settings;
use oleanderpass_proto::platform::BackendServer;
use oleanderpass_proto::platform::InstanceList;
use oleanderpass_proto::settings as raw;
use oleanderpass_types::size::Tokens;
use rustix::time::ClockId;
use rustix::time::clock_gettime;
use test_case::test_case;

/// Guards against an event that is lost or changed when it arrives in two reads.
#[test]
fn events_are_the_same_at_every_split() {
    let text =
        ": keep-alive\n\ndata: {\"a\":1}\r\n\r\nevent: x\ndata:two\ndata: lines\n\n".as_bytes();
    for split in 0..=text.len() {
        let mut parser = SseParser::default();
        let mut events = Vec::new();
        parser.push(&text[..split], &mut events).unwrap();
        parser.push(&text[split..], &mut events).unwrap();
        assert_eq!(events, ["{\"a\":1}", "two\nlines"], "split at {split}");
    }
}

/// Guards against processor time that grows with the square of the length of a line because its end
/// is looked for from its start at each piece.
#[test]
fn long_line_is_read_once() {
    let event = format!("data: {}\n\n", "x".repeat(1_000_000));
    let mut parser = SseParser::default();
    let mut events = Vec::new();
    let began = clock_gettime(ClockId::ThreadCPUTime);
    for piece in event.as_bytes().chunks(64) {
        parser.push(piece, &mut events).unwrap();
    }
    let took = clock_gettime(ClockId::ThreadCPUTime).tv_sec - began.tv_sec;
    assert_eq!(events[0].len(), 1_000_000);
    assert!(took < 5, "{took} s of processor time");
}

/// Guards against memory that grows without bound when an engine sends a line without an end.
#[test]
fn endless_line_is_an_error() {
    let mut parser = SseParser::default();
    let chunk = vec![b'x'; 1 << 16];
    let results: Vec<_> = (0..20)
        .map(|_| parser.push(&chunk, &mut Vec::new()).is_ok())
        .collect();
    assert!(results.contains(&false));
}

/// Guards against a wrong estimate of the prompt length for any form of message content.
#[test_case(r#"{"model":"lay","messages":[{"role":"user","content":"abcd"}]}"#, 3; "text")]
#[test_case(r#"{"model":"lay","messages":[{"role":"user","content":[{"type":"text","text":"ab"},{"type":"text","text":"cd"}]}]}"#, 3; "parts")]
#[test_case(r#"{"model":"lay","messages":[{"role":"user"}],"unknown":[1]}"#, 2; "no content")]
fn chat_prompt_length_is_estimated(body: &str, tokens: u64) {
    let prompt = Prompt::parse(Interface::Chat, body.as_bytes()).unwrap();
    assert_eq!(prompt.tokens, Tokens::new(tokens));
    assert!(prompt.prefixes.is_empty());
}

/// Guards against different prefix hashes for prompts that begin with the same text.
#[test]
fn common_beginnings_share_prefix_hashes() {
    let parse = |end: &str| {
        let prompt = format!("{}{end}", "x".repeat(5_000));
        let body = serde_json::json!({ "model": "lay:oak", "prompt": prompt, "max_tokens": 9 });
        Prompt::parse(Interface::Completion, body.to_string().as_bytes()).unwrap()
    };
    let (left, right) = (parse("left"), parse("right"));
    assert_eq!(left.prefixes, right.prefixes);
    let lengths: Vec<u64> = left.prefixes.iter().map(|p| p.tokens.get()).collect();
    assert_eq!(lengths, [256, 512, 1_024]);
    assert_eq!(left.max_output, Tokens::new(9));
    let expected = Target::Model {
        model: "lay".parse().unwrap(),
        adapter: Some("oak".parse().unwrap()),
    };
    assert_eq!(left.target, expected);
}

fn settings() -> raw::Settings {
    raw::Settings {
        instance: "hafnir-1".to_owned(),
        zone: "hafnir".to_owned(),
        caller_addr: "127.0.0.1:1".to_owned(),
        peer_addr: "127.0.0.1:2".to_owned(),
        operator_addr: "127.0.0.1:3".to_owned(),
        platform_addr: "127.0.0.1:4".to_owned(),
        config_key: "production".to_owned(),
        fleet_key: "0f".repeat(32),
        ..raw::Settings::default()
    }
}

/// Guards against limits that are zero because the settings leave them out.
#[test]
fn limits_have_defaults() {
    let limits = Settings::try_from(&settings()).unwrap().limits;
    assert_eq!(limits.max_connections, 2_000);
    assert_eq!(limits.max_body.get(), 8 << 20);
    assert_eq!(limits.head_timeout.get(), 5_000);
}

/// Guards against wrong settings that are accepted, or reported without the name of the field.
#[test_case(|s| s.zone = "a b".to_owned(), "zone"; "zone")]
#[test_case(|s| s.peer_addr = "hafnir:1".to_owned(), "peer_addr"; "host name")]
#[test_case(|s| s.config_key = "a/b".to_owned(), "config_key"; "path in the key")]
#[test_case(|s| s.fleet_key = "0f".to_owned(), "fleet_key"; "short key")]
#[test_case(|s| s.seeds = vec!["x".to_owned()], "seeds[0]"; "seed")]
fn wrong_settings_are_reported(change: fn(&mut raw::Settings), field: &str) {
    let mut settings = settings();
    change(&mut settings);
    let errors = Settings::try_from(&settings).unwrap_err().to_string();
    assert!(errors.starts_with(field), "{errors}");
    assert!(!errors.contains('\n'), "{errors}");
}

/// Guards against a fleet key that is written to the log.
#[test]
fn fleet_key_is_not_printed() {
    let settings = Settings::try_from(&settings()).unwrap();
    let printed = format!("{settings:?}");
    assert!(!printed.contains("15, 15"), "{printed}");
    assert!(!printed.contains("0f0f"), "{printed}");
}

/// Guards against an instance list of which only the valid entries are used.
#[test]
fn list_with_a_wrong_entry_is_rejected() {
    let server = |state: &str| BackendServer {
        id: "skald-1".to_owned(),
        service: "skald".to_owned(),
        zone: "hafnir".to_owned(),
        addr: "127.0.0.1:9".to_owned(),
        state: state.to_owned(),
    };
    let list = |state| InstanceList {
        backend_servers: vec![server("live"), server(state)],
        ..InstanceList::default()
    };
    assert!(validate_instance_list(&list("leaving")).is_ok());
    let error = validate_instance_list(&list("resting")).unwrap_err();
    assert!(format!("{error:#}").contains("skald-1"), "{error:#}");
}
