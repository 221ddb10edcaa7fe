//! Orders to engines, derived from the document and observed state.
//!
//! [`derive::derive_orders`] is a pure function, so two issuers with the same view give the same
//! orders and repeating one is harmless. Each order carries the document's generation as fencing
//! number. [`guard::IssueGuard`] stops an instance that woke late from issuing stale orders.

pub mod derive;
pub mod engine;
pub mod guard;
pub mod placement;
