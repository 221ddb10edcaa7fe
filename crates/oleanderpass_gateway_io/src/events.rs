//! Split the body of an event stream into whole events.

use bytes::Bytes;
use bytes::BytesMut;
use strum::Display;

/// The largest event. A longer one is no event of the protocol.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Why a body is not the stream that was expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum BadStream {
    /// An event is missing or came twice.
    OutOfOrder,
    /// An event has no number.
    NoNumber,
    /// An event is too large.
    TooLarge,
}

/// Joins the bytes of a body into whole events and checks their order.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    last: Option<u64>,
}

impl EventSplitter {
    /// Continue after an event, or start anew.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            buf: BytesMut::new(),
            last,
        }
    }

    /// Return the number of the last whole event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Return whether the body so far ends with a whole event.
    pub fn is_at_boundary(&self) -> bool {
        self.buf.is_empty()
    }

    /// Drop the part of an event that was received.
    pub fn drop_partial(&mut self) {
        self.buf.clear();
    }

    /// Take bytes of the body. Return the whole events that they complete, as one piece, and their
    /// number.
    ///
    /// # Errors
    ///
    /// Return why the body can't be used. The events before are lost, so the caller must resume
    /// after [`EventSplitter::last`].
    pub fn push(&mut self, data: &[u8]) -> Result<(Bytes, usize), BadStream> {
        self.buf.extend_from_slice(data);
        let mut end = 0;
        let mut count = 0;
        let mut last = self.last;
        while let Some(len) = event_len(&self.buf[end..]) {
            let number = event_number(&self.buf[end..end + len]).ok_or(BadStream::NoNumber)?;
            if last.is_some_and(|last| number != last + 1) {
                return Err(BadStream::OutOfOrder);
            }
            last = Some(number);
            end += len;
            count += 1;
        }
        if self.buf.len() - end > MAX_EVENT_BYTES {
            return Err(BadStream::TooLarge);
        }
        self.last = last;
        Ok((self.buf.split_to(end).freeze(), count))
    }
}

/// Return the length of the first event with the blank line that ends it.
fn event_len(buf: &[u8]) -> Option<usize> {
    let lf = buf.windows(2).position(|w| w == b"\n\n").map(|at| at + 2);
    let crlf = buf
        .windows(4)
        .position(|w| w == b"\r\n\r\n")
        .map(|at| at + 4);
    match (lf, crlf) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

fn event_number(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let number = line.strip_prefix(b"id:")?;
        std::str::from_utf8(number).ok()?.trim().parse().ok()
    })
}
