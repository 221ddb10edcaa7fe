//! Name the fleets and the conditions of the comparison.

use oleanderpass_routing::policy::Policy;
use strum::Display;
use strum::EnumIter;

use crate::trace::Micros;
use crate::trace::SECOND;

/// The availability zones of a deployment.
pub const ZONES: usize = 3;

/// The zone of each of the 7 entry instances.
pub const INSTANCE_ZONES: [usize; 7] = [0, 0, 0, 1, 1, 2, 2];

/// The share of requests that the balancer sends to each instance: uneven, as it is today. Assumed.
pub const INSTANCE_SHARES: [f64; 7] = [0.17, 0.10, 0.09, 0.20, 0.13, 0.19, 0.12];

/// The time before measurement starts.
pub const WARM_UP: Micros = 60 * SECOND;

/// The time of a fault in runs with one.
pub const FAULT_AT: Micros = 300 * SECOND;

/// The end of a zone cut.
pub const CUT_END: Micros = 600 * SECOND;

/// The length of a run.
pub const DURATION: Micros = 900 * SECOND;

/// The engines of a deployment of today.
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

/// What goes wrong in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter)]
pub enum Condition {
    /// Nothing.
    #[strum(serialize = "healthy")]
    Healthy,
    /// One engine dies at 300 s and doesn't come back.
    #[strum(serialize = "engine lost")]
    EngineLost,
    /// From 300 s to 600 s, callers can't reach one zone: the other zones take its requests.
    #[strum(serialize = "zone cut")]
    ZoneCut,
    /// Load reports are 5 s old on arrival.
    #[strum(serialize = "late reports")]
    LateReports,
}

impl Condition {
    /// Return the age of load reports on arrival.
    pub fn report_lag(self) -> Micros {
        match self {
            Condition::LateReports => 5 * SECOND,
            _ => SECOND / 2,
        }
    }
}

/// One run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scenario {
    /// The policy of all instances.
    pub policy: Policy,
    /// The fleet.
    pub deployment: Deployment,
    /// What goes wrong.
    pub condition: Condition,
    /// The load, where 1 fills all engines.
    pub load: f64,
    /// Leave long prompts out of the trace.
    pub without_long: bool,
    /// Twice the load from 300 s to 330 s.
    pub burst: bool,
    /// The seed.
    pub seed: u64,
}
