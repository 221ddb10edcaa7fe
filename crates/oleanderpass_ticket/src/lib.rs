//! Execution tickets for non-idempotent requests and the ledger of their uses.
//!
//! A ticket names the one incarnation of an entry instance that may run its request, and that
//! incarnation runs it at most once. Its [`ledger::Ledger`] answers later uses of the ticket with
//! the recorded outcome.

pub mod answer;
pub mod key;
pub mod ledger;
pub mod ticket;

pub use key::FleetKey;
