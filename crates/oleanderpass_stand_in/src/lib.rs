//! Simulate the systems that an entry instance talks to: model engines, plain services and the
//! platform.
//!
//! Each simulated system ("stand-in") runs as a process of the program `oleanderpass_stand_in`, or
//! inside the process of a test, on port 0 (a free port). All follow the published interfaces of
//! section 3 of `docs/design.md`; paths under `/control/` exist for tests only.

pub mod client;
pub mod engine;
mod http;
pub mod load;
pub mod output;
pub mod platform;
pub mod service;
