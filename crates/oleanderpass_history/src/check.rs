//! Check a history against each requirement of design section 1.1.

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
use crate::record::Life;
use crate::record::Operation;
use crate::record::Record;

/// The time after its deadline in which a call must have its answer: one tick of 100 ms, and the
/// ways to the caller and over a forwarding hop.
pub const ANSWER_SLACK: Millis = Millis::new(200);

/// The time after which a leaving server receives no new work. Source: requirement R6.
pub const LEAVING_LIMIT: Millis = Millis::from_secs(3);

/// The time in which an accepted generation is in force everywhere. Source: requirement R8.
pub const PROMOTION_LIMIT: Millis = Millis::from_secs(8);

/// A requirement of design section 1.1.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display, strum::EnumIter,
)]
pub enum Requirement {
    /// Every request ends in time.
    R1,
    /// Memory returns.
    R2,
    /// Each caller receives its own whole answer.
    R3,
    /// "Not run" is true.
    R4,
    /// A non-idempotent request runs at most once.
    R5,
    /// A leaving server receives no new work.
    R6,
    /// A planned stop interrupts nothing.
    R7,
    /// A promoted configuration is in force everywhere and never reverts.
    R8,
}

/// A broken requirement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The requirement.
    pub requirement: Requirement,
    /// The time of the violation.
    pub at: Timestamp,
    /// What is wrong.
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

/// Check a history against all requirements.
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

/// A call as its records show it.
struct Call<'a> {
    number: CallNumber,
    operation: Operation,
    once: bool,
    at: &'a Life,
    invoked: Timestamp,
    deadline: Timestamp,
    expected: &'a str,
    read: Option<Timestamp>,
    ended: Option<Timestamp>,
    answer: Option<(Timestamp, Outcome, &'a str)>,
    answers: u32,
}

fn calls(history: &History) -> BTreeMap<CallNumber, Call<'_>> {
    let mut calls = BTreeMap::new();
    for entry in &history.entries {
        match &entry.record {
            Record::Invoke {
                call,
                operation,
                once,
                at,
                deadline,
                expected,
            } => {
                let state = Call {
                    number: *call,
                    operation: *operation,
                    once: *once,
                    at,
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

/// The times in which a fault kept each instance from acting.
struct Faults<'a>(BTreeMap<&'a Life, Vec<Span<'a>>>);

struct Span<'a> {
    begin: Timestamp,
    end: Timestamp,
    impairment: &'a Impairment,
}

impl<'a> Faults<'a> {
    fn of(history: &'a History) -> Self {
        let mut spans: BTreeMap<&Life, Vec<Span<'_>>> = BTreeMap::new();
        let open = Timestamp::from_millis(u64::MAX);
        for entry in &history.entries {
            match &entry.record {
                Record::FaultBegins { at, impairment } => spans.entry(at).or_default().push(Span {
                    begin: entry.at,
                    end: open,
                    impairment,
                }),
                Record::FaultEnds { at, impairment } => {
                    let ends =
                        |span: &&mut Span<'_>| span.end == open && span.impairment == impairment;
                    let list = spans.entry(at).or_default();
                    if let Some(span) = list.iter_mut().find(ends) {
                        span.end = entry.at;
                    }
                }
                _ => {}
            }
        }
        Self(spans)
    }

    /// Return the end of `from + time` when the time of impairments that count isn't reckoned and
    /// the instance needs the whole `time` after each of them. Pauses always count.
    fn extend(
        &self,
        life: &Life,
        from: Timestamp,
        time: Millis,
        counts: impl Fn(&Impairment) -> bool,
    ) -> Timestamp {
        let mut end = from + time;
        for span in self.0.get(life).into_iter().flatten() {
            let counted = *span.impairment == Impairment::Paused || counts(span.impairment);
            if counted && span.begin <= end && span.end >= from {
                end = end.max(span.end + time);
            }
        }
        end
    }
}

/// R1: every call is read without delay and ends, with an answer or with its connection, before its
/// deadline. Only a paused instance may read late.
pub fn check_ended_in_time(history: &History) -> Vec<Violation> {
    let faults = Faults::of(history);
    let mut found = Vec::new();
    for call in calls(history).values() {
        let limit = faults.extend(call.at, call.deadline, ANSWER_SLACK, |_| false);
        let read_limit = faults.extend(call.at, call.invoked, ANSWER_SLACK, |_| false);
        if let Some(at) = call.read.filter(|at| *at > read_limit) {
            let cause = format!("{:?} was read late", call.number);
            found.push(violation(Requirement::R1, at, cause));
        }
        let late = match call.ended {
            Some(at) => at > limit,
            None => history.end() > limit,
        };
        if late {
            let cause = format!("{:?} ended at {:?}, limit {limit}", call.number, call.ended);
            found.push(violation(Requirement::R1, limit, cause));
        }
        if call.answers > 1 {
            let cause = format!("{:?} was answered {} times", call.number, call.answers);
            found.push(violation(Requirement::R1, call.invoked, cause));
        }
    }
    found
}

/// R2: at the end of the run no hold and no other memory is left.
pub fn check_memory_returned(history: &History) -> Vec<Violation> {
    let mut held = BTreeMap::new();
    let mut found = Vec::new();
    for entry in &history.entries {
        match &entry.record {
            Record::HoldTaken { server, hold } => {
                held.insert((server, hold), entry.at);
            }
            Record::HoldReleased { server, hold } => {
                held.remove(&(server, hold));
            }
            Record::ServerCrashed(crashed) => held.retain(|(server, _), _| *server != crashed),
            Record::MemoryAtEnd { server, used } if *used > 0 => {
                let cause = format!("{server} still uses {used} tokens");
                found.push(violation(Requirement::R2, entry.at, cause));
            }
            _ => {}
        }
    }
    found.extend(held.into_iter().map(|((server, hold), at)| {
        let cause = format!("{server} still has hold {hold}");
        violation(Requirement::R2, at, cause)
    }));
    found
}

/// R3: a completed answer is the whole answer of its own operation, and no other text is a part of
/// another answer.
pub fn check_own_whole_answer(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    for call in calls(history).values() {
        let Some((at, outcome, text)) = call.answer else {
            continue;
        };
        let right = match outcome {
            Outcome::Completed => text == call.expected,
            _ => call.expected.starts_with(text),
        };
        if !right {
            let cause = format!("{:?} got `{text}`, not `{}`", call.number, call.expected);
            found.push(violation(Requirement::R3, at, cause));
        }
    }
    found
}

/// R4: what a caller is told is "not run" was not started by anything that was sent before.
///
/// For a once-only operation that covers all its calls, for another operation the call itself.
pub fn check_not_run_is_true(history: &History) -> Vec<Violation> {
    let calls = calls(history);
    let mut found = Vec::new();
    for entry in &history.entries {
        let Record::Start {
            call,
            operation,
            dispatched,
            ..
        } = &entry.record
        else {
            continue;
        };
        for told in calls.values() {
            let Some((at, Outcome::NotRun, _)) = told.answer else {
                continue;
            };
            let same = told.number == *call || (told.once && told.operation == *operation);
            if same && *dispatched <= at {
                let cause = format!(
                    "{:?} was told `not run` at {at}, but {call:?} ran {operation:?}",
                    told.number
                );
                found.push(violation(Requirement::R4, entry.at, cause));
            }
        }
    }
    found
}

/// R5: a once-only operation starts at most once.
pub fn check_at_most_once(history: &History) -> Vec<Violation> {
    let once: BTreeSet<Operation> = calls(history)
        .values()
        .filter(|call| call.once)
        .map(|call| call.operation)
        .collect();
    let mut started = BTreeSet::new();
    let mut found = Vec::new();
    for entry in &history.entries {
        if let Record::Start { operation, .. } = &entry.record
            && once.contains(operation)
            && !started.insert(*operation)
        {
            let cause = format!("{operation:?} ran twice");
            found.push(violation(Requirement::R5, entry.at, cause));
        }
    }
    found
}

/// R6: a leaving server receives no work after the limit, whether the platform and the peers can be
/// reached or not. Only a pause, or a cut from this server, extends the limit.
pub fn check_no_work_to_leaving(history: &History) -> Vec<Violation> {
    let faults = Faults::of(history);
    let mut leaving: BTreeMap<&BackendServerId, Timestamp> = BTreeMap::new();
    let mut found = Vec::new();
    for entry in &history.entries {
        match &entry.record {
            Record::ServerLeaving(server) => {
                leaving.entry(server).or_insert(entry.at);
            }
            Record::ServerCrashed(server) => {
                leaving.remove(server);
            }
            Record::Dispatch { call, server, by } => {
                let Some(since) = leaving.get(server) else {
                    continue;
                };
                let limit = faults.extend(
                    by,
                    *since,
                    LEAVING_LIMIT,
                    |held| matches!(held, Impairment::CutFromServer(cut) if cut == server),
                );
                if entry.at > limit {
                    let cause =
                        format!("{server} leaves since {since} and got {call:?} from {by:?}");
                    found.push(violation(Requirement::R6, entry.at, cause));
                }
            }
            _ => {}
        }
    }
    found
}

/// R7: an instance that stops on its own leaves no call without an answer.
pub fn check_planned_stop(history: &History) -> Vec<Violation> {
    let calls = calls(history);
    let mut found = Vec::new();
    for entry in &history.entries {
        let Record::Exit(life) = &entry.record else {
            continue;
        };
        let cut = |call: &&Call<'_>| {
            let answered = call.answer.is_some_and(|(at, ..)| at <= entry.at);
            let gone = call.ended.is_some_and(|at| at < entry.at);
            call.at == life && call.invoked <= entry.at && !answered && !gone
        };
        for call in calls.values().filter(cut) {
            let cause = format!("{:?} was cut by the planned stop of {life:?}", call.number);
            found.push(violation(Requirement::R7, entry.at, cause));
        }
    }
    found
}

/// R8: the version in force at an instance never goes down, and each accepted version, or a higher
/// one, is in force at every instance within the limit.
///
/// An instance counts from its start. A pause or a cut from peers gives it the limit again; an
/// outage of the platform doesn't, because peers hand on what one of them accepted.
pub fn check_promotion(history: &History) -> Vec<Violation> {
    type Version = (Generation, Digest);
    let faults = Faults::of(history);
    let mut found = Vec::new();
    let mut in_force: BTreeMap<&Life, Vec<(Timestamp, Version)>> = BTreeMap::new();
    let mut accepted: BTreeMap<Version, Timestamp> = BTreeMap::new();
    let mut lives: BTreeMap<&Life, (Timestamp, Option<Timestamp>)> = BTreeMap::new();
    for entry in &history.entries {
        match &entry.record {
            Record::Started(life) => {
                lives.insert(life, (entry.at, None));
            }
            Record::Exit(life) | Record::Killed(life) | Record::ShutdownBegins(life) => {
                if let Some(span) = lives.get_mut(life) {
                    span.1.get_or_insert(entry.at);
                }
            }
            Record::InForce {
                at,
                generation,
                digest,
            } => {
                let version = (*generation, *digest);
                let list = in_force.entry(at).or_default();
                if let Some((_, before)) = list.last().filter(|(_, before)| *before > version) {
                    let cause = format!("{at:?} went back from {} to {generation}", before.0);
                    found.push(violation(Requirement::R8, entry.at, cause));
                }
                list.push((entry.at, version));
                accepted.entry(version).or_insert(entry.at);
            }
            _ => {}
        }
    }
    for (version, accepted_at) in &accepted {
        for (life, (started, stopped)) in &lives {
            let from = (*accepted_at).max(*started);
            let limit = faults.extend(life, from, PROMOTION_LIMIT, |held| {
                *held == Impairment::CutFromPeers
            });
            if limit > history.end() || stopped.is_some_and(|at| at <= limit) {
                continue;
            }
            let list = in_force.get(life).map_or(&[][..], Vec::as_slice);
            if !list
                .iter()
                .any(|(at, held)| *at <= limit && held >= version)
            {
                let cause = format!("generation {} is not in force at {life:?}", version.0);
                found.push(violation(Requirement::R8, limit, cause));
            }
        }
    }
    found
}
