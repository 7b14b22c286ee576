//! JSON with the place of each value, so that a fault is reported by line.
//!
//! The text is checked by `serde_json` first, so the scan only has to find
//! its way through JSON that is known to be sound.

/// A value with its place.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    /// Byte at which the value begins.
    pub(crate) at: usize,
    /// What it is.
    pub(crate) value: NodeValue,
}

/// What a value is.
#[derive(Clone, Debug)]
pub(crate) enum NodeValue {
    /// `null`.
    Null,
    /// `true` or `false`.
    Bool,
    /// A number, as written.
    Number(String),
    /// Text.
    Text(String),
    /// A list.
    List(Vec<Node>),
    /// An object's fields, in order, repeated ones included.
    Object(Vec<(Key, Node)>),
}

/// Name of a field, with its place.
#[derive(Clone, Debug)]
pub(crate) struct Key {
    /// Byte at which the name begins.
    pub(crate) at: usize,
    /// The name.
    pub(crate) name: String,
}

/// Scans `text` whole.
///
/// # Errors
///
/// What `serde_json` says of text that is not JSON, with its line and column.
pub(crate) fn scan(text: &str) -> Result<Node, serde_json::Error> {
    serde_json::from_str::<serde::de::IgnoredAny>(text)?;
    Ok(Scan { text, at: 0 }.node())
}

/// Line and column of a byte, both from 1; the column counts characters.
pub(crate) fn line_and_column(text: &str, at: usize) -> (usize, usize) {
    let head = String::from_utf8_lossy(&text.as_bytes()[..at.min(text.len())]);
    let line = 1 + head.matches('\n').count();
    let last = head.rsplit('\n').next().unwrap_or_default();
    let column = 1 + last.chars().count();
    (line, column)
}

impl Node {
    /// Place of the value at a path such as `workspaces[3].brand`; of what
    /// surrounds it when there is no such value.
    pub(crate) fn locate(&self, path: &str) -> usize {
        let mut node = self;
        for step in steps(path) {
            let Some(next) = node.step(step) else { break };
            node = next;
        }
        node.at
    }

    fn step(&self, step: &str) -> Option<&Self> {
        match &self.value {
            NodeValue::List(items) => items.get(step.parse::<usize>().ok()?),
            NodeValue::Object(fields) => {
                let mut named = fields.iter().filter(|(key, _)| key.name == step);
                named.next().map(|(_, node)| node)
            }
            _ => None,
        }
    }
}

fn steps(path: &str) -> impl Iterator<Item = &str> {
    path.split(['.', '[', ']']).filter(|step| !step.is_empty())
}

/// Where a scan stands in sound JSON.
struct Scan<'a> {
    text: &'a str,
    at: usize,
}

impl Scan<'_> {
    fn node(&mut self) -> Node {
        self.skip_space();
        let at = self.at;
        let value = match self.peek() {
            b'{' => NodeValue::Object(self.fields()),
            b'[' => NodeValue::List(self.items()),
            b'"' => NodeValue::Text(self.string()),
            b't' | b'f' => {
                self.word();
                NodeValue::Bool
            }
            b'n' => {
                self.word();
                NodeValue::Null
            }
            _ => NodeValue::Number(self.word().to_owned()),
        };
        Node { at, value }
    }

    fn fields(&mut self) -> Vec<(Key, Node)> {
        let mut fields = Vec::new();
        self.at += 1;
        while self.next_is_not(b'}') {
            let at = self.at;
            let name = self.string();
            self.skip_space();
            self.at += 1;
            fields.push((Key { at, name }, self.node()));
        }
        fields
    }

    fn items(&mut self) -> Vec<Node> {
        let mut items = Vec::new();
        self.at += 1;
        while self.next_is_not(b']') {
            items.push(self.node());
        }
        items
    }

    /// Goes to the next item and over the comma before it; false, and over
    /// the end, when there is none.
    fn next_is_not(&mut self, end: u8) -> bool {
        self.skip_space();
        if self.peek() == b',' {
            self.at += 1;
            self.skip_space();
        }
        let more = self.at < self.text.len() && self.peek() != end;
        if !more {
            self.at += 1;
        }
        more
    }

    fn string(&mut self) -> String {
        let from = self.at;
        self.at += 1;
        while self.at < self.text.len() && self.peek() != b'"' {
            self.at += if self.peek() == b'\\' { 2 } else { 1 };
        }
        self.at += 1;
        serde_json::from_str(&self.text[from..self.at]).unwrap_or_default()
    }

    fn word(&mut self) -> &str {
        let rest = &self.text[self.at..];
        let ends = |c: char| c.is_ascii_whitespace() || matches!(c, ',' | ']' | '}');
        let word = rest.split(ends).next().unwrap_or_default();
        self.at += word.len();
        word
    }

    fn skip_space(&mut self) {
        while self.peek().is_ascii_whitespace() {
            self.at += 1;
        }
    }

    fn peek(&self) -> u8 {
        self.text
            .as_bytes()
            .get(self.at)
            .copied()
            .unwrap_or_default()
    }
}
