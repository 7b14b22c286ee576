//! Formatting of optional values in log lines.

/// Formats values, separated by commas.
#[must_use]
pub fn list(values: &[impl std::fmt::Display]) -> String {
    let values: Vec<String> = values.iter().map(ToString::to_string).collect();
    values.join(",")
}

/// Formats a value; empty for `None`.
#[must_use]
pub fn or_empty(figure: Option<impl std::fmt::Display>) -> String {
    figure.map_or_else(String::new, |f| f.to_string())
}
