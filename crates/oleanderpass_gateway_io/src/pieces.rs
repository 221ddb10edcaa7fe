//! Keep received bytes in pieces whose memory is counted.

use std::collections::VecDeque;

use bytes::Bytes;
use oleanderpass_gateway::memory::AnswerMemory;
use oleanderpass_gateway::memory::NoRoom;
use oleanderpass_gateway::memory::Share;
use oleanderpass_types::size::Bytes as Size;

/// The size of a piece, except the last one.
pub const PIECE_BYTES: usize = 16 * 1024;

/// The smallest capacity of a piece.
const MIN_PIECE_BYTES: usize = 64;

/// The memory that a decoded document takes beside its bytes, as a multiple of their length: one
/// contiguous copy and the decoded values.
pub(crate) const DECODED_FACTOR: u64 = 2;

/// Bytes in the order in which they arrived.
///
/// They are copied, because a slice of a connection's buffer, however short, keeps all of that
/// buffer in memory.
#[derive(Debug)]
pub struct Pieces {
    /// Pieces of [`PIECE_BYTES`].
    full: VecDeque<Bytes>,
    last: Vec<u8>,
    len: usize,
    /// Counts the capacity of all pieces.
    share: Share,
}

impl Pieces {
    /// Create an empty sequence whose bytes are counted in `memory`.
    pub fn new(memory: &AnswerMemory) -> Self {
        Self::with_share(memory.empty_share())
    }

    fn with_share(share: Share) -> Self {
        Self {
            full: VecDeque::new(),
            last: Vec::new(),
            len: 0,
            share,
        }
    }

    /// Return the memory in which the bytes are counted.
    pub fn memory(&self) -> &AnswerMemory {
        self.share.memory()
    }

    /// Return the number of bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Return whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Append a copy of `data`.
    ///
    /// # Errors
    ///
    /// Return how the memory is used if there is no room. A part of `data` may have been appended.
    pub fn append(&mut self, mut data: &[u8]) -> Result<(), NoRoom> {
        while !data.is_empty() {
            if self.last.len() == self.last.capacity() {
                self.make_room(data.len())?;
            }
            let count = data.len().min(self.last.capacity() - self.last.len());
            let (head, rest) = data.split_at(count);
            self.last.extend_from_slice(head);
            self.len += count;
            data = rest;
        }
        Ok(())
    }

    /// Enlarge the last piece for up to `wanted` bytes, or begin a new one if it is full.
    fn make_room(&mut self, wanted: usize) -> Result<(), NoRoom> {
        if self.last.len() >= PIECE_BYTES {
            let piece = std::mem::take(&mut self.last);
            self.full.push_back(Bytes::from(piece));
        }
        let old = self.last.capacity();
        let new = (old + wanted)
            .max(2 * old)
            .clamp(MIN_PIECE_BYTES, PIECE_BYTES);
        self.share.grow(Size::new((new - old) as u64))?;
        self.last.reserve_exact(new - self.last.len());
        Ok(())
    }

    /// Move all bytes and the memory that they take to a new sequence.
    #[must_use]
    pub fn split_off(&mut self) -> Pieces {
        Pieces {
            full: std::mem::take(&mut self.full),
            last: std::mem::take(&mut self.last),
            len: std::mem::take(&mut self.len),
            share: self.share.split_off(),
        }
    }

    /// Remove the first piece and give its memory back.
    pub fn pop(&mut self) -> Option<Bytes> {
        let piece = match self.full.pop_front() {
            Some(piece) => piece,
            None if self.last.is_empty() => return None,
            None => Bytes::from(std::mem::take(&mut self.last)),
        };
        self.len -= piece.len();
        if self.len == 0 {
            self.share.clear();
        } else {
            self.share.shrink(Size::new(PIECE_BYTES as u64));
        }
        Some(piece)
    }

    /// Return the memory that the bytes take.
    pub fn held(&self) -> Size {
        self.share.held()
    }

    /// Return the pieces and the share that counts them.
    pub fn into_parts(self) -> (Vec<Bytes>, Share) {
        let mut pieces = Vec::from(self.full);
        if !self.last.is_empty() {
            pieces.push(Bytes::from(self.last));
        }
        (pieces, self.share)
    }

    /// Return a copy of the bytes.
    pub fn to_vec(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.len);
        for piece in &self.full {
            bytes.extend_from_slice(piece);
        }
        bytes.extend_from_slice(&self.last);
        bytes
    }

    /// Return the bytes in one buffer, with the share for them and for the values that are decoded
    /// from them.
    ///
    /// # Errors
    ///
    /// Return how the memory is used if there is no room.
    pub fn into_document(mut self) -> Result<(Bytes, Share), NoRoom> {
        let size = self.len as u64 * DECODED_FACTOR;
        self.share.grow(Size::new(size))?;
        if self.full.is_empty() {
            return Ok((Bytes::from(self.last), self.share));
        }
        Ok((Bytes::from(self.to_vec()), self.share))
    }
}
