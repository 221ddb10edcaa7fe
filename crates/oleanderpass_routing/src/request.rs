//! Describe a request as the routing policy sees it.

use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::size::Tokens;

/// The length from which a prompt is long when the document names none.
pub const DEFAULT_LONG_PROMPT: Tokens = Tokens::new(32_768);

/// The shortest prefix that selects engines by rendezvous hashing.
///
/// A shorter prefix saves less prefill than one batch step takes.
pub const MIN_AFFINITY_PREFIX: Tokens = Tokens::new(1_024);

/// A prefix of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Prefix {
    /// The hash of the prefix.
    pub hash: u64,
    /// The length of the prefix.
    pub tokens: Tokens,
}

/// Whether a prompt belongs to the long part of the engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LengthClass {
    /// At most the long prompt length.
    Short,
    /// Longer than the long prompt length.
    Long,
}

impl LengthClass {
    /// Classify a prompt.
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
    /// The generated tokens to expect, for the estimate of the finish and for memory.
    pub expected_output: Tokens,
    /// Prefixes of the prompt, the shortest first.
    pub prefixes: &'a [Prefix],
    /// The end of the request's time.
    pub deadline: Timestamp,
    /// The request has waited long: it may use what is reserved for others.
    pub urgent: bool,
    /// Backend servers that failed or refused this request.
    pub excluded: &'a [BackendServerId],
}

impl Request<'_> {
    /// Return the prefix hash that selects engines, if the prompt has a long enough prefix.
    pub fn affinity_key(&self) -> Option<u64> {
        self.prefixes
            .iter()
            .find(|prefix| prefix.tokens >= MIN_AFFINITY_PREFIX)
            .map(|prefix| prefix.hash)
    }

    /// Return the KV memory that the request takes at its end.
    pub fn memory(&self) -> Tokens {
        self.prompt + self.expected_output
    }
}
