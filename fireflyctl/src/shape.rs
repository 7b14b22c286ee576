//! Shape of the files that operators write, checked field by field.
//!
//! `serde` stops at the first fault; this check goes on, so that one run
//! lists them all. What is at fault is replaced by a blank, so that the rest
//! of the file can still be checked for its sense.

use crate::span::{Node, NodeValue};
use serde_json::{Map, Value};

/// Shape of a value.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Shape {
    /// Text.
    Text,
    /// A whole number, at most this.
    Count(u64),
    /// One of these words.
    Choice(&'static [&'static str]),
    /// The shape, or `null`.
    Optional(&'static Shape),
    /// A list of the shape.
    List(&'static Shape),
    /// An object of these fields.
    Object(&'static [Field]),
}

/// One field of an object.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Field {
    name: &'static str,
    required: bool,
    shape: Shape,
}

/// A fault of the shape.
#[derive(Clone, Debug)]
pub(crate) struct ShapeFault {
    /// Byte at which it is.
    pub(crate) at: usize,
    /// Path of the field.
    pub(crate) field: String,
    /// What is wrong.
    pub(crate) text: String,
}

const fn required(name: &'static str, shape: Shape) -> Field {
    Field {
        name,
        required: true,
        shape,
    }
}

const fn optional(name: &'static str, shape: Shape) -> Field {
    Field {
        name,
        required: false,
        shape,
    }
}

const NAMES: Shape = Shape::List(&Shape::Text);
const U32: Shape = Shape::Count(u32::MAX as u64);
const U64: Shape = Shape::Count(u64::MAX);
const PRIORITY: Shape = Shape::Choice(&["interactive", "batch"]);

/// Shape of an inventory.
pub(crate) const INVENTORY: Shape = Shape::Object(&[
    optional("brands", Shape::List(&BRAND)),
    optional("workspaces", Shape::List(&WORKSPACE)),
    optional("models", Shape::List(&MODEL)),
    optional("services", NAMES),
]);

const BRAND: Shape = Shape::Object(&[
    required("name", Shape::Text),
    optional("models", NAMES),
    optional("services", NAMES),
]);

const WORKSPACE: Shape = Shape::Object(&[
    required("name", Shape::Text),
    required("brand", Shape::Text),
    optional("key_digests", NAMES),
]);

const MODEL: Shape = Shape::Object(&[required("name", Shape::Text), optional("replicas", U32)]);

/// Shape of rules.
pub(crate) const RULES: Shape = Shape::Object(&[
    optional("priorities", Shape::List(&PRIORITY_RULE)),
    optional("quotas", Shape::List(&QUOTA)),
    optional("non_repeatable", Shape::List(&NON_REPEATABLE)),
    optional("without_key", Shape::Choice(&["refuse", "run_once"])),
    optional("interactive_wait_ms", U64),
    optional("batch_wait_ms", U64),
    optional("objectives", Shape::List(&OBJECTIVE)),
]);

const PRIORITY_RULE: Shape = Shape::Object(&[
    required("workspace", Shape::Text),
    required("default", PRIORITY),
    required("highest", PRIORITY),
]);

const QUOTA: Shape = Shape::Object(&[
    required("workspace", Shape::Text),
    required("tokens_per_minute", U64),
]);

const NON_REPEATABLE: Shape = Shape::Object(&[
    required("target", Shape::Text),
    optional("method", Shape::Optional(&Shape::Text)),
    optional("path", Shape::Optional(&Shape::Text)),
    optional("workspace", Shape::Optional(&Shape::Text)),
]);

const OBJECTIVE: Shape = Shape::Object(&[
    optional("brand", Shape::Optional(&Shape::Text)),
    required("priority", PRIORITY),
    required("first_token_ms", U64),
    required("between_tokens_ms", U64),
    required("per_mille", U32),
]);

/// Checks `node` against `shape`; gives its value with blanks for faults.
pub(crate) fn check(node: &Node, shape: Shape, faults: &mut Vec<ShapeFault>) -> Value {
    Check { faults }.value(node, shape, "")
}

struct Check<'a> {
    faults: &'a mut Vec<ShapeFault>,
}

impl Check<'_> {
    fn value(&mut self, node: &Node, shape: Shape, path: &str) -> Value {
        match (shape, &node.value) {
            (Shape::Optional(_), NodeValue::Null) => Value::Null,
            (Shape::Optional(inner), _) => self.value(node, *inner, path),
            (Shape::Text, NodeValue::Text(text)) => text.clone().into(),
            (Shape::Count(most), NodeValue::Number(text)) => self.count(node, text, most, path),
            (Shape::Choice(words), NodeValue::Text(text)) => self.choice(node, text, words, path),
            (Shape::List(inner), NodeValue::List(items)) => self.list(items, *inner, path),
            (Shape::Object(fields), NodeValue::Object(entries)) => {
                self.object(node, entries, fields, path)
            }
            _ => {
                let text = format!("expected {}, found {}", shape.phrase(), node.value.phrase());
                self.add(node.at, path, text);
                shape.blank()
            }
        }
    }

    fn count(&mut self, node: &Node, text: &str, most: u64, path: &str) -> Value {
        match text.parse::<u64>() {
            Ok(n) if n <= most => n.into(),
            _ => {
                let text = format!("expected a whole number from 0 to {most}, found {text}");
                self.add(node.at, path, text);
                0.into()
            }
        }
    }

    fn choice(&mut self, node: &Node, text: &str, words: &[&str], path: &str) -> Value {
        if !words.contains(&text) {
            let expected = words.join(" or ");
            self.add(
                node.at,
                path,
                format!("expected {expected}, found {text:?}"),
            );
            return words[0].into();
        }
        text.into()
    }

    fn list(&mut self, items: &[Node], inner: Shape, path: &str) -> Value {
        let each = items.iter().enumerate();
        each.map(|(i, item)| self.value(item, inner, &format!("{path}[{i}]")))
            .collect()
    }

    fn object(
        &mut self,
        node: &Node,
        entries: &[(crate::span::Key, Node)],
        fields: &[Field],
        path: &str,
    ) -> Value {
        let mut map = Map::new();
        for (key, value) in entries {
            let path = join(path, &key.name);
            let Some(field) = fields.iter().find(|f| f.name == key.name) else {
                let known: Vec<&str> = fields.iter().map(|f| f.name).collect();
                let text = format!("unknown field; known are {}", known.join(", "));
                self.add(key.at, &path, text);
                continue;
            };
            let value = self.value(value, field.shape, &path);
            if map.insert(key.name.clone(), value).is_some() {
                self.add(key.at, &path, "given twice".to_owned());
            }
        }
        for field in fields.iter().filter(|f| f.required) {
            if !map.contains_key(field.name) {
                self.add(node.at, &join(path, field.name), "missing".to_owned());
                map.insert(field.name.to_owned(), field.shape.blank());
            }
        }
        Value::Object(map)
    }

    fn add(&mut self, at: usize, path: &str, text: String) {
        self.faults.push(ShapeFault {
            at,
            field: path.to_owned(),
            text,
        });
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

impl Shape {
    /// A value of the shape that says nothing.
    fn blank(self) -> Value {
        match self {
            Self::Text => "".into(),
            Self::Count(_) => 0.into(),
            Self::Choice(words) => words[0].into(),
            Self::Optional(_) => Value::Null,
            Self::List(_) => Value::Array(Vec::new()),
            Self::Object(fields) => {
                let required = fields.iter().filter(|f| f.required);
                required
                    .map(|f| (f.name.to_owned(), f.shape.blank()))
                    .collect::<Map<_, _>>()
                    .into()
            }
        }
    }

    const fn phrase(self) -> &'static str {
        match self {
            Self::Text | Self::Choice(_) => "text",
            Self::Count(_) => "a whole number",
            Self::Optional(inner) => inner.phrase(),
            Self::List(_) => "a list",
            Self::Object(_) => "an object",
        }
    }
}

impl NodeValue {
    const fn phrase(&self) -> &'static str {
        match self {
            Self::Null => "null",
            Self::Bool => "true or false",
            Self::Number(_) => "a number",
            Self::Text(_) => "text",
            Self::List(_) => "a list",
            Self::Object(_) => "an object",
        }
    }
}
