//! Run one request: obey the core's commands and deliver the answer.

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
use crate::delivery::Delivery;
use crate::delivery::Finished;
use crate::generation_sink::GenerationSink;
use crate::generation_sink::GenerationWork;
use crate::peer::forward;
use crate::peer::forward::ForwardCall;
use crate::shared::Shared;

/// What a request asks for.
#[derive(Debug)]
pub enum Work {
    /// A generation by a model engine.
    Generation(Box<GenerationWork>),
    /// A call of a plain service.
    Service(Box<ServiceWork>),
    /// A ticket.
    Ticket,
}

/// A call of a plain service.
#[derive(Debug)]
pub struct ServiceWork {
    /// The call.
    pub call: ServiceCall,
    /// What a forward to the owner of a ticket needs.
    pub forward: Option<ForwardCall>,
}

/// The task of one request.
#[derive(Debug)]
pub struct RequestTask {
    /// What the process shares.
    pub shared: Arc<Shared>,
    /// The id.
    pub req: RequestId,
    /// The core's commands.
    pub commands: UnboundedReceiver<Command>,
    /// Ends when the caller is gone.
    pub gone: oneshot::Receiver<()>,
    /// The receiver of the answer.
    pub output: Output,
    /// What the request asks for.
    pub work: Work,
    /// The part of the byte budget that the body takes.
    pub share: BudgetShare,
}

/// What interrupts an attempt.
enum Interrupt {
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
            gone,
            output,
            work,
            share,
        } = self;
        let mut runner = Runner {
            inbox: Inbox {
                shared: Arc::clone(&shared),
                req: req.clone(),
                commands,
                gone: Some(gone),
            },
            shared: Arc::clone(&shared),
            req: req.clone(),
            share,
            delivery: Delivery {
                shared: Arc::clone(&shared),
                req: req.clone(),
                output,
                finished: None,
                answered: false,
            },
        };
        runner.run(work).await;
        drop(runner);
        shared.core.close(req);
    }
}

/// Where a running request receives commands.
struct Inbox {
    shared: Arc<Shared>,
    req: RequestId,
    commands: UnboundedReceiver<Command>,
    gone: Option<oneshot::Receiver<()>>,
}

impl Inbox {
    /// Wait for a command. A caller that goes away is reported to the core once.
    async fn next(&mut self) -> Option<Command> {
        loop {
            match self.interrupt().await {
                Interrupt::Command(command) => return command,
                Interrupt::CallerGone => {
                    self.gone = None;
                    self.shared.core.event(Event::CallerGone(self.req.clone()));
                }
            }
        }
    }

    async fn interrupt(&mut self) -> Interrupt {
        let Some(gone) = &mut self.gone else {
            return Interrupt::Command(self.commands.recv().await);
        };
        tokio::select! {
            command = self.commands.recv() => Interrupt::Command(command),
            _ = gone => Interrupt::CallerGone,
        }
    }
}

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
                None => self.inbox.next().await,
            };
            match command {
                Some(Command::Start(order)) => pending = self.attempt(&mut work, order).await,
                Some(Command::Answer(answer)) => self.answer(&work, answer).await,
                Some(Command::Forward {
                    owner,
                    addr,
                    deadline,
                }) => pending = self.forward(&work, owner, addr, deadline).await,
                // The attempt has ended and its end was reported.
                Some(Command::Cancel(_)) => {}
                // The core has exited.
                None => return,
            }
        }
    }

    /// Run an attempt, report its end and return a command that is still to be obeyed.
    async fn attempt(&mut self, work: &mut Work, order: StartAttempt) -> Option<Command> {
        if order.attempt.0 > 1 {
            self.shared.metrics.retries.inc();
        }
        let shared = Arc::clone(&self.shared);
        let cx = AttemptCx {
            shared: &shared,
            params: &order,
        };
        let (end, pending) = match work {
            Work::Generation(work) => self.generation(cx, work).await,
            Work::Service(work) => (self.service(cx, &work.call).await, None),
            Work::Ticket => (AttemptEnd::NotSent("a ticket has no attempt".into()), None),
        };
        cx.progress(Progress::Ended(end));
        pending
    }

    /// Run a generation. An answer of the core ends it.
    async fn generation(
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
                    command = self.inbox.next() => command,
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
                self.delivery.finished = Some(Finished::Generation(work.usage(*output)));
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

    /// Run a call of a plain service. An answer of the core goes to the caller at once, but the
    /// call goes on until it ends or is cancelled, so that its outcome is recorded.
    async fn service(&mut self, cx: AttemptCx<'_>, call: &ServiceCall) -> AttemptEnd {
        // The share is moved out while the attempt uses it, because an answer may be delivered.
        let mut share = std::mem::replace(&mut self.share, self.shared.budget.empty_share());
        let end = self.service_attempt(cx, call, &mut share).await;
        self.share = share;
        end
    }

    async fn service_attempt(
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
                command = self.inbox.next() => command,
                (end, answer) = &mut attempt => {
                    self.delivery.finished = answer.map(Finished::Service);
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

    /// Forward the request to its owner and return a command that is still to be obeyed.
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
            self.forward_failed("only calls with a ticket can be forwarded".into());
            return None;
        };
        let shared = Arc::clone(&self.shared);
        let relay = forward::call(&shared, &owner, addr, deadline, &service.call, forward);
        tokio::pin!(relay);
        let relayed = loop {
            tokio::select! {
                biased;
                command = self.inbox.next() => match command {
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
                self.shared.core.event(Event::ForwardEnded { req, outcome });
            }
            Err(cause) => self.forward_failed(cause),
        }
        None
    }

    fn forward_failed(&self, cause: SmolStr) {
        let req = self.req.clone();
        self.shared.core.event(Event::ForwardFailed { req, cause });
    }

    async fn answer(&mut self, work: &Work, answer: Answer) {
        let generation = match work {
            Work::Generation(work) => Some(work.as_ref()),
            Work::Service(_) | Work::Ticket => None,
        };
        self.delivery.deliver(generation, answer).await;
    }
}
