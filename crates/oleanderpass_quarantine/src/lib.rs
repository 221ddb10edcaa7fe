//! Suspicion and quarantine of requests that crash backend servers.
//!
//! When a backend server crashes, every request in flight there becomes a suspect. The table in
//! [`table::Quarantine`] keeps what is known of crashes and says how a request may run next. The
//! bounds that follow from the rules:
//!
//! - A bad request whose evidence reaches every instance before its next run crashes 3 servers: one
//!   among others, one apart from the first suspects, one alone.
//! - An instance that hears no evidence loses at most 3 servers to one signature, plus the copies
//!   that it had dispatched before the first crash, because it runs one copy of a suspect at a time.
//!   A caller that resends through `m` instances before evidence spreads takes down at most `3 * m`
//!   servers and those copies.
//! - An innocent suspect is never refused unless its server crashes while it runs alone, or three
//!   servers crash under it and none of its runs finishes in between. It waits
//!   only for a server without the other suspects, or, after two crashes, for an idle one. Its first
//!   whole run clears it, and all suspicion ends [`evidence::EVIDENCE_LIFETIME`] after the crash.

pub mod evidence;
pub mod rule;
pub mod table;
