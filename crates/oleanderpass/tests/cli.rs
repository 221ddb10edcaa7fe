//! Guard against commands that hide an error or exit with the wrong status.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed unwrap fails the test"
)]

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;

use test_case::test_case;

const DOCUMENT: &str = "generation: 7
environment: { name: trial, zones: [hafnir] }
services:
  - { id: skald, kind: engine, memory_tokens: 400000, prefill_tokens_per_s: 40000 }
models:
  - { id: lay, version: v1, service: skald, max_prompt_tokens: 300000 }
";

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path
}

fn oleanderpass() -> Command {
    Command::new(env!("CARGO_BIN_EXE_oleanderpass"))
}

fn run(args: &[&str]) -> Output {
    oleanderpass().args(args).output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

#[test]
fn valid_document_passes() {
    let path = write_file("valid.yaml", DOCUMENT);
    let output = run(&["check", path.to_str().unwrap()]);
    assert!(output.status.success(), "{}", text(&output.stderr));
    assert!(text(&output.stdout).contains("generation 7 is valid"));
}

#[test_case("unknown_key", "zones: [hafnir]", "zones: [hafnir], area: x", &["line 2", "area"]; "unknown key")]
#[test_case("two_errors", "version: v1, service: skald", "service: skal", &["models[0].version", "models[0].service"]; "two errors")]
fn every_error_is_reported(name: &str, from: &str, to: &str, expected_errors: &[&str]) {
    let path = write_file(&format!("{name}.yaml"), &DOCUMENT.replace(from, to));
    let output = run(&["check", path.to_str().unwrap()]);
    assert!(!output.status.success());
    let errors = text(&output.stderr);
    for expected in expected_errors {
        assert!(errors.contains(expected), "{errors}");
    }
}

/// Guards against a `diff` that hides a change from the operator before the promotion.
#[test]
fn every_change_is_shown() {
    let changed = DOCUMENT
        .replace("generation: 7", "generation: 8")
        .replace("version: v1", "version: v2")
        .replace("[hafnir]", "[hafnir, keflavik]");
    let (old, new) = (
        write_file("old.yaml", DOCUMENT),
        write_file("new.yaml", &changed),
    );
    let output = run(&["diff", old.to_str().unwrap(), new.to_str().unwrap()]);
    assert!(output.status.success(), "{}", text(&output.stderr));
    let lines = text(&output.stdout);
    assert!(lines.contains("~ /generation: 7 -> 8"), "{lines}");
    assert!(
        lines.contains("~ /models/0/version: \"v1\" -> \"v2\""),
        "{lines}"
    );
    assert!(
        lines.contains("+ /environment/zones/1: \"keflavik\""),
        "{lines}"
    );
    assert_eq!(lines.lines().count(), 4, "{lines}");
    let reversed = run(&["diff", new.to_str().unwrap(), old.to_str().unwrap()]);
    assert!(text(&reversed.stdout).contains("the generation does not rise"));
}

/// Guards against a program of which nobody can tell from which code it was built.
#[test]
fn version_names_the_build() {
    let output = run(&["--version"]);
    let line = text(&output.stdout);
    let build = line.strip_prefix(concat!("oleanderpass ", env!("CARGO_PKG_VERSION"), " ("));
    let (commit, target) = build.unwrap().split_once(", ").unwrap();
    let is_hash = commit.len() == 40 && commit.chars().all(|c| c.is_ascii_hexdigit());
    assert!(is_hash || commit == "no repository", "{line}");
    assert!(target.starts_with(std::env::consts::ARCH), "{line}");
}

#[test]
fn invalid_settings_fail_the_command() {
    let path = write_file("wrong.yaml", "instance: a\nzone: b\n");
    let output = run(&["serve", "--settings", path.to_str().unwrap()]);
    assert!(!output.status.success());
    assert!(text(&output.stderr).contains("caller_addr: "));
}

#[test]
fn status_of_an_unreachable_instance_fails() {
    // Port 1 is reserved; nothing listens there in a test environment.
    let output = run(&["status", "127.0.0.1:1"]);
    assert!(!output.status.success());
}

/// Guards against an explanation that fails without saying which instances were asked and why none
/// answered.
#[test]
fn explanation_without_an_instance_names_the_cause() {
    // Port 1 is reserved; nothing listens there in a test environment.
    let output = run(&[
        "explain",
        "127.0.0.1:1",
        "127.0.0.2:1",
        "--host",
        "shop.example",
        "--path",
        "/chat/1",
    ]);
    assert!(!output.status.success());
    assert!(output.stdout.is_empty());
    let errors = text(&output.stderr).to_lowercase();
    for expected in [
        "no instance answers",
        "127.0.0.1:1: ",
        "127.0.0.2:1: ",
        "connection refused",
    ] {
        assert!(errors.contains(expected), "no `{expected}` in: {errors}");
    }
}

/// Guards against a signal that kills the process instead of starting the graceful shutdown, and
/// against log lines that aren't JSON.
#[test_case("TERM")]
#[test_case("INT")]
fn signal_starts_a_graceful_shutdown(signal: &str) {
    let settings = format!(
        "{{ instance: a, zone: b, caller_addr: '127.0.0.1:0', peer_addr: '127.0.0.1:0', \
         operator_addr: '127.0.0.1:0', platform_addr: '127.0.0.1:1', config_key: environment, \
         fleet_key: '{}' }}",
        "5a".repeat(32)
    );
    let path = write_file(&format!("{signal}.yaml"), &settings);
    let mut child = oleanderpass()
        .args(["serve", "--settings", path.to_str().unwrap()])
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut messages = Vec::new();
    for line in BufReader::new(child.stderr.take().unwrap()).lines() {
        let event: serde_json::Value = serde_json::from_str(&line.unwrap()).unwrap();
        let message = event["message"].as_str().unwrap().to_owned();
        if message == "instance started" {
            let kill = Command::new("kill")
                .args([&format!("-{signal}"), &child.id().to_string()])
                .status();
            assert!(kill.unwrap().success());
        }
        messages.push(message);
    }
    assert!(child.wait().unwrap().success());
    for expected in ["shutdown requested", "instance stopped"] {
        assert!(messages.iter().any(|m| m == expected), "{messages:?}");
    }
}
