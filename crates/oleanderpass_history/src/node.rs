//! A simulated entry instance.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use oleanderpass_core::instance::Instance;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::Digest;
use oleanderpass_types::id::Generation;
use oleanderpass_types::id::Incarnation;
use oleanderpass_types::id::InstanceId;
use oleanderpass_types::id::RequestId;
use oleanderpass_types::id::StreamId;
use oleanderpass_types::id::ZoneId;

use crate::record::CallNumber;
use crate::record::InstanceProcess;
use crate::simulation::Simulation;
use crate::task::AttemptTask;

/// Code that the simulation runs at a certain time, or when a paused process continues.
pub(crate) type Callback = Box<dyn FnOnce(&mut Simulation)>;

/// Who waits for the core's answer to a request.
#[derive(Clone, Debug)]
pub(crate) enum Origin {
    /// A caller's request.
    Call(CallNumber),
    /// A caller that requests a ticket for the operation with this index.
    Ticket(usize),
    /// A peer that forwarded a request.
    Peer {
        node: usize,
        start_number: u32,
        /// The request's id at the peer.
        req: RequestId,
    },
}

/// An entry instance: the core, and the state of the edges that the harness replaces.
pub(crate) struct Node {
    pub(crate) id: InstanceId,
    pub(crate) zone: ZoneId,
    pub(crate) addr: SocketAddr,
    /// The number of the instance's last process, from 1. Callbacks of earlier ones are dropped.
    pub(crate) start_number: u32,
    pub(crate) incarnation: Incarnation,
    /// The core while the process runs, or `None` while the instance is down.
    pub(crate) core: Option<Instance>,
    /// How far the process's clock is ahead of the simulation's clock, in milliseconds.
    pub(crate) clock_offset_ms: u64,
    pub(crate) paused: bool,
    /// Callbacks that wait for the end of a pause, in the order in which they came due.
    pub(crate) backlog: Vec<Callback>,
    /// The attempts of this process by stream id, including those that ended.
    pub(crate) tasks: BTreeMap<String, AttemptTask>,
    /// The requests without an answer.
    pub(crate) open_requests: BTreeMap<RequestId, Origin>,
    /// The call and the index of the operation that each request belongs to.
    pub(crate) request_calls: BTreeMap<RequestId, (CallNumber, usize)>,
    /// The number of the last request id that was assigned.
    pub(crate) last_request: u64,
    /// The version of the document in force, or `None` before the first one.
    pub(crate) in_force: Option<(Generation, Digest)>,
    /// The simulation time at which the process was asked to stop, in milliseconds.
    pub(crate) stopping_since: Option<u64>,
}

impl Node {
    pub(crate) fn process(&self) -> InstanceProcess {
        InstanceProcess {
            instance: self.id.clone(),
            start_number: self.start_number,
        }
    }

    pub(crate) fn is_up(&self) -> bool {
        self.core.is_some()
    }

    /// Convert a simulation time in milliseconds to this process's clock.
    pub(crate) fn local_time(&self, now: u64) -> Timestamp {
        Timestamp::from_millis(now + self.clock_offset_ms)
    }

    /// Convert a time of this process's clock to the simulation time in milliseconds.
    pub(crate) fn to_simulation_time(&self, at: Timestamp) -> u64 {
        at.as_millis().saturating_sub(self.clock_offset_ms)
    }

    pub(crate) fn next_request_id(&mut self) -> RequestId {
        self.last_request += 1;
        RequestId {
            instance: self.id.clone(),
            incarnation: self.incarnation,
            number: self.last_request,
        }
    }

    pub(crate) fn task(&mut self, stream: &StreamId) -> Option<&mut AttemptTask> {
        self.tasks.get_mut(&stream.to_string())
    }

    /// Return the text that all attempts of a request delivered, in the order of their stream ids.
    pub(crate) fn delivered_text(&self, req: &RequestId) -> String {
        let tasks = self.tasks.values().filter(|task| task.stream.req == *req);
        tasks.map(|task| task.text.as_str()).collect()
    }
}
