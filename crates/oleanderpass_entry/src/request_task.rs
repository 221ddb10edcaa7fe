//! Run one request: execute the core's commands and deliver the answer.

use std::sync::Arc;

use oleanderpass_core::action::Answer;
use oleanderpass_core::action::StartAttempt;
use oleanderpass_core::event::AttemptEnd;
use oleanderpass_core::event::Event;
use oleanderpass_core::event::Progress;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::RequestId;
use smol_str::SmolStr;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;

use crate::backend::attempt::AttemptCx;
use crate::backend::service;
use crate::backend::service::ServiceCall;
use crate::backend::stream;
use crate::caller::budget::BudgetShare;
use crate::caller::output::Output;
use crate::core_loop::Command;
use crate::delivery::AttemptAnswer;
use crate::delivery::Delivery;
use crate::generation_sink::GenerationSink;
use crate::generation_sink::GenerationWork;
use crate::peer::forward;
use crate::peer::forward::ForwardContext;
use crate::shared::Shared;

/// What a request asks for, with the data to run it.
#[derive(Debug)]
pub enum Work {
    /// A generation by a model engine.
    Generation(Box<GenerationWork>),
    /// A call of a plain service.
    Service(Box<ServiceWork>),
    /// A ticket, which the core issues without an attempt.
    Ticket,
}

/// A call of a plain service.
#[derive(Debug)]
pub struct ServiceWork {
    /// The call to send to the service.
    pub call: ServiceCall,
    /// The data for forwarding the call to the instance that issued its ticket. `None` for a call
    /// without a ticket and for one that a peer forwarded.
    pub forward: Option<ForwardContext>,
}

/// The task of one request.
#[derive(Debug)]
pub struct RequestTask {
    /// The state that all tasks of the process share.
    pub shared: Arc<Shared>,
    /// The id of the request.
    pub req: RequestId,
    /// Receives the core's commands.
    pub commands: UnboundedReceiver<Command>,
    /// Resolves when the caller, or the forwarding peer, has dropped the request or its answer.
    pub caller_gone: oneshot::Receiver<()>,
    /// Where the answer goes.
    pub output: Output,
    /// What the request asks for.
    pub work: Work,
    /// The share of the byte budget that the bodies of the request and of a service's answer use.
    /// It is returned when the task ends.
    pub share: BudgetShare,
}

/// What can happen while a request waits or its attempt runs.
enum InboxEvent {
    /// A command, or `None` when the core has exited.
    Command(Option<Command>),
    CallerGone,
}

impl RequestTask {
    /// Run until the core's answer is delivered and no attempt runs.
    pub async fn run(self) {
        let Self {
            shared,
            req,
            commands,
            caller_gone,
            output,
            work,
            share,
        } = self;
        let mut runner = Runner {
            inbox: Inbox {
                shared: Arc::clone(&shared),
                req: req.clone(),
                commands,
                caller_gone: Some(caller_gone),
            },
            shared: Arc::clone(&shared),
            req: req.clone(),
            share,
            delivery: Delivery {
                shared: Arc::clone(&shared),
                req: req.clone(),
                output,
                attempt_answer: None,
                answered: false,
            },
        };
        runner.run(work).await;
        drop(runner);
        shared.core.close_request(req);
    }
}

/// Receives the core's commands for a running request and notices when its caller disconnects.
struct Inbox {
    shared: Arc<Shared>,
    req: RequestId,
    commands: UnboundedReceiver<Command>,
    /// `None` once the disconnect is reported.
    caller_gone: Option<oneshot::Receiver<()>>,
}

impl Inbox {
    /// Wait for a command, or return `None` when the core has exited. A caller that disconnects
    /// meanwhile is reported to the core once.
    async fn next_command(&mut self) -> Option<Command> {
        loop {
            match self.next_event().await {
                InboxEvent::Command(command) => return command,
                InboxEvent::CallerGone => {
                    self.caller_gone = None;
                    self.shared
                        .core
                        .send_event(Event::CallerGone(self.req.clone()));
                }
            }
        }
    }

    async fn next_event(&mut self) -> InboxEvent {
        let Some(caller_gone) = &mut self.caller_gone else {
            return InboxEvent::Command(self.commands.recv().await);
        };
        tokio::select! {
            command = self.commands.recv() => InboxEvent::Command(command),
            _ = caller_gone => InboxEvent::CallerGone,
        }
    }
}

/// The state of a request task while it runs.
struct Runner {
    shared: Arc<Shared>,
    req: RequestId,
    inbox: Inbox,
    share: BudgetShare,
    delivery: Delivery,
}

impl Runner {
    async fn run(&mut self, mut work: Work) {
        let mut pending = None;
        loop {
            let command = match pending.take() {
                Some(command) => Some(command),
                None if self.delivery.answered => return,
                None => self.inbox.next_command().await,
            };
            match command {
                Some(Command::Start(params)) => pending = self.run_attempt(&mut work, params).await,
                Some(Command::Answer(answer)) => self.deliver(&work, answer).await,
                Some(Command::Forward {
                    owner,
                    addr,
                    deadline,
                }) => pending = self.forward(&work, owner, addr, deadline).await,
                // The attempt has already ended and its end was reported.
                Some(Command::Cancel(_)) => {}
                // The core has exited.
                None => return,
            }
        }
    }

    /// Run an attempt, report its end and return a command that is still to be executed.
    async fn run_attempt(&mut self, work: &mut Work, params: StartAttempt) -> Option<Command> {
        if params.attempt.0 > 1 {
            self.shared.metrics.retries.inc();
        }
        let shared = Arc::clone(&self.shared);
        let cx = AttemptCx {
            shared: &shared,
            params: &params,
        };
        let (end, pending) = match work {
            Work::Generation(work) => self.run_generation(cx, work).await,
            Work::Service(work) => (self.run_service(cx, &work.call).await, None),
            Work::Ticket => (AttemptEnd::NotSent("a ticket has no attempt".into()), None),
        };
        cx.report_progress(Progress::Ended(end));
        pending
    }

    /// Run an attempt of a generation. Any command but a cancel of another attempt ends it.
    async fn run_generation(
        &mut self,
        cx: AttemptCx<'_>,
        work: &mut GenerationWork,
    ) -> (AttemptEnd, Option<Command>) {
        if self.delivery.output.has_started() {
            let cause = SmolStr::new_static("a part of the answer was already delivered");
            return (AttemptEnd::NotSent(cause), None);
        }
        let context = self.delivery.context(self.shared.generation());
        let body = work.body.clone();
        let mut sink = GenerationSink::new(&self.shared, context, work, &mut self.delivery.output);
        let (end, pending) = {
            let attempt = stream::run(cx, body, &mut sink);
            tokio::pin!(attempt);
            loop {
                let command = tokio::select! {
                    biased;
                    command = self.inbox.next_command() => command,
                    end = &mut attempt => break (end, None),
                };
                match command {
                    Some(Command::Cancel(attempt)) if attempt != cx.params.attempt => {}
                    Some(Command::Cancel(_)) | None => break (AttemptEnd::Cancelled, None),
                    Some(command) => break (AttemptEnd::Cancelled, Some(command)),
                }
            }
        };
        match &end {
            AttemptEnd::Completed { output, .. } => {
                self.delivery.attempt_answer = Some(AttemptAnswer::Generation(work.usage(*output)));
            }
            AttemptEnd::Cancelled => {
                let pool = self.shared.pool.clone();
                let id = cx.stream_id();
                tokio::spawn(stream::cancel(pool, self.shared.clock, cx.params.addr, id));
            }
            _ => {}
        }
        (end, pending)
    }

    /// Run an attempt at a plain service. An answer of the core is delivered to the caller at once,
    /// but the attempt continues until it ends or is cancelled, so that its outcome is recorded.
    async fn run_service(&mut self, cx: AttemptCx<'_>, call: &ServiceCall) -> AttemptEnd {
        // The attempt borrows the share while `self` may deliver an answer, so the share is moved
        // out of `self`.
        let mut share = std::mem::replace(&mut self.share, self.shared.budget.empty_share());
        let end = self.run_service_with_share(cx, call, &mut share).await;
        self.share = share;
        end
    }

    async fn run_service_with_share(
        &mut self,
        cx: AttemptCx<'_>,
        call: &ServiceCall,
        share: &mut BudgetShare,
    ) -> AttemptEnd {
        let attempt = service::run(cx, call, share);
        tokio::pin!(attempt);
        loop {
            let command = tokio::select! {
                biased;
                command = self.inbox.next_command() => command,
                (end, answer) = &mut attempt => {
                    self.delivery.attempt_answer = answer.map(AttemptAnswer::Service);
                    return end;
                }
            };
            match command {
                Some(Command::Cancel(attempt)) if attempt != cx.params.attempt => {}
                Some(Command::Cancel(_)) | None => return AttemptEnd::Cancelled,
                Some(Command::Answer(answer)) => self.delivery.deliver(None, answer).await,
                Some(command) => {
                    tracing::error!(req = %self.req, ?command, "unexpected command during an attempt");
                }
            }
        }
    }

    /// Forward the request to the owner of its ticket, relay the answer, and return a command that
    /// is still to be executed.
    async fn forward(
        &mut self,
        work: &Work,
        owner: oleanderpass_types::id::InstanceId,
        addr: std::net::SocketAddr,
        deadline: Timestamp,
    ) -> Option<Command> {
        let Work::Service(service) = work else {
            return None;
        };
        let Some(forward) = &service.forward else {
            self.report_forward_failure("only calls with a ticket can be forwarded".into());
            return None;
        };
        let shared = Arc::clone(&self.shared);
        let relay = forward::call(&shared, &owner, addr, deadline, &service.call, forward);
        tokio::pin!(relay);
        let relayed = loop {
            tokio::select! {
                biased;
                command = self.inbox.next_command() => match command {
                    Some(Command::Cancel(_)) => {}
                    command => return command,
                },
                relayed = &mut relay => break relayed,
            }
        };
        match relayed {
            Ok(relayed) => {
                let context = self.delivery.context(relayed.generation);
                let answer = relayed.into_answer(&context);
                let outcome = answer.outcome;
                self.shared.metrics.count_outcome(outcome);
                self.delivery.output.send_whole(&context, answer).await;
                self.delivery.answered = true;
                let req = self.req.clone();
                self.shared
                    .core
                    .send_event(Event::ForwardEnded { req, outcome });
            }
            Err(cause) => self.report_forward_failure(cause),
        }
        None
    }

    fn report_forward_failure(&self, cause: SmolStr) {
        let req = self.req.clone();
        self.shared
            .core
            .send_event(Event::ForwardFailed { req, cause });
    }

    async fn deliver(&mut self, work: &Work, answer: Answer) {
        let generation_work = match work {
            Work::Generation(work) => Some(work.as_ref()),
            Work::Service(_) | Work::Ticket => None,
        };
        self.delivery.deliver(generation_work, answer).await;
    }
}
