//! Decoding errors.

use fireflycroft::Code;
use std::error::Error;
use std::fmt;

/// Error in the decoding of messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WireError {
    /// The bytes don't parse under the schema.
    Malformed,
    /// A required field is missing.
    Missing(&'static str),
    /// An address has neither 6 nor 18 bytes.
    BadAddress,
    /// An identifier or digest doesn't have 16 bytes.
    BadId(&'static str),
    /// A number is out of range or an unknown enum value.
    BadValue(&'static str),
    /// A chunk's token lengths don't add up to its data, or its offset overflows.
    InconsistentChunk,
    /// A value exceeds its limit.
    TooLong(&'static str),
    /// A packet of exactly one message was expected; holds the number found.
    NotSingle(usize),
}

impl WireError {
    /// Returns the result code of the error.
    #[must_use]
    pub const fn code(self) -> Code {
        match self {
            Self::TooLong(_) => Code::MessageTooLong,
            _ => Code::MessageMalformed,
        }
    }
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed => f.write_str("malformed message"),
            Self::Missing(field) => write!(f, "missing {field}"),
            Self::BadAddress => f.write_str("address has neither 6 nor 18 bytes"),
            Self::BadId(field) => write!(f, "{field} doesn't have 16 bytes"),
            Self::BadValue(field) => write!(f, "invalid value of {field}"),
            Self::InconsistentChunk => f.write_str("inconsistent chunk"),
            Self::TooLong(field) => write!(f, "{field} exceeds its limit"),
            Self::NotSingle(count) => write!(f, "expected one message, found {count}"),
        }
    }
}

impl Error for WireError {}

impl From<prost::DecodeError> for WireError {
    fn from(_: prost::DecodeError) -> Self {
        Self::Malformed
    }
}
