//! JSON tree with the offset of each value, so that faults are reported by line.
//!
//! The text is validated by `serde_json` first, so this parser only has to
//! handle valid JSON.

/// Value with its offset.
#[derive(Clone, Debug)]
pub(crate) struct JsonNode {
    /// Byte offset of the value.
    pub(crate) offset: usize,
    /// Value.
    pub(crate) value: JsonValue,
}

/// Kind and content of a value.
#[derive(Clone, Debug)]
pub(crate) enum JsonValue {
    /// `null`.
    Null,
    /// `true` or `false`.
    Bool,
    /// A number, as written.
    Number(String),
    /// Text.
    Text(String),
    /// A list.
    List(Vec<JsonNode>),
    /// An object's fields in order, including duplicates.
    Object(Vec<(Key, JsonNode)>),
}

/// Name of a field, with its offset.
#[derive(Clone, Debug)]
pub(crate) struct Key {
    /// Byte offset of the name.
    pub(crate) offset: usize,
    /// Name.
    pub(crate) name: String,
}

/// Parses `text`.
///
/// # Errors
///
/// Returns the error of `serde_json`, with line and column, when the text is not JSON.
pub(crate) fn parse(text: &str) -> Result<JsonNode, serde_json::Error> {
    serde_json::from_str::<serde::de::IgnoredAny>(text)?;
    Ok(Parser { text, offset: 0 }.node())
}

/// Returns line and column of a byte, both from 1; the column counts characters.
pub(crate) fn line_and_column(text: &str, offset: usize) -> (usize, usize) {
    let before = String::from_utf8_lossy(&text.as_bytes()[..offset.min(text.len())]);
    let line = 1 + before.matches('\n').count();
    let last = before.rsplit('\n').next().unwrap_or_default();
    let column = 1 + last.chars().count();
    (line, column)
}

impl JsonNode {
    /// Returns the offset of the value at a path such as `workspaces[3].brand`, or
    /// of its innermost existing parent.
    pub(crate) fn locate(&self, path: &str) -> usize {
        let mut node = self;
        for segment in path_segments(path) {
            let Some(next) = node.child(segment) else {
                break;
            };
            node = next;
        }
        node.offset
    }

    fn child(&self, segment: &str) -> Option<&Self> {
        match &self.value {
            JsonValue::List(items) => items.get(segment.parse::<usize>().ok()?),
            JsonValue::Object(fields) => {
                let mut named = fields.iter().filter(|(key, _)| key.name == segment);
                named.next().map(|(_, node)| node)
            }
            _ => None,
        }
    }
}

fn path_segments(path: &str) -> impl Iterator<Item = &str> {
    path.split(['.', '[', ']'])
        .filter(|segment| !segment.is_empty())
}

/// Parser of valid JSON, with its position.
struct Parser<'a> {
    text: &'a str,
    offset: usize,
}

impl Parser<'_> {
    fn node(&mut self) -> JsonNode {
        self.skip_space();
        let offset = self.offset;
        let value = match self.peek() {
            b'{' => JsonValue::Object(self.fields()),
            b'[' => JsonValue::List(self.items()),
            b'"' => JsonValue::Text(self.string()),
            b't' | b'f' => {
                self.literal();
                JsonValue::Bool
            }
            b'n' => {
                self.literal();
                JsonValue::Null
            }
            _ => JsonValue::Number(self.literal().to_owned()),
        };
        JsonNode { offset, value }
    }

    fn fields(&mut self) -> Vec<(Key, JsonNode)> {
        let mut fields = Vec::new();
        self.offset += 1;
        while self.advance_to_item(b'}') {
            let offset = self.offset;
            let name = self.string();
            self.skip_space();
            self.offset += 1;
            fields.push((Key { offset, name }, self.node()));
        }
        fields
    }

    fn items(&mut self) -> Vec<JsonNode> {
        let mut items = Vec::new();
        self.offset += 1;
        while self.advance_to_item(b']') {
            items.push(self.node());
        }
        items
    }

    /// Advances to the next item, past a comma, and returns true; at the end,
    /// advances past the closing byte and returns false.
    fn advance_to_item(&mut self, end: u8) -> bool {
        self.skip_space();
        if self.peek() == b',' {
            self.offset += 1;
            self.skip_space();
        }
        let has_item = self.offset < self.text.len() && self.peek() != end;
        if !has_item {
            self.offset += 1;
        }
        has_item
    }

    fn string(&mut self) -> String {
        let from = self.offset;
        self.offset += 1;
        while self.offset < self.text.len() && self.peek() != b'"' {
            self.offset += if self.peek() == b'\\' { 2 } else { 1 };
        }
        self.offset += 1;
        serde_json::from_str(&self.text[from..self.offset]).unwrap_or_default()
    }

    fn literal(&mut self) -> &str {
        let rest = &self.text[self.offset..];
        let ends = |c: char| c.is_ascii_whitespace() || matches!(c, ',' | ']' | '}');
        let literal = rest.split(ends).next().unwrap_or_default();
        self.offset += literal.len();
        literal
    }

    fn skip_space(&mut self) {
        while self.peek().is_ascii_whitespace() {
            self.offset += 1;
        }
    }

    fn peek(&self) -> u8 {
        self.text
            .as_bytes()
            .get(self.offset)
            .copied()
            .unwrap_or_default()
    }
}
