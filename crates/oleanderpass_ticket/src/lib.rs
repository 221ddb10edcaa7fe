//! Issue execution tickets and keep the ledger of their uses.
//!
//! A ticket names the one incarnation of an entry instance that may dispatch its request, once.
//! That incarnation's [`ledger::Ledger`] answers further uses with the recorded outcome.

pub mod answer;
pub mod key;
pub mod ledger;
pub mod ticket;

pub use key::FleetKey;
