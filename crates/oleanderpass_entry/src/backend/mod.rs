//! Run requests on backend servers.

pub mod attempt;
pub mod connection;
pub mod pool;
pub mod refusal;
pub mod server_client;
pub mod service;
pub mod sse;
pub mod stream;
