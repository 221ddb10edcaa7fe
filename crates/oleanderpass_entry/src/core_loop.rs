//! Run the decision core in a stakker actor on a thread of its own and execute its actions.

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

use crate::action_executor::ActionExecutor;
use crate::clock::Clock;
use crate::snapshot::Counts;
use crate::snapshot::Snapshot;

/// The interval between two [`Event::Tick`]s of the core. Source: design section 2.1.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The number of ticks from one update of [`Counts`] to the next, which makes one a second.
const TICKS_PER_COUNT: u64 = 10;

/// The most queued inputs that are handled after the first one before timers run again.
const MAX_INPUT_BATCH: usize = 256;

/// The longest time that the main loop waits for an input.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// A command of the core to the task of one request.
#[derive(Debug)]
pub enum Command {
    /// Run an attempt: send the request to a backend server.
    Start(StartAttempt),
    /// Stop the attempt with this number.
    Cancel(AttemptNumber),
    /// Deliver an answer. The task ends once no attempt runs.
    Answer(Answer),
    /// Forward the request to a peer and relay its answer.
    Forward {
        /// The peer that issued the request's ticket.
        owner: InstanceId,
        /// The owner's address for peers.
        addr: std::net::SocketAddr,
        /// When the request times out.
        deadline: Timestamp,
    },
}

/// A message to the core's thread.
#[derive(Debug)]
pub enum Input {
    /// A new request.
    Open {
        /// The id of the request.
        req: RequestId,
        /// The event that describes the request.
        event: Event,
        /// Sends the core's commands to the request's task.
        task: UnboundedSender<Command>,
    },
    /// The task of a request has ended.
    Close(RequestId),
    /// A gRPC call of a peer.
    Call {
        /// The number under which the core answers the call.
        call: CallId,
        /// The event that describes the call.
        event: Event,
        /// Receives the core's answer.
        reply: CallReply,
    },
    /// Any other event.
    Event(Event),
}

/// The channel for the answer to a call of a peer.
#[derive(Debug)]
pub enum CallReply {
    /// The answer to a fetch of a document.
    Fetch(oneshot::Sender<peer::FetchDocumentResponse>),
    /// The answer to a lease request.
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

    /// Send an event to the core. Once the core has exited, events are dropped.
    pub fn send_event(&self, event: Event) {
        let _ = self.0.send(Input::Event(event));
    }

    /// Report that the task of a request has ended.
    pub fn close_request(&self, req: RequestId) {
        let _ = self.0.send(Input::Close(req));
    }

    /// Report a call of a peer, whose answer goes to `reply`.
    pub fn send_call(&self, call: CallId, event: Event, reply: CallReply) {
        let _ = self.0.send(Input::Call { call, event, reply });
    }

    /// Report a new request and return the receiver of the core's commands for it.
    pub fn open_request(&self, req: RequestId, event: Event) -> UnboundedReceiver<Command> {
        let (task, commands) = tokio::sync::mpsc::unbounded_channel();
        let _ = self.0.send(Input::Open { req, event, task });
        commands
    }
}

/// The stakker actor that owns the decision core.
struct CoreActor {
    instance: Instance,
    clock: Clock,
    request_tasks: HashMap<RequestId, UnboundedSender<Command>>,
    pending_calls: HashMap<CallId, CallReply>,
    snapshot: watch::Sender<Snapshot>,
    executor: ActionExecutor,
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
        executor: ActionExecutor,
    ) -> Option<Self> {
        after!(TICK_INTERVAL, [cx], tick());
        Some(Self {
            instance,
            clock,
            request_tasks: HashMap::new(),
            pending_calls: HashMap::new(),
            snapshot,
            executor,
            actions: Vec::new(),
            ticks: 0,
            counts: Arc::default(),
        })
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK_INTERVAL, [cx], tick());
        self.pending_calls.retain(|_, reply| !reply.is_closed());
        if self.ticks.is_multiple_of(TICKS_PER_COUNT) {
            self.counts = Arc::new(Counts::of(&self.instance, self.clock.now()));
        }
        self.ticks += 1;
        self.handle_event(cx, Event::Tick);
    }

    fn handle_input(&mut self, cx: CX![], input: Input) {
        match input {
            Input::Open { req, event, task } => {
                self.request_tasks.insert(req, task);
                self.handle_event(cx, event);
            }
            Input::Close(req) => {
                self.request_tasks.remove(&req);
            }
            Input::Call { call, event, reply } => {
                self.pending_calls.insert(call, reply);
                self.handle_event(cx, event);
            }
            Input::Event(event) => self.handle_event(cx, event),
        }
    }

    fn handle_event(&mut self, cx: CX![], event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.instance.handle(self.clock.now(), event, &mut actions);
        self.publish_snapshot();
        for action in actions.drain(..) {
            self.execute(cx, action);
        }
        self.actions = actions;
    }

    fn publish_snapshot(&self) {
        self.snapshot.send_if_modified(|published| {
            let changed = !published.is_current(&self.instance, &self.counts);
            if changed {
                *published = Snapshot::of(&self.instance, &self.counts);
            }
            changed
        });
    }

    fn execute(&mut self, cx: CX![], action: Action) {
        match action {
            Action::StartAttempt(params) => {
                let req = params.req.clone();
                self.send_command(&req, Command::Start(params));
            }
            Action::CancelAttempt { req, attempt } => {
                self.send_command(&req, Command::Cancel(attempt))
            }
            Action::Answer { req, answer } => {
                self.send_command(&req, Command::Answer(answer));
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
                self.send_command(&req, forward);
            }
            Action::AnswerFetch { call, answer } => {
                if let Some(CallReply::Fetch(tx)) = self.pending_calls.remove(&call) {
                    let _ = tx.send(*answer);
                }
            }
            Action::AnswerLease { call, leases } => {
                if let Some(CallReply::Lease(tx)) = self.pending_calls.remove(&call) {
                    let _ = tx.send(peer::LeaseQuotaResponse { leases });
                }
            }
            Action::Exit => cx.shutdown(StopCause::Stopped),
            other => self.executor.execute(other),
        }
    }

    fn send_command(&self, req: &RequestId, command: Command) {
        if let Some(task) = self.request_tasks.get(req) {
            // The send fails only when the task has ended, and then it needs no further command.
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
    executor: ActionExecutor,
) {
    let mut stakker = Stakker::new(Instant::now());
    let s = &mut stakker;
    let core = actor!(
        s,
        CoreActor::init(instance, clock, snapshot, executor),
        ret_nop!()
    );
    s.run(Instant::now(), false);
    while s.not_shutdown() {
        let timeout = s.next_wait_max(Instant::now(), MAX_WAIT, false);
        match inputs.recv_timeout(timeout) {
            Ok(input) => {
                call!([core], handle_input(input));
                for input in inputs.try_iter().take(MAX_INPUT_BATCH) {
                    call!([core], handle_input(input));
                }
            }
            Err(mpsc::RecvTimeoutError::Timeout) => {}
            Err(mpsc::RecvTimeoutError::Disconnected) => return,
        }
        s.run(Instant::now(), false);
    }
}
