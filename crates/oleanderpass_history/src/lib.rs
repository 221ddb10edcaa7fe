//! History records, their checker and seeded fault scenarios.
