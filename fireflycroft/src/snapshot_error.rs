//! Limits of stored and transferred configurations, and errors in them.

use crate::ids::Name;
use std::fmt;

/// Most bytes of one part; as a JSON string it takes at most twice as many.
pub const MAX_PART: usize = 500 * 1024;

/// Most parts of one configuration.
pub const MAX_PARTS: usize = 2_048;

/// Most bytes of all parts of one configuration.
pub const MAX_SNAPSHOT: usize = 64 * 1024 * 1024;

/// Error in cutting a document or assembling parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// One item is larger than a part may be.
    ItemTooLarge {
        /// Name of the item.
        item: Name,
        /// Size of the item in bytes.
        bytes: usize,
    },
    /// The parts or bytes exceed a limit.
    TooLarge,
    /// The head's digest does not match its list of parts.
    HeadDigest,
    /// The number of parts is not that of the head's list.
    PartCount {
        /// Parts that the head lists.
        listed: usize,
        /// Parts given.
        given: usize,
    },
    /// The part at this index is not the one that the head lists.
    WrongPart(usize),
    /// The part or head can't be read.
    Malformed(String),
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ItemTooLarge { item, bytes } => {
                write!(f, "item {item:?} has {bytes} bytes, at most {MAX_PART}")
            }
            Self::TooLarge => write!(
                f,
                "the configuration exceeds {MAX_PARTS} parts or {MAX_SNAPSHOT} bytes"
            ),
            Self::HeadDigest => f.write_str("the head's digest does not match its parts"),
            Self::PartCount { listed, given } => {
                write!(f, "{given} parts given, the head lists {listed}")
            }
            Self::WrongPart(i) => write!(f, "part {i} is not the one that the head lists"),
            Self::Malformed(why) => write!(f, "malformed part or head: {why}"),
        }
    }
}

impl std::error::Error for SnapshotError {}

/// Returns an error about an unreadable part or head.
pub(crate) fn malformed(why: impl fmt::Display) -> SnapshotError {
    SnapshotError::Malformed(why.to_string())
}
