//! Run an entry instance on the platform: one thread, sockets, signals, logs and metrics.
//!
//! Decisions are in `oleanderpass_gateway`, the platform's names and formats in
//! `oleanderpass_platform`.

pub mod clock;
pub mod daemon;
pub mod events;
pub mod logging;
pub mod settings;

mod attempt;
mod body;
mod connection;
mod exchange;
mod frontend;
mod metrics;
mod node;
mod operator;
mod peer;
mod reservation;
mod store;
