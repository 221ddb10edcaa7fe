//! Start the graceful shutdown on SIGTERM and SIGINT.

use std::thread;

use eyre::WrapErr;
use oleanderpass_core::event::Event;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use crate::core_loop::CoreSender;

/// Start a thread that reports SIGTERM and SIGINT to the core as [`Event::Shutdown`].
///
/// # Errors
///
/// Return the cause when the signals can't be registered or the thread can't be started.
pub fn watch(core: CoreSender) -> eyre::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).wrap_err("register signals")?;
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            for signal in signals.forever() {
                tracing::info!(signal, "shutdown requested");
                core.send_event(Event::Shutdown);
            }
        })
        .wrap_err("start the signal thread")?;
    Ok(())
}
