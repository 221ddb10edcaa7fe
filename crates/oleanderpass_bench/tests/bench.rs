//! Guard against a comparison that is not repeatable or an engine fake that breaks its own rules.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed unwrap fails the test"
)]

use oleanderpass_bench::engine::Engine;
use oleanderpass_bench::engine::EngineFigures;
use oleanderpass_bench::engine::Job;
use oleanderpass_bench::engine::Notice;
use oleanderpass_bench::fleet::End;
use oleanderpass_bench::fleet::play;
use oleanderpass_bench::scenario::Condition;
use oleanderpass_bench::scenario::Deployment;
use oleanderpass_bench::scenario::Scenario;
use oleanderpass_bench::trace::SECOND;
use oleanderpass_bench::trace::TraceShape;
use oleanderpass_bench::trace::generate;
use oleanderpass_routing::policy::Policy;
use oleanderpass_routing::policy::SplitOptions;

fn job(req: usize, priority: usize, prefill: u64) -> Job {
    Job {
        req,
        attempt: 1,
        priority,
        prefill,
        output: Some(10),
        memory: prefill + 10,
        prefixes: Vec::new(),
        deadline: u64::MAX,
    }
}

/// Run the engine until `end` and return the order in which prefills end.
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
        assert!(engine.report().memory_used.get() <= 450_000);
    }
    order
}

/// Guards against a trace whose lengths differ from the stated workload.
#[test]
fn trace_has_the_stated_lengths() {
    let shape = TraceShape {
        seed: 1,
        engines: 23,
        load: 1.0,
        duration: 1_000 * SECOND,
        burst: None,
    };
    let trace = generate(shape, &EngineFigures::default());
    let very_long = trace.iter().filter(|req| req.prompt > 100_000).count() as f64;
    let share = very_long / trace.len() as f64;
    assert!((0.018..0.022).contains(&share), "{share}");
    assert!(
        trace
            .iter()
            .all(|req| (1_000..=1_000_001).contains(&req.prompt))
    );
    assert!(trace.iter().all(|req| req.shared < req.prompt));
    let work: f64 = trace
        .iter()
        .map(|req| req.work(&EngineFigures::default()))
        .sum();
    assert!((0.93..1.07).contains(&(work / 23_000.0)), "{work}");
}

/// Guards against deadlines that no policy can meet: three engines share the longest prompts.
#[test]
fn empty_fleet_meets_every_deadline() {
    let figures = EngineFigures::default();
    for seed in 41..=45 {
        let shape = TraceShape {
            seed,
            engines: 23,
            load: 1.0,
            duration: 900 * SECOND,
            burst: None,
        };
        for req in generate(shape, &figures) {
            let engines = (req.prompt + req.output).div_ceil(figures.memory);
            let chunk = figures.step_base + figures.chunk * figures.prefill_token_ns / 1_000;
            let prefill = req.prompt.div_ceil(engines).div_ceil(figures.chunk) * chunk;
            let decode = req.output * (figures.step_base + figures.sequence);
            assert!(prefill + decode < req.timeout, "{req:?}");
        }
    }
}

/// Guards against a long prefill at low priority that delays a short one of high priority.
#[test]
fn priority_overtakes_running_prefill() {
    let mut engine = Engine::new(EngineFigures::default());
    engine.push(job(1, 1, 300_000));
    engine.push(job(2, 0, 2_000));
    assert_eq!(run_engine(&mut engine, 60 * SECOND), [2, 1]);
}

/// Guards against an engine that admits more than its memory.
#[test]
fn memory_is_never_exceeded() {
    let mut engine = Engine::new(EngineFigures::default());
    for req in 0..6 {
        engine.push(job(req, req % 2, 200_000));
    }
    assert_eq!(run_engine(&mut engine, 120 * SECOND).len(), 6);
    assert_eq!(engine.report().memory_used.get(), 0);
}

/// Guards against a run that differs between two plays, loses requests or ends unanswered ones.
#[test]
fn runs_repeat_exactly_and_end() {
    let scenario = Scenario {
        policy: Policy::Split(SplitOptions::default()),
        deployment: Deployment::Skald,
        condition: Condition::EngineLost,
        load: 0.5,
        without_long: false,
        burst: false,
        seed: 3,
    };
    let first = play(scenario, &EngineFigures::default()).unwrap();
    let second = play(scenario, &EngineFigures::default()).unwrap();
    let ttft = |records: &[oleanderpass_bench::fleet::Record]| -> Vec<_> {
        records.iter().map(|record| record.ttft).collect()
    };
    assert_eq!(ttft(&first.records), ttft(&second.records));
    assert!(first.records.iter().all(|record| record.end != End::Open));
}
