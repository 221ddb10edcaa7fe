//! Hold KV cache memory on several engines for a prompt that doesn't fit on one.

use oleanderpass_holds::acquisition::Acquisition;
use oleanderpass_holds::acquisition::Hold;
use oleanderpass_holds::acquisition::HoldAction;
use oleanderpass_holds::orphan::ListedHold;
use oleanderpass_holds::orphan::OwnerState;
use oleanderpass_holds::orphan::find_orphans;
use oleanderpass_holds::plan::EngineMemory;
use oleanderpass_holds::plan::MAX_ENGINES_PER_PROMPT;
use oleanderpass_holds::plan::Plan;
use oleanderpass_membership::member::Liveness;
use oleanderpass_proto::engine;
use oleanderpass_routing::cost::free_memory;
use oleanderpass_routing::request::LengthClass;
use oleanderpass_routing::split::SHORT_PROMPT_RESERVE_DIVISOR;
use oleanderpass_routing::view::Dispatch;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::AttemptNumber;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::Incarnation;
use oleanderpass_types::id::ModelId;
use oleanderpass_types::id::RequestId;
use oleanderpass_types::id::StreamId;
use oleanderpass_types::size::Tokens;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::action::Action;
use crate::action::HeldMemory;
use crate::dispatch::AttemptPlan;
use crate::event::NewRequest;
use crate::event::Observation;
use crate::instance::Instance;
use crate::request::Phase;

/// The holds of one attempt. The entry exists from the first hold request to the end of the
/// attempt.
#[derive(Debug)]
pub(crate) struct AttemptHolds {
    acquisition: Acquisition,
    model: ModelId,
}

/// The planned holds of a prompt that needs the memory of several engines.
#[derive(Debug)]
pub(crate) struct MultiEnginePlan {
    pub(crate) model: ModelId,
    pub(crate) plan: Plan,
}

/// Return the most KV cache memory that a request can use: its prompt and all output it allows.
pub(crate) fn max_memory(new: &NewRequest) -> Tokens {
    new.prompt + new.max_output
}

impl Instance {
    /// Plan the holds of a queued request over the engines that accept it now. Return `None` when
    /// they don't have enough free memory together.
    pub(crate) fn plan_holds(
        &self,
        now: Timestamp,
        id: &RequestId,
        model: &ModelId,
    ) -> Option<Plan> {
        let req = self.requests.get(id)?;
        let view = self.views.get(model)?;
        let engines: Vec<EngineMemory> = view
            .pool_servers()
            .filter(|server| {
                self.servers
                    .get(&server.id)
                    .is_some_and(|view| self.accepts(now, req, &server.id, view))
            })
            .map(|server| EngineMemory {
                server: server.id.clone(),
                free: free_memory(server),
            })
            .collect();
        let reserve = self.reserve_per_engine(now, id, model)?;
        Plan::new(max_memory(&req.new), &engines, reserve)
    }

    /// Return the memory that a prompt held on several engines leaves free for short prompts on
    /// each of them.
    ///
    /// It is zero when the request is urgent, or when the [`MAX_ENGINES_PER_PROMPT`] largest
    /// engines are too small for it with the reserve. Return `None` when the request or the view
    /// of the model doesn't exist.
    pub(crate) fn reserve_per_engine(
        &self,
        now: Timestamp,
        id: &RequestId,
        model: &ModelId,
    ) -> Option<Tokens> {
        let req = self.requests.get(id)?;
        let view = self.views.get(model)?;
        let mut sizes: Vec<Tokens> = view
            .pool_servers()
            .map(|server| server.spec.memory)
            .collect();
        sizes.sort_by(|a, b| b.cmp(a));
        let largest = sizes.first().copied().unwrap_or_default();
        let reserve = Tokens::new(largest.get() / SHORT_PROMPT_RESERVE_DIVISOR);
        let capacity: Tokens = sizes
            .iter()
            .take(MAX_ENGINES_PER_PROMPT)
            .map(|size| size.saturating_sub(reserve))
            .sum();
        let use_reserve = req.is_urgent(now) || capacity < max_memory(&req.new);
        Some(if use_reserve { Tokens::ZERO } else { reserve })
    }

    /// Start to acquire the holds of a plan. The request leaves the queue.
    pub(crate) fn acquire_holds(
        &mut self,
        now: Timestamp,
        id: &RequestId,
        planned: MultiEnginePlan,
        out: &mut Vec<Action>,
    ) {
        let Some(req) = self.requests.get_mut(id) else {
            return;
        };
        self.queue.remove(id);
        req.phase = Phase::AcquiringHolds;
        let stream = next_stream(id, req.attempt);
        self.last_acquisition_number += 1;
        let name = format_smolstr!("{stream}:{}", self.last_acquisition_number);
        let mut actions = Vec::new();
        let acquisition = Acquisition::start(name, planned.plan, now, req.deadline, &mut actions);
        let holding = AttemptHolds {
            acquisition,
            model: planned.model,
        };
        self.holdings.insert(stream.clone(), holding);
        self.apply_hold_actions(now, &stream, actions, out);
    }

    pub(crate) fn on_hold_answer(
        &mut self,
        now: Timestamp,
        id: &SmolStr,
        granted: Option<bool>,
        out: &mut Vec<Action>,
    ) {
        let Some((stream, hold)) = self.hold_requests.swap_remove(id) else {
            return;
        };
        let mut actions = Vec::new();
        match self.holdings.get_mut(&stream) {
            Some(holding) => {
                let rng = &mut self.rng;
                holding
                    .acquisition
                    .on_answer(now, &hold, granted, rng, &mut actions);
            }
            None if granted != Some(false) => actions.push(HoldAction::Release(hold)),
            None => {}
        }
        self.apply_hold_actions(now, &stream, actions, out);
        self.send_releases(now, out);
    }

    pub(crate) fn on_hold_released(&mut self, hold: &str, confirmed: bool) {
        if confirmed {
            self.releases.on_confirmed(hold);
        }
    }

    /// Replan unfinished acquisitions, enforce their time limits and repeat unconfirmed releases.
    pub(crate) fn advance_holds(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let streams: Vec<StreamId> = self.holdings.keys().cloned().collect();
        for stream in streams {
            self.replan(now, &stream);
            let mut actions = Vec::new();
            if let Some(holding) = self.holdings.get_mut(&stream) {
                holding.acquisition.tick(now, &mut self.rng, &mut actions);
            }
            self.apply_hold_actions(now, &stream, actions, out);
        }
        self.send_releases(now, out);
    }

    /// Release the holds of an attempt that has ended or will not start.
    pub(crate) fn release_holds(
        &mut self,
        now: Timestamp,
        stream: &StreamId,
        out: &mut Vec<Action>,
    ) {
        let Some(mut holding) = self.holdings.swap_remove(stream) else {
            return;
        };
        let mut actions = Vec::new();
        holding.acquisition.cancel(&mut actions);
        for action in actions {
            if let HoldAction::Release(hold) = action {
                self.releases.add(now, hold);
            }
        }
        self.send_releases(now, out);
    }

    /// Release the holds of a request whose next attempt has not started. `last` is the number of
    /// the last attempt that started.
    pub(crate) fn release_unstarted_holds(
        &mut self,
        now: Timestamp,
        id: &RequestId,
        last: AttemptNumber,
        out: &mut Vec<Action>,
    ) {
        self.release_holds(now, &next_stream(id, last), out);
    }

    /// Plan the next round of an acquisition with the free memory that is known now.
    fn replan(&mut self, now: Timestamp, stream: &StreamId) {
        let Some(holding) = self.holdings.get(stream) else {
            return;
        };
        if holding.acquisition.is_acquired() {
            return;
        }
        let plan = self.plan_holds(now, &stream.req, &holding.model);
        if let (Some(plan), Some(holding)) = (plan, self.holdings.get_mut(stream)) {
            holding.acquisition.replan(plan);
        }
    }

    fn apply_hold_actions(
        &mut self,
        now: Timestamp,
        stream: &StreamId,
        actions: Vec<HoldAction>,
        out: &mut Vec<Action>,
    ) {
        for action in actions {
            match action {
                HoldAction::Request(hold) => self.request_hold(now, stream, hold, out),
                HoldAction::Release(hold) => self.releases.add(now, hold),
                HoldAction::Acquired(holds) => self.start_with_holds(now, stream, &holds, out),
                HoldAction::GaveUp => {
                    self.holdings.swap_remove(stream);
                    if self
                        .requests
                        .get(&stream.req)
                        .is_some_and(|req| req.phase == Phase::AcquiringHolds)
                    {
                        self.end_overdue_request(now, &stream.req, out);
                    }
                }
            }
        }
    }

    fn request_hold(
        &mut self,
        now: Timestamp,
        stream: &StreamId,
        hold: Hold,
        out: &mut Vec<Action>,
    ) {
        let deadline = self
            .requests
            .get(&stream.req)
            .map_or(now, |req| req.deadline);
        let Some(view) = self.servers.get(&hold.server) else {
            return;
        };
        let raw = engine::HoldRequest {
            id: hold.id.to_string(),
            owner: self.identity.instance.to_string(),
            owner_incarnation: self.identity.incarnation.get(),
            tokens: hold.tokens.get(),
            expires_in_ms: now.until(deadline).get(),
        };
        out.push(Action::RequestHold {
            server: hold.server.clone(),
            addr: view.addr,
            hold: Box::new(raw),
        });
        self.hold_requests
            .insert(hold.id.clone(), (stream.clone(), hold));
    }

    /// Start the attempt whose holds are all granted, on the engine with the largest hold.
    ///
    /// If that engine no longer accepts the request, or one of the engines is no longer known,
    /// release the holds and queue the request again.
    fn start_with_holds(
        &mut self,
        now: Timestamp,
        stream: &StreamId,
        holds: &[Hold],
        out: &mut Vec<Action>,
    ) {
        let Some(model) = self.holdings.get(stream).map(|held| held.model.clone()) else {
            return;
        };
        let Some(req) = self.requests.get(&stream.req) else {
            self.release_holds(now, stream, out);
            return;
        };
        let held: Vec<HeldMemory> = holds
            .iter()
            .filter_map(|hold| {
                Some(HeldMemory {
                    server: hold.server.clone(),
                    addr: self.servers.get(&hold.server)?.addr,
                    hold: hold.id.clone(),
                    tokens: hold.tokens,
                })
            })
            .collect();
        let runner = holds.iter().max_by_key(|hold| hold.tokens);
        let runner_accepts = runner.is_some_and(|hold| {
            self.servers
                .get(&hold.server)
                .is_some_and(|view| self.accepts(now, req, &hold.server, view))
        });
        let (Some(runner), true) = (runner, runner_accepts && held.len() == holds.len()) else {
            self.release_holds(now, stream, out);
            self.enqueue(now, &stream.req, Millis::ZERO);
            return;
        };
        let parts = holds.len() as u64;
        let dispatch = Dispatch {
            servers: holds.iter().map(|hold| hold.server.clone()).collect(),
            class: LengthClass::Long,
            prefill: Tokens::new(req.new.prompt.get().div_ceil(parts)),
            memory: Tokens::new(max_memory(&req.new).get().div_ceil(parts)),
            prefill_done: false,
        };
        let plan = AttemptPlan {
            server: runner.server.clone(),
            dispatch: Some((model, dispatch)),
            low_priority: true,
            holds: held,
        };
        self.start_attempt(now, &stream.req, plan, out);
    }

    fn send_releases(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        for hold in self.releases.due(now) {
            if let Some(view) = self.servers.get(&hold.server) {
                out.push(Action::ReleaseHold {
                    server: hold.server.clone(),
                    addr: view.addr,
                    hold: hold.id.clone(),
                });
            }
        }
    }

    /// Release the holds in an engine's list that no other instance will release.
    pub(crate) fn on_hold_list(
        &mut self,
        now: Timestamp,
        server: &BackendServerId,
        list: &engine::HoldList,
        out: &mut Vec<Action>,
    ) {
        if let Some(view) = self.servers.get_mut(server) {
            view.polls.on_reported(Observation::Holds);
        }
        let listed: Vec<(ListedHold, Tokens)> = list
            .holds
            .iter()
            .filter_map(|raw| {
                let hold = ListedHold {
                    id: raw.id.as_str().into(),
                    owner: raw.owner.parse().ok()?,
                    incarnation: Incarnation::new(raw.owner_incarnation),
                    overdue: Millis::new(raw.overdue_ms),
                };
                Some((hold, Tokens::new(raw.tokens)))
            })
            .collect();
        let holds: Vec<ListedHold> = listed.iter().map(|(hold, _)| hold.clone()).collect();
        let orphans = find_orphans(&holds, |hold| self.owner_state(hold));
        for (hold, tokens) in listed {
            if orphans.contains(&hold.id) {
                tracing::warn!(%server, hold = %hold.id, "releasing an orphaned hold");
                let hold = Hold {
                    id: hold.id,
                    server: server.clone(),
                    tokens,
                };
                self.releases.add(now, hold);
            }
        }
        self.send_releases(now, out);
    }

    /// Return what this instance knows of the owner of a hold.
    fn owner_state(&self, hold: &ListedHold) -> OwnerState {
        if hold.owner == self.identity.instance {
            if hold.incarnation == self.identity.incarnation {
                let tracked = self
                    .holdings
                    .values()
                    .any(|holding| holding.acquisition.owns(&hold.id));
                return OwnerState::Own { tracked };
            }
            return OwnerState::of_live_member(self.identity.incarnation, hold.incarnation);
        }
        let member = self
            .membership
            .as_ref()
            .and_then(|membership| membership.get(&hold.owner));
        match member {
            None => OwnerState::Unknown,
            Some(member)
                if member.liveness == Liveness::Dead && member.incarnation >= hold.incarnation =>
            {
                OwnerState::Dead
            }
            Some(member) => OwnerState::of_live_member(member.incarnation, hold.incarnation),
        }
    }
}

/// Return the stream of the attempt that follows `last`.
fn next_stream(req: &RequestId, last: AttemptNumber) -> StreamId {
    StreamId {
        req: req.clone(),
        attempt: AttemptNumber(last.0 + 1),
    }
}
