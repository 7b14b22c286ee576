//! Interface to the platform's object store, which tests replace by a fake.

use fireflyd::platform::{Condition, PlatformClient, PlatformError};
use serde_json::Value;
use std::future::Future;

/// Stored object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreObject {
    /// Version.
    pub version: u64,
    /// Value.
    pub value: Value,
}

/// Store of versioned objects with conditional writes.
pub trait Store {
    /// Reads an object; returns `None` when it doesn't exist.
    fn get(
        &self,
        kind: &str,
        name: &str,
    ) -> impl Future<Output = Result<Option<StoreObject>, PlatformError>>;

    /// Writes an object under a condition; returns its new version.
    fn put(
        &self,
        kind: &str,
        name: &str,
        value: &Value,
        condition: Condition,
    ) -> impl Future<Output = Result<u64, PlatformError>>;
}

impl Store for PlatformClient {
    async fn get(&self, kind: &str, name: &str) -> Result<Option<StoreObject>, PlatformError> {
        match Self::get(self, kind, name).await {
            Ok(object) => Ok(Some(StoreObject {
                version: object.version,
                value: object.value,
            })),
            Err(PlatformError::NotFound) => Ok(None),
            Err(e) => Err(e),
        }
    }

    async fn put(
        &self,
        kind: &str,
        name: &str,
        value: &Value,
        condition: Condition,
    ) -> Result<u64, PlatformError> {
        Self::put(self, kind, name, value, condition).await
    }
}
