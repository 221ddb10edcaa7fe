//! Send load to an engine or an entry instance and measure the time to first token.
//!
//! Every answer is compared with the expected one, so a fast wrong answer counts as an error.

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
use crate::client::read;
use crate::client::send;
use crate::output::answer;

/// Largest time that the histograms take, in microseconds: one hour.
const MAX_MICROS: u64 = 3_600_000_000;

/// Errors of one run that are printed.
const PRINTED_ERRORS: u64 = 5;

/// What to measure.
#[derive(Clone, Debug, Subcommand)]
pub enum LoadCommand {
    /// Send requests in a closed loop or at a fixed rate.
    Run(RunConfig),
    /// Send pairs of equal requests to an engine and through an entry instance, and report the
    /// differences of their times to first token.
    Compare(CompareConfig),
    /// Hold streams open and report threads and memory of a process.
    Streams(StreamsConfig),
}

/// The requests of one measurement.
#[derive(Args, Clone, Debug)]
pub struct Requests {
    /// Model to ask for.
    #[arg(long, default_value = "m")]
    pub model: String,
    /// API key for entry instances.
    #[arg(long, default_value = "")]
    pub key: String,
    /// Length of each prompt, in tokens.
    #[arg(long, default_value_t = 100)]
    pub prompt_tokens: u64,
    /// Tokens to generate.
    #[arg(long, default_value_t = 8)]
    pub max_tokens: u64,
    /// Time for each request, in milliseconds.
    #[arg(long, default_value_t = 60_000)]
    pub timeout_ms: u64,
    /// Start no request after this time, in seconds.
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
    /// Requests per second. Without it, the loop is closed.
    #[arg(long)]
    pub rate: Option<f64>,
    /// Requests that are open at the same time.
    #[arg(long, default_value_t = 1)]
    pub concurrency: usize,
    /// The form of the requests.
    #[command(flatten)]
    pub form: Requests,
}

/// The settings of `load compare`.
#[derive(Args, Clone, Debug)]
pub struct CompareConfig {
    /// Address of the engine that serves all requests.
    #[arg(long)]
    pub direct: SocketAddr,
    /// Address of an entry instance whose only engine is the one above. Without it, both requests
    /// of a pair go to the engine, and the differences show the noise of the measurement.
    #[arg(long)]
    pub through: Option<SocketAddr>,
    /// Number of pairs.
    #[arg(long, default_value_t = 900)]
    pub pairs: u64,
    /// Pairs per second.
    #[arg(long, default_value_t = 30.0)]
    pub rate: f64,
    /// The form of the requests.
    #[command(flatten)]
    pub form: Requests,
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
    /// Process id of the entry instance.
    #[arg(long)]
    pub pid: u32,
    /// The form of the requests. Choose `max-tokens` so that all streams are open together.
    #[command(flatten)]
    pub form: Requests,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// An engine, by `/v1/generate`.
    Engine(SocketAddr),
    /// An entry instance, by `/v1/completions`.
    Instance(SocketAddr),
}

/// The times of a request whose answer was whole and correct.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Time to first token.
    pub first: Duration,
    /// Time to the end of the answer.
    pub total: Duration,
}

/// Return a prompt of the given length that shares no prefix with that of another number.
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

/// Return the text of a stream event of an engine or of an entry instance.
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

/// Send one streamed request and check its answer.
///
/// # Errors
///
/// Fails if the request is refused, breaks off, takes too long or has a wrong answer.
pub async fn call(target: Target, form: &Requests, number: u64) -> eyre::Result<Sample> {
    let limit = Duration::from_millis(form.timeout_ms);
    let call = call_without_limit(target, form, number);
    tokio::time::timeout(limit, call)
        .await
        .wrap_err("the request took too long")?
}

async fn call_without_limit(target: Target, form: &Requests, number: u64) -> eyre::Result<Sample> {
    let prompt = unique_prompt(number, form.prompt_tokens);
    let body = json!({
        "model": form.model, "prompt": prompt, "max_tokens": form.max_tokens, "stream": true,
    });
    let (addr, path) = match target {
        Target::Engine(addr) => (addr, "/v1/generate"),
        Target::Instance(addr) => (addr, "/v1/completions"),
    };
    let req = Request::post(path)
        .header(header::CONTENT_TYPE, "application/json")
        .header(header::AUTHORIZATION, format!("Bearer {}", form.key))
        .header("oleanderpass-timeout-ms", form.timeout_ms);
    let (body, expected) = (body.to_string(), answer(&prompt, form.max_tokens));
    let start = Instant::now();
    let resp = send(addr, req, body).await?;
    if resp.status() != StatusCode::OK {
        let status = resp.status();
        bail!(
            "status {status}: {}",
            String::from_utf8_lossy(&read(resp).await?)
        );
    }
    let mut events = SseReader::new(resp);
    let (mut first, mut text) = (None, String::new());
    while let Some(event) = events.next().await?.filter(|event| event != "[DONE]") {
        text.push_str(&event_text(&event)?);
        if !text.is_empty() {
            first.get_or_insert_with(|| start.elapsed());
        }
    }
    if text != expected {
        bail!(
            "the answer has {} bytes and is wrong; expected {}",
            text.len(),
            expected.len()
        );
    }
    let total = start.elapsed();
    Ok(Sample {
        first: first.unwrap_or(total),
        total,
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
        LoadCommand::Compare(cfg) => compare(cfg).await,
        LoadCommand::Streams(cfg) => hold_streams(cfg).await,
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn summary(samples: impl IntoIterator<Item = Duration>) -> eyre::Result<String> {
    let mut times = Histogram::<u64>::new_with_max(MAX_MICROS, 3)?;
    samples
        .into_iter()
        .for_each(|time| times.saturating_record(micros(time)));
    let at = |quantile| times.value_at_quantile(quantile) as f64 / 1_000.0;
    let (median, p95, p99, max) = (at(0.5), at(0.95), at(0.99), at(1.0));
    Ok(format!(
        "median {median:.2} ms, p95 {p95:.2} ms, p99 {p99:.2} ms, max {max:.2} ms"
    ))
}

/// Print the first errors of a run; the rest are only counted.
fn print_error(number: u64, cause: &eyre::Report) {
    if number <= PRINTED_ERRORS {
        eprintln!("{cause:#}");
    }
}

struct Results {
    samples: Vec<Sample>,
    errors: u64,
}

impl Results {
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
            summary(self.samples.iter().map(|sample| sample.first))?
        );
        println!(
            "  whole answer: {}",
            summary(self.samples.iter().map(|sample| sample.total))?
        );
        Ok(())
    }

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
        (None, None) => bail!("no target"),
    };
    let start = Instant::now();
    let mut calls = JoinSet::new();
    let open = Arc::new(Semaphore::new(cfg.concurrency));
    for number in 0..cfg.requests {
        if let Some(rate) = cfg.rate {
            tokio::time::sleep_until(start + Duration::from_secs_f64(number as f64 / rate)).await;
        }
        let permit = match cfg.rate {
            None => Some(Arc::clone(&open).acquire_owned().await?),
            Some(_) => None,
        };
        if start.elapsed() > Duration::from_secs(cfg.form.seconds) {
            break;
        }
        let form = cfg.form.clone();
        calls.spawn(async move {
            let _permit = permit;
            call(target, &form, number).await
        });
    }
    let results = Results::collect(calls).await;
    results.print(&format!("{target:?}"))?;
    results.check()
}

async fn compare(cfg: CompareConfig) -> eyre::Result<()> {
    let start = Instant::now();
    let mut pairs: JoinSet<eyre::Result<(Sample, Sample)>> = JoinSet::new();
    let period = Duration::from_secs_f64(1.0 / cfg.rate);
    for number in 0..cfg.pairs {
        tokio::time::sleep_until(start + period.mul_f64(number as f64)).await;
        if start.elapsed() > Duration::from_secs(cfg.form.seconds) {
            break;
        }
        let (form, direct) = (cfg.form.clone(), cfg.direct);
        let through = cfg.through.map_or(Target::Engine(direct), Target::Instance);
        pairs.spawn(async move {
            // Half a period apart, so that the two requests of a pair don't wait for each other;
            // the order alternates, so that a drift of the machine affects both alike.
            let delayed = async |target, late: bool, number| {
                if late {
                    tokio::time::sleep(period / 2).await;
                }
                call(target, &form, number).await
            };
            let late = number % 2 == 0;
            let (direct, through) = tokio::join!(
                delayed(Target::Engine(direct), !late, number * 2),
                delayed(through, late, number * 2 + 1),
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
        summary(pairs.iter().map(|(direct, _)| direct.first))?
    );
    println!(
        "  first token, other:  {}",
        summary(pairs.iter().map(|(_, other)| other.first))?
    );
    let mut differences: Vec<i64> = pairs
        .iter()
        .map(|(direct, through)| {
            let signed = |time| i64::try_from(micros(time)).unwrap_or(i64::MAX);
            signed(through.first) - signed(direct.first)
        })
        .collect();
    differences.sort_unstable();
    // A histogram takes no negative values, so the quantiles are read from the sorted list.
    let at = |quantile: f64| {
        let index = (differences.len() as f64 * quantile) as usize;
        let micros = differences.get(index.min(differences.len().saturating_sub(1)));
        micros.copied().unwrap_or(0) as f64 / 1_000.0
    };
    println!(
        "  difference of a pair: median {:.2} ms, p99 {:.2} ms",
        at(0.5),
        at(0.99)
    );
    if errors > 0 || pairs.is_empty() {
        bail!("{errors} pairs failed");
    }
    Ok(())
}

/// Read threads and resident memory of a process from `/proc`.
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

async fn hold_streams(cfg: StreamsConfig) -> eyre::Result<()> {
    println!("before: {}", process_status(cfg.pid)?);
    let ended = Arc::new(AtomicU64::new(0));
    let mut calls = JoinSet::new();
    for number in 0..cfg.streams as u64 {
        let (form, ended) = (cfg.form.clone(), Arc::clone(&ended));
        calls.spawn(async move {
            let sample = call(Target::Instance(cfg.through), &form, number).await;
            ended.fetch_add(1, Ordering::Relaxed);
            sample
        });
        // 1,000 connections a second stay under the listen backlog.
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    println!(
        "{} streams open: {}",
        calls_open(&cfg, &ended),
        process_status(cfg.pid)?
    );
    let results = Results::collect(calls).await;
    println!("after: {}", process_status(cfg.pid)?);
    results.print("streams")?;
    results.check()
}

fn calls_open(cfg: &StreamsConfig, ended: &AtomicU64) -> u64 {
    cfg.streams as u64 - ended.load(Ordering::Relaxed)
}
