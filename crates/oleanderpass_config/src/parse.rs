//! Parse the YAML text of a document and collect all of its parse errors.

use oleanderpass_proto::environment as raw;
use smol_str::SmolStr;

use crate::document::MAX_DOCUMENT_BYTES;
use crate::error::DocumentError;
use crate::error::DocumentErrors;
use crate::positions::Positions;

/// The most parse errors reported for one document. Each one needs the document to be parsed again.
const MAX_PARSE_ERRORS: usize = 50;

/// The path of errors that concern the whole document.
const WHOLE_DOCUMENT: &str = "document";

/// Parse YAML text into a document that isn't checked yet.
///
/// # Errors
///
/// Return the paths, lines and causes when the text is too large, isn't YAML, or has unknown keys
/// or values of a wrong type.
pub fn parse_yaml(text: &str) -> Result<raw::Document, DocumentErrors> {
    if text.len() > MAX_DOCUMENT_BYTES {
        let cause = format!("larger than {MAX_DOCUMENT_BYTES} bytes").into();
        return Err(DocumentErrors(vec![document_error(
            WHOLE_DOCUMENT,
            None,
            cause,
        )]));
    }
    parse_raw(text).map_err(|(line, cause)| {
        let errors = match Positions::from_yaml(text) {
            Some(positions) => collect_parse_errors(positions),
            None => Vec::new(),
        };
        if errors.is_empty() {
            DocumentErrors(vec![document_error(WHOLE_DOCUMENT, line, cause)])
        } else {
            DocumentErrors(errors)
        }
    })
}

/// Add lines to errors that have none, by looking up their paths in the YAML text.
pub(crate) fn add_lines(text: &str, mut errors: DocumentErrors) -> DocumentErrors {
    if let Some(positions) = Positions::from_yaml(text) {
        for error in errors.0.iter_mut().filter(|error| error.line.is_none()) {
            error.line = Some(positions.line(&error.path));
        }
    }
    errors
}

/// Parse the document repeatedly, each time without the value at which the last parse failed, until
/// it succeeds. The parser stops at the first error, so this finds the others.
fn collect_parse_errors(positions: Positions) -> Vec<DocumentError> {
    let mut rest = positions.clone();
    let mut errors = Vec::new();
    while errors.len() < MAX_PARSE_ERRORS {
        let listing = rest.to_listing();
        let Err((line, cause)) = parse_raw(&listing.text) else {
            break;
        };
        let line = line.and_then(|line| usize::try_from(line).ok());
        let path = line.and_then(|line| listing.paths.get(line.checked_sub(1)?));
        let Some(path) = path else {
            break;
        };
        errors.push(document_error(path, Some(positions.line(path)), cause));
        if !rest.remove(path) {
            break;
        }
    }
    errors
}

/// Parse YAML text, up to the first error. Return its line and cause on failure.
fn parse_raw(text: &str) -> Result<raw::Document, (Option<u64>, SmolStr)> {
    let options = serde_saphyr::options! { with_snippet: false };
    serde_saphyr::from_str_with_options(text, options).map_err(|error| {
        let line = error.location().map(|location| location.line());
        (line, strip_position(&error.to_string()))
    })
}

/// Remove the position at the start of a parser's message, as in
/// `error: line 3 column 3: unknown field`.
fn strip_position(message: &str) -> SmolStr {
    let message = message.strip_prefix("error: ").unwrap_or(message);
    match message.split_once(": ") {
        Some((position, cause)) if position.starts_with("line ") => cause.into(),
        _ => message.into(),
    }
}

fn document_error(path: &str, line: Option<u64>, cause: SmolStr) -> DocumentError {
    let path = if path.is_empty() {
        WHOLE_DOCUMENT
    } else {
        path
    };
    DocumentError {
        path: path.into(),
        line,
        cause,
    }
}
