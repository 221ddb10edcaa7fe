//! Keep an entry instance of the harness.

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
use crate::record::Life;
use crate::task::Task;
use crate::world::World;

/// Work of a process that happens when the process runs.
pub(crate) type Work = Box<dyn FnOnce(&mut World)>;

/// Who waits for the answer to a request of the core.
#[derive(Clone, Debug)]
pub(crate) enum Origin {
    /// A caller's request.
    Call(CallNumber),
    /// A caller that asks for a ticket for the operation with this index.
    Ticket(usize),
    /// A peer that forwards a request.
    Peer {
        node: usize,
        start: u32,
        req: RequestId,
    },
}

/// An entry instance with the state of its edges.
pub(crate) struct Node {
    pub(crate) id: InstanceId,
    pub(crate) zone: ZoneId,
    pub(crate) addr: SocketAddr,
    pub(crate) start: u32,
    pub(crate) incarnation: Incarnation,
    /// The core, while the process lives.
    pub(crate) core: Option<Instance>,
    /// The process clock's lead over the harness clock.
    pub(crate) offset: u64,
    pub(crate) paused: bool,
    /// Work that waits for the end of a pause.
    pub(crate) backlog: Vec<Work>,
    pub(crate) tasks: BTreeMap<String, Task>,
    pub(crate) open: BTreeMap<RequestId, Origin>,
    /// The call and the index of the operation that each request carries.
    pub(crate) bodies: BTreeMap<RequestId, (CallNumber, usize)>,
    pub(crate) last_request: u64,
    pub(crate) in_force: Option<(Generation, Digest)>,
    pub(crate) stopping_since: Option<u64>,
}

impl Node {
    pub(crate) fn life(&self) -> Life {
        Life {
            instance: self.id.clone(),
            start: self.start,
        }
    }

    pub(crate) fn is_up(&self) -> bool {
        self.core.is_some()
    }

    /// Convert a harness time to this process's clock.
    pub(crate) fn clock(&self, now: u64) -> Timestamp {
        Timestamp::from_millis(now + self.offset)
    }

    /// Convert a time of this process's clock to the harness clock.
    pub(crate) fn harness_time(&self, at: Timestamp) -> u64 {
        at.as_millis().saturating_sub(self.offset)
    }

    pub(crate) fn draw_request(&mut self) -> RequestId {
        self.last_request += 1;
        RequestId {
            instance: self.id.clone(),
            incarnation: self.incarnation,
            number: self.last_request,
        }
    }

    pub(crate) fn task(&mut self, stream: &StreamId) -> Option<&mut Task> {
        self.tasks.get_mut(&stream.to_string())
    }

    /// Return the text that the attempts of a request delivered to its caller.
    pub(crate) fn delivered(&self, req: &RequestId) -> String {
        let tasks = self.tasks.values().filter(|task| task.stream.req == *req);
        tasks.map(|task| task.text.as_str()).collect()
    }
}
