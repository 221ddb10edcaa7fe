//! Keep the retries to each service within the published budget, which all instances share.

use indexmap::IndexMap;
use oleanderpass_limits::retry::RetryBudget;
use oleanderpass_types::id::ServiceId;

/// The fraction of the published budget that is used. Instances count their retries separately, and
/// the margin keeps their total below the budget.
const BUDGET_SHARE: f64 = 0.9;

/// The number of instances that are assumed to share the budget while no peer is known.
const ASSUMED_INSTANCES: usize = 8;

/// The retries that an instance that has started may send for a service before any request has
/// added to its budget. An earlier lifetime may have used up its share of the slack a moment before,
/// so it doesn't get all of it anew; without any, the first request to fail on a quiet instance would
/// never be retried.
const RETRIES_AT_START: u32 = 1;

/// The retry budgets of one instance, by service.
#[derive(Clone, Debug)]
pub struct RetryBudgets {
    budgets: IndexMap<ServiceId, RetryBudget>,
    /// The number of retries that each request adds.
    ratio: f64,
    /// The retries beyond the ratio that all instances together may send in a window.
    slack: u32,
    /// The number of instances that share them.
    instances: usize,
}

impl RetryBudgets {
    /// Create the budgets of an instance that starts, from the published ratio and slack.
    pub fn new(ratio: f64, slack: u32) -> Self {
        Self {
            budgets: IndexMap::new(),
            ratio,
            slack,
            instances: 1,
        }
    }

    /// Change the ratio and the slack. Balances stay as far as the new slack allows them.
    pub fn set_bounds(&mut self, ratio: f64, slack: u32) {
        (self.ratio, self.slack) = (ratio, slack);
        self.apply();
    }

    /// Change the number of instances that share the budgets.
    pub fn set_instances(&mut self, instances: usize) {
        if instances != self.instances {
            self.instances = instances;
            self.apply();
        }
    }

    fn apply(&mut self) {
        let (ratio, capacity) = (self.ratio * BUDGET_SHARE, self.capacity());
        for budget in self.budgets.values_mut() {
            budget.set_ratio(ratio);
            budget.set_capacity(capacity);
        }
    }

    /// Return the most retries that this instance saves for a service: an equal share of the slack.
    fn capacity(&self) -> u32 {
        let instances = match self.instances {
            1 => ASSUMED_INSTANCES,
            known => known,
        };
        let share = f64::from(self.slack) * BUDGET_SHARE / instances as f64;
        (share as u32).max(1)
    }

    fn budget(&mut self, service: &ServiceId) -> &mut RetryBudget {
        let (ratio, capacity) = (self.ratio * BUDGET_SHARE, self.capacity());
        let budget = self.budgets.entry(service.clone());
        budget.or_insert_with(|| RetryBudget::new(ratio, capacity, RETRIES_AT_START))
    }

    /// Add what an admitted request allows.
    pub fn deposit(&mut self, service: &ServiceId) {
        self.budget(service).deposit();
    }

    /// Withdraw one retry, or return `false` if there is none.
    #[must_use]
    pub fn withdraw(&mut self, service: &ServiceId) -> bool {
        self.budget(service).withdraw()
    }

    /// Add a withdrawn retry again, because it wasn't sent.
    pub fn refund(&mut self, service: &ServiceId) {
        self.budget(service).refund();
    }

    /// Return whether no retry may be withdrawn. Requests that were admitted have a budget.
    pub fn is_empty(&self, service: &ServiceId) -> bool {
        self.budgets.get(service).is_none_or(RetryBudget::is_empty)
    }

    /// Forget the services that a new configuration doesn't have.
    pub fn retain(&mut self, is_known: impl Fn(&ServiceId) -> bool) {
        self.budgets.retain(|service, _| is_known(service));
    }
}
