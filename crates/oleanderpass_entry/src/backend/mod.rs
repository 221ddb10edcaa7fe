//! Run requests on backend servers.

pub mod attempt;
pub mod connection;
pub mod observe;
pub mod pool;
pub mod refusal;
pub mod service;
pub mod sse;
pub mod stream;
