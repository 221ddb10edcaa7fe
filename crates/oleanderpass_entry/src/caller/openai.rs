//! Encode answers in the format of the OpenAI API.

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

/// The event that ends a complete stream.
pub const DONE: &[u8] = b"data: [DONE]\n\n";

/// The role of generated messages.
const ASSISTANT_ROLE: &str = "assistant";

/// The initial capacity of the buffer for an event, in bytes. Most events fit without a
/// reallocation.
const EVENT_CAPACITY_BYTES: usize = 256;

/// The format of one answer and the fields that stay the same throughout it.
#[derive(Clone, Debug)]
pub struct AnswerFormat {
    /// The interface that the caller uses.
    pub interface: Interface,
    /// The id of the answer: `gen-` and the request id.
    pub id: String,
    /// The time at which the request was parsed, in seconds of Unix time.
    pub created: u64,
    /// The model as the caller named it, with its adapter if it has one.
    pub model: SmolStr,
    /// Whether the last event of a stream carries the usage. Whole answers always do.
    pub include_usage: bool,
}

/// The token counts of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// The estimated length of the prompt.
    pub prompt: Tokens,
    /// The number of generated tokens.
    pub output: Tokens,
    /// The limit for generated tokens; reaching it makes the finish reason `length`.
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

/// The usage as callers receive it.
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

/// The fields that the instance adds to the OpenAI format.
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

/// The generated text, in the field where the interface has it.
#[derive(Serialize)]
#[serde(untagged)]
enum Content<'a> {
    Message { message: ChatMessage<'a> },
    Delta { delta: ChatMessage<'a> },
    Completion { text: &'a str, logprobs: () },
}

/// A message of a chat, or the part of it that one event of a stream adds.
#[derive(Default, Serialize)]
struct ChatMessage<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

impl AnswerFormat {
    /// Encode the event of one token. In a chat the first one carries the role.
    pub fn token_event(&self, text: &str, is_first: bool) -> Bytes {
        let delta = ChatMessage {
            role: is_first.then_some(ASSISTANT_ROLE),
            content: Some(text),
        };
        encode_event(&self.chunk(delta, text, None)).into()
    }

    /// Encode the last events of a complete stream: finish reason, usage, outcome and `[DONE]`.
    pub fn final_events(&self, usage: Usage, context: &AnswerContext) -> Bytes {
        let mut last = self.chunk(ChatMessage::default(), "", Some(usage.finish_reason()));
        last.usage = self.include_usage.then(|| usage.into());
        last.oleanderpass = Some(OutcomeFields::completed(context));
        let mut buf = encode_event(&last);
        buf.extend_from_slice(DONE);
        buf.into()
    }

    /// Encode the body of an answer that is not streamed.
    pub fn whole_answer(&self, text: &str, usage: Usage, context: &AnswerContext) -> Bytes {
        let (object, content) = match self.interface {
            Interface::Chat => {
                let message = ChatMessage {
                    role: Some(ASSISTANT_ROLE),
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
        delta: ChatMessage<'a>,
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

fn encode_event(fields: &AnswerFields<'_>) -> Vec<u8> {
    let mut buf = Vec::with_capacity(EVENT_CAPACITY_BYTES);
    buf.extend_from_slice(b"data: ");
    // Serializing plain fields into a `Vec` can't fail.
    let _ = serde_json::to_writer(&mut buf, fields);
    buf.extend_from_slice(b"\n\n");
    buf
}

/// Encode the list of models, with their adapters, that the API key's organisation may use. Return
/// `None` when no document is in force or the document has no such key.
pub fn model_list(snapshot: &Snapshot, key_digest: &Digest) -> Option<Bytes> {
    let document = snapshot.document.as_ref()?;
    let (organisation, _) = document.callers.get(key_digest)?;
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
