//! Decide whether an instance is ready for callers, and name what it lacks.
//!
//! This is the only source of readiness: the readiness check, the status, the metrics and the log
//! show what is kept here.

use indexmap::IndexMap;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use smol_str::SmolStr;
use strum::Display;
use strum::EnumIter;
use strum::IntoEnumIterator;
use strum::IntoStaticStr;

/// The longest error that is kept, in characters. The error of a library may quote what it has read.
const MAX_ERROR_CHARS: usize = 400;

/// The interval between two log lines of an instance that isn't ready. Nothing else shows in the log
/// that it still waits.
const REPORT_INTERVAL: Millis = Millis::from_secs(10);

/// Something that an instance lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// No configuration has been read.
    NoConfiguration,
    /// The list of backend servers has not been read as a whole.
    ServerListIncomplete,
    /// The address for callers isn't open.
    CallerAddressClosed,
    /// The address of the readiness check isn't open.
    ReadinessAddressClosed,
    /// The instance is stopping.
    Draining,
    /// The address for metrics isn't open.
    MetricsAddressClosed,
    /// The address for copies and tunnels of peers isn't open.
    PeerAddressClosed,
    /// The socket for datagrams of peers isn't open. The instance serves like one whose links to
    /// its peers are cut.
    PeerSocketClosed,
}

impl Reason {
    /// Return whether an instance with this reason must not get callers.
    pub const fn keeps_from_serving(self) -> bool {
        match self {
            Self::NoConfiguration
            | Self::ServerListIncomplete
            | Self::CallerAddressClosed
            | Self::ReadinessAddressClosed
            | Self::Draining => true,
            Self::MetricsAddressClosed | Self::PeerAddressClosed | Self::PeerSocketClosed => false,
        }
    }

    /// Return whether the reason applies to an instance that has just started.
    const fn applies_at_start(self) -> bool {
        self.keeps_from_serving() && !matches!(self, Self::Draining)
    }
}

/// Since when a reason applies, and the last error of what would end it.
#[derive(Clone, Debug)]
struct Lack {
    since: Timestamp,
    last_error: Option<SmolStr>,
}

/// What an instance lacks now.
#[derive(Clone, Debug)]
pub struct Readiness {
    lacks: IndexMap<Reason, Lack>,
    /// When the instance became ready or stopped being so.
    changed: Timestamp,
    next_report: Timestamp,
}

impl Readiness {
    /// Create the state of an instance that starts at `now`.
    pub fn new(now: Timestamp) -> Self {
        let lack = Lack {
            since: now,
            last_error: None,
        };
        let reasons = Reason::iter().filter(|reason| reason.applies_at_start());
        Self {
            lacks: reasons.map(|reason| (reason, lack.clone())).collect(),
            changed: now,
            next_report: now + REPORT_INTERVAL,
        }
    }

    /// Return whether the balancer should send callers to this instance.
    pub fn is_ready(&self) -> bool {
        !self.lacks.keys().any(|reason| reason.keeps_from_serving())
    }

    /// Return whether a reason applies.
    pub fn has(&self, reason: Reason) -> bool {
        self.lacks.contains_key(&reason)
    }

    /// Record whether a reason applies from now on. Log each change of [`Readiness::is_ready`].
    pub fn set(&mut self, now: Timestamp, reason: Reason, applies: bool) {
        if applies == self.has(reason) {
            return;
        }
        let was_ready = self.is_ready();
        let last_error = if applies {
            let lack = Lack {
                since: now,
                last_error: None,
            };
            self.lacks.insert(reason, lack);
            None
        } else {
            let lack = self.lacks.shift_remove(&reason);
            lack.and_then(|lack| lack.last_error)
        };
        let is_ready = self.is_ready();
        if was_ready == is_ready {
            return;
        }
        let elapsed_ms = now.since(self.changed).get();
        self.changed = now;
        self.next_report = now + REPORT_INTERVAL;
        if is_ready {
            tracing::info!(
                waited_for = %reason,
                waited_ms = elapsed_ms,
                last_error = last_error.as_deref(),
                "the instance is ready"
            );
        } else {
            tracing::info!(%reason, ready_ms = elapsed_ms, "the instance is not ready");
        }
    }

    /// Record why a reason still applies.
    pub fn set_error(&mut self, reason: Reason, error: &str) {
        if let Some(lack) = self.lacks.get_mut(&reason) {
            // The readiness check answers one line for each reason.
            let error = error.replace('\n', " ");
            lack.last_error = Some(error.chars().take(MAX_ERROR_CHARS).collect());
        }
    }

    /// Log what the instance lacks, if it hasn't been ready for some time. A stopping instance has
    /// its own lines.
    pub fn report(&mut self, now: Timestamp) {
        if self.is_ready() || self.has(Reason::Draining) || now < self.next_report {
            return;
        }
        self.next_report = now + REPORT_INTERVAL;
        let lacks: Vec<String> = self.describe(now).collect();
        tracing::warn!(
            waited_ms = now.since(self.changed).get(),
            lacks = lacks.join("; "),
            "the instance is still not ready"
        );
    }

    /// Describe each reason that applies in one line, those that keep the instance from serving
    /// first.
    pub fn describe(&self, now: Timestamp) -> impl Iterator<Item = String> {
        Reason::iter().filter_map(move |reason| {
            let lack = self.lacks.get(&reason)?;
            let age = now.since(lack.since);
            let error = lack.last_error.as_ref();
            let error = error.map_or_else(String::new, |error| format!(", last error: {error}"));
            let effect = match reason.keeps_from_serving() {
                true => "not ready",
                false => "degraded",
            };
            Some(format!("{effect}: {reason} for {age}{error}"))
        })
    }
}
