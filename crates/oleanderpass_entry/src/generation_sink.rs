//! Deliver the tokens of a generation to the caller, or collect them for an answer that isn't
//! streamed.

use std::sync::Arc;

use bytes::Bytes;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::size::Tokens;
use smol_str::SmolStr;

use crate::backend::service::MAX_ANSWER_BYTES;
use crate::backend::stream::TokenSink;
use crate::caller::answer::AnswerContext;
use crate::caller::openai::AnswerFormat;
use crate::caller::openai::Usage;
use crate::caller::output::Output;
use crate::caller::prompt::Prompt;
use crate::shared::Shared;

/// A generation request and the text that was collected for its answer.
#[derive(Debug)]
pub struct GenerationWork {
    /// The parsed prompt.
    pub prompt: Prompt,
    /// The format of the answer.
    pub format: AnswerFormat,
    /// The body as the caller sent it.
    pub body: Bytes,
    /// The text collected for an answer that isn't streamed. Each attempt starts with an empty one.
    pub text: String,
    /// When the request was received and parsed; the time to first token counts from here.
    pub received_at: Timestamp,
    /// The class of the organisation, for metrics.
    pub class: &'static str,
}

impl GenerationWork {
    /// Return the token usage of an answer with `output` tokens.
    pub fn usage(&self, output: Tokens) -> Usage {
        Usage {
            prompt: self.prompt.tokens,
            output,
            max_output: self.prompt.max_output,
        }
    }
}

/// The sink for the tokens of one attempt.
#[derive(Debug)]
pub struct GenerationSink<'a> {
    shared: Arc<Shared>,
    context: AnswerContext,
    work: &'a mut GenerationWork,
    output: &'a mut Output,
    received_tokens: u64,
}

impl<'a> GenerationSink<'a> {
    /// Create a sink for a new attempt and discard the text of an earlier one.
    pub fn new(
        shared: &Arc<Shared>,
        context: AnswerContext,
        work: &'a mut GenerationWork,
        output: &'a mut Output,
    ) -> Self {
        work.text.clear();
        Self {
            shared: Arc::clone(shared),
            context,
            work,
            output,
            received_tokens: 0,
        }
    }

    fn record_time_to_first_token(&self) {
        let time = self.shared.clock.now().since(self.work.received_at);
        let prompt = self.work.prompt.tokens;
        self.shared
            .metrics
            .observe_ttft(self.work.class, prompt, time);
    }
}

impl TokenSink for GenerationSink<'_> {
    async fn deliver_token(&mut self, text: &str) -> Result<(), SmolStr> {
        let is_first = self.received_tokens == 0;
        self.received_tokens += 1;
        if self.work.prompt.stream {
            let chunk = self.work.format.token_event(text, is_first);
            self.output.send_chunk(&self.context, chunk).await;
        } else if self.work.text.len() + text.len() > MAX_ANSWER_BYTES {
            return Err("the answer is too large".into());
        } else {
            self.work.text.push_str(text);
        }
        if is_first {
            self.record_time_to_first_token();
        }
        Ok(())
    }

    fn has_delivered(&self) -> bool {
        self.output.has_started()
    }
}
