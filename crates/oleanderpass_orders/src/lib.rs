//! Orders to engines, derived from the document and the observed state of the engines.
//!
//! [`derive::derive_orders`] is a pure function, so two instances that observe the same state issue
//! the same orders. Repeating an order is harmless. Each order carries the document's generation as
//! fencing number. [`guard::IssueGuard`] keeps an instance from issuing stale orders after its
//! process was paused.

pub mod derive;
pub mod engine;
pub mod guard;
pub mod placement;
