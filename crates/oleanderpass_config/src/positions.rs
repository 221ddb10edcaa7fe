//! Find the lines of values in the YAML text of a document.
//!
//! A text with errors is parsed a second time, into a tree in which each value has its line. The
//! tree supplies the lines of semantic errors. It also allows parsing to continue after the first
//! error: the value with the error is removed, and the rest is written out and parsed again.

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

/// A document as JSON text with one token in each line, so that the line of a parse error
/// identifies the value.
pub(crate) struct Listing {
    pub(crate) text: String,
    /// The path of the value in each line.
    pub(crate) paths: Vec<String>,
}

impl Positions {
    /// Parse a text. Return `None` if it isn't YAML.
    pub(crate) fn from_yaml(text: &str) -> Option<Self> {
        let root: Spanned<Value> = serde_saphyr::from_str(text).ok()?;
        Some(Self(root.into()))
    }

    /// Return the line of a path such as `organisations[2].limits`, or of its nearest parent that
    /// exists.
    pub(crate) fn line(&self, path: &str) -> u64 {
        let mut node = &self.0;
        let mut line = node.line;
        for segment in segments(path) {
            let Some((child_line, child)) = node.child(segment) else {
                break;
            };
            line = child_line;
            node = child;
        }
        line
    }

    /// Remove the value at a path. Return whether it existed.
    pub(crate) fn remove(&mut self, path: &str) -> bool {
        let Some(last) = segments(path).last() else {
            return false;
        };
        let depth = segments(path).count();
        let mut node = &mut self.0;
        for segment in segments(path).take(depth - 1) {
            let Some(child) = node.child_mut(segment) else {
                return false;
            };
            node = child;
        }
        node.remove(last)
    }

    /// Write the values as JSON text with one token in each line.
    pub(crate) fn to_listing(&self) -> Listing {
        let mut listing = Listing {
            text: String::new(),
            paths: Vec::new(),
        };
        listing.push_node(&self.0, "");
        listing
    }
}

impl Node {
    /// Return a child and its line. `segment` is a field name, or the index of an item as text.
    fn child(&self, segment: &str) -> Option<(u64, &Node)> {
        match &self.value {
            Value::Map(fields) => {
                let field = fields.iter().find(|field| field.name == segment)?;
                Some((field.line, &field.node))
            }
            Value::List(items) => {
                let item = items.get(segment.parse::<usize>().ok()?)?;
                Some((item.line, item))
            }
            Value::Scalar(_) => None,
        }
    }

    fn child_mut(&mut self, segment: &str) -> Option<&mut Node> {
        match &mut self.value {
            Value::Map(fields) => {
                let field = fields.iter_mut().find(|field| field.name == segment)?;
                Some(&mut field.node)
            }
            Value::List(items) => items.get_mut(segment.parse::<usize>().ok()?),
            Value::Scalar(_) => None,
        }
    }

    fn remove(&mut self, segment: &str) -> bool {
        match &mut self.value {
            Value::Map(fields) => {
                let before = fields.len();
                fields.retain(|field| field.name != segment);
                fields.len() < before
            }
            Value::List(items) => {
                let index = segment.parse::<usize>().ok();
                let item = index.and_then(|index| items.get_mut(index));
                // Empties the item instead of removing it, so that the items after it keep their
                // indexes.
                let clear = |item: &mut Node| item.value = Value::Map(Vec::new());
                item.map(clear).is_some()
            }
            Value::Scalar(_) => false,
        }
    }
}

impl Listing {
    fn push_node(&mut self, node: &Node, path: &str) {
        match &node.value {
            Value::Map(fields) => {
                self.push_token("{", path);
                for field in fields {
                    let path = match path {
                        "" => field.name.clone(),
                        _ => format!("{path}.{}", field.name),
                    };
                    let name = serde_json::Value::from(field.name.as_str());
                    self.push_token(&format!("{name}:"), &path);
                    self.push_node(&field.node, &path);
                    self.push_token(",", &path);
                }
                self.push_token("}", path);
            }
            Value::List(items) => {
                self.push_token("[", path);
                for (index, item) in items.iter().enumerate() {
                    let path = format!("{path}[{index}]");
                    self.push_node(item, &path);
                    self.push_token(",", &path);
                }
                self.push_token("]", path);
            }
            Value::Scalar(text) => self.push_token(text, path),
        }
    }

    fn push_token(&mut self, token: &str, path: &str) {
        // Indented, because YAML treats a token at the start of a line as the value of a new
        // document.
        let _ = writeln!(self.text, " {token}");
        self.paths.push(path.to_owned());
    }
}

/// Split a path into field names and item indexes.
fn segments(path: &str) -> impl Iterator<Item = &str> {
    path.split(['.', '[', ']'])
        .filter(|segment| !segment.is_empty())
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
