//! Forward a call with a ticket to the instance that issued the ticket.

use std::net::SocketAddr;

use bytes::Bytes;
use bytes::BytesMut;
use oleanderpass_core::event::Event;
use oleanderpass_core::event::Priority;
use oleanderpass_proto::peer;
use oleanderpass_proto::peer::forward_event;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::error::Party;
use oleanderpass_types::error::Step;
use oleanderpass_types::error::StepError;
use oleanderpass_types::id::CallerId;
use oleanderpass_types::id::Generation;
use oleanderpass_types::id::InstanceId;
use oleanderpass_types::id::OrganisationId;
use oleanderpass_types::id::RouteId;
use oleanderpass_types::outcome::Outcome;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::backend::service::MAX_ANSWER_BYTES;
use crate::backend::service::ServiceCall;
use crate::caller::answer::AnswerContext;
use crate::caller::output::WholeAnswer;
use crate::peer::client::FORWARD;
use crate::peer::client::describe_status;
use crate::shared::Shared;

/// The HTTP status of the answer to the caller when the owner's status is out of range.
const FALLBACK_STATUS: u16 = 502;

/// The data that a ticket's owner receives besides the call itself.
#[derive(Clone, Debug)]
pub struct ForwardContext {
    /// The ticket.
    pub ticket: SmolStr,
    /// The caller's organisation.
    pub organisation: OrganisationId,
    /// The caller, which this instance has authenticated.
    pub caller: CallerId,
    /// The route of the call.
    pub route: RouteId,
    /// How urgent the request is.
    pub priority: Priority,
}

/// The answer of a ticket's owner to a forwarded call.
#[derive(Clone, Debug)]
pub struct OwnerAnswer {
    owner: InstanceId,
    status: u16,
    content_type: SmolStr,
    body: Bytes,
    outcome: Outcome,
    /// The step that failed, the party at which it failed as the owner names it, and the cause.
    error: Option<(Step, SmolStr, SmolStr)>,
    /// The generation of the document in force at the owner.
    pub generation: Generation,
}

impl OwnerAnswer {
    /// Build the answer to the caller. It has the owner's outcome.
    pub fn into_answer(self, context: &AnswerContext) -> WholeAnswer {
        match self.error {
            None => WholeAnswer {
                status: self.status,
                content_type: self.content_type,
                body: self.body,
                outcome: self.outcome,
                error: None,
            },
            Some((step, party, cause)) => {
                let cause = format_smolstr!("{cause} (at {party})");
                let owner = Party::Instance(self.owner.as_str().into());
                let error = StepError::new(step, owner, cause);
                WholeAnswer::error(context, self.status, self.outcome, error)
            }
        }
    }
}

/// Forward a call and collect the owner's answer.
///
/// # Errors
///
/// Return why the owner gave no complete answer. Whether it ran the call is then unknown.
pub async fn call(
    shared: &Shared,
    owner: &InstanceId,
    addr: SocketAddr,
    deadline: Timestamp,
    call: &ServiceCall,
    forward: &ForwardContext,
) -> Result<OwnerAnswer, SmolStr> {
    let remaining = shared.clock.now().until(deadline);
    let mut req = peer::ForwardRequest {
        proof: None,
        ticket: forward.ticket.to_string(),
        organisation: forward.organisation.to_string(),
        caller: forward.caller.to_string(),
        route: forward.route.to_string(),
        method: call.method.to_string(),
        path: call.path.to_string(),
        content_type: call.content_type.to_string(),
        body: call.body.to_vec(),
        timeout_ms: remaining.get(),
        batch: forward.priority == Priority::Batch,
    };
    req.proof = Some(shared.peers.sign(FORWARD, &req));
    let mut client = shared.peers.client(addr)?;
    let mut stream = match client.forward(req).await {
        Ok(answer) => answer.into_inner(),
        Err(status) => {
            if status.code() == tonic::Code::Unavailable {
                shared
                    .core
                    .send_event(Event::PeerUnreachable(owner.clone()));
            }
            return Err(describe_status(status));
        }
    };
    let mut head = peer::AnswerHead::default();
    let mut body = BytesMut::new();
    while let Some(part) = stream.message().await.map_err(describe_status)? {
        match part.event {
            Some(forward_event::Event::Head(received)) => head = received,
            Some(forward_event::Event::Data(data)) => {
                if body.len() + data.len() > MAX_ANSWER_BYTES {
                    return Err("the answer is too large".into());
                }
                body.extend_from_slice(&data);
            }
            Some(forward_event::Event::End(end)) => {
                return owner_answer(owner, &head, body.freeze(), &end);
            }
            None => {}
        }
    }
    Err("the answer ended before its outcome".into())
}

fn owner_answer(
    owner: &InstanceId,
    head: &peer::AnswerHead,
    body: Bytes,
    end: &peer::AnswerEnd,
) -> Result<OwnerAnswer, SmolStr> {
    let outcome = end
        .outcome
        .parse()
        .map_err(|_| format_smolstr!("unknown outcome `{}`", end.outcome))?;
    let error = (!end.step.is_empty()).then(|| {
        let step = end.step.parse().unwrap_or(Step::Forward);
        (step, end.peer.as_str().into(), end.cause.as_str().into())
    });
    Ok(OwnerAnswer {
        owner: owner.clone(),
        status: u16::try_from(head.status).unwrap_or(FALLBACK_STATUS),
        content_type: head.content_type.as_str().into(),
        body,
        outcome,
        error,
        generation: Generation::new(end.generation),
    })
}
