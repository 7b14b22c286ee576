//! Objects of strangers in the store, beside those that entries look for.

use super::Site;
use serde_json::{Value, json};

/// Names that mean something else in a path, or can't stand there.
const ODD_NAMES: [&str; 9] = [
    "a b",
    "a#b",
    "a%41",
    "a&wait_ms=1",
    "a+b",
    "a/b",
    "a?b",
    "a\"b",
    "\u{e9}",
];

/// Kinds of objects that entries read.
const KINDS: [&str; 3] = ["config", "servers", "evacuations"];

/// Version of the configurations in objects beside the operator's.
pub(crate) const OTHER_VERSION: u64 = 1_000;

/// Levels of a text that is nested more deeply than a stack holds calls.
const LEVELS: usize = 200_000;

/// Returns a content that is nested very deeply.
pub(crate) fn nested_text() -> String {
    format!("{}1{}", "[".repeat(LEVELS), "]".repeat(LEVELS))
}

/// Returns a valid configuration without routes.
pub(crate) fn without_routes(version: u64) -> Value {
    let services = ["models", "records"].map(|name| json!({"name": name, "max_connections": 100}));
    json!({"version": version, "routes": [], "services": services,
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 65_536, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000}})
}

impl Site {
    /// Writes an object with an odd name and another content into each kind, for each of the names; lists come in
    /// short pages.
    pub(crate) fn put_odd_names(&self, page_size: usize) {
        self.store.set_page_size(page_size);
        for kind in KINDS {
            for name in ODD_NAMES {
                self.store.put(kind, name, &json!("of somebody else"));
            }
        }
    }
}
