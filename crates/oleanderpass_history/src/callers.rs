//! Stand in for callers and the platform's balancer.

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
use crate::record::Operation as OperationId;
use crate::record::Record;
use crate::world::World;

/// The digest of the API key of all callers.
pub(crate) const KEY: Digest = Digest([1; 32]);

/// The times that a caller sends an operation again.
const RESENDS: u32 = 2;

/// The time for which the balancer still chooses an instance that is not ready, in milliseconds.
/// Source: design section 4.10.
const BALANCER_LAG: u64 = 5_000;

/// Work that a caller wants done.
pub(crate) struct Operation {
    /// The work must be done at most once.
    pub(crate) once: bool,
    /// The text of each event of the right answer.
    pub(crate) events: Vec<SmolStr>,
    /// The length of the prompt, in tokens.
    pub(crate) prompt: u64,
    /// It crashes each server that runs it.
    pub(crate) bad: bool,
    pub(crate) timeout: u64,
    ticket: Option<SmolStr>,
    resends: u32,
    ticket_tries: u32,
    finished: bool,
}

/// One call of a caller.
pub(crate) struct Call {
    pub(crate) operation: usize,
    pub(crate) node: usize,
    pub(crate) req: RequestId,
    pub(crate) deadline: u64,
    /// The core has seen the request.
    pub(crate) read: bool,
    pub(crate) ended: bool,
}

impl World {
    /// Start a new operation.
    pub(crate) fn new_operation(&mut self, once: bool, bad: bool) {
        let index = self.operations.len();
        let count = if once { 1 } else { self.rng.random_range(2..9) };
        let events = (0..count)
            .map(|n| format_smolstr!("[{index}.{n}]"))
            .collect();
        let long = !once && !bad && self.rng.random_bool(0.1);
        self.operations.push(Operation {
            once,
            events,
            prompt: if long { 150_000 } else { 500 },
            bad,
            timeout: self.rng.random_range(4_000..12_000),
            ticket: None,
            resends: RESENDS,
            ticket_tries: 5,
            finished: false,
        });
        if once && !self.options.without_tickets {
            self.ask_ticket_again(index);
        } else {
            self.invoke(index);
        }
    }

    /// Choose an instance as the platform's balancer does: unevenly, and with a lag.
    fn balance(&mut self) -> Option<usize> {
        let now = self.now;
        let choices: Vec<usize> = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| {
                let stopping = node
                    .stopping_since
                    .is_some_and(|at| now > at + BALANCER_LAG);
                node.is_up() && node.in_force.is_some() && !stopping
            })
            .map(|(index, _)| index)
            .collect();
        if choices.is_empty() {
            return None;
        }
        let last = self.rng.random_range(0..choices.len());
        choices.get(self.rng.random_range(0..=last)).copied()
    }

    pub(crate) fn ask_ticket_again(&mut self, operation: usize) {
        if self.operations[operation].ticket_tries == 0 {
            return;
        }
        self.operations[operation].ticket_tries -= 1;
        let Some(node) = self.balance() else {
            return self.after(500, move |w| w.ask_ticket_again(operation));
        };
        let start = self.nodes[node].start;
        self.at_node_after(2, node, start, move |w| {
            let req = w.nodes[node].draw_request();
            w.nodes[node]
                .open
                .insert(req.clone(), Origin::Ticket(operation));
            let Ok(route) = "charge".parse() else {
                return;
            };
            let key = KEY;
            w.handle(node, Event::IssueTicket { req, key, route });
        });
        // A caller whose call brought no ticket asks another instance.
        self.after(1_000, move |w| {
            if w.operations[operation].ticket.is_none() {
                w.ask_ticket_again(operation);
            }
        });
    }

    pub(crate) fn take_ticket(&mut self, operation: usize, ticket: SmolStr, node: usize) {
        if self.operations[operation].ticket.is_some() {
            return;
        }
        self.operations[operation].ticket = Some(ticket);
        let wait = self.rng.random_range(1..1_500);
        self.after(wait, move |w| w.invoke(operation));
        self.at_step(FaultStep::Ticket, Some(node), None, None);
    }

    /// Send an operation's request to some instance.
    pub(crate) fn invoke(&mut self, operation: usize) {
        let Some(node) = self.balance() else {
            return self.after(500, move |w| w.invoke(operation));
        };
        let call = CallNumber(self.calls.len() as u64);
        let start = self.nodes[node].start;
        let req = self.nodes[node].draw_request();
        let state = &self.operations[operation];
        let deadline = self.now + state.timeout;
        let record = Record::Invoke {
            call,
            operation: OperationId(operation as u64),
            once: state.once,
            at: self.nodes[node].life(),
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
            .open
            .insert(req.clone(), Origin::Call(call));
        self.nodes[node]
            .bodies
            .insert(req.clone(), (call, operation));
        let reading = self.rng.random_range(2..50);
        self.at_node_after(reading, node, start, move |w| {
            let timeout = w.operations[operation].timeout;
            w.calls[call.0 as usize].deadline = w.now + timeout;
            w.calls[call.0 as usize].read = true;
            let deadline = Timestamp::from_millis(w.now + timeout);
            w.record(Record::Read { call, deadline });
            let new = w.request_of(operation, req.clone(), Source::Caller(KEY));
            w.handle(node, Event::Request(Box::new(new)));
            let core = w.nodes[node].core.as_ref();
            let queued = core.is_some_and(|core| core.queued() > 0);
            let waits = !w.nodes[node]
                .tasks
                .values()
                .any(|task| task.stream.req == req);
            if queued && waits && !w.calls[call.0 as usize].ended {
                w.at_step(FaultStep::Queue, Some(node), None, Some(call));
            }
        });
        self.at_step(FaultStep::Read, Some(node), None, Some(call));
    }

    pub(crate) fn request_of(&self, operation: usize, id: RequestId, source: Source) -> NewRequest {
        let state = &self.operations[operation];
        let route = if self.options.without_tickets {
            "book"
        } else {
            "charge"
        };
        let target = match (state.once, route.parse(), "saga".parse()) {
            (false, _, Ok(model)) => Target::Model {
                model,
                adapter: None,
            },
            (_, Ok(route), _) => Target::Route(route),
            // The names above are valid ids.
            _ => unreachable!("invalid id"),
        };
        NewRequest {
            id,
            source,
            target,
            ticket: state.ticket.clone(),
            timeout: Some(Millis::new(state.timeout)),
            priority: Priority::Interactive,
            idempotent: None,
            prompt: Tokens::new(state.prompt),
            max_output: Tokens::new(10),
            prefixes: Vec::new(),
            body_hash: operation as u64,
        }
    }

    /// Hand the answer to the caller.
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
            self.operations[operation].finished = true;
        } else {
            self.resend_later(operation);
        }
    }

    /// End a call whose instance is gone.
    pub(crate) fn lose_call(&mut self, call: CallNumber) {
        let state = &mut self.calls[call.0 as usize];
        if !std::mem::replace(&mut state.ended, true) {
            let operation = state.operation;
            self.record(Record::ConnectionLost(call));
            self.resend_later(operation);
        }
    }

    fn resend_later(&mut self, operation: usize) {
        let state = &mut self.operations[operation];
        if state.finished || state.resends == 0 {
            return;
        }
        state.resends -= 1;
        let wait = self.rng.random_range(50..2_000);
        self.after(wait, move |w| w.invoke(operation));
    }

    /// Send a call's operation again while the call is open.
    pub(crate) fn resend_now(&mut self, call: CallNumber) -> bool {
        let operation = self.calls[call.0 as usize].operation;
        if self.operations[operation].resends == 0 {
            return false;
        }
        self.operations[operation].resends -= 1;
        self.invoke(operation);
        true
    }

    /// Close the connection of a call.
    pub(crate) fn close_call(&mut self, call: CallNumber) -> bool {
        let state = &mut self.calls[call.0 as usize];
        if std::mem::replace(&mut state.ended, true) {
            return false;
        }
        let (node, req) = (state.node, state.req.clone());
        self.record(Record::CallerGone(call));
        self.nodes[node].open.remove(&req);
        let start = self.nodes[node].start;
        self.at_node_after(1, node, start, move |w| {
            w.handle(node, Event::CallerGone(req))
        });
        true
    }
}
