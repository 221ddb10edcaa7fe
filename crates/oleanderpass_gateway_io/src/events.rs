//! Split the body of a stream into whole events.

use oleanderpass_gateway::memory::AnswerMemory;
use oleanderpass_gateway::memory::NoRoom;
use strum::Display;

use crate::pieces::Pieces;

/// How much of a line is kept to find the number of its event. The line of a number is shorter.
const MAX_NUMBER_LINE_BYTES: usize = 64;

/// Why a stream can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum StreamError {
    /// An event is missing or came twice, by the numbers of the events.
    OutOfOrder,
    /// An event has no number in an `id` line.
    NoNumber,
    /// An event doesn't fit into the memory that is left for answers.
    NoRoom(NoRoom),
}

impl From<NoRoom> for StreamError {
    fn from(error: NoRoom) -> Self {
        Self::NoRoom(error)
    }
}

/// Collects the bytes of a body, splits them into whole events and checks their numbers. Each byte
/// is looked at once, however the body is cut into pieces.
#[derive(Debug)]
pub struct EventSplitter {
    /// The received part of an event that is not yet whole.
    partial: Pieces,
    scanner: EventScanner,
    /// The number of the last whole event.
    last: Option<u64>,
}

impl EventSplitter {
    /// Create a splitter whose next event must follow the one numbered `last`. With `None`, the
    /// first event may have any number. The bytes are counted in `memory`.
    pub fn after(last: Option<u64>, memory: &AnswerMemory) -> Self {
        Self {
            partial: Pieces::new(memory),
            scanner: EventScanner::default(),
            last,
        }
    }

    /// Return the number of the last whole event, before or in this body.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Return whether the body so far ends with a whole event.
    pub fn is_at_boundary(&self) -> bool {
        self.partial.is_empty()
    }

    /// Append bytes of the body. Return the bytes of the events that they complete, and the number
    /// of these events.
    ///
    /// # Errors
    ///
    /// Return why the body can't be used. Events in front of the invalid one that `data` completed
    /// are lost as well, so the stream must be resumed after [`EventSplitter::last`].
    pub fn push(&mut self, data: &[u8]) -> Result<(Pieces, usize), StreamError> {
        let mut end = 0;
        let mut count = 0;
        let mut last = self.last;
        while let Some((len, number)) = self.scanner.next_end(&data[end..]) {
            let number = number.ok_or(StreamError::NoNumber)?;
            if last.is_some_and(|last| number != last + 1) {
                return Err(StreamError::OutOfOrder);
            }
            last = Some(number);
            end += len;
            count += 1;
        }
        let (whole, rest) = data.split_at(end);
        self.partial.append(whole)?;
        let events = if count > 0 {
            self.partial.split_off()
        } else {
            Pieces::new(self.partial.memory())
        };
        self.partial.append(rest)?;
        self.last = last;
        Ok((events, count))
    }
}

/// Finds the ends of events and their numbers, line by line.
#[derive(Debug, Default)]
struct EventScanner {
    /// The beginning of the current line.
    line: Vec<u8>,
    /// The length of the current line, without the rest that has not arrived yet.
    line_len: usize,
    /// Whether the event has a line before the current one.
    has_line: bool,
    /// The number of the event, from its first `id` line that has one.
    number: Option<u64>,
}

impl EventScanner {
    /// Scan bytes that follow those of the last call. If they complete an event, return how many of
    /// them belong to it, and its number. Otherwise all of them have been scanned.
    fn next_end(&mut self, data: &[u8]) -> Option<(usize, Option<u64>)> {
        let mut scanned = 0;
        while let Some(len) = data[scanned..].iter().position(|byte| *byte == b'\n') {
            self.add_to_line(&data[scanned..scanned + len]);
            scanned += len + 1;
            if self.end_line() {
                self.has_line = false;
                return Some((scanned, self.number.take()));
            }
        }
        self.add_to_line(&data[scanned..]);
        None
    }

    fn add_to_line(&mut self, data: &[u8]) {
        let kept = MAX_NUMBER_LINE_BYTES.saturating_sub(self.line.len());
        self.line.extend_from_slice(&data[..kept.min(data.len())]);
        self.line_len += data.len();
    }

    /// End the current line. Return whether it is the blank line that ends an event.
    fn end_line(&mut self) -> bool {
        let is_blank = match self.line_len {
            0 => true,
            1 => self.line == b"\r",
            _ => false,
        };
        let is_kept = self.line_len == self.line.len();
        if self.number.is_none() && is_kept {
            self.number = line_number(&self.line);
        }
        self.line.clear();
        self.line_len = 0;
        let ends_event = is_blank && self.has_line;
        self.has_line = true;
        ends_event
    }
}

/// Return the number in an `id` line.
fn line_number(line: &[u8]) -> Option<u64> {
    let number = line.strip_prefix(b"id:")?;
    std::str::from_utf8(number).ok()?.trim().parse().ok()
}
