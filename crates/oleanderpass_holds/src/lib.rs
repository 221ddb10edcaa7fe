//! Holds of KV cache memory on several engines for one prompt.
//!
//! A hold is a lease of KV cache memory on one engine, with an owner, the owner's incarnation and a
//! deadline. Only the engine grants holds on its memory. [`plan`] splits a prompt over engines,
//! [`acquisition`] acquires the holds of a plan and releases them at every end of the request,
//! [`release`] repeats each release until the engine confirms it, and [`orphan`] finds holds that
//! their owner will not release.
//!
//! Suppose all owners of holds are dead and one live instance lists the holds of an engine once per
//! `period`. All holds on the engine are then released within the time to declare the owners dead
//! plus `period` plus one release. If the instance never learns that they are dead, they are
//! released within the longest hold deadline plus [`orphan::OVERDUE_LIMIT`] plus `period` plus one
//! release.

pub mod acquisition;
pub mod orphan;
pub mod plan;
pub mod release;
