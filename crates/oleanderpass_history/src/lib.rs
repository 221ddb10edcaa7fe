//! History records, their checker and seeded fault scenarios.

pub mod check;
pub mod record;
