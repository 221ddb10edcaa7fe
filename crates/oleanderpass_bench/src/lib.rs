//! Comparison of routing policies over one trace, and decision cost.

pub mod cost;
pub mod day;
pub mod engine;
pub mod fleet;
pub mod measure;
pub mod pages;
pub mod plots;
pub mod runs;
pub mod scenario;
pub mod trace;
