//! Keep requests, and the tunnels that carry them, within the home regions of their route and
//! organisation.

use indexmap::IndexMap;
use indexmap::IndexSet;
use oleanderpass_types::id::RegionId;
use oleanderpass_types::id::ZoneId;

use crate::gateway::Admission;

/// The regions of availability zones, and what they rule out.
#[derive(Debug, Default)]
pub struct Homes {
    regions: IndexMap<ZoneId, RegionId>,
    refused: u64,
}

impl Homes {
    /// Replace the region of each zone. Return whether that changes anything.
    pub fn set_regions(&mut self, regions: IndexMap<ZoneId, RegionId>) -> bool {
        let is_new = regions != self.regions;
        self.regions = regions;
        is_new
    }

    /// Return the region of a zone, if it is known.
    pub fn region(&self, zone: &ZoneId) -> Option<&RegionId> {
        self.regions.get(zone)
    }

    /// Return whether a request may reach servers in a zone. The homes of its route and those of its
    /// organisation both bind. A zone without a known region is in no home.
    pub fn allows(&self, admission: &Admission, zone: &ZoneId) -> bool {
        let organisation = admission.organisation.as_deref();
        let homes = [
            admission.route.homes.as_ref(),
            organisation.and_then(|organisation| organisation.homes.as_ref()),
        ];
        let includes = |homes: &IndexSet<RegionId>| {
            let region = self.region(zone);
            region.is_some_and(|region| homes.contains(region))
        };
        homes.into_iter().flatten().all(includes)
    }

    /// Return whether a tunnel to a server in the zone `server` may lead through a peer in the zone
    /// `peer`. It may carry requests with home regions, so the peer has to be in the server's region.
    /// A server without a known region gets no such requests.
    pub fn allows_relay(&self, server: &ZoneId, peer: &ZoneId) -> bool {
        let region = self.region(server);
        region.is_none_or(|region| self.region(peer) == Some(region))
    }

    /// Record that a request was refused because no server of its service is in its home regions.
    pub fn on_refused(&mut self) {
        self.refused += 1;
    }

    /// Return the number of requests that were refused because no server of their service is in
    /// their home regions.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
