//! Count and time what the instance does.

use eyre::Result;
use eyre::WrapErr;
use oleanderpass_types::size::Tokens;
use prometheus::Encoder;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

/// The bounds of latency buckets, in seconds. They include the objectives of the standard routes.
const LATENCY_BUCKETS: [f64; 12] = [
    0.02, 0.05, 0.1, 0.15, 0.3, 0.6, 1.0, 1.5, 2.5, 3.0, 6.0, 15.0,
];

/// The metrics of an instance.
pub(crate) struct Metrics {
    registry: Registry,
    /// Answers to callers, by kind of route, status and cause.
    pub(crate) answers: IntCounterVec,
    /// Attempts, by end.
    pub(crate) attempts: IntCounterVec,
    /// Calls to the platform's store, by call and result.
    pub(crate) store_calls: IntCounterVec,
    /// Orders to engines, by operation and result.
    pub(crate) orders: IntCounterVec,
    /// The time to the first event, by prompt length.
    pub(crate) first_event: HistogramVec,
    /// The time to the end of a request, by kind of route.
    pub(crate) request_time: HistogramVec,
    /// Connections that were opened to backend servers.
    pub(crate) connections: IntCounter,
    /// Datagrams to peers that could not be sent.
    pub(crate) lost_datagrams: IntCounter,
    /// Requests in flight.
    pub(crate) in_flight: IntGauge,
}

impl Metrics {
    /// Create the metrics.
    ///
    /// # Errors
    ///
    /// Return the cause when a name is registered twice.
    pub(crate) fn new() -> Result<Self> {
        let registry = Registry::new();
        let metrics = Self {
            answers: counters(
                "answers_total",
                "Answers to callers.",
                &["kind", "status", "cause"],
            )?,
            attempts: counters("attempts_total", "Attempts by their end.", &["end"])?,
            store_calls: counters(
                "store_calls_total",
                "Calls to the platform's store.",
                &["call", "result"],
            )?,
            orders: counters(
                "orders_total",
                "Orders to engines.",
                &["operation", "result"],
            )?,
            first_event: histograms(
                "first_event_seconds",
                "Time from the request to its first event.",
                &["prompt"],
            )?,
            request_time: histograms(
                "request_seconds",
                "Time from the request to the end of its answer.",
                &["kind"],
            )?,
            connections: IntCounter::new(
                "oleanderpass_backend_connections_total",
                "Connections opened to backend servers.",
            )?,
            lost_datagrams: IntCounter::new(
                "oleanderpass_lost_datagrams_total",
                "Datagrams to peers that could not be sent.",
            )?,
            in_flight: IntGauge::new("oleanderpass_requests_in_flight", "Requests in flight.")?,
            registry,
        };
        let registry = &metrics.registry;
        registry.register(Box::new(metrics.answers.clone()))?;
        registry.register(Box::new(metrics.attempts.clone()))?;
        registry.register(Box::new(metrics.store_calls.clone()))?;
        registry.register(Box::new(metrics.orders.clone()))?;
        registry.register(Box::new(metrics.first_event.clone()))?;
        registry.register(Box::new(metrics.request_time.clone()))?;
        registry.register(Box::new(metrics.connections.clone()))?;
        registry.register(Box::new(metrics.lost_datagrams.clone()))?;
        registry.register(Box::new(metrics.in_flight.clone()))?;
        Ok(metrics)
    }

    /// Return the metrics as text.
    ///
    /// # Errors
    ///
    /// Return the cause when they can't be encoded.
    pub(crate) fn encode(&self) -> Result<Vec<u8>> {
        let mut buf = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut buf)
            .wrap_err("encode the metrics")?;
        Ok(buf)
    }
}

fn counters(name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec> {
    let opts = Opts::new(format!("oleanderpass_{name}"), help);
    IntCounterVec::new(opts, labels).wrap_err("create a counter")
}

fn histograms(name: &str, help: &str, labels: &[&str]) -> Result<HistogramVec> {
    let opts =
        HistogramOpts::new(format!("oleanderpass_{name}"), help).buckets(LATENCY_BUCKETS.to_vec());
    HistogramVec::new(opts, labels).wrap_err("create a histogram")
}

/// Return the label of a prompt length.
pub(crate) fn length_label(prompt: Tokens) -> &'static str {
    match prompt.get() {
        0 => "none",
        1..=12_000 => "to_12k",
        12_001..=100_000 => "to_100k",
        100_001..=200_000 => "to_200k",
        _ => "over_200k",
    }
}
