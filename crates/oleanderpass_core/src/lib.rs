//! Decide what one entry instance does, without I/O and without reading a clock.
//!
//! [`instance::Instance`] handles events and returns actions. The *edges*, the code around it that
//! does the I/O, carry out the actions and report the results as events. They run one task per
//! request, which assembles the events of a stream with [`stream::Assembler`].

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
