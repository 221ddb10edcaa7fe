//! Choose a backend server for a request.
//!
//! All functions are pure over a [`view::View`]: time and random numbers are passed in. One view
//! covers the engines of one service that hold one model, as one entry instance sees them.

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
