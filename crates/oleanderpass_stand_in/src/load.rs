//! Send load to an engine or an entry instance and measure the time to first token.
//!
//! Every answer is compared with the expected one: a fast but wrong answer counts as an error.

use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use clap::Args;
use clap::Subcommand;
use eyre::WrapErr;
use eyre::bail;
use hdrhistogram::Histogram;
use http::Request;
use http::StatusCode;
use http::header;
use oleanderpass_types::size::BYTES_PER_TOKEN;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::client::SseReader;
use crate::client::read_body;
use crate::client::send;
use crate::output::answer;

/// Largest time that a histogram records: one hour. Longer times are recorded as this one.
const MAX_MICROS: u64 = 3_600_000_000;

/// Number of errors of one run that are printed.
const MAX_PRINTED_ERRORS: u64 = 5;

/// What to measure.
#[derive(Clone, Debug, Subcommand)]
pub enum LoadCommand {
    /// Send requests in a closed loop or at a fixed rate.
    Run(RunConfig),
    /// Send pairs of requests of the same form, one directly to an engine and one through an entry
    /// instance, and report the differences of their times to first token.
    Compare(CompareConfig),
    /// Keep streams open and report the threads and the memory of a process.
    Streams(StreamsConfig),
}

/// Options that all requests of one measurement share.
#[derive(Args, Clone, Debug)]
pub struct RequestOptions {
    /// Model to request.
    #[arg(long, default_value = "m")]
    pub model: String,
    /// API key for entry instances.
    #[arg(long, default_value = "")]
    pub key: String,
    /// Length of each prompt, in tokens.
    #[arg(long, default_value_t = 100)]
    pub prompt_tokens: u64,
    /// Tokens to generate for each request.
    #[arg(long, default_value_t = 8)]
    pub max_tokens: u64,
    /// Timeout of each request, in milliseconds.
    #[arg(long, default_value_t = 60_000)]
    pub timeout_ms: u64,
    /// Start no request once this much time has passed, in seconds.
    #[arg(long, default_value_t = 60)]
    pub seconds: u64,
}

/// The settings of `load run`.
#[derive(Args, Clone, Debug)]
pub struct RunConfig {
    /// Address of an engine.
    #[arg(long, conflicts_with = "through")]
    pub direct: Option<SocketAddr>,
    /// Address of an entry instance.
    #[arg(long, required_unless_present = "direct")]
    pub through: Option<SocketAddr>,
    /// Number of requests.
    #[arg(long, default_value_t = 100)]
    pub requests: u64,
    /// Requests per second. Without it, a request starts as soon as `--concurrency` allows it
    /// (closed loop).
    #[arg(long)]
    pub rate: Option<f64>,
    /// Requests in flight at the same time; has no effect with `--rate`.
    #[arg(long, default_value_t = 1)]
    pub concurrency: usize,
    /// Options that all requests share.
    #[command(flatten)]
    pub options: RequestOptions,
}

/// The settings of `load compare`.
#[derive(Args, Clone, Debug)]
pub struct CompareConfig {
    /// Address of the engine that serves all requests.
    #[arg(long)]
    pub direct: SocketAddr,
    /// Address of an entry instance whose only engine is the one of `--direct`. Without it, both
    /// requests of a pair go to the engine, and the differences show the noise of the measurement.
    #[arg(long)]
    pub through: Option<SocketAddr>,
    /// Number of pairs.
    #[arg(long, default_value_t = 900)]
    pub pairs: u64,
    /// Pairs per second.
    #[arg(long, default_value_t = 30.0)]
    pub rate: f64,
    /// Options that all requests share.
    #[command(flatten)]
    pub options: RequestOptions,
}

/// The settings of `load streams`.
#[derive(Args, Clone, Debug)]
pub struct StreamsConfig {
    /// Address of an entry instance.
    #[arg(long)]
    pub through: SocketAddr,
    /// Number of streams.
    #[arg(long, default_value_t = 1_000)]
    pub streams: usize,
    /// Process id of the entry instance, whose threads and memory are reported.
    #[arg(long)]
    pub pid: u32,
    /// Options that all requests share. Choose `--max-tokens` so that all streams are open at once.
    #[command(flatten)]
    pub options: RequestOptions,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// An engine; the request goes to `/v1/generate`.
    Engine(SocketAddr),
    /// An entry instance; the request goes to `/v1/completions`.
    Instance(SocketAddr),
}

/// Times of one request whose answer was complete and correct.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Time to first token.
    pub first_token: Duration,
    /// Time to the end of the answer.
    pub whole_answer: Duration,
}

/// Return a prompt of `tokens` tokens that begins with the number, so that prompts of different
/// numbers share no prefix that an engine caches.
pub fn unique_prompt(number: u64, tokens: u64) -> String {
    let bytes = usize::try_from(tokens * BYTES_PER_TOKEN).unwrap_or(usize::MAX);
    let filler = " a long letter about medlars and prisms, line after line;";
    let mut prompt = format!("{number:08}");
    prompt.extend(
        filler
            .chars()
            .cycle()
            .take(bytes.saturating_sub(prompt.len())),
    );
    prompt.truncate(bytes);
    prompt
}

/// Return the text in a stream event of an engine or of an entry instance.
///
/// # Errors
///
/// Fails if the event is malformed or reports an error.
fn event_text(event: &str) -> eyre::Result<String> {
    let value: Value = serde_json::from_str(event)?;
    if let Some(error) = value
        .get("error")
        .filter(|error| !matches!(error.as_str(), Some("")))
    {
        bail!("the stream failed: {error}");
    }
    let choice = &value["choices"][0];
    let texts = [&value["text"], &choice["text"], &choice["delta"]["content"]];
    Ok(texts
        .into_iter()
        .find_map(Value::as_str)
        .unwrap_or_default()
        .to_owned())
}

/// Send one request with a streamed answer, and check the answer.
///
/// # Errors
///
/// Fails if the request is refused or times out, or if the answer breaks off or is wrong.
pub async fn call(target: Target, options: &RequestOptions, number: u64) -> eyre::Result<Sample> {
    let timeout = Duration::from_millis(options.timeout_ms);
    let call = call_without_timeout(target, options, number);
    tokio::time::timeout(timeout, call)
        .await
        .wrap_err("the request timed out")?
}

async fn call_without_timeout(
    target: Target,
    options: &RequestOptions,
    number: u64,
) -> eyre::Result<Sample> {
    let prompt = unique_prompt(number, options.prompt_tokens);
    let body = json!({
        "model": options.model, "prompt": prompt, "max_tokens": options.max_tokens, "stream": true,
    });
    let (addr, path) = match target {
        Target::Engine(addr) => (addr, "/v1/generate"),
        Target::Instance(addr) => (addr, "/v1/completions"),
    };
    let req = Request::post(path)
        .header(header::CONTENT_TYPE, "application/json")
        .header(header::AUTHORIZATION, format!("Bearer {}", options.key))
        .header("oleanderpass-timeout-ms", options.timeout_ms);
    let (body, expected) = (body.to_string(), answer(&prompt, options.max_tokens));
    let start = Instant::now();
    let resp = send(addr, req, body).await?;
    if resp.status() != StatusCode::OK {
        let status = resp.status();
        bail!(
            "status {status}: {}",
            String::from_utf8_lossy(&read_body(resp).await?)
        );
    }
    let mut events = SseReader::new(resp);
    let (mut first_token, mut text) = (None, String::new());
    while let Some(event) = events.next().await?.filter(|event| event != "[DONE]") {
        text.push_str(&event_text(&event)?);
        if !text.is_empty() {
            first_token.get_or_insert_with(|| start.elapsed());
        }
    }
    if text != expected {
        bail!(
            "wrong answer: received {} bytes, expected {} bytes",
            text.len(),
            expected.len()
        );
    }
    let whole_answer = start.elapsed();
    Ok(Sample {
        first_token: first_token.unwrap_or(whole_answer),
        whole_answer,
    })
}

/// Run a measurement and print its results.
///
/// # Errors
///
/// Fails if any request failed.
pub async fn run(command: LoadCommand) -> eyre::Result<()> {
    match command {
        LoadCommand::Run(cfg) => run_requests(cfg).await,
        LoadCommand::Compare(cfg) => compare_pairs(cfg).await,
        LoadCommand::Streams(cfg) => run_streams(cfg).await,
    }
}

fn as_micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Return the quantiles of some times as text.
fn quantiles(times: impl IntoIterator<Item = Duration>) -> eyre::Result<String> {
    let mut histogram = Histogram::<u64>::new_with_max(MAX_MICROS, 3)?;
    times
        .into_iter()
        .for_each(|time| histogram.saturating_record(as_micros(time)));
    let ms_at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    let (median, p95, p99, max) = (ms_at(0.5), ms_at(0.95), ms_at(0.99), ms_at(1.0));
    Ok(format!(
        "median {median:.2} ms, p95 {p95:.2} ms, p99 {p99:.2} ms, max {max:.2} ms"
    ))
}

/// Print an error if it is one of the first of a run (`number` counts from 1); the others are only
/// counted.
fn print_error(number: u64, cause: &eyre::Report) {
    if number <= MAX_PRINTED_ERRORS {
        eprintln!("{cause:#}");
    }
}

struct Results {
    samples: Vec<Sample>,
    errors: u64,
}

impl Results {
    /// Wait for all calls.
    async fn collect(mut calls: JoinSet<eyre::Result<Sample>>) -> Self {
        let mut results = Self {
            samples: Vec::new(),
            errors: 0,
        };
        while let Some(ended) = calls.join_next().await {
            match ended.map_err(eyre::Report::from).flatten() {
                Ok(sample) => results.samples.push(sample),
                Err(cause) => {
                    results.errors += 1;
                    print_error(results.errors, &cause);
                }
            }
        }
        results
    }

    fn print(&self, name: &str) -> eyre::Result<()> {
        println!(
            "{name}: {} answers, {} errors",
            self.samples.len(),
            self.errors
        );
        println!(
            "  first token: {}",
            quantiles(self.samples.iter().map(|sample| sample.first_token))?
        );
        println!(
            "  whole answer: {}",
            quantiles(self.samples.iter().map(|sample| sample.whole_answer))?
        );
        Ok(())
    }

    /// Fail if any request failed or none was sent.
    fn check(&self) -> eyre::Result<()> {
        if self.errors > 0 || self.samples.is_empty() {
            bail!("{} requests failed", self.errors);
        }
        Ok(())
    }
}

async fn run_requests(cfg: RunConfig) -> eyre::Result<()> {
    let target = match (cfg.direct, cfg.through) {
        (Some(addr), _) => Target::Engine(addr),
        (None, Some(addr)) => Target::Instance(addr),
        (None, None) => bail!("neither --direct nor --through is given"),
    };
    let start = Instant::now();
    let mut calls = JoinSet::new();
    let slots = Arc::new(Semaphore::new(cfg.concurrency));
    for number in 0..cfg.requests {
        if let Some(rate) = cfg.rate {
            tokio::time::sleep_until(start + Duration::from_secs_f64(number as f64 / rate)).await;
        }
        let permit = match cfg.rate {
            None => Some(Arc::clone(&slots).acquire_owned().await?),
            Some(_) => None,
        };
        if start.elapsed() > Duration::from_secs(cfg.options.seconds) {
            break;
        }
        let options = cfg.options.clone();
        calls.spawn(async move {
            let _permit = permit;
            call(target, &options, number).await
        });
    }
    let results = Results::collect(calls).await;
    results.print(&format!("{target:?}"))?;
    results.check()
}

async fn compare_pairs(cfg: CompareConfig) -> eyre::Result<()> {
    let start = Instant::now();
    let mut pairs: JoinSet<eyre::Result<(Sample, Sample)>> = JoinSet::new();
    let period = Duration::from_secs_f64(1.0 / cfg.rate);
    for number in 0..cfg.pairs {
        tokio::time::sleep_until(start + period.mul_f64(number as f64)).await;
        if start.elapsed() > Duration::from_secs(cfg.options.seconds) {
            break;
        }
        let (options, direct) = (cfg.options.clone(), cfg.direct);
        let through = cfg.through.map_or(Target::Engine(direct), Target::Instance);
        pairs.spawn(async move {
            // The requests of a pair start half a period apart, so that neither delays the other.
            // Their order alternates, so that a drift in the machine's speed affects both alike.
            let call_in_turn = async |target, is_second: bool, number| {
                if is_second {
                    tokio::time::sleep(period / 2).await;
                }
                call(target, &options, number).await
            };
            let direct_first = number % 2 == 0;
            let (direct, through) = tokio::join!(
                call_in_turn(Target::Engine(direct), !direct_first, number * 2),
                call_in_turn(through, direct_first, number * 2 + 1),
            );
            Ok((direct?, through?))
        });
    }
    let (mut samples, mut errors) = (Vec::new(), 0);
    while let Some(ended) = pairs.join_next().await {
        match ended.map_err(eyre::Report::from).flatten() {
            Ok(pair) => samples.push(pair),
            Err(cause) => {
                errors += 1;
                print_error(errors, &cause);
            }
        }
    }
    print_comparison(&samples, errors)
}

fn print_comparison(pairs: &[(Sample, Sample)], errors: u64) -> eyre::Result<()> {
    println!("{} pairs, {errors} errors", pairs.len());
    println!(
        "  first token, direct: {}",
        quantiles(pairs.iter().map(|(direct, _)| direct.first_token))?
    );
    println!(
        "  first token, other:  {}",
        quantiles(pairs.iter().map(|(_, through)| through.first_token))?
    );
    let mut differences: Vec<i64> = pairs
        .iter()
        .map(|(direct, through)| {
            let signed = |time| i64::try_from(as_micros(time)).unwrap_or(i64::MAX);
            signed(through.first_token) - signed(direct.first_token)
        })
        .collect();
    differences.sort_unstable();
    // A histogram records no negative values, so the quantiles come from the sorted list.
    let ms_at = |quantile: f64| {
        let index = (differences.len() as f64 * quantile) as usize;
        let micros = differences.get(index.min(differences.len().saturating_sub(1)));
        micros.copied().unwrap_or(0) as f64 / 1_000.0
    };
    println!(
        "  difference of a pair: median {:.2} ms, p99 {:.2} ms",
        ms_at(0.5),
        ms_at(0.99)
    );
    if errors > 0 || pairs.is_empty() {
        bail!("{errors} pairs failed");
    }
    Ok(())
}

/// Return the number of threads and the resident memory of a process as text, from `/proc`.
fn process_status(pid: u32) -> eyre::Result<String> {
    let path = format!("/proc/{pid}/status");
    let text = fs::read_to_string(&path).wrap_err_with(|| format!("read {path}"))?;
    let field = |name: &str| {
        let value = text.lines().find_map(|line| line.strip_prefix(name));
        value.unwrap_or("unknown").trim().to_owned()
    };
    Ok(format!(
        "{} threads, RSS {}",
        field("Threads:"),
        field("VmRSS:")
    ))
}

async fn run_streams(cfg: StreamsConfig) -> eyre::Result<()> {
    println!("before: {}", process_status(cfg.pid)?);
    let ended = Arc::new(AtomicU64::new(0));
    let mut calls = JoinSet::new();
    for number in 0..cfg.streams as u64 {
        let (options, ended) = (cfg.options.clone(), Arc::clone(&ended));
        calls.spawn(async move {
            let sample = call(Target::Instance(cfg.through), &options, number).await;
            ended.fetch_add(1, Ordering::Relaxed);
            sample
        });
        // At 1,000 new connections a second, the listen backlog doesn't overflow.
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    println!(
        "{} streams open: {}",
        open_streams(&cfg, &ended),
        process_status(cfg.pid)?
    );
    let results = Results::collect(calls).await;
    println!("after: {}", process_status(cfg.pid)?);
    results.print("streams")?;
    results.check()
}

fn open_streams(cfg: &StreamsConfig, ended: &AtomicU64) -> u64 {
    cfg.streams as u64 - ended.load(Ordering::Relaxed)
}
