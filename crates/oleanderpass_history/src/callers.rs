//! The simulated callers and the platform's load balancer.

use oleanderpass_core::event::Event;
use oleanderpass_core::event::NewRequest;
use oleanderpass_core::event::Priority;
use oleanderpass_core::event::Source;
use oleanderpass_core::event::Target;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::Digest;
use oleanderpass_types::id::Generation;
use oleanderpass_types::id::RequestId;
use oleanderpass_types::outcome::Outcome;
use oleanderpass_types::size::Tokens;
use rand::RngExt;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::fault::FaultStep;
use crate::node::Origin;
use crate::record::CallNumber;
use crate::record::OperationNumber;
use crate::record::Record;
use crate::simulation::Simulation;

/// The digest of the API key that all callers use.
pub(crate) const API_KEY_DIGEST: Digest = Digest([1; 32]);

/// How many times a caller resends an operation.
const MAX_RESENDS: u32 = 2;

/// The time for which the load balancer still chooses an instance that is no longer ready. Source:
/// design section 4.10.
const BALANCER_LAG_MS: u64 = 5_000;

/// Work that a caller wants done.
pub(crate) struct Operation {
    /// Whether the work must be done at most once.
    pub(crate) non_idempotent: bool,
    /// The text of each event of the correct answer.
    pub(crate) events: Vec<SmolStr>,
    /// The length of the prompt, in tokens.
    pub(crate) prompt_tokens: u64,
    /// Whether the request crashes each server that runs it.
    pub(crate) crashes_servers: bool,
    pub(crate) timeout_ms: u64,
    /// The ticket that all calls carry, once the caller has received it.
    ticket: Option<SmolStr>,
    resends_left: u32,
    ticket_attempts_left: u32,
    /// Whether a call had the outcome completed.
    completed: bool,
}

/// One call of a caller.
pub(crate) struct Call {
    pub(crate) operation: usize,
    /// The instance that received the call.
    pub(crate) node: usize,
    /// The request's id at that instance.
    pub(crate) req: RequestId,
    /// The simulation time at which the caller's timeout ends, in milliseconds.
    pub(crate) deadline: u64,
    /// Whether the instance has read the request and passed it to its core.
    pub(crate) read: bool,
    pub(crate) ended: bool,
}

impl Simulation {
    /// Start a new operation.
    pub(crate) fn new_operation(&mut self, non_idempotent: bool, crashes_servers: bool) {
        let index = self.operations.len();
        let count = if non_idempotent {
            1
        } else {
            self.rng.random_range(2..9)
        };
        let events = (0..count)
            .map(|n| format_smolstr!("[{index}.{n}]"))
            .collect();
        let is_long = !non_idempotent && !crashes_servers && self.rng.random_bool(0.1);
        self.operations.push(Operation {
            non_idempotent,
            events,
            prompt_tokens: if is_long { 150_000 } else { 500 },
            crashes_servers,
            timeout_ms: self.rng.random_range(4_000..12_000),
            ticket: None,
            resends_left: MAX_RESENDS,
            ticket_attempts_left: 5,
            completed: false,
        });
        if non_idempotent && !self.options.without_tickets {
            self.request_ticket(index);
        } else {
            self.invoke(index);
        }
    }

    /// Choose an instance as the platform's load balancer does: unevenly, and with a lag.
    fn choose_node(&mut self) -> Option<usize> {
        let now = self.now;
        let candidates: Vec<usize> = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| {
                let stopping = node
                    .stopping_since
                    .is_some_and(|at| now > at + BALANCER_LAG_MS);
                node.is_up() && node.in_force.is_some() && !stopping
            })
            .map(|(index, _)| index)
            .collect();
        if candidates.is_empty() {
            return None;
        }
        let max_index = self.rng.random_range(0..candidates.len());
        candidates
            .get(self.rng.random_range(0..=max_index))
            .copied()
    }

    /// Request a ticket from some instance, as long as attempts are left.
    pub(crate) fn request_ticket(&mut self, operation: usize) {
        if self.operations[operation].ticket_attempts_left == 0 {
            return;
        }
        self.operations[operation].ticket_attempts_left -= 1;
        let Some(node) = self.choose_node() else {
            return self.schedule(500, move |sim| sim.request_ticket(operation));
        };
        let start_number = self.nodes[node].start_number;
        self.schedule_at_node(2, node, start_number, move |sim| {
            let req = sim.nodes[node].next_request_id();
            sim.nodes[node]
                .open_requests
                .insert(req.clone(), Origin::Ticket(operation));
            let Ok(route) = "charge".parse() else {
                return;
            };
            let key = API_KEY_DIGEST;
            sim.handle_event(node, Event::IssueTicket { req, key, route });
        });
        // A caller without a ticket after 1 s asks again, perhaps another instance.
        self.schedule(1_000, move |sim| {
            if sim.operations[operation].ticket.is_none() {
                sim.request_ticket(operation);
            }
        });
    }

    /// Store an operation's ticket and send its request later.
    pub(crate) fn receive_ticket(&mut self, operation: usize, ticket: SmolStr, node: usize) {
        if self.operations[operation].ticket.is_some() {
            return;
        }
        self.operations[operation].ticket = Some(ticket);
        let wait = self.rng.random_range(1..1_500);
        self.schedule(wait, move |sim| sim.invoke(operation));
        self.begin_step(FaultStep::Ticket, Some(node), None, None);
    }

    /// Send an operation's request to some instance.
    pub(crate) fn invoke(&mut self, operation: usize) {
        let Some(node) = self.choose_node() else {
            return self.schedule(500, move |sim| sim.invoke(operation));
        };
        let call = CallNumber(self.calls.len() as u64);
        let start_number = self.nodes[node].start_number;
        let req = self.nodes[node].next_request_id();
        let state = &self.operations[operation];
        let deadline = self.now + state.timeout_ms;
        let record = Record::Invoke {
            call,
            operation: OperationNumber(operation as u64),
            non_idempotent: state.non_idempotent,
            process: self.nodes[node].process(),
            deadline: Timestamp::from_millis(deadline),
            expected: state.events.iter().map(SmolStr::as_str).collect(),
        };
        self.record(record);
        self.calls.push(Call {
            operation,
            node,
            req: req.clone(),
            deadline,
            read: false,
            ended: false,
        });
        self.nodes[node]
            .open_requests
            .insert(req.clone(), Origin::Call(call));
        self.nodes[node]
            .request_calls
            .insert(req.clone(), (call, operation));
        let read_delay = self.rng.random_range(2..50);
        self.schedule_at_node(read_delay, node, start_number, move |sim| {
            let timeout = sim.operations[operation].timeout_ms;
            sim.calls[call.0 as usize].deadline = sim.now + timeout;
            sim.calls[call.0 as usize].read = true;
            let deadline = Timestamp::from_millis(sim.now + timeout);
            sim.record(Record::Read { call, deadline });
            let request = sim.build_request(operation, req.clone(), Source::Caller(API_KEY_DIGEST));
            sim.handle_event(node, Event::Request(Box::new(request)));
            let core = sim.nodes[node].core.as_ref();
            let queued = core.is_some_and(|core| core.queued() > 0);
            let has_no_attempt = !sim.nodes[node]
                .tasks
                .values()
                .any(|task| task.stream.req == req);
            if queued && has_no_attempt && !sim.calls[call.0 as usize].ended {
                sim.begin_step(FaultStep::Queue, Some(node), None, Some(call));
            }
        });
        self.begin_step(FaultStep::Read, Some(node), None, Some(call));
    }

    /// Build the core's view of a request for an operation.
    pub(crate) fn build_request(
        &self,
        operation: usize,
        id: RequestId,
        source: Source,
    ) -> NewRequest {
        let state = &self.operations[operation];
        let route = if self.options.without_tickets {
            "book"
        } else {
            "charge"
        };
        let target = match (state.non_idempotent, route.parse(), "saga".parse()) {
            (false, _, Ok(model)) => Target::Model {
                model,
                adapter: None,
            },
            (_, Ok(route), _) => Target::Route(route),
            // The ids above are valid.
            _ => unreachable!("invalid id"),
        };
        NewRequest {
            id,
            source,
            target,
            ticket: state.ticket.clone(),
            timeout: Some(Millis::new(state.timeout_ms)),
            priority: Priority::Interactive,
            idempotent: None,
            prompt: Tokens::new(state.prompt_tokens),
            max_output: Tokens::new(10),
            prefixes: Vec::new(),
            body_hash: operation as u64,
        }
    }

    /// Deliver the answer to the caller, which resends the operation later unless it is completed.
    pub(crate) fn end_call(
        &mut self,
        call: CallNumber,
        outcome: Outcome,
        text: String,
        generation: Generation,
    ) {
        let state = &mut self.calls[call.0 as usize];
        if state.ended {
            return;
        }
        state.ended = true;
        let operation = state.operation;
        self.record(Record::Answer {
            call,
            outcome,
            text: text.into(),
            generation,
        });
        if outcome == Outcome::Completed {
            self.operations[operation].completed = true;
        } else {
            self.resend_later(operation);
        }
    }

    /// End a call whose instance was killed or exited, and resend its operation later.
    pub(crate) fn end_lost_call(&mut self, call: CallNumber) {
        let state = &mut self.calls[call.0 as usize];
        if !std::mem::replace(&mut state.ended, true) {
            let operation = state.operation;
            self.record(Record::ConnectionLost(call));
            self.resend_later(operation);
        }
    }

    /// Resend an operation after a random delay, unless it is completed or no resends are left.
    fn resend_later(&mut self, operation: usize) {
        let state = &mut self.operations[operation];
        if state.completed || state.resends_left == 0 {
            return;
        }
        state.resends_left -= 1;
        let wait = self.rng.random_range(50..2_000);
        self.schedule(wait, move |sim| sim.invoke(operation));
    }

    /// Resend a call's operation while the call is open. Return whether a resend was left.
    pub(crate) fn resend_now(&mut self, call: CallNumber) -> bool {
        let operation = self.calls[call.0 as usize].operation;
        if self.operations[operation].resends_left == 0 {
            return false;
        }
        self.operations[operation].resends_left -= 1;
        self.invoke(operation);
        true
    }

    /// Let the caller close the connection of a call. Return whether the call was still open.
    pub(crate) fn close_call(&mut self, call: CallNumber) -> bool {
        let state = &mut self.calls[call.0 as usize];
        if std::mem::replace(&mut state.ended, true) {
            return false;
        }
        let (node, req) = (state.node, state.req.clone());
        self.record(Record::CallerGone(call));
        self.nodes[node].open_requests.remove(&req);
        let start_number = self.nodes[node].start_number;
        self.schedule_at_node(1, node, start_number, move |sim| {
            sim.handle_event(node, Event::CallerGone(req))
        });
        true
    }
}
