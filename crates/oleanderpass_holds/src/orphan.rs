//! Search for holds that their owner will not release.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::id::Incarnation;
use oleanderpass_types::id::InstanceId;
use smol_str::SmolStr;

/// Time after the deadline of a hold from which any instance releases it. Source: design section
/// 4.7. Before that the owner releases the hold itself.
pub const OVERDUE_LIMIT: Millis = Millis::from_secs(5);

/// A hold as the engine lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedHold {
    /// The hold's id.
    pub id: SmolStr,
    /// The instance that acquired the hold.
    pub owner: InstanceId,
    /// The owner's incarnation when it acquired the hold.
    pub incarnation: Incarnation,
    /// The time since the hold's deadline on the engine's clock, zero before it.
    pub overdue: Millis,
}

/// The state of a hold's owner as the listing instance sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum OwnerState {
    /// The owner is the listing instance in its current incarnation.
    Own {
        /// Whether an acquisition of this instance owns the hold.
        tracked: bool,
    },
    /// The owner is alive, suspect or leaving, or membership knows only an earlier incarnation of
    /// it.
    Alive,
    /// Membership declared the owner's incarnation, or a later one, dead.
    Dead,
    /// A later incarnation of the owner is running.
    Replaced,
    /// The owner is not in the membership table.
    Unknown,
}

impl OwnerState {
    /// Compare the incarnation of a live member with the owner's incarnation in a hold.
    ///
    /// A hold of a later incarnation than the member's isn't an orphan: the membership view lags.
    pub fn of_live_member(member: Incarnation, owner: Incarnation) -> Self {
        if member > owner {
            Self::Replaced
        } else {
            Self::Alive
        }
    }
}

/// Return the ids of the listed holds that this instance releases now.
pub fn find_orphans(
    listed: &[ListedHold],
    owner_state: impl Fn(&ListedHold) -> OwnerState,
) -> Vec<SmolStr> {
    let is_orphan = |hold: &&ListedHold| match owner_state(hold) {
        OwnerState::Dead | OwnerState::Replaced | OwnerState::Own { tracked: false } => true,
        OwnerState::Alive | OwnerState::Unknown => hold.overdue >= OVERDUE_LIMIT,
        // The instance ends the request at its deadline and then releases the hold itself.
        OwnerState::Own { tracked: true } => false,
    };
    let orphans = listed.iter().filter(is_orphan);
    orphans.map(|hold| hold.id.clone()).collect()
}
