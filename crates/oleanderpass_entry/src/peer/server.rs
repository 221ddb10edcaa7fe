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

/// Messages of a forwarded answer that wait for the forwarding instance.
const FORWARD_EVENTS: usize = 4;

/// The time in which the core answers a call.
const CORE_TIMEOUT: Duration = Duration::from_secs(2);

/// The peer service of this instance.
#[derive(Debug)]
pub struct PeerService {
    shared: Arc<Shared>,
    checker: Mutex<ProofChecker>,
    last_call: AtomicU64,
}

impl PeerService {
    /// Create the service.
    pub fn new(shared: Arc<Shared>, checker: ProofChecker) -> Self {
        Self {
            shared,
            checker: Mutex::new(checker),
            last_call: AtomicU64::new(0),
        }
    }

    fn check(
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

    fn draw_call(&self) -> CallId {
        CallId(self.last_call.fetch_add(1, Ordering::Relaxed) + 1)
    }

    async fn ask_core<T>(
        &self,
        call: CallId,
        event: Event,
        reply: CallReply,
        answer: oneshot::Receiver<T>,
    ) -> Result<Response<T>, Status> {
        self.shared.core.call(call, event, reply);
        match tokio::time::timeout(CORE_TIMEOUT, answer).await {
            Ok(Ok(answer)) => Ok(Response::new(answer)),
            Ok(Err(_)) => Err(Status::unavailable("the instance has stopped")),
            Err(_) => Err(Status::deadline_exceeded("the core did not answer")),
        }
    }

    /// Start the request task of a forwarded call.
    fn start(&self, from: InstanceId, req: peer::ForwardRequest) -> Result<ForwardAnswer, Status> {
        let shared = Arc::clone(&self.shared);
        let mut share = shared.budget.empty_share();
        if !share.grow_to(req.body.len()) {
            return Err(Status::resource_exhausted(
                "too many bytes of bodies are held",
            ));
        }
        let id = shared.draw_request_id();
        let (new, call) = parse_forward(&id, from, req)?;
        let (guard, gone) = CallerGuard::channel();
        let (tx, events) = mpsc::channel(FORWARD_EVENTS);
        let commands = shared.core.open(id.clone(), Event::Request(Box::new(new)));
        let task = RequestTask {
            shared,
            req: id,
            commands,
            gone,
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
    let new = NewRequest {
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
    Ok((new, call))
}

/// The answer to a forwarded call.
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
        let from = self.check(FORWARD, proof.as_ref(), &req)?;
        self.start(from, req).map(Response::new)
    }

    async fn fetch_document(
        &self,
        req: Request<peer::FetchDocumentRequest>,
    ) -> Result<Response<peer::FetchDocumentResponse>, Status> {
        let mut query = req.into_inner();
        let proof = query.proof.take();
        self.check(FETCH_DOCUMENT, proof.as_ref(), &query)?;
        let (tx, rx) = oneshot::channel();
        let call = self.draw_call();
        let query = Arc::new(query);
        let event = Event::FetchDocumentCall { call, query };
        self.ask_core(call, event, CallReply::Fetch(tx), rx).await
    }

    async fn fetch_instances(
        &self,
        req: Request<peer::FetchInstancesRequest>,
    ) -> Result<Response<peer::FetchInstancesResponse>, Status> {
        let mut query = req.into_inner();
        let proof = query.proof.take();
        self.check(FETCH_INSTANCES, proof.as_ref(), &query)?;
        let held = self.shared.list.borrow().clone();
        let list = held.map_or_else(Vec::new, |text| text.as_bytes().to_vec());
        Ok(Response::new(peer::FetchInstancesResponse { list }))
    }

    async fn lease_quota(
        &self,
        req: Request<peer::LeaseQuotaRequest>,
    ) -> Result<Response<peer::LeaseQuotaResponse>, Status> {
        let mut lease = req.into_inner();
        let proof = lease.proof.take();
        let from = self.check(LEASE_QUOTA, proof.as_ref(), &lease)?;
        let (tx, rx) = oneshot::channel();
        let call = self.draw_call();
        let event = Event::LeaseQuotaCall {
            call,
            from,
            demands: lease.demands,
        };
        self.ask_core(call, event, CallReply::Lease(tx), rx).await
    }
}
