//! Limit retries to a small part of the load by a retry budget.

/// The deposit of an admitted request by default, in thousandths of a retry.
const DEPOSIT_THOUSANDTHS: u32 = 100;

/// The cost of one retry, in thousandths of a retry.
const RETRY_THOUSANDTHS: u32 = 1_000;

/// The highest balance by default, in thousandths of a retry: 10 retries.
const CAPACITY_THOUSANDTHS: u32 = 10 * RETRY_THOUSANDTHS;

/// A retry budget: admitted requests deposit into its balance, and retries withdraw from it.
///
/// The default adds 0.1 retries for each admitted request, holds at most 10 retries and starts
/// empty. Over a full outage, the attempts sent are then at most 1.1 times the admitted requests,
/// plus the balance at its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    /// The retries that can be withdrawn, in thousandths.
    balance: u32,
    /// What an admitted request adds, in thousandths of a retry.
    deposit: u32,
    /// The highest balance, in thousandths of a retry.
    capacity: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: 0,
            deposit: DEPOSIT_THOUSANDTHS,
            capacity: CAPACITY_THOUSANDTHS,
        }
    }
}

impl RetryBudget {
    /// Create a budget that holds up to `capacity` retries, and `balance` of them now.
    ///
    /// Each admitted request adds `ratio` retries, which is limited to the range from 0 to 1.
    pub fn new(ratio: f64, capacity: u32, balance: u32) -> Self {
        let capacity = capacity.saturating_mul(RETRY_THOUSANDTHS);
        Self {
            balance: balance.saturating_mul(RETRY_THOUSANDTHS).min(capacity),
            deposit: deposit(ratio),
            capacity,
        }
    }

    /// Change the number of retries that each admitted request adds, from 0 to 1.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.deposit = deposit(ratio);
    }

    /// Change the number of retries that the budget can hold; a balance above it is reduced to it.
    pub fn set_capacity(&mut self, capacity: u32) {
        self.capacity = capacity.saturating_mul(RETRY_THOUSANDTHS);
        self.balance = self.balance.min(self.capacity);
    }

    /// Add the deposit of an admitted request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.deposit).min(self.capacity);
    }

    /// Return whether the balance is too low for one retry.
    pub fn is_empty(&self) -> bool {
        self.balance < RETRY_THOUSANDTHS
    }

    /// Add a withdrawn retry again, because it wasn't sent.
    pub fn refund(&mut self) {
        self.balance = (self.balance + RETRY_THOUSANDTHS).min(self.capacity);
    }

    /// Withdraw one retry, or return `false` if the balance is too low.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        let enough = !self.is_empty();
        if enough {
            self.balance -= RETRY_THOUSANDTHS;
        }
        enough
    }
}

/// Return what an admitted request adds with this ratio, in thousandths of a retry.
fn deposit(ratio: f64) -> u32 {
    (ratio.clamp(0.0, 1.0) * f64::from(RETRY_THOUSANDTHS)) as u32
}
