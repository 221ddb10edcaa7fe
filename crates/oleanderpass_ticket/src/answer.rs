//! Answers that are recorded for later uses of the same ticket.

use smol_str::SmolStr;

/// Largest answer body that is recorded. If the body is larger, only the outcome is recorded.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Total size of the answer bodies that one instance records. Once it is reached, only the outcomes
/// of further requests are recorded.
pub const MAX_TOTAL_BODY_BYTES: usize = 8 * 1024 * 1024;

/// An answer that can be sent again to a later use of the ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedAnswer {
    /// The HTTP status code.
    pub status: u16,
    /// The value of the `content-type` header.
    pub content_type: SmolStr,
    /// The whole body.
    pub body: Vec<u8>,
}
