//! Answer calls of other entry instances.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use oleanderpass_core::event::CallId;
use oleanderpass_core::event::Event;
use oleanderpass_core::event::NewRequest;
use oleanderpass_core::event::Priority;
use oleanderpass_core::event::Source;
use oleanderpass_core::event::Target;
use oleanderpass_proto::peer;
use oleanderpass_proto::peer::peer_server::Peer;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::id::InstanceId;
use oleanderpass_types::size::Bytes;
use oleanderpass_types::size::Tokens;
use prometheus::IntGauge;
use prost::Message;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio_stream::Stream;
use tonic::Request;
use tonic::Response;
use tonic::Status;

use crate::backend::service::ServiceCall;
use crate::caller::answer::CallerGuard;
use crate::caller::output::ForwardEvent;
use crate::caller::output::Output;
use crate::caller::parse::hash_call;
use crate::clock::unix_ms;
use crate::core_loop::CallReply;
use crate::peer::client::FETCH_DOCUMENT;
use crate::peer::client::FETCH_INSTANCES;
use crate::peer::client::FORWARD;
use crate::peer::client::LEASE_QUOTA;
use crate::peer::proof::ProofChecker;
use crate::request_task::RequestTask;
use crate::request_task::ServiceWork;
use crate::request_task::Work;
use crate::shared::Shared;

/// The most messages of a forwarded answer that wait for the forwarding instance to read them.
const MAX_QUEUED_FORWARD_EVENTS: usize = 4;

/// The timeout of the core's answer to a call.
const CORE_TIMEOUT: Duration = Duration::from_secs(2);

/// The gRPC service that this instance offers to its peers.
#[derive(Debug)]
pub struct PeerService {
    shared: Arc<Shared>,
    checker: Mutex<ProofChecker>,
    last_call_id: AtomicU64,
}

impl PeerService {
    /// Create the service.
    pub fn new(shared: Arc<Shared>, checker: ProofChecker) -> Self {
        Self {
            shared,
            checker: Mutex::new(checker),
            last_call_id: AtomicU64::new(0),
        }
    }

    /// Check the proof of a call and return its sender. Count and log a rejected call.
    fn authenticate(
        &self,
        method: &str,
        proof: Option<&peer::Proof>,
        body: &impl Message,
    ) -> Result<InstanceId, Status> {
        let mut checker = self.checker.lock().unwrap_or_else(PoisonError::into_inner);
        let checked = checker.check(unix_ms(), method, proof, body);
        drop(checker);
        checked.map_err(|error| {
            tracing::warn!(method, %error, "rejected a call of a peer");
            self.shared
                .metrics
                .count_rejected_peer_message(error.to_string());
            Status::unauthenticated(error.to_string())
        })
    }

    fn next_call_id(&self) -> CallId {
        CallId(self.last_call_id.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// Report a call to the core and wait for its answer.
    async fn call_core<T>(
        &self,
        call: CallId,
        event: Event,
        reply: CallReply,
        answer: oneshot::Receiver<T>,
    ) -> Result<Response<T>, Status> {
        self.shared.core.send_call(call, event, reply);
        match tokio::time::timeout(CORE_TIMEOUT, answer).await {
            Ok(Ok(answer)) => Ok(Response::new(answer)),
            Ok(Err(_)) => Err(Status::unavailable("the instance has stopped")),
            Err(_) => Err(Status::deadline_exceeded("the core did not answer")),
        }
    }

    /// Start the request task of a forwarded call and return its answer as a stream.
    fn start_forwarded(
        &self,
        from: InstanceId,
        req: peer::ForwardRequest,
    ) -> Result<ForwardAnswer, Status> {
        let shared = Arc::clone(&self.shared);
        let mut share = shared.budget.empty_share();
        if !share.grow_to(req.body.len()) {
            return Err(Status::resource_exhausted(
                "too many bytes of bodies are held",
            ));
        }
        let id = shared.next_request_id();
        let (request, call) = parse_forward(&id, from, req)?;
        let (guard, caller_gone) = CallerGuard::channel();
        let (tx, events) = mpsc::channel(MAX_QUEUED_FORWARD_EVENTS);
        let commands = shared
            .core
            .open_request(id.clone(), Event::Request(Box::new(request)));
        let task = RequestTask {
            shared,
            req: id,
            commands,
            caller_gone,
            output: Output::Peer(tx),
            work: Work::Service(Box::new(ServiceWork {
                call,
                forward: None,
            })),
            share,
        };
        tokio::spawn(task.run());
        let forwarded = self.shared.metrics.forwarded.clone();
        forwarded.inc();
        Ok(ForwardAnswer {
            events,
            forwarded,
            _guard: guard,
        })
    }
}

fn parse_forward(
    id: &oleanderpass_types::id::RequestId,
    from: InstanceId,
    req: peer::ForwardRequest,
) -> Result<(NewRequest, ServiceCall), Status> {
    let invalid =
        |error: oleanderpass_types::id::InvalidId| Status::invalid_argument(error.to_string());
    let source = Source::Peer {
        instance: from,
        organisation: req.organisation.parse().map_err(invalid)?,
        caller: req.caller.parse().map_err(invalid)?,
    };
    let route = req.route.parse().map_err(invalid)?;
    let call = ServiceCall {
        method: req
            .method
            .parse()
            .map_err(|_| Status::invalid_argument("invalid method"))?,
        path: req.path.into(),
        content_type: req.content_type.into(),
        body: req.body.into(),
        record_answer: true,
    };
    let priority = if req.batch {
        Priority::Batch
    } else {
        Priority::Interactive
    };
    let request = NewRequest {
        id: id.clone(),
        source,
        target: Target::Route(route),
        ticket: Some(req.ticket.into()),
        timeout: Some(Millis::new(req.timeout_ms)),
        priority,
        idempotent: None,
        prompt: Tokens::estimate(Bytes::new(call.body.len() as u64)),
        max_output: Tokens::ZERO,
        prefixes: Vec::new(),
        body_hash: hash_call(&call),
    };
    Ok((request, call))
}

/// The answer to a forwarded call, as a stream of messages. The request task learns from its drop
/// that the forwarding peer has gone.
#[derive(Debug)]
pub struct ForwardAnswer {
    events: mpsc::Receiver<ForwardEvent>,
    forwarded: IntGauge,
    _guard: CallerGuard,
}

impl Drop for ForwardAnswer {
    fn drop(&mut self) {
        self.forwarded.dec();
    }
}

impl Stream for ForwardAnswer {
    type Item = ForwardEvent;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<ForwardEvent>> {
        self.events.poll_recv(cx)
    }
}

#[tonic::async_trait]
impl Peer for PeerService {
    type ForwardStream = ForwardAnswer;

    async fn forward(
        &self,
        req: Request<peer::ForwardRequest>,
    ) -> Result<Response<Self::ForwardStream>, Status> {
        let mut req = req.into_inner();
        let proof = req.proof.take();
        let from = self.authenticate(FORWARD, proof.as_ref(), &req)?;
        self.start_forwarded(from, req).map(Response::new)
    }

    async fn fetch_document(
        &self,
        req: Request<peer::FetchDocumentRequest>,
    ) -> Result<Response<peer::FetchDocumentResponse>, Status> {
        let mut query = req.into_inner();
        let proof = query.proof.take();
        self.authenticate(FETCH_DOCUMENT, proof.as_ref(), &query)?;
        let (tx, rx) = oneshot::channel();
        let call = self.next_call_id();
        let query = Arc::new(query);
        let event = Event::FetchDocumentCall { call, query };
        self.call_core(call, event, CallReply::Fetch(tx), rx).await
    }

    async fn fetch_instances(
        &self,
        req: Request<peer::FetchInstancesRequest>,
    ) -> Result<Response<peer::FetchInstancesResponse>, Status> {
        let mut query = req.into_inner();
        let proof = query.proof.take();
        self.authenticate(FETCH_INSTANCES, proof.as_ref(), &query)?;
        let text = self.shared.instance_list.borrow().clone();
        let list = text.map_or_else(Vec::new, |text| text.as_bytes().to_vec());
        Ok(Response::new(peer::FetchInstancesResponse { list }))
    }

    async fn lease_quota(
        &self,
        req: Request<peer::LeaseQuotaRequest>,
    ) -> Result<Response<peer::LeaseQuotaResponse>, Status> {
        let mut request = req.into_inner();
        let proof = request.proof.take();
        let from = self.authenticate(LEASE_QUOTA, proof.as_ref(), &request)?;
        let (tx, rx) = oneshot::channel();
        let call = self.next_call_id();
        let event = Event::LeaseQuotaCall {
            call,
            from,
            demands: request.demands,
        };
        self.call_core(call, event, CallReply::Lease(tx), rx).await
    }
}
