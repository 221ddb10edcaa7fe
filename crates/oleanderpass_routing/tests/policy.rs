//! Guard against placements that violate the routing rules (design section 4.6).
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed unwrap fails the test"
)]

mod common;

use std::collections::HashMap;
use std::collections::HashSet;

use oleanderpass_routing::policy::Choice;
use oleanderpass_routing::policy::Policy;
use oleanderpass_routing::policy::Refusal;
use oleanderpass_routing::policy::SplitOptions;
use oleanderpass_routing::policy::choose;
use oleanderpass_routing::polling::should_poll;
use oleanderpass_routing::rendezvous::node_key;
use oleanderpass_routing::request::Request;
use oleanderpass_routing::view::Dispatch;
use oleanderpass_routing::view::LoadReport;
use oleanderpass_routing::view::View;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::size::Tokens;
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

use crate::common::engine;
use crate::common::prefixes;
use crate::common::request;
use crate::common::view;

const NOW: Timestamp = Timestamp::from_millis(1_000);

fn split() -> Policy {
    Policy::Split(SplitOptions::default())
}

fn run(policy: Policy, view: &View, req: &Request<'_>, seed: u64) -> Dispatch {
    match choose(policy, view, NOW, req, &mut Pcg64Mcg::new(seed.into())) {
        Choice::Run { dispatch, .. } => dispatch,
        other => panic!("{other:?}"),
    }
}

/// Guards against a burst from one instance that goes to one engine until the next report, because
/// the instance's own dispatches don't count until then.
#[test]
fn own_work_counts_at_once() {
    let mut view = view(4);
    let mut used = HashMap::new();
    for seed in 0..40 {
        let dispatch = run(split(), &view, &request(4_000), seed);
        view.record_dispatch(NOW, &dispatch, &[]);
        *used.entry(dispatch.servers[0].clone()).or_insert(0) += 1;
    }
    assert!(used.values().all(|count| *count <= 14), "{used:?}");
}

/// Guards against herding: instances that all choose the engine that an old report shows as idle.
#[test]
fn instances_with_one_old_report_spread() {
    let mut view = view(8);
    for number in 0..8 {
        let report = LoadReport {
            queued_prefill: Tokens::new(if number == 3 { 0 } else { 4_000 }),
            ..LoadReport::default()
        };
        view.apply_report(NOW, &engine(number), Millis::from_secs(20), report);
    }
    let choices: Vec<_> = (0..100)
        .map(|seed| run(split(), &view, &request(4_000), seed).servers)
        .collect();
    let same_choice = choices
        .iter()
        .filter(|servers| **servers == [engine(3)])
        .count();
    assert!(
        same_choice <= 60,
        "{same_choice} of 100 instances chose the same engine"
    );
}

/// Guards against long prompts on engines outside of the long-prompt partition, for any seed.
#[test]
fn long_prompts_stay_in_their_partition() {
    let view = view(8);
    let used: HashSet<_> = (0..200)
        .map(|seed| run(split(), &view, &request(100_000), seed).servers)
        .collect();
    assert!(used.len() <= view.long_partition_size(), "{used:?}");
    assert_eq!(view.long_partition_size(), 4);
}

/// Guards against short prompts that wait while the long-prompt partition is idle.
#[test]
fn short_prompts_use_idle_long_partition() {
    let mut view = view(2);
    let long_servers = run(split(), &view, &request(100_000), 1).servers;
    let busy = run(split(), &view, &request(20_000), 1);
    view.record_dispatch(
        NOW,
        &Dispatch {
            servers: vec![engine(0)],
            ..busy.clone()
        },
        &[],
    );
    view.record_dispatch(
        NOW,
        &Dispatch {
            servers: vec![engine(1)],
            ..busy.clone()
        },
        &[],
    );
    view.record_dispatch(
        NOW,
        &Dispatch {
            servers: vec![engine(0)],
            ..busy.clone()
        },
        &[],
    );
    view.record_dispatch(
        NOW,
        &Dispatch {
            servers: vec![engine(1)],
            ..busy.clone()
        },
        &[],
    );
    view.record_end(Dispatch {
        servers: long_servers.clone(),
        ..busy.clone()
    });
    view.record_end(Dispatch {
        servers: long_servers.clone(),
        ..busy
    });
    let used: HashSet<_> = (0..20)
        .map(|seed| run(split(), &view, &request(2_000), seed).servers)
        .collect();
    assert!(used.contains(&long_servers));
}

/// Guards against prompts that aren't sent to the engine that has their prefix in its cache.
#[test]
fn prefix_holder_is_preferred() {
    let mut view = view(8);
    let list = prefixes(&[1_024, 4_096]);
    let req = Request {
        prefixes: &list,
        ..request(5_000)
    };
    let first = run(split(), &view, &req, 1);
    view.record_dispatch(NOW, &first, &list);
    view.record_end(first.clone());
    for seed in 0..50 {
        let next = run(split(), &view, &req, seed);
        assert_eq!(next.servers, first.servers);
        assert_eq!(next.prefill, Tokens::new(5_000 - 4_096));
    }
}

/// Guards against joining too few engines, and against engines that aren't in ascending order:
/// requests that reserve memory on them in different orders can deadlock.
#[test_case(500_000, 2; "two engines")]
#[test_case(1_000_000, 3; "three engines")]
fn large_prompts_join_engines(prompt: u64, count: usize) {
    for policy in [
        split(),
        Policy::RoundRobin,
        Policy::LeastReported,
        Policy::TwoChoices,
    ] {
        let dispatch = run(policy, &view(5), &request(prompt), 1);
        assert_eq!(dispatch.servers.len(), count);
        assert!(dispatch.servers.is_sorted());
        assert!(dispatch.memory <= Tokens::new(450_000));
    }
}

/// Guards against requests that wait although they can never fit or finish in time.
#[test_case(2, 1_000_000, 300_000, Choice::Refuse(Refusal::TooLarge); "too large")]
#[test_case(0, 1_000, 300_000, Choice::Refuse(Refusal::NoServer); "no server")]
#[test_case(4, 350_000, 20_000, Choice::Refuse(Refusal::Deadline); "prefill longer than deadline")]
fn requests_that_cannot_finish_are_refused(
    engines: u32,
    prompt: u64,
    deadline: u64,
    expected: Choice,
) {
    let req = Request {
        deadline: Timestamp::from_millis(deadline),
        ..request(prompt)
    };
    let choice = choose(split(), &view(engines), NOW, &req, &mut Pcg64Mcg::new(1));
    assert_eq!(choice, expected);
}

/// Guards against a retry on the engine that just failed.
#[test]
fn excluded_engines_are_not_chosen() {
    let excluded = [engine(0), engine(1)];
    let req = Request {
        excluded: &excluded,
        ..request(4_000)
    };
    for policy in [
        split(),
        Policy::RoundRobin,
        Policy::LeastReported,
        Policy::TwoChoices,
    ] {
        for seed in 0..20 {
            assert_eq!(run(policy, &view(3), &req, seed).servers, [engine(2)]);
        }
    }
}

/// Guards against engines that no instance polls, and against polls of each engine that increase
/// with the number of instances in a large zone.
#[test_case(64, 50, 50; "small zone")]
#[test_case(1_500, 50, 2; "large zone")]
#[test_case(1_500, 1, 1; "alone")]
fn every_engine_is_polled(engines: usize, instances: usize, expected: usize) {
    let keys: Vec<u64> = (0..instances)
        .map(|number| node_key(&format!("i{number}")))
        .collect();
    for number in 0..engines {
        let engine = node_key(&format!("e{number}"));
        let pollers = keys
            .iter()
            .filter(|own| should_poll(**own, &keys, engine, engines))
            .count();
        assert_eq!(pollers, expected);
    }
}
