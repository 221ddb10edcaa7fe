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
pub(super) enum SendObstacle {
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
        let obstacle = self.send_obstacle(now, req, attempt);
        if let Some(obstacle) = obstacle {
            tracing::info!(
                request = %req.spec.id,
                server = %attempt.primary.id,
                %obstacle,
                "an attempt is not sent"
            );
        }
        obstacle.is_none()
    }

    fn send_obstacle(
        &self,
        now: Timestamp,
        req: &Request,
        attempt: &Attempt,
    ) -> Option<SendObstacle> {
        let version = self.config.as_ref().map(|config| config.version);
        let primary = attempt.plan.primary;
        if now >= req.spec.deadline {
            Some(SendObstacle::Deadline)
        } else if version != Some(req.admission.version) {
            Some(SendObstacle::Configuration)
        } else if !req.is_part_trial && self.crashes.refuses_part(&req.spec.shared_parts) {
            Some(SendObstacle::PromptPart)
        } else if !attempt.counts_against_limit
            && self.server_limits.allowance(now, primary) != Allowance::Unlimited
        {
            Some(SendObstacle::Limit)
        } else {
            let mut keys = attempt.plan.keys();
            keys.find_map(|key| self.server_send_obstacle(now, req, attempt, key))
        }
    }

    /// Return why an attempt may not be sent because of one of its servers, the primary one or a
    /// helper.
    fn server_send_obstacle(
        &self,
        now: Timestamp,
        req: &Request,
        attempt: &Attempt,
        key: BackendKey,
    ) -> Option<SendObstacle> {
        let Some(backend) = self.registry.get(key) else {
            return Some(SendObstacle::Removed);
        };
        if backend.standing == Standing::Leaving {
            Some(SendObstacle::Leaving)
        } else if self.pauses.left(now, key).is_some() {
            Some(SendObstacle::Pause)
        } else if !self.may_use(now, &req.admission, key, backend) {
            Some(SendObstacle::Zone)
        } else if !attempt.cold.contains(&key)
            && self.cold.allowance(now, key) != Allowance::Unlimited
        {
            // The server may have become cold since the attempt began.
            Some(SendObstacle::Cold)
        } else {
            None
        }
    }
}
