//! KV memory holds over several engines.
//!
//! The engine is the arbiter of its memory. A hold is a lease with an owner, the owner's incarnation
//! and a deadline. [`plan`] splits a prompt over engines, [`acquisition`] takes the holds of a plan,
//! [`release`] gives them back on every end and [`orphan`] finds holds that nobody will give back.
//!
//! Once all owners of holds are dead, one live instance that lists the holds of an engine each
//! `period` empties it within the time to declare the owners dead plus `period` plus one release; if
//! it never learns of their death, within the longest hold deadline plus
//! [`orphan::OVERDUE_LIMIT`] plus `period` plus one release.

pub mod acquisition;
pub mod orphan;
pub mod plan;
pub mod release;
