//! What instances tell each other about crashes and parts of prompts.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::id::PromptPartId;

use crate::evidence::Signature;

/// A hash of the id and incarnation of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerRun(pub u64);

/// A part that may have caused a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// The part.
    pub part: PromptPartId,
    /// A request with the part that was in flight.
    pub request: Signature,
}

/// Suspects of one crash, as instances tell each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The server that crashed.
    pub server: ServerRun,
    /// The time since the crash.
    pub age: Millis,
    /// Shared parts of the requests whose answers had not begun or had just begun.
    pub suspects: Vec<Suspect>,
}

/// A part that is harmless, as instances tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HarmlessReport {
    /// The part.
    pub part: PromptPartId,
    /// The time since the start of an answer that went on.
    pub age: Millis,
}

/// A part that is refused, as instances tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusalReport {
    /// The part.
    pub part: PromptPartId,
    /// The number of its crashes, where simultaneous ones count as one.
    pub crashes: u32,
    /// The time since the last crash.
    pub age: Millis,
    /// The number of trials that ended in a crash.
    pub failed_trials: u32,
    /// Whether an answer to a prompt with the part was written before.
    pub was_harmless: bool,
}

/// Everything about parts that goes into one bulletin.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartReports {
    /// Crashes with their suspects.
    pub crashes: Vec<CrashReport>,
    /// Suspects that turned out to be harmless.
    pub harmless: Vec<HarmlessReport>,
    /// Refused parts.
    pub refused: Vec<RefusalReport>,
}
