//! Read and check the settings of an instance.

use std::fs;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use eyre::Result;
use eyre::WrapErr;
use eyre::bail;
use indexmap::IndexMap;
use oleanderpass_gateway::cold::ColdBound;
use oleanderpass_gateway::gateway::Bounds;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::id::InstanceId;
use oleanderpass_types::id::RegionId;
use oleanderpass_types::id::ZoneId;
use oleanderpass_types::size::Bytes;
use serde::Deserialize;
use smol_str::SmolStr;

/// The memory that the process may use if the settings don't state it, in megabytes. The machines
/// that instances run on have at least as much.
const DEFAULT_MEMORY_MB: f64 = 160.0;

/// The file descriptors that the process may have if the settings don't state it. The smallest
/// machines grant as many.
const DEFAULT_MAX_FDS: f64 = 4_100.0;

/// The fewest file descriptors with which an instance can serve: listeners, the store, peers, and a
/// few callers and servers.
const MIN_MAX_FDS: f64 = 64.0;

/// The bytes of a megabyte.
const BYTES_PER_MB: f64 = 1_048_576.0;

/// The settings as written in the file.
#[derive(Debug, Deserialize)]
struct RawSettings {
    instance: String,
    zone: String,
    ip: IpAddr,
    caller_addr: SocketAddr,
    readiness_addr: SocketAddr,
    metrics_port: u16,
    peer_port: u16,
    /// Comma-separated addresses of the peers to contact at the start.
    seeds: String,
    store_addr: SocketAddr,
    stop_time_s: u64,
    retry_ratio: f64,
    /// The platform may scale it to the size of the fleet, so it may be a fraction.
    retry_slack: f64,
    reservation_max_ms: u64,
    /// The bound on evacuations. Without one, they take effect at once.
    evacuate_ms: Option<u64>,
    cold_overrun: Option<f64>,
    cold_slack: Option<f64>,
    /// The region of each availability zone.
    #[serde(default)]
    zone_regions: Option<IndexMap<ZoneId, RegionId>>,
    #[serde(default = "default_memory_mb")]
    memory_mb: f64,
    #[serde(default = "default_max_fds")]
    /// The platform may scale it to the size of the machine, so it may be a fraction.
    max_fds: f64,
}

fn default_max_fds() -> f64 {
    DEFAULT_MAX_FDS
}

fn default_memory_mb() -> f64 {
    DEFAULT_MEMORY_MB
}

/// The checked settings of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The id of the instance.
    pub instance: InstanceId,
    /// The availability zone of the instance.
    pub zone: ZoneId,
    /// The address for callers.
    pub caller_addr: SocketAddr,
    /// The address at which the balancer checks readiness.
    pub readiness_addr: SocketAddr,
    /// The address at which operators read metrics and the status.
    pub metrics_addr: SocketAddr,
    /// The address for peers: datagrams by UDP, and the copy of the store by TCP.
    pub peer_addr: SocketAddr,
    /// The peers to contact at the start, excluding this instance.
    pub seeds: Vec<SocketAddr>,
    /// The address of the platform's store.
    pub store_addr: SocketAddr,
    /// The time from the signal to stop until the platform kills the process.
    pub stop_time: Millis,
    /// The published bounds. A reload of the settings may change them.
    pub bounds: Bounds,
    /// The region of each availability zone. A zone that is missing is in no region.
    pub zone_regions: IndexMap<ZoneId, RegionId>,
    /// The longest lease of a reservation that engines grant.
    pub reservation_max: Millis,
    /// The memory above which the platform ends the process.
    pub memory: Bytes,
    /// The most file descriptors that the process may have.
    pub max_fds: u64,
    /// The keys of the file that have no effect: this build doesn't know them, or the platform left
    /// the field of the template unfilled.
    pub ignored: Vec<SmolStr>,
}

impl Settings {
    /// Read the settings from a file.
    ///
    /// # Errors
    ///
    /// Return the cause with the path of the file.
    pub fn read(path: &Path) -> Result<Self> {
        let text = fs::read_to_string(path)
            .wrap_err_with(|| format!("read the settings {}", path.display()))?;
        Self::parse(&text).wrap_err_with(|| format!("settings {}", path.display()))
    }

    /// Parse the settings from YAML.
    ///
    /// The template may belong to another build than this one, and the platform may fill in other
    /// fields than the template names. Neither keeps an instance from starting.
    ///
    /// # Errors
    ///
    /// Return what is wrong with them.
    pub fn parse(text: &str) -> Result<Self> {
        let (filled, mut ignored) = without_unfilled(text);
        let raw: RawSettings = serde_saphyr::with_deserializer_from_str(&filled, |deserializer| {
            serde_ignored::deserialize(deserializer, |path| {
                ignored.push(path.to_string().into());
            })
        })
        .wrap_err("parse the settings")?;
        Ok(Self {
            ignored,
            ..Self::try_from(raw)?
        })
    }
}

/// Remove the keys whose value is a field of the template that the platform left as it is. Return
/// the rest and the removed keys.
fn without_unfilled(text: &str) -> (String, Vec<SmolStr>) {
    let mut removed = Vec::new();
    let lines = text.split_inclusive('\n').filter(|line| {
        let Some((key, value)) = line.split_once(':') else {
            return true;
        };
        let value = value.trim().trim_matches('"');
        let is_unfilled = value.starts_with("{{") && value.ends_with("}}");
        if is_unfilled {
            removed.push(key.trim().into());
        }
        !is_unfilled
    });
    (lines.collect(), removed)
}

impl TryFrom<RawSettings> for Settings {
    type Error = eyre::Report;

    fn try_from(raw: RawSettings) -> Result<Self> {
        if !(0.0..=1.0).contains(&raw.retry_ratio) {
            bail!("retry_ratio: {} is not between 0 and 1", raw.retry_ratio);
        }
        if !raw.retry_slack.is_finite() || raw.retry_slack < 0.0 {
            bail!(
                "retry_slack: {} is not a number of retries",
                raw.retry_slack
            );
        }
        let cold = ColdBound {
            overrun: raw.cold_overrun.unwrap_or(ColdBound::default().overrun),
            slack: raw.cold_slack.unwrap_or(ColdBound::default().slack),
        };
        if !cold.overrun.is_finite() || cold.overrun < 1.0 {
            bail!(
                "cold_overrun: {} is not a factor of at least 1",
                cold.overrun
            );
        }
        if !cold.slack.is_finite() || cold.slack < 0.0 {
            bail!("cold_slack: {} is not a number of requests", cold.slack);
        }
        if raw.stop_time_s == 0 {
            bail!("stop_time_s: must be at least 1");
        }
        if !raw.memory_mb.is_finite() || raw.memory_mb <= 0.0 {
            bail!("memory_mb: {} is not a size", raw.memory_mb);
        }
        if !raw.max_fds.is_finite() || raw.max_fds < MIN_MAX_FDS {
            bail!(
                "max_fds: {} is not a number of at least {MIN_MAX_FDS}",
                raw.max_fds
            );
        }
        let seeds: Result<Vec<SocketAddr>> = raw
            .seeds
            .split(',')
            .map(str::trim)
            .filter(|seed| !seed.is_empty())
            .map(|seed| {
                let seed: SocketAddr = seed.parse().wrap_err_with(|| format!("seed {seed}"))?;
                // The port in the setting is not the peer port and is replaced. All instances use
                // the same peer port.
                Ok(SocketAddr::new(seed.ip(), raw.peer_port))
            })
            .collect();
        let peer_addr = SocketAddr::new(raw.ip, raw.peer_port);
        let mut seeds = seeds?;
        seeds.retain(|seed| *seed != peer_addr);
        Ok(Self {
            instance: raw.instance.parse().wrap_err("instance")?,
            zone: raw.zone.parse().wrap_err("zone")?,
            caller_addr: raw.caller_addr,
            readiness_addr: raw.readiness_addr,
            metrics_addr: SocketAddr::new(raw.ip, raw.metrics_port),
            peer_addr,
            seeds,
            store_addr: raw.store_addr,
            stop_time: Millis::from_secs(raw.stop_time_s),
            bounds: Bounds {
                retry_ratio: raw.retry_ratio,
                retry_slack: raw.retry_slack as u32,
                evacuation: Millis::new(raw.evacuate_ms.unwrap_or(0)),
                cold,
            },
            zone_regions: raw.zone_regions.unwrap_or_default(),
            reservation_max: Millis::new(raw.reservation_max_ms),
            memory: Bytes::new((raw.memory_mb * BYTES_PER_MB) as u64),
            max_fds: raw.max_fds as u64,
            ignored: Vec::new(),
        })
    }
}

/// Return the path of the settings file: `given` from the command line, or else the value of the
/// environment variable named `variable`.
///
/// # Errors
///
/// Return an error if there is neither.
pub fn path(given: Option<&Path>, variable: &str) -> Result<PathBuf> {
    match (given, std::env::var_os(variable)) {
        (Some(path), _) => Ok(path.to_owned()),
        (None, Some(path)) => Ok(path.into()),
        (None, None) => bail!("no settings: give a file or set {variable}"),
    }
}
