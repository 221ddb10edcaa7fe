//! Keep answers for further uses of a ticket.

use smol_str::SmolStr;

/// The largest body that is kept, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// The bodies that one instance keeps in all, in bytes.
pub const MAX_BODIES_BYTES: usize = 8 * 1024 * 1024;

/// An answer that can be sent again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: SmolStr,
    /// The body.
    pub body: Vec<u8>,
}
