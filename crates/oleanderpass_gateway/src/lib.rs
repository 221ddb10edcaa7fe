//! Decide how one entry instance serves the routes of a published configuration.
//!
//! Nothing in this crate reads a clock or does IO: events are passed in together with the time, so
//! that a test can replay a run exactly. [`gateway::Gateway`] is the entry point and combines the
//! other modules.

pub mod absence;
pub mod admission;
pub mod backend;
pub mod callers;
pub mod cold;
pub mod config;
pub mod configuration_encoding;
pub mod configuration_history;
pub mod configuration_source;
pub mod copy_slots;
pub mod crashes;
pub mod drain;
pub mod engine;
pub mod evacuation;
pub mod explain;
pub mod gateway;
pub mod health;
pub mod hedge;
pub mod homes;
pub mod lifetime;
pub mod load;
pub mod memory;
pub mod outcome;
pub mod pace;
pub mod pauses;
pub mod peers;
pub mod placement;
pub mod pools;
pub mod reach;
pub mod readiness;
pub mod registry;
pub mod reservation;
pub mod retry_after;
pub mod retry_budgets;
pub mod route;
pub mod server_limits;
pub mod silence;
pub(crate) mod split;
pub mod store;
pub mod store_reader;
pub mod terms;
pub(crate) mod token_bucket;
pub mod transfer;
