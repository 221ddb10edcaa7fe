//! History records, their checker and seeded fault scenarios.
//!
//! [`scenario::run`] simulates several [`oleanderpass_core::instance::Instance`]s, simple backend
//! servers, the platform and callers. An event queue with a simulated clock drives them, faults are
//! injected at chosen steps, and the history is checked. It is a test harness at the core's
//! interfaces: it replaces sockets, encodings and the request tasks of the edges, which are the
//! code between the core and the network.
//!
//! A *node* is a simulated entry instance: the core, and a stand-in for its edges.

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
mod simulation;
mod task;
