//! Split the body of a stream into whole events.

use bytes::Bytes;
use bytes::BytesMut;
use strum::Display;

/// The largest event. The protocol has no longer ones.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Why a stream can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum StreamError {
    /// An event is missing or came twice, by the numbers of the events.
    OutOfOrder,
    /// An event has no number in an `id` line.
    NoNumber,
    /// An event is too large.
    TooLarge,
}

/// Collects the bytes of a body, splits them into whole events and checks their numbers.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// The received part of an event that is not yet whole.
    buf: BytesMut,
    /// The number of the last whole event.
    last: Option<u64>,
}

impl EventSplitter {
    /// Create a splitter whose next event must follow the one numbered `last`. With `None`, the
    /// first event may have any number.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            buf: BytesMut::new(),
            last,
        }
    }

    /// Return the number of the last whole event, before or in this body.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Return whether the body so far ends with a whole event.
    pub fn is_at_boundary(&self) -> bool {
        self.buf.is_empty()
    }

    /// Drop the received part of an event that is not yet whole.
    pub fn drop_partial(&mut self) {
        self.buf.clear();
    }

    /// Append bytes of the body. Return the bytes of the events that they complete, and the number
    /// of these events.
    ///
    /// # Errors
    ///
    /// Return why the body can't be used. Events in front of the invalid one that `data` completed
    /// are lost as well, so the stream must be resumed after [`EventSplitter::last`].
    pub fn push(&mut self, data: &[u8]) -> Result<(Bytes, usize), StreamError> {
        self.buf.extend_from_slice(data);
        let mut end = 0;
        let mut count = 0;
        let mut last = self.last;
        while let Some(len) = event_len(&self.buf[end..]) {
            let number = event_number(&self.buf[end..end + len]).ok_or(StreamError::NoNumber)?;
            if last.is_some_and(|last| number != last + 1) {
                return Err(StreamError::OutOfOrder);
            }
            last = Some(number);
            end += len;
            count += 1;
        }
        if self.buf.len() - end > MAX_EVENT_BYTES {
            return Err(StreamError::TooLarge);
        }
        self.last = last;
        Ok((self.buf.split_to(end).freeze(), count))
    }
}

/// Return the length of the first event, including the blank line that ends it.
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

/// Return the number in the `id` line of an event.
fn event_number(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let number = line.strip_prefix(b"id:")?;
        std::str::from_utf8(number).ok()?.trim().parse().ok()
    })
}
