//! The bodies of answers on the internal endpoints.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use oleanderpass_gateway::copy_slots::SlotId;

use crate::instance::SharedInstance;
use crate::pieces::PIECE_BYTES;

/// The body of an answer on an internal endpoint. It is handed over in pieces, which shows whether
/// its reader goes on.
#[derive(Default)]
pub(crate) struct ServedBody {
    left: Bytes,
    slot: Option<Slot>,
}

/// A place among the copies of the configuration that are sent at a time. It is given back when
/// this is dropped.
struct Slot {
    instance: SharedInstance,
    id: SlotId,
}

impl ServedBody {
    /// Create the body of a copy of the configuration.
    pub(crate) fn copy(body: Bytes, instance: SharedInstance, id: SlotId) -> Self {
        instance.metrics.served_copies.inc();
        Self {
            left: body,
            slot: Some(Slot { instance, id }),
        }
    }
}

impl From<Bytes> for ServedBody {
    fn from(body: Bytes) -> Self {
        Self {
            left: body,
            slot: None,
        }
    }
}

impl Body for ServedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if let Some(Slot { instance, id }) = &self.slot {
            let now = instance.now();
            instance
                .gateway
                .borrow_mut()
                .copy_slots()
                .on_taken(now, *id);
        }
        if self.left.is_empty() {
            return Poll::Ready(None);
        }
        let size = self.left.len().min(PIECE_BYTES);
        Poll::Ready(Some(Ok(Frame::data(self.left.split_to(size)))))
    }

    fn is_end_stream(&self) -> bool {
        self.left.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left.len() as u64)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.instance.metrics.served_copies.dec();
        let mut gateway = self.instance.gateway.borrow_mut();
        gateway.copy_slots().end(self.id);
    }
}
