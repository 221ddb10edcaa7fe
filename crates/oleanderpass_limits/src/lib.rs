//! Limit the usage of organisations over the whole fleet, and the number of retries.
//!
//! [`organisation::OrganisationLimits`] does no I/O: its user passes in the limits of the
//! environment document, the instances that are alive, the answers of peers and the time.

pub mod organisation;
pub mod quota;
pub mod retry;

mod bucket;
mod home;
mod local;
