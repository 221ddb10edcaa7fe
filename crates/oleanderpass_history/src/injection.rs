//! Inject faults at steps and count what they hit.

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
use crate::task::Task;
use crate::world::Cut;
use crate::world::World;
use crate::world::ZONES;

/// What a fault hits.
#[derive(Clone, Copy, Debug)]
struct Victim {
    node: usize,
    server: usize,
    call: Option<CallNumber>,
}

impl World {
    /// Note that a step begins, and inject the faults that are planned for it.
    ///
    /// Where the step has no instance or server of its own, the fault hits a random one.
    pub(crate) fn at_step(
        &mut self,
        step: FaultStep,
        node: Option<usize>,
        server: Option<usize>,
        call: Option<CallNumber>,
    ) {
        let operation = call.map(|call| self.calls[call.0 as usize].operation);
        let once = operation.is_some_and(|operation| self.operations[operation].once);
        let counts = self.occurrences.entry(step).or_default();
        counts[0] += 1;
        counts[1] += u32::from(once);
        let counts = *counts;
        let fires = |t: &&Trigger| {
            let counted = once || !t.once_only;
            t.step == step && counted && t.occurrence == counts[usize::from(t.once_only)]
        };
        let due: Vec<Trigger> = self.triggers.iter().filter(fires).copied().collect();
        for trigger in due {
            let victim = Victim {
                node: node.unwrap_or_else(|| self.rng.random_range(0..self.nodes.len())),
                server: server.unwrap_or_else(|| self.rng.random_range(0..self.servers.len())),
                call: call.or_else(|| self.random_open_call()),
            };
            let done = self.inject(trigger.fault, victim);
            let text = format!("{} at {step}: {victim:?}, hit: {done}", trigger.fault);
            self.trace.push((self.now, text));
            if done {
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

    /// Inject a fault. Return whether there was something to hit.
    fn inject(&mut self, fault: Fault, victim: Victim) -> bool {
        let Victim { node, server, call } = victim;
        match fault {
            Fault::Kill => self.kill(node),
            Fault::Pause => self.pause(node),
            Fault::OneWayCut => self.cut(
                Cut::NodeToPeers(node),
                vec![(node, Impairment::CutFromPeers)],
            ),
            Fault::TwoWayCut => {
                let zone = node / (self.nodes.len() / ZONES.len());
                let impaired = self.impaired_by_zone_cut();
                self.cut(Cut::Zone(zone), impaired)
            }
            Fault::ServerCut => {
                let id = self.servers[server].listed.id.clone();
                let impaired = vec![(node, Impairment::CutFromServer(id))];
                self.cut(Cut::NodeServer(node, server), impaired)
            }
            Fault::SilentConnection => self.silence(node, server),
            Fault::ConfigDown => self.cut(Cut::Platform, Vec::new()),
            Fault::ConfigStale => {
                self.platform.stale = true;
                let time = self.rng.random_range(2_000..20_000);
                self.after(time, |w| w.platform.stale = false);
                true
            }
            Fault::ListLag => {
                let list = self.list();
                self.platform.frozen.get_or_insert(list);
                let time = self.rng.random_range(5_000..20_000);
                self.after(time, |w| w.platform.frozen = None);
                true
            }
            Fault::TwoOperators => {
                self.publish(1);
                let gap = self.rng.random_range(1..2_500);
                self.after(gap, |w| w.publish(0));
                // The operators see the alarm and promote the next generation.
                self.after(gap + 4_000, |w| w.publish(1));
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
                let staying = self.servers[server].up && !self.servers[server].leaving;
                self.leave_server(server);
                staying
            }
            Fault::CallerResend => call.is_some_and(|call| self.resend_now(call)),
            Fault::CallerGone => call.is_some_and(|call| self.close_call(call)),
            Fault::PlannedStop if self.nodes[node].stopping_since.is_some() => {
                let start = self.nodes[node].start;
                self.at_node_after(1, node, start, move |w| w.handle(node, Event::Shutdown));
                true
            }
            Fault::PlannedStop => self.stop(node),
        }
    }

    /// End an instance without notice and start its next life later.
    pub(crate) fn kill(&mut self, node: usize) -> bool {
        if !self.nodes[node].is_up() {
            return false;
        }
        let life = self.nodes[node].life();
        self.record(Record::Killed(life));
        self.clear(node);
        let wait = self.rng.random_range(1_000..6_000);
        self.after(wait, move |w| w.boot(node));
        true
    }

    /// Ask an instance to stop.
    pub(crate) fn stop(&mut self, node: usize) -> bool {
        let others = self.nodes.iter().enumerate();
        let stopping = others
            .filter(|(_, n)| n.stopping_since.is_some() || !n.is_up())
            .count();
        if !self.nodes[node].is_up() || self.nodes[node].stopping_since.is_some() || stopping > 1 {
            return false;
        }
        let life = self.nodes[node].life();
        self.record(Record::ShutdownBegins(life));
        self.nodes[node].stopping_since = Some(self.now);
        let start = self.nodes[node].start;
        self.at_node_after(0, node, start, move |w| w.handle(node, Event::Shutdown));
        self.at_step(FaultStep::Shutdown, Some(node), None, None);
        true
    }

    /// End the process of an instance that has drained. Its edge answers the requests that the core
    /// has not seen.
    pub(crate) fn exit(&mut self, node: usize) {
        let life = self.nodes[node].life();
        let generation = self.nodes[node]
            .in_force
            .map_or(Generation::new(0), |held| held.0);
        let unseen: Vec<CallNumber> = self.nodes[node]
            .open
            .values()
            .filter_map(|origin| match origin {
                Origin::Call(call) if !self.calls[call.0 as usize].read => Some(*call),
                _ => None,
            })
            .collect();
        for call in unseen {
            self.end_call(call, Outcome::Unknown, String::new(), generation);
        }
        self.record(Record::Exit(life));
        self.clear(node);
        self.after(1_000, move |w| w.boot(node));
    }

    /// Drop the state of a process and close its connections.
    fn clear(&mut self, node: usize) {
        let target = &mut self.nodes[node];
        target.core = None;
        target.paused = false;
        target.backlog.clear();
        target.tasks.clear();
        target.bodies.clear();
        let open = std::mem::take(&mut target.open);
        for (_, origin) in open {
            match origin {
                Origin::Call(call) => self.lose_call(call),
                Origin::Ticket(_) => {}
                Origin::Peer { node, start, req } => self.fail_forward(node, start, req, 2),
            }
        }
    }

    fn pause(&mut self, node: usize) -> bool {
        if !self.nodes[node].is_up() || self.nodes[node].paused {
            return false;
        }
        self.nodes[node].paused = true;
        let (at, start) = (self.nodes[node].life(), self.nodes[node].start);
        let impairment = Impairment::Paused;
        self.record(Record::FaultBegins { at, impairment });
        let time = self.rng.random_range(300..15_000);
        self.after(time, move |w| {
            if w.nodes[node].start != start || !w.nodes[node].paused {
                return;
            }
            w.nodes[node].paused = false;
            let at = w.nodes[node].life();
            let impairment = Impairment::Paused;
            w.record(Record::FaultEnds { at, impairment });
            // What arrived in the pause is handled before or after the first tick.
            if w.rng.random_bool(0.5) {
                w.handle(node, Event::Tick);
            }
            let backlog = std::mem::take(&mut w.nodes[node].backlog);
            for work in backlog {
                work(w);
            }
        });
        true
    }

    /// Return what a cut between the two zones keeps each instance from.
    fn impaired_by_zone_cut(&self) -> Vec<(usize, Impairment)> {
        let mut impaired = Vec::new();
        for (index, node) in self.nodes.iter().enumerate() {
            impaired.push((index, Impairment::CutFromPeers));
            let others = self.servers.iter().map(|server| &server.listed);
            for server in others.filter(|server| server.zone != node.zone) {
                impaired.push((index, Impairment::CutFromServer(server.id.clone())));
            }
        }
        impaired
    }

    fn cut(&mut self, cut: Cut, impaired: Vec<(usize, Impairment)>) -> bool {
        if self.cuts.contains(&cut) {
            return false;
        }
        self.cuts.push(cut);
        let impaired: Vec<_> = impaired
            .into_iter()
            .map(|(node, impairment)| (self.nodes[node].life(), impairment))
            .collect();
        for (at, impairment) in impaired.iter().cloned() {
            self.record(Record::FaultBegins { at, impairment });
        }
        let time = self.rng.random_range(1_000..12_000);
        self.after(time, move |w| {
            w.cuts.retain(|held| *held != cut);
            for (at, impairment) in impaired {
                w.record(Record::FaultEnds { at, impairment });
            }
        });
        true
    }

    /// Let the open connections between an instance and a server deliver nothing more, or all its
    /// open connections to servers if there is none to this one.
    fn silence(&mut self, node: usize, server: usize) -> bool {
        let open = |task: &Task| !task.ended && task.sent.is_some();
        let tasks = &mut self.nodes[node].tasks;
        let any = !tasks
            .values()
            .any(|task| open(task) && task.server == server);
        let mut hit = false;
        for task in tasks.values_mut() {
            if open(task) && (any || task.server == server) {
                task.silenced = task.connection;
                hit = true;
            }
        }
        hit
    }

    /// Publish a new document whose generation is `rise` above the last one.
    pub(crate) fn publish(&mut self, rise: u64) {
        let mut document = (*self.platform.document).clone();
        self.platform.older = self.platform.document.clone();
        document.generation += rise;
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
