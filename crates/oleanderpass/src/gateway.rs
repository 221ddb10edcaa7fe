//! Run an entry instance on the platform.

use std::path::Path;

use eyre::Result;
use oleanderpass_gateway_io::daemon;
use oleanderpass_gateway_io::logging;
use oleanderpass_gateway_io::settings;
use oleanderpass_gateway_io::settings::Settings;
use oleanderpass_platform::SETTINGS_VARIABLE;

/// The environment variable that holds the log filter.
const LOG_VARIABLE: &str = "OLEANDERPASS_LOG";

/// The log filter when the environment names none.
const DEFAULT_FILTER: &str = "info";

/// Run an instance, or only check its settings.
///
/// # Errors
///
/// Return the cause when the settings can't be used or the instance can't start.
pub(crate) fn run(given: Option<&Path>, check: bool) -> Result<()> {
    let path = settings::path(given, SETTINGS_VARIABLE)?;
    if check {
        let settings = Settings::read(&path)?;
        println!("settings of {} are valid", settings.instance);
        return Ok(());
    }
    let filter = std::env::var(LOG_VARIABLE).unwrap_or_else(|_| DEFAULT_FILTER.to_owned());
    let _guard = logging::start(&filter)?;
    daemon::run(&path)
}
