//! Name what is known about a request at its end.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;
use strum::IntoStaticStr;

/// The closed set of outcomes of a request.
///
/// `NotRun` is a claim of knowledge: only an instance that knows that no byte was sent, or that
/// holds the backend server's own refusal before start, may use it.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
pub enum Outcome {
    /// The request ran and its whole answer was delivered.
    #[serde(rename = "completed")]
    #[strum(serialize = "completed")]
    Completed,
    /// The request ran and failed.
    #[serde(rename = "failed")]
    #[strum(serialize = "failed")]
    Failed,
    /// The request did not run.
    #[serde(rename = "not run")]
    #[strum(serialize = "not run")]
    NotRun,
    /// The request may or may not have run.
    #[serde(rename = "unknown")]
    #[strum(serialize = "unknown")]
    Unknown,
}
