//! Receive answers within the memory that is left for them.

use std::error::Error;
use std::fmt;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use oleanderpass_gateway::memory::AnswerMemory;
use oleanderpass_gateway::memory::NoRoom;

use crate::pieces::Pieces;

/// Why an answer could not be received.
#[derive(Debug)]
pub(crate) enum ReceiveError {
    /// The connection broke, or the bytes were not HTTP.
    Broken(hyper::Error),
    /// The answer doesn't fit into the memory that is left for answers.
    NoRoom(NoRoom),
}

impl fmt::Display for ReceiveError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(error) => error.fmt(f),
            Self::NoRoom(error) => error.fmt(f),
        }
    }
}

impl Error for ReceiveError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Broken(error) => error.source(),
            Self::NoRoom(_) => None,
        }
    }
}

impl From<NoRoom> for ReceiveError {
    fn from(error: NoRoom) -> Self {
        Self::NoRoom(error)
    }
}

impl From<hyper::Error> for ReceiveError {
    fn from(error: hyper::Error) -> Self {
        Self::Broken(error)
    }
}

/// Receive a whole body.
///
/// # Errors
///
/// Return why it could not be received.
pub(crate) async fn body(
    mut body: Incoming,
    memory: &AnswerMemory,
) -> Result<Pieces, ReceiveError> {
    let mut pieces = Pieces::new(memory);
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            pieces.append(&data)?;
        }
    }
    Ok(pieces)
}
