//! Check and compare environment documents.

use std::path::Path;

use eyre::WrapErr;
use eyre::bail;
use oleanderpass_config::document::Document;
use oleanderpass_config::document::parse_yaml;
use oleanderpass_config::error::DocumentErrors;

/// Run `oleanderpass check`: print one line for each error.
pub(crate) fn run(file: &Path) -> eyre::Result<()> {
    let document = load(file)?;
    println!(
        "{}: generation {} is valid, digest {}",
        file.display(),
        document.generation,
        document.digest
    );
    Ok(())
}

/// Run `oleanderpass diff`.
pub(crate) fn diff(old: &Path, new: &Path) -> eyre::Result<()> {
    let (old, new) = (load(old)?, load(new)?);
    println!(
        "generation {} (digest {}) -> generation {} (digest {})",
        old.generation, old.digest, new.generation, new.digest
    );
    Ok(())
}

fn load(file: &Path) -> eyre::Result<Document> {
    let text =
        std::fs::read_to_string(file).wrap_err_with(|| format!("read {}", file.display()))?;
    let checked = parse_yaml(&text).and_then(|raw| Document::try_from(&raw));
    match checked {
        Ok(document) => Ok(document),
        Err(DocumentErrors(errors)) => {
            for error in &errors {
                eprintln!("{}: {error}", file.display());
            }
            bail!("{}: {} errors", file.display(), errors.len());
        }
    }
}
