//! Estimate how long a model engine takes for prefill and decode.

use oleanderpass_types::size::Tokens;

/// The speed and size of the engines of a service, as the configuration publishes them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineModel {
    /// The number of requests that one engine runs concurrently.
    pub slots: u32,
    /// The capacity of the KV cache of one engine.
    pub memory: Tokens,
    /// The prompt tokens that an engine prefills in a millisecond, not counting attention.
    pub prefill_tokens_per_ms: f64,
    /// The prefill time for a million pairs of a token and any earlier token, in milliseconds. It
    /// is the part of prefill that is quadratic in the length of the prompt.
    pub ms_per_million_pairs: f64,
    /// The base time of one token step, in milliseconds, without the requests that decode.
    pub step_ms: f64,
    /// The number of token steps in one pass.
    pub steps_per_pass: u32,
}

const MILLION: f64 = 1_000_000.0;

impl EngineModel {
    /// Return the milliseconds in which `parts` engines prefill a prompt of this length in equal
    /// parts.
    pub fn prefill_ms(&self, prompt: Tokens, parts: usize) -> f64 {
        let tokens = prompt.get() as f64;
        let pairs = tokens * tokens / 2.0 / MILLION;
        (tokens / self.prefill_tokens_per_ms + pairs * self.ms_per_million_pairs)
            / parts.max(1) as f64
    }

    /// Return the milliseconds of a pass that only decodes and prefills nothing.
    pub fn decode_pass_ms(&self) -> f64 {
        self.step_ms * f64::from(self.steps_per_pass)
    }
}
