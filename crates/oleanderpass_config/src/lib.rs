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
pub mod readers;
pub mod reading;
pub mod version;

mod candidates;
mod fetching;
mod positions;
mod startup;
