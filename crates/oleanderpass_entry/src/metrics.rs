//! Record metrics for Prometheus. Every label has a fixed set of values.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::outcome::Outcome;
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
use strum::IntoStaticStr;

use crate::snapshot::Snapshot;

/// The histogram bounds of the time to first token, in seconds. The target of 1.7 s is one of them.
const TTFT_BOUNDS_S: [f64; 14] = [
    0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.7, 2.5, 5.0, 10.0, 30.0, 60.0, 300.0,
];

/// Upper bounds of the prompt-length buckets, in tokens, with their labels.
const PROMPT_BUCKETS: [(u64, &str); 5] = [
    (1_000, "1k"),
    (8_000, "8k"),
    (32_768, "32k"),
    (100_000, "100k"),
    (1_000_000, "1m"),
];

/// The label of prompts that are longer than the last bucket's bound.
const LONGER_PROMPT_LABEL: &str = "longer";

/// The class label of a caller whose organisation isn't in the document.
pub const UNKNOWN_CLASS: &str = "unknown";

/// A kind of control traffic, as the `kind` label of `oleanderpass_control_bytes_total`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ControlTraffic {
    /// Datagrams sent to peers.
    DatagramsSent,
    /// Datagrams received on the port for peers, rejected ones as well.
    DatagramsReceived,
    /// Documents read from the platform.
    Documents,
    /// Instance lists read from the platform.
    InstanceLists,
    /// Answers of backend servers to polls of their load, state, holds and cache events.
    Polls,
}

/// The metrics of the process.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    ttft: HistogramVec,
    requests: IntCounterVec,
    refused: IntCounterVec,
    control_bytes: IntCounterVec,
    /// Attempts after the first one of a request.
    pub retries: IntCounter,
    /// Generation streams that were resumed on a new connection.
    pub resumes: IntCounter,
    /// Open caller connections.
    pub connections: IntGauge,
    /// Answers that are being sent to the peers that forwarded the requests.
    pub forwarded: IntGauge,
    generation: IntGauge,
    in_flight: IntGauge,
    admitted: IntCounter,
    rejected_documents: IntCounter,
    document_splits: IntCounter,
    queued: IntGauge,
    peers: IntGaugeVec,
    servers: IntGaugeVec,
    quarantine: IntGaugeVec,
    /// Rejected datagrams and calls of peers, by reason.
    rejected_peer_messages: IntCounterVec,
}

impl Metrics {
    /// Create the metrics.
    ///
    /// # Errors
    ///
    /// Return the cause when a metric can't be registered.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let ttft = HistogramVec::new(
            HistogramOpts::new("oleanderpass_ttft_seconds", "Time to first token")
                .buckets(TTFT_BOUNDS_S.to_vec()),
            &["class", "prompt"],
        )?;
        registry.register(Box::new(ttft.clone()))?;
        Ok(Self {
            ttft,
            requests: counter_vec(
                &registry,
                "requests_total",
                "Requests by outcome",
                "outcome",
            )?,
            refused: counter_vec(
                &registry,
                "refused_total",
                "Requests refused before the core, by HTTP status",
                "status",
            )?,
            control_bytes: counter_vec(
                &registry,
                "control_bytes_total",
                "Bytes of control traffic without the heads of HTTP, UDP and TCP",
                "kind",
            )?,
            retries: counter(&registry, "retries_total", "Attempts after the first one")?,
            resumes: counter(&registry, "resumes_total", "Resumed streams")?,
            connections: gauge(&registry, "connections", "Open caller connections")?,
            forwarded: gauge(
                &registry,
                "forwarded_answers",
                "Answers on their way to forwarding peers",
            )?,
            generation: gauge(&registry, "generation", "Generation in force")?,
            in_flight: gauge(&registry, "in_flight", "Requests in flight")?,
            admitted: counter(&registry, "admitted_total", "Admitted requests")?,
            rejected_documents: counter(
                &registry,
                "rejected_documents_total",
                "Documents that were rejected",
            )?,
            document_splits: counter(
                &registry,
                "document_splits_total",
                "Generations of which two contents were in force",
            )?,
            queued: gauge(
                &registry,
                "queued",
                "Requests that wait for a backend server",
            )?,
            peers: gauge_vec(
                &registry,
                "peers",
                "Other entry instances by state",
                "state",
            )?,
            servers: gauge_vec(&registry, "servers", "Backend servers by state", "state")?,
            quarantine: gauge_vec(
                &registry,
                "quarantine",
                "Requests that crash backend servers, suspected or in quarantine",
                "state",
            )?,
            rejected_peer_messages: counter_vec(
                &registry,
                "rejected_peer_messages_total",
                "Messages of peers that failed their check",
                "reason",
            )?,
            registry,
        })
    }

    /// Record a time to first token by the class of the organisation and the length of the prompt.
    pub fn observe_ttft(&self, class: &str, prompt: Tokens, time: Millis) {
        let bucket = prompt_bucket(prompt);
        let seconds = std::time::Duration::from(time).as_secs_f64();
        self.ttft
            .with_label_values(&[class, bucket])
            .observe(seconds);
    }

    /// Count the end of a request.
    pub fn count_outcome(&self, outcome: Outcome) {
        let label: &str = outcome.into();
        self.requests.with_label_values(&[label]).inc();
    }

    /// Count a request that was refused before it reached the core.
    pub fn count_refused(&self, status: u16) {
        self.refused
            .with_label_values(&[status.to_string().as_str()])
            .inc();
    }

    /// Count bytes of control traffic.
    pub fn count_control_bytes(&self, kind: ControlTraffic, bytes: usize) {
        let label: &str = kind.into();
        self.control_bytes
            .with_label_values(&[label])
            .inc_by(bytes as u64);
    }

    /// Count a rejected datagram or call of a peer.
    pub fn count_rejected_peer_message(&self, reason: impl AsRef<str>) {
        self.rejected_peer_messages
            .with_label_values(&[reason.as_ref()])
            .inc();
    }

    /// Set the metrics that mirror the core's state.
    pub fn update(&self, snapshot: &Snapshot) {
        let generation = i64::try_from(snapshot.generation().get()).unwrap_or(i64::MAX);
        self.generation.set(generation);
        set_gauge(&self.in_flight, snapshot.in_flight);
        let counts = snapshot.counts.as_ref();
        raise_counter(&self.admitted, counts.admitted);
        raise_counter(&self.rejected_documents, counts.rejected_documents);
        raise_counter(&self.document_splits, counts.document_splits);
        set_gauge(&self.queued, counts.queued);
        let live_servers = counts.servers.saturating_sub(counts.leaving_servers);
        for (gauges, state, count) in [
            (&self.peers, "alive", counts.peers.alive),
            (&self.peers, "suspect", counts.peers.suspect),
            (&self.peers, "dead", counts.peers.dead),
            (&self.peers, "leaving", counts.peers.leaving),
            (&self.servers, "live", live_servers),
            (&self.servers, "leaving", counts.leaving_servers),
            (&self.quarantine, "suspect", counts.suspects),
            (&self.quarantine, "quarantined", counts.quarantined),
        ] {
            set_gauge(&gauges.with_label_values(&[state]), count);
        }
    }

    /// Encode all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Return the cause when a metric can't be encoded.
    pub fn encode(&self) -> prometheus::Result<Vec<u8>> {
        let mut buf = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buf)?;
        Ok(buf)
    }
}

fn prompt_bucket(prompt: Tokens) -> &'static str {
    PROMPT_BUCKETS
        .iter()
        .find(|(bound, _)| prompt.get() <= *bound)
        .map_or(LONGER_PROMPT_LABEL, |(_, label)| label)
}

fn opts(name: &str, help: &str) -> Opts {
    Opts::new(format!("oleanderpass_{name}"), help)
}

fn counter(registry: &Registry, name: &str, help: &str) -> prometheus::Result<IntCounter> {
    let counter = IntCounter::with_opts(opts(name, help))?;
    registry.register(Box::new(counter.clone()))?;
    Ok(counter)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> prometheus::Result<IntGauge> {
    let gauge = IntGauge::with_opts(opts(name, help))?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

fn set_gauge(gauge: &IntGauge, count: usize) {
    gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
}

/// Raise a counter to a total that the core counts.
fn raise_counter(counter: &IntCounter, total: u64) {
    counter.inc_by(total.saturating_sub(counter.get()));
}

fn gauge_vec(
    registry: &Registry,
    name: &str,
    help: &str,
    label: &str,
) -> prometheus::Result<IntGaugeVec> {
    let gauges = IntGaugeVec::new(opts(name, help), &[label])?;
    registry.register(Box::new(gauges.clone()))?;
    Ok(gauges)
}

fn counter_vec(
    registry: &Registry,
    name: &str,
    help: &str,
    label: &str,
) -> prometheus::Result<IntCounterVec> {
    let counters = IntCounterVec::new(opts(name, help), &[label])?;
    registry.register(Box::new(counters.clone()))?;
    Ok(counters)
}
