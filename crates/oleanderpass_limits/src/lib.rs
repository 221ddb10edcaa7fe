//! Limit what organisations use over the whole fleet, and how often failed attempts are repeated.
//!
//! [`organisation::OrganisationLimits`] is sans-IO: the caller passes the document's limits, the
//! view of the fleet, answers of peers and ticks with the time.

pub mod organisation;
pub mod quota;
pub mod retry;

mod bucket;
mod home;
mod local;
