//! The split of a prompt over several engines.

use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::size::Tokens;

/// Maximum number of engines over which one prompt is split. The longest prompts need a little more
/// than twice the memory of one engine, and each further engine is one more that can fail.
pub const MAX_ENGINES_PER_PROMPT: usize = 8;

/// The free KV cache memory of one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineMemory {
    /// The engine.
    pub server: BackendServerId,
    /// The free memory, as the engine last reported it.
    pub free: Tokens,
}

/// The part of a prompt on one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// The engine.
    pub server: BackendServerId,
    /// The memory to hold on the engine.
    pub tokens: Tokens,
}

/// The parts of one prompt in ascending order of engine id.
///
/// All instances request holds in this order, so a cycle of prompts that wait for each other can't
/// form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    parts: Vec<Part>,
}

impl Plan {
    /// Split `total` over as few engines as possible, those with the most free memory first, and
    /// leave at least `reserve` free on each.
    ///
    /// Where possible, the engines are left with the same free memory: a short prompt on an engine
    /// that the long prompt fills would wait until the long prompt ends.
    ///
    /// Return `None` when [`MAX_ENGINES_PER_PROMPT`] engines don't have enough free memory.
    pub fn new(total: Tokens, engines: &[EngineMemory], reserve: Tokens) -> Option<Self> {
        let mut engines: Vec<&EngineMemory> = engines
            .iter()
            .filter(|engine| engine.free > reserve)
            .collect();
        engines.sort_by(|a, b| b.free.cmp(&a.free).then_with(|| a.server.cmp(&b.server)));
        engines.dedup_by(|a, b| a.server == b.server);
        engines.truncate(MAX_ENGINES_PER_PROMPT);
        let usable = |engine: &&EngineMemory| engine.free.saturating_sub(reserve);
        let fewest = (1..=engines.len())
            .find(|count| engines[..*count].iter().map(usable).sum::<Tokens>() >= total)?;
        engines.truncate(fewest);
        let mut parts = balance_free_memory(total, &engines);
        parts.retain(|part| part.tokens > Tokens::ZERO);
        parts.sort_by(|a, b| a.server.cmp(&b.server));
        Some(Self { parts })
    }

    /// Return the parts in the order in which their holds are requested.
    pub fn parts(&self) -> &[Part] {
        &self.parts
    }

    /// Return the engine with the largest part. The request runs there, because that moves the
    /// fewest tokens between engines.
    pub fn runner(&self) -> Option<&BackendServerId> {
        let largest = self.parts.iter().max_by(|a, b| {
            a.tokens
                .cmp(&b.tokens)
                .then_with(|| b.server.cmp(&a.server))
        });
        largest.map(|part| &part.server)
    }
}

/// Split `total` so that the engines are left with the same free memory where possible. `engines`
/// are in descending order of free memory.
fn balance_free_memory(total: Tokens, engines: &[&EngineMemory]) -> Vec<Part> {
    let mut remaining = total.get();
    let mut parts: Vec<Part> = Vec::with_capacity(engines.len());
    // Start with the engine that has the least free memory: what doesn't fit there goes to the
    // others.
    for (index, engine) in engines.iter().enumerate().rev() {
        let others: u64 = engines[..index].iter().map(|other| other.free.get()).sum();
        let count = index as u64 + 1;
        let free_after = (others + engine.free.get())
            .saturating_sub(remaining)
            .div_ceil(count);
        let tokens = engine.free.get().saturating_sub(free_after).min(remaining);
        remaining -= tokens;
        parts.push(Part {
            server: engine.server.clone(),
            tokens: Tokens::new(tokens),
        });
    }
    parts
}
