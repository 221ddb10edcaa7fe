//! Write answers of the generation interfaces.

use bytes::Bytes;
use oleanderpass_types::id::Digest;
use oleanderpass_types::id::Generation;
use oleanderpass_types::outcome::Outcome;
use oleanderpass_types::size::Tokens;
use serde::Serialize;
use serde_json::json;
use smol_str::SmolStr;

use crate::caller::answer::AnswerContext;
use crate::caller::prompt::Interface;
use crate::snapshot::Snapshot;

/// The last line of a complete stream.
pub const DONE: &[u8] = b"data: [DONE]\n\n";

/// The role of generated messages.
const ASSISTANT: &str = "assistant";

/// The usual length of an event, in bytes, so that its buffer rarely grows.
const EVENT_BYTES: usize = 256;

/// The form of one answer.
#[derive(Clone, Debug)]
pub struct AnswerFormat {
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
    fn finish_reason(self) -> &'static str {
        if self.output >= self.max_output {
            "length"
        } else {
            "stop"
        }
    }
}

/// The usage as callers see it.
#[derive(Serialize)]
struct UsageFields {
    prompt_tokens: Tokens,
    completion_tokens: Tokens,
    total_tokens: Tokens,
}

impl From<Usage> for UsageFields {
    fn from(usage: Usage) -> Self {
        Self {
            prompt_tokens: usage.prompt,
            completion_tokens: usage.output,
            total_tokens: usage.prompt + usage.output,
        }
    }
}

/// What the system adds to an answer.
#[derive(Serialize)]
struct OutcomeFields {
    outcome: Outcome,
    request_id: String,
    generation: Generation,
}

impl OutcomeFields {
    fn completed(context: &AnswerContext) -> Self {
        Self {
            outcome: Outcome::Completed,
            request_id: context.req.to_string(),
            generation: context.generation,
        }
    }
}

#[derive(Serialize)]
struct AnswerFields<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<UsageFields>,
    #[serde(skip_serializing_if = "Option::is_none")]
    oleanderpass: Option<OutcomeFields>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(flatten)]
    content: Content<'a>,
    finish_reason: Option<&'static str>,
}

/// The generated text in the place that the interface gives it.
#[derive(Serialize)]
#[serde(untagged)]
enum Content<'a> {
    Message { message: Text<'a> },
    Delta { delta: Text<'a> },
    Completion { text: &'a str, logprobs: () },
}

#[derive(Default, Serialize)]
struct Text<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

impl AnswerFormat {
    /// Write the event of one token.
    pub fn token_event(&self, text: &str, is_first: bool) -> Bytes {
        let delta = Text {
            role: is_first.then_some(ASSISTANT),
            content: Some(text),
        };
        event(&self.chunk(delta, text, None)).into()
    }

    /// Write the last events of a complete stream.
    pub fn final_events(&self, usage: Usage, context: &AnswerContext) -> Bytes {
        let mut last = self.chunk(Text::default(), "", Some(usage.finish_reason()));
        last.usage = self.include_usage.then(|| usage.into());
        last.oleanderpass = Some(OutcomeFields::completed(context));
        let mut buf = event(&last);
        buf.extend_from_slice(DONE);
        buf.into()
    }

    /// Write a whole answer.
    pub fn whole_answer(&self, text: &str, usage: Usage, context: &AnswerContext) -> Bytes {
        let (object, content) = match self.interface {
            Interface::Chat => {
                let message = Text {
                    role: Some(ASSISTANT),
                    content: Some(text),
                };
                ("chat.completion", Content::Message { message })
            }
            Interface::Completion => ("text_completion", completion(text)),
        };
        let mut fields = self.fields(object, content, Some(usage.finish_reason()));
        fields.usage = Some(usage.into());
        fields.oleanderpass = Some(OutcomeFields::completed(context));
        serde_json::to_vec(&fields).unwrap_or_default().into()
    }

    fn chunk<'a>(
        &'a self,
        delta: Text<'a>,
        text: &'a str,
        finish_reason: Option<&'static str>,
    ) -> AnswerFields<'a> {
        let (object, content) = match self.interface {
            Interface::Chat => ("chat.completion.chunk", Content::Delta { delta }),
            Interface::Completion => ("text_completion", completion(text)),
        };
        self.fields(object, content, finish_reason)
    }

    fn fields<'a>(
        &'a self,
        object: &'static str,
        content: Content<'a>,
        finish_reason: Option<&'static str>,
    ) -> AnswerFields<'a> {
        AnswerFields {
            id: &self.id,
            object,
            created: self.created,
            model: &self.model,
            choices: [Choice {
                index: 0,
                content,
                finish_reason,
            }],
            usage: None,
            oleanderpass: None,
        }
    }
}

fn completion(text: &str) -> Content<'_> {
    Content::Completion { text, logprobs: () }
}

fn event(fields: &AnswerFields<'_>) -> Vec<u8> {
    let mut buf = Vec::with_capacity(EVENT_BYTES);
    buf.extend_from_slice(b"data: ");
    // Writing plain fields to memory can't fail.
    let _ = serde_json::to_writer(&mut buf, fields);
    buf.extend_from_slice(b"\n\n");
    buf
}

/// Write the list of models that an organisation may use.
pub fn model_list(snapshot: &Snapshot, key: &Digest) -> Option<Bytes> {
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
