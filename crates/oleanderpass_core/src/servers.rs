//! Apply the platform's instance list to the backend servers.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexSet;
use oleanderpass_membership::membership::Input;
use oleanderpass_membership::membership::Membership;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::BackendServerId;
use rand::seq::IndexedRandom;

use crate::action::Action;
use crate::event::InstanceList;
use crate::instance::Instance;
use crate::observe::Polls;
use crate::server::ServerView;

/// The time between two reads of the platform's instance list. The list may be the only source that
/// says that a server is leaving, and the target is to notice that within 3 s.
const LIST_PERIOD: Millis = Millis::from_secs(1);

/// The time for which the view of a server is kept after its entry has left the list.
const UNLISTED_RETENTION: Millis = Millis::from_secs(600);

impl Instance {
    pub(crate) fn on_instance_list(
        &mut self,
        now: Timestamp,
        list: &Arc<InstanceList>,
        out: &mut Vec<Action>,
    ) {
        if self.instance_list.as_ref() == Some(list) {
            self.clear_outdated_marks(now);
            return;
        }
        self.instance_list = Some(Arc::clone(list));
        self.next_poll_plan = now;
        self.listed_peers = list
            .entry_instances
            .iter()
            .map(|listed| (listed.id.clone(), listed.peer_addr))
            .collect();
        let addrs: Vec<SocketAddr> = self.listed_peers.values().copied().collect();
        self.run_membership(now, Input::PlatformList(&addrs), out);
        for listed in &list.backend_servers {
            match self.servers.get_mut(&listed.id) {
                Some(view) => view.on_listed(now, listed),
                None => {
                    let mut view = ServerView::new(now, listed);
                    view.polls = Polls::starting_at(self.draw_first_poll(now));
                    self.servers.insert(listed.id.clone(), view);
                }
            }
        }
        let listed_ids: IndexSet<&BackendServerId> = list
            .backend_servers
            .iter()
            .map(|listed| &listed.id)
            .collect();
        for (id, view) in &mut self.servers {
            if !listed_ids.contains(id) {
                view.on_unlisted(now);
            }
        }
        // A view is kept while attempts run on the server, so that their slots stay counted, and
        // for the retention time, so that a list that lags doesn't make a leaving server live
        // again.
        self.servers.retain(|_, view| {
            view.listed.is_some()
                || view.in_flight > 0
                || now.since(view.listed_since) < UNLISTED_RETENTION
        });
        self.rebuild_views();
        self.dispatch_queued(now, out);
    }

    /// Ask a random peer for the list if this instance has none. An instance that starts while the
    /// platform is unreachable would know no backend server otherwise.
    pub(crate) fn fetch_list_from_peer(&mut self, out: &mut Vec<Action>) {
        if self.instance_list.is_some() {
            return;
        }
        let peers: Vec<_> = self
            .membership
            .iter()
            .flat_map(Membership::live_members)
            .map(|member| (member.id.clone(), member.addr))
            .collect();
        if let Some((from, addr)) = peers.choose(&mut self.rng).cloned() {
            out.push(Action::FetchInstanceList { from, addr });
        }
    }

    /// Return the instance list last received, or `None` before the first one.
    pub fn instance_list(&self) -> Option<&Arc<InstanceList>> {
        self.instance_list.as_ref()
    }

    /// Clear the outdated marks of leaving servers. A mark can become outdated although the list is
    /// unchanged.
    fn clear_outdated_marks(&mut self, now: Timestamp) {
        let marked: Vec<BackendServerId> = self
            .servers
            .iter()
            .filter(|(_, view)| view.leaving.is_some())
            .map(|(id, _)| id.clone())
            .collect();
        for id in marked {
            if let Some(view) = self.servers.get_mut(&id) {
                view.clear_outdated_mark(now);
            }
            self.update_views(&id);
        }
    }

    /// Read the platform's list if it is due.
    pub(crate) fn read_list(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if now >= self.next_list_read {
            self.next_list_read = now + LIST_PERIOD;
            out.push(Action::ReadInstanceList);
        }
    }
}
