//! Split a prompt over several engines.

use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::size::Tokens;

/// The engines over which one prompt is split at most. The longest prompts need a little more than
/// twice the memory of one engine, and each further engine is one more that can fail.
pub const MAX_ENGINES_PER_PROMPT: usize = 8;

/// The free memory of an engine as last reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineMemory {
    /// The engine.
    pub server: BackendServerId,
    /// Its free KV memory.
    pub free: Tokens,
}

/// The part of a prompt on one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// The engine.
    pub server: BackendServerId,
    /// The memory to hold there.
    pub tokens: Tokens,
}

/// The parts of one prompt in ascending order of engine id.
///
/// All instances take holds in this order, so a cycle of prompts that wait for each other can't
/// form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    parts: Vec<Part>,
}

impl Plan {
    /// Split `total` over as few engines as possible, those with the most free memory first, and
    /// leave at least `reserve` free on each.
    ///
    /// The engines keep the same free memory where possible, because a short prompt waits on an
    /// engine that is full for as long as the long prompt runs.
    ///
    /// Return `None` when [`MAX_ENGINES_PER_PROMPT`] of them don't have enough.
    pub fn new(total: Tokens, rooms: &[EngineMemory], reserve: Tokens) -> Option<Self> {
        let mut rooms: Vec<&EngineMemory> = rooms.iter().filter(|r| r.free > reserve).collect();
        rooms.sort_by(|a, b| b.free.cmp(&a.free).then_with(|| a.server.cmp(&b.server)));
        rooms.dedup_by(|a, b| a.server == b.server);
        rooms.truncate(MAX_ENGINES_PER_PROMPT);
        let usable = |room: &&EngineMemory| room.free.saturating_sub(reserve);
        let least = (1..=rooms.len())
            .find(|count| rooms[..*count].iter().map(usable).sum::<Tokens>() >= total)?;
        rooms.truncate(least);
        let mut parts = level(total, &rooms);
        parts.retain(|part| part.tokens > Tokens::ZERO);
        parts.sort_by(|a, b| a.server.cmp(&b.server));
        Some(Self { parts })
    }

    /// Return the parts in the order in which their holds are taken.
    pub fn parts(&self) -> &[Part] {
        &self.parts
    }

    /// Return the engine with the largest part. It runs the request, because it then moves the
    /// fewest tokens.
    pub fn runner(&self) -> Option<&BackendServerId> {
        let largest = self.parts.iter().max_by(|a, b| {
            a.tokens
                .cmp(&b.tokens)
                .then_with(|| b.server.cmp(&a.server))
        });
        largest.map(|part| &part.server)
    }
}

/// Take `total` from rooms in descending order of free memory so that what stays free is level.
fn level(total: Tokens, rooms: &[&EngineMemory]) -> Vec<Part> {
    let mut left = total.get();
    let mut parts: Vec<Part> = Vec::with_capacity(rooms.len());
    // The smallest room first: where an equal share doesn't fit, the others take the rest.
    for (index, room) in rooms.iter().enumerate().rev() {
        let others: u64 = rooms[..index].iter().map(|other| other.free.get()).sum();
        let count = index as u64 + 1;
        let stays_free = (others + room.free.get())
            .saturating_sub(left)
            .div_ceil(count);
        let tokens = room.free.get().saturating_sub(stays_free).min(left);
        left -= tokens;
        parts.push(Part {
            server: room.server.clone(),
            tokens: Tokens::new(tokens),
        });
    }
    parts
}
