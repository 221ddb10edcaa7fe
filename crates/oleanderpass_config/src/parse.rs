//! Read the YAML text of a document and collect every error of its form.

use oleanderpass_proto::environment as raw;
use smol_str::SmolStr;

use crate::document::MAX_DOCUMENT_BYTES;
use crate::error::DocumentError;
use crate::error::DocumentErrors;
use crate::positions::Positions;

/// The most errors of form that are reported of one document. Each takes another pass.
const MAX_FORM_ERRORS: usize = 50;

/// The path of errors that concern the whole document.
const WHOLE: &str = "document";

/// Read a raw document from YAML text.
///
/// # Errors
///
/// Return the places and causes when the text is too large, isn't YAML or has unknown keys.
pub fn parse_yaml(text: &str) -> Result<raw::Document, DocumentErrors> {
    if text.len() > MAX_DOCUMENT_BYTES {
        let cause = format!("larger than {MAX_DOCUMENT_BYTES} bytes").into();
        return Err(DocumentErrors(vec![error(WHOLE, None, cause)]));
    }
    read(text).map_err(|(line, cause)| {
        let errors = match Positions::from_yaml(text) {
            Some(positions) => form_errors(positions),
            None => Vec::new(),
        };
        if errors.is_empty() {
            DocumentErrors(vec![error(WHOLE, line, cause)])
        } else {
            DocumentErrors(errors)
        }
    })
}

/// Add the lines of the text to errors that have none.
pub(crate) fn add_lines(text: &str, mut errors: DocumentErrors) -> DocumentErrors {
    if let Some(positions) = Positions::from_yaml(text) {
        for error in errors.0.iter_mut().filter(|error| error.line.is_none()) {
            error.line = Some(positions.line(&error.path));
        }
    }
    errors
}

/// Read the document again without each value that has an error, until none is left.
fn form_errors(positions: Positions) -> Vec<DocumentError> {
    let mut rest = positions.clone();
    let mut errors = Vec::new();
    while errors.len() < MAX_FORM_ERRORS {
        let listing = rest.list();
        let Err((line, cause)) = read(&listing.text) else {
            break;
        };
        let index = line.and_then(|line| usize::try_from(line).ok());
        let path = index.and_then(|line| listing.paths.get(line.checked_sub(1)?));
        let Some(path) = path else {
            break;
        };
        errors.push(error(path, Some(positions.line(path)), cause));
        if !rest.remove(path) {
            break;
        }
    }
    errors
}

fn read(text: &str) -> Result<raw::Document, (Option<u64>, SmolStr)> {
    let options = serde_saphyr::options! { with_snippet: false };
    serde_saphyr::from_str_with_options(text, options).map_err(|error| {
        let line = error.location().map(|location| location.line());
        (line, cause(&error.to_string()))
    })
}

/// Remove the place from a message, as in `error: line 3 column 3: unknown field`.
fn cause(message: &str) -> SmolStr {
    let message = message.strip_prefix("error: ").unwrap_or(message);
    match message.split_once(": ") {
        Some((place, cause)) if place.starts_with("line ") => cause.into(),
        _ => message.into(),
    }
}

fn error(path: &str, line: Option<u64>, cause: SmolStr) -> DocumentError {
    let path = if path.is_empty() { WHOLE } else { path };
    DocumentError {
        path: path.into(),
        line,
        cause,
    }
}
