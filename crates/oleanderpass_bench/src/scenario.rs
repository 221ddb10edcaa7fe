//! Define the fleets, faults and run phases of the policy comparison.

use oleanderpass_routing::policy::Policy;
use strum::Display;
use strum::EnumIter;

use crate::trace::Micros;
use crate::trace::SECOND;

/// The number of availability zones of a deployment.
pub const ZONE_COUNT: usize = 3;

/// The zone index of each of the 7 entry instances.
pub const INSTANCE_ZONES: [usize; 7] = [0, 0, 0, 1, 1, 2, 2];

/// The share of requests that the external load balancer sends to each instance. The shares are
/// uneven, as in today's deployments.
pub const INSTANCE_SHARES: [f64; 7] = [0.17, 0.10, 0.09, 0.20, 0.13, 0.19, 0.12];

/// The length of the warm-up. Requests that arrive in it are not measured.
pub const WARM_UP: Micros = 60 * SECOND;

/// The start of the fault or burst in runs that have one.
pub const FAULT_AT: Micros = 300 * SECOND;

/// The end of the fault in runs with [`Condition::ZoneCut`].
pub const ZONE_CUT_END: Micros = 600 * SECOND;

/// The time until which requests arrive.
pub const DURATION: Micros = 900 * SECOND;

/// A deployment of today, which determines the number of engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter)]
pub enum Deployment {
    /// Hallgrímsdóttir & Sons Medlar Preserves.
    #[strum(serialize = "skald (14 engines)")]
    Skald,
    /// Sahil Crestline Software.
    #[strum(serialize = "lapping-llm (23 engines)")]
    Lapping,
}

impl Deployment {
    /// Return the number of engines.
    pub fn engines(self) -> usize {
        match self {
            Deployment::Skald => 14,
            Deployment::Lapping => 23,
        }
    }
}

/// The fault that is simulated in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter)]
pub enum Condition {
    /// No fault.
    #[strum(serialize = "healthy")]
    Healthy,
    /// One engine crashes at 300 s and doesn't restart.
    #[strum(serialize = "engine lost")]
    EngineLost,
    /// From 300 s to 600 s, callers can't reach one zone and send its requests to the other zones.
    #[strum(serialize = "zone cut")]
    ZoneCut,
    /// Load reports and cache events arrive 5 s late.
    #[strum(serialize = "late reports")]
    LateReports,
}

impl Condition {
    /// Return the delay between an engine's load report and its arrival at an instance.
    pub fn report_lag(self) -> Micros {
        match self {
            Condition::LateReports => 5 * SECOND,
            _ => SECOND / 2,
        }
    }
}

/// The parameters of one run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scenario {
    /// The routing policy that all instances use.
    pub policy: Policy,
    /// The deployment whose fleet is simulated.
    pub deployment: Deployment,
    /// The simulated fault.
    pub condition: Condition,
    /// The offered load as a share of the capacity of all engines, when shared prefixes are cached.
    pub load: f64,
    /// Remove long prompts from the trace, as the baseline for the slowdown of short prompts.
    pub without_long_prompts: bool,
    /// Double the load from 300 s to 330 s.
    pub burst: bool,
    /// The seed of the trace and of all random choices.
    pub seed: u64,
}
