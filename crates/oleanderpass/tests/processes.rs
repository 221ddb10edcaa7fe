//! Guard against faults that only appear with real processes: instances that are killed or paused,
//! and the replacement of all instances under load.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed unwrap fails the test"
)]

mod support;

use std::env;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use oleanderpass_stand_in::service::ServiceConfig;

use crate::support::Fleet;
use crate::support::Signal;
use crate::support::call;
use crate::support::document;
use crate::support::wait_for;

const TIMEOUT_MS: u64 = 20_000;

fn service(execution_ms: u64) -> ServiceConfig {
    ServiceConfig {
        id: "bokhald-1".to_owned(),
        execution_ms,
        checks_deadline: true,
        ..ServiceConfig::default()
    }
}

/// Guards against a second execution when the caller resends after the ticket's owner was killed.
#[test]
fn resend_after_the_owner_was_killed_is_unknown_and_runs_once() {
    let mut fleet = Fleet::start(0, 3, service(1_500));
    let ticket = fleet.request_ticket(0);
    thread::scope(|scope| {
        let first = scope.spawn(|| fleet.call(0, "charge", Some(&ticket), TIMEOUT_MS));
        wait_for("the charge to start", || {
            fleet.service.executions().len() == 1
        });
        fleet.signal(0, Signal::Kill);
        assert!(first.join().unwrap().is_err(), "the owner can't answer");
    });
    fleet.wait_for_exit(0);
    let resent = fleet.call(1, "charge", Some(&ticket), TIMEOUT_MS).unwrap();
    assert_eq!(resent.outcome, "unknown");

    // The next incarnation doesn't own the ticket either.
    fleet.spawn(0);
    wait_for("the owner to be back", || fleet.is_ready(0));
    let resent = fleet.call(0, "charge", Some(&ticket), TIMEOUT_MS).unwrap();
    assert_eq!(resent.outcome, "unknown");
    assert_eq!(fleet.service.executions().len(), 1);
}

/// Guards against an owner that resumes after a pause and then runs a request that was reported as
/// not run, or runs it twice.
#[test]
fn paused_owner_runs_a_ticket_at_most_once_after_it_resumes() {
    let fleet = Fleet::start(1, 3, service(5));
    let ticket = fleet.request_ticket(0);
    fleet.signal(0, Signal::Stop);
    let forwarded = fleet.call(1, "charge", Some(&ticket), 1_500).unwrap();
    assert_eq!(forwarded.outcome, "unknown");
    fleet.signal(0, Signal::Continue);

    let resent = fleet.call(2, "charge", Some(&ticket), TIMEOUT_MS).unwrap();
    let again = fleet.call(0, "charge", Some(&ticket), TIMEOUT_MS).unwrap();
    let runs = fleet.service.executions().len();
    assert!(runs <= 1, "the charge ran {runs} times");
    for answer in [&resent, &again] {
        let consistent = match answer.outcome.as_str() {
            "completed" => runs == 1,
            "not run" => runs == 0,
            outcome => outcome == "unknown",
        };
        assert!(consistent, "{answer:?} after {runs} runs");
    }
}

/// Guards against a restarted instance that falls back to an older generation, or gets none, while
/// the platform answers with a stale document or is down.
#[test]
fn generation_stays_in_force_while_the_platform_is_down_and_instances_restart() {
    let mut fleet = Fleet::start(2, 3, service(5));
    fleet.platform.set_document(document(2));
    for index in 0..3 {
        wait_for("generation 2", || fleet.status(index)["generation"] == 2);
    }
    fleet.platform.set_stale(Some(1));
    fleet.signal(2, Signal::Kill);
    fleet.wait_for_exit(2);
    fleet.spawn(2);
    wait_for("the new instance to be ready", || fleet.is_ready(2));
    let answer = fleet.call(2, "balance", None, TIMEOUT_MS).unwrap();
    assert_eq!((answer.status, answer.generation), (200, 2));

    fleet.platform.set_down(true);
    fleet.signal(1, Signal::Kill);
    fleet.wait_for_exit(1);
    fleet.spawn(1);
    wait_for("the new instance to be ready", || fleet.is_ready(1));
    let answer = fleet.call(1, "balance", None, TIMEOUT_MS).unwrap();
    assert_eq!((answer.status, answer.generation), (200, 2));
    let answered_ms_ago = |index| fleet.status(index)["platform_answered_ms_ago"].clone();
    assert!(
        answered_ms_ago(0).is_u64(),
        "the platform answered before it went down"
    );
    assert!(
        answered_ms_ago(1).is_null(),
        "the platform has not answered this incarnation"
    );
}

/// Guards against requests that fail while all instances are replaced.
///
/// Callers spread idempotent requests over the ready instances while each instance in turn is
/// stopped and replaced. They notice a stop after 500 ms, as a load balancer does that polls the
/// readiness at this interval. `OLEANDERPASS_ROLLING_INSTANCES` (3 by default) sets the number of
/// instances for a longer run.
#[test]
fn replacing_all_instances_fails_no_request() {
    let instances =
        env::var("OLEANDERPASS_ROLLING_INSTANCES").map_or(3, |text| text.parse::<usize>().unwrap());
    let mut fleet = Fleet::start(3, instances, service(200));
    let ready: Mutex<Vec<SocketAddr>> = Mutex::new(
        (0..instances)
            .map(|index| fleet.caller_addr(index))
            .collect(),
    );
    let stop = AtomicBool::new(false);
    let sent = AtomicUsize::new(0);
    let failures: Arc<Mutex<Vec<String>>> = Arc::default();
    let start = Instant::now();
    thread::scope(|scope| {
        for caller in 0..8 {
            let (ready, stop, sent, failures) = (&ready, &stop, &sent, Arc::clone(&failures));
            scope.spawn(move || {
                let mut next = caller;
                while !stop.load(Ordering::Relaxed) {
                    let addr = {
                        let ready = ready.lock().unwrap();
                        ready[next % ready.len()]
                    };
                    next += 1;
                    sent.fetch_add(1, Ordering::Relaxed);
                    match call(addr, "balance", None, TIMEOUT_MS) {
                        Ok(answer) if answer.outcome == "completed" => {}
                        other => failures.lock().unwrap().push(format!("{addr}: {other:?}")),
                    }
                }
            });
        }
        for index in 0..instances {
            fleet.signal(index, Signal::Terminate);
            wait_for("the instance to report that it stops", || {
                !fleet.is_ready(index)
            });
            // A load balancer notices the stop late, but within the 5 s in which a stopping
            // instance still accepts requests.
            thread::sleep(Duration::from_millis(500));
            let addr = fleet.caller_addr(index);
            ready.lock().unwrap().retain(|other| *other != addr);
            fleet.wait_for_exit(index);
            fleet.spawn(index);
            wait_for("the new instance to be ready", || fleet.is_ready(index));
            ready.lock().unwrap().push(addr);
        }
        stop.store(true, Ordering::Relaxed);
    });
    let failures = failures.lock().unwrap();
    println!(
        "replaced {instances} instances in {:?} under load: {} requests, {} not completed",
        start.elapsed(),
        sent.load(Ordering::Relaxed),
        failures.len()
    );
    assert!(failures.is_empty(), "{failures:#?}");
}
