//! Deliver the core's answer to a request.

use std::sync::Arc;

use bytes::Bytes;
use oleanderpass_core::action::Answer;
use oleanderpass_core::event::RecordedAnswer;
use oleanderpass_types::error::Party;
use oleanderpass_types::error::Step;
use oleanderpass_types::error::StepError;
use oleanderpass_types::id::Generation;
use oleanderpass_types::id::RequestId;
use oleanderpass_types::outcome::Outcome;
use serde_json::json;

use crate::backend::service::ServiceAnswer;
use crate::caller::answer::AnswerContext;
use crate::caller::answer::JSON;
use crate::caller::openai::Usage;
use crate::caller::output::Output;
use crate::caller::output::WholeAnswer;
use crate::generation_sink::GenerationWork;
use crate::shared::Shared;

/// The answer of a completed attempt, kept until the core commands its delivery.
#[derive(Debug)]
pub enum AttemptAnswer {
    /// A plain service's answer.
    Service(ServiceAnswer),
    /// The token usage of a generation. Its text is already streamed to the caller, or collected in
    /// [`GenerationWork::text`].
    Generation(Usage),
}

/// The delivery of the answer to one request.
#[derive(Debug)]
pub struct Delivery {
    /// The state that all tasks of the process share.
    pub shared: Arc<Shared>,
    /// The request.
    pub req: RequestId,
    /// Where the answer goes: to the caller or to the peer that forwarded the request.
    pub output: Output,
    /// The answer of the completed attempt; `None` before an attempt completes and after delivery.
    pub attempt_answer: Option<AttemptAnswer>,
    /// Whether an answer was delivered, or its delivery has begun.
    pub answered: bool,
}

impl Delivery {
    /// Return the request id and the document's generation, which every answer carries.
    pub fn context(&self, generation: Generation) -> AnswerContext {
        AnswerContext {
            req: self.req.clone(),
            generation,
        }
    }

    /// Deliver an answer of the core. Calls after the first one do nothing.
    pub async fn deliver(&mut self, work: Option<&GenerationWork>, answer: Answer) {
        if std::mem::replace(&mut self.answered, true) {
            return;
        }
        match answer {
            Answer::Ticket {
                ticket,
                valid_for,
                generation,
            } => {
                let body = json!({ "ticket": ticket.as_str(), "valid_for_ms": valid_for.get() });
                let answer = WholeAnswer {
                    status: 201,
                    content_type: JSON.into(),
                    body: body.to_string().into(),
                    outcome: Outcome::Completed,
                    error: None,
                };
                self.output
                    .send_whole(&self.context(generation), answer)
                    .await;
            }
            Answer::End {
                outcome,
                status,
                error,
                generation,
            } => {
                self.shared.metrics.count_outcome(outcome);
                let context = self.context(generation);
                match error {
                    None => self.deliver_completed(work, &context, outcome).await,
                    Some(error) => self.deliver_error(&context, status, outcome, error).await,
                }
            }
            Answer::Recorded {
                answer,
                outcome,
                generation,
            } => {
                let context = self.context(generation);
                let answer = recorded_answer(&context, answer.as_deref(), outcome);
                self.output.send_whole(&context, answer).await;
            }
        }
    }

    async fn deliver_completed(
        &mut self,
        work: Option<&GenerationWork>,
        context: &AnswerContext,
        outcome: Outcome,
    ) {
        match (self.attempt_answer.take(), work) {
            (Some(AttemptAnswer::Service(answer)), _) => {
                let answer = WholeAnswer {
                    status: answer.status,
                    content_type: answer.content_type,
                    body: answer.body,
                    outcome,
                    error: None,
                };
                self.output.send_whole(context, answer).await;
            }
            (Some(AttemptAnswer::Generation(usage)), Some(work)) if work.prompt.stream => {
                let end = work.format.final_events(usage, context);
                self.output.send_chunk(context, end).await;
                self.output.end_stream();
            }
            (Some(AttemptAnswer::Generation(usage)), Some(work)) => {
                let answer = WholeAnswer {
                    status: 200,
                    content_type: JSON.into(),
                    body: work.format.whole_answer(&work.text, usage, context),
                    outcome,
                    error: None,
                };
                self.output.send_whole(context, answer).await;
            }
            _ => {
                let cause = "the answer is missing";
                let error = StepError::new(Step::Stream, Party::Local, cause);
                self.deliver_error(context, 500, Outcome::Unknown, error)
                    .await;
            }
        }
    }

    async fn deliver_error(
        &mut self,
        context: &AnswerContext,
        status: u16,
        outcome: Outcome,
        error: StepError,
    ) {
        if self.output.has_started() {
            let json = context.error_json(outcome, &error);
            let mut event = b"data: ".to_vec();
            event.extend_from_slice(&json);
            event.extend_from_slice(b"\n\n");
            self.output.send_chunk(context, Bytes::from(event)).await;
            self.output.end_stream();
        } else {
            let answer = WholeAnswer::error(context, status, outcome, error);
            self.output.send_whole(context, answer).await;
        }
    }
}

/// Build the answer to a repeated use of a ticket from the record of its first use.
fn recorded_answer(
    context: &AnswerContext,
    answer: Option<&RecordedAnswer>,
    outcome: Outcome,
) -> WholeAnswer {
    match answer {
        Some(answer) => WholeAnswer {
            status: answer.status,
            content_type: answer.content_type.clone(),
            body: answer.body.clone().into(),
            outcome,
            error: None,
        },
        None if outcome == Outcome::Completed => WholeAnswer {
            status: 200,
            content_type: JSON.into(),
            body: json!({ "outcome": outcome, "answer_held": false })
                .to_string()
                .into(),
            outcome,
            error: None,
        },
        None => {
            let cause = "the ticket's first use ended with this outcome";
            let error = StepError::new(Step::Ticket, Party::Local, cause);
            WholeAnswer::error(context, 409, outcome, error)
        }
    }
}
