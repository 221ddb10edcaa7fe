//! Determine what the promotion of a document changes, and which organisations it affects.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use oleanderpass_types::id::OrganisationId;
use oleanderpass_types::id::ServiceId;
use serde_json::Value;

use crate::content::Content;
use crate::document::Document;
use crate::document::Organisation;
use crate::version::Version;

/// A value that differs between two documents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The field names and the ids of list items on the way to the value.
    pub path: Vec<String>,
    /// The old value as JSON; `None` if the value is added.
    pub before: Option<String>,
    /// The new value as JSON; `None` if the value is removed.
    pub after: Option<String>,
}

impl Change {
    /// Return the path as text, for example `models.skald-large.version`.
    pub fn path_text(&self) -> String {
        self.path.join(".")
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.path_text())?;
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, ": {before} -> {after}"),
            (Some(before), None) => write!(f, ": removed {before}"),
            (None, Some(after)) => write!(f, ": added {after}"),
            (None, None) => Ok(()),
        }
    }
}

/// What a promotion changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Promotion {
    /// The version that is replaced.
    pub from: Version,
    /// The version that replaces it.
    pub to: Version,
    /// The values that differ, without the generation.
    pub changes: Vec<Change>,
    /// The organisations whose requests the changes may affect, each with the paths of these
    /// changes.
    pub organisations: BTreeMap<OrganisationId, BTreeSet<String>>,
}

impl fmt::Display for Promotion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} -> {}", self.from, self.to)?;
        for change in &self.changes {
            writeln!(f, "{change}")?;
        }
        for (organisation, paths) in &self.organisations {
            let paths: Vec<_> = paths.iter().map(String::as_str).collect();
            writeln!(f, "organisation {organisation}: {}", paths.join(", "))?;
        }
        Ok(())
    }
}

/// The error that a document can't replace another because its generation isn't higher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GenerationNotHigher {
    /// The version that would be replaced.
    pub from: Version,
    /// The version that can't replace it.
    pub to: Version,
}

impl fmt::Display for GenerationNotHigher {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (from, to) = (self.from.generation, self.to.generation);
        write!(f, "generation {to} isn't higher than generation {from}")
    }
}

impl std::error::Error for GenerationNotHigher {}

/// Compare a document with the one that it would replace.
///
/// # Errors
///
/// Return an error when the new generation isn't higher, because instances reject such a document.
pub fn diff(old: &Content, new: &Content) -> Result<Promotion, GenerationNotHigher> {
    let (from, to) = (old.version(), new.version());
    if to.generation <= from.generation {
        return Err(GenerationNotHigher { from, to });
    }
    let mut changes = Vec::new();
    collect_changes(
        &[],
        canonical_value(old).as_ref(),
        canonical_value(new).as_ref(),
        &mut changes,
    );
    changes.retain(|change| change.path != ["generation"]);
    let mut organisations: BTreeMap<_, BTreeSet<_>> = BTreeMap::new();
    for change in &changes {
        for document in [&old.document, &new.document] {
            for (id, organisation) in &document.organisations {
                if affects(&change.path, document, id, organisation) {
                    let paths = organisations.entry(id.clone()).or_default();
                    paths.insert(change.path_text());
                }
            }
        }
    }
    Ok(Promotion {
        from,
        to,
        changes,
        organisations,
    })
}

/// Parse the canonical form. It is valid JSON, because this program serialized it.
fn canonical_value(content: &Content) -> Option<Value> {
    serde_json::from_slice(&content.canonical).ok()
}

/// Append the differences between two values at `path`. Objects and lists of items with ids are
/// compared item by item.
fn collect_changes(
    path: &[String],
    old: Option<&Value>,
    new: Option<&Value>,
    changes: &mut Vec<Change>,
) {
    if old == new {
        return;
    }
    let both = old
        .zip(new)
        .and_then(|(old, new)| Some((children(old)?, children(new)?)));
    if let Some((old, new)) = both {
        let names: BTreeSet<_> = old.keys().chain(new.keys()).collect();
        for name in names {
            let path = [path, std::slice::from_ref(name)].concat();
            collect_changes(
                &path,
                old.get(name).copied(),
                new.get(name).copied(),
                changes,
            );
        }
        return;
    }
    changes.push(Change {
        path: path.to_vec(),
        before: old.map(Value::to_string),
        after: new.map(Value::to_string),
    });
}

/// Return the fields of an object by name, or the items of a list by id; `None` for other values.
fn children(value: &Value) -> Option<BTreeMap<String, &Value>> {
    match value {
        Value::Object(object) => Some(object.iter().map(|(k, v)| (k.clone(), v)).collect()),
        Value::Array(items) => {
            let id = |item: &Value| Some(item.get("id")?.as_str()?.to_owned());
            items.iter().map(|item| Some((id(item)?, item))).collect()
        }
        _ => None,
    }
}

/// Return whether a change of the value at `path` may affect the requests of an organisation.
fn affects(
    path: &[String],
    document: &Document,
    id: &OrganisationId,
    organisation: &Organisation,
) -> bool {
    let [section, item, ..] = path else {
        return true;
    };
    let changed = |id: &str| item == id;
    let models = || organisation.models.iter();
    let routes = || organisation.routes.iter();
    match section.as_str() {
        "organisations" => changed(id.as_str()),
        "models" => models().any(|model| changed(model.as_str())),
        "routes" => routes().any(|route| changed(route.as_str())),
        "services" => {
            let of_models = models()
                .filter_map(|id| document.models.get(id))
                .map(|model| &model.service);
            let of_routes = routes()
                .filter_map(|id| document.routes.get(id))
                .map(|route| &route.service);
            let mut services = of_models.chain(of_routes);
            services.any(|service: &ServiceId| changed(service.as_str()))
        }
        _ => true,
    }
}
