//! Provide the value types that every oleanderpass crate shares.

pub mod clock;
pub mod error;
pub mod id;
pub mod outcome;
pub mod size;
