//! Run an entry instance on the platform: its sockets, signals, logs and metrics, on one thread.
//!
//! `oleanderpass_gateway` makes the decisions, and `oleanderpass_platform` translates the names and
//! formats of the platform.

pub mod build;
pub mod clock;
pub mod daemon;
pub mod events;
pub mod explain;
pub mod logging;
pub mod pieces;
pub mod settings;
pub mod socket_options;
pub mod start_error;

mod attempt;
mod body;
mod callers;
mod configuration_copy;
mod connection;
mod endpoints;
mod exchange;
mod frontend;
mod instance;
mod internal_http;
mod metrics;
mod notices;
mod peer;
mod reach;
mod receive;
mod relay;
mod reservation;
mod served_body;
mod store;
mod store_call;
