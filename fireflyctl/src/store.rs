//! The part of the platform that publishing needs, so that a test can stand
//! in for it and hold each call up.

use fireflyd::platform::{Condition, PlatformClient, PlatformError};
use serde_json::Value;
use std::future::Future;

/// An object as read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreObject {
    /// Version of the object.
    pub version: u64,
    /// Its value.
    pub value: Value,
}

/// Versioned objects with conditional writes.
pub trait Store {
    /// Reads an object; `None` when there is none.
    fn get(
        &self,
        kind: &str,
        name: &str,
    ) -> impl Future<Output = Result<Option<StoreObject>, PlatformError>>;

    /// Writes an object under a condition; gives its new version.
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
