//! The injection of faults at steps.

use std::sync::Arc;

use oleanderpass_core::event::Event;
use oleanderpass_types::id::Generation;
use oleanderpass_types::outcome::Outcome;
use rand::RngExt;

use crate::fault::Fault;
use crate::fault::FaultStep;
use crate::fault::Trigger;
use crate::node::Origin;
use crate::record::CallNumber;
use crate::record::Impairment;
use crate::record::Record;
use crate::simulation::Cut;
use crate::simulation::Simulation;
use crate::simulation::ZONES;
use crate::task::AttemptTask;

/// What a fault affects; each fault uses the parts that it needs.
#[derive(Clone, Copy, Debug)]
struct FaultTarget {
    node: usize,
    server: usize,
    call: Option<CallNumber>,
}

impl Simulation {
    /// Count that a step begins, and inject the faults that are planned for this occurrence.
    ///
    /// Where the step has no instance, server or call of its own, the fault affects a random one.
    pub(crate) fn begin_step(
        &mut self,
        step: FaultStep,
        node: Option<usize>,
        server: Option<usize>,
        call: Option<CallNumber>,
    ) {
        let operation = call.map(|call| self.calls[call.0 as usize].operation);
        let non_idempotent =
            operation.is_some_and(|operation| self.operations[operation].non_idempotent);
        let counts = self.occurrences.entry(step).or_default();
        counts[0] += 1;
        counts[1] += u32::from(non_idempotent);
        let counts = *counts;
        let is_due = |t: &&Trigger| {
            let counted = non_idempotent || !t.non_idempotent_only;
            t.step == step && counted && t.occurrence == counts[usize::from(t.non_idempotent_only)]
        };
        let due: Vec<Trigger> = self.triggers.iter().filter(is_due).copied().collect();
        for trigger in due {
            let target = FaultTarget {
                node: node.unwrap_or_else(|| self.rng.random_range(0..self.nodes.len())),
                server: server.unwrap_or_else(|| self.rng.random_range(0..self.servers.len())),
                call: call.or_else(|| self.random_open_call()),
            };
            let had_effect = self.inject(trigger.fault, target);
            let text = format!(
                "{} at {step}: {target:?}, had an effect: {had_effect}",
                trigger.fault
            );
            self.trace.push((self.now, text));
            if had_effect {
                *self.hits.entry((trigger.fault, step)).or_default() += 1;
            }
        }
    }

    fn random_open_call(&mut self) -> Option<CallNumber> {
        let open: Vec<usize> = (0..self.calls.len())
            .filter(|i| !self.calls[*i].ended)
            .collect();
        if open.is_empty() {
            return None;
        }
        let index = self.rng.random_range(0..open.len());
        Some(CallNumber(open[index] as u64))
    }

    /// Inject a fault. Return whether it had something to affect.
    fn inject(&mut self, fault: Fault, target: FaultTarget) -> bool {
        let FaultTarget { node, server, call } = target;
        match fault {
            Fault::Kill => self.kill(node),
            Fault::Pause => self.pause(node),
            Fault::OneWayCut => self.begin_cut(
                Cut::NodeToPeers(node),
                vec![(node, Impairment::CutFromPeers)],
            ),
            Fault::TwoWayCut => {
                let zone = node / (self.nodes.len() / ZONES.len());
                let impairments = self.zone_cut_impairments();
                self.begin_cut(Cut::Zone(zone), impairments)
            }
            Fault::ServerCut => {
                let id = self.servers[server].listed.id.clone();
                let impairments = vec![(node, Impairment::CutFromServer(id))];
                self.begin_cut(Cut::NodeServer(node, server), impairments)
            }
            Fault::SilentConnection => self.silence_connections(node, server),
            Fault::ConfigDown => self.begin_cut(Cut::Platform, Vec::new()),
            Fault::ConfigStale => {
                self.platform.stale = true;
                let duration = self.rng.random_range(2_000..20_000);
                self.schedule(duration, |sim| sim.platform.stale = false);
                true
            }
            Fault::ListLag => {
                let list = self.instance_list();
                self.platform.frozen_list.get_or_insert(list);
                let duration = self.rng.random_range(5_000..20_000);
                self.schedule(duration, |sim| sim.platform.frozen_list = None);
                true
            }
            Fault::TwoOperators => {
                self.publish_document(1);
                let delay_ms = self.rng.random_range(1..2_500);
                self.schedule(delay_ms, |sim| sim.publish_document(0));
                // The operators see the alarm and promote the next generation.
                self.schedule(delay_ms + 4_000, |sim| sim.publish_document(1));
                true
            }
            Fault::ServerCrash => {
                let up = self.servers[server].up;
                self.crash_server(server);
                up
            }
            Fault::BadRequest => {
                self.new_operation(false, true);
                true
            }
            Fault::ServerLeaving => {
                let can_leave = self.servers[server].up && !self.servers[server].leaving;
                self.begin_leaving(server);
                can_leave
            }
            Fault::CallerResend => call.is_some_and(|call| self.resend_now(call)),
            Fault::CallerGone => call.is_some_and(|call| self.close_call(call)),
            Fault::PlannedStop if self.nodes[node].stopping_since.is_some() => {
                let start_number = self.nodes[node].start_number;
                self.schedule_at_node(1, node, start_number, move |sim| {
                    sim.handle_event(node, Event::Shutdown)
                });
                true
            }
            Fault::PlannedStop => self.begin_shutdown(node),
        }
    }

    /// Kill an instance's process without notice, and start a new one later.
    pub(crate) fn kill(&mut self, node: usize) -> bool {
        if !self.nodes[node].is_up() {
            return false;
        }
        let process = self.nodes[node].process();
        self.record(Record::InstanceKilled(process));
        self.clear_process(node);
        let delay_ms = self.rng.random_range(1_000..6_000);
        self.schedule(delay_ms, move |sim| sim.start_node(node));
        true
    }

    /// Ask an instance to stop, unless it is down or stopping, or at least two others are. Return
    /// whether it was asked.
    pub(crate) fn begin_shutdown(&mut self, node: usize) -> bool {
        let nodes = self.nodes.iter().enumerate();
        let unavailable = nodes
            .filter(|(_, n)| n.stopping_since.is_some() || !n.is_up())
            .count();
        if !self.nodes[node].is_up() || self.nodes[node].stopping_since.is_some() || unavailable > 1
        {
            return false;
        }
        let process = self.nodes[node].process();
        self.record(Record::ShutdownBegins(process));
        self.nodes[node].stopping_since = Some(self.now);
        let start_number = self.nodes[node].start_number;
        self.schedule_at_node(0, node, start_number, move |sim| {
            sim.handle_event(node, Event::Shutdown)
        });
        self.begin_step(FaultStep::Shutdown, Some(node), None, None);
        true
    }

    /// End the process of an instance that has drained, and start a new one later. Before it ends,
    /// its edge answers the requests that it has not passed to the core yet.
    pub(crate) fn exit_process(&mut self, node: usize) {
        let process = self.nodes[node].process();
        let generation = self.nodes[node]
            .in_force
            .map_or(Generation::new(0), |version| version.0);
        let unread: Vec<CallNumber> = self.nodes[node]
            .open_requests
            .values()
            .filter_map(|origin| match origin {
                Origin::Call(call) if !self.calls[call.0 as usize].read => Some(*call),
                _ => None,
            })
            .collect();
        for call in unread {
            self.end_call(call, Outcome::Unknown, String::new(), generation);
        }
        self.record(Record::InstanceExited(process));
        self.clear_process(node);
        self.schedule(1_000, move |sim| sim.start_node(node));
    }

    /// Discard the state of a process and close its connections.
    fn clear_process(&mut self, node: usize) {
        let target = &mut self.nodes[node];
        target.core = None;
        target.paused = false;
        target.backlog.clear();
        target.tasks.clear();
        target.request_calls.clear();
        let open = std::mem::take(&mut target.open_requests);
        for (_, origin) in open {
            match origin {
                Origin::Call(call) => self.end_lost_call(call),
                Origin::Ticket(_) => {}
                Origin::Peer {
                    node,
                    start_number,
                    req,
                } => self.fail_forward(node, start_number, req, 2),
            }
        }
    }

    /// Pause an instance's process for a random time. Return whether it was running.
    fn pause(&mut self, node: usize) -> bool {
        if !self.nodes[node].is_up() || self.nodes[node].paused {
            return false;
        }
        self.nodes[node].paused = true;
        let (process, start_number) = (self.nodes[node].process(), self.nodes[node].start_number);
        let impairment = Impairment::Paused;
        self.record(Record::FaultBegins {
            process,
            impairment,
        });
        let duration = self.rng.random_range(300..15_000);
        self.schedule(duration, move |sim| {
            if sim.nodes[node].start_number != start_number || !sim.nodes[node].paused {
                return;
            }
            sim.nodes[node].paused = false;
            let process = sim.nodes[node].process();
            let impairment = Impairment::Paused;
            sim.record(Record::FaultEnds {
                process,
                impairment,
            });
            // Whatever came due during the pause is handled before or after the first tick.
            if sim.rng.random_bool(0.5) {
                sim.handle_event(node, Event::Tick);
            }
            let backlog = std::mem::take(&mut sim.nodes[node].backlog);
            for callback in backlog {
                callback(sim);
            }
        });
        true
    }

    /// Return how a cut between the two zones hinders each instance.
    fn zone_cut_impairments(&self) -> Vec<(usize, Impairment)> {
        let mut impairments = Vec::new();
        for (index, node) in self.nodes.iter().enumerate() {
            impairments.push((index, Impairment::CutFromPeers));
            let servers = self.servers.iter().map(|server| &server.listed);
            for server in servers.filter(|server| server.zone != node.zone) {
                impairments.push((index, Impairment::CutFromServer(server.id.clone())));
            }
        }
        impairments
    }

    /// Begin a network fault that lasts a random time, and record how it hinders instances. Return
    /// `false` if the same fault is active already.
    fn begin_cut(&mut self, cut: Cut, impairments: Vec<(usize, Impairment)>) -> bool {
        if self.cuts.contains(&cut) {
            return false;
        }
        self.cuts.push(cut);
        let impairments: Vec<_> = impairments
            .into_iter()
            .map(|(node, impairment)| (self.nodes[node].process(), impairment))
            .collect();
        for (process, impairment) in impairments.iter().cloned() {
            self.record(Record::FaultBegins {
                process,
                impairment,
            });
        }
        let duration = self.rng.random_range(1_000..12_000);
        self.schedule(duration, move |sim| {
            sim.cuts.retain(|active| *active != cut);
            for (process, impairment) in impairments {
                sim.record(Record::FaultEnds {
                    process,
                    impairment,
                });
            }
        });
        true
    }

    /// Let the open connections between an instance and a server deliver nothing more, or all of
    /// its open connections to servers if it has none to this one. Return whether it had any.
    fn silence_connections(&mut self, node: usize, server: usize) -> bool {
        let is_open = |task: &AttemptTask| !task.ended && task.sent.is_some();
        let tasks = &mut self.nodes[node].tasks;
        let silence_all = !tasks
            .values()
            .any(|task| is_open(task) && task.server == server);
        let mut had_open = false;
        for task in tasks.values_mut() {
            if is_open(task) && (silence_all || task.server == server) {
                task.silenced_connection = task.connection;
                had_open = true;
            }
        }
        had_open
    }

    /// Publish a different document whose generation is the last one plus `generation_increase`.
    pub(crate) fn publish_document(&mut self, generation_increase: u64) {
        let mut document = (*self.platform.document).clone();
        self.platform.previous_document = self.platform.document.clone();
        document.generation += generation_increase;
        let timeout = self.rng.random_range(1..=999);
        if let Some(defaults) = &mut document.defaults {
            defaults.timeout_ms = 30_000 + timeout;
        }
        let version = format!("v{}", document.generation);
        for model in &mut document.models {
            model.version.clone_from(&version);
        }
        self.platform.document = Arc::new(document);
    }
}
