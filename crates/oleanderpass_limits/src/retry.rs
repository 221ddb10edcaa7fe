//! Keep retries a small part of the load.

/// What an admitted request adds, in thousandths of a retry.
const EARNED: u32 = 100;

/// What a retry costs, in thousandths.
const COST: u32 = 1_000;

/// The most that is saved, in thousandths: 10 retries.
const MAX_SAVED: u32 = 10 * COST;

/// A budget of 0.1 retries for each admitted request, at most 10 saved and none at the start.
///
/// Over a full outage, sent over admitted requests stay at or under 1.1, plus the saved ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryBudget {
    saved: u32,
}

impl RetryBudget {
    /// Count an admitted request.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED).min(MAX_SAVED);
    }

    /// Take one retry from the budget, or return `false` if there is none.
    #[must_use]
    pub fn take(&mut self) -> bool {
        let enough = self.saved >= COST;
        if enough {
            self.saved -= COST;
        }
        enough
    }
}
