//! Stand in for the outside systems of an entry instance: model engines, plain services and the
//! platform.
//!
//! The parts run as processes of the program `oleanderpass_stand_in`, or in the process of a test
//! on port 0. They follow the published interfaces of section 3 of `docs/design.md`; paths under
//! `/control/` exist for tests only.

pub mod client;
pub mod engine;
mod http;
pub mod load;
pub mod output;
pub mod platform;
pub mod service;
