//! Decide what one entry instance does, without sockets and clocks.
//!
//! [`instance::Instance`] takes events and returns actions. The edges perform the actions and
//! report what came of them.

pub mod action;
pub mod event;
pub mod instance;
pub mod request;
pub mod server;
pub mod stream;
