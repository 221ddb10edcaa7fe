//! Follow the state of the backend servers.

use indexmap::IndexSet;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::BackendServerId;

use crate::action::Action;
use crate::event::InstanceList;
use crate::instance::Instance;
use crate::observe::Polls;
use crate::server::ServerView;

impl Instance {
    pub(crate) fn on_instance_list(
        &mut self,
        now: Timestamp,
        list: &InstanceList,
        out: &mut Vec<Action>,
    ) {
        self.listed_peers = list
            .entry_instances
            .iter()
            .map(|listed| (listed.id.clone(), listed.peer_addr))
            .collect();
        for listed in &list.backend_servers {
            match self.servers.get_mut(&listed.id) {
                Some(view) => view.on_listed(now, listed),
                None => {
                    let mut view = ServerView::new(now, listed);
                    view.polls = Polls::starting_at(self.first_poll(now));
                    self.servers.insert(listed.id.clone(), view);
                }
            }
        }
        let ids: IndexSet<&BackendServerId> = list
            .backend_servers
            .iter()
            .map(|listed| &listed.id)
            .collect();
        for (id, view) in &mut self.servers {
            if !ids.contains(id) {
                view.on_unlisted(now);
            }
        }
        // A view is kept while attempts run there, so that their slots stay counted.
        self.servers
            .retain(|_, view| view.listed.is_some() || view.in_flight > 0);
        self.rebuild_views();
        self.dispatch_queued(now, out);
    }
}
