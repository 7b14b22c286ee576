//! Software versions in the events of a stream, as callers receive them.

use super::engine::FIRST_VERSION;

/// Prefix of the line of an event that holds its text.
const DATA: &str = "data: ";

/// Returns the words of an event's text: the request, the number and any version but the first.
fn words(line: &str) -> Option<impl Iterator<Item = &str>> {
    Some(line.strip_prefix(DATA)?.split(' '))
}

/// Returns the complete events of a body.
fn events(body: &str) -> impl Iterator<Item = &str> {
    let whole = body.rfind("\n\n").map_or("", |end| &body[..end]);
    whole.split("\n\n").filter(|event| !event.is_empty())
}

/// Returns the version of each complete event of a body.
pub(super) fn versions_of(body: &str) -> impl Iterator<Item = &str> {
    let lines = events(body).flat_map(str::lines).filter_map(words);
    lines.map(|mut words| words.nth(2).unwrap_or(FIRST_VERSION))
}

/// Returns the body without the versions that its events name.
pub(super) fn without_versions(body: &str) -> String {
    let line = |line: &str| match words(line) {
        Some(words) => format!("{DATA}{}", words.take(2).collect::<Vec<_>>().join(" ")),
        None => line.to_owned(),
    };
    body.split('\n').map(line).collect::<Vec<_>>().join("\n")
}

/// Returns the number of the last complete event of a body.
#[must_use]
pub fn last_event(body: &str) -> Option<u64> {
    let id = |event: &str| {
        event
            .lines()
            .find_map(|l| l.strip_prefix("id: ")?.parse().ok())
    };
    events(body).filter_map(id).last()
}
