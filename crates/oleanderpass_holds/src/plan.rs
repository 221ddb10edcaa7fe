//! Split a prompt over several engines.

use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::size::Tokens;

/// The engines over which one prompt is split at most. The longest prompts need a little more than
/// twice the memory of one engine, and each further engine is one more that can fail.
pub const MAX_ENGINES_PER_PROMPT: usize = 8;

/// The free memory of an engine as last reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineRoom {
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
    /// Split `total` over as few engines as possible, those with the most free memory first.
    ///
    /// Return `None` when [`MAX_ENGINES_PER_PROMPT`] of them don't have enough.
    pub fn new(total: Tokens, rooms: &[EngineRoom]) -> Option<Self> {
        let mut rooms: Vec<&EngineRoom> = rooms.iter().filter(|r| r.free > Tokens::ZERO).collect();
        rooms.sort_by(|a, b| b.free.cmp(&a.free).then_with(|| a.server.cmp(&b.server)));
        rooms.dedup_by(|a, b| a.server == b.server);
        let mut left = total;
        let mut parts = Vec::new();
        for room in rooms.into_iter().take(MAX_ENGINES_PER_PROMPT) {
            if left == Tokens::ZERO {
                break;
            }
            let tokens = left.min(room.free);
            left = left.saturating_sub(tokens);
            parts.push(Part {
                server: room.server.clone(),
                tokens,
            });
        }
        if left > Tokens::ZERO || parts.is_empty() {
            return None;
        }
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
