//! Bound the bytes of all bodies that the process holds.

use std::sync::Arc;

use oleanderpass_types::size::Bytes;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

/// The unit of the budget, in bytes. A semaphore counts at most 2^29 permits.
const UNIT_BYTES: usize = 1_024;

/// The bytes that bodies may take.
#[derive(Clone, Debug)]
pub struct BodyBudget(Arc<Semaphore>);

/// A part of the budget. It returns when dropped.
#[derive(Debug)]
pub struct BudgetShare {
    budget: BodyBudget,
    permit: Option<OwnedSemaphorePermit>,
}

impl BodyBudget {
    /// Create a budget.
    pub fn new(bytes: Bytes) -> Self {
        let units = units(usize::try_from(bytes.get()).unwrap_or(usize::MAX));
        Self(Arc::new(Semaphore::new(units.min(Semaphore::MAX_PERMITS))))
    }

    /// Return an empty share.
    pub fn empty_share(&self) -> BudgetShare {
        BudgetShare {
            budget: self.clone(),
            permit: None,
        }
    }
}

impl BudgetShare {
    /// Grow the share to cover `bytes` and return whether the budget allows it.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let held = self
            .permit
            .as_ref()
            .map_or(0, OwnedSemaphorePermit::num_permits);
        let missing = units(bytes).saturating_sub(held);
        if missing == 0 {
            return true;
        }
        let Ok(count) = u32::try_from(missing) else {
            return false;
        };
        let Ok(more) = Arc::clone(&self.budget.0).try_acquire_many_owned(count) else {
            return false;
        };
        match &mut self.permit {
            Some(permit) => permit.merge(more),
            None => self.permit = Some(more),
        }
        true
    }
}

fn units(bytes: usize) -> usize {
    bytes.div_ceil(UNIT_BYTES)
}
