//! Limits of a configuration as it is stored and carried, and what is wrong with one.

use crate::ids::Name;
use std::fmt;

/// Most bytes of one part; within a JSON string at most twice as many.
pub const MAX_PART: usize = 500 * 1024;

/// Most parts of one configuration.
pub const MAX_PARTS: usize = 2_048;

/// Most bytes of all parts of one configuration.
pub const MAX_SNAPSHOT: usize = 64 * 1024 * 1024;

/// Why a document can't be cut, or parts make no document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// One item is larger than a part may be.
    ItemTooLarge {
        /// Name of the item.
        item: Name,
        /// Its bytes.
        bytes: usize,
    },
    /// More parts or bytes than the limits.
    TooLarge,
    /// The head's digest is not that of its parts.
    HeadDigest,
    /// Not as many parts as the head lists.
    PartCount {
        /// Parts that the head lists.
        wanted: usize,
        /// Parts given.
        given: usize,
    },
    /// The bytes at this place are not the part that the head lists there.
    WrongPart(usize),
    /// The part or head can't be read.
    Malformed(String),
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ItemTooLarge { item, bytes } => {
                write!(f, "{item:?} takes {bytes} bytes, at most {MAX_PART}")
            }
            Self::TooLarge => write!(
                f,
                "the configuration is over {MAX_PARTS} parts or {MAX_SNAPSHOT} bytes"
            ),
            Self::HeadDigest => f.write_str("the head's digest is not that of its parts"),
            Self::PartCount { wanted, given } => {
                write!(f, "{given} parts given, {wanted} wanted")
            }
            Self::WrongPart(i) => write!(f, "part {i} is not what the head lists"),
            Self::Malformed(why) => write!(f, "unreadable: {why}"),
        }
    }
}

impl std::error::Error for SnapshotError {}

/// What can't be read, and why.
pub(crate) fn malformed(why: impl fmt::Display) -> SnapshotError {
    SnapshotError::Malformed(why.to_string())
}
