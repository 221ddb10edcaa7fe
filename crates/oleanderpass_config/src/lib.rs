//! Check, compare and distribute the environment document.

pub mod accept;
pub mod canonical;
pub mod check;
pub mod content;
pub mod delta;
pub mod distribution;
pub mod document;
pub mod error;
pub mod parse;
pub mod promotion;
pub mod read_schedule;
pub mod readers;
pub mod version;

mod candidates;
mod fetch_schedule;
mod positions;
mod startup;
