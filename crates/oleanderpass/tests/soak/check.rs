//! Check what callers and backend servers saw against the guarantees.

use std::collections::HashMap;

use oleanderpass_platform_stand_in::backend_server::Arrival;
use oleanderpass_platform_stand_in::backend_server::PROOF;
use oleanderpass_platform_stand_in::caller::Answer;
use oleanderpass_platform_stand_in::caller::Call;

/// A call and what its caller saw.
#[derive(Clone, Debug)]
pub(crate) struct CallRecord {
    pub(crate) call: Call,
    /// `None` if no connection was opened.
    pub(crate) answer: Option<Answer>,
    pub(crate) elapsed_ms: u64,
}

/// The statuses that guarantee that a request did not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// How long after its own timeout a caller may still wait for the end of its answer.
const END_SLACK_MS: u64 = 1_000;

/// Return a description of each violation. `paused` tells that an instance was paused during the
/// run, so answers may end late.
pub(crate) fn find_violations(
    records: &[CallRecord],
    arrivals: &[Arrival],
    paused: bool,
) -> Vec<String> {
    let mut executions: HashMap<&str, u32> = HashMap::new();
    let calls: HashMap<&str, &Call> = records
        .iter()
        .map(|record| (record.call.id.as_str(), &record.call))
        .collect();
    let mut violations = Vec::new();
    for arrival in arrivals {
        let req = &arrival.request;
        let id = req.header("attempt-id");
        *executions.entry(id).or_default() += u32::from(arrival.ran);
        match calls.get(id) {
            None => violations.push(format!("{id}: no caller sent it")),
            Some(call) if call.path != req.path || call.body.as_bytes() != req.body => {
                violations.push(format!("{id}: its path or body was changed"));
            }
            Some(_) if !req.header("authorization").is_empty() => {
                violations.push(format!("{id}: the API key was forwarded"));
            }
            Some(_) => {}
        }
    }
    for record in records {
        let id = record.call.id.as_str();
        let ran = executions.get(id).copied().unwrap_or(0);
        let non_idempotent = record.call.path.starts_with("/order/");
        if non_idempotent && ran > 1 {
            violations.push(format!("{id}: ran {ran} times"));
        }
        if !paused && record.elapsed_ms > record.call.timeout_ms + END_SLACK_MS {
            violations.push(format!(
                "{id}: the call ended only after {} ms",
                record.elapsed_ms
            ));
        }
        if let Some(answer) = &record.answer {
            check_answer(
                id,
                answer,
                &record.call,
                non_idempotent && ran > 0,
                &mut violations,
            );
        }
    }
    violations
}

/// Check one answer. `ran` tells that a backend server ran the request, which is non-idempotent.
fn check_answer(id: &str, answer: &Answer, call: &Call, ran: bool, violations: &mut Vec<String>) {
    if NOT_RUN_STATUSES.contains(&answer.status) && ran {
        violations.push(format!("{id}: status {} although it ran", answer.status));
    }
    if answer.status != 200 {
        return;
    }
    let is_own_answer = answer.head.contains(&format!("attempt-id: {id}\r\n"))
        || answer.head.ends_with(&format!("attempt-id: {id}"));
    if !is_own_answer || !answer.head.contains(PROOF) {
        violations.push(format!(
            "{id}: a success without a proof or for another request"
        ));
    }
    let expected = if call.tokens.is_some() {
        (0..6)
            .map(|n| format!("id: {n}\ndata: token {n}\n\n"))
            .collect()
    } else {
        "done".to_owned()
    };
    let body_matches = if answer.complete {
        answer.body == expected
    } else {
        expected.starts_with(&answer.body)
    };
    if !body_matches {
        violations.push(format!(
            "{id}: wrong body, complete {}: {:?}",
            answer.complete, answer.body
        ));
    }
}
