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
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    saved: u32,
    earned: u32,
    max_saved: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved: 0,
            earned: EARNED,
            max_saved: MAX_SAVED,
        }
    }
}

impl RetryBudget {
    /// Create a full budget of `saved` retries to which each admitted request adds `ratio` retries.
    pub fn full(ratio: f64, saved: u32) -> Self {
        let max_saved = saved.saturating_mul(COST);
        Self {
            saved: max_saved,
            earned: (ratio.clamp(0.0, 1.0) * f64::from(COST)) as u32,
            max_saved,
        }
    }

    /// Change the most that is saved.
    pub fn set_capacity(&mut self, saved: u32) {
        self.max_saved = saved.saturating_mul(COST);
        self.saved = self.saved.min(self.max_saved);
    }

    /// Count an admitted request.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + self.earned).min(self.max_saved);
    }

    /// Return whether no retry is left.
    pub fn is_empty(&self) -> bool {
        self.saved < COST
    }

    /// Return a retry that was taken and not made.
    pub fn refund(&mut self) {
        self.saved = (self.saved + COST).min(self.max_saved);
    }

    /// Take one retry from the budget, or return `false` if there is none.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        let enough = !self.is_empty();
        if enough {
            self.saved -= COST;
        }
        enough
    }
}
