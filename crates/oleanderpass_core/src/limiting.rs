//! Enforce the limits of organisations, with quota leased from their home instances.

use oleanderpass_config::document::Document;
use oleanderpass_limits::organisation::LeaseRequest;
use oleanderpass_limits::organisation::LiveInstance;
use oleanderpass_limits::quota::Limit;
use oleanderpass_membership::member::Member;
use oleanderpass_membership::membership::Membership;
use oleanderpass_proto::peer;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::error::Step;
use oleanderpass_types::id::InstanceId;
use oleanderpass_types::id::OrganisationId;
use oleanderpass_types::size::Tokens;

use crate::action::Action;
use crate::admission::Rejection;
use crate::event::CallId;
use crate::event::NewRequest;
use crate::event::Target;
use crate::instance::Instance;
use crate::instance::caller_error;

impl Instance {
    /// Apply the limits of a document that came into force.
    pub(crate) fn set_limits(&mut self, now: Timestamp, document: &Document) {
        let limits = document.organisations.iter().map(|(id, organisation)| {
            let limits = organisation.limits;
            let limit = Limit {
                requests_per_s: limits.requests_per_s,
                tokens_per_s: limits.tokens_per_s,
                concurrent: limits.concurrent_requests.map(u64::from),
            };
            (id.clone(), limit)
        });
        let zones = document.environment.zones.len();
        self.limits.set_limits(now, zones, limits);
    }

    /// Set the live peers, with which this instance shares the limits.
    pub(crate) fn set_limit_peers(&mut self, now: Timestamp) {
        let live = self
            .membership
            .iter()
            .flat_map(Membership::live_members)
            .filter(|member| member.accepts_work())
            .map(|member: &Member| LiveInstance {
                id: member.id.clone(),
                zone: member.zone.clone(),
            })
            .collect();
        self.limits.set_live_instances(now, live);
    }

    /// Count a request against the limits of its organisation, or refuse it. A call of a plain
    /// service counts no tokens.
    pub(crate) fn check_limits(
        &mut self,
        now: Timestamp,
        organisation: &OrganisationId,
        new: &NewRequest,
    ) -> Result<(), Rejection> {
        let tokens = match new.target {
            Target::Model { .. } => new.prompt,
            Target::Route(_) => Tokens::ZERO,
        };
        self.limits
            .admit(now, organisation, tokens.get())
            .map_err(|exceeded| {
                let cause = format!(
                    "the organisation's limit of {} is reached; try again in {}",
                    exceeded.kind, exceeded.retry_after
                );
                Rejection::new(429, caller_error(Step::Admit, cause))
            })
    }

    pub(crate) fn on_lease_call(
        &mut self,
        now: Timestamp,
        call: CallId,
        from: &InstanceId,
        demands: &[peer::QuotaDemand],
        out: &mut Vec<Action>,
    ) {
        let leases = self.limits.grant(now, from, demands);
        out.push(Action::AnswerLease { call, leases });
    }

    /// Request quota from the home instances where a request is due.
    pub(crate) fn request_quota(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let mut lease_requests = Vec::new();
        self.limits.tick(now, &mut lease_requests);
        for LeaseRequest { home, demands } in lease_requests {
            match self.peer_addr_of(&home) {
                Some(addr) => out.push(Action::LeaseQuota {
                    home,
                    addr,
                    demands,
                }),
                None => self.limits.on_lease_request_failed(&home),
            }
        }
    }
}
