//! Say why a start failed: in one line, and by the exit code of the process.

use std::error::Error;
use std::fmt;

use eyre::Report;

/// Why a process can't start.
#[derive(Debug)]
pub enum StartError {
    /// The settings can't be read, or one that is needed is missing or invalid.
    Settings(Report),
    /// The system refuses something that no instance can do without.
    System(Report),
}

impl StartError {
    /// Return the exit code of the process. Source: `sysexits.h`, `EX_CONFIG` and `EX_OSERR`.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Settings(_) => 78,
            Self::System(_) => 71,
        }
    }
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (Self::Settings(report) | Self::System(report)) = self;
        let text = format!("{report:#}");
        // The error of a parser may have several lines.
        let words: Vec<&str> = text.split_whitespace().collect();
        f.write_str(&words.join(" "))
    }
}

impl Error for StartError {}
