//! Decide whether memory that helpers reserved for a request stays reserved.
//!
//! An engine keeps a reservation when the request that uses it ends. The instance therefore renews
//! it only while something shows that the request waits or runs at its primary server.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::InstanceId;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::lifetime::Lifetime;
use crate::load::AttemptId;

/// The lease of a reservation, from its last renewal. Together with [`RENEWAL_INTERVAL`] it is
/// shorter than the time within which engines must have their memory back.
pub const LEASE: Millis = Millis::new(2_300);

/// The interval of renewals. Two may be lost before the lease ends.
pub const RENEWAL_INTERVAL: Millis = Millis::new(700);

/// The longest time for which a reservation is renewed before a request uses it. It is shorter than
/// the time after which engines count unused memory as lost.
const MAX_UNUSED_TIME: Millis = Millis::new(6_000);

/// The number of consecutive signs that show the end of the request. A single one may be a lost
/// packet, a report from before the start, or a request that is preempted and prefilled again.
const SIGNS_OF_END: u32 = 2;

/// Return the id by which engines know the reservations of an attempt. Attempts are numbered anew
/// with each lifetime, and an engine takes an order with an id that it knows for a renewal, so the id
/// names the lifetime too.
pub fn reservation_id(instance: &InstanceId, lifetime: Lifetime, attempt: AttemptId) -> SmolStr {
    format_smolstr!("{instance}-{lifetime}-{}", attempt.0)
}

/// What an engine reports about a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReservationState {
    /// No request uses the memory.
    Unused,
    /// A request uses the memory.
    Used,
    /// The engine has no such reservation.
    Missing,
}

/// What is known about the request of a reservation when a renewal is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// The primary server has sent events since the last renewal.
    PrimaryActive,
    /// The primary server accepts no connections.
    PrimaryUnreachable,
    /// The primary server accepts connections, and the helper reports this state.
    Reported(ReservationState),
    /// The primary server accepts connections, and the helper sent no report.
    NoReport,
}

/// Tracks whether a request uses one reservation.
#[derive(Clone, Copy, Debug)]
pub struct ReservationUse {
    reserved_at: Timestamp,
    was_used: bool,
    /// The number of signs of the end of the request since the last sign of use.
    signs_of_end: u32,
}

impl ReservationUse {
    /// Create the state of a reservation that was granted at `now`.
    pub fn new(now: Timestamp) -> Self {
        Self {
            reserved_at: now,
            was_used: false,
            signs_of_end: 0,
        }
    }

    /// Record the evidence at a due renewal. Return whether the reservation is renewed. If it isn't, a
    /// later sign of use before the end of the lease still renews it.
    pub fn renews(&mut self, now: Timestamp, evidence: Evidence) -> bool {
        match evidence {
            Evidence::PrimaryActive | Evidence::Reported(ReservationState::Used) => {
                self.was_used = true;
                self.signs_of_end = 0;
                true
            }
            Evidence::Reported(ReservationState::Unused) if !self.was_used => {
                now.since(self.reserved_at) < MAX_UNUSED_TIME
            }
            Evidence::PrimaryUnreachable | Evidence::Reported(_) => {
                self.signs_of_end += 1;
                self.signs_of_end < SIGNS_OF_END
            }
            Evidence::NoReport => self.was_used || now.since(self.reserved_at) < MAX_UNUSED_TIME,
        }
    }
}
