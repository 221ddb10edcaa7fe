//! Deliver the tokens of a generation and collect what its end needs.

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

/// A generation request.
#[derive(Debug)]
pub struct GenerationWork {
    /// What the instance knows of the prompt.
    pub prompt: Prompt,
    /// The form of the answer.
    pub form: AnswerFormat,
    /// The body as the caller sent it.
    pub body: Bytes,
    /// The text of an answer that isn't streamed.
    pub text: String,
    /// The time of admission.
    pub arrived: Timestamp,
    /// The class of the organisation, for metrics.
    pub class: &'static str,
}

impl GenerationWork {
    /// Return the usage of a complete answer.
    pub fn usage(&self, output: Tokens) -> Usage {
        Usage {
            prompt: self.prompt.tokens,
            output,
            max_output: self.prompt.max_output,
        }
    }
}

/// Deliver the tokens of one attempt.
#[derive(Debug)]
pub struct GenerationSink<'a> {
    shared: Arc<Shared>,
    context: AnswerContext,
    work: &'a mut GenerationWork,
    output: &'a mut Output,
    tokens: u64,
}

impl<'a> GenerationSink<'a> {
    /// Start with an empty answer.
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
            tokens: 0,
        }
    }

    fn record_first_token(&self) {
        let time = self.shared.clock.now().since(self.work.arrived);
        let prompt = self.work.prompt.tokens;
        self.shared
            .metrics
            .observe_ttft(self.work.class, prompt, time);
    }
}

impl TokenSink for GenerationSink<'_> {
    async fn deliver_token(&mut self, text: &str) -> Result<(), SmolStr> {
        let is_first = self.tokens == 0;
        self.tokens += 1;
        if self.work.prompt.stream {
            let piece = self.work.form.token_event(text, is_first);
            self.output.send_chunk(&self.context, piece).await;
        } else if self.work.text.len() + text.len() > MAX_ANSWER_BYTES {
            return Err("the answer is too large".into());
        } else {
            self.work.text.push_str(text);
        }
        if is_first {
            self.record_first_token();
        }
        Ok(())
    }

    fn has_delivered(&self) -> bool {
        self.output.has_started()
    }
}
