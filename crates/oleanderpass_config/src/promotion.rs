//! Tell what the promotion of a document changes, and for which organisations.

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

/// A value that differs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The names of the fields and the ids of the list items that lead to the value.
    pub path: Vec<String>,
    /// The old value in JSON; `None` if it is added.
    pub before: Option<String>,
    /// The new value in JSON; `None` if it is removed.
    pub after: Option<String>,
}

impl Change {
    /// Return the place as text, as `models.skald-large.version`.
    pub fn place(&self) -> String {
        self.path.join(".")
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.place())?;
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
    /// The values that differ, apart from the generation.
    pub changes: Vec<Change>,
    /// The organisations whose requests the changes may affect, with the places.
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

/// A document that can't follow another because its generation isn't higher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotHigher {
    /// The version that would be replaced.
    pub from: Version,
    /// The version that can't replace it.
    pub to: Version,
}

impl fmt::Display for NotHigher {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (from, to) = (self.from.generation, self.to.generation);
        write!(f, "generation {to} isn't higher than generation {from}")
    }
}

impl std::error::Error for NotHigher {}

/// Compare a document with the one that it would replace.
///
/// # Errors
///
/// Return an error when the new generation isn't higher: such a document is rejected.
pub fn diff(old: &Content, new: &Content) -> Result<Promotion, NotHigher> {
    let (from, to) = (old.version(), new.version());
    if to.generation <= from.generation {
        return Err(NotHigher { from, to });
    }
    let mut changes = Vec::new();
    compare(&[], value(old).as_ref(), value(new).as_ref(), &mut changes);
    changes.retain(|change| change.path != ["generation"]);
    let mut organisations: BTreeMap<_, BTreeSet<_>> = BTreeMap::new();
    for change in &changes {
        for document in [&old.document, &new.document] {
            for (id, organisation) in &document.organisations {
                if affects(&change.path, document, id, organisation) {
                    let paths = organisations.entry(id.clone()).or_default();
                    paths.insert(change.place());
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

/// Parse the canonical form. It is valid JSON, because this program wrote it.
fn value(content: &Content) -> Option<Value> {
    serde_json::from_slice(&content.canonical).ok()
}

fn compare(path: &[String], old: Option<&Value>, new: Option<&Value>, changes: &mut Vec<Change>) {
    if old == new {
        return;
    }
    let both = old
        .zip(new)
        .and_then(|(old, new)| Some((fields(old)?, fields(new)?)));
    if let Some((old, new)) = both {
        let names: BTreeSet<_> = old.keys().chain(new.keys()).collect();
        for name in names {
            let path = [path, std::slice::from_ref(name)].concat();
            compare(
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

/// Return the fields of an object, or the items of a list by their ids.
fn fields(value: &Value) -> Option<BTreeMap<String, &Value>> {
    match value {
        Value::Object(object) => Some(object.iter().map(|(k, v)| (k.clone(), v)).collect()),
        Value::Array(items) => {
            let id = |item: &Value| Some(item.get("id")?.as_str()?.to_owned());
            items.iter().map(|item| Some((id(item)?, item))).collect()
        }
        _ => None,
    }
}

/// Return whether a change of a value may affect the requests of an organisation.
fn affects(
    path: &[String],
    document: &Document,
    id: &OrganisationId,
    organisation: &Organisation,
) -> bool {
    let [section, item, ..] = path else {
        return true;
    };
    let names = |id: &str| item == id;
    let models = || organisation.models.iter();
    let routes = || organisation.routes.iter();
    match section.as_str() {
        "organisations" => names(id.as_str()),
        "models" => models().any(|model| names(model.as_str())),
        "routes" => routes().any(|route| names(route.as_str())),
        "services" => {
            let of_models = models()
                .filter_map(|id| document.models.get(id))
                .map(|m| &m.service);
            let of_routes = routes()
                .filter_map(|id| document.routes.get(id))
                .map(|r| &r.service);
            let mut services = of_models.chain(of_routes);
            services.any(|service: &ServiceId| names(service.as_str()))
        }
        _ => true,
    }
}
