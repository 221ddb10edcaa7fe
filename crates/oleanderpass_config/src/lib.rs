//! Check, compare and distribute the environment document.
//!
//! In this YAML document, operators define the zones, services, models, routes and organisations of
//! a deployment. They change it by promoting a document with a higher generation on the platform.
//! Entry instances read it from the platform and pass it on to each other.

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
