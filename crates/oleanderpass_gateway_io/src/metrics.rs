//! Collect the metrics of the instance and encode them for Prometheus.

use eyre::Result;
use eyre::WrapErr;
use oleanderpass_types::size::Tokens;
use prometheus::Encoder;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

/// The upper bounds of the latency buckets, in seconds. They include the objectives of the standard
/// routes.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.02, 0.05, 0.1, 0.15, 0.3, 0.6, 1.0, 1.5, 2.5, 3.0, 6.0, 15.0,
];

/// The metrics of an instance.
pub(crate) struct Metrics {
    registry: Registry,
    /// Answers to callers, by kind of route, status and cause. Kind and status are `none` for a
    /// request that was not admitted.
    pub(crate) answers: IntCounterVec,
    /// Answers to callers, by prompt length and cause.
    pub(crate) answers_by_prompt: IntCounterVec,
    /// Streams that had begun and ended before they were complete, although the caller had not left,
    /// by cause.
    pub(crate) cut_streams: IntCounterVec,
    /// Attempts, by how they ended.
    pub(crate) attempts: IntCounterVec,
    /// Calls to the platform's store, by call and result: the HTTP status, or `failed`.
    pub(crate) store_calls: IntCounterVec,
    /// Copies of the store that were asked of peers, by result.
    pub(crate) peer_copies: IntCounterVec,
    /// Configurations that were asked of peers, by result.
    pub(crate) configuration_copies: IntCounterVec,
    /// Copies of the configuration that are being sent to peers.
    pub(crate) served_copies: IntGauge,
    /// Orders to engines that reserve, renew or release memory, by operation and result.
    pub(crate) orders: IntCounterVec,
    /// The time from the arrival of a request to its first event, by prompt length.
    pub(crate) first_event: HistogramVec,
    /// The time from the arrival of a request to the end of its answer, by kind of route.
    pub(crate) request_time: HistogramVec,
    /// Attempts to open a connection to a backend server for a request.
    pub(crate) connections: IntCounter,
    /// Connections to backend servers that were opened through a peer.
    pub(crate) relayed_connections: IntCounter,
    /// Datagrams to peers that could not be sent.
    pub(crate) lost_datagrams: IntCounter,
    /// Requests from callers whose answer has not begun.
    pub(crate) in_flight: IntGauge,
    /// The memory that answers take.
    pub(crate) answer_memory: IntGauge,
    /// Availability zones that are evacuated.
    pub(crate) evacuated_zones: IntGauge,
    /// Requests that were refused because no server is in their home regions.
    pub(crate) home_refusals: IntCounter,
    /// Backend servers that get load gradually after a start.
    pub(crate) ramping_servers: IntGauge,
    /// Ramps of backend servers that ended, by cause.
    pub(crate) ended_ramps: IntCounterVec,
    /// Backend servers that asked for a pause that hasn't ended.
    pub(crate) paused_servers: IntGauge,
    /// Backend servers that are cold.
    pub(crate) cold_servers: IntGauge,
    /// Whether the instance is ready for callers.
    pub(crate) ready: IntGauge,
    /// What the instance lacks, by reason.
    pub(crate) lacks: IntGaugeVec,
    /// The memory that is taken, by use.
    pub(crate) memory: IntGaugeVec,
    /// Open connections of callers, by what they wait for.
    pub(crate) caller_connections: IntGaugeVec,
    /// Requests whose body was not received and that did not run, by cause.
    pub(crate) refused_uploads: IntCounterVec,
    /// Connections of callers that were closed, by cause.
    pub(crate) closed_callers: IntCounterVec,
}

impl Metrics {
    /// Create and register the metrics.
    ///
    /// # Errors
    ///
    /// Return the cause if a metric can't be created or its name is already registered.
    pub(crate) fn new() -> Result<Self> {
        let registry = Registry::new();
        let metrics = Self {
            answers: counter_vec(
                "answers_total",
                "Answers to callers.",
                &["kind", "status", "cause"],
            )?,
            answers_by_prompt: counter_vec(
                "answers_by_prompt_total",
                "Answers to callers by the length of the prompt.",
                &["prompt", "cause"],
            )?,
            cut_streams: counter_vec(
                "cut_streams_total",
                "Streams that had begun and were not completed.",
                &["cause"],
            )?,
            attempts: counter_vec("attempts_total", "Attempts by their end.", &["end"])?,
            store_calls: counter_vec(
                "store_calls_total",
                "Calls to the platform's store.",
                &["call", "result"],
            )?,
            peer_copies: counter_vec(
                "peer_copies_total",
                "Copies of the store that were asked of peers.",
                &["result"],
            )?,
            configuration_copies: counter_vec(
                "configuration_copies_total",
                "Configurations that were asked of peers.",
                &["result"],
            )?,
            served_copies: IntGauge::new(
                "oleanderpass_served_copies",
                "Copies of the configuration that are being sent to peers.",
            )?,
            orders: counter_vec(
                "orders_total",
                "Orders to engines.",
                &["operation", "result"],
            )?,
            first_event: histogram_vec(
                "first_event_seconds",
                "Time from the request to its first event.",
                &["prompt"],
            )?,
            request_time: histogram_vec(
                "request_seconds",
                "Time from the request to the end of its answer.",
                &["kind"],
            )?,
            relayed_connections: IntCounter::new(
                "oleanderpass_relayed_connections_total",
                "Connections to backend servers that were opened through a peer.",
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
            answer_memory: IntGauge::new(
                "oleanderpass_answer_memory_bytes",
                "Memory taken by answers that are received or sent on, and by bodies of requests.",
            )?,
            evacuated_zones: IntGauge::new(
                "oleanderpass_evacuated_zones",
                "Availability zones that are evacuated.",
            )?,
            home_refusals: IntCounter::new(
                "oleanderpass_home_refusals_total",
                "Requests refused because no server is in their home regions.",
            )?,
            ramping_servers: IntGauge::new(
                "oleanderpass_ramping_servers",
                "Backend servers that get load gradually after a start.",
            )?,
            ended_ramps: counter_vec(
                "ended_ramps_total",
                "Ramps of backend servers that ended.",
                &["cause"],
            )?,
            paused_servers: IntGauge::new(
                "oleanderpass_paused_servers",
                "Backend servers that asked for a pause that hasn't ended.",
            )?,
            cold_servers: IntGauge::new(
                "oleanderpass_cold_servers",
                "Backend servers that are cold and get a limited request rate.",
            )?,
            ready: IntGauge::new(
                "oleanderpass_ready",
                "Whether the instance is ready for callers.",
            )?,
            lacks: gauge_vec("lacks", "What the instance lacks.", &["reason"])?,
            memory: gauge_vec("memory_bytes", "Memory that is taken, by use.", &["use"])?,
            caller_connections: gauge_vec(
                "caller_connections",
                "Open connections of callers by what they wait for.",
                &["phase"],
            )?,
            refused_uploads: counter_vec(
                "refused_uploads_total",
                "Requests whose body was not received.",
                &["cause"],
            )?,
            closed_callers: counter_vec(
                "closed_caller_connections_total",
                "Connections of callers that were closed.",
                &["cause"],
            )?,
            registry,
        };
        let registry = &metrics.registry;
        registry.register(Box::new(metrics.answers.clone()))?;
        registry.register(Box::new(metrics.answers_by_prompt.clone()))?;
        registry.register(Box::new(metrics.cut_streams.clone()))?;
        registry.register(Box::new(metrics.attempts.clone()))?;
        registry.register(Box::new(metrics.store_calls.clone()))?;
        registry.register(Box::new(metrics.peer_copies.clone()))?;
        registry.register(Box::new(metrics.configuration_copies.clone()))?;
        registry.register(Box::new(metrics.served_copies.clone()))?;
        registry.register(Box::new(metrics.orders.clone()))?;
        registry.register(Box::new(metrics.first_event.clone()))?;
        registry.register(Box::new(metrics.request_time.clone()))?;
        registry.register(Box::new(metrics.connections.clone()))?;
        registry.register(Box::new(metrics.relayed_connections.clone()))?;
        registry.register(Box::new(metrics.lost_datagrams.clone()))?;
        registry.register(Box::new(metrics.in_flight.clone()))?;
        registry.register(Box::new(metrics.answer_memory.clone()))?;
        registry.register(Box::new(metrics.evacuated_zones.clone()))?;
        registry.register(Box::new(metrics.home_refusals.clone()))?;
        registry.register(Box::new(metrics.paused_servers.clone()))?;
        registry.register(Box::new(metrics.cold_servers.clone()))?;
        registry.register(Box::new(metrics.ramping_servers.clone()))?;
        registry.register(Box::new(metrics.ended_ramps.clone()))?;
        registry.register(Box::new(metrics.ready.clone()))?;
        registry.register(Box::new(metrics.lacks.clone()))?;
        registry.register(Box::new(metrics.memory.clone()))?;
        registry.register(Box::new(metrics.caller_connections.clone()))?;
        registry.register(Box::new(metrics.refused_uploads.clone()))?;
        registry.register(Box::new(metrics.closed_callers.clone()))?;
        Ok(metrics)
    }

    /// Return the metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Return the cause if they can't be encoded.
    pub(crate) fn encode(&self) -> Result<Vec<u8>> {
        let mut buf = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut buf)
            .wrap_err("encode the metrics")?;
        Ok(buf)
    }
}

fn counter_vec(name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec> {
    let opts = Opts::new(format!("oleanderpass_{name}"), help);
    IntCounterVec::new(opts, labels).wrap_err("create a counter")
}

fn gauge_vec(name: &str, help: &str, labels: &[&str]) -> Result<IntGaugeVec> {
    let opts = Opts::new(format!("oleanderpass_{name}"), help);
    IntGaugeVec::new(opts, labels).wrap_err("create a gauge")
}

fn histogram_vec(name: &str, help: &str, labels: &[&str]) -> Result<HistogramVec> {
    let opts = HistogramOpts::new(format!("oleanderpass_{name}"), help)
        .buckets(LATENCY_BUCKETS_S.to_vec());
    HistogramVec::new(opts, labels).wrap_err("create a histogram")
}

/// Return the label for a prompt of a length. It is `none` if the caller gave no length.
pub(crate) fn prompt_length_label(prompt: Tokens) -> &'static str {
    match prompt.get() {
        0 => "none",
        1..=12_000 => "to_12k",
        12_001..=100_000 => "to_100k",
        100_001..=200_000 => "to_200k",
        _ => "over_200k",
    }
}
