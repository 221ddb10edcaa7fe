//! Choose a backend server for a request.
//!
//! The crate does no I/O and reads no clock: the time and the random number generator are passed
//! in. A [`view::View`] holds the engines of one service that serve one model, as one entry
//! instance sees them.

pub mod cost;
pub mod fair;
mod join;
pub mod overload;
pub mod policy;
pub mod polling;
pub mod prefix;
pub mod rendezvous;
pub mod request;
pub mod share;
pub mod split;
pub mod view;
