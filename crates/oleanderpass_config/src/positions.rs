//! Find the lines of values in the YAML text of a document.
//!
//! A text with errors is read a second time into a tree with positions. The tree gives semantic
//! errors their lines, and it lets a reader of the raw document go on after the first error.

use std::fmt;
use std::fmt::Write;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde_saphyr::Spanned;

/// A value with its line.
#[derive(Clone, Debug)]
struct Node {
    line: u64,
    value: Value,
}

#[derive(Clone, Debug)]
enum Value {
    Map(Vec<Field>),
    List(Vec<Node>),
    /// A scalar in JSON notation.
    Scalar(String),
}

#[derive(Clone, Debug)]
struct Field {
    name: String,
    line: u64,
    node: Node,
}

/// The values of a YAML text with their lines.
#[derive(Clone, Debug)]
pub(crate) struct Positions(Node);

/// A text in JSON notation with one token a line.
pub(crate) struct Listing {
    /// The text.
    pub(crate) text: String,
    /// The path of the value of each line.
    pub(crate) paths: Vec<String>,
}

impl Positions {
    /// Read a text. Return nothing if it isn't YAML.
    pub(crate) fn from_yaml(text: &str) -> Option<Self> {
        let root: Spanned<Value> = serde_saphyr::from_str(text).ok()?;
        Some(Self(root.into()))
    }

    /// Return the line of a path, as `organisations[2].limits`, or of its nearest existing parent.
    pub(crate) fn line(&self, path: &str) -> u64 {
        let mut node = &self.0;
        let mut line = node.line;
        for name in split(path) {
            let Some((at, next)) = node.child(name) else {
                break;
            };
            line = at;
            node = next;
        }
        line
    }

    /// Remove the value of a path. Return whether it was there.
    pub(crate) fn remove(&mut self, path: &str) -> bool {
        let Some(last) = split(path).last() else {
            return false;
        };
        let depth = split(path).count();
        let mut node = &mut self.0;
        for name in split(path).take(depth - 1) {
            let Some(next) = node.child_mut(name) else {
                return false;
            };
            node = next;
        }
        node.remove(last)
    }

    /// Write the values so that a line of an error leads to a path.
    pub(crate) fn list(&self) -> Listing {
        let mut listing = Listing {
            text: String::new(),
            paths: Vec::new(),
        };
        listing.add(&self.0, "");
        listing
    }
}

impl Node {
    fn child(&self, name: &str) -> Option<(u64, &Node)> {
        match &self.value {
            Value::Map(fields) => {
                let field = fields.iter().find(|field| field.name == name)?;
                Some((field.line, &field.node))
            }
            Value::List(items) => {
                let item = items.get(name.parse::<usize>().ok()?)?;
                Some((item.line, item))
            }
            Value::Scalar(_) => None,
        }
    }

    fn child_mut(&mut self, name: &str) -> Option<&mut Node> {
        match &mut self.value {
            Value::Map(fields) => {
                let field = fields.iter_mut().find(|field| field.name == name)?;
                Some(&mut field.node)
            }
            Value::List(items) => items.get_mut(name.parse::<usize>().ok()?),
            Value::Scalar(_) => None,
        }
    }

    fn remove(&mut self, name: &str) -> bool {
        match &mut self.value {
            Value::Map(fields) => {
                let before = fields.len();
                fields.retain(|field| field.name != name);
                fields.len() < before
            }
            Value::List(items) => {
                let index = name.parse::<usize>().ok();
                let item = index.and_then(|index| items.get_mut(index));
                // An empty item keeps the numbers of the ones after it.
                let empty = |item: &mut Node| item.value = Value::Map(Vec::new());
                item.map(empty).is_some()
            }
            Value::Scalar(_) => false,
        }
    }
}

impl Listing {
    fn add(&mut self, node: &Node, path: &str) {
        match &node.value {
            Value::Map(fields) => {
                self.token("{", path);
                for field in fields {
                    let path = match path {
                        "" => field.name.clone(),
                        _ => format!("{path}.{}", field.name),
                    };
                    let name = serde_json::Value::from(field.name.as_str());
                    self.token(&format!("{name}:"), &path);
                    self.add(&field.node, &path);
                    self.token(",", &path);
                }
                self.token("}", path);
            }
            Value::List(items) => {
                self.token("[", path);
                for (index, item) in items.iter().enumerate() {
                    let path = format!("{path}[{index}]");
                    self.add(item, &path);
                    self.token(",", &path);
                }
                self.token("]", path);
            }
            Value::Scalar(text) => self.token(text, path),
        }
    }

    fn token(&mut self, token: &str, path: &str) {
        // Indented, because YAML takes a token at the start of a line for a new document's value.
        let _ = writeln!(self.text, " {token}");
        self.paths.push(path.to_owned());
    }
}

fn split(path: &str) -> impl Iterator<Item = &str> {
    path.split(['.', '[', ']']).filter(|name| !name.is_empty())
}

impl From<Spanned<Value>> for Node {
    fn from(spanned: Spanned<Value>) -> Self {
        Node {
            line: spanned.referenced.line(),
            value: spanned.value,
        }
    }
}

impl<'de> Deserialize<'de> for Value {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ValueVisitor)
    }
}

struct ValueVisitor;

impl<'de> Visitor<'de> for ValueVisitor {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Scalar(value.to_string()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(Value::Scalar(value.to_string()))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(Value::Scalar(value.to_string()))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(Value::Scalar(value.to_string()))
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(Value::Scalar(serde_json::Value::from(value).to_string()))
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Scalar("null".to_owned()))
    }

    fn visit_none<E>(self) -> Result<Value, E> {
        Ok(Value::Scalar("null".to_owned()))
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        Value::deserialize(deserializer)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<Value, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = access.next_element::<Spanned<Value>>()? {
            items.push(item.into());
        }
        Ok(Value::List(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Value, A::Error> {
        let mut fields = Vec::new();
        while let Some(name) = access.next_key::<Spanned<String>>()? {
            let node = access.next_value::<Spanned<Value>>()?;
            fields.push(Field {
                name: name.value,
                line: name.referenced.line(),
                node: node.into(),
            });
        }
        Ok(Value::Map(fields))
    }
}
