//! Decide whether a document is accepted, from the document and the version in force alone.

use std::fmt;

use oleanderpass_types::id::Generation;

use crate::content::Content;
use crate::error::DocumentErrors;
use crate::version::Version;

/// Why a document was rejected. A document is accepted or rejected as a whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The text is too large, isn't YAML or JSON, or has errors.
    Malformed(DocumentErrors),
    /// The generation is lower than the one in force.
    LowerGeneration {
        /// The offered generation.
        offered: Generation,
        /// The generation in force.
        in_force: Generation,
    },
    /// The same generation is in force with another content.
    OtherContentInForce {
        /// The offered version.
        offered: Version,
        /// The version in force.
        in_force: Version,
    },
    /// The generation was found with two contents before either was in force.
    Conflicted(Generation),
    /// A peer sent a document whose version isn't the one that its answer states.
    NotAsAnnounced {
        /// The version that the answer states.
        announced: Version,
        /// The version computed from the received document.
        received: Version,
    },
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rejection::Malformed(errors) => write!(f, "malformed document: {errors}"),
            Rejection::LowerGeneration { offered, in_force } => {
                write!(
                    f,
                    "generation {offered} is lower than {in_force}, which is in force"
                )
            }
            Rejection::OtherContentInForce { offered, in_force } => {
                write!(
                    f,
                    "{offered} has another content than {in_force}, which is in force"
                )
            }
            Rejection::Conflicted(generation) => {
                write!(f, "generation {generation} was promoted with two contents")
            }
            Rejection::NotAsAnnounced {
                announced,
                received,
            } => write!(f, "a peer announced {announced} and sent {received}"),
        }
    }
}

impl std::error::Error for Rejection {}

/// Compare an offered version with the one in force. Return `true` if it may replace that one, and
/// `false` if it is that one.
///
/// # Errors
///
/// Return the reason when the offered version may not replace the one in force.
pub fn accept_version(offered: Version, in_force: Option<Version>) -> Result<bool, Rejection> {
    let Some(in_force) = in_force else {
        return Ok(true);
    };
    if offered.generation < in_force.generation {
        return Err(Rejection::LowerGeneration {
            offered: offered.generation,
            in_force: in_force.generation,
        });
    }
    if offered.generation == in_force.generation && offered != in_force {
        return Err(Rejection::OtherContentInForce { offered, in_force });
    }
    Ok(offered != in_force)
}

/// Check a text from the platform against the version in force. Return `None` when the text has
/// that version.
///
/// # Errors
///
/// Return why the document is rejected.
pub fn accept_yaml(text: &str, in_force: Option<Version>) -> Result<Option<Content>, Rejection> {
    let content = Content::from_yaml(text).map_err(Rejection::Malformed)?;
    let new = accept_version(content.version(), in_force)?;
    Ok(new.then_some(content))
}
