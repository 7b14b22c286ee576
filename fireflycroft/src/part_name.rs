//! Content-addressed names of configuration parts.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Name of a part: the BLAKE3 digest of its bytes.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartName([u8; 32]);

impl PartName {
    /// Returns the name of the part with these bytes.
    #[must_use]
    pub fn of(data: &[u8]) -> Self {
        Self(*blake3::hash(data).as_bytes())
    }

    /// Returns the bytes of the digest.
    pub(crate) const fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Parses a name in the format of its `Display`.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let hash = blake3::Hash::from_hex(text).ok()?;
        Some(Self(*hash.as_bytes()))
    }
}

impl fmt::Display for PartName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl fmt::Debug for PartName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl Serialize for PartName {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for PartName {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        Self::parse(&text).ok_or_else(|| serde::de::Error::custom("invalid part name"))
    }
}
