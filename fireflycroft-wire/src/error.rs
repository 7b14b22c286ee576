//! Why bytes could not be read.

use fireflycroft::Code;
use std::error::Error;
use std::fmt;

/// Why bytes could not be read as messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WireError {
    /// Not a packet of the schema.
    Malformed,
    /// A field is not there.
    Missing(&'static str),
    /// An address has neither 6 nor 18 bytes.
    BadAddress,
    /// An identifier or digest has not 16 bytes.
    BadId(&'static str),
    /// A number is out of range, or names nothing that is known here.
    BadValue(&'static str),
    /// A chunk's lengths do not add up, or its numbers run over.
    InconsistentChunk,
    /// Something is over its bound.
    TooLong(&'static str),
    /// One message was asked for, and the packet holds another number.
    NotSingle(usize),
}

impl WireError {
    /// Result code that goes with it.
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
            Self::Malformed => f.write_str("not a packet"),
            Self::Missing(field) => write!(f, "no {field}"),
            Self::BadAddress => f.write_str("bad address"),
            Self::BadId(field) => write!(f, "bad id in {field}"),
            Self::BadValue(field) => write!(f, "bad value in {field}"),
            Self::InconsistentChunk => f.write_str("unsound chunk"),
            Self::TooLong(field) => write!(f, "{field} too long"),
            Self::NotSingle(count) => write!(f, "{count} messages in place of one"),
        }
    }
}

impl Error for WireError {}

impl From<prost::DecodeError> for WireError {
    fn from(_: prost::DecodeError) -> Self {
        Self::Malformed
    }
}
