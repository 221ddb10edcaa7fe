//! Comparison of routing policies by simulation, plots of real runs, and measurement of decision
//! cost.

pub mod cost;
pub mod day;
pub mod engine;
pub mod measures;
pub mod pages;
pub mod plots;
pub mod runs;
pub mod scenario;
pub mod simulation;
pub mod trace;
