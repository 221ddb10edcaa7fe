//! The restrictions under which a request may run.

use oleanderpass_types::clock::Millis;

/// How a request with some signature may run now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum RunRule {
    /// No restriction.
    #[strum(serialize = "free")]
    Unrestricted,
    /// One copy at a time, and not on a server that runs other suspects of the same crash.
    #[strum(serialize = "apart")]
    SeparateFromSuspects,
    /// One copy at a time, and on a server that runs nothing else.
    Alone,
    /// The request is in quarantine and may not run.
    Refused {
        /// The time until the quarantine ends.
        left: Millis,
    },
}
