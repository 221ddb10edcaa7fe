//! Find holds that their owner will not release.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::id::Incarnation;
use oleanderpass_types::id::InstanceId;
use smol_str::SmolStr;

/// The time after its deadline from which any instance releases a hold. Source: design section 4.7.
/// Within it the owner releases the hold itself.
pub const OVERDUE_LIMIT: Millis = Millis::from_secs(5);

/// A hold as the engine lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedHold {
    /// The hold.
    pub id: SmolStr,
    /// The instance that took it.
    pub owner: InstanceId,
    /// That instance's incarnation.
    pub incarnation: Incarnation,
    /// The time since its deadline, on the engine's clock.
    pub overdue: Millis,
}

/// What the listing instance knows of a hold's owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum OwnerState {
    /// The owner is this instance in this incarnation. `tracked` says whether its request table has
    /// the hold.
    Own {
        /// The hold is in the request table.
        tracked: bool,
    },
    /// The owner answers, is suspected, or is leaving.
    Alive,
    /// Membership declared the incarnation dead.
    Dead,
    /// A later incarnation of the owner runs.
    Replaced,
    /// Membership knows nothing of the owner.
    Unknown,
}

impl OwnerState {
    /// Compare a hold's incarnation with the one that membership knows to be alive.
    ///
    /// A hold of a later incarnation than the known one isn't an orphan: the view lags.
    pub fn of_live_member(known: Incarnation, holder: Incarnation) -> Self {
        if known > holder {
            Self::Replaced
        } else {
            Self::Alive
        }
    }
}

/// Return the listed holds that this instance releases now.
pub fn find_orphans(
    listed: &[ListedHold],
    owner_state: impl Fn(&ListedHold) -> OwnerState,
) -> Vec<SmolStr> {
    let orphan = |hold: &&ListedHold| match owner_state(hold) {
        OwnerState::Dead | OwnerState::Replaced | OwnerState::Own { tracked: false } => true,
        OwnerState::Alive | OwnerState::Unknown => hold.overdue >= OVERDUE_LIMIT,
        // The core ends its requests at their deadline and releases their holds itself.
        OwnerState::Own { tracked: true } => false,
    };
    let orphans = listed.iter().filter(orphan);
    orphans.map(|hold| hold.id.clone()).collect()
}
