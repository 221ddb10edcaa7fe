//! Classify what is known about a request when it ends.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;
use strum::IntoStaticStr;

/// What is known about whether a request ran. No other outcomes exist.
///
/// `NotRun` must be certain: only an instance that knows that no byte of the request was sent, or
/// that received the backend server's own refusal from before the start, may use it.
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
