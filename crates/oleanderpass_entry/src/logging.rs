//! Write the log as JSON lines to standard error.

use eyre::WrapErr;
use tracing_subscriber::EnvFilter;

/// Start logging with a filter, such as `info` or `oleanderpass_core=debug`.
///
/// # Errors
///
/// Return the cause when the filter is invalid or logging was started before.
pub fn start(filter: &str) -> eyre::Result<()> {
    let filter = EnvFilter::try_new(filter).wrap_err_with(|| format!("log filter `{filter}`"))?;
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .try_init()
        .map_err(|error| eyre::eyre!("start the log: {error}"))
}
