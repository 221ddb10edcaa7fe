//! Run an entry instance on the platform.

use std::path::Path;

use eyre::Result;
use eyre::bail;
use oleanderpass_gateway_io::daemon;
use oleanderpass_gateway_io::logging;
use oleanderpass_gateway_io::settings;
use oleanderpass_gateway_io::settings::Settings;
use oleanderpass_gateway_io::start_error::StartError;
use oleanderpass_platform::SETTINGS_VARIABLE;

use crate::version::BUILD;

/// The environment variable that holds the log filter.
const LOG_VARIABLE: &str = "OLEANDERPASS_LOG";

/// Run an instance, or check its settings only. Without a path, the environment variable of the
/// platform names the settings file.
///
/// # Errors
///
/// Fails if the settings are invalid or the instance can't start.
pub(crate) fn run(settings_path: Option<&Path>, check_only: bool) -> Result<()> {
    let path = settings::path(settings_path, SETTINGS_VARIABLE)?;
    if check_only {
        let settings = Settings::read(&path).map_err(StartError::Settings)?;
        if !settings.ignored.is_empty() {
            // A running instance ignores them, but they may be misspelled.
            bail!(
                "settings {}: unknown or unfilled: {}",
                path.display(),
                settings.ignored.join(", ")
            );
        }
        println!("settings of {} are valid", settings.instance);
        return Ok(());
    }
    let filter = std::env::var(LOG_VARIABLE);
    let filter = filter.unwrap_or_else(|_| logging::DEFAULT_FILTER.to_owned());
    let _guard = logging::start(&filter)?;
    Ok(daemon::run(&path, BUILD)?)
}
