//! Check a history against the requirements of design section 1.1.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::Digest;
use oleanderpass_types::id::Generation;
use oleanderpass_types::outcome::Outcome;

use crate::record::CallNumber;
use crate::record::History;
use crate::record::Impairment;
use crate::record::InstanceProcess;
use crate::record::OperationNumber;
use crate::record::Record;

/// How long after its deadline a call may end: one tick of 100 ms, and the network delays to the
/// caller and between a forwarding instance and the ticket's owner.
pub const ANSWER_SLACK: Millis = Millis::new(200);

/// How long after it was told to leave a server may receive new requests. Source: requirement R6.
pub const LEAVING_LIMIT: Millis = Millis::from_secs(3);

/// The time within which an accepted document must be in force at every instance. Source:
/// requirement R8.
pub const PROMOTION_LIMIT: Millis = Millis::from_secs(8);

/// A requirement of design section 1.1.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display, strum::EnumIter,
)]
pub enum Requirement {
    /// Every request ends in time.
    R1,
    /// All engine memory is freed again.
    R2,
    /// Each caller receives the whole answer to its own request, and no text of another answer.
    R3,
    /// A request whose outcome is "not run" didn't run and won't.
    R4,
    /// A non-idempotent request runs at most once.
    R5,
    /// A leaving backend server receives no new requests.
    R6,
    /// A planned stop of an instance interrupts no call.
    R7,
    /// A promoted document comes into force at every instance and is never reverted.
    R8,
}

/// A violation of a requirement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The requirement that is violated.
    pub requirement: Requirement,
    /// The time of the record that shows the violation, or of the limit that was missed.
    pub at: Timestamp,
    /// What happened, for the person who reads the report.
    pub cause: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {}: {}", self.requirement, self.at, self.cause)
    }
}

fn violation(requirement: Requirement, at: Timestamp, cause: String) -> Violation {
    Violation {
        requirement,
        at,
        cause,
    }
}

/// Return the violations of all requirements, ordered by requirement.
pub fn check(history: &History) -> Vec<Violation> {
    let checks = [
        check_ended_in_time,
        check_memory_returned,
        check_own_whole_answer,
        check_not_run_is_true,
        check_at_most_once,
        check_no_work_to_leaving,
        check_planned_stop,
        check_promotion,
    ];
    checks.iter().flat_map(|check| check(history)).collect()
}

/// The state of a call at the end of the history.
struct Call<'a> {
    number: CallNumber,
    operation: OperationNumber,
    non_idempotent: bool,
    process: &'a InstanceProcess,
    invoked: Timestamp,
    deadline: Timestamp,
    expected: &'a str,
    read: Option<Timestamp>,
    ended: Option<Timestamp>,
    answer: Option<(Timestamp, Outcome, &'a str)>,
    answers: u32,
}

/// Return the calls of a history by number.
fn calls(history: &History) -> BTreeMap<CallNumber, Call<'_>> {
    let mut calls = BTreeMap::new();
    for entry in &history.entries {
        match &entry.record {
            Record::Invoke {
                call,
                operation,
                non_idempotent,
                process,
                deadline,
                expected,
            } => {
                let state = Call {
                    number: *call,
                    operation: *operation,
                    non_idempotent: *non_idempotent,
                    process,
                    invoked: entry.at,
                    deadline: *deadline,
                    expected,
                    read: None,
                    ended: None,
                    answer: None,
                    answers: 0,
                };
                calls.insert(*call, state);
            }
            Record::Answer {
                call,
                outcome,
                text,
                ..
            } => {
                if let Some(state) = calls.get_mut(call) {
                    state.answer = Some((entry.at, *outcome, text));
                    state.answers += 1;
                    state.ended.get_or_insert(entry.at);
                }
            }
            Record::Read { call, deadline } => {
                if let Some(state) = calls.get_mut(call) {
                    state.deadline = *deadline;
                    state.read = Some(entry.at);
                }
            }
            Record::ConnectionLost(call) | Record::CallerGone(call) => {
                if let Some(state) = calls.get_mut(call) {
                    state.ended.get_or_insert(entry.at);
                }
            }
            _ => {}
        }
    }
    calls
}

/// The time spans in which faults hindered each process.
struct FaultSpans<'a>(BTreeMap<&'a InstanceProcess, Vec<FaultSpan<'a>>>);

struct FaultSpan<'a> {
    begin: Timestamp,
    /// The end, or the latest possible time if the fault lasts until the end of the history.
    end: Timestamp,
    impairment: &'a Impairment,
}

impl<'a> FaultSpans<'a> {
    fn from_history(history: &'a History) -> Self {
        let mut spans: BTreeMap<&InstanceProcess, Vec<FaultSpan<'_>>> = BTreeMap::new();
        let not_ended = Timestamp::from_millis(u64::MAX);
        for entry in &history.entries {
            match &entry.record {
                Record::FaultBegins {
                    process,
                    impairment,
                } => spans.entry(process).or_default().push(FaultSpan {
                    begin: entry.at,
                    end: not_ended,
                    impairment,
                }),
                Record::FaultEnds {
                    process,
                    impairment,
                } => {
                    let ended_here = |span: &&mut FaultSpan<'_>| {
                        span.end == not_ended && span.impairment == impairment
                    };
                    let process_spans = spans.entry(process).or_default();
                    if let Some(span) = process_spans.iter_mut().find(ended_here) {
                        span.end = entry.at;
                    }
                }
                _ => {}
            }
        }
        Self(spans)
    }

    /// Return the limit `from + time`, extended for faults: after each relevant impairment that
    /// overlaps the time up to the limit, the process gets the whole `time` again. Pauses are
    /// always relevant.
    fn extended_limit(
        &self,
        process: &InstanceProcess,
        from: Timestamp,
        time: Millis,
        is_relevant: impl Fn(&Impairment) -> bool,
    ) -> Timestamp {
        let mut end = from + time;
        for span in self.0.get(process).into_iter().flatten() {
            let extends = *span.impairment == Impairment::Paused || is_relevant(span.impairment);
            if extends && span.begin <= end && span.end >= from {
                end = end.max(span.end + time);
            }
        }
        end
    }
}

/// R1: every request is read without delay, and its call ends before its deadline, with one answer
/// or with its connection. Only a paused instance may be late.
pub fn check_ended_in_time(history: &History) -> Vec<Violation> {
    let faults = FaultSpans::from_history(history);
    let mut violations = Vec::new();
    for call in calls(history).values() {
        let limit = faults.extended_limit(call.process, call.deadline, ANSWER_SLACK, |_| false);
        let read_limit = faults.extended_limit(call.process, call.invoked, ANSWER_SLACK, |_| false);
        if let Some(at) = call.read.filter(|at| *at > read_limit) {
            let cause = format!("{:?} was read after {read_limit}", call.number);
            violations.push(violation(Requirement::R1, at, cause));
        }
        let late = match call.ended {
            Some(at) => at > limit,
            None => history.end() > limit,
        };
        if late {
            let cause = format!("{:?} ended at {:?}, limit {limit}", call.number, call.ended);
            violations.push(violation(Requirement::R1, limit, cause));
        }
        if call.answers > 1 {
            let cause = format!("{:?} was answered {} times", call.number, call.answers);
            violations.push(violation(Requirement::R1, call.invoked, cause));
        }
    }
    violations
}

/// R2: at the end of the run no hold is left and no backend server uses memory.
pub fn check_memory_returned(history: &History) -> Vec<Violation> {
    let mut holds = BTreeMap::new();
    let mut violations = Vec::new();
    for entry in &history.entries {
        match &entry.record {
            Record::HoldGranted { server, hold } => {
                holds.insert((server, hold), entry.at);
            }
            Record::HoldReleased { server, hold } => {
                holds.remove(&(server, hold));
            }
            Record::ServerCrashed(crashed) => holds.retain(|(server, _), _| *server != crashed),
            Record::MemoryAtEnd {
                server,
                used_tokens,
            } if *used_tokens > 0 => {
                let cause = format!("{server} still uses {used_tokens} tokens");
                violations.push(violation(Requirement::R2, entry.at, cause));
            }
            _ => {}
        }
    }
    violations.extend(holds.into_iter().map(|((server, hold), at)| {
        let cause = format!("{server} still has hold {hold}");
        violation(Requirement::R2, at, cause)
    }));
    violations
}

/// R3: the text of a completed answer is the whole answer to the call's own operation, and the text
/// of any other answer is a prefix of it.
pub fn check_own_whole_answer(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for call in calls(history).values() {
        let Some((at, outcome, text)) = call.answer else {
            continue;
        };
        let is_correct = match outcome {
            Outcome::Completed => text == call.expected,
            _ => call.expected.starts_with(text),
        };
        if !is_correct {
            let cause = format!(
                "{:?} got `{text}` instead of `{}`",
                call.number, call.expected
            );
            violations.push(violation(Requirement::R3, at, cause));
        }
    }
    violations
}

/// R4: no request that arrived at a backend server before the caller got the outcome "not run" is
/// ever started.
///
/// For a non-idempotent operation this covers all of its calls, otherwise only the call itself.
pub fn check_not_run_is_true(history: &History) -> Vec<Violation> {
    let calls = calls(history);
    let mut violations = Vec::new();
    for entry in &history.entries {
        let Record::ExecutionStarted {
            call,
            operation,
            arrived_at,
            ..
        } = &entry.record
        else {
            continue;
        };
        for not_run_call in calls.values() {
            let Some((at, Outcome::NotRun, _)) = not_run_call.answer else {
                continue;
            };
            let is_covered = not_run_call.number == *call
                || (not_run_call.non_idempotent && not_run_call.operation == *operation);
            if is_covered && *arrived_at <= at {
                let cause = format!(
                    "{:?} got the outcome `not run` at {at}, but {call:?} ran {operation:?}",
                    not_run_call.number
                );
                violations.push(violation(Requirement::R4, entry.at, cause));
            }
        }
    }
    violations
}

/// R5: a non-idempotent operation is started at most once.
pub fn check_at_most_once(history: &History) -> Vec<Violation> {
    let non_idempotent: BTreeSet<OperationNumber> = calls(history)
        .values()
        .filter(|call| call.non_idempotent)
        .map(|call| call.operation)
        .collect();
    let mut started = BTreeSet::new();
    let mut violations = Vec::new();
    for entry in &history.entries {
        if let Record::ExecutionStarted { operation, .. } = &entry.record
            && non_idempotent.contains(operation)
            && !started.insert(*operation)
        {
            let cause = format!("{operation:?} ran twice");
            violations.push(violation(Requirement::R5, entry.at, cause));
        }
    }
    violations
}

/// R6: a leaving server receives no new requests after the limit, even from an instance that can't
/// reach the platform or its peers. Only a pause or a cut from this server extends the limit.
pub fn check_no_work_to_leaving(history: &History) -> Vec<Violation> {
    let faults = FaultSpans::from_history(history);
    let mut leaving: BTreeMap<&BackendServerId, Timestamp> = BTreeMap::new();
    let mut violations = Vec::new();
    for entry in &history.entries {
        match &entry.record {
            Record::ServerLeaving(server) => {
                leaving.entry(server).or_insert(entry.at);
            }
            Record::ServerCrashed(server) => {
                leaving.remove(server);
            }
            Record::RequestArrived {
                call,
                server,
                sender,
            } => {
                let Some(since) = leaving.get(server) else {
                    continue;
                };
                let limit = faults.extended_limit(
                    sender,
                    *since,
                    LEAVING_LIMIT,
                    |fault| matches!(fault, Impairment::CutFromServer(id) if id == server),
                );
                if entry.at > limit {
                    let cause = format!(
                        "{server} is leaving since {since} and got {call:?} from {sender:?}"
                    );
                    violations.push(violation(Requirement::R6, entry.at, cause));
                }
            }
            _ => {}
        }
    }
    violations
}

/// R7: an instance that exits after a planned stop has answered all of its calls, except those that
/// ended before.
pub fn check_planned_stop(history: &History) -> Vec<Violation> {
    let calls = calls(history);
    let mut violations = Vec::new();
    for entry in &history.entries {
        let Record::InstanceExited(process) = &entry.record else {
            continue;
        };
        let is_interrupted = |call: &&Call<'_>| {
            let answered = call.answer.is_some_and(|(at, ..)| at <= entry.at);
            let gone = call.ended.is_some_and(|at| at < entry.at);
            call.process == process && call.invoked <= entry.at && !answered && !gone
        };
        for call in calls.values().filter(is_interrupted) {
            let cause = format!(
                "{:?} was interrupted by the planned stop of {process:?}",
                call.number
            );
            violations.push(violation(Requirement::R7, entry.at, cause));
        }
    }
    violations
}

/// R8: the version in force at an instance never goes down, and each accepted version, or a higher
/// one, is in force at every instance within the limit.
///
/// The limit of an instance that starts later counts from its start. After a pause or a cut from
/// peers the instance gets the whole limit again. An outage of the platform doesn't extend it,
/// because peers pass on a document that one of them accepted.
pub fn check_promotion(history: &History) -> Vec<Violation> {
    type Version = (Generation, Digest);
    let faults = FaultSpans::from_history(history);
    let mut violations = Vec::new();
    let mut in_force: BTreeMap<&InstanceProcess, Vec<(Timestamp, Version)>> = BTreeMap::new();
    let mut accepted: BTreeMap<Version, Timestamp> = BTreeMap::new();
    let mut processes: BTreeMap<&InstanceProcess, (Timestamp, Option<Timestamp>)> = BTreeMap::new();
    for entry in &history.entries {
        match &entry.record {
            Record::InstanceStarted(process) => {
                processes.insert(process, (entry.at, None));
            }
            Record::InstanceExited(process)
            | Record::InstanceKilled(process)
            | Record::ShutdownBegins(process) => {
                if let Some(lifetime) = processes.get_mut(process) {
                    lifetime.1.get_or_insert(entry.at);
                }
            }
            Record::InForce {
                process,
                generation,
                digest,
            } => {
                let version = (*generation, *digest);
                let versions = in_force.entry(process).or_default();
                if let Some((_, previous)) =
                    versions.last().filter(|(_, previous)| *previous > version)
                {
                    let cause = format!(
                        "{process:?} reverted from generation {} to {generation}",
                        previous.0
                    );
                    violations.push(violation(Requirement::R8, entry.at, cause));
                }
                versions.push((entry.at, version));
                accepted.entry(version).or_insert(entry.at);
            }
            _ => {}
        }
    }
    for (version, accepted_at) in &accepted {
        for (process, (started, stopped)) in &processes {
            let from = (*accepted_at).max(*started);
            let limit = faults.extended_limit(process, from, PROMOTION_LIMIT, |impairment| {
                *impairment == Impairment::CutFromPeers
            });
            if limit > history.end() || stopped.is_some_and(|at| at <= limit) {
                continue;
            }
            let versions = in_force.get(process).map_or(&[][..], Vec::as_slice);
            if !versions
                .iter()
                .any(|(at, applied)| *at <= limit && applied >= version)
            {
                let cause = format!("generation {} is not in force at {process:?}", version.0);
                violations.push(violation(Requirement::R8, limit, cause));
            }
        }
    }
    violations
}
