//! Check what callers and backend servers saw against the promises.

use std::collections::HashMap;

use oleanderpass_platform_stand_in::backend_server::Arrival;
use oleanderpass_platform_stand_in::backend_server::PROOF;
use oleanderpass_platform_stand_in::caller::Answer;
use oleanderpass_platform_stand_in::caller::Call;

/// A call and what its caller saw. `None` if no connection was opened.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) call: Call,
    pub(crate) answer: Option<Answer>,
    pub(crate) elapsed_ms: u64,
}

/// The statuses that promise that a request did not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// The time beyond its own that a caller waits for the end of its answer, in milliseconds.
const END_SLACK_MS: u64 = 1_000;

/// Return the promises that were broken.
pub(crate) fn check(records: &[Record], arrivals: &[Arrival], paused: bool) -> Vec<String> {
    let mut runs: HashMap<&str, u32> = HashMap::new();
    let calls: HashMap<&str, &Call> = records
        .iter()
        .map(|record| (record.call.id.as_str(), &record.call))
        .collect();
    let mut broken = Vec::new();
    for arrival in arrivals {
        let req = &arrival.request;
        let id = req.header("attempt-id");
        *runs.entry(id).or_default() += u32::from(arrival.ran);
        match calls.get(id) {
            None => broken.push(format!("{id}: nobody sent it")),
            Some(call) if call.path != req.path || call.body.as_bytes() != req.body => {
                broken.push(format!("{id}: its path or body was changed"));
            }
            Some(_) if !req.header("authorization").is_empty() => {
                broken.push(format!("{id}: the key was passed on"));
            }
            Some(_) => {}
        }
    }
    for record in records {
        let id = record.call.id.as_str();
        let ran = runs.get(id).copied().unwrap_or(0);
        let once = record.call.path.starts_with("/order/");
        if once && ran > 1 {
            broken.push(format!("{id}: ran {ran} times"));
        }
        if !paused && record.elapsed_ms > record.call.timeout_ms + END_SLACK_MS {
            broken.push(format!("{id}: no end after {} ms", record.elapsed_ms));
        }
        if let Some(answer) = &record.answer {
            check_answer(id, answer, &record.call, once && ran > 0, &mut broken);
        }
    }
    broken
}

fn check_answer(id: &str, answer: &Answer, call: &Call, ran: bool, broken: &mut Vec<String>) {
    if NOT_RUN.contains(&answer.status) && ran {
        broken.push(format!("{id}: told {} although it ran", answer.status));
    }
    if answer.status != 200 {
        return;
    }
    let own = answer.head.contains(&format!("attempt-id: {id}\r\n"))
        || answer.head.ends_with(&format!("attempt-id: {id}"));
    if !own || !answer.head.contains(PROOF) {
        broken.push(format!(
            "{id}: a success without proof or of another request"
        ));
    }
    let expected = if call.tokens.is_some() {
        (0..6)
            .map(|n| format!("id: {n}\ndata: token {n}\n\n"))
            .collect()
    } else {
        "done".to_owned()
    };
    let fits = if answer.complete {
        answer.body == expected
    } else {
        expected.starts_with(&answer.body)
    };
    if !fits {
        broken.push(format!(
            "{id}: wrong body, whole {}: {:?}",
            answer.complete, answer.body
        ));
    }
}
