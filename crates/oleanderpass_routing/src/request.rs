//! Describe a request for the routing policy.

use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::size::Tokens;

/// The length above which a prompt is long when the environment document sets none.
pub const DEFAULT_LONG_PROMPT: Tokens = Tokens::new(32_768);

/// The shortest prefix that selects engines by rendezvous hashing.
///
/// A hit on a shorter prefix saves less prefill time than one batch step takes.
pub const MIN_AFFINITY_PREFIX: Tokens = Tokens::new(1_024);

/// A prefix of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Prefix {
    /// The hash of the prefix. Engines name the prefix by it in their cache events.
    pub hash: u64,
    /// The length of the prefix from the start of the prompt.
    pub tokens: Tokens,
}

/// The length class of a prompt, which decides the engines and the priority that it runs with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LengthClass {
    /// At most as long as the configured limit for short prompts.
    Short,
    /// Longer than the configured limit for short prompts.
    Long,
}

impl LengthClass {
    /// Classify a prompt; `long_prompt` is the length above which it is long.
    pub fn of(prompt: Tokens, long_prompt: Tokens) -> Self {
        if prompt > long_prompt {
            LengthClass::Long
        } else {
            LengthClass::Short
        }
    }
}

/// A request to place.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The length of the prompt.
    pub prompt: Tokens,
    /// The number of generated tokens to expect, for the estimates of finish time and memory.
    pub expected_output: Tokens,
    /// Prefixes of the prompt, the shortest first.
    pub prefixes: &'a [Prefix],
    /// The time by which the last token must arrive.
    pub deadline: Timestamp,
    /// Whether the request has waited so long that it may use engines and memory that are otherwise
    /// reserved for short prompts.
    pub urgent: bool,
    /// Backend servers not to choose, for example because they failed or refused this request.
    pub excluded: &'a [BackendServerId],
}

impl Request<'_> {
    /// Return the hash of the shortest prefix of at least [`MIN_AFFINITY_PREFIX`], if there is one.
    ///
    /// It selects engines by rendezvous hashing.
    pub fn affinity_key(&self) -> Option<u64> {
        self.prefixes
            .iter()
            .find(|prefix| prefix.tokens >= MIN_AFFINITY_PREFIX)
            .map(|prefix| prefix.hash)
    }

    /// Return the KV cache memory that the request needs at its end.
    pub fn memory(&self) -> Tokens {
        self.prompt + self.expected_output
    }
}
