//! Decide for one entry instance that serves the routes of a published configuration.
//!
//! Nothing here reads a clock or a socket: the edges pass events with the time, so that a test can
//! replay a run exactly. [`gateway::Gateway`] joins the parts.

pub mod admission;
pub mod backend;
pub mod config;
pub mod crashes;
pub mod drain;
pub mod engine;
pub mod gateway;
pub mod health;
pub mod load;
pub mod outcome;
pub mod peers;
pub mod placement;
pub mod pools;
pub mod registry;
pub mod retry_after;
pub mod route;
pub mod silence;
