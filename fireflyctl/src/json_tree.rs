//! JSON with the place of each value, so that a fault is reported by line.
//!
//! The text is checked by `serde_json` first, so the scan only has to find
//! its way through JSON that is known to be sound.

/// A value with its place.
#[derive(Clone, Debug)]
pub(crate) struct JsonNode {
    /// Byte at which the value begins.
    pub(crate) offset: usize,
    /// What it is.
    pub(crate) value: JsonValue,
}

/// What a value is.
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
    /// An object's fields, in order, repeated ones included.
    Object(Vec<(Key, JsonNode)>),
}

/// Name of a field, with its place.
#[derive(Clone, Debug)]
pub(crate) struct Key {
    /// Byte at which the name begins.
    pub(crate) offset: usize,
    /// The name.
    pub(crate) name: String,
}

/// Scans `text` whole.
///
/// # Errors
///
/// What `serde_json` says of text that is not JSON, with its line and column.
pub(crate) fn parse(text: &str) -> Result<JsonNode, serde_json::Error> {
    serde_json::from_str::<serde::de::IgnoredAny>(text)?;
    Ok(Parser { text, offset: 0 }.node())
}

/// Line and column of a byte, both from 1; the column counts characters.
pub(crate) fn line_and_column(text: &str, offset: usize) -> (usize, usize) {
    let before = String::from_utf8_lossy(&text.as_bytes()[..offset.min(text.len())]);
    let line = 1 + before.matches('\n').count();
    let last = before.rsplit('\n').next().unwrap_or_default();
    let column = 1 + last.chars().count();
    (line, column)
}

impl JsonNode {
    /// Place of the value at a path such as `workspaces[3].brand`; of what
    /// surrounds it when there is no such value.
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

/// Where a scan stands in sound JSON.
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

    /// Goes to the next item and over the comma before it; false, and over
    /// the end, when there is none.
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
