//! Formatting of optional values in log lines.

/// Formats a value; empty for `None`.
#[must_use]
pub fn or_empty(figure: Option<impl std::fmt::Display>) -> String {
    figure.map_or_else(String::new, |f| f.to_string())
}
