//! Guard against requests that delay others by more than their fair share, and against a queue that
//! grows without a bound.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use common::TestBed;
use common::completed;
use common::model_target;
use common::route_target;
use oleanderpass_core::event::Priority;
use oleanderpass_core::event::Source;
use oleanderpass_core::event::Target;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::id::Digest;
use oleanderpass_types::outcome::Outcome;
use oleanderpass_types::size::Tokens;

const SECOND_ORGANISATION: &str = r#"
  - id: globex
    class: large
    models: [saga]
    routes: [status]
    callers:
      - {id: desk, key_sha256: "0909090909090909090909090909090909090909090909090909090909090909"}
"#;

/// Start an instance with the given engines, one server of the plain service and a second
/// organisation.
fn bed(engines: &[&str]) -> TestBed {
    let mut bed = TestBed::new(engines, &["w1"]);
    let text = common::DOCUMENT.replace("generation: 1", "generation: 2");
    let text = format!("{}{SECOND_ORGANISATION}", text.trim_end());
    bed.bring_into_force(&text);
    bed
}

/// Guards against a burst of one organisation that delays another one until all of it has run.
#[test]
fn a_burst_of_one_organisation_delays_only_that_organisation() {
    let mut bed = bed(&["e1"]);
    let burst: Vec<_> = (0..50).map(|_| bed.generate()).collect();
    let mut new = bed.request(model_target());
    new.source = Source::Caller(Digest([9; 32]));
    let other = bed.send(new);
    for id in &burst[..2] {
        let start = bed.only_start(id);
        bed.end(&start, completed());
    }
    assert_eq!(bed.starts_of(&other).len(), 1);
}

/// Guards against calls of plain services that wait behind requests to a model.
#[test]
fn a_full_engine_does_not_delay_plain_services() {
    let mut bed = bed(&["e1"]);
    for _ in 0..10 {
        bed.generate();
    }
    let id = bed.call("status", None);
    bed.only_start(&id);
}

/// Guards against long prompts at the head of the queue that block short ones, and against long
/// prompts that run at the priority of short ones.
#[test]
fn long_prompts_leave_engines_for_short_ones() {
    let mut bed = bed(&["e1", "e2", "e3"]);
    let mut long = Vec::new();
    for _ in 0..12 {
        let mut new = bed.request(model_target());
        new.prompt = Tokens::new(50_000);
        new.timeout = Some(Millis::from_secs(600));
        long.push(bed.send(new));
    }
    let started = long.iter().filter(|id| !bed.starts_of(id).is_empty());
    assert!((1..=4).contains(&started.count()));
    let start = bed.starts()[0].clone();
    assert_eq!(start.priority, Priority::Batch);
    let short = bed.generate();
    bed.only_start(&short);
}

/// Guards against a burst that uses up the memory of the instance.
#[test]
fn the_queue_is_bounded() {
    let mut bed = bed(&[]);
    for _ in 0..4_096 {
        let mut new = bed.request(route_target("charge"));
        new.target = route_target("status");
        new.timeout = Some(Millis::from_secs(60));
        bed.send(new);
    }
    let queued = bed.instance.queued();
    assert!(queued >= 4_000, "{queued} wait");
    let ids: Vec<_> = (0..4).map(|_| bed.call("status", None)).collect();
    let last = bed.answer_of(&ids[3]);
    assert_eq!(last, Some((Outcome::NotRun, 503)));
}

/// Guards against batch requests that are admitted while short prompts wait too long.
#[test]
fn batch_work_is_shed_first_while_short_prompts_wait() {
    let mut bed = bed(&["e1"]);
    for _ in 0..8 {
        bed.generate();
    }
    bed.advance(4_000);
    let mut batch = bed.request(model_target());
    batch.priority = Priority::Batch;
    let batch = bed.send(batch);
    assert_eq!(bed.answer_of(&batch), Some((Outcome::NotRun, 503)));
    let interactive = bed.generate();
    assert_eq!(bed.answer_of(&interactive), None);
}

/// Guards against a model without engines that makes the instance shed requests for other models.
#[test]
fn a_model_without_engines_does_not_shed_requests_to_another() {
    let mut bed = bed(&["e1"]);
    let text = common::DOCUMENT
        .replace("generation: 1", "generation: 3")
        .replace(
            "models:\n",
            "models:\n  - {id: edda, version: v1, service: other, max_prompt_tokens: 1000}\n",
        )
        .replace(
            "services:\n",
            "services:\n  - {id: other, kind: engine, memory_tokens: 1000, prefill_tokens_per_s: 1000, token_ms: 1}\n",
        )
        .replace("models: [saga]", "models: [saga, edda]");
    bed.bring_into_force(&text);
    let mut new = bed.request(model_target());
    new.target = Target::Model {
        model: "edda".parse().unwrap(),
        adapter: None,
    };
    let blocked = bed.send(new);
    bed.advance(4_000);
    assert_eq!(bed.answer_of(&blocked), None);
    let mut batch = bed.request(model_target());
    batch.priority = Priority::Batch;
    let batch = bed.send(batch);
    bed.only_start(&batch);
}
