//! Say how a request may run.

use oleanderpass_types::clock::Millis;

/// How a request with some signature may run now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum RunRule {
    /// Without restriction.
    #[strum(serialize = "free")]
    Unrestricted,
    /// One copy at a time and not together with other suspects of the same crash.
    #[strum(serialize = "apart")]
    SeparateFromSuspects,
    /// One copy at a time and on a server that runs nothing else.
    Alone,
    /// Not at all.
    Refused {
        /// The time until the quarantine ends.
        left: Millis,
    },
}
