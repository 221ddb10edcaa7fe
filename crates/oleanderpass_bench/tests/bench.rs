//! Check that the comparison is repeatable and that the simulated engine keeps its rules.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed unwrap fails the test"
)]

use oleanderpass_bench::engine::Engine;
use oleanderpass_bench::engine::EngineParameters;
use oleanderpass_bench::engine::Job;
use oleanderpass_bench::engine::Notice;
use oleanderpass_bench::scenario::Condition;
use oleanderpass_bench::scenario::Deployment;
use oleanderpass_bench::scenario::Scenario;
use oleanderpass_bench::simulation::RequestEnd;
use oleanderpass_bench::simulation::simulate;
use oleanderpass_bench::trace::SECOND;
use oleanderpass_bench::trace::TraceShape;
use oleanderpass_bench::trace::generate_trace;
use oleanderpass_routing::policy::Policy;
use oleanderpass_routing::policy::SplitOptions;

fn job(req: usize, priority: usize, prefill_tokens: u64) -> Job {
    Job {
        req,
        attempt: 1,
        priority,
        prefill_tokens,
        output_tokens: Some(10),
        memory_tokens: prefill_tokens + 10,
        prefixes: Vec::new(),
        deadline: u64::MAX,
    }
}

/// Run the engine until `end` and return the requests in the order in which their prefills end.
fn run_engine(engine: &mut Engine, end: u64) -> Vec<usize> {
    let mut now = 0;
    let mut order = Vec::new();
    while now < end {
        let mut notices = Vec::new();
        let Some(step) = engine.start_step(now, &mut notices) else {
            break;
        };
        now += step;
        engine.end_step(&mut notices);
        order.extend(notices.iter().filter_map(|notice| match notice {
            Notice::Prefilled { req, .. } => Some(*req),
            _ => None,
        }));
        assert!(engine.load_report().memory_used.get() <= 450_000);
    }
    order
}

/// Guards against a trace whose prompt lengths or load differ from the specified workload.
#[test]
fn trace_matches_the_specified_workload() {
    let shape = TraceShape {
        seed: 1,
        engines: 23,
        load: 1.0,
        duration: 1_000 * SECOND,
        burst: None,
    };
    let trace = generate_trace(shape, &EngineParameters::default());
    let very_long = trace
        .iter()
        .filter(|req| req.prompt_tokens > 100_000)
        .count() as f64;
    let share = very_long / trace.len() as f64;
    assert!((0.018..0.022).contains(&share), "{share}");
    assert!(
        trace
            .iter()
            .all(|req| (1_000..=1_000_001).contains(&req.prompt_tokens))
    );
    assert!(
        trace
            .iter()
            .all(|req| req.shared_tokens < req.prompt_tokens)
    );
    let work: f64 = trace
        .iter()
        .map(|req| req.engine_time_s(&EngineParameters::default()))
        .sum();
    assert!((0.93..1.07).contains(&(work / 23_000.0)), "{work}");
}

/// Guards against deadlines that no policy can meet, even on idle engines. The longest prompts take
/// the memory of three engines.
#[test]
fn idle_engines_meet_every_deadline() {
    let parameters = EngineParameters::default();
    for seed in 41..=45 {
        let shape = TraceShape {
            seed,
            engines: 23,
            load: 1.0,
            duration: 900 * SECOND,
            burst: None,
        };
        for req in generate_trace(shape, &parameters) {
            let engines =
                (req.prompt_tokens + req.output_tokens).div_ceil(parameters.memory_tokens);
            let chunk_time = parameters.step_base
                + parameters.chunk_tokens * parameters.prefill_token_ns / 1_000;
            let prefill_time = req
                .prompt_tokens
                .div_ceil(engines)
                .div_ceil(parameters.chunk_tokens)
                * chunk_time;
            let decode_time = req.output_tokens * (parameters.step_base + parameters.sequence_time);
            assert!(prefill_time + decode_time < req.timeout, "{req:?}");
        }
    }
}

/// Guards against a long prefill at low priority that delays a short one at high priority.
#[test]
fn priority_overtakes_running_prefill() {
    let mut engine = Engine::new(EngineParameters::default());
    engine.push(job(1, 1, 300_000));
    engine.push(job(2, 0, 2_000));
    assert_eq!(run_engine(&mut engine, 60 * SECOND), [2, 1]);
}

/// Guards against an engine that admits more than its memory.
#[test]
fn memory_is_never_exceeded() {
    let mut engine = Engine::new(EngineParameters::default());
    for req in 0..6 {
        engine.push(job(req, req % 2, 200_000));
    }
    assert_eq!(run_engine(&mut engine, 120 * SECOND).len(), 6);
    assert_eq!(engine.load_report().memory_used.get(), 0);
}

/// Guards against runs with the same seed that differ, and against requests that never end.
#[test]
fn runs_repeat_exactly_and_end() {
    let scenario = Scenario {
        policy: Policy::Split(SplitOptions::default()),
        deployment: Deployment::Skald,
        condition: Condition::EngineLost,
        load: 0.5,
        without_long_prompts: false,
        burst: false,
        seed: 3,
    };
    let first = simulate(scenario, &EngineParameters::default()).unwrap();
    let second = simulate(scenario, &EngineParameters::default()).unwrap();
    let ttft = |records: &[oleanderpass_bench::simulation::RequestRecord]| -> Vec<_> {
        records.iter().map(|record| record.ttft).collect()
    };
    assert_eq!(ttft(&first.records), ttft(&second.records));
    assert!(
        first
            .records
            .iter()
            .all(|record| record.end != RequestEnd::Open)
    );
}
