//! Follow the state of the backend servers.

use indexmap::IndexSet;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::BackendServerId;

use crate::action::Action;
use crate::event::InstanceList;
use crate::event::ServerLoad;
use crate::instance::Instance;
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
                    let view = ServerView::new(now, listed);
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
        self.dispatch_queued(now, out);
    }

    pub(crate) fn on_load_report(
        &mut self,
        now: Timestamp,
        load: ServerLoad,
        out: &mut Vec<Action>,
    ) {
        if let Some(view) = self.servers.get_mut(&load.server) {
            view.on_report(now, load);
        }
        self.dispatch_queued(now, out);
    }
}
