//! Run an entry instance until a signal shuts it down.

use std::path::Path;

use oleanderpass_entry::daemon::Daemon;
use oleanderpass_entry::logging;
use oleanderpass_entry::settings::Settings;
use oleanderpass_entry::signals;

/// Run `oleanderpass serve` until the shutdown has ended.
pub(crate) fn run(settings: &Path) -> eyre::Result<()> {
    let settings = Settings::load(settings)?;
    logging::start(&settings.log_filter)?;
    let daemon = Daemon::bind(&settings)?;
    signals::watch(daemon.core())?;
    daemon.run();
    Ok(())
}
