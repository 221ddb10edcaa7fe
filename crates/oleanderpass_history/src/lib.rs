//! History records, their checker and seeded fault scenarios.
//!
//! [`scenario::run`] joins several [`oleanderpass_core::instance::Instance`]s, small fake backend
//! servers, a fake platform and callers by an event queue with injected time, hits them with faults
//! at chosen steps and checks the history. It is a test harness at the core's interfaces: sockets,
//! encodings and the request tasks of the edges are replaced.

mod actions;
mod callers;
pub mod check;
pub mod fault;
mod injection;
pub mod matrix;
mod node;
pub mod record;
pub mod scenario;
mod servers;
mod task;
mod world;
