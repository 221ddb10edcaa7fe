//! Communicate with other entry instances.

pub mod client;
pub mod datagram;
pub mod forward;
pub mod mac;
pub mod proof;
pub mod server;
