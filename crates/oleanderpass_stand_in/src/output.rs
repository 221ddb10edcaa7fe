//! Extract the prompt from a caller's request and generate a deterministic answer.
//!
//! The token at each position depends only on the prompt and the position, so a test can compute
//! the whole answer and another engine can continue an answer that broke off.

use oleanderpass_types::size::BYTES_PER_TOKEN;
use oleanderpass_types::size::Bytes;
use oleanderpass_types::size::Tokens;
use serde::Deserialize;
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens to generate for a request that sets neither `max_tokens` nor `max_completion_tokens`.
pub const DEFAULT_MAX_TOKENS: u64 = 16;

/// Length of the shortest cached prefix. Each longer one has twice the length of the one before.
pub const SHORTEST_PREFIX_TOKENS: u64 = 256;

const WORDS: [&str; 16] = [
    "amber", "basalt", "cedar", "dune", "ember", "fjord", "grove", "harbour", "inlet", "juniper",
    "kelp", "lichen", "meadow", "nettle", "orchard", "pebble",
];

#[derive(Deserialize)]
struct Message {
    #[serde(default)]
    role: String,
    #[serde(default)]
    content: Value,
}

impl Message {
    /// Return the message in the form whose prefixes entry instances hash.
    fn text(&self) -> String {
        let part = |part: &Value| match part {
            Value::String(text) => text.clone(),
            part => part["text"].as_str().unwrap_or_default().to_owned(),
        };
        let content = match &self.content {
            Value::Array(parts) => parts.iter().map(part).collect(),
            content => part(content),
        };
        format!("{}\n{content}\n", self.role)
    }
}

/// The fields of a caller's JSON that an engine uses.
#[derive(Deserialize)]
pub(crate) struct GenerateRequest {
    #[serde(default)]
    pub(crate) model: String,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<Message>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
}

impl GenerateRequest {
    /// Return the prompt: the field `prompt`, or the roles and contents of all messages in order.
    pub(crate) fn prompt(&self) -> String {
        let messages: String = self.messages.iter().map(Message::text).collect();
        format!("{}{messages}", self.prompt)
    }

    pub(crate) fn max_tokens(&self) -> u64 {
        self.max_tokens
            .or(self.max_completion_tokens)
            .unwrap_or(DEFAULT_MAX_TOKENS)
    }
}

/// Return the seed that the answer to a prompt is generated from: the xxh3 hash of the prompt.
pub fn prompt_seed(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}

/// Return the text of the token at a position, counted from 0.
pub fn token(seed: u64, position: u64) -> String {
    let index = xxh3_64_with_seed(&position.to_le_bytes(), seed) as usize % WORDS.len();
    format!(" {}", WORDS[index])
}

/// Return the first `tokens` tokens of the answer to a prompt.
pub fn answer(prompt: &str, tokens: u64) -> String {
    let seed = prompt_seed(prompt);
    (0..tokens).map(|position| token(seed, position)).collect()
}

/// Estimate the length of a prompt in tokens, from its bytes.
pub fn prompt_tokens(prompt: &str) -> u64 {
    Tokens::estimate(Bytes::new(prompt.len() as u64)).get()
}

/// Return the hash and the length in tokens of each prefix of a prompt that an engine caches, the
/// shortest first.
pub fn prefix_hashes(prompt: &str) -> Vec<(u64, u64)> {
    let bytes = prompt.as_bytes();
    std::iter::successors(Some(SHORTEST_PREFIX_TOKENS), |tokens| Some(tokens * 2))
        .map_while(|tokens| {
            let end = usize::try_from(tokens * BYTES_PER_TOKEN).ok()?;
            Some((xxh3_64(bytes.get(..end)?), tokens))
        })
        .collect()
}
