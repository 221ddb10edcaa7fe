//! Run the decision core in a stakker actor and pass its actions to the edges.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::mpsc;
use std::time::Duration;
use std::time::Instant;

use oleanderpass_core::action::Action;
use oleanderpass_core::action::Answer;
use oleanderpass_core::action::StartAttempt;
use oleanderpass_core::event::CallId;
use oleanderpass_core::event::Event;
use oleanderpass_core::instance::Instance;
use oleanderpass_proto::peer;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::AttemptNumber;
use oleanderpass_types::id::InstanceId;
use oleanderpass_types::id::RequestId;
use stakker::CX;
use stakker::Stakker;
use stakker::StopCause;
use stakker::actor;
use stakker::after;
use stakker::call;
use stakker::ret_nop;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::edges::Edges;
use crate::snapshot::Counts;
use crate::snapshot::Snapshot;

/// The period of the core's tick. Source: design section 2.1.
const TICK: Duration = Duration::from_millis(100);

/// Ticks between two counts of the core's tables.
const COUNT_TICKS: u64 = 10;

/// Inputs taken before timers run again.
const INPUT_BATCH: usize = 256;

/// The longest sleep of the main loop.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// An order of the core to the task of one request.
#[derive(Debug)]
pub enum Command {
    /// Run an attempt.
    Start(StartAttempt),
    /// Stop an attempt.
    Cancel(AttemptNumber),
    /// Answer the caller and end.
    Answer(Answer),
    /// Forward the request to a peer and relay its answer.
    Forward {
        /// The peer.
        owner: InstanceId,
        /// Its peer address.
        addr: std::net::SocketAddr,
        /// The end of the request's time.
        deadline: Timestamp,
    },
}

/// A message to the core's thread.
#[derive(Debug)]
pub enum Input {
    /// A new request with the channel to its task.
    Open {
        /// The id of the request.
        req: RequestId,
        /// The event that describes the request.
        event: Event,
        /// The channel to its task.
        task: UnboundedSender<Command>,
    },
    /// The task of a request has ended.
    Close(RequestId),
    /// A call of a peer with the channel for its answer.
    Call {
        /// The call.
        call: CallId,
        /// The event that describes the call.
        event: Event,
        /// The channel for its answer.
        reply: CallReply,
    },
    /// An event.
    Event(Event),
}

/// The channel for the answer to a call of a peer.
#[derive(Debug)]
pub enum CallReply {
    /// A document.
    Fetch(oneshot::Sender<peer::FetchDocumentResponse>),
    /// Quota.
    Lease(oneshot::Sender<peer::LeaseQuotaResponse>),
}

impl CallReply {
    fn is_closed(&self) -> bool {
        match self {
            CallReply::Fetch(tx) => tx.is_closed(),
            CallReply::Lease(tx) => tx.is_closed(),
        }
    }
}

/// A channel to the core's thread.
#[derive(Clone, Debug)]
pub struct CoreSender(mpsc::Sender<Input>);

impl CoreSender {
    /// Create the channel.
    pub fn channel() -> (Self, mpsc::Receiver<Input>) {
        let (tx, rx) = mpsc::channel();
        (Self(tx), rx)
    }

    /// Report an event. Once the core has exited, events are dropped.
    pub fn send_event(&self, event: Event) {
        let _ = self.0.send(Input::Event(event));
    }

    /// Report that the task of a request has ended.
    pub fn close(&self, req: RequestId) {
        let _ = self.0.send(Input::Close(req));
    }

    /// Report a call of a peer.
    pub fn call(&self, call: CallId, event: Event, reply: CallReply) {
        let _ = self.0.send(Input::Call { call, event, reply });
    }

    /// Report a new request and return the channel of the core's commands for it.
    pub fn open_request(&self, req: RequestId, event: Event) -> UnboundedReceiver<Command> {
        let (task, commands) = tokio::sync::mpsc::unbounded_channel();
        let _ = self.0.send(Input::Open { req, event, task });
        commands
    }
}

/// The actor that owns the decision core.
struct CoreActor {
    instance: Instance,
    clock: Clock,
    tasks: HashMap<RequestId, UnboundedSender<Command>>,
    calls: HashMap<CallId, CallReply>,
    snapshot: watch::Sender<Snapshot>,
    edges: Edges,
    actions: Vec<Action>,
    ticks: u64,
    counts: Arc<Counts>,
}

impl CoreActor {
    fn init(
        cx: CX![],
        instance: Instance,
        clock: Clock,
        snapshot: watch::Sender<Snapshot>,
        edges: Edges,
    ) -> Option<Self> {
        after!(TICK, [cx], tick());
        Some(Self {
            instance,
            clock,
            tasks: HashMap::new(),
            calls: HashMap::new(),
            snapshot,
            edges,
            actions: Vec::new(),
            ticks: 0,
            counts: Arc::default(),
        })
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        self.calls.retain(|_, reply| !reply.is_closed());
        if self.ticks.is_multiple_of(COUNT_TICKS) {
            self.counts = Arc::new(Counts::of(&self.instance, self.clock.now()));
        }
        self.ticks += 1;
        self.handle(cx, Event::Tick);
    }

    fn input(&mut self, cx: CX![], input: Input) {
        match input {
            Input::Open { req, event, task } => {
                self.tasks.insert(req, task);
                self.handle(cx, event);
            }
            Input::Close(req) => {
                self.tasks.remove(&req);
            }
            Input::Call { call, event, reply } => {
                self.calls.insert(call, reply);
                self.handle(cx, event);
            }
            Input::Event(event) => self.handle(cx, event),
        }
    }

    fn handle(&mut self, cx: CX![], event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.instance.handle(self.clock.now(), event, &mut actions);
        self.publish();
        for action in actions.drain(..) {
            self.perform(cx, action);
        }
        self.actions = actions;
    }

    fn publish(&self) {
        self.snapshot.send_if_modified(|held| {
            let changed = !held.is_current(&self.instance, &self.counts);
            if changed {
                *held = Snapshot::of(&self.instance, &self.counts);
            }
            changed
        });
    }

    fn perform(&mut self, cx: CX![], action: Action) {
        match action {
            Action::StartAttempt(order) => {
                let req = order.req.clone();
                self.command(&req, Command::Start(order));
            }
            Action::CancelAttempt { req, attempt } => self.command(&req, Command::Cancel(attempt)),
            Action::Answer { req, answer } => {
                self.command(&req, Command::Answer(answer));
            }
            Action::Forward {
                req,
                owner,
                addr,
                deadline,
            } => {
                let forward = Command::Forward {
                    owner,
                    addr,
                    deadline,
                };
                self.command(&req, forward);
            }
            Action::AnswerFetch { call, answer } => {
                if let Some(CallReply::Fetch(tx)) = self.calls.remove(&call) {
                    let _ = tx.send(*answer);
                }
            }
            Action::AnswerLease { call, leases } => {
                if let Some(CallReply::Lease(tx)) = self.calls.remove(&call) {
                    let _ = tx.send(peer::LeaseQuotaResponse { leases });
                }
            }
            Action::Exit => cx.shutdown(StopCause::Stopped),
            other => self.edges.perform(other),
        }
    }

    fn command(&self, req: &RequestId, command: Command) {
        if let Some(task) = self.tasks.get(req) {
            // A task that has ended needs no further command.
            let _ = task.send(command);
        }
    }
}

/// Run the core on this thread until it exits.
pub fn run(
    instance: Instance,
    clock: Clock,
    inputs: &mpsc::Receiver<Input>,
    snapshot: watch::Sender<Snapshot>,
    edges: Edges,
) {
    let mut stakker = Stakker::new(Instant::now());
    let s = &mut stakker;
    let core = actor!(
        s,
        CoreActor::init(instance, clock, snapshot, edges),
        ret_nop!()
    );
    s.run(Instant::now(), false);
    while s.not_shutdown() {
        let sleep = s.next_wait_max(Instant::now(), MAX_SLEEP, false);
        match inputs.recv_timeout(sleep) {
            Ok(input) => {
                call!([core], input(input));
                for input in inputs.try_iter().take(INPUT_BATCH) {
                    call!([core], input(input));
                }
            }
            Err(mpsc::RecvTimeoutError::Timeout) => {}
            Err(mpsc::RecvTimeoutError::Disconnected) => return,
        }
        s.run(Instant::now(), false);
    }
}
