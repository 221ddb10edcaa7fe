//! Generate the requests that all policies are compared on.

use oleanderpass_routing::rendezvous::weight;
use oleanderpass_routing::request::DEFAULT_LONG_PROMPT;
use oleanderpass_routing::request::Prefix;
use oleanderpass_types::size::Tokens;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::engine::EngineFigures;

/// Microseconds of virtual time.
pub type Micros = u64;

/// One second.
pub const SECOND: Micros = 1_000_000;

/// The shares of the organisations' requests: three large ones and seven others. Assumed.
pub const ORGANISATION_SHARES: [f64; 10] =
    [0.30, 0.22, 0.16, 0.08, 0.06, 0.05, 0.04, 0.04, 0.03, 0.02];

/// The organisations of class `large`.
pub const LARGE_ORGANISATIONS: usize = 3;

/// The share of prompts over 100,000 tokens. Source: section 1.4 of the design.
const VERY_LONG_SHARE: f64 = 1.0 / 50.0;

/// The median and the logarithmic deviation of the other prompts. Assumed.
const MEDIAN_PROMPT: f64 = 3_000.0;
const PROMPT_SIGMA: f64 = 1.1;

/// The shared prefixes of each organisation, with lengths from 1,024 to 12,288 tokens. Assumed.
const TEMPLATES: u64 = 12;

/// The share of short requests that may wait. Assumed.
const BATCH_SHARE: f64 = 0.1;

/// The average of generated tokens, which are geometrically distributed. Assumed.
pub const MEAN_OUTPUT: f64 = 200.0;

/// The length of the shortest prefix that is hashed; each longer one has twice the length.
const FIRST_PREFIX: u64 = 1_024;

/// One request of the trace.
#[derive(Clone, Debug)]
pub struct TraceRequest {
    /// The arrival at an entry instance.
    pub at: Micros,
    /// The number of the organisation.
    pub organisation: usize,
    /// A number in 0..1 that the balancer maps to an instance.
    pub balance: f64,
    /// The length of the prompt.
    pub prompt: u64,
    /// The generated tokens.
    pub output: u64,
    /// Prefixes of the prompt, the shortest first.
    pub prefixes: Vec<Prefix>,
    /// The tokens of the prompt that other requests share.
    pub shared: u64,
    /// The time that the caller gives.
    pub timeout: Micros,
    /// The request may wait.
    pub batch: bool,
}

impl TraceRequest {
    /// Return whether the prompt is long.
    pub fn is_long(&self) -> bool {
        Tokens::new(self.prompt) > DEFAULT_LONG_PROMPT
    }

    /// Return the engine time that the request takes when its shared prefix is cached, in seconds.
    pub fn work(&self, figures: &EngineFigures) -> f64 {
        let prefill = (self.prompt - self.shared) as f64;
        let steps = prefill / figures.chunk as f64;
        (prefill * figures.prefill_token_ns as f64 / 1_000.0
            + steps * figures.step_base as f64
            + self.output as f64 * figures.sequence as f64)
            / SECOND as f64
    }
}

/// The size and the load of a trace.
#[derive(Clone, Copy, Debug)]
pub struct TraceShape {
    /// The seed.
    pub seed: u64,
    /// The number of engines.
    pub engines: usize,
    /// The load: work with every shared prefix cached over the time of all engines.
    pub load: f64,
    /// The length of the trace.
    pub duration: Micros,
    /// The time of a burst of twice the load.
    pub burst: Option<(Micros, Micros)>,
}

/// Generate a trace.
pub fn generate(shape: TraceShape, figures: &EngineFigures) -> Vec<TraceRequest> {
    let mut rng = Pcg64Mcg::new(u128::from(shape.seed) << 1 | 1);
    let sample: Vec<TraceRequest> = (0..20_000).map(|_| draw(&mut rng, 0)).collect();
    let mean = sample.iter().map(|req| req.work(figures)).sum::<f64>() / sample.len() as f64;
    let per_s = shape.load * shape.engines as f64 / mean;
    let mut requests = Vec::new();
    let mut at = 0.0;
    loop {
        let burst = shape
            .burst
            .is_some_and(|(start, end)| (start as f64..end as f64).contains(&(at * SECOND as f64)));
        let rate = if burst { 2.0 * per_s } else { per_s };
        at -= (1.0 - rng.random::<f64>()).ln() / rate;
        let micros = (at * SECOND as f64) as Micros;
        if micros >= shape.duration {
            return requests;
        }
        requests.push(draw(&mut rng, micros));
    }
}

fn draw(rng: &mut Pcg64Mcg, at: Micros) -> TraceRequest {
    let organisation = pick(&ORGANISATION_SHARES, rng.random());
    let prompt = draw_prompt(rng);
    let (shared, prefixes) = draw_prefixes(rng, organisation as u64, prompt);
    let is_long = Tokens::new(prompt) > DEFAULT_LONG_PROMPT;
    let timeout = if is_long {
        rng.random_range(120..=300)
    } else {
        60
    };
    TraceRequest {
        at,
        organisation,
        balance: rng.random(),
        prompt,
        output: 1 + (-(1.0 - rng.random::<f64>()).ln() * MEAN_OUTPUT) as u64,
        prefixes,
        shared,
        timeout: timeout * SECOND,
        batch: !is_long && rng.random_bool(BATCH_SHARE),
    }
}

/// Return the index that a number in 0..1 selects among shares.
pub fn pick(shares: &[f64], mut number: f64) -> usize {
    number *= shares.iter().sum::<f64>();
    for (index, share) in shares.iter().enumerate() {
        number -= share;
        if number < 0.0 {
            return index;
        }
    }
    shares.len() - 1
}

fn draw_prompt(rng: &mut Pcg64Mcg) -> u64 {
    if rng.random_bool(VERY_LONG_SHARE) {
        return (100_000.0 * 10_f64.powf(rng.random::<f64>())) as u64 + 1;
    }
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.random::<f64>()).cos();
    (MEDIAN_PROMPT * (PROMPT_SIGMA * normal).exp()).clamp(1_000.0, 100_000.0) as u64
}

/// Draw a template that fits in the prompt and hash the prompt's prefixes.
fn draw_prefixes(rng: &mut Pcg64Mcg, organisation: u64, prompt: u64) -> (u64, Vec<Prefix>) {
    let unique: u64 = rng.random();
    let number = (rng.random::<f64>() * rng.random::<f64>() * TEMPLATES as f64) as u64;
    let template = organisation * TEMPLATES + number;
    let length = FIRST_PREFIX + weight(template, 1) % (11 * FIRST_PREFIX);
    let length = if length < prompt { length } else { 0 };
    let mut prefixes = Vec::new();
    let mut shared = 0;
    let mut tokens = FIRST_PREFIX;
    while tokens <= prompt {
        let content = if tokens <= length { template } else { unique };
        if tokens <= length {
            shared = tokens;
        }
        prefixes.push(Prefix {
            hash: weight(content, tokens),
            tokens: Tokens::new(tokens),
        });
        tokens *= 2;
    }
    (shared, prefixes)
}
