//! Calls of the platform's store, by what they cost.

use fireflycroft_platform::{Kind, list_path, replica_path};

/// What a call of the store asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// A page of a list as the store holds it now.
    List,
    /// The same as any copy of the store holds it, perhaps of some seconds ago.
    Copy,
    /// Changes, for which the call waits.
    Watch,
}

impl StoreCall {
    /// Its word in metrics and logs.
    #[must_use]
    pub const fn word(self) -> &'static str {
        match self {
            Self::List => "list",
            Self::Copy => "copy",
            Self::Watch => "watch",
        }
    }
}

/// Path of the page of a list that begins after a name.
#[must_use]
pub fn page_path(call: StoreCall, kind: Kind, after: Option<&str>) -> String {
    match call {
        StoreCall::Copy => replica_path(kind, after),
        StoreCall::List | StoreCall::Watch => list_path(kind, after),
    }
}
