//! Check an attempt once more, right before its first byte is written.

use oleanderpass_types::clock::Timestamp;
use strum::Display;

use super::Attempt;
use super::Gateway;
use super::Request;
use crate::backend::BackendKey;
use crate::registry::Standing;
use crate::server_limits::Allowance;

/// Why a planned attempt is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Hindrance {
    /// The deadline has passed.
    Deadline,
    /// Another configuration is in force.
    Configuration,
    /// One of its servers is no longer listed.
    Removed,
    /// One of its servers is leaving.
    Leaving,
    /// One of its servers has asked for a pause.
    Pause,
    /// A part of its prompt is refused.
    PromptPart,
    /// Its server has named a limit on its request rate.
    Limit,
    /// The availability zone of one of its servers may not be used.
    Zone,
    /// One of its servers has become cold.
    Cold,
}

impl Gateway {
    /// Return whether an attempt may still be sent. This is the last check before its first byte is
    /// written.
    pub fn may_send(&self, now: Timestamp, req: &Request, attempt: &Attempt) -> bool {
        let hindrance = self.hindrance(now, req, attempt);
        if let Some(hindrance) = hindrance {
            tracing::info!(
                request = %req.spec.id,
                server = %attempt.primary.id,
                %hindrance,
                "an attempt is not sent"
            );
        }
        hindrance.is_none()
    }

    fn hindrance(&self, now: Timestamp, req: &Request, attempt: &Attempt) -> Option<Hindrance> {
        let version = self.config.as_ref().map(|config| config.version);
        let primary = attempt.plan.primary;
        if now >= req.spec.deadline {
            Some(Hindrance::Deadline)
        } else if version != Some(req.admission.version) {
            Some(Hindrance::Configuration)
        } else if !req.is_part_trial && self.crashes.refuses_part(&req.spec.shared_parts) {
            Some(Hindrance::PromptPart)
        } else if !attempt.counts_against_limit
            && self.server_limits.allowance(now, primary) != Allowance::Unlimited
        {
            Some(Hindrance::Limit)
        } else {
            let mut keys = attempt.plan.keys();
            keys.find_map(|key| self.server_hindrance(now, req, attempt, key))
        }
    }

    /// Return what one of the servers of an attempt, its primary one or a helper, hinders.
    fn server_hindrance(
        &self,
        now: Timestamp,
        req: &Request,
        attempt: &Attempt,
        key: BackendKey,
    ) -> Option<Hindrance> {
        let Some(backend) = self.registry.get(key) else {
            return Some(Hindrance::Removed);
        };
        if backend.standing == Standing::Leaving {
            Some(Hindrance::Leaving)
        } else if self.pauses.left(now, key).is_some() {
            Some(Hindrance::Pause)
        } else if !self.may_use(now, &req.admission, key, backend) {
            Some(Hindrance::Zone)
        } else if !attempt.cold.contains(&key)
            && self.cold.allowance(now, key) != Allowance::Unlimited
        {
            // The server may have become cold since the attempt began.
            Some(Hindrance::Cold)
        } else {
            None
        }
    }
}
