//! Suspicion and quarantine of requests that crash backend servers.
//!
//! When a backend server crashes, every request in flight there becomes a suspect.
//! [`table::Quarantine`] keeps the recent crashes and decides how a request may run next. Its rules
//! give these bounds:
//!
//! - A request that crashes its servers, and whose evidence reaches every instance before its next
//!   run, crashes 3 servers: one among other requests, one separate from the first suspects, one
//!   alone.
//! - An instance that receives no evidence loses at most 3 servers to one signature, plus one for
//!   each copy that it had dispatched before the first crash, because it runs one copy of a suspect
//!   at a time. A caller that resends through `m` instances before the evidence spreads crashes at
//!   most `3 * m` servers, plus one for each such copy.
//! - A harmless suspect is refused only if its server crashes while it runs alone, or if three
//!   servers crash under it and none of its runs finishes in between. It waits only for a server
//!   without the other suspects or, after two crashes, for an idle one. Its first complete run
//!   clears it, and all suspicion ends [`evidence::EVIDENCE_LIFETIME`] after the crash.

pub mod evidence;
mod part_evidence;
pub mod part_report;
pub mod parts;
pub mod rule;
pub mod table;
