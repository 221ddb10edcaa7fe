//! Print the differences between two environment documents.

use std::path::Path;

use eyre::WrapErr;
use oleanderpass_config::delta;
use oleanderpass_proto::peer::DocumentDelta;
use serde_json::Value;

use crate::check::load;

/// Run `oleanderpass diff`: print both versions and one line for each change.
pub(crate) fn run(old: &Path, new: &Path) -> eyre::Result<()> {
    let (old, new) = (load(old)?, load(new)?);
    let (from, to) = (old.version(), new.version());
    println!(
        "generation {} (digest {}) -> generation {} (digest {})",
        from.generation, from.digest, to.generation, to.digest
    );
    for line in changes(&old.canonical, &new.canonical)? {
        println!("{line}");
    }
    if to.generation <= from.generation {
        println!(
            "the generation does not rise: an instance that holds the old document rejects it"
        );
    }
    Ok(())
}

/// Describe the changes from one canonical document to another.
fn changes(old: &[u8], new: &[u8]) -> eyre::Result<Vec<String>> {
    let patch: Vec<Value> =
        serde_json::from_slice(&delta::diff(old, new)?).wrap_err("parse the patch")?;
    let mut current = old.to_vec();
    let mut lines = Vec::new();
    for op in &patch {
        let document: Value = serde_json::from_slice(&current).wrap_err("parse the document")?;
        lines.push(describe(op, &document));
        // The path of each operation refers to the document after all operations before it.
        let step = DocumentDelta {
            patch: serde_json::to_vec(&[op])?,
            ..DocumentDelta::default()
        };
        current = delta::apply(&current, &[step])?;
    }
    Ok(lines)
}

/// Describe one operation of a patch. `document` is the document before the operation.
fn describe(op: &Value, document: &Value) -> String {
    let kind = op["op"].as_str().unwrap_or_default();
    let path = op["path"].as_str().unwrap_or_default();
    let old = document.pointer(path).unwrap_or(&Value::Null);
    let new = &op["value"];
    match kind {
        "add" => format!("+ {path}: {new}"),
        "remove" => format!("- {path}: {old}"),
        "replace" => format!("~ {path}: {old} -> {new}"),
        _ => format!("{kind} {path}: {op}"),
    }
}
