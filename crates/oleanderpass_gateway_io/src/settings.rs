//! Read and check the settings of an instance.

use std::fmt::Debug;
use std::fs;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::ops::RangeBounds;
use std::path::Path;
use std::path::PathBuf;
use std::str::FromStr;

use eyre::Result;
use eyre::WrapErr;
use eyre::bail;
use eyre::eyre;
use indexmap::IndexMap;
use oleanderpass_gateway::cold::ColdBound;
use oleanderpass_gateway::gateway::Bounds;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::id::InstanceId;
use oleanderpass_types::id::RegionId;
use oleanderpass_types::id::ZoneId;
use oleanderpass_types::size::Bytes;
use serde::Deserialize;
use serde_json::Value;
use smol_str::SmolStr;

/// The port for metrics if the settings don't state it. Source: the deploy file.
const DEFAULT_METRICS_PORT: u16 = 9_464;

/// The time from the signal to stop until the process is killed, in seconds, if the settings don't
/// state it. A process that is killed later than it expects loses nothing by it.
const DEFAULT_STOP_TIME_S: f64 = 8.0;

/// The retries for each request if the settings don't state them, and those beyond that share.
const DEFAULT_RETRY_RATIO: f64 = 0.2;
const DEFAULT_RETRY_SLACK: f64 = 10.0;

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

const MS_PER_S: f64 = 1_000.0;

/// The settings as written in the file. A value is taken out when it is read.
#[derive(Debug, Deserialize)]
#[serde(transparent)]
struct RawSettings(IndexMap<SmolStr, Value>);

impl RawSettings {
    /// Return the value of a key, or `None` if it is missing or empty.
    fn take(&mut self, key: &str) -> Option<Value> {
        let value = self.0.shift_remove(key)?;
        let is_empty = match &value {
            Value::Null => true,
            Value::String(text) => text.trim().is_empty(),
            _ => false,
        };
        (!is_empty).then_some(value)
    }

    /// Return a value that is written as text.
    fn text<T>(&mut self, key: &str) -> Result<Option<T>>
    where
        T: FromStr,
        T::Err: Into<eyre::Report>,
    {
        let text = match self.take(key) {
            None => return Ok(None),
            Some(Value::String(text)) => text,
            Some(other) => other.to_string(),
        };
        match text.trim().parse() {
            Ok(value) => Ok(Some(value)),
            Err(error) => Err(error.into()).wrap_err_with(|| format!("{key}: `{text}`")),
        }
    }

    /// Return a value that an instance can't do without.
    fn required<T>(&mut self, key: &str) -> Result<T>
    where
        T: FromStr,
        T::Err: Into<eyre::Report>,
    {
        self.text(key)?
            .ok_or_else(|| eyre!("{key}: missing or empty"))
    }

    /// Return a number in a range. The platform may scale bounds to the size of a fleet or a
    /// machine, so whole numbers may be written as fractions.
    fn number(&mut self, key: &str, range: impl RangeBounds<f64> + Debug) -> Result<Option<f64>> {
        let number: Option<f64> = self.text(key)?;
        match number {
            Some(number) if !number.is_finite() || !range.contains(&number) => {
                bail!("{key}: {number} is not in {range:?}")
            }
            _ => Ok(number),
        }
    }
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
    /// The longest lease of a reservation that engines grant. The longest time if it isn't stated.
    pub reservation_max: Millis,
    /// The memory above which the platform ends the process.
    pub memory: Bytes,
    /// The most file descriptors that the process may have.
    pub max_fds: u64,
    /// The keys of the file that have no effect: this build doesn't know them, or the platform left
    /// the field of the template unfilled.
    pub ignored: Vec<SmolStr>,
    /// The keys that are missing or empty and whose defaults are in force.
    pub defaulted: Vec<SmolStr>,
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
        let options = serde_saphyr::options! { with_snippet: false };
        let raw: RawSettings =
            serde_saphyr::from_str_with_options(&filled, options).wrap_err("parse the settings")?;
        let settings = Self::try_from(raw)?;
        ignored.extend(settings.ignored);
        Ok(Self {
            ignored,
            ..settings
        })
    }
}

impl TryFrom<RawSettings> for Settings {
    type Error = eyre::Report;

    fn try_from(mut raw: RawSettings) -> Result<Self> {
        let mut defaulted = Vec::new();
        let mut or_default = |key: &str, value: Option<f64>, default: f64| {
            value.unwrap_or_else(|| {
                defaulted.push(key.into());
                default
            })
        };
        let instance = raw.required("instance")?;
        let zone = raw.required("zone")?;
        let ip: IpAddr = raw.required("ip")?;
        let peer_port = raw.required("peer_port")?;
        let peer_addr = SocketAddr::new(ip, peer_port);
        let seeds: Option<String> = raw.text("seeds")?;
        let cold = ColdBound::default();
        let stop_time_s = raw.number("stop_time_s", 1.0..)?;
        let retry_ratio = raw.number("retry_ratio", 0.0..=1.0)?;
        let retry_slack = raw.number("retry_slack", 0.0..)?;
        let reservation_max = raw.number("reservation_max_ms", 0.0..)?;
        let memory_mb = raw.number("memory_mb", 1.0..)?;
        let max_fds = raw.number("max_fds", MIN_MAX_FDS..)?;
        let metrics_port = raw.text("metrics_port")?;
        let stop_time_s = or_default("stop_time_s", stop_time_s, DEFAULT_STOP_TIME_S);
        let bounds = Bounds {
            retry_ratio: or_default("retry_ratio", retry_ratio, DEFAULT_RETRY_RATIO),
            retry_slack: or_default("retry_slack", retry_slack, DEFAULT_RETRY_SLACK) as u32,
            evacuation: Millis::new(raw.number("evacuate_ms", 0.0..)?.unwrap_or(0.0) as u64),
            cold: ColdBound {
                overrun: raw.number("cold_overrun", 1.0..)?.unwrap_or(cold.overrun),
                slack: raw.number("cold_slack", 0.0..)?.unwrap_or(cold.slack),
            },
        };
        let zone_regions = raw.take("zone_regions").map(serde_json::from_value);
        let settings = Self {
            instance,
            zone,
            caller_addr: raw.required("caller_addr")?,
            readiness_addr: raw.required("readiness_addr")?,
            metrics_addr: SocketAddr::new(ip, metrics_port.unwrap_or(DEFAULT_METRICS_PORT)),
            peer_addr,
            seeds: parse_seeds(&seeds.unwrap_or_default(), peer_addr)?,
            store_addr: raw.required("store_addr")?,
            stop_time: Millis::new((stop_time_s * MS_PER_S) as u64),
            bounds,
            zone_regions: zone_regions
                .transpose()
                .wrap_err("zone_regions")?
                .unwrap_or_default(),
            reservation_max: reservation_max
                .map_or(Millis::new(u64::MAX), |ms| Millis::new(ms as u64)),
            memory: Bytes::new((memory_mb.unwrap_or(DEFAULT_MEMORY_MB) * BYTES_PER_MB) as u64),
            max_fds: max_fds.unwrap_or(DEFAULT_MAX_FDS) as u64,
            ignored: Vec::new(),
            defaulted,
        };
        // What nothing has taken is unknown.
        Ok(Self {
            ignored: raw.0.into_keys().collect(),
            ..settings
        })
    }
}

/// Parse the comma-separated addresses of seeds, without that of the instance itself.
fn parse_seeds(text: &str, peer_addr: SocketAddr) -> Result<Vec<SocketAddr>> {
    let seeds = text.split(',').map(str::trim);
    let seeds = seeds.filter(|seed| !seed.is_empty()).map(|seed| {
        let parsed: SocketAddr = seed.parse().wrap_err_with(|| format!("seeds: `{seed}`"))?;
        // The port in the setting is not the peer port and is replaced. All instances use the
        // same peer port.
        Ok(SocketAddr::new(parsed.ip(), peer_addr.port()))
    });
    let mut seeds = seeds.collect::<Result<Vec<SocketAddr>>>()?;
    seeds.retain(|seed| *seed != peer_addr);
    Ok(seeds)
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
