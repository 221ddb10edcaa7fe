//! Put documents in force.

use std::sync::Arc;

use oleanderpass_config::document::Document;
use oleanderpass_proto::environment;
use oleanderpass_types::clock::Timestamp;

use crate::action::Action;
use crate::instance::Instance;

impl Instance {
    pub(crate) fn on_document(
        &mut self,
        now: Timestamp,
        raw: &environment::Document,
        out: &mut Vec<Action>,
    ) {
        match Document::try_from(raw) {
            Ok(document) if document.generation > self.generation() => {
                tracing::info!(generation = %document.generation, "document is in force");
                self.document = Some(Arc::new(document));
                self.rebuild_views();
                self.dispatch_queued(now, out);
            }
            Ok(_) => {}
            Err(errors) => tracing::warn!(%errors, "rejected a document"),
        }
    }
}
