//! Run an entry instance around its decision core: sockets, metrics and the core's event loop.
//!
//! Tokio tasks own the sockets, blocking threads read the platform and serve the operator port,
//! and one thread runs the decision core, which does no I/O of its own. They communicate by
//! messages. Comments of the core call this crate "the edge".

pub mod action_executor;
pub mod backend;
pub mod caller;
pub mod clock;
pub mod core_loop;
pub mod daemon;
pub mod delivery;
pub mod generation_sink;
pub mod logging;
pub mod metrics;
pub mod operator;
pub mod peer;
pub mod platform;
pub mod request_task;
pub mod settings;
pub mod shared;
pub mod signals;
pub mod snapshot;
