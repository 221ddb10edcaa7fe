//! Limit the total size of the bodies that the process keeps in memory.

use std::sync::Arc;

use oleanderpass_types::size::Bytes;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

/// The bytes that one permit of the semaphore stands for. A semaphore has at most 2^29 permits on a
/// 32-bit target, so one permit a byte would limit the budget to 512 MiB there.
const UNIT_BYTES: usize = 1_024;

/// The byte budget of all bodies. Clones use the same budget.
#[derive(Clone, Debug)]
pub struct BodyBudget(Arc<Semaphore>);

/// The part of the budget that one request uses. Dropping it returns the bytes.
#[derive(Debug)]
pub struct BudgetShare {
    budget: BodyBudget,
    permit: Option<OwnedSemaphorePermit>,
}

impl BodyBudget {
    /// Create a budget of `bytes`, rounded up to whole units.
    pub fn new(bytes: Bytes) -> Self {
        let units = units(usize::try_from(bytes.get()).unwrap_or(usize::MAX));
        Self(Arc::new(Semaphore::new(units.min(Semaphore::MAX_PERMITS))))
    }

    /// Return an empty share, which grows as its body arrives.
    pub fn empty_share(&self) -> BudgetShare {
        BudgetShare {
            budget: self.clone(),
            permit: None,
        }
    }
}

impl BudgetShare {
    /// Grow the share to at least `bytes`. Return `false`, and leave the share as it is, when the
    /// budget has too few bytes left.
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
