//! Run an entry instance until it is told to stop.

use std::path::Path;

use oleanderpass_entry::daemon::Daemon;
use oleanderpass_entry::logging;
use oleanderpass_entry::settings::Settings;
use oleanderpass_entry::signals;

/// Run `oleanderpass serve`.
pub(crate) fn run(settings: &Path) -> eyre::Result<()> {
    let settings = Settings::load(settings)?;
    logging::start(&settings.log_filter)?;
    let daemon = Daemon::bind(&settings)?;
    signals::watch(daemon.core())?;
    daemon.run();
    Ok(())
}
