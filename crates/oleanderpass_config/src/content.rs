//! Check a document and keep it together with its canonical form.

use std::sync::Arc;

use oleanderpass_proto::environment as raw;
use smol_str::SmolStr;

use crate::canonical::canonical_json;
use crate::document::Document;
use crate::error::DocumentError;
use crate::error::DocumentErrors;
use crate::parse::add_lines;
use crate::parse::parse_yaml;
use crate::version::Version;

/// The content of one generation: a checked document and its canonical form.
#[derive(Clone, Debug)]
pub struct Content {
    /// The checked document.
    pub document: Arc<Document>,
    /// The canonical JSON, which peers receive and deltas apply to.
    pub canonical: Arc<[u8]>,
}

impl Content {
    /// Parse and check the YAML text that operators publish.
    ///
    /// # Errors
    ///
    /// Return all errors of the document with their lines.
    pub fn from_yaml(text: &str) -> Result<Self, DocumentErrors> {
        Self::from_raw(&parse_yaml(text)?).map_err(|errors| add_lines(text, errors))
    }

    /// Parse and check the canonical JSON that a peer sends.
    ///
    /// # Errors
    ///
    /// Return all errors of the document.
    pub fn from_json(json: &[u8]) -> Result<Self, DocumentErrors> {
        let raw = serde_json::from_slice(json).map_err(|error| malformed(&error))?;
        Self::from_raw(&raw)
    }

    /// Check a parsed document.
    ///
    /// # Errors
    ///
    /// Return all errors of the document.
    pub fn from_raw(raw: &raw::Document) -> Result<Self, DocumentErrors> {
        let document = Arc::new(Document::try_from(raw)?);
        let canonical = canonical_json(raw)
            .map_err(|error| malformed(&error))?
            .into();
        Ok(Self {
            document,
            canonical,
        })
    }

    /// Return the version: the generation and the digest of the canonical form.
    pub fn version(&self) -> Version {
        Version {
            generation: self.document.generation,
            digest: self.document.digest,
        }
    }
}

fn malformed(error: &serde_json::Error) -> DocumentErrors {
    DocumentErrors(vec![DocumentError {
        path: SmolStr::new_static("document"),
        line: None,
        cause: error.to_string().into(),
    }])
}
