//! Check environment documents.

use std::path::Path;

use eyre::WrapErr;
use eyre::bail;
use oleanderpass_config::content::Content;
use oleanderpass_config::error::DocumentErrors;

/// Run `oleanderpass check`: print the version of a valid document, or one line for each error.
pub(crate) fn run(file: &Path) -> eyre::Result<()> {
    let version = load(file)?.version();
    println!(
        "{}: generation {} is valid, digest {}",
        file.display(),
        version.generation,
        version.digest
    );
    Ok(())
}

/// Read and check a document. Print its errors to standard error.
pub(crate) fn load(file: &Path) -> eyre::Result<Content> {
    let text =
        std::fs::read_to_string(file).wrap_err_with(|| format!("read {}", file.display()))?;
    match Content::from_yaml(&text) {
        Ok(content) => Ok(content),
        Err(DocumentErrors(errors)) => {
            for error in &errors {
                eprintln!("{}: {error}", file.display());
            }
            bail!("{}: {} errors", file.display(), errors.len());
        }
    }
}
