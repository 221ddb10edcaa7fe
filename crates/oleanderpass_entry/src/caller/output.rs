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

/// The most chunks of a stream that are buffered for a slow caller. While the buffer is full, the
/// engine's stream is not read.
const MAX_BUFFERED_CHUNKS: usize = 16;

/// The largest chunk of an answer that is sent to a peer, in bytes.
const MAX_FORWARD_CHUNK_BYTES: usize = 64 << 10;

/// A message to the peer that forwarded the request.
pub type ForwardEvent = Result<peer::ForwardEvent, tonic::Status>;

/// The channel through which a request task sends the answer of its request.
#[derive(Debug)]
pub enum Output {
    /// To the caller.
    Caller {
        /// Sends the head of the answer; `None` once it was sent.
        head: Option<oneshot::Sender<Response<CallerBody>>>,
        /// Sends the chunks of a stream; `None` before its first chunk, after its end and when the
        /// caller has disconnected.
        chunks: Option<mpsc::Sender<Bytes>>,
    },
    /// To the peer that forwarded the request.
    Peer(mpsc::Sender<ForwardEvent>),
}

/// An answer that is not streamed.
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
    /// The error that the body describes; `None` for the answer of a backend server and for a
    /// ticket.
    pub error: Option<StepError>,
}

impl Output {
    /// Create the output of a caller's request, and the receiver of the answer.
    pub fn for_caller() -> (Self, oneshot::Receiver<Response<CallerBody>>) {
        let (tx, rx) = oneshot::channel();
        let output = Output::Caller {
            head: Some(tx),
            chunks: None,
        };
        (output, rx)
    }

    /// Return whether an answer to the caller has begun. A peer gets no streams, so this is always
    /// `false` for a peer.
    pub fn has_started(&self) -> bool {
        matches!(self, Output::Caller { head: None, .. })
    }

    /// Send a chunk of a stream, and before the first one the head. Wait while the caller is slow.
    /// If the caller has disconnected, drop the chunk.
    pub async fn send_chunk(&mut self, context: &AnswerContext, bytes: Bytes) {
        let Output::Caller { head, chunks } = self else {
            return;
        };
        if let Some(head) = head.take() {
            let (tx, rx) = mpsc::channel(MAX_BUFFERED_CHUNKS);
            let _ = head.send(context.stream_response(rx));
            *chunks = Some(tx);
        }
        if let Some(tx) = chunks
            && tx.send(bytes).await.is_err()
        {
            *chunks = None;
        }
    }

    /// End a stream.
    pub fn end_stream(&mut self) {
        if let Output::Caller { chunks, .. } = self {
            *chunks = None;
        }
    }

    /// Send an answer that is not streamed.
    pub async fn send_whole(&mut self, context: &AnswerContext, answer: WholeAnswer) {
        match self {
            Output::Caller { head, .. } => {
                if let Some(head) = head.take() {
                    let outcome = Some(answer.outcome);
                    let response = context.whole_response(
                        answer.status,
                        &answer.content_type,
                        answer.body,
                        outcome,
                    );
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
    /// Build the answer that describes an error.
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

/// Split an answer into messages to a peer. The JSON body of an error isn't sent, because the
/// forwarding instance builds its own with its own request id.
fn forward_events(context: &AnswerContext, answer: WholeAnswer) -> Vec<peer::ForwardEvent> {
    use peer::forward_event::Event;
    let mut events = vec![Event::Head(peer::AnswerHead {
        status: u32::from(answer.status),
        content_type: answer.content_type.to_string(),
        request_id: context.req.to_string(),
    })];
    if answer.error.is_none() {
        let chunks = answer.body.chunks(MAX_FORWARD_CHUNK_BYTES);
        events.extend(chunks.map(|chunk| Event::Data(chunk.to_vec())));
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
