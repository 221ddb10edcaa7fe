//! Deliver the core's answer to a request.

use std::sync::Arc;

use bytes::Bytes;
use oleanderpass_core::action::Answer;
use oleanderpass_core::event::RecordedAnswer;
use oleanderpass_types::error::Peer;
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

/// The answer of a completed attempt, until the core confirms it.
#[derive(Debug)]
pub enum Finished {
    /// The answer of a plain service.
    Service(ServiceAnswer),
    /// A generation, whose text was streamed or collected.
    Generation(Usage),
}

/// The delivery of one answer.
#[derive(Debug)]
pub struct Delivery {
    /// What the process shares.
    pub shared: Arc<Shared>,
    /// The request.
    pub req: RequestId,
    /// The receiver.
    pub output: Output,
    /// The answer of the completed attempt.
    pub finished: Option<Finished>,
    /// The answer was delivered.
    pub answered: bool,
}

impl Delivery {
    /// Return what every answer carries.
    pub fn context(&self, generation: Generation) -> AnswerContext {
        AnswerContext {
            req: self.req.clone(),
            generation,
        }
    }

    /// Deliver an answer of the core, once.
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
                    None => self.completed(work, &context, outcome).await,
                    Some(error) => self.failed(&context, status, outcome, error).await,
                }
            }
            Answer::Recorded {
                answer,
                outcome,
                generation,
            } => {
                let context = self.context(generation);
                let answer = recorded(&context, answer.as_deref(), outcome);
                self.output.send_whole(&context, answer).await;
            }
        }
    }

    async fn completed(
        &mut self,
        work: Option<&GenerationWork>,
        context: &AnswerContext,
        outcome: Outcome,
    ) {
        match (self.finished.take(), work) {
            (Some(Finished::Service(answer)), _) => {
                let answer = WholeAnswer {
                    status: answer.status,
                    content_type: answer.content_type,
                    body: answer.body,
                    outcome,
                    error: None,
                };
                self.output.send_whole(context, answer).await;
            }
            (Some(Finished::Generation(usage)), Some(work)) if work.prompt.stream => {
                let end = work.form.final_events(usage, context);
                self.output.send_chunk(context, end).await;
                self.output.end_stream();
            }
            (Some(Finished::Generation(usage)), Some(work)) => {
                let answer = WholeAnswer {
                    status: 200,
                    content_type: JSON.into(),
                    body: work.form.whole_answer(&work.text, usage, context),
                    outcome,
                    error: None,
                };
                self.output.send_whole(context, answer).await;
            }
            _ => {
                let cause = "the answer is missing";
                let error = StepError::new(Step::Stream, Peer::Local, cause);
                self.failed(context, 500, Outcome::Unknown, error).await;
            }
        }
    }

    async fn failed(
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

/// Build the answer to a second use of a ticket.
fn recorded(
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
            let error = StepError::new(Step::Ticket, Peer::Local, cause);
            WholeAnswer::error(context, 409, outcome, error)
        }
    }
}
