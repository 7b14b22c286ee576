//! Calls to the platform's store, by cost.

use fireflycroft_platform::{Kind, list_path, replica_path};

/// Kind of a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// A page of the current list.
    List,
    /// A page of the list from any replica of the store, possibly some seconds old.
    Replica,
    /// The first call of an entry that steps in as a watcher: a page of the current list.
    Trial,
    /// A long poll for changes.
    Watch,
}

impl StoreCall {
    /// Returns the label for metrics and logs.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::List => "list",
            Self::Replica => "copy",
            Self::Trial => "trial",
            Self::Watch => "watch",
        }
    }
}

/// Returns the path of the list page that follows the name `after`.
#[must_use]
pub fn page_path(call: StoreCall, kind: Kind, after: Option<&str>) -> String {
    match call {
        StoreCall::Replica => replica_path(kind, after),
        StoreCall::List | StoreCall::Trial | StoreCall::Watch => list_path(kind, after),
    }
}
