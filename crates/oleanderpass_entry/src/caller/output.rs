//! Deliver the answer of one request to the caller or to the peer that forwarded it.

use bytes::Bytes;
use http::Response;
use oleanderpass_proto::peer;
use oleanderpass_types::error::StepError;
use oleanderpass_types::outcome::Outcome;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::caller::answer::AnswerContext;
use crate::caller::answer::CallerBody;
use crate::caller::answer::JSON;

/// The pieces of a stream that wait for a slow caller before its engine stream is paused.
const PIECES: usize = 16;

/// The largest piece of a forwarded answer, in bytes.
const FORWARD_PIECE_BYTES: usize = 64 << 10;

/// A part of an answer that goes to a peer.
pub type ForwardEvent = Result<peer::ForwardEvent, tonic::Status>;

/// The receiver of an answer.
#[derive(Debug)]
pub enum Output {
    /// A caller.
    Caller {
        /// Takes the head of the answer once.
        head: Option<oneshot::Sender<Response<CallerBody>>>,
        /// Takes the pieces of a stream that has begun.
        pieces: Option<mpsc::Sender<Bytes>>,
    },
    /// A peer that forwarded the request.
    Peer(mpsc::Sender<ForwardEvent>),
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct WholeAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: smol_str::SmolStr,
    /// The body.
    pub body: Bytes,
    /// The outcome.
    pub outcome: Outcome,
    /// The error that the body describes.
    pub error: Option<StepError>,
}

impl Output {
    /// Create the output of a caller's request.
    pub fn caller() -> (Self, oneshot::Receiver<Response<CallerBody>>) {
        let (tx, rx) = oneshot::channel();
        let output = Output::Caller {
            head: Some(tx),
            pieces: None,
        };
        (output, rx)
    }

    /// Return whether a part of a stream was sent.
    pub fn has_started(&self) -> bool {
        matches!(self, Output::Caller { head: None, .. })
    }

    /// Send a piece of a stream, after its head. Waits while the caller is slow. A caller that has
    /// gone receives nothing.
    pub async fn send_chunk(&mut self, context: &AnswerContext, bytes: Bytes) {
        let Output::Caller { head, pieces } = self else {
            return;
        };
        if let Some(head) = head.take() {
            let (tx, rx) = mpsc::channel(PIECES);
            let _ = head.send(context.stream(rx));
            *pieces = Some(tx);
        }
        if let Some(tx) = pieces
            && tx.send(bytes).await.is_err()
        {
            *pieces = None;
        }
    }

    /// End a stream.
    pub fn end_stream(&mut self) {
        if let Output::Caller { pieces, .. } = self {
            *pieces = None;
        }
    }

    /// Send a whole answer.
    pub async fn send_whole(&mut self, context: &AnswerContext, answer: WholeAnswer) {
        match self {
            Output::Caller { head, .. } => {
                if let Some(head) = head.take() {
                    let outcome = Some(answer.outcome);
                    let response =
                        context.whole(answer.status, &answer.content_type, answer.body, outcome);
                    let _ = head.send(response);
                }
            }
            Output::Peer(tx) => {
                for event in forward_events(context, answer) {
                    if tx.send(Ok(event)).await.is_err() {
                        return;
                    }
                }
            }
        }
    }
}

impl WholeAnswer {
    /// Describe an error.
    pub fn error(context: &AnswerContext, status: u16, outcome: Outcome, error: StepError) -> Self {
        Self {
            status,
            content_type: JSON.into(),
            body: context.error_json(outcome, &error).into(),
            outcome,
            error: Some(error),
        }
    }
}

/// Split an answer into messages to a peer. The body of an error isn't sent: the forwarding
/// instance describes it with its own request id.
fn forward_events(context: &AnswerContext, answer: WholeAnswer) -> Vec<peer::ForwardEvent> {
    use peer::forward_event::Event;
    let mut events = vec![Event::Head(peer::AnswerHead {
        status: u32::from(answer.status),
        content_type: answer.content_type.to_string(),
        request_id: context.req.to_string(),
    })];
    if answer.error.is_none() {
        let pieces = answer.body.chunks(FORWARD_PIECE_BYTES);
        events.extend(pieces.map(|piece| Event::Data(piece.to_vec())));
    }
    let error = answer.error.as_ref();
    events.push(Event::End(peer::AnswerEnd {
        outcome: answer.outcome.to_string(),
        step: error.map_or_else(String::new, |error| error.step.to_string()),
        peer: error.map_or_else(String::new, |error| error.peer.to_string()),
        cause: error.map_or_else(String::new, |error| error.cause.to_string()),
        generation: context.generation.get(),
    }));
    events
        .into_iter()
        .map(|event| peer::ForwardEvent { event: Some(event) })
        .collect()
}
