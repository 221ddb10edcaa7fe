//! Start the graceful shutdown on SIGTERM and SIGINT.

use std::thread;

use eyre::WrapErr;
use oleanderpass_core::event::Event;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use crate::core_loop::CoreSender;

/// Report the signals to the core from a thread of their own.
///
/// # Errors
///
/// Return the cause when the signals can't be registered.
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
