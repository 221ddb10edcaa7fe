//! Generate the trace of requests on which all policies are compared.

use oleanderpass_routing::rendezvous::weight;
use oleanderpass_routing::request::DEFAULT_LONG_PROMPT;
use oleanderpass_routing::request::Prefix;
use oleanderpass_types::size::Tokens;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::engine::EngineParameters;

/// Microseconds of virtual time.
pub type Micros = u64;

/// One second.
pub const SECOND: Micros = 1_000_000;

/// Each organisation's share of all requests: three large organisations and seven others.
pub const ORGANISATION_SHARES: [f64; 10] =
    [0.30, 0.22, 0.16, 0.08, 0.06, 0.05, 0.04, 0.04, 0.03, 0.02];

/// The number of organisations of class `large`, which come first in [`ORGANISATION_SHARES`].
pub const LARGE_ORGANISATIONS: usize = 3;

/// The share of prompts over 100,000 tokens. Source: section 1.4 of the design.
const VERY_LONG_PROMPT_SHARE: f64 = 1.0 / 50.0;

/// The median length of the other prompts, which are distributed log-normally.
const MEDIAN_PROMPT_TOKENS: f64 = 3_000.0;
/// The standard deviation of the natural logarithm of their length.
const LOG_PROMPT_DEVIATION: f64 = 1.1;

/// The number of prompt templates of each organisation: prefixes of 1,024 to 12,288 tokens that its
/// requests share.
const TEMPLATES_PER_ORGANISATION: u64 = 12;

/// The share of short requests that have batch priority.
const BATCH_SHARE: f64 = 0.1;

/// The mean of the generated tokens of a request, which are distributed geometrically.
pub const MEAN_OUTPUT_TOKENS: f64 = 200.0;

/// The length of the shortest prefix that is hashed. Each further one is twice as long.
const SHORTEST_PREFIX_TOKENS: u64 = 1_024;

/// One request of the trace.
#[derive(Clone, Debug)]
pub struct TraceRequest {
    /// The time of arrival at an entry instance.
    pub arrival: Micros,
    /// The index of the organisation in [`ORGANISATION_SHARES`].
    pub organisation: usize,
    /// A random number in 0..1 from which the external load balancer selects an instance.
    pub balancer_draw: f64,
    /// The length of the prompt.
    pub prompt_tokens: u64,
    /// The number of tokens to generate.
    pub output_tokens: u64,
    /// The hashed prefixes of the prompt, the shortest first.
    pub prefixes: Vec<Prefix>,
    /// The length of the longest hashed prefix within the organisation's template; 0 without one.
    pub shared_tokens: u64,
    /// The caller's timeout, from arrival to the last token.
    pub timeout: Micros,
    /// The request has batch priority. Batch requests are shed first and are left out of the TTFT.
    pub batch: bool,
}

impl TraceRequest {
    /// Return whether the prompt is longer than [`DEFAULT_LONG_PROMPT`].
    pub fn is_long(&self) -> bool {
        Tokens::new(self.prompt_tokens) > DEFAULT_LONG_PROMPT
    }

    /// Return the engine time that the request needs when its shared prefix is cached, in seconds.
    pub fn engine_time_s(&self, parameters: &EngineParameters) -> f64 {
        let prefill = (self.prompt_tokens - self.shared_tokens) as f64;
        let steps = prefill / parameters.chunk_tokens as f64;
        (prefill * parameters.prefill_token_ns as f64 / 1_000.0
            + steps * parameters.step_base as f64
            + self.output_tokens as f64 * parameters.sequence_time as f64)
            / SECOND as f64
    }
}

/// The parameters from which a trace is generated.
#[derive(Clone, Copy, Debug)]
pub struct TraceShape {
    /// The seed of the random number generator.
    pub seed: u64,
    /// The number of engines to which the load refers.
    pub engines: usize,
    /// The engine time that the requests need with every shared prefix cached, as a share of the
    /// time of all engines.
    pub load: f64,
    /// The time until which requests arrive.
    pub duration: Micros,
    /// The start and end of a burst with twice the load; `None` without a burst.
    pub burst: Option<(Micros, Micros)>,
}

/// Generate a trace with Poisson arrivals, in the order of arrival.
pub fn generate_trace(shape: TraceShape, parameters: &EngineParameters) -> Vec<TraceRequest> {
    let mut rng = Pcg64Mcg::new(u128::from(shape.seed) << 1 | 1);
    let sample: Vec<TraceRequest> = (0..20_000).map(|_| draw_request(&mut rng, 0)).collect();
    let mean_engine_time_s = sample
        .iter()
        .map(|req| req.engine_time_s(parameters))
        .sum::<f64>()
        / sample.len() as f64;
    let mean_rate_per_s = shape.load * shape.engines as f64 / mean_engine_time_s;
    let mut requests = Vec::new();
    let mut at_s = 0.0;
    loop {
        let in_burst = shape.burst.is_some_and(|(start, end)| {
            (start as f64..end as f64).contains(&(at_s * SECOND as f64))
        });
        let rate_per_s = if in_burst {
            2.0 * mean_rate_per_s
        } else {
            mean_rate_per_s
        };
        at_s -= (1.0 - rng.random::<f64>()).ln() / rate_per_s;
        let arrival = (at_s * SECOND as f64) as Micros;
        if arrival >= shape.duration {
            return requests;
        }
        requests.push(draw_request(&mut rng, arrival));
    }
}

fn draw_request(rng: &mut Pcg64Mcg, arrival: Micros) -> TraceRequest {
    let organisation = select_index(&ORGANISATION_SHARES, rng.random());
    let prompt_tokens = draw_prompt_tokens(rng);
    let (shared_tokens, prefixes) = draw_prefixes(rng, organisation as u64, prompt_tokens);
    let is_long = Tokens::new(prompt_tokens) > DEFAULT_LONG_PROMPT;
    let timeout_s = if is_long {
        rng.random_range(120..=300)
    } else {
        60
    };
    TraceRequest {
        arrival,
        organisation,
        balancer_draw: rng.random(),
        prompt_tokens,
        output_tokens: 1 + (-(1.0 - rng.random::<f64>()).ln() * MEAN_OUTPUT_TOKENS) as u64,
        prefixes,
        shared_tokens,
        timeout: timeout_s * SECOND,
        batch: !is_long && rng.random_bool(BATCH_SHARE),
    }
}

/// Return the index of the share that `number` in 0..1 selects, with a probability in proportion to
/// the share. The shares needn't add up to 1.
pub fn select_index(shares: &[f64], mut number: f64) -> usize {
    number *= shares.iter().sum::<f64>();
    for (index, share) in shares.iter().enumerate() {
        number -= share;
        if number < 0.0 {
            return index;
        }
    }
    shares.len() - 1
}

fn draw_prompt_tokens(rng: &mut Pcg64Mcg) -> u64 {
    if rng.random_bool(VERY_LONG_PROMPT_SHARE) {
        return (100_000.0 * 10_f64.powf(rng.random::<f64>())) as u64 + 1;
    }
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.random::<f64>()).cos();
    (MEDIAN_PROMPT_TOKENS * (LOG_PROMPT_DEVIATION * normal).exp()).clamp(1_000.0, 100_000.0) as u64
}

/// Draw a template, use it when it is shorter than the prompt, and return the number of shared
/// tokens and the prompt's prefixes.
fn draw_prefixes(rng: &mut Pcg64Mcg, organisation: u64, prompt_tokens: u64) -> (u64, Vec<Prefix>) {
    let unique_content: u64 = rng.random();
    let number =
        (rng.random::<f64>() * rng.random::<f64>() * TEMPLATES_PER_ORGANISATION as f64) as u64;
    let template = organisation * TEMPLATES_PER_ORGANISATION + number;
    let template_tokens =
        SHORTEST_PREFIX_TOKENS + weight(template, 1) % (11 * SHORTEST_PREFIX_TOKENS);
    let template_tokens = if template_tokens < prompt_tokens {
        template_tokens
    } else {
        0
    };
    let mut prefixes = Vec::new();
    let mut shared_tokens = 0;
    let mut tokens = SHORTEST_PREFIX_TOKENS;
    while tokens <= prompt_tokens {
        let content = if tokens <= template_tokens {
            template
        } else {
            unique_content
        };
        if tokens <= template_tokens {
            shared_tokens = tokens;
        }
        prefixes.push(Prefix {
            hash: weight(content, tokens),
            tokens: Tokens::new(tokens),
        });
        tokens *= 2;
    }
    (shared_tokens, prefixes)
}
