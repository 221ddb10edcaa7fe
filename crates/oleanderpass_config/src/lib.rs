//! Check, compare and distribute the environment document.

pub mod canonical;
pub mod check;
pub mod document;
pub mod error;
