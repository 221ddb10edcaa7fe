//! Bound the memory that the process holds for callers, backend servers, peers and the store.
//!
//! Connections of callers, bodies of requests and all answers share one part of the memory of the process, whatever connection they arrive on. An
//! answer may take as much as it leaves free. One large answer can so take half of the memory, and
//! many answers without end together never take all of it, because the room for each shrinks with
//! their number.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;

use oleanderpass_types::size::Bytes;

/// The part of the memory of the process that may be taken. The rest is for the state of the gateway,
/// the buffers of connections to servers and what the allocator keeps.
const ANSWER_PART: f64 = 0.5;

/// What an answer may take even if no memory is free, so that large ones and the bodies of requests
/// don't keep small ones out. With 2,500 requests at a time, that is 40 MB.
pub const ALWAYS_GRANTED: Bytes = Bytes::new(16 * 1024);

/// The part of the limit that is in use when memory counts as short. Bodies of requests don't grow
/// beyond it, because a request whose answer has no room is useless.
const SHORT_PART: f64 = 0.75;

/// The memory for answers. Clones refer to the same memory.
#[derive(Clone, Debug)]
pub struct AnswerMemory(Rc<State>);

#[derive(Debug)]
struct State {
    limit: Cell<Bytes>,
    used: Cell<Bytes>,
}

impl AnswerMemory {
    /// Create the memory for answers of a process that may use `process_size`.
    pub fn new(process_size: Bytes) -> Self {
        let memory = Self(Rc::new(State {
            limit: Cell::new(Bytes::ZERO),
            used: Cell::new(Bytes::ZERO),
        }));
        memory.set_process_size(process_size);
        memory
    }

    /// Change the memory that the process may use. Answers that already take more keep it.
    pub fn set_process_size(&self, process_size: Bytes) {
        let limit = process_size.get() as f64 * ANSWER_PART;
        self.0.limit.set(Bytes::new(limit as u64));
    }

    /// Return how much is taken.
    pub fn used(&self) -> Bytes {
        self.0.used.get()
    }

    /// Return how much may be taken.
    pub fn limit(&self) -> Bytes {
        self.0.limit.get()
    }

    /// Return whether so much is taken that bodies of requests could not grow by `size`.
    pub fn is_short_of(&self, size: Bytes) -> bool {
        let used = self.used() + size;
        used.get() as f64 > self.limit().get() as f64 * SHORT_PART
    }

    /// Return a share that has taken nothing yet.
    pub fn empty_share(&self) -> Share {
        Share {
            memory: self.clone(),
            held: Bytes::ZERO,
        }
    }
}

/// The memory that one answer has taken. It is given back when this is dropped.
#[derive(Debug)]
pub struct Share {
    memory: AnswerMemory,
    held: Bytes,
}

impl Share {
    /// Take `size` more.
    ///
    /// # Errors
    ///
    /// Return how the memory is used if the share would be larger than what it leaves free. The
    /// share is then unchanged.
    pub fn grow(&mut self, size: Bytes) -> Result<(), NoRoom> {
        let held = self.held + size;
        let used = self.memory.used() + size;
        let free = self.memory.limit().saturating_sub(used);
        if held > free && held > ALWAYS_GRANTED {
            return Err(NoRoom {
                held: self.held,
                used: self.memory.used(),
                limit: self.memory.limit(),
            });
        }
        self.take(size);
        Ok(())
    }

    /// Take `size` more, whether or not there is room. It leaves less for others.
    pub fn take(&mut self, size: Bytes) {
        self.held += size;
        let state = &self.memory.0;
        state.used.set(state.used.get() + size);
    }

    /// Give back `size`, or everything if that is less.
    pub fn shrink(&mut self, size: Bytes) {
        let size = if size < self.held { size } else { self.held };
        self.held = self.held.saturating_sub(size);
        let state = &self.memory.0;
        state.used.set(state.used.get().saturating_sub(size));
    }

    /// Give everything back.
    pub fn clear(&mut self) {
        self.shrink(self.held);
    }

    /// Return the memory that this is a share of.
    pub fn memory(&self) -> &AnswerMemory {
        &self.memory
    }

    /// Return how much the share has taken.
    pub fn held(&self) -> Bytes {
        self.held
    }

    /// Move everything that this share has taken to a new one.
    #[must_use]
    pub fn split_off(&mut self) -> Share {
        let rest = self.memory.empty_share();
        std::mem::replace(self, rest)
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.clear();
    }
}

/// An answer needs more memory than it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom {
    /// What the answer has taken.
    pub held: Bytes,
    /// What all answers have taken.
    pub used: Bytes,
    /// What all answers may take.
    pub limit: Bytes,
}

impl fmt::Display for NoRoom {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "an answer of more than {} exceeds its share of the memory: {} of {} are in use",
            self.held, self.used, self.limit
        )
    }
}

impl std::error::Error for NoRoom {}
