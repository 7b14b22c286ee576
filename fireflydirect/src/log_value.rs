//! Figures in log lines.

/// A figure for the log; empty when there is none.
#[must_use]
pub fn or_empty(figure: Option<impl std::fmt::Display>) -> String {
    figure.map_or_else(String::new, |f| f.to_string())
}
