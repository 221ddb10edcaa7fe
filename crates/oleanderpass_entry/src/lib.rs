//! Run the edges of an entry instance: sockets, metrics and the event loop of the core.
//!
//! Tokio tasks own the sockets, blocking threads read the platform and serve the operator port,
//! and one thread runs the decision core. They communicate by messages.

pub mod backend;
pub mod caller;
pub mod clock;
pub mod core_loop;
pub mod daemon;
pub mod delivery;
pub mod edges;
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
