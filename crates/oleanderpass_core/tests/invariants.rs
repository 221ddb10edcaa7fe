//! Guard against faults that the tests of single rules miss, by random sequences of events.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use std::collections::HashMap;

use common::TestBed;
use common::broken;
use common::completed;
use common::listed_server;
use common::load_report;
use common::model_target;
use common::route_target;
use oleanderpass_core::action::Action;
use oleanderpass_core::action::StartAttempt;
use oleanderpass_core::event::AttemptEnd;
use oleanderpass_core::event::Event;
use oleanderpass_core::event::Lifecycle;
use oleanderpass_core::event::Progress;
use oleanderpass_core::event::Refusal;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::id::RequestId;
use oleanderpass_types::outcome::Outcome;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop_oneof;
use proptest::prelude::proptest;
use proptest::test_runner::RngSeed;
use smol_str::SmolStr;

const ENGINES: [&str; 3] = ["e1", "e2", "e3"];
const PLAIN_SERVERS: [&str; 2] = ["w1", "w2"];

/// One step of a random run. Indices select among the requests, tickets, attempts and engines that
/// exist at that time.
#[derive(Clone, Debug)]
enum Op {
    /// Send a request without a ticket. Kind 3 is a non-idempotent request to a model.
    Send { kind: u8, timeout_ms: u64 },
    /// Issue a ticket if the instance is ready.
    IssueTicket,
    /// Send a request with one of the issued tickets, which may have been used before.
    UseTicket(usize),
    /// Report the first token of an attempt.
    FirstToken(usize),
    /// End an attempt as [`attempt_end`] selects.
    End(usize, u8),
    /// Disconnect the caller of a request.
    CallerGone(usize),
    /// Report the load of an engine: its index, its incarnation and whether it is leaving.
    Report(usize, u64, bool),
    /// Apply the instance list that [`listed`] selects.
    List(u8),
    /// Advance the time by some milliseconds, with ticks.
    Advance(u64),
    /// Advance the time by some milliseconds, without ticks.
    Pause(u64),
    /// Ask the instance to shut down.
    Shutdown,
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => (0_u8..4, 100_u64..30_000)
            .prop_map(|(kind, timeout_ms)| Op::Send { kind, timeout_ms }),
        1 => proptest::strategy::Just(Op::IssueTicket),
        2 => any::<usize>().prop_map(Op::UseTicket),
        3 => any::<usize>().prop_map(Op::FirstToken),
        6 => (any::<usize>(), 0_u8..9).prop_map(|(index, end)| Op::End(index, end)),
        1 => any::<usize>().prop_map(Op::CallerGone),
        1 => (any::<usize>(), 1_u64..4, any::<bool>())
            .prop_map(|(index, incarnation, leaving)| Op::Report(index, incarnation, leaving)),
        1 => any::<u8>().prop_map(Op::List),
        4 => (100_u64..3_000).prop_map(Op::Advance),
        1 => (100_u64..40_000).prop_map(Op::Pause),
        1 => proptest::strategy::Just(Op::Shutdown),
    ]
}

/// The state of a random run.
struct Run {
    bed: TestBed,
    /// All requests that were sent.
    sent: Vec<RequestId>,
    /// The issued tickets.
    tickets: Vec<SmolStr>,
    /// The requests that used each ticket.
    uses: HashMap<SmolStr, Vec<RequestId>>,
    /// How attempts ended, by request and attempt number.
    ended: HashMap<(RequestId, u32), AttemptEnd>,
}

impl Run {
    /// Return the attempts that have not ended.
    fn running(&self) -> Vec<StartAttempt> {
        let mut starts = self.bed.starts();
        starts.retain(|start| {
            !self
                .ended
                .contains_key(&(start.req.clone(), start.attempt.0))
        });
        starts
    }

    fn end(&mut self, start: &StartAttempt, end: AttemptEnd) {
        let key = (start.req.clone(), start.attempt.0);
        self.ended.insert(key, end.clone());
        self.bed.end(start, end);
    }

    fn step(&mut self, op: Op) {
        let bed = &mut self.bed;
        match op {
            Op::Send { kind, timeout_ms } => {
                let target = [
                    model_target(),
                    route_target("book"),
                    route_target("status"),
                    model_target(),
                ][usize::from(kind)]
                .clone();
                let mut new = bed.request(target);
                new.timeout = Some(Millis::new(timeout_ms));
                new.idempotent = (kind == 3).then_some(false);
                self.sent.push(bed.send(new));
            }
            Op::IssueTicket if bed.instance.is_ready() => {
                let ticket = bed.issue_ticket("charge");
                self.tickets.push(ticket);
            }
            Op::UseTicket(index) if !self.tickets.is_empty() => {
                let ticket = self.tickets[index % self.tickets.len()].clone();
                let id = bed.call("charge", Some(&ticket));
                self.uses.entry(ticket).or_default().push(id.clone());
                self.sent.push(id);
            }
            Op::FirstToken(index) | Op::End(index, _) => {
                let running = self.running();
                if running.is_empty() {
                    return;
                }
                let start = running[index % running.len()].clone();
                match op {
                    Op::End(_, end) => self.end(&start, attempt_end(end)),
                    _ => self.bed.progress(&start, Progress::FirstToken),
                }
            }
            Op::CallerGone(index) if !self.sent.is_empty() => {
                let id = self.sent[index % self.sent.len()].clone();
                bed.event(Event::CallerGone(id));
            }
            Op::Report(index, incarnation, leaving) => {
                let state = if leaving {
                    Lifecycle::Leaving
                } else {
                    Lifecycle::Live
                };
                let report = load_report(ENGINES[index % 3], incarnation, state);
                bed.event(Event::LoadReport(report));
            }
            Op::List(bits) => bed.apply_list(listed(bits)),
            Op::Advance(millis) => bed.advance(millis),
            Op::Pause(millis) => bed.pause(millis),
            Op::Shutdown => bed.event(Event::Shutdown),
            Op::IssueTicket | Op::UseTicket(_) | Op::CallerGone(_) => {}
        }
    }

    /// Return how the attempts of a request ended; `None` for one that has not.
    fn attempts(&self, id: &RequestId) -> Vec<Option<AttemptEnd>> {
        let starts = self.bed.starts_of(id);
        let end = |start: &StartAttempt| self.ended.get(&(id.clone(), start.attempt.0)).cloned();
        starts.iter().map(end).collect()
    }
}

/// Return a list of all servers as live, except as `bits` select. If bit 7 is set, the servers
/// whose own bit (0 to 4) is set are missing. If bit 6 is set, the server whose index is in bits 0
/// and 1 is leaving.
fn listed(bits: u8) -> Vec<oleanderpass_core::event::ListedServer> {
    let engines = ENGINES.iter().map(|id| (*id, "skald"));
    let plain_servers = PLAIN_SERVERS.iter().map(|id| (*id, "ledger"));
    engines
        .chain(plain_servers)
        .enumerate()
        .filter(|(index, _)| bits >> index & 1 == 0 || bits & 0x80 == 0)
        .map(|(index, (id, service))| {
            let leaving = bits & 0x40 != 0 && index == usize::from(bits & 3);
            let state = if leaving {
                Lifecycle::Leaving
            } else {
                Lifecycle::Live
            };
            listed_server(id, service, "north", state)
        })
        .collect()
}

fn attempt_end(number: u8) -> AttemptEnd {
    match number {
        0 => AttemptEnd::NotSent("connection refused".into()),
        1 => AttemptEnd::Refused(Refusal::Full),
        2 => AttemptEnd::Refused(Refusal::Leaving),
        3 => AttemptEnd::Refused(Refusal::Deadline),
        4 => AttemptEnd::Failed("status 500".into()),
        5 => broken(false),
        6 => AttemptEnd::Cancelled,
        _ => completed(),
    }
}

/// Return whether an attempt with this end may have run. `None` stands for one that has not ended.
fn may_have_run(end: &Option<AttemptEnd>) -> bool {
    !matches!(end, Some(AttemptEnd::NotSent(_) | AttemptEnd::Refused(_)))
}

fn check_invariants(run: &Run) {
    let bed = &run.bed;
    for id in &run.sent {
        let attempts = run.attempts(id);
        let outcome = bed
            .outcome(id)
            .unwrap_or_else(|| panic!("{id} has no answer"));
        let non_idempotent = bed.starts_of(id).iter().any(|start| start.non_idempotent);
        let runs = attempts.iter().filter(|end| may_have_run(end)).count();
        assert!(
            !non_idempotent || runs <= 1,
            "{id} may have run {runs} times"
        );
        assert!(
            outcome != Outcome::NotRun || runs == 0,
            "{id} ran: {attempts:?}"
        );
    }
    for (ticket, uses) in &run.uses {
        let ends = uses.iter().flat_map(|id| run.attempts(id));
        let runs = ends.filter(may_have_run).count();
        assert!(runs <= 1, "{ticket} may have run {runs} times");
    }
    for (id, view) in bed.instance.servers() {
        assert_eq!(view.in_flight, 0, "occupied slots of {id}");
    }
    assert_eq!(bed.instance.in_flight(), 0);
}

proptest! {
    #![proptest_config(ProptestConfig {
    cases: 300,
    rng_seed: RngSeed::Fixed(1),
    failure_persistence: None,
    ..ProptestConfig::default()
})]

    /// Guards against requests with no answer or two, second runs of non-idempotent requests, the
    /// outcome `not run` after a run, dispatch after the deadline, slots that are never freed, and
    /// a shutdown that doesn't end.
    #[test]
    fn every_request_gets_one_correct_answer(ops in proptest::collection::vec(op(), 1..120)) {
        let mut run = Run {
            bed: TestBed::new(&ENGINES, &PLAIN_SERVERS),
            sent: Vec::new(),
            tickets: Vec::new(),
            uses: HashMap::new(),
            ended: HashMap::new(),
        };
        for op in ops {
            let seen = run.bed.actions.len();
            run.step(op);
            for action in &run.bed.actions[seen..] {
                if let Action::StartAttempt(start) = action {
                    // The attempt may have started up to 3 s ago, at an earlier tick of the step.
                    assert!(start.deadline > common::ms(run.bed.now.saturating_sub(3_000)));
                }
            }
        }
        run.bed.advance(30_000);
        for start in run.running() {
            run.end(&start, AttemptEnd::Cancelled);
        }
        check_invariants(&run);
        let drained = run.bed.exited();
        run.bed.event(Event::Shutdown);
        run.bed.advance(40_000);
        assert!(drained || run.bed.exited(), "the shutdown does not end");
    }
}
