//! Load and check the settings of an entry instance.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;

use eyre::WrapErr;
use oleanderpass_proto::settings as raw;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::id::InstanceId;
use oleanderpass_types::id::ZoneId;
use oleanderpass_types::size::Bytes;
use smol_str::SmolStr;

/// The most caller connections open at the same time. Source: design section 3.1.
const DEFAULT_MAX_CONNECTIONS: u32 = 2_000;

/// The largest body of a request. Source: design section 3.1 (a million tokens take about 4 MiB of
/// text).
const DEFAULT_MAX_BODY: Bytes = Bytes::new(8 << 20);

/// The memory of all bodies held at the same time: eight bodies of the largest size.
const DEFAULT_BODY_BUDGET: Bytes = Bytes::new(64 << 20);

/// The timeout for receiving a request head. Source: design section 3.1.
const DEFAULT_HEAD_TIMEOUT: Millis = Millis::from_secs(5);

/// The log filter when the settings name none.
const DEFAULT_LOG_FILTER: &str = "info";

/// The key that authenticates messages between entry instances.
#[derive(Clone, PartialEq, Eq)]
pub struct FleetKey(pub [u8; 32]);

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetKey(..)")
    }
}

impl FromStr for FleetKey {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut key = [0; 32];
        hex::decode_to_slice(text.trim(), &mut key)
            .map_err(|_| "must have 64 hexadecimal digits")?;
        Ok(Self(key))
    }
}

/// The limits of the caller port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The most connections open at the same time.
    pub max_connections: u32,
    /// The largest body of a request.
    pub max_body: Bytes,
    /// The memory of all bodies held at the same time, at least [`Limits::max_body`].
    pub body_budget: Bytes,
    /// The timeout for receiving a request head.
    pub head_timeout: Millis,
}

/// The checked settings of an entry instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The id of the instance.
    pub instance: InstanceId,
    /// The availability zone of the instance.
    pub zone: ZoneId,
    /// The address for callers.
    pub caller_addr: SocketAddr,
    /// The address for peers (UDP and gRPC).
    pub peer_addr: SocketAddr,
    /// The address for operators.
    pub operator_addr: SocketAddr,
    /// The address of the platform.
    pub platform_addr: SocketAddr,
    /// The key of the environment document in the configuration service.
    pub config_key: SmolStr,
    /// The addresses of peers to contact at start, besides those in the platform's instance list.
    pub seeds: Vec<SocketAddr>,
    /// The key that authenticates messages between entry instances.
    pub fleet_key: FleetKey,
    /// The limits of the caller port.
    pub limits: Limits,
    /// The log filter, such as `info` or `oleanderpass_core=debug`.
    pub log_filter: SmolStr,
}

/// All errors of a settings file: the field and the cause of each. Displayed as one line each.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsErrors(Vec<(SmolStr, SmolStr)>);

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self
            .0
            .iter()
            .map(|(field, cause)| format!("{field}: {cause}"))
            .collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for SettingsErrors {}

impl Settings {
    /// Read and check a settings file, and read the fleet key file that it names.
    ///
    /// # Errors
    ///
    /// Return the file and the cause when a file can't be read or a value is invalid.
    pub fn load(path: &Path) -> eyre::Result<Self> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("read the settings {}", path.display()))?;
        let mut raw: raw::Settings = serde_saphyr::from_str(&text)
            .map_err(|error| eyre::eyre!("{error}"))
            .wrap_err_with(|| format!("parse the settings {}", path.display()))?;
        if !raw.fleet_key_file.is_empty() {
            eyre::ensure!(
                raw.fleet_key.is_empty(),
                "fleet_key: set either this or fleet_key_file"
            );
            raw.fleet_key = std::fs::read_to_string(&raw.fleet_key_file)
                .wrap_err_with(|| format!("read the fleet key {}", raw.fleet_key_file))?;
        }
        Self::try_from(&raw).wrap_err_with(|| format!("check the settings {}", path.display()))
    }
}

/// Parses the fields of one settings file and collects the errors.
#[derive(Default)]
struct Checker {
    errors: Vec<(SmolStr, SmolStr)>,
}

impl Checker {
    /// Parse a field, or record its error and return `None`.
    fn parse<T: FromStr<Err: fmt::Display>>(&mut self, field: &str, text: &str) -> Option<T> {
        text.parse()
            .map_err(|error: T::Err| self.errors.push((field.into(), error.to_string().into())))
            .ok()
    }
}

impl TryFrom<&raw::Settings> for Settings {
    type Error = SettingsErrors;

    fn try_from(raw: &raw::Settings) -> Result<Self, Self::Error> {
        let mut checker = Checker::default();
        let instance = checker.parse("instance", &raw.instance);
        let zone = checker.parse("zone", &raw.zone);
        let caller_addr = checker.parse("caller_addr", &raw.caller_addr);
        let peer_addr = checker.parse("peer_addr", &raw.peer_addr);
        let operator_addr = checker.parse("operator_addr", &raw.operator_addr);
        let platform_addr = checker.parse("platform_addr", &raw.platform_addr);
        let fleet_key = checker.parse("fleet_key", &raw.fleet_key);
        let seeds = raw
            .seeds
            .iter()
            .enumerate()
            .filter_map(|(index, seed)| checker.parse(&format!("seeds[{index}]"), seed))
            .collect();
        // The key becomes a part of a URL path. It is parsed as an id, whose characters need no
        // escaping there; all ids follow the same rules.
        let config_key: Option<ZoneId> = checker.parse("config_key", &raw.config_key);
        let checked = || {
            Some(Settings {
                instance: instance?,
                zone: zone?,
                caller_addr: caller_addr?,
                peer_addr: peer_addr?,
                operator_addr: operator_addr?,
                platform_addr: platform_addr?,
                config_key: config_key?.as_str().into(),
                seeds,
                fleet_key: fleet_key?,
                limits: limits_with_defaults(raw.limits.unwrap_or_default()),
                log_filter: or_default(raw.log.clone(), DEFAULT_LOG_FILTER.to_owned()).into(),
            })
        };
        if !checker.errors.is_empty() {
            return Err(SettingsErrors(checker.errors));
        }
        checked().ok_or(SettingsErrors(checker.errors))
    }
}

/// Return `value`, or `default` if the settings file leaves the field out or has zero or an empty
/// text in it.
fn or_default<T: Default + PartialEq>(value: T, default: T) -> T {
    if value == T::default() {
        default
    } else {
        value
    }
}

/// Use the default for each limit that the settings file leaves out. The budget has room for at
/// least one body of the largest size.
fn limits_with_defaults(raw: raw::Limits) -> Limits {
    let max_body = or_default(Bytes::new(raw.body_bytes), DEFAULT_MAX_BODY);
    Limits {
        max_connections: or_default(raw.connections, DEFAULT_MAX_CONNECTIONS),
        max_body,
        body_budget: or_default(Bytes::new(raw.body_budget_bytes), DEFAULT_BODY_BUDGET)
            .max(max_body),
        head_timeout: or_default(Millis::new(raw.head_timeout_ms), DEFAULT_HEAD_TIMEOUT),
    }
}
