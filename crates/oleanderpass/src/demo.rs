//! Run a fleet in one process and check its answers.
//!
//! The demo starts a platform, engines, plain services and entry instances on loopback, sends
//! short, long and non-idempotent requests through different instances, and promotes a document.

mod caller;
mod document;
mod fleet;
mod report;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use eyre::bail;
use oleanderpass_stand_in::load::unique_prompt;
use oleanderpass_stand_in::output;

use crate::demo::caller::Answer;
use crate::demo::caller::Caller;
use crate::demo::document::BALANCE_ROUTE;
use crate::demo::document::CHARGE_ROUTE;
use crate::demo::document::ENGINE_MEMORY_TOKENS;
use crate::demo::document::document;
use crate::demo::fleet::Fleet;
use crate::demo::report::Report;

/// Longest time until a promoted document is in force at all instances (requirement R8).
const PROMOTION_TIMEOUT: Duration = Duration::from_secs(8);
/// Interval between two checks of the generation in force.
const PROMOTION_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Number of short prompts in each round.
const SHORT_PROMPTS: u64 = 24;
/// Length of a short prompt, in tokens.
const SHORT_PROMPT_TOKENS: u64 = 120;
/// Lengths of the long prompts, in tokens. The last one needs the memory of three engines.
const LONG_PROMPTS_TOKENS: [u64; 5] = [8_000, 60_000, 120_000, 300_000, 1_000_000];
/// Number of tokens to generate for each prompt.
const OUTPUT_TOKENS: u64 = 24;

/// Run the demo.
///
/// # Errors
///
/// Fails if the fleet can't start or a check fails.
pub(crate) fn run() -> eyre::Result<()> {
    let start = Instant::now();
    let fleet = Fleet::start()?;
    println!(
        "{} entry instances, {} engines of {ENGINE_MEMORY_TOKENS} tokens and {} plain servers ready after {:.1} s",
        fleet.instance_count(),
        fleet.engines.len(),
        fleet.services.len(),
        start.elapsed().as_secs_f64()
    );
    let mut report = Report::default();
    check_short_prompts(&fleet, &mut report);
    check_long_prompts(&fleet, &mut report);
    check_idempotent_route(&fleet, &mut report);
    check_ticket(&fleet, &mut report);
    check_promotion(&fleet, &mut report);
    check_memory(&fleet, &mut report);
    report.print_latency()?;
    let passed = report.print_summary();
    println!("{:.1} s in total", start.elapsed().as_secs_f64());
    drop(fleet);
    if !passed {
        bail!("checks failed");
    }
    Ok(())
}

/// Send a prompt and check that the complete answer to this prompt arrives. Return the prompt's
/// length with the answer. `number` makes the prompt unique.
fn send_prompt(
    caller: &Caller,
    number: u64,
    tokens: u64,
    priority: &str,
) -> (u64, eyre::Result<Answer>) {
    let prompt = unique_prompt(number, tokens);
    let answer = caller
        .generate(&prompt, OUTPUT_TOKENS, priority)
        .and_then(|answer| {
            let complete = answer.text == output::answer(&prompt, OUTPUT_TOKENS);
            if answer.status != 200 || answer.outcome != "completed" || !complete {
                bail!(
                    "status {}, outcome `{}`, text `{}`",
                    answer.status,
                    answer.outcome,
                    answer.text
                );
            }
            Ok(answer)
        });
    (tokens, answer)
}

/// Record the result and the latency of a prompt.
fn record_answer(report: &mut Report, what: &str, (tokens, answer): (u64, eyre::Result<Answer>)) {
    if let Some(answer) = report.check_ok(answer, &format!("{what} of {tokens} tokens")) {
        report.check(true, what);
        report.record_latency(tokens, answer.time_to_first_token);
    }
}

fn check_short_prompts(fleet: &Fleet, report: &mut Report) {
    println!("\n{SHORT_PROMPTS} short prompts, each through the next instance");
    for number in 0..SHORT_PROMPTS {
        let answer = send_prompt(
            &fleet.caller(number),
            number,
            SHORT_PROMPT_TOKENS,
            "interactive",
        );
        if number < 3
            && let Ok(answer) = &answer.1
        {
            println!(
                "  {:>6.1} ms:{}",
                answer.time_to_first_token.as_secs_f64() * 1_000.0,
                answer.text
            );
        }
        record_answer(report, "a short prompt", answer);
    }
}

/// Send the long prompts at the same time, and short ones while they run.
fn check_long_prompts(fleet: &Fleet, report: &mut Report) {
    println!(
        "\n{} long prompts, with short prompts at the same time",
        LONG_PROMPTS_TOKENS.len()
    );
    thread::scope(|scope| {
        let long: Vec<_> = (1_000..)
            .zip(LONG_PROMPTS_TOKENS)
            .map(|(number, tokens)| {
                scope.spawn(move || send_prompt(&fleet.caller(number), number, tokens, "batch"))
            })
            .collect();
        for number in 2_000..2_000 + SHORT_PROMPTS {
            let answer = send_prompt(
                &fleet.caller(number),
                number,
                SHORT_PROMPT_TOKENS,
                "interactive",
            );
            record_answer(report, "a short prompt during long prompts", answer);
        }
        for answer in long.into_iter().filter_map(|long| long.join().ok()) {
            if let (tokens, Ok(answer)) = &answer {
                println!(
                    "  {tokens:>7} tokens: {:.2} s",
                    answer.time_to_first_token.as_secs_f64()
                );
            }
            record_answer(report, "a long prompt", answer);
        }
    });
}

fn check_idempotent_route(fleet: &Fleet, report: &mut Report) {
    println!("\nA plain service");
    let answer = report.check_ok(
        fleet.caller(0).call_route(BALANCE_ROUTE, None),
        "read a balance",
    );
    if let Some(answer) = answer {
        println!("  balance: {} {}", answer.status, answer.outcome);
        let completed = (answer.status, answer.outcome.as_str()) == (200, "completed");
        report.check(completed, format!("balance answered {answer:?}"));
    }
}

/// Check that a request without a ticket is refused, and that one with a ticket that is sent twice,
/// through two instances, runs once.
fn check_ticket(fleet: &Fleet, report: &mut Report) {
    println!("\nA non-idempotent charge");
    let (owner, other) = (fleet.caller(0), fleet.caller(1));
    let refused = report.check_ok(
        owner.call_route(CHARGE_ROUTE, None),
        "charge without a ticket",
    );
    if let Some(refused) = refused {
        println!("  without a ticket: {} {}", refused.status, refused.outcome);
        let not_run = (refused.status, refused.outcome.as_str()) == (428, "not run");
        report.check(not_run, format!("charge without a ticket: {refused:?}"));
    }
    let before = fleet.count_executions(CHARGE_ROUTE);
    let Some(ticket) = report.check_ok(owner.request_ticket(CHARGE_ROUTE), "issue a ticket") else {
        return;
    };
    for (caller, name) in [
        (&owner, "at its owner"),
        (&other, "resent through another instance"),
    ] {
        let answer = report.check_ok(caller.call_route(CHARGE_ROUTE, Some(&ticket)), name);
        if let Some(answer) = answer {
            println!(
                "  {name}: {} {} {}",
                answer.status,
                answer.outcome,
                answer.text.trim()
            );
            let completed = (answer.status, answer.outcome.as_str()) == (200, "completed");
            report.check(completed, format!("charge {name}: {answer:?}"));
        }
    }
    let runs = fleet.count_executions(CHARGE_ROUTE) - before;
    println!("  the service ran it {runs} time(s)");
    report.check(runs == 1, format!("one ticket ran {runs} times"));
}

/// Promote a document and check that every instance answers with its generation in time.
fn check_promotion(fleet: &Fleet, report: &mut Report) {
    println!("\nPromotion of generation 2");
    let start = Instant::now();
    fleet.platform.set_document(document(2));
    let in_force = |index: u64| {
        let answer = fleet.caller(index).call_route(BALANCE_ROUTE, None);
        answer.is_ok_and(|answer| answer.generation == 2)
    };
    let mut waiting: Vec<u64> = (0..fleet.instance_count() as u64).collect();
    while !waiting.is_empty() && start.elapsed() < PROMOTION_TIMEOUT {
        thread::sleep(PROMOTION_POLL_INTERVAL);
        waiting.retain(|&index| !in_force(index));
    }
    println!(
        "  in force at all instances after {:.1} s",
        start.elapsed().as_secs_f64()
    );
    report.check(
        waiting.is_empty(),
        format!("instances {waiting:?} still have generation 1"),
    );
}

/// Check that the engines have freed all KV cache memory once all requests have ended.
fn check_memory(fleet: &Fleet, report: &mut Report) {
    let used_tokens: u64 = fleet
        .engines
        .iter()
        .map(|engine| engine.load().memory_used_tokens)
        .sum();
    println!("\nKV cache memory in use after the run: {used_tokens} tokens");
    report.check(
        used_tokens == 0,
        format!("{used_tokens} tokens of KV cache memory are still in use"),
    );
}
