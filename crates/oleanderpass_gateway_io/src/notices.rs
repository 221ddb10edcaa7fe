//! Record what a backend server says of itself in the head of any answer: to a request, an order or a
//! read of its report.

use oleanderpass_gateway::backend::BackendKey;
use oleanderpass_platform::answer::AnswerHead;

use crate::instance::SharedInstance;

/// Record what the server says. The head has been checked to belong to an answer of this server.
pub(crate) fn record(instance: &SharedInstance, key: BackendKey, head: &AnswerHead) {
    let now = instance.now();
    let mut gateway = instance.gateway.borrow_mut();
    if head.leaving {
        gateway.on_server_leaving(now, key);
    }
}
