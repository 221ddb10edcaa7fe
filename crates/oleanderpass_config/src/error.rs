//! Define the errors of an environment document.

use std::fmt;

use smol_str::SmolStr;

/// One error of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentError {
    /// The path of the value, for example `organisations[2].limits`; `document` stands for the
    /// whole.
    pub path: SmolStr,
    /// The line in the YAML text, counted from 1; `None` if unknown, as for JSON from a peer.
    pub line: Option<u64>,
    /// What is wrong with the value.
    pub cause: SmolStr,
}

impl fmt::Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        write!(f, "{}: {}", self.path, self.cause)
    }
}

impl std::error::Error for DocumentError {}

/// All errors of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentErrors(pub Vec<DocumentError>);

impl fmt::Display for DocumentErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for DocumentErrors {}
