//! Write answers of the generation interfaces.

use bytes::Bytes;
use oleanderpass_core::event::Target;
use oleanderpass_types::outcome::Outcome;
use oleanderpass_types::size::Tokens;
use serde_json::Value;
use serde_json::json;
use smol_str::SmolStr;

use crate::caller::answer::AnswerContext;
use crate::caller::prompt::Interface;
use crate::core_loop::Snapshot;

/// The last line of a complete stream.
pub const DONE: &[u8] = b"data: [DONE]\n\n";

/// The form of one answer.
#[derive(Clone, Debug)]
pub struct AnswerForm {
    /// The interface that the caller uses.
    pub interface: Interface,
    /// The id of the answer.
    pub id: String,
    /// The time of the request, in seconds of Unix time.
    pub created: u64,
    /// The model as the caller named it.
    pub model: SmolStr,
    /// Send the usage at the end of a stream.
    pub include_usage: bool,
}

/// The tokens that a request used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// The estimated length of the prompt.
    pub prompt: Tokens,
    /// The generated tokens.
    pub output: Tokens,
    /// The most tokens to generate.
    pub max_output: Tokens,
}

impl Usage {
    fn to_json(self) -> Value {
        json!({
            "prompt_tokens": self.prompt,
            "completion_tokens": self.output,
            "total_tokens": self.prompt + self.output,
        })
    }

    fn finish_reason(self) -> &'static str {
        if self.output >= self.max_output {
            "length"
        } else {
            "stop"
        }
    }
}

impl AnswerForm {
    /// Write the event of one token.
    pub fn token(&self, text: &str, is_first: bool) -> Bytes {
        let mut delta = json!({ "content": text });
        if is_first {
            delta["role"] = "assistant".into();
        }
        self.event(&self.chunk(delta, text, Value::Null))
    }

    /// Write the last events of a complete stream.
    pub fn end(&self, usage: Usage, context: &AnswerContext) -> Bytes {
        let mut last = self.chunk(json!({}), "", usage.finish_reason().into());
        if self.include_usage {
            last["usage"] = usage.to_json();
        }
        last["oleanderpass"] = outcome_json(Outcome::Completed, context);
        let mut buf = self.event(&last).to_vec();
        buf.extend_from_slice(DONE);
        buf.into()
    }

    /// Write a whole answer.
    pub fn whole(&self, text: &str, usage: Usage, context: &AnswerContext) -> Bytes {
        let reason = usage.finish_reason();
        let (object, choice) = match self.interface {
            Interface::Chat => (
                "chat.completion",
                json!({
                    "index": 0,
                    "message": { "role": "assistant", "content": text },
                    "finish_reason": reason,
                }),
            ),
            Interface::Completion => (
                "text_completion",
                json!({ "index": 0, "text": text, "logprobs": null, "finish_reason": reason }),
            ),
        };
        let body = json!({
            "id": self.id,
            "object": object,
            "created": self.created,
            "model": self.model.as_str(),
            "choices": [choice],
            "usage": usage.to_json(),
            "oleanderpass": outcome_json(Outcome::Completed, context),
        });
        body.to_string().into()
    }

    fn chunk(&self, delta: Value, text: &str, reason: Value) -> Value {
        let (object, choice) = match self.interface {
            Interface::Chat => (
                "chat.completion.chunk",
                json!({ "index": 0, "delta": delta, "finish_reason": reason }),
            ),
            Interface::Completion => (
                "text_completion",
                json!({ "index": 0, "text": text, "logprobs": null, "finish_reason": reason }),
            ),
        };
        json!({
            "id": self.id,
            "object": object,
            "created": self.created,
            "model": self.model.as_str(),
            "choices": [choice],
        })
    }

    fn event(&self, value: &Value) -> Bytes {
        format!("data: {value}\n\n").into()
    }
}

fn outcome_json(outcome: Outcome, context: &AnswerContext) -> Value {
    json!({
        "outcome": outcome,
        "request_id": context.req.to_string(),
        "generation": context.generation,
    })
}

/// Write the list of models that an organisation may use.
pub fn model_list(snapshot: &Snapshot, key: &oleanderpass_types::id::Digest) -> Option<Bytes> {
    let document = snapshot.document.as_ref()?;
    let (organisation, _) = document.callers.get(key)?;
    let allowed = &document.organisations.get(organisation)?.models;
    let mut data = Vec::new();
    for (id, model) in &document.models {
        if !allowed.contains(id) {
            continue;
        }
        let entry = |id: String| json!({ "id": id, "object": "model", "owned_by": "oleanderpass" });
        data.push(entry(id.to_string()));
        data.extend(
            model
                .adapters
                .keys()
                .map(|adapter| entry(format!("{id}:{adapter}"))),
        );
    }
    Some(json!({ "object": "list", "data": data }).to_string().into())
}

/// Return the name of a target, for logs.
pub fn target_name(target: &Target) -> &str {
    match target {
        Target::Model { model, .. } => model.as_str(),
        Target::Route(route) => route.as_str(),
    }
}
