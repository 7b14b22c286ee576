//! Encoding and decoding of the messages between the processes of the fleet.
//!
//! The schema is `proto/fleet.proto`; the types generated from it by `wiregen`
//! are private, and the public functions use the core's types. One packet holds
//! the header of one sender and any number of messages. Decoding arbitrary
//! bytes returns a value or a [`WireError`] and never panics.

mod crash_evidence;
mod decode;
mod encode;
mod entry_announcement;
mod entry_message;
mod error;
mod field;
#[rustfmt::skip]
#[allow(missing_docs, unreachable_pub, clippy::all, clippy::pedantic)]
mod generated;
mod limits;
mod owner_messages;

pub use crash_evidence::{decode_crash_news, encode_crash_news};
pub use decode::{Header, decode, decode_all};
pub use encode::{encode, encode_all, encode_into};
pub use entry_message::{decode_datagram, encode_datagram};
pub use error::WireError;
pub use limits::*;
