//! Run a fleet in one process and show what it does.
//!
//! The demo starts a platform, engines, plain services and entry instances on loopback, sends
//! short, long and non-idempotent requests through different instances and promotes a document.

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

/// Time in which a promoted document has to be in force everywhere (requirement R8).
const PROMOTION_LIMIT: Duration = Duration::from_secs(8);
/// Time between two looks at the generation in force.
const PROMOTION_POLL: Duration = Duration::from_millis(100);
/// Short requests of each round.
const SHORT_REQUESTS: u64 = 24;
/// Length of a short prompt, in tokens.
const SHORT_PROMPT_TOKENS: u64 = 120;
/// Lengths of the long prompts, in tokens. The last one needs the memory of three engines.
const LONG_PROMPTS_TOKENS: [u64; 5] = [8_000, 60_000, 120_000, 300_000, 1_000_000];
/// Tokens to generate for each prompt.
const OUTPUT_TOKENS: u64 = 24;

/// Run the demo.
///
/// # Errors
///
/// Fails if the fleet can't start or anything was not as expected.
pub(crate) fn run() -> eyre::Result<()> {
    let start = Instant::now();
    let fleet = Fleet::start()?;
    println!(
        "{} entry instances, {} engines of {ENGINE_MEMORY_TOKENS} tokens and {} plain servers ready after {:.1} s",
        fleet.instances(),
        fleet.engines.len(),
        fleet.services.len(),
        start.elapsed().as_secs_f64()
    );
    let mut report = Report::default();
    short_requests(&fleet, &mut report);
    long_requests(&fleet, &mut report);
    idempotent_route(&fleet, &mut report);
    ticket(&fleet, &mut report);
    promotion(&fleet, &mut report);
    memory(&fleet, &mut report);
    report.print_latency()?;
    let as_expected = report.verdict();
    println!("{:.1} s in all", start.elapsed().as_secs_f64());
    drop(fleet);
    if !as_expected {
        bail!("not everything was as expected");
    }
    Ok(())
}

/// Send a prompt and check that the whole answer to this very prompt arrives.
fn ask(caller: &Caller, number: u64, tokens: u64, priority: &str) -> (u64, eyre::Result<Answer>) {
    let prompt = unique_prompt(number, tokens);
    let answer = caller
        .ask(&prompt, OUTPUT_TOKENS, priority)
        .and_then(|answer| {
            let whole = answer.text == output::answer(&prompt, OUTPUT_TOKENS);
            if answer.status != 200 || answer.outcome != "completed" || !whole {
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

fn note(report: &mut Report, what: &str, (tokens, answer): (u64, eyre::Result<Answer>)) {
    if let Some(answer) = report.expect(answer, &format!("{what} of {tokens} tokens")) {
        report.check(true, what);
        report.record(tokens, answer.first);
    }
}

fn short_requests(fleet: &Fleet, report: &mut Report) {
    println!("\n{SHORT_REQUESTS} short questions, each through the next instance");
    for number in 0..SHORT_REQUESTS {
        let answer = ask(
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
                answer.first.as_secs_f64() * 1_000.0,
                answer.text
            );
        }
        note(report, "a short question", answer);
    }
}

fn long_requests(fleet: &Fleet, report: &mut Report) {
    println!(
        "\n{} long prompts, with short questions beside them",
        LONG_PROMPTS_TOKENS.len()
    );
    thread::scope(|scope| {
        let long: Vec<_> = (1_000..)
            .zip(LONG_PROMPTS_TOKENS)
            .map(|(number, tokens)| {
                scope.spawn(move || ask(&fleet.caller(number), number, tokens, "batch"))
            })
            .collect();
        for number in 2_000..2_000 + SHORT_REQUESTS {
            let answer = ask(
                &fleet.caller(number),
                number,
                SHORT_PROMPT_TOKENS,
                "interactive",
            );
            note(report, "a short question beside long prompts", answer);
        }
        for answer in long.into_iter().filter_map(|long| long.join().ok()) {
            if let (tokens, Ok(answer)) = &answer {
                println!("  {tokens:>7} tokens: {:.2} s", answer.first.as_secs_f64());
            }
            note(report, "a long prompt", answer);
        }
    });
}

fn idempotent_route(fleet: &Fleet, report: &mut Report) {
    println!("\nA plain service");
    let answer = report.expect(fleet.caller(0).route(BALANCE_ROUTE, None), "read a balance");
    if let Some(answer) = answer {
        println!("  balance: {} {}", answer.status, answer.outcome);
        let completed = (answer.status, answer.outcome.as_str()) == (200, "completed");
        report.check(completed, format!("balance answered {answer:?}"));
    }
}

/// Charge once with a ticket and resend the ticket through another instance.
fn ticket(fleet: &Fleet, report: &mut Report) {
    println!("\nA charge that must not run twice");
    let (owner, other) = (fleet.caller(0), fleet.caller(1));
    let refused = report.expect(owner.route(CHARGE_ROUTE, None), "charge without a ticket");
    if let Some(refused) = refused {
        println!("  without a ticket: {} {}", refused.status, refused.outcome);
        let not_run = (refused.status, refused.outcome.as_str()) == (428, "not run");
        report.check(not_run, format!("charge without a ticket: {refused:?}"));
    }
    let before = fleet.executions(CHARGE_ROUTE);
    let Some(ticket) = report.expect(owner.ticket(CHARGE_ROUTE), "issue a ticket") else {
        return;
    };
    for (caller, name) in [
        (&owner, "at its owner"),
        (&other, "resent through another instance"),
    ] {
        let answer = report.expect(caller.route(CHARGE_ROUTE, Some(&ticket)), name);
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
    let runs = fleet.executions(CHARGE_ROUTE) - before;
    println!("  the service ran it {runs} time(s)");
    report.check(runs == 1, format!("one ticket ran {runs} times"));
}

/// Promote a document and wait until every instance answers with its generation.
fn promotion(fleet: &Fleet, report: &mut Report) {
    println!("\nPromotion of generation 2");
    let start = Instant::now();
    fleet.platform.set_document(document(2));
    let in_force = |index: u64| {
        let answer = fleet.caller(index).route(BALANCE_ROUTE, None);
        answer.is_ok_and(|answer| answer.generation == 2)
    };
    let mut waiting: Vec<u64> = (0..fleet.instances() as u64).collect();
    while !waiting.is_empty() && start.elapsed() < PROMOTION_LIMIT {
        thread::sleep(PROMOTION_POLL);
        waiting.retain(|&index| !in_force(index));
    }
    println!(
        "  in force everywhere after {:.1} s",
        start.elapsed().as_secs_f64()
    );
    report.check(
        waiting.is_empty(),
        format!("instances {waiting:?} still have generation 1"),
    );
}

/// Check that the engines hold no memory once all requests have ended.
fn memory(fleet: &Fleet, report: &mut Report) {
    let held: u64 = fleet
        .engines
        .iter()
        .map(|engine| engine.load().memory_used_tokens)
        .sum();
    println!("\nKV memory in use after the run: {held} tokens");
    report.check(
        held == 0,
        format!("{held} tokens of KV memory are still in use"),
    );
}
