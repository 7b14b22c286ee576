//! Schema of the files that operators write, checked field by field.
//!
//! `serde` stops at the first fault; this check continues, so that one run lists
//! them all. It replaces faulty values by placeholders, so that the semantics of
//! the remaining file can still be checked.

use crate::json_tree::{JsonNode, JsonValue};
use serde_json::{Map, Value};

/// Schema of a value.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Schema {
    /// Text.
    Text,
    /// A whole number up to this maximum.
    Count(u64),
    /// One of these texts.
    Choice(&'static [&'static str]),
    /// A value of the schema, or `null`.
    Optional(&'static Schema),
    /// A list of values of the schema.
    List(&'static Schema),
    /// An object with these fields.
    Object(&'static [Field]),
}

/// Field of an object.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Field {
    name: &'static str,
    required: bool,
    schema: Schema,
}

/// Mismatch between a file and its schema.
#[derive(Clone, Debug)]
pub(crate) struct SchemaFault {
    /// Byte offset of the fault.
    pub(crate) offset: usize,
    /// Path of the field.
    pub(crate) field: String,
    /// Description of the fault.
    pub(crate) text: String,
}

const fn required(name: &'static str, schema: Schema) -> Field {
    Field {
        name,
        required: true,
        schema,
    }
}

const fn optional(name: &'static str, schema: Schema) -> Field {
    Field {
        name,
        required: false,
        schema,
    }
}

const NAMES: Schema = Schema::List(&Schema::Text);
const U32: Schema = Schema::Count(u32::MAX as u64);
const U64: Schema = Schema::Count(u64::MAX);
const PRIORITY: Schema = Schema::Choice(&["interactive", "batch"]);

/// Schema of an inventory.
pub(crate) const INVENTORY: Schema = Schema::Object(&[
    optional("brands", Schema::List(&BRAND)),
    optional("workspaces", Schema::List(&WORKSPACE)),
    optional("models", Schema::List(&MODEL)),
    optional("services", NAMES),
]);

const BRAND: Schema = Schema::Object(&[
    required("name", Schema::Text),
    optional("models", NAMES),
    optional("services", NAMES),
]);

const WORKSPACE: Schema = Schema::Object(&[
    required("name", Schema::Text),
    required("brand", Schema::Text),
    optional("key_digests", NAMES),
]);

const MODEL: Schema = Schema::Object(&[required("name", Schema::Text), optional("replicas", U32)]);

/// Schema of rules.
pub(crate) const RULES: Schema = Schema::Object(&[
    optional("priorities", Schema::List(&PRIORITY_RULE)),
    optional("quotas", Schema::List(&QUOTA)),
    optional("non_repeatable", Schema::List(&NON_REPEATABLE)),
    optional("without_key", Schema::Choice(&["refuse", "run_once"])),
    optional("interactive_wait_ms", U64),
    optional("batch_wait_ms", U64),
    optional("objectives", Schema::List(&OBJECTIVE)),
]);

const PRIORITY_RULE: Schema = Schema::Object(&[
    required("workspace", Schema::Text),
    required("default", PRIORITY),
    required("highest", PRIORITY),
]);

const QUOTA: Schema = Schema::Object(&[
    required("workspace", Schema::Text),
    required("tokens_per_minute", U64),
]);

const NON_REPEATABLE: Schema = Schema::Object(&[
    required("target", Schema::Text),
    optional("method", Schema::Optional(&Schema::Text)),
    optional("path", Schema::Optional(&Schema::Text)),
    optional("workspace", Schema::Optional(&Schema::Text)),
]);

const OBJECTIVE: Schema = Schema::Object(&[
    optional("brand", Schema::Optional(&Schema::Text)),
    required("priority", PRIORITY),
    required("first_token_ms", U64),
    required("between_tokens_ms", U64),
    required("per_mille", U32),
]);

/// Checks `node` against `schema`; returns its value, with placeholders for
/// faulty parts.
pub(crate) fn check(node: &JsonNode, schema: Schema, faults: &mut Vec<SchemaFault>) -> Value {
    Checker { faults }.value(node, schema, "")
}

struct Checker<'a> {
    faults: &'a mut Vec<SchemaFault>,
}

impl Checker<'_> {
    fn value(&mut self, node: &JsonNode, schema: Schema, path: &str) -> Value {
        match (schema, &node.value) {
            (Schema::Optional(_), JsonValue::Null) => Value::Null,
            (Schema::Optional(inner), _) => self.value(node, *inner, path),
            (Schema::Text, JsonValue::Text(text)) => text.clone().into(),
            (Schema::Count(max), JsonValue::Number(text)) => self.count(node, text, max, path),
            (Schema::Choice(choices), JsonValue::Text(text)) => {
                self.choice(node, text, choices, path)
            }
            (Schema::List(inner), JsonValue::List(items)) => self.list(items, *inner, path),
            (Schema::Object(fields), JsonValue::Object(entries)) => {
                self.object(node, entries, fields, path)
            }
            _ => {
                let text = format!(
                    "expected {}, found {}",
                    schema.type_name(),
                    node.value.type_name()
                );
                self.add_fault(node.offset, path, text);
                schema.placeholder()
            }
        }
    }

    fn count(&mut self, node: &JsonNode, text: &str, max: u64, path: &str) -> Value {
        match text.parse::<u64>() {
            Ok(n) if n <= max => n.into(),
            _ => {
                let text = format!("expected a whole number from 0 to {max}, found {text}");
                self.add_fault(node.offset, path, text);
                0.into()
            }
        }
    }

    fn choice(&mut self, node: &JsonNode, text: &str, choices: &[&str], path: &str) -> Value {
        if !choices.contains(&text) {
            let expected = choices.join(" or ");
            self.add_fault(
                node.offset,
                path,
                format!("expected {expected}, found {text:?}"),
            );
            return choices[0].into();
        }
        text.into()
    }

    fn list(&mut self, items: &[JsonNode], inner: Schema, path: &str) -> Value {
        let each = items.iter().enumerate();
        each.map(|(i, item)| self.value(item, inner, &format!("{path}[{i}]")))
            .collect()
    }

    fn object(
        &mut self,
        node: &JsonNode,
        entries: &[(crate::json_tree::Key, JsonNode)],
        fields: &[Field],
        path: &str,
    ) -> Value {
        let mut map = Map::new();
        for (key, value) in entries {
            let path = join(path, &key.name);
            let Some(field) = fields.iter().find(|f| f.name == key.name) else {
                let known_fields: Vec<&str> = fields.iter().map(|f| f.name).collect();
                let text = format!("unknown field; known are {}", known_fields.join(", "));
                self.add_fault(key.offset, &path, text);
                continue;
            };
            let value = self.value(value, field.schema, &path);
            if map.insert(key.name.clone(), value).is_some() {
                self.add_fault(key.offset, &path, "given twice".to_owned());
            }
        }
        for field in fields.iter().filter(|f| f.required) {
            if !map.contains_key(field.name) {
                self.add_fault(node.offset, &join(path, field.name), "missing".to_owned());
                map.insert(field.name.to_owned(), field.schema.placeholder());
            }
        }
        Value::Object(map)
    }

    fn add_fault(&mut self, offset: usize, path: &str, text: String) {
        self.faults.push(SchemaFault {
            offset,
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

impl Schema {
    /// Returns an empty value of the schema.
    fn placeholder(self) -> Value {
        match self {
            Self::Text => "".into(),
            Self::Count(_) => 0.into(),
            Self::Choice(choices) => choices[0].into(),
            Self::Optional(_) => Value::Null,
            Self::List(_) => Value::Array(Vec::new()),
            Self::Object(fields) => {
                let required = fields.iter().filter(|f| f.required);
                required
                    .map(|f| (f.name.to_owned(), f.schema.placeholder()))
                    .collect::<Map<_, _>>()
                    .into()
            }
        }
    }

    const fn type_name(self) -> &'static str {
        match self {
            Self::Text | Self::Choice(_) => "text",
            Self::Count(_) => "a whole number",
            Self::Optional(inner) => inner.type_name(),
            Self::List(_) => "a list",
            Self::Object(_) => "an object",
        }
    }
}

impl JsonValue {
    const fn type_name(&self) -> &'static str {
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
