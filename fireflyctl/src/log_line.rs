//! Parser of the processes' log lines, which hold `key=value` pairs.

/// Line of a process's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// Process that wrote the line.
    pub process: String,
    /// Time as written: UTC with milliseconds, so that it sorts as text.
    pub time: String,
    /// Event name.
    pub event: String,
    /// Id of the request.
    pub req: Option<String>,
    /// Other pairs, in order.
    pub pairs: Vec<(String, String)>,
}

impl LogLine {
    /// Returns the value of a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&str> {
        let found = self.pairs.iter().find(|(k, _)| k == key);
        found.map(|(_, value)| value.as_str())
    }
}

/// Parses a log line of `process`; returns `None` when it holds no event.
///
/// Text before the time is taken for a log collector's prefix, whose last word then names the
/// process.
#[must_use]
pub fn parse_line(process: &str, text: &str) -> Option<LogLine> {
    let at = text.find("time=")?;
    let prefix = text[..at].split_whitespace().last();
    let mut line = LogLine {
        process: prefix.unwrap_or(process).to_owned(),
        time: String::new(),
        event: String::new(),
        req: None,
        pairs: Vec::new(),
    };
    for (key, value) in parse_pairs(&text[at..]) {
        match key {
            "time" => line.time = value,
            "event" => line.event = value,
            "req" => line.req = Some(value),
            "level" => {}
            _ => line.pairs.push((key.to_owned(), value)),
        }
    }
    (!line.event.is_empty()).then_some(line)
}

fn parse_pairs(text: &str) -> Vec<(&str, String)> {
    let mut pairs = Vec::new();
    let mut rest = text.trim();
    while let Some((key, after)) = rest.split_once('=') {
        let (value, left) = parse_value(after);
        pairs.push((key.trim(), value));
        rest = left;
    }
    pairs
}

/// Splits off a value, without its quotes and escapes; returns it with the rest.
fn parse_value(text: &str) -> (String, &str) {
    let Some(quoted) = text.strip_prefix('"') else {
        let end = text.find(' ').unwrap_or(text.len());
        return (text[..end].to_owned(), text[end..].trim_start());
    };
    let mut value = String::new();
    let mut chars = quoted.char_indices();
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => return (value, quoted[at + 1..].trim_start()),
            '\\' => value.extend(chars.next().map(|(_, escaped)| escaped)),
            c => value.push(c),
        }
    }
    (value, "")
}
