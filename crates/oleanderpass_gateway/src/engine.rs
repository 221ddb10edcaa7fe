//! Estimate what work costs a model engine.

use oleanderpass_types::size::Tokens;

/// The published speed and size of the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineModel {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// The KV memory of one engine.
    pub memory: Tokens,
    /// Prompt tokens read in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Milliseconds for a million pairs of a token and any earlier token.
    pub ms_per_million_pairs: f64,
    /// Milliseconds of one token step, without the requests that write.
    pub step_ms: f64,
    /// Token steps in one pass over an engine's work.
    pub steps_per_pass: u32,
}

/// The pairs in a million.
const MILLION: f64 = 1_000_000.0;

impl EngineModel {
    /// Return the milliseconds in which `parts` engines read a prompt of this length in even parts.
    pub fn read_ms(&self, prompt: Tokens, parts: usize) -> f64 {
        let tokens = prompt.get() as f64;
        let pairs = tokens * tokens / 2.0 / MILLION;
        (tokens / self.prefill_tokens_per_ms + pairs * self.ms_per_million_pairs)
            / parts.max(1) as f64
    }

    /// Return the milliseconds of a pass with writers that reads nothing.
    pub fn idle_pass_ms(&self) -> f64 {
        self.step_ms * f64::from(self.steps_per_pass)
    }
}
