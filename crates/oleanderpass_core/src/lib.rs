//! Decide what one entry instance does, without sockets and clocks.
//!
//! [`instance::Instance`] takes events and returns actions. The edges perform the actions and
//! report what came of them. [`stream::Assembler`] is used by the request tasks of the edges.

pub mod action;
mod admission;
mod attempt;
pub mod crash_evidence;
mod dispatch;
mod documents;
pub mod drain;
pub mod event;
pub mod failure;
mod holding;
pub mod instance;
mod limiting;
pub mod observe;
mod ordering;
mod peers;
mod placement;
mod queue;
pub mod request;
pub mod retry;
pub mod server;
mod servers;
pub mod stream;
mod tickets;
